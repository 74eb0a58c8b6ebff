"""The row types of the administrative API's answers. Their keys are part of the API."""

from __future__ import annotations

from typing import NotRequired, TypedDict, cast

from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.policy.events import EndpointState


class StatusRow(TypedDict):
    """The answer to `status`, to which components add keys of their own."""

    pid: int
    up_s: float
    reloads: int
    configuration: str | None
    listeners: dict[str, str]  # addresses by listener name
    pools: int
    open: int
    retiring: int
    memory_held: int  # bytes that peers make the process hold
    memory_peak: int
    memory_most: int
    store: str | None


class PoolRow(TypedDict):
    """One row of `pools`."""

    pool: str
    members: int
    skipped: int
    open: int
    served: int
    refused: int
    failed: int
    attempts: int
    connections: int
    tunnels: int
    frozen: bool
    refusing: float
    limit: int
    in_flight: int


class OverrideFields(TypedDict, total=False):
    """The fields of an override; fields without a value are omitted."""

    word: str | None
    weight: float | None
    by: str
    reason: str
    at: float
    until: float | None
    added: str | None


class EndpointRow(TypedDict):
    """One row of `members`."""

    pool: str
    member: str
    address: str | None
    source: str
    weight: float
    in_flight: int
    used: bool
    mark: NotRequired[OverrideFields]


class OverrideRow(OverrideFields):
    """One row of `marks`."""

    pool: str
    member: str
    there: bool


class MigrationRow(TypedDict):
    """One row of `moves`."""

    pool: str
    other: str
    share: float
    by: str
    reason: str
    until: float | None
    there: bool
    keys: int


class AttemptRow(TypedDict):
    """One attempt in a row of `requests`."""

    member: str
    age_s: float
    ended: bool


class RequestRow(TypedDict):
    """One row of `requests`."""

    pool: str
    id: int
    request: str
    attempts: list[AttemptRow]


class RefusedKeyRow(TypedDict):
    """A row of `keys` for a certificate file that was rejected."""

    where: str
    refused: str


def address_text(address: tuple[str, int] | None) -> str | None:
    """Return an address as text for operators; a Unix socket has no port."""
    if address is None:
        return None
    return f"{address[0]}:{address[1]}" if address[1] else address[0]


def override_fields(override: AdminOverride) -> OverrideFields:
    """Return the fields of an override that have a value."""
    fields: OverrideFields = {
        "word": override.word,
        "weight": override.weight,
        "by": override.by,
        "reason": override.reason,
        "at": override.at,
        "until": override.until or None,
        "added": address_text(override.address),
    }
    return cast(OverrideFields, {key: value for key, value in fields.items() if value not in (None, "")})


def pool_row(name: str, pool: RunningPool) -> PoolRow:
    """Return the `pools` row of a pool."""
    proxy = pool.proxy
    served, refused, failed = (sum(counts) for counts in zip(*proxy.metrics.ended, strict=True))
    return {
        "pool": name,
        "members": len(proxy.listed),
        "skipped": proxy.avoided_count(),
        "open": len(proxy.open),
        "served": served,
        "refused": refused,
        "failed": failed,
        "attempts": sum(proxy.attempt_counts()),
        "connections": proxy.upstreams.open,
        "tunnels": len(proxy.tunnels.open),
        "frozen": pool.overlay.frozen,
        "refusing": round(proxy.balancer.shed_level, 3),
        "limit": round(proxy.balancer.in_flight_limit),
        "in_flight": proxy.balancer.in_flight,
    }


def endpoint_row(name: str, pool: RunningPool, endpoint_id: str) -> EndpointRow:
    """Return the `members` row of an endpoint, which may be listed or only overridden."""
    listed = pool.overlay.listed().get(endpoint_id)
    override = pool.overlay.overrides.get(endpoint_id)
    endpoint = pool.proxy.balancer.endpoints.get(endpoint_id)
    address = override.address if override is not None else None
    weight = 1.0
    source = "not listed"
    if listed is not None:
        entry, address = listed
        weight = entry.weight
        source = EndpointState(entry.state).name.lower()
    if override is not None and override.weight is not None:
        weight = override.weight
    row: EndpointRow = {
        "pool": name,
        "member": endpoint_id,
        "address": address_text(address),
        "source": source,
        "weight": weight,
        "in_flight": 0 if endpoint is None else len(endpoint.in_flight) + len(endpoint.responding),
        "used": endpoint is not None and not pool.proxy.balancer.avoids(endpoint_id),
    }
    if override is not None:
        row["mark"] = override_fields(override)
    return row
