"""The store's bytes: segments, records, what is trusted of them. Pure: bytes in, records out.

A segment is a header and records one behind another. What is trusted is what its checksum covers, and the checksum
(CRC-32C, by the crc32c package) covers the store's id, the segment's number and the record's place as well: a record
that stands anywhere but where it was written is none.

    header    MSST version:u16 store:8s number:u64 crc:u32
    record    length:u32 crc:u32 kind:u8 payload
    PUT       expires:u64 (Unix ms, 0: never) key length:u16 key value
    DELETE    key length:u16 key
    TIME      u64 (Unix ms): begins each batch
    DROP      u64: segments before this number are gone
    SEAL      nothing: the segment is whole, and the next one exists
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple

from crc32c import crc32c

from loadbalancer.store.errors import NewerError, StoreError

MAGIC = b"MSST"
#: Of the format; a newer one is an error, and not half believed.
VERSION = 1
HEADER = struct.Struct("<4sH8sQI")
RECORD = struct.Struct("<IIB")
NUMBER = struct.Struct("<Q")
PUT = struct.Struct("<QH")
KEY = struct.Struct("<H")
_PLACE = struct.Struct("<QBQ")
#: Bytes of a key, and of a record's payload.
KEY_MOST = 1024
PAYLOAD_MOST = 1 << 20


class Kind(enum.IntEnum):
    PUT = 1
    DELETE = 2
    TIME = 3
    DROP = 4
    SEAL = 5


_KINDS = {int(kind): kind for kind in Kind}


class Record(NamedTuple):
    """One record as it stands. `at`, `end`: bytes from the segment's begin."""

    kind: Kind
    at: int
    end: int
    payload: bytes

    @property
    def size(self) -> int:
        return self.end - self.at


def encode_header(store: bytes, number: int) -> bytes:
    head = HEADER.pack(MAGIC, VERSION, store, number, 0)[:-4]
    return head + struct.pack("<I", crc32c(head))


def decode_header(data: bytes) -> tuple[bytes, int] | None:
    """The store's id and the segment's number, None where the header is not whole; NewerError past VERSION."""
    if len(data) < HEADER.size:
        return None
    magic, version, store, number, crc = HEADER.unpack_from(data)
    if magic != MAGIC or crc32c(data[: HEADER.size - 4]) != crc:
        return None
    if version > VERSION:
        raise NewerError(
            f"the store is of version {version}, and this program knows {VERSION}: run the newer program"
        )
    return store, number


class Seal(NamedTuple):
    """What the checksums of one segment begin with."""

    seed: int

    @classmethod
    def of(cls, store: bytes, number: int) -> Seal:
        return cls(crc32c(store + NUMBER.pack(number)))

    def sum(self, at: int, kind: int, payload: bytes) -> int:
        return crc32c(payload, crc32c(_PLACE.pack(at, kind, len(payload)), self.seed))

    def encode(self, at: int, kind: Kind, payload: bytes) -> bytes:
        return RECORD.pack(len(payload), self.sum(at, kind, payload), kind) + payload

    def decode(self, data: bytes, at: int) -> Record | None:
        """The record that stands at `at`, None where none does that can be trusted."""
        if at + RECORD.size > len(data):
            return None
        length, crc, kind = RECORD.unpack_from(data, at)
        end = at + RECORD.size + length
        if length > PAYLOAD_MOST or end > len(data) or not Kind.PUT <= kind <= Kind.SEAL:
            return None
        payload = data[at + RECORD.size : end]
        if self.sum(at, kind, payload) != crc:
            return None
        return Record(_KINDS[kind], at, end, payload)

    def decode_alone(self, data: bytes, at: int) -> Record | None:
        """The record that `data` is, read by itself from its place."""
        if len(data) < RECORD.size:
            return None
        length, crc, kind = RECORD.unpack_from(data)
        payload = data[RECORD.size :]
        if length != len(payload) or not Kind.PUT <= kind <= Kind.SEAL or self.sum(at, kind, payload) != crc:
            return None
        return Record(_KINDS[kind], at, at + len(data), payload)


def put_payload(key: bytes, value: bytes, expires_ms: int) -> bytes:
    if not 0 < len(key) <= KEY_MOST:
        raise StoreError(f"a key of {len(key)} bytes; 1 to {KEY_MOST} are wanted")
    payload = PUT.pack(expires_ms, len(key)) + key + value
    if len(payload) > PAYLOAD_MOST:
        raise StoreError(
            f"a value of {len(value)} bytes; with its key {PAYLOAD_MOST - PUT.size} are the most"
        )
    return payload


def read_put(payload: bytes) -> tuple[bytes, bytes, int]:
    """Key, value, and when it expires."""
    expires, length = PUT.unpack_from(payload)
    return payload[PUT.size : PUT.size + length], payload[PUT.size + length :], expires


def read_key(payload: bytes) -> tuple[bytes, int]:
    """Key and when it expires, without copying the value."""
    expires, length = PUT.unpack_from(payload)
    return payload[PUT.size : PUT.size + length], expires


def delete_payload(key: bytes) -> bytes:
    return KEY.pack(len(key)) + key


def read_delete(payload: bytes) -> bytes:
    (length,) = KEY.unpack_from(payload)
    return payload[KEY.size : KEY.size + length]


def read_number(payload: bytes) -> int:
    return int(NUMBER.unpack(payload)[0])


class Damage(NamedTuple):
    """Bytes that stand between trusted records and are none, in no copy."""

    number: int
    begin: int
    end: int


class Scan(NamedTuple):
    """What two copies of a segment say together. `torn`: bytes behind the last trusted record; `wrong`: for each copy,
    whether it has to be written anew."""

    records: list[Record]
    damage: list[Damage]
    end: int
    torn: int
    wrong: tuple[bool, bool]
    sealed: bool


def scan(number: int, seal: Seal, copies: tuple[bytes, bytes]) -> Scan:
    """Read two copies as one: at each place, the record that either has.

    Guards against a copy that is cut, overwritten or lost while the other is not. Bytes that are no record in either
    are damage where a trusted record follows, since a batch is begun only once the one before is on disk in both; at
    the end they are a batch that was never acknowledged. What it can't tell: damage to both copies of the last batch,
    and both copies of the newest segment cut at the same byte."""
    at, records, damage = HEADER.size, [], []
    differ = [False, False]
    longest = max(map(len, copies))
    alike = copies[0] == copies[1]
    while at < longest:
        record = None
        for which, data in enumerate(copies):
            if which and alike:
                differ[1] = differ[0]
                break
            found = seal.decode(data, at)
            if found is None:
                differ[which] = True
            elif record is None:
                record = found
        if record is None:
            following = _next(seal, copies, at + 1)
            if following is None:
                break
            damage.append(Damage(number, at, following))
            at = following
            continue
        records.append(record)
        at = record.end
        if record.kind == Kind.SEAL:
            break
    sealed = bool(records) and records[-1].kind == Kind.SEAL
    wrong = tuple(differ[n] or len(copies[n]) != at for n in (0, 1))
    return Scan(records, damage, at, max(0, longest - at), (wrong[0], wrong[1]), sealed)


def _next(seal: Seal, copies: tuple[bytes, bytes], begin: int) -> int | None:
    """Where the next trusted record stands. Every byte is tried: a length that is damaged leads nowhere."""
    for at in range(begin, max(map(len, copies))):
        if any(seal.decode(data, at) is not None for data in copies):
            return at
    return None
