"""One watch on the discovery service: a response that stays open, one JSON value behind another."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from loadbalancer.discovery.endpoint_source import Address
from loadbalancer.discovery.json_stream import JsonValues

SILENT_S = 2.5
"""Seconds without a byte after which a watch is dead, though its connection may stay open.

The service sends at least an empty line every 2 s. No longer than needed, since drains wait behind it.
"""
DOUBT_S = 0.05
"""Seconds in which bytes are read, after a silence, that came while this process itself stood still."""
FIRST_S = 2.8
"""Seconds until the first byte; it may wait 2 s in line behind other callers."""
MAX_LIST_BYTES = 4 << 20
"""Bytes of a list, some twenty thousand entries; bounds the memory."""
IN_LINE_S = 0.5
"""A refusal after more seconds than this has waited in line."""
STATUS_OK = 200
FIRST_ERROR_STATUS = 300


class WatchOwner(Protocol):
    """Who keeps the watch."""

    address: Address
    version: int | None

    def watch_opened(self, watch: WatchConnection) -> None:
        """The connection is up."""

    def take_value(self, watch: WatchConnection, value: object) -> None:
        """A list, or a change to one, has come."""

    def watch_missed(self, watch: WatchConnection, reason: str) -> None:
        """What came cannot be read."""

    def watch_failed(self, watch: WatchConnection | None, reason: object, busy: bool = False) -> None:
        """The watch has ended; `busy`: it had waited in line."""


class WatchConnection(asyncio.Protocol):
    """The connection of one watch. It owns the transport and the timer of silence until `close`."""

    def __init__(self, owner: WatchOwner) -> None:
        self.ended = False
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._body: list[bytes] = []  # found by the parser and not read yet
        self._values = JsonValues(MAX_LIST_BYTES)
        self._status = 0
        self._silence: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._asked_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the list from the version on that is held."""
        self._transport = cast(asyncio.Transport, transport)
        owner = self._owner
        owner.watch_opened(self)
        start = b"" if owner.version is None else b"&from=%d" % owner.version
        host = "{}:{}".format(*owner.address).encode()
        self._transport.write(b"GET /v1/endpoints?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (start, host))
        self._expect_bytes(FIRST_S)

    def _expect_bytes(self, timeout: float) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self._loop.call_later(timeout, self._on_silence)

    def _on_silence(self) -> None:
        """Read once more before giving up: where this process stood still, bytes wait in the kernel."""
        self._silence = self._loop.call_later(DOUBT_S, self._fail, "silent")

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if self._status == STATUS_OK:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._status >= STATUS_OK:
            self.ended = True

    def data_received(self, data: bytes) -> None:
        """Read what has come; a value that trickles in has the time of one silence to be complete."""
        if not self._values.is_inside:
            self._expect_bytes(SILENT_S)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fail(f"malformed: {problem}")
            return
        if self._status >= FIRST_ERROR_STATUS:
            waited = self._loop.time() - self._asked_at > IN_LINE_S
            self._fail(f"status {self._status}", busy=waited)
            return
        self._read_values()
        if self.ended:
            self._fail("ended")

    def _read_values(self) -> None:
        body = b"".join(self._body)
        self._body = []
        try:
            values = self._values.feed(body)
        except ValueError as problem:
            self._owner.watch_missed(self, f"unreadable list: {problem}")
            return
        for value in values:
            self._owner.take_value(self, value)

    def connection_lost(self, exc: Exception | None) -> None:
        """The service has closed the connection."""
        self._fail("connection ended" if exc is None else exc)

    def _fail(self, reason: object, busy: bool = False) -> None:
        self.close()
        self._owner.watch_failed(self, reason, busy)

    def close(self) -> None:
        """Release the connection and the timer."""
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None
        if self._transport is not None:
            self._transport.abort()
