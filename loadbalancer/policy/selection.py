"""Selects the endpoint of a request: sticky sessions, power of two choices, and the fallback."""

from __future__ import annotations

import math
from random import Random

from loadbalancer.policy.actions import LogMessage
from loadbalancer.policy.endpoints import MIN_TIMED_ANSWERS, Endpoint, EndpointPool, EndpointRegistry
from loadbalancer.policy.estimators import linear_decay
from loadbalancer.policy.events import STICKY_DOMAIN_PREFIX, EndpointState
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.settings import PolicySettings
from loadbalancer.policy.slow_start import SlowStart

SAMPLES_PER_CANDIDATE = 3  # more would crowd the few endpoints that pass the filters when most do not
FALLBACK_SAMPLES = 2 * SAMPLES_PER_CANDIDATE
UTILIZATION_LIMIT = 0.95  # conservative: only endpoints without spare capacity are skipped
UTILIZATION_MARGIN = 0.25  # and only if they exceed the mean of the fleet by this
UTILIZATION_WEIGHT = 0.8  # full utilization weighs a little less than one more attempt of this proxy
ERROR_RATE_WEIGHT = 2.0  # an endpoint must not win because it fails fast
MAX_LATE_CHOICES = 3  # consecutive choices that can't answer in time before a request is rejected
TIME_PER_ATTEMPT_VALID_S = 1.0  # a time per attempt is ignored if the last answer is older than this
UNCORDONED_INTERVAL_S = 1.0  # between requests to an uncordoned endpoint until it answers
LOG_INTERVAL_S = 10.0
ANY_CLASS = -1  # no class in particular: only the overall error rate of the endpoint counts


class EndpointSelector:
    """Selects the endpoint of each attempt, by sticky session or by load and health."""

    def __init__(
        self,
        settings: PolicySettings,
        random: Random,
        registry: EndpointRegistry,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        self._sticky_while_draining = settings.sticky_while_draining
        self._random = random
        self._registry = registry
        self._speed_by_kind = registry.speed_by_kind
        self._slow_start = slow_start
        self._outliers = outliers
        self._logged_at = -math.inf
        self._log: LogMessage | None = None

    def pop_log_message(self) -> LogMessage | None:
        """Return and clear the pending log message, if any."""
        log, self._log = self._log, None
        return log

    def select(self, pool: EndpointPool, pending: PendingRequest, now: float) -> Endpoint | None:
        """Return the endpoint of the next attempt, from its sticky session or from the pool, or None."""
        endpoint = self._select_sticky(pending, now)
        if endpoint is None and pool.endpoints and not self._is_pinned(pending):
            endpoint = self._select_in_time(pool, pending, now)
        return endpoint

    def has_untried_endpoint(self, pool: EndpointPool, pending: PendingRequest, now: float) -> bool:
        """Return whether the pool has an endpoint for the next attempt that was not tried yet."""
        if self._is_pinned(pending):
            return False
        tried = _tried_endpoints(pending)
        return any(
            endpoint not in tried and self._slow_start.accepts_requests(endpoint, now)
            for endpoint in pool.endpoints
        )

    def avoids(self, endpoint: Endpoint | None, now: float) -> bool:
        """Return whether selection skips an endpoint because of its state or its failures.

        Load, pacing and the ramp do not count: they only delay requests to an endpoint that is otherwise
        usable.
        """
        if endpoint is None or endpoint.cordoned or endpoint.state != EndpointState.READY:
            return True
        if not self._outliers.is_responsive(endpoint, now):
            return True
        error_rate = linear_decay(endpoint.error_rate, endpoint.error_rate_at, now)
        return error_rate > self._outliers.error_rate_limit(now)

    def is_available(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint accepts requests and is responsive, whatever its load."""
        return self._slow_start.accepts_requests(endpoint, now) and self._outliers.is_responsive(
            endpoint, now
        )

    def passes_filters(self, endpoint: Endpoint, now: float, class_index: int = ANY_CLASS) -> bool:
        """Return whether an endpoint that accepts requests may be a candidate.

        The filters in order: probation, the ramp of slow start, responsiveness, utilization, error rate.
        If all are busy or failing the cause is shared, so the limits follow the mean: skipping most endpoints
        would overload the few that are left.
        """
        if not endpoint.answered and endpoint.in_flight:  # probation: one request until the first answer
            return False
        if endpoint.started and self._slow_start.is_skipped_by_ramp(endpoint, now):
            return False
        outliers = self._outliers
        if not outliers.is_responsive(endpoint, now):
            return False
        utilization_limit = max(UTILIZATION_LIMIT, outliers.mean_utilization + UTILIZATION_MARGIN)
        return linear_decay(
            endpoint.utilization, endpoint.utilization_at, now
        ) <= utilization_limit and outliers.error_rate(
            endpoint, class_index, now
        ) <= outliers.error_rate_limit(now)

    def score(self, endpoint: Endpoint, now: float, class_index: int = ANY_CLASS) -> float:
        """Return the sum of attempts in flight by size, utilization and error rate; lower is better."""
        return (
            len(endpoint.in_flight) / (endpoint.size * self._speed_by_kind[endpoint.kind])
            + UTILIZATION_WEIGHT * linear_decay(endpoint.utilization, endpoint.utilization_at, now)
            + ERROR_RATE_WEIGHT * self._outliers.error_rate(endpoint, class_index, now)
        )

    def still_accepts_attempt(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that was selected earlier may still receive its attempt."""
        if endpoint.cordoned:
            return False
        if endpoint.state == EndpointState.DRAINING:
            return self._sticky_while_draining
        return endpoint.state == EndpointState.READY

    # Sticky sessions.

    def _select_sticky(self, pending: PendingRequest, now: float) -> Endpoint | None:
        """Return the endpoint of a request's session for its first attempt, or None if it is unavailable.

        A session is only a preference: if its endpoint is unknown, gone, failing or unresponsive, the
        endpoint that it redirects to is tried. Sessions can overload an endpoint that power of two choices
        would spare.
        """
        name = pending.sticky_endpoint
        if name is None or pending.attempts:
            return None
        selected = self._endpoint_of_session(name, now)
        if selected is None:
            endpoint = self._registry.by_id.get(name)
            if endpoint is not None and endpoint.redirect:  # one step only: redirects may be circular
                selected = self._endpoint_of_session(endpoint.redirect, now)
        return selected

    def _endpoint_of_session(self, name: str, now: float) -> Endpoint | None:
        """Return the named endpoint, or the better of two from a domain, if it accepts sticky requests."""
        if name.startswith(STICKY_DOMAIN_PREFIX):
            domain = self._registry.domains.get(name[len(STICKY_DOMAIN_PREFIX) :], ())
            candidates = [endpoint for endpoint in domain if self._accepts_sticky_requests(endpoint, now)]
            sample = self._random.sample(candidates, min(2, len(candidates)))
            return min(sample, key=lambda endpoint: self.score(endpoint, now), default=None)
        endpoint = self._registry.by_id.get(name)
        return endpoint if endpoint is not None and self._accepts_sticky_requests(endpoint, now) else None

    def _accepts_sticky_requests(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.cordoned:
            return False
        if endpoint.state == EndpointState.DRAINING:
            return self._sticky_while_draining and self._outliers.is_responsive(endpoint, now)
        return self.is_available(endpoint, now)

    def _is_pinned(self, pending: PendingRequest) -> bool:
        """Return whether the request's session may not move and its endpoint or domain is listed."""
        name = pending.sticky_endpoint
        if not pending.sticky_required or name is None:
            return False
        return (
            name in self._registry.by_id or name.removeprefix(STICKY_DOMAIN_PREFIX) in self._registry.domains
        )

    # Selection from a pool.

    def _select_in_time(self, pool: EndpointPool, pending: PendingRequest, now: float) -> Endpoint | None:
        """Return an endpoint that can answer while that is useful; None if several choices in a row can't."""
        for _ in range(MAX_LATE_CHOICES):
            endpoint = self._select_from_pool(pool, pending, now)
            if endpoint is None or _answers_in_time(endpoint, pending, now):
                return endpoint
        if endpoint is None or not any(each.in_flight for each in pool.endpoints):
            return endpoint  # this proxy has no queue that a rejection would shorten
        self._slow_start.suspend_ramp(now)
        if now > self._logged_at + LOG_INTERVAL_S:
            self._logged_at = now
            self._log = LogMessage(f"rejecting: no time behind {_describe_queue(endpoint)}")
        return None

    def _select_from_pool(self, pool: EndpointPool, pending: PendingRequest, now: float) -> Endpoint | None:
        """Return an endpoint of the first priority with an available one, else any that the rules allow."""
        if self._registry.uncordoned_due and not pending.attempts:
            uncordoned = self._select_uncordoned(now)
            if uncordoned is not None:
                return uncordoned
        tried = _tried_endpoints(pending)
        class_index = pending.class_index
        for priority_pool in pool.by_priority:
            if any(
                self.is_available(endpoint, now) and endpoint not in tried
                for endpoint in priority_pool.endpoints
            ):
                return self._select_better_of_two(
                    priority_pool, tried, class_index, now
                ) or self._select_available(priority_pool, tried, class_index, now)
        selected = self._select_better_of_two(pool, tried, class_index, now)
        return selected or self._select_fallback(pool, tried, class_index, now)

    def _select_uncordoned(self, now: float) -> Endpoint | None:
        """Return an uncordoned endpoint that is due a request, if any.

        Ramp and pace together could leave it without requests for a long time. If it is not running, this
        request fails and is retried.
        """
        for name, due in self._registry.uncordoned_due.items():
            endpoint = self._registry.by_id.get(name)
            if endpoint is not None and now >= due and self._slow_start.accepts_requests(endpoint, now):
                self._registry.uncordoned_due[name] = now + UNCORDONED_INTERVAL_S
                return endpoint
        return None

    def _select_better_of_two(
        self, pool: EndpointPool, tried: list[Endpoint], class_index: int, now: float
    ) -> Endpoint | None:
        """Return the one with the better score of two random candidates (power of two choices)."""
        first = self._sample_candidate(pool, tried, class_index, now)
        if first is None:
            return None
        second = self._sample_candidate(pool, tried, class_index, now)
        if second is None or second is first:
            return first
        if self.score(first, now, class_index) <= self.score(second, now, class_index):
            return first
        return second

    def _sample_candidate(
        self, pool: EndpointPool, tried: list[Endpoint], class_index: int, now: float
    ) -> Endpoint | None:
        """Return a random endpoint that passes the filters, or None after a few samples."""
        random = self._random.random
        accepts_requests = self._slow_start.accepts_requests
        for _ in range(SAMPLES_PER_CANDIDATE):
            endpoint = pool.sample(random(), self._speed_by_kind)
            if not accepts_requests(endpoint, now) or endpoint in tried:
                continue
            if self.passes_filters(endpoint, now, class_index):
                return endpoint
        return None

    def _select_available(
        self, pool: EndpointPool, tried: list[Endpoint], class_index: int, now: float
    ) -> Endpoint:
        """Return the better of two random available endpoints, for when sampling found no candidate."""
        available = [
            endpoint
            for endpoint in pool.endpoints
            if self.is_available(endpoint, now) and endpoint not in tried
        ]
        sample = self._random.sample(available, min(2, len(available)))
        return min(sample, key=lambda endpoint: self.score(endpoint, now, class_index))

    def _select_fallback(
        self, pool: EndpointPool, tried: list[Endpoint], class_index: int, now: float
    ) -> Endpoint | None:
        """Return the better of two that accept requests, without filters; a failing one only as last resort.

        When the others are too busy to pass the filters, endpoints that fail fast have almost nothing in
        flight: by score alone they would get most of the load.
        """
        first: Endpoint | None = None
        failing: Endpoint | None = None
        for _ in range(FALLBACK_SAMPLES):
            endpoint = pool.sample(self._random.random(), self._speed_by_kind)
            if not self._slow_start.accepts_requests(endpoint, now) or endpoint in tried or endpoint is first:
                continue
            is_failing = self._outliers.is_failing(endpoint, class_index, now)
            if is_failing or not self._outliers.is_responsive(endpoint, now):
                failing = endpoint
            elif first is not None:
                return min(first, endpoint, key=lambda candidate: self.score(candidate, now, class_index))
            else:
                first = endpoint
        return first or failing


def _tried_endpoints(pending: PendingRequest) -> list[Endpoint]:
    """Return the endpoints that the request's attempts were sent to."""
    return [attempt.endpoint for attempt in pending.attempts if not attempt.was_not_sent]


def _describe_queue(endpoint: Endpoint) -> str:
    return f"{len(endpoint.in_flight)} attempts of {endpoint.time_per_attempt:.3f} s each at {endpoint.id}"


def _answers_in_time(endpoint: Endpoint, pending: PendingRequest, now: float) -> bool:
    """Return whether an endpoint can answer one more request in time, given this proxy's attempts in flight.

    The share of late attempts reveals a queue only after it has done harm; the attempts in flight reveal it
    at once, also at an endpoint that has slowed down. Requests with less time left are the first to be
    rejected. Queues of other proxies show only in the response times; an endpoint without a recent answer is
    tried again.
    """
    is_outdated = now > endpoint.time_per_attempt_at + TIME_PER_ATTEMPT_VALID_S
    if is_outdated or endpoint.timed_answers < MIN_TIMED_ANSWERS or pending.body_pending:
        return True
    return endpoint.time_per_attempt * (len(endpoint.in_flight) + 1) <= pending.useful_until - now
