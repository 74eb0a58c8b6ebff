"""Sizes of the buffers that the kernel keeps for each connection.

By default the kernel lets them grow to megabytes. They count as memory, they hide for long whether a peer reads, and
one read of the event loop brings all that has been received.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import NamedTuple

MIN_RECEIVE_BYTES = 4 << 10
"""Smallest receive buffer, in bytes."""
MAX_RECEIVE_BYTES = 32 << 10
"""Largest receive buffer, in bytes."""
SEND_PER_RECEIVE = 2
"""Size of the send buffer, as a multiple of the receive buffer."""
SEGMENTS_PER_BUFFER = 4
"""Segments that fill the receive buffer.

A peer may delay its acknowledgement until two segments have come, so the buffers have to hold several. Networks have
small segments anyway; on loopback they are longer than these buffers.
"""


class KernelBuffers(NamedTuple):
    """Sizes of the kernel's buffers for one connection, in bytes; the kernel doubles them for its own overhead."""

    receive_bytes: int = MAX_RECEIVE_BYTES

    @classmethod
    def for_share(cls, memory_bytes: float) -> KernelBuffers:
        """Return the buffers of connections for each of which the process may buffer so much."""
        return cls(max(MIN_RECEIVE_BYTES, min(MAX_RECEIVE_BYTES, int(memory_bytes / 2))))

    @property
    def send_bytes(self) -> int:
        """Size of the send buffer."""
        return self.receive_bytes * SEND_PER_RECEIVE

    def apply(self, sock: socket.socket) -> None:
        """Set the sizes for a socket before it is connected, or for the connections that it will accept.

        A system that does not know an option keeps its own size: the connection works all the same.
        """
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_bytes)
            if sock.family == socket.AF_INET:
                segment_bytes = self.receive_bytes // SEGMENTS_PER_BUFFER
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection and discard the send queue, which it would deliver otherwise."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes of the send buffer the peer has not acknowledged.

    Returns:
        0 if the kernel does not tell, or if the socket is closed.
    """
    if sock.fileno() < 0:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0])
    except OSError:
        return 0


def peek_unread(sock: socket.socket) -> bytes:
    """Return the bytes that have been received and not read yet, without reading them; empty if there are none."""
    try:
        return sock.recv(2 * MAX_RECEIVE_BYTES, socket.MSG_PEEK)
    except OSError:
        return b""
