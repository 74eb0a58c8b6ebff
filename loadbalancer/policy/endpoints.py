"""What one proxy knows of a server, and the pools that draws are made from."""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate

from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
)

FAILING_AFTER = (
    2  # failures in a row, slow answers are none, and a server is left out of the draw for a while
)


class Endpoint:
    """What this proxy knows of one server."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "weight",
        "size",
        "kind",
        "state",
        "started",
        "in_flight",
        "responding",
        "utilization",
        "utilization_at",
        "error_rate",
        "error_rate_at",
        "error_rate_by_class",
        "answered",
        "pacing_debt",
        "priority",
        "last_used",
        "domain",
        "redirect",
        "warm_started_at",
        "consecutive_failures",
        "cordoned",
        "time_per_attempt",
        "time_per_attempt_at",
        "pacing_updated_at",
    )

    def __init__(self, entry: EndpointEntry, barred: bool = False) -> None:
        self.id = entry.endpoint
        self.cordoned = barred  # taken out by an operator
        self.in_flight: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first: time sent
        self.responding: set[tuple[int, int]] = set()  # attempts whose answers have begun
        self.size = 1.0  # weight relative to the mean
        self.started = self.last_used = (
            self.warm_started_at
        ) = -math.inf  # woken: when a set that had not served began to
        self.listed(entry)

    def listed(self, entry: EndpointEntry) -> None:
        if entry.started != self.started:  # another process: what is known is of the old one
            self.utilization = self.utilization_at = self.error_rate = self.error_rate_at = 0.0
            self.error_rate_by_class: dict[
                int, tuple[float, float]
            ] = {}  # its error share of each class, and when
            self.answered = False
            self.consecutive_failures = 0  # attempts in a row that were not served
            self.time_per_attempt, self.time_per_attempt_at = (
                0.0,
                -math.inf,
            )  # time an answer takes for each of our own ahead of it
            self.pacing_debt, self.pacing_updated_at = (
                0.0,
                0.0,
            )  # of its pace, until it may be sent another; as of when
        self.zone, self.cell, self.started, self.state = entry.zone, entry.cell, entry.started, entry.state
        self.kind, self.priority = entry.kind, entry.priority
        self.domain, self.redirect = entry.domain, entry.redirect
        self.weight = entry.weight if 0 < entry.weight < math.inf else 1.0

    def note_row(self, result: AttemptResult, slowness: float) -> None:
        """Counts failures in a row; one that turns away is up."""
        if result == AttemptResult.SERVED:
            self.consecutive_failures = 0
        elif (
            result == AttemptResult.NO_CONNECTION
        ):  # nothing there: the next request need not find it out again
            self.consecutive_failures = max(self.consecutive_failures + 1, FAILING_AFTER)
        elif result != AttemptResult.FULL:
            self.consecutive_failures += slowness >= 1.0 or result != AttemptResult.TIMEOUT


class EndpointPool:
    """Servers to draw from, by kind, each with the chance that its listed size and its kind's speed give.

    Exception to the even draw: where a proxy has next to nothing in flight at a server, only the draw
    decides, and an even one loads a slow server like a fast one. With one kind and size it is even."""

    __slots__ = ("servers", "kinds", "sets")

    def __init__(self, servers: list[Endpoint]) -> None:
        self.servers = servers
        ranks = sorted({s.priority for s in servers})
        # Where there are several sets, a pool of each, the one that serves first in front.
        self.sets: list[EndpointPool] = []
        if len(ranks) > 1:
            self.sets = [EndpointPool([s for s in servers if s.priority == rank]) for rank in ranks]
        by_kind: dict[int, list[Endpoint]] = {}
        for server in servers:
            by_kind.setdefault(server.kind, []).append(server)
        self.kinds = [
            (kind, those, list(accumulate(s.size for s in those))) for kind, those in by_kind.items()
        ]

    def total(self, speed: dict[int, float]) -> float:
        """All sizes, each by its kind's speed."""
        return sum(sums[-1] * speed[kind] for kind, _, sums in self.kinds)

    def draw(self, chance: float, speed: dict[int, float]) -> Endpoint:
        left = chance * self.total(speed)
        for kind, those, sums in self.kinds:  # noqa: B007
            part = sums[-1] * speed[kind]
            if left < part:
                break
            left -= part
        return those[min(bisect(sums, max(0.0, left) / speed[kind]), len(those) - 1)]
