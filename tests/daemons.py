"""Runs a daemon with a configuration written by the test, and scripted backends or stand-in members."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, AsyncIterator, Callable, Sequence

from peers import TIMEOUT_S, Client, ScriptedBackend

from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.resource_limits import RateLimitedLogger
from standins.member import Member

LISTENER = '[[listener]]\nname = "main"\naddress = "127.0.0.1:0"\n'


class RecordingLogger(RateLimitedLogger):
    """A logger that records all lines, without a rate limit."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.silent = False

    def __call__(self, kind: str, text: object = "") -> None:
        self.lines.append(f"{kind}: {text}")

    def count(self, words: str) -> int:
        return sum(words in line for line in self.lines)


def pool(name: str, members: Sequence[ScriptedBackend | Member], *more: str, **each: dict[str, Any]) -> str:
    """Return the configuration of a pool with these members; `each` has further keys of members by their names."""
    text = f'[[pool]]\nname = "{name}"\n' + "".join(f"{line}\n" for line in more)
    for member in members:
        text += f'[[pool.member]]\nid = "{member.name}"\naddress = "{member.address}"\n'
        for key, value in each.get(member.name, {}).items():
            text += f"{key} = {value!r}\n".replace("True", "true").replace("False", "false")
    return text


def route(name: str, to: str, *more: str, prefix: str = "/") -> str:
    return f'[[route]]\nname = "{name}"\npool = "{to}"\nprefix = "{prefix}"\n' + "".join(
        f"{m}\n" for m in more
    )


def requests_to(path: str = "/", method: str = "GET", body: bytes = b"", *lines: str) -> bytes:
    head = [f"{method} {path} HTTP/1.1", "Host: shop.test", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class DaemonHarness:
    """A running daemon, its configuration file, and the clients that the test has opened."""

    def __init__(self, daemon: Daemon, path: Path, heard: RecordingLogger) -> None:
        self.daemon, self.path, self.heard = daemon, path, heard
        self.clients: list[Client] = []

    async def connect(self, listener: str = "main") -> Client:
        """Open a client connection, which is closed at the end of the test."""
        address = self.daemon.listeners[listener].address
        client = Client(*await asyncio.open_connection(*address, limit=64 << 20))
        self.clients.append(client)
        return client

    async def ask(self, data: bytes, listener: str = "main") -> tuple[int, bytes, bytes]:
        """Send a request on a new connection, and return the status, head and body of the response."""
        client = await self.connect(listener)
        await client.send(data)
        return await client.read()

    def write(self, *parts: str) -> None:
        """Replace the configuration file atomically, by renaming."""
        new = self.path.with_suffix(".new")
        new.write_text("\n".join(parts))
        new.replace(self.path)

    async def reload(self, *parts: str) -> None:
        """Write the file, reload it, and wait until the reload has succeeded or failed."""
        if parts:
            self.write(*parts)
        self.daemon.reload()
        await self.settled()

    async def settled(self) -> None:
        """Wait until no reload is in progress."""
        while self.daemon.reloading:
            await asyncio.sleep(0)

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds; fails after TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)


@asynccontextmanager
async def running_daemon(
    folder: Path, members: Sequence[ScriptedBackend | Member], text: Callable[[], str]
) -> AsyncIterator[DaemonHarness]:
    """Start the members and a daemon; `text` returns the configuration, and is called once the members listen."""
    for member in members:
        await member.start()
    path = folder / "micastand.toml"
    path.write_text(text())
    heard = RecordingLogger()
    daemon = Daemon(heard, seed=1)
    here = DaemonHarness(daemon, path, heard)
    try:
        daemon.apply(load(path))
        yield here
    finally:
        for client in here.clients:
            client.writer.close()
        daemon.close()
        for member in members:
            await member.stop()
