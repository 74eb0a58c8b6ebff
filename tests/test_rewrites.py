"""Rewriting of paths, answers and cookies, routes by suffix, and sticky sessions."""

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


def test_docstring_examples_of_rewrites_pass() -> None:
    assert doctest.testmod(rewrites).failed == 0


@pytest.mark.parametrize(
    "path, prefix, to, new",
    [("/a", "/a", "/b", "/b"), ("/a/", "/a", "/b", "/b/"), ("/a/x", "/a", "/", "/x"), ("/x", "/", "/b", "/b/x"),
     ("/", "/", "/b", "/b/"), ("/a/", "/a", "/b/", "/b/")],
)  # fmt: skip
def test_swap_prefix_replaces_whole_segments(path: str, prefix: str, to: str, new: str) -> None:
    assert swap_prefix(path, prefix, to) == new


REWRITES = Rewrites(
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
def test_answer_urls_and_cookies_are_mapped_back_for_clients(line: bytes, new: bytes) -> None:
    assert REWRITES.rewrite_headers([line + b"\r\n"], b"http://h") == [new + b"\r\n"]


def test_a_suffix_takes_precedence_over_the_same_path_but_not_over_a_longer_path() -> None:
    routes = Routes(
        [
            Rule("all", prefix="/"),
            Rule("gif", prefix="/", suffix=".gif"),
            Rule("b.gif", prefix="/", suffix="b.gif"),
            Rule("in", prefix="/in"),
        ]
    )

    def find(path: str) -> str:
        rule = routes.find("h", path[1:].split("/"), "GET", lambda name: None)
        assert rule is not None
        return rule.name

    assert [find(path) for path in ("/x", "/x.gif", "/y/b.gif", "/in/x.gif")] == ["all", "gif", "b.gif", "in"]
    for invalid in ("", "/x"):
        with pytest.raises(RuleError, match="an ending without slashes"):
            check_rule(Rule("x", prefix="/", suffix=invalid))


# Sessions.


def send_sticky(balancer: Balancer, number: int, member: str, **fields: Any) -> str | None:
    """Send a request with a session on `member`; return the endpoint that it goes to, if any."""
    actions = balancer.handle(
        101.0 + number / 100, [Request(number, 0, 4.0, sticky_endpoint=member, **fields)]
    )
    return next((action.endpoint for action in actions if isinstance(action, Send)), None)


def test_a_session_goes_to_the_redirect_of_its_member_while_that_drains() -> None:
    balancer = make_warm_balancer(
        EndpointEntry("a", redirect="b"), EndpointEntry("b", redirect="a"), EndpointEntry("c")
    )
    assert send_sticky(balancer, 1, "a") == "a"
    balancer.handle(
        102.0,
        [EndpointList((EndpointEntry("a", redirect="b", state=EndpointState.DRAINING),), complete=False)],
    )
    assert {send_sticky(balancer, n, "a") for n in range(2, 30)} == {"b"}


def test_a_session_of_a_domain_goes_only_to_members_of_the_domain() -> None:
    balancer = make_warm_balancer(
        EndpointEntry("a", domain="d"), EndpointEntry("b", domain="d"), EndpointEntry("c", domain="e")
    )
    assert {send_sticky(balancer, n, "@d") for n in range(40)} == {"a", "b"}
    balancer.handle(103.0, [EndpointList((EndpointEntry("a", domain="d"), EndpointEntry("c", domain="e")))])
    assert {send_sticky(balancer, n, "@d") for n in range(300, 330)} == {"a"}


def test_a_bound_session_is_rejected_if_its_member_drains_and_is_balanced_if_its_member_is_unknown() -> None:
    balancer = make_warm_balancer(EndpointEntry("a"), EndpointEntry("b"))
    balancer.handle(
        102.0, [EndpointList((EndpointEntry("a", state=EndpointState.DRAINING),), complete=False)]
    )
    actions = balancer.handle(103.0, [Request(900, 0, 4.0, sticky_endpoint="a", sticky_required=True)])
    assert Reject(900) in actions and not any(isinstance(action, Send) for action in actions)
    assert send_sticky(balancer, 301, "a") == "b"
    assert send_sticky(balancer, 302, "nobody", sticky_required=True) == "b"


def test_sessions_of_a_stopped_member_map_to_its_redirect() -> None:
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
def test_find_session_returns_the_member_name(
    at: Any, prefer: Any, cookies: bytes, path: str, name: str | None
) -> None:
    sticky = StickyTable(cookie="S", path_parameter="s", separator=".", separator_at=at, prefer=prefer)
    assert find_session(sticky, cookies, path) == name
