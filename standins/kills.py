"""Crash tests of the ledger: a daemon is killed at random moments under keyed load.

The clients repeat each request until it is answered. CI runs a short test, `benchmarks.store --kills` a long one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from standins.keyed import Effects, KeyedFleet
from standins.processes import start

CONFIG = """\
[store]
folder = "state"
[[class]]
name = "book"
aim = "1s"
deadline = "2s"
effect = "keyed"
dedup_window = "2s"
remember = "1h"
[[listener]]
name = "main"
address = "127.0.0.1:{port}"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "book"
[[pool]]
name = "p"
rules = {{ new_members = "warm" }}
"""


@dataclass
class Tally:
    """Counts the clients' results. `answers` holds the distinct bodies of each key's 200 answers."""

    kills: int = 0
    acknowledged: int = 0
    repeated: int = 0
    unresolved: int = 0  # keys answered 409: the proxy can't know whether they ran
    answers: dict[str, set[bytes]] = field(default_factory=dict)
    doubled: list[str] = field(default_factory=list)

    @property
    def differ(self) -> list[str]:
        return [key for key, bodies in self.answers.items() if len(bodies) > 1]


class KillTest:
    """Runs `clients` that book one key after another, repeating each until answered, while daemons are replaced."""

    def __init__(self, folder: Path, port: int, seed: int, clients: int = 8) -> None:
        self.folder, self.port, self.clients = folder, port, clients
        self.random = random.Random(seed)
        self.effects = Effects(2.0)
        self.tally = Tally()
        self.stopped = False

    async def run(self, kills: int) -> Tally:
        fleet = KeyedFleet(3, self.effects)
        await fleet.start()
        path = self.folder / "micastand.toml"
        path.write_text(CONFIG.format(port=self.port) + fleet.tables())
        clients = [asyncio.ensure_future(self.book(number)) for number in range(self.clients)]
        for _ in range(kills):
            await self.run_until_kill(path)
        daemon = await start(path)
        self.stopped = True
        await asyncio.gather(*clients)
        await self.repeat_all()
        daemon.send_signal(signal.SIGTERM)
        await daemon.wait()
        await fleet.stop()
        self.tally.doubled = self.effects.find_duplicates()
        return self.tally

    async def run_until_kill(self, path: Path) -> None:
        """Start a daemon and kill it at a random moment, after a random number of further answers."""
        daemon = await start(path)
        target_count = self.tally.acknowledged + self.random.randint(1, 60)
        while self.tally.acknowledged < target_count:
            await asyncio.sleep(0.002)
        await asyncio.sleep(self.random.random() * 0.01)
        daemon.kill()
        await daemon.wait()
        self.tally.kills += 1

    async def upgrades(self, count: int) -> Tally:
        """Run the clients while each daemon hands over to its successor by a hot restart; none is killed."""
        fleet = KeyedFleet(3, self.effects)
        await fleet.start()
        path = self.folder / "micastand.toml"
        path.write_text('[management]\nsocket = "s"\n' + CONFIG.format(port=self.port) + fleet.tables())
        first = await start(path)
        clients = [asyncio.ensure_future(self.book(number)) for number in range(self.clients)]
        last = first.pid
        for _ in range(count):
            target_count = self.tally.acknowledged + self.random.randint(20, 60)
            while self.tally.acknowledged < target_count:
                await asyncio.sleep(0.002)
            last = await self.upgrade(path)
        self.stopped = True
        await asyncio.gather(*clients)
        await self.repeat_all()
        os.kill(last, signal.SIGTERM)
        await first.wait()
        await fleet.stop()
        self.tally.doubled = self.effects.find_duplicates()
        return self.tally

    async def upgrade(self, path: Path) -> int:
        """Upgrade the daemon and return the process id of its successor."""
        command = ("-m", "loadbalancer.cli", "upgrade", "-c", str(path), "--timeout", "30")
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE, cwd=Path(__file__).parent.parent
        )
        assert process.stdout is not None
        out = await process.stdout.read()
        assert await process.wait() == 0, out
        return int(out.split()[1])

    async def book(self, client: int) -> None:
        number = 0
        while not self.stopped:
            number += 1
            key = f"c{client}-{number}"
            while not self.stopped:
                status, body = await self.ask(key)
                if status == 200:
                    self.record_answer(key, body)
                    break
                if status == 409 and b"not resolved" in body:
                    self.tally.unresolved += 1
                    break
                await asyncio.sleep(0.01)

    def record_answer(self, key: str, body: bytes) -> None:
        self.tally.acknowledged += 1
        self.tally.answers.setdefault(key, set()).add(body)

    async def repeat_all(self) -> None:
        """Send each answered key once more and record the answer, which must be the same and have no effect."""
        for key in list(self.tally.answers):
            status, body = await self.ask(key)
            assert status == 200, (key, status, body)
            self.tally.answers[key].add(body)
            self.tally.repeated += 1

    async def ask(self, key: str) -> tuple[int, bytes]:
        """Send a booking and return its status and body; status 0 if the connection failed."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            try:
                writer.write(
                    f"POST /book HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\nContent-Length: 3\r\n"
                    "Connection: close\r\n\r\none".encode()
                )
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                return int(head[9:12]), await reader.readexactly(length)
            finally:
                writer.close()
        return 0, b""
