"""Shares each iteration of the event loop among connections whose input takes long to parse.

A peer that sends its bytes in very small parts costs a callback for each of them. A connection therefore parses one
share of its input at once, and queues for the rest: each iteration of the loop parses one share of one such connection.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

SLICE_BYTES = 4 << 10
"""Bytes that are parsed before the number of parts is looked at."""
MAX_PARTS = 256
"""Number of parts after which the rest of the input waits for a turn."""


class TurnTaker(Protocol):
    """A connection with input that is not parsed yet."""

    def take_turn(self) -> None:
        """Parse one share of the input. The connection queues again if some is left."""


class InputTurns:
    """The queue of the connections of one listener or pool that have unparsed input."""

    def __init__(self) -> None:
        """Create an empty queue; must be called on the event loop."""
        self._loop = asyncio.get_running_loop()
        self._queue: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Queue a connection that is not queued yet."""
        self._queue.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self._queue.popleft().take_turn()
        self._schedule()
