"""Connections that have gone over to another protocol (RFC 9110, 7.8): bytes both ways, bounded in number, time and
buffers. No socket and no clock but those that are handed in.

A tunnel is no request any more: its request was served with 101, the module has heard so, and what is open here counts
apart. Each tunnel has one owner, `Tunnels` of its pool, and ends in one place, `Tunnel.close`.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol


class TunnelLimits(NamedTuple):
    """`most`: tunnels of one pool at once; `idle`, `life`, `grace`: seconds without a byte, in all, and after it
    was told to end."""

    most: int = 256
    idle: float = 300.0
    life: float = 12 * 3600.0
    grace: float = 5.0


class TunnelEnd(Protocol):
    """One of the two connections of a tunnel, as the other sees it."""

    def send(self, data: bytes) -> None: ...
    def hold(self, on: bool) -> None:
        """Read no more for now, or read again."""

    def finish(self) -> None:
        """The other side sends no more."""

    def shut(self) -> None:
        """Close once what waits has been taken, or after a while."""

    def abort(self) -> None:
        """Close at once."""


class Tunnel:
    """Two ends and what holds between them. `until`: when it ends, by whatever comes first."""

    __slots__ = (
        "tunnels",
        "server",
        "client",
        "member",
        "began",
        "moved",
        "told",
        "passed",
        "finished",
        "closed",
    )

    def __init__(
        self, tunnels: Tunnels, server: str, client: TunnelEnd, member: TunnelEnd, now: float
    ) -> None:
        self.tunnels, self.server, self.client, self.member = tunnels, server, client, member
        self.began = self.moved = now
        self.told = 0.0  # since when it is to end; 0: it is not
        self.passed = [0, 0]  # bytes from the client, from the member
        self.finished = [False, False]
        self.closed = False

    def from_client(self, data: bytes) -> None:
        self._pass(0, self.member, data)

    def from_member(self, data: bytes) -> None:
        self._pass(1, self.client, data)

    def _pass(self, side: int, to: TunnelEnd, data: bytes) -> None:
        if not self.closed:
            self.passed[side] += len(data)
            self.moved = self.tunnels.clock()
            to.send(data)

    def full(self, member: bool, on: bool) -> None:
        """An end takes no more for now: the other is not read."""
        if not self.closed:
            (self.client if member else self.member).hold(on)

    def finish(self, member: bool) -> None:
        """An end sends no more; once both do not, it is over."""
        if self.closed or self.finished[member]:
            return
        self.finished[member] = True
        if all(self.finished):
            self.close(orderly=True)
        else:
            (self.client if member else self.member).finish()

    def lost(self) -> None:
        """A connection is gone."""
        self.close()

    def close(self, orderly: bool = False) -> None:
        """`orderly`: both ends have sent all; otherwise what waits for an end that does not read is lost."""
        if not self.closed:
            self.closed = True
            self.tunnels.ended(self)
            for end in (self.client, self.member):
                (end.shut if orderly else end.abort)()

    def is_over(self, now: float, terms: TunnelLimits) -> bool:
        if self.told and now - self.told > terms.grace:
            return True
        return now - self.moved > terms.idle or now - self.began > terms.life


class Tunnels:
    """The tunnels of one pool."""

    def __init__(self, terms: TunnelLimits, clock: Callable[[], float]) -> None:
        self.terms, self.clock = terms, clock
        self.open: set[Tunnel] = set()
        self.begun = 0  # in all
        self.retired = False
        self.passed = [0, 0]  # bytes of those that have ended

    def has_room(self) -> bool:
        return not self.retired and len(self.open) < self.terms.most

    def begin(self, server: str, client: TunnelEnd, member: TunnelEnd) -> Tunnel:
        made = Tunnel(self, server, client, member, self.clock())
        self.open.add(made)
        self.begun += 1
        return made

    def ended(self, tunnel: Tunnel) -> None:
        self.open.discard(tunnel)
        for side in (0, 1):
            self.passed[side] += tunnel.passed[side]

    def retire(self) -> None:
        """The pool or the process ends: each gets the grace, and no new one begins."""
        self.retired = True
        self._tell(lambda tunnel: True)

    def leave(self, servers: set[str]) -> None:
        """These members drain, are taken out or are gone."""
        self._tell(lambda tunnel: tunnel.server in servers)

    def _tell(self, which: Callable[[Tunnel], bool]) -> None:
        now = self.clock()
        for tunnel in self.open:
            if which(tunnel) and not tunnel.told:
                tunnel.told = now

    def sweep(self) -> None:
        now = self.clock()
        for tunnel in [tunnel for tunnel in self.open if tunnel.is_over(now, self.terms)]:
            tunnel.close()

    def close(self) -> None:
        for tunnel in list(self.open):
            tunnel.close()
