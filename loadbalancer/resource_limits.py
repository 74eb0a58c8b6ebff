"""Limits on the resources of the process, and the rate-limited log."""

from __future__ import annotations

import codecs
import sys
import time
import traceback
from typing import Any, Mapping, NamedTuple, Protocol

from loadbalancer.kernel_buffers import KernelBuffers
from loadbalancer.line_writer import LineWriter

BYTES_PER_MB = 1 << 20
MAX_JUDGED_BODY_BYTES = 64 << 10
"""An answer up to this size is received whole and checked before any byte of it is passed on."""
MAX_HELD_BODY_BYTES = 4 << 20
"""A request body up to this size is buffered whole, if the buffer budget allows it."""
MAX_STREAMED_BODY_BYTES = 32 << 20
"""Maximum body size of the platform's protocol in both directions; a body above the limits above is streamed."""
BASE_MB = 28.0
"""Memory of the interpreter and its libraries."""
CONNECTION_MB = 4 / 1024
"""Memory of a client's connection with the objects of a short request and of its attempt."""
MARGIN_SHARE = 0.1
"""Share of the memory limit that stays unused."""
BUFFER_SHARE = 0.5
"""Share of the remaining memory for buffered bytes; the rest is for what the allocator adds to them."""
MIN_BUFFER_MB = 1.5
"""Minimum memory for buffered bytes: a proxy that could buffer none would serve nothing."""
RESERVED_DESCRIPTORS = 20
"""Descriptors for the listener, discovery, standard streams and the event loop's own."""
MIN_DIVIDED_DESCRIPTORS = 16
OVERFLOW_SHARE = 0.08
"""Share of the other descriptors for connections beyond the limit, which are accepted only to be rejected."""
BACKEND_SHARE = 0.47
"""Share of them for connections to endpoints.

Clients use a third of all for requests, and each request may have a second attempt in flight or leave an idle
connection.
"""
LOG_INTERVAL_S = 5.0
"""Interval in which at most one line of each event is written."""
MAX_EVENTS = 1_000
"""Maximum of events whose rate is limited singly; the one that is known longest is forgotten."""
MAX_LOG_TEXT = 200
"""Maximum characters of a line's text."""
LOG_TEXT_CODEC = codecs.lookup("unicode_escape").name
"""Codec of a line's text; looked up at import, since the first use loads the codec from the disk."""


class PoolLimits(Protocol):
    """The limits of one pool."""

    @property
    def buffered(self) -> int:
        """Maximum buffered bytes of requests and answers."""

    @property
    def backend_sockets(self) -> int:
        """Maximum descriptors for connections to endpoints."""

    @property
    def max_open_requests(self) -> int:
        """Maximum open requests."""


class ResourceLimits:
    """Divides the deployment's limits on one process among its uses."""

    def __init__(self, memory_mb: float, sockets: int, kept: int = 0, base_mb: float = BASE_MB) -> None:
        """Divide the limits.

        Args:
            memory_mb: Memory of the process.
            sockets: Descriptors of the process.
            base_mb: Memory of the process without connections.
            kept: Descriptors, in addition to RESERVED_DESCRIPTORS, that are not for clients or endpoints.
        """
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.reserved_descriptors = kept
        divided = max(MIN_DIVIDED_DESCRIPTORS, sockets - RESERVED_DESCRIPTORS - kept)
        self.overflow_sockets = int(divided * OVERFLOW_SHARE)
        self.backend_sockets = int(divided * BACKEND_SHARE)
        self.client_sockets = divided - self.overflow_sockets - self.backend_sockets
        clients = self.client_sockets + self.overflow_sockets
        usable_mb = memory_mb * (1 - MARGIN_SHARE) - base_mb - clients * CONNECTION_MB
        self.buffered = int(max(MIN_BUFFER_MB, usable_mb * BUFFER_SHARE) * BYTES_PER_MB)
        self.kernel_buffers = KernelBuffers.for_share(self.buffered / clients)
        self.max_open_requests = sockets  # one per connection of a client, and there are fewer of these


def describe_exception(problem: BaseException) -> str:
    """Return an exception in one line: its type, its message, and where it was raised."""
    frames = traceback.extract_tb(problem.__traceback__)
    where = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(problem).__name__}: {problem}{where}"


def describe_loop_context(context: Mapping[str, Any]) -> str:
    """Return an unhandled exception of a callback or task of the event loop in one line."""
    problem = context.get("exception")
    return str(context.get("message")) + (f": {describe_exception(problem)}" if problem else "")


class _EventLimit(NamedTuple):
    """Holds the state of the rate limit of one event."""

    written_at: float
    """Time of its last written line, in monotonic seconds."""
    left_out: int
    """Number of lines left out since then."""


class RateLimitedLogger:
    """Logs to standard error, at most one line per event in `LOG_INTERVAL_S`, with the number of lines left out."""

    def __init__(self, writer: LineWriter | None = None) -> None:
        """Create the log.

        Args:
            writer: Writes the lines; without one the caller blocks until they are written to standard error.
        """
        self._line_writer = writer
        self._limits: dict[str, _EventLimit] = {}

    def bind(self, **_fields: Any) -> RateLimitedLogger:
        """Return the log for one part of the program. The fields are ignored here; structured logs add them."""
        return self

    def _left_out(self, kind: str) -> int | None:
        """Return how many lines of an event were left out since its last one, or None if this one is left out too."""
        now = time.monotonic()
        limit = self._limits.get(kind)
        if limit is not None and now - limit.written_at < LOG_INTERVAL_S:
            self._limits[kind] = _EventLimit(limit.written_at, limit.left_out + 1)
            return None
        if limit is None and len(self._limits) >= MAX_EVENTS:
            del self._limits[next(iter(self._limits))]
        self._limits[kind] = _EventLimit(now, 0)
        return limit.left_out if limit is not None else 0

    def __call__(self, kind: str, text: object = "") -> None:
        """Log an event and its text. The text may come from peers, so it is truncated and its line ends are escaped."""
        left_out = self._left_out(kind)
        if left_out is None:
            return
        more = f" ({left_out} more)" if left_out else ""
        line = str(text)[:MAX_LOG_TEXT].encode(LOG_TEXT_CODEC).decode()
        self.write_line(f"{kind}: {line}{more}")

    def write_line(self, text: str) -> None:
        """Write a line without a rate limit."""
        writer = self._line_writer
        if writer is None:
            sys.stderr.write(f"micastand: {text}\n")
            return
        writer.write_line(f"micastand: {text}")
        if count := writer.take_lost():
            writer.write_line(f"micastand: lines were lost: {count}")
