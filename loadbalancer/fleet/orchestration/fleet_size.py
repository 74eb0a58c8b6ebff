"""Estimates the fleet's size, by which each instance divides fleet-wide limits.

These limits are the kept idle connections, a tenant's quota and the rate of calls to a discovery source.

Rules:

1. The configured size is used until the membership view has settled for the first time.
2. After that only a settled view changes the size, and only if its live instances are more than half of the last
   settled size. An instance that is cut off, or has seen half of the fleet die, keeps the last settled size and never
   assumes that it is alone. The cost: after a real loss of half of the fleet, endpoints get fewer kept connections than
   they could hold, for SHRINK_CONFIRMATION_S.
3. A smaller view is accepted once it has been unchanged for SHRINK_CONFIRMATION_S.
4. A larger size is used at once, as each instance then takes a smaller share. A smaller one is approached in steps,
   each to STEP_FACTOR of the size and STEP_INTERVAL_S after the last, so that a flapping view changes little.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

#: Seconds for which a view of half of the fleet or less must be unchanged before it is accepted.
SHRINK_CONFIRMATION_S = 600.0
#: Seconds between two steps down.
STEP_INTERVAL_S = 5.0
#: Factor by which one step down reduces the size.
STEP_FACTOR = 0.75


class SizeBasis(enum.StrEnum):
    """The basis of a size estimate; the values are in the administrative API."""

    CONFIGURED = "configured"
    SETTLED = "settled"
    #: The size is moving to the settled one in steps, or the view has not settled.
    MOVING = "moving"
    CUT_OFF = "cut off"


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """An estimate of the fleet's size.

    Attributes:
        instances: Number of instances.
        basis: The basis of the estimate.
        age_s: Seconds since a settled view last confirmed it; infinity if none has.
    """

    instances: int
    basis: SizeBasis
    age_s: float


class FleetSize:
    """Maintains one instance's estimate of the fleet's size.

    Attributes:
        number: The current estimate.
        settled: Size of the last settled view that was accepted.
        basis: The basis of the estimate.
    """

    def __init__(
        self,
        configured: int,
        shrink_confirmation_s: float = SHRINK_CONFIRMATION_S,
        step_s: float = STEP_INTERVAL_S,
    ) -> None:
        """Start with the configured size.

        Args:
            configured: Configured number of instances.
            shrink_confirmation_s: Seconds for which a smaller view must be unchanged (rule 3).
            step_s: Seconds between two steps down.
        """
        self.number = configured
        self.settled = configured
        self.basis = SizeBasis.CONFIGURED
        self._shrink_confirmation_s = shrink_confirmation_s
        self._step_s = step_s
        self._confirmed_at = -math.inf
        self._unconfirmed_size = 0
        self._unconfirmed_since = 0.0
        self._last_step_at = -math.inf

    def step(self, now: float, living: int, settled: bool) -> SizeEstimate:
        """Update the estimate from the membership view, and return it.

        Args:
            now: Current time in seconds on a monotonic clock.
            living: Number of live instances in the view, including this one.
            settled: Whether the view has settled.
        """
        if settled and self._accepts_view(now, living):
            self.settled = living
            self._confirmed_at = now
            self.basis = SizeBasis.SETTLED
        elif settled:
            self.basis = SizeBasis.CUT_OFF
        elif self.basis != SizeBasis.CONFIGURED:
            half_or_less = 2 * living <= self.settled
            self.basis = SizeBasis.CUT_OFF if half_or_less else SizeBasis.MOVING
        self._approach_settled(now)
        return SizeEstimate(self.number, self.basis, max(0.0, now - self._confirmed_at))

    def _accepts_view(self, now: float, living: int) -> bool:
        """Return whether a settled view of this size is accepted (rules 2 and 3)."""
        if 2 * living > self.settled:
            self._unconfirmed_size = 0
            return True
        if living != self._unconfirmed_size:
            self._unconfirmed_size = living
            self._unconfirmed_since = now
        if now - self._unconfirmed_since < self._shrink_confirmation_s:
            return False
        self._unconfirmed_size = 0
        return True

    def _approach_settled(self, now: float) -> None:
        """Move the estimate towards the settled size (rule 4)."""
        if self.settled > self.number:
            self.number = self.settled
            self._last_step_at = now
        elif self.settled < self.number and now - self._last_step_at >= self._step_s:
            self.number = max(self.settled, int(self.number * STEP_FACTOR))
            self._last_step_at = now
        if self.number != self.settled and self.basis == SizeBasis.SETTLED:
            self.basis = SizeBasis.MOVING
