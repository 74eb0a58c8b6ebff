"""The versioned state as the store keeps it: the identity of the store, votes, what was met, changes, and each item of
the state by itself, so that a change costs what it touches."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from loadbalancer.discovery.overrides import Mark
from loadbalancer.fleet.orchestration.rollout import Plan
from loadbalancer.fleet.replication.messages import Met, Vote
from loadbalancer.fleet.replication.replica import DRAW_BITS, KEPT
from loadbalancer.fleet.replication.replicated_state import Change, Said, Whole
from loadbalancer.routing.traffic_migration import Move
from loadbalancer.store.keeper import View

STORE, VOTE, HEAD = b"fleet/store", b"fleet/vote", b"fleet/head"
MET, LOG, MARK, MOVE = b"fleet/met/", b"fleet/log/", b"fleet/mark/", b"fleet/move/"


class Identity(msgspec.Struct, array_like=True):
    """Of a store: drawn once. `opened`: how often, and a draw at each."""

    store: str
    opened: int


class Head(msgspec.Struct, array_like=True):
    """What of the state is small."""

    version: int
    roster: dict[str, str]
    frozen: list[str]
    plan: Plan | None = None


def open_identity(view: View, source: random.Random) -> Identity:
    """That of the store, made where it has none; another opening is counted."""
    data = view.get(STORE)
    found = (
        msgspec.msgpack.decode(data, type=Identity) if data else Identity(f"{source.getrandbits(64):016x}", 0)
    )
    found.opened = ((found.opened >> DRAW_BITS) + 1) << DRAW_BITS | source.getrandbits(DRAW_BITS)
    view.put(STORE, msgspec.msgpack.encode(found))
    return found


def load(view: View, said: Said) -> tuple[Vote | None, dict[str, Met], dict[int, Change]]:
    """The state into `said`; votes, what was met, and the changes that are held."""
    data = view.get(HEAD)
    if data:
        head = msgspec.msgpack.decode(data, type=Head)
        marks: dict[str, dict[str, tuple[Mark, float, int]]] = {}
        for key in view.keys(MARK):
            pool, member = msgspec.msgpack.decode(key[len(MARK) :], type=tuple[str, str])
            marks.setdefault(pool, {})[member] = _item(view, key, tuple[Mark, float, int])
        moves = {
            key[len(MOVE) :].decode(): _item(view, key, tuple[Move, float, int]) for key in view.keys(MOVE)
        }
        whole = Whole(head.version, marks, moves, head.frozen, head.roster, head.plan)
        said.take_whole(msgspec.msgpack.encode(whole))
    vote = _item(view, VOTE, Vote) if view.get(VOTE) else None
    met = {key[len(MET) :].decode(): _item(view, key, Met) for key in view.keys(MET)}
    log = {int(key[len(LOG) :]): _item(view, key, Change) for key in view.keys(LOG)}
    return vote, met, log


def _item(view: View, key: bytes, kind: Any) -> Any:
    return msgspec.msgpack.decode(view.get(key) or b"", type=kind)


def keep_vote(view: View, vote: Vote | None, met: tuple[str, Met] | None) -> None:
    if vote is not None:
        view.put(VOTE, msgspec.msgpack.encode(vote))
    if met is not None:
        view.put(MET + met[0].encode(), msgspec.msgpack.encode(met[1]))


def _mark_key(pool: str, member: str) -> bytes:
    return MARK + msgspec.msgpack.encode((pool, member))


def snapshot(said: Said, touched: tuple[tuple[str, ...], ...]) -> list[tuple[bytes, bytes | None]]:
    """What the store has to hold of these items, and of the head; None takes out. Made at once, written later."""
    found: list[tuple[bytes, bytes | None]] = []
    for kind, *names in touched:
        if kind == "mark":
            stands = said.marks.get(names[0], {}).get(names[1])
            found.append((_mark_key(*names), msgspec.msgpack.encode(stands) if stands else None))
        elif kind == "move":
            moved = said.moves.get(names[0])
            found.append((MOVE + names[0].encode(), msgspec.msgpack.encode(moved) if moved else None))
    head = Head(said.version, dict(said.roster), sorted(said.frozen), said.plan)
    found.append((HEAD, msgspec.msgpack.encode(head)))
    return found


def keep_items(
    view: View, items: list[tuple[bytes, bytes | None]], version: int, change: Change | None
) -> None:
    """`change`: None for a whole state, all of which is in `items`; what was held before goes."""
    if change is None:
        for prefix in (MARK, MOVE, LOG):
            for key in view.keys(prefix):
                view.delete(key)
    else:
        view.put(LOG + b"%d" % version, msgspec.msgpack.encode(change))
        view.delete(LOG + b"%d" % (version - KEPT))
    for key, value in items:
        if value is None:
            view.delete(key)
        else:
            view.put(key, value)


def all_items(said: Said) -> list[tuple[bytes, bytes | None]]:
    touched = [("mark", pool, member) for pool, marks in said.marks.items() for member in marks]
    return snapshot(said, (*touched, *(("move", pool) for pool in said.moves)))
