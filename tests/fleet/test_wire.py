"""Sealed packets: corrupted bytes, packets of later builds, and key rotation."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet import wire
from loadbalancer.fleet.errors import MessageError
from loadbalancer.fleet.keys import key_number
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.wire import Packet, Sealer

OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32
STATE = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")
PACKET = Packet("i2", 9, 7, 12, wire.Ping(5, 77), (STATE,))


def drop_reason(sealer: Sealer, data: bytes, max_bytes: int = wire.MAX_DATAGRAM_BYTES) -> str:
    """Return the reason for which a sealer drops the bytes."""
    with pytest.raises(MessageError) as caught:
        sealer.open(data, max_bytes)
    return caught.value.kind


@pytest.mark.parametrize(
    "message",
    [
        wire.Hello("h", 1),
        wire.AliveNotice("h", 1),
        wire.Ping(1, 2),
        wire.Ack(1, 2),
        wire.IndirectProbe(1, "x"),
        wire.Nack(1),
        wire.GossipReply(),
        wire.NameConflictNotice(1, "h", 1, True, False),
        wire.Piece(0, True),
    ],
)
def test_message_of_each_kind_is_opened_as_it_was_sealed(message: wire.Message) -> None:
    sealer = Sealer([OLD_KEY])
    packet = Packet("i2", 9, 7, 12, message, (STATE,))
    assert sealer.open(sealer.seal(packet)).packet == packet


def test_truncated_or_bit_flipped_datagram_is_rejected() -> None:
    sealer = Sealer([OLD_KEY])
    data = sealer.seal(PACKET)
    for at in range(len(data)):
        assert drop_reason(sealer, data[:at])
        for bit in range(8):
            assert drop_reason(sealer, data[:at] + bytes((data[at] ^ 1 << bit,)) + data[at + 1 :])
    assert drop_reason(sealer, data + b"\0") == "forged"
    assert drop_reason(sealer, data + b"\0" * wire.MAX_DATAGRAM_BYTES) == "too long"


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_a_message_error(data: bytes) -> None:
    assert drop_reason(Sealer([OLD_KEY]), data)


@given(st.binary(max_size=120))
def test_sealed_bytes_that_are_no_packet_raise_only_a_message_error(body: bytes) -> None:
    sealer = Sealer([OLD_KEY])
    header = wire.MAGIC + bytes((wire.FORMAT_VERSION, key_number(OLD_KEY)))
    data = header + wire.compute_mac(OLD_KEY, header, body) + body
    try:
        sealer.open(data)
    except MessageError as problem:
        assert problem.kind in ("not whole", "a kind that this build does not know")


def test_key_rotation_keeps_packets_of_both_keys_readable() -> None:
    """Instances switch one by one to a file of both keys, then to the new key first, then to the new key alone."""
    only_old, new_first, only_new = Sealer([OLD_KEY]), Sealer([NEW_KEY, OLD_KEY]), Sealer([NEW_KEY])
    old_first = Sealer([OLD_KEY, NEW_KEY])  # opens packets of the new key but does not seal with it yet
    for sender, receiver in (
        (only_old, old_first),
        (old_first, only_old),
        (old_first, new_first),
        (new_first, old_first),
        (new_first, only_new),
        (only_new, new_first),
    ):
        assert receiver.open(sender.seal(PACKET)).packet == PACKET
    assert drop_reason(only_new, only_old.seal(PACKET)) == "another key"


def test_fields_and_states_of_a_later_build_are_skipped_and_unknown_messages_dropped() -> None:
    sealer = Sealer([OLD_KEY])
    later = [
        "i2",
        9,
        7,
        12,
        [2, 5, 77, 0, "more"],
        [[*msgspec.to_builtins(STATE), "more"], [{"a": "fact"}, 4]],
        "a field",
    ]
    body = msgspec.msgpack.encode(later)
    header = wire.MAGIC + bytes((wire.FORMAT_VERSION, key_number(OLD_KEY)))
    opened = sealer.open(header + wire.compute_mac(OLD_KEY, header, body) + body)
    assert opened.packet == PACKET and opened.unreadable_states == 1
    unknown = msgspec.msgpack.encode(["i2", 9, 7, 12, [99, 1]])
    assert (
        drop_reason(sealer, header + wire.compute_mac(OLD_KEY, header, unknown) + unknown)
        == "a kind that this build does not know"
    )
