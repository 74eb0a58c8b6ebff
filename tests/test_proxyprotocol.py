"""PROXY headers of both versions: whole, split at every byte, malformed, and endless."""

from __future__ import annotations

import socket
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.admission.proxyprotocol import (
    FIXED_PART,
    MAX_LINE_BYTES,
    MAX_REST_BYTES,
    SIGNATURE,
    ProxyHeader,
    ProxyHeaderError,
)

DERANDOMIZED = settings(derandomize=True, max_examples=300, deadline=None)


def binary(
    version_and_command: int, family_and_transport: int, rest: bytes, length: int | None = None
) -> bytes:
    return (
        SIGNATURE
        + struct.pack(
            "!BBH", version_and_command, family_and_transport, len(rest) if length is None else length
        )
        + rest
    )


V4 = socket.inet_aton("192.0.2.7") + socket.inet_aton("192.0.2.1") + struct.pack("!HH", 5000, 80)
V6 = socket.inet_pton(socket.AF_INET6, "2001:db8::7") + bytes(16) + struct.pack("!HH", 5000, 80)
GOOD = [
    (b"PROXY TCP4 192.0.2.7 192.0.2.1 5000 80\r\n", "192.0.2.7"),
    (b"PROXY TCP6 2001:db8::7 2001:db8::1 5000 80\r\n", "2001:db8::7"),
    (b"PROXY UNKNOWN\r\n", None),
    (b"PROXY UNKNOWN ffff:f...f:ffff ffff:f...f:ffff 65535 65535\r\n", None),
    (binary(0x21, 0x11, V4), "192.0.2.7"),
    (binary(0x21, 0x11, V4 + b"\x04\x00\x03abc"), "192.0.2.7"),
    (binary(0x21, 0x21, V6), "2001:db8::7"),
    (binary(0x21, 0x31, bytes(216)), None),
    (binary(0x21, 0x00, b""), None),
    (binary(0x20, 0x00, b""), None),
    (binary(0x20, 0x11, V4), None),  # LOCAL: the addresses are to be ignored
    (binary(0x21, 0x11, V4 + bytes(MAX_REST_BYTES - len(V4))), "192.0.2.7"),
]


@pytest.mark.parametrize("data, address", GOOD)
def test_header_split_at_any_byte_gives_the_same_address(data: bytes, address: str | None) -> None:
    for cut in range(len(data) + 1):
        header = ProxyHeader()
        rest = header.feed(data[:cut])
        assert header.done == (cut == len(data)) and rest == b""
        rest += header.feed(data[cut:] + b"GET / HTTP/1.1\r\n")
        assert header.done and header.address == address and rest == b"GET / HTTP/1.1\r\n"
        assert header.feed(b"more") == b"more"


def test_header_fed_byte_by_byte_gives_the_address() -> None:
    for data, address in GOOD:
        header = ProxyHeader()
        assert b"".join(header.feed(bytes((byte,))) for byte in data) == b""
        assert header.done and header.address == address


BAD = [
    b"GET / HTTP/1.1\r\n",
    b"proxy TCP4 1.2.3.4 1.2.3.4 1 2\r\n",
    b"PROXY  TCP4 1.2.3.4 1.2.3.4 1 2\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 1\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 1 2 3\r\n",
    b"PROXY TCP4 1.2.3.999 1.2.3.4 1 2\r\n",
    b"PROXY TCP4 2001:db8::7 1.2.3.4 1 2\r\n",
    b"PROXY TCP6 1.2.3.4 1.2.3.4 1 2\r\n",
    b"PROXY TCP6 fe80::1%eth0 ::1 1 2\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 -1 2\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 01 2\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 1 65536\r\n",
    b"PROXY TCP4 1.2.3.4 1.2.3.4 1 2\n" + b" " * MAX_LINE_BYTES,
    b"PROXY TCP5 1.2.3.4 1.2.3.4 1 2\r\n",
    b"PROXY \r\n",
    b"PROXY UNKNOWN" + b" " * MAX_LINE_BYTES,
    binary(0x11, 0x11, V4),
    binary(0x22, 0x11, V4),
    binary(0x21, 0x41, V4),
    binary(0x21, 0x13, V4),
    binary(0x21, 0x11, V4[:11]),
    binary(0x21, 0x21, V6[:35]),
    binary(0x21, 0x31, bytes(215)),
    binary(0x21, 0x11, b"", MAX_REST_BYTES + 1),
    binary(0x21, 0x11, b"", 65535),
    SIGNATURE[:11] + b"X" + bytes(20),
]


@pytest.mark.parametrize("data", BAD)
def test_malformed_header_raises_an_error(data: bytes) -> None:
    for cut in (1, len(data) // 2, len(data)):
        header = ProxyHeader()
        with pytest.raises(ProxyHeaderError):
            header.feed(data[:cut])
            header.feed(data[cut:])
        assert not header.done and header.address is None


def test_ten_megabytes_are_not_buffered() -> None:
    header = ProxyHeader()
    with pytest.raises(ProxyHeaderError):
        header.feed(b"PROXY TCP4 " + b"1" * (10 << 20))
    assert len(header._buffer) <= FIXED_PART.size + MAX_REST_BYTES + 1
    header = ProxyHeader()
    data = b"\x00" * (10 << 20)
    assert header.feed(binary(0x21, 0x11, V4) + data) == data


@DERANDOMIZED
@given(
    st.lists(st.binary(max_size=60), max_size=60),
    st.sampled_from([b"", b"PROXY ", SIGNATURE, SIGNATURE + b"\x21"]),
)
def test_any_bytes_are_a_header_or_an_error_within_the_buffer_limit(parts: list[bytes], start: bytes) -> None:
    header = ProxyHeader()
    try:
        for part in [start, *parts]:
            header.feed(part)
            assert len(header._buffer) <= FIXED_PART.size + MAX_REST_BYTES + 1
    except ProxyHeaderError:
        pass
