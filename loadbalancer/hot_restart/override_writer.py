"""Writes overrides in a separate thread, one change after the other, so that a slow disk does not block the event loop.

On a busy disk the rename of a file can take half a second, and every request would wait for it. A folder on a network
file system may even hang; then the thread delays the exit of the process until it is killed.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, Mapping

from loadbalancer.discovery.platform_overrides import Change, StoreResult

#: Seconds after which a change that is not written yet is reported as late: operators expect an answer within a second.
LATE_S = 0.7


class OverrideWriter:
    """Owns the thread, which starts with the first change, until `close`."""

    def __init__(self, save: Callable[[Change], Mapping[str, float]]) -> None:
        """Create a writer.

        Args:
            save: Writes a change and returns all overrides as stored. It blocks, and raises OSError if it fails.
        """
        self._save = save
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="marks")

    def save_change(self, change: Change, done: Callable[[StoreResult], None]) -> None:
        """Write a change; implements `OverrideStore`. `done` is called on the event loop."""
        late = self._loop.call_later(LATE_S, done, None)

        def ended(future: asyncio.Future[Mapping[str, float]]) -> None:
            late.cancel()
            if future.cancelled():
                return
            problem = future.exception()
            if problem is None:
                done(future.result())
            elif isinstance(problem, OSError):
                done(problem)
            else:
                raise problem

        self._loop.run_in_executor(self._thread, self._save, change).add_done_callback(ended)

    def close(self) -> None:
        """Accept no further change; the one in progress ends on its thread."""
        self._thread.shutdown(wait=False, cancel_futures=True)
