"""A relay between the addresses that instances bind and those that they advertise, for datagrams and TCP.

It drops, delays, doubles, reorders, flips and cuts, by pair and direction, under a seed, and knows nothing of
what passes.

Who sends is told by the source address: each place has a host of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress
from typing import Iterable, cast

Address = tuple[str, int]


class _Door(asyncio.DatagramProtocol):
    """The advertised address of one place, for datagrams."""

    def __init__(self, network: Network, number: int, target: Address) -> None:
        self.network, self.number, self.target = network, number, target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.network.pass_on(self, self.network.who(address[0]), data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


class Network:
    """Shares and seconds hold for all pairs; `cut` for pairs, from and to."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss = self.doubled = self.flipped = 0.0
        self.delay = self.jitter = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.late: dict[int, float] = {}  # seconds more for all that a place sends
        self.counts: Counter[str] = Counter()
        self.caught: list[tuple[int, int, bytes]] = []  # from, to and datagram, while `catches`
        self.catches = False
        self._hosts: dict[str, int] = {}
        self._doors: dict[int, _Door] = {}
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, tuple[int, int]] = {}

    async def join(self, number: int, target: Address, advertised: Address) -> None:
        """Relay what comes to `advertised` to `target`."""
        loop = asyncio.get_running_loop()
        self._hosts[target[0]] = number
        _, door = await loop.create_datagram_endpoint(
            lambda: _Door(self, number, target), local_addr=advertised
        )
        self._doors[number] = door

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._stream(number, target, reader, writer)

        self._servers.append(await asyncio.start_server(accepted, *advertised, reuse_address=True))

    def who(self, host: str) -> int:
        """The place that a source address is of; -1 for a stranger, whom no cut holds."""
        return self._hosts.get(host, -1)

    def part(self, *sides: Iterable[int]) -> None:
        """Cut all ways between these sides, and heal all others."""
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
        """A datagram of a stranger."""
        self._doors[to].send(data)

    def pass_on(self, door: _Door, source: int, data: bytes) -> None:
        draw = self.random.random
        self.counts["datagrams"] += 1
        if self.catches:
            self.caught.append((source, door.number, data))
        if (source, door.number) in self.cut:
            self.counts["cut"] += 1
            return
        for _ in range(2 if self.doubled and draw() < self.doubled else 1):
            if self.loss and draw() < self.loss:
                self.counts["lost"] += 1
                continue
            if self.flipped and draw() < self.flipped:
                self.counts["flipped"] += 1
                at = self.random.randrange(len(data))
                data = data[:at] + bytes((data[at] ^ 1 << self.random.randrange(8),)) + data[at + 1 :]
            wait = self.delay + self.jitter * draw() + self.late.get(source, 0.0)
            if wait:
                asyncio.get_running_loop().call_later(wait, door.send, data)
            else:
                door.send(data)

    async def _stream(
        self, number: int, target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One connection; cut either way it comes to nothing."""
        source = self.who(writer.get_extra_info("peername")[0])
        pair = source, number
        self.counts["streams"] += 1
        if pair in self.cut or pair[::-1] in self.cut:
            self.counts["streams cut"] += 1
            writer.transport.abort()
            return
        try:
            there, further = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        self._writers[writer] = self._writers[further] = pair
        try:
            await asyncio.gather(self._pump(reader, further), self._pump(there, writer))
        finally:
            for one in (writer, further):
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
        for door in self._doors.values():
            if door.transport is not None:
                door.transport.close()
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
