"""Scripted clients, backends and discovery on loopback sockets, with a proxy between them.

Each peer is a plain stream server or client whose script determines, byte by byte, what it sends. The kernel assigns
the ports, and tests wait for events rather than for a fixed time.
"""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, AsyncIterator, Awaitable, Callable, cast

import certs
import uvloop
from translated import TALLY, connect_fcgi, serve_fcgi, tally

from loadbalancer.deployment import read_deployment
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.fastcgi import FastCgiFront
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import ConnectionFactory, Listener
from loadbalancer.frontends.platform_http import PlatformReader
from loadbalancer.frontends.tls_listener import TlsAcceptor
from loadbalancer.policy.events import (
    EndpointList,
    Event,
    Outcome,
)
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits
from loadbalancer.upstreams.fastcgi import FastCgiUpstreamConnection, application
from loadbalancer.upstreams.http1 import Http1UpstreamConnection

#: Protocols of clients and of members in the proxies that `running_proxy` starts.
COMBINATION = ["http/1.1", "http/1.1"]
#: Timeout of every wait for an expected event, in seconds; only a failing test waits this long.
TIMEOUT_S = 10.0

SETTINGS: dict[str, Any] = {
    "me": 0, "n-instances": 2, "zones": ["a", "b"], "kinds": ["std"], "locality": 0,
    "registry-mode": "automatic",
    "classes": [
        {"name": "safe", "aim-s": 2.0, "give-up-s": 4.0, "worth": 1.0, "effect": "read_like"},
        {"name": "keyed", "aim-s": 2.0, "give-up-s": 4.0, "worth": 1.0, "effect": "idempotency_key",
         "dedup-scope": "all", "dedup-window-s": 3.0},
        {"name": "unsafe", "aim-s": 2.0, "give-up-s": 4.0, "worth": 1.0, "effect": "non_idempotent"},
    ],
    "policy-limits": {"max-attempts": 3, "second-copies": True, "cancelling": True,
                      "connect-timeout-s": 0.25, "idle-close-s": 30.0},
    "report": {"source": "answers", "fields": ["recent_ms", "throughput", "utilization"]},
    "rules": {"answer-slack-s": 0.02, "drain-grace-s": 1.0, "cold-from": 0.3, "cold-s": 5.0,
              "overload-factor": 2.5, "fall-s": 2.0},
}  # fmt: skip

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

Script = Callable[["Call"], Awaitable[None]]


class Call:
    """A complete request that a scripted backend has read, with the connection to answer on."""

    def __init__(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> None:
        self.head, self.body, self.reader, self.writer, self.connection = (
            head,
            body,
            reader,
            writer,
            connection,
        )

    async def say(self, data: bytes) -> None:
        """Write to the proxy."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()

    async def left(self) -> None:
        """Wait until the proxy has closed the connection."""
        try:
            await asyncio.wait_for(self.reader.read(), TIMEOUT_S)
        except ConnectionError:
            pass


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read the head and body of a request or an answer with Content-Length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    if length:
        return head, await reader.readexactly(int(length[1]))
    body = b""
    if re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head):
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    return head, body


class ScriptedBackend:
    """A backend that runs one script for each request, and the last script for all further ones."""

    def __init__(self, name: str, *scripts: Script, state: str = "SERVING") -> None:
        self.name, self.scripts, self.state = name, list(scripts), state
        self.calls: list[Call] = []
        self.connections = 0
        self.called = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.protocol = "http/1.1"

    async def start(self) -> None:
        ssl_context = certs.member_side() if self.protocol == "https" else None
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=64 << 20, ssl=ssl_context)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection_number = self.connections
        try:
            if self.protocol == "fastcgi":
                await serve_fcgi(self, reader, writer, connection_number)
            while self.protocol != "fastcgi":
                head, body = await read_message(reader)
                await self.handed(Call(head, body, reader, writer, connection_number))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handed(self, call: Any) -> None:
        """Run the next script on a complete request."""
        TALLY["effects"] += 1
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        async with self.called:
            self.calls.append(call)
            self.called.notify_all()
        await script(call)

    async def until_called(self, times: int = 1) -> Call:
        async with self.called:
            await asyncio.wait_for(self.called.wait_for(lambda: len(self.calls) >= times), TIMEOUT_S)
        return self.calls[times - 1]

    def entry(self, **other: Any) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "a",
            "kind": "std",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
            **other,
        }

    async def stop(self) -> None:
        assert self.server is not None
        self.server.close()


def answering(data: bytes) -> Script:
    """Return a script that answers with these bytes."""

    async def script(call: Call) -> None:
        await call.say(data)

    return script


async def resetting(call: Call) -> None:
    """Reset the connection without an answer."""
    call.reset()


async def silent(call: Call) -> None:
    """Never answer."""
    await call.left()


class ScriptedDiscovery:
    """A discovery service whose watch lines are written by the test."""

    def __init__(self) -> None:
        self.asked: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.watched = asyncio.Condition()
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head, _ = await read_message(reader)
        except asyncio.IncompleteReadError:
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        async with self.watched:
            self.asked.append(head)
            self.writers.append(writer)
            self.watched.notify_all()

    async def until_watched(self, times: int = 1) -> None:
        async with self.watched:
            await asyncio.wait_for(self.watched.wait_for(lambda: len(self.writers) >= times), TIMEOUT_S)

    async def raw(self, data: bytes) -> None:
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writers[-1].drain()

    async def line(self, version: int, *entries: dict[str, Any], full: bool = False) -> None:
        await self.raw(json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n")


class RecordingProxy(Proxy):
    """A proxy that records the events that it passes to its balancer."""

    def __init__(self, *args: Any) -> None:
        self.events: list[Event] = []
        self.changed = asyncio.Condition()
        super().__init__(*args)

    def post(self, event: Event) -> None:
        self.events.append(event)
        super().post(event)
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def until(self, condition: Callable[[], object]) -> None:
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(condition), TIMEOUT_S)

    def outcomes(self) -> list[Outcome]:
        return [event for event in self.events if isinstance(event, Outcome)]

    async def until_outcomes(self, count: int) -> list[Outcome]:
        await self.until(lambda: len(self.outcomes()) >= count)
        return self.outcomes()


class Client:
    """A client connection to the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> tuple[int, bytes, bytes]:
        """Read one answer; return its status, head and body."""
        head, body = await asyncio.wait_for(read_message(self.reader), TIMEOUT_S)
        status = int(head.split(b" ", 2)[1])
        tally(status)
        return status, head, body

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        """Send a request, and return the status and body of its answer."""
        await self.send(data)
        status, _, body = await self.read()
        return status, body

    async def ended(self) -> bytes:
        """Return the remaining bytes once the proxy has closed the connection."""
        return await asyncio.wait_for(self.reader.read(), TIMEOUT_S)


_number = 0


def request(cls: str = "safe", body: bytes | None = None, remaining: str = "4000m", *extra: str) -> bytes:
    """Return a well-formed request of a class."""
    global _number
    _number += 1
    lines = ["Host: app.svc", f"X-Txn: t{_number}", f"X-Lane: {cls}", f"X-Remaining: {remaining}", *extra]
    if cls == "keyed":
        lines.append(f"Idempotency-Key: k{_number}")
    method = "GET" if cls == "safe" else "POST"
    if cls != "safe" or body is not None:
        lines.append(f"Content-Length: {len(body or b'')}")
    return (
        f"{method} /api?x=1 HTTP/1.1\r\n".encode() + "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
    )


class RunningProxy:
    """A running proxy with its scripted peers."""

    def __init__(
        self, proxy: RecordingProxy, server: Listener, address: tuple[str, int], discovery: ScriptedDiscovery
    ) -> None:
        self.proxy, self.server, self.address, self.discovery = proxy, server, address, discovery
        self.clients: list[Client] = []
        self.front = COMBINATION[0]

    def connections(self) -> list[ClientConnection]:
        return [cast(ClientConnection, connection) for connection in self.server.connections]

    async def connect(self) -> Client:
        if self.front == "fastcgi":
            client = cast(Client, await connect_fcgi(self.address))
            self.clients.append(client)
            return client
        tls = self.front == "https"
        tls_options: dict[str, Any] = (
            {"ssl": certs.client_side(), "server_hostname": certs.HOST} if tls else {}
        )
        client = Client(*await asyncio.open_connection(*self.address, limit=64 << 20, **tls_options))
        self.clients.append(client)
        return client


@asynccontextmanager
async def running_proxy(
    *backends: ScriptedBackend,
    settings: dict[str, Any] | None = None,
    memory_mb: float = 128,
    sockets: int = 1024,
) -> AsyncIterator[RunningProxy]:
    """Run a proxy with these backends, one listener and scripted discovery."""
    front, upstream = COMBINATION
    for backend in backends:
        backend.protocol = upstream
        await backend.start()
    discovery = ScriptedDiscovery()
    discovery_address = await discovery.start()
    deployment = read_deployment(settings or SETTINGS)
    limits, logger = ResourceLimits(memory_mb, sockets), RateLimitedLogger()
    connect = (
        Http1UpstreamConnection
        if upstream != "fastcgi"
        else partial(FastCgiUpstreamConnection, application=application({}, True, False))
    )
    proxy = RecordingProxy(deployment, 1, limits, logger, None, connect)
    discovery_client = proxy.source = DiscoveryClient(proxy, deployment, discovery_address, logger)
    slots = limits.client_sockets, limits.overflow_sockets
    serve: ConnectionFactory = (
        ClientConnection if front != "fastcgi" else partial(FastCgiFront, requests_most=64)
    )
    server = Listener(PlatformReader(proxy, deployment), slots, logger, serve)
    if upstream == "https":
        proxy.upstreams.tls = certs.member_keys()
    if front == "https":
        server.tls = TlsAcceptor(certs.server_keys(), logger)
    discovery_client.start({"version": 1, "full": True, "servers": [b.entry() for b in backends]})
    here = RunningProxy(proxy, server, server.listen(("127.0.0.1", 0)), discovery)
    try:
        yield here
    finally:
        for client in here.clients:
            client.writer.close()
        for backend in backends:
            await backend.stop()
        server.stop()
        proxy.close()


def run_with_timeout(scene: Callable[[], Awaitable[None]]) -> None:
    """Run a test coroutine on the kind of event loop that the proxy uses, with a timeout."""

    async def run() -> None:
        await asyncio.wait_for(scene(), 6 * TIMEOUT_S)

    uvloop.run(run())


def lists(here: RunningProxy) -> list[EndpointList]:
    """Return the endpoint lists that the proxy has received."""
    return [e for e in here.proxy.events if isinstance(e, EndpointList)]


async def until_lists(here: RunningProxy, count: int) -> EndpointList:
    await here.proxy.until(lambda: len(lists(here)) >= count)
    return lists(here)[count - 1]
