"""Outlier detection: what is learnt of endpoints from the ends of attempts, and which of them are failing."""

from __future__ import annotations

import math
from typing import Mapping

from loadbalancer.policy.endpoints import EJECT_AFTER, Endpoint, EndpointRegistry
from loadbalancer.policy.estimators import DECAY_S, RATE_MEMORY_S, SendRate, linear_decay
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import PolicySettings

MIN_ERROR_RATE = 0.01  # less is none: the trace of one slow answer would decide ties for as long as it fades
ERROR_STEP = 0.3  # two failures in a row pass the limit, one does not
ERROR_RATE_LIMIT = 0.5  # more failures than answers lately
ERROR_RATE_MARGIN = 0.3  # and only where they stand out from the fleet by this
MAX_MEAN_ERROR_RATE = 0.4  # of the mean over attempts, where the median endpoint fails less
FAILING_ERROR_RATE = 0.9  # an endpoint over this has served next to nothing lately
OTHER_CLASSES_SHARE = 0.5  # of an endpoint's error rate, for a class that has one of its own there
MEDIAN_INTERVAL_S = 0.1  # for so long the median error rate stands
PROBE_INTERVAL_S = 1.0  # between requests to an ejected endpoint at first; each failure more doubles it
MAX_BACKOFF_DOUBLINGS = 8
SLOW_FROM = 2.5  # an answer that took this multiple of the typical latency starts to count as a failure
SLOW_FULL = 8.0  # and at this one it counts in full
MIN_SLOW_OBJECTIVE_SHARE = 0.02  # an answer within this share of its objective never counts as slow
RESPONSE_TIMEOUT_FACTOR = 6.0  # of the typical latency, without a first byte
TYPICAL_LATENCY_STEP = 0.05  # the typical latency follows the median of the answers by such steps
MEAN_STEP = 0.02  # of the means over attempts and reports, and of the speeds of kinds: some dozens move them
MAX_SPEED = 4.0  # machines of one fleet differ by less, either way

_SAYS_NOTHING = frozenset((AttemptResult.CANCELLED, AttemptResult.NOT_SENT))
_ANSWERED = frozenset((AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.UNUSABLE))


class OutlierDetector:
    """Error rates, consecutive failures, slowness and utilization, against what is usual in the fleet."""

    def __init__(self, settings: PolicySettings, registry: EndpointRegistry, send_rate: SendRate) -> None:
        self._instance_count = settings.instance_count
        self._registry = registry
        self._send_rate = send_rate
        self.typical_latency = [0.0] * len(settings.classes)
        """Seconds that an answer of a class takes, the median of late; 0: unknown."""
        self.mean_utilization = 0.0
        """Over reports."""
        self.mean_error_rate = 0.0
        """Over attempts."""
        self.response_timeout = math.inf
        """Seconds without a first byte after which an endpoint is unresponsive."""
        self._median_error_rate = 0.0
        self._median_due = -math.inf

    # Questions.

    def is_responsive(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint neither keeps an attempt waiting for too long nor is ejected.

        An ejected endpoint gets one request at a time, at growing intervals, until one is served. Consecutive
        failures also find the endpoints of a lost zone: half of a fleet raises the usual error rate, and
        where a proxy has few answers from each, a failure fades before the next. An endpoint that recovers
        without a new start is tried late.
        """
        in_flight = endpoint.in_flight
        if in_flight and now - next(iter(in_flight.values())) > self.response_timeout:
            return False
        if endpoint.consecutive_failures < EJECT_AFTER:
            return True
        return not in_flight and now >= endpoint.error_rate_at + self._ejection_time(endpoint, now)

    def _ejection_time(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds after its last failure in which an endpoint gets nothing."""
        interval = PROBE_INTERVAL_S
        if self._instance_count > 1:
            # Selection comes by an endpoint only so often: where many proxies send little each, a second
            # would keep nothing away.
            own_rate = max(self._send_rate.per_second(now), 1 / RATE_MEMORY_S)
            interval = max(interval, min(len(self._registry.ready) / own_rate, DECAY_S / 4))
        doublings = min(endpoint.consecutive_failures - EJECT_AFTER, MAX_BACKOFF_DOUBLINGS)
        return min(DECAY_S, interval * 2.0**doublings)

    def error_rate(self, endpoint: Endpoint, class_index: int, now: float) -> float:
        """Return the error rate that counts for a class: its own, or part of the endpoint's if that is more.

        An endpoint may serve one class badly and the others well. Counted together the good answers would
        hide the bad ones, whose attempts then fill the endpoint until it turns all classes away.
        """
        overall = linear_decay(endpoint.error_rate, endpoint.error_rate_at, now)
        if class_index not in endpoint.error_rate_by_class:
            return overall
        rate, updated_at = endpoint.error_rate_by_class[class_index]
        return max(OTHER_CLASSES_SHARE * overall, linear_decay(rate, updated_at, now))

    def is_failing(self, endpoint: Endpoint, class_index: int, now: float) -> bool:
        """Return whether nearly all attempts of a class fail there."""
        return self.error_rate(endpoint, class_index, now) > FAILING_ERROR_RATE

    def error_rate_limit(self, now: float) -> float:
        """Return the error rate over which an endpoint is no candidate.

        It stands out from the usual, which is the mean over attempts but not much more than the rate of the
        median endpoint: the mean follows whoever fails fastest, and gets most attempts for it.
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
        """Learn from the end of an attempt or probe. A cancelled or unsent one says nothing of its endpoint.

        Args:
            endpoint: Where it went.
            result: How it ended.
            report: What the endpoint says of itself, if anything.
            now: The time, in seconds.
            slowness: From 0, as usual, to 1, as bad as a failure; counts for answers and timeouts.
            class_index: The class of the request, where it is known.
        """
        if report:
            self._record_utilization(endpoint, report.get("utilization"), now)
        if result in _SAYS_NOTHING:
            return
        if result in _ANSWERED:
            endpoint.answered = True
        if result == AttemptResult.UNUSABLE:
            return  # says something of the client; counted, bad clients would eject all endpoints
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
        """Note a report; kinds that report more than the mean are selected less, until all report alike."""
        if not isinstance(utilization, (int, float)) or not 0 <= utilization < math.inf:
            return  # nan, too
        endpoint.utilization = min(1.0, utilization)
        endpoint.utilization_at = now
        self.mean_utilization += MEAN_STEP * (endpoint.utilization - self.mean_utilization)
        speeds = self._registry.speed_by_kind
        excess = self.mean_utilization - endpoint.utilization
        speed = speeds[endpoint.kind] * math.exp(MEAN_STEP * excess)
        speeds[endpoint.kind] = min(MAX_SPEED, max(1 / MAX_SPEED, speed))

    def record_time_per_attempt(self, attempt: Attempt, event: Outcome, now: float) -> None:
        """Learn how long an endpoint's answers take, for each attempt of this proxy that was there.

        An attempt that ran out of time took that at the least.
        """
        if event.result in (AttemptResult.SERVED, AttemptResult.TIMEOUT):
            seconds = event.response_time / attempt.queue_length
            attempt.endpoint.record_time_per_attempt(seconds, now)

    def record_slowness(self, pending: PendingRequest | None, event: Outcome) -> float:
        """Return the slowness of an attempt, 0 to 1, and learn the typical latency from it.

        Near full load all endpoints report high utilization, and only their answers tell slow ones apart.
        They are held against the typical latency of the whole fleet, so that a shared cause ejects none.
        """
        if pending is None or pending.body_pending:
            return float(event.result == AttemptResult.TIMEOUT)
        class_index = pending.class_index
        response_time = event.response_time
        typical = self.typical_latency[class_index] or response_time
        if event.result == AttemptResult.TIMEOUT:
            # An answer that has not come by now takes about as long again, as tails go. Counted in full, an
            # attempt that had less time than answers take, as a retry may, would tell against its endpoint.
            return _slowness(2 * response_time, typical) if self.typical_latency[class_index] else 1.0
        if event.result != AttemptResult.SERVED:
            return 0.0
        is_longer = response_time > typical
        self.typical_latency[class_index] = typical * (
            1 + TYPICAL_LATENCY_STEP if is_longer else 1 - TYPICAL_LATENCY_STEP
        )
        self.response_timeout = RESPONSE_TIMEOUT_FACTOR * max(self.typical_latency)
        # Where answers take next to nothing, thrice a tenth of a millisecond is noise of the machine.
        noise_s = MIN_SLOW_OBJECTIVE_SHARE * pending.request_class.latency_objective
        return _slowness(response_time, typical) if response_time > noise_s else 0.0


def _slowness(response_time: float, typical: float) -> float:
    if not typical:
        return 0.0
    return min(1.0, max(0.0, (response_time / typical - SLOW_FROM) / (SLOW_FULL - SLOW_FROM)))
