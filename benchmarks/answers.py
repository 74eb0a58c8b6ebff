"""Throughput of tunnels compared with a bare relay, memory of idle tunnels, and the cost of Proxy-Status.

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
UPGRADE_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
SWITCHING_PROTOCOLS = b"HTTP/1.1 101 Over\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n"


class CountingMember(asyncio.Protocol):
    """A member that switches protocols, counts the bytes it receives, and sends the count after the last one."""

    def __init__(self) -> None:
        self.received_bytes = -len(UPGRADE_REQUEST)
        self.has_switched = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if not self.has_switched:
            self.has_switched = True
            self.transport.write(SWITCHING_PROTOCOLS)
            data = data.partition(b"\r\n\r\n")[2]
            self.received_bytes = 0
        self.received_bytes += len(data)
        if data.endswith(b"!"):
            self.transport.write(b"%d" % self.received_bytes)


class Relay(asyncio.Protocol):
    """A bare relay, as a baseline: it only copies bytes from one socket to another."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.other = address, cast("asyncio.Transport | None", None)
        self.buffered = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.address[1]:
            asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        upstream_side = Relay(("", 0))
        upstream_side.other = self.transport
        await asyncio.get_running_loop().create_connection(lambda: upstream_side, *self.address)
        self.other = upstream_side.transport
        upstream_side.peer, self.peer = self, upstream_side
        self.other.write(self.buffered)

    peer: Relay | None = None

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.buffered += data
        else:
            self.other.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.resume_reading()


async def measure_tunnel(address: tuple[str, int], size: int) -> float:
    """Return the throughput of one tunnel in bytes per second."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    writer.write(UPGRADE_REQUEST)
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


async def serve_relay(arguments: list[str]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Relay((arguments[0], int(arguments[1]))), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(600)


def read_resident_bytes(pid: int) -> int:
    """Return the resident set of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()


async def reload_without_pool(path: Path, pid: int, address: tuple[str, int], tunnels: list[Any]) -> str:
    """Remove the pool of idle tunnels by a reload; measure when all have ended, and the latency of other requests."""
    path.write_text(path.read_text().replace('"p"', '"q"'))
    began, latencies = time.perf_counter(), [0.0]
    os.kill(pid, signal.SIGHUP)
    all_ended = asyncio.ensure_future(asyncio.gather(*(reader.read() for reader, _ in tunnels)))
    while not all_ended.done():
        sent_at = time.perf_counter()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /none HTTP/1.1\r\nHost: other\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        latencies.append(time.perf_counter() - sent_at)
        writer.close()
        await asyncio.sleep(0.01)
    took = time.perf_counter() - began
    return (
        f"{len(tunnels)} tunnels ended {took:.2f} s after a reload took their pool (grace 1 s); "
        f"an answer beside it took {1e3 * max(latencies):.0f} ms at most"
    )


async def run(size: int, idle: int) -> None:
    loop = asyncio.get_running_loop()
    member_server = await loop.create_server(CountingMember, "127.0.0.1", 0, backlog=4096)
    member = member_server.sockets[0].getsockname()
    with tempfile.TemporaryDirectory() as folder:
        daemon, address = await proxy(Path(folder), "{}:{}".format(*member))
        bare = await asyncio.create_subprocess_exec(
            sys.executable, "-c", RELAY, member[0], str(member[1]), stdout=asyncio.subprocess.PIPE
        )
        assert bare.stdout is not None
        other = ("127.0.0.1", int(await bare.stdout.readline()))
        ratios = []
        for _ in range(5):
            ratios.append(await measure_tunnel(address, size) / await measure_tunnel(other, size))
        print(
            f"tunnel over bare relay: {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        )
        before = read_resident_bytes(daemon.pid)
        tunnels = []
        for _ in range(idle):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(UPGRADE_REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            tunnels.append((reader, writer))
        print(f"{idle} idle tunnels: {(read_resident_bytes(daemon.pid) - before) / idle / 1024:.1f} KiB each")
        print(await reload_without_pool(Path(folder) / "c.toml", daemon.pid, address, tunnels))
        for process in (daemon, bare):
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
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    uvloop.run(run(options.megabytes << 20, options.idle))


if __name__ == "__main__":
    main()
