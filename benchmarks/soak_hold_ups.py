"""Hold-ups of a soak's process: it is stopped for a short time at moments that a seed draws (SIGSTOP, SIGCONT)."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import suppress

from benchmarks.soak_peers import Journal

#: Seconds between two hold-ups while the process serves, at most.
SERVING_INTERVAL_S = 1.0
#: When hold-ups begin in a shutdown, in seconds from the first signal: while the listener closes, and near the end.
CLOSING = (0.35, 0.65)
#: As above, from the longest deadline on.
ENDING = (0.0, 0.65)


class HoldUps:
    """Draws the hold-ups of one run, and carries them out; owns the task that does. The process goes on after each one.

    Where there are none, no method lets the event loop go on: what follows happens at the same moment as without them.
    """

    def __init__(self, longest_s: float, seed: int, deadline_s: float, journal: Journal) -> None:
        """Make them for one run.

        Args:
            longest_s: Seconds that one takes at most; 0: there are none.
            seed: Of the run.
            deadline_s: The longest that a request may take, in seconds.
            journal: Gets each hold-up.
        """
        self._longest_s = longest_s
        self._random = random.Random(f"hold-ups of {seed}")
        self._deadline_s = deadline_s
        self._journal = journal
        self._task: asyncio.Task[None] | None = None

    def begin(self, process: asyncio.subprocess.Process) -> None:
        """Hold the process up now and then from now on."""
        if self._longest_s:
            self._task = asyncio.ensure_future(self._hold_while_it_serves(process))

    async def begin_end(self, process: asyncio.subprocess.Process) -> None:
        """Hold the process up now, and over the steps of the shutdown that begins."""
        if self._task is not None:
            await self.close()
            self._task = asyncio.ensure_future(self._hold_while_it_ends(process))
            await asyncio.sleep(0)  # it is stopped before its first signal

    async def close(self) -> None:
        """Let the process go on, and hold it up no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _hold_while_it_serves(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            await asyncio.sleep(self._random.uniform(0.0, SERVING_INTERVAL_S))
            await self._hold(process, "while it serves")

    async def _hold_while_it_ends(self, process: asyncio.subprocess.Process) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        closing_s = self._random.uniform(*CLOSING)
        ending_s = self._deadline_s + self._random.uniform(*ENDING)
        await self._hold(process, "over its signals")
        for moment_s in (closing_s, ending_s):
            await asyncio.sleep(max(0.0, began + moment_s - loop.time()))
            await self._hold(process, f"{moment_s:.3f} s after its first signal")

    async def _hold(self, process: asyncio.subprocess.Process, when: str) -> None:
        length_s = self._random.uniform(0.5, 1.0) * self._longest_s
        self._journal.note(f"held up {when}, for {length_s:.3f} s")
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(length_s)
            finally:
                process.send_signal(signal.SIGCONT)
