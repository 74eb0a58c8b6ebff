"""The listener and the connections of clients: requests in, one answer each."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections import deque
from contextlib import suppress
from itertools import islice
from typing import NamedTuple, Union, cast

import httptools

from spokemast.interface import Effect
from spokemast.limits import BODY_MOST, Complaints, Limits
from spokemast.core.proxy import OpenRequest, Proxy
from spokemast.settings import Deployment

#: Largest head of a request; guards against endless headers.
HEAD_MOST = 16 << 10
#: A request has this long to come whole, and a new connection to send one, counted from connecting. Guards
#: against silence, heads and bodies without end, and whatever else does not become a request: bad clients are
#: owed an answer or a close within 3 s. Harm: a good client slower than this must ask again.
REQUEST_S = 2.5
#: Requests that may wait on one connection behind the one being served; guards against pipelining floods.
PIPELINE_MOST = 16
#: An answer that the client does not take for this long is given up.
READ_STALL_S = 5.0
#: After the last answer a connection is ended in one direction and read for this long, so that what is
#: still coming does not reset it before the client has read the answer.
LINGER_S = 1.0
#: What is read and thrown away on such a connection at most; guards against being kept busy by the rest of an
#: upload that has been turned away.
LINGER_MOST = 128 << 10
#: A connection that has carried a request is closed when it has been idle for this long.
IDLE_S = 10.0
#: New connections taken in one go, so that those that are there get their turn.
ACCEPT_BURST = 64
#: Idle connections that are looked at for one to close; more would cost too much where all are in use.
EVICT_TRIES = 8
#: Connections that the kernel may hold for us; a burst past it would be left hanging.
BACKLOG = 1024
#: How long nothing is accepted after the kernel had no descriptor to give; trying on would take all the CPU.
ACCEPT_REST_S = 0.05
#: How often limits in time are looked at.
SWEEP_S = 0.25
#: After SIGTERM new connections go on coming for 0.4 s; they are served for this long.
DRAIN_OPEN_S = 0.6
#: While draining, a connection on which nothing has come for this long is idle.
DRAIN_IDLE_S = 0.2
#: What is held after SIGTERM gets at most the longest deadline, but SIGKILL may come 3.7 s after it.
DRAIN_MOST_S = 3.4
#: The last answers get this long to leave our buffers.
FLUSH_S = 0.1

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip

TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

#: Headers of a request that are not passed on as they came: of this connection alone, or written anew.
NOT_PASSED = frozenset((
    b"connection", b"keep-alive", b"proxy-authorization", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length", b"expect", b"x-remaining",
))  # fmt: skip
#: Those that are read here.
NOTED = frozenset((
    b"connection", b"content-length", b"cookie", b"expect", b"host", b"idempotency-key", b"transfer-encoding",
    b"x-estimate", b"x-lane", b"x-org", b"x-remaining", b"x-resent", b"x-txn",
))  # fmt: skip

REMAINING = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
UNITS = {b"m": 1e-3, b"u": 1e-6}
KEY = re.compile(rb"(?:^|;)\s*obj=([^;]*)")


class RejectError(Exception):
    """A request that is answered here, and after which the connection is closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Ask(NamedTuple):
    """A request that is whole and well formed."""

    request: OpenRequest
    cls: int
    deadline: float  # monotonic
    tenant: int
    key: str | None
    hint: float | None
    retry: bool
    close: bool


class Reply(NamedTuple):
    """What is answered without the module."""

    status: int
    why: str
    close: bool


class ClientConnection(asyncio.Protocol):
    """One connection of a client; one request at a time is served on it."""

    def __init__(self, server: Server, sock: socket.socket, overflow: bool) -> None:
        self.server, self.sock, self.overflow = server, sock, overflow
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.request: OpenRequest | None = None  # being served
        self.waiting: deque[Union[Ask, Reply]] = deque()
        self.since = time.monotonic()  # of the phase
        self.phase = IDLE
        self.closing = False  # no further request is read
        self.blocked = 0.0  # since when the client has not taken what was written
        self.charged = 0
        self.close_after = False  # the request being served is the last
        self.paused = False  # reading
        self.asked = False  # a whole request has come
        self.discarded = 0  # bytes read after the last answer
        self._begin()

    def _begin(self) -> None:
        self.url = b""
        self.lines: list[bytes] = []
        self.noted: dict[bytes, bytes] = {}
        self.head_size = 0
        self.body: bytearray | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        self.server.joined(self)

    # What the parser finds.

    def on_message_begin(self) -> None:
        self._begin()
        if self.phase == IDLE:
            self.server.idle.pop(self, None)
            if self.asked:
                self.since = time.monotonic()
        self.phase = HEAD

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))
        if self.phase != HEAD:  # trailers
            return
        key = name.lower()
        if key in NOTED:
            if key in self.noted and key != b"cookie":
                raise RejectError(400, f"{key.decode()} twice")
            self.noted[key] = value
        if key not in NOT_PASSED:
            self.lines.append(b"%b: %b\r\n" % (name, value))

    def _count(self, more: int) -> None:
        self.head_size += more
        if self.head_size > HEAD_MOST:
            raise RejectError(431, "head too large")

    def on_headers_complete(self) -> None:
        noted = self.noted
        if int(noted.get(b"content-length", b"0")) > BODY_MOST:
            raise RejectError(413, "body too large")
        self.phase = BODY
        if noted.get(b"expect", b"").lower() == b"100-continue" and self.request is None and not self.waiting:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        if self.body is None:
            self.body = bytearray()
        if len(self.body) + len(data) > BODY_MOST:
            raise RejectError(413, "body too large")
        if not self.server.proxy.budget.take_upload(len(data)):
            raise RejectError(503, "too much is being uploaded")
        self.body += data

    def on_message_complete(self) -> None:
        if len(self.waiting) >= PIPELINE_MOST:
            raise RejectError(503, "too many requests at once")
        self.waiting.append(self._read())
        self.phase = WHOLE
        self.asked = True
        self.server.strangers.pop(self, None)

    def _read(self) -> Ask | Reply:
        """The request, as the module and the backends get it."""
        assert self.parser is not None
        method, url, noted = self.parser.get_method(), self.url, self.noted
        old = self.parser.get_http_version() != "1.1"
        close = old or not self.parser.should_keep_alive()
        if url == b"/ready" and method == b"GET":
            self._release_body()
            ready = self.server.ready()
            return Reply(200 if ready else 503, "ready" if ready else "not ready", close)
        if method not in (b"GET", b"POST"):
            raise RejectError(400, "the method is neither GET nor POST")
        if not url.startswith(b"/") or (b"host" not in noted and not old):
            raise RejectError(400, "no path or no host")
        if not noted.get(b"x-txn"):
            raise RejectError(404, "no X-Txn")
        deployment = self.server.deployment
        cls = deployment.classes.get(noted.get(b"x-lane", b"").decode("latin-1"))
        if cls is None:
            raise RejectError(400, "no or unknown X-Lane")
        effect, give_up = deployment.settings.classes[cls].effect, deployment.settings.classes[cls].give_up
        if effect == Effect.KEYED and not noted.get(b"idempotency-key"):
            raise RejectError(400, "no Idempotency-Key")  # a repeat could not be told from another request
        if (method == b"GET") != (effect == Effect.SAFE):
            raise RejectError(400, "the method does not fit the class")
        tenant = deployment.tenants.get(noted.get(b"x-org", b"").decode("latin-1"), 0)
        if b"x-remaining" in noted:
            match = REMAINING.fullmatch(noted[b"x-remaining"].strip())
            if match is None:
                raise RejectError(400, "unreadable X-Remaining")
            left = min(
                float(match[1]) * UNITS[match[2]], give_up
            )  # a wrong one may not hold a request for long
        else:
            left = give_up
        key = KEY.search(noted[b"cookie"]) if b"cookie" in noted else None
        estimate = noted.get(b"x-estimate", b"")
        request = OpenRequest(self, hash(noted[b"x-txn"]), self._head(method), self.body)
        self.body = None
        return Ask(
            request, cls, time.monotonic() + left, tenant, key[1].decode("latin-1") if key else None,
            int(estimate) / 1e6 if estimate.isdigit() and len(estimate) <= 12 else None,
            noted.get(b"x-resent") == b"1", close,
        )  # fmt: skip

    def _head(self, method: bytes) -> bytes:
        named = self.noted.get(b"connection", b"").lower()
        if named not in (b"", b"keep-alive", b"close"):  # it names headers of this connection alone
            names = {name.strip() for name in named.split(b",")}
            self.lines = [line for line in self.lines if line.partition(b":")[0].lower() not in names]
        if self.body or method == b"POST":
            self.lines.append(b"Content-Length: %d\r\n" % len(self.body or b""))
        return b"%b %b HTTP/1.1\r\n%b" % (method, self.url, b"".join(self.lines))

    # Receiving.

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.discarded += len(data)
            if self.discarded > LINGER_MOST:
                self._read_on(False)
            return
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            cause = problem.__context__
            if isinstance(cause, RejectError):
                self._reject(cause.status, cause.why)
            elif isinstance(problem, httptools.HttpParserCallbackError) and cause is not None:
                raise cause from None  # a defect of ours
            else:
                self._reject(400, "not HTTP/1.1")
        else:
            if self.phase == HEAD:  # a name or value that does not end stays in the parser
                self.head_size += len(data)
                if self.head_size > 2 * HEAD_MOST:
                    self._reject(431, "head too large")
        self._next()

    def _reject(self, status: int, why: str) -> None:
        """Answered in its turn; nothing after it can be read."""
        self.closing = True
        self.server.forget(self)
        self._release_body()
        self.waiting.append(Reply(status, why, True))

    def _next(self) -> None:
        """Serve what waits, in order, until one takes its time."""
        while self.request is None and self.waiting and not self._gone():
            item = self.waiting.popleft()
            self.close_after = item.close or self.server.draining
            if isinstance(item, Reply):
                self._write(item.status, [], item.why.encode() + b"\n")
                self._after()
            elif self.overflow:
                self.server.proxy.drop(item.request)
                self.close_after = True
                self._write(503, [], b"too many connections\n")
                self._after()
            elif self.server.proxy.is_known(item.request):
                self.server.proxy.drop(item.request)
                self.close_after = True
                self._write(409, [], b"this X-Txn has been used\n")
                self._after()
            else:
                self.request = item.request
                left = max(0.0, item.deadline - time.monotonic())
                self.server.proxy.take(
                    item.request, item.cls, left, item.tenant, item.key, item.hint, item.retry
                )
        if not self.closing:
            self._read_on(not self.waiting)

    def _read_on(self, on: bool) -> None:
        """Guards against pipelining floods: nothing is read while a whole request waits."""
        if on == self.paused and not self._gone():
            assert self.transport is not None
            self.paused = not on
            (self.transport.resume_reading if on else self.transport.pause_reading)()

    def _gone(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    # Answering.

    def answer(self, status: int, lines: list[bytes], body: bytes, close: bool = False) -> None:
        self.close_after = self.close_after or close
        self._write(status, lines, body)
        self.request = None
        self._after()

    def _write(self, status: int, lines: list[bytes], body: bytes) -> None:
        assert self.transport is not None
        self.close_after = self.close_after or self.server.draining
        last = b"Connection: close\r\n" if self.close_after else b""
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b"
            % (status, REASONS[status], b"".join(lines), last, len(body), body)
        )

    def _after(self) -> None:
        """The answer is written: close, or wait for the next request."""
        assert self.transport is not None
        self.since = time.monotonic()
        if self.close_after:
            self.closing = True
            self.phase = LINGER
            self.server.lingering[self] = None
            while self.waiting:
                self._drop(self.waiting.popleft())
            self._release_body()
            self._read_on(True)
            if not self._gone():
                self.transport.write_eof()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self._next)
        elif self.phase == WHOLE:
            self.phase = IDLE
            self.server.idle[self] = None

    def _drop(self, item: Ask | Reply) -> None:
        if isinstance(item, Ask):
            self.server.proxy.drop(item.request)

    def _release_body(self) -> None:
        if self.body is not None:
            self.server.proxy.budget.give(len(self.body))
            self.body = None

    # Flow control, and the end.

    def pause_writing(self) -> None:
        """What the client does not take counts as buffered."""
        assert self.transport is not None
        self.blocked = time.monotonic()
        self.charged = self.transport.get_write_buffer_size()
        self.server.proxy.budget.held += self.charged

    def resume_writing(self) -> None:
        self._uncharge()

    def _uncharge(self) -> None:
        self.blocked = 0.0
        self.server.proxy.budget.give(self.charged)
        self.charged = 0

    def eof_received(self) -> None:
        """The client has gone away; the transport closes."""
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        self._leave()
        self._uncharge()
        self.server.left(self)
        self.parser = None  # they hold one another, and would stay until the collector comes by

    def _leave(self) -> None:
        self.closing = True
        request, self.request = self.request, None
        if request is not None:
            self.server.proxy.withdraw(request)
        while self.waiting:
            self._drop(self.waiting.popleft())
        self._release_body()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def retire(self) -> bool:
        """Close a connection with no open request, unless one waits in the kernel: that is ours already.

        Guards against requests lost by a proxy that is short of CPU and reads late."""
        try:
            unread = bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:  # nothing there, or the connection has broken
            unread = False
        if not unread:
            self.server.forget(self)
            self.abort()
        return not unread

    def sweep(self, now: float) -> None:
        """Limits in time."""
        waited = now - self.since
        if self.blocked and now - self.blocked > READ_STALL_S:
            self.abort()
        elif self.phase == LINGER:
            if waited > LINGER_S and not self.blocked:
                self.abort()
        elif self.phase in (HEAD, BODY) and self.request is None:
            if waited > REQUEST_S:
                self._expire()
        elif self.phase == IDLE and waited > (IDLE_S if self.asked and not self.overflow else REQUEST_S):
            self.retire()

    def _expire(self) -> None:
        self._reject(408, "the request did not come to its end")
        self._next()


#: Phases of reading a connection.
IDLE, HEAD, BODY, WHOLE, LINGER = range(5)


class Server:
    """The listener, and all connections of clients."""

    def __init__(self, proxy: Proxy, deployment: Deployment, limits: Limits, complain: Complaints) -> None:
        self.proxy, self.deployment, self.complain = proxy, deployment, complain
        self.most, self.overflow_most = limits.client_sockets, limits.overflow_sockets
        self.connections: set[ClientConnection] = set()
        self.overflowing = 0
        # Those on which no request is open, the oldest first: no whole request has come, idle, answered.
        self.strangers: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}
        self._starting: set[asyncio.Task[None]] = set()
        self.draining = False
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._opening = 0

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        sock.setblocking(False)
        self._sock = sock
        self._loop.add_reader(sock, self._accept)
        self._loop.call_later(SWEEP_S, self._sweep)
        host, port = sock.getsockname()
        return host, port

    def ready(self) -> bool:
        return not self.draining and bool(self.proxy.listed)

    def _accept(self) -> bool:
        """Take what has connected; False once nothing waits any more."""
        assert self._sock is not None
        for _ in range(ACCEPT_BURST):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return False
            except OSError as problem:
                self.complain("accept", problem)
                self._evict()
                self._rest()
                return True
            self._admit(sock)
        return True

    def _rest(self) -> None:
        """Guards against a listener that is always readable while there is no descriptor for what waits."""
        if self._sock is not None and not self.draining:
            self._loop.remove_reader(self._sock)
            self._loop.call_later(ACCEPT_REST_S, self._resume)

    def _resume(self) -> None:
        if self._sock is not None and not self.draining:
            self._loop.add_reader(self._sock, self._accept)

    def _admit(self, sock: socket.socket) -> None:
        """Past the limit idle connections make room; else the request is answered 503.

        Guards against connections left in the kernel's queue: their requests are ours already."""
        overflow = False
        if len(self.connections) + self._opening - self.overflowing >= self.most and not self._evict():
            overflow = True
            self.complain("too many connections", len(self.connections))
            if self.overflowing >= self.overflow_most:
                self._turn_away(sock)
                return
            self.overflowing += 1
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._opening += 1
        task = self._loop.create_task(self._start(sock, overflow))
        self._starting.add(task)  # the loop alone would not keep it
        task.add_done_callback(self._starting.discard)

    async def _start(self, sock: socket.socket, overflow: bool) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self, sock, overflow), sock)
        except OSError:
            sock.close()
            self._opening -= 1
            self.overflowing -= overflow

    def _turn_away(self, sock: socket.socket) -> None:
        """The last resort: answered 503 on the spot, and closed."""
        with sock:
            sock.setblocking(False)
            with suppress(OSError):
                sock.recv(HEAD_MOST)  # unread bytes would turn the close into a reset
            with suppress(OSError):
                sock.send(TURNED_AWAY)

    def _evict(self) -> bool:
        """Close a connection on which no request is open: one that never sent any first, so that those who
        connect and say nothing cost the others nothing; then the one that has been idle for longest."""
        for pool in (self.strangers, self.idle, self.lingering):
            for connection in list(islice(pool, EVICT_TRIES)):
                if connection.retire():
                    self.connections.discard(connection)
                    return True
        return False

    def joined(self, connection: ClientConnection) -> None:
        self._opening -= 1
        self.connections.add(connection)
        if not connection.overflow:  # closing those makes no room
            self.strangers[connection] = None

    def forget(self, connection: ClientConnection) -> None:
        """It is not to be closed to make room."""
        for pool in (self.strangers, self.idle, self.lingering):
            pool.pop(connection, None)

    def left(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.forget(connection)
        self.overflowing -= connection.overflow

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        self.proxy.backends.sweep(now)
        self._loop.call_later(SWEEP_S, self._sweep)

    async def drain(self) -> None:
        """After SIGTERM: serve for a while, then close what is idle and answer what is held."""
        began = time.monotonic()
        self.draining = True
        await asyncio.sleep(DRAIN_OPEN_S)
        assert self._sock is not None
        self._loop.remove_reader(self._sock)
        longest = max(c.give_up for c in self.deployment.settings.classes)
        end = began + min(DRAIN_MOST_S, longest + DRAIN_OPEN_S)
        while self._accept() and time.monotonic() < end:  # what the kernel holds is ours
            await asyncio.sleep(0)
        self._sock.close()
        self._sock = None
        while (self._opening or self._busy()) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.proxy.end_all()
        # Guards against answers that are still in our buffers when the process ends: their clients close once
        # they have read them.
        while any(c.phase == LINGER for c in self.connections) and time.monotonic() < end + FLUSH_S:
            await asyncio.sleep(0.01)
        self.stop()

    def stop(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        for connection in list(self.connections):
            connection.abort()

    def _busy(self) -> bool:
        """Close what is idle; whether any connection is not."""
        now = time.monotonic()
        for connection in list(self.idle):
            if now - connection.since > DRAIN_IDLE_S:
                connection.retire()
        return any(c.phase != LINGER or c.blocked for c in self.connections)
