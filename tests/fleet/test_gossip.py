"""The gossip queue: batches of member states that fit into a message, each state sent a bounded number of times."""

from __future__ import annotations

import msgspec

from loadbalancer.fleet import wire
from loadbalancer.fleet.member_state import MemberState, MemberStatus, encoded_size
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.wire import Packet, Sealer

KEY = b"o" * 32
STATE = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")


def test_batches_fit_into_a_datagram_and_each_state_is_sent_a_bounded_number_of_times() -> None:
    queue = GossipQueue()
    states = [msgspec.structs.replace(STATE, name=f"i{n}") for n in range(100)]
    for state in states:
        queue.add(state)
    transmissions: dict[str, int] = {}
    while len(queue):
        batch = queue.select_batch(8)
        assert batch and sum(map(encoded_size, batch)) <= wire.MAX_GOSSIP_BYTES
        for state in batch:
            transmissions[state.name] = transmissions.get(state.name, 0) + 1
    assert set(transmissions.values()) == {GossipQueue.max_transmissions(8)} and len(transmissions) == 100
    packet = Packet("x" * 48, 1 << 60, 1 << 60, 1 << 40, wire.Ping(1 << 39, 1 << 62), tuple(states[:1]))
    assert len(Sealer([KEY]).seal(packet)) + wire.MAX_GOSSIP_BYTES <= wire.MAX_DATAGRAM_BYTES + encoded_size(
        states[0]
    )
