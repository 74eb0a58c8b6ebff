"""Decides when a plug-in is skipped: a circuit breaker for each one, and a shared CPU budget. No I/O or clock."""

from __future__ import annotations

#: Consecutive failures, or this failure rate of the latest calls, at which the breaker opens.
MAX_CONSECUTIVE_FAILURES = 5
MAX_FAILURE_RATE = 0.25
#: Weight of one call in the failure rate, which therefore reflects about the last sixteen calls.
FAILURE_RATE_WEIGHT = 1 / 16
#: Seconds for which the breaker first stays open, and the most; each consecutive opening doubles the time.
OPEN_S = (1.0, 60.0)
#: Share of one core that all plug-ins together may use, and how many seconds of unused CPU time may accumulate.
CPU_SHARE = 0.5
MAX_SAVED_CPU_S = 0.5


class Breaker:
    """The circuit breaker of one plug-in.

    While it is closed, the plug-in is called. While it is open, calls are skipped until `open_until`; then a single
    probe call decides whether it closes or opens again.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.open_until = 0.0  # when the probe call is allowed; 0 while the breaker is closed
        self.consecutive_openings = 0
        self._probing = False

    def allows_call(self, now: float) -> bool:
        """Return whether to call the plug-in now.

        Once the breaker has been open long enough, one probe call is allowed; further calls are skipped until its
        result is recorded.
        """
        if not self.open_until:
            return True
        if self._probing or now < self.open_until:
            return False
        self._probing = True
        return True

    def record_result(self, good: bool, now: float) -> None:
        """Record whether a call succeeded, and open or close the breaker accordingly.

        This protects requests from a plug-in that keeps failing, or that fails only for some requests. The trade-off:
        while the breaker is open, requests that the plug-in would have tagged correctly go untagged.
        """
        was_probe, self._probing = self._probing, False
        if good:
            self.consecutive_failures = 0
            self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT
            if was_probe:
                self.open_until, self.consecutive_openings, self.failure_rate = 0.0, 0, 0.0
            return
        self.consecutive_failures += 1
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT
        if (
            was_probe
            or self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or self.failure_rate >= MAX_FAILURE_RATE
        ):
            first, last = OPEN_S
            self.open_until = now + min(last, first * 2.0 ** min(self.consecutive_openings, 10))
            self.consecutive_openings += 1
            self.consecutive_failures, self.failure_rate = 0, 0.0


class CpuBudget:
    """Limits the CPU time of all plug-ins together with a token bucket that holds seconds."""

    def __init__(self, share: float = CPU_SHARE) -> None:
        self.share = share
        self._available_s = MAX_SAVED_CPU_S
        self._refilled_at: float | None = None

    def has_room(self, now: float) -> bool:
        """Refill the bucket and return whether any CPU time is left.

        Once the budget is used up, plug-ins are skipped, so that requests with many plug-ins do not slow down
        requests without any.
        """
        if self._refilled_at is not None:
            self._available_s = min(
                MAX_SAVED_CPU_S, self._available_s + max(0.0, now - self._refilled_at) * self.share
            )
        self._refilled_at = now
        return self._available_s > 0.0

    def spend(self, seconds: float) -> None:
        """Take CPU time that a plug-in has used out of the bucket."""
        self._available_s -= seconds
