"""One watch on the discovery service: a response that stays open and carries a sequence of JSON values."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from loadbalancer.discovery.endpoint_source import Address
from loadbalancer.discovery.json_stream import JsonValues

IDLE_TIMEOUT_S = 2.5
"""Idle timeout: seconds without a byte after which a watch has failed, even if its connection stays open.

The service sends a heartbeat, an empty line, at least every 2 s. The timeout is no longer than needed, since drains are
not received until the watch is reopened.
"""
LATE_READ_S = 0.05
"""Seconds after the idle timeout in which bytes are read that arrived while this process itself was suspended."""
FIRST_BYTE_TIMEOUT_S = 2.8
"""Timeout for the first byte; the request may wait 2 s in the service's queue."""
MAX_LIST_BYTES = 4 << 20
"""Maximum size of a list, some twenty thousand entries; bounds the memory."""
MIN_QUEUED_S = 0.5
"""A request that is rejected after more seconds than this had waited in the service's queue."""
STATUS_OK = 200
FIRST_ERROR_STATUS = 300


class WatchOwner(Protocol):
    """Owns the watch and handles its events."""

    address: Address
    version: int | None
    heard_at: float

    def watch_opened(self, watch: WatchConnection) -> None:
        """Handle the established connection."""

    def apply_value(self, watch: WatchConnection, value: object) -> None:
        """Apply a list, or changes to one."""

    def watch_out_of_sync(self, watch: WatchConnection, reason: str) -> None:
        """Handle a message that can't be used."""

    def watch_failed(self, watch: WatchConnection | None, reason: object, busy: bool = False) -> None:
        """Handle the end of the watch; `busy`: the request had waited in the service's queue."""


class WatchConnection(asyncio.Protocol):
    """Holds the connection of one watch. Owns the transport and the idle timer until `close`."""

    def __init__(self, owner: WatchOwner) -> None:
        self.ended = False
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._body: list[bytes] = []  # chunks that the HTTP parser has found and that are not decoded yet
        self._values = JsonValues(MAX_LIST_BYTES)
        self._status = 0
        self._idle_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._requested_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the changes since the current version, or the whole list if there is none."""
        self._transport = cast(asyncio.Transport, transport)
        owner = self._owner
        owner.watch_opened(self)
        start = b"" if owner.version is None else b"&from=%d" % owner.version
        host = "{}:{}".format(*owner.address).encode()
        self._transport.write(b"GET /v1/endpoints?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (start, host))
        self._expect_bytes(FIRST_BYTE_TIMEOUT_S)

    def _expect_bytes(self, timeout: float) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(timeout, self._on_idle)

    def _on_idle(self) -> None:
        """Read once more before failing: if this process was suspended, bytes may wait in the kernel."""
        self._idle_timer = self._loop.call_later(LATE_READ_S, self._fail, "silent")

    def on_headers_complete(self) -> None:
        """Store the status of the response; called by the parser."""
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of a successful response; called by the parser."""
        if self._status == STATUS_OK:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        if self._status >= STATUS_OK:
            self.ended = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes. The idle timer is not restarted inside of a value, so a slow one has to end in time."""
        self._owner.heard_at = self._loop.time()
        if not self._values.is_inside:
            self._expect_bytes(IDLE_TIMEOUT_S)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fail(f"malformed: {problem}")
            return
        if self._status >= FIRST_ERROR_STATUS:
            waited = self._loop.time() - self._requested_at > MIN_QUEUED_S
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
            self._owner.watch_out_of_sync(self, f"unreadable list: {problem}")
            return
        for value in values:
            self._owner.apply_value(self, value)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the watch: the connection was closed."""
        self._fail("connection ended" if exc is None else exc)

    def _fail(self, reason: object, busy: bool = False) -> None:
        self.close()
        self._owner.watch_failed(self, reason, busy)

    def close(self) -> None:
        """Release the connection and the timer."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if self._transport is not None:
            self._transport.abort()
