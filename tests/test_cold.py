"""No cold member is pushed over by what all proxies send together, from the very first call: the real decisions of a
whole fleet in virtual time, over every window of the rules."""

from __future__ import annotations

import pytest
from fleetscene import WORK_S, Member, Scene

from loadbalancer.policy.settings import SafetyRules
from loadbalancer.policy.slow_start import SlowStart

MEMBERS, LOAD = 16, 0.7


def replaced(
    proxies: int, factor: float, cold_from: float, part: float, restarted: float, seed: int
) -> list[Member]:
    """Part of the members is replaced in one moment, part of the proxies restarted in the same."""
    rules = SafetyRules(
        slow_start_capacity=cold_from,
        slow_start_duration=6.0,
        overload_factor=factor,
        overload_duration=3.0,
        drain_grace=2.0,
    )
    speeds = sum(0.6 if n % 5 in (1, 3) else 0.97 for n in range(MEMBERS))
    scene = Scene(proxies, MEMBERS, LOAD * speeds / (sum(WORK_S) / 2), seed, rules=rules)
    scene.tell_list()
    scene.run(6.0)
    new = []
    for old in list(scene.members.values())[: int(part * MEMBERS)]:
        old.fall()
        new.append(scene.add(f"{old.name}-new", old.speed, old.kind, old.zone, scene.now))
    for number in range(int(restarted * proxies)):
        scene.restart(number)
    scene.tell_list()
    scene.run(rules.slow_start_duration)
    return new


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
    new = replaced(proxies, factor, cold_from, part, restarted, seed)
    assert max(member.over_budget() for member in new) <= 0
    assert sum(len(member.given) for member in new) > len(new)  # they do get requests


def test_a_first_request_of_every_proxy_at_once_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The seeded defect: without its random place in the gap each proxy sends one as soon as it hears of a start."""
    monkeypatch.setattr(SlowStart, "begin", lambda self, endpoint, now: None)
    new = replaced(200, 2.5, 0.15, 0.6, 0.0, 1)
    assert max(member.over_budget() for member in new) > 0
