"""The proxy is killed for memory: it takes in long bodies in chunks as fast as they come, though its servers are slow.

Some clients send bodies of up to 32 MB at once, within all limits. The servers are slow in reading them. The proxy
reads on, and holds nearly all of each body, far past its memory limit. The platform kills a process that goes over it.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig  # noqa: E402

SERVERS = 4
UPLOADS = 10
BODY_BYTES = 30 << 20
PART = bytes(64 << 10)
SLOW_READ_BYTES = 64 << 10
SLOW_PAUSE_S = 0.02
"""A slow server reads 64 KiB and rests for this long: some 3 MB a second on each connection."""
WATCH_S = 0.01
TRACK_GAP_S = 0.05
MEMORY_MB = 192


class Server:
    """One server: it answers each request with its id, and reads long bodies slowly if it is in trouble."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        _, self.port = await rig.listen(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, fields = await rig.read_head(reader)
            if "transfer-encoding" in fields:
                received = 0
                while size := int(await reader.readline(), 16):
                    while size > 0:
                        size -= len(await reader.readexactly(min(size, SLOW_READ_BYTES)))
                        if rig.TROUBLE:
                            await asyncio.sleep(SLOW_PAUSE_S)
                    await reader.readexactly(2)
                    received += len(PART)
                await reader.readline()
                self.record(f"server: read all of {fields['x-txn']}")
            writer.write(rig.answer(200, fields["x-txn"].encode()))
            await writer.drain()


class Clients:
    """The clients."""

    def __init__(self, address: str, record: rig.Record) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.record = record
        self.tracks: dict[int, int] = {}

    async def upload(self, number: int) -> None:
        """Send one long `book`, as fast as the connection takes it."""
        txn, sent = f"book-{number}", 0
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(rig.head("book", txn, 5000, None, f"key-{number}"))
            for _ in range(BODY_BYTES // len(PART)):
                writer.write(b"%x\r\n%b\r\n" % (len(PART), PART))
                await writer.drain()
                sent += len(PART)
            writer.write(b"0\r\n\r\n")
            self.record(f"client: sent {txn}, {sent} bytes")
            first, _ = await rig.read_head(reader)
            self.record(f"client: {txn} answered {first}")
            writer.close()
        except (OSError, asyncio.IncompleteReadError) as problem:
            self.record(f"client: {txn} ended after {sent} bytes: {problem!r}")

    async def track(self) -> None:
        """Send short requests until cancelled."""
        number = 0
        while True:
            number += 1
            status, _ = await rig.call(
                f"{self.host}:{self.port}", rig.head("track", f"track-{number}", 1500, 0), 3.0
            )
            self.tracks[status] = self.tracks.get(status, 0) + 1
            await asyncio.sleep(TRACK_GAP_S)


class Platform:
    """Watches the memory of the proxy, and kills it over its limit, as DEPLOY says."""

    def __init__(self, proxy: rig.ProxyProcess, record: rig.Record) -> None:
        self.proxy, self.record = proxy, record
        self.peak_mb = 0.0
        self.killed_at_mb = 0.0

    async def watch(self) -> None:
        """Watch until cancelled."""
        assert self.proxy.process is not None
        path = pathlib.Path(f"/proc/{self.proxy.process.pid}/status")
        while self.proxy.is_running():
            lines = path.read_text().splitlines()
            held = next((line for line in lines if line.startswith("VmRSS")), "VmRSS 0 kB")
            self.peak_mb = max(self.peak_mb, int(held.split()[1]) / 1024)
            if self.peak_mb > MEMORY_MB:
                self.killed_at_mb = self.peak_mb
                self.record(f"platform: the proxy holds {self.peak_mb:.0f} MB of {MEMORY_MB}, it is killed")
                self.proxy.signal(signal.SIGKILL)
                return
            await asyncio.sleep(WATCH_S)


async def play(record: rig.Record, folder: pathlib.Path, proxies: list[rig.ProxyProcess]) -> list[str]:
    """Send long bodies at once, and watch the memory of the proxy."""
    agent = rig.Agent(record)
    await agent.start()
    for number in range(SERVERS):
        server = Server(record)
        await server.start()
        agent.entries[f"s-{number}"] = agent.entry(f"s-{number}", server.port)
    address = f"{rig.HOST}:{rig.free_port()}"
    config = rig.configuration(agent, address, rig.settings())
    config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": 1024}
    proxy = rig.ProxyProcess(folder, "proxy", config, {})
    proxies.append(proxy)
    await proxy.start()
    await rig.wait_ready(address)
    platform, clients = Platform(proxy, record), Clients(address, record)
    watching = asyncio.create_task(platform.watch())
    tracking = asyncio.create_task(clients.track())
    await asyncio.sleep(1.0)
    record(f"platform: the proxy holds {platform.peak_mb:.0f} MB before the uploads")
    await asyncio.gather(*(clients.upload(number) for number in range(UPLOADS)))
    await asyncio.sleep(1.0)
    tracking.cancel()
    watching.cancel()
    record(
        f"platform: at most {platform.peak_mb:.0f} MB; short requests by status, 0 for none: {clients.tracks}"
    )
    if platform.killed_at_mb:
        return [f"the proxy was killed for memory, at {platform.killed_at_mb:.0f} MB of {MEMORY_MB} MB"]
    if not proxy.is_running():
        return ["the proxy ended by itself"]
    return []


if __name__ == "__main__":
    rig.run_case(__file__, play)
