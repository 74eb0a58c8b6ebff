"""How many instances decisions count with, while the view moves."""

from __future__ import annotations

from loadbalancer.fleet.orchestration.fleet_size import FleetSize


def observe(size: FleetSize, seconds: float, living: int, settled: bool, now: float) -> float:
    """Hand in the same view four times a second for a while, and return the time after it."""
    for _ in range(int(seconds * 4)):
        now += 0.25
        size.step(now, living, settled)
    return now


def test_until_a_view_has_settled_the_configured_number_counts() -> None:
    size = FleetSize(8)
    assert size.step(1.0, 1, False).instances == 8
    assert size.step(2.0, 1, False).standing == "configured"
    assert size.step(3.0, 8, True).standing == "settled"


def test_an_instance_that_is_cut_off_keeps_the_last_settled_number_and_never_counts_one() -> None:
    size = FleetSize(8)
    now = observe(size, 5, 8, True, 0.0)
    now = observe(size, 60, 1, True, now)
    assert size.number == 8
    assert size.standing == "cut off"
    now = observe(size, 5, 8, True, now)
    assert (size.number, size.standing) == (8, "settled")


def test_a_loss_is_followed_in_steps_and_a_gain_at_once() -> None:
    size = FleetSize(40)
    now = observe(size, 5, 40, True, 0.0)
    numbers = []
    for _ in range(30):
        now = observe(size, 1, 30, True, now)
        numbers.append(size.number)
    assert numbers[-1] == 30
    assert numbers == sorted(numbers, reverse=True)
    assert all(after >= 0.7 * before for before, after in zip(numbers, numbers[1:], strict=False))
    observe(size, 0.25, 44, True, now)
    assert size.number == 44


def test_a_view_that_flaps_moves_little() -> None:
    size = FleetSize(8)
    now = observe(size, 5, 8, True, 0.0)
    for turn in range(60):
        now = observe(size, 1, 8 if turn % 2 else 7, turn % 2 == 0, now)
    assert size.number in (7, 8)


def test_half_of_the_fleet_that_stays_away_is_believed_in_the_end() -> None:
    size = FleetSize(8, shrink_confirmation_s=600.0)
    now = observe(size, 5, 8, True, 0.0)
    now = observe(size, 590, 4, True, now)
    assert size.number == 8
    now = observe(size, 60, 4, True, now)
    assert size.number == 4
    observe(size, 60, 1, True, now)
    assert size.number == 4
