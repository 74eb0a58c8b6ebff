"""Endpoint lists, polls and cordons."""

from __future__ import annotations

from typing import cast

import pytest
from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy import endpoint_list
from loadbalancer.policy.actions import (
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.events import (
    Cordon,
    EndpointEntry,
    EndpointList,
    TimerFired,
)


def intervals_after(failures: int, elapsed: float, busy: bool) -> list[float]:
    """After the last of so many failed calls, each of which took so long; of 60 proxies."""
    waits = []
    for seed in range(60):
        balancer, now = (
            make_balancer(*make_entries(1), list_on_request=True, instance_count=40, seed=seed),
            100.0,
        )
        for _ in range(failures):
            timer = cast(SetTimer, balancer.handle(now, [EndpointList(failed=True, busy=busy)])[0])
            now += timer.delay
            assert balancer.handle(now, [TimerFired(timer.token)]) == [WatchEndpoints(True)]
            now += elapsed
        waits.append(timer.delay)
    return waits


@pytest.mark.parametrize("elapsed", [0.0, 1.0, 2.85])
def test_a_failed_poll_is_repeated_in_time_however_often_it_failed(elapsed: float) -> None:
    """What discovery has counts as told 6 s after it can be reached: a call that hangs until then, the wait, and a
    call in line have to fit. Nor do all come at once."""
    for failures in (2, 8):
        waits = intervals_after(failures, elapsed, False)
        assert elapsed + max(waits) + endpoint_list.MAX_QUEUE_TIME_S <= endpoint_list.NOTIFIED_WITHIN_S + 1e-6
        assert min(waits) < max(waits) / 3 and max(waits) > 1.0
        middle = (min(waits) + max(waits)) / 2
        assert 0.25 < sum(wait > middle for wait in waits) / len(waits) < 0.75


def test_polls_that_waited_in_line_in_vain_are_repeated_later_each_time() -> None:
    means = [sum(intervals_after(failures, 2.0, True)) / 60 for failures in (1, 2, 3, 4, 9)]
    assert means[0] < 1.2 and means[1] > 1.6 * means[0] and means[2] > 1.6 * means[1]
    assert means[3] > 3.5 and means[4] == pytest.approx(means[3], rel=0.15)


def test_an_uncordoned_endpoint_warms_up_unless_its_start_is_known_and_is_tried_at_once() -> None:
    for started, is_cold in ((0.0, True), (103.0, False)):
        balancer = make_balancer(*make_entries(6))
        balancer.handle(101.0, [Cordon("s0", True)])
        assert {sent_to(balancer, 102.0, n) for n in range(60)} == {f"s{n}" for n in range(1, 6)}
        balancer.handle(103.5, [EndpointList((EndpointEntry("s0", started=started),), complete=False)])
        assert all(sent_to(balancer, 104.0, 100 + n) != "s0" for n in range(60))
        balancer.handle(105.0, [Cordon("s0", False), Cordon("s0", False)])
        assert (balancer.endpoints["s0"].warm_started_at == 105.0) == is_cold
        assert sent_to(balancer, 105.0, 200) == "s0"  # and once a second until it answers
        assert sent_to(balancer, 105.1, 201) != "s0" or is_cold is False
        end_attempt(balancer, 105.2, 200, "s0")
        assert not balancer.registry.uncordoned_due


def test_a_cordoned_endpoint_stays_out_when_a_list_drops_it_and_brings_it_back() -> None:
    balancer = make_balancer(*make_entries(3))
    balancer.handle(101.0, [Cordon("s0", True), EndpointList((EndpointEntry("s1"), EndpointEntry("s2")))])
    assert "s0" not in balancer.endpoints
    balancer.handle(102.0, [EndpointList(tuple(make_entries(3)))])
    assert {sent_to(balancer, 103.0, n) for n in range(60)} == {"s1", "s2"} and balancer.avoids("s0")
