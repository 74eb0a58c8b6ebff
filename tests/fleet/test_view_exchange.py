"""Splitting of a membership view into pieces."""

from __future__ import annotations

import msgspec

from loadbalancer.fleet import wire
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.view_exchange import split_into_pieces
from loadbalancer.fleet.wire import Packet, Sealer

KEY = b"o" * 32
STATE = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")


def test_view_of_1000_members_is_split_into_pieces_that_fit() -> None:
    states = [msgspec.structs.replace(STATE, name=f"i{n}", zone="z" * 40) for n in range(1000)]
    parts = split_into_pieces(states)
    assert [state for part in parts for state in part] == states
    sealer = Sealer([KEY])
    for number, part in enumerate(parts):
        data = sealer.seal(Packet("i2", 1 << 60, 1 << 60, 1 << 50, wire.Piece(number, False), part))
        assert len(data) <= wire.MAX_PIECE_BYTES
    assert split_into_pieces([]) == [()]
