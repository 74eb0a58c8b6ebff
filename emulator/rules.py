"""Rules of refusing that were tried in place of the program's, each a whole `Balancer` with another level.

All refuse by the same order (`LoadShedding.rejects`: the least worth for its work first); they differ in what the
level is taken from. `program` is the real one.
"""

from __future__ import annotations

import math
from typing import Any, Mapping

from emulator.world import Make
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

COUNTED_NOT = (
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.NO_CONNECTION,
    AttemptResult.UNUSABLE,
)


class NoLimit(ConcurrencyLimit):
    """The program's own limit is not asked."""

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        return False

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        pass


class NoShedding(LoadShedding):
    """Nothing is refused but what can't be sent: the floor."""

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        return False


class LimitShedding(LoadShedding):
    """A limit on own requests in flight, below which nothing is refused. The classes that earn least give way first:
    each rank may fill its part of the limit alone."""

    LEAST, START, MOST = 2.0, 20.0, 10_000.0
    #: Parts of the limit that classes may fill, the dearest all of it.
    PART = 0.8

    def __init__(self, settings: PolicySettings, *parts: Any) -> None:
        super().__init__(settings, *parts)
        self.limit = self.START
        self.best = [math.inf] * len(settings.classes)  # the least time an answer took of late
        self.renewed = 0.0

    @property
    def in_flight(self) -> int:
        return self._concurrency_limit.in_flight

    def rejects(self, event: Request, is_late: bool, now: float) -> bool:
        values = self._value.by_class()
        rank = sum(value > values[event.class_index] for value in values) + is_late
        room = self.limit * self.PART**rank
        over = self.in_flight >= room
        self.level = max(0.0, self.in_flight / max(self.limit, 1e-9) - 1.0) if over else 0.0
        return over

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> None:
        if event.result in COUNTED_NOT:
            return
        took = event.response_time
        if event.result == AttemptResult.SERVED:
            if now - self.renewed > 10.0:  # the fleet may have changed
                self.best, self.renewed = [one * 1.5 for one in self.best], now
            self.best[pending.class_index] = min(self.best[pending.class_index], took)
        self._adapt(pending, event, took)
        self.limit = min(self.MOST, max(self.LEAST, self.limit))

    def _adapt(self, pending: PendingRequest, event: Outcome, took: float) -> None:
        raise NotImplementedError


class AimdShedding(LimitShedding):
    """Up by one for each limit's worth of answers in time, down by a tenth for one that is late."""

    def _adapt(self, pending: PendingRequest, event: Outcome, took: float) -> None:
        late = event.result != AttemptResult.SERVED or took > 0.7 * pending.request_class.latency_objective
        if late:
            self.limit *= 1 - 0.1 / max(1.0, self.limit / 10)
        elif self.in_flight > self.limit / 2:
            self.limit += 1.0 / self.limit


class GradientShedding(LimitShedding):
    """The limit times the best time over the present one, and room for a queue of its square root."""

    def _adapt(self, pending: PendingRequest, event: Outcome, took: float) -> None:
        best = self.best[pending.class_index]
        if not math.isfinite(best):
            return
        gradient = max(0.5, min(1.0, 2.0 * best / max(took, 1e-6)))
        wanted = self.limit * gradient + math.sqrt(self.limit)
        if wanted < self.limit or self.in_flight > self.limit / 2:
            self.limit += 0.05 * (wanted - self.limit) / max(1.0, self.limit / 10)


class VegasShedding(LimitShedding):
    """Up while few of those in flight wait in queues, by the best time over the present one, and down while many do."""

    def _adapt(self, pending: PendingRequest, event: Outcome, took: float) -> None:
        best = self.best[pending.class_index]
        if not math.isfinite(best) or event.result != AttemptResult.SERVED:
            self.limit -= 1.0 / self.limit
            return
        queued = self.limit * (1 - best / max(took, best))
        low, high = 3 * math.log10(self.limit + 1), 6 * math.log10(self.limit + 1)
        if queued < low and self.in_flight > self.limit / 2:
            self.limit += 1.0 / self.limit
        elif queued > high:
            self.limit -= 1.0 / self.limit


class DelayShedding(LoadShedding):
    """The program's level, stepped by the delay over the best time in place of the share of late attempts: while even
    the quickest answer of an interval waited longer than a part of its aim, the queue stands (CoDel's idea)."""

    INTERVAL_S, PART, STEP = 0.5, 0.35, 0.25

    def __init__(self, settings: PolicySettings, *parts: Any) -> None:
        super().__init__(settings, *parts)
        self.least = math.inf  # of the interval, as a part of the aim
        self.until = 0.0

    def record_outcome(self, pending: PendingRequest, event: Outcome, now: float) -> None:
        if event.result in COUNTED_NOT:
            return
        took = event.response_time
        part = took / pending.request_class.latency_objective if event.result == AttemptResult.SERVED else 1.0
        self.least = min(self.least, part)
        if now < self.until:
            return
        step = self.STEP if self.least > self.PART else -self.STEP
        self.level = min(self._max_level, max(0.0, self.level + step))
        self.least, self.until = math.inf, now + self.INTERVAL_S


class EngagedLimit(ConcurrencyLimit):
    """The program's limit, but there is none until more than SHARE of the latest attempts take long; it begins at
    what is in flight then, and is gone again once next to none do and it is half empty: a burst or a restart meets
    none."""

    SHARE, STEP, GONE, FROM, LEAST = 0.1, 0.02, 0.01, 0.7, 16.0

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.limit, self.late, self.usual_flight = math.inf, 0.0, 0.0

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        self.late_share = float(
            self.limit < math.inf
        )  # which the program asks for before it holds to a limit
        return super().is_full(class_index, ranks_below_class)

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        if event.result not in (AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.FULL):
            return
        took = event.response_time
        late = (
            event.result != AttemptResult.SERVED or took > self.FROM * pending.request_class.latency_objective
        )
        flight = self.in_flight + 1
        self.late += self.STEP * (late - self.late)
        self.usual_flight += self.STEP * (flight - self.usual_flight)
        if self.limit == math.inf:
            if self.late > self.SHARE:
                self.limit = max(self.LEAST, self.usual_flight)
            return
        if late:
            self.limit -= (1 - self.SHARE) / self.SHARE / self.limit
        elif flight > self.limit / 2:
            self.limit += 1.0 / self.limit
        elif self.late < self.GONE:
            self.limit = math.inf
            return
        self.limit = max(self.LEAST, self.limit)


class NoRefusing(Balancer):
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
    """Learns as the program's limit does, and rejects nothing."""

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        return False


class Level(Balancer):
    """The level alone, as the program had it before the limit (`policy/concurrency_limit.py`)."""

    concurrency_limit_type = LevelLimit


class Delay(Balancer):
    load_shedding_type = DelayShedding
    concurrency_limit_type = LevelLimit


class Engaged(Balancer):
    concurrency_limit_type = EngagedLimit


RULES: Mapping[str, Make] = {
    "program": Balancer, "level": Level, "none": NoRefusing, "aimd": Aimd, "gradient": Gradient, "vegas": Vegas,
    "delay": Delay, "engaged": Engaged,
}  # fmt: skip
