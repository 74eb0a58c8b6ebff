"""How pools and listeners divide the process, and whose turn it is when the processor is full."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.routing.fair_shares import (
    MIN_BACKEND_SOCKETS,
    SATURATED_UTILIZATION,
    ListenerSlots,
    WeightedTurns,
    divide,
    divide_listeners,
    divide_pools,
)  # fmt: skip

WEIGHTS = st.dictionaries(
    st.text("abc", min_size=1, max_size=3), st.floats(0.01, 100), min_size=1, max_size=8
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 10_000), WEIGHTS, st.integers(0, 20))
def test_parts_come_to_no_more_than_the_whole_and_none_is_nothing(
    whole: int, weights: dict[str, float], least: int
) -> None:
    parts = divide(whole, weights, least)
    assert sum(parts.values()) <= max(whole, least * len(weights))
    assert all(part >= least for part in parts.values())
    heavy, light = max(weights, key=weights.__getitem__), min(weights, key=weights.__getitem__)
    assert parts[heavy] >= parts[light]


def test_one_pool_has_all() -> None:
    slots = divide_listeners(100, 10, {"l": 1.0})
    assert slots == {"l": ListenerSlots(100, 10)}
    share = divide_pools(1 << 30, 200, {"p": 3.0}, slots, {"p": {"l"}})["p"]
    assert (share.backend_sockets, share.max_open_requests) == (200, 100)


def test_no_pool_may_hold_all_that_a_listener_has() -> None:
    slots = divide_listeners(100, 10, {"a": 1.0, "b": 3.0})
    shares = divide_pools(1 << 30, 200, {"p": 99.0, "q": 1.0}, slots, {"p": {"a", "b"}, "q": {"b"}})
    assert shares["p"].max_open_requests < slots["a"].connections  # the smaller of the two that lead to it
    assert shares["q"].max_open_requests >= 1 and shares["q"].backend_sockets >= MIN_BACKEND_SOCKETS


def test_a_pool_that_nothing_leads_to_still_has_a_share() -> None:
    assert divide_pools(0, 0, {"p": 1.0, "q": 1.0}, {}, {})["p"].max_open_requests == 1


def window(turns: WeightedTurns, used: float, **asked: int) -> dict[str, int]:
    """One window of requests; how many of each pool were admitted."""
    admitted = {name: sum(turns.admit(name) for _ in range(count)) for name, count in asked.items()}
    turns.window(used)
    return admitted


def test_with_room_on_the_processor_all_are_admitted() -> None:
    turns = WeightedTurns({"a": 1.0, "b": 1.0})
    for _ in range(5):
        assert window(turns, SATURATED_UTILIZATION - 0.01, a=900, b=100) == {"a": 900, "b": 100}


def test_a_flood_is_held_to_its_share_and_the_other_pool_is_not() -> None:
    turns = WeightedTurns({"a": 1.0, "b": 1.0})
    window(turns, 1.0, a=900, b=100)
    admitted = window(turns, 1.0, a=5000, b=100)
    assert admitted["b"] == 100 and admitted["a"] == 900  # all that b leaves
    admitted = window(turns, 1.0, a=5000, b=450)
    assert admitted["b"] == 450


def test_two_floods_share_by_weight_what_the_others_leave() -> None:
    turns = WeightedTurns({"a": 3.0, "b": 1.0, "c": 1.0})
    window(turns, 1.0, a=600, b=300, c=100)
    assert window(turns, 1.0, a=5000, b=5000, c=100) == {"a": 675, "b": 225, "c": 100}


def test_once_there_is_room_nobody_is_held() -> None:
    turns = WeightedTurns({"a": 1.0, "b": 1.0})
    window(turns, 1.0, a=900, b=100)
    window(turns, 0.5, a=900, b=100)
    assert window(turns, 0.5, a=5000, b=1) == {"a": 5000, "b": 1}


def test_a_pool_alone_on_a_full_processor_is_not_held() -> None:
    turns = WeightedTurns({"a": 1.0})
    window(turns, 1.0, a=100)
    assert window(turns, 1.0, a=1000) == {"a": 1000}


@pytest.mark.parametrize("weights", [{"a": 1.0, "b": 1.0}, {"a": 5.0, "b": 0.1, "c": 2.0}])
def test_where_all_take_their_share_none_is_held(weights: dict[str, float]) -> None:
    turns = WeightedTurns(weights)
    total = sum(weights.values())
    asked = {name: int(1000 * weight / total) for name, weight in weights.items()}
    window(turns, 1.0, **asked)
    assert window(turns, 1.0, **{name: count * 2 for name, count in asked.items()})


def test_a_pool_that_came_with_a_reload_is_admitted() -> None:
    assert WeightedTurns({"a": 1.0}).admit("new")


def test_a_pool_is_not_held_for_others_that_ask_for_nothing() -> None:
    turns = WeightedTurns({"a": 1.0, "b": 1.0})
    window(turns, 1.0, a=900, b=0)
    assert window(turns, 1.0, a=1300, b=0) == {"a": 1300, "b": 0}
