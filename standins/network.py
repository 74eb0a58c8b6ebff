"""A relay between the addresses that instances bind and those that they advertise, for datagrams and TCP.

It drops, delays, duplicates, reorders and corrupts datagrams as a seeded random generator decides, and cuts chosen
pairs of instances, separately for each direction. It doesn't parse what it relays.

It tells the sender from the source address: each instance has a host address of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress
from typing import Iterable, cast

Address = tuple[str, int]


class _DatagramRelay(asyncio.DatagramProtocol):
    """Receives the datagrams for the advertised address of one instance and forwards them."""

    def __init__(self, network: Network, number: int, target: Address) -> None:
        self.network, self.number, self.target = network, number, target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.network.relay_datagram(self, self.network.find_sender(address[0]), data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


class Network:
    """Relays between instances, with faults.

    The shares of loss, duplication and corruption and the delays apply to all pairs. `cut` holds the pairs
    (sender, receiver) that are disconnected.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss = self.doubled = self.flipped = 0.0
        self.delay = self.jitter = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.late: dict[int, float] = {}  # additional seconds of delay by sender
        self.counts: Counter[str] = Counter()
        # (sender, receiver, datagram), recorded while `is_capturing` is set.
        self.captured: list[tuple[int, int, bytes]] = []
        self.is_capturing = False
        self._hosts: dict[str, int] = {}
        self._relays: dict[int, _DatagramRelay] = {}
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, tuple[int, int]] = {}

    async def join(self, number: int, target: Address, advertised: Address) -> None:
        """Relay datagrams and connections to `advertised` on to `target`."""
        loop = asyncio.get_running_loop()
        self._hosts[target[0]] = number
        _, relay = await loop.create_datagram_endpoint(
            lambda: _DatagramRelay(self, number, target), local_addr=advertised
        )
        self._relays[number] = relay

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay_stream(number, target, reader, writer)

        self._servers.append(await asyncio.start_server(accepted, *advertised, reuse_address=True))

    def find_sender(self, host: str) -> int:
        """Return the number of the instance with this source address; -1 if it is unknown, which no cut affects."""
        return self._hosts.get(host, -1)

    def part(self, *sides: Iterable[int]) -> None:
        """Cut all pairs between these sides in both directions, and reconnect all others."""
        groups = [list(side) for side in sides]
        self.set_cut(
            {(a, b) for one in groups for other in groups if one is not other for a in one for b in other}
        )

    def set_cut(self, pairs: set[tuple[int, int]]) -> None:
        self.cut = pairs
        for writer, (a, b) in list(self._writers.items()):
            if (a, b) in pairs or (b, a) in pairs:
                writer.transport.abort()

    def heal(self) -> None:
        self.set_cut(set())

    def inject(self, to: int, data: bytes) -> None:
        """Deliver a datagram from an unknown sender."""
        self._relays[to].send(data)

    def relay_datagram(self, relay: _DatagramRelay, source: int, data: bytes) -> None:
        random_share = self.random.random
        self.counts["datagrams"] += 1
        if self.is_capturing:
            self.captured.append((source, relay.number, data))
        if (source, relay.number) in self.cut:
            self.counts["cut"] += 1
            return
        for _ in range(2 if self.doubled and random_share() < self.doubled else 1):
            if self.loss and random_share() < self.loss:
                self.counts["lost"] += 1
                continue
            if self.flipped and random_share() < self.flipped:
                self.counts["flipped"] += 1
                position = self.random.randrange(len(data))
                data = (
                    data[:position]
                    + bytes((data[position] ^ 1 << self.random.randrange(8),))
                    + data[position + 1 :]
                )
            delay_s = self.delay + self.jitter * random_share() + self.late.get(source, 0.0)
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, relay.send, data)
            else:
                relay.send(data)

    async def _relay_stream(
        self, number: int, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection; abort it if the pair is cut in either direction."""
        source = self.find_sender(writer.get_extra_info("peername")[0])
        pair = source, number
        self.counts["streams"] += 1
        if pair in self.cut or pair[::-1] in self.cut:
            self.counts["streams cut"] += 1
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        self._writers[writer] = self._writers[upstream_writer] = pair
        try:
            await asyncio.gather(self._pump(reader, upstream_writer), self._pump(upstream_reader, writer))
        finally:
            for one in (writer, upstream_writer):
                self._writers.pop(one, None)
                one.transport.abort()

    @staticmethod
    async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                writer.write(data)
                await writer.drain()
            writer.write_eof()

    def close(self) -> None:
        for relay in self._relays.values():
            if relay.transport is not None:
                relay.transport.close()
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
