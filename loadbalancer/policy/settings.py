"""Settings of the policy: what a deployment says of its request classes, limits and rules.

Built once per process; the platform's names of these settings are mapped in `loadbalancer/deployment.py`, and
the texts of errors have those names. Durations are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Mapping

from loadbalancer.policy.errors import SettingError
from loadbalancer.policy.events import AttemptResult


class Effect(IntEnum):
    """What running a request twice would do."""

    SAFE = 0
    """Nothing: it may run any number of times."""
    KEYED = 1
    """Nothing, where both reach endpoints of one deduplication group within the deduplication window."""
    UNSAFE = 2
    """A second effect: it must never run twice."""


class DeduplicationScope(IntEnum):
    """Which endpoints share the memory of a keyed request, and drop repeats of it."""

    ALL = 0
    ZONE = 1
    CELL = 2


def _check_number(key: str, value: object, low: float, high: float = math.inf) -> None:
    """Raise SettingError unless a value is a finite number from `low` to `high`."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not low <= float(value) <= high or math.isinf(float(value)):  # type: ignore[arg-type]
        raise SettingError(key, f"{value!r} is not a number from {low:g} to {high:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one latency objective, weight and effect."""

    name: str
    latency_objective: float
    """An answer within this many seconds earns the full priority weight."""
    client_timeout: float
    """Seconds that a client waits in all."""
    priority_weight: float = 1.0
    """What an answer in time is worth, relative to other classes."""
    late_value: float = 0.0
    """Share of the weight that a late answer still earns."""
    objective_per_work: float = 0.0
    """Seconds by which the objective grows for each second of a request's expected work."""
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    """Seconds from the first attempt in which endpoints drop repeats of a keyed request."""
    stream: bool = False

    def __post_init__(self) -> None:
        """Check the figures.

        Raises:
            SettingError: A figure makes no sense; the text names the setting.
        """
        _check_number("classes.aim", self.latency_objective, 1e-6)
        _check_number("classes.give_up", self.client_timeout, 1e-6)
        _check_number("classes.worth", self.priority_weight, 0)
        _check_number("classes.late_share", self.late_value, 0, 1)
        _check_number("classes.aim_stretch", self.objective_per_work, 0)
        _check_number("classes.dedup_window", self.deduplication_window, 0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a quota of its own."""

    name: str
    fraction: float
    """Its share of the traffic."""
    quota_per_s: float
    """Requests a second that it has bought, across all proxies."""

    def __post_init__(self) -> None:
        """Check the figures; SettingError names the setting that makes no sense."""
        _check_number("tenants.fraction", self.fraction, 0, 1)
        _check_number("tenants.quota_per_s", self.quota_per_s, 0)


@dataclass(frozen=True, slots=True)
class PolicyLimits:
    """What the deployment permits."""

    max_attempts: int = 3
    """Attempts of a request."""
    cancellation: bool = True
    """Attempts that are out may be cancelled."""
    probes: bool = False
    peer_messages: bool = False
    hedging: bool = True
    """Two attempts of a request may be out at once."""
    retry_after: bool = False
    """A rejection may say when the client should return."""
    max_retry_after: float = 0.0
    """Seconds."""
    retry_on: frozenset[AttemptResult] | None = None
    """Results after which another attempt may follow; None: any."""
    retry_budget_ratio: float = 0.1
    """Retries for each request, in the long run."""
    attempt_timeout: float = math.inf
    """Seconds of one attempt."""
    hedge_delay: float = 0.0
    """Seconds without a first byte after which a hedged request may follow; 0: half of the useful time."""
    hedge_quantile: float = 0.0
    """A hedged request may follow an attempt that takes longer than this share of answers; 0: not used."""
    connect_timeout: float = 0.25
    """Seconds until a connection that does not come up is given up."""

    def __post_init__(self) -> None:
        """Check the figures; SettingError names the setting that makes no sense."""
        _check_number("limits.max_attempts", self.max_attempts, 1)
        _check_number("limits.max_retry_after", self.max_retry_after, 0)
        _check_number("limits.connect_timeout", self.connect_timeout, 0)
        _check_number("limits.hedge_share", self.hedge_quantile, 0, 0.999)


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """Figures of the rules that no proxy may break."""

    answer_slack: float = 0.02
    """Seconds before the objective after which an answer can't reach the client in time."""
    list_poll_interval: float = 10.0
    """Seconds within which the endpoint list is polled."""
    drain_grace: float = 1.0
    """Seconds after the notification of a drain by which no new request may reach the endpoint."""
    slow_start_capacity: float = 0.3
    """An endpoint starts at this share of its capacity or above,"""
    slow_start_duration: float = 10.0
    """and is warm after this many seconds."""
    overload_factor: float = 2.5
    """Sent this multiple of its present capacity"""
    overload_duration: float = 2.0
    """for this many seconds, it falls over."""

    def __post_init__(self) -> None:
        """Check the figures; SettingError names the setting that makes no sense."""
        _check_number("rules.answer_slack", self.answer_slack, 0)
        _check_number("rules.ask_within", self.list_poll_interval, 0)
        _check_number("rules.drain_grace", self.drain_grace, 0)
        _check_number("rules.cold_from", self.slow_start_capacity, 0, 1)
        _check_number("rules.cold_time", self.slow_start_duration, 0)
        _check_number("rules.overload_factor", self.overload_factor, 0)
        _check_number("rules.fall_time", self.overload_duration, 0)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """All that the policy of one proxy is told of its deployment."""

    classes: tuple[RequestClass, ...]
    instance_index: int = 0
    """Of this proxy in its fleet."""
    instance_count: int = 1
    """Proxies in the fleet; limits and paces are divided by it."""
    zone: int = 0
    """Of this proxy."""
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    """Factor on the priority weight of requests whose tenant is over its quota."""
    list_on_request: bool = False
    """The endpoint list must be watched or fetched; nobody pushes it."""
    report_fields: tuple[str, ...] = ()
    """What endpoints report of themselves."""
    weight_by_work: bool = False
    """Priority weights are for a second of work, not for a request."""
    warm_keys: bool = False
    propagates_deadline: bool = True
    """Endpoints are told how long an answer is waited for."""
    sticky_while_draining: bool = False
    """A draining endpoint keeps the requests of its sticky sessions."""
    standby_slow_start: bool = False
    """An endpoint of a further priority that has not served for a while counts as just started."""
    prices: Mapping[str, float] = field(default_factory=dict)
    limits: PolicyLimits = PolicyLimits()
    rules: SafetyRules = SafetyRules()

    def __post_init__(self) -> None:
        """Check the figures; SettingError names the setting that makes no sense."""
        if not self.classes:
            raise SettingError("classes", "() names no class of requests")
        _check_number("n_instances", self.instance_count, 1)
        _check_number("me", self.instance_index, 0, self.instance_count - 1)
        _check_number("n_zones", self.zone_count, 1)
        _check_number("zone", self.zone, 0, self.zone_count - 1)
        _check_number("over_share_worth", self.over_quota_weight, 0, 1)

    @property
    def other_instances_share(self) -> float:
        """Share of the proxies that are not this one; calls that all would make at once are spread by it."""
        return 1 - 1 / self.instance_count
