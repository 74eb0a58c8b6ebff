"""Peers for long bodies: a member that reads a body and answers with 32 MB, and a bare TCP relay as a baseline.

`python -m standins.long member` or `... relay HOST:PORT` prints its own address and runs until it is killed.
"""

from __future__ import annotations

import asyncio
import re
import sys
from typing import cast

import uvloop

BODY_BYTES = 32 << 20
CHUNK = bytes(1 << 18)
CONTENT_LENGTH_PATTERN = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve each request on a connection: read its body to the end, then send an answer of 32 MB."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = CONTENT_LENGTH_PATTERN.search(head)
            remaining = int(length[1]) if length else 0
            while remaining:
                data = await reader.read(min(remaining, len(CHUNK)))
                if not data:
                    return
                remaining -= len(data)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            for _ in range(BODY_BYTES // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


class RelaySide(asyncio.Protocol):
    """One side of a relay; it writes what it reads to its peer.

    While the peer's write buffer is full, this side stops reading.
    """

    def __init__(self, peer: RelaySide | None) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.buffered = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.peer is not None:
            self.peer.peer = self
            self.transport.write(self.peer.buffered)
            self.peer.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self.buffered += data
        else:
            self.peer.transport.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class ClientSide(RelaySide):
    """The client's side of a relay; it connects the upstream side."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        super().__init__(None)
        self.upstream = upstream

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.connecting = loop.create_task(loop.create_connection(lambda: RelaySide(self), *self.upstream))


async def run(role: str, upstream: str) -> None:
    if role == "relay":
        host, port = upstream.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        server: asyncio.AbstractServer = await loop.create_server(
            lambda: ClientSide((host, int(port))), "127.0.0.1", 0
        )
    else:
        server = await asyncio.start_server(serve_connection, "127.0.0.1", 0, limit=1 << 20)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)  # type: ignore[attr-defined]
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(run(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
