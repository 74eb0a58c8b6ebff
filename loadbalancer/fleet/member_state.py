"""Member states, and the rank that decides which of two states of one member takes precedence.

Rules:

1. A name identifies an instance of the fleet across restarts. Each start of its process is a new *generation*: a number
   that increases, and a boot id that distinguishes processes of one generation.
2. Within a generation only the member itself raises its *incarnation*, to refute a state that others report of it.
3. Of two states of one name the one of greater rank takes precedence: by generation, boot id, incarnation, then status,
   where the worse status is greater. So all instances that have received the same states record the same one, in
   whatever order the states arrived.
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
#: Generations and incarnations. A greater number is not accepted, so that no instance can exhaust the numbers.
Count = Annotated[int, Meta(ge=0, lt=1 << 40)]


class MemberStatus(enum.IntEnum):
    """The status of a member; the values are on the wire, and a worse status has a greater value."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class MemberState(Struct, frozen=True, array_like=True):
    """The reported state of one member. An array on the wire: later builds append fields, which this one ignores.

    Attributes:
        name: The member's name in the configuration.
        boot: Boot id, drawn at random at each start of its process.
        generation: Number of starts under this name, as far as the member knew.
        incarnation: Raised by the member to refute a suspicion.
        status: Whether it is alive, suspect, dead or has left.
        host: Host at which other instances reach it.
        port: Its port, for UDP and TCP.
        zone: Its availability zone; empty if it has none.
        reported_by: Name of the instance that reported it suspect or dead; empty otherwise.
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
        """The sort key that rule 3 compares."""
        return self.generation, self.boot, self.incarnation, self.status

    @property
    def address(self) -> tuple[str, int]:
        """Host and port as a pair."""
        return self.host, self.port

    @property
    def is_live(self) -> bool:
        """Whether the member counts as living: alive or suspect."""
        return self.status in LIVING


_encoder = msgpack.Encoder()


def encoded_size(state: MemberState) -> int:
    """Return the encoded size of a state in bytes."""
    return len(_encoder.encode(state))


def digest_of(name: str, boot: int, incarnation: int) -> int:
    """Return the 63-bit digest of one living member; a table's digest is their sum modulo DIGEST_MODULUS."""
    text = b"%b\0%d\0%d" % (name.encode(), boot, incarnation)
    return int.from_bytes(blake3(text).digest(8), "big") >> 1


#: Modulus of sums of digests.
DIGEST_MODULUS = 1 << 63
