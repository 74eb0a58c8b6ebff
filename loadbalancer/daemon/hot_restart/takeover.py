"""The new process's side of a hot restart."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from pathlib import Path

from loadbalancer.daemon.hot_restart.protocol import (
    DATAGRAM_PREFIX,
    MAX_MESSAGE_BYTES,
    MAX_OFFER_BYTES,
    MAX_SOCKETS,
    RELEASED,
    SERVING,
    STORE,
    YOURS,
    Address,
    HotRestartError,
    Offer,
    address_of,
    read_snapshot,
)

#: Seconds for which an answer of the old process is waited for.
ANSWER_TIMEOUT_S = 10.0


class InheritedState:
    """Sockets of the old process by address, and the connection to it. `close` releases all that was not claimed.

    Attributes:
        pid: Of the old process.
        sockets: Those that nobody has claimed yet.
        snapshot: What the old process knows of endpoints, not checked yet.
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
        """The socket that listens at an address; the caller owns it from here on."""
        return self.sockets.pop(address, None)

    def claim_datagrams(self, address: Address) -> socket.socket | None:
        """The datagram socket of an address; the caller owns it from here on."""
        host, port = address
        return self.claim((DATAGRAM_PREFIX + host, port))

    def borrow_store(self) -> None:
        """Have the old process let go of its store, if it has one.

        Blocks for some seconds at most; this process serves nothing yet.

        Raises:
            OSError: It has not let go.
        """
        if not self._has_store:
            return
        self._connection.sendall(STORE)
        if self._connection.recv(MAX_MESSAGE_BYTES) != RELEASED:
            raise OSError("the old daemon has not let go of the store")

    def serving(self) -> socket.socket:
        """Tell the old process that this one serves, and release what was not claimed.

        Returns:
            The connection to the old process, non-blocking, for overrides that operators set from here on; the caller
            owns it.

        Raises:
            HotRestartError: The old process does not answer.
        """
        try:
            self._connection.sendall(SERVING)
            if self._connection.recv(MAX_MESSAGE_BYTES) != YOURS:
                raise HotRestartError("the old daemon has not let go")
        except (OSError, HotRestartError) as problem:
            self.close()
            raise HotRestartError(f"the old daemon does not answer: {problem}") from None
        connection = self._connection.dup()
        connection.setblocking(False)
        self.close()
        return connection

    def close(self) -> None:
        """Close the connection, and the sockets of listeners that this process does not have."""
        self._connection.close()
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


def take_over(path: Path, timeout: float = ANSWER_TIMEOUT_S) -> InheritedState:
    """Take the state over from the daemon that offers it at a path.

    Args:
        path: Of the Unix socket, as `offer_path` says it.
        timeout: Seconds for each answer of the old process.

    Raises:
        HotRestartError: There is no daemon, or no offer that can be used.
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
