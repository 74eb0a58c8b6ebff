"""Snapshots of a daemon's state, for the process that takes over in a hot restart and for other instances of its fleet.

A snapshot holds error rates, utilization, response times and failures of endpoints, how long they have been warming up,
the usual response time of each request class, the level of load shedding, overrides and migrations, and the membership
in the fleet. It holds no requests, keys or connections: those end in the process where they began, and state that must
outlast a process is in the store.

A snapshot is untrusted input: the reader verifies its checksum, version, sizes, values and age. A snapshot older than
MAX_AGE_S, or data of another start of an endpoint, is not used. Everything else decays from the time when it was
measured, as if the reader had measured it.
"""

from __future__ import annotations

import math
from typing import Annotated, Mapping, Sequence

import msgspec
from crc32c import crc32c
from msgspec import Meta, Struct

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.routing.traffic_migration import Migration

MAGIC = b"micastand learnt 1\n"
#: Enough for some 30,000 endpoints.
MAX_SNAPSHOT_BYTES = 4 << 20
#: Older snapshots are not used: endpoints may have recovered, and the new process has samples of its own.
MAX_AGE_S = 15.0
#: How far a snapshot's time may lie in the future; a later time comes from another clock.
MAX_CLOCK_SKEW_S = 1.0
#: Stands for the age of a sample that does not exist.
NEVER = -1.0
MAX_CONSECUTIVE_FAILURES = 1000
MAX_SHED_LEVEL = 100.0

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(max_length=400)]


class SnapshotError(ValueError):
    """The bytes are not a snapshot that this program can use; the message gives the reason."""


class EndpointSnapshot(Struct, array_like=True):
    """The state of one endpoint. Ages are in seconds at the time of the snapshot; NEVER where there is no sample."""

    id: Text
    started: float  # Unix time of its start as stated by its source; 0 for long ago
    warming_age: float  # since its warm-up began
    error_rate: Share
    error_rate_age: float
    utilization: Share
    utilization_age: float
    time_per_attempt: Seconds
    time_per_attempt_age: float
    consecutive_failures: Annotated[int, Meta(ge=0, le=MAX_CONSECUTIVE_FAILURES)]
    error_rate_by_class: dict[Text, tuple[Share, float]]  # each with its age


class PoolSnapshot(Struct, array_like=True):
    """The state of one pool."""

    name: Text
    endpoints: Annotated[list[EndpointSnapshot], Meta(max_length=50_000)]
    usual_times: dict[Text, Seconds]  # usual response time by request class
    shed_level: Annotated[float, Meta(ge=0, le=MAX_SHED_LEVEL)]
    overrides: dict[Text, AdminOverride]  # by endpoint id
    migration: Migration | None


class FleetSnapshot(Struct, array_like=True):
    """The state of an instance's membership in the fleet."""

    name: Text
    generation: Annotated[int, Meta(ge=0, lt=1 << 40)]  # of the process that takes the snapshot
    member_states: Annotated[list[MemberState], Meta(max_length=5_000)]
    version: Annotated[int, Meta(ge=0)] = 0  # version of the replicated state that the process has applied
    lease_end: float = 0.0  # on the machine's clock, in seconds


class Snapshot(Struct, array_like=True):
    """The state of one process."""

    at: float  # Unix time in seconds
    pools: Annotated[list[PoolSnapshot], Meta(max_length=5_000)]
    fleet: FleetSnapshot | None = None


def snapshot_pool(
    name: str,
    balancer: Balancer,
    now: float,
    overrides: Mapping[str, AdminOverride],
    migration: Migration | None,
) -> PoolSnapshot:
    """Take a snapshot of a pool; `now` is the time of the balancer's clock."""
    classes = [cls.name for cls in balancer.settings.classes]
    return PoolSnapshot(
        name,
        [_snapshot_endpoint(endpoint, classes, now) for endpoint in balancer.endpoints.values()],
        dict(zip(classes, balancer.typical_latency, strict=True)),
        min(MAX_SHED_LEVEL, balancer.shed_level),
        dict(overrides),
        migration,
    )


def _age(at: float, now: float) -> float:
    return max(0.0, now - at) if math.isfinite(at) and at > 0 else NEVER


def _snapshot_endpoint(endpoint: Endpoint, classes: Sequence[str], now: float) -> EndpointSnapshot:
    return EndpointSnapshot(
        endpoint.id,
        endpoint.started if math.isfinite(endpoint.started) else 0.0,
        _age(max(endpoint.started, endpoint.warm_started_at), now),
        min(1.0, endpoint.error_rate),
        _age(endpoint.error_rate_at, now),
        min(1.0, endpoint.utilization),
        _age(endpoint.utilization_at, now),
        endpoint.time_per_attempt,
        _age(endpoint.time_per_attempt_at, now),
        min(MAX_CONSECUTIVE_FAILURES, endpoint.consecutive_failures),
        {
            classes[number]: (min(1.0, rate), _age(at, now))
            for number, (rate, at) in endpoint.error_rate_by_class.items()
            if number < len(classes)
        },
    )


def encode(snapshot: Snapshot) -> bytes:
    """Encode a snapshot; return no bytes, and so pass nothing on, where it exceeds MAX_SNAPSHOT_BYTES."""
    body = msgspec.msgpack.encode(snapshot)
    data = MAGIC + crc32c(body).to_bytes(4, "big") + body
    return data if len(data) <= MAX_SNAPSHOT_BYTES else b""


def decode(data: bytes) -> Snapshot:
    """Decode and validate a snapshot.

    Raises:
        SnapshotError: It is incomplete, damaged, of another version, or holds invalid values.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise SnapshotError(f"{len(data)} bytes; at most {MAX_SNAPSHOT_BYTES}")
    if not data.startswith(MAGIC):
        raise SnapshotError("not of this version")
    header_bytes = len(MAGIC) + 4
    body = data[header_bytes:]
    if crc32c(body) != int.from_bytes(data[len(MAGIC) : header_bytes], "big"):
        raise SnapshotError("damaged")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise SnapshotError(f"not a snapshot: {problem}") from None
    if not math.isfinite(snapshot.at):
        raise SnapshotError("of no time")
    return snapshot


def is_recent(snapshot: Snapshot, now: float) -> bool:
    """Return whether a snapshot may be used at this Unix time."""
    return -MAX_CLOCK_SKEW_S <= now - snapshot.at <= MAX_AGE_S


def restore_pool(snapshot: PoolSnapshot, balancer: Balancer, now: float, age: float) -> int:
    """Restore a pool's balancer from a snapshot.

    Otherwise a new process would select failing endpoints as often as others, and treat endpoints that are still
    warming up as warm. The trade-off: an endpoint that recovered in between is avoided until the old samples have
    decayed.

    Args:
        snapshot: The snapshot of the pool.
        balancer: The balancer to restore; endpoints and classes that it does not have are skipped.
        now: Time of the balancer's clock.
        age: Seconds since the snapshot was taken.

    Returns:
        The number of restored endpoints.
    """
    class_numbers = {cls.name: number for number, cls in enumerate(balancer.settings.classes)}
    for name, usual_time in snapshot.usual_times.items():
        if name in class_numbers and math.isfinite(usual_time):
            balancer.typical_latency[class_numbers[name]] = usual_time
    balancer.shed_level = snapshot.shed_level if math.isfinite(snapshot.shed_level) else 0.0
    restored = 0
    for endpoint_snapshot in snapshot.endpoints:
        endpoint = balancer.endpoints.get(endpoint_snapshot.id)
        if endpoint is not None and _is_same_start(endpoint_snapshot, endpoint):
            _restore_endpoint(endpoint_snapshot, endpoint, class_numbers, now - age)
            restored += 1
    return restored


def _is_same_start(snapshot: EndpointSnapshot, endpoint: Endpoint) -> bool:
    """Return whether a snapshot is of the endpoint's current start; true where its source states no start."""
    return endpoint.started <= 0 or endpoint.started == snapshot.started


def _restore_endpoint(
    snapshot: EndpointSnapshot, endpoint: Endpoint, class_numbers: Mapping[str, int], taken_at: float
) -> None:
    def time_of(age: float) -> float:
        return taken_at - age if math.isfinite(age) and age >= 0 else -math.inf

    def finite(value: float) -> float:
        return value if math.isfinite(value) else 0.0

    endpoint.error_rate = finite(snapshot.error_rate)
    endpoint.error_rate_at = max(0.0, time_of(snapshot.error_rate_age))
    endpoint.utilization = finite(snapshot.utilization)
    endpoint.utilization_at = max(0.0, time_of(snapshot.utilization_age))
    if math.isfinite(snapshot.time_per_attempt) and snapshot.time_per_attempt > 0:
        endpoint.restore_time_per_attempt(snapshot.time_per_attempt, time_of(snapshot.time_per_attempt_age))
    endpoint.consecutive_failures = snapshot.consecutive_failures
    endpoint.warm_started_at = max(endpoint.warm_started_at, time_of(snapshot.warming_age))
    for name, (rate, age) in snapshot.error_rate_by_class.items():
        if name in class_numbers:
            endpoint.error_rate_by_class[class_numbers[name]] = finite(rate), max(0.0, time_of(age))
