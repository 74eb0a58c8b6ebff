"""Marks and moves as the store keeps them."""

from __future__ import annotations

from contextlib import suppress

import msgspec

from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration
from loadbalancer.store.errors import StoreError
from loadbalancer.store.keeper import StoreView

PREFIX, MOVES = b"mark/", b"move/"


def mark_key(pool: str, member: str) -> bytes:
    return PREFIX + f"{pool}/{member}".encode()


def load_marks(view: StoreView) -> dict[str, dict[str, AdminOverride]]:
    """All marks that a store keeps, by pool and member; what can't be read is passed over."""
    found: dict[str, dict[str, AdminOverride]] = {}
    for key in view.keys(PREFIX):
        pool, _, member = key[len(PREFIX) :].decode("utf-8", "replace").partition("/")
        try:
            mark = msgspec.json.decode(view.get(key) or b"", type=AdminOverride)
        except msgspec.MsgspecError:
            continue
        found.setdefault(pool, {})[member] = mark
    return found


def load_moves(view: StoreView) -> dict[str, Migration]:
    """All moves that a store keeps, by pool; what can't be read is passed over."""
    found: dict[str, Migration] = {}
    for key in view.keys(MOVES):
        with suppress(msgspec.MsgspecError):
            found[key[len(MOVES) :].decode("utf-8", "replace")] = msgspec.json.decode(
                view.get(key) or b"", type=Migration
            )
    return found


def delete(key: bytes, view: StoreView) -> None:
    view.delete(key)


def store_move(pool: str, move: Migration | None, view: StoreView) -> None:
    key = MOVES + pool.encode()
    if move is None:
        view.delete(key)
    else:
        view.put(key, msgspec.json.encode(move), move.until)


def forget(_: None, problem: StoreError | None) -> None:
    """A mark that has ended and could not be taken out has its end in the store as well."""
