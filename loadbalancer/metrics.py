"""Counters of requests and attempts since the start of the process. No I/O, no clock.

Each counter is incremented in one place of `proxy/`. The modules that export the counters define their outer names.
"""

from __future__ import annotations

from enum import IntEnum

RETRYABLE_STATUSES = frozenset((429, 503))
"""Statuses that tell a client that a retry is safe."""


class RequestResult(IntEnum):
    """Result of a request, as its client saw it."""

    PASSED = 0
    """The client received a complete answer of an endpoint."""
    DROPPED = 1
    """The request was rejected, and a retry is safe."""
    FAILED = 2
    """The client received any other answer or a truncated one, or disconnected before the answer."""


def result_of_status(status: int) -> RequestResult:
    """Return the result of a request that the proxy itself answered with this status."""
    return RequestResult.DROPPED if status in RETRYABLE_STATUSES else RequestResult.FAILED


class PoolMetrics:
    """Holds the counters of one pool."""

    def __init__(self, classes: int) -> None:
        """Start at zero; `classes`: the number of request classes."""
        self.open = 0  # requests that were accepted and have not ended
        self.ended = [[0] * len(RequestResult) for _ in range(classes)]  # by class and result
        self.tries = [0] * classes  # attempts that were sent completely and have ended, by class

    def count(self, cls: int, end: RequestResult) -> None:
        """Count a request of a class that has ended."""
        self.ended[cls][end] += 1
