"""What a route rewrites on the way in and out, and routes by ending."""

from __future__ import annotations

import doctest
from typing import Any

import pytest
from policy_scene import make_warm_balancer

from loadbalancer.config.types import MemberTable, StickyTable
from loadbalancer.discovery.entry_conversion import session_names
from loadbalancer.frontends.routed_http import find_session
from loadbalancer.policy.actions import (
    Reject,
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointList,
    EndpointState,
    Request,
)
from loadbalancer.routing import rewrites
from loadbalancer.routing.rewrites import HeaderRewrite, Rewrites, swap_prefix
from loadbalancer.routing.routes import Routes, Rule, RuleError, check_rule


def test_the_examples_in_the_docstrings_hold() -> None:
    assert doctest.testmod(rewrites).failed == 0


@pytest.mark.parametrize(
    "path, prefix, to, new",
    [("/a", "/a", "/b", "/b"), ("/a/", "/a", "/b", "/b/"), ("/a/x", "/a", "/", "/x"), ("/x", "/", "/b", "/b/x"),
     ("/", "/", "/b", "/b/"), ("/a/", "/a", "/b/", "/b/")],
)  # fmt: skip
def test_prefix_to_prefix(path: str, prefix: str, to: str, new: str) -> None:
    assert swap_prefix(path, prefix, to) == new


BACK = Rewrites(
    "/shop", "/v2", (HeaderRewrite(b"http://10.0.0.1:80/v2", b"/shop"), HeaderRewrite(b"/v2/", b"/shop/")),
    (HeaderRewrite(b"/v2", b"/shop"),), (HeaderRewrite(b"inner", b"outer.test"),),
)  # fmt: skip


@pytest.mark.parametrize(
    "line, new",
    [
        (b"Location: http://10.0.0.1:80/v2/x?y", b"Location: http://h/shop/x?y"),
        (b"location: http://10.0.0.1:80/v2", b"location: http://h/shop"),
        (b"Location: http://10.0.0.1:80/v22", b"Location: http://10.0.0.1:80/v22"),
        (b"Content-Location: /v2/x", b"Content-Location: /shop/x"),
        (b"Location: https://else.test/v2/", b"Location: https://else.test/v2/"),
        (b"Set-Cookie: a=/v2; Path=/v2/x; HttpOnly", b"Set-Cookie: a=/v2; Path=/shop/x; HttpOnly"),
        (b"Set-Cookie: a=b; domain=INNER", b"Set-Cookie: a=b; domain=outer.test"),
        (b"X-Other: http://10.0.0.1:80/v2/", b"X-Other: http://10.0.0.1:80/v2/"),
    ],
)
def test_answers_name_what_clients_can_reach(line: bytes, new: bytes) -> None:
    assert BACK.answer([line + b"\r\n"], b"http://h") == [new + b"\r\n"]


def test_routes_by_ending_stand_above_those_of_the_same_path_and_below_longer_ones() -> None:
    routes = Routes(
        [
            Rule("all", prefix="/"),
            Rule("gif", prefix="/", suffix=".gif"),
            Rule("b.gif", prefix="/", suffix="b.gif"),
            Rule("in", prefix="/in"),
        ]
    )

    def find(path: str) -> str:
        found = routes.find("h", path[1:].split("/"), "GET", lambda name: None)
        assert found is not None
        return found.name

    assert [find(p) for p in ("/x", "/x.gif", "/y/b.gif", "/in/x.gif")] == ["all", "gif", "b.gif", "in"]
    for bad in ("", "/x"):
        with pytest.raises(RuleError, match="an ending without slashes"):
            check_rule(Rule("x", prefix="/", suffix=bad))


# Sessions.


def sends(b: Balancer, number: int, member: str, **more: Any) -> str | None:
    actions = b.handle(101.0 + number / 100, [Request(number, 0, 4.0, sticky_endpoint=member, **more)])
    return next((a.endpoint for a in actions if isinstance(a, Send)), None)


def test_a_session_goes_to_where_its_server_redirects_it() -> None:
    b = make_warm_balancer(
        EndpointEntry("a", redirect="b"), EndpointEntry("b", redirect="a"), EndpointEntry("c")
    )
    assert sends(b, 1, "a") == "a"
    b.handle(
        102.0,
        [EndpointList((EndpointEntry("a", redirect="b", state=EndpointState.DRAINING),), complete=False)],
    )
    assert {sends(b, n, "a") for n in range(2, 30)} == {"b"}


def test_a_session_of_a_domain_goes_to_any_of_its_servers_and_nowhere_else() -> None:
    b = make_warm_balancer(
        EndpointEntry("a", domain="d"), EndpointEntry("b", domain="d"), EndpointEntry("c", domain="e")
    )
    assert {sends(b, n, "@d") for n in range(40)} == {"a", "b"}
    b.handle(103.0, [EndpointList((EndpointEntry("a", domain="d"), EndpointEntry("c", domain="e")))])
    assert {sends(b, n, "@d") for n in range(300, 330)} == {"a"}


def test_a_bound_session_is_refused_and_not_moved_and_one_of_nobody_is_drawn() -> None:
    b = make_warm_balancer(EndpointEntry("a"), EndpointEntry("b"))
    b.handle(102.0, [EndpointList((EndpointEntry("a", state=EndpointState.DRAINING),), complete=False)])
    actions = b.handle(103.0, [Request(900, 0, 4.0, sticky_endpoint="a", sticky_required=True)])
    assert Reject(900) in actions and not any(isinstance(a, Send) for a in actions)
    assert sends(b, 301, "a") == "b"
    assert sends(b, 302, "nobody", sticky_required=True) == "b"


def test_a_stopped_members_sessions_have_its_redirect() -> None:
    members = [
        MemberTable(id="a", address="x", state="stopped", redirect="d", route="r"),
        MemberTable(id="b", address="y", domain="d"),
        MemberTable(id="c", address="z", state="stopped"),
    ]
    assert session_names(members) == {"d": "@d", "b": "b", "r": "@d"}


@pytest.mark.parametrize(
    "at, prefer, cookies, path, name",
    [
        ("first", "cookie", b"S=1.x.a", "/", "x.a"), ("last", "cookie", b"S=1.x.a", "/", "a"),
        ("first", "path", b"S=1.a", "/p;s=2.b", "b"), ("first", "cookie", b"S=1.a", "/p;s=2.b", "a"),
        ("first", "path", b"S=1.a", "/p", "a"), ("first", "path", b"", "/p;s=none", None),
    ],
)  # fmt: skip
def test_the_name_in_a_session(at: Any, prefer: Any, cookies: bytes, path: str, name: str | None) -> None:
    sticky = StickyTable(cookie="S", path_parameter="s", separator=".", separator_at=at, prefer=prefer)
    assert find_session(sticky, cookies, path) == name
