"""Recognizes requests that clients send again after an earlier one went unserved.

The protocol does not say it, but the time that a client has left does: it comes with less than at first.
"""

from __future__ import annotations

import math

from loadbalancer.policy.estimators import RATE_MEMORY_S

SAME_GROUP_TOLERANCE = 0.03  # times remaining that differ by less than this share are of one group
MAX_GROUPS = 8  # first requests, second ones after a rejection, after a timeout, the last
GROUP_DECAY = 0.995  # a request: some two hundred tell which group is the most common
GROUP_CENTRE_STEP = 1 / 16
MIN_GROUP_WEIGHT = 20.0  # requests of the most common group before anything is said
REPEATED_AGAIN_SHARE = 0.5  # of those whose retry was in vain, so many try once more


class TimeRemainingGroup:
    """Requests that came with about the same time remaining."""

    __slots__ = ("time_remaining", "weight")

    def __init__(self, time_remaining: float) -> None:
        self.time_remaining = time_remaining
        self.weight = 0.0


class ClientRetryDetector:
    """Tells first requests of a class from those that clients repeat, by their time remaining.

    Every retry follows an earlier request, so no group of retries is as common as that of first requests. The
    longest time remaining would not do: where clients end a try early, their last one may have the most left.
    """

    __slots__ = ("_groups", "_updated_at", "unserved")

    def __init__(self) -> None:
        self._groups: list[TimeRemainingGroup] = []
        self._updated_at = 0.0
        self.unserved = 0.0
        """Fading count of requests that were left unserved, which their clients may repeat."""

    def record_unserved(self, was_late: bool) -> None:
        """Take note of a request that got no answer from an endpoint."""
        self.unserved += REPEATED_AGAIN_SHARE if was_late else 1.0

    def time_waited(self, time_remaining: float, client_timeout: float, now: float) -> float:
        """Return how long the client of a new request has waited through earlier ones; 0 for a first one.

        Work for an answer that comes too late to be of worth makes others late as well, so that such requests
        are the first to be rejected. A client that is just less patient than others of its class looks alike;
        therefore no more requests count as retries than were lately left unserved.

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
        """Take note of a request; whether it looks like a first one, or nothing can be said yet."""
        self.unserved *= math.exp((self._updated_at - now) / RATE_MEMORY_S)
        self._updated_at = now
        group = self._group_of(time_remaining)
        group.time_remaining += (time_remaining - group.time_remaining) * GROUP_CENTRE_STEP
        group.weight += 1.0
        most_common = max(self._groups, key=lambda group: group.weight)
        return group is most_common or most_common.weight < MIN_GROUP_WEIGHT

    def _group_of(self, time_remaining: float) -> TimeRemainingGroup:
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
