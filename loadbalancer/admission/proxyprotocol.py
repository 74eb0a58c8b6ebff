"""Parser of the PROXY protocol, versions 1 and 2 (HAProxy's proxy-protocol.txt), for the client's address. No I/O.

A front proxy, which would otherwise hide the addresses of its clients, sends one header at the start of each
connection. The header is read from sources that the configuration trusts, and is required from them: if it were
optional, any client could send its own (section 2: "the receiver MUST NOT try to guess").
"""

from __future__ import annotations

import ipaddress
import struct

#: Maximum length of a version 1 line with its line end (section 2.1).
MAX_LINE_BYTES = 107
#: First bytes of a version 2 header (section 2.2).
SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
#: Signature, version and command, family and transport, length of the rest.
FIXED_PART = struct.Struct("!12sBBH")
#: Maximum bytes of the addresses and extensions (TLVs) of a version 2 header; senders use some hundreds. Bounds the
#: memory for headers that claim more.
MAX_REST_BYTES = 2048
INET, INET6, UNIX = 1, 2, 3
#: Bytes of the addresses of a version 2 header, by address family.
ADDRESS_BYTES = {INET: 12, INET6: 36, UNIX: 216}


class ProxyHeaderError(ValueError):
    """Raised for bytes that are not a valid PROXY header; the connection can't be trusted."""


class ProxyHeader:
    """Parses the header of one connection, which may arrive in any number of pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.done = False
        #: The client's address once `done`; None if the header names none (LOCAL, UNKNOWN, a Unix socket).
        self.address: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Parse more bytes and return those that follow the header; empty while the header is incomplete.

        Buffers no more than MAX_REST_BYTES and a few bytes.

        Raises:
            ProxyHeaderError: The bytes are not a PROXY header.
        """
        if self.done:
            return data
        self._buffer += data[: FIXED_PART.size + MAX_REST_BYTES + 1]
        excess = data[FIXED_PART.size + MAX_REST_BYTES + 1 :]
        buffered = bytes(self._buffer)
        common = min(len(buffered), len(SIGNATURE))
        if buffered[:common] == SIGNATURE[:common]:
            end = self._parse_version_2(buffered) if common == len(SIGNATURE) else None
        else:
            end = self._parse_version_1(buffered)
        if end is None:
            return b""
        self.done = True
        self._buffer.clear()
        return buffered[end:] + excess

    def _parse_version_1(self, buffered: bytes) -> int | None:
        """Parse a version 1 line (section 2.1); return the offset of its end, or None while it is incomplete."""
        start = buffered[:6]
        if start != b"PROXY "[: len(start)]:
            raise ProxyHeaderError(f"expected a PROXY header, found {start!r}")
        end: int = buffered.find(b"\r\n", 0, MAX_LINE_BYTES)
        if end < 0:
            if len(buffered) >= MAX_LINE_BYTES:
                raise ProxyHeaderError(
                    f"expected a PROXY line of at most {MAX_LINE_BYTES} bytes, found no line end within them"
                )
            return None
        words = buffered[:end].split(b" ")
        if words[1] == b"UNKNOWN":
            return end + 2
        if len(words) != 6 or words[1] not in (b"TCP4", b"TCP6"):
            raise ProxyHeaderError(
                f"expected a PROXY line for TCP4, TCP6 or UNKNOWN, found {buffered[:end]!r}"
            )
        version = 4 if words[1] == b"TCP4" else 6
        client, _ = _parse_address(words[2], version), _parse_address(words[3], version)
        for port in words[4:]:
            if (
                not port.isdigit()
                or len(port) > 5
                or int(port) > 65535
                or (len(port) > 1 and port[:1] == b"0")
            ):
                raise ProxyHeaderError(f"expected a port from 0 to 65535 in a PROXY line, found {port!r}")
        self.address = client
        return end + 2

    def _parse_version_2(self, buffered: bytes) -> int | None:
        """Parse a version 2 header (section 2.2); return the offset of its end, or None while it is incomplete."""
        if len(buffered) < FIXED_PART.size:
            return None
        _, version_and_command, family_and_transport, length = FIXED_PART.unpack_from(buffered)
        if version_and_command >> 4 != 2:
            raise ProxyHeaderError(
                f"expected version 2 of a binary PROXY header, found {version_and_command >> 4}"
            )
        if version_and_command & 15 > 1:
            raise ProxyHeaderError(
                f"expected LOCAL (0) or PROXY (1) in a PROXY header, found command {version_and_command & 15}"
            )
        if length > MAX_REST_BYTES:
            raise ProxyHeaderError(
                f"expected a PROXY header of at most {MAX_REST_BYTES} bytes, found {length}"
            )
        family = family_and_transport >> 4
        if family > UNIX or family_and_transport & 15 > 2:
            raise ProxyHeaderError(
                f"unknown family and transport in a PROXY header: {family_and_transport:#x}"
            )
        if version_and_command & 15 and length < ADDRESS_BYTES.get(family, 0):
            raise ProxyHeaderError(
                f"expected {ADDRESS_BYTES.get(family, 0)} bytes of addresses in a PROXY header, found {length}"
            )
        if len(buffered) < FIXED_PART.size + length:
            return None
        start = FIXED_PART.size
        if version_and_command & 15 and family == INET:
            self.address = str(ipaddress.IPv4Address(buffered[start : start + 4]))
        elif version_and_command & 15 and family == INET6:
            self.address = str(ipaddress.IPv6Address(buffered[start : start + 16]))
        return start + int(length)


def _parse_address(text: bytes, version: int) -> str:
    try:
        found = ipaddress.ip_address(text.decode("ascii"))
    except ValueError:
        found = None
    if found is None or found.version != version or "%" in str(found):
        raise ProxyHeaderError(f"expected an IPv{version} address in a PROXY line, found {text[:45]!r}")
    return str(found)
