"""Tunnels beside a bare relay, memory of an idle one, and the cost of Proxy-Status: ratios within one run.

python -m benchmarks.answers [--megabytes 400] [--idle 2000]
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import resource
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, cast

import uvloop

from loadbalancer.proxy.final_answers import proxy_status

CONFIG = """\
[process]
descriptors = {descriptors}
memory = "512MiB"
[[listener]]
name = "main"
address = "127.0.0.1:0"
[[route]]
name = "r"
prefix = "/"
pool = "p"
upgrade = ["websocket"]
[[pool]]
name = "p"
tunnels = {{ most = 100000, grace = "1s" }}
member = [ {{ id = "m", address = "{member}" }} ]
"""
ASK = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
SWITCH = b"HTTP/1.1 101 Over\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n"


class Sink(asyncio.Protocol):
    """A member that goes over, counts what it gets, and says so once it has had all of it."""

    def __init__(self) -> None:
        self.got = -len(ASK)
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if not self.over:
            self.over = True
            self.transport.write(SWITCH)
            data = data.partition(b"\r\n\r\n")[2]
            self.got = 0
        self.got += len(data)
        if data.endswith(b"!"):
            self.transport.write(b"%d" % self.got)


class Relay(asyncio.Protocol):
    """What any proxy has to do: bytes from one socket to another."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.other = address, cast("asyncio.Transport | None", None)
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.address[1]:
            asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        back = Relay(("", 0))
        back.other = self.transport
        await asyncio.get_running_loop().create_connection(lambda: back, *self.address)
        self.other = back.transport
        back.peer, self.peer = self, back
        self.other.write(self.early)

    peer: Relay | None = None

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
        else:
            self.other.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.resume_reading()


async def send(address: tuple[str, int], size: int) -> float:
    """Bytes a second of one tunnel."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    writer.write(ASK)
    await reader.readuntil(b"\r\n\r\n")
    block = b"x" * (256 << 10)
    began = time.perf_counter()
    for _ in range(size // len(block)):
        writer.write(block)
        await writer.drain()
    writer.write(b"!")
    await reader.read(100)
    took = time.perf_counter() - began
    writer.close()
    return size / took


async def proxy(folder: Path, member: str) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    path = folder / "c.toml"
    path.write_text(CONFIG.format(member=member, descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0]))
    made = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "loadbalancer.cli", "serve", "-c", str(path), stdout=asyncio.subprocess.PIPE
    )
    assert made.stdout is not None
    match = re.search(rb"http://([0-9.]+):(\d+)/", await made.stdout.readline())
    assert match is not None
    return made, (match[1].decode(), int(match[2]))


RELAY = "import asyncio, sys, uvloop; from benchmarks.answers import serve_relay; uvloop.run(serve_relay(sys.argv[1:]))"


async def serve_relay(words: list[str]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Relay((words[0], int(words[1]))), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(600)


def resident(pid: int) -> int:
    """Bytes of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()


async def reload_away(path: Path, pid: int, address: tuple[str, int], held: list[Any]) -> str:
    """A reload takes the pool of all idle tunnels away: how long until all have ended, and what others wait."""
    path.write_text(path.read_text().replace('"p"', '"q"'))
    began, waits = time.perf_counter(), [0.0]
    os.kill(pid, signal.SIGHUP)
    gone = asyncio.ensure_future(asyncio.gather(*(reader.read() for reader, _ in held)))
    while not gone.done():
        asked = time.perf_counter()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /none HTTP/1.1\r\nHost: other\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        waits.append(time.perf_counter() - asked)
        writer.close()
        await asyncio.sleep(0.01)
    took = time.perf_counter() - began
    return (
        f"{len(held)} tunnels ended {took:.2f} s after a reload took their pool (grace 1 s); "
        f"an answer beside it took {1e3 * max(waits):.0f} ms at most"
    )


async def run(size: int, idle: int) -> None:
    loop = asyncio.get_running_loop()
    sink = await loop.create_server(Sink, "127.0.0.1", 0, backlog=4096)
    member = sink.sockets[0].getsockname()
    with tempfile.TemporaryDirectory() as folder:
        ours, address = await proxy(Path(folder), "{}:{}".format(*member))
        bare = await asyncio.create_subprocess_exec(
            sys.executable, "-c", RELAY, member[0], str(member[1]), stdout=asyncio.subprocess.PIPE
        )
        assert bare.stdout is not None
        other = ("127.0.0.1", int(await bare.stdout.readline()))
        ratios = []
        for _ in range(5):
            ratios.append(await send(address, size) / await send(other, size))
        print(
            f"tunnel over bare relay: {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        )
        before = resident(ours.pid)
        held = []
        for _ in range(idle):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(ASK)
            await reader.readuntil(b"\r\n\r\n")
            held.append((reader, writer))
        print(f"{idle} idle tunnels: {(resident(ours.pid) - before) / idle / 1024:.1f} KiB each")
        print(await reload_away(Path(folder) / "c.toml", ours.pid, address, held))
        for process in (ours, bare):
            process.kill()
            await process.wait()
    began = time.perf_counter()
    for _ in range(100_000):
        proxy_status("connection_refused")
    print(f"Proxy-Status: {(time.perf_counter() - began) * 10:.2f} us for each answer of the proxy's own")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=int, default=400)
    parser.add_argument("--idle", type=int, default=2000)
    parsed = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    uvloop.run(run(parsed.megabytes << 20, parsed.idle))


if __name__ == "__main__":
    main()
