"""Matching of requests against route rules, and normalization of request targets."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.routing.routes import ConflictError, Routes, Rule, RuleError
from loadbalancer.routing.targets import MAX_SEGMENTS, TargetError, normal_path, read_target, split


def no_header(name: str) -> None:
    """Look up a header in a request without headers."""
    return None


def find(rules: list[Rule], host: str, path: str, method: str = "GET", **headers: str) -> str | None:
    rule = Routes(rules).find(host, split(path), method, headers.get)
    return rule.name if rule else None


RULES = [
    Rule("any", prefix="/"),
    Rule("api", prefix="/api"),
    Rule("exact", path="/api/orders"),
    Rule("one", pattern="/api/{depot}"),
    Rule("deep", pattern="/api/*/pallets/**"),
    Rule("post", prefix="/api", methods=frozenset(("POST",))),
    Rule("flag", prefix="/api", headers={"x-depot": "bkk"}),
    Rule("flagged", prefix="/api", headers={"x-depot": None, "x-night": None}),
    Rule("suffix", host="*.svc.test", prefix="/"),
    Rule("longer", host="*.b.svc.test", prefix="/"),
    Rule("host", host="a.svc.test", prefix="/only"),
]


@pytest.mark.parametrize(
    "host, path, method, headers, name",
    [
        ("x", "/", "GET", {}, "any"),
        ("x", "/apix", "GET", {}, "any"),
        ("x", "/api", "GET", {}, "api"),
        ("x", "/api/", "GET", {}, "api"),
        ("x", "/api/orders", "GET", {}, "exact"),
        ("x", "/api/orders/", "GET", {}, "api"),
        ("x", "/api/other", "GET", {}, "one"),
        ("x", "/api/a/b", "GET", {}, "api"),
        ("x", "/api/a/pallets", "GET", {}, "deep"),
        ("x", "/api/a/pallets/7/x", "GET", {}, "deep"),
        ("x", "/api/a/b", "POST", {}, "post"),
        ("x", "/api/a/b", "POST", {"x-depot": "bkk"}, "flag"),
        ("x", "/api/a/b", "GET", {"x-depot": "other"}, "api"),
        ("x", "/api/a/b", "GET", {"x-depot": "bkk", "x-night": ""}, "flagged"),
        ("a.svc.test", "/only/x", "GET", {}, "host"),
        ("a.svc.test", "/else", "GET", {}, "suffix"),  # no rule of the exact host matches
        ("c.b.svc.test", "/", "GET", {}, "longer"),
        ("b.svc.test", "/", "GET", {}, "suffix"),
        ("svc.test", "/", "GET", {}, "any"),  # a *.suffix matches only hosts with more labels
        ("xsvc.test", "/", "GET", {}, "any"),
    ],
)  # fmt: skip
def test_the_most_specific_rule_wins(
    host: str, path: str, method: str, headers: dict[str, str], name: str
) -> None:
    for seed in range(5):  # independent of the order of the rules
        rules = random.Random(seed).sample(RULES, len(RULES))
        rule = Routes(rules).find(host, split(path), method, headers.get)
        assert rule is not None and rule.name == name


def test_find_returns_none_if_no_rule_matches() -> None:
    assert find([Rule("a", path="/a")], "x", "/b") is None
    assert find([Rule("a", path="/a")], "x", "/a/") is None
    assert find([Rule("a", host="h", prefix="/")], "x", "/") is None
    assert find([], "x", "/") is None


def test_matching_backtracks_from_a_literal_to_a_wildcard() -> None:
    rules = [Rule("literal", path="/a/x/1"), Rule("wild", pattern="/a/*/2"), Rule("rest", pattern="/**")]
    assert find(rules, "h", "/a/x/2") == "wild"
    assert find(rules, "h", "/a/x/3") == "rest"
    assert find(rules, "h", "/a//2") == "rest"  # a wildcard does not match an empty segment


@pytest.mark.parametrize(
    "one, two",
    [
        ({"prefix": "/a"}, {"prefix": "/a/"}),
        ({"path": "/a"}, {"pattern": "/a"}),
        ({"pattern": "/{x}/b"}, {"pattern": "/*/b"}),
        ({"prefix": "/a"}, {"pattern": "/a/**"}),
        ({"path": "/", "methods": frozenset(("GET", "PUT"))}, {"path": "/", "methods": frozenset(("PUT",))}),
        ({"path": "/", "headers": {"a": "1"}}, {"path": "/", "headers": {"b": "1"}}),
        ({"path": "/", "headers": {"a": "1"}}, {"path": "/", "headers": {"a": None}}),
        ({"path": "/", "host": "h"}, {"path": "/", "host": "h"}),
    ],
)
def test_rules_of_equal_precedence_that_overlap_are_a_conflict(
    one: dict[str, Any], two: dict[str, Any]
) -> None:
    with pytest.raises(ConflictError, match="'one' and 'two'"):
        Routes([Rule("one", **one), Rule("two", **two)])


@pytest.mark.parametrize(
    "one, two",
    [
        ({"path": "/a"}, {"prefix": "/a"}),
        ({"path": "/", "methods": frozenset(("GET",))}, {"path": "/", "methods": frozenset(("PUT",))}),
        ({"path": "/", "headers": {"a": "1"}}, {"path": "/", "headers": {"a": "2"}}),
        ({"path": "/", "host": "h"}, {"path": "/", "host": "i"}),
        ({"path": "/"}, {"path": "/", "headers": {"a": "2"}}),
    ],
)
def test_rules_that_differ_in_precedence_or_do_not_overlap_are_accepted(
    one: dict[str, Any], two: dict[str, Any]
) -> None:
    Routes([Rule("one", **one), Rule("two", **two)])


@pytest.mark.parametrize(
    "rule, key",
    [
        (Rule("r"), "path"),
        (Rule("r", path="/a", prefix="/b"), "path"),
        (Rule("r", path="a"), "path"),
        (Rule("r", path="/a/../b"), "path"),
        (Rule("r", path="/a//b"), "path"),
        (Rule("r", path="/%61"), "path"),
        (Rule("r", path="/a?b"), "path"),
        (Rule("r", pattern="/**/a"), "pattern"),
        (Rule("r", host="UPPER", path="/"), "host"),
        (Rule("r", host="a.*", path="/"), "host"),
        (Rule("r", methods=frozenset(("get",)), path="/"), "methods"),
    ],
)
def test_an_invalid_rule_raises_an_error_with_its_key(rule: Rule, key: str) -> None:
    with pytest.raises(RuleError) as raised:
        Routes([rule])
    assert raised.value.key == key


def test_explain_returns_the_match_and_the_rules_passed_over_with_reasons() -> None:
    routes = Routes(
        [
            Rule("p", path="/", methods=frozenset(("PUT",))),
            Rule("h", path="/", headers={"a": "1"}),
            Rule("v", path="/", headers={"a": "2"}),
            Rule("any", prefix="/"),
        ]
    )
    rule, mismatches = routes.explain("h", [], "GET", {"a": "2"}.get)
    assert (
        rule is not None
        and rule.name == "v"
        and [(skipped.name, reason) for skipped, reason in mismatches] == [("h", "the header a is not '1'")]
    )
    rule, mismatches = routes.explain("h", [], "GET", no_header)
    assert rule is not None and rule.name == "any"
    assert [reason for _, reason in mismatches][-1] == "the method GET is not among PUT"


# Targets.


@pytest.mark.parametrize(
    "path, normal",
    [
        ("/", "/"), ("//", "/"), ("/a//b", "/a/b"), ("/a/./b", "/a/b"), ("/a/../b", "/b"), ("/a/..", "/"),
        ("/a/b/..", "/a/"), ("/a/.", "/a/"), ("/%61pi", "/api"), ("/%2e%2E/a", None), ("/a/%2e%2e/b", "/b"),
        ("/a%2fb", None), ("/a%5cb", None), ("/..", None), ("/a/../../b", None), ("/%", None), ("/%zz", None),
        ("/%00", None), ("/a%0d%0ab", None), ("/a b", None), ("/a\\b", None), ("a", None), ("/é", None),
        ("/a%c3%a9", "/a%C3%A9"), ("/a;v=1/b", "/a;v=1/b"), ("/a" * (MAX_SEGMENTS + 1), None),
        ("/.well-known/x", "/.well-known/x"), ("/a/...", "/a/..."), ("///a", "/a"), ("/a///", "/a/"),
    ],
)  # fmt: skip
def test_normal_path_normalizes_or_rejects(path: str, normal: str | None) -> None:
    if normal is None:
        with pytest.raises(TargetError):
            normal_path(path)
    else:
        assert normal_path(path) == normal
        assert normal_path(normal) == normal


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.text("/.ab%2eEfF5cC;", max_size=24).map(lambda text: "/" + text))
def test_normalization_is_idempotent_and_leaves_no_dot_segments(path: str) -> None:
    try:
        normal = normal_path(path)
    except TargetError:
        return
    assert normal_path(normal) == normal
    assert not {"..", ".", ""} & set(split(normal)[:-1]) and not set(split(normal)[-1:]) & {".", ".."}
    assert "%2F" not in normal.upper() and "%5C" not in normal.upper() and "%2E" not in normal.upper()


def test_encoded_slashes_stay_encoded_if_they_are_allowed() -> None:
    assert normal_path("/a%2fb", keep_encoded_slashes=True) == "/a%2Fb"


def test_the_absolute_form_overrides_the_host_header() -> None:
    target = read_target("http://Other.test:81/a/../b?x=%2f", "mine.test")
    assert target == ("other.test", "Other.test:81", "/b", "?x=%2f")
    assert read_target("http://h", "x") == ("h", "h", "/", "")
    assert read_target("http://h?q", "x") == ("h", "h", "/", "?q")
    assert read_target("/a", "H.Test.:80") == ("h.test", "H.Test.:80", "/a", "")
    assert read_target("/", "[::1]:8")[0] == "[::1]"


@pytest.mark.parametrize(
    "url, host",
    [("*", "h"), ("h:443", "h"), ("ftp://h/a", "h"), ("/a", None), ("/a", ""), ("/a", "a b"), ("/a", "h:99999"),
     ("/a", "u@h"), ("http://u@h/", "h"), ("http:///a", "h"), ("/a#b", "h"), ("/a?b c", "h"), ("/a", "h,i")],
)  # fmt: skip
def test_a_malformed_target_raises_target_error(url: str, host: str | None) -> None:
    with pytest.raises(TargetError):
        read_target(url, host)
