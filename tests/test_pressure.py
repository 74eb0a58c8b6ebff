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
        assert (
            low.idle_timeout_s > high.idle_timeout_s
            and low.min_reuse < high.min_reuse
            and low.max_accepts >= high.max_accepts
        )
    assert STEPS[-1].idle_timeout_s >= 2.0  # the platform's idle connections may not be closed sooner


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
        pressure.update(share, 100)
    assert pressure.number == wanted and pressure.step is STEPS[wanted]


@DERANDOMIZED
@given(st.lists(st.integers(0, 120), min_size=1, max_size=200))
def test_step_fits_the_share_and_does_not_oscillate_by_one_connection(
    taken: list[int],
) -> None:
    pressure = Pressure()
    for count in taken:
        pressure.update(count, 100)
        assert count / 100 >= pressure.step.leave
        assert pressure.number + 1 == len(STEPS) or count / 100 < STEPS[pressure.number + 1].enter
        before = pressure.number
        for _ in range(5):
            pressure.update(count + 1, 100)
            pressure.update(count, 100)
        assert pressure.number in (before, before + 1)
        after = pressure.number
        pressure.update(count + 1, 100)
        pressure.update(count, 100)
        assert pressure.number == after


def test_zero_slots_select_the_last_step() -> None:
    pressure = Pressure()
    pressure.update(0, 0)
    assert pressure.number == len(STEPS) - 1


def test_all_connections_are_kept_while_slots_are_free() -> None:
    pressure = Pressure()
    for _ in range(100):
        pressure.reuse.record(False)
    pressure.update(39, 100)
    assert all(pressure.keeps_open(1) for _ in range(1000))


def test_reused_connection_is_kept_in_every_step() -> None:
    pressure = Pressure()
    for taken in range(0, 101, 10):
        pressure.update(taken, 100)
        assert pressure.keeps_open(2)


def test_connections_without_reuse_are_closed_except_for_trials() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.record(False)
    pressure.update(50, 100)
    kept = sum(pressure.keeps_open(1) for _ in range(TRIAL_INTERVAL * 50))
    assert kept == 50


def test_connections_with_likely_reuse_are_kept_in_every_step() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.record(True)
    for taken in (50, 70, 100):
        pressure.update(taken, 100)
        assert all(pressure.keeps_open(1) for _ in range(100))


def test_required_reuse_grows_with_the_share_of_used_slots() -> None:
    reuse = Reuse()
    while reuse.probability < 0.6:
        reuse.record(True)
    pressure = Pressure()
    pressure.reuse = reuse
    kept = []
    for taken in (0, 50, 70, 100):
        pressure.update(taken, 100)
        kept.append(sum(pressure.keeps_open(1) for _ in range(TRIAL_INTERVAL)))
    assert kept == [TRIAL_INTERVAL, TRIAL_INTERVAL, TRIAL_INTERVAL, 0]


def test_requests_to_the_proxy_itself_do_not_keep_a_connection_under_pressure() -> None:
    pressure = Pressure()
    for _ in range(200):
        pressure.reuse.record(True)
    assert pressure.keeps_open(1, served=False)
    pressure.update(50, 100)
    assert not any(pressure.keeps_open(1, served=False) for _ in range(100)) and pressure.keeps_open(
        2, served=False
    )


def test_trials_get_rarer_with_the_share_of_used_slots() -> None:
    counts = []
    for taken in (50, 70, 100):
        pressure = Pressure()
        pressure.update(taken, 100)
        counts.append(sum(pressure.keeps_open(1) for _ in range(TRIAL_INTERVAL * TRIAL_INTERVAL_GROWTH**2)))
    assert counts == [TRIAL_INTERVAL_GROWTH**2, TRIAL_INTERVAL_GROWTH, 1]


def test_trials_detect_that_clients_start_to_reuse_connections() -> None:
    """No client reuses its connection, then all do. The connections kept as trials must suffice to detect this."""
    pressure = Pressure()
    for _ in range(300):
        pressure.reuse.record(False)
    pressure.update(50, 100)
    answers = 0
    while not pressure.reuse.is_worth_keeping(STEPS[1].min_reuse):
        answers += 1
        assert answers < TRIAL_INTERVAL * 60
        if pressure.keeps_open(1):
            pressure.reuse.record(True)
    assert pressure.reuse.probability >= STEPS[1].min_reuse


def test_reuse_estimate_follows_recent_connections() -> None:
    reuse = Reuse()
    for _ in range(int(8 / REUSE_WEIGHT)):
        reuse.record(True)
    assert reuse.probability > 0.99
    for _ in range(int(1 / REUSE_WEIGHT)):
        reuse.record(False)
    assert reuse.probability < 0.4


@DERANDOMIZED
@given(st.lists(st.booleans(), max_size=500))
def test_reuse_estimate_stays_a_probability(used: list[bool]) -> None:
    reuse = Reuse()
    for one in used:
        reuse.record(one)
        assert 0.0 <= reuse.probability <= 1.0
