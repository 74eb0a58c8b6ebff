"""Packets that come twice, out of order, or from an earlier boot."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet.replay_window import MAX_BOOTS_PER_NAME, WINDOW, ReplayProtection


@given(st.lists(st.integers(min_value=1, max_value=3 * WINDOW), max_size=200))
def test_a_number_is_taken_once_and_only_within_the_window(numbers: list[int]) -> None:
    replays, seen, latest = ReplayProtection(), set(), 0
    for number in numbers:
        fresh = number not in seen and number > latest - WINDOW
        assert replays.take("a", 1, number) == fresh
        seen.add(number)
        latest = max(latest, number)


def test_lives_of_one_name_are_told_apart_and_bounded() -> None:
    replays = ReplayProtection()
    for boot in range(1, 2 * MAX_BOOTS_PER_NAME):
        assert replays.take("a", boot, 1) and not replays.take("a", boot, 1)
    assert not replays.take("a", MAX_BOOTS_PER_NAME, 1)  # among the latest lives still
    for number in range(10_000):
        replays.take(f"n{number}", 1, 1)
    assert len(replays) <= 8_192
