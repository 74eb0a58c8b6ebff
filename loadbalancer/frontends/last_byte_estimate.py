"""Estimates when a client may have written the last byte of a long body.

A request's time counts from its last byte. While its endpoint makes no room, the proxy does not read, and the rest of
the body may wait in the client's own send buffer, where it can't be seen. No I/O, no clock.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

MAX_SEND_BUFFER_BYTES = 4 << 20
"""Bytes of a body that a client may have written although they have not arrived: Linux's default for `tcp_wmem`."""
MARK_BYTES = 128 << 10
"""Bytes between two times that are kept."""
CAUGHT_UP_S = 0.02
"""Seconds without input, while it is read, after which the client has nothing more in its send buffer."""


class _Mark(NamedTuple):
    """The time at which so many bytes had been read."""

    received_bytes: int
    at: float


class LastByteEstimate:
    """Follows one body; all times are monotonic, in seconds."""

    def __init__(self, length: int | None, now: float) -> None:
        """Begin with the first byte of the body; `length`: its bytes, None if it comes in chunks."""
        self._length = length
        self._marks = deque([_Mark(0, now)])
        self._received_at = now
        self._received_bytes = 0

    @property
    def earliest(self) -> float:
        """Return the earliest time at which the client may have written its last byte; infinite if it can't have."""
        return self._marks[0].at if self._received_bytes >= self._visible_bytes() else math.inf

    def _visible_bytes(self) -> int:
        """Return how many bytes must have been read before the rest can stand in the client's send buffer."""
        return (self._received_bytes if self._length is None else self._length) - MAX_SEND_BUFFER_BYTES

    def record(self, received_bytes: int, now: float, resumed_at: float) -> None:
        """Record that input has been read.

        Args:
            received_bytes: Bytes of the body that have been read, with these.
            now: The time.
            resumed_at: When reading was resumed most recently.
        """
        if now - max(self._received_at, resumed_at) > CAUGHT_UP_S:
            self._marks.clear()
        self._received_at, self._received_bytes = now, received_bytes
        if not self._marks or received_bytes - self._marks[-1].received_bytes >= MARK_BYTES:
            self._marks.append(_Mark(received_bytes, now))
        while len(self._marks) > 1 and self._marks[1].received_bytes <= self._visible_bytes():
            self._marks.popleft()
