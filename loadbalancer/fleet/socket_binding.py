"""Binding of the two sockets of a fleet transport, or inheriting them from the process that this one replaces."""

from __future__ import annotations

import socket
from typing import NamedTuple

from loadbalancer.fleet.settings import Address

#: Receive buffer for datagrams that arrive while the process is busy or stopped.
RECEIVE_BUFFER_BYTES = 1 << 20
#: Maximum number of connections in the accept queue.
LISTEN_BACKLOG = 8

#: The UDP and the TCP socket of the previous process; None for each that was not passed on.
InheritedSockets = tuple[socket.socket | None, socket.socket | None]


class BoundSockets(NamedTuple):
    """A UDP socket and a listening TCP socket on one address, both non-blocking."""

    datagram: socket.socket
    listener: socket.socket


def bind_sockets(address: Address, inherited: InheritedSockets) -> BoundSockets:
    """Take over the inherited sockets, and bind those that are missing.

    Args:
        address: The address to bind to; with port 0 the kernel chooses a port, the same for both sockets.
        inherited: The sockets of the previous process; closed too on failure.

    Raises:
        OSError: The address can't be bound.
    """
    sockets: list[socket.socket] = []
    try:
        for inherited_socket, kind in zip(inherited, (socket.SOCK_DGRAM, socket.SOCK_STREAM), strict=True):
            sock = inherited_socket if inherited_socket is not None else socket.socket(socket.AF_INET, kind)
            sockets.append(sock)
            if inherited_socket is None:
                _bind(sock, kind, address)
                address = sock.getsockname()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError:
        for sock in sockets:
            sock.close()
        raise
    return BoundSockets(*sockets)


def _bind(sock: socket.socket, kind: socket.SocketKind, address: Address) -> None:
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    if kind == socket.SOCK_STREAM:
        sock.listen(LISTEN_BACKLOG)
