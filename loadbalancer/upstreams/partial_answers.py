"""Timers of one answer whose length is not stated: when it is passed on before its end, and when it is given up."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Callable, Protocol

from loadbalancer.streaming.streams import Stream

MAX_HOLD_BACK_S = 1.5
"""Seconds after the first byte at which a partial answer is passed on; from 2 s on it would count as held back."""
STILL_ARRIVING_S = 2.0
"""Seconds for which an answer counts as arriving after its latest byte."""
CHECK_INTERVAL_S = 0.1
"""Interval in seconds between two checks of an answer that is passed on."""
MIN_RATE = 16 << 10
"""Bytes a second that an answer needs to count as arriving: 64 KiB in 4 s."""
MIN_RATED_S = 0.4
"""Seconds after the head from which on the rate is checked."""


class PartialAnswerOwner(Protocol):
    """The connection that receives the answer."""

    received_at: float
    """Monotonic time at which bytes were last received."""

    def pass_on_partial_answer(self) -> bool:
        """Stream the partial answer; see `Upstream.pass_on_partial_answer`."""

    def give_up_partial_answer(self, reason: str) -> None:
        """Abort the answer, in a way that the client can detect."""


class PartialAnswer:
    """The timer of one connection; at most one is set, and `cancel` removes it."""

    __slots__ = ("_began_at", "_owner", "_timer")

    def __init__(self, owner: PartialAnswerOwner) -> None:
        """Create it without a timer."""
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None

    def limit_hold_back(self) -> None:
        """Pass the answer on MAX_HOLD_BACK_S after the first call, unless `cancel` is called before."""
        if self._timer is None:
            self._set_timer(MAX_HOLD_BACK_S, self._owner.pass_on_partial_answer)

    def find_problem(self, body_bytes: int, began_at: float) -> str | None:
        """Return why the answer does not count as arriving, or None if it does.

        Args:
            body_bytes: Bytes of its body that have arrived.
            began_at: Monotonic time at which its head was complete.
        """
        now = time.monotonic()
        silent_s, elapsed_s = now - self._owner.received_at, now - began_at
        if silent_s > STILL_ARRIVING_S:
            return f"nothing came for {silent_s:.1f} s of an answer without a length"
        if elapsed_s >= MIN_RATED_S and body_bytes < MIN_RATE * elapsed_s:
            return f"{body_bytes} bytes in {elapsed_s:.1f} s of an answer without a length"
        return None

    def watch(self, stream: Stream, began_at: float, long_from: int) -> None:
        """Give the answer up if it hardly arrives, until it is known to be a long one.

        Guards against answers that never end: until it is long, a client waits for the end of an answer.

        Args:
            stream: Passes the body on.
            began_at: Monotonic time at which the head was complete.
            long_from: Bytes of the body from which on the answer is long.
        """
        self.cancel()
        self._set_timer(CHECK_INTERVAL_S, partial(self._check, stream, began_at, long_from))

    def _check(self, stream: Stream, began_at: float, long_from: int) -> None:
        if stream.passed_bytes > long_from or stream.has_ended:
            return
        problem = None if stream.is_full else self.find_problem(stream.passed_bytes, began_at)
        if problem is None:
            self._set_timer(CHECK_INTERVAL_S, partial(self._check, stream, began_at, long_from))
        else:
            self._owner.give_up_partial_answer(problem)

    def cancel(self) -> None:
        """Remove the timer: the answer is complete or known to be long, or its attempt has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, delay_s: float, callback: Callable[[], object]) -> None:
        def fire() -> None:
            self._timer = None
            callback()

        self._timer = asyncio.get_running_loop().call_later(delay_s, fire)
