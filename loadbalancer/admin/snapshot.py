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

from loadbalancer.discovery.overrides import Mark
from loadbalancer.fleet.membership.member_state import Fact
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import Server
from loadbalancer.routing.traffic_migration import Move

MAGIC = b"micastand learnt 1\n"
#: Bytes of a snapshot at most: some 30,000 members.
BYTES_MOST = 4 << 20
#: Seconds after which nothing of it is used: by then members may have come back, and own samples are there.
AGE_MOST = 15.0

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(max_length=400)]


class LearntError(ValueError):
    """The bytes are no snapshot that this program can use; says why."""


class MemberNote(Struct, array_like=True):
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


class PoolNote(Struct, array_like=True):
    name: Text
    members: Annotated[list[MemberNote], Meta(max_length=50_000)]
    usual: dict[Text, Seconds]  # by class
    shed_level: Annotated[float, Meta(ge=0, le=100)]
    marks: dict[Text, Mark]
    move: Move | None


class FleetNote(Struct, array_like=True):
    """A place in the fleet. `life`: the number of the life that passes it on; `facts`: what it holds of the others."""

    name: Text
    life: Annotated[int, Meta(ge=0, lt=1 << 40)]
    facts: Annotated[list[Fact], Meta(max_length=5_000)]
    version: Annotated[int, Meta(ge=0)] = 0  # of the fleet's state, that it acts on
    lease: float = 0.0  # until when it may, on the machine's clock


class Snapshot(Struct, array_like=True):
    at: float  # Unix seconds
    pools: Annotated[list[PoolNote], Meta(max_length=5_000)]
    fleet: FleetNote | None = None


def note_pool(
    name: str, balancer: Balancer, now: float, marks: Mapping[str, Mark], move: Move | None
) -> PoolNote:
    """`now`: on the balancer's clock."""
    classes = [cls.name for cls in balancer.settings.classes]
    return PoolNote(
        name,
        [_note(server, classes, now) for server in balancer.servers.values()],
        dict(zip(classes, balancer.usual, strict=True)),
        min(100.0, balancer.shed_level),
        dict(marks),
        move,
    )


def _age(at: float, now: float) -> float:
    return max(0.0, now - at) if math.isfinite(at) and at > 0 else -1.0


def _note(server: Server, classes: Sequence[str], now: float) -> MemberNote:
    return MemberNote(
        server.id,
        server.started if math.isfinite(server.started) else 0.0,
        _age(max(server.started, server.woken), now),
        min(1.0, server.errors),
        _age(server.errors_at, now),
        min(1.0, server.util),
        _age(server.util_at, now),
        server.pace,
        _age(server.pace_at, now),
        min(1000, server.failed),
        {
            classes[n]: (min(1.0, share), _age(at, now))
            for n, (share, at) in server.by_class.items()
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
        raise LearntError(f"{len(data)} bytes; at most {BYTES_MOST}")
    if not data.startswith(MAGIC):
        raise LearntError("not of this version")
    head = len(MAGIC) + 4
    body = data[head:]
    if crc32c(body) != int.from_bytes(data[len(MAGIC) : head], "big"):
        raise LearntError("damaged")
    try:
        found = msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.ValidationError, msgspec.DecodeError) as problem:
        raise LearntError(f"not a snapshot: {problem}") from None
    if not math.isfinite(found.at):
        raise LearntError("of no time")
    return found


def is_young(snapshot: Snapshot, unix: float) -> bool:
    """Whether anything of it may be used at this Unix time; one of the future is of another clock."""
    return -1.0 <= unix - snapshot.at <= AGE_MOST


def restore_pool(note: PoolNote, balancer: Balancer, now: float, passed: float) -> int:
    """Let the decisions of a pool go on from it; the number of members that it held for. `now`: on the balancer's
    clock; `passed`: seconds since the snapshot. Guards against a new process that draws failing members like sound
    ones, and that pushes over a cold one which it takes for warm. Harm: a member that recovered in between is avoided
    until what was known of it has faded."""
    numbers = {cls.name: number for number, cls in enumerate(balancer.settings.classes)}
    for name, usual in note.usual.items():
        if name in numbers and math.isfinite(usual):
            balancer.usual[numbers[name]] = usual
    balancer.shed_level = note.shed_level if math.isfinite(note.shed_level) else 0.0
    used = 0
    for member in note.members:
        server = balancer.servers.get(member.id)
        if server is not None and _is_same_life(member, server):
            _restore(member, server, numbers, now - passed)
            used += 1
    return used


def _is_same_life(member: MemberNote, server: Server) -> bool:
    """A start that the source states now must be the one that was known; one that only the old process saw counts."""
    return server.started <= 0 or server.started == member.started


def _restore(member: MemberNote, server: Server, numbers: Mapping[str, int], then: float) -> None:
    def at(age: float) -> float:
        return then - age if math.isfinite(age) and age >= 0 else -math.inf

    def share(value: float) -> float:
        return value if math.isfinite(value) else 0.0

    server.errors, server.errors_at = share(member.errors), max(0.0, at(member.errors_age))
    server.util, server.util_at = share(member.util), max(0.0, at(member.util_age))
    if math.isfinite(member.pace) and member.pace > 0:
        server.pace, server.pace_at = member.pace, at(member.pace_age)
    server.failed = member.failed
    server.woken = max(server.woken, at(member.began_age))
    for name, (value, age) in member.by_class.items():
        if name in numbers:
            server.by_class[numbers[name]] = share(value), max(0.0, at(age))
