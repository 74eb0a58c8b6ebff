"""Virtual time: runs scheduled calls in order, without waiting."""

from __future__ import annotations

import heapq
from itertools import count
from typing import Any, Callable


class Clock:
    """Schedules calls in virtual time; `now` is in seconds. Calls due at the same time run in order."""

    def __init__(self, start: float = 1000.0) -> None:
        """`start` is not 0, so that earlier times such as 0 lie in the past."""
        self.now = self.start = start
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()
        self.events = 0

    def after(self, wait: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after so many seconds; a negative wait counts as 0."""
        heapq.heappush(self._due, (self.now + max(0.0, wait), next(self._order), call, arguments))

    def at(self, second: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call for a time given in seconds since the start."""
        self.after(self.start + second - self.now, call, *arguments)

    def run(self, seconds: float) -> None:
        """Run the calls that are due until so many seconds since the start, and set the clock to that time."""
        end, due = self.start + seconds, self._due
        while due and due[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(due)
            self.events += 1
            call(*arguments)
        self.now = end

    @property
    def second(self) -> float:
        """Seconds since the start."""
        return self.now - self.start
