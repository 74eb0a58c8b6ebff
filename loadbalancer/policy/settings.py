"""Settings of the policy: what a deployment says of its request classes, limits and rules.

Built once per process; the platform's names of these settings are mapped in `loadbalancer/deployment.py`.
Times are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Mapping

from loadbalancer.policy.events import AttemptResult


class Effect(IntEnum):
    """What running a request twice would do."""

    SAFE = 0  # may be repeated freely
    KEYED = 1  # servers of one group drop repeats for a while
    UNSAFE = 2  # must never run twice


class DeduplicationScope(IntEnum):
    """Which servers share the memory of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


def _check(key: str, value: object, low: float, high: float = math.inf) -> None:
    good = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not good or not low <= float(value) <= high or math.isinf(float(value)):  # type: ignore[arg-type]
        raise ValueError(f"{key}: {value!r} is not a number from {low:g} to {high:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective: float  # seconds; an answer within this earns the full worth
    client_timeout: float  # seconds a client waits in all
    priority_weight: float = 1.0
    late_value: float = 0.0  # share of the worth that a late answer earns
    objective_per_work: float = 0.0  # the aim grows by this multiple of the request's work
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        _check("classes.aim", self.latency_objective, 1e-6)
        _check("classes.give_up", self.client_timeout, 1e-6)
        _check("classes.worth", self.priority_weight, 0)
        _check("classes.late_share", self.late_value, 0, 1)
        _check("classes.aim_stretch", self.objective_per_work, 0)
        _check("classes.dedup_window", self.deduplication_window, 0)


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    fraction: float
    quota_per_s: float  # across all proxies

    def __post_init__(self) -> None:
        _check("tenants.fraction", self.fraction, 0, 1)
        _check("tenants.quota_per_s", self.quota_per_s, 0)


@dataclass(frozen=True, slots=True)
class PolicyLimits:
    """What the deployment permits."""

    max_attempts: int = 3
    cancellation: bool = True
    probes: bool = False
    peer_messages: bool = False
    hedging: bool = True
    retry_after: bool = False
    max_retry_after: float = 0.0
    retry_on: frozenset[AttemptResult] | None = (
        None  # ends of attempts after which another may follow; None: any
    )
    retry_budget_ratio: float = 0.1  # second attempts for each first one, in the long run
    attempt_timeout: float = math.inf  # seconds of one attempt at most
    hedge_delay: float = 0.0  # seconds of silence that earn a second attempt; 0: half of the useful time
    hedge_quantile: float = (
        0.0  # silence longer than this share of the class's answers take earns one; 0: it does not count
    )
    connect_timeout: float = 0.25

    def __post_init__(self) -> None:
        _check("limits.max_attempts", self.max_attempts, 1)
        _check("limits.max_retry_after", self.max_retry_after, 0)
        _check("limits.connect_timeout", self.connect_timeout, 0)
        _check("limits.hedge_share", self.hedge_quantile, 0, 0.999)


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """The figures of the four rules."""

    answer_slack: float = 0.02
    list_poll_interval: float = 10.0
    drain_grace: float = 1.0
    slow_start_capacity: float = 0.3  # a cold server starts at this share of its capacity or above
    slow_start_duration: float = 10.0  # and is warm after this many seconds
    overload_factor: float = 2.5  # sent this multiple of its present capacity
    overload_duration: float = 2.0  # for this long, it falls over

    def __post_init__(self) -> None:
        _check("rules.answer_slack", self.answer_slack, 0)
        _check("rules.ask_within", self.list_poll_interval, 0)
        _check("rules.drain_grace", self.drain_grace, 0)
        _check("rules.cold_from", self.slow_start_capacity, 0, 1)
        _check("rules.cold_time", self.slow_start_duration, 0)
        _check("rules.overload_factor", self.overload_factor, 0)
        _check("rules.fall_time", self.overload_duration, 0)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    classes: tuple[RequestClass, ...]
    instance_index: int = 0
    instance_count: int = 1
    zone: int = 0
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    list_on_request: bool = False  # the server list must be watched or fetched
    report_fields: tuple[str, ...] = ()
    weight_by_work: bool = False
    warm_keys: bool = False
    propagates_deadline: bool = True
    sticky_while_draining: bool = False  # a draining server keeps the requests of its sticky sessions
    standby_slow_start: bool = False  # a server of a further set that has not served counts as just started
    prices: Mapping[str, float] = field(default_factory=dict)
    limits: PolicyLimits = PolicyLimits()
    rules: SafetyRules = SafetyRules()

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: () names no class of requests")
        _check("n_instances", self.instance_count, 1)
        _check("me", self.instance_index, 0, self.instance_count - 1)
        _check("n_zones", self.zone_count, 1)
        _check("zone", self.zone, 0, self.zone_count - 1)
        _check("over_share_worth", self.over_quota_weight, 0, 1)

    @property
    def other_instances_share(self) -> float:
        """Share of the proxies that are not this one; by it calls are spread that all would make at once."""
        return 1 - 1 / self.instance_count
