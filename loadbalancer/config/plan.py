"""What a whole file means: settings for each pool's decisions, compiled routes, classes by method.

No I/O but reading the file; nothing here knows a socket.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Mapping, Sequence

from msgspec import structs

from loadbalancer.admission.networks import Networks
from loadbalancer.config.check import check, rule_of
from loadbalancer.config.reader import read_file
from loadbalancer.config.types import (
    ClassTable,
    File,
    ListenerTable,
    PoolTable,
    ProcessTable,
    RouteTable,
    StickyTable,
    SwapTable,
)
from loadbalancer.deployment import Deployment
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
    Tenant,
)
from loadbalancer.routing.rewrites import HeaderRewrite, Rewrites
from loadbalancer.routing.routes import Routes

#: Methods that ask for nothing to be changed (RFC 9110, 9.2.1). TRACE is not served.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
#: What a request is where its route names no class, in seconds.
DEFAULT_AIM_S, DEFAULT_DEADLINE_S = 5.0, 30.0
#: Figures of a load report that the decisions know.
REPORT_FIELDS = ("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s")
EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
RESULTS = {
    "connect": AttemptResult.NO_CONNECTION,
    "reset": AttemptResult.RESET,
    "timeout": AttemptResult.TIMEOUT,
    "refused": AttemptResult.FULL,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class Classes:
    """All classes of a file, and by each the ones of other effects that its requests fall into by method or for
    want of a key: they share its times and its worth."""

    def __init__(self, tables: Sequence[ClassTable]) -> None:
        self.made: list[RequestClass] = []
        self._numbers: dict[tuple[str | None, Effect], int] = {}
        self.key_headers: dict[int, str] = {}  # of keyed ones, in lower case
        self._tables = {table.name: table for table in tables}
        for table in tables:
            self.number(table.name, EFFECTS[table.effect])

    def effect(self, name: str) -> Effect:
        return EFFECTS[self._tables[name].effect]

    def remembered(self, name: str | None) -> ClassTable | None:
        """The class of this name, if its keys are remembered."""
        table = self._tables.get(name or "")
        return table if table is not None and table.remember > 0 else None

    def number(self, name: str | None, effect: Effect) -> int:
        """The class `name`, or with other words in `effect`, the one beside it; None is the default."""
        if (name, effect) not in self._numbers:
            self._numbers[name, effect] = len(self.made)
            self.made.append(self._make(name, effect))
            if effect == Effect.KEYED and name is not None:
                self.key_headers[self._numbers[name, effect]] = self._tables[name].key_header.lower()
        return self._numbers[name, effect]

    def _make(self, name: str | None, effect: Effect) -> RequestClass:
        if name is None:
            return RequestClass(
                f"default-{effect.name.lower()}",
                DEFAULT_AIM_S,
                DEFAULT_DEADLINE_S,
                late_value=1.0,
                effect=effect,
            )
        table = self._tables[name]
        own = EFFECTS[table.effect] == effect
        return RequestClass(
            name if own else f"{name}-{effect.name.lower()}",
            float(table.aim),
            float(table.deadline),
            table.worth,
            table.late_share,
            effect=effect,
            deduplication_scope=SCOPES[table.dedup_scope],
            deduplication_window=float(table.dedup_window) if effect == Effect.KEYED else 0.0,
        )


@dataclass(frozen=True, slots=True)
class ByMethod:
    """The class of a request on one route."""

    read: int  # for methods that are safe
    write: int  # for the others
    key_header: str | None  # with which `write` is keyed
    write_unkeyed: int  # and what it is without

    def choose(self, method: str, has_key: bool) -> int:
        if method in SAFE_METHODS:
            return self.read
        return self.write if self.key_header is None or has_key else self.write_unkeyed


def by_method(route: RouteTable, classes: Classes) -> ByMethod:
    """The method says what a request is, unless the route names the methods that its safe class is for; then the
    operator has said that these change nothing."""
    name = route.class_
    if name is not None and classes.effect(name) == Effect.SAFE:
        read = classes.number(name, Effect.SAFE)
        if route.methods and route.write_class is None:
            return ByMethod(read, read, None, read)
    else:
        read = classes.number(name, Effect.SAFE)
    writing = route.write_class or name
    if writing is None or classes.effect(writing) == Effect.SAFE:
        write = classes.number(writing, Effect.UNSAFE)
        return ByMethod(read, write, None, write)
    write = classes.number(writing, classes.effect(writing))
    unkeyed = classes.number(writing, Effect.UNSAFE)
    return ByMethod(read, write, classes.key_headers.get(write), unkeyed)


@dataclass(frozen=True, slots=True)
class RoutePlan:
    name: str
    pool: str | None
    classes: ByMethod
    deadline: float | None  # seconds, over that of the class
    tenant: int
    sticky: StickyTable | None
    status: int | None = None  # without a pool: what is answered
    upgrade: frozenset[bytes] = frozenset()
    attempts: int = 0
    remember: ClassTable | None = None  # the class whose keys are remembered
    rewrites: Rewrites | None = None
    repeat_on: frozenset[AttemptResult] | None = None  # ends of attempts after which another may follow
    repeat_statuses: frozenset[int] | None = None  # of a member's failure; None, and both are the pool's


def rewrites_of(table: RouteTable) -> Rewrites | None:
    """What a route rewrites, if anything."""
    made = Rewrites(
        table.prefix or table.path or "/",
        table.rewrite,
        _pairs(table.reverse),
        _pairs(table.reverse_cookie_path),
        _pairs(table.reverse_cookie_domain),
    )
    return made if made.to is not None or made.changes_answers else None


def _pairs(tables: Sequence[SwapTable]) -> tuple[HeaderRewrite, ...]:
    return tuple(HeaderRewrite(table.from_.encode(), table.to.encode()) for table in tables)


@dataclass(frozen=True, slots=True)
class PoolPlan:
    table: PoolTable
    deployment: Deployment

    def outlasts(self, new: PoolPlan) -> bool:
        """Whether a running pool can go on under a new plan: only its members, or its share, differ."""
        return bool(self._core() == new._core())

    def _core(self) -> Any:
        table = self.table
        limits = structs.replace(table.limits, share=1.0)
        # A pool whose members come from elsewhere now keeps what it has learnt of those that stay.
        return structs.replace(
            table, member=[], members_file=None, discovery=None, limits=limits
        ), self.deployment


@dataclass(frozen=True, slots=True)
class ListenerPlan:
    table: ListenerTable
    routes: Routes
    trusted: Networks
    tenants: Mapping[str, int] = field(default_factory=dict)  # by names in clients' certificates
    hosts: tuple[str, ...] = ()  # that its routes name, and certificates must be for


@dataclass(frozen=True, slots=True)
class Plan:
    """A file that has been checked whole."""

    path: Path
    file: File
    classes: tuple[RequestClass, ...]
    key_headers: frozenset[str]  # in lower case
    pools: Mapping[str, PoolPlan]
    routes: Mapping[str, RoutePlan]
    listeners: Mapping[str, ListenerPlan]

    @property
    def longest(self) -> float:
        """Seconds that any request may take."""
        return max(cls.client_timeout for cls in self.classes)


def load(path: Path) -> Plan:
    """The file as a plan; ConfigError with all that is wrong in it and in the files that it names."""
    values, box, problems = read_file(path)
    check(values, box, path.parent, problems)
    problems.stop()
    return compile_plan(path, File(**values))


def compile_plan(path: Path, file: File) -> Plan:
    """A file that has passed check.py, compiled."""
    classes = Classes(file.class_)
    tenants = {table.name: number for number, table in enumerate(file.tenant)}
    asked = {table.name: table.repeats.header is not None for table in file.pool}
    routes = {
        table.name: RoutePlan(
            table.name,
            table.pool,
            by_method(table, classes),
            table.deadline and float(table.deadline),
            tenants.get(table.tenant or "", 0),
            table.sticky,
            table.status,
            frozenset(name.lower().encode() for name in table.upgrade),
            table.attempts or 0,
            classes.remembered(table.write_class or table.class_),
            rewrites_of(table),
            repeat_on(table.repeat_on, asked.get(table.pool or "", False))
            if table.repeat_on is not None
            else None,
            statuses(table.repeat_on) if table.repeat_on is not None else None,
        )
        for table in file.route
    }
    made = tuple(classes.made)
    pools = {table.name: PoolPlan(table, _deployment(file, table, made)) for table in file.pool}
    rules = {table.name: rule_of(table) for table in file.route}
    listeners = {
        table.name: ListenerPlan(
            table,
            Routes([rules[name] for name in (rules if table.routes is None else table.routes)]),
            Networks(table.trusted),
            {}
            if table.tls is None
            else {name: tenants[tenant] for name, tenant in table.tls.tenants.items()},
            _hosts(table, file.route),
        )
        for table in file.listener
    }
    return Plan(path, file, made, frozenset(classes.key_headers.values()), pools, routes, listeners)


def _hosts(listener: ListenerTable, routes: Sequence[RouteTable]) -> tuple[str, ...]:
    """The hosts of a listener's routes, but for "*", which is any."""
    mine = [r for r in routes if listener.routes is None or r.name in listener.routes]
    return tuple(dict.fromkeys(r.host for r in mine if r.host != "*"))


def _deployment(file: File, table: PoolTable, classes: tuple[RequestClass, ...]) -> Deployment:
    zones = _zones(file.process)
    limits, rules = table.limits, table.rules
    reports = table.dialect == "platform" or table.load_header is not None
    settings = PolicySettings(
        classes=classes,
        instance_count=file.fleet.instances if file.fleet is not None else file.process.instances,
        zone=zones.get(file.process.zone, 0),
        zone_count=max(1, len(zones)),
        tenants=tuple(Tenant(t.name, t.share, t.quota_per_s) for t in file.tenant),
        report_fields=REPORT_FIELDS if reports else (),
        sticky_while_draining=table.sticky_while_draining,
        standby_slow_start=rules.standby == "cold",
        limits=PolicyLimits(
            max_attempts=limits.attempts,
            hedging=limits.second_copies,
            retry_after=limits.retry_after > 0,
            max_retry_after=float(limits.retry_after),
            connect_timeout=float(limits.connect_timeout),
            retry_on=repeat_on(table.repeats.on, table.repeats.header is not None),
            retry_budget_ratio=table.repeats.share,
            attempt_timeout=float(table.repeats.attempt_time or math.inf),
            hedge_delay=float(table.repeats.hedge_after or 0.0),
            hedge_quantile=(table.repeats.hedge_percentile or 0.0) / 100,
        ),
        rules=SafetyRules(
            drain_grace=float(rules.drain_grace),
            slow_start_capacity=rules.cold_from,
            slow_start_duration=float(rules.cold_time),
            overload_factor=rules.overload_factor,
            overload_duration=float(rules.fall_time),
        ),
    )
    return Deployment(
        settings,
        zones,
        {},
        {c.name: n for n, c in enumerate(classes)},
        {t.name: n for n, t in enumerate(file.tenant)},
        float(limits.idle_close),
        limits.idle_connections,
    )


def statuses(causes: Sequence[str]) -> frozenset[int]:
    return frozenset(int(cause) for cause in causes if cause.isdigit())


def repeat_on(causes: Sequence[str], asked: bool = False) -> frozenset[AttemptResult]:
    """The ends of attempts that an operator's words stand for; statuses are told apart by the dialect, and so are
    failures whose member asks for another attempt, where the pool heeds that (`asked`)."""
    found = {RESULTS[cause] for cause in causes if cause in RESULTS}
    if asked or any(cause.isdigit() for cause in causes):
        found.add(AttemptResult.ERROR)
    return frozenset(found)


def _zones(process: ProcessTable) -> dict[str, int]:
    """Numbers of the zones that the process knows, its own first; those of members follow as they are met."""
    return {name: number for number, name in enumerate(dict.fromkeys([process.zone, *process.zones]))}
