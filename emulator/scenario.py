"""What a rehearsal is: a TOML file of a fleet, its clients and what happens when. Types and checks alone.

Times are in seconds, written as numbers; speeds are of a standard core; work is in seconds of one.
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
    """The file can't be played; says where and what would be right."""


class ClassPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    share: Positive = 1.0  # of the requests, beside the other classes
    aim: Positive
    deadline: Positive
    worth: AtLeast0 = 1.0
    late_share: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    dedup_window: AtLeast0 = 0.0
    work: Positive = 0.02  # seconds of a standard core, the mean
    spread: AtLeast0 = 0.55  # of its logarithm
    rest: AtLeast0 = 0.0  # seconds for which an answer waits on others, without a core


class ClientPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    rate: Positive  # first tries a second
    shape: list[
        tuple[float, float]
    ] = []  # second, multiple of the rate from then on; straight lines in between
    steps: bool = False  # no lines in between: each multiple holds until the next
    retries: Annotated[int, Meta(ge=0)] = 2
    wait: tuple[float, float] = (0.02, 0.1)  # before another try that nobody told when to make
    honour: Share = 0.5  # of clients, who return when a refusal says so
    repeat_failed: bool = True  # also after a failure, not a refusal alone


class MemberPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str = "m"
    count: Count = 1
    speed: Positive = 1.0
    spread: AtLeast0 = 0.0  # of the logarithm of the speed among them
    cores: Positive = 1.0
    workers: Count = 16  # requests that are worked on at once; the others wait
    backlog: Annotated[int, Meta(ge=0)] = 128  # that wait; further ones are turned away, and never ran
    zones: tuple[str, ...] = ("a",)  # by turns
    weight: Positive = 1.0


class EventPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """At a second something happens to members whose names fit: for a while, or for good."""

    at: AtLeast0
    members: str = "*"  # a pattern; of work: of classes
    zone: str | None = None
    share: Share = 1.0  # of those, the first ones
    what: Literal[
        "slow", "pause", "errors", "silent", "stop", "restart", "drain", "restart_proxies", "rate", "work"
    ]
    factor: float = 4.0  # of slow, work: times; of errors: their share; of rate: times as many requests
    last: AtLeast0 = math.inf


class ProxyPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    count: Count = 1
    attempts: Count = 3
    second_copies: bool = False
    connect_timeout: Positive = 0.25
    retry_after: AtLeast0 = 2.0  # 0: refusals say nothing
    repeat_share: Share = 0.1
    handshake: AtLeast0 = 0.0008  # work that a new connection costs its member
    idle: Annotated[int, Meta(ge=0)] = 6  # connections that each proxy keeps to a member


class RulesPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    cold_from: Share = 0.3
    cold_time: AtLeast0 = 10.0
    overload_factor: Positive = 2.5
    fall_time: Positive = 2.0


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    seconds: Positive = 30.0
    ignore: AtLeast0 = 0.0  # seconds at the start that no figure counts
    class_: Annotated[list[ClassPart], Meta(min_length=1)] = msgspec.field(name="class")
    clients: ClientPart
    member: Annotated[list[MemberPart], Meta(min_length=1)]
    proxy: ProxyPart = ProxyPart()
    rules: RulesPart = RulesPart()
    event: list[EventPart] = []
    list_delay: tuple[float, float] = (0.05, 0.5)  # until a proxy hears that the list has changed
    report_each: Positive = 0.05  # seconds between a member's measurements of itself,
    report_late: AtLeast0 = 0.02  # and until they stand on its answers

    @property
    def capacity(self) -> float:
        """Requests a second that all members together can work off, all warm and well."""
        cores = sum(part.count * part.cores * part.speed for part in self.member)
        total = sum(cls.share for cls in self.class_)
        return cores / sum(cls.work * cls.share / total for cls in self.class_)


def read(path: Path, changes: Mapping[str, Any] | None = None) -> Scenario:
    """ScenarioError with what is wrong. `changes`: values by dotted keys, in place of the file's."""
    import tomllib

    try:
        box = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as problem:
        raise ScenarioError(f"{path}: {problem}") from None
    for key, value in (changes or {}).items():
        put(box, key, value)
    return build(box, str(path))


def put(box: Any, key: str, value: Any) -> None:
    """Set what a dotted key names: `clients.rate`, `member.0.speed`."""
    *way, last = key.split(".")
    for word in way:
        if isinstance(box, list):
            if not word.isdigit() or int(word) >= len(box):
                raise ScenarioError(f"{key}: {word!r} is no entry; there are {len(box)}")
            box = box[int(word)]
        else:
            box = box.setdefault(word, {})
    if isinstance(box, list):
        box[int(last)] = value
    else:
        box[last] = value


def build(box: Any, where: str) -> Scenario:
    try:
        made = msgspec.convert(box, Scenario)
    except msgspec.ValidationError as problem:
        raise ScenarioError(f"{where}: {problem}") from None
    for cls in made.class_:
        if cls.aim > cls.deadline:
            raise ScenarioError(
                f"{where}: class {cls.name}: aim {cls.aim:g} is past the deadline {cls.deadline:g}"
            )
        if (cls.effect == "keyed") != (cls.dedup_window > 0):
            raise ScenarioError(
                f'{where}: class {cls.name}: a dedup_window over 0 goes with effect = "keyed"'
            )
    if made.ignore >= made.seconds:
        raise ScenarioError(f"{where}: ignore {made.ignore:g} leaves nothing of {made.seconds:g} seconds")
    return made


def at_times(scenario: Scenario, multiple: float) -> Scenario:
    """The same at so many times its capacity."""
    return structs.replace(
        scenario, clients=structs.replace(scenario.clients, rate=multiple * scenario.capacity)
    )


def classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """For the module."""
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
    part = scenario.rules
    return SafetyRules(
        slow_start_capacity=part.cold_from,
        slow_start_duration=part.cold_time,
        overload_factor=part.overload_factor,
        overload_duration=part.fall_time,
    )


def fits(event: EventPart, names: Mapping[str, str]) -> list[str]:
    """The members that an event is of; `names`: zones by members."""
    found = [
        name
        for name, zone in names.items()
        if fnmatchcase(name, event.members) and event.zone in (None, zone)
    ]
    return found[: max(1, round(event.share * len(found)))] if found else []
