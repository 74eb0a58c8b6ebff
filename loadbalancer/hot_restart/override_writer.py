"""Writes overrides from a thread of its own, one change after the other, so that a slow disk does not stop the loop.

On a busy disk the rename of a file can take half a second, and every request would wait for it. A folder on a network
file system may even hang; then the thread delays the end of the process, until it is killed.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, Mapping

from loadbalancer.discovery.platform_overrides import Change, Kept

#: A change that is not written by then is reported so: operators' calls are due within a second.
LATE_S = 0.7


class OverrideWriter:
    """Owns the thread, which starts with the first change; `close` ends it."""

    def __init__(self, save: Callable[[Change], Mapping[str, float]]) -> None:
        """Make a writer.

        Args:
            save: Writes a change and returns all overrides as they are stored; blocks; OSError where that fails.
        """
        self._save = save
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="marks")

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        """Write a change, as `OverrideStore` has it; `done` is called on the loop."""
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
        """Take no further change; the one under way ends on its thread."""
        self._thread.shutdown(wait=False, cancel_futures=True)
