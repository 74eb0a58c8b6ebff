"""Keeps marks without holding up the loop: files are written on a thread of their own, one change after the other.

Guards against a disk that is busy with somebody else's work: a rename over a file was seen to take half a second
then, and with it stood every client's request. It should also catch a folder on a network file system that hangs.
Harm: none is known to the marks; a thread that hangs for good delays the end of the process to its SIGKILL.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, Mapping

from loadbalancer.discovery.platform_overrides import Change, Kept

#: A change that is not kept by then is told so: operators' calls are due within a second.
LATE_S = 0.7


class OverrideWriter:
    """Owns the thread, which starts with the first change."""

    def __init__(self, save: Callable[[Change], Mapping[str, float]]) -> None:
        """`save`: blocks; returns all marks as they are kept, or raises OSError."""
        self._save = save
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="marks")

    def keep(self, change: Change, done: Callable[[Kept], None]) -> None:
        """See `Keeper`; `done` is called on the loop."""
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
        """No further change is taken; the one under way ends on its thread."""
        self._thread.shutdown(wait=False, cancel_futures=True)
