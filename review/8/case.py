"""A request with a long body gets no final answer in its time, because its server hangs while the body is passed on.

The client sends a `book` of some megabytes in chunks, and its last byte is written to the connection. The server hangs
in the middle of the body. The proxy stops reading from the client, so it does not see that the request is complete, and
the time of the request does not begin.
"""

from __future__ import annotations

import asyncio
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

SERVERS = 2
ROUNDS = 3
PART = bytes(16 << 10)
READ_BEFORE_HANG = 5 << 20
SEND_BUFFER_BYTES = 160 << 10
STALL_S = 0.5
REMAINING_S = 2.5
SLACK_S = 0.5 + 0.05
"""Seconds after its time up to which the answer to a request only earns nothing, and the slack on sockets."""
HANG_S = 4.5
REST_AT_PART = (9 << 19) // len(PART)
REST_S = 0.3
"""The client rests for a moment after 4.5 MB, so that the server has read all up to there."""
ROOM = 6
"""By how many parts the body ends before all buffers are full."""


class Scene:
    """What the servers and clients know of the round."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.may_hang = rig.TROUBLE
        self.hangs: asyncio.Event | None = None


class Server:
    """One server: it begins a request when its last byte has come; it hangs in the middle of a long body."""

    def __init__(self, name: str, scene: Scene) -> None:
        self.name, self.scene = name, scene
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        _, self.port = await rig.listen(self._serve, 64 << 10)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        scene = self.scene
        while True:
            _, fields = await rig.read_head(reader)
            received = 0
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
                received += size
                if received >= READ_BEFORE_HANG and scene.may_hang:
                    scene.may_hang = False
                    scene.record(f"{self.name}: hangs after {received} bytes of {fields['x-txn']}")
                    await asyncio.sleep(HANG_S)
                    scene.record(f"{self.name}: goes on")
            await reader.readline()
            scene.record(f"{self.name}: last byte of {fields['x-txn']} has come")
            writer.write(rig.answer(200, fields["x-txn"].encode()))
            await writer.drain()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Client:
    """A client's connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.loop = asyncio.get_running_loop()

    async def connect(self) -> None:
        """Connect."""
        host, _, port = self._address.rpartition(":")
        await self.loop.sock_connect(self.sock, (host, int(port)))

    async def write(self, data: bytes) -> bool:
        """Write to the connection; return whether it took all of it within a while."""
        try:
            async with asyncio.timeout(STALL_S):
                await self.loop.sock_sendall(self.sock, data)
        except TimeoutError:
            return False
        return True

    async def answer(self, timeout_s: float) -> bytes:
        """Return the first bytes of the answer; empty if none comes."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.loop.sock_recv(self.sock, 4096)
        except (TimeoutError, OSError):
            return b""


async def measure(address: str, scene: Scene) -> int:
    """Return how many parts of a body a connection takes while the server hangs, or those of a long body without."""
    count = 0
    client = Client(address)
    await client.connect()
    with client.sock:
        await client.write(rig.head("book", "measure", 5000, None, "key-measure"))
        while count * len(PART) < 2 * READ_BEFORE_HANG and await client.write(chunk(PART)):
            count += 1
            if count == REST_AT_PART:
                await asyncio.sleep(REST_S)
    scene.record(f"client: half a request and a close; the connection took {count} parts")
    return count


async def one(address: str, scene: Scene, number: int, count: int) -> str | None:
    """Send a `book`, and return how the rule was broken."""
    txn, record = f"book-{number}", scene.record
    scene.may_hang = rig.TROUBLE
    client = Client(address)
    await client.connect()
    with client.sock:
        is_sent = await client.write(rig.head("book", txn, int(REMAINING_S * 1000), None, f"key-{number}"))
        for part in range(count):
            if part == REST_AT_PART:
                await asyncio.sleep(REST_S)
            is_sent = is_sent and await client.write(chunk(PART))
        is_sent = is_sent and await client.write(b"0\r\n\r\n")
        sent_at = record.now()
        record(
            f"client: {txn}: last byte {'written' if is_sent else 'NOT written'}, {count * len(PART)} bytes"
        )
        if not is_sent:
            return None
        answer = await client.answer(14.0)
        took = record.now() - sent_at
        record(f"client: {txn}: after {took:.3f} s {answer[:60]!r}")
    if took > REMAINING_S + SLACK_S:
        return f"{txn} had {REMAINING_S} s, and got {answer[:30]!r} after {took:.3f} s"
    return None


async def play(record: rig.Record, folder: pathlib.Path, proxies: list[rig.ProxyProcess]) -> list[str]:
    """Measure how much the buffers hold, then send requests."""
    scene, agent = Scene(record), rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = Server(f"s-{number}", scene)
        await server.start()
        agent.entries[server.name] = agent.entry(server.name, server.port)
    address = f"{rig.HOST}:{rig.free_port()}"
    proxy = rig.ProxyProcess(folder, "proxy", rig.configuration(agent, address, rig.settings()), {})
    proxies.append(proxy)
    await proxy.start()
    await rig.wait_ready(address)
    count = await measure(address, scene)
    breaks = []
    for number in range(ROUNDS):
        await asyncio.sleep(HANG_S if rig.TROUBLE else 0.5)
        found = await one(address, scene, number, count - ROOM)
        breaks += [found] if found else []
    if not proxy.is_running():
        raise rig.NotRunError("the proxy ended")
    return breaks


if __name__ == "__main__":
    rig.run_case(__file__, play)
