"""The wire format: messages in packets, and packets that are sealed with the fleet's key.

A sealed packet is `mS`, the format's version, the key's number, 16 bytes of MAC, then the packet as MessagePack. The
MAC is BLAKE3 keyed with the fleet's key, over the header and the packet. A datagram is one sealed packet of at most
MAX_DATAGRAM_BYTES. Over TCP each sealed packet has a length prefix and at most MAX_PIECE_BYTES.

Compatibility between builds: new fields are appended, and ignored by builds that do not know them. A message of an
unknown kind is dropped, and a member state that can't be decoded is skipped; both are counted.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import Annotated, Mapping, Sequence, Union

import msgspec
from blake3 import blake3
from msgspec import Meta, Raw, Struct

from loadbalancer.fleet.errors import DropReason, KeyFileError, MessageError
from loadbalancer.fleet.keys import KEY_BYTES, MAX_KEYS, key_number
from loadbalancer.fleet.member_state import Count, Host, MemberState, Name, Port
from loadbalancer.fleet.replication.messages import ReplicationMessage, StreamMessage

MAGIC = b"mS"
FORMAT_VERSION = 1
MAC_BYTES = 16
#: Magic, format version and key number.
HEADER_BYTES = len(MAGIC) + 2
#: Maximum size of a datagram: within the minimum IPv6 MTU (1,280) less the headers of IPv6 and UDP.
MAX_DATAGRAM_BYTES = 1_232
#: Maximum size of the member states in a datagram; the rest is for the packet and the message.
MAX_GOSSIP_BYTES = 1_000
#: Maximum size of one piece of an exchange.
MAX_PIECE_BYTES = 16 << 10
#: Maximum number of pieces in one exchange: some 50,000 instances.
MAX_PIECES = 512

Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Phase = Annotated[int, Meta(ge=0, le=255)]
BootId = Annotated[int, Meta(ge=1, le=(1 << 63) - 1)]
ReceiverBootId = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
SequenceNumber = Annotated[int, Meta(ge=1, lt=1 << 62)]


class Hello(Struct, frozen=True, array_like=True, tag=0):
    """Asks which process is at an address. It changes nothing at its receiver; the answer goes to `host` and `port`."""

    host: Host
    port: Port


class AliveNotice(Struct, frozen=True, array_like=True, tag=1):
    """The answer to `Hello`, and to a packet for another boot of this instance.

    Attributes:
        host: Host at which the sender is reached.
        port: Port at which the sender is reached.
        phase: The sender's recovery phase; 0 if its build does not report it.
    """

    host: Host
    port: Port
    phase: Phase = 0


class Ping(Struct, frozen=True, array_like=True, tag=2):
    """A direct probe.

    Attributes:
        number: Sequence number of the probe; the answer repeats it.
        digest: Digest of the sender's membership view.
        phase: The sender's recovery phase; 0 if its build does not report it.
    """

    number: Count
    digest: Digest
    phase: Phase = 0


class Ack(Struct, frozen=True, array_like=True, tag=3):
    """The answer to `Ping`, with the same attributes."""

    number: Count
    digest: Digest
    phase: Phase = 0


class IndirectProbe(Struct, frozen=True, array_like=True, tag=4):
    """Asks the receiver to probe `target` on behalf of the sender."""

    number: Count
    target: Name


class Nack(Struct, frozen=True, array_like=True, tag=5):
    """The answer to `IndirectProbe` if the target has not answered."""

    number: Count


class GossipReply(Struct, frozen=True, array_like=True, tag=6):
    """Carries member states and nothing else."""


class NameConflictNotice(Struct, frozen=True, array_like=True, tag=7):
    """Tells the receiver that the sender has the same name.

    Attributes:
        life: The sender's generation.
        host: Host at which the sender is reached.
        port: Port at which the sender is reached.
        joined: Whether the sender has joined the fleet.
        answer: Whether this notice answers another one; it is then not answered itself.
    """

    life: Count
    host: Host
    port: Port
    joined: bool
    answer: bool


class Piece(Struct, frozen=True, array_like=True, tag=8):
    """A piece of the sender's membership view, in an exchange over TCP.

    Attributes:
        number: Index of the piece, from 0.
        last: Whether this is the last piece.
    """

    number: Count
    last: bool


#: All messages: of the membership protocol, and of replicated state (`replication/messages.py`).
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
    """A message with its sender and the boot id of the receiver.

    Attributes:
        sender: The sender's name.
        boot: The sender's boot id, drawn at random at each start of its process.
        to: The receiver's boot id; 0 if it is not known, which is allowed only for a hello.
        number: Sequence number, which increases with each packet of the sender's boot.
        message: The message.
        facts: Member states that are sent with the message.
    """

    sender: Name
    boot: BootId
    to: ReceiverBootId
    number: SequenceNumber
    message: Message
    facts: tuple[MemberState, ...] = ()


class _Envelope(Struct, array_like=True):
    """A `Packet` whose message and member states are not decoded yet."""

    sender: Name
    boot: BootId
    to: ReceiverBootId
    number: SequenceNumber
    message: Raw
    facts: list[Raw] = []


_packet_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_message_decoder = msgspec.msgpack.Decoder(Message)
_member_state_decoder = msgspec.msgpack.Decoder(MemberState)

#: Errors that the decoders raise for malformed bytes; invalid UTF-8 and deep nesting raise errors of their own.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, slots=True)
class OpenedPacket:
    """A packet that was sealed with a key of the fleet.

    Attributes:
        packet: The packet.
        unreadable_states: Number of its member states that this build can't decode.
    """

    packet: Packet
    unreadable_states: int


class Sealer:
    """Seals packets with the first key and opens packets that were sealed with any of the keys.

    Attributes:
        keys: The keys by key number.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        """Create a sealer from the keys, the sealing key first.

        Raises:
            KeyFileError: There are no keys, too many, or a key whose length is not KEY_BYTES.
        """
        if not 1 <= len(keys) <= MAX_KEYS or any(len(key) != KEY_BYTES for key in keys):
            raise KeyFileError(f"expected 1 to {MAX_KEYS} keys of {KEY_BYTES} bytes, got {len(keys)} keys")
        self.keys: Mapping[int, bytes] = {key_number(key): key for key in keys}
        self._sealing_number = key_number(keys[0])

    def seal(self, packet: Packet) -> bytes:
        """Encode and seal a packet."""
        header = MAGIC + bytes((FORMAT_VERSION, self._sealing_number))
        body = _packet_encoder.encode(packet)
        return header + compute_mac(self.keys[self._sealing_number], header, body) + body

    def open(self, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> OpenedPacket:
        """Check the seal and decode the packet.

        Raises:
            MessageError: No instance of this fleet has sent the bytes, or this build can't decode them.
        """
        if len(data) > max_bytes:
            raise MessageError(DropReason.TOO_LONG)
        if len(data) < HEADER_BYTES + MAC_BYTES or data[:2] != MAGIC:
            raise MessageError(DropReason.NOT_OURS)
        if data[2] != FORMAT_VERSION:
            raise MessageError(DropReason.OTHER_FORMAT)
        key = self.keys.get(data[3])
        if key is None:
            raise MessageError(DropReason.OTHER_KEY)
        header = data[:HEADER_BYTES]
        mac = data[HEADER_BYTES : HEADER_BYTES + MAC_BYTES]
        body = data[HEADER_BYTES + MAC_BYTES :]
        if not hmac.compare_digest(compute_mac(key, header, body), mac):
            raise MessageError(DropReason.FORGED)
        return _decode_packet(body)


def compute_mac(key: bytes, header: bytes, body: bytes) -> bytes:
    """Return the MAC of a packet."""
    return blake3(header + body, key=key).digest(MAC_BYTES)


def _decode_packet(body: bytes) -> OpenedPacket:
    try:
        envelope = _envelope_decoder.decode(body)
    except DECODE_ERRORS:
        raise MessageError(DropReason.MALFORMED) from None
    try:
        message: Message = _message_decoder.decode(envelope.message)
    except DECODE_ERRORS:
        raise MessageError(DropReason.UNKNOWN_KIND) from None
    states = []
    for raw in envelope.facts:
        try:
            states.append(_member_state_decoder.decode(raw))
        except DECODE_ERRORS:
            continue  # sent by a later build
    packet = Packet(envelope.sender, envelope.boot, envelope.to, envelope.number, message, tuple(states))
    return OpenedPacket(packet, len(envelope.facts) - len(states))
