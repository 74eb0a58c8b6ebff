"""What one proxy knows of each endpoint, the registry of all of them, and the pools to select from."""

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

TIME_PER_ATTEMPT_STEP = 0.1  # some dozen answers, a fraction of a second under load
MIN_TIMED_ANSWERS = (
    5  # the time per attempt is their mean; fewer say nothing: something may have been held up
)

AttemptKey = tuple[int, int]
"""Request and number of the attempt."""


class Endpoint:
    """What this proxy knows of one endpoint."""

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
        """An operator has taken it out."""
        self.in_flight: dict[AttemptKey, float] = {}
        """Attempts without a first byte, oldest first, and when each was sent."""
        self.responding: set[AttemptKey] = set()
        """Attempts that cost it only a connection: answers that have begun, bodies that still come."""
        self.size = 1.0
        """Weight relative to the mean of the endpoints that are ready."""
        self.started = -math.inf
        """Start of its process as the list says it; 0 is long ago."""
        self.last_used = -math.inf
        self.warm_started_at = -math.inf
        """When it began to warm up for another reason: put back by an operator, or standby until then."""
        self.apply_entry(entry)

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Take over what a list says; under a new start it is another process, of which nothing is known."""
        if entry.started != self.started:
            self._forget()
        self.zone = entry.zone
        self.cell = entry.cell
        self.started = entry.started
        self.state = entry.state
        self.kind = entry.kind
        self.priority = entry.priority
        self.domain = entry.domain
        self.redirect = entry.redirect
        self.weight = entry.weight if 0 < entry.weight < math.inf else 1.0

    def _forget(self) -> None:
        self.utilization = 0.0
        self.utilization_at = 0.0
        self.error_rate = 0.0
        self.error_rate_at = 0.0
        self.error_rate_by_class: dict[int, tuple[float, float]] = {}
        """Error rate of each class that it has served, and when it was last updated."""
        self.answered = False
        """It has answered since its start; until then it is on probation."""
        self.consecutive_failures = 0
        self.time_per_attempt = 0.0
        """Seconds that an answer takes for each attempt of this proxy that is in flight there."""
        self.time_per_attempt_at = -math.inf
        self.timed_answers = 0
        """Answers that this time was learnt from."""
        self.pacing_debt = 0.0
        """Requests of its slow-start pace that must pass until the next one; see slow_start.py."""
        self.pacing_updated_at = 0.0

    def warming_since(self) -> float:
        """Return when it began to warm up, the later of its start and of a warm start."""
        return max(self.started or -math.inf, self.warm_started_at)

    def record_time_per_attempt(self, seconds: float, now: float) -> None:
        """Take note of an answer that took so long for each attempt of this proxy that was there.

        The first answers count alike: else one that was held up would stand for the next dozen.
        """
        self.timed_answers += 1
        step = TIME_PER_ATTEMPT_STEP
        if self.timed_answers <= MIN_TIMED_ANSWERS:
            step = 1 / self.timed_answers
        self.time_per_attempt += step * (seconds - self.time_per_attempt)
        self.time_per_attempt_at = now

    def restore_time_per_attempt(self, seconds: float, at: float) -> None:
        """Take over what another process has learnt by then."""
        self.timed_answers = MIN_TIMED_ANSWERS
        self.time_per_attempt = seconds
        self.time_per_attempt_at = at

    def end_attempt(self, key: AttemptKey) -> bool:
        """Take an attempt that has ended off the endpoint.

        Returns:
            Whether it was in flight, as opposed to one whose answer had begun or whose body still came.

        Raises:
            UnknownAttemptError: No such attempt is here.
        """
        was_in_flight = self.in_flight.pop(key, None) is not None
        if not was_in_flight and key not in self.responding:
            raise UnknownAttemptError(*key)
        self.responding.discard(key)
        return was_in_flight

    def record_consecutive_failures(self, result: AttemptResult, slowness: float) -> None:
        """Count failures in a row; an endpoint that turns a request away as full is up."""
        if result == AttemptResult.SERVED:
            self.consecutive_failures = 0
        elif result == AttemptResult.NO_CONNECTION:
            # Nothing listens there: the next request need not find it out again.
            self.consecutive_failures = max(self.consecutive_failures + 1, EJECT_AFTER)
        elif result != AttemptResult.FULL:
            self.consecutive_failures += slowness >= 1.0 or result != AttemptResult.TIMEOUT


class KindGroup:
    """Endpoints of one kind of machine in a pool."""

    __slots__ = ("cumulative_sizes", "endpoints", "kind", "size")

    def __init__(self, kind: int, endpoints: list[Endpoint]) -> None:
        self.kind = kind
        self.endpoints = endpoints
        self.cumulative_sizes = list(accumulate(endpoint.size for endpoint in endpoints))
        self.size = self.cumulative_sizes[-1]


class EndpointPool:
    """Endpoints to sample from, each with the chance that its size and the speed of its kind give it.

    Sampling by size matters where a proxy has next to nothing in flight at an endpoint: then the score says
    little, and an even sample would load a slow machine like a fast one.
    """

    __slots__ = ("by_priority", "endpoints", "kinds")

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self.endpoints = endpoints
        self.by_priority: list[EndpointPool] = []
        """Where there are several priorities, a pool of each, the one that serves first in front."""
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
        """Return the sum of all sizes, each by the speed of its kind."""
        return sum(group.size * speed_by_kind[group.kind] for group in self.kinds)

    def sample(self, chance: float, speed_by_kind: dict[int, float]) -> Endpoint:
        """Return the endpoint at a place, `chance` from 0 to 1, of the total size of the pool."""
        remaining = chance * self.total_size(speed_by_kind)
        for group in self.kinds:  # noqa: B007
            group_size = group.size * speed_by_kind[group.kind]
            if remaining < group_size:
                break
            remaining -= group_size
        place = bisect(group.cumulative_sizes, max(0.0, remaining) / speed_by_kind[group.kind])
        return group.endpoints[min(place, len(group.endpoints) - 1)]


class EndpointRegistry:
    """All endpoints that are listed or still have attempts, and the pools that are made of them.

    Only endpoint lists and operators change the pools.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        """Endpoints that may be selected by state; neither draining nor cordoned."""
        self.pool = EndpointPool([])
        """All that are ready."""
        self.deduplication_groups: dict[tuple[DeduplicationScope, int], EndpointPool] = {}
        """Those that share the memory of keyed requests, by scope and zone or cell."""
        self.domains: dict[str, list[Endpoint]] = {}
        """Those that share their sticky sessions."""
        self.speed_by_kind: dict[int, float] = {}
        """Speed of a kind of machine relative to the others, as their reported utilization tells."""
        self.cordoned_since: dict[str, float] = {}
        self.uncordoned_due: dict[str, float] = {}
        """Put back by an operator and unanswered so far, and when each is due a request."""

    def apply_entry(self, entry: EndpointEntry) -> Endpoint | None:
        """Add or change an endpoint; return it where its process is a new one."""
        endpoint = self.by_id.get(entry.endpoint)
        if endpoint is None:
            endpoint = Endpoint(entry, entry.endpoint in self.cordoned_since)
            self.by_id[entry.endpoint] = endpoint
            return endpoint if endpoint.started != -math.inf else None
        started_before = endpoint.started
        endpoint.apply_entry(entry)
        return endpoint if endpoint.started != started_before else None

    def mark_others_gone(self, listed: Collection[str]) -> None:
        """Mark the endpoints that a complete list does not name as gone."""
        for endpoint in self.by_id.values():
            if endpoint.id not in listed:
                endpoint.state = EndpointState.GONE

    def cordon(self, name: str, now: float) -> None:
        """Take an endpoint out, whatever lists say of it, also of one that is not listed yet."""
        self.cordoned_since.setdefault(name, now)
        self.uncordoned_due.pop(name, None)

    def uncordon(self, name: str, now: float) -> None:
        """Put an endpoint back.

        It counts as warming up, since it may have been restarted meanwhile and the list be late to say so;
        where the list has said so already, that start counts.
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
        """Drop endpoints that are gone and idle, and make the pools anew."""
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
