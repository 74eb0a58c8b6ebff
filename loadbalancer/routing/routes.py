"""Routes: which rule a request falls under. Pure: no I/O and no clock; compiled once, then only read.

The order, from what counts most: the host (exact, then the longest `*.suffix`, then any); the path, segment by
segment from the left (a literal before a `*`, a longer rule before a shorter one, a whole path before a prefix);
the number of headers asked for; methods named before any method. The first route in this order that matches wins,
so a request that no rule of its host takes falls to the rules of a wider host. Two rules between which this order
can't decide are an error when they are compiled.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Callable, Iterator, Mapping, Sequence

from loadbalancer.routing.targets import TargetError, normal_path, split

#: A whole name, or `*.` and a suffix of whole labels, or any host.
HOST = re.compile(r"\*|(?:\*\.)?[a-z0-9\-_]+(?:\.[a-z0-9\-_]+)*|\[[0-9a-f:.]+\]")
METHOD = re.compile(r"[A-Z][A-Z\-]*")
#: A segment that stands for any one segment.
ANY = re.compile(r"\*|\{[A-Za-z_][A-Za-z0-9_]*\}")

#: Value of a header of the request by its name in lower case, None where it is missing.
Headers = Callable[[str], "str | None"]


@dataclass(frozen=True, slots=True)
class Rule:
    """What a request must be to fall under a route.

    One of `path` (all of it), `prefix` (whole segments: `/api` takes `/api` and `/api/x`, not `/apix`) and `pattern`
    (segments, of which `*` or `{name}` stands for any one, and a last `**` for any rest). `headers` by name in lower
    case, a value of None asks only that it is there. `suffix`: the last segment ends so, such as `.jsp`; beside a
    rule of the same path without one, it comes first, and a longer one before a shorter."""

    name: str
    host: str = "*"
    path: str | None = None
    prefix: str | None = None
    pattern: str | None = None
    methods: frozenset[str] = frozenset()
    headers: Mapping[str, str | None] = field(default_factory=dict)
    suffix: str | None = None

    def fits(self, segments: Sequence[str]) -> bool:
        """Whether a path that fits by its segments ends as the rule asks."""
        return self.suffix is None or bool(segments) and segments[-1].endswith(self.suffix)

    def takes(self, method: str, headers: Headers) -> str | None:
        """Why a request whose host and path fit does not fall under the rule; None if it does."""
        if self.methods and method not in self.methods:
            return f"the method {method} is not among {', '.join(sorted(self.methods))}"
        for name, wanted in self.headers.items():
            value = headers(name)
            if value is None:
                return f"the header {name} is missing"
            if wanted is not None and value.strip() != wanted:
                return f"the header {name} is not {wanted!r}"
        return None


class RuleError(ValueError):
    """A rule that can't be compiled. `key`: the key of the rule that is wrong."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(why)
        self.key = key


class ConflictError(ValueError):
    """Two rules that one request could fall under, with nothing to say which is the more specific."""


class _Node:
    """A segment of the rules' paths."""

    __slots__ = ("literal", "any", "whole", "rest")

    def __init__(self) -> None:
        self.literal: dict[str, _Node] = {}
        self.any: _Node | None = None
        self.whole: list[Rule] = []  # the path ends here
        self.rest: list[Rule] = []  # whatever follows

    def walk(self, segments: Sequence[str], at: int = 0) -> Iterator[Rule]:
        """The rules whose paths fit, the most specific first."""
        if at == len(segments):
            yield from self.whole
        else:
            after = self.literal.get(segments[at])
            if after is not None:
                yield from after.walk(segments, at + 1)
            if self.any is not None and segments[at]:
                yield from self.any.walk(segments, at + 1)
        yield from self.rest


def _segments(rule: Rule) -> tuple[list[str], bool]:
    """Segments of a rule's path, and whether any rest may follow; RuleError where they are no path."""
    given = {k: v for k in ("path", "prefix", "pattern") if (v := getattr(rule, k)) is not None}
    if len(given) != 1:
        raise RuleError("path", "one of path, prefix and pattern is wanted")
    ((key, text),) = given.items()
    rest = key == "prefix"
    if key == "pattern" and (text == "/**" or text.endswith("/**")):
        text, rest = text[:-3] or "/", True
    if rest and text != "/":
        text = text.rstrip("/") or "/"
    plain = (
        "/".join("x" if ANY.fullmatch(part) else part for part in text.split("/"))
        if key == "pattern"
        else text
    )
    try:
        normal = normal_path(plain)
    except TargetError as problem:
        raise RuleError(key, f"{text!r}: {problem}") from None
    if normal != plain:
        raise RuleError(key, f"{text!r} is never matched as it stands; write {normal!r}")
    if key == "pattern" and "**" in text.split("/"):
        raise RuleError(key, f"{text!r}: ** may stand at the end alone")
    return split(text), rest


def _rank(rule: Rule) -> tuple[int, int, bool]:
    return -len(rule.suffix or ""), -len(rule.headers), not rule.methods


def _collide(one: Rule, two: Rule) -> bool:
    if _rank(one) != _rank(two):
        return False
    if one.suffix != two.suffix:
        return False
    if one.methods and two.methods and not one.methods & two.methods:
        return False
    shared = one.headers.keys() & two.headers.keys()
    return all(
        one.headers[k] is None or two.headers[k] is None or one.headers[k] == two.headers[k] for k in shared
    )


class Routes:
    """A compiled table of rules."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        """RuleError for the first rule that is none, ConflictError for the first two that collide."""
        self._exact: dict[str, _Node] = {}
        self._suffix: dict[str, _Node] = {}
        self._any_host = _Node()
        self.headers: set[str] = set()  # that any rule asks for
        for rule in rules:
            self.add(rule)

    def add(self, rule: Rule) -> None:
        """RuleError where it is none, ConflictError where it collides with one that is there; then nothing changes."""
        check_rule(rule)
        segments, rest = _segments(rule)
        node = self._host(rule.host)
        for segment in segments:
            if rule.pattern is not None and ANY.fullmatch(segment):
                node.any = node.any or _Node()
                node = node.any
            else:
                node = node.literal.setdefault(segment, _Node())
        place = node.rest if rest else node.whole
        for other in place:
            if _collide(rule, other):
                raise ConflictError(
                    f"routes {other.name!r} and {rule.name!r} take the same requests; give one of them another "
                    f"host, path or method, or a header more"
                )
        place.append(rule)
        self.headers |= rule.headers.keys()
        place.sort(key=_rank)

    def _host(self, host: str) -> _Node:
        if host == "*":
            return self._any_host
        if host.startswith("*."):
            return self._suffix.setdefault(host[2:], _Node())
        return self._exact.setdefault(host, _Node())

    def _hosts(self, host: str) -> Iterator[_Node]:
        """The tables that a host falls under, the most specific first."""
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
        """The rules whose host and path fit, in order."""
        for node in self._hosts(host):
            yield from (rule for rule in node.walk(segments) if rule.fits(segments))

    def find(self, host: str, segments: Sequence[str], method: str, headers: Headers) -> Rule | None:
        """The rule that a request falls under. `host` in lower case, `segments` of a path in its one form."""
        for rule in self.candidates(host, segments):
            if rule.takes(method, headers) is None:
                return rule
        return None

    def explain(
        self, host: str, segments: Sequence[str], method: str, headers: Headers
    ) -> tuple[Rule | None, list[tuple[Rule, str]]]:
        """The rule that a request falls under, and those before it that fit by host and path, each with why not."""
        passed: list[tuple[Rule, str]] = []
        for rule in self.candidates(host, segments):
            why = rule.takes(method, headers)
            if why is None:
                return rule, passed
            passed.append((rule, why))
        return None, passed


def check_rule(rule: Rule) -> None:
    """RuleError where a host, a path or a method is none."""
    if not HOST.fullmatch(rule.host):
        raise RuleError("host", f"{rule.host!r} is neither a host in lower case, nor *.suffix, nor *")
    for method in sorted(rule.methods):
        if not METHOD.fullmatch(method):
            raise RuleError("methods", f"{method!r} is no method; methods are in upper case")
    if rule.suffix is not None and (not rule.suffix or "/" in rule.suffix or rule.path is not None):
        raise RuleError(
            "suffix", f"{rule.suffix!r}: an ending without slashes is wanted, beside prefix or pattern"
        )
    _segments(rule)
