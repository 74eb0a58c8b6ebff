"""Matching of requests against the rules of routes. Pure: no I/O and no clock; compiled once, then only read.

The criteria of precedence, most significant first: the host (exact, then the longest `*.suffix`, then any); the path,
segment by segment from the left (a literal before a `*`, a longer rule before a shorter one, a whole path before a
prefix); the length of the suffix of the last segment; the number of headers; a list of methods before any method. The
first rule in this order that matches wins, so a request that matches no rule of its host is matched against the rules
of less specific hosts. Compiling two rules fails if one request can match both and neither has precedence.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Callable, Iterator, Mapping, Sequence

from loadbalancer.routing.targets import TargetError, normal_path, split

#: An exact host name, `*.` and a suffix of whole labels, `*` for any host, or an IPv6 literal.
HOST = re.compile(r"\*|(?:\*\.)?[a-z0-9\-_]+(?:\.[a-z0-9\-_]+)*|\[[0-9a-f:.]+\]")
METHOD = re.compile(r"[A-Z][A-Z\-]*")
#: A wildcard, which matches exactly one segment.
WILDCARD = re.compile(r"\*|\{[A-Za-z_][A-Za-z0-9_]*\}")

#: Looks up a request header by its name in lower case; None if it is missing.
Headers = Callable[[str], "str | None"]


@dataclass(frozen=True, slots=True)
class Rule:
    """The conditions that a request must meet to match a route.

    Exactly one of these is set: `path` (the whole path), `prefix` (whole segments: `/api` matches `/api` and `/api/x`,
    not `/apix`) or `pattern` (segments; `*` or `{name}` matches any one segment, and a trailing `**` any remaining
    ones). `headers` maps names in lower case to values; None requires only that the header is present. `suffix`, such
    as `.jsp`, is the required ending of the last segment. Between rules with the same path, a longer suffix takes
    precedence over a shorter one, and any suffix over none.
    """

    name: str
    host: str = "*"
    path: str | None = None
    prefix: str | None = None
    pattern: str | None = None
    methods: frozenset[str] = frozenset()
    headers: Mapping[str, str | None] = field(default_factory=dict)
    suffix: str | None = None

    def matches_suffix(self, segments: Sequence[str]) -> bool:
        """Return whether the last segment has the required suffix; True if the rule has none."""
        return self.suffix is None or bool(segments) and segments[-1].endswith(self.suffix)

    def mismatch(self, method: str, headers: Headers) -> str | None:
        """Return why a request with a matching host and path does not match the rule; None if it does match."""
        if self.methods and method not in self.methods:
            return f"the method {method} is not among {', '.join(sorted(self.methods))}"
        for name, expected in self.headers.items():
            value = headers(name)
            if value is None:
                return f"the header {name} is missing"
            if expected is not None and value.strip() != expected:
                return f"the header {name} is not {expected!r}"
        return None


class RuleError(ValueError):
    """Raised for a rule that can't be compiled; `key` is the setting of the rule that is invalid."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(reason)
        self.key = key


class ConflictError(ValueError):
    """Raised for two rules that one request can match and that are equally specific."""


class _Node:
    """A node of the tree of path segments; holds the rules whose path ends at this segment."""

    __slots__ = ("literal", "wildcard", "exact_rules", "prefix_rules")

    def __init__(self) -> None:
        self.literal: dict[str, _Node] = {}
        self.wildcard: _Node | None = None
        self.exact_rules: list[Rule] = []  # the request's path must end here
        self.prefix_rules: list[Rule] = []  # any further segments may follow

    def walk(self, segments: Sequence[str], depth: int = 0) -> Iterator[Rule]:
        """Yield the rules whose paths match, the most specific first."""
        if depth == len(segments):
            yield from self.exact_rules
        else:
            child = self.literal.get(segments[depth])
            if child is not None:
                yield from child.walk(segments, depth + 1)
            if self.wildcard is not None and segments[depth]:
                yield from self.wildcard.walk(segments, depth + 1)
        yield from self.prefix_rules


def _parse_path(rule: Rule) -> tuple[list[str], bool]:
    """Return the segments of a rule's path and whether more may follow; raise RuleError if the path is invalid."""
    paths = {key: value for key in ("path", "prefix", "pattern") if (value := getattr(rule, key)) is not None}
    if len(paths) != 1:
        raise RuleError(
            "path", f"exactly one of path, prefix and pattern must be set, got {', '.join(paths) or 'none'}"
        )
    ((key, text),) = paths.items()
    is_prefix = key == "prefix"
    if key == "pattern" and (text == "/**" or text.endswith("/**")):
        text, is_prefix = text[:-3] or "/", True
    if is_prefix and text != "/":
        text = text.rstrip("/") or "/"
    without_wildcards = (
        "/".join("x" if WILDCARD.fullmatch(part) else part for part in text.split("/"))
        if key == "pattern"
        else text
    )
    try:
        normal = normal_path(without_wildcards)
    except TargetError as problem:
        raise RuleError(key, f"{text!r}: {problem}") from None
    if normal != without_wildcards:
        raise RuleError(key, f"{text!r} never matches, since it is not in normal form; write {normal!r}")
    if key == "pattern" and "**" in text.split("/"):
        raise RuleError(key, f"{text!r}: ** is allowed only as the last segment")
    return split(text), is_prefix


def _precedence(rule: Rule) -> tuple[int, int, bool]:
    """Return the sort key of rules with the same host and path."""
    return -len(rule.suffix or ""), -len(rule.headers), not rule.methods


def _conflict(one: Rule, two: Rule) -> bool:
    """Return whether a request can match both rules, which have the same host and path, with equal precedence."""
    if _precedence(one) != _precedence(two):
        return False
    if one.suffix != two.suffix:
        return False
    if one.methods and two.methods and not one.methods & two.methods:
        return False
    shared = one.headers.keys() & two.headers.keys()
    return all(
        one.headers[name] is None or two.headers[name] is None or one.headers[name] == two.headers[name]
        for name in shared
    )


class Routes:
    """A compiled table of rules."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        """Compile rules; raises RuleError for the first invalid rule, ConflictError for the first two that conflict."""
        self._exact: dict[str, _Node] = {}
        self._suffix: dict[str, _Node] = {}
        self._any_host = _Node()
        self.headers: set[str] = set()  # names that any rule refers to
        for rule in rules:
            self.add(rule)

    def add(self, rule: Rule) -> None:
        """Add a rule; raises RuleError if it is invalid, ConflictError if it conflicts with a rule of the table.

        After an error the table matches as before.
        """
        check_rule(rule)
        segments, is_prefix = _parse_path(rule)
        node = self._tree_for(rule.host)
        for segment in segments:
            if rule.pattern is not None and WILDCARD.fullmatch(segment):
                node.wildcard = node.wildcard or _Node()
                node = node.wildcard
            else:
                node = node.literal.setdefault(segment, _Node())
        siblings = node.prefix_rules if is_prefix else node.exact_rules
        for other in siblings:
            if _conflict(rule, other):
                raise ConflictError(
                    f"routes {other.name!r} and {rule.name!r} match the same requests with equal precedence; give one "
                    f"of them another host, path or method, or an additional header"
                )
        siblings.append(rule)
        self.headers |= rule.headers.keys()
        siblings.sort(key=_precedence)

    def _tree_for(self, host: str) -> _Node:
        """Return the tree of the rules with this host setting, creating it if it is missing."""
        if host == "*":
            return self._any_host
        if host.startswith("*."):
            return self._suffix.setdefault(host[2:], _Node())
        return self._exact.setdefault(host, _Node())

    def _matching_trees(self, host: str) -> Iterator[_Node]:
        """Yield the trees whose host setting matches a host, the most specific first."""
        if (node := self._exact.get(host)) is not None:
            yield node
        if self._suffix:
            rest = host
            while "." in rest:
                rest = rest.partition(".")[2]
                if (node := self._suffix.get(rest)) is not None:
                    yield node
        yield self._any_host

    def candidates(self, host: str, segments: Sequence[str]) -> Iterator[Rule]:
        """Yield the rules whose host and path match, in order of precedence."""
        for node in self._matching_trees(host):
            yield from (rule for rule in node.walk(segments) if rule.matches_suffix(segments))

    def find(self, host: str, segments: Sequence[str], method: str, headers: Headers) -> Rule | None:
        """Return the rule that a request matches; `host` is in lower case, `segments` are of a path in normal form."""
        for rule in self.candidates(host, segments):
            if rule.mismatch(method, headers) is None:
                return rule
        return None

    def explain(
        self, host: str, segments: Sequence[str], method: str, headers: Headers
    ) -> tuple[Rule | None, list[tuple[Rule, str]]]:
        """Return the rule that a request matches, and each rule passed over before it with the reason."""
        mismatches: list[tuple[Rule, str]] = []
        for rule in self.candidates(host, segments):
            reason = rule.mismatch(method, headers)
            if reason is None:
                return rule, mismatches
            mismatches.append((rule, reason))
        return None, mismatches


def check_rule(rule: Rule) -> None:
    """Raise RuleError if the host, a method, the suffix or the path of a rule is invalid."""
    if not HOST.fullmatch(rule.host):
        raise RuleError("host", f"expected a host in lower case, *.suffix or *, got {rule.host!r}")
    for method in sorted(rule.methods):
        if not METHOD.fullmatch(method):
            raise RuleError("methods", f"expected a method in upper case, got {method!r}")
    if rule.suffix is not None and (not rule.suffix or "/" in rule.suffix or rule.path is not None):
        raise RuleError(
            "suffix",
            f"expected an ending without slashes, together with prefix or pattern, got {rule.suffix!r}",
        )
    _parse_path(rule)
