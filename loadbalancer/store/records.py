"""The store's format on disk: headers of segments and records. No I/O.

A segment is a header and records, one behind another. The checksum (CRC-32C) of a record covers the store's id, the
segment's number and the record's offset as well as its content, so a record that stands anywhere but where it was
written is not accepted.

    header    MSST version:u16 store:8s number:u64 crc:u32
    record    length:u32 crc:u32 kind:u8 payload
    PUT       expires:u64 (Unix ms, 0: never) key length:u16 key value
    DELETE    key length:u16 key
    TIME      u64 (Unix ms): begins each batch
    DROP      u64: segments before this number are removed
    SEAL      no payload: the segment is complete, and the next one exists
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple

from crc32c import crc32c

from loadbalancer.store.errors import NewerError, StoreError

MAGIC = b"MSST"
FORMAT_VERSION = 1
"""Version of the format; a newer one is refused as a whole."""
HEADER_LAYOUT = struct.Struct("<4sH8sQI")
RECORD_LAYOUT = struct.Struct("<IIB")
NUMBER_LAYOUT = struct.Struct("<Q")
PUT_LAYOUT = struct.Struct("<QH")
KEY_LAYOUT = struct.Struct("<H")
_CHECKSUM_LAYOUT = struct.Struct("<I")
_PLACE_LAYOUT = struct.Struct("<QBQ")
MAX_KEY_BYTES = 1024
MAX_PAYLOAD_BYTES = 1 << 20


class RecordKind(enum.IntEnum):
    """What a record says."""

    PUT = 1
    DELETE = 2
    TIME = 3
    DROP = 4
    SEAL = 5


_KINDS = {int(kind): kind for kind in RecordKind}


class Record(NamedTuple):
    """One record as it stands in its segment."""

    kind: RecordKind
    """What it says."""
    offset: int
    """Bytes from the segment's start to its first byte."""
    end: int
    """Bytes from the segment's start to the byte behind its last."""
    payload: bytes
    """Its content; see the layouts in the module's docstring."""

    @property
    def size(self) -> int:
        """Bytes of the whole record."""
        return self.end - self.offset


class PutContent(NamedTuple):
    """The content of a PUT."""

    key: bytes
    """The key, 1 to `MAX_KEY_BYTES` bytes."""
    value: bytes
    """The value."""
    expires_ms: int
    """Unix milliseconds after which the key is gone; 0 for never."""


def encode_header(store: bytes, number: int) -> bytes:
    """The header of a segment.

    Args:
        store: The store's id, 8 bytes.
        number: The segment's number.
    """
    head = HEADER_LAYOUT.pack(MAGIC, FORMAT_VERSION, store, number, 0)[: -_CHECKSUM_LAYOUT.size]
    return head + _CHECKSUM_LAYOUT.pack(crc32c(head))


def decode_header(data: bytes) -> tuple[bytes, int] | None:
    """The store's id and the segment's number.

    Returns:
        None where the header is incomplete or damaged.

    Raises:
        NewerError: The format is newer than `FORMAT_VERSION`.
    """
    if len(data) < HEADER_LAYOUT.size:
        return None
    magic, version, store, number, checksum = HEADER_LAYOUT.unpack_from(data)
    if magic != MAGIC or crc32c(data[: HEADER_LAYOUT.size - _CHECKSUM_LAYOUT.size]) != checksum:
        return None
    if version > FORMAT_VERSION:
        raise NewerError(
            f"the store is of version {version}, and this program knows {FORMAT_VERSION}: run the newer program"
        )
    return store, number


class RecordCodec(NamedTuple):
    """Encodes and decodes the records of one segment."""

    seed: int
    """The checksum of what all records of the segment have in common: the store's id and the segment's number."""

    @classmethod
    def for_segment(cls, store: bytes, number: int) -> RecordCodec:
        """The codec of a segment of a store."""
        return cls(crc32c(store + NUMBER_LAYOUT.pack(number)))

    def checksum(self, offset: int, kind: int, payload: bytes) -> int:
        """The checksum of a record at an offset."""
        return crc32c(payload, crc32c(_PLACE_LAYOUT.pack(offset, kind, len(payload)), self.seed))

    def encode(self, offset: int, kind: RecordKind, payload: bytes) -> bytes:
        """The bytes of a record that will stand at an offset."""
        return RECORD_LAYOUT.pack(len(payload), self.checksum(offset, kind, payload), kind) + payload

    def decode(self, segment: bytes, offset: int) -> Record | None:
        """The record that stands at an offset of a segment; None where its checksum does not fit."""
        if offset + RECORD_LAYOUT.size > len(segment):
            return None
        length, checksum, kind = RECORD_LAYOUT.unpack_from(segment, offset)
        end = offset + RECORD_LAYOUT.size + length
        if length > MAX_PAYLOAD_BYTES or end > len(segment) or kind not in _KINDS:
            return None
        payload = segment[offset + RECORD_LAYOUT.size : end]
        if self.checksum(offset, kind, payload) != checksum:
            return None
        return Record(_KINDS[kind], offset, end, payload)

    def decode_alone(self, data: bytes, offset: int) -> Record | None:
        """The record that `data` is, read by itself from an offset; None where its checksum does not fit."""
        if len(data) < RECORD_LAYOUT.size:
            return None
        length, checksum, kind = RECORD_LAYOUT.unpack_from(data)
        payload = data[RECORD_LAYOUT.size :]
        if length != len(payload) or kind not in _KINDS:
            return None
        if self.checksum(offset, kind, payload) != checksum:
            return None
        return Record(_KINDS[kind], offset, offset + len(data), payload)


def encode_put(key: bytes, value: bytes, expires_ms: int) -> bytes:
    """The payload of a PUT.

    Raises:
        StoreError: The key or the value is too long, or the key is empty.
    """
    if not 0 < len(key) <= MAX_KEY_BYTES:
        raise StoreError(f"a key of {len(key)} bytes; 1 to {MAX_KEY_BYTES} are wanted")
    payload = PUT_LAYOUT.pack(expires_ms, len(key)) + key + value
    if len(payload) > MAX_PAYLOAD_BYTES:
        most = MAX_PAYLOAD_BYTES - PUT_LAYOUT.size
        raise StoreError(f"a value of {len(value)} bytes; with its key {most} are the most")
    return payload


def decode_put(payload: bytes) -> PutContent:
    """Key, value and expiry of a PUT."""
    expires_ms, length = PUT_LAYOUT.unpack_from(payload)
    value_offset = PUT_LAYOUT.size + length
    return PutContent(payload[PUT_LAYOUT.size : value_offset], payload[value_offset:], expires_ms)


def decode_put_key(payload: bytes) -> tuple[bytes, int]:
    """Key and expiry (Unix ms) of a PUT, without a copy of the value."""
    expires_ms, length = PUT_LAYOUT.unpack_from(payload)
    return payload[PUT_LAYOUT.size : PUT_LAYOUT.size + length], expires_ms


def encode_delete(key: bytes) -> bytes:
    """The payload of a DELETE."""
    return KEY_LAYOUT.pack(len(key)) + key


def decode_delete(payload: bytes) -> bytes:
    """The key of a DELETE."""
    (length,) = KEY_LAYOUT.unpack_from(payload)
    return payload[KEY_LAYOUT.size : KEY_LAYOUT.size + length]


def decode_number(payload: bytes) -> int:
    """The number of a TIME (Unix ms) or a DROP (segment)."""
    return int(NUMBER_LAYOUT.unpack(payload)[0])
