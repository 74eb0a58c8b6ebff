"""The connections to one pool's members: opening, reuse and closing, within the pool's limit of descriptors.

The protocol modules read and write on a connection; this module opens it, assigns attempts to it and keeps it
when idle.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections import deque
from functools import partial
from typing import Callable, Protocol

from loadbalancer.input_turns import InputTurns
from loadbalancer.kernel_buffers import KernelBuffers
from loadbalancer.memory_account import BufferBudget
from loadbalancer.policy.events import AttemptResult
from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.upstreams.interfaces import AttemptOwner, TlsConnector, UpstreamRequest
from loadbalancer.upstreams.pacing import Pacer
from loadbalancer.upstreams.partial_answers import PartialAnswer

#: Idle connections kept to one backend. It holds some twenty for all proxies, and a full connection table costs it.
MAX_IDLE_CONNECTIONS = 6
#: An idle connection is closed at this share of the backend's idle timeout. Backends close early, and a request that
#: is sent while the backend closes the connection ends as a reset.
IDLE_TIMEOUT_SHARE = 0.3
#: Seconds that a connection must have been idle before it is reused. Guards against a duplicate answer or stray bytes
#: right behind an answer, which would be read as the answer to the next request. Cost: now and then a new connection,
#: when a backend gets another request at once.
MIN_IDLE_BEFORE_REUSE_S = 0.005
#: The same for an endpoint that sends bytes which belong to no request: a second copy of an answer may come late.
MIN_IDLE_AFTER_SURPLUS_S = 0.03
#: Seconds for which such bytes count after the latest of them.
SURPLUS_MEMORY_S = 60.0

#: Seconds that a member has to answer the close of a TLS connection (close_notify).
TLS_SHUTDOWN_TIMEOUT_S = 1.0
#: Prefix of an address that is the path of a Unix socket; its port is 0.
UNIX_PREFIX = "unix:"
#: Address of a backend and the time of its last start. A connection is valid only for the pair that it was opened to.
EndpointIdentity = tuple[tuple[str, int], float]


def address_family(address: tuple[str, int]) -> socket.AddressFamily:
    """Return the address family of an address; a path of a Unix socket has the prefix UNIX_PREFIX."""
    return socket.AF_UNIX if address[0].startswith(UNIX_PREFIX) else socket.AF_INET


class Upstream(asyncio.Protocol):
    """The interface of a connection that a pool uses, for any protocol."""

    endpoint: UpstreamEndpoint
    sock: socket.socket
    identity: EndpointIdentity
    is_handed_over: bool  # the transport owns the socket
    secure: bool = False  # over TLS: bytes written are not the bytes on the wire
    closed: bool
    idle_since: float  # monotonic

    def has_room(self) -> bool:
        """Return whether one more attempt can share this connection."""
        return False

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request; the owner's `finish_attempt` gets its result."""
        raise NotImplementedError

    def is_unsent(self) -> bool:
        """Return whether enough of the request is still unsent that it cannot have run."""
        raise NotImplementedError

    def has_arrived(self) -> bool:
        """Return whether the endpoint's machine has acknowledged the last byte of the request."""
        raise NotImplementedError

    def is_alive(self) -> bool:
        """Return whether an idle connection can still be used."""
        raise NotImplementedError

    def find_partial_answer(self) -> PartialAnswer | None:
        """Return the progress of an answer that has begun, whose end is not known, and that may be streamed."""
        return None

    def pass_on_partial_answer(self) -> bool:
        """Stream the answer that `find_partial_answer` returns, if it returns one.

        Returns:
            Whether the attempt now streams its answer, or has ended; otherwise nothing has changed.
        """
        return False

    def drop(self) -> None:
        """Close at once, without reporting a result for the attempt."""
        raise NotImplementedError

    def take_back(self) -> None:
        """Drop the attempt so that nothing more of it arrives, whatever else the connection carries."""
        self.drop()


class ConnectionFactory(Protocol):
    """Creates the connection object of a protocol for a new socket."""

    def __call__(self, backend: UpstreamEndpoint, pool: UpstreamPools, sock: socket.socket) -> Upstream:
        """Create the connection object."""


class Attempt:
    """One attempt of a request, from the policy's Send action to its single Outcome event."""

    __slots__ = (
        "request",
        "number",
        "endpoint",
        "began_at",
        "timed_out_at",
        "timeout",
        "timer",
        "connection",
        "opening",
        "ended",
        "written_at",
        "answered_at",
        "_written",
    )

    def __init__(
        self, request: UpstreamRequest, number: int, server: str, began: float, timeout: float
    ) -> None:
        self.request, self.number, self.endpoint = request, number, server
        self.began_at, self.timeout = began, timeout
        self.timer: asyncio.TimerHandle | ReadFirstTimer | None = None
        self.connection: Upstream | None = None
        self.opening: asyncio.Task[None] | None = None
        self.ended = False
        self.written_at = 0.0  # monotonic
        self.timed_out_at = 0.0  # monotonic, when its timeout expired; 0: not yet
        self.answered_at = 0.0  # monotonic, when the head of its answer was complete; 0: not yet
        self._written = False  # value of is_written() when the connection was detached

    def is_written(self) -> bool:
        """Return whether the last byte of the request was sent, so that it may have run."""
        return self._written if self.connection is None else not self.connection.is_unsent()

    def has_arrived(self) -> bool:
        """Return whether the last byte of the request is known to have arrived at its endpoint's machine."""
        return self.connection is not None and self.connection.has_arrived()

    def find_partial_answer(self) -> PartialAnswer | None:
        """Return the progress of an answer that is not complete; see `Upstream.find_partial_answer`."""
        return self.connection.find_partial_answer() if self.connection is not None else None

    def pass_on_partial_answer(self) -> bool:
        """Stream the part of the answer that has arrived; see `Upstream.pass_on_partial_answer`."""
        return self.connection is not None and self.connection.pass_on_partial_answer()

    def has_started(self) -> bool:
        """Return whether a connection carries the attempt, or has sent its whole request."""
        return self.connection is not None or self._written

    def detach(self) -> None:
        """Detach the attempt from its connection, and keep whether its request was sent."""
        self._written = self.is_written()
        self.connection = None

    def drop(self) -> None:
        """Cancel the attempt. Its connection is closed, which also tells the backend."""
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None
        if self.connection is not None:
            self.connection.drop()

    def take_back(self) -> None:
        """Cancel the attempt so that nothing more of its request arrives, at the cost of others on its connection."""
        if self.connection is not None:
            self.connection.take_back()
        self.drop()


class UpstreamEndpoint:
    """The address and the connections of one backend."""

    __slots__ = (
        "identity",
        "idle",
        "is_gone",
        "is_serving",
        "last_heard_at",
        "name",
        "open",
        "is_opening_scheduled",
        "shared",
        "surplus_until",
        "waiting_attempts",
    )

    def __init__(self, identity: EndpointIdentity, name: str = "") -> None:
        self.identity, self.name = identity, name
        self.idle: list[Upstream] = []  # the most recently used one last
        self.shared: list[Upstream] = []  # connections that can carry several attempts, in use or idle
        self.is_serving = True  # listed as serving
        self.is_gone = False
        self.open = 0
        self.surplus_until = (
            0.0  # monotonic; until then it is expected to send bytes that belong to no request
        )
        self.last_heard_at = 0.0  # monotonic, when bytes were last received on any of its connections
        self.waiting_attempts: deque[Attempt] = deque()  # attempts that the pacer delays
        self.is_opening_scheduled = False  # a timer to open the next one is set

    def record_surplus(self) -> None:
        """Record that bytes were received which belong to no request."""
        self.surplus_until = time.monotonic() + SURPLUS_MEMORY_S

    def min_idle_s(self) -> float:
        """Return for how many seconds a connection must have been idle before it is reused."""
        sends_surplus = time.monotonic() < self.surplus_until
        return MIN_IDLE_AFTER_SURPLUS_S if sends_surplus else MIN_IDLE_BEFORE_REUSE_S


class UpstreamPools:
    """All connections of one pool to its backends."""

    def __init__(
        self,
        owner: AttemptOwner,
        budget: BufferBudget,
        logger: RateLimitedLogger,
        sockets: int,
        connection_factory: ConnectionFactory,
        connect_timeout: float,
        idle_close: float,
        max_idle_connections: int | None = None,
    ) -> None:
        """Create a pool without connections.

        `sockets`: maximum of descriptors. `connect_timeout`: seconds. `idle_close`: seconds after which a backend
        closes an idle connection. `max_idle_connections`: maximum of idle connections kept to one backend.
        """
        self.owner, self.budget, self.logger = owner, budget, logger
        self.sockets, self._connection_factory = sockets, connection_factory
        self.connect_timeout = connect_timeout
        self.max_idle_connections = (
            MAX_IDLE_CONNECTIONS if max_idle_connections is None else max_idle_connections
        )
        self.idle_timeout = idle_close * IDLE_TIMEOUT_SHARE
        self.endpoints: dict[str, UpstreamEndpoint] = {}
        self.tls: TlsConnector | None = None  # set if members are reached over TLS
        self.open = 0
        self.free_descriptor: Callable[[], bool] = lambda: (
            False
        )  # called when the system has no descriptor left
        self.kernel_buffers = KernelBuffers()
        self.input_turns = InputTurns()
        self.pacer: Pacer | None = None  # set while many proxies restart at once

    def resize(self, sockets: int) -> None:
        """Set the maximum of descriptors, and close idle connections beyond it."""
        self.sockets = sockets
        while self.open > sockets and self._close_one_idle():
            pass

    def update_endpoint(self, server: str, identity: EndpointIdentity, serving: bool) -> None:
        """Add or update an endpoint. Idle connections are closed if its identity changed or it is not serving."""
        backend = self.endpoints.get(server)
        if backend is None:
            backend = self.endpoints[server] = UpstreamEndpoint(identity, server)
        if backend.identity != identity or not serving:
            backend.identity = identity
            self.close_idle(server)
        backend.is_serving = serving
        backend.is_gone = False

    def remove_endpoint(self, server: str) -> None:
        """Mark an endpoint as removed from the endpoint list, and close its idle connections."""
        backend = self.endpoints.get(server)
        if backend is not None:
            backend.is_serving, backend.is_gone = False, True
            self.close_idle(server)

    def retire(self, server: str) -> None:
        """Close the idle connections to an endpoint; those in use are closed when their attempt has ended."""
        self.endpoints[server].is_serving = False
        self.close_idle(server)

    def _is_blocked(self, attempt: Attempt, late: bool) -> bool:
        """Return whether the attempt must not be sent; if so, finish it.

        Called right before a request is written, on every path. Guards against attempts whose reason no longer holds
        once their connection is up: the request has its answer, its client has disconnected, its member drains or was
        removed, the deduplication window is over, or the lease has ended. Nothing is lost, since the request has not
        run.

        `late`: time has passed since the attempt was decided.
        """
        result = self.owner.find_obstacle(attempt, late)
        if result is not None:
            self.owner.finish_attempt(attempt, result)
        return result is not None

    def send(self, attempt: Attempt) -> None:
        """Send the attempt on a shared or idle connection, or open a new one."""
        if self._is_blocked(attempt, False):
            return
        backend = self.endpoints.get(attempt.endpoint)
        if backend is None:  # removed since the attempt was decided
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        if (existing := self._find_shared(backend) or self._find_idle(backend)) is not None:
            existing.start(attempt)
            return
        if self.pacer is not None:
            backend.waiting_attempts.append(attempt)
            self._open_next(backend)
            return
        self._open_connection(backend, attempt)

    def _open_next(self, backend: UpstreamEndpoint) -> None:
        """Open a connection for the first waiting attempt as soon as the pacer allows it.

        An attempt that waits gets an existing connection that becomes free earlier. Guards members against all proxies
        that open their connections in the same moment, after most have restarted. Cost: while its member has no
        connection from this process, a request waits for its turn, within its timeout.
        """
        while backend.waiting_attempts and not backend.is_opening_scheduled:
            attempt = backend.waiting_attempts.popleft()
            if attempt.ended:
                continue
            wait = self.pacer.acquire(time.monotonic()) if self.pacer is not None else 0.0
            if wait > 0:
                backend.waiting_attempts.appendleft(attempt)
                backend.is_opening_scheduled = True
                asyncio.get_running_loop().call_later(wait, self._on_opening_due, backend)
            else:
                self._open_connection(backend, attempt)

    def _on_opening_due(self, backend: UpstreamEndpoint) -> None:
        backend.is_opening_scheduled = False
        self._open_next(backend)

    def set_pace(self, pacer: Pacer | None) -> None:
        """Set the pacer, or end pacing with None: all waiting attempts then open their connections."""
        self.pacer = pacer
        for backend in list(self.endpoints.values()) if pacer is None else ():
            self._open_next(backend)  # does nothing if a timer is set; that finds no pacer when it fires

    def _open_connection(self, backend: UpstreamEndpoint, attempt: Attempt) -> None:
        if self.open >= self.sockets and not self._close_one_idle():
            self.logger("no descriptor left for a backend", attempt.endpoint)
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        sock = self._create_socket(backend)
        if sock is None:
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        connection = self._connection_factory(backend, self, sock)
        attempt.opening = asyncio.get_running_loop().create_task(self._connect(connection))
        attempt.opening.add_done_callback(partial(self._finish_opening, connection, attempt))

    def _create_socket(self, backend: UpstreamEndpoint) -> socket.socket | None:
        """Create a socket. If the system has no descriptor left, free a spare one and retry, for requests in flight."""
        for last in (False, True):
            try:
                sock = socket.socket(
                    address_family(backend.identity[0]), socket.SOCK_STREAM | socket.SOCK_NONBLOCK
                )
                self.kernel_buffers.apply(sock)
                return sock
            except OSError as problem:
                if last or problem.errno not in (errno.EMFILE, errno.ENFILE) or not self.free_descriptor():
                    self.logger("no socket for a backend", problem)
                    break
        return None

    def _find_shared(self, backend: UpstreamEndpoint) -> Upstream | None:
        """Return a connection that can carry one more attempt along with its others, or None."""
        for connection in backend.shared:
            if connection.has_room():
                if connection not in backend.idle:
                    return connection
                if connection.is_alive():
                    backend.idle.remove(connection)
                    return connection
        return None

    def _find_idle(self, backend: UpstreamEndpoint) -> Upstream | None:
        """Return the most recently used connection that has been idle for long enough, or None."""
        rested = time.monotonic() - backend.min_idle_s()
        for connection in reversed(backend.idle.copy()):
            if connection.idle_since > rested:
                continue
            if connection.is_alive():
                backend.idle.remove(connection)
                return connection
            connection.drop()
        return None

    async def _connect(self, connection: Upstream) -> None:
        loop, sock = asyncio.get_running_loop(), connection.sock
        destination: tuple[str, int] | str = connection.identity[0]
        if sock.family == socket.AF_UNIX:
            destination = connection.identity[0][0].removeprefix(UNIX_PREFIX)
        else:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(None) as limit:
            timer = ReadFirstTimer(loop, self.connect_timeout, limit.reschedule, loop.time())
            try:
                await loop.sock_connect(sock, destination)
            finally:
                timer.cancel()
        connection.is_handed_over = True
        try:
            if self.tls is None:
                await loop.create_connection(lambda: connection, sock=sock)
            else:
                await self._handshake(self.tls, connection)
        except BaseException:
            connection.drop()  # at once: its descriptor's number may be reused a moment later
            raise

    async def _handshake(self, tls: TlsConnector, connection: Upstream) -> None:
        connection.secure = True
        backend = connection.endpoint
        await asyncio.get_running_loop().create_connection(
            lambda: connection,
            sock=connection.sock,
            ssl=tls.context(backend.name),
            server_hostname=tls.name_of(backend.name, connection.identity[0]),
            ssl_handshake_timeout=tls.handshake_s,
            ssl_shutdown_timeout=TLS_SHUTDOWN_TIMEOUT_S,
        )
        tls.accepted(backend.name, time.monotonic())

    def _opening_result(self, connection: Upstream, task: asyncio.Task[None]) -> AttemptResult:
        """Return the result of an attempt whose connection was not established; its request never ran."""
        if self.tls is None or not connection.secure or task.cancelled():
            return AttemptResult.NO_CONNECTION
        return self.tls.failed(connection.endpoint.name, task.exception(), time.monotonic())

    def _finish_opening(self, connection: Upstream, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """Handle the end of every opening: success, failure or cancellation, also before it began.

        Guards against half-opened connections that stay counted, which would make the proxy believe that it has no
        descriptor left.
        """
        attempt.opening = None
        if task.cancelled() or task.exception() is not None or connection.closed:
            result = self._opening_result(connection, task)
            connection.drop()
            self.owner.finish_attempt(attempt, result)
        elif attempt.ended or self._is_blocked(attempt, True):  # ended while this callback was queued
            self.keep_idle(connection)
        elif (
            connection.identity != connection.endpoint.identity
        ):  # the address may belong to another server by now
            connection.drop()
            self.owner.finish_attempt(attempt, AttemptResult.NOT_SENT)
        else:
            connection.start(attempt)

    def keep_idle(self, connection: Upstream) -> None:
        """Give a connection that is free again to a waiting attempt, keep it idle, or close it."""
        backend = connection.endpoint
        if self.tls is not None:
            self.tls.used(backend.name, connection)
        if not backend.is_serving or connection.identity != backend.identity:
            connection.drop()
            return
        while backend.waiting_attempts:
            attempt = backend.waiting_attempts.popleft()
            if not attempt.ended and not self._is_blocked(attempt, True):
                connection.start(attempt)
                return
        if len(backend.idle) >= self.max_idle_connections:
            backend.idle[0].drop()
        connection.idle_since = time.monotonic()
        backend.idle.append(connection)

    def forget(self, connection: Upstream) -> None:
        """Remove a closed connection from the counts and lists."""
        backend = connection.endpoint
        self.open -= 1
        backend.open -= 1
        for connections in (backend.idle, backend.shared):
            if connection in connections:
                connections.remove(connection)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to an endpoint."""
        backend = self.endpoints.get(server)
        while backend is not None and backend.idle:
            backend.idle[-1].drop()

    def close_idle_if_silent(self, attempt: Attempt) -> None:
        """Close a backend's idle connections after a timeout during which no byte was received from it.

        Guards against connections that stay open without a peer (a machine that vanished, a network path that dropped
        their state): each would cost one more request its whole timeout. It should also catch a backend that hangs and
        recovers. Cost: new connections to a backend that was merely slow for that long.
        """
        backend = self.endpoints.get(attempt.endpoint)
        if backend is not None and backend.last_heard_at < attempt.written_at:
            self.close_idle(attempt.endpoint)

    def _close_one_idle(self) -> bool:
        idle = [b.idle[0] for b in self.endpoints.values() if b.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).drop()
        return bool(idle)

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long, and delete removed endpoints that have no connections."""
        for server, backend in list(self.endpoints.items()):
            while backend.idle and now - backend.idle[0].idle_since > self.idle_timeout:
                backend.idle[0].drop()
            if backend.is_gone and not backend.open:
                del self.endpoints[server]
