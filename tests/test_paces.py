"""Answers and uploads along curves drawn at random, judged from outside; `benchmarks.paces` plays more of them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from peers import run_with_timeout

from benchmarks.paces import play_seed
from standins.paces import Exchange, Heard, find_broken_rule

BODY = ((0.1, 0), (0.9, 40_000), (1.4, 40_000), (1.9, 40_000))
SERVED = Heard(200, True, True, 1.5, 1.9, 1)
LATE = Exchange("unsafe", 1.5, "chunked", "whole", BODY)
STOPPED = Exchange("unsafe", 1.5, "chunked", "never", ((0.1, 100),))
FAILED = Heard(502, True, True, 1.85, 1.85, 1)


@pytest.mark.parametrize("seed", range(1, 4))
def test_answers_and_uploads_of_random_paces_keep_the_rules(seed: int) -> None:
    """Guards against the next pace that is cut off, or never ends."""

    async def scene() -> None:
        assert await play_seed(seed) == []

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("exchange", "heard", "is_broken"),
    [
        (LATE, SERVED, False),
        (LATE, FAILED, True),
        (LATE, replace(SERVED, is_whole=False), True),
        (LATE, replace(SERVED, effects=2), True),
        (LATE, replace(SERVED, is_own=False), True),
        (LATE, replace(SERVED, first_byte_s=2.4), True),
        (LATE, Heard(503, True, True, 0.01, 0.01, 0), False),
        (STOPPED, FAILED, False),
        (STOPPED, replace(FAILED, first_byte_s=2.4, end_s=2.4), True),
        (STOPPED, replace(SERVED, is_whole=False), True),
        (STOPPED, replace(SERVED, is_whole=True), True),
        (replace(LATE, end="reset"), SERVED, True),
        (replace(LATE, end="reset"), replace(SERVED, is_whole=False), False),
    ],
)
def test_judge_finds_each_broken_rule(exchange: Exchange, heard: Heard, is_broken: bool) -> None:
    """Guards against a judge that lets a broken rule pass."""
    assert (find_broken_rule(exchange, heard) is not None) == is_broken
