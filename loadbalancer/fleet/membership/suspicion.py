"""The timeout of a suspicion (Lifeguard, section IV.B).

A suspicion starts with the longest timeout; each further instance that suspects the same member shortens it. So a
suspicion that no other instance confirms lasts long, and a crash that many instances observe is decided soon.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.settings import Timers


class Suspicion:
    """Holds the start and the reporters of the suspicion of one member.

    Attributes:
        started_at: When it started, in seconds on the view's clock.
        reporters: Names of the instances that suspect the member, including the first.
    """

    __slots__ = ("reporters", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.reporters: set[str] = set()

    def restart(self, now: float, reporter: str) -> None:
        """Start a new suspicion that was reported by one instance."""
        self.started_at = now
        self.reporters = {reporter}

    def postpone(self, now: float, seconds: float) -> None:
        """Move the start by `seconds` that have just passed, but not into the future."""
        self.started_at = min(now, self.started_at + seconds)

    def expires_at(self, timers: Timers, fleet_size: int) -> float:
        """Return the time at which the member is declared dead unless it refutes the suspicion."""
        confirmations = len(self.reporters) - 1
        return self.started_at + suspicion_timeout(timers, fleet_size, confirmations)


def suspicion_bounds(timers: Timers, fleet_size: int) -> tuple[float, float]:
    """Return the shortest and the longest suspicion timeout in seconds for `fleet_size` living members."""
    shortest = timers.suspicion * timers.probe_interval * max(1.0, math.log10(max(1, fleet_size)))
    return shortest, shortest * timers.max_suspicion_factor


def suspicion_timeout(timers: Timers, fleet_size: int, confirmations: int) -> float:
    """Return the timeout of a suspicion.

    Args:
        timers: The protocol's timers.
        fleet_size: Number of living members, including this instance.
        confirmations: Number of further instances that suspect the member.

    Returns:
        Seconds from the start of the suspicion.
    """
    shortest, longest = suspicion_bounds(timers, fleet_size)
    expected = min(timers.confirmations, fleet_size - 2)
    if expected <= 0:  # no other member could confirm it
        return shortest
    share = math.log(min(confirmations, expected) + 1) / math.log(expected + 1)
    return max(shortest, longest - (longest - shortest) * share)
