"""What the proxy may hold at once, and complaints that may not flood the log."""

from __future__ import annotations

import sys
import time

#: Largest body that the protocol knows.
BODY_MOST = 32 << 20
#: Share of the memory limit that buffered bytes may take; the interpreter, the objects of connections
#: and requests, and the slack of growing buffers need the rest.
BUFFER_SHARE = 0.4
#: Part of the buffered bytes that uploads may not take, so that answers always find room.
ANSWER_ROOM = 0.2
#: Descriptors for the listener, discovery, standard streams and the event loop's own.
OTHER_SOCKETS = 24
#: Descriptors for connections past the limit, which are accepted only to be answered 503.
OVERFLOW_SOCKETS = 64
#: Share of the other descriptors that connections to backends may take.
BACKEND_SHARE = 0.45
#: One complaint of each kind in this many seconds.
COMPLAIN_S = 5.0


class Limits:
    """The deployment's limits on one process, divided among what needs them."""

    def __init__(self, memory_mb: float, sockets: int) -> None:
        self.buffered = int(memory_mb * BUFFER_SHARE * (1 << 20))
        left = max(16, sockets - OTHER_SOCKETS - OVERFLOW_SOCKETS)
        self.backend_sockets = int(left * BACKEND_SHARE)
        self.client_sockets = left - self.backend_sockets


class Budget:
    """Bytes buffered for all requests and answers together."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.uploads_most = int(most * (1 - ANSWER_ROOM))
        self.held = 0

    def take_upload(self, count: int) -> bool:
        if self.held + count > self.uploads_most:
            return False
        self.held += count
        return True

    def take(self, count: int) -> bool:
        if self.held + count > self.most:
            return False
        self.held += count
        return True

    def give(self, count: int) -> None:
        self.held -= count


class Complaints:
    """The log: each kind of complaint once in a while, with how many were left out."""

    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, int]] = {}  # when last written, how many since

    def __call__(self, kind: str, text: object = "") -> None:
        now = time.monotonic()
        last, left_out = self._kinds.get(kind, (-COMPLAIN_S, 0))
        if now - last < COMPLAIN_S:
            self._kinds[kind] = last, left_out + 1
            return
        self._kinds[kind] = now, 0
        more = f" ({left_out} more)" if left_out else ""
        sys.stderr.write(f"spokemast: {kind}: {str(text)[:200]}{more}\n")
