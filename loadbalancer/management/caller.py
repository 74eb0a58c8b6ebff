"""One connection of an operator, which carries one call."""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import Callable, Protocol, cast

import httptools

from loadbalancer.management.calls import Response
from loadbalancer.request_parser import RequestParser

#: Timeout for receiving a call; callers may take 4 s to send one.
CALL_TIMEOUT_S = 6.0
#: Timeout for answering a call; some calls wait for other instances.
ANSWER_TIMEOUT_S = 90.0
#: Seconds for which a connection is still read after its answer, so that bytes which arrive late do not reset it before
#: the caller has read the answer.
LINGER_S = 1.0
#: Maximum size of a call, head and body together.
MAX_CALL_BYTES = 8 << 10
#: Maximum bytes read from a connection, including those after the answer.
MAX_READ_BYTES = 2 * MAX_CALL_BYTES

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
REASONS = {
    200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
    401: b"Unauthorized", 409: b"Conflict", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class CallHandler(Protocol):
    """Carries out calls."""

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        """Answer a call; `say` is called with the answer once, now or later."""


class CallerOwner(Protocol):
    """The server that a connection belongs to."""

    def handler(self, authorization: str | None) -> CallHandler | Response:
        """Return the handler for a call with this Authorization header, or the response that rejects it."""

    def closed(self, caller: CallerConnection) -> None:
        """Release a connection that was closed."""


class CallState(IntEnum):
    """Progress of a call."""

    RECEIVING = 0
    HANDLED = 1  # it was received whole and passed to its handler
    ANSWERED = 2


class CallerConnection(asyncio.Protocol):
    """Reads one call and writes its answer; further calls on the connection are ignored.

    Attributes:
        transport: The transport; None until the connection is made.
        state: Progress of the call.
    """

    def __init__(self, owner: CallerOwner) -> None:
        """Create a connection of a server."""
        self.transport: asyncio.Transport | None = None
        self.state = CallState.RECEIVING
        self._owner = owner
        self._parser: RequestParser | None = RequestParser(self)
        self._framing_headers = b""  # header lines that frame the body
        self._is_complete = False
        self._method = ""
        self._url = b""
        self._body = b""
        self._authorization: str | None = None
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the call, at most CALL_TIMEOUT_S."""
        self.transport = cast(asyncio.Transport, transport)
        self._set_timer(CALL_TIMEOUT_S, self._time_out)

    def _set_timer(self, seconds: float, then: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, then)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Do nothing: the connection carries a single call."""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        if not self._is_complete:  # a further call on the connection is ignored
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the Authorization header and the framing of the body; others are ignored."""
        if self._is_complete:
            return
        key = name.lower()
        if key == b"authorization":
            self._authorization = value.decode("latin-1")
        elif key in FRAMING_HEADERS:
            self._framing_headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Do nothing: the call is handled once it is complete."""

    def framing_headers(self) -> bytes:
        """Return the header lines that frame the body."""
        return self._framing_headers

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if not self._is_complete:
            self._body += data

    def on_message_complete(self) -> None:
        """Mark the call as complete."""
        if not self._is_complete:
            assert self._parser is not None
            self._is_complete = True
            self._method = self._parser.get_method().decode()

    # Called by the transport.

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and pass the call to its handler once it is complete."""
        self._received_bytes += len(data)
        if self.state == CallState.ANSWERED:
            if self._received_bytes > MAX_READ_BYTES:
                self.abort()
            return
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._is_complete:
                self._say(Response(400, b"this is not HTTP/1.1\n"))
                return
        if self._is_complete:
            if self.state == CallState.RECEIVING:
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
        """Write the answer, and close the connection after LINGER_S."""
        assert self.transport is not None
        self.state = CallState.ANSWERED
        if self.transport.is_closing():  # the caller has disconnected while its change was being stored
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
        """Let the transport close when the caller sends no more; an incomplete call gets no answer."""

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Release the timer and the parser."""
        self._owner.closed(self)
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
