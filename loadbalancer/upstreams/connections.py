"""The connections to one pool's members: opened, kept, retired, within the pool's descriptors.

What is said on one is the matter of the protocol's file; here it is opened, handed an attempt and taken back.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Callable, Protocol

from loadbalancer.policy.events import AttemptResult
from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.resource_limits import BufferBudget, RateLimitedLogger
from loadbalancer.upstreams.interfaces import AttemptOwner, Job, TlsConnector
from loadbalancer.upstreams.pacing import Pacer

if TYPE_CHECKING:  # loaded where members are spoken to over TLS
    pass

#: Idle connections kept to one backend: it holds some twenty for all proxies, and a full table costs it.
IDLE_MOST = 6
#: An idle connection is retired at this share of the time after which the backend closes it. Backends
#: close early, and a request that crosses such a close ends as a reset.
IDLE_SHARE = 0.3
#: A connection is used again once it has rested for this long. Guards against a second copy, or noise, that
#: comes right behind an answer: after the next request has been written it would pass for the answer to that.
#: Harm: a new connection now and then, where a backend is asked again at once.
REST_S = 0.005

#: Seconds that a member has to answer the end of a connection over TLS.
SHUTDOWN_S = 1.0
#: An address that begins so is the path of a Unix socket; its port is 0.
UNIX = "unix:"
#: Where a backend listens and when it last started: connections are of one life of it.
Life = tuple[tuple[str, int], float]


def family(address: tuple[str, int]) -> socket.AddressFamily:
    return socket.AF_UNIX if address[0].startswith(UNIX) else socket.AF_INET


class Upstream(asyncio.Protocol):
    """What a pool needs of a connection, whatever protocol it speaks."""

    endpoint: UpstreamEndpoint
    sock: socket.socket
    identity: Life
    is_handed_over: bool  # the transport owns the socket
    secure: bool = False  # over TLS: what is written is not what leaves
    closed: bool
    idle_since: float  # monotonic

    def has_room(self) -> bool:
        """Whether it takes one more attempt beside those on it."""
        return False

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request; its end is told to the owner."""
        raise NotImplementedError

    def is_unsent(self) -> bool:
        """Whether so much of the request is still here that it can't have run."""
        raise NotImplementedError

    def is_alive(self) -> bool:
        """Whether a kept connection can still be used."""
        raise NotImplementedError

    def drop(self) -> None:
        """Close at once; nothing further is heard of it."""
        raise NotImplementedError


class Connect(Protocol):
    """Makes the protocol's side of a connection."""

    def __call__(self, backend: UpstreamEndpoint, pool: UpstreamPools, sock: socket.socket) -> Upstream: ...


class Attempt:
    """One Send, from when the module asked for it to its one Outcome."""

    __slots__ = (
        "request",
        "number",
        "endpoint",
        "began_at",
        "timeout",
        "timer",
        "connection",
        "opening",
        "ended",
        "written_at",
        "answered_at",
        "_written",
    )

    def __init__(self, request: Job, number: int, server: str, began: float, timeout: float) -> None:
        self.request, self.number, self.endpoint = request, number, server
        self.began_at, self.timeout = began, timeout
        self.timer: asyncio.TimerHandle | None = None
        self.connection: Upstream | None = None
        self.opening: asyncio.Task[None] | None = None
        self.ended = False
        self.written_at = 0.0  # monotonic
        self.answered_at = 0.0  # monotonic, when the head of its answer was whole; 0: not yet
        self._written = False  # as it was when the connection was let go

    def is_written(self) -> bool:
        """Whether the last byte of the request has left, so that it may have run."""
        return self._written if self.connection is None else not self.connection.is_unsent()

    def has_started(self) -> bool:
        """Whether a connection carries it, or has carried it."""
        return self.connection is not None or self._written

    def detach(self) -> None:
        """The connection carries it no further."""
        self._written = self.is_written()
        self.connection = None

    def drop(self) -> None:
        """Stop waiting: the connection is closed, which also tells the backend."""
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None
        if self.connection is not None:
            self.connection.drop()


class UpstreamEndpoint:
    """One backend's address and connections."""

    __slots__ = (
        "identity",
        "idle",
        "is_gone",
        "is_serving",
        "last_heard_at",
        "name",
        "open",
        "opening_is_due",
        "shared",
        "waiting_attempts",
    )

    def __init__(self, life: Life, name: str = "") -> None:
        self.identity, self.name = life, name
        self.idle: list[Upstream] = []  # the newest last
        self.shared: list[Upstream] = []  # those that carry several attempts, in use or idle
        self.is_serving = True  # listed as serving
        self.is_gone = False
        self.open = 0
        self.last_heard_at = 0.0  # when any of its connections last had something to read
        self.waiting_attempts: deque[Attempt] = deque()  # for a connection, while these are opened at a pace
        self.opening_is_due = False  # one of them is to open one


class UpstreamPools:
    """All connections to backends."""

    def __init__(
        self,
        owner: AttemptOwner,
        budget: BufferBudget,
        logger: RateLimitedLogger,
        sockets: int,
        make: Connect,
        connect_timeout: float,
        idle_close: float,
        idle_most: int | None = None,
    ) -> None:
        """`sockets`: descriptors at most. `connect_timeout`, `idle_close`: seconds; after the latter a
        backend closes a connection that stands idle. `idle_most`: idle connections kept to one backend."""
        self.owner, self.budget, self.logger = owner, budget, logger
        self.sockets, self._make = sockets, make
        self.connect_timeout = connect_timeout
        self.max_idle_connections = IDLE_MOST if idle_most is None else idle_most
        self.idle_s = idle_close * IDLE_SHARE
        self.endpoints: dict[str, UpstreamEndpoint] = {}
        self.tls: TlsConnector | None = None  # what members are spoken to in
        self.open = 0
        self.free_descriptor: Callable[[], bool] = lambda: (
            False
        )  # frees one on the spot where the system has none
        self.pacer: Pacer | None = None  # while many proxies come back at once
        self.send_guard: Callable[[str], AttemptResult | None] | None = (
            None  # how an attempt ends that may not leave now
        )

    def resize(self, sockets: int) -> None:
        """Another number of descriptors; idle connections past it are closed."""
        self.sockets = sockets
        while self.open > sockets and self._close_one_idle():
            pass

    def listed(self, server: str, life: Life, serving: bool) -> None:
        """Another address or start means that the old connections are of no use."""
        backend = self.endpoints.get(server)
        if backend is None:
            backend = self.endpoints[server] = UpstreamEndpoint(life, server)
        if backend.identity != life or not serving:
            backend.identity = life
            self.close_idle(server)
        backend.is_serving = serving
        backend.is_gone = False

    def gone(self, server: str) -> None:
        backend = self.endpoints.get(server)
        if backend is not None:
            backend.is_serving, backend.is_gone = False, True
            self.close_idle(server)

    def retire(self, server: str) -> None:
        """Keep no connection to it: those in use close once they have been used."""
        self.endpoints[server].is_serving = False
        self.close_idle(server)

    def _is_stopped(self, attempt: Attempt, late: bool) -> bool:
        """Asked right before anything leaves, on every way. Guards against attempts that were right when they were
        decided and are not once their connection is up: the request has its answer, its client has left, its member
        drains or has gone, the deduplication window is over. Also what a fleet has agreed on, against a process that
        was stopped between its decision and its send. Harm: none, the request has not run."""
        result = self.send_guard(attempt.endpoint) if self.send_guard is not None else None
        if result is None and self.owner.must_not_leave(attempt, late):
            result = AttemptResult.NOT_SENT
        if result is not None:
            self.owner.finish_attempt(attempt, result)
        return result is not None

    def send(self, attempt: Attempt) -> None:
        if self._is_stopped(attempt, False):
            return
        backend = self.endpoints.get(attempt.endpoint)
        if backend is None:  # it went between the decision and now
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        if (kept := self._shared(backend) or self._kept(backend)) is not None:
            kept.start(attempt)
            return
        if self.pacer is not None:
            backend.waiting_attempts.append(attempt)
            self._next(backend)
            return
        self._open(backend, attempt)

    def _next(self, backend: UpstreamEndpoint) -> None:
        """The first that waits opens a connection once the pace allows it; another may be free before.

        Guards members against all proxies that open theirs in the same moment, after most have restarted. Harm: a
        request waits for its turn, inside its time, while its member has no connection of ours."""
        while backend.waiting_attempts and not backend.opening_is_due:
            attempt = backend.waiting_attempts.popleft()
            if attempt.ended:
                continue
            wait = self.pacer.take(time.monotonic()) if self.pacer is not None else 0.0
            if wait > 0:
                backend.waiting_attempts.appendleft(attempt)
                backend.opening_is_due = True
                asyncio.get_running_loop().call_later(wait, self._due, backend)
            else:
                self._open(backend, attempt)

    def _due(self, backend: UpstreamEndpoint) -> None:
        backend.opening_is_due = False
        self._next(backend)

    def set_pace(self, pacer: Pacer | None) -> None:
        """None ends it: all that wait open theirs."""
        self.pacer = pacer
        for backend in list(self.endpoints.values()) if pacer is None else ():
            self._next(backend)  # what a timer is set for comes with it, and finds no pace

    def _open(self, backend: UpstreamEndpoint, attempt: Attempt) -> None:
        if self.open >= self.sockets and not self._close_one_idle():
            self.logger("no descriptor left for a backend", attempt.endpoint)
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        sock = self._socket(backend)
        if sock is None:
            self.owner.finish_attempt(attempt, AttemptResult.NO_CONNECTION)
            return
        connection = self._make(backend, self, sock)
        attempt.opening = asyncio.get_running_loop().create_task(self._connect(connection))
        attempt.opening.add_done_callback(partial(self._opened, connection, attempt))

    def _socket(self, backend: UpstreamEndpoint) -> socket.socket | None:
        """Guards requests in flight against a system that has no descriptor left: a spare one is theirs."""
        for last in (False, True):
            try:
                return socket.socket(family(backend.identity[0]), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            except OSError as problem:
                if last or problem.errno not in (errno.EMFILE, errno.ENFILE) or not self.free_descriptor():
                    self.logger("no socket for a backend", problem)
                    break
        return None

    def _shared(self, backend: UpstreamEndpoint) -> Upstream | None:
        """A connection that takes one more attempt beside those on it."""
        for connection in backend.shared:
            if connection.has_room():
                if connection not in backend.idle:
                    return connection
                if connection.is_alive():
                    backend.idle.remove(connection)
                    return connection
        return None

    def _kept(self, backend: UpstreamEndpoint) -> Upstream | None:
        """The idle connection used last, of those that have rested."""
        rested = time.monotonic() - REST_S
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
        where: tuple[str, int] | str = connection.identity[0]
        if sock.family == socket.AF_UNIX:
            where = connection.identity[0][0].removeprefix(UNIX)
        else:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(None) as limit:
            timer = ReadFirstTimer(loop, self.connect_timeout, limit.reschedule, loop.time())
            try:
                await loop.sock_connect(sock, where)
            finally:
                timer.cancel()
        connection.is_handed_over = True
        try:
            if self.tls is None:
                await loop.create_connection(lambda: connection, sock=sock)
            else:
                await self._shake(self.tls, connection)
        except BaseException:
            connection.drop()  # now: the number of its descriptor may be another's a moment later
            raise

    async def _shake(self, tls: TlsConnector, connection: Upstream) -> None:
        connection.secure = True
        backend = connection.endpoint
        await asyncio.get_running_loop().create_connection(
            lambda: connection,
            sock=connection.sock,
            ssl=tls.context(backend.name),
            server_hostname=tls.name_of(backend.name, connection.identity[0]),
            ssl_handshake_timeout=tls.handshake_s,
            ssl_shutdown_timeout=SHUTDOWN_S,
        )
        tls.accepted(backend.name, time.monotonic())

    def _unopened(self, connection: Upstream, task: asyncio.Task[None]) -> AttemptResult:
        """What it means that a connection did not come up: in any case the request never ran."""
        if self.tls is None or not connection.secure or task.cancelled():
            return AttemptResult.NO_CONNECTION
        return self.tls.failed(connection.endpoint.name, task.exception(), time.monotonic())

    def _opened(self, connection: Upstream, attempt: Attempt, task: asyncio.Task[None]) -> None:
        """The one place where opening ends: opened, failed, or cancelled, also before it began.

        Guards against half-opened connections that stay counted, and with them against a proxy that comes to
        believe that it has no descriptor left."""
        attempt.opening = None
        if task.cancelled() or task.exception() is not None or connection.closed:
            result = self._unopened(connection, task)
            connection.drop()
            self.owner.finish_attempt(attempt, result)
        elif attempt.ended or self._is_stopped(attempt, True):  # while this waited for its turn
            self.keep_idle(connection)
        elif (
            connection.identity != connection.endpoint.identity
        ):  # somebody else may listen where it leads by now
            connection.drop()
            self.owner.finish_attempt(attempt, AttemptResult.NOT_SENT)
        else:
            connection.start(attempt)

    def keep_idle(self, connection: Upstream) -> None:
        backend = connection.endpoint
        if self.tls is not None:
            self.tls.used(backend.name, connection)
        if not backend.is_serving or connection.identity != backend.identity:
            connection.drop()
            return
        while backend.waiting_attempts:
            attempt = backend.waiting_attempts.popleft()
            if not attempt.ended and not self._is_stopped(attempt, True):
                connection.start(attempt)
                return
        if len(backend.idle) >= self.max_idle_connections:
            backend.idle[0].drop()
        connection.idle_since = time.monotonic()
        backend.idle.append(connection)

    def forget(self, connection: Upstream) -> None:
        backend = connection.endpoint
        self.open -= 1
        backend.open -= 1
        for those in (backend.idle, backend.shared):
            if connection in those:
                those.remove(connection)

    def close_idle(self, server: str) -> None:
        backend = self.endpoints.get(server)
        while backend is not None and backend.idle:
            backend.idle[-1].drop()

    def suspect(self, attempt: Attempt) -> None:
        """Close a backend's idle connections after a time-out in which nothing at all was heard of it.

        Guards against connections that stay open while nobody is at their other end any more (a machine that
        vanished, a path that forgot them): each would cost one more request its time. It should also catch a
        backend that hangs and comes back. Harm: new connections to one that was merely slow for that long."""
        backend = self.endpoints.get(attempt.endpoint)
        if backend is not None and backend.last_heard_at < attempt.written_at:
            self.close_idle(attempt.endpoint)

    def _close_one_idle(self) -> bool:
        idle = [b.idle[0] for b in self.endpoints.values() if b.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).drop()
        return bool(idle)

    def sweep(self, now: float) -> None:
        """Retire what has stood idle, forget what is gone."""
        for server, backend in list(self.endpoints.items()):
            while backend.idle and now - backend.idle[0].idle_since > self.idle_s:
                backend.idle[0].drop()
            if backend.is_gone and not backend.open:
                del self.endpoints[server]
