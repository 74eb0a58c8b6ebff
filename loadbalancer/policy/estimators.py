"""Estimators that follow a stream of observations in constant memory: decay, rates and quantiles."""

from __future__ import annotations

import math

DECAY_S = 30.0  # error rates and utilization fade to zero over this
RATE_MEMORY_S = 5.0  # time constant of the rates of events
QUANTILE_STEP = 0.05  # an observation moves a quantile by at most this share of itself
MIN_QUANTILE_COUNT = 50  # observations before a quantile says anything


def linear_decay(value: float, updated_at: float, now: float) -> float:
    """Return what a value still counts: it falls in a straight line to zero over `DECAY_S`."""
    return value * max(0.0, 1 - (now - updated_at) / DECAY_S) if value else 0.0


class SendRate:
    """Attempts that this proxy sends in a second, as an exponentially fading count."""

    __slots__ = ("count", "started_at", "updated_at")

    def __init__(self) -> None:
        self.started_at = -math.inf
        self.count = 0.0
        self.updated_at = 0.0

    def start(self, now: float) -> None:
        """Begin the life of the proxy, over which a young rate is averaged."""
        self.started_at = now
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one attempt."""
        self.count = self._count_at(now) + 1
        self.updated_at = now

    def per_second(self, now: float, min_lifetime: float = 1.0) -> float:
        """Return attempts a second of late.

        Args:
            now: The time, in seconds.
            min_lifetime: Seconds over which a proxy that is younger than the memory is averaged at least.
        """
        lifetime = max(min_lifetime, now - self.started_at)
        return self._count_at(now) / (RATE_MEMORY_S * (1 - math.exp(-lifetime / RATE_MEMORY_S)))

    def _count_at(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / RATE_MEMORY_S)


class StreamingQuantile:
    """The value that a share of observations stays under, followed by steps that balance there."""

    __slots__ = ("count", "share", "value")

    def __init__(self, share: float) -> None:
        self.share = share
        self.value = 0.0
        self.count = 0

    @property
    def is_ready(self) -> bool:
        """Whether there were enough observations for the value to mean something."""
        return self.count > MIN_QUANTILE_COUNT

    def record(self, observation: float) -> None:
        """Take note of an observation over 0.

        The estimate begins at the longest of the first ones: a hedged request too late is cheaper than many
        too early.
        """
        self.count += 1
        if self.count <= MIN_QUANTILE_COUNT:
            self.value = max(self.value, observation)
            return
        step = self.share if observation > self.value else self.share - 1
        self.value *= math.exp(QUANTILE_STEP * step)
