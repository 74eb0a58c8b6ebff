"""Implementation of `micastand routes FILE URL`: finds the route of a request and explains the choice."""

from __future__ import annotations

import argparse
from typing import Iterator, Mapping

from loadbalancer.cli.errors import UsageError, load_or_report
from loadbalancer.config.plan import SAFE_METHODS, ListenerPlan, Plan, RoutePlan
from loadbalancer.config.reader import ConfigError, read_members_file
from loadbalancer.config.types import MemberTable, PoolTable
from loadbalancer.policy.settings import (
    RequestClass,
)
from loadbalancer.routing.targets import TargetError, read_target


def run(options: argparse.Namespace) -> int:
    headers = {}
    for header in options.header:
        name, colon, value = header.partition(":")
        if not colon or not name.strip():
            raise UsageError(f"-H {header!r}: expected NAME: VALUE")
        headers[name.strip().lower()] = value.strip()
    plan = load_or_report(options.file)
    if plan is None:
        return 1
    if options.listener is not None and options.listener not in plan.listeners:
        raise UsageError(
            f"there is no [[listener]] named {options.listener!r}; there are: {', '.join(plan.listeners)}"
        )
    try:
        found = False
        for name, listener in plan.listeners.items():
            if options.listener in (None, name):
                lines, matched = explain(plan, listener, options.method, options.url, headers)
                found = found or matched
                print("\n".join(lines))
    except TargetError as problem:
        raise UsageError(f"{options.url!r}: {problem}") from None
    return 0 if found else 1


def explain(
    plan: Plan, listener: ListenerPlan, method: str, url: str, headers: Mapping[str, str]
) -> tuple[list[str], bool]:
    """Return lines that describe what one listener does with a request, and whether a route matches."""
    target = read_target(url, headers.get("host", "unknown"), listener.table.encoded_slashes == "keep")
    lines = [f"listener {listener.table.name} ({listener.table.address})"]
    lines.append(f"  request   {method} {target.path}{target.query} of host {target.host}")
    rule, rejected = listener.routes.explain(target.host, target.segments, method, headers.get)
    for other, reason in rejected:
        lines.append(f"  not       route {other.name}: {reason}")
    if rule is None:
        lines.append("  answer    404: no route takes this request")
        return lines, False
    matched = rule.path or rule.pattern or f"{rule.prefix} and what is below it"
    lines.append(f"  route     {rule.name}: the most specific of host {rule.host} and path {matched}")
    route = plan.routes[rule.name]
    lines += [f"  {line}" for line in _destination(plan, route, method, headers)]
    return lines, True


def _destination(plan: Plan, route: RoutePlan, method: str, headers: Mapping[str, str]) -> Iterator[str]:
    if route.pool is None:
        yield f"answer    {route.status}, by the route; no member gets the request"
        return
    pool = plan.pools[route.pool].table
    if pool.dialect == "platform":
        yield f"pool      {pool.name}, dialect platform: the class is named by X-Lane"
    else:
        yield f"pool      {pool.name}, dialect http"
        key = route.classes.key_header
        number = route.classes.choose(method, key is not None and bool(headers.get(key)))
        yield f"class     {_describe_class(plan.classes[number], route)}; {_reason(method, key, headers)}"
    if route.sticky is not None:
        yield f"sticky    by {route.sticky.cookie or route.sticky.path_parameter}"
    yield from _members(plan, pool)


def _describe_class(cls: RequestClass, route: RoutePlan) -> str:
    deadline = cls.client_timeout if route.deadline is None else min(route.deadline, cls.client_timeout)
    return f"{cls.name}: {cls.effect.name.lower()}, aim {cls.latency_objective:g}s, deadline {deadline:g}s"


def _reason(method: str, key: str | None, headers: Mapping[str, str]) -> str:
    if method in SAFE_METHODS:
        return f"{method} is a safe method"
    if key is not None:
        return f"{key} is {'present' if headers.get(key) else 'missing'}"
    return "by the route"


def _members(plan: Plan, pool: PoolTable) -> Iterator[str]:
    if pool.discovery is not None:
        yield f"members   from discovery at {pool.discovery}"
        return
    members = pool.member
    if pool.members_file is not None:
        try:
            members = read_members_file(plan.path.parent / pool.members_file)
        except ConfigError as error:
            yield f"members   {error.problems[0]}"
            return
    sets: dict[tuple[bool, int], list[MemberTable]] = {}
    for member in members:
        if member.state in ("serving", "standby"):
            sets.setdefault((member.state == "standby", member.set), []).append(member)
    for number, (priority, group) in enumerate(sorted(sets.items())):
        when = "serves first" if number == 0 else "serves while no set before it has a usable member"
        names = ", ".join(f"{member.id} ({member.address}, weight {member.weight:g})" for member in group)
        yield f"members   {'standby ' if priority[0] else ''}set {priority[1]}, {when}: {names}"
    excluded = [
        f"{member.id} {member.state}" for member in members if member.state in ("draining", "stopped")
    ]
    if excluded:
        yield f"members   get no new requests: {', '.join(excluded)}"
