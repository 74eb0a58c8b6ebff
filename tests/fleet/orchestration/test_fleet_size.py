"""The estimate of the fleet's size while the membership view changes."""

from __future__ import annotations

from loadbalancer.fleet.orchestration.fleet_size import FleetSize


def observe(size: FleetSize, seconds: float, living: int, settled: bool, now: float) -> float:
    """Report the same view four times per second for `seconds`; return the time after it."""
    for _ in range(int(seconds * 4)):
        now += 0.25
        size.step(now, living, settled)
    return now


def test_configured_size_is_used_until_a_view_has_settled() -> None:
    size = FleetSize(8)
    assert size.step(1.0, 1, False).instances == 8
    assert size.step(2.0, 1, False).basis == "configured"
    assert size.step(3.0, 8, True).basis == "settled"


def test_instance_that_is_cut_off_keeps_the_last_settled_size() -> None:
    size = FleetSize(8)
    now = observe(size, 5, 8, True, 0.0)
    now = observe(size, 60, 1, True, now)
    assert size.number == 8
    assert size.basis == "cut off"
    now = observe(size, 5, 8, True, now)
    assert (size.number, size.basis) == (8, "settled")


def test_size_shrinks_in_steps_and_grows_at_once() -> None:
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


def test_flapping_view_changes_the_size_by_at_most_one() -> None:
    size = FleetSize(8)
    now = observe(size, 5, 8, True, 0.0)
    for turn in range(60):
        now = observe(size, 1, 8 if turn % 2 else 7, turn % 2 == 0, now)
    assert size.number in (7, 8)


def test_permanent_loss_of_half_of_the_fleet_is_accepted_after_the_confirmation_time() -> None:
    size = FleetSize(8, shrink_confirmation_s=600.0)
    now = observe(size, 5, 8, True, 0.0)
    now = observe(size, 590, 4, True, now)
    assert size.number == 8
    now = observe(size, 60, 4, True, now)
    assert size.number == 4
    observe(size, 60, 1, True, now)
    assert size.number == 4
