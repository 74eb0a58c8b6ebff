"""What the proxy may hold at once, and complaints that may not flood the log."""

from __future__ import annotations

import sys
import time
import traceback
from typing import Any, Mapping, Protocol

#: An answer up to this is judged whole before a byte of it is passed on.
MAX_JUDGED_BODY_BYTES = 64 << 10
#: A request's body up to this is held whole, as far as there is room.
MAX_HELD_BODY_BYTES = 4 << 20
#: Largest body that the platform's protocol knows, either way; what is longer than the above is passed on as it comes.
MAX_STREAMED_BODY_BYTES = 32 << 20
#: Memory that the interpreter, its libraries and the objects of connections and requests take, in MB.
BASE_MB = 27.0
#: Share of the rest of the memory limit that buffered bytes may take; the slack of growing buffers needs
#: the other part.
BUFFER_SHARE = 0.5
#: Room for buffered bytes in any case, in MB: a proxy that could hold none would serve nothing.
MIN_BUFFER_MB = 1.5
#: Part of the buffered bytes that uploads may not take, so that answers always find room.
RESPONSE_BUFFER_SHARE = 0.2
#: Descriptors for the listener, discovery, standard streams and the event loop's own.
RESERVED_DESCRIPTORS = 20
#: Share of the other descriptors for connections past the limit, which are accepted only to be answered.
OVERFLOW_SHARE = 0.08
#: Share of them that connections to backends may take: clients hold a third of all for requests, and each
#: of those may have a second attempt out or leave a connection idle.
BACKEND_SHARE = 0.47
#: One complaint of each kind in this many seconds.
LOG_INTERVAL_S = 5.0


class PoolLimits(Protocol):
    """What one pool may hold."""

    @property
    def buffered(self) -> int: ...  # bytes of requests and answers
    @property
    def backend_sockets(self) -> int: ...
    @property
    def max_open_requests(self) -> int: ...  # requests


class ResourceLimits:
    """The deployment's limits on one process, divided among what needs them."""

    def __init__(self, memory_mb: float, sockets: int, kept: int = 0) -> None:
        """`kept`: descriptors beside the usual ones that neither clients nor backends may have."""
        self.memory_mb, self.sockets, self.reserved_descriptors = memory_mb, sockets, kept
        self.buffered = int(max(MIN_BUFFER_MB, (memory_mb - BASE_MB) * BUFFER_SHARE) * (1 << 20))
        left = max(16, sockets - RESERVED_DESCRIPTORS - kept)
        self.overflow_sockets = int(left * OVERFLOW_SHARE)
        self.backend_sockets = int(left * BACKEND_SHARE)
        self.client_sockets = left - self.overflow_sockets - self.backend_sockets
        self.max_open_requests = sockets  # one for each connection of a client, of which there are fewer


class BufferBudget:
    """Bytes buffered for all requests and answers together."""

    def __init__(self, most: int) -> None:
        self.held = 0
        self.resize(most)

    def resize(self, most: int) -> None:
        """Another bound, in bytes, from now on."""
        self.max_bytes = most
        self.max_upload_bytes = int(most * (1 - RESPONSE_BUFFER_SHARE))

    def take_upload(self, count: int) -> bool:
        if self.held + count > self.max_upload_bytes:
            return False
        self.held += count
        return True

    def release(self, count: int) -> None:
        self.held -= count


def describe_exception(problem: BaseException) -> str:
    """A defect in a line: what it is, and where it came from."""
    frames = traceback.extract_tb(problem.__traceback__)
    where = f" at {frames[-1].name}:{frames[-1].lineno}" if frames else ""
    return f"{type(problem).__name__}: {problem}{where}"


def describe_loop_context(context: Mapping[str, Any]) -> str:
    """What escaped a callback or a task of the loop, in a line."""
    problem = context.get("exception")
    return str(context.get("message")) + (f": {describe_exception(problem)}" if problem else "")


class RateLimitedLogger:
    """The log: each kind of complaint once in a while, with how many were left out."""

    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, int]] = {}  # when last written, how many since

    def bind(self, **fields: Any) -> RateLimitedLogger:
        """The same log for one part of the program; where lines have fields, with these."""
        return self

    def _left_out(self, kind: str) -> int | None:
        """How many of a kind were left out since its last line; None where this one is left out too."""
        now = time.monotonic()
        last, left_out = self._kinds.get(kind, (-LOG_INTERVAL_S, 0))
        if now - last < LOG_INTERVAL_S:
            self._kinds[kind] = last, left_out + 1
            return None
        self._kinds[kind] = now, 0
        return left_out

    def __call__(self, kind: str, text: object = "") -> None:
        left_out = self._left_out(kind)
        if left_out is None:
            return
        more = f" ({left_out} more)" if left_out else ""
        line = (
            str(text)[:200].encode("unicode_escape").decode()
        )  # what peers sent may not write lines of its own
        sys.stderr.write(f"micastand: {kind}: {line}{more}\n")
