"""State transfer: commands, snapshots, cuts and chunks that were changed on the way."""

from __future__ import annotations

import random

import msgspec
import pytest
from replica_model import override_command

from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.events import CommandsReceived
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.state_transfer import CHUNK_BYTES, StateReceiver, StateSender


@pytest.mark.parametrize("count", [3, 500, 5000])
def test_a_straggler_gets_changes_or_the_whole_and_goes_on_after_a_cut(count: int) -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(count):
        ahead.handle(0.0, CommandsReceived(number + 1, (override_command(number, f"m{number}"),)))
    behind, taker = PaxosReplica("b", "", 0, ReplicatedState({"a": ""}), random.Random(1)), StateReceiver()
    cuts = 0
    while behind.state.version < count:
        for number, part in enumerate(StateSender(ahead).answer(taker.next_request(behind.state.version))):
            if cuts < 5 and number == 2:
                cuts += 1
                break  # the stream is cut; what has come stays
            assert len(msgspec.msgpack.encode(part)) < CHUNK_BYTES + 2048
            found, _ = taker.take(part)
            if found is not None:
                behind.handle(1.0, found)
    assert behind.state.digest() == ahead.state.digest()


def test_a_state_that_was_changed_on_the_way_is_not_taken() -> None:
    ahead = PaxosReplica("a", "s", 1, ReplicatedState({"a": ""}), random.Random(1))
    for number in range(2000):
        ahead.handle(0.0, CommandsReceived(number + 1, (override_command(number, f"m{number}"),)))
    parts = list(StateSender(ahead).answer(form.StateRequest(0)))
    assert isinstance(parts[0], form.SnapshotChunk)
    taker = StateReceiver()
    with pytest.raises(ValueError, match="digest"):
        for number, part in enumerate(parts):
            assert isinstance(part, form.SnapshotChunk)
            data = part.data[:-1] + b"x" if number == 1 else part.data
            taker.take(msgspec.structs.replace(part, data=data))
    with pytest.raises(ValueError, match="follow"):
        taker.take(parts[1])
    assert taker.next_request(0).offset == 0
