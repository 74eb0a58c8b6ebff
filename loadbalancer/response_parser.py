"""Parses the answers of one connection to an endpoint, and checks what the parser library lets pass."""

from __future__ import annotations

import sys
from typing import Protocol

import httptools

from loadbalancer.http_grammar import MessageError
from loadbalancer.message_splitter import MessageSplitter

UNBOUNDED = sys.maxsize
"""Length of a body that ends with its connection."""


class ResponseHandler(Protocol):
    """Receives the parts of each answer, in order. What it raises ends `feed_data` as an HttpParserCallbackError.

    `on_headers_complete` calls `ResponseParser.begin_body`.
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

    __slots__ = ("_parser", "_splitter", "get_http_version", "get_status_code", "should_keep_alive")

    def __init__(self, handler: ResponseHandler) -> None:
        """Create a parser that expects an answer."""
        self._parser = httptools.HttpResponseParser(handler)
        self._splitter = MessageSplitter()
        self.get_http_version = self._parser.get_http_version
        self.get_status_code = self._parser.get_status_code
        self.should_keep_alive = self._parser.should_keep_alive

    def begin_body(self, length: int | None) -> None:
        """Expect a body of so many bytes, None if it is chunked; the handler calls this in `on_headers_complete`."""
        self._splitter.begin_body(length)

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP/1.1, or a callback has raised.
            httptools.HttpParserUpgrade: What follows is in another protocol; the argument is its offset.
        """
        offset, rest = 0, data
        while rest:
            try:
                part, rest = self._splitter.split(rest)
                self._parser.feed_data(part)
            except MessageError as problem:
                raise httptools.HttpParserError(str(problem)) from problem
            except httptools.HttpParserUpgrade as offer:
                raise httptools.HttpParserUpgrade(offset + offer.args[0]) from None
            offset += len(part)
