"""Converts first-match rules into routes, of which the most specific one wins. No I/O.

httpd checks its ProxyPass lines in order, mod_jk its mounts by kind and length. In this proxy the longest path wins
(routes.py). A rule that an earlier rule covers completely is unreachable and makes no route. Where two rules overlap
in part, a route is added for the overlap, so that each request gets the rule that it would have got there.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any, Sequence

#: Most rules of one host, and most suffix rules among them.
MAX_RULES, MAX_SUFFIX_RULES = 50_000, 200


class RuleKind(enum.Enum):
    """Tells which paths a rule matches, where P is its path without a trailing slash. The values go into the report."""

    TREE = "P and what is below it"
    UNDER = "what is below P, P/ among it"
    SUFFIX = "what is below P and ends so"
    EXACT = "P alone"


@dataclass(frozen=True, slots=True)
class Rule:
    """Maps paths to a target, or to no proxying where `target` is None.

    `path` is "/" or has no trailing slash. `suffix` is set only for rules of kind SUFFIX.
    """

    kind: RuleKind
    path: str
    target: Any
    suffix: str = ""


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Holds the match conditions and the target of a route: `path`, or `prefix` with an optional `suffix`."""

    target: Any  # None: requests to this route are not proxied
    path: str | None = None
    prefix: str | None = None
    suffix: str | None = None


def is_below(path: str, ancestor: str) -> bool:
    """Tell whether a path lies strictly below another one."""
    return path != ancestor and (ancestor == "/" or path.startswith(ancestor + "/"))


def covers(covering: Rule, covered: Rule) -> bool:
    """Tell whether the first rule matches every request that the second one matches."""
    inside = is_below(covered.path, covering.path)
    if covering.kind == RuleKind.EXACT:
        return covered.kind == RuleKind.EXACT and covering.path == covered.path
    if covering.kind == RuleKind.SUFFIX:
        if covered.kind == RuleKind.EXACT:
            return inside and covered.path.endswith(covering.suffix)
        same_suffix = covered.kind == RuleKind.SUFFIX and covered.suffix.endswith(covering.suffix)
        return same_suffix and (inside or covering.path == covered.path)
    if covering.kind == RuleKind.UNDER:
        return inside or (covering.path == covered.path and covered.kind in (RuleKind.UNDER, RuleKind.SUFFIX))
    return inside or covering.path == covered.path


def matches(rule: Rule, path: str) -> bool:
    return covers(rule, Rule(RuleKind.EXACT, path, None))


class TooManyError(ValueError):
    """Raised when a host has more rules than MAX_RULES or MAX_SUFFIX_RULES."""


def arrange(rules: Sequence[Rule]) -> tuple[list[RouteMatch], list[Rule]]:
    """Return routes equivalent to the ordered rules, and the rules that are unreachable.

    Raises TooManyError past MAX_RULES or MAX_SUFFIX_RULES, which bound the work: it grows with their product."""
    if len(rules) > MAX_RULES or sum(rule.kind == RuleKind.SUFFIX for rule in rules) > MAX_SUFFIX_RULES:
        raise TooManyError(f"more than {MAX_RULES} rules, or {MAX_SUFFIX_RULES} by suffix, for one host")
    reachable: list[Rule] = []
    unreachable: list[Rule] = []
    index = _RuleIndex()
    for rule in rules:
        if index.first_covering(rule) is not None:
            unreachable.append(rule)
        else:
            reachable.append(rule)
            index.add(len(reachable), rule)
    return _build_routes(reachable, index), unreachable


class _RuleIndex:
    """Indexes rules by path: a search for a covering rule checks only the paths above it and the suffix rules."""

    def __init__(self) -> None:
        self.by_path: dict[str, list[tuple[int, Rule]]] = {}
        self.suffix_rules: list[tuple[int, Rule]] = []

    def add(self, rank: int, rule: Rule) -> None:
        if rule.kind == RuleKind.SUFFIX:
            self.suffix_rules.append((rank, rule))
        else:
            self.by_path.setdefault(rule.path, []).append((rank, rule))

    def first_covering(self, rule: Rule) -> Rule | None:
        """Return the first rule, in the order of addition, that covers this one completely."""
        candidates = [pair for pair in self.suffix_rules if covers(pair[1], rule)]
        above = rule.path
        while True:
            candidates += [pair for pair in self.by_path.get(above, ()) if covers(pair[1], rule)]
            if above == "/":
                break
            above = above.rpartition("/")[0] or "/"
        return min(candidates, key=lambda pair: pair[0])[1] if candidates else None


def _build_routes(reachable: Sequence[Rule], index: _RuleIndex) -> list[RouteMatch]:
    routes: dict[tuple[str | None, str | None, str | None], RouteMatch] = {}

    def add_route(route: RouteMatch) -> None:
        routes.setdefault((route.path, route.prefix, route.suffix), route)  # the first rule in order wins

    for rank, rule in enumerate(reachable, 1):
        if rule.kind == RuleKind.EXACT:
            add_route(RouteMatch(rule.target, path=rule.path))
        elif rule.kind == RuleKind.SUFFIX:
            add_route(RouteMatch(rule.target, prefix=rule.path, suffix=rule.suffix))
        elif (None, rule.path, None) not in routes:  # otherwise an earlier rule matches the whole subtree
            add_route(RouteMatch(rule.target, prefix=rule.path))
            for (
                earlier_rank,
                suffix_rule,
            ) in index.suffix_rules:  # earlier suffix rules keep their part of this tree
                if earlier_rank < rank and (
                    is_below(rule.path, suffix_rule.path) or rule.path == suffix_rule.path
                ):
                    add_route(RouteMatch(suffix_rule.target, prefix=rule.path, suffix=suffix_rule.suffix))
    for rule in reachable:
        needs_exact_route = rule.kind == RuleKind.UNDER or (
            rule.kind == RuleKind.SUFFIX and rule.path.endswith(rule.suffix)
        )
        if needs_exact_route and rule.path != "/":
            # A prefix route also matches its own path, which this rule does not match: that path belongs to the next
            # rule that matches it, or to none.
            first = index.first_covering(Rule(RuleKind.EXACT, rule.path, None))
            add_route(RouteMatch(first.target if first is not None else None, path=rule.path))
    return list(routes.values())
