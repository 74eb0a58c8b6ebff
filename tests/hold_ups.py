"""Holds the test's process up at seeded moments: `./micastand test --hold-up 0.15 --hold-up-seed 3 TEST`.

By hand only: a failure that a busy machine brings now and then can be called for.
"""

from __future__ import annotations

import random
import signal
import time
from contextlib import contextmanager
from types import FrameType
from typing import Iterator

import pytest

#: Seconds from a test's start within which its hold-up begins, unless --hold-up-within says otherwise.
DEFAULT_WITHIN_S = 1.0


def add_options(parser: pytest.Parser) -> None:
    """Add the options of hold-ups."""
    group = parser.getgroup("hold-ups")
    group.addoption(
        "--hold-up", type=float, default=0.0, metavar="S", help="hold each test up once, for S seconds"
    )
    group.addoption("--hold-up-seed", type=int, default=1, metavar="N", help="draws the moment")
    group.addoption(
        "--hold-up-within",
        type=float,
        default=DEFAULT_WITHIN_S,
        metavar="S",
        help="latest moment, in seconds",
    )


@contextmanager
def held_up(config: pytest.Config, test: str) -> Iterator[None]:
    """Hold the process up once while the block runs, if that was asked for.

    Args:
        config: With the options.
        test: Name of the test; it and the seed draw the moment.
    """
    length_s: float = config.getoption("--hold-up")
    if not length_s:
        yield
        return
    draws = random.Random(f"{test} {config.getoption('--hold-up-seed')}")
    moment_s = draws.uniform(0.001, config.getoption("--hold-up-within"))

    def hold_up(_number: int, _frame: FrameType | None) -> None:
        time.sleep(length_s)

    before = signal.signal(signal.SIGALRM, hold_up)
    signal.setitimer(signal.ITIMER_REAL, moment_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)
