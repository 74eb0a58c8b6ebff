"""State transfer: commands, snapshots, interrupted connections and corrupted chunks."""

from __future__ import annotations

import random

import msgspec
import pytest
from replica_model import override_command

from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.events import CommandsReceived
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import CHUNK_BYTES, StateReceiver, StateSender


@pytest.mark.parametrize("count", [3, 500, 5000])
def test_instance_behind_receives_commands_or_a_snapshot_and_resumes_after_interruptions(count: int) -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(count):
        ahead.handle(0.0, CommandsReceived(number + 1, (override_command(number, f"m{number}"),)))
    behind, receiver = PaxosReplica("b", "", 0, ReplicatedState({"a": ""}), random.Random(1)), StateReceiver()
    interruptions = 0
    while behind.state.version < count:
        for number, part in enumerate(StateSender(ahead).answer(receiver.next_request(behind.state.version))):
            if interruptions < 5 and number == 2:
                interruptions += 1
                break  # the connection is interrupted; received chunks are kept
            assert len(msgspec.msgpack.encode(part)) < CHUNK_BYTES + 2048
            received, _ = receiver.receive(part)
            if received is not None:
                behind.handle(1.0, received)
    assert behind.state.digest() == ahead.state.digest()


def test_snapshot_with_a_corrupted_chunk_is_rejected() -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(2000):
        ahead.handle(0.0, CommandsReceived(number + 1, (override_command(number, f"m{number}"),)))
    parts = list(StateSender(ahead).answer(messages.StateRequest(0)))
    assert isinstance(parts[0], messages.SnapshotChunk)
    receiver = StateReceiver()
    with pytest.raises(ValueError, match="digest"):
        for number, part in enumerate(parts):
            assert isinstance(part, messages.SnapshotChunk)
            data = part.data[:-1] + b"x" if number == 1 else part.data
            receiver.receive(msgspec.structs.replace(part, data=data))
    with pytest.raises(ValueError, match="follow"):
        receiver.receive(parts[1])
    assert receiver.next_request(0).offset == 0
