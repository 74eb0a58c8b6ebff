"""The management address on sockets: HTTP/1.1, one call a connection, within its own descriptors.

What a call means is in calls.py. Nothing here waits for a client's request, a member or a file.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Callable, Protocol, cast

import httptools

from loadbalancer.frontends.sockets import bind
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import RateLimitedLogger

#: Connections at once. Guards the descriptors against callers that come and say nothing: past it the oldest that has
#: not sent a whole call gives way.
CALLERS_MOST = 16
#: A call has this long to come whole; callers may take 4 s over one.
CALL_S = 6.0
#: And what it asks for, of which some wait for others.
ANSWER_S = 90.0
#: An answered connection is read to its end for this long, so that what is still coming does not reset it before
#: the caller has read the answer.
LINGER_S = 1.0
#: Largest call, in bytes: head and whatever body somebody sends along.
CALL_MOST = 8 << 10
#: After the kernel had no descriptor to give.
REST_S = 0.05

REASONS = {
    200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
    401: b"Unauthorized", 409: b"Conflict", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class CallerConnection(asyncio.Protocol):
    """One connection, and the one call on it."""

    def __init__(self, server: ManagementServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.url, self.method, self.body = b"", "", b""
        self.authorization: str | None = None
        self.received = 0
        self.whole = self.asked = self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._within(CALL_S, self._late)

    def _within(self, seconds: float, then: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, then)

    # What the parser finds.

    def on_url(self, url: bytes) -> None:
        if not self.whole:  # a further call on the connection is not looked at
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.whole and name.lower() == b"authorization":
            self.authorization = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        if not self.whole:
            self.body += data

    def on_message_complete(self) -> None:
        if not self.whole:
            assert self.parser is not None
            self.whole, self.method = True, self.parser.get_method().decode()

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        if self.answered:
            if self.received > 2 * CALL_MOST:
                self.abort()
            return
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                self._say(Response(400, b"this is not HTTP/1.1\n"))
                return
        if self.whole:
            if not self.asked:
                self.asked = True
                self._within(ANSWER_S, self._late)
                self._call()
        elif self.received > CALL_MOST:
            self._say(Response(413, b"a call is shorter than this\n"))

    def _call(self) -> None:
        try:
            path = httptools.parse_url(self.url).path or b""
        except httptools.HttpParserInvalidURLError:
            self._say(Response(400, b"no path can be read\n"))
            return
        desk = self.server.desk if self.server.door is None else self.server.door(self.authorization)
        if isinstance(desk, Response):
            self._say(desk)
        else:
            desk.answer(self.method, path.decode("latin-1"), self._say, self.body)

    def _late(self) -> None:
        self._say(Response(408, b"the call did not come to its end\n"))

    def _say(self, said: Response) -> None:
        """Answer, once, and end the connection."""
        assert self.transport is not None
        self.answered = True
        if self.transport.is_closing():  # the caller has gone while its mark was being kept
            return
        kind = b"application/json" if said.json else b"text/plain"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (said.status, REASONS[said.status], kind, len(said.body), said.body)
        )
        self.transport.write_eof()
        self._within(LINGER_S, self.abort)

    def eof_received(self) -> None:
        """The caller has gone, or says no more; nothing is owed that has not been said."""

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.left(self)
        self.parser = None  # they hold one another
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class CallHandler(Protocol):
    """Who knows what calls mean."""

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None: ...


class ManagementServer:
    """The listening socket and its callers."""

    def __init__(
        self,
        desk: CallHandler,
        logger: RateLimitedLogger,
        door: Callable[[str | None], CallHandler | Response] | None = None,
    ) -> None:
        """`door`: whose desk a call comes to by its Authorization, or what it hears in its place; all come to `desk`
        if it is not given."""
        self.desk, self.logger, self.door = desk, logger, door
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._callers: dict[CallerConnection, None] = {}  # the oldest first
        self._starting: set[asyncio.Task[None]] = set()

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind and begin to answer; OSError where the address can't be had."""
        return self.start(bind(address))

    def start(self, sock: socket.socket) -> tuple[str, int]:
        """Answer on a socket that listens; it is the server's from here on."""
        self._sock = sock
        self._loop.add_reader(self._sock, self._accept)
        name = self._sock.getsockname()
        return (name, 0) if isinstance(name, str) else (name[0], name[1])

    def _accept(self) -> None:
        assert self._sock is not None
        for _ in range(CALLERS_MOST):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                self.logger("accept for management", problem)
                self._rest()
                return
            sock.setblocking(False)
            self._make_room()
            caller = CallerConnection(self)
            self._callers[caller] = None
            task = self._loop.create_task(self._start(caller, sock))
            self._starting.add(task)  # the loop alone would not keep it
            task.add_done_callback(self._starting.discard)

    async def _start(self, caller: CallerConnection, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: caller, sock)
        except OSError:
            sock.close()
            self.left(caller)

    def _make_room(self) -> None:
        """Answered ones first, then the oldest that has not sent its call."""
        if len(self._callers) < CALLERS_MOST:
            return
        there = [caller for caller in self._callers if caller.transport is not None]
        waiting = next((caller for caller in there if not caller.asked), there[0] if there else None)
        goes = next((caller for caller in there if caller.answered), waiting)
        if goes is not None:
            goes.abort()
            self.left(goes)

    def left(self, caller: CallerConnection) -> None:
        self._callers.pop(caller, None)

    def _rest(self) -> None:
        """Guards against a socket that is always readable while there is no descriptor for what waits."""
        assert self._sock is not None
        self._loop.remove_reader(self._sock)
        self._loop.call_later(REST_S, self._resume)

    def _resume(self) -> None:
        if self._sock is not None:
            self._loop.add_reader(self._sock, self._accept)

    @property
    def listening(self) -> socket.socket | None:
        """What it listens on, for one that takes over."""
        return self._sock

    def deafen(self) -> None:
        """New calls are another process's; those that have come are answered."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def close(self) -> None:
        self.deafen()
        for caller in list(self._callers):
            caller.abort()
