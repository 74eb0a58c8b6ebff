"""Tunnels: connections that were upgraded to another protocol (RFC 9110, 7.8) and relay bytes both ways. No I/O.

The request of a tunnel has ended: it was served with 101, and the policy has its result. Tunnels are limited in number,
time and buffers. Each is owned by the `Tunnels` of its pool, and is always closed by `Tunnel.close`.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol

CLIENT = 0
"""Index of the client's side."""
ENDPOINT = 1
"""Index of the endpoint's side."""


class TunnelLimits(NamedTuple):
    """Limits on the tunnels of one pool."""

    max_open: int = 256
    """Maximum of open tunnels."""
    idle_timeout: float = 300.0
    """Seconds without a byte in either direction after which a tunnel is closed."""
    max_lifetime: float = 12 * 3600.0
    """Seconds after which a tunnel is closed, whether idle or not."""
    drain_timeout: float = 5.0
    """Seconds from the start of a drain until a tunnel is closed."""


class TunnelEnd(Protocol):
    """One of the two connections of a tunnel."""

    def send(self, data: bytes) -> None:
        """Write bytes to the peer."""

    def set_reading_paused(self, on: bool) -> None:
        """Pause reading if `on`, else resume it."""

    def is_full(self) -> bool:
        """Return whether bytes wait here that the peer has made no room for."""

    def finish(self) -> None:
        """Half-close: the other end sends no more bytes."""

    def shut(self) -> None:
        """Close after the buffered bytes are flushed, or after a timeout."""

    def abort(self) -> None:
        """Close at once."""


class Tunnel:
    """The two ends of a tunnel, with its counters and times."""

    __slots__ = (
        "_has_finished",
        "_is_closed",
        "_tunnels",
        "client_end",
        "drain_started_at",
        "endpoint",
        "endpoint_end",
        "moved_at",
        "opened_at",
        "passed_bytes",
    )

    def __init__(
        self,
        tunnels: Tunnels,
        endpoint: str,
        client_end: TunnelEnd,
        endpoint_end: TunnelEnd,
        now: float,
    ) -> None:
        """Create an open tunnel.

        Args:
            tunnels: The owner.
            endpoint: Id of the endpoint.
            client_end: The client's connection.
            endpoint_end: The endpoint's connection.
            now: Seconds on the owner's clock.
        """
        self.endpoint = endpoint
        self.client_end = client_end
        self.endpoint_end = endpoint_end
        self.opened_at = now
        self.moved_at = now  # when a byte was last received
        self.drain_started_at = 0.0  # 0: not draining
        self.passed_bytes = [0, 0]  # by the sending side
        self._tunnels = tunnels
        self._has_finished = [False, False]  # by side
        self._is_closed = False

    def from_client(self, data: bytes) -> None:
        """Pass bytes from the client to the endpoint."""
        self._pass(CLIENT, self.client_end, self.endpoint_end, data)

    def from_endpoint(self, data: bytes) -> None:
        """Pass bytes from the endpoint to the client."""
        self._pass(ENDPOINT, self.endpoint_end, self.client_end, data)

    def _pass(self, side: int, sender: TunnelEnd, receiver: TunnelEnd, data: bytes) -> None:
        if self._is_closed:
            return
        self.passed_bytes[side] += len(data)
        self.moved_at = self._tunnels.clock()
        receiver.send(data)
        if receiver.is_full() and not self._is_closed:  # it may have become so before the tunnel began
            sender.set_reading_paused(True)

    def set_full(self, is_endpoint: bool, on: bool) -> None:
        """Pause reading from the other end while the buffer of one end is full (`on`), else resume it."""
        if not self._is_closed:
            self._other_end(is_endpoint).set_reading_paused(on)

    def finish(self, is_endpoint: bool) -> None:
        """Half-close the tunnel after one end has sent all; close it once both have."""
        if self._is_closed or self._has_finished[is_endpoint]:
            return
        self._has_finished[is_endpoint] = True
        if all(self._has_finished):
            self.close(orderly=True)
        else:
            self._other_end(is_endpoint).finish()

    def _other_end(self, is_endpoint: bool) -> TunnelEnd:
        return self.client_end if is_endpoint else self.endpoint_end

    def lost(self) -> None:
        """Close the tunnel after one of its connections was lost."""
        self.close()

    def close(self, orderly: bool = False) -> None:
        """Close both ends.

        Args:
            orderly: Whether both ends have sent all. If not, buffered bytes that an end has not read are dropped.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._tunnels.on_closed(self)
        for end in (self.client_end, self.endpoint_end):
            if orderly:
                end.shut()
            else:
                end.abort()

    def has_expired(self, now: float, limits: TunnelLimits) -> bool:
        """Return whether the drain, idle or lifetime limit is exceeded."""
        if self.drain_started_at and now - self.drain_started_at > limits.drain_timeout:
            return True
        if now - self.moved_at > limits.idle_timeout:
            return True
        return now - self.opened_at > limits.max_lifetime


class Tunnels:
    """The tunnels of one pool."""

    def __init__(self, limits: TunnelLimits, clock: Callable[[], float]) -> None:
        """Create an empty set of tunnels; `clock` returns monotonic seconds."""
        self.limits = limits
        self.clock = clock
        self.open: set[Tunnel] = set()
        self.opened_count = 0  # since the start
        self.is_retired = False
        self.passed_bytes = [0, 0]  # of tunnels that have closed, by side

    def has_room(self) -> bool:
        """Return whether one more tunnel may be opened."""
        return not self.is_retired and len(self.open) < self.limits.max_open

    def open_tunnel(self, endpoint: str, client_end: TunnelEnd, endpoint_end: TunnelEnd) -> Tunnel:
        """Open a tunnel between two connections; see `Tunnel`."""
        tunnel = Tunnel(self, endpoint, client_end, endpoint_end, self.clock())
        self.open.add(tunnel)
        self.opened_count += 1
        return tunnel

    def on_closed(self, tunnel: Tunnel) -> None:
        """Remove a closing tunnel and add its bytes to the totals."""
        self.open.discard(tunnel)
        for side in (CLIENT, ENDPOINT):
            self.passed_bytes[side] += tunnel.passed_bytes[side]

    def retire(self) -> None:
        """Drain all tunnels and open no more, because the pool or the process ends."""
        self.is_retired = True
        self._drain(lambda _tunnel: True)

    def drain_endpoints(self, endpoints: set[str]) -> None:
        """Drain the tunnels to these endpoints."""
        self._drain(lambda tunnel: tunnel.endpoint in endpoints)

    def _drain(self, matches: Callable[[Tunnel], bool]) -> None:
        now = self.clock()
        for tunnel in self.open:
            if matches(tunnel) and not tunnel.drain_started_at:
                tunnel.drain_started_at = now

    def sweep(self) -> None:
        """Close the tunnels whose time limits are exceeded."""
        now = self.clock()
        for tunnel in [tunnel for tunnel in self.open if tunnel.has_expired(now, self.limits)]:
            tunnel.close()

    def close(self) -> None:
        """Close all tunnels at once."""
        for tunnel in list(self.open):
            tunnel.close()
