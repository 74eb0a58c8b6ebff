"""Counters of requests and attempts since the start of the process. No I/O, no clock.

`proxy/` adds to them, each in one place; how they are named outside is up to those who show them.
"""

from __future__ import annotations

from enum import IntEnum

RETRYABLE_STATUSES = frozenset((429, 503))
"""Statuses that tell a client that trying again is harmless."""


class RequestResult(IntEnum):
    """How a request ended, as its client saw it."""

    PASSED = 0
    """With an endpoint's answer, whole."""
    DROPPED = 1
    """Rejected: trying again is harmless."""
    FAILED = 2
    """With any other answer, one that was cut off, or because the client left before it."""


def result_of_status(status: int) -> RequestResult:
    """The result of an answer that the proxy itself made."""
    return RequestResult.DROPPED if status in RETRYABLE_STATUSES else RequestResult.FAILED


class PoolMetrics:
    """The counters of one pool."""

    def __init__(self, classes: int) -> None:
        """Begin at zero; `classes`: how many request classes there are."""
        self.open = 0  # requests that were taken and have not ended
        self.ended = [[0] * len(RequestResult) for _ in range(classes)]  # by class and result
        self.tries = [0] * classes  # attempts that were written whole and have ended, by class

    def count(self, cls: int, end: RequestResult) -> None:
        """Count a request of a class that has ended."""
        self.ended[cls][end] += 1
