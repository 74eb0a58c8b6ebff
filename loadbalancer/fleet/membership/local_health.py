"""Local health: how far an instance takes missing answers for its own fault (Lifeguard, section IV.A).

An instance whose probes fail, whose helpers are silent, or which is suspected itself may be slow itself. It then
stretches its probe interval and timeout, so that it suspects others less readily.
"""

from __future__ import annotations


class LocalHealth:
    """The local health score: 0 is healthy, each failure adds to it, each answered probe takes one off."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Count `by` signs that this instance is slow."""
        self.score = min(self._max_score, self.score + by)

    def improve(self) -> None:
        """Count a probe that was answered."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """The local health multiplier: factor of the probe interval and of the probe timeout."""
        return 1 + self.score
