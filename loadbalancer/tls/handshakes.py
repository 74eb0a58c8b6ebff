"""How many handshakes may be under way, for whom, and which goes first where they pile up. Pure: times come in.

A handshake is the dearest thing that a stranger can ask for: some hundred times a request's work on one side, next to
nothing on the other. So it has bounds of its own beside those on connections:

1. `most` are under way at once, of strangers an eighth less; further ones wait, `waiting` at most. So handshakes that
   are begun and never finished keep strangers out, and not those that are known.
2. Strangers begin `per_s` in a second, in the long run; known clients are not held to that, and one of theirs that
waits
   goes before all strangers.
3. One address has no more than `each` under way or waiting, unless it is known.
4. Of strangers that wait the newest goes first once they have to wait: those that have waited longest are the likeliest
   to have given up. One that has waited for `patience` is dropped.

What ends is told by `ended`, once for each that was begun, whatever became of it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Callable, NamedTuple

#: Of a second's worth of handshakes that may be saved up.
BURST_S = 1.0


class Bounds(NamedTuple):
    """`most`, `each`, `waiting`: handshakes; `per_s`: of strangers; `patience`: seconds."""

    most: int = 64
    per_s: float = 200.0
    each: int = 16
    waiting: int = 512
    patience: float = 2.5


@dataclass(slots=True, eq=False)
class Turn:
    """One connection that wants to shake hands. `begin` is called once it may; `drop` where it may not any more."""

    address: str
    known: bool
    came: float
    begin: Callable[[], None]
    drop: Callable[[str], None]
    under_way: bool = field(default=False)
    over: bool = field(default=False)


class Handshakes:
    """Of one listener."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.under_way = self.strangers_under_way = 0
        self._strangers_most = bounds.most - bounds.most // 8
        self.begun = self.dropped = 0
        self._room = bounds.per_s * BURST_S
        self._at: float | None = None
        self._known: deque[Turn] = deque()
        self._strangers: deque[Turn] = deque()
        self._by_address: dict[str, int] = {}

    @property
    def waiting(self) -> int:
        return len(self._known) + len(self._strangers)

    def want(self, turn: Turn, now: float) -> None:
        """One more; it begins, waits or is dropped, at once."""
        if not turn.known and self._by_address.get(turn.address, 0) >= self.bounds.each:
            self._refuse(turn, "too many handshakes of one address")
            return
        self._by_address[turn.address] = self._by_address.get(turn.address, 0) + 1
        (self._known if turn.known else self._strangers).append(turn)
        self.look(now)
        if self.waiting > self.bounds.waiting:
            victims = self._strangers or self._known
            self._leave(victims.popleft(), "too many handshakes wait")

    def ended(self, turn: Turn, now: float) -> None:
        """It has come to its end, or its connection has gone while it waited."""
        if turn.over:
            return
        if turn.under_way:
            self.under_way -= 1
            self.strangers_under_way -= not turn.known
        else:
            (self._known if turn.known else self._strangers).remove(turn)
        self._forget(turn)
        self.look(now)

    def look(self, now: float) -> float | None:
        """Begin what may begin and drop what has waited too long; seconds until it is worth looking again, None where
        nothing waits."""
        self._refill(now)
        for those in (self._known, self._strangers):
            while those and now - those[0].came >= self.bounds.patience:
                self._leave(those.popleft(), "waited too long for its handshake")
        while self.under_way < self.bounds.most and (turn := self._next()) is not None:
            self._begin(turn)
        if not self.waiting:
            return None
        ends = (
            min(those[0].came for those in (self._known, self._strangers) if those)
            + self.bounds.patience
            - now
        )
        if self.under_way < self.bounds.most and self._strangers:
            ends = min(ends, (1.0 - self._room) / self.bounds.per_s)
        return max(ends, 0.001)

    def _next(self) -> Turn | None:
        if self._known:
            return self._known.popleft()
        if self._strangers and self._room >= 1.0 and self.strangers_under_way < self._strangers_most:
            self._room -= 1.0
            return self._strangers.pop()
        return None

    def _begin(self, turn: Turn) -> None:
        turn.under_way = True
        self.under_way += 1
        self.strangers_under_way += not turn.known
        self.begun += 1
        turn.begin()

    def _refill(self, now: float) -> None:
        if self._at is not None:
            most = max(1.0, self.bounds.per_s * BURST_S)
            self._room = min(most, self._room + self.bounds.per_s * (now - self._at))
        self._at = now

    def _leave(self, turn: Turn, why: str) -> None:
        self._forget(turn)
        self._refuse(turn, why)

    def _refuse(self, turn: Turn, why: str) -> None:
        turn.over = True
        self.dropped += 1
        turn.drop(why)

    def _forget(self, turn: Turn) -> None:
        turn.over = True
        left = self._by_address.get(turn.address, 0) - 1
        if left > 0:
            self._by_address[turn.address] = left
        else:
            self._by_address.pop(turn.address, None)
