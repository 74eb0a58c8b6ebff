"""Tests of invalid or extreme settings, endpoint lists and reports."""

from __future__ import annotations

import math

import pytest

from loadbalancer.policy.actions import (
    Reject,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    Outcome,
    Request,
)
from loadbalancer.policy.settings import (
    PolicySettings,
    RequestClass,
)

CLASS = RequestClass("track", latency_objective=0.6, client_timeout=1.5)


def make_balancer(*entries: EndpointEntry, instance_count: int = 40) -> Balancer:
    """Return a balancer at time 100 that has received a list of the endpoints."""
    balancer = Balancer(PolicySettings((CLASS,), instance_count=instance_count), seed=1)
    balancer.handle(100.0, [EndpointList(entries)])
    return balancer


def count_served(balancer: Balancer, start: float, count: int, util: float = 0.5) -> dict[str, int]:
    """Send `count` requests, twenty a second from `start` on; return how many each endpoint served."""
    counts: dict[str, int] = {}
    for n in range(count):
        now = start + n / 20
        request = int(now * 1000)
        for action in balancer.handle(now, [Request(request, 0, 1.5)]):
            if isinstance(action, Send):
                counts[action.endpoint] = counts.get(action.endpoint, 0) + 1
                report = {"utilization": util}
                balancer.handle(
                    now + 0.01,
                    [Outcome(request, 0, action.endpoint, AttemptResult.SERVED, 0.01, True, report)],
                )
    return counts


@pytest.mark.parametrize("instance_count", [0, -1])
def test_an_instance_count_below_one_is_an_error_that_names_the_setting(instance_count: int) -> None:
    with pytest.raises(ValueError, match="n_instances"):
        PolicySettings((CLASS,), instance_count=instance_count)


def test_all_requests_are_served_with_a_huge_instance_count() -> None:
    balancer = make_balancer(EndpointEntry("a"), EndpointEntry("b"), instance_count=10**9)
    assert sum(count_served(balancer, 101.0, 100).values()) == 100


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_an_endpoint_with_an_invalid_weight_is_still_selected(weight: float) -> None:
    counts = count_served(make_balancer(EndpointEntry("a", weight=weight), EndpointEntry("b")), 101.0, 200)
    assert sum(counts.values()) == 200 and counts["a"] > 40


@pytest.mark.parametrize("util", [math.nan, math.inf, -1.0])
def test_an_invalid_utilization_report_is_ignored(util: float) -> None:
    balancer = make_balancer(EndpointEntry("a"), EndpointEntry("b"))
    assert min(count_served(balancer, 101.0, 200, util).values()) > 40
    assert all(endpoint.utilization == 0.0 for endpoint in balancer.ready)


def test_an_endpoint_that_starts_in_the_future_gets_fewer_requests_but_some() -> None:
    counts = count_served(
        make_balancer(EndpointEntry("a", started=1e6), EndpointEntry("b"), EndpointEntry("c")), 101.0, 400
    )
    assert 0 < counts["a"] < counts["b"]


def test_the_last_entry_of_a_duplicate_endpoint_applies() -> None:
    balancer = make_balancer(EndpointEntry("a", weight=3.0), EndpointEntry("b"), EndpointEntry("a"))
    assert [endpoint.id for endpoint in balancer.ready] == ["a", "b"]
    assert balancer.endpoints["a"].size == 1.0


def test_requests_are_rejected_after_an_empty_list_until_the_next_list() -> None:
    balancer = make_balancer(EndpointEntry("a"))
    balancer.handle(101.0, [EndpointList(())])
    assert any(isinstance(a, Reject) for a in balancer.handle(101.0, [Request(1, 0, 1.5)]))
    balancer.handle(102.0, [EndpointList((EndpointEntry("a"),))])
    assert count_served(balancer, 102.0, 20) == {"a": 20}


def test_requests_are_rejected_until_the_first_list() -> None:
    balancer = Balancer(PolicySettings((CLASS,), instance_count=40), seed=1)
    for n in range(100):
        assert any(isinstance(a, Reject) for a in balancer.handle(100.0 + n / 20, [Request(n, 0, 1.5)]))
    balancer.handle(105.0, [EndpointList((EndpointEntry("a"), EndpointEntry("b")))])
    assert sum(count_served(balancer, 105.0, 100).values()) == 100
