"""Parses the answers of one connection to an endpoint, and checks the lines between chunks, which the library skips."""

from __future__ import annotations

from typing import Protocol

import httptools

from loadbalancer.http_grammar import MessageError
from loadbalancer.message_splitter import HEAD_END, ChunkedBody


class ResponseHandler(Protocol):
    """Receives the parts of each answer, in order. What it raises ends `feed_data` as an HttpParserCallbackError.

    `on_headers_complete` calls `ResponseParser.end_head`. What the handler does with an answer it does once `feed_data`
    has returned.
    """

    def on_message_begin(self) -> None:
        """Begin an answer."""

    def on_status(self, reason: bytes) -> None:
        """Handle a part of the reason phrase."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer behind a chunked body."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the answer."""


class ResponseParser:
    """The parser of one connection."""

    __slots__ = (
        "_chunks",
        "_head_tail",
        "_heads_ended",
        "_parser",
        "get_http_version",
        "get_status_code",
        "should_keep_alive",
    )

    def __init__(self, handler: ResponseHandler) -> None:
        """Create a parser that expects an answer."""
        self._parser = httptools.HttpResponseParser(handler)
        self._chunks: ChunkedBody | None = None  # the body that is arriving, if it is chunked
        self._head_tail = b""  # the last bytes before what is being fed
        self._heads_ended = 0  # in what is being fed: of interim answers, and of the final one
        self.get_http_version = self._parser.get_http_version
        self.get_status_code = self._parser.get_status_code
        self.should_keep_alive = self._parser.should_keep_alive

    def end_head(self, is_chunked: bool) -> None:
        """Record that a head is complete, and whether a chunked body follows it."""
        self._heads_ended += 1
        self._chunks = ChunkedBody() if is_chunked else None

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP/1.1, or a callback has raised.
            httptools.HttpParserUpgrade: What follows is in another protocol; the argument is its offset.
            MessageError: A chunk is malformed, also if the parser has taken the whole answer.
        """
        chunks, self._heads_ended = self._chunks, 0
        self._parser.feed_data(data)
        if self._chunks is not None:
            self._chunks.follow(data if self._chunks is chunks else self._body_of(data))
        tail = data[1 - len(HEAD_END) :]
        self._head_tail = (
            tail if len(data) >= len(HEAD_END) else (self._head_tail + tail)[1 - len(HEAD_END) :]
        )

    def _body_of(self, data: bytes) -> bytes:
        """Return the bytes behind the last head that has ended in them."""
        data = self._head_tail + data
        end = 0
        for _ in range(self._heads_ended):
            end = data.find(HEAD_END, end) + len(HEAD_END)
            if end < len(HEAD_END):
                raise MessageError("a head that does not end with an empty line")
        return data[end:]
