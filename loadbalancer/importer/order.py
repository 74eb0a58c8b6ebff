"""Rules of which the first that matches counts, as routes of which the most specific counts. Pure.

httpd goes through its ProxyPass lines in order; mod_jk through its mounts by kind and length. Here the longest path
wins (routes.py). What an earlier rule covers whole is never reached and makes no route; where two overlap in part, a
route is added for the part, so that each request takes the rule that it would have taken there.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any, Sequence

#: Rules for one host, and those by ending among them.
RULES_MOST, ENDINGS_MOST = 50_000, 200


class Kind(enum.Enum):
    """Which paths a rule takes, by its path P without a slash at its end."""

    TREE = "P and what is below it"
    UNDER = "what is below P, P/ among it"
    ENDS = "what is below P and ends so"
    EXACT = "P alone"


@dataclass(frozen=True, slots=True)
class Rule:
    """`path`: "/" or without a slash at its end. `what`: what the rule leads to, None for none."""

    kind: Kind
    path: str
    what: Any
    ending: str = ""


@dataclass(frozen=True, slots=True)
class Placed:
    """A route: one of `path` and `prefix`, the latter with a suffix or not."""

    what: Any  # None: no rule takes it
    path: str | None = None
    prefix: str | None = None
    suffix: str | None = None


def below(path: str, of: str) -> bool:
    """Whether a path lies strictly below another."""
    return path != of and (of == "/" or path.startswith(of + "/"))


def covers(one: Rule, two: Rule) -> bool:
    """Whether every request that the second takes, the first takes as well."""
    inside = below(two.path, one.path)
    if one.kind == Kind.EXACT:
        return two.kind == Kind.EXACT and one.path == two.path
    if one.kind == Kind.ENDS:
        if two.kind == Kind.EXACT:
            return inside and two.path.endswith(one.ending)
        same = two.kind == Kind.ENDS and two.ending.endswith(one.ending)
        return same and (inside or one.path == two.path)
    if one.kind == Kind.UNDER:
        return inside or (one.path == two.path and two.kind in (Kind.UNDER, Kind.ENDS))
    return inside or one.path == two.path


def takes(rule: Rule, path: str) -> bool:
    return covers(rule, Rule(Kind.EXACT, path, None))


class TooManyError(ValueError):
    """More rules than are worked out."""


def arrange(rules: Sequence[Rule]) -> tuple[list[Placed], list[Rule]]:
    """Routes that do what the rules do in their order, and the rules that are never reached.

    TooManyError past RULES_MOST or ENDINGS_MOST, which bound the work: it grows with their product."""
    if len(rules) > RULES_MOST or sum(rule.kind == Kind.ENDS for rule in rules) > ENDINGS_MOST:
        raise TooManyError(f"more than {RULES_MOST} rules, or {ENDINGS_MOST} by ending, for one host")
    live: list[Rule] = []
    dead: list[Rule] = []
    known = _Known()
    for rule in rules:
        if known.first_over(rule) is not None:
            dead.append(rule)
        else:
            live.append(rule)
            known.add(len(live), rule)
    return _place(live, known), dead


class _Known:
    """The rules so far, by their paths: what covers a rule is found by looking at the paths above it."""

    def __init__(self) -> None:
        self.at: dict[str, list[tuple[int, Rule]]] = {}
        self.endings: list[tuple[int, Rule]] = []

    def add(self, number: int, rule: Rule) -> None:
        if rule.kind == Kind.ENDS:
            self.endings.append((number, rule))
        else:
            self.at.setdefault(rule.path, []).append((number, rule))

    def first_over(self, rule: Rule) -> Rule | None:
        """The first rule that covers this one whole."""
        found = [pair for pair in self.endings if covers(pair[1], rule)]
        above = rule.path
        while True:
            found += [pair for pair in self.at.get(above, ()) if covers(pair[1], rule)]
            if above == "/":
                break
            above = above.rpartition("/")[0] or "/"
        return min(found, key=lambda pair: pair[0])[1] if found else None


def _place(live: Sequence[Rule], known: _Known) -> list[Placed]:
    placed: dict[tuple[str | None, str | None, str | None], Placed] = {}

    def put(one: Placed) -> None:
        placed.setdefault((one.path, one.prefix, one.suffix), one)  # the first in order counts

    for number, rule in enumerate(live, 1):
        if rule.kind == Kind.EXACT:
            put(Placed(rule.what, path=rule.path))
        elif rule.kind == Kind.ENDS:
            put(Placed(rule.what, prefix=rule.path, suffix=rule.ending))
        elif (None, rule.path, None) not in placed:  # else an earlier rule has all below its path already
            put(Placed(rule.what, prefix=rule.path))
            for before, ending in known.endings:  # an earlier ending above keeps its part of this tree
                if before < number and (below(rule.path, ending.path) or rule.path == ending.path):
                    put(Placed(ending.what, prefix=rule.path, suffix=ending.ending))
    for rule in live:
        own = rule.kind == Kind.UNDER or (rule.kind == Kind.ENDS and rule.path.endswith(rule.ending))
        if own and rule.path != "/":
            # A prefix takes its own path too, which this rule does not: that is the next one's, or nobody's.
            first = known.first_over(Rule(Kind.EXACT, rule.path, None))
            put(Placed(first.what if first is not None else None, path=rule.path))
    return list(placed.values())
