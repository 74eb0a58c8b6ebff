"""A daemon that is killed at random under keyed load, by clients that repeat until they are answered; for tests of the
ledger, short in CI and long in `benchmarks.store --kills`."""

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
    """What clients saw. `answers`: all different bodies that a key was answered 200 with."""

    kills: int = 0
    acknowledged: int = 0
    repeated: int = 0
    unresolved: int = 0  # keys that were told that nobody knows whether they ran
    answers: dict[str, set[bytes]] = field(default_factory=dict)
    doubled: list[str] = field(default_factory=list)

    @property
    def differ(self) -> list[str]:
        return [key for key, bodies in self.answers.items() if len(bodies) > 1]


class Killing:
    """`clients` book one key after another and repeat each until it is answered, while the daemon is killed."""

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
            await self.life(path)
        daemon = await start(path)
        self.stopped = True
        await asyncio.gather(*clients)
        await self.repeat_all()
        daemon.send_signal(signal.SIGTERM)
        await daemon.wait()
        await fleet.stop()
        self.tally.doubled = self.effects.doubled()
        return self.tally

    async def life(self, path: Path) -> None:
        """One daemon, until some answers more have come; then it is killed in the middle of whatever it does."""
        daemon = await start(path)
        wanted = self.tally.acknowledged + self.random.randint(1, 60)
        while self.tally.acknowledged < wanted:
            await asyncio.sleep(0.002)
        await asyncio.sleep(self.random.random() * 0.01)
        daemon.kill()
        await daemon.wait()
        self.tally.kills += 1

    async def upgrades(self, count: int) -> Tally:
        """The same, but each daemon hands over to the next, and none is killed."""
        fleet = KeyedFleet(3, self.effects)
        await fleet.start()
        path = self.folder / "micastand.toml"
        path.write_text('[management]\nsocket = "s"\n' + CONFIG.format(port=self.port) + fleet.tables())
        first = await start(path)
        clients = [asyncio.ensure_future(self.book(number)) for number in range(self.clients)]
        last = first.pid
        for _ in range(count):
            wanted = self.tally.acknowledged + self.random.randint(20, 60)
            while self.tally.acknowledged < wanted:
                await asyncio.sleep(0.002)
            last = await self.upgrade(path)
        self.stopped = True
        await asyncio.gather(*clients)
        await self.repeat_all()
        os.kill(last, signal.SIGTERM)
        await first.wait()
        await fleet.stop()
        self.tally.doubled = self.effects.doubled()
        return self.tally

    async def upgrade(self, path: Path) -> int:
        """The number of the process that serves now."""
        words = ("-m", "loadbalancer.cli", "upgrade", "-c", str(path), "--timeout", "30")
        made = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdout=asyncio.subprocess.PIPE, cwd=Path(__file__).parent.parent
        )
        assert made.stdout is not None
        out = await made.stdout.read()
        assert await made.wait() == 0, out
        return int(out.split()[1])

    async def book(self, client: int) -> None:
        number = 0
        while not self.stopped:
            number += 1
            key = f"c{client}-{number}"
            while not self.stopped:
                status, body = await self.ask(key)
                if status == 200:
                    self.note(key, body)
                    break
                if status == 409 and b"not resolved" in body:
                    self.tally.unresolved += 1
                    break
                await asyncio.sleep(0.01)

    def note(self, key: str, body: bytes) -> None:
        self.tally.acknowledged += 1
        self.tally.answers.setdefault(key, set()).add(body)

    async def repeat_all(self) -> None:
        """Each key that was answered is asked once more: the same answer, and no effect."""
        for key in list(self.tally.answers):
            status, body = await self.ask(key)
            assert status == 200, (key, status, body)
            self.tally.answers[key].add(body)
            self.tally.repeated += 1

    async def ask(self, key: str) -> tuple[int, bytes]:
        """0 where the connection failed."""
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
