"""The store's on-disk format: segment headers and records. No I/O.

A segment is a header followed by records. The checksum (CRC-32C) of a record covers the store's id, the segment's
number and the record's offset as well as its content, so that a record is accepted only at the position where it was
written.

    header    MSST version:u16 store:8s number:u64 crc:u32
    record    length:u32 crc:u32 kind:u8 payload
    PUT       expires:u64 (Unix ms, 0: never) key length:u16 key value
    DELETE    key length:u16 key
    TIME      u64 (Unix ms): the first record of each batch
    DROP      u64: all segments before this number have been removed
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
"""Version of the format; a store with a newer one is not opened."""
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
    """The kinds of records, by their number on disk."""

    PUT = 1
    DELETE = 2
    TIME = 3
    DROP = 4
    SEAL = 5


_KINDS = {int(kind): kind for kind in RecordKind}


class Record(NamedTuple):
    """A decoded record and its position in its segment."""

    kind: RecordKind
    """The kind of the record."""
    offset: int
    """Offset of the record's first byte from the segment's start."""
    end: int
    """Offset of the byte after the record's last from the segment's start."""
    payload: bytes
    """Content of the record; see the layouts in the module's docstring."""

    @property
    def size(self) -> int:
        """The size of the whole record in bytes."""
        return self.end - self.offset


class PutContent(NamedTuple):
    """The content of a PUT."""

    key: bytes
    """The key, 1 to `MAX_KEY_BYTES` bytes."""
    value: bytes
    """The value."""
    expires_ms: int
    """Unix milliseconds after which the key is gone; 0 for never."""


def encode_header(store_id: bytes, number: int) -> bytes:
    """Encode the header of a segment.

    Args:
        store_id: The store's id, 8 bytes.
        number: The segment's number.
    """
    head = HEADER_LAYOUT.pack(MAGIC, FORMAT_VERSION, store_id, number, 0)[: -_CHECKSUM_LAYOUT.size]
    return head + _CHECKSUM_LAYOUT.pack(crc32c(head))


def decode_header(data: bytes) -> tuple[bytes, int] | None:
    """Decode the header of a segment.

    Returns:
        The store's id and the segment's number; None where the header is incomplete or damaged.

    Raises:
        NewerError: The format is newer than `FORMAT_VERSION`.
    """
    if len(data) < HEADER_LAYOUT.size:
        return None
    magic, version, store_id, number, checksum = HEADER_LAYOUT.unpack_from(data)
    if magic != MAGIC or crc32c(data[: HEADER_LAYOUT.size - _CHECKSUM_LAYOUT.size]) != checksum:
        return None
    if version > FORMAT_VERSION:
        raise NewerError(
            f"the store is of version {version}, and this program knows {FORMAT_VERSION}: run the newer program"
        )
    return store_id, number


class RecordCodec(NamedTuple):
    """Encodes and decodes the records of one segment."""

    seed: int
    """Checksum of the store's id and the segment's number, from which the checksum of each record is continued."""

    @classmethod
    def for_segment(cls, store_id: bytes, number: int) -> RecordCodec:
        """Create the codec of a segment."""
        return cls(crc32c(store_id + NUMBER_LAYOUT.pack(number)))

    def checksum(self, offset: int, kind: int, payload: bytes) -> int:
        """Return the checksum of a record at an offset."""
        return crc32c(payload, crc32c(_PLACE_LAYOUT.pack(offset, kind, len(payload)), self.seed))

    def encode(self, offset: int, kind: RecordKind, payload: bytes) -> bytes:
        """Encode a record for an offset of the segment."""
        return RECORD_LAYOUT.pack(len(payload), self.checksum(offset, kind, payload), kind) + payload

    def decode(self, segment: bytes, offset: int) -> Record | None:
        """Decode the record at an offset of a segment; return None where no valid record begins there."""
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
        """Decode a record from exactly its own bytes, which were read at an offset; return None where it is invalid."""
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
    """Encode the payload of a PUT.

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
    """Decode the payload of a PUT."""
    expires_ms, length = PUT_LAYOUT.unpack_from(payload)
    value_offset = PUT_LAYOUT.size + length
    return PutContent(payload[PUT_LAYOUT.size : value_offset], payload[value_offset:], expires_ms)


def decode_put_key(payload: bytes) -> tuple[bytes, int]:
    """Decode the key and the expiry (Unix ms) of a PUT, without copying the value."""
    expires_ms, length = PUT_LAYOUT.unpack_from(payload)
    return payload[PUT_LAYOUT.size : PUT_LAYOUT.size + length], expires_ms


def encode_delete(key: bytes) -> bytes:
    """Encode the payload of a DELETE."""
    return KEY_LAYOUT.pack(len(key)) + key


def decode_delete(payload: bytes) -> bytes:
    """Decode the key of a DELETE."""
    (length,) = KEY_LAYOUT.unpack_from(payload)
    return payload[KEY_LAYOUT.size : KEY_LAYOUT.size + length]


def decode_number(payload: bytes) -> int:
    """Decode the number of a TIME (Unix ms) or a DROP (segment)."""
    return int(NUMBER_LAYOUT.unpack(payload)[0])
