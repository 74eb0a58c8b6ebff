"""When a plug-in is skipped: a circuit breaker for each, and one budget of processor time for all. No I/O or clock."""

from __future__ import annotations

#: Failures in a row, or this share of the latest calls, for which a plug-in is skipped.
ROW = 5
SHARE = 0.25
#: Weight of one call in that share: what counts is the last sixteen or so.
WEIGHT = 1 / 16
#: Seconds for which it is skipped first; each time in a row twice as long, up to the last figure.
OPEN_S = (1.0, 60.0)
#: Share of one core that all plug-ins together may take, and how many seconds of it may be saved up.
CPU_SHARE = 0.5
SAVED_S = 0.5


class Breaker:
    """One plug-in. Closed: it is called. Open: it is skipped until a time, and then tried with one call."""

    def __init__(self) -> None:
        self.row = 0
        self.share = 0.0
        self.until = 0.0  # when it may be tried; 0 while it is closed
        self.opened = 0  # times in a row
        self._trying = False

    def admits(self, now: float) -> bool:
        """Whether to call it now; after a time of skipping one call is let through, and the next ones wait for it."""
        if not self.until:
            return True
        if self._trying or now < self.until:
            return False
        self._trying = True
        return True

    def note(self, good: bool, now: float) -> None:
        """How a call has ended. Guards requests against a plug-in that fails again and again; should also catch one
        that fails for some requests alone. Harm: those it would have tagged well go without for a while."""
        was_trial, self._trying = self._trying, False
        if good:
            self.row = 0
            self.share -= self.share * WEIGHT
            if was_trial:
                self.until, self.opened, self.share = 0.0, 0, 0.0
            return
        self.row += 1
        self.share += (1.0 - self.share) * WEIGHT
        if was_trial or self.row >= ROW or self.share >= SHARE:
            first, last = OPEN_S
            self.until = now + min(last, first * 2.0 ** min(self.opened, 10))
            self.opened += 1
            self.row, self.share = 0, 0.0


class CpuBudget:
    """Seconds of processor that all plug-ins may still take: a token bucket."""

    def __init__(self, share: float = CPU_SHARE) -> None:
        self.share = share
        self._left = SAVED_S
        self._at: float | None = None

    def has_room(self, now: float) -> bool:
        """Guards the requests without plug-ins against those with many: past the budget plug-ins are skipped."""
        if self._at is not None:
            self._left = min(SAVED_S, self._left + max(0.0, now - self._at) * self.share)
        self._at = now
        return self._left > 0.0

    def spend(self, seconds: float) -> None:
        self._left -= seconds
