"""What the policy does with settings, lists and reports that make no sense."""

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


def started(*entries: EndpointEntry, proxies: int = 40) -> Balancer:
    balancer = Balancer(PolicySettings((CLASS,), instance_count=proxies), seed=1)
    balancer.handle(100.0, [EndpointList(entries)])
    return balancer


def served(balancer: Balancer, begin: float, count: int, util: float = 0.5) -> dict[str, int]:
    """Requests served by each endpoint, twenty a second from `begin` on."""
    got: dict[str, int] = {}
    for n in range(count):
        now = begin + n / 20
        request = int(now * 1000)
        for action in balancer.handle(now, [Request(request, 0, 1.5)]):
            if isinstance(action, Send):
                got[action.endpoint] = got.get(action.endpoint, 0) + 1
                report = {"utilization": util}
                balancer.handle(
                    now + 0.01,
                    [Outcome(request, 0, action.endpoint, AttemptResult.SERVED, 0.01, True, report)],
                )
    return got


@pytest.mark.parametrize("proxies", [0, -1])
def test_no_proxies_is_an_error_that_names_the_setting(proxies: int) -> None:
    with pytest.raises(ValueError, match="n_instances"):
        PolicySettings((CLASS,), instance_count=proxies)


def test_an_absurd_number_of_proxies_serves_like_any_other() -> None:
    balancer = started(EndpointEntry("a"), EndpointEntry("b"), proxies=10**9)
    assert sum(served(balancer, 101.0, 100).values()) == 100


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_an_odd_weight_passes_no_server_over(weight: float) -> None:
    got = served(started(EndpointEntry("a", weight=weight), EndpointEntry("b")), 101.0, 200)
    assert sum(got.values()) == 200 and got["a"] > 40


@pytest.mark.parametrize("util", [math.nan, math.inf, -1.0])
def test_a_report_that_is_no_utilization_changes_nothing(util: float) -> None:
    balancer = started(EndpointEntry("a"), EndpointEntry("b"))
    assert min(served(balancer, 101.0, 200, util).values()) > 40
    assert all(server.utilization == 0.0 for server in balancer.ready)


def test_a_server_that_starts_in_the_future_is_cold_and_still_gets_some() -> None:
    got = served(started(EndpointEntry("a", started=1e6), EndpointEntry("b"), EndpointEntry("c")), 101.0, 400)
    assert 0 < got["a"] < got["b"]


def test_a_list_that_names_a_server_twice_has_it_once_as_named_last() -> None:
    balancer = started(EndpointEntry("a", weight=3.0), EndpointEntry("b"), EndpointEntry("a"))
    assert [server.id for server in balancer.ready] == ["a", "b"]
    assert balancer.endpoints["a"].size == 1.0


def test_a_list_that_drops_all_refuses_at_once_and_the_next_one_serves() -> None:
    balancer = started(EndpointEntry("a"))
    balancer.handle(101.0, [EndpointList(())])
    assert any(isinstance(a, Reject) for a in balancer.handle(101.0, [Request(1, 0, 1.5)]))
    balancer.handle(102.0, [EndpointList((EndpointEntry("a"),))])
    assert served(balancer, 102.0, 20) == {"a": 20}


def test_before_its_first_list_a_proxy_refuses_and_from_then_on_it_serves() -> None:
    balancer = Balancer(PolicySettings((CLASS,), instance_count=40), seed=1)
    for n in range(100):
        assert any(isinstance(a, Reject) for a in balancer.handle(100.0 + n / 20, [Request(n, 0, 1.5)]))
    balancer.handle(105.0, [EndpointList((EndpointEntry("a"), EndpointEntry("b")))])
    assert sum(served(balancer, 105.0, 100).values()) == 100
