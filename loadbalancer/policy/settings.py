"""Settings of the policy: the request classes, limits and rules of a deployment.

They are built once per process. `loadbalancer/deployment.py` maps the platform's names of these settings, and
error messages use those names. Durations are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Mapping

from loadbalancer.policy.errors import SettingError
from loadbalancer.policy.events import AttemptResult


class Effect(IntEnum):
    """Effect of running a request twice."""

    SAFE = 0
    """No additional effect: the request may run any number of times."""
    KEYED = 1
    """No additional effect if both reach one deduplication group within the deduplication window."""
    UNSAFE = 2
    """A second effect: the request must never run twice."""


class DeduplicationScope(IntEnum):
    """Which endpoints deduplicate keyed requests together."""

    ALL = 0
    ZONE = 1
    CELL = 2


def _check_number(key: str, value: object, low: float, high: float = math.inf) -> None:
    """Raise SettingError unless `value` is a finite number from `low` to `high`."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not low <= float(value) <= high or math.isinf(float(value)):  # type: ignore[arg-type]
        raise SettingError(key, f"{value!r} is not a number from {low:g} to {high:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Describes requests with the same latency objective, weight and effect."""

    name: str
    latency_objective: float
    """An answer within this many seconds earns the full priority weight."""
    client_timeout: float
    """Total seconds that a client waits for an answer."""
    priority_weight: float = 1.0
    """Value of an answer in time, relative to other classes."""
    late_value: float = 0.0
    """Share of the weight that a late answer is still worth."""
    objective_per_work: float = 0.0
    """Seconds by which the objective grows for each second of a request's expected work."""
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    """Seconds from the first attempt in which endpoints drop repeats of a keyed request."""
    stream: bool = False

    def __post_init__(self) -> None:
        """Validate the numbers.

        Raises:
            SettingError: A number is out of range; the message names the setting.
        """
        _check_number("classes.aim", self.latency_objective, 1e-6)
        _check_number("classes.give_up", self.client_timeout, 1e-6)
        _check_number("classes.worth", self.priority_weight, 0)
        _check_number("classes.late_share", self.late_value, 0, 1)
        _check_number("classes.aim_stretch", self.objective_per_work, 0)
        _check_number("classes.dedup_window", self.deduplication_window, 0)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Describes a customer with its own quota."""

    name: str
    fraction: float
    """Its share of the traffic."""
    quota_per_s: float
    """Requests a second that it has bought, across all proxies."""

    def __post_init__(self) -> None:
        """Validate the numbers; raise SettingError naming the setting that is out of range."""
        _check_number("tenants.fraction", self.fraction, 0, 1)
        _check_number("tenants.quota_per_s", self.quota_per_s, 0)


@dataclass(frozen=True, slots=True)
class PolicyLimits:
    """Limits that a deployment sets on what the policy may do."""

    max_attempts: int = 3
    """Maximum number of attempts of a request."""
    cancellation: bool = True
    """Whether open attempts may be cancelled."""
    probes: bool = False
    peer_messages: bool = False
    hedging: bool = True
    """Whether a request may have two open attempts at once."""
    retry_after: bool = False
    """Whether a rejection may tell the client when to retry."""
    max_retry_after: float = 0.0
    """Maximum of that time, in seconds."""
    retry_on: frozenset[AttemptResult] | None = None
    """Results after which another attempt may follow; None means any."""
    retry_budget_ratio: float = 0.1
    """Long-term maximum of retries for each request."""
    attempt_timeout: float = math.inf
    """Maximum duration of one attempt in seconds."""
    hedge_delay: float = 0.0
    """Seconds without a first byte before a hedged request may follow; 0 means half of the useful time."""
    hedge_quantile: float = 0.0
    """Quantile of the answers' latencies after which a hedged request may follow; 0 means not used."""
    connect_timeout: float = 0.25
    """Seconds after which an attempt to connect is aborted."""

    def __post_init__(self) -> None:
        """Validate the numbers; raise SettingError naming the setting that is out of range."""
        _check_number("limits.max_attempts", self.max_attempts, 1)
        _check_number("limits.max_retry_after", self.max_retry_after, 0)
        _check_number("limits.connect_timeout", self.connect_timeout, 0)
        _check_number("limits.hedge_share", self.hedge_quantile, 0, 0.999)


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """Numbers of the safety rules that no proxy may break."""

    answer_slack: float = 0.02
    """Seconds before the objective after which an answer can't reach the client in time."""
    list_poll_interval: float = 10.0
    """Seconds within which the endpoint list must be polled."""
    drain_grace: float = 1.0
    """Seconds after the notification of a drain after which no new request may reach the endpoint."""
    slow_start_capacity: float = 0.3
    """Minimum share of its capacity that an endpoint has when it starts."""
    slow_start_duration: float = 10.0
    """Seconds after its start at which an endpoint has its full capacity."""
    overload_factor: float = 2.5
    """Multiple of its current capacity at which an endpoint is overloaded."""
    overload_duration: float = 2.0
    """Seconds of such load after which an endpoint fails."""

    def __post_init__(self) -> None:
        """Validate the numbers; raise SettingError naming the setting that is out of range."""
        _check_number("rules.answer_slack", self.answer_slack, 0)
        _check_number("rules.ask_within", self.list_poll_interval, 0)
        _check_number("rules.drain_grace", self.drain_grace, 0)
        _check_number("rules.cold_from", self.slow_start_capacity, 0, 1)
        _check_number("rules.cold_time", self.slow_start_duration, 0)
        _check_number("rules.overload_factor", self.overload_factor, 0)
        _check_number("rules.fall_time", self.overload_duration, 0)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Holds all settings of the policy of one proxy."""

    classes: tuple[RequestClass, ...]
    instance_index: int = 0
    """Index of this proxy in its fleet."""
    instance_count: int = 1
    """Number of proxies in the fleet; limits and paces are divided by it."""
    zone: int = 0
    """Zone of this proxy."""
    zone_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    """Factor on the priority weight of requests whose tenant is over its quota."""
    list_on_request: bool = False
    """Whether the proxy must watch or poll the endpoint list, since it is not pushed."""
    report_fields: tuple[str, ...] = ()
    """Names of the metrics that endpoints report of themselves."""
    weight_by_work: bool = False
    """Whether priority weights are for a second of work and not for a request."""
    warm_keys: bool = False
    propagates_deadline: bool = True
    """Whether endpoints are told how long an answer is waited for."""
    sticky_while_draining: bool = False
    """Whether a draining endpoint still gets the requests of its sticky sessions."""
    standby_slow_start: bool = False
    """Whether an endpoint of a later priority counts as just started after a while without requests."""
    prices: Mapping[str, float] = field(default_factory=dict)
    limits: PolicyLimits = PolicyLimits()
    rules: SafetyRules = SafetyRules()

    def __post_init__(self) -> None:
        """Validate the numbers; raise SettingError naming the setting that is out of range."""
        if not self.classes:
            raise SettingError("classes", "() names no class of requests")
        _check_number("n_instances", self.instance_count, 1)
        _check_number("me", self.instance_index, 0, self.instance_count - 1)
        _check_number("n_zones", self.zone_count, 1)
        _check_number("zone", self.zone, 0, self.zone_count - 1)
        _check_number("over_share_worth", self.over_quota_weight, 0, 1)

    @property
    def other_instances_share(self) -> float:
        """Share of the proxies that are not this one; it scales the spread of simultaneous calls."""
        return 1 - 1 / self.instance_count
