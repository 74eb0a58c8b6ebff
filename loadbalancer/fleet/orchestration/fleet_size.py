"""How many instances a decision counts with that divides by the fleet: idle connections, a tenant's quota, the pace of
calls to a source. Pure: events and a time in, a number out.

Rules:

1. The number of the configuration holds until a view has settled for the first time.
2. Only a settled view moves it, and only one in which more than half of the last settled number live: that side may
   go on alone. An instance that is cut off, or has seen half of the fleet die, keeps the last settled
   number, never one.
   Harm: after a true loss of half, members get fewer kept connections than they could hold, for `believe` seconds.
3. What has held on unchanged for `believe` seconds is believed all the same: a partition that long is known to people.
4. A greater number counts at once (each takes less); a lesser one in steps of a quarter, each after `step` seconds, so
   that a view that flaps does not move what each instance takes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Seconds that a smaller view must hold before less than a majority is believed.
BELIEVE_S = 600.0
#: Seconds between two steps down.
STEP_S = 5.0
#: What a step leaves of the number.
STEP = 0.75


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """A number with its age and its standing. `standing`: "configured", "settled", "moving" (towards it, or the view
    has not settled), "cut off"."""

    instances: int
    standing: str
    age_s: float  # since a settled view last bore it out


class FleetSize:
    """One instance's."""

    def __init__(self, configured: int, believe_s: float = BELIEVE_S, step_s: float = STEP_S) -> None:
        self.believe_s, self.step_s = believe_s, step_s
        self.number = configured  # that decisions count with
        self.settled = configured  # of the last settled view that was believed
        self.standing = "configured"
        self._borne_at = -math.inf  # when a settled view last bore it out
        self._seen, self._seen_at = 0, 0.0  # a settled view that is not believed yet
        self._moved_at = -math.inf

    def step(self, now: float, living: int, settled: bool) -> SizeEstimate:
        """`living`: instances in the view, this one among them. `settled`: it has, and they agree."""
        if not settled:
            if self.standing != "configured":
                self.standing = "cut off" if 2 * living <= self.settled else "moving"
        elif self._believes(now, living):
            self.settled, self._borne_at = living, now
            self.standing = "settled"
        else:
            self.standing = "cut off"
        self._move(now)
        return SizeEstimate(self.number, self.standing, max(0.0, now - self._borne_at))

    def _believes(self, now: float, living: int) -> bool:
        if 2 * living > self.settled:
            self._seen = 0
            return True
        if living != self._seen:
            self._seen, self._seen_at = living, now
        if now - self._seen_at < self.believe_s:
            return False
        self._seen = 0
        return True

    def _move(self, now: float) -> None:
        if self.settled > self.number:
            self.number, self._moved_at = self.settled, now
        elif self.settled < self.number and now - self._moved_at >= self.step_s:
            self.number = max(self.settled, int(self.number * STEP))
            self._moved_at = now
        if self.number != self.settled and self.standing == "settled":
            self.standing = "moving"
