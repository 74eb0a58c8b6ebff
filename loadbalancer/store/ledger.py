"""The idempotency ledger: what a request with a repeated key gets. No I/O.

| known of the key | the client gets |
| --- | --- |
| nothing | it goes to an endpoint, once it is on disk that it has begun |
| another request's body, method or path under it | 422: one key is one request |
| begun here, and not ended | 409: in progress |
| begun, not resolved, inside the deduplication window, and all endpoints drop repeats | one more attempt, which must be answered inside the window; the answer resolves the key |
| begun, not resolved, past that | 409: whether it ran is not known, and it is not sent blindly |
| answered, and the answer is kept | the answer, marked `Idempotent-Replayed: true` |
| answered, and the answer was too long to keep | 409, with its status and digest |

`Begun` is on disk before the first attempt leaves, `Answered` before the client gets the answer: an interruption in
between leaves a key that is begun and not resolved. A rejection of what never ran takes the key back.
"""  # noqa: E501

from __future__ import annotations

import enum
import hashlib
from typing import Mapping, NamedTuple, Union

import msgspec

RETRY_MARGIN_S = 0.25
"""Seconds before the end of the deduplication window by which a retry must have arrived, for delay and clocks."""
DIGEST_BYTES = 16
SCOPED_KEY_BYTES = 32
KEY_PREFIX = b"key\0"
"""What the ledger's keys begin with in the store."""


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A first attempt may have left."""

    digest: bytes
    """Of the request."""
    at: float
    """When, in Unix seconds."""
    window: float
    """Seconds in which endpoints drop repeats."""


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An endpoint has answered."""

    digest: bytes
    """Of the request."""
    at: float
    """When, in Unix seconds."""
    status: int
    """Of the answer."""
    reason: bytes
    """The reason phrase of the answer."""
    lines: list[bytes]
    """The header lines of the answer."""
    body: bytes | None
    """Of the answer; None where it was too long."""
    body_digest: bytes
    """Of the answer's body, also where it is not kept."""


Entry = Union[Begun, Answered]
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode


def encode(entry: Entry) -> bytes:
    """An entry as it is stored."""
    return _encode(entry)


def decode(data: bytes | None) -> Entry | None:
    """An entry from what is stored; None for none.

    Raises:
        ValueError: The bytes are no entry.
    """
    return None if data is None else _decode(data)


def scope(tenant: str, route: str, key: bytes) -> bytes:
    """The key in the store: the same key of another tenant or route is another one.

    It is a hash (BLAKE2b, 32 bytes), so that keys of any length take the same room.
    """
    tenant_name = tenant.encode()
    route_name = route.encode()
    text = b"%d\0%b%d\0%b%b" % (len(tenant_name), tenant_name, len(route_name), route_name, key)
    return KEY_PREFIX + hashlib.blake2b(text, digest_size=SCOPED_KEY_BYTES).digest()


def digest(method: bytes, target: bytes, body: bytes | bytearray | None) -> bytes:
    """What tells one request under a key from another."""
    hashed = hashlib.blake2b(b"%b %b\0" % (method, target), digest_size=DIGEST_BYTES)
    hashed.update(body or b"")
    return hashed.digest()


class Disposition(enum.Enum):
    """What becomes of a request with a key."""

    FIRST = "it goes to an endpoint"
    AGAIN = "one more attempt, inside the window"
    REPLAY = "the answer that was given"
    REFUSED = "an error that says why"


class Ruling(NamedTuple):
    """What a request with a key gets."""

    disposition: Disposition
    """What becomes of it."""
    time_remaining: float = 0.0
    """Seconds in which it may be answered; of AGAIN."""
    status: int = 0
    """Of the error; of REFUSED."""
    reason: str = ""
    """Why, for the client; of REFUSED."""
    answer: Answered | None = None
    """The answer that was given; of REPLAY."""


FIRST = Ruling(Disposition.FIRST)


def decide(entry: Entry | None, request: bytes, now: float, in_progress: bool, all_drop: bool) -> Ruling:
    """What a request gets, by the table above.

    Args:
        entry: What is known of its key.
        request: The request's digest.
        now: Unix seconds by the store's clock.
        in_progress: Whether a request with the key is open here.
        all_drop: Whether every endpoint drops the repeats of every other, so that it does not matter which had the
            first attempt.
    """
    if entry is None:
        return FIRST
    if entry.digest != request:
        return _refuse(422, "the key has been used with another request")
    if isinstance(entry, Answered):
        if entry.body is None:
            digest_text = entry.body_digest.hex()
            return _refuse(
                409,
                f"answered with {entry.status}; the answer was too long to be kept, digest {digest_text}",
            )
        return Ruling(Disposition.REPLAY, answer=entry)
    if in_progress:
        return _refuse(409, "a request with the key is in progress")
    time_remaining = entry.at + entry.window - RETRY_MARGIN_S - now
    if all_drop and 0 < time_remaining <= entry.window:
        return Ruling(Disposition.AGAIN, time_remaining=time_remaining)
    return _refuse(409, "begun before and not resolved: whether it ran is not known")


def _refuse(status: int, reason: str) -> Ruling:
    return Ruling(Disposition.REFUSED, status=status, reason=reason)


def answered(
    begun_digest: bytes,
    now: float,
    status: int,
    reason: bytes,
    lines: list[bytes],
    body: bytes,
    max_bytes: int,
) -> Answered:
    """The entry of an answer; the body is left out where it and the lines take over `max_bytes` bytes."""
    body_digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
    if len(body) + sum(map(len, lines)) > max_bytes:
        return Answered(begun_digest, now, status, reason, [], None, body_digest)
    return Answered(begun_digest, now, status, reason, lines, body, body_digest)


def find_key(headers: Mapping[bytes, bytes], name: str | None) -> bytes | None:
    """The key that a request carries in the header of this name; None for none."""
    if name is None:
        return None
    return headers.get(name.encode()) or None
