"""Outlier detection: learns from the ends of attempts which endpoints fail or are slow."""

from __future__ import annotations

import math
from typing import Mapping

from loadbalancer.policy.endpoints import EJECT_AFTER, Endpoint, EndpointRegistry
from loadbalancer.policy.estimators import DECAY_S, RATE_MEMORY_S, SendRate, linear_decay
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import PolicySettings

MIN_ERROR_RATE = 0.01  # lower rates count as 0, or one slow answer would decide ties until its decay ends
ERROR_STEP = 0.3  # two failures in a row pass the limit, one does not
ERROR_RATE_LIMIT = 0.5  # more failures than answers recently
ERROR_RATE_MARGIN = 0.3  # and only if its rate exceeds that of the fleet by this
MAX_MEAN_ERROR_RATE = 0.4  # cap of the mean over attempts, unless the median endpoint fails more
FAILING_ERROR_RATE = 0.9  # an endpoint over this has served almost nothing recently
OTHER_CLASSES_SHARE = 0.5  # of the overall error rate, the minimum for a class with its own rate
MEDIAN_INTERVAL_S = 0.1  # time for which a computed median error rate is used
PROBE_INTERVAL_S = 1.0  # first interval between requests to an ejected endpoint; doubles with each failure
MAX_BACKOFF_DOUBLINGS = 8
SLOW_MIN_MULTIPLE = 2.5  # multiple of the typical latency over which an answer counts as a partial failure
SLOW_FULL_MULTIPLE = 8.0  # multiple at which it counts as a full failure
MIN_SLOW_OBJECTIVE_SHARE = 0.02  # an answer within this share of its objective never counts as slow
RESPONSE_TIMEOUT_FACTOR = 6.0  # multiple of the typical latency without a first byte
TYPICAL_LATENCY_STEP = 0.05  # relative step by which the typical latency follows the median of the answers
MEAN_STEP = 0.02  # of the means over attempts and reports and of the speeds of kinds: averages several dozens
MAX_SPEED = 4.0  # relative to the mean, and its inverse the minimum: machines of one fleet differ by less

_UNINFORMATIVE = frozenset((AttemptResult.CANCELLED, AttemptResult.NOT_SENT))
_ANSWERED = frozenset((AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.UNUSABLE))


class OutlierDetector:
    """Compares error rates, consecutive failures, slowness and utilization with those usual in the fleet."""

    def __init__(self, settings: PolicySettings, registry: EndpointRegistry, send_rate: SendRate) -> None:
        self._instance_count = settings.instance_count
        self._registry = registry
        self._send_rate = send_rate
        self.typical_latency = [0.0] * len(settings.classes)
        """Recent median of the seconds to an answer of each class; 0 means unknown."""
        self.mean_utilization = 0.0
        """Mean of the reported utilizations."""
        self.mean_error_rate = 0.0
        """Mean over attempts, of all endpoints."""
        self.response_timeout = math.inf
        """Seconds without a first byte after which an endpoint is unresponsive."""
        self._median_error_rate = 0.0
        self._median_due = -math.inf

    # Queries.

    def is_responsive(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint is neither ejected nor past the response timeout with an attempt.

        An ejected endpoint gets one request at a time, at growing intervals, until one is served. Consecutive
        failures also detect the endpoints of a lost zone, which error rates miss: if half of a fleet fails,
        the usual error rate rises, and if a proxy has few answers from each endpoint, a failure decays before
        the next. The drawback is that an endpoint that recovers without a restart is retried late.
        """
        in_flight = endpoint.in_flight
        if in_flight and now - next(iter(in_flight.values())) > self.response_timeout:
            return False
        if endpoint.consecutive_failures < EJECT_AFTER:
            return True
        return not in_flight and now >= endpoint.error_rate_at + self._ejection_time(endpoint, now)

    def _ejection_time(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds after its last failure during which an ejected endpoint gets no request."""
        interval = PROBE_INTERVAL_S
        if self._instance_count > 1:
            # Selection considers an endpoint only so often: if many proxies send little each, an ejection of
            # one second would keep no request away.
            own_rate = max(self._send_rate.per_second(now), 1 / RATE_MEMORY_S)
            interval = max(interval, min(len(self._registry.ready) / own_rate, DECAY_S / 4))
        doublings = min(endpoint.consecutive_failures - EJECT_AFTER, MAX_BACKOFF_DOUBLINGS)
        return min(DECAY_S, interval * 2.0**doublings)

    def error_rate(self, endpoint: Endpoint, class_index: int, now: float) -> float:
        """Return the error rate that applies to a class: its own, or part of the overall one if that is more.

        An endpoint may fail one class and serve the others well. In a common rate the good answers would hide
        the bad ones, and attempts of the failing class would fill the endpoint until it rejects all classes.
        """
        overall = linear_decay(endpoint.error_rate, endpoint.error_rate_at, now)
        if class_index not in endpoint.error_rate_by_class:
            return overall
        rate, updated_at = endpoint.error_rate_by_class[class_index]
        return max(OTHER_CLASSES_SHARE * overall, linear_decay(rate, updated_at, now))

    def is_failing(self, endpoint: Endpoint, class_index: int, now: float) -> bool:
        """Return whether almost all attempts of a class fail at an endpoint."""
        return self.error_rate(endpoint, class_index, now) > FAILING_ERROR_RATE

    def error_rate_limit(self, now: float) -> float:
        """Return the error rate above which an endpoint is no candidate.

        The limit is a margin above the usual rate: the mean over attempts, capped by the larger of
        `MAX_MEAN_ERROR_RATE` and the rate of the median endpoint. Uncapped, the mean would follow the
        endpoint that fails fastest and therefore gets most attempts.
        """
        if now >= self._median_due:
            self._median_due = now + MEDIAN_INTERVAL_S
            rates = sorted(
                linear_decay(endpoint.error_rate, endpoint.error_rate_at, now)
                for endpoint in self._registry.ready
            )
            self._median_error_rate = rates[len(rates) // 2] if rates else 0.0
        usual = min(self.mean_error_rate, max(self._median_error_rate, MAX_MEAN_ERROR_RATE))
        return max(ERROR_RATE_LIMIT, usual + ERROR_RATE_MARGIN)

    # Observations.

    def record_result(
        self,
        endpoint: Endpoint,
        result: AttemptResult,
        report: Mapping[str, float] | None,
        now: float,
        slowness: float = 0.0,
        class_index: int | None = None,
    ) -> None:
        """Record the end of an attempt or probe; a cancelled or unsent one says nothing about its endpoint.

        Args:
            endpoint: The endpoint that it was sent to.
            result: How it ended.
            report: Metrics that the endpoint reports of itself, if any.
            now: The time, in seconds.
            slowness: From 0 (usual) to 1 (as bad as a failure); used for answers and timeouts.
            class_index: The class of the request, if known.
        """
        if report:
            self._record_utilization(endpoint, report.get("utilization"), now)
        if result in _UNINFORMATIVE:
            return
        if result in _ANSWERED:
            endpoint.answered = True
        if result == AttemptResult.UNUSABLE:
            return  # the client's fault; if it counted, bad clients would eject all endpoints
        served = result == AttemptResult.SERVED
        endpoint.record_consecutive_failures(result, slowness)
        if served and self._registry.uncordoned_due:
            self._registry.uncordoned_due.pop(endpoint.id, None)
        failure = slowness if served or result == AttemptResult.TIMEOUT else 1.0
        self._record_failure(endpoint, failure, class_index, now)

    def _record_failure(
        self, endpoint: Endpoint, failure: float, class_index: int | None, now: float
    ) -> None:
        """Move the error rates towards `failure`, from 0 to 1."""
        self.mean_error_rate += MEAN_STEP * (failure - self.mean_error_rate)
        rate = linear_decay(endpoint.error_rate, endpoint.error_rate_at, now)
        rate += ERROR_STEP * (failure - rate)
        endpoint.error_rate = rate if rate > MIN_ERROR_RATE else 0.0
        endpoint.error_rate_at = now
        if class_index is None:
            return
        class_rate, updated_at = endpoint.error_rate_by_class.get(class_index, (0.0, 0.0))
        class_rate = linear_decay(class_rate, updated_at, now)
        class_rate += ERROR_STEP * (failure - class_rate)
        endpoint.error_rate_by_class[class_index] = (class_rate if class_rate > MIN_ERROR_RATE else 0.0, now)

    def _record_utilization(self, endpoint: Endpoint, utilization: object, now: float) -> None:
        """Record a report; kinds that report more than the mean are selected less until all report alike."""
        if not isinstance(utilization, (int, float)) or not 0 <= utilization < math.inf:
            return  # rejects nan too
        endpoint.utilization = min(1.0, utilization)
        endpoint.utilization_at = now
        self.mean_utilization += MEAN_STEP * (endpoint.utilization - self.mean_utilization)
        speeds = self._registry.speed_by_kind
        excess = self.mean_utilization - endpoint.utilization
        speed = speeds[endpoint.kind] * math.exp(MEAN_STEP * excess)
        speeds[endpoint.kind] = min(MAX_SPEED, max(1 / MAX_SPEED, speed))

    def record_time_per_attempt(self, attempt: Attempt, event: Outcome, now: float) -> None:
        """Record how long an answer took for each attempt that this proxy had in flight at the endpoint.

        An attempt that timed out would have taken at least as long.
        """
        if event.result in (AttemptResult.SERVED, AttemptResult.TIMEOUT):
            seconds = event.response_time / attempt.queue_length
            attempt.endpoint.record_time_per_attempt(seconds, now)

    def record_slowness(self, pending: PendingRequest | None, event: Outcome) -> float:
        """Return the slowness of an attempt, 0 to 1, and update the typical latency from it.

        Near full load all endpoints report high utilization, and only response times distinguish slow ones.
        They are compared with the typical latency of the whole fleet, so that a shared cause ejects no
        endpoint.
        """
        if pending is None or pending.body_pending:
            return float(event.result == AttemptResult.TIMEOUT)
        class_index = pending.class_index
        response_time = event.response_time
        typical = self.typical_latency[class_index] or response_time
        if event.result == AttemptResult.TIMEOUT:
            # In a long tail, an answer that has not come yet takes about as long again. If every timeout
            # counted in full, an attempt with a timeout shorter than the usual answer, as a retry may have,
            # would count against its endpoint.
            return _slowness(2 * response_time, typical) if self.typical_latency[class_index] else 1.0
        if event.result != AttemptResult.SERVED:
            return 0.0
        is_longer = response_time > typical
        self.typical_latency[class_index] = typical * (
            1 + TYPICAL_LATENCY_STEP if is_longer else 1 - TYPICAL_LATENCY_STEP
        )
        self.response_timeout = RESPONSE_TIMEOUT_FACTOR * max(self.typical_latency)
        # For very fast answers, three times a tenth of a millisecond is noise of the machine.
        noise_s = MIN_SLOW_OBJECTIVE_SHARE * pending.request_class.latency_objective
        return _slowness(response_time, typical) if response_time > noise_s else 0.0


def _slowness(response_time: float, typical: float) -> float:
    if not typical:
        return 0.0
    return min(
        1.0,
        max(0.0, (response_time / typical - SLOW_MIN_MULTIPLE) / (SLOW_FULL_MULTIPLE - SLOW_MIN_MULTIPLE)),
    )
