"""The UDP socket of a fleet transport."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from typing import Callable

from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.packet_codec import PacketCodec
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import MAX_DATAGRAM_BYTES, Message, Packet

#: Maximum number of datagrams read per wake-up, so that a flood of datagrams does not starve client connections.
MAX_DATAGRAMS_PER_WAKE_UP = 64


class DatagramSocket:
    """Owns the UDP socket and its reader on the event loop; `close` releases both."""

    def __init__(
        self,
        sock: socket.socket,
        codec: PacketCodec,
        counts: Counter[str],
        on_packet: Callable[[Packet], None],
    ) -> None:
        """Take over the socket; `on_packet` receives each new packet in the order of arrival."""
        self.socket = sock
        self._codec = codec
        self._counts = counts
        self._on_packet = on_packet
        self._loop = asyncio.get_running_loop()
        self._is_reading = False

    def start_reading(self) -> None:
        """Start reading datagrams."""
        self._is_reading = True
        self._loop.add_reader(self.socket, self._read_batch)

    def pause_reading(self) -> None:
        """Stop reading; the socket stays open for another process that reads from it."""
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self.socket)

    def close(self) -> None:
        """Stop reading and close the socket."""
        self.pause_reading()
        self.socket.close()

    def send(
        self,
        address: Address,
        receiver_boot: int,
        message: Message,
        member_states: tuple[MemberState, ...] = (),
    ) -> None:
        """Send one datagram. A datagram that is too long, or that the kernel rejects, is counted and dropped."""
        data = self._codec.seal(receiver_boot, message, member_states)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._counts["datagrams too long"] += 1
            return
        try:
            self.socket.sendto(data, address)
        except OSError:  # includes BlockingIOError
            self._counts["datagrams not sent"] += 1
            return
        self._counts["datagrams out"] += 1
        self._counts["bytes out"] += len(data)

    def read_pending(self) -> None:
        """Read all datagrams that have arrived."""
        while self._is_reading and self._read_batch() == MAX_DATAGRAMS_PER_WAKE_UP:
            pass

    def _read_batch(self) -> int:
        """Read at most MAX_DATAGRAMS_PER_WAKE_UP datagrams and return how many were read."""
        for count in range(MAX_DATAGRAMS_PER_WAKE_UP):
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing left to read, or a peer's kernel has reported that its port is closed
                return count
            self._counts["datagrams in"] += 1
            self._counts["bytes in"] += len(data)
            packet = self._codec.open(data, MAX_DATAGRAM_BYTES)
            if packet is not None:
                self._on_packet(packet)
        return MAX_DATAGRAMS_PER_WAKE_UP
