"""Applies endpoint lists and operators' cordons, and schedules polls of the list.

Changes arrive as `EndpointList` events, from a watch or in response to polls. Failed polls are retried with
exponential backoff and jitter, so that many proxies that started together do not poll together.
"""

from __future__ import annotations

from random import Random

from loadbalancer.policy.actions import Action, CloseIdleConnections, SetTimer, WatchEndpoints
from loadbalancer.policy.endpoints import EndpointRegistry
from loadbalancer.policy.events import Cordon, EndpointList
from loadbalancer.policy.settings import PolicySettings
from loadbalancer.policy.slow_start import SlowStart

#: Token of the timer that polls the list. The timer of a hedge check has the request's number + 1.
LIST_TOKEN = 0
# First polls of proxies that started together are spread over this time. One service answers them in turn,
# even those whose callers have given up: if polls arrived faster than it answers, all would be in vain, and
# would remain so.
FIRST_POLL_SPREAD_S = 3.5
POLL_RETRY_INTERVAL_S = 1.1  # after the first failed poll; doubles with each further one
MAX_BACKOFF_DOUBLINGS = 8
MIN_JITTER_FACTOR = 0.25
MAX_JITTER_FACTOR = 1.25
# Once the service is reachable again, the list has to arrive within this time. A poll that hangs may have
# begun just before (discovery/watch.py aborts it); then follow the retry interval and a poll that waits in
# the queue.
NOTIFIED_WITHIN_S = 6.0
MAX_QUEUE_TIME_S = 2.1
MAX_BUSY_INTERVAL_S = 6.0  # after polls that waited in the queue in vain: only fewer polls shorten it


class EndpointListFollower:
    """Applies endpoint lists and cordons to the registry, and schedules polls."""

    def __init__(
        self, settings: PolicySettings, random: Random, registry: EndpointRegistry, slow_start: SlowStart
    ) -> None:
        self._polling_enabled = settings.list_on_request
        self._other_instances_share = settings.other_instances_share
        self._random = random
        self._registry = registry
        self._slow_start = slow_start
        self._failed_polls = 0  # since the list was last received, without those that waited in the queue
        self._busy_polls = 0
        self._polled_at = 0.0

    def poll(self, now: float) -> WatchEndpoints:
        """Return the action that polls the list; called when the poll timer fires."""
        self._polled_at = now
        return WatchEndpoints(True)

    def apply_list(self, event: EndpointList, now: float) -> list[Action]:
        """Apply a list or a change to it; return the timer of the next poll, if one is due."""
        if event.failed:
            return [SetTimer(LIST_TOKEN, self._retry_interval(event.busy, now))]
        if event.complete:
            self._registry.mark_others_gone({entry.endpoint for entry in event.entries})
        for entry in event.entries:
            restarted = self._registry.apply_entry(entry)
            if restarted is not None:
                self._slow_start.start_pacing(restarted, now)
        self._rebuild_pools(now)
        if event.stale and self._polling_enabled:
            spread_s = FIRST_POLL_SPREAD_S * self._other_instances_share
            return [SetTimer(LIST_TOKEN, spread_s * self._random.random())]
        if not event.stale:
            self._failed_polls = 0
            self._busy_polls = 0
        return []

    def apply_cordon(self, event: Cordon, now: float) -> list[Action]:
        """Cordon or uncordon an endpoint; return the actions that follow for its connections."""
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
        self._slow_start.on_pools_rebuilt(now)

    def _retry_interval(self, busy: bool, now: float) -> float:
        """Return the seconds until the next poll after a failed one.

        Args:
            busy: Whether the failed poll had waited in the queue of the service.
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
