"""Detects requests that clients retry after an earlier one went unserved.

The protocol does not mark them, but a retry has less time remaining than a first request.
"""

from __future__ import annotations

import math

from loadbalancer.policy.estimators import RATE_MEMORY_S

SAME_GROUP_TOLERANCE = 0.03  # times remaining that differ by less than this share are in one group
MAX_GROUPS = 8  # e.g. first requests, second ones after a rejection or after a timeout, last ones
GROUP_DECAY = 0.995  # for each request: about two hundred decide which group is the most common
GROUP_CENTRE_STEP = 1 / 16
MIN_GROUP_WEIGHT = 20.0  # of the most common group, below which no request is taken for a retry
REPEATED_AGAIN_SHARE = 0.5  # share of the clients with an unserved late retry that retry once more


class TimeRemainingGroup:
    """Counts requests that arrived with about the same time remaining."""

    __slots__ = ("time_remaining", "weight")

    def __init__(self, time_remaining: float) -> None:
        self.time_remaining = time_remaining
        self.weight = 0.0


class ClientRetryDetector:
    """Distinguishes first requests of a class from client retries by their time remaining.

    Every retry follows an earlier request, so no group of retries is as common as that of first requests. The
    group with the longest time remaining need not be that of first requests: if clients end their tries
    early, the last try may have the most time left.
    """

    __slots__ = ("_groups", "_updated_at", "unserved")

    def __init__(self) -> None:
        self._groups: list[TimeRemainingGroup] = []
        self._updated_at = 0.0
        self.unserved = 0.0
        """Exponentially decaying count of unserved requests, which their clients may retry."""

    def record_unserved(self, was_late: bool) -> None:
        """Count a request that got no answer from an endpoint."""
        self.unserved += REPEATED_AGAIN_SHARE if was_late else 1.0

    def time_waited(self, time_remaining: float, client_timeout: float, now: float) -> float:
        """Return how long the client of a new request has waited in earlier tries; 0 for a first request.

        Work on an answer that comes too late to be of value delays other requests as well, so load shedding
        rejects such requests first. A client with a shorter timeout than others of its class looks like a
        retry; therefore no more requests count as retries than were recently left unserved.

        Args:
            time_remaining: Seconds until the client gives up.
            client_timeout: Seconds that a client of this class waits in all.
            now: The time, in seconds.
        """
        remaining = min(max(0.0, time_remaining), client_timeout)
        if self._is_first_request(remaining, now) or self.unserved < 1:
            return 0.0
        self.unserved -= 1
        return client_timeout - remaining

    def _is_first_request(self, time_remaining: float, now: float) -> bool:
        """Record a request; return True if it looks like a first request or there are too few to tell."""
        self.unserved *= math.exp((self._updated_at - now) / RATE_MEMORY_S)
        self._updated_at = now
        group = self._find_or_add_group(time_remaining)
        group.time_remaining += (time_remaining - group.time_remaining) * GROUP_CENTRE_STEP
        group.weight += 1.0
        most_common = max(self._groups, key=lambda group: group.weight)
        return group is most_common or most_common.weight < MIN_GROUP_WEIGHT

    def _find_or_add_group(self, time_remaining: float) -> TimeRemainingGroup:
        found: TimeRemainingGroup | None = None
        for group in self._groups:
            group.weight *= GROUP_DECAY
            distance = abs(group.time_remaining - time_remaining)
            if found is None and distance <= SAME_GROUP_TOLERANCE * group.time_remaining:
                found = group
        if found is not None:
            return found
        if len(self._groups) >= MAX_GROUPS:
            self._groups.remove(min(self._groups, key=lambda group: group.weight))
        found = TimeRemainingGroup(time_remaining)
        self._groups.append(found)
        return found
