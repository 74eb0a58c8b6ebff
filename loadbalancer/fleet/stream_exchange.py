"""Exchanges over TCP: whole membership views with a peer, and streams of messages that answer a request."""

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

#: Connections of other instances that are open at once.
MAX_INBOUND_CONNECTIONS = 8
#: Seconds for a whole exchange of views, and for each message of a stream.
EXCHANGE_TIMEOUT_S = 5.0
#: Seconds that a connection has to show that it is of the fleet.
FIRST_MESSAGE_TIMEOUT_S = 1.0
#: Seconds until a connection is accepted again after the kernel had no descriptor.
ACCEPT_RETRY_INTERVAL_S = 0.2

#: The kinds of messages that come over a connection.
STREAM_MESSAGES = (*get_args(StreamMessage), Piece)

#: Answers the first message of a connection: each message of the answer with the seconds to wait after it. None where
#: the message is not a request, but the first piece of a view.
StreamHandler = Callable[[Message], Iterator[tuple[Message, float]] | None]


def _no_streams(_message: Message) -> None:
    return None


class StreamExchange:
    """Owns the listening TCP socket, the connections that it accepts, and one connection of its own for views.

    `close` releases them all. Connections that `ask` opens end with their iterator.
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
        """Take the listening socket.

        Args:
            listener: Listens, and does not block.
            codec: Seals and opens packets.
            counts: Where failures and bytes are counted.
            member_states: All that the membership view knows, to be sent to a peer.
            on_packet: Gets the pieces of a peer's view.
            log_notice: Logs an event with a text.
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

    # Life.

    def start_accepting(self) -> None:
        """Accept connections from now on."""
        self._is_accepting = True
        self._loop.add_reader(self.socket, self._accept)

    def pause_accepting(self) -> None:
        """Accept no more; the socket stays, for another process that accepts from it."""
        if self._is_accepting:
            self._is_accepting = False
            self._loop.remove_reader(self.socket)
            if self._accept_retry is not None:
                self._accept_retry.cancel()

    def close(self) -> None:
        """Release the socket and end all exchanges but those of `ask`."""
        self.pause_accepting()
        for task in self._inbound:
            task.cancel()
        if self._outbound is not None:
            self._outbound.cancel()
        self.socket.close()

    # Of our own.

    def synchronize(self, wanted: SynchronizeState) -> None:
        """Begin to exchange views with a peer, unless such an exchange is under way."""
        if self._outbound is None:
            self._outbound = self._loop.create_task(self._synchronize(wanted))
            self._outbound.add_done_callback(self._outbound_ended)

    def _outbound_ended(self, task: asyncio.Task[None]) -> None:
        self._outbound = None
        self._count_failure(task)

    def _count_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._counts["exchanges failed"] += 1

    async def _synchronize(self, wanted: SynchronizeState) -> None:
        """Send the whole view, then receive the peer's."""
        async with (
            asyncio.timeout(EXCHANGE_TIMEOUT_S),
            self._connect(wanted.address, EXCHANGE_TIMEOUT_S) as connection,
        ):
            await send_view(connection, wanted.boot, self._member_states(), self._counts)
            await receive_view(connection, self._on_packet, wanted.boot)

    async def ask(
        self, address: Address, boot: int, message: Message, timeout_s: float = EXCHANGE_TIMEOUT_S
    ) -> AsyncIterator[Message]:
        """Ask a peer over a connection of its own.

        Args:
            address: Where the peer is reached.
            boot: The peer's boot id.
            message: The request.
            timeout_s: Seconds to connect in, and for each message of the answer.

        Yields:
            The messages of the answer, in order.

        Raises:
            OSError: The peer can't be reached, or is another boot (`ExchangeError`).
            TimeoutError: It has not answered in time.
            asyncio.IncompleteReadError: It has closed the connection, which also ends a complete answer.
        """
        async with self._connect(address, timeout_s) as connection:
            connection.write(boot, message)
            while True:
                async with asyncio.timeout(timeout_s):
                    packet = await connection.read()
                if packet.boot != boot or not isinstance(packet.message, STREAM_MESSAGES):
                    raise ExchangeError("an answer of another life")
                yield packet.message

    @asynccontextmanager
    async def _connect(self, address: Address, timeout_s: float) -> AsyncIterator[FramedConnection]:
        """A connection from the address that this instance is known by."""
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

    # Of others.

    def _accept(self) -> None:
        try:
            sock, _ = self.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:  # no descriptor: datagrams go on, and the peer tries its exchange again
            self._counts["exchanges not accepted"] += 1
            self._log_notice("fleet: accept", str(error))
            self._loop.remove_reader(self.socket)
            self._accept_retry = self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._accept_again)
            return
        if len(self._inbound) >= MAX_INBOUND_CONNECTIONS:
            self._counts["exchanges turned away"] += 1
            sock.close()
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._serve(sock))
        self._inbound.add(task)
        task.add_done_callback(self._inbound_ended)

    def _accept_again(self) -> None:
        self._accept_retry = None
        self._loop.add_reader(self.socket, self._accept)

    def _inbound_ended(self, task: asyncio.Task[None]) -> None:
        self._inbound.discard(task)
        self._count_failure(task)

    async def _serve(self, sock: socket.socket) -> None:
        """Answer the request that a connection begins with, or exchange views with its peer."""
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
        """Send the messages of an answer at their pace; a peer that stops reading is left after a while."""
        for message, pause_s in answer:
            self._counts["bytes out"] += connection.write(receiver_boot, message)
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await connection.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
