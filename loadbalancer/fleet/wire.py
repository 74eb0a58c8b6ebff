"""What goes between instances: MessagePack in an envelope with a MAC. Pure: bytes and values.

Form: `mS`, the form's version, the key's number, 16 bytes of MAC, then the payload. The MAC is BLAKE3 keyed with the
fleet's key, over the head and the payload. A datagram is one message of at most DATAGRAM_MOST bytes; over TCP each
message has its length before it and at most PIECE_MOST bytes.

Versions side by side: fields are appended to what is there and passed over by who does not know them; a kind of
message, or a fact, that can't be read is passed over by itself and counted.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import Annotated, Mapping, Sequence, Union

import msgspec
from blake3 import blake3
from msgspec import Meta, Raw, Struct

from loadbalancer.fleet.membership.member_state import Count, Host, MemberState, Name, Port
from loadbalancer.fleet.replication.messages import ReplicationMessage, StreamMessage

MARK, VERSION = b"mS", 1
MAC = 16
HEAD = len(MARK) + 2
#: Bytes of a datagram: within the least that IPv6 carries whole (1,280), less its headers and UDP's.
DATAGRAM_MOST = 1_232
#: Bytes of the facts that go along with a message; the rest is the envelope's.
FACTS_MOST = 1_000
#: Bytes of one piece of an exchange, and pieces of one exchange: some 50,000 instances.
PIECE_MOST, PIECES_MOST = 16 << 10, 512
KEY_BYTES = 32
#: Keys that are valid at once: the first seals, both open.
KEYS_MOST = 2

Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class MessageError(ValueError):
    """Bytes that are no message of this fleet; `kind` counts them."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


class Hello(Struct, frozen=True, array_like=True, tag=0):
    """Who is there? Changes nothing at who hears it; the answer goes to `host` and `port`."""

    host: Host
    port: Port


class AliveNotice(Struct, frozen=True, array_like=True, tag=1):
    """I am, in this life: to a hello, and to what was meant for another life."""

    host: Host
    port: Port
    phase: Annotated[int, Meta(ge=0, le=255)] = 0


class Ping(Struct, frozen=True, array_like=True, tag=2):
    """`phase`: how far the sender has come back (comeback.py); 0 of a build that does not say."""

    number: Count
    digest: Digest
    phase: Annotated[int, Meta(ge=0, le=255)] = 0


class Ack(Struct, frozen=True, array_like=True, tag=3):
    number: Count
    digest: Digest
    phase: Annotated[int, Meta(ge=0, le=255)] = 0


class IndirectProbe(Struct, frozen=True, array_like=True, tag=4):
    """Probe `target` for me."""

    number: Count
    target: Name


class Nack(Struct, frozen=True, array_like=True, tag=5):
    """I hear you, and have not heard the one that you asked for."""

    number: Count


class GossipReply(Struct, frozen=True, array_like=True, tag=6):
    """Nothing but the facts that go along."""


class NameConflictNotice(Struct, frozen=True, array_like=True, tag=7):
    """We go by one name. `inside`: I count as one of the fleet. `answer`: you have said so; nothing follows."""

    life: Count
    host: Host
    port: Port
    joined: bool
    answer: bool


class Piece(Struct, frozen=True, array_like=True, tag=8):
    """A part of all that I know; `last` ends it."""

    number: Count
    last: bool


#: What the view is told, and what the versioned state is (ballots.py).
Message = Union[
    Hello,
    AliveNotice,
    Ping,
    Ack,
    IndirectProbe,
    Nack,
    GossipReply,
    NameConflictNotice,
    Piece,
    ReplicationMessage,
    StreamMessage,
]


class Packet(Struct, frozen=True, array_like=True):
    """A message with who sends it and for which life of the receiver. `to`: 0 where that is not known, which only a
    hello may say. `number`: grows with each message of a sender's life."""

    sender: Name
    boot: Annotated[int, Meta(ge=1, le=(1 << 63) - 1)]
    to: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    number: Annotated[int, Meta(ge=1, lt=1 << 62)]
    message: Message
    facts: tuple[MemberState, ...] = ()


class _Envelope(Struct, array_like=True):
    """A packet of which only the outside has been read."""

    sender: Name
    boot: Annotated[int, Meta(ge=1, le=(1 << 63) - 1)]
    to: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    number: Annotated[int, Meta(ge=1, lt=1 << 62)]
    message: Raw
    facts: list[Raw] = []


_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(_Envelope)
_message = msgspec.msgpack.Decoder(Message)
_fact = msgspec.msgpack.Decoder(MemberState)


#: What the decoder raises for bytes that it can't read; text that is no UTF-8 and deep nesting are not its own errors.
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, slots=True)
class Opened:
    """A packet that a key of the fleet has sealed. `passed_over`: facts in it that this build can't read."""

    packet: Packet
    size: int
    passed_over: int


class Sealer:
    """Seals with the first key and opens with any."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        """ValueError for none, too many, or one that has not KEY_BYTES."""
        if not 1 <= len(keys) <= KEYS_MOST or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"1 to {KEYS_MOST} keys of {KEY_BYTES} bytes are wanted")
        self.keys: Mapping[int, bytes] = {key_number(key): key for key in keys}
        self._first = key_number(keys[0])

    def seal(self, packet: Packet) -> bytes:
        head = MARK + bytes((VERSION, self._first))
        body = _encoder.encode(packet)
        return head + _mac(self.keys[self._first], head, body) + body

    def open(self, data: bytes, most: int = DATAGRAM_MOST) -> Opened:
        """MessageError for all that no instance of this fleet has sent, or that this build can't read."""
        if len(data) > most:
            raise MessageError("too long")
        if len(data) < HEAD + MAC or data[:2] != MARK:
            raise MessageError("not ours")
        if data[2] != VERSION:
            raise MessageError("another form")
        key = self.keys.get(data[3])
        if key is None:
            raise MessageError("another key")
        head, mac, body = data[:HEAD], data[HEAD : HEAD + MAC], data[HEAD + MAC :]
        if not hmac.compare_digest(_mac(key, head, body), mac):
            raise MessageError("forged")
        return _read(body, len(data))


def _mac(key: bytes, head: bytes, body: bytes) -> bytes:
    return blake3(head + body, key=key).digest(MAC)


def key_number(key: bytes) -> int:
    """By which a message says which key it was sealed with; two keys in force must not share it."""
    return blake3(b"number" + key).digest(1)[0]


def _read(body: bytes, size: int) -> Opened:
    try:
        found = _envelope.decode(body)
    except UNREADABLE:
        raise MessageError("not whole") from None
    try:
        message: Message = _message.decode(found.message)
    except UNREADABLE:
        raise MessageError("a kind that this build does not know") from None
    facts = []
    for raw in found.facts:
        try:
            facts.append(_fact.decode(raw))
        except UNREADABLE:
            pass  # of a later build
    packet = Packet(found.sender, found.boot, found.to, found.number, message, tuple(facts))
    return Opened(packet, size, len(found.facts) - len(facts))


def read_keys(text: str) -> list[bytes]:
    """Keys of a file: a line of 64 hexadecimal digits each, the sealing one first; ValueError says what is wrong."""
    lines = [line.strip() for line in text.splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    if not 1 <= len(lines) <= KEYS_MOST:
        raise ValueError(f"{len(lines)} keys; 1 or {KEYS_MOST} are wanted, a line each")
    keys = []
    for number, line in enumerate(lines, 1):
        try:
            key = bytes.fromhex(line)
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES:
            raise ValueError(f"key {number} is not {2 * KEY_BYTES} hexadecimal digits")
        keys.append(key)
    if len(keys) == KEYS_MOST and key_number(keys[0]) == key_number(keys[1]):
        raise ValueError("the two keys can't be told apart by their numbers; make another")
    return keys
