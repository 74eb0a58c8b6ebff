"""A request that is owed its answer, its attempts, and the times left that requests come with."""

from __future__ import annotations

import math

from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    Request,
)
from loadbalancer.policy.settings import (
    RequestClass,
)

RATE_S = 5.0  # memory of the own sending rate
PATIENCE_NEAR = 0.03  # times left that differ by less than this share are of the same kind of try
PATIENCE_KINDS = 8  # first tries, second ones after a refusal, after a time-out, the last
PATIENCE_KEEP = 0.995  # some two hundred requests tell which kind is the most common
LATER_AGAIN = 0.5  # of those who tried in vain before, so many try once more
PATIENCE_LEAST = 20.0  # requests before anything is said
QUANTILE_STEP = 0.05  # an answer moves the quantile by this share of itself at most
QUANTILE_LEAST = 50  # answers before it says anything


class Attempt:
    __slots__ = ("server", "sent", "queue", "open", "may_have_run", "unsent")

    def __init__(self, server: Endpoint, sent: float, queue: int) -> None:
        self.server, self.sent, self.open, self.may_have_run = server, sent, True, True
        self.unsent = False  # it has ended before anything of it left
        self.queue = queue  # own attempts at the server when it was sent, itself among them


class FirstTryDetector:
    """The times left that requests of a class come with, in kinds; the most common are first tries.

    Every later try follows an earlier one, so none of its kinds is as common. The longest will not do: where
    clients end their tries early, the last one may come with more time left than the first."""

    __slots__ = ("kinds", "unanswered", "at")

    def __init__(self) -> None:
        self.kinds: list[list[float]] = []  # time left, and how often of late
        self.unanswered = self.at = 0.0  # fading count of tries left unserved, which clients may repeat

    def left_unserved(self, late: bool) -> None:
        self.unanswered += LATER_AGAIN if late else 1.0

    def is_usual(self, left: float, now: float) -> bool:
        """Take note of a request; whether it looks like a first try, or nothing can be said yet."""
        self.unanswered *= math.exp((self.at - now) / RATE_S)
        self.at = now
        mine = None
        for kind in self.kinds:
            kind[1] *= PATIENCE_KEEP
            if mine is None and abs(kind[0] - left) <= PATIENCE_NEAR * kind[0]:
                mine = kind
        if mine is None:
            mine = [left, 0.0]
            if len(self.kinds) >= PATIENCE_KINDS:
                self.kinds.remove(min(self.kinds, key=lambda kind: kind[1]))
            self.kinds.append(mine)
        mine[0] += (left - mine[0]) / 16
        mine[1] += 1.0
        most = max(self.kinds, key=lambda kind: kind[1])
        return mine is most or most[1] < PATIENCE_LEAST


class StreamingQuantile:
    """The time that a share of a class's answers stays under, followed by steps that balance where it is."""

    __slots__ = ("share", "value", "count")

    def __init__(self, share: float) -> None:
        self.share, self.value, self.count = share, 0.0, 0

    def note(self, took: float) -> None:
        """`took`: seconds, over 0. Begins at the longest of the first: better a copy too late."""
        self.count += 1
        if self.count <= QUANTILE_LEAST:
            self.value = max(self.value, took)
            return
        step = self.share if took > self.value else self.share - 1
        self.value *= math.exp(QUANTILE_STEP * step)


class PendingRequest:
    """A request that is owed its final answer."""

    __slots__ = (
        "id",
        "cls",
        "number",
        "deadline",
        "useful",
        "began",
        "aim",
        "late",
        "attempts",
        "streaming",
        "member",
        "bound",
        "most",
        "repeat_on",
        "coming",
        "held",
    )

    def __init__(
        self,
        event: Request,
        cls: RequestClass,
        now: float,
        waited: float,
        usual: float,
        slack: float,
        loaded: bool,
    ) -> None:
        self.id, self.cls, self.number, self.began = event.request, cls, event.class_index, now
        self.deadline = now + max(0.0, event.time_remaining)
        aim = cls.latency_objective + cls.objective_per_work * (event.work_hint or 0.0)
        self.aim = min(now + aim, self.deadline)
        # Its aim passes, or has passed, before an answer comes, and then it earns nothing.
        self.late = waited > 0 and waited + usual > aim and cls.late_value == 0
        # An answer that earns nothing past its aim is not waited for; ended before it, it is no late failure.
        # Nor is one that earns little while work waits: queues of late answers would make all others late.
        late_pays = cls.late_value > 0 and not loaded
        self.useful = self.deadline if late_pays else max(now, self.aim - slack)
        self.attempts: list[Attempt] = []
        self.streaming = False
        self.member, self.bound = event.sticky_endpoint, event.sticky_required
        self.most = event.max_attempts  # attempts at most
        self.repeat_on = event.retry_on  # after which another may follow; None: any
        self.coming, self.held = event.body_pending, True  # its body still comes; could be sent again

    def whole(self, now: float) -> None:
        """The last byte of its body has come: its times count from here."""
        wait = now - self.began
        self.coming, self.began = False, now
        self.deadline += wait
        self.aim += wait
        self.useful += wait
