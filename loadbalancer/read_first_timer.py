"""Timeouts that read pending input before they expire.

After a process was blocked, its timers are due before it has read what arrived meanwhile. A timeout that expired then
would treat an answer that has already arrived as missing.
"""

from __future__ import annotations

import asyncio
from typing import Any, Callable

#: Iterations of the event loop between the expiry and the callback: one to read, one for tasks to process the input.
PASSES = 2
#: Delay of each iteration, so that the event loop polls its sockets in between.
PASS_INTERVAL_S = 0.001


class ReadFirstTimer:
    """Calls back once after a delay, after the event loop has read the input that had arrived by then."""

    __slots__ = ("_arguments", "_callback", "_handle", "_loop", "_passes_left")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        delay_s: float,
        callback: Callable[..., object],
        *arguments: Any,
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._arguments = arguments
        self._passes_left = PASSES
        self._handle = loop.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        if self._passes_left > 0:
            self._passes_left -= 1
            self._handle = self._loop.call_later(PASS_INTERVAL_S, self._expire)
            return
        self._callback(*self._arguments)

    def cancel(self) -> None:
        """Cancel the callback."""
        self._handle.cancel()


async def read_what_has_arrived() -> None:
    """Return once the event loop has read the input that had arrived, and tasks have processed it."""
    for _ in range(PASSES):
        await asyncio.sleep(PASS_INTERVAL_S)
