"""One connection of an operator, with the one call on it."""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import Callable, Protocol, cast

import httptools

from loadbalancer.management.calls import Response

#: For so long a call may take to arrive; callers may take 4 s over one.
CALL_TIMEOUT_S = 6.0
#: And for so long what it asks for, of which some waits for other instances.
ANSWER_TIMEOUT_S = 90.0
#: For so long an answered connection is read, so that what still arrives does not reset it before the caller has read
#: the answer.
LINGER_S = 1.0
#: Head and body together.
MAX_CALL_BYTES = 8 << 10
#: What is read of a connection in all, the part after the answer included.
MAX_READ_BYTES = 2 * MAX_CALL_BYTES

REASONS = {
    200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
    401: b"Unauthorized", 409: b"Conflict", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class CallHandler(Protocol):
    """What calls mean."""

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        """Answer a call; `say` gets the answer once, now or later."""


class CallerOwner(Protocol):
    """The server that a connection belongs to."""

    def handler(self, authorization: str | None) -> CallHandler | Response:
        """What answers a call with this Authorization header, or the answer that rejects it."""

    def closed(self, caller: CallerConnection) -> None:
        """The connection has ended."""


class CallState(IntEnum):
    """How far a call has come."""

    ARRIVING = 0
    HANDLED = 1  # it has arrived whole, and its handler has it
    ANSWERED = 2


class CallerConnection(asyncio.Protocol):
    """Reads one call and writes its answer; nothing after that is looked at.

    Attributes:
        transport: None until the connection is made.
        state: How far the call has come.
    """

    def __init__(self, owner: CallerOwner) -> None:
        """Make a connection for a server."""
        self.transport: asyncio.Transport | None = None
        self.state = CallState.ARRIVING
        self._owner = owner
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._is_whole = False
        self._method = ""
        self._url = b""
        self._body = b""
        self._authorization: str | None = None
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the call, for CALL_TIMEOUT_S at most."""
        self.transport = cast(asyncio.Transport, transport)
        self._set_timer(CALL_TIMEOUT_S, self._time_out)

    def _set_timer(self, seconds: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, then)

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        if not self._is_whole:  # a further call on the connection is not looked at
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header."""
        if not self._is_whole and name.lower() == b"authorization":
            self._authorization = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if not self._is_whole:
            self._body += data

    def on_message_complete(self) -> None:
        """The call has arrived whole."""
        if not self._is_whole:
            assert self._parser is not None
            self._is_whole = True
            self._method = self._parser.get_method().decode()

    # Called by the transport.

    def data_received(self, data: bytes) -> None:
        """Read on, and hand the call to its handler once it is whole."""
        self._received_bytes += len(data)
        if self.state == CallState.ANSWERED:
            if self._received_bytes > MAX_READ_BYTES:
                self.abort()
            return
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_whole:
                self._say(Response(400, b"this is not HTTP/1.1\n"))
                return
        if self._is_whole:
            if self.state == CallState.ARRIVING:
                self.state = CallState.HANDLED
                self._set_timer(ANSWER_TIMEOUT_S, self._time_out)
                self._handle()
        elif self._received_bytes > MAX_CALL_BYTES:
            self._say(Response(413, b"a call is shorter than this\n"))

    def _handle(self) -> None:
        try:
            path = httptools.parse_url(self._url).path or b""
        except httptools.HttpParserInvalidURLError:
            self._say(Response(400, b"no path can be read\n"))
            return
        handler = self._owner.handler(self._authorization)
        if isinstance(handler, Response):
            self._say(handler)
        else:
            handler.answer(self._method, path.decode("latin-1"), self._say, self._body)

    def _time_out(self) -> None:
        self._say(Response(408, b"the call did not come to its end\n"))

    def _say(self, response: Response) -> None:
        """Write the answer, and end the connection a little later."""
        assert self.transport is not None
        self.state = CallState.ANSWERED
        if self.transport.is_closing():  # the caller has gone while its change was being stored
            return
        content_type = b"application/json" if response.json else b"text/plain"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (
                response.status,
                REASONS[response.status],
                content_type,
                len(response.body),
                response.body,
            )
        )
        self.transport.write_eof()
        self._set_timer(LINGER_S, self.abort)

    def eof_received(self) -> None:
        """The caller sends no more: the transport closes, and a call that is not whole gets no answer."""

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Release the timer and the parser."""
        self._owner.closed(self)
        self._parser = None  # it refers to this connection, as this one to it
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()
