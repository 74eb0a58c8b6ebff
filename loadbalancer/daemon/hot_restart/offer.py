"""The old process's side of a hot restart: offers its state, and waits until the new process serves."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Callable, Protocol

from loadbalancer.daemon.hot_restart.protocol import (
    HANDED_OVER,
    MAX_MESSAGE_BYTES,
    SERVING,
    STORE_RELEASED,
    STORE_REQUEST,
    Address,
    encode_refusal,
    send_offer,
)
from loadbalancer.daemon.unix_socket_files import UnixSocketFile
from loadbalancer.frontends.sockets import bind
from loadbalancer.resource_limits import RateLimitedLogger

#: Seconds that a new process has between the offer and its `serving` message.
TAKEOVER_TIMEOUT_S = 60.0
#: File mode of the Unix socket at which the state is offered.
OFFER_SOCKET_MODE = 0o600
#: Longest line that is accepted from the successor, and size of one read, in bytes.
MAX_LINE_BYTES = 64 << 10


class StoreOwner(Protocol):
    """Owns the store that a new process needs."""

    def release(self, on_closed: Callable[[], None]) -> None:
        """Close the store, and call `on_closed` after that."""

    def reclaim(self) -> None:
        """Open the store again: the new process has failed."""


@dataclass(frozen=True, slots=True)
class OfferedState:
    """The state that a new process receives, and this process's callbacks.

    Attributes:
        sockets: Returns the listening sockets.
        snapshot: Returns the encoded endpoint state.
        store: Releases the store when the new process requests it; None if there is no store.
        on_replaced: Called once the new process serves.
        on_line: Called with each line that the new process sends after that.
    """

    sockets: Callable[[], list[socket.socket]]
    snapshot: Callable[[], bytes]
    store: StoreOwner | None
    on_replaced: Callable[[], None]
    on_line: Callable[[bytes], None]


class SuccessorConnection:
    """Reads lines from the process that has taken over, until that process closes the connection."""

    def __init__(self, connection: socket.socket, on_line: Callable[[bytes], None]) -> None:
        self._connection: socket.socket | None = connection
        self._on_line = on_line
        self._buffer = b""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(connection, self._read)

    @property
    def is_open(self) -> bool:
        """Return whether further lines may arrive."""
        return self._connection is not None

    def _read(self) -> None:
        assert self._connection is not None
        try:
            data = self._connection.recv(MAX_LINE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._on_line(line)
        if not data or len(self._buffer) > MAX_LINE_BYTES:
            self.close()

    def close(self) -> None:
        """Stop reading and close the connection."""
        if self._connection is not None:
            self._loop.remove_reader(self._connection)
            self._connection.close()
            self._connection = None


class HotRestartOffer:
    """Offers sockets, a snapshot and the store at a Unix socket; owns that socket and its connections until `close`."""

    def __init__(self, path: Path, state: OfferedState, logger: RateLimitedLogger) -> None:
        self._file = UnixSocketFile(path, OFFER_SOCKET_MODE)
        self._state = state
        self._logger = logger
        self._loop = asyncio.get_running_loop()
        self._listening: socket.socket | None = None
        self._candidate: socket.socket | None = (
            None  # connection to a process that has the sockets, but doesn't serve
        )
        self._successor: SuccessorConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_under_way(self) -> bool:
        """Return whether a process has received the state and does not serve yet: it would miss a change made now."""
        return self._candidate is not None

    @property
    def has_successor(self) -> bool:
        """Return whether the connection to the process that has taken over is still open."""
        return self._successor is not None and self._successor.is_open

    def open(self) -> None:
        """Listen at the path, replacing the socket of the previous daemon, which may not have ended yet."""
        self._file.bind(self._listen)
        self._file.publish(replaces=True)

    def _listen(self, address: Address) -> None:
        self._listening = bind(address)
        self._loop.add_reader(self._listening, self._accept)

    def _accept(self) -> None:
        assert self._listening is not None
        with suppress(OSError):
            connection, _ = self._listening.accept()
            connection.setblocking(False)
            if self._candidate is not None:
                with suppress(OSError):
                    connection.send(encode_refusal("another upgrade is under way"))
                connection.close()
                return
            self._offer(connection)

    def _offer(self, connection: socket.socket) -> None:
        state = self._state
        try:
            send_offer(connection, state.sockets(), state.snapshot(), state.store is not None)
        except OSError as problem:
            self._logger("upgrade", f"the sockets could not be sent to the new process: {problem}")
            connection.close()
            return
        self._candidate = connection
        self._loop.add_reader(connection, self._read)
        self._timer = self._loop.call_later(
            TAKEOVER_TIMEOUT_S, self._abandon, "the new process took too long"
        )

    def _read(self) -> None:
        assert self._candidate is not None
        try:
            message = self._candidate.recv(MAX_MESSAGE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            message = b""
        if message == STORE_REQUEST and self._state.store is not None:
            self._state.store.release(self._on_store_closed)
        elif message == SERVING:
            self._hand_over(self._candidate)
        else:
            self._abandon("the new process ended before it served")

    def _on_store_closed(self) -> None:
        if self._candidate is None:  # the new process has disconnected or timed out meanwhile
            assert self._state.store is not None
            self._state.store.reclaim()
            return
        with suppress(OSError):
            self._candidate.send(STORE_RELEASED)

    def _hand_over(self, connection: socket.socket) -> None:
        with suppress(OSError):
            connection.send(HANDED_OVER)
        self._candidate = None
        self._stop_timer()
        self._loop.remove_reader(connection)
        self._successor = SuccessorConnection(connection, self._state.on_line)
        self._state.on_replaced()

    def _abandon(self, reason: str) -> None:
        """Cancel the handover and keep serving: the new process has failed or is too slow."""
        self._logger("upgrade", f"nothing has changed: {reason}")
        if self._state.store is not None:
            self._state.store.reclaim()
        self._release_candidate()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _release_candidate(self) -> None:
        self._stop_timer()
        if self._candidate is not None:
            self._loop.remove_reader(self._candidate)
            self._candidate.close()
            self._candidate = None

    def close(self) -> None:
        """Stop offering the state, and close all connections."""
        self._release_candidate()
        if self._successor is not None:
            self._successor.close()
        if self._listening is not None:
            if self._successor is None:
                self._file.remove()
            self._loop.remove_reader(self._listening)
            self._listening.close()
            self._listening = None
