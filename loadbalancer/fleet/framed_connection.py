"""One TCP connection between two instances, which carries length-prefixed packets."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from contextlib import asynccontextmanager
from typing import AsyncIterator

from loadbalancer.fleet.errors import ExchangeError
from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.packet_codec import PacketCodec
from loadbalancer.fleet.wire import MAX_PIECE_BYTES, Message, Packet

LENGTH_BYTES = 4


class FramedConnection:
    """Reads and writes packets over one connection; `open_framed` opens and closes it."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: PacketCodec,
        counts: Counter[str],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._counts = counts

    def write(self, receiver_boot: int, message: Message, member_states: tuple[MemberState, ...] = ()) -> int:
        """Write a message to the send buffer.

        Returns:
            The number of bytes written, including the length prefix.
        """
        data = self._codec.seal(receiver_boot, message, member_states)
        self._writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        return LENGTH_BYTES + len(data)

    async def drain(self) -> None:
        """Wait until the send buffer has drained below its low-water mark."""
        await self._writer.drain()

    async def read(self) -> Packet:
        """Read the next packet.

        Raises:
            ExchangeError: The packet is too long, invalid, or not for this boot of this instance.
            asyncio.IncompleteReadError: The peer closed the connection.
        """
        length = int.from_bytes(await self._reader.readexactly(LENGTH_BYTES), "big")
        if length > MAX_PIECE_BYTES:
            raise ExchangeError(f"received a message of {length} bytes; expected at most {MAX_PIECE_BYTES}")
        packet = self._codec.open(await self._reader.readexactly(length), MAX_PIECE_BYTES)
        if packet is None or packet.to != self._codec.boot:
            raise ExchangeError(
                "received an invalid packet, or one for another process; expected one for this boot of this instance"
            )
        self._counts["bytes in"] += LENGTH_BYTES + length
        return packet


@asynccontextmanager
async def open_framed(
    sock: socket.socket, codec: PacketCodec, counts: Counter[str]
) -> AsyncIterator[FramedConnection]:
    """Open a framed connection over a connected socket; both are closed at the end of the context."""
    try:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            yield FramedConnection(reader, writer, codec, counts)
        finally:
            writer.close()
    finally:
        sock.close()
