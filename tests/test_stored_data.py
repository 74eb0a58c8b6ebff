"""Tests that data written by an earlier version can be read, and that the encoding of fleet messages is unchanged.

`stored_data/` was written by the version before the packages were renamed: a store with an idempotency ledger,
administrative overrides, a traffic migration, acceptor state and replicated state; a hot-restart snapshot; the
platform's overrides; and one message of each kind that instances exchange.
"""

from __future__ import annotations

import json
import random
import shutil
from pathlib import Path

import msgspec
import pytest

from loadbalancer.admin import snapshot as hot_restart
from loadbalancer.daemon import persisted_overrides, persisted_state
from loadbalancer.discovery import platform_overrides
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet import wire
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.messages import AcceptorState, ObservedStore
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import EndpointEntry, EndpointList
from loadbalancer.policy.settings import PolicySettings, RequestClass
from loadbalancer.routing.traffic_migration import Migration
from loadbalancer.store import ledger
from loadbalancer.store.engine import Engine, StoreBounds
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import StoreView

STORED = Path(__file__).parent / "stored_data"
NOW = 1.7e9
DRAINED = AdminOverride("drain", 2.5, 4e9, "operator", "disk", NOW)
ADDED = AdminOverride(by="operator", at=NOW, address=("127.0.0.1", 9009), since=NOW)
MIGRATION = Migration("pool-b", 0.25, 4e9, "operator", "trial", NOW)
MEMBER = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")
REQUEST_DIGEST = ledger.digest(b"POST", b"/book", b"body")


@pytest.fixture
def view(tmp_path: Path) -> StoreView:
    """Return a view of the stored files, opened from a copy."""
    shutil.copytree(STORED / "store", tmp_path / "store")
    engine = Engine(DiskFiles(tmp_path / "store"), lambda: NOW, StoreBounds(), lambda count: b"i" * count)
    engine.open()
    return StoreView(engine)


def first_command() -> Command:
    """Return the first entry of the replicated log, from the stored Accept message."""
    stored = json.loads((STORED / "fleet_messages.json").read_text())
    return msgspec.msgpack.decode(bytes.fromhex(stored["Accept"]), type=messages.Accept).command


def test_the_idempotency_ledger_is_read(view: StoreView) -> None:
    begun = ledger.decode(view.get(ledger.scope("t", "book", b"key-1")))
    answered = ledger.decode(view.get(ledger.scope("t", "book", b"key-2")))

    assert begun == ledger.Begun(REQUEST_DIGEST, NOW, 3.0)
    assert answered == ledger.Answered(
        REQUEST_DIGEST, NOW, 201, b"Created", [b"A: b\r\n"], b"done", b"d" * 16
    )


def test_overrides_and_migrations_are_read(view: StoreView) -> None:
    assert persisted_overrides.load_overrides(view) == {"pool-a": {"m1": DRAINED, "m2": ADDED}}
    assert persisted_overrides.load_migrations(view) == {"pool-a": MIGRATION}


def test_the_replicated_state_and_the_acceptor_state_are_read(view: StoreView) -> None:
    state = ReplicatedState({})

    acceptor, observed, log = persisted_state.load(view, state)

    assert (state.version, state.voters) == (5, {"i0": "s0", "i1": "s1", "i2": "s2"})
    assert state.overrides["pool-a"]["m1"][:2] == (DRAINED, 60.0)
    assert state.migrations["pool-a"][:2] == (MIGRATION, 30.0)
    assert state.frozen == {"pool-b"}
    assert state.rollout_plan is not None
    assert (state.rollout_plan.id, state.rollout_plan.soak) == ("p1", 5.0)
    assert acceptor == AcceptorState(6, (3, "i1"), (2, "i0"), first_command())
    assert observed == {"i1": ObservedStore("s1", 5 << 20 | 77)}
    assert sorted(log) == [1, 2, 3, 4, 5]
    assert state.encode() == (STORED / "replicated_state_snapshot.bin").read_bytes()


def test_the_identity_of_a_store_is_kept_and_its_openings_counted(view: StoreView) -> None:
    opened = persisted_state.open_identity(view, random.Random(2))

    assert opened.store == f"{random.Random(1).getrandbits(64):016x}"
    assert opened.opened >> 20 == 2


def test_a_snapshot_of_the_replicated_state_is_installed() -> None:
    data = (STORED / "replicated_state_snapshot.bin").read_bytes()
    state = ReplicatedState({})

    state.install_snapshot(data)

    assert state.version == 5
    assert state.encode() == data


def test_a_hot_restart_snapshot_is_read_and_applied() -> None:
    found = hot_restart.decode((STORED / "hot_restart_snapshot.bin").read_bytes())
    balancer = Balancer(PolicySettings((RequestClass("track", 0.6, 1.5),)), seed=1)
    balancer.handle(105.0, [EndpointList((EndpointEntry("s-1", started=95.0), EndpointEntry("s-2")))])

    restored = hot_restart.restore_pool(found.pools[0], balancer, 106.0, age=1.0)

    assert found.at == NOW
    assert restored == 2
    assert balancer.endpoints["s-1"].error_rate == pytest.approx(0.19277, abs=1e-5)
    assert balancer.endpoints["s-2"].error_rate == 0.0
    assert found.fleet is not None
    assert (found.fleet.name, found.fleet.version, found.fleet.lease_end) == ("i0", 5, 12.5)
    assert found.fleet.member_states == [MEMBER]
    assert hot_restart.encode(found) == (STORED / "hot_restart_snapshot.bin").read_bytes()


def test_the_platforms_overrides_are_read_and_written_unchanged() -> None:
    data = (STORED / "platform_overrides.json").read_bytes()

    found = platform_overrides.decode(data)

    assert found == {"s-1": 1700000000.5, "s-2": 1700000001.0}
    assert platform_overrides.encode(found) == data


MESSAGES: tuple[msgspec.Struct, ...] = (
    wire.Hello("h", 1),
    wire.AliveNotice("h", 1, 2),
    wire.Ping(1, 2, 3),
    wire.Ack(1, 2, 3),
    wire.IndirectProbe(1, "x"),
    wire.Nack(1),
    wire.GossipReply(),
    wire.NameConflictNotice(1, "h", 1, True, False),
    wire.Piece(3, True),
    messages.Prepare(6, (3, "i1")),
    messages.Promise(6, (3, "i1"), True, (0, ""), (2, "i0"), first_command()),
    messages.Accept(6, (3, "i1"), first_command()),
    messages.Accepted(6, (3, "i1"), True, (3, "i1"), ("i0", "i2"), True),
    messages.Decided(6, first_command()),
    messages.VersionAnnouncement(6, {"build": "x"}),
    messages.LeaseRequest(4, 6),
    messages.LeaseGrant(4, 7, 12.5),
    messages.VoterGreeting("s1", 99),
    messages.VoterGreetingReply("s1", 99, False, "older"),
    messages.StateRequest(5, "d", 100),
    messages.LogEntries(5, (first_command(),), True),
    messages.SnapshotChunk(5, "d", 0, 10, b"0123456789"),
    messages.QueryRequest("status"),
    messages.QueryResponse(b"{}"),
    MEMBER,
)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_is_encoded_to_the_stored_bytes(message: msgspec.Struct) -> None:
    stored = json.loads((STORED / "fleet_messages.json").read_text())

    assert msgspec.msgpack.encode(message).hex() == stored[type(message).__name__]


def test_every_stored_message_is_compared() -> None:
    stored = json.loads((STORED / "fleet_messages.json").read_text())

    assert set(stored) == {type(message).__name__ for message in MESSAGES} | {"sealed Packet"}


def test_a_sealed_packet_is_opened_and_sealed_to_the_same_bytes() -> None:
    stored = json.loads((STORED / "fleet_messages.json").read_text())
    data = bytes.fromhex(stored["sealed Packet"])
    sealer = wire.Sealer([b"k" * 32])

    packet = sealer.open(data).packet

    assert packet == wire.Packet("i2", 9, 7, 12, wire.Ping(5, 77), (MEMBER,))
    assert sealer.seal(packet) == data
