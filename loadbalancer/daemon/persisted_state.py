"""Reads and writes the replicated state as records of the store.

The store holds its own identity, the acceptor state of this voter, the stores that it has observed at other instances,
the retained commands, and each override and migration as a separate record, so that a command writes only the records
that it changes.
"""

from __future__ import annotations

import random
from typing import Iterable, NamedTuple, Sequence, TypeVar

import msgspec
from msgspec.msgpack import Decoder

from loadbalancer.fleet.orchestration.rollout import RolloutPlan
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.learner import RETAINED_COMMANDS
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore
from loadbalancer.fleet.replication.replicated_state import (
    ItemKind,
    ReplicatedState,
    Snapshot,
    TouchedItem,
    TouchedMigration,
    TouchedOverride,
    VersionedMigration,
    VersionedOverride,
)
from loadbalancer.fleet.replication.voter_registration import GENERATION_NONCE_BITS
from loadbalancer.store.keeper import StoreView

# Record keys and key prefixes.
IDENTITY_KEY = b"fleet/store"
ACCEPTOR_KEY = b"fleet/vote"
HEAD_KEY = b"fleet/head"
OBSERVED_STORE_PREFIX = b"fleet/met/"
COMMAND_PREFIX = b"fleet/log/"
OVERRIDE_PREFIX = b"fleet/mark/"
MIGRATION_PREFIX = b"fleet/move/"

RecordT = TypeVar("RecordT")
_override_decoder: Decoder[VersionedOverride] = Decoder(VersionedOverride)
_migration_decoder: Decoder[VersionedMigration] = Decoder(VersionedMigration)
_acceptor_decoder = Decoder(AcceptorState)
_observed_store_decoder = Decoder(ObservedStore)
_command_decoder = Decoder(Command)


class StoredIdentity(msgspec.Struct, array_like=True):
    """The identity of a store.

    Attributes:
        store: Random id, generated when the store is created.
        opened: Number of openings, shifted left by `GENERATION_NONCE_BITS` random bits generated at each opening.
        is_new: Whether the store still has to be admitted to the vote (`voter_registration.py`). False for stores of
            builds that do not write this field, since those have voted.
    """

    store: str
    opened: int
    is_new: bool = False


class StoredHead(msgspec.Struct, array_like=True):
    """The replicated state without overrides and migrations, which have records of their own."""

    version: int
    voters: dict[str, str]
    frozen: list[str]
    rollout_plan: RolloutPlan | None = None


class PersistedReplica(NamedTuple):
    """The persisted state from which a Paxos replica continues after a restart."""

    acceptor_state: AcceptorState | None
    observed_stores: dict[str, ObservedStore]
    command_log: dict[int, Command]


class RecordChange(NamedTuple):
    """A record to write, or to delete if `value` is None."""

    key: bytes
    value: bytes | None


def open_identity(view: StoreView, source: random.Random) -> StoredIdentity:
    """Read the identity of the store, or generate one if it has none, and count this opening."""
    data = view.get(IDENTITY_KEY)
    if data:
        identity = msgspec.msgpack.decode(data, type=StoredIdentity)
    else:
        identity = StoredIdentity(f"{source.getrandbits(64):016x}", 0, is_new=True)
    openings = (identity.opened >> GENERATION_NONCE_BITS) + 1
    identity.opened = openings << GENERATION_NONCE_BITS | source.getrandbits(GENERATION_NONCE_BITS)
    write_identity(view, identity)
    return identity


def write_identity(view: StoreView, identity: StoredIdentity) -> None:
    """Write the identity of the store."""
    view.put(IDENTITY_KEY, msgspec.msgpack.encode(identity))


def load(view: StoreView, state: ReplicatedState) -> PersistedReplica:
    """Read the replicated state into `state`, and return the rest of the replica's persisted state."""
    data = view.get(HEAD_KEY)
    if data:
        head = msgspec.msgpack.decode(data, type=StoredHead)
        snapshot = Snapshot(
            head.version,
            _load_overrides(view),
            _load_migrations(view),
            head.frozen,
            head.voters,
            head.rollout_plan,
        )
        state.install_snapshot(msgspec.msgpack.encode(snapshot))
    return PersistedReplica(
        _read(view, ACCEPTOR_KEY, _acceptor_decoder) if view.get(ACCEPTOR_KEY) else None,
        {
            key[len(OBSERVED_STORE_PREFIX) :].decode(): _read(view, key, _observed_store_decoder)
            for key in view.keys(OBSERVED_STORE_PREFIX)
        },
        {
            int(key[len(COMMAND_PREFIX) :]): _read(view, key, _command_decoder)
            for key in view.keys(COMMAND_PREFIX)
        },
    )


def _load_overrides(view: StoreView) -> dict[str, dict[str, VersionedOverride]]:
    overrides: dict[str, dict[str, VersionedOverride]] = {}
    for key in view.keys(OVERRIDE_PREFIX):
        pool, endpoint = msgspec.msgpack.decode(key[len(OVERRIDE_PREFIX) :], type=tuple[str, str])
        overrides.setdefault(pool, {})[endpoint] = _read(view, key, _override_decoder)
    return overrides


def _load_migrations(view: StoreView) -> dict[str, VersionedMigration]:
    return {
        key[len(MIGRATION_PREFIX) :].decode(): _read(view, key, _migration_decoder)
        for key in view.keys(MIGRATION_PREFIX)
    }


def _read(view: StoreView, key: bytes, decoder: Decoder[RecordT]) -> RecordT:
    return decoder.decode(view.get(key) or b"")


def write_acceptor_state(
    view: StoreView, acceptor_state: AcceptorState | None, observed: tuple[str, ObservedStore] | None
) -> None:
    """Write this voter's acceptor state, and the store that it has observed at an instance; None is not written."""
    if acceptor_state is not None:
        view.put(ACCEPTOR_KEY, msgspec.msgpack.encode(acceptor_state))
    if observed is not None:
        name, store = observed
        view.put(OBSERVED_STORE_PREFIX + name.encode(), msgspec.msgpack.encode(store))


def encode_touched(state: ReplicatedState, touched: Iterable[TouchedItem]) -> list[RecordChange]:
    """Encode the current values of the items that a command has changed, and of the head, for a later write."""
    changes: list[RecordChange] = []
    for item in touched:
        match item:
            case TouchedOverride(pool=pool, endpoint=endpoint):
                override = state.overrides.get(pool, {}).get(endpoint)
                key = OVERRIDE_PREFIX + msgspec.msgpack.encode((pool, endpoint))
                changes.append(RecordChange(key, msgspec.msgpack.encode(override) if override else None))
            case TouchedMigration(pool=pool):
                migration = state.migrations.get(pool)
                key = MIGRATION_PREFIX + pool.encode()
                changes.append(RecordChange(key, msgspec.msgpack.encode(migration) if migration else None))
    head = StoredHead(state.version, dict(state.voters), sorted(state.frozen), state.rollout_plan)
    changes.append(RecordChange(HEAD_KEY, msgspec.msgpack.encode(head)))
    return changes


def encode_all(state: ReplicatedState) -> list[RecordChange]:
    """Encode the current values of all items of the state, and of the head."""
    items: list[TouchedItem] = [
        TouchedOverride(ItemKind.OVERRIDE, pool, endpoint)
        for pool, overrides in state.overrides.items()
        for endpoint in overrides
    ]
    items.extend(TouchedMigration(ItemKind.MIGRATION, pool) for pool in state.migrations)
    return encode_touched(state, items)


def write_command(view: StoreView, changes: Sequence[RecordChange], version: int, command: Command) -> None:
    """Write the command that results in `version` and the items that it has changed; delete the oldest command."""
    view.put(COMMAND_PREFIX + b"%d" % version, msgspec.msgpack.encode(command))
    view.delete(COMMAND_PREFIX + b"%d" % (version - RETAINED_COMMANDS))
    _write(view, changes)


def write_snapshot(view: StoreView, changes: Sequence[RecordChange]) -> None:
    """Replace all stored items by those of a snapshot, and delete all retained commands."""
    for prefix in (OVERRIDE_PREFIX, MIGRATION_PREFIX, COMMAND_PREFIX):
        for key in view.keys(prefix):
            view.delete(key)
    _write(view, changes)


def _write(view: StoreView, changes: Sequence[RecordChange]) -> None:
    for key, value in changes:
        if value is None:
            view.delete(key)
        else:
            view.put(key, value)
