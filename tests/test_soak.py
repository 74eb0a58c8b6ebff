"""A short soak with fixed seeds; `python -m benchmarks.soak` plays more, and longer ones."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.soak import Disturbances, Schedule, play

SECONDS = 4.0
LONGER_S = 6.0


# Guards against requests, effects and descriptors that are lost around signals, kills and crowds.
@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        pytest.param(1, SECONDS, id="run"),
        pytest.param(3, SECONDS, id="run-with-a-crowd"),
        pytest.param(4, SECONDS, id="serve"),
        pytest.param(52, LONGER_S, id="serve-seed-52"),
        pytest.param(56, LONGER_S, id="serve-seed-56"),
        pytest.param(73, LONGER_S, id="run-with-a-crowd-seed-73"),
    ],
)
def test_no_rule_is_broken_up_to_the_earliest_kill(seed: int, seconds: float) -> None:
    soak = asyncio.run(play(seed, seconds))

    assert soak.counts["200"] > 100
    assert not soak.journal.broken, "\n".join((soak.journal.broken[0], *soak.journal.led_there))


def test_a_seed_replays_its_schedule() -> None:
    assert Schedule.drawn(7, SECONDS) == Schedule.drawn(7, SECONDS)
    kinds = {
        (Schedule.drawn(seed, SECONDS).is_daemon, Schedule.drawn(seed, SECONDS).has_crowd)
        for seed in range(40)
    }
    assert len(kinds) == 4


# Guards against an event loop that waits until its log is read: every client would wait as long.
@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        pytest.param(1, SECONDS, id="run"),
        pytest.param(52, LONGER_S, id="serve-seed-52"),
    ],
)
def test_a_log_that_nobody_reads_holds_up_no_request(seed: int, seconds: float) -> None:
    soak = asyncio.run(play(seed, seconds, Disturbances(log_is_unread=True)))

    assert soak.counts["200"] > 100
    assert not soak.journal.broken, "\n".join((soak.journal.broken[0], *soak.journal.led_there))
