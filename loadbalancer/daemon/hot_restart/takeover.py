"""The new process's side of a hot restart: receives the old process's state, and tells it when this one serves."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from pathlib import Path

from loadbalancer.daemon.hot_restart.protocol import (
    DATAGRAM_PREFIX,
    HANDED_OVER,
    MAX_MESSAGE_BYTES,
    MAX_OFFER_BYTES,
    MAX_SOCKETS,
    SERVING,
    STORE_RELEASED,
    STORE_REQUEST,
    Address,
    HotRestartError,
    Offer,
    address_of,
    read_snapshot,
)

#: Timeout of each response of the old process.
ANSWER_TIMEOUT_S = 10.0


class InheritedState:
    """Owns the sockets of the old process and the connection to it; `close` releases what was not claimed.

    Attributes:
        pid: Process id of the old process.
        sockets: Sockets that were not claimed yet, by address.
        snapshot: Encoded endpoint state of the old process, not validated yet.
    """

    def __init__(
        self,
        connection: socket.socket,
        offer: Offer,
        sockets: dict[Address, socket.socket],
        snapshot: bytes = b"",
    ) -> None:
        self._connection = connection
        self._has_store = offer.has_store
        self.pid = offer.pid
        self.sockets = sockets
        self.snapshot = snapshot

    def claim(self, address: Address) -> socket.socket | None:
        """Return the socket that listens at an address, if any, and transfer its ownership to the caller."""
        return self.sockets.pop(address, None)

    def claim_datagrams(self, address: Address) -> socket.socket | None:
        """Return the datagram socket of an address, if any, and transfer its ownership to the caller."""
        host, port = address
        return self.claim((DATAGRAM_PREFIX + host, port))

    def request_store(self) -> None:
        """Make the old process release its store, if it has one.

        Blocks for a few seconds at most; this process does not serve yet.

        Raises:
            OSError: The old process has not released the store.
        """
        if not self._has_store:
            return
        self._connection.sendall(STORE_REQUEST)
        if self._connection.recv(MAX_MESSAGE_BYTES) != STORE_RELEASED:
            raise OSError("the old daemon has not released the store")

    def confirm_serving(self) -> socket.socket:
        """Tell the old process that this one serves, and release the sockets that were not claimed.

        Returns:
            The connection to the old process, non-blocking, for overrides that operators set from now on; the caller
            owns it.

        Raises:
            HotRestartError: The old process does not confirm the handover.
        """
        try:
            self._connection.sendall(SERVING)
            if self._connection.recv(MAX_MESSAGE_BYTES) != HANDED_OVER:
                raise HotRestartError(
                    "expected the confirmation of the handover, found another message or none"
                )
        except (OSError, HotRestartError) as problem:
            self.close()
            raise HotRestartError(f"the old daemon does not answer: {problem}") from None
        connection = self._connection.dup()
        connection.setblocking(False)
        self.close()
        return connection

    def close(self) -> None:
        """Close the connection, and the sockets that were not claimed."""
        self._connection.close()
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


def take_over(path: Path, timeout: float = ANSWER_TIMEOUT_S) -> InheritedState:
    """Receive the state from the daemon that offers it at a path.

    Args:
        path: Path of the Unix socket, as returned by `offer_path`.
        timeout: Seconds for each response of the old process.

    Raises:
        HotRestartError: No daemon listens there, or its offer can't be used.
    """
    connection = socket.socket(socket.AF_UNIX)
    connection.settimeout(timeout)
    descriptors: list[int] = []
    try:
        connection.connect(str(path))
        line, descriptors, _, _ = socket.recv_fds(connection, MAX_OFFER_BYTES, MAX_SOCKETS)
        offer = Offer.decode(line, len(descriptors))
        snapshot = read_snapshot(descriptors.pop())
        return InheritedState(connection, offer, _sockets_of(descriptors), snapshot)
    except (OSError, ValueError, KeyError, HotRestartError) as problem:
        for descriptor in descriptors:
            with suppress(OSError):
                os.close(descriptor)
        connection.close()
        if isinstance(problem, HotRestartError):
            raise
        raise HotRestartError(f"{path}: {problem}") from None


def _sockets_of(descriptors: list[int]) -> dict[Address, socket.socket]:
    sockets = {}
    for descriptor in descriptors:
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        sockets[address_of(sock)] = sock
    return sockets
