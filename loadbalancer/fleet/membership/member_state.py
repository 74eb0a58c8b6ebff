"""What one instance says of another, and which of two such words stands.

Rules:

1. A name is a place; each start of a process there is a *life*, told by a boot id and ordered by a number that grows.
2. Within a life an instance alone raises its *incarnation*, to refute what others say of it.
3. Of two words on a name the greater stands: by life, boot, incarnation, then state; a worse state is the greater.
   So all who have heard the same words hold the same, in whatever order they came.
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
#: Numbers of lives and incarnations; past it a word is not believed, so that nobody can use them up.
Count = Annotated[int, Meta(ge=0, lt=1 << 40)]


class MemberStatus(enum.IntEnum):
    """What is held of an instance, the worse the greater."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class MemberState(Struct, frozen=True, array_like=True):
    """One word on one instance. Later builds append fields; this one passes over them."""

    name: Name
    boot: Boot
    life: Count
    incarnation: Count
    status: MemberStatus
    host: Host
    port: Port
    zone: Zone = ""
    reported_by: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""  # who suspects, or holds it dead

    @property
    def rank(self) -> tuple[int, int, int, int]:
        return self.life, self.boot, self.incarnation, self.status

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


_encoder = msgpack.Encoder()


def encoded_size(fact: MemberState) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(fact))


def digest_of(name: str, boot: int, incarnation: int) -> int:
    """63 bits of one living instance; those of a view are added up, so that a change costs one of them."""
    text = b"%b\0%d\0%d" % (name.encode(), boot, incarnation)
    return int.from_bytes(blake3(text).digest(8), "big") >> 1


#: Digests are added up modulo this.
DIGESTS = 1 << 63
