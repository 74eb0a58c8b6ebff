"""The versioned state as the store keeps it: the identity of the store, votes, what was met, changes, and each item of
the state by itself, so that a change costs what it touches.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from loadbalancer.fleet.orchestration.rollout import RolloutPlan
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore
from loadbalancer.fleet.replication.replica import GENERATION_NONCE_BITS, RETAINED_COMMANDS
from loadbalancer.fleet.replication.replicated_state import (
    Command,
    ReplicatedState,
    Snapshot,
    VersionedMigration,
    VersionedOverride,
)
from loadbalancer.store.keeper import StoreView

STORE, VOTE, HEAD = b"fleet/store", b"fleet/vote", b"fleet/head"
MET, LOG, MARK, MOVE = b"fleet/met/", b"fleet/log/", b"fleet/mark/", b"fleet/move/"


class StoredIdentity(msgspec.Struct, array_like=True):
    """Of a store: drawn once. `opened`: how often, and a draw at each."""

    store: str
    opened: int


class StoredHead(msgspec.Struct, array_like=True):
    """What of the state is small."""

    version: int
    roster: dict[str, str]
    frozen: list[str]
    plan: RolloutPlan | None = None


def open_identity(view: StoreView, source: random.Random) -> StoredIdentity:
    """That of the store, made where it has none; another opening is counted."""
    data = view.get(STORE)
    found = (
        msgspec.msgpack.decode(data, type=StoredIdentity)
        if data
        else StoredIdentity(f"{source.getrandbits(64):016x}", 0)
    )
    found.opened = (
        (found.opened >> GENERATION_NONCE_BITS) + 1
    ) << GENERATION_NONCE_BITS | source.getrandbits(GENERATION_NONCE_BITS)
    view.put(STORE, msgspec.msgpack.encode(found))
    return found


def load(
    view: StoreView, said: ReplicatedState
) -> tuple[AcceptorState | None, dict[str, ObservedStore], dict[int, Command]]:
    """The state into `said`; votes, what was met, and the changes that are held."""
    data = view.get(HEAD)
    if data:
        head = msgspec.msgpack.decode(data, type=StoredHead)
        marks: dict[str, dict[str, VersionedOverride]] = {}
        for key in view.keys(MARK):
            pool, member = msgspec.msgpack.decode(key[len(MARK) :], type=tuple[str, str])
            marks.setdefault(pool, {})[member] = _item(view, key, VersionedOverride)
        moves = {key[len(MOVE) :].decode(): _item(view, key, VersionedMigration) for key in view.keys(MOVE)}
        whole = Snapshot(head.version, marks, moves, head.frozen, head.roster, head.plan)
        said.install_snapshot(msgspec.msgpack.encode(whole))
    vote = _item(view, VOTE, AcceptorState) if view.get(VOTE) else None
    met = {key[len(MET) :].decode(): _item(view, key, ObservedStore) for key in view.keys(MET)}
    log = {int(key[len(LOG) :]): _item(view, key, Command) for key in view.keys(LOG)}
    return vote, met, log


def _item(view: StoreView, key: bytes, kind: Any) -> Any:
    return msgspec.msgpack.decode(view.get(key) or b"", type=kind)


def keep_vote(view: StoreView, vote: AcceptorState | None, met: tuple[str, ObservedStore] | None) -> None:
    if vote is not None:
        view.put(VOTE, msgspec.msgpack.encode(vote))
    if met is not None:
        view.put(MET + met[0].encode(), msgspec.msgpack.encode(met[1]))


def _mark_key(pool: str, member: str) -> bytes:
    return MARK + msgspec.msgpack.encode((pool, member))


def snapshot(said: ReplicatedState, touched: tuple[tuple[str, ...], ...]) -> list[tuple[bytes, bytes | None]]:
    """What the store has to hold of these items, and of the head; None takes out. Made at once, written later."""
    found: list[tuple[bytes, bytes | None]] = []
    for kind, *names in touched:
        if kind == "mark":
            stands = said.overrides.get(names[0], {}).get(names[1])
            found.append((_mark_key(*names), msgspec.msgpack.encode(stands) if stands else None))
        elif kind == "move":
            moved = said.migrations.get(names[0])
            found.append((MOVE + names[0].encode(), msgspec.msgpack.encode(moved) if moved else None))
    head = StoredHead(said.version, dict(said.voters), sorted(said.frozen), said.rollout_plan)
    found.append((HEAD, msgspec.msgpack.encode(head)))
    return found


def keep_items(
    view: StoreView, items: list[tuple[bytes, bytes | None]], version: int, change: Command | None
) -> None:
    """`change`: None for a whole state, all of which is in `items`; what was held before goes."""
    if change is None:
        for prefix in (MARK, MOVE, LOG):
            for key in view.keys(prefix):
                view.delete(key)
    else:
        view.put(LOG + b"%d" % version, msgspec.msgpack.encode(change))
        view.delete(LOG + b"%d" % (version - RETAINED_COMMANDS))
    for key, value in items:
        if value is None:
            view.delete(key)
        else:
            view.put(key, value)


def all_items(said: ReplicatedState) -> list[tuple[bytes, bytes | None]]:
    touched = [("mark", pool, member) for pool, marks in said.overrides.items() for member in marks]
    return snapshot(said, (*touched, *(("move", pool) for pool in said.migrations)))
