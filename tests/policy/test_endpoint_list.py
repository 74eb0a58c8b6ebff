"""Tests of endpoint lists, polls and cordons."""

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


def poll_intervals_after(failures: int, elapsed: float, busy: bool) -> list[float]:
    """Return the interval of each of 60 proxies after the last of `failures` failed polls of `elapsed` seconds each."""
    intervals = []
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
        intervals.append(timer.delay)
    return intervals


@pytest.mark.parametrize("elapsed", [0.0, 1.0, 2.85])
def test_a_failed_poll_is_retried_in_time_however_often_it_failed(elapsed: float) -> None:
    """The list has to arrive within 6 s of the service being reachable again: a poll that hangs until then, the
    interval, and a poll that waits in the queue have to fit. The proxies must not all poll at once either."""
    for failures in (2, 8):
        intervals = poll_intervals_after(failures, elapsed, False)
        assert (
            elapsed + max(intervals) + endpoint_list.MAX_QUEUE_TIME_S
            <= endpoint_list.NOTIFIED_WITHIN_S + 1e-6
        )
        assert min(intervals) < max(intervals) / 3 and max(intervals) > 1.0
        middle = (min(intervals) + max(intervals)) / 2
        assert 0.25 < sum(interval > middle for interval in intervals) / len(intervals) < 0.75


def test_polls_that_fail_in_the_queue_are_retried_with_backoff() -> None:
    means = [sum(poll_intervals_after(failures, 2.0, True)) / 60 for failures in (1, 2, 3, 4, 9)]
    assert means[0] < 1.2 and means[1] > 1.6 * means[0] and means[2] > 1.6 * means[1]
    assert means[3] > 3.5 and means[4] == pytest.approx(means[3], rel=0.15)


def test_an_uncordoned_endpoint_warms_up_unless_its_start_is_known_and_is_tried_at_once() -> None:
    for started, is_warming in ((0.0, True), (103.0, False)):
        balancer = make_balancer(*make_entries(6))
        balancer.handle(101.0, [Cordon("s0", True)])
        assert {sent_to(balancer, 102.0, n) for n in range(60)} == {f"s{n}" for n in range(1, 6)}
        balancer.handle(103.5, [EndpointList((EndpointEntry("s0", started=started),), complete=False)])
        assert all(sent_to(balancer, 104.0, 100 + n) != "s0" for n in range(60))
        balancer.handle(105.0, [Cordon("s0", False), Cordon("s0", False)])
        assert (balancer.endpoints["s0"].warm_started_at == 105.0) == is_warming
        assert sent_to(balancer, 105.0, 200) == "s0"  # and once a second until it answers
        assert sent_to(balancer, 105.1, 201) != "s0" or is_warming is False
        end_attempt(balancer, 105.2, 200, "s0")
        assert not balancer.registry.uncordoned_due


def test_an_endpoint_stays_cordoned_when_a_list_removes_and_adds_it_again() -> None:
    balancer = make_balancer(*make_entries(3))
    balancer.handle(101.0, [Cordon("s0", True), EndpointList((EndpointEntry("s1"), EndpointEntry("s2")))])
    assert "s0" not in balancer.endpoints
    balancer.handle(102.0, [EndpointList(tuple(make_entries(3)))])
    assert {sent_to(balancer, 103.0, n) for n in range(60)} == {"s1", "s2"} and balancer.avoids("s0")
