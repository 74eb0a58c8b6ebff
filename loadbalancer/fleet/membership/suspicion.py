"""How long a suspicion lasts, and how an instance that is slow itself holds back (Lifeguard, IV.A and B). Pure.

A suspicion begins with the greatest time and is shortened by each other instance that suspects too; so one that is
alone with its doubt waits, and a crash that all see is settled soon. An instance whose own probes fail, whose helpers
are silent, or which is suspected itself, takes it that the fault is its own and stretches its timers.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.settings import Timers


def bounds(timers: Timers, fleet: int) -> tuple[float, float]:
    """Least and greatest seconds of a suspicion in a fleet of so many living."""
    least = timers.suspicion * timers.period * max(1.0, math.log10(max(1, fleet)))
    return least, least * timers.patience


def suspicion_timeout(timers: Timers, fleet: int, confirmed: int) -> float:
    """Seconds from its begin that a suspicion lasts which `confirmed` others share."""
    least, most = bounds(timers, fleet)
    wanted = min(timers.confirmations, fleet - 2)
    if wanted <= 0:  # nobody is there who could confirm
        return least
    part = math.log(min(confirmed, wanted) + 1) / math.log(wanted + 1)
    return max(least, most - (most - least) * part)


class LocalHealth:
    """How far an instance doubts itself: 0 not at all."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.doubt = 0

    def worse(self, by: int = 1) -> None:
        self.doubt = min(self.most, self.doubt + by)

    def better(self) -> None:
        self.doubt = max(0, self.doubt - 1)

    @property
    def stretch(self) -> int:
        """Times by which timers of probes are longer."""
        return 1 + self.doubt
