"""A listener and its admission: accepting, making room, turning away, draining.

No byte of a request is read here: what a connection carries is the matter of the protocol's file.
"""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Mapping, Protocol, Sequence

from loadbalancer.admission.pressure import STEPS, UNUSED_AFTER_S, Pressure
from loadbalancer.admission.rulings import ADMIT_BY_EVICTION, REFUSE, RETRY_AFTER_S, AdmissionDecision
from loadbalancer.frontends.connection import FrontConnection, Phase
from loadbalancer.frontends.dialect import Reader
from loadbalancer.frontends.evictable_connections import EvictableConnections
from loadbalancer.frontends.http1_answers import encode_refusal
from loadbalancer.frontends.shutdown_deadline import platform_shutdown_duration
from loadbalancer.frontends.sockets import LOCAL, UNIX, bind, block_new_connections, release
from loadbalancer.read_first_timer import read_what_has_arrived
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:  # loaded where a listener has rules of its own
    from loadbalancer.frontends.admission_gate import AdmissionGate, AdmittedConnection
    from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
if TYPE_CHECKING:  # loaded where a listener speaks TLS
    from loadbalancer.frontends.tls_listener import TlsAcceptor

#: New connections taken in one go at least, whatever presses: so many times `accept` empties the kernel's queue.
ACCEPT_LEAST = STEPS[-1].max_accepts
#: A connection that has said nothing for this long is closed before all others to make room; until then its first
#: bytes may be on their way, and one that has been answered and is idle makes room for it.
SILENT_S = 0.1
#: For this long after an answer the next request may be on its way.
RECENT_S = UNUSED_AFTER_S
#: How long nothing is accepted after the kernel had no descriptor to give; trying on would take all the CPU.
ACCEPT_REST_S = 0.05
#: How often limits in time are looked at.
SWEEP_S = 0.25
#: After SIGTERM new connections go on coming for 0.4 s; they are served for this long.
DRAIN_OPEN_S = 0.5
#: Between the block of new connections and the close: handshakes that have begun come to their end. A client may count
#: as connected before, and its request would be reset.
HANDSHAKE_S = 0.05
#: While draining, a connection on which nothing has come for this long is idle.
DRAIN_IDLE_S = 0.2
#: While another process takes the new clients, idle connections may stay until this long before the end,
LAST_S = 0.4
#: unless they have been idle for so long that hardly anybody will ask again on them, in seconds.
KEPT_S = 2.0
#: The last answers get this long to leave our buffers.
FLUSH_S = 0.1
#: Bytes read of a connection that is turned away on the spot.
GLANCE_MOST = 16 << 10


class ConnectionFactory(Protocol):
    """Makes the protocol's side of a connection."""

    def __call__(
        self, listener: Listener, sock: socket.socket, overflow: bool, peer: str
    ) -> FrontConnection: ...


class Listener:
    """One listening socket, and the connections of clients that came by it."""

    def __init__(
        self, reader: Reader, slots: tuple[int, int], logger: RateLimitedLogger, serve: ConnectionFactory
    ) -> None:
        """`slots`: connections that it may hold, and more of them that it may hold to turn them away."""
        self.reader, self.logger, self._serve = reader, logger, serve
        self.most, self.overflow_most = slots
        self.connections: set[FrontConnection] = set()
        self.overflowing = 0
        self.pressure = Pressure()
        self.gate: AdmissionGate | None = None  # rules for addresses
        self.spares: ReserveDescriptors | None = None  # descriptors to refuse with when there are no others
        self.tls: TlsAcceptor | None = None  # by which new connections come
        self.speaks_http = True  # a refusal on the spot can be worded
        self.evictable = EvictableConnections()
        self._starting: set[asyncio.Task[None]] = set()
        self.draining = False
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._opening = 0
        self._sweeping: asyncio.TimerHandle | None = None

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind and begin to accept; OSError where the address can't be had."""
        return self.start(bind(address))

    def start(self, sock: socket.socket) -> tuple[str, int]:
        """Accept on a socket that listens; it is the listener's from here on."""
        self._sock = sock
        self.shared = False  # another process listens on it too
        self.was_offered = False  # another process may have it, and serve on it some time
        self._loop.add_reader(sock, self.accept)
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)
        return self.address

    @property
    def listening(self) -> socket.socket | None:
        """What it listens on, for one that takes over."""
        return self._sock

    @property
    def accepting(self) -> bool:
        """Whether new clients are taken."""
        return self._sock is not None and not self.draining

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens; of a Unix socket `unix:` and the path, and 0."""
        assert self._sock is not None
        name = self._sock.getsockname()
        return (UNIX + name, 0) if isinstance(name, str) else (name[0], name[1])

    def accept(self) -> bool:
        """Take what has connected; False once nothing waits any more."""
        if self._sock is None:
            return False
        for _ in range(self.pressure.step.max_accepts):
            try:
                sock, address = self._sock.accept()
            except BlockingIOError:
                return False
            except OSError as problem:
                self.logger("accept", problem)
                self._evict()
                self._refuse_with_spare()
                self._rest()
                return True
            self._admit(sock, address[0] if address else LOCAL)
        return True

    def _refuse_with_spare(self) -> None:
        """Guards against clients that hang in the kernel's queue while there is no descriptor for them: each is taken
        on a spare one, told to return later, and closed. Harm: one that a descriptor would soon have been free for
        must come back."""
        if self.spares is None or self._sock is None:
            return
        for _ in range(self.pressure.step.max_accepts):
            if not self.spares.take():
                return
            try:
                sock, _ = self._sock.accept()
            except OSError:  # nobody waits any more, or somebody else has got the descriptor
                self.spares.refill()
                return
            self._turn_away(sock, RETRY_AFTER_S)
            self.spares.refill()

    def _rest(self) -> None:
        """Guards against a listener that is always readable while there is no descriptor for what waits."""
        if self._sock is not None and not self.draining:
            self._loop.remove_reader(self._sock)
            self._loop.call_later(ACCEPT_REST_S, self._resume)

    def _resume(self) -> None:
        if self._sock is not None and not self.draining:
            self._loop.add_reader(self._sock, self.accept)

    def _admit(self, sock: socket.socket, peer: str) -> None:
        """Past the limit idle connections make room; else the request is answered 503.

        Guards against connections left in the kernel's queue: their requests are ours already."""
        overflow, visit = False, None
        if self.gate is not None:
            visit, ruling = self.gate.arrive(peer, self.most, self.taken)
            if not self._obeys(visit, ruling):
                self._turn_away(sock, ruling.retry_after)
                return
        if self.taken >= self.most and not self._find_room(visit):
            overflow = True
            self.logger("too many connections", len(self.connections))
            if self.overflowing >= self.overflow_most:
                self._forget_visit(visit)
                self._turn_away(sock)
                return
            self.overflowing += 1
        self._opening += 1
        self._measure()
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._start(sock, overflow, peer, visit))
        self._starting.add(task)  # the loop alone would not keep it
        task.add_done_callback(self._starting.discard)

    def _find_room(self, visit: AdmittedConnection | None) -> bool:
        """Whether one more gets in where all slots are taken: somebody else's idle connection makes room. Known clients
        also get in past the limit, on the descriptors that are there for turning others away, and then for one
        another."""
        if self._evict():
            return True
        if visit is None or not visit.known:
            return False
        past = max(0, self.taken - self.most) + self.overflowing
        return past < self.overflow_most or self._evict(True)

    @property
    def taken(self) -> int:
        """Slots, with those of connections that are being opened."""
        return len(self.connections) + self._opening - self.overflowing

    def _obeys(self, visit: AdmittedConnection, ruling: AdmissionDecision) -> bool:
        """Carry a ruling out as far as it can be: False where the connection is refused."""
        if ruling.verdict == ADMIT_BY_EVICTION and not self._evict():
            self._forget_visit(visit)
        elif ruling.verdict != REFUSE:
            return True
        self.logger(f"refused: {ruling.reason}", visit.address)
        return False

    def _forget_visit(self, visit: AdmittedConnection | None) -> None:
        if visit is not None:
            visit.gate.left(visit)

    def unwrap(self, connection: FrontConnection, visit: AdmittedConnection, data: bytes) -> bytes:
        """What comes after a connection's PROXY header; nothing where it is not whole, or the client is refused."""
        try:
            rest, ruling = visit.gate.unwrap(visit, data, self.most, self.taken)
        except ValueError as problem:
            self.logger(f"no PROXY header from {visit.address}", problem)
            connection.abort()
            return b""
        if ruling is not None and not self._obeys(visit, ruling):
            connection.refuse(encode_refusal(ruling.retry_after) if self.speaks_http else b"")
            return b""
        return rest

    async def _start(
        self, sock: socket.socket, overflow: bool, peer: str, visit: AdmittedConnection | None
    ) -> None:
        def serve() -> FrontConnection:
            connection = self._serve(self, sock, overflow, peer)
            connection.visit = visit
            return connection

        try:
            if self.tls is None:
                await self._loop.connect_accepted_socket(serve, sock)
            else:
                await self.tls.enter(serve, sock, peer, visit is not None and visit.known)
        except OSError:
            sock.close()
            self._forget_visit(visit)
            self._opening -= 1
            self.overflowing -= overflow

    def _turn_away(self, sock: socket.socket, retry_after: float = 0.0) -> None:
        """The last resort: answered 503 on the spot, where clients speak HTTP, and closed."""
        with sock:
            sock.setblocking(False)
            with suppress(OSError):
                sock.recv(GLANCE_MOST)  # unread bytes would turn the close into a reset
            with suppress(OSError):
                sock.send(encode_refusal(retry_after) if self.speaks_http and self.tls is None else b"")
                sock.shutdown(socket.SHUT_WR)

    def _evict(self, known_too: bool = False) -> bool:
        """Close a connection on which no request is open: one that has long said nothing first, so that those who
        connect and say nothing cost the others nothing; then the one that has been idle for longest, of those that
        were used once before those that were used again. Of those that have just connected and those that were just
        answered the more numerous make room. Known clients' are spared, or not (`known_too`)."""
        now = time.monotonic()
        for connection in self.evictable.candidates(
            now - SILENT_S, now - RECENT_S, self._opening, not known_too
        ):
            if connection.retire():
                self.connections.discard(connection)
                return True
        return False

    def _measure(self) -> None:
        self.pressure.update(self.taken, self.most)

    def resize(self, most: int, overflow_most: int) -> None:
        """Another number of slots; what is idle past it makes room."""
        self.most, self.overflow_most = most, overflow_most
        while self.taken > self.most and self._evict():
            pass
        self._measure()

    def joined(self, connection: FrontConnection) -> None:
        self._opening -= 1
        self.connections.add(connection)
        if not connection.overflow:  # closing those makes no room
            self.evictable.unused[connection] = None

    @property
    def idle(self) -> Mapping[FrontConnection, None]:
        """Connections that are idle after their first request."""
        return self.evictable.idle

    def left(self, connection: FrontConnection) -> None:
        self.connections.discard(connection)
        self.evictable.remove(connection)
        self.overflowing -= connection.overflow
        self._forget_visit(connection.visit)
        self._measure()

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    # The end.

    def retire(self) -> None:
        """New clients are no longer wanted: whoever asks hears so, and each answer ends its connection."""
        self.draining = True
        self.reader.draining = True

    def hush(self) -> None:
        """Nothing is accepted by the loop any more; `accept` still takes what the kernel holds."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)

    def block(self) -> None:
        """Nobody else connects; those who have can still be accepted. Not for a socket that another process has too."""
        if self._sock is not None and not self.shared and not self.was_offered:
            block_new_connections(self._sock)

    def close(self) -> None:
        """The socket goes; the connections stay. One that another process has too leaves its file."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            release(self._sock, is_shared=self.shared)
            self._sock = None

    def is_busy(self, idle_s: float = DRAIN_IDLE_S) -> bool:
        """Close what has been idle for `idle_s`; whether any connection has not, or is still being opened."""
        now = time.monotonic()
        for connection in [*self.evictable.idle, *self.evictable.reused]:
            if now - connection.since > idle_s:
                connection.retire()
        return bool(self._opening) or any(c.is_busy() for c in self.connections)

    def is_flushing(self) -> bool:
        return any(c.phase == Phase.LINGER or c.owes() for c in self.connections)

    def stop(self) -> None:
        self.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
            self._sweeping = None
        if self.tls is not None:
            self.tls.close()
        for connection in list(self.connections):
            connection.abort()


async def drain(
    listeners: Sequence[Listener],
    longest: float,
    most: float | None = None,
    succeeded: bool = False,
    blocks: bool = False,
) -> None:
    """After SIGTERM: serve for a while, then close what is idle and answer what is held.

    `longest`: seconds that a request may take at most; `most`: that all of it may take, by the platform's terms if it
    is not given; `succeeded`: another process accepts on the same sockets; `blocks`: the sockets are of this process
    alone, and the system keeps new connections away before the last ones are accepted."""
    began = time.monotonic()
    end = began + (platform_shutdown_duration(longest) if most is None else most)
    for listener in listeners:
        listener.retire()
    if succeeded:
        for listener in listeners:
            listener.close()
        await _let_go(listeners, end - LAST_S)
    else:
        await _stop_accepting(listeners, end, blocks)
    while any([listener.is_busy() for listener in listeners]) and time.monotonic() < end:
        await asyncio.sleep(0.01)
    await read_what_has_arrived()  # answers among it, where the process was held up
    for listener in listeners:
        for proxy in listener.reader.proxies():
            proxy.end_all()
    # Guards against requests that wait behind others on their connections, which are turned away now, and against
    # answers that are still in our buffers when the process ends: their clients close once they have read them.
    while any(listener.is_flushing() for listener in listeners) and time.monotonic() < end + FLUSH_S:
        await asyncio.sleep(0.01)
    for listener in listeners:
        listener.stop()


async def _stop_accepting(listeners: Sequence[Listener], end: float, blocks: bool) -> None:
    """Nobody else accepts: go on for a while, then take what the kernel holds, for it is ours."""
    await asyncio.sleep(DRAIN_OPEN_S)
    if blocks:
        for listener in listeners:
            listener.block()
        await asyncio.sleep(HANDSHAKE_S)
    for listener in listeners:
        listener.hush()
    for listener in listeners:
        while listener.accept() and time.monotonic() < end:
            await asyncio.sleep(0)
        listener.close()


async def _let_go(listeners: Sequence[Listener], until: float) -> None:
    """Clients' connections end with an answer each, as long as there is time: closing an idle one under its client
    costs a request whenever the two cross. Harm: a process that ends some seconds later than it could."""
    while time.monotonic() < until and any(listener.is_busy(KEPT_S) for listener in listeners):
        await asyncio.sleep(0.02)
