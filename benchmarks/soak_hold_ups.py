"""Hold-ups of a soak's process: it is paused for a short time at seeded random moments (SIGSTOP, SIGCONT)."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import suppress

from benchmarks.soak_peers import Journal

#: Longest time, in seconds, between two hold-ups while the process serves.
SERVING_INTERVAL_S = 1.0
#: Range of the start of the first hold-up in a shutdown, in seconds from the first signal: while the listener closes.
CLOSING_RANGE_S = (0.35, 0.65)
#: Range of the start of the second one, in seconds from the longest deadline: near the end.
ENDING_RANGE_S = (0.0, 0.65)


class HoldUps:
    """Schedules the hold-ups of one run and owns the task that applies them. The process is resumed after each one.

    If hold-ups are disabled, no method yields to the event loop, so that the timing of the run doesn't change.
    """

    def __init__(self, longest_s: float, seed: int, deadline_s: float, journal: Journal) -> None:
        """Create the hold-ups of one run.

        Args:
            longest_s: Longest duration of a hold-up, in seconds; 0 disables them.
            seed: Seed of the run.
            deadline_s: Longest deadline of a request, in seconds.
            journal: Records each hold-up.
        """
        self._longest_s = longest_s
        self._random = random.Random(f"hold-ups of {seed}")
        self._deadline_s = deadline_s
        self._journal = journal
        self._task: asyncio.Task[None] | None = None

    def begin(self, process: asyncio.subprocess.Process) -> None:
        """Start to hold the process up at random intervals."""
        if self._longest_s:
            self._task = asyncio.ensure_future(self._pause_while_serving(process))

    async def begin_shutdown(self, process: asyncio.subprocess.Process) -> None:
        """Hold the process up now and during the steps of the shutdown that starts."""
        if self._task is not None:
            await self.close()
            self._task = asyncio.ensure_future(self._pause_during_shutdown(process))
            await asyncio.sleep(0)  # the process is paused before its first signal

    async def close(self) -> None:
        """Resume the process and end the hold-ups."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _pause_while_serving(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            await asyncio.sleep(self._random.uniform(0.0, SERVING_INTERVAL_S))
            await self._pause(process, "while it serves")

    async def _pause_during_shutdown(self, process: asyncio.subprocess.Process) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        closing_s = self._random.uniform(*CLOSING_RANGE_S)
        ending_s = self._deadline_s + self._random.uniform(*ENDING_RANGE_S)
        await self._pause(process, "over its signals")
        for delay_s in (closing_s, ending_s):
            await asyncio.sleep(max(0.0, began + delay_s - loop.time()))
            await self._pause(process, f"{delay_s:.3f} s after its first signal")

    async def _pause(self, process: asyncio.subprocess.Process, when: str) -> None:
        duration_s = self._random.uniform(0.5, 1.0) * self._longest_s
        self._journal.record(f"held up {when}, for {duration_s:.3f} s")
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(duration_s)
            finally:
                process.send_signal(signal.SIGCONT)
