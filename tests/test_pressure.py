"""Steps of pressure on the connection slots, their hysteresis, and the estimate of reuse."""

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

DERANDOMIZED = settings(derandomize=True, max_examples=200, deadline=None)


def test_steps_get_stricter_in_order() -> None:
    assert STEPS[0].enter == STEPS[0].leave == 0.0
    for low, high in zip(STEPS, STEPS[1:], strict=False):
        assert low.enter < high.enter and low.leave < high.leave < high.enter
        assert low.idle_s > high.idle_s and low.min_reuse < high.min_reuse and low.accepts >= high.accepts
    assert STEPS[-1].idle_s >= 2.0  # the platform's idle connections may not be closed sooner


@pytest.mark.parametrize(
    "shares, wanted",
    [
        ([0, 39], 0),
        ([40], 1),
        ([100], 3),
        ([100, 0], 0),
        ([40, 35], 1),  # between the thresholds the step stays
        ([35], 0),
        ([40, 29], 0),
        ([60, 55, 49], 1),
        ([80, 71, 69], 2),
        ([80, 45], 1),
    ],
)
def test_step_changes_with_hysteresis(shares: list[int], wanted: int) -> None:
    pressure = Pressure()
    for share in shares:
        pressure.measure(share, 100)
    assert pressure.number == wanted and pressure.step is STEPS[wanted]


@DERANDOMIZED
@given(st.lists(st.integers(0, 120), min_size=1, max_size=200))
def test_step_fits_the_share_and_does_not_oscillate_by_one_connection(
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


def test_zero_slots_select_the_last_step() -> None:
    pressure = Pressure()
    pressure.measure(0, 0)
    assert pressure.number == len(STEPS) - 1


def test_all_connections_are_kept_while_slots_are_free() -> None:
    pressure = Pressure()
    for _ in range(100):
        pressure.reuse.note(False)
    pressure.measure(39, 100)
    assert all(pressure.keeps(1) for _ in range(1000))


def test_reused_connection_is_kept_in_every_step() -> None:
    pressure = Pressure()
    for taken in range(0, 101, 10):
        pressure.measure(taken, 100)
        assert pressure.keeps(2)


def test_connections_without_reuse_are_closed_except_for_trials() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(False)
    pressure.measure(50, 100)
    kept = sum(pressure.keeps(1) for _ in range(TRIAL_INTERVAL * 50))
    assert kept == 50


def test_connections_with_likely_reuse_are_kept_in_every_step() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(True)
    for taken in (50, 70, 100):
        pressure.measure(taken, 100)
        assert all(pressure.keeps(1) for _ in range(100))


def test_required_reuse_grows_with_the_share_of_used_slots() -> None:
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


def test_requests_to_the_proxy_itself_do_not_keep_a_connection_under_pressure() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.note(True)
    assert pressure.keeps(1, served=False)
    pressure.measure(50, 100)
    assert not any(pressure.keeps(1, served=False) for _ in range(100)) and pressure.keeps(2, served=False)


def test_trials_get_rarer_with_the_share_of_used_slots() -> None:
    counts = []
    for taken in (50, 70, 100):
        pressure = Pressure()
        pressure.measure(taken, 100)
        counts.append(sum(pressure.keeps(1) for _ in range(TRIAL_INTERVAL * TRIAL_INTERVAL_GROWTH**2)))
    assert counts == [TRIAL_INTERVAL_GROWTH**2, TRIAL_INTERVAL_GROWTH, 1]


def test_trials_detect_that_clients_start_to_reuse_connections() -> None:
    """No client reuses its connection, then all do. The connections kept as trials must suffice to detect this."""
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


def test_reuse_estimate_follows_recent_connections() -> None:
    reuse = Reuse()
    for _ in range(int(8 / REUSE_WEIGHT)):
        reuse.note(True)
    assert reuse.chance > 0.99
    for _ in range(int(1 / REUSE_WEIGHT)):
        reuse.note(False)
    assert reuse.chance < 0.4


@DERANDOMIZED
@given(st.lists(st.booleans(), max_size=500))
def test_reuse_estimate_stays_a_probability(used: list[bool]) -> None:
    reuse = Reuse()
    for one in used:
        reuse.note(one)
        assert 0.0 <= reuse.chance <= 1.0
