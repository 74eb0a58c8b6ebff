"""Pressure on the connections of clients: the steps, their hysteresis, and what a kept connection is worth."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.admission.pressure import (
    REUSE_WEIGHT,
    STEPS,
    TRIAL_INTERVAL,
    TRIAL_INTERVAL_GROWTH,
    Pressure,
    Reuse,
)

EVERY = settings(derandomize=True, max_examples=200, deadline=None)


def test_the_steps_are_a_ladder() -> None:
    assert STEPS[0].enter == STEPS[0].leave == 0.0
    for low, high in zip(STEPS, STEPS[1:], strict=False):
        assert low.enter < high.enter and low.leave < high.leave < high.enter
        assert low.idle_s > high.idle_s and low.min_reuse < high.min_reuse and low.accepts >= high.accepts
    assert STEPS[-1].idle_s >= 2.0  # no sooner may the platform's connections be closed


@pytest.mark.parametrize(
    "shares, wanted",
    [
        ([0, 39], 0),
        ([40], 1),
        ([100], 3),
        ([100, 0], 0),
        ([40, 35], 1),  # between leaving and entering: as it was
        ([35], 0),
        ([40, 29], 0),
        ([60, 55, 49], 1),
        ([80, 71, 69], 2),
        ([80, 45], 1),
    ],
)
def test_steps_come_and_go_with_a_gap(shares: list[int], wanted: int) -> None:
    pressure = Pressure()
    for share in shares:
        pressure.measure(share, 100)
    assert pressure.number == wanted and pressure.step is STEPS[wanted]


@EVERY
@given(st.lists(st.integers(0, 120), min_size=1, max_size=200))
def test_the_step_always_fits_the_share_and_one_connection_more_or_less_never_moves_it_to_and_fro(
    taken: list[int],
) -> None:
    pressure = Pressure()
    for count in taken:
        pressure.measure(count, 100)
        assert count / 100 >= pressure.step.leave
        assert pressure.number + 1 == len(STEPS) or count / 100 < STEPS[pressure.number + 1].enter
        before = pressure.number
        for _ in range(5):
            pressure.measure(count + 1, 100)
            pressure.measure(count, 100)
        assert pressure.number in (before, before + 1)
        after = pressure.number
        pressure.measure(count + 1, 100)
        pressure.measure(count, 100)
        assert pressure.number == after


def test_no_slots_at_all_is_the_last_step() -> None:
    pressure = Pressure()
    pressure.measure(0, 0)
    assert pressure.number == len(STEPS) - 1


def test_all_are_kept_where_slots_are_free() -> None:
    pressure = Pressure()
    for _ in range(100):
        pressure.reuse.note(False)
    pressure.measure(39, 100)
    assert all(pressure.keeps(1) for _ in range(1000))


def test_what_is_used_again_is_kept_in_every_step() -> None:
    pressure = Pressure()
    for taken in range(0, 101, 10):
        pressure.measure(taken, 100)
        assert pressure.keeps(2)


def test_clients_that_ask_once_lose_their_connections_but_for_one_in_a_few() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(False)
    pressure.measure(50, 100)
    kept = sum(pressure.keeps(1) for _ in range(TRIAL_INTERVAL * 50))
    assert kept == 50


def test_clients_that_come_back_keep_theirs_through_every_step() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(True)
    for taken in (50, 70, 100):
        pressure.measure(taken, 100)
        assert all(pressure.keeps(1) for _ in range(100))


def test_the_fuller_the_slots_the_more_a_connection_must_be_worth() -> None:
    reuse = Reuse()
    while reuse.chance < 0.6:
        reuse.note(True)
    pressure = Pressure()
    pressure.reuse = reuse
    kept = []
    for taken in (0, 50, 70, 100):
        pressure.measure(taken, 100)
        kept.append(sum(pressure.keeps(1) for _ in range(TRIAL_INTERVAL)))
    assert kept == [TRIAL_INTERVAL, TRIAL_INTERVAL, TRIAL_INTERVAL, 0]


def test_questions_to_the_proxy_itself_keep_no_slot_that_is_short() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(True)
    assert pressure.keeps(1, served=False)
    pressure.measure(50, 100)
    assert not any(pressure.keeps(1, served=False) for _ in range(100)) and pressure.keeps(2, served=False)


def test_the_fuller_the_slots_the_fewer_are_kept_for_trial() -> None:
    counts = []
    for taken in (50, 70, 100):
        pressure = Pressure()
        pressure.measure(taken, 100)
        counts.append(sum(pressure.keeps(1) for _ in range(TRIAL_INTERVAL * TRIAL_INTERVAL_GROWTH**2)))
    assert counts == [TRIAL_INTERVAL_GROWTH**2, TRIAL_INTERVAL_GROWTH, 1]


def test_a_change_of_clients_is_found_out_by_the_trials() -> None:
    """All askers come once; then all come back. Those that are kept for trial alone must be enough."""
    pressure = Pressure()
    for _ in range(300):
        pressure.reuse.note(False)
    pressure.measure(50, 100)
    answers = 0
    while not pressure.reuse.is_worth_keeping(STEPS[1].min_reuse):
        answers += 1
        assert answers < TRIAL_INTERVAL * 60
        if pressure.keeps(1):
            pressure.reuse.note(True)
    assert pressure.reuse.chance >= STEPS[1].min_reuse


def test_the_measure_of_reuse_forgets() -> None:
    reuse = Reuse()
    for _ in range(int(8 / REUSE_WEIGHT)):
        reuse.note(True)
    assert reuse.chance > 0.99
    for _ in range(int(1 / REUSE_WEIGHT)):
        reuse.note(False)
    assert reuse.chance < 0.4


@EVERY
@given(st.lists(st.booleans(), max_size=500))
def test_the_chance_stays_one(used: list[bool]) -> None:
    reuse = Reuse()
    for one in used:
        reuse.note(one)
        assert 0.0 <= reuse.chance <= 1.0
