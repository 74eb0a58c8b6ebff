"""What the process may hold at once, and the log that cannot be flooded."""

from __future__ import annotations

import codecs
import sys
import time
import traceback
from typing import Any, Mapping, NamedTuple, Protocol

from loadbalancer.line_writer import LineWriter

BYTES_PER_MB = 1 << 20
MAX_JUDGED_BODY_BYTES = 64 << 10
"""An answer up to this is judged whole before a byte of it is passed on."""
MAX_HELD_BODY_BYTES = 4 << 20
"""A request's body up to this is held whole, as far as there is room."""
MAX_STREAMED_BODY_BYTES = 32 << 20
"""The largest body of the platform's protocol, either way; one longer than the above is passed on as it comes."""
BASE_MB = 27.0
"""Memory of the interpreter, its libraries and the objects of connections and requests."""
BUFFER_SHARE = 0.5
"""Share of the rest of the memory limit for buffered bytes; the slack of growing buffers needs the other part."""
MIN_BUFFER_MB = 1.5
"""Room for buffered bytes in any case: a proxy that could hold none would serve nothing."""
RESPONSE_BUFFER_SHARE = 0.2
"""Share of the buffered bytes that uploads may not take, so that answers always find room."""
RESERVED_DESCRIPTORS = 20
"""Descriptors for the listener, discovery, standard streams and the event loop's own."""
MIN_DIVIDED_DESCRIPTORS = 16
OVERFLOW_SHARE = 0.08
"""Share of the other descriptors for connections past the limit, which are accepted only to be answered."""
BACKEND_SHARE = 0.47
"""Share of them for connections to endpoints.

Clients hold a third of all for requests, and each of those may have a second attempt out or leave a connection idle.
"""
LOG_INTERVAL_S = 5.0
"""Seconds in which one line of each event is written at most."""
MAX_LOG_TEXT = 200
"""Characters of a line's text."""
LOG_TEXT_CODEC = codecs.lookup("unicode_escape").name
"""How a line's text is written; looked up here, as the first use reads the codec from the disk."""


class PoolLimits(Protocol):
    """What one pool may hold."""

    @property
    def buffered(self) -> int:
        """Bytes of requests and answers."""

    @property
    def backend_sockets(self) -> int:
        """Descriptors for connections to endpoints."""

    @property
    def max_open_requests(self) -> int:
        """Requests at once."""


class ResourceLimits:
    """The deployment's limits on one process, divided among what needs them."""

    def __init__(self, memory_mb: float, sockets: int, kept: int = 0) -> None:
        """Divide.

        Args:
            memory_mb: Memory of the process.
            sockets: Descriptors of the process.
            kept: Descriptors, beside the usual ones, that neither clients nor endpoints may have.
        """
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.reserved_descriptors = kept
        buffer_mb = max(MIN_BUFFER_MB, (memory_mb - BASE_MB) * BUFFER_SHARE)
        self.buffered = int(buffer_mb * BYTES_PER_MB)
        divided = max(MIN_DIVIDED_DESCRIPTORS, sockets - RESERVED_DESCRIPTORS - kept)
        self.overflow_sockets = int(divided * OVERFLOW_SHARE)
        self.backend_sockets = int(divided * BACKEND_SHARE)
        self.client_sockets = divided - self.overflow_sockets - self.backend_sockets
        self.max_open_requests = sockets  # one for each connection of a client, of which there are fewer


class BufferBudget:
    """Bytes buffered for all requests and answers of a pool together."""

    def __init__(self, most: int) -> None:
        """Begin empty; `most`: bytes that may be buffered."""
        self.held_bytes = 0
        self.resize(most)

    def resize(self, most: int) -> None:
        """Take another bound, in bytes."""
        self.max_bytes = most
        self.max_upload_bytes = int(most * (1 - RESPONSE_BUFFER_SHARE))

    def try_acquire_upload(self, count: int) -> bool:
        """Take bytes for an upload, or for what is as dispensable.

        Returns:
            Whether there was room; otherwise nothing is taken.
        """
        if self.held_bytes + count > self.max_upload_bytes:
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Give bytes back."""
        self.held_bytes -= count


def describe_exception(problem: BaseException) -> str:
    """A defect in a line: what it is, and where it came from."""
    frames = traceback.extract_tb(problem.__traceback__)
    where = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(problem).__name__}: {problem}{where}"


def describe_loop_context(context: Mapping[str, Any]) -> str:
    """What has escaped a callback or a task of the event loop, in a line."""
    problem = context.get("exception")
    return str(context.get("message")) + (f": {describe_exception(problem)}" if problem else "")


class _EventLimit(NamedTuple):
    """The rate limit of one event."""

    written_at: float
    """When its last line was written, in monotonic seconds."""
    left_out: int
    """Lines since."""


class RateLimitedLogger:
    """The log on standard error: one line of each event in `LOG_INTERVAL_S`, with how many were left out."""

    def __init__(self, writer: LineWriter | None = None) -> None:
        """Make the log.

        Args:
            writer: Writes the lines; without one the caller waits until standard error has taken them.
        """
        self._line_writer = writer
        self._limits: dict[str, _EventLimit] = {}

    def bind(self, **_fields: Any) -> RateLimitedLogger:
        """The same log for one part of the program; where lines have fields, with these."""
        return self

    def _left_out(self, kind: str) -> int | None:
        """How many lines of an event were left out since its last one; None where this one is left out too."""
        now = time.monotonic()
        limit = self._limits.get(kind)
        if limit is not None and now - limit.written_at < LOG_INTERVAL_S:
            self._limits[kind] = _EventLimit(limit.written_at, limit.left_out + 1)
            return None
        self._limits[kind] = _EventLimit(now, 0)
        return limit.left_out if limit is not None else 0

    def __call__(self, kind: str, text: object = "") -> None:
        """Write an event and its text, which may come from peers: it is cut, and cannot write lines of its own."""
        left_out = self._left_out(kind)
        if left_out is None:
            return
        more = f" ({left_out} more)" if left_out else ""
        line = str(text)[:MAX_LOG_TEXT].encode(LOG_TEXT_CODEC).decode()
        self.write_line(f"{kind}: {line}{more}")

    def write_line(self, text: str) -> None:
        """Write a line that has no limit."""
        writer = self._line_writer
        if writer is None:
            sys.stderr.write(f"micastand: {text}\n")
            return
        writer.write_line(f"micastand: {text}")
        if count := writer.take_lost():
            writer.write_line(f"micastand: lines were lost: {count}")
