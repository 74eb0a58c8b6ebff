"""The state machine that decided commands are applied to: overrides, migrations, frozen pools, voters, a rollout plan.

Rules:

1. A version is the number of commands applied; the same commands in the same order produce the same state, byte for
   byte.
2. A command that this build can't read is not applied: the instance stays at the version before it, and never skips or
   guesses a command.
3. The voters, with the store that holds each one's votes, are part of the state. One command changes one voter, so that
   every majority before it and every majority after it share a voter.
4. Durations, not points in time, say when an item expires: each instance counts from when it applied the command, and
   the expiry is a separate command, so that a clock that is hours off ends nothing early.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Literal, Mapping, NamedTuple, Union

import msgspec
from blake3 import blake3
from msgspec import Struct

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.orchestration.rollout import (
    ACTIVE_STAGES,
    PlanBody,
    RolloutPlan,
    RolloutStage,
    StageBody,
)
from loadbalancer.fleet.replication.commands import (
    Command,
    CommandBody,
    FreezeBody,
    MigrationBody,
    OverrideBody,
    RecoverBody,
    VoterBody,
    read_body,
)
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.routing.traffic_migration import Migration

__all__ = [
    "MAX_OVERRIDES",
    "MAX_VOTERS",
    "ItemKind",
    "ReplicatedState",
    "Snapshot",
    "TouchedFreeze",
    "TouchedItem",
    "TouchedMigration",
    "TouchedOverride",
    "TouchedPlan",
    "TouchedVoter",
    "VersionedMigration",
    "VersionedOverride",
]

#: Maximum numbers of overrides and voters in a state; a command that exceeds them is rejected.
MAX_OVERRIDES = 200_000
MAX_VOTERS = 64


class VersionedOverride(NamedTuple):
    """An override with its duration in seconds (0 for unlimited) and the version that has set it."""

    override: AdminOverride
    duration: float
    version: int


class VersionedMigration(NamedTuple):
    """A migration with its duration in seconds (0 for unlimited) and the version that has set it."""

    migration: Migration
    duration: float
    version: int


class ItemKind(StrEnum):
    """Kinds of items in the replicated state."""

    OVERRIDE = "mark"
    MIGRATION = "move"
    FREEZE = "freeze"
    VOTER = "roster"
    PLAN = "plan"


class TouchedOverride(NamedTuple):
    """The override of one endpoint was set or lifted."""

    kind: Literal[ItemKind.OVERRIDE]
    pool: str
    endpoint: str


class TouchedMigration(NamedTuple):
    """The migration of a pool was started or ended."""

    kind: Literal[ItemKind.MIGRATION]
    pool: str


class TouchedFreeze(NamedTuple):
    """A pool was frozen or unfrozen."""

    kind: Literal[ItemKind.FREEZE]
    pool: str


class TouchedVoter(NamedTuple):
    """A voter was added or removed, or another store was registered for it."""

    kind: Literal[ItemKind.VOTER]
    voter: str


class TouchedPlan(NamedTuple):
    """The rollout plan was replaced, or has entered another stage."""

    kind: Literal[ItemKind.PLAN]


#: One item of the state that a command has changed. The kind is the first field of each, and distinguishes them.
TouchedItem = Union[TouchedOverride, TouchedMigration, TouchedFreeze, TouchedVoter, TouchedPlan]


class Snapshot(Struct, array_like=True):
    """The complete replicated state; its encoding is identical at all instances of one version.

    Attributes:
        version: Number of commands applied.
        overrides: Overrides by pool and endpoint.
        migrations: Migrations by pool.
        frozen: Names of frozen pools, sorted.
        voters: Store identity by voter; empty accepts the first store that the voter presents.
        rollout_plan: The latest plan.
    """

    version: int
    overrides: dict[str, dict[str, VersionedOverride]]
    migrations: dict[str, VersionedMigration]
    frozen: list[str]
    voters: dict[str, str]
    rollout_plan: RolloutPlan | None = None


class ReplicatedState:
    """The replicated state of one instance; the attributes are those of `Snapshot`."""

    def __init__(self, voters: Mapping[str, str]) -> None:
        self.version = 0
        self.overrides: dict[str, dict[str, VersionedOverride]] = {}
        self.migrations: dict[str, VersionedMigration] = {}
        self.frozen: set[str] = set()
        self.rollout_plan: RolloutPlan | None = None
        self.voters: dict[str, str] = dict(voters)
        self._override_count = 0

    @property
    def majority(self) -> int:
        """Number of voters in a quorum."""
        return len(self.voters) // 2 + 1

    def apply(self, command: Command) -> tuple[TouchedItem, ...]:
        """Apply the next command.

        Returns:
            The items that it has changed.

        Raises:
            StateError: This build can't read the command; the state is unchanged.
        """
        body = read_body(command)
        self.version += 1
        return () if body is None else self._apply_body(body)

    def _apply_body(self, body: CommandBody) -> tuple[TouchedItem, ...]:
        match body:
            case OverrideBody():
                return self._apply_overrides(body)
            case MigrationBody():
                return self._apply_migration(body)
            case FreezeBody():
                return self._apply_freeze(body)
            case VoterBody():
                return self._apply_voter(body)
            case RecoverBody():
                self.voters = dict(body.voters)
                return tuple(TouchedVoter(ItemKind.VOTER, name) for name in body.voters)
            case PlanBody():
                return self._apply_plan(body)
            case StageBody():
                return self._apply_stage(body)

    def _apply_overrides(self, body: OverrideBody) -> tuple[TouchedItem, ...]:
        endpoints = [endpoint for endpoint in body.overrides if self._is_expected(body, endpoint)]
        for endpoint in endpoints:
            self._set_override(body.pool, endpoint, body.overrides[endpoint], body.duration)
        return tuple(TouchedOverride(ItemKind.OVERRIDE, body.pool, endpoint) for endpoint in endpoints)

    def _is_expected(self, body: OverrideBody, endpoint: str) -> bool:
        """Return whether the endpoint's override is still the one that the command expects."""
        current = self.overrides.get(body.pool, {}).get(endpoint)
        return not body.expected_version or (current is not None and current.version == body.expected_version)

    def _set_override(
        self, pool: str, endpoint: str, override: AdminOverride | None, duration: float
    ) -> None:
        overrides = self.overrides.setdefault(pool, {})
        if overrides.pop(endpoint, None) is not None:
            self._override_count -= 1
        if override is not None:
            overrides[endpoint] = VersionedOverride(override, duration, self.version)
            self._override_count += 1
        elif not overrides:
            del self.overrides[pool]

    def _apply_migration(self, body: MigrationBody) -> tuple[TouchedItem, ...]:
        current = self.migrations.get(body.pool)
        current_version = current.version if current is not None else 0
        if body.expected_version and current_version != body.expected_version:
            return ()
        self.migrations.pop(body.pool, None)
        if body.migration is not None:
            self.migrations[body.pool] = VersionedMigration(body.migration, body.duration, self.version)
        return (TouchedMigration(ItemKind.MIGRATION, body.pool),)

    def _apply_freeze(self, body: FreezeBody) -> tuple[TouchedItem, ...]:
        if body.frozen:
            self.frozen.add(body.pool)
        else:
            self.frozen.discard(body.pool)
        return (TouchedFreeze(ItemKind.FREEZE, body.pool),)

    def _apply_voter(self, body: VoterBody) -> tuple[TouchedItem, ...]:
        if body.store:
            self.voters[body.name] = body.store
        else:
            self.voters.pop(body.name, None)
        return (TouchedVoter(ItemKind.VOTER, body.name),)

    def _apply_plan(self, body: PlanBody) -> tuple[TouchedItem, ...]:
        self.rollout_plan = RolloutPlan(body.id, body.digest, body.origin, body.soak, version=self.version)
        return (TouchedPlan(ItemKind.PLAN),)

    def _apply_stage(self, body: StageBody) -> tuple[TouchedItem, ...]:
        plan = self.rollout_plan
        if plan is None or plan.id != body.id or plan.stage != body.frm:
            return ()  # another instance has advanced the plan already
        plan.stage = body.to
        plan.why = body.why
        plan.old_bad = body.old_bad
        plan.version = self.version
        return (TouchedPlan(ItemKind.PLAN),)

    def check(self, command: Command) -> None:
        """Check a command before it is proposed.

        Raises:
            StateError: It must not be proposed in the current state.
        """
        match read_body(command):
            case OverrideBody() as body:
                self._check_overrides(body)
            case PlanBody():
                self._check_plan()
            case VoterBody() as body:
                self._check_voter(body)

    def _check_overrides(self, body: OverrideBody) -> None:
        if self._override_count + len(body.overrides) > MAX_OVERRIDES:
            raise StateError(f"{self._override_count} marks stand; at most {MAX_OVERRIDES}")

    def _check_plan(self) -> None:
        plan = self.rollout_plan
        if plan is not None and plan.stage in (*ACTIVE_STAGES, RolloutStage.HALTED):
            raise StateError(f"roll-out {plan.id} is under way ({plan.stage}); take it back first")

    def _check_voter(self, body: VoterBody) -> None:
        is_voter = body.name in self.voters
        if body.store:
            if not is_voter and len(self.voters) >= MAX_VOTERS:
                raise StateError(f"{len(self.voters)} vote; at most {MAX_VOTERS}")
            return
        if not is_voter:
            raise StateError(f"{body.name!r} is not on the roster: {', '.join(sorted(self.voters))}")
        if len(self.voters) == 1:
            raise StateError("the last one who votes can't be taken off")

    # Snapshots.

    def encode(self) -> bytes:
        """Return the state as an encoded `Snapshot`."""
        snapshot = Snapshot(
            version=self.version,
            overrides={pool: dict(sorted(items.items())) for pool, items in sorted(self.overrides.items())},
            migrations=dict(sorted(self.migrations.items())),
            frozen=sorted(self.frozen),
            voters=dict(sorted(self.voters.items())),
            rollout_plan=self.rollout_plan,
        )
        return msgspec.msgpack.encode(snapshot)

    def digest(self) -> str:
        """Return the BLAKE3 digest of the encoded state: 16 bytes as hexadecimal digits."""
        return blake3(self.encode()).hexdigest(16)

    def install_snapshot(self, data: bytes) -> None:
        """Replace the whole state by an encoded snapshot.

        Raises:
            StateError: The bytes are not a valid snapshot; the state is unchanged.
        """
        try:
            snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise StateError(f"no state: {error}") from None
        self.version = snapshot.version
        self.overrides = snapshot.overrides
        self.migrations = snapshot.migrations
        self.frozen = set(snapshot.frozen)
        self.voters = snapshot.voters
        self.rollout_plan = snapshot.rollout_plan
        self._override_count = sum(map(len, snapshot.overrides.values()))
