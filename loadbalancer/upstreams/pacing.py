"""A rate limit for opening connections to members while many instances restart at once. No I/O, no clock.

Connections are opened one at a time to each member, and at a limited rate in all. An attempt that waits uses the next
connection to its member, whether new or free again.
"""

from __future__ import annotations

#: Connections that may be opened at once. Each of many instances that start in the same moment may open this many.
BURST = 1.0
#: Tolerance for rounding errors in sums of short times; without it a wait could be too short to advance the clock.
ROUNDING_TOLERANCE = 1e-6


class Pacer:
    """A token bucket for opening connections."""

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s, self._left, self._at = per_s, BURST, now

    def acquire(self, now: float) -> float:
        """Acquire permission to open a connection: return 0 if granted, else the seconds to wait."""
        self._left = min(BURST, self._left + (now - self._at) * self.per_s)
        self._at = now
        if self._left >= 1.0 - ROUNDING_TOLERANCE:
            self._left -= 1.0
            return 0.0
        return (1.0 - self._left) / self.per_s
