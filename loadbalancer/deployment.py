"""Reads the settings object that an instance starts with, and converts it to the policy's own settings.

The simulator sends the object in its first message, and a platform's configuration contains it, with the same names and
units. Only this module maps the names on the wire to those of the code.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Iterable, Mapping, TypeVar

from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
    Tenant,
)

EFFECTS = {
    "read_like": Effect.SAFE,
    "idempotency_key": Effect.KEYED,
    "non_idempotent": Effect.UNSAFE,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
LIST_ON_REQUEST_MODE = "subscribe"
"""The mode in which the proxy requests endpoint lists; in the other one they are pushed."""
DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Used if the settings have none: short, since a request that is sent while the endpoint closes ends as a reset."""

ValueT = TypeVar("ValueT")
SettingsObject = Mapping[str, Any]
"""A JSON object of the settings."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Holds the policy's settings, and those that the network code needs beside them."""

    settings: PolicySettings
    """The settings of the policy."""
    zones: Mapping[str, int]
    """Numbers of zones by name."""
    kinds: Mapping[str, int]
    """Numbers of kinds of endpoints by name."""
    classes: Mapping[str, int]
    """Numbers of request classes by name."""
    tenants: Mapping[str, int]
    """Numbers of tenants by name."""
    idle_timeout: float
    """Seconds after which an endpoint closes an idle connection."""
    max_idle_connections: int | None = None
    """Maximum idle connections to one endpoint; None for the platform's default."""


def read_deployment(box: SettingsObject) -> Deployment:
    """Read the settings object of a platform's configuration.

    Raises:
        ValueError: A setting is missing or has an invalid value; the message names it.
    """
    settings = read_settings(box)
    return Deployment(
        settings,
        zones=_number(box.get("zones", ())),
        kinds=_number(box.get("kinds", ())),
        classes=_number(request_class.name for request_class in settings.classes),
        tenants=_number(tenant.name for tenant in settings.tenants),
        idle_timeout=float(box["policy-limits"].get("idle-close-s", DEFAULT_IDLE_TIMEOUT_S)),
    )


def read_settings(box: SettingsObject) -> PolicySettings:
    """Read the settings of the policy.

    Raises:
        ValueError: A setting is missing or has an invalid value; the message names it.
    """
    limits = _require(box, "policy-limits")
    rules = _require(box, "rules")
    domain = box.get("domain", {})
    return PolicySettings(
        classes=tuple(_read_class(request_class) for request_class in _require(box, "classes")),
        instance_index=_require(box, "me"),
        instance_count=_require(box, "n-instances"),
        zone=box.get("locality", 0),
        zone_count=len(box.get("zones") or [""]),
        tenants=tuple(_read_tenant(tenant) for tenant in box.get("tenants", ())),
        over_quota_weight=box.get("over-share-worth", 1.0),
        list_on_request=_require(box, "registry-mode") == LIST_ON_REQUEST_MODE,
        report_fields=tuple(box.get("report", {}).get("fields", ())),
        weight_by_work=box.get("counted-by") == "work",
        warm_keys=bool(domain.get("warm-keys", False)),
        propagates_deadline=bool(domain.get("passes-deadline", True)),
        prices=dict(box.get("prices", {})),
        limits=_read_limits(limits),
        rules=_read_rules(rules),
    )


def _read_class(box: SettingsObject) -> RequestClass:
    where = "classes."
    effect = _translate(EFFECTS, _require(box, "effect", where), "classes.effect")
    return RequestClass(
        name=str(box.get("name", "")),
        latency_objective=_require(box, "aim-s", where),
        client_timeout=_require(box, "give-up-s", where),
        priority_weight=_require(box, "worth", where),
        late_value=box.get("late-share", 0.0),
        objective_per_work=box.get("aim-stretch", 0.0),
        effect=effect,
        deduplication_scope=_translate(SCOPES, box.get("dedup-scope", "all"), "classes.dedup-scope"),
        deduplication_window=box.get("dedup-window-s", 0.0),
        stream=bool(box.get("stream", False)),
    )


def _read_tenant(box: SettingsObject) -> Tenant:
    return Tenant(str(box.get("name", "")), box.get("fraction", 0.0), box.get("quota-per-s", 0.0))


def _read_limits(box: SettingsObject) -> PolicyLimits:
    return PolicyLimits(
        max_attempts=_require(box, "max-attempts", "policy-limits."),
        cancellation=bool(box.get("cancelling", False)),
        probes=bool(box.get("probes", False)),
        peer_messages=bool(box.get("peers", False)),
        hedging=bool(box.get("second-copies", False)),
        retry_after=bool(box.get("retry-after", False)),
        max_retry_after=box.get("max-retry-after-s", 0.0),
        connect_timeout=box.get("connect-timeout-s", 0.25),
    )


def _read_rules(box: SettingsObject) -> SafetyRules:
    where = "rules."
    return SafetyRules(
        answer_slack=_require(box, "answer-slack-s", where),
        list_poll_interval=box.get("ask-within-s", 10.0),
        drain_grace=_require(box, "drain-grace-s", where),
        slow_start_capacity=_require(box, "cold-from", where),
        slow_start_duration=_require(box, "cold-s", where),
        overload_factor=_require(box, "overload-factor", where),
        overload_duration=_require(box, "fall-s", where),
    )


def _require(box: SettingsObject, key: str, where: str = "") -> Any:
    """Return the value of a required setting."""
    if key not in box:
        raise ValueError(f"{where}{key}: missing")
    return box[key]


def _translate(table: Mapping[str, ValueT], value: object, key: str) -> ValueT:
    """Convert a name on the wire to the code's value for it."""
    if not isinstance(value, str) or value not in table:
        raise ValueError(f"{key}: {value!r} is not one of {', '.join(table)}")
    return table[value]


def _number(names: Iterable[Any]) -> dict[str, int]:
    """Return the numbers of names, in their order."""
    return {str(name): number for number, name in enumerate(names)}
