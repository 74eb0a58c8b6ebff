"""Tests of the replicated state as records of a store."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from loadbalancer.daemon import persisted_state
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.commands import Command, FreezeBody, OverrideBody, write_body
from loadbalancer.fleet.replication.learner import RETAINED_COMMANDS
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.store.engine import Engine
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import StoreView


@pytest.fixture
def view(tmp_path: Path) -> StoreView:
    engine = Engine(DiskFiles(tmp_path / "store"), lambda: 1.7e9)
    engine.open()
    return StoreView(engine)


def drain(endpoint: str, number: int) -> Command:
    body = OverrideBody("p", {endpoint: AdminOverride("drain")}, 5.0)
    return Command(f"a-{number}", "mark", write_body(body), "operator")


def commit(view: StoreView, state: ReplicatedState, command: Command) -> None:
    touched = state.apply(command)
    changes = persisted_state.encode_touched(state, touched)
    persisted_state.write_command(view, changes, state.version, command)


def test_load_restores_state_written_by_commands(view: StoreView) -> None:
    state = ReplicatedState({"a": "s0"})
    commit(view, state, drain("m1", 1))
    commit(view, state, Command("a-2", "freeze", write_body(FreezeBody("q", True))))
    commit(view, state, Command("a-3", "mark", write_body(OverrideBody("p", {"m1": None}))))
    commit(view, state, drain("m2", 4))
    restored = ReplicatedState({})

    persisted = persisted_state.load(view, restored)

    assert restored.encode() == state.encode()
    assert sorted(persisted.command_log) == [1, 2, 3, 4]
    assert (persisted.acceptor_state, persisted.observed_stores) == (None, {})


def test_only_the_last_commands_are_retained(view: StoreView) -> None:
    state = ReplicatedState({})
    commit(view, state, drain("m1", 1))
    state.version = RETAINED_COMMANDS
    commit(view, state, drain("m2", 2))

    persisted = persisted_state.load(view, ReplicatedState({}))

    assert sorted(persisted.command_log) == [RETAINED_COMMANDS + 1]


def test_snapshot_replaces_all_stored_items(view: StoreView) -> None:
    commit(view, ReplicatedState({}), drain("m1", 1))
    state = ReplicatedState({})
    state.apply(drain("m2", 2))
    restored = ReplicatedState({})

    persisted_state.write_snapshot(view, persisted_state.encode_all(state))
    persisted = persisted_state.load(view, restored)

    assert restored.encode() == state.encode()
    assert persisted.command_log == {}


def test_acceptor_state_and_observed_stores_are_written_separately(view: StoreView) -> None:
    acceptor_state = AcceptorState(6, (3, "i1"), (2, "i0"), drain("m1", 1))

    persisted_state.write_acceptor_state(view, acceptor_state, None)
    persisted_state.write_acceptor_state(view, None, ("i1", ObservedStore("s1", 77)))
    persisted = persisted_state.load(view, ReplicatedState({}))

    assert persisted.acceptor_state == acceptor_state
    assert persisted.observed_stores == {"i1": ObservedStore("s1", 77)}


def test_each_opening_of_a_store_is_counted(view: StoreView) -> None:
    source = random.Random(1)

    first = persisted_state.open_identity(view, source)
    second = persisted_state.open_identity(view, source)

    assert first.store == second.store
    assert (first.opened >> 20, second.opened >> 20) == (1, 2)
