"""Tests that all proxies together overload no member that warms up, from its first request on. The policies of a whole
fleet run in virtual time, and every window of the rules is checked."""

from __future__ import annotations

import pytest
from policy_scene import replace_members

from loadbalancer.policy.slow_start import SlowStart


@pytest.mark.parametrize("overload_factor", [1.6, 2.5, 4.0])
@pytest.mark.parametrize(
    ("proxy_count", "initial_capacity", "replaced_share", "restarted_share", "seed"),
    [
        (2, 0.15, 0.6, 0.0, 1),
        (2, 0.4, 1.0, 0.0, 2),
        (25, 0.15, 0.6, 0.7, 1),
        (25, 0.4, 0.6, 0.0, 2),
        (25, 0.15, 1.0, 0.0, 3),
        (200, 0.15, 0.6, 0.0, 1),
        (200, 0.15, 0.6, 0.7, 2),
        (400, 0.4, 1.0, 0.0, 3),
    ],
)
def test_no_warming_member_is_overloaded_by_all_proxies_together(
    overload_factor: float,
    proxy_count: int,
    initial_capacity: float,
    replaced_share: float,
    restarted_share: float,
    seed: int,
) -> None:
    new_members = replace_members(
        proxy_count, overload_factor, initial_capacity, replaced_share, restarted_share, seed
    )
    assert max(member.over_budget() for member in new_members) <= 0
    assert sum(len(member.given) for member in new_members) > len(new_members)  # they do get requests


def test_simultaneous_first_requests_of_all_proxies_overload_a_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeds a defect that the test above must detect: without a random start in the gap, each proxy sends a request as
    soon as it learns of a start."""
    monkeypatch.setattr(SlowStart, "start_pacing", lambda self, endpoint, now: None)
    new_members = replace_members(200, 2.5, 0.15, 0.6, 0.0, 1)
    assert max(member.over_budget() for member in new_members) > 0
