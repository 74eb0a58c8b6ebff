"""The pace at which connections to members are opened while many instances come back at once: one at a time to each
member, so many a second in all. What waits takes the next one to its member, new or free again. Pure.
"""

from __future__ import annotations

#: Connections that may be opened at once: of many instances that begin in one moment each has as many.
BURST = 1.0
#: Part of one opening that sums of small times may lack; without it a wait may be too short to move a clock.
ROUNDING = 1e-6


class Pacer:
    """A bucket of openings."""

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s, self._left, self._at = per_s, BURST, now

    def take(self, now: float) -> float:
        """0 where one may be opened now, and it counts as opened; else the seconds to wait."""
        self._left = min(BURST, self._left + (now - self._at) * self.per_s)
        self._at = now
        if self._left >= 1.0 - ROUNDING:
            self._left -= 1.0
            return 0.0
        return (1.0 - self._left) / self.per_s
