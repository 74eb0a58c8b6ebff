"""Packets: bytes changed anywhere, later builds, keys that change."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.errors import MessageError
from loadbalancer.fleet.keys import key_number
from loadbalancer.fleet.member_state import MemberState, MemberStatus
from loadbalancer.fleet.wire import Packet, Sealer

OLD, NEW = b"o" * 32, b"n" * 32
FACT = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")
PACKET = Packet("i2", 9, 7, 12, form.Ping(5, 77), (FACT,))


def kind_of(sealer: Sealer, data: bytes, most: int = form.MAX_DATAGRAM_BYTES) -> str:
    with pytest.raises(MessageError) as caught:
        sealer.open(data, most)
    return caught.value.kind


@pytest.mark.parametrize(
    "message",
    [
        form.Hello("h", 1),
        form.AliveNotice("h", 1),
        form.Ping(1, 2),
        form.Ack(1, 2),
        form.IndirectProbe(1, "x"),
        form.Nack(1),
        form.GossipReply(),
        form.NameConflictNotice(1, "h", 1, True, False),
        form.Piece(0, True),
    ],
)
def test_each_kind_comes_as_it_was_sent(message: form.Message) -> None:
    sealer = Sealer([OLD])
    packet = Packet("i2", 9, 7, 12, message, (FACT,))
    assert sealer.open(sealer.seal(packet)).packet == packet


def test_a_datagram_that_was_cut_or_flipped_at_any_byte_is_none() -> None:
    sealer = Sealer([OLD])
    data = sealer.seal(PACKET)
    for at in range(len(data)):
        assert kind_of(sealer, data[:at])
        for bit in range(8):
            assert kind_of(sealer, data[:at] + bytes((data[at] ^ 1 << bit,)) + data[at + 1 :])
    assert kind_of(sealer, data + b"\0") == "forged"
    assert kind_of(sealer, data + b"\0" * form.MAX_DATAGRAM_BYTES) == "too long"


@given(st.binary(max_size=200))
def test_strangers_bytes_are_told_by_their_kind_and_raise_nothing_else(data: bytes) -> None:
    assert kind_of(Sealer([OLD]), data)


@given(st.binary(max_size=120))
def test_sealed_bytes_that_are_no_packet_raise_nothing_else(body: bytes) -> None:
    sealer = Sealer([OLD])
    head = form.MAGIC + bytes((form.FORMAT_VERSION, key_number(OLD)))
    data = head + form.compute_mac(OLD, head, body) + body
    try:
        sealer.open(data)
    except MessageError as problem:
        assert problem.kind in ("not whole", "a kind that this build does not know")


def test_keys_change_while_messages_of_both_are_on_the_way() -> None:
    """One after another instances take a file of both, with the new one first, then of the new one alone."""
    only_old, both, only_new = Sealer([OLD]), Sealer([NEW, OLD]), Sealer([NEW])
    first = Sealer([OLD, NEW])  # knows the new one and does not seal with it yet
    for sender, receiver in (
        (only_old, first),
        (first, only_old),
        (first, both),
        (both, first),
        (both, only_new),
        (only_new, both),
    ):
        assert receiver.open(sender.seal(PACKET)).packet == PACKET
    assert kind_of(only_new, only_old.seal(PACKET)) == "another key"


def test_what_a_later_build_adds_is_passed_over() -> None:
    sealer = Sealer([OLD])
    later = [
        "i2",
        9,
        7,
        12,
        [2, 5, 77, 0, "more"],
        [[*msgspec.to_builtins(FACT), "more"], [{"a": "fact"}, 4]],
        "a field",
    ]
    body = msgspec.msgpack.encode(later)
    head = form.MAGIC + bytes((form.FORMAT_VERSION, key_number(OLD)))
    opened = sealer.open(head + form.compute_mac(OLD, head, body) + body)
    assert opened.packet == PACKET and opened.unreadable_states == 1
    unknown = msgspec.msgpack.encode(["i2", 9, 7, 12, [99, 1]])
    assert (
        kind_of(sealer, head + form.compute_mac(OLD, head, unknown) + unknown)
        == "a kind that this build does not know"
    )
