"""Watches attempts until their last byte has arrived, and gives up those that must not arrive any more.

Whether an attempt may be sent is decided before it is written. An endpoint that reads slowly, or a network that is cut,
can hold its last byte back for seconds after that, in the process or in the kernel's send queue. Meanwhile its client
may leave, another attempt may bring the answer, or the endpoints that drop repeats may forget its key.
"""

from __future__ import annotations

import asyncio
from typing import Callable

from loadbalancer.upstreams.connections import Attempt

CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of the attempts whose last byte has not arrived."""


class SendMonitor:
    """Checks the attempts of one pool periodically while there are any whose last byte has not arrived."""

    def __init__(
        self, may_arrive: Callable[[Attempt, float], bool], give_up: Callable[[Attempt], None]
    ) -> None:
        """Create a monitor without attempts; must be called on the event loop.

        Args:
            may_arrive: Returns whether an attempt may still reach its endpoint whole, for so many seconds more.
            give_up: Ends an attempt and takes back what has not arrived.
        """
        self._may_arrive = may_arrive
        self._give_up = give_up
        self._loop = asyncio.get_running_loop()
        self._attempts: list[Attempt] = []
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, attempt: Attempt) -> None:
        """Watch an attempt from now on until it has arrived or ended; it may still wait for its connection."""
        self._attempts.append(attempt)
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            if attempt.ended or attempt.has_arrived():
                continue
            # One that waits for its connection is asked when that is up. For the others the answer has to hold until
            # the next check, so that none arrives between the end of its right and that check.
            if not attempt.has_started() or self._may_arrive(attempt, CHECK_INTERVAL_S):
                self.watch(attempt)
            elif not attempt.ended:
                self._give_up(attempt)

    def close(self) -> None:
        """Give up all attempts that have not arrived; the kernel would deliver their rest after the process's end."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            if not attempt.ended and attempt.has_started() and not attempt.has_arrived():
                self._give_up(attempt)
