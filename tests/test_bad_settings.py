"""What the module does with settings, lists and reports that make no sense."""

from __future__ import annotations

import math

import pytest

from loadbalancer.policy.actions import (
    Refuse,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    Outcome,
    Request,
    Result,
    ServerEntry,
    ServerList,
)
from loadbalancer.policy.settings import (
    RequestClass,
    Settings,
)

CLASS = RequestClass("track", aim=0.6, give_up=1.5)


def started(*entries: ServerEntry, proxies: int = 40) -> Balancer:
    balancer = Balancer(Settings((CLASS,), n_instances=proxies), seed=1)
    balancer.handle(100.0, [ServerList(entries)])
    return balancer


def served(balancer: Balancer, begin: float, count: int, util: float = 0.5) -> dict[str, int]:
    """Requests served by each server, twenty a second from `begin` on."""
    got: dict[str, int] = {}
    for n in range(count):
        now = begin + n / 20
        request = int(now * 1000)
        for action in balancer.handle(now, [Request(request, 0, 1.5)]):
            if isinstance(action, Send):
                got[action.server] = got.get(action.server, 0) + 1
                report = {"utilization": util}
                balancer.handle(
                    now + 0.01, [Outcome(request, 0, action.server, Result.SERVED, 0.01, True, report)]
                )
    return got


@pytest.mark.parametrize("proxies", [0, -1])
def test_no_proxies_is_an_error_that_names_the_setting(proxies: int) -> None:
    with pytest.raises(ValueError, match="n_instances"):
        Settings((CLASS,), n_instances=proxies)


def test_an_absurd_number_of_proxies_serves_like_any_other() -> None:
    balancer = started(ServerEntry("a"), ServerEntry("b"), proxies=10**9)
    assert sum(served(balancer, 101.0, 100).values()) == 100


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_an_odd_weight_passes_no_server_over(weight: float) -> None:
    got = served(started(ServerEntry("a", weight=weight), ServerEntry("b")), 101.0, 200)
    assert sum(got.values()) == 200 and got["a"] > 40


@pytest.mark.parametrize("util", [math.nan, math.inf, -1.0])
def test_a_report_that_is_no_utilization_changes_nothing(util: float) -> None:
    balancer = started(ServerEntry("a"), ServerEntry("b"))
    assert min(served(balancer, 101.0, 200, util).values()) > 40
    assert all(server.util == 0.0 for server in balancer.ready)


def test_a_server_that_starts_in_the_future_is_cold_and_still_gets_some() -> None:
    got = served(started(ServerEntry("a", started=1e6), ServerEntry("b"), ServerEntry("c")), 101.0, 400)
    assert 0 < got["a"] < got["b"]


def test_a_list_that_names_a_server_twice_has_it_once_as_named_last() -> None:
    balancer = started(ServerEntry("a", weight=3.0), ServerEntry("b"), ServerEntry("a"))
    assert [server.id for server in balancer.ready] == ["a", "b"]
    assert balancer.servers["a"].size == 1.0


def test_a_list_that_drops_all_refuses_at_once_and_the_next_one_serves() -> None:
    balancer = started(ServerEntry("a"))
    balancer.handle(101.0, [ServerList(())])
    assert any(isinstance(a, Refuse) for a in balancer.handle(101.0, [Request(1, 0, 1.5)]))
    balancer.handle(102.0, [ServerList((ServerEntry("a"),))])
    assert served(balancer, 102.0, 20) == {"a": 20}


def test_before_its_first_list_a_proxy_refuses_and_from_then_on_it_serves() -> None:
    balancer = Balancer(Settings((CLASS,), n_instances=40), seed=1)
    for n in range(100):
        assert any(isinstance(a, Refuse) for a in balancer.handle(100.0 + n / 20, [Request(n, 0, 1.5)]))
    balancer.handle(105.0, [ServerList((ServerEntry("a"), ServerEntry("b")))])
    assert sum(served(balancer, 105.0, 100).values()) == 100
