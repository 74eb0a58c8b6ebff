"""Limits and queues the TLS handshakes of a listener. Pure: the caller passes the time.

A handshake is the most expensive operation that an unknown client can request: it costs the server some hundred times
the work of a request, and the client next to nothing. So it has limits of its own besides those on connections:

1. At most `max_concurrent` handshakes are under way at once, and an eighth less of unknown clients; further ones wait,
   at most `max_waiting` of them. So handshakes that are begun and never finished lock out unknown clients, but not
   known ones.
2. Unknown clients begin at most `per_s` handshakes in a second, in the long run. Known clients have no such rate limit,
   and go before all unknown ones in the queue.
3. One address has at most `max_per_address` handshakes under way or waiting, unless it is known.
4. Of the unknown clients that wait, the newest goes first: those that have waited longest are the most likely to have
   given up. One that has waited for `patience` is dropped.

The caller reports the end of each handshake that has begun to `ended`, once, whatever its result.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Callable, NamedTuple

#: Seconds of the handshake rate that may be saved up for a burst.
BURST_S = 1.0


class Bounds(NamedTuple):
    """Holds the limits on the handshakes of a listener.

    Attributes:
        max_concurrent: Handshakes under way.
        per_s: Handshakes of unknown clients that may begin in a second.
        max_per_address: Handshakes under way or waiting, of one unknown address.
        max_waiting: Handshakes that wait.
        patience: Seconds that a handshake waits before it is dropped.
    """

    max_concurrent: int = 64
    per_s: float = 200.0
    max_per_address: int = 16
    max_waiting: int = 512
    patience: float = 2.5


@dataclass(slots=True, eq=False)
class Turn:
    """Holds the request of one connection for a handshake: calls `begin` when it may start, `drop` if it is refused."""

    address: str
    known: bool
    came: float
    begin: Callable[[], None]
    drop: Callable[[str], None]
    under_way: bool = field(default=False)
    finished: bool = field(default=False)


class Handshakes:
    """Admits the handshakes of one listener."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.under_way = self.unknown_under_way = 0
        self._max_unknown = bounds.max_concurrent - bounds.max_concurrent // 8
        self.begun = self.dropped = 0
        self._tokens = bounds.per_s * BURST_S
        self._refilled_at: float | None = None
        self._known: deque[Turn] = deque()
        self._unknown: deque[Turn] = deque()
        self._by_address: dict[str, int] = {}

    @property
    def waiting(self) -> int:
        return len(self._known) + len(self._unknown)

    def want(self, turn: Turn, now: float) -> None:
        """Request a handshake: it begins, waits or is dropped at once."""
        if not turn.known and self._by_address.get(turn.address, 0) >= self.bounds.max_per_address:
            self._refuse(turn, "too many handshakes of one address")
            return
        self._by_address[turn.address] = self._by_address.get(turn.address, 0) + 1
        (self._known if turn.known else self._unknown).append(turn)
        self.look(now)
        if self.waiting > self.bounds.max_waiting:
            queue = self._unknown or self._known
            self._drop_waiting(queue.popleft(), "too many handshakes wait")

    def ended(self, turn: Turn, now: float) -> None:
        """Report that a handshake has ended, or that its connection has closed while it waited."""
        if turn.finished:
            return
        if turn.under_way:
            self.under_way -= 1
            self.unknown_under_way -= not turn.known
        else:
            (self._known if turn.known else self._unknown).remove(turn)
        self._forget(turn)
        self.look(now)

    def look(self, now: float) -> float | None:
        """Begin the handshakes that may begin and drop those that have waited too long.

        Returns the seconds until the next call is due, or None if no handshake waits.
        """
        self._refill(now)
        for queue in (self._known, self._unknown):
            while queue and now - queue[0].came >= self.bounds.patience:
                self._drop_waiting(queue.popleft(), "waited too long for its handshake")
        while self.under_way < self.bounds.max_concurrent and (turn := self._pop_next()) is not None:
            self._begin(turn)
        if not self.waiting:
            return None
        wait_s = (
            min(queue[0].came for queue in (self._known, self._unknown) if queue) + self.bounds.patience - now
        )
        if self.under_way < self.bounds.max_concurrent and self._unknown:
            wait_s = min(wait_s, (1.0 - self._tokens) / self.bounds.per_s)
        return max(wait_s, 0.001)

    def _pop_next(self) -> Turn | None:
        if self._known:
            return self._known.popleft()
        if self._unknown and self._tokens >= 1.0 and self.unknown_under_way < self._max_unknown:
            self._tokens -= 1.0
            return self._unknown.pop()
        return None

    def _begin(self, turn: Turn) -> None:
        turn.under_way = True
        self.under_way += 1
        self.unknown_under_way += not turn.known
        self.begun += 1
        turn.begin()

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            max_tokens = max(1.0, self.bounds.per_s * BURST_S)
            self._tokens = min(max_tokens, self._tokens + self.bounds.per_s * (now - self._refilled_at))
        self._refilled_at = now

    def _drop_waiting(self, turn: Turn, reason: str) -> None:
        self._forget(turn)
        self._refuse(turn, reason)

    def _refuse(self, turn: Turn, reason: str) -> None:
        turn.finished = True
        self.dropped += 1
        turn.drop(reason)

    def _forget(self, turn: Turn) -> None:
        turn.finished = True
        remaining = self._by_address.get(turn.address, 0) - 1
        if remaining > 0:
            self._by_address[turn.address] = remaining
        else:
            self._by_address.pop(turn.address, None)
