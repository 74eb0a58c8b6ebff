"""Peers for long bodies: a member that reads a body and answers with 32 MB, and a bare relay to compare with.

`python -m standins.long member` or `... relay HOST:PORT` prints its own address and runs until it is ended.
"""

from __future__ import annotations

import asyncio
import re
import sys
from typing import cast

import uvloop

LONG = 32 << 20
PART = bytes(1 << 18)
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Each request on a connection: its body is read to the end, then 32 MB are said."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = LENGTH.search(head)
            left = int(length[1]) if length else 0
            while left:
                data = await reader.read(min(left, len(PART)))
                if not data:
                    return
                left -= len(data)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
            for _ in range(LONG // len(PART)):
                writer.write(PART)
                await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


class Half(asyncio.Protocol):
    """One side of a relay: what it reads goes to the other, which holds it while full."""

    def __init__(self, other: Half | None) -> None:
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is not None:
            self.other.other = self
            self.transport.write(self.other.early)
            self.other.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.early += data
        else:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Near(Half):
    """The client's side; opens the other one."""

    def __init__(self, to: tuple[str, int]) -> None:
        super().__init__(None)
        self.to = to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.opening = loop.create_task(loop.create_connection(lambda: Half(self), *self.to))


async def run(kind: str, to: str) -> None:
    if kind == "relay":
        host, port = to.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        server: asyncio.AbstractServer = await loop.create_server(
            lambda: Near((host, int(port))), "127.0.0.1", 0
        )
    else:
        server = await asyncio.start_server(answer, "127.0.0.1", 0, limit=1 << 20)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)  # type: ignore[attr-defined]
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(run(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
