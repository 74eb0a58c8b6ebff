"""What operators have said, as one versioned state that all instances share. Pure.

Rules:

1. A version is the number of changes so far; the same changes in the same order make the same state, byte for byte.
2. A change of a kind that this build does not know is kept and not applied: the instance is behind from there on, and
   never drops or guesses what it can't read.
3. The roster (who votes on changes, by name, with the store that holds its votes) is part of the state; one change
   moves it by one step, so that a majority before and a majority after always share a voter.
4. Times at which something ends are durations here: each instance counts them on its own clock from when it took the
   change up, and the end is a change like any other, so a clock that is hours off ends nothing early.
"""

from __future__ import annotations

from typing import Annotated, Any, Callable, Mapping

import msgspec
from blake3 import blake3
from msgspec import Meta, Struct

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import OPEN, PlanBody, RolloutPlan, StageBody
from loadbalancer.routing.traffic_migration import Migration

#: Bytes of one change, so that it goes into a datagram with all that is said about it.
CHANGE_MOST = 800
#: Members, pools and names that a state holds at most; past it a change is refused.
MARKS_MOST = 200_000
ROSTER_MOST = 64

Text = Annotated[str, Meta(max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=48)]


class Command(Struct, frozen=True, array_like=True):
    """`id`: of whoever proposed it, no other has it. `body`: by kind, MessagePack."""

    id: Annotated[str, Meta(max_length=80)]
    kind: Annotated[str, Meta(max_length=16)]
    body: Annotated[bytes, Meta(max_length=CHANGE_MOST)]
    by: Text = ""
    reason: Text = ""
    at: float = 0.0  # Unix time at the proposer, for people


class MarkBody(Struct, frozen=True, array_like=True):
    """What stands of these members of a pool from here on; None takes the mark away. `lasts`: seconds, 0 for no end.
    `of`: only where it was version `of` that has said what stands; 0 in any case."""

    pool: Text
    overrides: dict[str, AdminOverride | None]
    duration: float = 0.0
    expected_version: int = 0


class MoveBody(Struct, frozen=True, array_like=True):
    pool: Text
    migration: Migration | None
    duration: float = 0.0
    expected_version: int = 0


class FreezeBody(Struct, frozen=True, array_like=True):
    pool: Text
    frozen: bool


class RosterBody(Struct, frozen=True, array_like=True):
    """`store`: the store that holds the votes of `name` from here on; empty takes the name off the roster."""

    name: Name
    store: Annotated[str, Meta(max_length=40)]


class RecoverBody(Struct, frozen=True, array_like=True):
    """An operator's word after a majority was lost for good: who votes from here on."""

    voters: dict[str, str]


class StateError(ValueError):
    """A change that can't be part of the state; says why."""


BODIES: Mapping[str, type[Struct]] = {
    "mark": MarkBody, "move": MoveBody, "freeze": FreezeBody, "roster": RosterBody, "recover": RecoverBody,
    "plan": PlanBody, "stage": StageBody, "nothing": Struct,
}  # fmt: skip


class Snapshot(Struct, array_like=True):
    """A state in one piece. Its bytes are the same at all instances of one version."""

    version: int
    overrides: dict[
        str, dict[str, tuple[AdminOverride, float, int]]
    ]  # with how long it lasts, and the version that said so
    migrations: dict[str, tuple[Migration, float, int]]
    frozen: list[str]
    voters: dict[str, str]
    rollout_plan: RolloutPlan | None = None


class ReplicatedState:
    """The state. `touched` tells what a change has changed: ("mark", pool, member), ("move", pool) and the like."""

    def __init__(self, roster: Mapping[str, str]) -> None:
        self.version = 0
        self.overrides: dict[str, dict[str, tuple[AdminOverride, float, int]]] = {}
        self.migrations: dict[str, tuple[Migration, float, int]] = {}
        self.frozen: set[str] = set()
        self.rollout_plan: RolloutPlan | None = None  # the latest roll-out
        self.voters: dict[str, str] = dict(roster)
        self._count = 0
        self._takes: Mapping[type, Callable[[Any], list[tuple[str, ...]]]] = {
            MarkBody: self._take_marks,
            MoveBody: self._take_move,
            FreezeBody: self._take_freeze,
            RosterBody: self._take_roster,
            RecoverBody: self._take_recover,
            PlanBody: self._take_plan,
            StageBody: self._stage,
        }

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def apply(self, change: Command) -> list[tuple[str, ...]]:
        """Take up the next change. StateError, and nothing has changed, where this build can't read it."""
        body = read_body(change)
        self.version += 1
        take = self._takes.get(type(body))
        return take(body) if take is not None else []

    def _take_marks(self, body: MarkBody) -> list[tuple[str, ...]]:
        touched = [member for member in body.overrides if self._is_of(body, member)]
        for member in touched:
            self._mark(body.pool, member, body.overrides[member], body.duration)
        return [("mark", body.pool, member) for member in touched]

    def _take_move(self, body: MoveBody) -> list[tuple[str, ...]]:
        if (
            body.expected_version
            and self.migrations.get(body.pool, (None, 0.0, 0))[2] != body.expected_version
        ):
            return []
        self.migrations.pop(body.pool, None)
        if body.migration is not None:
            self.migrations[body.pool] = body.migration, body.duration, self.version
        return [("move", body.pool)]

    def _take_freeze(self, body: FreezeBody) -> list[tuple[str, ...]]:
        (self.frozen.add if body.frozen else self.frozen.discard)(body.pool)
        return [("freeze", body.pool)]

    def _take_roster(self, body: RosterBody) -> list[tuple[str, ...]]:
        if body.store:
            self.voters[body.name] = body.store
        else:
            self.voters.pop(body.name, None)
        return [("roster", body.name)]

    def _take_recover(self, body: RecoverBody) -> list[tuple[str, ...]]:
        self.voters = dict(body.voters)
        return [("roster", name) for name in body.voters]

    def _take_plan(self, body: PlanBody) -> list[tuple[str, ...]]:
        self.rollout_plan = RolloutPlan(body.id, body.digest, body.origin, body.soak, version=self.version)
        return [("plan",)]

    def _stage(self, body: StageBody) -> list[tuple[str, ...]]:
        plan = self.rollout_plan
        if plan is None or plan.id != body.id or plan.stage != body.frm:
            return []  # another has been there first
        plan.stage, plan.why, plan.old_bad, plan.version = body.to, body.why, body.old_bad, self.version
        return [("plan",)]

    def _is_of(self, body: MarkBody, member: str) -> bool:
        stands = self.overrides.get(body.pool, {}).get(member)
        return not body.expected_version or (stands is not None and stands[2] == body.expected_version)

    def _mark(self, pool: str, member: str, mark: AdminOverride | None, lasts: float) -> None:
        marks = self.overrides.setdefault(pool, {})
        self._count -= marks.pop(member, None) is not None
        if mark is not None:
            marks[member] = mark, lasts, self.version
            self._count += 1
        elif not marks:
            del self.overrides[pool]

    def check(self, change: Command) -> None:
        """StateError where it may not be proposed now."""
        body = read_body(change)
        if isinstance(body, MarkBody) and self._count + len(body.overrides) > MARKS_MOST:
            raise StateError(f"{self._count} marks stand; at most {MARKS_MOST}")
        if (
            isinstance(body, PlanBody)
            and self.rollout_plan is not None
            and self.rollout_plan.stage in (*OPEN, "halted")
        ):
            raise StateError(
                f"roll-out {self.rollout_plan.id} is under way ({self.rollout_plan.stage}); take it back first"
            )
        if isinstance(body, RosterBody):
            if body.store and body.name not in self.voters and len(self.voters) >= ROSTER_MOST:
                raise StateError(f"{len(self.voters)} vote; at most {ROSTER_MOST}")
            if not body.store and body.name not in self.voters:
                raise StateError(f"{body.name!r} is not on the roster: {', '.join(sorted(self.voters))}")
            if not body.store and len(self.voters) == 1:
                raise StateError("the last one who votes can't be taken off")

    # Whole.

    def encode(self) -> bytes:
        marks = {pool: dict(sorted(those.items())) for pool, those in sorted(self.overrides.items())}
        roster, moves = dict(sorted(self.voters.items())), dict(sorted(self.migrations.items()))
        return msgspec.msgpack.encode(
            Snapshot(self.version, marks, moves, sorted(self.frozen), roster, self.rollout_plan)
        )

    def digest(self) -> str:
        return blake3(self.encode()).hexdigest(16)

    def install_snapshot(self, data: bytes) -> None:
        """StateError, and nothing has changed, for bytes that are no state."""
        try:
            found = msgspec.msgpack.decode(data, type=Snapshot)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
            raise StateError(f"no state: {problem}") from None
        self.version, self.overrides, self.migrations = found.version, found.overrides, found.migrations
        self.frozen, self.voters, self.rollout_plan = set(found.frozen), found.voters, found.rollout_plan
        self._count = sum(map(len, found.overrides.values()))


def read_body(change: Command) -> Any:
    kind = BODIES.get(change.kind)
    if kind is None:
        raise StateError(f"a change of kind {change.kind!r}, which this build does not know")
    if kind is Struct:
        return None
    try:
        return msgspec.msgpack.decode(change.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise StateError(f"a change that can't be read: {problem}") from None


def write_body(body: Struct) -> bytes:
    """StateError where it is too long for one change."""
    data = msgspec.msgpack.encode(body)
    if len(data) > CHANGE_MOST:
        raise StateError(
            f"{len(data)} bytes in one change; at most {CHANGE_MOST}: name fewer members, or say less"
        )
    return data


NO_OPERATION = Command("", "nothing", b"")
