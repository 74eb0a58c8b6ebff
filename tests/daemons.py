"""A daemon under a configuration written by the test, over scripted backends or stand-in members."""

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


class Heard(RateLimitedLogger):
    """Keeps what is logged."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []
        self.silent = False

    def __call__(self, kind: str, text: object = "") -> None:
        self.lines.append(f"{kind}: {text}")

    def count(self, words: str) -> int:
        return sum(words in line for line in self.lines)


def pool(name: str, members: Sequence[ScriptedBackend | Member], *more: str, **each: dict[str, Any]) -> str:
    """A pool of these; `each` has further keys of members by their names."""
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


class Ground:
    """A daemon, its file, and the clients that the test opens."""

    def __init__(self, daemon: Daemon, path: Path, heard: Heard) -> None:
        self.daemon, self.path, self.heard = daemon, path, heard
        self.clients: list[Client] = []

    async def connect(self, listener: str = "main") -> Client:
        address = self.daemon.listeners[listener].address
        client = Client(*await asyncio.open_connection(*address, limit=64 << 20))
        self.clients.append(client)
        return client

    async def ask(self, data: bytes, listener: str = "main") -> tuple[int, bytes, bytes]:
        """Status, head and body of one answer on a connection of its own."""
        client = await self.connect(listener)
        await client.send(data)
        return await client.read()

    def write(self, *parts: str) -> None:
        """Replace the file as an operator should, by renaming."""
        new = self.path.with_suffix(".new")
        new.write_text("\n".join(parts))
        new.replace(self.path)

    async def reload(self, *parts: str) -> None:
        """Write the file and wait until it has been taken, or not."""
        if parts:
            self.write(*parts)
        self.daemon.reload()
        await self.settled()

    async def settled(self) -> None:
        while self.daemon.reloading:
            await asyncio.sleep(0)

    async def until(self, true: Callable[[], object]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not true():
                await asyncio.sleep(0)


@asynccontextmanager
async def ground(
    folder: Path, members: Sequence[ScriptedBackend | Member], text: Callable[[], str]
) -> AsyncIterator[Ground]:
    """`text` is asked for the file once the members listen."""
    for member in members:
        await member.start()
    path = folder / "micastand.toml"
    path.write_text(text())
    heard = Heard()
    daemon = Daemon(heard, seed=1)
    here = Ground(daemon, path, heard)
    try:
        daemon.apply(load(path))
        yield here
    finally:
        for client in here.clients:
            client.writer.close()
        daemon.close()
        for member in members:
            await member.stop()
