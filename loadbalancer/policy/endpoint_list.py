"""Follows the endpoint list and operators' cordons, and says when a list is polled again.

Changes come as `EndpointList` events, from a watch or as the answers of polls. Polls that failed are repeated
with exponential backoff and jitter, so that many proxies that have started together do not come together.
"""

from __future__ import annotations

from random import Random

from loadbalancer.policy.actions import Action, CloseIdleConnections, SetTimer, WatchEndpoints
from loadbalancer.policy.endpoints import EndpointRegistry
from loadbalancer.policy.events import Cordon, EndpointList
from loadbalancer.policy.settings import PolicySettings
from loadbalancer.policy.slow_start import SlowStart

#: Timer that polls the list. A request's hedge check has the request's number + 1.
LIST_TOKEN = 0
# First polls of proxies that have started together are spread over this. One service answers them in turn,
# also those whose callers have given up: polls that come faster than it answers would all be in vain, and for
# good.
FIRST_POLL_SPREAD_S = 3.5
POLL_RETRY_INTERVAL_S = 1.1  # after the first failed poll; it doubles from then on
MAX_BACKOFF_DOUBLINGS = 8
MIN_JITTER_FACTOR = 0.25
MAX_JITTER_FACTOR = 1.25
# Where the service can't be reached, the list has to be known in time from when it can: a poll that hangs may
# have begun just before (discovery/watch.py gives it up), then comes the interval, then a poll that waits in
# line.
NOTIFIED_WITHIN_S = 6.0
MAX_QUEUE_TIME_S = 2.1
MAX_BUSY_INTERVAL_S = 6.0  # where polls have waited in line in vain: only fewer of them empty it


class EndpointListFollower:
    """Applies endpoint lists and cordons to the registry, and schedules polls."""

    def __init__(
        self, settings: PolicySettings, random: Random, registry: EndpointRegistry, slow_start: SlowStart
    ) -> None:
        self._polls = settings.list_on_request
        self._other_instances_share = settings.other_instances_share
        self._random = random
        self._registry = registry
        self._slow_start = slow_start
        self._failed_polls = 0  # since the list last came, without those that waited in line
        self._busy_polls = 0
        self._polled_at = 0.0

    def poll(self, now: float) -> WatchEndpoints:
        """Return the call for the list; its timer has fired."""
        self._polled_at = now
        return WatchEndpoints(True)

    def apply_list(self, event: EndpointList, now: float) -> list[Action]:
        """Take over a list or a change to it; return the timer of the next poll, if one is due."""
        if event.failed:
            return [SetTimer(LIST_TOKEN, self._retry_interval(event.busy, now))]
        if event.complete:
            self._registry.mark_others_gone({entry.endpoint for entry in event.entries})
        for entry in event.entries:
            restarted = self._registry.apply_entry(entry)
            if restarted is not None:
                self._slow_start.begin(restarted, now)
        self._rebuild_pools(now)
        if event.stale and self._polls:
            spread_s = FIRST_POLL_SPREAD_S * self._other_instances_share
            return [SetTimer(LIST_TOKEN, spread_s * self._random.random())]
        if not event.stale:
            self._failed_polls = 0
            self._busy_polls = 0
        return []

    def apply_cordon(self, event: Cordon, now: float) -> list[Action]:
        """Take an endpoint out for an operator, or put it back; return what follows for its connections."""
        actions: list[Action] = []
        if event.cordoned:
            self._registry.cordon(event.endpoint, now)
            actions.append(CloseIdleConnections(event.endpoint))
        else:
            self._registry.uncordon(event.endpoint, now)
        endpoint = self._registry.by_id.get(event.endpoint)
        if endpoint is not None:
            endpoint.cordoned = event.cordoned
            self._rebuild_pools(now)
        return actions

    def _rebuild_pools(self, now: float) -> None:
        self._registry.rebuild_pools()
        self._slow_start.pools_rebuilt(now)

    def _retry_interval(self, busy: bool, now: float) -> float:
        """Return the seconds until the next poll, after one that failed.

        Args:
            busy: Whether it had waited in line with those of others.
            now: The time, in seconds.
        """
        elapsed = now - self._polled_at if self._failed_polls else 0.0
        if busy:
            self._busy_polls += 1
            failures = self._busy_polls
            max_interval = MAX_BUSY_INTERVAL_S
        else:
            self._failed_polls += 1
            failures = self._failed_polls
            max_interval = max(0.0, NOTIFIED_WITHIN_S - MAX_QUEUE_TIME_S - elapsed) / MAX_JITTER_FACTOR
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        interval = min(POLL_RETRY_INTERVAL_S * 2.0**doublings, max_interval)
        jitter = MIN_JITTER_FACTOR + (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR) * self._random.random()
        return interval * jitter
