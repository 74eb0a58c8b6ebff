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
   given up. One that has waited for `max_wait_s` is dropped.

The caller reports the end of each handshake that has begun to `finish`, once, whatever its result.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Callable, NamedTuple

#: Seconds of the handshake rate that may be saved up for a burst.
BURST_S = 1.0


class HandshakeLimits(NamedTuple):
    """Holds the limits on the handshakes of a listener.

    Attributes:
        max_concurrent: Handshakes under way.
        per_s: Handshakes of unknown clients that may begin in a second.
        max_per_address: Handshakes under way or waiting, of one unknown address.
        max_waiting: Handshakes that wait.
        max_wait_s: Seconds that a handshake waits before it is dropped.
    """

    max_concurrent: int = 64
    per_s: float = 200.0
    max_per_address: int = 16
    max_waiting: int = 512
    max_wait_s: float = 2.5


@dataclass(slots=True, eq=False)
class HandshakeRequest:
    """Holds the request of one connection for a handshake: calls `begin` when it may start, `drop` if it is refused."""

    address: str
    known: bool
    queued_at: float
    begin: Callable[[], None]
    drop: Callable[[str], None]
    under_way: bool = field(default=False)
    finished: bool = field(default=False)


class Handshakes:
    """Admits the handshakes of one listener."""

    def __init__(self, limits: HandshakeLimits) -> None:
        self.limits = limits
        self.under_way = self.unknown_under_way = 0
        self._max_unknown = limits.max_concurrent - limits.max_concurrent // 8
        self.begun = self.dropped = 0
        self._tokens = limits.per_s * BURST_S
        self._refilled_at: float | None = None
        self._known: deque[HandshakeRequest] = deque()
        self._unknown: deque[HandshakeRequest] = deque()
        self._by_address: dict[str, int] = {}

    @property
    def waiting(self) -> int:
        return len(self._known) + len(self._unknown)

    def submit(self, request: HandshakeRequest, now: float) -> None:
        """Request a handshake: it begins, waits or is dropped at once."""
        if not request.known and self._by_address.get(request.address, 0) >= self.limits.max_per_address:
            self._refuse(request, "too many handshakes of one address")
            return
        self._by_address[request.address] = self._by_address.get(request.address, 0) + 1
        (self._known if request.known else self._unknown).append(request)
        self.schedule(now)
        if self.waiting > self.limits.max_waiting:
            queue = self._unknown or self._known
            self._drop_waiting(queue.popleft(), "too many handshakes wait")

    def finish(self, request: HandshakeRequest, now: float) -> None:
        """Report that a handshake has ended, or that its connection has closed while it waited."""
        if request.finished:
            return
        if request.under_way:
            self.under_way -= 1
            self.unknown_under_way -= not request.known
        else:
            (self._known if request.known else self._unknown).remove(request)
        self._forget(request)
        self.schedule(now)

    def schedule(self, now: float) -> float | None:
        """Begin the handshakes that may begin and drop those that have waited too long.

        Returns the seconds until the next call is due, or None if no handshake waits.
        """
        self._refill(now)
        for queue in (self._known, self._unknown):
            while queue and now - queue[0].queued_at >= self.limits.max_wait_s:
                self._drop_waiting(queue.popleft(), "waited too long for its handshake")
        while self.under_way < self.limits.max_concurrent and (request := self._pop_next()) is not None:
            self._begin(request)
        if not self.waiting:
            return None
        wait_s = (
            min(queue[0].queued_at for queue in (self._known, self._unknown) if queue)
            + self.limits.max_wait_s
            - now
        )
        if self.under_way < self.limits.max_concurrent and self._unknown:
            wait_s = min(wait_s, (1.0 - self._tokens) / self.limits.per_s)
        return max(wait_s, 0.001)

    def _pop_next(self) -> HandshakeRequest | None:
        if self._known:
            return self._known.popleft()
        if self._unknown and self._tokens >= 1.0 and self.unknown_under_way < self._max_unknown:
            self._tokens -= 1.0
            return self._unknown.pop()
        return None

    def _begin(self, request: HandshakeRequest) -> None:
        request.under_way = True
        self.under_way += 1
        self.unknown_under_way += not request.known
        self.begun += 1
        request.begin()

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            max_tokens = max(1.0, self.limits.per_s * BURST_S)
            self._tokens = min(max_tokens, self._tokens + self.limits.per_s * (now - self._refilled_at))
        self._refilled_at = now

    def _drop_waiting(self, request: HandshakeRequest, reason: str) -> None:
        self._forget(request)
        self._refuse(request, reason)

    def _refuse(self, request: HandshakeRequest, reason: str) -> None:
        request.finished = True
        self.dropped += 1
        request.drop(reason)

    def _forget(self, request: HandshakeRequest) -> None:
        request.finished = True
        remaining = self._by_address.get(request.address, 0) - 1
        if remaining > 0:
            self._by_address[request.address] = remaining
        else:
            self._by_address.pop(request.address, None)
