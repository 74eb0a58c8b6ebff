"""A stand-in member that speaks HTTP/1.1: fast enough to load a proxy, with faults that can be switched on."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Callable, cast

import httptools


@dataclass
class Behaviour:
    """Defines how a member answers each request; may be changed while the member runs."""

    delay: float = 0.0  # seconds before the answer
    status: int = 200
    body: bytes | None = None  # instead of the default JSON body
    headers: bytes = b""  # additional header lines, each with its CRLF
    hangs: bool = False  # accepts requests and never answers
    resets: bool = False  # aborts the connection on each request


@dataclass
class Counts:
    """Counts a member's requests and connections."""

    requests: int = 0
    connections: int = 0  # currently open
    connected: int = 0  # accepted since the start
    by_key: dict[str, int] = field(default_factory=dict)  # requests by Idempotency-Key


class _Connection(asyncio.Protocol):
    def __init__(self, member: Member) -> None:
        self.member = member
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url = self.key = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.member.counts.connections += 1
        self.member.counts.connected += 1
        self.member.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.member.counts.connections -= 1
        self.member.open.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def on_message_begin(self) -> None:
        self.url = self.key = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"idempotency-key":
            self.key = value

    def on_message_complete(self) -> None:
        member = self.member
        member.record_request(self.key)
        behaviour = member.behaviour
        if behaviour.resets:
            assert self.transport is not None
            self.transport.abort()
        elif not behaviour.hangs:
            method = self.parser.get_method()
            if behaviour.delay:
                loop = asyncio.get_running_loop()
                self.timer = loop.call_later(behaviour.delay, self._answer, method, self.url)
            else:
                self._answer(method, self.url)

    def _answer(self, method: bytes, url: bytes) -> None:
        self.timer = None
        if self.transport is None or self.transport.is_closing():
            return
        behaviour = self.member.behaviour
        body = behaviour.body if behaviour.body is not None else self.member.describe(method, url)
        self.transport.write(
            b"HTTP/1.1 %d Stand-in\r\n%bContent-Length: %d\r\n\r\n%b"
            % (behaviour.status, behaviour.headers, len(body), b"" if method == b"HEAD" else body)
        )

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            assert self.transport is not None
            self.transport.abort()


class Member:
    """A member that listens on a loopback port chosen by the kernel."""

    def __init__(self, name: str, behaviour: Behaviour | None = None) -> None:
        self.name, self.behaviour, self.counts = name, behaviour or Behaviour(), Counts()
        self.open: set[_Connection] = set()
        self.on_request: Callable[[], None] = lambda: None  # called for every request
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", 0, backlog=1024)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port and abort all connections, as when the process exits."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.open):
            if connection.transport is not None:
                connection.transport.abort()

    def record_request(self, key: bytes) -> None:
        self.counts.requests += 1
        if key:
            text = key.decode("latin-1")
            self.counts.by_key[text] = self.counts.by_key.get(text, 0) + 1
        self.on_request()

    def describe(self, method: bytes, url: bytes) -> bytes:
        description = {
            "member": self.name,
            "method": method.decode("latin-1"),
            "target": url.decode("latin-1"),
        }
        return json.dumps(description).encode() + b"\n"


class Fleet:
    """Starts and stops several members together."""

    def __init__(self, count: int, prefix: str = "m") -> None:
        self.members = [Member(f"{prefix}{number + 1}") for number in range(count)]

    async def start(self) -> None:
        for member in self.members:
            await member.start()

    async def stop(self) -> None:
        for member in self.members:
            await member.stop()

    def tables(self, weights: list[float] | None = None) -> str:
        """Return the members as [[pool.member]] tables of a configuration file."""
        return "".join(
            f'[[pool.member]]\nid = "{m.name}"\naddress = "{m.address}"\n'
            + (f"weight = {weights[n]}\n" if weights else "")
            for n, m in enumerate(self.members)
        )
