"""Encodes and decodes records of FastCGI 1.0 (specification, sections 3.3 and 8) and their name-value pairs. No I/O.

What a record means in the state of a connection is decided in application.py and webserver.py.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Iterable, Iterator, NamedTuple

VERSION = 1
HEADER = struct.Struct("!BBHHBB")  # version, type, request id, length of content, length of padding, reserved
BEGIN_BODY = struct.Struct("!HB5x")  # role, flags
#: A complete BEGIN_REQUEST, and the header of the PARAMS record that follows.
OPENING = struct.Struct("!BBHHBBHB5xBBHHBB")
END_BODY = struct.Struct("!IB3x")  # application status, protocol status
#: Maximum of bytes of content in one record (its length has 16 bits).
MAX_CONTENT_BYTES = 65535
#: Maximum of bytes of content in the records that are written: a multiple of 8 needs no padding.
CHUNK_BYTES = 65528
#: Maximum of bytes that a decoder buffers: one incomplete record.
MAX_BUFFERED_BYTES = HEADER.size + MAX_CONTENT_BYTES + 255
PADDING = [bytes(count) for count in range(8)]
KEEP_CONN = 1  # flag of BEGIN_REQUEST


class Type(IntEnum):
    """Record types (section 8)."""

    BEGIN_REQUEST = 1
    ABORT_REQUEST = 2
    END_REQUEST = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6
    STDERR = 7
    DATA = 8
    GET_VALUES = 9
    GET_VALUES_RESULT = 10
    UNKNOWN_TYPE = 11


class Role(IntEnum):
    RESPONDER = 1
    AUTHORIZER = 2
    FILTER = 3


class Status(IntEnum):
    """Protocol status of END_REQUEST (section 5.5)."""

    REQUEST_COMPLETE = 0
    CANT_MPX_CONN = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


class ProtocolError(ValueError):
    """Bytes that are not FastCGI, or a record that is not allowed; nothing after it can be trusted."""


class Record(NamedTuple):
    type: int  # as received; may be unknown to Type
    request: int
    content: bytes


class Decoder:
    """Splits received bytes into records; buffers at most one incomplete record."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Record]:
        """Yield the records that these bytes complete; raise ProtocolError at one of another version."""
        if self._buffer:
            self._buffer += data
            data = bytes(self._buffer)
            self._buffer.clear()
        at, size = 0, len(data)
        try:
            while size - at >= 8:
                version, kind, request, length, padding, _ = HEADER.unpack_from(data, at)
                if version != VERSION:
                    raise ProtocolError(f"record has version {version}, expected {VERSION}")
                begin = at + 8
                end = begin + length
                if size < end + padding:
                    break
                at = end + padding
                yield Record(kind, request, data[begin:end])
        finally:
            if at < size:
                self._buffer += data[at:]

    @property
    def held(self) -> int:
        """Number of buffered bytes, which are of an incomplete record."""
        return len(self._buffer)


def encode(kind: int, request: int, content: bytes = b"") -> bytes:
    """Return one record, padded to a multiple of 8 as section 3.3 recommends."""
    length = len(content)
    if length > MAX_CONTENT_BYTES:
        raise ValueError(f"{length} bytes of content; a record holds {MAX_CONTENT_BYTES} at most")
    padding = -length % 8
    return HEADER.pack(VERSION, kind, request, length, padding, 0) + content + PADDING[padding]


def encode_stream(kind: int, request: int, data: bytes) -> bytes:
    """Return the records of a stream, without the empty record that ends it; empty if there is no data."""
    if 0 < len(data) <= CHUNK_BYTES:  # the common case
        return encode(kind, request, data)
    return b"".join(
        encode(kind, request, data[at : at + CHUNK_BYTES]) for at in range(0, len(data), CHUNK_BYTES)
    )


def encode_begin(request: int, keep: bool, role: int = Role.RESPONDER) -> bytes:
    return encode(Type.BEGIN_REQUEST, request, BEGIN_BODY.pack(role, KEEP_CONN if keep else 0))


def encode_opening(request: int, keep: bool, params: bytes) -> bytes:
    """Return BEGIN_REQUEST, the PARAMS, and the empty record that ends them."""
    length = len(params)
    if length > CHUNK_BYTES:
        return (
            encode_begin(request, keep)
            + encode_stream(Type.PARAMS, request, params)
            + encode(Type.PARAMS, request)
        )
    padding = -length % 8
    begin = OPENING.pack(
        VERSION,
        Type.BEGIN_REQUEST,
        request,
        8,
        0,
        0,
        Role.RESPONDER,
        KEEP_CONN if keep else 0,
        VERSION,
        Type.PARAMS,
        request,
        length,
        padding,
        0,
    )
    return b"%b%b%b%b" % (
        begin,
        params,
        PADDING[padding],
        HEADER.pack(VERSION, Type.PARAMS, request, 0, 0, 0),
    )


def encode_end(request: int, status: int = Status.REQUEST_COMPLETE, application: int = 0) -> bytes:
    return encode(Type.END_REQUEST, request, END_BODY.pack(application, status))


def read_begin(content: bytes) -> tuple[int, bool]:
    """Return the role, and whether to keep the connection open (section 5.1)."""
    if len(content) != BEGIN_BODY.size:
        raise ProtocolError(f"BEGIN_REQUEST has {len(content)} bytes, expected {BEGIN_BODY.size}")
    role, flags = BEGIN_BODY.unpack(content)
    return role, bool(flags & KEEP_CONN)


def read_end(content: bytes) -> tuple[int, int]:
    """Return the application status and the protocol status (section 5.5)."""
    if len(content) != END_BODY.size:
        raise ProtocolError(f"END_REQUEST has {len(content)} bytes, expected {END_BODY.size}")
    application, status = END_BODY.unpack(content)
    return application, status


# Name-value pairs (section 3.4).

#: Encoded lengths of the short form.
SHORT_LENGTHS = [bytes((count,)) for count in range(128)]


def _encode_length(count: int) -> bytes:
    return bytes((count,)) if count < 128 else struct.pack("!I", count | 1 << 31)


def encode_pairs(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    parts: list[bytes] = []
    for name, value in pairs:
        first, second = len(name), len(value)
        if first < 128 and second < 128:  # the common case
            parts += (SHORT_LENGTHS[first], SHORT_LENGTHS[second], name, value)
        else:
            parts += (_encode_length(first), _encode_length(second), name, value)
    return b"".join(parts)


def _read_length(data: bytes, at: int) -> tuple[int, int]:
    """Return a length and the offset after it; raise ProtocolError if it is truncated."""
    if at >= len(data):
        raise ProtocolError("name-value pairs end within a length")
    if data[at] < 128:
        return data[at], at + 1
    if at + 4 > len(data):
        raise ProtocolError("name-value pairs end within a length")
    return int(struct.unpack_from("!I", data, at)[0]) & 0x7FFFFFFF, at + 4


def read_pairs(data: bytes, max_pairs: int) -> list[tuple[bytes, bytes]]:
    """Return the pairs of a complete stream; raise ProtocolError if it is truncated or has more than `max_pairs`."""
    pairs: list[tuple[bytes, bytes]] = []
    at, size = 0, len(data)
    while at < size:
        if at + 1 < size and data[at] < 128 and data[at + 1] < 128:  # the common case
            name, value = data[at], data[at + 1]
            at += 2
        else:
            name, at = _read_length(data, at)
            value, at = _read_length(data, at)
        middle = at + name
        end = middle + value
        if end > size:
            raise ProtocolError("name-value pairs end within a pair")
        if len(pairs) >= max_pairs:
            raise ProtocolError(f"more than {max_pairs} name-value pairs")
        pairs.append((data[at:middle], data[middle:end]))
        at = end
    return pairs
