"""Defines and validates scenario files: TOML descriptions of a fleet, its clients and timed events.

Times are in seconds, written as numbers; speeds are relative to a standard core; work is in seconds of a standard core.
"""

from __future__ import annotations

import math
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated, Any, Literal, Mapping

import msgspec
from msgspec import Meta, Struct, structs

from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicyLimits,
    RequestClass,
    SafetyRules,
)

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
AtLeast0 = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}


class ScenarioError(ValueError):
    """Raised for an invalid scenario or experiment; the message names the place and what was expected."""


class ClassPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    share: Positive = 1.0  # of the requests, relative to the other classes
    aim: Positive
    deadline: Positive
    worth: AtLeast0 = 1.0
    late_share: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    dedup_window: AtLeast0 = 0.0
    work: Positive = 0.02  # mean, in seconds of a standard core
    spread: AtLeast0 = 0.55  # standard deviation of the logarithm of the work
    rest: AtLeast0 = 0.0  # seconds after the work for which the response is delayed without using a core


class ClientPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    rate: Positive  # new requests per second
    shape: list[tuple[float, float]] = []  # second and multiple of the rate, interpolated linearly
    steps: bool = False  # no interpolation: each multiple holds until the next one
    retries: Annotated[int, Meta(ge=0)] = 2
    wait: tuple[float, float] = (0.02, 0.1)  # before a retry without Retry-After
    honour: Share = 0.5  # share of clients that honour Retry-After
    repeat_failed: bool = True  # also retry after a failure, not only after a refusal


class MemberPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str = "m"
    count: Count = 1
    speed: Positive = 1.0
    spread: AtLeast0 = 0.0  # standard deviation of the logarithm of the members' speeds
    cores: Positive = 1.0
    workers: Count = 16  # requests processed concurrently; others wait
    backlog: Annotated[int, Meta(ge=0)] = (
        128  # requests that wait; further ones are rejected without having run
    )
    zones: tuple[str, ...] = ("a",)  # assigned to the members in turn
    weight: Positive = 1.0


class EventPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describes a timed event that affects matching members, for `last` seconds or permanently."""

    at: AtLeast0
    members: str = "*"  # a pattern of member names, or of class names if `what` is work
    zone: str | None = None
    share: Share = 1.0  # of the matching members, the first ones
    what: Literal[
        "slow", "pause", "errors", "silent", "stop", "restart", "drain", "restart_proxies", "rate", "work"
    ]
    factor: float = 4.0  # for slow, work, rate: a multiple; for errors: their share
    last: AtLeast0 = math.inf


class ProxyPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    count: Count = 1
    attempts: Count = 3
    second_copies: bool = False
    connect_timeout: Positive = 0.25
    retry_after: AtLeast0 = 2.0  # 0: refusals carry no Retry-After
    repeat_share: Share = 0.1
    handshake: AtLeast0 = 0.0008  # work of a new connection for the member
    idle: Annotated[int, Meta(ge=0)] = 6  # idle connections that each proxy keeps per member


class RulesPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    cold_from: Share = 0.3
    cold_time: AtLeast0 = 10.0
    overload_factor: Positive = 2.5
    fall_time: Positive = 2.0


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    seconds: Positive = 30.0
    ignore: AtLeast0 = 0.0  # seconds at the start that are left out of the figures
    class_: Annotated[list[ClassPart], Meta(min_length=1)] = msgspec.field(name="class")
    clients: ClientPart
    member: Annotated[list[MemberPart], Meta(min_length=1)]
    proxy: ProxyPart = ProxyPart()
    rules: RulesPart = RulesPart()
    event: list[EventPart] = []
    list_delay: tuple[float, float] = (0.05, 0.5)  # until a proxy receives a changed endpoint list
    report_each: Positive = 0.05  # seconds between a member's utilization measurements
    report_late: AtLeast0 = 0.02  # seconds until responses carry a measurement

    @property
    def capacity(self) -> float:
        """Requests per second that all members together can process when warm and healthy."""
        cores = sum(part.count * part.cores * part.speed for part in self.member)
        total = sum(cls.share for cls in self.class_)
        return cores / sum(cls.work * cls.share / total for cls in self.class_)


def read(path: Path, changes: Mapping[str, Any] | None = None) -> Scenario:
    """Read a scenario file, where `changes` replaces values by dotted keys; raise ScenarioError if it is invalid."""
    import tomllib

    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as problem:
        raise ScenarioError(f"{path}: {problem}") from None
    for key, value in (changes or {}).items():
        set_value(values, key, value)
    return build(values, str(path))


def set_value(values: Any, key: str, value: Any) -> None:
    """Set the value that a dotted key names, such as `clients.rate` or `member.0.speed`."""
    *parents, last = key.split(".")
    for word in parents:
        if isinstance(values, list):
            if not word.isdigit() or int(word) >= len(values):
                raise ScenarioError(f"{key}: {word!r} is not valid; expected an index below {len(values)}")
            values = values[int(word)]
        else:
            values = values.setdefault(word, {})
    if isinstance(values, list):
        values[int(last)] = value
    else:
        values[last] = value


def build(values: Any, source: str) -> Scenario:
    """Return the validated scenario; raise ScenarioError, which names `source`, if a value is invalid."""
    try:
        scenario = msgspec.convert(values, Scenario)
    except msgspec.ValidationError as problem:
        raise ScenarioError(f"{source}: {problem}") from None
    for cls in scenario.class_:
        if cls.aim > cls.deadline:
            raise ScenarioError(
                f"{source}: class {cls.name}: aim {cls.aim:g} is past the deadline {cls.deadline:g}"
            )
        if (cls.effect == "keyed") != (cls.dedup_window > 0):
            raise ScenarioError(
                f'{source}: class {cls.name}: a dedup_window over 0 is for effect = "keyed" and required there'
            )
    if scenario.ignore >= scenario.seconds:
        raise ScenarioError(
            f"{source}: ignore {scenario.ignore:g} leaves nothing of {scenario.seconds:g} seconds"
        )
    return scenario


def at_times(scenario: Scenario, multiple: float) -> Scenario:
    """Return the scenario with a request rate of `multiple` times its capacity."""
    return structs.replace(
        scenario, clients=structs.replace(scenario.clients, rate=multiple * scenario.capacity)
    )


def classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """Return the request classes as settings of the policy module."""
    return tuple(
        RequestClass(
            c.name,
            c.aim,
            c.deadline,
            c.worth,
            c.late_share,
            effect=EFFECTS[c.effect],
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=c.dedup_window,
        )
        for c in scenario.class_
    )


def limits(scenario: Scenario) -> PolicyLimits:
    """Return the limits as settings of the policy module."""
    part = scenario.proxy
    return PolicyLimits(
        max_attempts=part.attempts,
        hedging=part.second_copies,
        retry_after=part.retry_after > 0,
        max_retry_after=part.retry_after,
        connect_timeout=part.connect_timeout,
        retry_budget_ratio=part.repeat_share,
    )


def rules(scenario: Scenario) -> SafetyRules:
    """Return the safety rules as settings of the policy module."""
    part = scenario.rules
    return SafetyRules(
        slow_start_capacity=part.cold_from,
        slow_start_duration=part.cold_time,
        overload_factor=part.overload_factor,
        overload_duration=part.fall_time,
    )


def matching_members(event: EventPart, zones: Mapping[str, str]) -> list[str]:
    """Return the members that an event affects, where `zones` maps all members to their zones."""
    found = [
        name
        for name, zone in zones.items()
        if fnmatchcase(name, event.members) and event.zone in (None, zone)
    ]
    return found[: max(1, round(event.share * len(found)))] if found else []
