"""A client gets the answer that was made for another request: the second copy of an earlier answer.

Servers are a millisecond away. Now and then one sends a second copy of an answer some milliseconds after the first,
while nothing else waits on the connection. The proxy reuses a connection five milliseconds after an answer; if its next
request and the copy cross on the way, it takes the copy for the answer to that request.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import select
import sys
from collections import Counter
from contextlib import suppress

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

SERVERS = 8
PHASES = 3
PHASE_S = 8.0
GAP_S = 1 / 200
WORK_S = (0.02, 0.05)
ONE_WAY_S = 0.001
"""Time of a byte between proxy and server; the pages say 0.7 to 1.3 ms between data centres."""
COPY_SHARE = 0.02
COPY_AFTER_S = (0.005, 0.008)
"""How long after its answer a server sends the second copy."""


class Link:
    """One direction of a connection between proxy and server: bytes come in order, some time later."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._loop = asyncio.get_running_loop()

    async def carry(self, reader: asyncio.StreamReader) -> None:
        """Carry all bytes that a reader brings, and then its end."""
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                self._loop.call_later(ONE_WAY_S, self._deliver, data)
        self._loop.call_later(ONE_WAY_S, self._writer.close)

    def _deliver(self, data: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(data)


def has_input(writer: asyncio.StreamWriter) -> bool:
    """Return whether bytes, or the end of the connection, have come to a server's machine and are not read yet."""
    poller = select.poll()
    poller.register(writer.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))


class Server:
    """One server: it answers each request with its id, now and then twice."""

    def __init__(self, name: str, record: rig.Record, copies: Counter[str]) -> None:
        self.name, self.record, self.copies = name, record, copies
        self.port = 0
        self._own_port = 0
        self._random = random.Random(name)

    async def start(self) -> None:
        """Listen, behind the link."""
        _, self._own_port = await rig.listen(self._serve)
        _, self.port = await rig.listen(self._relay)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own_reader, own_writer = await asyncio.open_connection(rig.HOST, self._own_port)
        there = asyncio.create_task(Link(own_writer).carry(reader))
        await Link(writer).carry(own_reader)
        await asyncio.sleep(2 * ONE_WAY_S)
        there.cancel()
        own_writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = asyncio.create_task(rig.read_head(reader))
        while True:
            _, fields = await head
            await rig.read_body(reader, fields)
            await asyncio.sleep(self._random.uniform(*WORK_S))
            txn = fields["x-txn"]
            writer.write(rig.answer(200, txn.encode()))
            head = asyncio.create_task(rig.read_head(reader))
            if rig.TROUBLE and self._random.random() < COPY_SHARE:
                await asyncio.wait([head], timeout=self._random.uniform(*COPY_AFTER_S))
                if not head.done() and not has_input(writer):  # nothing else waits on the connection
                    writer.write(rig.answer(200, txn.encode()))
                    self.copies[self.name] += 1
                    self.record(f"{self.name}: second copy of the answer to {txn}")


class Clients:
    """Clients that send a `track` each `GAP_S` on kept connections, one request at a time on each."""

    def __init__(self, address: str, record: rig.Record) -> None:
        self.host, _, self.port = address.rpartition(":")
        self.record = record
        self.answers: Counter[int] = Counter()
        self.foreign: list[str] = []
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, prefix: str, seconds: float) -> None:
        """Send for some seconds."""
        loop = asyncio.get_running_loop()
        began, number = loop.time(), 0
        while loop.time() < began + seconds:
            number += 1
            task = asyncio.create_task(self._one(f"{prefix}-{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(max(0.0, began + number * GAP_S - loop.time()))
        await asyncio.gather(*self._tasks)
        for _, writer in self._free:
            writer.close()
        self._free.clear()

    async def _one(self, txn: str) -> None:
        try:
            async with asyncio.timeout(3.0):
                reader, writer = (
                    self._free.pop()
                    if self._free
                    else await asyncio.open_connection(self.host, int(self.port))
                )
                writer.write(rig.head("track", txn, 1500, 0))
                first, fields = await rig.read_head(reader)
                body = (await rig.read_body(reader, fields)).decode("latin-1")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.answers[0] += 1
            return
        status = int(first.split()[1])
        self.answers[status] += 1
        if status == 200 and body != txn:
            self.foreign.append(f"{txn} was answered with the answer to {body}")
            self.record(f"client: {self.foreign[-1]}")
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._free.append((reader, writer))


async def play(record: rig.Record, folder: pathlib.Path, proxies: list[rig.ProxyProcess]) -> list[str]:
    """Serve clients in some phases, each with a new process of the proxy."""
    copies: Counter[str] = Counter()
    agent = rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = Server(f"s-{number}", record, copies)
        await server.start()
        agent.entries[server.name] = agent.entry(server.name, server.port)
    breaks: list[str] = []
    for phase in range(PHASES):
        address = f"{rig.HOST}:{rig.free_port()}"
        config = rig.configuration(agent, address, rig.settings())
        proxy = rig.ProxyProcess(folder, f"proxy-{phase}", config, {})
        proxies.append(proxy)
        await proxy.start()
        await rig.wait_ready(address)
        clients = Clients(address, record)
        await clients.run(f"txn-{phase}", PHASE_S)
        record(f"phase {phase}: answers by status {dict(clients.answers)}, second copies {copies.total()}")
        if not clients.answers[200]:
            raise rig.NotRunError("nothing was served")
        breaks += clients.foreign
        await proxy.end()
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
