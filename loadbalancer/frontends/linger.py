"""Reads and discards what clients still send after their last answer, in turns.

A connection that is closed while its client writes is reset, and the client may lose the answer that it has not read
yet. So the rest of a refused body is read as well; but slowly, as it is of no use to anyone.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

SHARE_BYTES = 512 << 10
"""Bytes of one connection that are read and discarded before it waits for its turn."""
INTERVAL_S = 0.02
"""Seconds between two rounds of turns."""
PACED_AT_ONCE = 4
"""Connections that read on in one round."""


class LingeringConnection(Protocol):
    """A connection that has written its last answer, and whose client goes on writing."""

    def read_on(self) -> None:
        """Discard one more share."""


class LingerPacer:
    """The queue of the connections of one listener that wait to discard more."""

    def __init__(self) -> None:
        """Create an empty queue; must be called on the event loop."""
        self._loop = asyncio.get_running_loop()
        self._queue: dict[LingeringConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: LingeringConnection) -> None:
        """Queue a connection that has read its share."""
        self._queue[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(INTERVAL_S, self._run)

    def remove(self, connection: LingeringConnection) -> None:
        """Remove a connection that has closed, if it is queued."""
        self._queue.pop(connection, None)

    def _run(self) -> None:
        self._timer = None
        turns = list(self._queue)[:PACED_AT_ONCE]
        for connection in turns:
            self.remove(connection)
            connection.read_on()
        if self._queue and self._timer is None:
            self._timer = self._loop.call_later(INTERVAL_S, self._run)
