"""Local health: an instance's estimate of whether it is itself slow (Lifeguard, section IV.A).

An instance whose probes fail, whose helpers do not answer, or which is suspected by others may be slow itself. It then
lengthens its probe interval and timeout, so that it suspects others less readily.
"""

from __future__ import annotations


class LocalHealth:
    """Holds the local health score: 0 is healthy, each failure raises it, each answered probe lowers it by one."""

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Raise the score by `by`, at most to the maximum."""
        self.score = min(self._max_score, self.score + by)

    def improve(self) -> None:
        """Lower the score by one after an answered probe."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """The local health multiplier: the factor for the probe interval and the probe timeout."""
        return 1 + self.score
