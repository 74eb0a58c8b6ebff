"""Stalls the test process at seeded moments: `./micastand test --hold-up 0.15 --hold-up-seed 3 TEST`.

Used by hand only, to reproduce failures that occur now and then on a busy machine.
"""

from __future__ import annotations

import random
import signal
import time
from contextlib import contextmanager
from types import FrameType
from typing import Iterator

import pytest

#: Default of --hold-up-within: the stall begins within this many seconds after the start of a test.
DEFAULT_WITHIN_S = 1.0


def add_options(parser: pytest.Parser) -> None:
    """Add the command-line options for stalls."""
    group = parser.getgroup("hold-ups")
    group.addoption(
        "--hold-up", type=float, default=0.0, metavar="S", help="stall each test once, for S seconds"
    )
    group.addoption(
        "--hold-up-seed", type=int, default=1, metavar="N", help="seed that determines the moment"
    )
    group.addoption(
        "--hold-up-within",
        type=float,
        default=DEFAULT_WITHIN_S,
        metavar="S",
        help="latest moment of the stall, in seconds from the start of the test",
    )


@contextmanager
def stall_once(config: pytest.Config, test: str) -> Iterator[None]:
    """Stall the process once while the block runs, if --hold-up is given.

    Args:
        config: The configuration with the options.
        test: Id of the test; together with the seed it determines the moment.
    """
    stall_s: float = config.getoption("--hold-up")
    if not stall_s:
        yield
        return
    random_numbers = random.Random(f"{test} {config.getoption('--hold-up-seed')}")
    moment_s = random_numbers.uniform(0.001, config.getoption("--hold-up-within"))

    def stall(_number: int, _frame: FrameType | None) -> None:
        time.sleep(stall_s)

    previous_handler = signal.signal(signal.SIGALRM, stall)
    signal.setitimer(signal.ITIMER_REAL, moment_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous_handler)
