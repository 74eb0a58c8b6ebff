"""The settings object that an instance starts with, as the module's own.

The simulator sends it in its first message and a deployment puts it into the configuration, with the
same names and units, so the adapter and the proxy both read it here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Iterable, Mapping

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
#: Where the settings do not say it: short, since a request that crosses a close ends as a reset.
DEFAULT_IDLE_TIMEOUT_S = 15.0


def _get(box: Mapping[str, Any], key: str, where: str = "") -> Any:
    """A setting that must be there."""
    if key not in box:
        raise ValueError(f"{where}{key}: missing")
    return box[key]


def _word(table: Mapping[str, Any], value: Any, key: str) -> Any:
    if not isinstance(value, str) or value not in table:
        raise ValueError(f"{key}: {value!r} is not one of {', '.join(table)}")
    return table[value]


def _class(box: Mapping[str, Any]) -> RequestClass:
    at = "classes."
    effect = _word(EFFECTS, _get(box, "effect", at), "classes.effect")
    return RequestClass(
        name=str(box.get("name", "")),
        latency_objective=_get(box, "aim-s", at),
        client_timeout=_get(box, "give-up-s", at),
        priority_weight=_get(box, "worth", at),
        late_value=box.get("late-share", 0.0),
        objective_per_work=box.get("aim-stretch", 0.0),
        effect=effect,
        deduplication_scope=_word(SCOPES, box.get("dedup-scope", "all"), "classes.dedup-scope"),
        deduplication_window=box.get("dedup-window-s", 0.0),
        stream=bool(box.get("stream", False)),
    )


def read_settings(box: Mapping[str, Any]) -> PolicySettings:
    """The start-up settings of the wire as the module's own."""
    limits, rules = _get(box, "policy-limits"), _get(box, "rules")
    domain = box.get("domain", {})
    return PolicySettings(
        classes=tuple(_class(c) for c in _get(box, "classes")),
        instance_index=_get(box, "me"),
        instance_count=_get(box, "n-instances"),
        zone=box.get("locality", 0),
        zone_count=len(box.get("zones") or [""]),
        tenants=tuple(
            Tenant(str(t.get("name", "")), t.get("fraction", 0.0), t.get("quota-per-s", 0.0))
            for t in box.get("tenants", ())
        ),
        over_quota_weight=box.get("over-share-worth", 1.0),
        list_on_request=_get(box, "registry-mode") == "subscribe",
        report_fields=tuple(box.get("report", {}).get("fields", ())),
        weight_by_work=box.get("counted-by") == "work",
        warm_keys=bool(domain.get("warm-keys", False)),
        propagates_deadline=bool(domain.get("passes-deadline", True)),
        prices=dict(box.get("prices", {})),
        limits=PolicyLimits(
            max_attempts=_get(limits, "max-attempts", "policy-limits."),
            cancellation=bool(limits.get("cancelling", False)),
            probes=bool(limits.get("probes", False)),
            peer_messages=bool(limits.get("peers", False)),
            hedging=bool(limits.get("second-copies", False)),
            retry_after=bool(limits.get("retry-after", False)),
            max_retry_after=limits.get("max-retry-after-s", 0.0),
            connect_timeout=limits.get("connect-timeout-s", 0.25),
        ),
        rules=SafetyRules(
            answer_slack=_get(rules, "answer-slack-s", "rules."),
            list_poll_interval=rules.get("ask-within-s", 10.0),
            drain_grace=_get(rules, "drain-grace-s", "rules."),
            slow_start_capacity=_get(rules, "cold-from", "rules."),
            slow_start_duration=_get(rules, "cold-s", "rules."),
            overload_factor=_get(rules, "overload-factor", "rules."),
            overload_duration=_get(rules, "fall-s", "rules."),
        ),
    )


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings, and what sockets need beside them: names by their numbers, and connections' times."""

    settings: PolicySettings
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    idle_timeout: float  # seconds after which a backend closes an idle connection
    max_idle_connections: int | None = (
        None  # idle connections kept to one backend; the platform's figure if it is not given
    )


def read_deployment(box: Mapping[str, Any]) -> Deployment:
    settings = read_settings(box)

    def numbers(names: Iterable[Any]) -> dict[str, int]:
        return {str(name): number for number, name in enumerate(names)}

    return Deployment(
        settings,
        zones=numbers(box.get("zones", ())),
        kinds=numbers(box.get("kinds", ())),
        classes=numbers(c.name for c in settings.classes),
        tenants=numbers(t.name for t in settings.tenants),
        idle_timeout=float(box["policy-limits"].get("idle-close-s", DEFAULT_IDLE_TIMEOUT_S)),
    )
