"""What one proxy knows of a server, and the pools that draws are made from."""

from __future__ import annotations

import math
from bisect import bisect
from itertools import accumulate

from loadbalancer.policy.events import (
    Result,
    ServerEntry,
)

FAILED = 2  # failures in a row, slow answers are none, and a server is left out of the draw for a while


class Server:
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
        "out",
        "giving",
        "util",
        "util_at",
        "errors",
        "errors_at",
        "by_class",
        "answered",
        "cold_need",
        "rank",
        "used",
        "domain",
        "redirect",
        "woken",
        "failed",
        "barred",
        "pace",
        "pace_at",
        "cold_at",
    )

    def __init__(self, entry: ServerEntry, barred: bool = False) -> None:
        self.id = entry.server
        self.barred = barred  # taken out by an operator
        self.out: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first: time sent
        self.giving: set[tuple[int, int]] = set()  # attempts whose answers have begun
        self.size = 1.0  # weight relative to the mean
        self.started = self.used = self.woken = -math.inf  # woken: when a set that had not served began to
        self.listed(entry)

    def listed(self, entry: ServerEntry) -> None:
        if entry.started != self.started:  # another process: what is known is of the old one
            self.util = self.util_at = self.errors = self.errors_at = 0.0
            self.by_class: dict[int, tuple[float, float]] = {}  # its error share of each class, and when
            self.answered = False
            self.failed = 0  # attempts in a row that were not served
            self.pace, self.pace_at = 0.0, -math.inf  # time an answer takes for each of our own ahead of it
            self.cold_need, self.cold_at = 0.0, 0.0  # of its pace, until it may be sent another; as of when
        self.zone, self.cell, self.started, self.state = entry.zone, entry.cell, entry.started, entry.state
        self.kind, self.rank = entry.kind, entry.rank
        self.domain, self.redirect = entry.domain, entry.redirect
        self.weight = entry.weight if 0 < entry.weight < math.inf else 1.0

    def note_row(self, result: Result, slowness: float) -> None:
        """Counts failures in a row; one that turns away is up."""
        if result == Result.SERVED:
            self.failed = 0
        elif result == Result.NO_CONNECTION:  # nothing there: the next request need not find it out again
            self.failed = max(self.failed + 1, FAILED)
        elif result != Result.FULL:
            self.failed += slowness >= 1.0 or result != Result.TIMEOUT


class Pool:
    """Servers to draw from, by kind, each with the chance that its listed size and its kind's speed give.

    Exception to the even draw: where a proxy has next to nothing in flight at a server, only the draw
    decides, and an even one loads a slow server like a fast one. With one kind and size it is even."""

    __slots__ = ("servers", "kinds", "sets")

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers
        ranks = sorted({s.rank for s in servers})
        # Where there are several sets, a pool of each, the one that serves first in front.
        self.sets: list[Pool] = []
        if len(ranks) > 1:
            self.sets = [Pool([s for s in servers if s.rank == rank]) for rank in ranks]
        by_kind: dict[int, list[Server]] = {}
        for server in servers:
            by_kind.setdefault(server.kind, []).append(server)
        self.kinds = [
            (kind, those, list(accumulate(s.size for s in those))) for kind, those in by_kind.items()
        ]

    def total(self, speed: dict[int, float]) -> float:
        """All sizes, each by its kind's speed."""
        return sum(sums[-1] * speed[kind] for kind, _, sums in self.kinds)

    def draw(self, chance: float, speed: dict[int, float]) -> Server:
        left = chance * self.total(speed)
        for kind, those, sums in self.kinds:  # noqa: B007
            part = sums[-1] * speed[kind]
            if left < part:
                break
            left -= part
        return those[min(bisect(sums, max(0.0, left) / speed[kind]), len(those) - 1)]
