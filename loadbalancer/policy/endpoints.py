"""Keeps the state of each endpoint as this proxy knows it, their registry, and the pools to select from."""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate
from typing import Collection

from loadbalancer.policy.errors import UnknownAttemptError
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointState,
)
from loadbalancer.policy.settings import DeduplicationScope

EJECT_AFTER = 2  # consecutive failures, not counting slow answers, after which an endpoint is ejected

TIME_PER_ATTEMPT_STEP = 0.1  # averages over about a dozen answers, a fraction of a second under load
# Up to this many answers the time per attempt is their plain mean. With fewer it is not used: one delayed
# answer could dominate it.
MIN_TIMED_ANSWERS = 5

AttemptKey = tuple[int, int]
"""Number of the request, and number of the attempt among its attempts."""


class Endpoint:
    """Holds the listed attributes of one endpoint, and this proxy's observations of it."""

    __slots__ = (
        "answered",
        "cell",
        "consecutive_failures",
        "cordoned",
        "domain",
        "error_rate",
        "error_rate_at",
        "error_rate_by_class",
        "id",
        "in_flight",
        "kind",
        "last_used",
        "pacing_debt",
        "pacing_updated_at",
        "priority",
        "redirect",
        "responding",
        "size",
        "started",
        "state",
        "time_per_attempt",
        "time_per_attempt_at",
        "timed_answers",
        "utilization",
        "utilization_at",
        "warm_started_at",
        "weight",
        "zone",
    )

    def __init__(self, entry: EndpointEntry, cordoned: bool = False) -> None:
        self.id = entry.endpoint
        self.cordoned = cordoned
        """Whether an operator has cordoned it."""
        self.in_flight: dict[AttemptKey, float] = {}
        """Time at which each attempt without a first byte was sent, oldest first."""
        self.responding: set[AttemptKey] = set()
        """Attempts that occupy only a connection: the answer has begun, or the request body is incomplete."""
        self.size = 1.0
        """Weight relative to the mean of the endpoints that are ready."""
        self.started = -math.inf
        """Start of its process according to the endpoint list; 0 means long ago."""
        self.last_used = -math.inf
        self.warm_started_at = -math.inf
        """When it began to warm up without a new start: it was uncordoned, or served as a standby again."""
        self.apply_entry(entry)

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Apply a list entry; a new start time means a new process, so all observations are reset."""
        if entry.started != self.started:
            self._reset_observations()
        self.zone = entry.zone
        self.cell = entry.cell
        self.started = entry.started
        self.state = entry.state
        self.kind = entry.kind
        self.priority = entry.priority
        self.domain = entry.domain
        self.redirect = entry.redirect
        self.weight = entry.weight if 0 < entry.weight < math.inf else 1.0

    def _reset_observations(self) -> None:
        self.utilization = 0.0
        self.utilization_at = 0.0
        self.error_rate = 0.0
        self.error_rate_at = 0.0
        self.error_rate_by_class: dict[int, tuple[float, float]] = {}
        """Error rate of each class with a recorded result, and the time of its last update."""
        self.answered = False
        """Whether it has answered since its start; until then it is on probation."""
        self.consecutive_failures = 0
        self.time_per_attempt = 0.0
        """Seconds to an answer divided by the number of attempts that this proxy has in flight there."""
        self.time_per_attempt_at = -math.inf
        self.timed_answers = 0
        """Number of answers that `time_per_attempt` was averaged from."""
        self.pacing_debt = 0.0
        """Requests that its slow-start pace must accrue before the next one is sent; see slow_start.py."""
        self.pacing_updated_at = 0.0

    def warming_since(self) -> float:
        """Return when it began to warm up: the later of `started` and `warm_started_at`."""
        return max(self.started or -math.inf, self.warm_started_at)

    def record_time_per_attempt(self, seconds: float, now: float) -> None:
        """Record the time of an answer, divided by the attempts that this proxy had in flight there.

        The first answers have equal weight; otherwise a delayed first answer would dominate the average of
        the next dozen.
        """
        self.timed_answers += 1
        step = TIME_PER_ATTEMPT_STEP
        if self.timed_answers <= MIN_TIMED_ANSWERS:
            step = 1 / self.timed_answers
        self.time_per_attempt += step * (seconds - self.time_per_attempt)
        self.time_per_attempt_at = now

    def restore_time_per_attempt(self, seconds: float, at: float) -> None:
        """Restore the time per attempt that another process had recorded at time `at`."""
        self.timed_answers = MIN_TIMED_ANSWERS
        self.time_per_attempt = seconds
        self.time_per_attempt_at = at

    def end_attempt(self, key: AttemptKey) -> bool:
        """Remove an attempt that has ended.

        Returns:
            Whether it was in flight; False if its answer had begun or its request body was incomplete.

        Raises:
            UnknownAttemptError: The endpoint has no such attempt.
        """
        was_in_flight = self.in_flight.pop(key, None) is not None
        if not was_in_flight and key not in self.responding:
            raise UnknownAttemptError(*key)
        self.responding.discard(key)
        return was_in_flight

    def record_consecutive_failures(self, result: AttemptResult, slowness: float) -> None:
        """Count consecutive failures; FULL does not count, since an endpoint that rejects requests is up."""
        if result == AttemptResult.SERVED:
            self.consecutive_failures = 0
        elif result == AttemptResult.NO_CONNECTION:
            # Nothing accepts connections there: eject it at once, so that no further request has to fail.
            self.consecutive_failures = max(self.consecutive_failures + 1, EJECT_AFTER)
        elif result != AttemptResult.FULL:
            self.consecutive_failures += slowness >= 1.0 or result != AttemptResult.TIMEOUT


class KindGroup:
    """Groups the endpoints of one kind of machine in a pool."""

    __slots__ = ("cumulative_sizes", "endpoints", "kind", "size")

    def __init__(self, kind: int, endpoints: list[Endpoint]) -> None:
        self.kind = kind
        self.endpoints = endpoints
        self.cumulative_sizes = list(accumulate(endpoint.size for endpoint in endpoints))
        self.size = self.cumulative_sizes[-1]


class EndpointPool:
    """Samples endpoints with a probability proportional to their size and to the speed of their kind.

    Weighted sampling matters while a proxy has almost nothing in flight at each endpoint: then scores hardly
    differ, and uniform sampling would load a slow machine as much as a fast one.
    """

    __slots__ = ("by_priority", "endpoints", "kinds")

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self.endpoints = endpoints
        self.by_priority: list[EndpointPool] = []
        """A pool for each priority, lowest number first; empty if there is only one priority."""
        priorities = sorted({endpoint.priority for endpoint in endpoints})
        if len(priorities) > 1:
            self.by_priority = [
                EndpointPool([endpoint for endpoint in endpoints if endpoint.priority == priority])
                for priority in priorities
            ]
        by_kind: dict[int, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_kind.setdefault(endpoint.kind, []).append(endpoint)
        self.kinds = [KindGroup(kind, members) for kind, members in by_kind.items()]

    def total_size(self, speed_by_kind: dict[int, float]) -> float:
        """Return the sum of all sizes, each multiplied by the speed of its kind."""
        return sum(group.size * speed_by_kind[group.kind] for group in self.kinds)

    def sample(self, position: float, speed_by_kind: dict[int, float]) -> Endpoint:
        """Return the endpoint at the fraction `position`, from 0 to 1, of the cumulative size of the pool."""
        remaining = position * self.total_size(speed_by_kind)
        for group in self.kinds:  # noqa: B007
            group_size = group.size * speed_by_kind[group.kind]
            if remaining < group_size:
                break
            remaining -= group_size
        index = bisect(group.cumulative_sizes, max(0.0, remaining) / speed_by_kind[group.kind])
        return group.endpoints[min(index, len(group.endpoints) - 1)]


class EndpointRegistry:
    """Holds all endpoints that are listed or still have attempts, and the pools built from them.

    Only endpoint lists and cordons change the pools.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        """Endpoints whose state is READY and that are not cordoned."""
        self.pool = EndpointPool([])
        """Pool of all ready endpoints."""
        self.deduplication_groups: dict[tuple[DeduplicationScope, int], EndpointPool] = {}
        """Pools of endpoints that deduplicate keyed requests together, by scope and zone or cell."""
        self.domains: dict[str, list[Endpoint]] = {}
        """Endpoints that share their sticky sessions, by domain."""
        self.speed_by_kind: dict[int, float] = {}
        """Speed of each kind of machine relative to the others, estimated from reported utilization."""
        self.cordoned_since: dict[str, float] = {}
        self.uncordoned_due: dict[str, float] = {}
        """For each uncordoned endpoint that has not served a request since, when it is due one."""

    def apply_entry(self, entry: EndpointEntry) -> Endpoint | None:
        """Add or update an endpoint; return it if its process is new, else None."""
        endpoint = self.by_id.get(entry.endpoint)
        if endpoint is None:
            endpoint = Endpoint(entry, entry.endpoint in self.cordoned_since)
            self.by_id[entry.endpoint] = endpoint
            return endpoint if endpoint.started != -math.inf else None
        started_before = endpoint.started
        endpoint.apply_entry(entry)
        return endpoint if endpoint.started != started_before else None

    def mark_others_gone(self, listed: Collection[str]) -> None:
        """Mark the endpoints that are missing from a complete list as gone."""
        for endpoint in self.by_id.values():
            if endpoint.id not in listed:
                endpoint.state = EndpointState.GONE

    def cordon(self, name: str, now: float) -> None:
        """Cordon an endpoint, whatever the endpoint list says; it need not be listed yet."""
        self.cordoned_since.setdefault(name, now)
        self.uncordoned_due.pop(name, None)

    def uncordon(self, name: str, now: float) -> None:
        """Uncordon an endpoint.

        It counts as warming up, since it may have been restarted while it was cordoned and the list may lag
        behind; if the list already has a start time after the cordon, that one applies.
        """
        if name not in self.cordoned_since:
            return
        cordoned_since = self.cordoned_since.pop(name)
        endpoint = self.by_id.get(name)
        if endpoint is None:
            return
        self.uncordoned_due[name] = now
        endpoint.pacing_debt = 0.0
        if endpoint.started < cordoned_since:
            endpoint.warm_started_at = now

    def rebuild_pools(self) -> None:
        """Drop endpoints that are gone and have no attempts, and rebuild the pools."""
        self._drop_gone()
        self.ready = [
            endpoint
            for endpoint in self.by_id.values()
            if endpoint.state == EndpointState.READY and not endpoint.cordoned
        ]
        mean_weight = sum(endpoint.weight for endpoint in self.ready) / max(1, len(self.ready))
        groups: dict[tuple[DeduplicationScope, int], list[Endpoint]] = {}
        for endpoint in self.ready:
            endpoint.size = endpoint.weight / mean_weight
            self.speed_by_kind.setdefault(endpoint.kind, 1.0)
            groups.setdefault((DeduplicationScope.ZONE, endpoint.zone), []).append(endpoint)
            groups.setdefault((DeduplicationScope.CELL, endpoint.cell), []).append(endpoint)
        self.domains = {}
        for endpoint in self.by_id.values():
            if endpoint.domain and endpoint.state != EndpointState.GONE:
                self.domains.setdefault(endpoint.domain, []).append(endpoint)
        self.pool = EndpointPool(self.ready)
        self.deduplication_groups = {group: EndpointPool(members) for group, members in groups.items()}

    def _drop_gone(self) -> None:
        gone = [
            endpoint.id
            for endpoint in self.by_id.values()
            if endpoint.state == EndpointState.GONE and not (endpoint.in_flight or endpoint.responding)
        ]
        for name in gone:
            del self.by_id[name]
            self.uncordoned_due.pop(name, None)
