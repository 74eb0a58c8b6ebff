"""What a daemon has learnt, handed to the one that takes over from it. Pure: bytes in and out, times by the caller.

Passes: error shares, utilization, pace and rows of failures of members, how far they have come since their starts, the
usual times of classes, the level of refusing, marks and moves,
the place in the fleet. Does not pass: requests and what their keys wait for
(they end where they began; what must outlast them is the store's), connections, frozen sources (each daemon follows
anew).

Nothing of it is trusted: a checksum, a version, bounds on sizes and figures, and an age. What is older than AGE_MOST,
or of another life of a member, is not used; all else fades from its own time on, as if it had been learnt here."""

from __future__ import annotations

import math
from typing import Annotated, Mapping, Sequence

import msgspec
from crc32c import crc32c
from msgspec import Meta, Struct

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.membership.member_state import MemberState
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.routing.traffic_migration import Migration

MAGIC = b"micastand learnt 1\n"
#: Bytes of a snapshot at most: some 30,000 members.
BYTES_MOST = 4 << 20
#: Seconds after which nothing of it is used: by then members may have come back, and own samples are there.
AGE_MOST = 15.0

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(max_length=400)]


class SnapshotError(ValueError):
    """The bytes are no snapshot that this program can use; says why."""


class EndpointSnapshot(Struct, array_like=True):
    """One member. Ages in seconds at the snapshot's time; -1 for never."""

    id: Text
    started: float  # as its source says it, Unix seconds, 0 for long ago
    began_age: float  # since it began to count as started or woken
    errors: Share
    errors_age: float
    util: Share
    util_age: float
    pace: Seconds
    pace_age: float
    failed: Annotated[int, Meta(ge=0, le=1000)]
    by_class: dict[Text, tuple[Share, float]]


class PoolSnapshot(Struct, array_like=True):
    name: Text
    members: Annotated[list[EndpointSnapshot], Meta(max_length=50_000)]
    usual: dict[Text, Seconds]  # by class
    shed_level: Annotated[float, Meta(ge=0, le=100)]
    marks: dict[Text, AdminOverride]
    move: Migration | None


class FleetSnapshot(Struct, array_like=True):
    """A place in the fleet. `life`: the number of the life that passes it on; `facts`: what it holds of the others."""

    name: Text
    life: Annotated[int, Meta(ge=0, lt=1 << 40)]
    facts: Annotated[list[MemberState], Meta(max_length=5_000)]
    version: Annotated[int, Meta(ge=0)] = 0  # of the fleet's state, that it acts on
    lease: float = 0.0  # until when it may, on the machine's clock


class Snapshot(Struct, array_like=True):
    at: float  # Unix seconds
    pools: Annotated[list[PoolSnapshot], Meta(max_length=5_000)]
    fleet: FleetSnapshot | None = None


def note_pool(
    name: str, balancer: Balancer, now: float, marks: Mapping[str, AdminOverride], move: Migration | None
) -> PoolSnapshot:
    """`now`: on the balancer's clock."""
    classes = [cls.name for cls in balancer.settings.classes]
    return PoolSnapshot(
        name,
        [_note(server, classes, now) for server in balancer.endpoints.values()],
        dict(zip(classes, balancer.typical_latency, strict=True)),
        min(100.0, balancer.shed_level),
        dict(marks),
        move,
    )


def _age(at: float, now: float) -> float:
    return max(0.0, now - at) if math.isfinite(at) and at > 0 else -1.0


def _note(server: Endpoint, classes: Sequence[str], now: float) -> EndpointSnapshot:
    return EndpointSnapshot(
        server.id,
        server.started if math.isfinite(server.started) else 0.0,
        _age(max(server.started, server.warm_started_at), now),
        min(1.0, server.error_rate),
        _age(server.error_rate_at, now),
        min(1.0, server.utilization),
        _age(server.utilization_at, now),
        server.time_per_attempt,
        _age(server.time_per_attempt_at, now),
        min(1000, server.consecutive_failures),
        {
            classes[n]: (min(1.0, share), _age(at, now))
            for n, (share, at) in server.error_rate_by_class.items()
            if n < len(classes)
        },
    )


def encode(snapshot: Snapshot) -> bytes:
    """Empty where it would be longer than BYTES_MOST: then nothing passes."""
    body = msgspec.msgpack.encode(snapshot)
    data = MAGIC + crc32c(body).to_bytes(4, "big") + body
    return data if len(data) <= BYTES_MOST else b""


def decode(data: bytes) -> Snapshot:
    """LearntError for whatever is not whole, not of this version, or holds figures that can't be."""
    if len(data) > BYTES_MOST:
        raise SnapshotError(f"{len(data)} bytes; at most {BYTES_MOST}")
    if not data.startswith(MAGIC):
        raise SnapshotError("not of this version")
    head = len(MAGIC) + 4
    body = data[head:]
    if crc32c(body) != int.from_bytes(data[len(MAGIC) : head], "big"):
        raise SnapshotError("damaged")
    try:
        found = msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise SnapshotError(f"not a snapshot: {problem}") from None
    if not math.isfinite(found.at):
        raise SnapshotError("of no time")
    return found


def is_young(snapshot: Snapshot, unix: float) -> bool:
    """Whether anything of it may be used at this Unix time; one of the future is of another clock."""
    return -1.0 <= unix - snapshot.at <= AGE_MOST


def restore_pool(note: PoolSnapshot, balancer: Balancer, now: float, passed: float) -> int:
    """Let the decisions of a pool go on from it; the number of members that it held for. `now`: on the balancer's
    clock; `passed`: seconds since the snapshot. Guards against a new process that draws failing members like sound
    ones, and that pushes over a cold one which it takes for warm. Harm: a member that recovered in between is avoided
    until what was known of it has faded."""
    numbers = {cls.name: number for number, cls in enumerate(balancer.settings.classes)}
    for name, usual in note.usual.items():
        if name in numbers and math.isfinite(usual):
            balancer.typical_latency[numbers[name]] = usual
    balancer.shed_level = note.shed_level if math.isfinite(note.shed_level) else 0.0
    used = 0
    for member in note.members:
        server = balancer.endpoints.get(member.id)
        if server is not None and _is_same_life(member, server):
            _restore(member, server, numbers, now - passed)
            used += 1
    return used


def _is_same_life(member: EndpointSnapshot, server: Endpoint) -> bool:
    """A start that the source states now must be the one that was known; one that only the old process saw counts."""
    return server.started <= 0 or server.started == member.started


def _restore(member: EndpointSnapshot, server: Endpoint, numbers: Mapping[str, int], then: float) -> None:
    def at(age: float) -> float:
        return then - age if math.isfinite(age) and age >= 0 else -math.inf

    def share(value: float) -> float:
        return value if math.isfinite(value) else 0.0

    server.error_rate, server.error_rate_at = share(member.errors), max(0.0, at(member.errors_age))
    server.utilization, server.utilization_at = share(member.util), max(0.0, at(member.util_age))
    if math.isfinite(member.pace) and member.pace > 0:
        server.time_per_attempt, server.time_per_attempt_at = member.pace, at(member.pace_age)
    server.consecutive_failures = member.failed
    server.warm_started_at = max(server.warm_started_at, at(member.began_age))
    for name, (value, age) in member.by_class.items():
        if name in numbers:
            server.error_rate_by_class[numbers[name]] = share(value), max(0.0, at(age))
