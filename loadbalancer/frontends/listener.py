"""A listening socket: the accept loop, admission, eviction of idle connections, refusals and draining.

Requests are read by the protocol modules, not here.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Mapping, Protocol, Sequence

from loadbalancer.admission.pressure import STEPS, UNUSED_AFTER_S, Pressure
from loadbalancer.admission.rulings import ADMIT_BY_EVICTION, REFUSE, RETRY_AFTER_S, AdmissionDecision
from loadbalancer.frontends.connection import FrontConnection, Phase
from loadbalancer.frontends.dialect import Reader
from loadbalancer.frontends.evictable_connections import EvictableConnections
from loadbalancer.frontends.http1_answers import encode_refusal
from loadbalancer.frontends.linger import LingerPacer
from loadbalancer.frontends.shutdown_deadline import platform_shutdown_duration
from loadbalancer.frontends.sockets import LOCAL, UNIX, bind, block_new_connections, release
from loadbalancer.input_turns import InputTurns
from loadbalancer.kernel_buffers import KernelBuffers
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.read_first_timer import read_what_has_arrived
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:  # imported only where a listener has admission rules
    from loadbalancer.frontends.admission_gate import AdmissionGate, AdmittedConnection
    from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
if TYPE_CHECKING:  # imported only where a listener speaks TLS
    from loadbalancer.frontends.tls_listener import TlsAcceptor

#: Least number of connections that one call of `accept` accepts, at the highest pressure; it bounds how many calls
#: empty the kernel's queue.
ACCEPT_LEAST = STEPS[-1].max_accepts
#: A connection that has sent no request for this long is evicted before all others. Until then its first bytes may
#: be in flight, and idle connections that have been answered are evicted before it.
SILENT_S = 0.1
#: For this long after an answer the next request may be in flight.
RECENT_S = UNUSED_AFTER_S
#: Pause of the accept loop after the process ran out of descriptors; retrying at once would use all the CPU.
ACCEPT_PAUSE_S = 0.05
#: Interval between checks of the timeouts of connections.
SWEEP_S = 0.25
#: How long new connections are accepted after SIGTERM; they keep coming for 0.4 s.
DRAIN_OPEN_S = 0.5
#: Time between blocking new connections and closing the socket, for handshakes that have begun to complete. A client
#: may count as connected before its handshake completes, and its request would be reset.
HANDSHAKE_WAIT_S = 0.05
#: While draining, a connection that has waited for its next request for this long is closed as idle.
DRAIN_IDLE_S = 0.2
#: While another process accepts the new clients, idle connections may stay until this long before the deadline,
HANDOVER_MARGIN_S = 0.4
#: unless they have been idle for this many seconds, after which another request on them is unlikely.
HANDOVER_IDLE_S = 2.0
#: Time for the last answers to leave the write buffers.
FLUSH_S = 0.1
#: Bytes read from a connection that is refused right after it was accepted.
REFUSAL_READ_MOST = 16 << 10


class ConnectionFactory(Protocol):
    """Makes the protocol object of an accepted connection."""

    def __call__(self, listener: Listener, sock: socket.socket, overflow: bool, peer: str) -> FrontConnection:
        """Create the connection object."""


class Listener:
    """One listening socket, and the client connections accepted on it."""

    def __init__(
        self,
        reader: Reader,
        slots: tuple[int, int],
        logger: RateLimitedLogger,
        serve: ConnectionFactory,
        account: MemoryAccount | None = None,
        kernel_buffers: KernelBuffers | None = None,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            reader: The dialect of its clients.
            slots: Connections that it may hold, and further ones that it may hold only to refuse their requests.
            logger: Logs refusals and errors.
            serve: Makes the protocol objects of connections.
            account: The memory account of the process; by default one without a limit.
            kernel_buffers: Buffers in the kernel of each connection.
        """
        self.reader, self.logger, self._serve = reader, logger, serve
        self.most, self.overflow_most = slots
        self.connections: set[FrontConnection] = set()
        self.overflowing = 0
        self.pressure = Pressure()
        self.gate: AdmissionGate | None = None  # admission rules for client addresses
        self.spares: ReserveDescriptors | None = None  # for refusing connections when out of descriptors
        self.tls: TlsAcceptor | None = None  # runs the handshakes of new connections; None without TLS
        self.speaks_http = True  # an immediate refusal can carry a 503 answer
        self.evictable = EvictableConnections()
        self.kernel_buffers = kernel_buffers if kernel_buffers is not None else KernelBuffers()
        self.input_turns = InputTurns()
        self.linger_pacer = LingerPacer()
        self.account = account if account is not None else MemoryAccount(sys.maxsize)
        self._opening_tasks: set[asyncio.Task[None]] = set()
        self.draining = False
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._opening = 0
        self._sweep_timer: asyncio.TimerHandle | None = None

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind and begin to accept; raise OSError if the address is not available."""
        return self.start(bind(address))

    def start(self, sock: socket.socket) -> tuple[str, int]:
        """Begin to accept on a listening socket, which the listener now owns."""
        self._sock = sock
        self.kernel_buffers.apply(sock)  # accepted connections inherit them
        self.shared = False  # another process listens on it too
        self.was_offered = False  # another process may have received the socket, and may accept on it later
        self._loop.add_reader(sock, self.accept)
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)
        return self.address

    @property
    def listening(self) -> socket.socket | None:
        """Return the listening socket, which a successor process may take over; None once it is closed."""
        return self._sock

    @property
    def accepting(self) -> bool:
        """Return whether new clients are accepted."""
        return self._sock is not None and not self.draining

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port that it listens on; for a Unix socket `unix:` with the path, and 0."""
        assert self._sock is not None
        name = self._sock.getsockname()
        return (UNIX + name, 0) if isinstance(name, str) else (name[0], name[1])

    def accept(self) -> bool:
        """Accept connections from the kernel's queue; return False once the queue is empty."""
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
                self._pause_accepting()
                return True
            self._admit(sock, address[0] if address else LOCAL)
        return True

    def _refuse_with_spare(self) -> None:
        """Accept waiting connections on reserve descriptors, tell each client to retry later, and close them.

        Guards against clients that hang in the kernel's queue while there is no descriptor for them. The cost: a client
        must come back although a descriptor might soon have been free.
        """
        if self.spares is None or self._sock is None:
            return
        for _ in range(self.pressure.step.max_accepts):
            if not self.spares.take():
                return
            try:
                sock, _ = self._sock.accept()
            except OSError:  # the queue is empty, or the freed descriptor was used elsewhere
                self.spares.refill()
                return
            self._turn_away(sock, RETRY_AFTER_S)
            self.spares.refill()

    def _pause_accepting(self) -> None:
        """Pause the accept loop: without a free descriptor the socket stays readable and would wake it constantly."""
        if self._sock is not None and not self.draining:
            self._loop.remove_reader(self._sock)
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock is not None and not self.draining:
            self._loop.add_reader(self._sock, self.accept)

    def _admit(self, sock: socket.socket, peer: str) -> None:
        """Admit, refuse or overflow an accepted connection.

        At the limit an idle connection is evicted; if there is none, the connection is kept only to answer its request
        with 503. Guards against connections left in the kernel's queue, whose clients may already have sent a request.
        """
        overflow, admitted = False, None
        if self.gate is not None:
            admitted, ruling = self.gate.admit_new(peer, self.most, self.taken)
            if not self._apply_ruling(admitted, ruling):
                self._turn_away(sock, ruling.retry_after)
                return
        if self.taken >= self.most and not self._make_room(admitted):
            overflow = True
            self.logger("too many connections", len(self.connections))
            if self.overflowing >= self.overflow_most:
                self._release_admission(admitted)
                self._turn_away(sock)
                return
            self.overflowing += 1
        self._opening += 1
        self._measure_pressure()
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._open_connection(sock, overflow, peer, admitted))
        self._opening_tasks.add(task)  # the event loop keeps only a weak reference
        task.add_done_callback(self._opening_tasks.discard)

    def _make_room(self, admitted: AdmittedConnection | None) -> bool:
        """Return whether one more connection can be admitted while all slots are taken, after evicting an idle one.

        Clients of known networks are also admitted past the limit, on the descriptors reserved for refusals; once those
        are used up, they may evict one another.
        """
        if self._evict():
            return True
        if admitted is None or not admitted.known:
            return False
        over_limit = max(0, self.taken - self.most) + self.overflowing
        return over_limit < self.overflow_most or self._evict(True)

    @property
    def taken(self) -> int:
        """Return the number of slots in use, including connections that are still being opened."""
        return len(self.connections) + self._opening - self.overflowing

    def _apply_ruling(self, admitted: AdmittedConnection, ruling: AdmissionDecision) -> bool:
        """Apply an admission ruling, with an eviction if it requires one; return False if the connection is refused."""
        if ruling.verdict == ADMIT_BY_EVICTION and not self._evict():
            self._release_admission(admitted)
        elif ruling.verdict != REFUSE:
            return True
        self.logger(f"refused: {ruling.reason}", admitted.address)
        return False

    def _release_admission(self, admitted: AdmittedConnection | None) -> None:
        if admitted is not None:
            admitted.gate.release(admitted)

    def unwrap(self, connection: FrontConnection, admitted: AdmittedConnection, data: bytes) -> bytes:
        """Return the bytes after a connection's PROXY header; empty if it is incomplete, or the client is refused."""
        try:
            rest, ruling = admitted.gate.unwrap(admitted, data, self.most, self.taken)
        except ValueError as problem:
            self.logger(f"no PROXY header from {admitted.address}", problem)
            connection.abort()
            return b""
        if ruling is not None and not self._apply_ruling(admitted, ruling):
            connection.refuse(encode_refusal(ruling.retry_after) if self.speaks_http else b"")
            return b""
        return rest

    async def _open_connection(
        self, sock: socket.socket, overflow: bool, peer: str, admitted: AdmittedConnection | None
    ) -> None:
        def serve() -> FrontConnection:
            connection = self._serve(self, sock, overflow, peer)
            connection.admitted = admitted
            return connection

        try:
            if self.tls is None:
                await self._loop.connect_accepted_socket(serve, sock)
            else:
                await self.tls.handshake(serve, sock, peer, admitted is not None and admitted.known)
        except OSError:
            sock.close()
            self._release_admission(admitted)
            self._opening -= 1
            self.overflowing -= overflow

    def _turn_away(self, sock: socket.socket, retry_after: float = 0.0) -> None:
        """Close an accepted socket at once, with a 503 answer if its client speaks HTTP without TLS."""
        with sock:
            sock.setblocking(False)
            with suppress(OSError):
                sock.recv(REFUSAL_READ_MOST)  # closing a socket with unread bytes would send a reset
            with suppress(OSError):
                sock.send(encode_refusal(retry_after) if self.speaks_http and self.tls is None else b"")
                sock.shutdown(socket.SHUT_WR)

    def _evict(self, evicts_known: bool = False) -> bool:
        """Close one connection without an open request; return whether one was closed.

        Connections that have long been open without a request go first, so that clients that send nothing cost the
        others nothing. Then goes the connection that has been idle longest: those used once before those used again.
        Of connections just opened and connections just answered, the larger group is evicted from first. Connections of
        known networks are evicted only if `evicts_known` is set.
        """
        now = time.monotonic()
        for connection in self.evictable.candidates(
            now - SILENT_S, now - RECENT_S, self._opening, not evicts_known
        ):
            if connection.close_if_idle():
                self.connections.discard(connection)
                return True
        return False

    def _measure_pressure(self) -> None:
        self.pressure.update(self.taken, self.most)

    def resize(self, most: int, overflow_most: int) -> None:
        """Change the number of slots, and evict connections past the new limit."""
        self.most, self.overflow_most = most, overflow_most
        while self.taken > self.most and self._evict():
            pass
        self._measure_pressure()

    def add(self, connection: FrontConnection) -> None:
        """Add a connection that is open now."""
        self._opening -= 1
        self.connections.add(connection)
        if not connection.overflow:  # closing an overflow connection frees no slot
            self.evictable.unused[connection] = None

    @property
    def idle(self) -> Mapping[FrontConnection, None]:
        """Return the connections that are idle after their first request."""
        return self.evictable.idle

    def remove(self, connection: FrontConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.evictable.remove(connection)
        self.linger_pacer.remove(connection)
        self.overflowing -= connection.overflow
        self._release_admission(connection.admitted)
        self._measure_pressure()

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    # Shutdown.

    def begin_draining(self) -> None:
        """Begin to drain: report not ready, and close each connection with its next answer."""
        self.draining = True
        self.reader.draining = True

    def stop_accepting(self) -> None:
        """Stop the accept loop; calling `accept` still accepts what is in the kernel's queue."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)

    def block(self) -> None:
        """Block new connections, except on a socket that another process has; the queue can still be accepted."""
        if self._sock is not None and not self.shared and not self.was_offered:
            block_new_connections(self._sock)

    def close(self) -> None:
        """Close the listening socket but not the connections. The file of a shared Unix socket stays."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            release(self._sock, is_shared=self.shared)
            self._sock = None

    def is_busy(self, idle_s: float = DRAIN_IDLE_S) -> bool:
        """Close connections that have been idle for `idle_s`; return whether others are still busy or being opened."""
        now = time.monotonic()
        for connection in [*self.evictable.idle, *self.evictable.reused]:
            if now - connection.since > idle_s:
                connection.close_if_idle()
        return bool(self._opening) or any(c.is_busy() for c in self.connections)

    def is_flushing(self) -> bool:
        """Return whether any connection still has answers to write or its close to complete."""
        return any(c.phase == Phase.LINGER or c.has_waiting_requests() for c in self.connections)

    def stop(self) -> None:
        """Close the socket and abort all connections."""
        self.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        if self.tls is not None:
            self.tls.close()
        for connection in list(self.connections):
            connection.abort()


async def drain(
    listeners: Sequence[Listener],
    longest_deadline_s: float,
    time_limit_s: float | None = None,
    has_successor: bool = False,
    blocks_connections: bool = False,
) -> None:
    """Drain listeners after SIGTERM: serve for a while, then close idle connections and answer the open requests.

    Args:
        listeners: The listeners.
        longest_deadline_s: Longest time that a request may take, in seconds.
        time_limit_s: Time limit for the whole drain in seconds; by default it follows from the platform's rules.
        has_successor: Whether another process accepts on the same sockets.
        blocks_connections: Whether new connections are blocked in the kernel before the last ones are accepted; only
            for sockets that no other process has.
    """
    began = time.monotonic()
    end = began + (platform_shutdown_duration(longest_deadline_s) if time_limit_s is None else time_limit_s)
    for listener in listeners:
        listener.begin_draining()
    if has_successor:
        for listener in listeners:
            listener.close()
        await _wait_for_last_answers(listeners, end - HANDOVER_MARGIN_S)
    else:
        await _stop_accepting(listeners, end, blocks_connections)
    while any([listener.is_busy() for listener in listeners]) and time.monotonic() < end:
        await asyncio.sleep(0.01)
    await read_what_has_arrived()  # may include answers, if the process was stalled
    for listener in listeners:
        for proxy in listener.reader.proxies():
            proxy.end_all()
    # Guards against losing the answers to requests that waited behind others on their connections and are rejected now,
    # and answers still in the write buffers when the process ends: clients close once they have read them.
    while any(listener.is_flushing() for listener in listeners) and time.monotonic() < end + FLUSH_S:
        await asyncio.sleep(0.01)
    for listener in listeners:
        listener.stop()


async def _stop_accepting(listeners: Sequence[Listener], end: float, blocks: bool) -> None:
    """Accept for a while longer, then accept what is in the kernel's queue, which no other process will, and close."""
    await asyncio.sleep(DRAIN_OPEN_S)
    if blocks:
        for listener in listeners:
            listener.block()
        await asyncio.sleep(HANDSHAKE_WAIT_S)
    for listener in listeners:
        listener.stop_accepting()
    for listener in listeners:
        while listener.accept() and time.monotonic() < end:
            await asyncio.sleep(0)
        listener.close()


async def _wait_for_last_answers(listeners: Sequence[Listener], until: float) -> None:
    """Wait until connections end with their next answer, and close those that have long been idle.

    Closing an idle connection loses a request whenever the client sends one at the same time. The cost: the process
    ends some seconds later than it could.
    """
    while time.monotonic() < until and any(listener.is_busy(HANDOVER_IDLE_S) for listener in listeners):
        await asyncio.sleep(0.02)
