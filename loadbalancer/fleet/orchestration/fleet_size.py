"""With how many instances a decision counts that divides a limit by the fleet.

Kept idle connections, a tenant's quota and the pace of calls to a source are divided so.

Rules:

1. The configured number holds until a view has settled for the first time.
2. After that only a settled view changes the number, and only one in which more than half of the last settled number
   live. An instance that is cut off, or has seen half of the fleet die, keeps the last settled number and never counts
   itself alone. The price: after a true loss of half, endpoints get fewer kept connections than they could hold, for
   BELIEVE_S.
3. A smaller view that has held unchanged for BELIEVE_S is believed all the same.
4. A greater number counts at once, as each instance then takes less. A smaller one is approached in steps, each to
   STEP_FACTOR of the number and STEP_INTERVAL_S after the last, so that a view that flaps changes little.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

#: Seconds that a view of half of the fleet or less must hold before it is believed.
BELIEVE_S = 600.0
#: Seconds between two steps down.
STEP_INTERVAL_S = 5.0
#: Factor of the number in one step down.
STEP_FACTOR = 0.75


class SizeStanding(enum.StrEnum):
    """What a number rests on; the values are in the administrative API."""

    CONFIGURED = "configured"
    SETTLED = "settled"
    #: On its way to the settled number, or the view has not settled.
    MOVING = "moving"
    CUT_OFF = "cut off"


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """The number that decisions count with.

    Attributes:
        instances: How many.
        standing: What the number rests on.
        age_s: Seconds since a settled view last confirmed it, infinity where none has.
    """

    instances: int
    standing: SizeStanding
    age_s: float


class FleetSize:
    """One instance's estimate of the fleet's size.

    Attributes:
        number: What decisions count with.
        settled: Size of the last settled view that was believed.
        standing: What the number rests on.
    """

    def __init__(
        self, configured: int, believe_s: float = BELIEVE_S, step_s: float = STEP_INTERVAL_S
    ) -> None:
        """Begin with the configured number.

        Args:
            configured: How many instances there should be.
            believe_s: Seconds of rule 3.
            step_s: Seconds between two steps down.
        """
        self.number = configured
        self.settled = configured
        self.standing = SizeStanding.CONFIGURED
        self._believe_s = believe_s
        self._step_s = step_s
        self._confirmed_at = -math.inf
        self._doubted_size = 0
        self._doubted_since = 0.0
        self._last_step_at = -math.inf

    def step(self, now: float, living: int, settled: bool) -> SizeEstimate:
        """Take what the view says, and return the estimate.

        Args:
            now: Seconds on a clock that does not run backwards.
            living: Instances in the view, this one included.
            settled: Whether the view has settled.
        """
        if settled and self._believes(now, living):
            self.settled = living
            self._confirmed_at = now
            self.standing = SizeStanding.SETTLED
        elif settled:
            self.standing = SizeStanding.CUT_OFF
        elif self.standing != SizeStanding.CONFIGURED:
            half_or_less = 2 * living <= self.settled
            self.standing = SizeStanding.CUT_OFF if half_or_less else SizeStanding.MOVING
        self._move(now)
        return SizeEstimate(self.number, self.standing, max(0.0, now - self._confirmed_at))

    def _believes(self, now: float, living: int) -> bool:
        """Return whether a settled view of this size is believed (rules 2 and 3)."""
        if 2 * living > self.settled:
            self._doubted_size = 0
            return True
        if living != self._doubted_size:
            self._doubted_size = living
            self._doubted_since = now
        if now - self._doubted_since < self._believe_s:
            return False
        self._doubted_size = 0
        return True

    def _move(self, now: float) -> None:
        """Move the number towards the settled size (rule 4)."""
        if self.settled > self.number:
            self.number = self.settled
            self._last_step_at = now
        elif self.settled < self.number and now - self._last_step_at >= self._step_s:
            self.number = max(self.settled, int(self.number * STEP_FACTOR))
            self._last_step_at = now
        if self.number != self.settled and self.standing == SizeStanding.SETTLED:
            self.standing = SizeStanding.MOVING
