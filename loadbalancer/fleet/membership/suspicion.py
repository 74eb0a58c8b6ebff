"""How long a suspicion lasts (Lifeguard, section IV.B).

A suspicion begins with the longest timeout, which each further instance that suspects the same member shortens. So an
instance that is alone with its suspicion waits for others, and a crash that all of them see is decided soon.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.settings import Timers


class Suspicion:
    """The suspicion of one member.

    Attributes:
        started_at: When it began, in seconds on the view's clock.
        reporters: Names of the instances that suspect the member, the first one included.
    """

    __slots__ = ("reporters", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.reporters: set[str] = set()

    def restart(self, now: float, reporter: str) -> None:
        """Begin a new suspicion, reported by one instance."""
        self.started_at = now
        self.reporters = {reporter}

    def postpone(self, now: float, seconds: float) -> None:
        """Do not count `seconds` that have just passed; a suspicion can't begin in the future."""
        self.started_at = min(now, self.started_at + seconds)

    def expires_at(self, timers: Timers, fleet_size: int) -> float:
        """Return when the member is declared dead unless it refutes the suspicion."""
        confirmations = len(self.reporters) - 1
        return self.started_at + suspicion_timeout(timers, fleet_size, confirmations)


def suspicion_bounds(timers: Timers, fleet_size: int) -> tuple[float, float]:
    """Return the shortest and the longest timeout of a suspicion, in seconds, in a fleet of `fleet_size` living."""
    shortest = timers.suspicion * timers.period * max(1.0, math.log10(max(1, fleet_size)))
    return shortest, shortest * timers.patience


def suspicion_timeout(timers: Timers, fleet_size: int, confirmations: int) -> float:
    """Return how long a suspicion lasts.

    Args:
        timers: The protocol's timers.
        fleet_size: How many members live, this instance included.
        confirmations: How many instances besides the first suspect the member too.

    Returns:
        Seconds from the suspicion's beginning.
    """
    shortest, longest = suspicion_bounds(timers, fleet_size)
    expected = min(timers.confirmations, fleet_size - 2)
    if expected <= 0:  # nobody is there who could confirm
        return shortest
    share = math.log(min(confirmations, expected) + 1) / math.log(expected + 1)
    return max(shortest, longest - (longest - shortest) * share)
