"""What a repeated key gets. Pure: what is known of the key, and the time, in; a ruling out.

| known of the key | the client gets |
| --- | --- |
| nothing | it goes to a member, once that it has begun is on disk |
| another request's body, method or path under it | 422: one key is one request |
| begun here, and not ended | 409: in progress |
| begun, not resolved, inside the window in which members drop repeats, and all of them do | one attempt more, that must leave inside the window; its answer resolves the key |
| begun, not resolved, past that | 409: whether it ran is not known, and it is not sent blind |
| answered, and the answer is kept | the answer, marked `Idempotent-Replayed: true` |
| answered, and the answer was too long to keep | 409, with its status and digest |

`begun` is on disk before the first attempt leaves, `answered` before the client hears it: a cut in between leaves a key
that is begun and not resolved. A refusal of what never ran takes the key back.
"""  # noqa: E501

from __future__ import annotations

import enum
import hashlib
from typing import Mapping, NamedTuple, Union

import msgspec

#: A repeat must be with its member this long before the window ends, in seconds: for the way, and for clocks.
MARGIN_S = 0.25
#: Bytes of a digest.
DIGEST = 16
PREFIX = b"key\0"


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A first attempt may have left. `at`: Unix seconds; `window`: seconds in which members drop repeats."""

    digest: bytes  # of the request
    at: float
    window: float


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A member's answer. `body` is None where it was too long; its digest is kept in any case."""

    digest: bytes
    at: float
    status: int
    reason: bytes
    lines: list[bytes]
    body: bytes | None
    body_digest: bytes


Entry = Union[Begun, Answered]
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode


def encode(entry: Entry) -> bytes:
    return _encode(entry)


def decode(data: bytes | None) -> Entry | None:
    """ValueError (msgspec's) where it is none."""
    return None if data is None else _decode(data)


def scope(tenant: str, route: str, key: bytes) -> bytes:
    """A key as the store has it: the same words mean another key for another tenant or route, whatever they hold.

    A long key is kept by its hash, which is as good as the key: 32 bytes of BLAKE2b."""
    name = hashlib.blake2b(
        b"%d\0%b%d\0%b%b" % (len(tenant.encode()), tenant.encode(), len(route.encode()), route.encode(), key),
        digest_size=32,
    )
    return PREFIX + name.digest()


def digest(method: bytes, target: bytes, body: bytes | bytearray | None) -> bytes:
    """What tells one request under a key from another."""
    made = hashlib.blake2b(b"%b %b\0" % (method, target), digest_size=DIGEST)
    made.update(body or b"")
    return made.digest()


class Disposition(enum.Enum):
    FIRST = "it goes to a member"
    AGAIN = "one attempt more, inside the window"
    REPLAY = "the answer that was given"
    REFUSED = "an error that says why"


class Ruling(NamedTuple):
    """`left`: seconds in which an AGAIN may be answered; `status`, `why`: of a REFUSED; `answer`: of a REPLAY."""

    way: Disposition
    left: float = 0.0
    status: int = 0
    why: str = ""
    answer: Answered | None = None


FIRST = Ruling(Disposition.FIRST)


def decide(entry: Entry | None, request: bytes, now: float, in_progress: bool, all_drop: bool) -> Ruling:
    """`request`: its digest. `now`: Unix seconds by the store's clock. `all_drop`: every member drops the repeats of
    every other, so that it does not matter which had the first."""
    if entry is None:
        return FIRST
    if entry.digest != request:
        return Ruling(Disposition.REFUSED, status=422, why="the key has been used with another request")
    if isinstance(entry, Answered):
        if entry.body is None:
            why = f"answered with {entry.status}; the answer was too long to be kept, digest {entry.body_digest.hex()}"
            return Ruling(Disposition.REFUSED, status=409, why=why)
        return Ruling(Disposition.REPLAY, answer=entry)
    if in_progress:
        return Ruling(Disposition.REFUSED, status=409, why="a request with the key is in progress")
    left = entry.at + entry.window - MARGIN_S - now
    if all_drop and 0 < left <= entry.window:
        return Ruling(Disposition.AGAIN, left=left)
    return Ruling(
        Disposition.REFUSED, status=409, why="begun before and not resolved: whether it ran is not known"
    )


def answered(
    begun_digest: bytes, now: float, status: int, reason: bytes, lines: list[bytes], body: bytes, most: int
) -> Answered:
    """The entry of an answer; past `most` bytes its body is left out."""
    kept = body if len(body) + sum(map(len, lines)) <= most else None
    summed = hashlib.blake2b(body, digest_size=DIGEST).digest()
    return Answered(begun_digest, now, status, reason, lines if kept is not None else [], kept, summed)


def is_key(headers: Mapping[bytes, bytes], name: str | None) -> bytes | None:
    """The key that a request brings, None for none."""
    return headers.get(name.encode()) or None if name is not None else None
