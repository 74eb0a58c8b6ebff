"""Exchanges over TCP: whole membership views, and requests that are answered by a stream of messages."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from contextlib import asynccontextmanager
from typing import AsyncIterator, Callable, Iterable, Iterator, get_args

from loadbalancer.fleet.errors import ExchangeError
from loadbalancer.fleet.framed_connection import FramedConnection, open_framed
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.membership.events import SynchronizeState
from loadbalancer.fleet.packet_codec import PacketCodec
from loadbalancer.fleet.replication.messages import StreamMessage
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.view_exchange import receive_view, send_view
from loadbalancer.fleet.wire import Message, Packet, Piece

#: Maximum number of open inbound connections.
MAX_INBOUND_CONNECTIONS = 8
#: Time limit for a whole exchange of views, and for each message of a stream.
EXCHANGE_TIMEOUT_S = 5.0
#: Time limit for the first valid packet on an inbound connection.
FIRST_MESSAGE_TIMEOUT_S = 1.0
#: Time until accepting resumes after the kernel had no file descriptor left.
ACCEPT_RETRY_INTERVAL_S = 0.2

#: The message types that are sent over a connection.
STREAM_MESSAGES = (*get_args(StreamMessage), Piece)

#: Handles the first message of a connection. Returns the messages of the answer, each with the seconds to wait after
#: it, or None if the message is not a request but the first piece of a view.
StreamHandler = Callable[[Message], Iterator[tuple[Message, float]] | None]


def _no_streams(_message: Message) -> None:
    return None


class StreamExchange:
    """Owns the listening TCP socket, the inbound connections, and one outbound connection for views.

    `close` releases them all. A connection that `request` opens is closed with its iterator.
    """

    def __init__(
        self,
        listener: socket.socket,
        codec: PacketCodec,
        counts: Counter[str],
        *,
        member_states: Callable[[], Iterable[MemberState]],
        on_packet: Callable[[Packet], None],
        log_notice: Callable[[str, str], None],
    ) -> None:
        """Take over the listening socket.

        Args:
            listener: A non-blocking listening socket.
            codec: Seals and opens packets.
            counts: Counters of failures and bytes.
            member_states: Returns all member states of the membership view, which are sent to a peer.
            on_packet: Receives the packet of each piece of a peer's view.
            log_notice: Logs an event name with a text.
        """
        self.socket = listener
        self.handler: StreamHandler = _no_streams
        self._codec = codec
        self._counts = counts
        self._member_states = member_states
        self._on_packet = on_packet
        self._log_notice = log_notice
        self._loop = asyncio.get_running_loop()
        self._local_host: str = listener.getsockname()[0]
        self._is_accepting = False
        self._accept_retry: asyncio.TimerHandle | None = None
        self._inbound: set[asyncio.Task[None]] = set()
        self._outbound: asyncio.Task[None] | None = None

    # Lifecycle.

    def start_accepting(self) -> None:
        """Start accepting connections."""
        self._is_accepting = True
        self._loop.add_reader(self.socket, self._accept)

    def pause_accepting(self) -> None:
        """Stop accepting; the socket stays open for another process that accepts from it."""
        if self._is_accepting:
            self._is_accepting = False
            self._loop.remove_reader(self.socket)
            if self._accept_retry is not None:
                self._accept_retry.cancel()

    def close(self) -> None:
        """Close the socket and cancel all exchanges except those of `request`."""
        self.pause_accepting()
        for task in self._inbound:
            task.cancel()
        if self._outbound is not None:
            self._outbound.cancel()
        self.socket.close()

    # Outbound exchanges.

    def synchronize(self, action: SynchronizeState) -> None:
        """Start exchanging views with a peer, unless an outbound exchange is in progress."""
        if self._outbound is None:
            self._outbound = self._loop.create_task(self._synchronize(action))
            self._outbound.add_done_callback(self._outbound_ended)

    def _outbound_ended(self, task: asyncio.Task[None]) -> None:
        self._outbound = None
        self._count_failure(task)

    def _count_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._counts["exchanges failed"] += 1

    async def _synchronize(self, action: SynchronizeState) -> None:
        """Send the whole view, then receive that of the peer."""
        async with (
            asyncio.timeout(EXCHANGE_TIMEOUT_S),
            self._connect(action.address, EXCHANGE_TIMEOUT_S) as connection,
        ):
            await send_view(connection, action.boot, self._member_states(), self._counts)
            await receive_view(connection, self._on_packet, action.boot)

    async def request(
        self, address: Address, boot: int, message: Message, timeout_s: float = EXCHANGE_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Send a request to a peer over a new connection.

        Args:
            address: The peer's host and port.
            boot: The peer's boot id.
            message: The request.
            timeout_s: Time limit for the connect, and for each message of the answer.

        Yields:
            The messages of the answer, in order.

        Raises:
            OSError: The peer can't be reached, or another boot answered (`ExchangeError`).
            TimeoutError: The peer did not answer in time.
            asyncio.IncompleteReadError: The peer closed the connection, which also ends a complete answer.
        """
        async with self._connect(address, timeout_s) as connection:
            connection.write(boot, message)
            while True:
                async with asyncio.timeout(timeout_s):
                    packet = await connection.read()
                if packet.boot != boot or not isinstance(packet.message, STREAM_MESSAGES):
                    raise ExchangeError(
                        f"expected a stream message of boot {boot:016x}, "
                        f"got {type(packet.message).__name__} of boot {packet.boot:016x}"
                    )
                yield packet.message

    @asynccontextmanager
    async def _connect(self, address: Address, timeout_s: float) -> AsyncIterator[FramedConnection]:
        """Connect to a peer from the local host address of the listening socket."""
        sock = await self._connect_socket(address, timeout_s)
        async with open_framed(sock, self._codec, self._counts) as connection:
            yield connection

    async def _connect_socket(self, address: Address, timeout_s: float) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.bind((self._local_host, 0))
            async with asyncio.timeout(timeout_s):
                await self._loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return sock

    # Inbound connections.

    def _accept(self) -> None:
        try:
            sock, _ = self.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:  # no file descriptor left: datagrams still work, the peer retries
            self._counts["exchanges not accepted"] += 1
            self._log_notice("fleet: accept", str(error))
            self._loop.remove_reader(self.socket)
            self._accept_retry = self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)
            return
        if len(self._inbound) >= MAX_INBOUND_CONNECTIONS:
            self._counts["exchanges turned away"] += 1
            sock.close()
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._serve(sock))
        self._inbound.add(task)
        task.add_done_callback(self._inbound_ended)

    def _resume_accepting(self) -> None:
        self._accept_retry = None
        self._loop.add_reader(self.socket, self._accept)

    def _inbound_ended(self, task: asyncio.Task[None]) -> None:
        self._inbound.discard(task)
        self._count_failure(task)

    async def _serve(self, sock: socket.socket) -> None:
        """Handle an inbound connection: answer its request, or exchange views with the peer."""
        async with open_framed(sock, self._codec, self._counts) as connection:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                first = await connection.read()
            answer = self.handler(first.message)
            if answer is not None:
                await self._send_answer(connection, first.boot, answer)
                return
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                boot = await receive_view(connection, self._on_packet, first=first)
                await send_view(connection, boot, self._member_states(), self._counts)

    async def _send_answer(
        self, connection: FramedConnection, receiver_boot: int, answer: Iterator[tuple[Message, float]]
    ) -> None:
        """Send the messages of an answer with their pauses; give up on a peer that stops reading (TimeoutError)."""
        for message, pause_s in answer:
            self._counts["bytes out"] += connection.write(receiver_boot, message)
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await connection.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
