"""The sockets of the fleet: datagrams, whole exchanges over TCP, and the clock. The only file of the package with I/O.

What is owned here: one UDP socket, one listening TCP socket, at most EXCHANGES_IN connections of others and one of our
own, one timer. `close` releases them all. A connection has EXCHANGE_S in all, and FIRST_S to show that it is of the
fleet.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from typing import AsyncIterator, Callable, Iterable, Iterator, Protocol, get_args

from loadbalancer.fleet.membership.events import (
    Action,
    Event,
    MembershipNotice,
    PacketReceived,
    SendPacket,
    SynchronizeState,
    TimerExpired,
)
from loadbalancer.fleet.membership.member_state import MemberState, encoded_size
from loadbalancer.fleet.replay_window import ReplayProtection
from loadbalancer.fleet.replication.messages import ReplicationMessage, StreamMessage
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import (
    DATAGRAM_MOST,
    PIECE_MOST,
    PIECES_MOST,
    Message,
    MessageError,
    Packet,
    Piece,
    Sealer,
)

#: Datagrams read at one wake-up, so that a flood of them leaves the loop to clients.
READ_MOST = 64
#: Bytes that the kernel may hold of datagrams while the process is busy or stopped.
RECEIVE_BUFFER = 1 << 20
EXCHANGES_IN = 8
EXCHANGE_S = 5.0
FIRST_S = 1.0
#: After the kernel had no descriptor to give.
REST_S = 0.2
#: Bytes of facts in one piece; the rest is the envelope's.
PIECE_FACTS = PIECE_MOST - 512


#: Kinds of messages that are not the view's.
RULINGS, STREAMED = get_args(ReplicationMessage), (*get_args(StreamMessage), Piece)


class Protocoled(Protocol):
    """The view, as the sockets see it."""

    @property
    def next_timer(self) -> float: ...
    def handle(self, now: float, event: Event) -> list[Action]: ...
    def facts(self) -> Iterable[MemberState]: ...


class FleetTransport:
    """One instance's sockets. `claimed`: the UDP and the TCP socket of the process before, if it has passed them."""

    def __init__(
        self,
        view: Protocoled,
        name: str,
        boot: int,
        sealer: Sealer,
        bind: Address,
        note: Callable[[str, str], None],
        claimed: tuple[socket.socket | None, socket.socket | None],
    ) -> None:
        """OSError where `bind` can't be had."""
        self.view, self.name, self.boot, self.sealer, self.log_notice = view, name, boot, sealer, note
        self.counts: Counter[str] = Counter()
        self.replays = ReplayProtection()
        self._loop = asyncio.get_running_loop()
        self._numbers = 0
        self._bind = bind
        self.udp, self.tcp = self._sockets(claimed)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._own: asyncio.Task[None] | None = None  # the exchange that we have begun
        self._in: set[asyncio.Task[None]] = set()
        self._reading = self._closed = False
        self.send_replication: Callable[[str, Message], None] | None = (
            None  # who hears of the versioned state
        )
        self.streams: Callable[[Message], Iterator[tuple[Message, float]] | None] = lambda message: None

    def _sockets(
        self, claimed: tuple[socket.socket | None, socket.socket | None]
    ) -> tuple[socket.socket, socket.socket]:
        made: list[socket.socket] = []
        try:
            for one, kind in zip(claimed, (socket.SOCK_DGRAM, socket.SOCK_STREAM), strict=True):
                if one is None:
                    one = socket.socket(socket.AF_INET, kind)
                    made.append(one)
                    if kind == socket.SOCK_STREAM:
                        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind(self._bind)
                    self._bind = one.getsockname()  # of a port from the kernel: the same for both
                    if kind == socket.SOCK_STREAM:
                        one.listen(EXCHANGES_IN)
                else:
                    made.append(one)
                one.setblocking(False)
                one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        except OSError:
            for one in made:
                one.close()
            raise
        return made[0], made[1]

    @property
    def address(self) -> Address:
        """That it is bound to."""
        host, port = self.udp.getsockname()
        return host, port

    # Life.

    def start(self, actions: Iterable[Action] = ()) -> None:
        """Read and tick from now on. `actions`: what is to be done first."""
        self._reading = True
        self._loop.add_reader(self.udp, self._readable)
        self._loop.add_reader(self.tcp, self._accept)
        self._do(actions)
        self._tick()

    def pause_reading(self) -> None:
        """Read no more: another process does. The sockets stay."""
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self.udp)
            self._loop.remove_reader(self.tcp)

    def close(self) -> None:
        self._closed = True
        self.pause_reading()
        if self._timer is not None:
            self._timer.cancel()
        for task in (*self._in, *([self._own] if self._own is not None else [])):
            task.cancel()
        self.udp.close()
        self.tcp.close()

    # Events and actions.

    def hand(self, event: Event) -> None:
        """To the view, and do what it wants done."""
        self._do(self.view.handle(time.monotonic(), event))
        self._wake()

    def _wake(self) -> None:
        due = self.view.next_timer
        if self._closed or due == self._timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = due
        if due < float("inf"):
            self._timer = self._loop.call_later(max(0.0, due - time.monotonic()), self._tick)

    def _tick(self) -> None:
        """What has come by now is read first, so that no silence is seen where there is none."""
        self._timer = None
        while self._reading and self._read() == READ_MOST:
            pass
        self.hand(TimerExpired())

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self._send(action)
            elif isinstance(action, SynchronizeState):
                if self._own is None:
                    self._own = self._loop.create_task(self._exchange(action))
                    self._own.add_done_callback(self._own_ended)
            elif isinstance(action, MembershipNotice):
                self.log_notice(action.event, action.text)

    def _packet(self, to: int, message: Message, facts: tuple[MemberState, ...]) -> bytes:
        self._numbers += 1
        return self.sealer.seal(Packet(self.name, self.boot, to, self._numbers, message, facts))

    def _send(self, tell: SendPacket) -> None:
        self.send_datagram(tell.address, tell.receiver_boot, tell.message, tell.member_states)

    def send_datagram(
        self, address: Address, to: int, message: Message, facts: tuple[MemberState, ...] = ()
    ) -> None:
        """One datagram."""
        data = self._packet(to, message, facts)
        if len(data) > DATAGRAM_MOST:
            self.counts["datagrams too long"] += 1
            return
        try:
            self.udp.sendto(data, address)
        except OSError:  # it is lost, as any may be; BlockingIOError is one
            self.counts["datagrams not sent"] += 1
            return
        self.counts["datagrams out"] += 1
        self.counts["bytes out"] += len(data)

    # Datagrams.

    def _readable(self) -> None:
        self._read()

    def _read(self) -> int:
        for number in range(READ_MOST):
            try:
                data = self.udp.recv(DATAGRAM_MOST + 1)
            except OSError:  # nothing more; or an answer of a peer's kernel that nobody listens there
                return number
            self.counts["datagrams in"] += 1
            self.counts["bytes in"] += len(data)
            packet = self._open(data, DATAGRAM_MOST)
            if packet is not None:
                self._take(packet)
        return READ_MOST

    def _take(self, packet: Packet) -> None:
        """A datagram goes to whom its message is for."""
        if not isinstance(packet.message, RULINGS):
            if not isinstance(packet.message, STREAMED):
                self.hand(PacketReceived(packet))
        elif self.send_replication is not None and packet.to == self.boot:
            self.send_replication(packet.sender, packet.message)

    def _open(self, data: bytes, most: int) -> Packet | None:
        """None for what is not of the fleet, can't be read, or has come before; each is counted."""
        try:
            opened = self.sealer.open(data, most)
        except MessageError as problem:
            self.counts[f"dropped: {problem.kind}"] += 1
            return None
        packet = opened.packet
        if opened.passed_over:
            self.counts["facts passed over"] += opened.passed_over
        # What is for another life changes nothing (view.py), so only what is for this one takes room.
        if packet.to == self.boot and not self.replays.take(packet.sender, packet.boot, packet.number):
            self.counts["dropped: replayed"] += 1
            return None
        return packet

    # Whole exchanges.

    def _own_ended(self, task: asyncio.Task[None]) -> None:
        self._own = None
        if not task.cancelled() and task.exception() is not None:
            self.counts["exchanges failed"] += 1

    async def _exchange(self, wanted: SynchronizeState) -> None:
        """Give all, then hear all."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.bind((self._bind[0], 0))  # from the address that we are known by
            async with asyncio.timeout(EXCHANGE_S):
                await self._loop.sock_connect(sock, wanted.address)
                reader, writer = await asyncio.open_connection(sock=sock)
                try:
                    await self._write_pieces(writer, wanted.boot)
                    await self._read_pieces(reader, wanted.boot)
                finally:
                    writer.close()
        finally:
            sock.close()

    def _accept(self) -> None:
        try:
            sock, _ = self.tcp.accept()
        except BlockingIOError:
            return
        except (
            OSError
        ) as problem:  # no descriptor: datagrams go on, and the exchange is tried again by the other
            self.counts["exchanges not accepted"] += 1
            self.log_notice("fleet: accept", str(problem))
            self._loop.remove_reader(self.tcp)
            self._loop.call_later(REST_S, self._accept_again)
            return
        if len(self._in) >= EXCHANGES_IN:
            self.counts["exchanges turned away"] += 1
            sock.close()
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._answer(sock))
        self._in.add(task)
        task.add_done_callback(self._in_ended)

    def _accept_again(self) -> None:
        if self._reading:
            self._loop.add_reader(self.tcp, self._accept)

    def _in_ended(self, task: asyncio.Task[None]) -> None:
        self._in.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counts["exchanges failed"] += 1

    async def _answer(self, sock: socket.socket) -> None:
        """Hear all and give all, or what the first message asks for."""
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
            try:
                async with asyncio.timeout(FIRST_S):
                    first = await self._read_message(reader)
                found = self.streams(first.message)
                if found is not None:
                    await self._write_stream(writer, first.boot, found)
                    return
                async with asyncio.timeout(EXCHANGE_S):
                    boot = await self._read_pieces(reader, 0, first)
                    await self._write_pieces(writer, boot)
            finally:
                writer.close()
        finally:
            sock.close()

    async def _write_stream(
        self, writer: asyncio.StreamWriter, to: int, messages: Iterator[tuple[Message, float]]
    ) -> None:
        """A peer that does not read is left after EXCHANGE_S without a step."""
        for message, rest in messages:
            data = self._packet(to, message, ())
            writer.write(len(data).to_bytes(4, "big") + data)
            self.counts["bytes out"] += 4 + len(data)
            async with asyncio.timeout(EXCHANGE_S):
                await writer.drain()
            if rest:
                await asyncio.sleep(rest)

    async def ask(
        self, address: Address, boot: int, message: Message, seconds: float = EXCHANGE_S
    ) -> AsyncIterator[Message]:
        """Ask a peer over a connection of its own; its messages in order, each within `seconds` of the one before.
        OSError, TimeoutError or IncompleteReadError where that comes to nothing."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.bind((self._bind[0], 0))
            async with asyncio.timeout(seconds):
                await self._loop.sock_connect(sock, address)
                reader, writer = await asyncio.open_connection(sock=sock)
            try:
                data = self._packet(boot, message, ())
                writer.write(len(data).to_bytes(4, "big") + data)
                while True:
                    async with asyncio.timeout(seconds):
                        packet = await self._read_message(reader)
                    if packet.boot != boot or not isinstance(packet.message, STREAMED):
                        raise ConnectionError("an answer of another life")
                    yield packet.message
            finally:
                writer.close()
        finally:
            sock.close()

    async def _write_pieces(self, writer: asyncio.StreamWriter, to: int) -> None:
        parts = pieces(self.view.facts())
        for number, facts in enumerate(parts):
            data = self._packet(to, Piece(number, number == len(parts) - 1), facts)
            writer.write(len(data).to_bytes(4, "big") + data)
            self.counts["bytes out"] += 4 + len(data)
            await writer.drain()

    async def _read_message(self, reader: asyncio.StreamReader) -> Packet:
        """ConnectionError for anything but a message to this life."""
        length = int.from_bytes(await reader.readexactly(4), "big")
        if length > PIECE_MOST:
            raise ConnectionError(f"a message of {length} bytes; at most {PIECE_MOST}")
        packet = self._open(await reader.readexactly(length), PIECE_MOST)
        if packet is None or packet.to != self.boot:
            raise ConnectionError("not a message for this instance")
        self.counts["bytes in"] += 4 + length
        return packet

    async def _read_pieces(self, reader: asyncio.StreamReader, boot: int, first: Packet | None = None) -> int:
        """The life of who has sent them: `boot`, if that is given. ConnectionError for anything but pieces to us.
        `first`: one that has been read."""
        for number in range(PIECES_MOST):
            packet, first = first or await self._read_message(reader), None
            if not isinstance(packet.message, Piece):
                raise ConnectionError("not a piece")
            boot = boot or packet.boot
            if packet.boot != boot or packet.message.number != number:
                raise ConnectionError("a piece of another exchange")
            self.hand(PacketReceived(packet))
            if packet.message.last:
                return boot
        raise ConnectionError(f"over {PIECES_MOST} pieces")


def pieces(facts: Iterable[MemberState]) -> list[tuple[MemberState, ...]]:
    """Facts in parts that fit into a piece each; one empty part for none."""
    parts: list[list[MemberState]] = [[]]
    room = PIECE_FACTS
    for fact in facts:
        size = encoded_size(fact)
        if size > room:
            parts.append([])
            room = PIECE_FACTS
        parts[-1].append(fact)
        room -= size
    return [tuple(part) for part in parts]
