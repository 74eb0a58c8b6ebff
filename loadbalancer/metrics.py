"""What is counted of requests and attempts, from the start of the process.

Plain counters, each added to in one place (proxy/proxy.py): no I/O and no clock. What they are called outside is the
matter of who shows them.
"""

from __future__ import annotations

from enum import IntEnum

#: Statuses that tell a client that trying again is harmless.
RETRYABLE_STATUSES = frozenset((429, 503))


class RequestResult(IntEnum):
    """How a request ended, as its client saw it."""

    PASSED = 0  # a member's answer, whole
    DROPPED = 1  # refused: trying again is harmless
    FAILED = 2  # any other answer, one broken off half way, or the client left before it


def result_of_status(status: int) -> RequestResult:
    """Of an answer that the proxy made itself."""
    return RequestResult.DROPPED if status in RETRYABLE_STATUSES else RequestResult.FAILED


class PoolMetrics:
    """One pool's counters."""

    def __init__(self, classes: int) -> None:
        """`classes`: how many there are; they go by their numbers."""
        self.open = 0  # requests taken and not ended
        self.ended = [[0] * len(RequestResult) for _ in range(classes)]
        self.tries = [0] * classes  # of attempts that have ended

    def count(self, cls: int, end: RequestResult) -> None:
        """A request of this class is no more."""
        self.ended[cls][end] += 1
