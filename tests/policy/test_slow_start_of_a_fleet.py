"""No cold member is pushed over by what all proxies send together, from the very first call: the real decisions of a
whole fleet in virtual time, over every window of the rules."""

from __future__ import annotations

import pytest
from policy_scene import replace_members

from loadbalancer.policy.slow_start import SlowStart


@pytest.mark.parametrize("factor", [1.6, 2.5, 4.0])
@pytest.mark.parametrize(
    ("proxies", "cold_from", "part", "restarted", "seed"),
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
def test_no_cold_member_falls_under_the_sum_of_all(
    factor: float, proxies: int, cold_from: float, part: float, restarted: float, seed: int
) -> None:
    new = replace_members(proxies, factor, cold_from, part, restarted, seed)
    assert max(member.over_budget() for member in new) <= 0
    assert sum(len(member.received_work) for member in new) > len(new)  # they do get requests


def test_a_first_request_of_every_proxy_at_once_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The seeded defect: without its random place in the gap each proxy sends one as soon as it hears of a start."""
    monkeypatch.setattr(SlowStart, "begin", lambda self, endpoint, now: None)
    new = replace_members(200, 2.5, 0.15, 0.6, 0.0, 1)
    assert max(member.over_budget() for member in new) > 0
