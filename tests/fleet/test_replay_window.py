"""Replay protection against duplicate packets, packets out of order, and packets of an earlier boot."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet.replay_window import MAX_BOOTS_PER_NAME, WINDOW, ReplayProtection


@given(st.lists(st.integers(min_value=1, max_value=3 * WINDOW), max_size=200))
def test_number_is_accepted_once_and_only_within_the_window(numbers: list[int]) -> None:
    protection, accepted, greatest = ReplayProtection(), set(), 0
    for number in numbers:
        is_new = number not in accepted and number > greatest - WINDOW
        assert protection.accept("a", 1, number) == is_new
        accepted.add(number)
        greatest = max(greatest, number)


def test_boots_of_one_name_are_distinguished_and_bounded() -> None:
    protection = ReplayProtection()
    for boot in range(1, 2 * MAX_BOOTS_PER_NAME):
        assert protection.accept("a", boot, 1) and not protection.accept("a", boot, 1)
    assert not protection.accept("a", MAX_BOOTS_PER_NAME, 1)  # still among the latest boots
    for number in range(10_000):
        protection.accept(f"n{number}", 1, 1)
    assert len(protection) <= 8_192
