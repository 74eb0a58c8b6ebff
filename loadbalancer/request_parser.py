"""Parses the HTTP/1.1 requests of one connection, with bodies framed by their length or their chunks alone.

A request may offer to continue in another protocol (`Upgrade`; RFC 9110, 7.8). httptools then ends it behind its head
and leaves all that follows to that protocol, including the body that the head announces. But the protocol changes only
after the whole request, and a server may ignore the offer, so this parser reads the body as that of any other request.
"""

from __future__ import annotations

from typing import Callable, NamedTuple, Protocol

import httptools

from loadbalancer.http_grammar import MessageError
from loadbalancer.message_splitter import MessageSplitter


class RequestHandler(Protocol):
    """Receives the parts of each request, in order. What it raises ends `feed_data` as an HttpParserCallbackError."""

    def on_message_begin(self) -> None:
        """Begin a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer behind a chunked body."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the request."""

    def framing_headers(self) -> bytes:
        """Return the header lines of the current head that frame its body; empty if it announces none.

        Called before `on_headers_complete`.
        """


class _Callbacks(NamedTuple):
    """The callbacks of one httptools parser."""

    on_message_begin: Callable[[], None]
    on_url: Callable[[bytes], None]
    on_header: Callable[[bytes, bytes], None]
    on_headers_complete: Callable[[], None]
    on_body: Callable[[bytes], None]
    on_message_complete: Callable[[], None]


class RequestParser:
    """The parser of one connection; `close` it with the connection."""

    __slots__ = ("_framing", "_handler", "_is_restarting", "_parser", "_splitter")

    def __init__(self, handler: RequestHandler) -> None:
        """Create a parser that expects a request."""
        self._handler = handler
        self._framing = b""  # framing headers of a request whose body is left to another protocol
        self._is_restarting = False  # the parser is inside the head that it was restarted with
        self._splitter = MessageSplitter()
        self._parser = httptools.HttpRequestParser(self._callbacks())

    def _callbacks(self) -> _Callbacks:
        handler = self._handler
        return _Callbacks(
            handler.on_message_begin,
            handler.on_url,
            handler.on_header,
            self._on_headers_complete,
            handler.on_body,
            self._on_message_complete,
        )

    def feed_data(self, data: bytes) -> bytes:
        """Parse received bytes.

        Returns:
            The bytes behind a request that offers another protocol and has no body, or that is a CONNECT; empty if
            there are none. They are in that protocol if the offer is accepted, and have to be fed again if it is not.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP/1.1, or a callback has raised.
        """
        while data:
            try:
                part, data = self._splitter.split(data)
                self._parser.feed_data(part)
            except MessageError as problem:
                raise httptools.HttpParserError(str(problem)) from problem
            except httptools.HttpParserUpgrade as offer:
                data = part[offer.args[0] :] + data
                if not self._framing:
                    self._parser = httptools.HttpRequestParser(self._callbacks())
                    return data
                self._restart_in_body()
        return b""

    def _restart_in_body(self) -> None:
        """Let a new parser continue with the body of the current request.

        It is fed a head that has the same framing and offers no other protocol, whose callbacks are not passed on.
        """
        method, framing = self._parser.get_method(), self._framing
        self._framing, self._is_restarting = b"", True
        callbacks = self._callbacks()._replace(
            on_message_begin=self._on_restarted_message_begin,
            on_url=self._on_restarted_url,
            on_header=self._on_restarted_header,
        )
        self._parser = httptools.HttpRequestParser(callbacks)
        self._parser.feed_data(b"%b / HTTP/1.1\r\n%b\r\n" % (method, framing))
        self._is_restarting = False

    def _on_restarted_message_begin(self) -> None:
        if not self._is_restarting:
            self._handler.on_message_begin()

    def _on_restarted_url(self, url: bytes) -> None:
        if not self._is_restarting:
            self._handler.on_url(url)

    def _on_restarted_header(self, name: bytes, value: bytes) -> None:
        if not self._is_restarting:
            self._handler.on_header(name, value)

    def _on_headers_complete(self) -> None:
        if self._is_restarting:
            return
        framing = self._handler.framing_headers()
        if self._parser.should_upgrade() and not self._is_connect():
            self._framing = framing
        self._handler.on_headers_complete()
        if framing:
            self._splitter.begin_body(_body_length(framing))

    def _on_message_complete(self) -> None:
        if not self._framing:  # otherwise its body follows
            self._handler.on_message_complete()

    def get_method(self) -> bytes:
        """Return the method; valid from the end of the head on."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the version, such as "1.1"; call it in `on_headers_complete`."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether the connection goes on behind the request; call it in `on_headers_complete`."""
        return self._parser.should_keep_alive()

    def _is_connect(self) -> bool:
        """Return whether the request asks for a tunnel (RFC 9110, 9.3.6): what follows its head is not HTTP."""
        return self.get_method() == b"CONNECT"

    def may_switch_protocol(self) -> bool:
        """Return whether the request offers another protocol and nothing of it follows its head.

        Call it in `on_headers_complete`.
        """
        return self._parser.should_upgrade() and not self._framing and not self._is_connect()

    def close(self) -> None:
        """Break the reference cycle with the handler, which would keep both until garbage collection."""
        self._parser = None  # type: ignore[assignment]
        self._handler = None  # type: ignore[assignment]


def _body_length(framing: bytes) -> int | None:
    """Return the bytes of a body by the header lines that frame it; None if it is chunked."""
    if b"transfer-encoding:" in framing.lower():
        return None
    return int(framing.partition(b":")[2])
