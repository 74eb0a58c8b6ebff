"""Estimates when a client may have written the last byte of a body in chunks, whose length nobody has told.

A request's time counts from its last byte. While its endpoint makes no room, the proxy does not read, and the rest of
the body may wait in the client's own send buffer, where it can't be seen. No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

CLIENT_SEND_BUFFER_BYTES = 1 << 20
"""Bytes of a body that a client may have written to its connection although they have not arrived."""
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

    def __init__(self, now: float) -> None:
        """Begin with the first byte of the body."""
        self._marks = deque([_Mark(0, now)])
        self._received_at = now

    @property
    def earliest(self) -> float:
        """Return the earliest time at which the client may have written its last byte, if it has written it."""
        return self._marks[0].at

    def record(self, received_bytes: int, now: float, resumed_at: float) -> None:
        """Record that input has been read.

        Args:
            received_bytes: Bytes of the body that have been read, with these.
            now: The time.
            resumed_at: When reading was resumed most recently.
        """
        if now - max(self._received_at, resumed_at) > CAUGHT_UP_S:
            self._marks.clear()
        self._received_at = now
        if not self._marks or received_bytes - self._marks[-1].received_bytes >= MARK_BYTES:
            self._marks.append(_Mark(received_bytes, now))
        while (
            len(self._marks) > 1
            and received_bytes - self._marks[1].received_bytes >= CLIENT_SEND_BUFFER_BYTES
        ):
            self._marks.popleft()
