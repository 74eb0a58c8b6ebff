"""Reserves ports for servers whose address must be known before they start.

A port that is looked up and then closed may be given to another process by the kernel, so it stays bound until the test
ends. A listener that sets SO_REUSEADDR, as those of the proxy do, can still bind it, because the reserving socket does
not listen.
"""

from __future__ import annotations

import socket

_reserved: list[socket.socket] = []


def reserve_port() -> int:
    """Reserve a port of 127.0.0.1 until the test ends, and return it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return int(sock.getsockname()[1])


def release_ports() -> None:
    """Release all reserved ports."""
    while _reserved:
        _reserved.pop().close()
