"""The idempotency ledger: decides how a request with an idempotency key is handled. No I/O.

| state of the key | outcome of the request |
| --- | --- |
| unknown | the first attempt is sent, once it is on disk that the key has begun |
| used with another body, method or path | 422: a key identifies one request |
| begun by this process, and not finished | 409: in progress |
| begun, not resolved, inside the deduplication window, and all endpoints drop repeats | one more attempt, which must be answered inside the window; the answer resolves the key |
| begun, not resolved, otherwise | 409: it is unknown whether the request ran, so it is not sent again |
| answered, and the answer is stored | the stored answer, marked `Idempotent-Replayed: true` |
| answered, and the answer was too long to store | 409, with the status and digest of the answer |

`Begun` is on disk before the first attempt is sent, `Answered` before the client gets the answer: an interruption in
between leaves a key that is begun and not resolved. Where an endpoint rejects a request that has not run, the key is
removed.
"""  # noqa: E501

from __future__ import annotations

import enum
import hashlib
from typing import Mapping, NamedTuple, Union

import msgspec

RETRY_MARGIN_S = 0.25
"""How many seconds before the end of the deduplication window a retry must arrive: a margin for network delay and
clock differences."""
DIGEST_BYTES = 16
SCOPED_KEY_BYTES = 32
KEY_PREFIX = b"key\0"
"""Prefix of the ledger's keys in the store."""


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The entry of a key whose first attempt may have been sent."""

    digest: bytes
    """Digest of the request."""
    at: float
    """Unix time of the first attempt, in seconds."""
    window: float
    """The deduplication window: seconds during which endpoints drop repeats."""


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The entry of a key whose request has been answered by an endpoint."""

    digest: bytes
    """Digest of the request."""
    at: float
    """Unix time of the answer, in seconds."""
    status: int
    """Status of the answer."""
    reason: bytes
    """The reason phrase of the answer."""
    lines: list[bytes]
    """The header lines of the answer."""
    body: bytes | None
    """Body of the answer; None where the answer was too long to store."""
    body_digest: bytes
    """Digest of the answer's body, even where the body is not stored."""


Entry = Union[Begun, Answered]
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Entry).decode


def encode(entry: Entry) -> bytes:
    """Encode an entry for the store."""
    return _encode(entry)


def decode(data: bytes | None) -> Entry | None:
    """Decode a stored entry; return None where there is none.

    Raises:
        ValueError: The bytes are not an entry.
    """
    return None if data is None else _decode(data)


def scope(tenant: str, route: str, key: bytes) -> bytes:
    """Return the store's key for an idempotency key, which is scoped to its tenant and route.

    It is a hash (BLAKE2b, 32 bytes), so that keys of any length take the same space.
    """
    tenant_name = tenant.encode()
    route_name = route.encode()
    text = b"%d\0%b%d\0%b%b" % (len(tenant_name), tenant_name, len(route_name), route_name, key)
    return KEY_PREFIX + hashlib.blake2b(text, digest_size=SCOPED_KEY_BYTES).digest()


def digest(method: bytes, target: bytes, body: bytes | bytearray | None) -> bytes:
    """Return the digest that tells requests with the same key apart."""
    hashed = hashlib.blake2b(b"%b %b\0" % (method, target), digest_size=DIGEST_BYTES)
    hashed.update(body or b"")
    return hashed.digest()


class Disposition(enum.Enum):
    """How a request with a key is handled."""

    FIRST = "it goes to an endpoint"
    RETRY = "one more attempt, inside the window"
    REPLAY = "the answer that was given"
    REFUSED = "an error that says why"


class KeyDecision(NamedTuple):
    """The decision on a request with a key."""

    disposition: Disposition
    """How the request is handled."""
    time_remaining: float = 0.0
    """With RETRY: seconds within which the attempt must be answered."""
    status: int = 0
    """With REFUSED: status of the error."""
    reason: str = ""
    """With REFUSED: the reason, for the client."""
    answer: Answered | None = None
    """With REPLAY: the stored answer."""


FIRST = KeyDecision(Disposition.FIRST)


def decide(
    entry: Entry | None, request_digest: bytes, now: float, in_progress: bool, all_drop: bool
) -> KeyDecision:
    """Decide on a request with a key, by the table at the top of this module.

    Args:
        entry: The stored entry of its key, if any.
        request_digest: The digest of the request.
        now: Unix seconds by the store's clock.
        in_progress: Whether a request with the key is in progress in this process.
        all_drop: Whether every endpoint drops repeats of requests that any other endpoint has received, so that it
            does not matter which one got the first attempt.
    """
    if entry is None:
        return FIRST
    if entry.digest != request_digest:
        return _refuse(422, "the key has been used with another request")
    if isinstance(entry, Answered):
        if entry.body is None:
            digest_text = entry.body_digest.hex()
            return _refuse(
                409,
                f"answered with {entry.status}; the answer was too long to be kept, digest {digest_text}",
            )
        return KeyDecision(Disposition.REPLAY, answer=entry)
    if in_progress:
        return _refuse(409, "a request with the key is in progress")
    time_remaining = entry.at + entry.window - RETRY_MARGIN_S - now
    if all_drop and 0 < time_remaining <= entry.window:
        return KeyDecision(Disposition.RETRY, time_remaining=time_remaining)
    return _refuse(409, "begun before and not resolved: whether it ran is not known")


def _refuse(status: int, reason: str) -> KeyDecision:
    return KeyDecision(Disposition.REFUSED, status=status, reason=reason)


def answered(
    begun_digest: bytes,
    now: float,
    status: int,
    reason: bytes,
    lines: list[bytes],
    body: bytes,
    max_bytes: int,
) -> Answered:
    """Make the entry of an answer; lines and body are left out where they exceed `max_bytes` bytes together."""
    body_digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
    if len(body) + sum(map(len, lines)) > max_bytes:
        return Answered(begun_digest, now, status, reason, [], None, body_digest)
    return Answered(begun_digest, now, status, reason, lines, body, body_digest)


def find_key(headers: Mapping[bytes, bytes], name: str | None) -> bytes | None:
    """Return the idempotency key in the header of this name; None where the request has none."""
    if name is None:
        return None
    return headers.get(name.encode()) or None
