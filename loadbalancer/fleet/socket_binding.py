"""The two sockets of a fleet transport: bound anew, or inherited from the process that this one replaces."""

from __future__ import annotations

import socket
from typing import NamedTuple

from loadbalancer.fleet.settings import Address

#: Bytes that the kernel may hold of datagrams while the process is busy or stopped.
RECEIVE_BUFFER_BYTES = 1 << 20
#: Connections that wait to be accepted.
LISTEN_BACKLOG = 8

#: The UDP and the TCP socket of the process before; None where it has passed none.
InheritedSockets = tuple[socket.socket | None, socket.socket | None]


class BoundSockets(NamedTuple):
    """A UDP socket and a listening TCP socket on one address, not blocking."""

    datagram: socket.socket
    listener: socket.socket


def bind_sockets(address: Address, inherited: InheritedSockets) -> BoundSockets:
    """Take the inherited sockets over, and bind those that are missing.

    Args:
        address: Where to bind; with port 0 the kernel chooses one, the same for both sockets.
        inherited: The sockets of the process before. On failure they are closed too.

    Raises:
        OSError: The address can't be bound.
    """
    made: list[socket.socket] = []
    try:
        for given, kind in zip(inherited, (socket.SOCK_DGRAM, socket.SOCK_STREAM), strict=True):
            sock = given if given is not None else socket.socket(socket.AF_INET, kind)
            made.append(sock)
            if given is None:
                _bind(sock, kind, address)
                address = sock.getsockname()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError:
        for sock in made:
            sock.close()
        raise
    return BoundSockets(*made)


def _bind(sock: socket.socket, kind: socket.SocketKind, address: Address) -> None:
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    if kind == socket.SOCK_STREAM:
        sock.listen(LISTEN_BACKLOG)
