"""Estimators of a stream of observations in constant memory: decay, rates and quantiles."""

from __future__ import annotations

import math

DECAY_S = 30.0  # error rates and utilization decay linearly to zero over this time
RATE_MEMORY_S = 5.0  # time constant of the rates of events
QUANTILE_STEP = 0.05  # an observation moves a quantile by at most this share of itself
MIN_QUANTILE_COUNT = 50  # observations after which a quantile is used


def linear_decay(value: float, updated_at: float, now: float) -> float:
    """Return a value after linear decay, which reaches zero at `DECAY_S` after its last update."""
    return value * max(0.0, 1 - (now - updated_at) / DECAY_S) if value else 0.0


class SendRate:
    """Estimates the attempts that this proxy sends a second, from an exponentially decaying count."""

    __slots__ = ("count", "started_at", "updated_at")

    def __init__(self) -> None:
        self.started_at = -math.inf
        self.count = 0.0
        self.updated_at = 0.0

    def start(self, now: float) -> None:
        """Record the start of the proxy; until its rate memory is filled, the rate is averaged since then."""
        self.started_at = now
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one attempt."""
        self.count = self._count_at(now) + 1
        self.updated_at = now

    def per_second(self, now: float, min_lifetime: float = 1.0) -> float:
        """Return the recent rate of attempts a second.

        Args:
            now: The time, in seconds.
            min_lifetime: Minimum of the seconds over which a proxy that has just started is averaged.
        """
        lifetime = max(min_lifetime, now - self.started_at)
        return self._count_at(now) / (RATE_MEMORY_S * (1 - math.exp(-lifetime / RATE_MEMORY_S)))

    def _count_at(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / RATE_MEMORY_S)


class StreamingQuantile:
    """Estimates a quantile, moving it with each observation by steps that balance at its share."""

    __slots__ = ("count", "share", "value")

    def __init__(self, share: float) -> None:
        self.share = share
        self.value = 0.0
        self.count = 0

    @property
    def is_ready(self) -> bool:
        """Whether there were enough observations for the value to be meaningful."""
        return self.count > MIN_QUANTILE_COUNT

    def record(self, observation: float) -> None:
        """Record an observation, which must be over 0.

        The estimate starts at the maximum of the first observations: a hedged request that is sent too late
        costs less than many that are sent too early.
        """
        self.count += 1
        if self.count <= MIN_QUANTILE_COUNT:
            self.value = max(self.value, observation)
            return
        step = self.share if observation > self.value else self.share - 1
        self.value *= math.exp(QUANTILE_STEP * step)
