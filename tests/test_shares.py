"""Division of descriptors and buffers between pools and listeners, and admission while the processor is saturated."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.routing.fair_shares import (
    MIN_BACKEND_SOCKETS,
    SATURATED_UTILIZATION,
    ListenerSlots,
    WeightedAdmission,
    divide,
    divide_listeners,
    divide_pools,
)  # fmt: skip

WEIGHTS = st.dictionaries(
    st.text("abc", min_size=1, max_size=3), st.floats(0.01, 100), min_size=1, max_size=8
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 10_000), WEIGHTS, st.integers(0, 20))
def test_parts_add_up_to_at_most_the_whole_and_each_gets_its_minimum(
    whole: int, weights: dict[str, float], least: int
) -> None:
    parts = divide(whole, weights, least)
    assert sum(parts.values()) <= max(whole, least * len(weights))
    assert all(part >= least for part in parts.values())
    heaviest, lightest = max(weights, key=weights.__getitem__), min(weights, key=weights.__getitem__)
    assert parts[heaviest] >= parts[lightest]


def test_a_single_pool_gets_everything() -> None:
    slots = divide_listeners(100, 10, {"l": 1.0})
    assert slots == {"l": ListenerSlots(100, 10)}
    share = divide_pools(1 << 30, 200, {"p": 3.0}, slots, {"p": {"l"}})["p"]
    assert (share.backend_sockets, share.max_open_requests) == (200, 100)


def test_a_pool_gets_less_than_all_connections_of_its_smallest_listener() -> None:
    slots = divide_listeners(100, 10, {"a": 1.0, "b": 3.0})
    shares = divide_pools(1 << 30, 200, {"p": 99.0, "q": 1.0}, slots, {"p": {"a", "b"}, "q": {"b"}})
    assert (
        shares["p"].max_open_requests < slots["a"].connections
    )  # of the smaller of the two listeners that reach it
    assert shares["q"].max_open_requests >= 1 and shares["q"].backend_sockets >= MIN_BACKEND_SOCKETS


def test_a_pool_without_listeners_gets_one_open_request() -> None:
    assert divide_pools(0, 0, {"p": 1.0, "q": 1.0}, {}, {})["p"].max_open_requests == 1


def run_window(admission: WeightedAdmission, used: float, **requested: int) -> dict[str, int]:
    """Run one window of requests; return how many of each pool were admitted."""
    admitted = {name: sum(admission.admit(name) for _ in range(count)) for name, count in requested.items()}
    admission.end_window(used)
    return admitted


def test_all_requests_are_admitted_below_saturation() -> None:
    admission = WeightedAdmission({"a": 1.0, "b": 1.0})
    for _ in range(5):
        assert run_window(admission, SATURATED_UTILIZATION - 0.01, a=900, b=100) == {"a": 900, "b": 100}


def test_a_flooding_pool_is_limited_to_what_the_other_pool_leaves() -> None:
    admission = WeightedAdmission({"a": 1.0, "b": 1.0})
    run_window(admission, 1.0, a=900, b=100)
    admitted = run_window(admission, 1.0, a=5000, b=100)
    assert admitted["b"] == 100 and admitted["a"] == 900  # all that b leaves unused
    admitted = run_window(admission, 1.0, a=5000, b=450)
    assert admitted["b"] == 450


def test_two_flooding_pools_divide_by_weight_what_the_others_leave() -> None:
    admission = WeightedAdmission({"a": 3.0, "b": 1.0, "c": 1.0})
    run_window(admission, 1.0, a=600, b=300, c=100)
    assert run_window(admission, 1.0, a=5000, b=5000, c=100) == {"a": 675, "b": 225, "c": 100}


def test_limits_end_when_utilization_falls() -> None:
    admission = WeightedAdmission({"a": 1.0, "b": 1.0})
    run_window(admission, 1.0, a=900, b=100)
    run_window(admission, 0.5, a=900, b=100)
    assert run_window(admission, 0.5, a=5000, b=1) == {"a": 5000, "b": 1}


def test_a_single_pool_is_never_limited() -> None:
    admission = WeightedAdmission({"a": 1.0})
    run_window(admission, 1.0, a=100)
    assert run_window(admission, 1.0, a=1000) == {"a": 1000}


@pytest.mark.parametrize("weights", [{"a": 1.0, "b": 1.0}, {"a": 5.0, "b": 0.1, "c": 2.0}])
def test_pools_within_their_shares_keep_being_admitted(weights: dict[str, float]) -> None:
    admission = WeightedAdmission(weights)
    total = sum(weights.values())
    requested = {name: int(1000 * weight / total) for name, weight in weights.items()}
    run_window(admission, 1.0, **requested)
    assert run_window(admission, 1.0, **{name: count * 2 for name, count in requested.items()})


def test_a_pool_added_by_a_reload_is_admitted() -> None:
    assert WeightedAdmission({"a": 1.0}).admit("new")


def test_a_pool_is_not_limited_in_favour_of_a_pool_without_requests() -> None:
    admission = WeightedAdmission({"a": 1.0, "b": 1.0})
    run_window(admission, 1.0, a=900, b=0)
    assert run_window(admission, 1.0, a=1300, b=0) == {"a": 1300, "b": 0}
