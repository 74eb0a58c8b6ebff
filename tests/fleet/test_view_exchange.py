"""A membership view in pieces."""

from __future__ import annotations

import msgspec

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.view_exchange import split_into_pieces
from loadbalancer.fleet.wire import Packet, Sealer

OLD = b"o" * 32
FACT = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")


def test_a_view_of_a_thousand_goes_in_pieces_that_fit() -> None:
    facts = [msgspec.structs.replace(FACT, name=f"i{n}", zone="z" * 40) for n in range(1000)]
    parts = split_into_pieces(facts)
    assert [fact for part in parts for fact in part] == facts
    sealer = Sealer([OLD])
    for number, part in enumerate(parts):
        data = sealer.seal(Packet("i2", 1 << 60, 1 << 60, 1 << 50, form.Piece(number, False), part))
        assert len(data) <= form.MAX_PIECE_BYTES
    assert split_into_pieces([]) == [()]
