"""Makes room when the memory account is full: ends the connections whose peers have been idle longest.

Those are requests that are not complete, and answers that are not read. A connection that is moving is not ended.
"""

from __future__ import annotations

import asyncio
import time
from typing import Callable, Iterable

from loadbalancer.frontends.connection import FrontConnection
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.resource_limits import RateLimitedLogger

RECLAIM_SHARE = 0.9
"""Share of the account to which connections are ended once it is full."""
MIN_IDLE_S = 0.6
"""A connection that moved within so many seconds is not ended; progress is looked at every 0.25 s."""


class MemoryReclaimer:
    """Ends idle connections of a process's listeners in the iteration of the event loop after the account is full."""

    def __init__(
        self,
        account: MemoryAccount,
        connections: Callable[[], Iterable[FrontConnection]],
        logger: RateLimitedLogger,
    ) -> None:
        """Begin to watch the account; must be called on the event loop.

        Args:
            account: The account of the process.
            connections: Returns all connections of clients.
            logger: Logs each connection that is ended.
        """
        self._account = account
        self._connections = connections
        self._logger = logger
        self._loop = asyncio.get_running_loop()
        self._is_scheduled = False
        account.on_full = self._schedule

    def close(self) -> None:
        """Watch the account no more."""
        self._account.on_full = None

    def _schedule(self) -> None:
        """Reclaim later: the charge may come from a connection that is in the middle of its input."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._reclaim)

    def _reclaim(self) -> None:
        self._is_scheduled = False
        target_bytes = int(self._account.max_bytes * RECLAIM_SHARE)
        for connection in self._candidates():
            if self._account.held_bytes <= target_bytes:
                return
            held_bytes = connection.reclaimable_bytes()
            reason = connection.evict_for_memory()
            self._logger("closed for memory", f"{reason}, {held_bytes} bytes")

    def _candidates(self) -> list[FrontConnection]:
        """Return the connections that may be ended, the one that has been idle longest first."""
        now = time.monotonic()
        idle_times = [
            (connection.idle_for_s(now), connection)
            for connection in self._connections()
            if connection.reclaimable_bytes()
        ]
        idle = [entry for entry in idle_times if entry[0] >= MIN_IDLE_S]
        idle.sort(key=lambda entry: entry[0], reverse=True)
        return [connection for _, connection in idle]
