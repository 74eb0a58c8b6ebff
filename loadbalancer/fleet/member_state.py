"""What one instance states of another, and which of two statements holds.

Rules:

1. A name stands for a place in the fleet. Each start of a process there is a *generation*: a number that grows, and a
   boot id that tells processes of one generation apart.
2. Within a generation a member alone raises its *incarnation*, to refute what others state of it.
3. Of two states of one name the greater rank holds: by generation, boot id, incarnation, then status, the worse status
   being the greater. So all instances that have received the same states hold the same one, whatever the order.
"""

from __future__ import annotations

import enum
from typing import Annotated

from blake3 import blake3
from msgspec import Meta, Struct, msgpack

#: Longest name of an instance and of a zone, in characters.
MAX_NAME_LENGTH = 48
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Zone = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Host = Annotated[str, Meta(max_length=64)]
Port = Annotated[int, Meta(ge=0, le=65535)]
#: 63 bits, so that any codec carries them.
Boot = Annotated[int, Meta(ge=1, le=(1 << 63) - 1)]
#: Generations and incarnations. A greater number is not accepted, so that nobody can use the numbers up.
Count = Annotated[int, Meta(ge=0, lt=1 << 40)]


class MemberStatus(enum.IntEnum):
    """Whether a member lives; the values are on the wire, and the worse status is the greater."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class MemberState(Struct, frozen=True, array_like=True):
    """What is stated of one member. An array on the wire: later builds append fields, which this one skips.

    Attributes:
        name: The member's name in the configuration.
        boot: Boot id, drawn at random by each start of its process.
        generation: How many starts this name has had, as far as the member knew.
        incarnation: Raised by the member to refute a suspicion.
        status: Whether it lives.
        host: Address at which other instances reach it.
        port: The port there, UDP and TCP.
        zone: Its zone, empty where it has none.
        reported_by: Name of the instance that suspects it or holds it dead; empty otherwise.
    """

    name: Name
    boot: Boot
    generation: Count
    incarnation: Count
    status: MemberStatus
    host: Host
    port: Port
    zone: Zone = ""
    reported_by: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """What rule 3 compares."""
        return self.generation, self.boot, self.incarnation, self.status

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port

    @property
    def is_live(self) -> bool:
        """Whether the member counts as one that lives: alive or suspect."""
        return self.status in LIVING


_encoder = msgpack.Encoder()


def encoded_size(state: MemberState) -> int:
    """Return the bytes that a state takes in a message."""
    return len(_encoder.encode(state))


def digest_of(name: str, boot: int, incarnation: int) -> int:
    """Return 63 bits for one living member; a table's digest is the sum of its members' (modulo DIGEST_MODULUS)."""
    text = b"%b\0%d\0%d" % (name.encode(), boot, incarnation)
    return int.from_bytes(blake3(text).digest(8), "big") >> 1


#: Digests are added up modulo this.
DIGEST_MODULUS = 1 << 63
