"""Alternative load-shedding rules for comparison with that of the product, each as a `Balancer` subclass.

All reject in the same order (`LoadShedding.rejects`: the least worth per work first); they differ in how the shed level
is computed. `program` is the rule of the product.
"""

from __future__ import annotations

import math
from typing import Any, Mapping

from emulator.world import BalancerFactory
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
    Request,
)
from loadbalancer.policy.load_shedding import LoadShedding
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.settings import PolicySettings

IGNORED_RESULTS = (
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.NO_CONNECTION,
    AttemptResult.UNUSABLE,
)


class NoLimit(ConcurrencyLimit):
    """Disables the concurrency limit of the product."""

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        return False

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        pass


class NoShedding(LoadShedding):
    """Sheds no load, as a baseline: only requests that can't be sent are rejected."""

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        return False


class LimitShedding(LoadShedding):
    """Rejects requests only at a limit on the requests in flight of this instance.

    Classes with less worth are rejected first: each lower rank may use only a smaller part of the limit.
    """

    MIN_LIMIT, INITIAL_LIMIT, MAX_LIMIT = 2.0, 20.0, 10_000.0
    #: Part of the limit for each rank, relative to the rank above; the class with the most worth may use all of it.
    RANK_SHARE = 0.8

    def __init__(self, settings: PolicySettings, *parts: Any) -> None:
        super().__init__(settings, *parts)
        self.limit = self.INITIAL_LIMIT
        self.best_times = [math.inf] * len(settings.classes)  # shortest recent response time, by class
        self.relaxed_at = 0.0

    @property
    def in_flight(self) -> int:
        return self._concurrency_limit.in_flight

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        values = self._value.by_class()
        rank = sum(value > values[event.class_index] for value in values) + is_late
        allowed = self.limit * self.RANK_SHARE**rank
        over = self.in_flight >= allowed
        self.level = max(0.0, self.in_flight / max(self.limit, 1e-9) - 1.0) if over else 0.0
        return over

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> None:
        if event.result in IGNORED_RESULTS:
            return
        response_time = event.response_time
        if event.result == AttemptResult.SERVED:
            if now - self.relaxed_at > 10.0:  # relax the best times, since the fleet may have changed
                self.best_times, self.relaxed_at = [best * 1.5 for best in self.best_times], now
            self.best_times[pending.class_index] = min(self.best_times[pending.class_index], response_time)
        self._adapt(pending, event, response_time)
        self.limit = min(self.MAX_LIMIT, max(self.MIN_LIMIT, self.limit))

    def _adapt(self, pending: PendingRequest, event: Outcome, response_time: float) -> None:
        raise NotImplementedError


class AimdShedding(LimitShedding):
    """Adapts the limit by AIMD: plus one per `limit` responses in time, minus a tenth, and at most 1, per late one."""

    def _adapt(self, pending: PendingRequest, event: Outcome, response_time: float) -> None:
        late = (
            event.result != AttemptResult.SERVED
            or response_time > 0.7 * pending.request_class.latency_objective
        )
        if late:
            self.limit *= 1 - 0.1 / max(1.0, self.limit / 10)
        elif self.in_flight > self.limit / 2:
            self.limit += 1.0 / self.limit


class GradientShedding(LimitShedding):
    """Adapts the limit by the ratio of best to current response time, with room for a queue of its square root."""

    def _adapt(self, pending: PendingRequest, event: Outcome, response_time: float) -> None:
        best = self.best_times[pending.class_index]
        if not math.isfinite(best):
            return
        gradient = max(0.5, min(1.0, 2.0 * best / max(response_time, 1e-6)))
        target_limit = self.limit * gradient + math.sqrt(self.limit)
        if target_limit < self.limit or self.in_flight > self.limit / 2:
            self.limit += 0.05 * (target_limit - self.limit) / max(1.0, self.limit / 10)


class VegasShedding(LimitShedding):
    """Adapts the limit by the estimated queue: up while it is short and down while it is long.

    The queue is estimated from the ratio of best to current response time.
    """

    def _adapt(self, pending: PendingRequest, event: Outcome, response_time: float) -> None:
        best = self.best_times[pending.class_index]
        if not math.isfinite(best) or event.result != AttemptResult.SERVED:
            self.limit -= 1.0 / self.limit
            return
        queued = self.limit * (1 - best / max(response_time, best))
        low, high = 3 * math.log10(self.limit + 1), 6 * math.log10(self.limit + 1)
        if queued < low and self.in_flight > self.limit / 2:
            self.limit += 1.0 / self.limit
        elif queued > high:
            self.limit -= 1.0 / self.limit


class DelayShedding(LoadShedding):
    """Changes the shed level of the product by the response time instead of the share of late attempts.

    While even the fastest response of an interval takes longer than a part of its aim, there is a standing queue (the
    idea of CoDel).
    """

    INTERVAL_S, DELAY_SHARE, STEP = 0.5, 0.35, 0.25

    def __init__(self, settings: PolicySettings, *parts: Any) -> None:
        super().__init__(settings, *parts)
        self.fastest_share = math.inf  # fastest response of the interval, as a share of its aim
        self.interval_end = 0.0

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> None:
        if event.result in IGNORED_RESULTS:
            return
        response_time = event.response_time
        objective_share = (
            response_time / pending.request_class.latency_objective
            if event.result == AttemptResult.SERVED
            else 1.0
        )
        self.fastest_share = min(self.fastest_share, objective_share)
        if now < self.interval_end:
            return
        step = self.STEP if self.fastest_share > self.DELAY_SHARE else -self.STEP
        self.level = min(self._max_level, max(0.0, self.level + step))
        self.fastest_share, self.interval_end = math.inf, now + self.INTERVAL_S


class EngagedLimit(ConcurrencyLimit):
    """Applies the limit of the product only while more than SHARE of the latest attempts are late.

    It starts at the number of requests in flight at that time, and is removed once almost no attempts are late and less
    than half of it is used, so that a burst or a restart meets no limit.
    """

    SHARE, STEP, REMOVE_SHARE, LATE_FROM, MIN_LIMIT = 0.1, 0.02, 0.01, 0.7, 16.0

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.limit, self.late_ewma, self.in_flight_ewma = math.inf, 0.0, 0.0

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        # The product applies its limit only if there is a share of late attempts.
        self.late_share = float(self.limit < math.inf)
        return super().is_full(class_index, ranks_below_class)

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        if event.result not in (AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.FULL):
            return
        response_time = event.response_time
        late = (
            event.result != AttemptResult.SERVED
            or response_time > self.LATE_FROM * pending.request_class.latency_objective
        )
        in_flight = self.in_flight + 1
        self.late_ewma += self.STEP * (late - self.late_ewma)
        self.in_flight_ewma += self.STEP * (in_flight - self.in_flight_ewma)
        if self.limit == math.inf:
            if self.late_ewma > self.SHARE:
                self.limit = max(self.MIN_LIMIT, self.in_flight_ewma)
            return
        if late:
            self.limit -= (1 - self.SHARE) / self.SHARE / self.limit
        elif in_flight > self.limit / 2:
            self.limit += 1.0 / self.limit
        elif self.late_ewma < self.REMOVE_SHARE:
            self.limit = math.inf
            return
        self.limit = max(self.MIN_LIMIT, self.limit)


class NoSheddingBalancer(Balancer):
    load_shedding_type = NoShedding


class Aimd(Balancer):
    load_shedding_type = AimdShedding
    concurrency_limit_type = NoLimit


class Gradient(Balancer):
    load_shedding_type = GradientShedding
    concurrency_limit_type = NoLimit


class Vegas(Balancer):
    load_shedding_type = VegasShedding
    concurrency_limit_type = NoLimit


class LevelLimit(ConcurrencyLimit):
    """Adapts as the limit of the product does, but never rejects."""

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        return False


class Level(Balancer):
    """Uses the shed level without the concurrency limit (`policy/concurrency_limit.py`)."""

    concurrency_limit_type = LevelLimit


class Delay(Balancer):
    load_shedding_type = DelayShedding
    concurrency_limit_type = LevelLimit


class Engaged(Balancer):
    concurrency_limit_type = EngagedLimit


RULES: Mapping[str, BalancerFactory] = {
    "program": Balancer, "level": Level, "none": NoSheddingBalancer, "aimd": Aimd, "gradient": Gradient, "vegas": Vegas,
    "delay": Delay, "engaged": Engaged,
}  # fmt: skip
