"""Compiles a checked configuration file: policy settings of each pool, compiled routes, request classes by method.

Reading the file is the only I/O; nothing here opens a socket.
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

#: Methods that request no change of state (RFC 9110, 9.2.1). TRACE is not served.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
#: Latency objective and deadline of a request whose route names no class, in seconds.
DEFAULT_AIM_S, DEFAULT_DEADLINE_S = 5.0, 30.0
#: Fields of a load report that the policy uses.
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
    """Numbers the request classes of a file, and derives variants of them with another effect.

    A request falls into such a variant because of its method or because it has no key. A variant has the same times
    and the same worth as its class.
    """

    def __init__(self, tables: Sequence[ClassTable]) -> None:
        self.compiled: list[RequestClass] = []
        self._numbers: dict[tuple[str | None, Effect], int] = {}
        self.key_headers: dict[int, str] = {}  # of keyed classes, in lower case
        self._tables = {table.name: table for table in tables}
        for table in tables:
            self.number(table.name, EFFECTS[table.effect])

    def effect(self, name: str) -> Effect:
        return EFFECTS[self._tables[name].effect]

    def remembered(self, name: str | None) -> ClassTable | None:
        """Return the class `name` if its keys are remembered, else None."""
        table = self._tables.get(name or "")
        return table if table is not None and table.remember > 0 else None

    def number(self, name: str | None, effect: Effect) -> int:
        """Return the number of the class `name`, or of its variant with another `effect`. None is the default class."""
        if (name, effect) not in self._numbers:
            self._numbers[name, effect] = len(self.compiled)
            self.compiled.append(self._make(name, effect))
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
        is_declared = EFFECTS[table.effect] == effect
        return RequestClass(
            name if is_declared else f"{name}-{effect.name.lower()}",
            float(table.aim),
            float(table.deadline),
            table.worth,
            table.late_share,
            effect=effect,
            deduplication_scope=SCOPES[table.dedup_scope],
            deduplication_window=float(table.dedup_window) if effect == Effect.KEYED else 0.0,
        )


@dataclass(frozen=True, slots=True)
class MethodClasses:
    """Chooses the class of a request on one route by its method and its key."""

    read: int  # for safe methods
    write: int  # for other methods
    key_header: str | None  # header that makes a request a keyed one of class `write`
    write_unkeyed: int  # for other methods, without that header

    def choose(self, method: str, has_key: bool) -> int:
        if method in SAFE_METHODS:
            return self.read
        return self.write if self.key_header is None or has_key else self.write_unkeyed


def classes_by_method(route: RouteTable, classes: Classes) -> MethodClasses:
    """Return the classes of a route by method.

    A route with a safe class and a list of methods is an exception: the operator has declared that these methods change
    nothing, so its class holds for all of them.
    """
    name = route.class_
    if name is not None and classes.effect(name) == Effect.SAFE:
        read = classes.number(name, Effect.SAFE)
        if route.methods and route.write_class is None:
            return MethodClasses(read, read, None, read)
    else:
        read = classes.number(name, Effect.SAFE)
    writing = route.write_class or name
    if writing is None or classes.effect(writing) == Effect.SAFE:
        write = classes.number(writing, Effect.UNSAFE)
        return MethodClasses(read, write, None, write)
    write = classes.number(writing, classes.effect(writing))
    unkeyed = classes.number(writing, Effect.UNSAFE)
    return MethodClasses(read, write, classes.key_headers.get(write), unkeyed)


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """Holds the compiled settings of one route."""

    name: str
    pool: str | None
    classes: MethodClasses
    deadline: float | None  # seconds; bounds the deadline of the class
    tenant: int
    sticky: StickyTable | None
    status: int | None = None  # without a pool: the status to answer with
    upgrade: frozenset[bytes] = frozenset()
    attempts: int = 0
    remember: ClassTable | None = None  # the class whose keys are remembered
    rewrites: Rewrites | None = None
    repeat_on: frozenset[AttemptResult] | None = None  # results of attempts that may be retried
    repeat_statuses: frozenset[int] | None = (
        None  # response statuses that may be retried. If both are None, the pool's hold
    )


def rewrites_of(table: RouteTable) -> Rewrites | None:
    """Return the rewrites of a route, or None if it has none."""
    rewrites = Rewrites(
        table.prefix or table.path or "/",
        table.rewrite,
        _header_rewrites(table.reverse),
        _header_rewrites(table.reverse_cookie_path),
        _header_rewrites(table.reverse_cookie_domain),
    )
    return rewrites if rewrites.to is not None or rewrites.changes_answers else None


def _header_rewrites(tables: Sequence[SwapTable]) -> tuple[HeaderRewrite, ...]:
    return tuple(HeaderRewrite(table.from_.encode(), table.to.encode()) for table in tables)


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Holds the table of one pool and the compiled settings of its policy."""

    table: PoolTable
    deployment: Deployment

    def is_compatible_with(self, new: PoolPlan) -> bool:
        """Return whether a running pool can continue under a new plan: only its members or its share differ."""
        return bool(self._fixed_parts() == new._fixed_parts())

    def _fixed_parts(self) -> Any:
        table = self.table
        limits = structs.replace(table.limits, share=1.0)
        # A pool whose source of members has changed keeps its statistics of the members that stay.
        return structs.replace(
            table, member=[], members_file=None, discovery=None, limits=limits
        ), self.deployment


@dataclass(frozen=True, slots=True)
class ListenerPlan:
    """Holds the table of one listener, its compiled routes and what they refer to."""

    table: ListenerTable
    routes: Routes
    trusted: Networks
    tenants: Mapping[str, int] = field(default_factory=dict)  # by the names in clients' certificates
    hosts: tuple[str, ...] = ()  # hosts that its routes name, which the certificates must cover


@dataclass(frozen=True, slots=True)
class Plan:
    """Holds a compiled configuration file that has passed all checks."""

    path: Path
    file: File
    classes: tuple[RequestClass, ...]
    key_headers: frozenset[str]  # in lower case
    pools: Mapping[str, PoolPlan]
    routes: Mapping[str, RoutePlan]
    listeners: Mapping[str, ListenerPlan]

    @property
    def max_deadline_s(self) -> float:
        """The longest deadline of any class, in seconds."""
        return max(cls.client_timeout for cls in self.classes)


def load(path: Path) -> Plan:
    """Read, check and compile a file. Raises ConfigError with all errors in it and in the files that it names."""
    values, raw, problems = read_file(path)
    check(values, raw, path.parent, problems)
    problems.raise_if_any()
    return compile_plan(path, File(**values))


def compile_plan(path: Path, file: File) -> Plan:
    """Compile a file that has passed the checks of check.py."""
    classes = Classes(file.class_)
    tenants = {table.name: number for number, table in enumerate(file.tenant)}
    heeds_retry_header = {table.name: table.repeats.header is not None for table in file.pool}
    routes = {
        table.name: RoutePlan(
            table.name,
            table.pool,
            classes_by_method(table, classes),
            table.deadline and float(table.deadline),
            tenants.get(table.tenant or "", 0),
            table.sticky,
            table.status,
            frozenset(name.lower().encode() for name in table.upgrade),
            table.attempts or 0,
            classes.remembered(table.write_class or table.class_),
            rewrites_of(table),
            repeat_on(table.repeat_on, heeds_retry_header.get(table.pool or "", False))
            if table.repeat_on is not None
            else None,
            statuses(table.repeat_on) if table.repeat_on is not None else None,
        )
        for table in file.route
    }
    compiled = tuple(classes.compiled)
    pools = {table.name: PoolPlan(table, _deployment(file, table, compiled)) for table in file.pool}
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
    return Plan(path, file, compiled, frozenset(classes.key_headers.values()), pools, routes, listeners)


def _hosts(listener: ListenerTable, routes: Sequence[RouteTable]) -> tuple[str, ...]:
    """Return the hosts that a listener's routes name, except "*", which means any host."""
    served = [route for route in routes if listener.routes is None or route.name in listener.routes]
    return tuple(dict.fromkeys(route.host for route in served if route.host != "*"))


def _deployment(file: File, table: PoolTable, classes: tuple[RequestClass, ...]) -> Deployment:
    zones = _zones(file.process)
    limits, rules = table.limits, table.rules
    reports = table.dialect == "platform" or table.load_header is not None
    settings = PolicySettings(
        classes=classes,
        instance_count=file.fleet.instances if file.fleet is not None else file.process.instances,
        zone=zones.get(file.process.zone, 0),
        zone_count=max(1, len(zones)),
        tenants=tuple(Tenant(tenant.name, tenant.share, tenant.quota_per_s) for tenant in file.tenant),
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
        {cls.name: number for number, cls in enumerate(classes)},
        {tenant.name: number for number, tenant in enumerate(file.tenant)},
        float(limits.idle_close),
        limits.idle_connections,
    )


def statuses(causes: Sequence[str]) -> frozenset[int]:
    """Return the response statuses among the causes of a retry."""
    return frozenset(int(cause) for cause in causes if cause.isdigit())


def repeat_on(causes: Sequence[str], heeds_retry_header: bool = False) -> frozenset[AttemptResult]:
    """Return the results of attempts that the causes in a file stand for.

    All statuses count as ERROR; the dialect tells them apart. So do failures for which the member asks for another
    attempt by a header, if the pool heeds it (`heeds_retry_header`).
    """
    found = {RESULTS[cause] for cause in causes if cause in RESULTS}
    if heeds_retry_header or any(cause.isdigit() for cause in causes):
        found.add(AttemptResult.ERROR)
    return frozenset(found)


def _zones(process: ProcessTable) -> dict[str, int]:
    """Return the numbers of the zones in [process], its own zone first. Further zones of members get theirs later."""
    return {name: number for number, name in enumerate(dict.fromkeys([process.zone, *process.zones]))}
