"""Measures how long the event loop of this process did not run, to correct the measured durations of peers.

A process that was blocked (by a busy machine, a stop signal, a long callback) reads late what arrived meanwhile. If
that time counted as the response time of a peer, the peer would look slow.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Callable, NamedTuple

TICK_INTERVAL_S = 0.05
"""Interval of the timer that checks the clock while enough measurements are open."""
MIN_OPEN = 4
"""Open measurements from which the timer runs: with fewer, it would cost a small proxy more than the lag does."""
MIN_LAG_S = 0.03
"""Delay of a tick from which it counts as lag."""
MAX_ALLOWANCE_S = 0.5
"""Maximum seconds of lag that may be subtracted at once."""
ALLOWANCE_PER_SECOND = 0.1
"""Seconds of allowance regained per second.

A process that lags all the time is itself short of processor time, and this has to show in its measurements.
"""
MAX_INTERVALS = 16
"""Maximum number of intervals that are stored; attempts that are older than all of them are rare."""
REPORTED_LAG_S = 0.1
"""Lag from which it is reported."""


class Interval(NamedTuple):
    """Holds a time span in which the event loop did not run, on the monotonic clock."""

    start: float
    end: float


class EventLoopLag:
    """Measures the lag of the event loop while enough measurements are open. Owns its timer until `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        report: Callable[[float], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with no measurement open.

        Args:
            loop: The event loop.
            report: Called with the seconds of a long lag once it is over.
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
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def between(self, start: float, end: float) -> float:
        """Return the seconds of lag within a duration that may be subtracted from it.

        Args:
            start: Start of the duration, on the monotonic clock.
            end: Its end, now or earlier.
        """
        lag_s = sum(_overlap(interval, start, end) for interval in self._intervals)
        current = self._current(self._clock())
        return lag_s if current is None else lag_s + _overlap(current, start, end)

    def _current(self, now: float) -> Interval | None:
        """Return the current lag, if any: the timer is overdue, as the loop reads sockets before it calls timers."""
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
