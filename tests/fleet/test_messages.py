"""What goes between instances: bytes changed anywhere, later builds, keys that change, messages that come twice."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.membership.member_state import MemberState, MemberStatus, encoded_size
from loadbalancer.fleet.replay_window import LIVES_MOST, WINDOW, ReplayProtection
from loadbalancer.fleet.transport import pieces
from loadbalancer.fleet.wire import MessageError, Packet, Sealer, read_keys

OLD, NEW = b"o" * 32, b"n" * 32
FACT = MemberState("i1", 7, 2, 3, MemberStatus.SUSPECT, "127.0.0.1", 4000, "z", "i2")
PACKET = Packet("i2", 9, 7, 12, form.Ping(5, 77), (FACT,))


def kind_of(sealer: Sealer, data: bytes, most: int = form.DATAGRAM_MOST) -> str:
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
    assert kind_of(sealer, data + b"\0" * form.DATAGRAM_MOST) == "too long"


@given(st.binary(max_size=200))
def test_strangers_bytes_are_told_by_their_kind_and_raise_nothing_else(data: bytes) -> None:
    assert kind_of(Sealer([OLD]), data)


@given(st.binary(max_size=120))
def test_sealed_bytes_that_are_no_packet_raise_nothing_else(body: bytes) -> None:
    sealer = Sealer([OLD])
    head = form.MARK + bytes((form.VERSION, form.key_number(OLD)))
    data = head + form._mac(OLD, head, body) + body
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
    head = form.MARK + bytes((form.VERSION, form.key_number(OLD)))
    opened = sealer.open(head + form._mac(OLD, head, body) + body)
    assert opened.packet == PACKET and opened.passed_over == 1
    unknown = msgspec.msgpack.encode(["i2", 9, 7, 12, [99, 1]])
    assert (
        kind_of(sealer, head + form._mac(OLD, head, unknown) + unknown)
        == "a kind that this build does not know"
    )


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", "0 keys"),
        ("zz", "not 64"),
        ("11", "not 64"),
        (f"{'11' * 32}\n" * 3, "3 keys"),
        (f"{'11' * 32}\n" * 2, "told apart"),
    ],
)
def test_a_file_of_keys_says_what_is_wrong(text: str, words: str) -> None:
    with pytest.raises(ValueError, match=words):
        read_keys(text)
    assert read_keys(f"# now\n{'11' * 32}\n\n# before\n{'22' * 32}\n") == [b"\x11" * 32, b"\x22" * 32]


@given(st.lists(st.integers(min_value=1, max_value=3 * WINDOW), max_size=200))
def test_a_number_is_taken_once_and_only_within_the_window(numbers: list[int]) -> None:
    replays, seen, latest = ReplayProtection(), set(), 0
    for number in numbers:
        fresh = number not in seen and number > latest - WINDOW
        assert replays.take("a", 1, number) == fresh
        seen.add(number)
        latest = max(latest, number)


def test_lives_of_one_name_are_told_apart_and_bounded() -> None:
    replays = ReplayProtection()
    for boot in range(1, 2 * LIVES_MOST):
        assert replays.take("a", boot, 1) and not replays.take("a", boot, 1)
    assert not replays.take("a", LIVES_MOST, 1)  # among the latest lives still
    for number in range(10_000):
        replays.take(f"n{number}", 1, 1)
    assert len(replays) <= 8_192


def test_words_go_out_the_new_ones_first_and_a_bounded_number_of_times() -> None:
    rumours = GossipQueue()
    facts = [msgspec.structs.replace(FACT, name=f"i{n}") for n in range(100)]
    for fact in facts:
        rumours.add(fact)
    told: dict[str, int] = {}
    while len(rumours):
        batch = rumours.take(8)
        assert batch and sum(map(encoded_size, batch)) <= form.FACTS_MOST
        for fact in batch:
            told[fact.name] = told.get(fact.name, 0) + 1
    assert set(told.values()) == {GossipQueue.max_transmissions(8)} and len(told) == 100
    packet = Packet("x" * 48, 1 << 60, 1 << 60, 1 << 40, form.Ping(1 << 39, 1 << 62), tuple(facts[:1]))
    assert len(Sealer([OLD]).seal(packet)) + form.FACTS_MOST <= form.DATAGRAM_MOST + encoded_size(facts[0])


def test_a_view_of_a_thousand_goes_in_pieces_that_fit() -> None:
    facts = [msgspec.structs.replace(FACT, name=f"i{n}", zone="z" * 40) for n in range(1000)]
    parts = pieces(facts)
    assert [fact for part in parts for fact in part] == facts
    sealer = Sealer([OLD])
    for number, part in enumerate(parts):
        data = sealer.seal(Packet("i2", 1 << 60, 1 << 60, 1 << 50, form.Piece(number, False), part))
        assert len(data) <= form.PIECE_MOST
    assert pieces([]) == [()]
