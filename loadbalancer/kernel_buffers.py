"""Sizes of the buffers that the kernel keeps for each connection.

By default the kernel lets them grow to megabytes. They count as memory, they hide for long whether a peer reads, and
one read of the event loop brings all that has been received.
"""

from __future__ import annotations

import socket

RECEIVE_BUFFER_BYTES = 32 << 10
"""Receive buffer of each connection, in bytes; the kernel doubles the figure for its own overhead."""
SEND_BUFFER_BYTES = 64 << 10
"""Send buffer of each connection, in bytes; doubled likewise."""


def limit_kernel_buffers(sock: socket.socket) -> None:
    """Set the buffer sizes of a socket before it is connected, or of the connections that it will accept."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
