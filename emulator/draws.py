"""Random numbers from numpy, with a generator for each part of the model.

A change in one part does not change the draws of another. Numbers are drawn in chunks of about a thousand and returned
one by one, since a numpy call for a single number costs more than all that is done with it.
"""

from __future__ import annotations

from typing import Callable

import numpy as np
from numpy.random import Generator, SeedSequence, default_rng

CHUNK = 1024


class Stream:
    """Returns random numbers of one distribution, one per call."""

    def __init__(self, draw: Callable[[int], np.ndarray]) -> None:
        self._draw = draw
        self._left: list[float] = []

    def __call__(self) -> float:
        if not self._left:
            self._left = self._draw(CHUNK).tolist()
        return self._left.pop()


class Draws:
    """Creates the random streams of one run, each named by the part of the model that uses it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, *part: str | int) -> Generator:
        """Return the generator of one part, which depends only on the seed and the name of the part."""
        entropy = [
            self.seed,
            *(int.from_bytes(str(word).encode()[:16].ljust(16, b"\0"), "big") for word in part),
        ]
        return default_rng(SeedSequence(entropy))

    def uniform(self, *part: str | int, low: float = 0.0, high: float = 1.0) -> Stream:
        """Return a uniform stream."""
        generator = self.generator(*part)
        return Stream(lambda count: generator.uniform(low, high, count))

    def exponential(self, *part: str | int) -> Stream:
        """Return an exponential stream with mean 1."""
        generator = self.generator(*part)
        return Stream(lambda count: generator.exponential(1.0, count))

    def work(self, *part: str | int, spread: float) -> Stream:
        """Return a log-normal stream with mean 1, where `spread` is the standard deviation of the logarithm."""
        generator = self.generator(*part)
        return Stream(lambda count: generator.lognormal(-spread * spread / 2, spread, count))
