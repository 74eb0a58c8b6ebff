"""Member states that ride on other messages."""

from __future__ import annotations

import msgspec

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.member_state import MemberState, MemberStatus, encoded_size
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.wire import Packet, Sealer

OLD = b"o" * 32
FACT = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")


def test_words_go_out_the_new_ones_first_and_a_bounded_number_of_times() -> None:
    rumours = GossipQueue()
    facts = [msgspec.structs.replace(FACT, name=f"i{n}") for n in range(100)]
    for fact in facts:
        rumours.add(fact)
    told: dict[str, int] = {}
    while len(rumours):
        batch = rumours.select_batch(8)
        assert batch and sum(map(encoded_size, batch)) <= form.MAX_GOSSIP_BYTES
        for fact in batch:
            told[fact.name] = told.get(fact.name, 0) + 1
    assert set(told.values()) == {GossipQueue.max_transmissions(8)} and len(told) == 100
    packet = Packet("x" * 48, 1 << 60, 1 << 60, 1 << 40, form.Ping(1 << 39, 1 << 62), tuple(facts[:1]))
    assert len(Sealer([OLD]).seal(packet)) + form.MAX_GOSSIP_BYTES <= form.MAX_DATAGRAM_BYTES + encoded_size(
        facts[0]
    )
