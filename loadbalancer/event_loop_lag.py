"""How long the event loop of this process did not run, for all that judges peers by durations.

A process that was held up (by a busy machine, a stop, a long callback) reads late what arrived meanwhile. Counted as
the time of a peer, that would make the peer look slow.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Callable, NamedTuple

TICK_INTERVAL_S = 0.05
"""Seconds between two looks at the clock while anything is measured."""
MIN_OPEN = 4
"""Measurements that have to be open: fewer, and a timer would cost a small proxy more than a hold-up does."""
MIN_LAG_S = 0.03
"""A tick that is late by less is none of a process that was held up."""
MAX_ALLOWANCE_S = 0.5
"""Seconds of lag that may be left out of durations at once."""
ALLOWANCE_PER_SECOND = 0.1
"""Seconds of allowance that a second brings back.

A process that is late all the time is short of processor time itself, and has to hear of it by what it measures.
"""
MAX_INTERVALS = 16
"""Intervals that are remembered; attempts that are older than all of them are rare."""
REPORTED_LAG_S = 0.1
"""Lag from which on it is reported."""


class Interval(NamedTuple):
    """A time in which the loop did not run, on the monotonic clock."""

    start: float
    end: float


class EventLoopLag:
    """Measures the lag of the loop while enough measurements are open. It owns its timer until `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[float], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Begin with no measurement open.

        Args:
            loop: The loop.
            report: Called with the seconds of a long lag, once it is over.
            clock: The clock of all durations.
        """
        self._loop = loop
        self._report = report
        self._clock = clock
        self._open = 0
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._intervals: deque[Interval] = deque(maxlen=MAX_INTERVALS)
        self._allowance_s = MAX_ALLOWANCE_S
        self._allowance_at = self._clock()

    def begin(self) -> None:
        """Open a measurement."""
        self._open += 1
        if self._timer is None and self._open >= MIN_OPEN:
            self._schedule()

    def end(self) -> None:
        """Close a measurement."""
        self._open -= 1

    def close(self) -> None:
        """Measure no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def between(self, start: float, end: float) -> float:
        """Return the seconds of a duration that are this process's lag, as far as they may be left out.

        Args:
            start: Beginning of the duration, on the monotonic clock.
            end: Its end, now or before.
        """
        lag_s = sum(_overlap(interval, start, end) for interval in self._intervals)
        current = self._current(self._clock())
        return lag_s if current is None else lag_s + _overlap(current, start, end)

    def _current(self, now: float) -> Interval | None:
        """The lag that is going on: the timer is due and has not been called, since the loop reads first."""
        late_s = now - self._due
        if self._timer is None or late_s < MIN_LAG_S:
            return None
        return Interval(now - min(late_s, self._allowance(now)), now)

    def _allowance(self, now: float) -> float:
        regained_s = ALLOWANCE_PER_SECOND * (now - self._allowance_at)
        return min(MAX_ALLOWANCE_S, self._allowance_s + regained_s)

    def _schedule(self) -> None:
        self._due = self._clock() + TICK_INTERVAL_S
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now = self._clock()
        interval = self._current(now)
        if interval is not None:
            self._intervals.append(interval)
            self._allowance_s = self._allowance(now) - (interval.end - interval.start)
            self._allowance_at = now
            if now - self._due >= REPORTED_LAG_S:
                self._report(now - self._due)
        self._timer = None
        if self._open >= MIN_OPEN:
            self._schedule()


def _overlap(interval: Interval, start: float, end: float) -> float:
    return max(0.0, min(interval.end, end) - max(interval.start, start))
