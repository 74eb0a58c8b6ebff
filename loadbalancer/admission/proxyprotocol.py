"""The PROXY protocol, versions 1 and 2 (HAProxy's proxy-protocol.txt): bytes in, the client's address out. No I/O.

A front that hides the addresses of its clients writes one header ahead of each connection. It is read from sources that
the configuration trusts, and there it must be: guessing whether one comes would let any client write its own
(section 2: "the receiver MUST NOT try to guess").
"""

from __future__ import annotations

import ipaddress
import struct

#: Section 2.1: the longest line, with its end.
LINE_MOST = 107
#: Section 2.2.
SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
FIXED = struct.Struct("!12sBBH")  # signature, version and command, family and transport, length of the rest
#: Bytes of a binary header's addresses and extensions (TLVs) that are taken; senders use some hundreds. Guards the
#: memory against headers that claim more.
REST_MOST = 2048
INET, INET6, UNIX = 1, 2, 3
#: Bytes of the addresses by family.
SIZES = {INET: 12, INET6: 36, UNIX: 216}


class ProxyHeaderError(ValueError):
    """What came is no PROXY header; nothing on the connection can be trusted."""


class ProxyHeader:
    """Reads the header of one connection, in whatever pieces it comes."""

    def __init__(self) -> None:
        self._held = bytearray()
        self.done = False
        #: The client's address once `done`; None where the front speaks for itself (LOCAL, UNKNOWN, a Unix socket).
        self.address: str | None = None

    def feed(self, data: bytes) -> bytes:
        """What of these bytes comes after the header; nothing while it has not ended. ProxyHeaderError where it is
        none. Holds no more than REST_MOST and a few bytes."""
        if self.done:
            return data
        self._held += data[: FIXED.size + REST_MOST + 1]
        over = data[FIXED.size + REST_MOST + 1 :]
        held = bytes(self._held)
        common = min(len(held), len(SIGNATURE))
        if held[:common] == SIGNATURE[:common]:
            end = self._binary(held) if common == len(SIGNATURE) else None
        else:
            end = self._text(held)
        if end is None:
            return b""
        self.done = True
        self._held.clear()
        return held[end:] + over

    # Version 1.

    def _text(self, held: bytes) -> int | None:
        """Where the line ends; None while it has not (section 2.1)."""
        start = held[:6]
        if start != b"PROXY "[: len(start)]:
            raise ProxyHeaderError("a PROXY header is wanted here")
        end: int = held.find(b"\r\n", 0, LINE_MOST)
        if end < 0:
            if len(held) >= LINE_MOST:
                raise ProxyHeaderError(f"a PROXY line of more than {LINE_MOST} bytes")
            return None
        words = held[:end].split(b" ")
        if words[1] == b"UNKNOWN":
            return end + 2
        if len(words) != 6 or words[1] not in (b"TCP4", b"TCP6"):
            raise ProxyHeaderError("a PROXY line that is neither TCP4, TCP6 nor UNKNOWN")
        version = 4 if words[1] == b"TCP4" else 6
        client, _ = _address(words[2], version), _address(words[3], version)
        for port in words[4:]:
            if (
                not port.isdigit()
                or len(port) > 5
                or int(port) > 65535
                or (len(port) > 1 and port[:1] == b"0")
            ):
                raise ProxyHeaderError("a PROXY line with a port that is none")
        self.address = client
        return end + 2

    # Version 2.

    def _binary(self, held: bytes) -> int | None:
        """Where the header ends; None while it has not (section 2.2)."""
        if len(held) < FIXED.size:
            return None
        _, kind, way, length = FIXED.unpack_from(held)
        if kind >> 4 != 2:
            raise ProxyHeaderError(f"version {kind >> 4} of the binary PROXY header; 2 is known")
        if kind & 15 > 1:
            raise ProxyHeaderError(
                f"command {kind & 15} of a PROXY header; LOCAL (0) and PROXY (1) are known"
            )
        if length > REST_MOST:
            raise ProxyHeaderError(f"a PROXY header of {length} bytes; {REST_MOST} at most are taken")
        family = way >> 4
        if family > UNIX or way & 15 > 2:
            raise ProxyHeaderError(f"a PROXY header with family and transport {way:#x}")
        if kind & 15 and length < SIZES.get(family, 0):
            raise ProxyHeaderError(f"a PROXY header whose addresses are cut at {length} bytes")
        if len(held) < FIXED.size + length:
            return None
        at = FIXED.size
        if kind & 15 and family == INET:
            self.address = str(ipaddress.IPv4Address(held[at : at + 4]))
        elif kind & 15 and family == INET6:
            self.address = str(ipaddress.IPv6Address(held[at : at + 16]))
        return at + int(length)


def _address(text: bytes, version: int) -> str:
    try:
        found = ipaddress.ip_address(text.decode("ascii"))
    except ValueError:
        found = None
    if found is None or found.version != version or "%" in str(found):
        raise ProxyHeaderError(f"a PROXY line with {text[:45]!r} where an IPv{version} address is wanted")
    return str(found)
