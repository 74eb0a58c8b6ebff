"""Records of FastCGI 1.0 (specification, sections 3.3 and 8): bytes in, typed records out, and back.

What may live here: the form of records and of name-value pairs. Not what a record means where it comes; that is
application.py and webserver.py. No I/O.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Iterable, Iterator, NamedTuple

VERSION = 1
HEADER = struct.Struct("!BBHHBB")  # version, type, request id, length of content, length of padding, reserved
BEGIN_BODY = struct.Struct("!HB5x")  # role, flags
#: BEGIN_REQUEST whole, and the header of the PARAMS that follow.
OPENING = struct.Struct("!BBHHBBHB5xBBHHBB")
END_BODY = struct.Struct("!IB3x")  # application status, protocol status
#: Content of one record at most (its length has 16 bits).
CONTENT_MOST = 65535
#: Bytes of the records that we write at most: whole multiples of 8 need no padding.
CHUNK = 65528
#: Of what a decoder holds: one record that has not come to its end.
HELD_MOST = HEADER.size + CONTENT_MOST + 255
PADDING = [bytes(count) for count in range(8)]
KEEP_CONN = 1  # flag of BEGIN_REQUEST


class Type(IntEnum):
    """Section 8."""

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
    """What came is no FastCGI, or no record that may come here; nothing after it can be trusted."""


class Record(NamedTuple):
    type: int  # as it came; may be none of Type
    request: int
    content: bytes


class Decoder:
    """Gathers bytes into records; it holds no more than one that has not come to its end."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> Iterator[Record]:
        """The records that are whole with these bytes; ProtocolError at the first that has another version."""
        if self._held:
            self._held += data
            data = bytes(self._held)
            self._held.clear()
        at, size = 0, len(data)
        try:
            while size - at >= 8:
                version, kind, request, length, padding, _ = HEADER.unpack_from(data, at)
                if version != VERSION:
                    raise ProtocolError(f"version {version} instead of {VERSION}")
                begin = at + 8
                end = begin + length
                if size < end + padding:
                    break
                at = end + padding
                yield Record(kind, request, data[begin:end])
        finally:
            if at < size:
                self._held += data[at:]

    @property
    def held(self) -> int:
        """Bytes of a record that has not come to its end."""
        return len(self._held)


def encode(kind: int, request: int, content: bytes = b"") -> bytes:
    """One record, padded to a multiple of 8 as section 3.3 recommends."""
    length = len(content)
    if length > CONTENT_MOST:
        raise ValueError(f"{length} bytes of content; a record holds {CONTENT_MOST} at most")
    padding = -length % 8
    return HEADER.pack(VERSION, kind, request, length, padding, 0) + content + PADDING[padding]


def encode_stream(kind: int, request: int, data: bytes) -> bytes:
    """A stream of records without its end (an empty record); nothing for no data."""
    if 0 < len(data) <= CHUNK:  # as nearly all are
        return encode(kind, request, data)
    return b"".join(encode(kind, request, data[at : at + CHUNK]) for at in range(0, len(data), CHUNK))


def encode_begin(request: int, keep: bool, role: int = Role.RESPONDER) -> bytes:
    return encode(Type.BEGIN_REQUEST, request, BEGIN_BODY.pack(role, KEEP_CONN if keep else 0))


def encode_opening(request: int, keep: bool, params: bytes) -> bytes:
    """BEGIN_REQUEST, the PARAMS, and the empty record that ends them."""
    length = len(params)
    if length > CHUNK:
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
    """Role, and whether the connection is to be kept (section 5.1)."""
    if len(content) != BEGIN_BODY.size:
        raise ProtocolError(f"BEGIN_REQUEST with {len(content)} bytes")
    role, flags = BEGIN_BODY.unpack(content)
    return role, bool(flags & KEEP_CONN)


def read_end(content: bytes) -> tuple[int, int]:
    """Application status and protocol status (section 5.5)."""
    if len(content) != END_BODY.size:
        raise ProtocolError(f"END_REQUEST with {len(content)} bytes")
    application, status = END_BODY.unpack(content)
    return application, status


# Name-value pairs (section 3.4).

#: Lengths of the short form.
SHORT = [bytes((count,)) for count in range(128)]


def _length(count: int) -> bytes:
    return bytes((count,)) if count < 128 else struct.pack("!I", count | 1 << 31)


def encode_pairs(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    parts: list[bytes] = []
    for name, value in pairs:
        first, second = len(name), len(value)
        if first < 128 and second < 128:  # as nearly all are
            parts += (SHORT[first], SHORT[second], name, value)
        else:
            parts += (_length(first), _length(second), name, value)
    return b"".join(parts)


def _read_length(data: bytes, at: int) -> tuple[int, int]:
    """A length, and where what follows it begins; ProtocolError where it is cut."""
    if at >= len(data):
        raise ProtocolError("name-value pairs end within a length")
    if data[at] < 128:
        return data[at], at + 1
    if at + 4 > len(data):
        raise ProtocolError("name-value pairs end within a length")
    return int(struct.unpack_from("!I", data, at)[0]) & 0x7FFFFFFF, at + 4


def read_pairs(data: bytes, most: int) -> list[tuple[bytes, bytes]]:
    """The pairs of a whole stream, `most` of them at most; ProtocolError where it is cut or holds more."""
    pairs: list[tuple[bytes, bytes]] = []
    at, size = 0, len(data)
    while at < size:
        if at + 1 < size and data[at] < 128 and data[at + 1] < 128:  # as nearly all are
            name, value = data[at], data[at + 1]
            at += 2
        else:
            name, at = _read_length(data, at)
            value, at = _read_length(data, at)
        middle = at + name
        end = middle + value
        if end > size:
            raise ProtocolError("name-value pairs end within a pair")
        if len(pairs) >= most:
            raise ProtocolError(f"more than {most} name-value pairs")
        pairs.append((data[at:middle], data[middle:end]))
        at = end
    return pairs
