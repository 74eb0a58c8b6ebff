"""Answers without a stated length whose body begins late, rests, or never ends, on a real process of `run`."""

from __future__ import annotations

import asyncio
from itertools import product
from typing import Iterator

import pytest
from peers import run_with_timeout

from standins.crowds import Answer, fetch
from standins.platform_run import Limits, PlatformRun

LIMITS = Limits(80, 384)
#: Seconds that the clients of long answers wait; the aim of each class is 0.6 s.
DEADLINE_S = 1.5
#: The same for short answers that do not come.
SHORT_DEADLINE_S = 0.6
#: Requests that are open at the same time.
OPEN_AT_ONCE = 16


def late_bodies(framing: str) -> Iterator[str]:
    """Yield targets of long answers whose body begins after a rest, and is written in six parts."""
    rests = ((0, 0.3), (0, 0.8), (0, 1.1), (229, 0.9), (30_000, 1.0))
    for (size, seconds), delay, (first, pause) in product(((110_000, 4), (255_000, 1)), (0.1, 0.3), rests):
        yield (
            f"/api?size={size}&seconds={seconds}&parts=6&framing={framing}"
            f"&delay={delay}&first={first}&pause={pause}"
        )


async def fetch_all(run: PlatformRun, lane: str, targets: list[str], deadline_s: float) -> list[Answer]:
    slots = asyncio.Semaphore(OPEN_AT_ONCE)

    async def fetch_one(target: str) -> Answer:
        async with slots:
            return await fetch(run.address, lane, target, deadline_s)

    return await asyncio.gather(*(fetch_one(target) for target in targets))


@pytest.mark.parametrize("framing", ["chunked", "close"])
@pytest.mark.parametrize("lane", ["safe", "keyed", "unsafe"])
def test_long_answer_whose_body_begins_late_is_not_cut_off(lane: str, framing: str) -> None:
    """Guards against long answers that are cut off for a rest behind their head."""

    async def scene() -> None:
        targets = list(late_bodies(framing))
        async with PlatformRun(LIMITS) as run:
            answers = await fetch_all(run, lane, targets, DEADLINE_S)
        cut = [target for target, answer in zip(targets, answers, strict=True) if answer.status != 200]
        assert not cut, f"{len(cut)} of {len(targets)}: {cut}"
        assert all(answer.is_own for answer in answers)

    run_with_timeout(scene)


@pytest.mark.parametrize("framing", ["chunked", "close"])
@pytest.mark.parametrize("lane", ["safe", "unsafe"])
def test_short_answer_that_stops_or_trickles_fails_in_time(lane: str, framing: str) -> None:
    """Guards against clients that get no final answer in time since their answer never ends."""

    async def scene() -> None:
        forms = ("stalls_after=-1", "first=100&stalls_after=100", "seconds=20", "seconds=20&first=100")
        targets = [
            f"/api?size=20000&framing={framing}&delay={delay}&{form}"
            for form in forms
            for delay in (0.1, 0.45)
        ]
        async with PlatformRun(LIMITS) as run:
            answers = await fetch_all(run, lane, targets, SHORT_DEADLINE_S)
        for target, answer in zip(targets, answers, strict=True):
            assert answer.status in (502, 503), target

    run_with_timeout(scene)
