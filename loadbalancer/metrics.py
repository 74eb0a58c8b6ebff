"""What is counted of requests and attempts, from the start of the process.

Plain counters, each added to in one place (proxy/proxy.py): no I/O and no clock. What they are called outside is the
matter of who shows them.
"""

from __future__ import annotations

from enum import IntEnum

#: Statuses that tell a client that trying again is harmless.
REFUSALS = frozenset((429, 503))


class End(IntEnum):
    """How a request ended, as its client saw it."""

    PASSED = 0  # a member's answer, whole
    DROPPED = 1  # refused: trying again is harmless
    FAILED = 2  # any other answer, one broken off half way, or the client left before it


def end_of(status: int) -> End:
    """Of an answer that the proxy made itself."""
    return End.DROPPED if status in REFUSALS else End.FAILED


class Figures:
    """One pool's counters."""

    def __init__(self, classes: int) -> None:
        """`classes`: how many there are; they go by their numbers."""
        self.open = 0  # requests taken and not ended
        self.ended = [[0] * len(End) for _ in range(classes)]
        self.tries = [0] * classes  # of attempts that have ended

    def count(self, cls: int, end: End) -> None:
        """A request of this class is no more."""
        self.ended[cls][end] += 1
