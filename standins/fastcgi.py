"""Stand-ins that speak FastCGI: an application, and a web server that asks one. Scripted, record by record."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Awaitable, Callable, cast

from loadbalancer.fastcgi.application import Aborted, ApplicationSide, BodyData, BodyReceived, ParamsReceived
from loadbalancer.fastcgi.cgi import find_end, read_head, write_answer
from loadbalancer.fastcgi.records import Decoder, Record, Type, encode, encode_stream, read_end
from loadbalancer.fastcgi.webserver import encode_request


@dataclass
class FcgiCall:
    """A request that an application has been handed: its params are whole."""

    number: int
    params: dict[bytes, bytes]
    connection: FcgiConnection
    body: bytearray = field(default_factory=bytearray)
    whole: asyncio.Event = field(default_factory=asyncio.Event)  # STDIN has ended

    def raw(self, data: bytes) -> None:
        """Any bytes, as they are."""
        self.connection.write(data)

    def say(self, stdout: bytes, stderr: bytes = b"", status: int = 0) -> None:
        """A whole answer."""
        data = encode_stream(Type.STDERR, self.number, stderr)
        data += encode_stream(Type.STDOUT, self.number, stdout) + encode(Type.STDOUT, self.number)
        self.end(data, status)

    def end(self, before: bytes = b"", status: int = 0, protocol: int = 0) -> None:
        body = status.to_bytes(4, "big") + bytes((protocol, 0, 0, 0))
        self.raw(before + encode(Type.END_REQUEST, self.number, body))
        entry = self.connection.side.open.pop(self.number, None)
        if entry is not None and not entry.keep_connection:
            self.connection.close()

    def die(self) -> None:
        """As a process that is killed."""
        self.connection.abort()


Script = Callable[[FcgiCall], Awaitable[None]]


class FcgiConnection(asyncio.Protocol):
    def __init__(self, application: Application) -> None:
        self.application = application
        self.side = ApplicationSide(application.requests_most)
        self.calls: dict[int, FcgiCall] = {}
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.application.connections += 1
        self.application.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.application.open.discard(self)
        self.application.told()

    def data_received(self, data: bytes) -> None:
        for event in self.side.feed(data):
            if isinstance(event, ParamsReceived):
                call = self.calls[event.request] = FcgiCall(event.request, event.params, self)
                self.application.begun(call)
            elif isinstance(event, BodyData):
                self.calls[event.request].body += event.data
            elif isinstance(event, BodyReceived):
                call = self.calls.pop(event.request)
                call.whole.set()
                self.application.ended(call)
            elif isinstance(event, Aborted):
                self.end_aborted(event.request)
        if self.side.output:
            self.write(bytes(self.side.output))
            self.side.output.clear()

    def end_aborted(self, number: int) -> None:
        """As an application that gives up at once; a script that still answers speaks of an id that has ended."""
        self.calls.pop(number, None)
        entry = self.side.open.get(number)
        if entry is not None:
            self.write(self.side.end(number))

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Application:
    """A FastCGI application; its scripts answer a request each, the last one goes on.

    `early` hands a request to its script when the params are whole, as libfcgi does, else when STDIN is."""

    def __init__(self, name: str, *scripts: Script, early: bool = False, requests_most: int = 1) -> None:
        self.name, self.scripts, self.early, self.requests_most = name, list(scripts), early, requests_most
        self.calls: list[FcgiCall] = []  # handed to a script
        self.calls_most = 100_000  # kept; the latest
        self.connections = 0
        self.open: set[FcgiConnection] = set()
        self.called = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, path: str | None = None) -> None:
        """On a port that the kernel gives, or on a Unix socket."""
        loop = asyncio.get_running_loop()
        if path is not None:
            self._server = await loop.create_unix_server(lambda: FcgiConnection(self), path)
            self.address = f"unix:{path}"
            return
        self._server = await loop.create_server(lambda: FcgiConnection(self), "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.open):
            connection.abort()
        for task in self._tasks:
            task.cancel()

    def begun(self, call: FcgiCall) -> None:
        if self.early:
            self._run(call)

    def ended(self, call: FcgiCall) -> None:
        if not self.early:
            self._run(call)
        self.told()

    def _run(self, call: FcgiCall) -> None:
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self.calls.append(call)
        if len(self.calls) > self.calls_most:
            del self.calls[0]
        task = asyncio.get_running_loop().create_task(cast("asyncio._CoroutineLike[None]", script(call)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.told()

    def told(self) -> None:
        self.called.set()

    async def until(self, true: Callable[[], object]) -> None:
        async with asyncio.timeout(10):
            while not true():
                self.called.clear()
                await self.called.wait()


def saying(status: int, body: bytes, *lines: bytes) -> Script:
    """Answers every request so."""

    async def script(call: FcgiCall) -> None:
        call.say(write_answer(status, b"Stand-in", list(lines), body))

    return script


def describing(name: str) -> Script:
    """Answers every request with what it was."""

    async def script(call: FcgiCall) -> None:
        params = call.params
        says = {
            "member": name,
            "method": params.get(b"REQUEST_METHOD", b"").decode("latin-1"),
            "target": params.get(b"REQUEST_URI", b"").decode("latin-1"),
        }
        body = json.dumps(says).encode() + b"\n"
        call.say(write_answer(200, b"Stand-in", [b"Content-Type: application/json\r\n"], body))

    return script


class FastCgiFleet:
    """Several applications that start and stop together."""

    def __init__(self, count: int, prefix: str = "m") -> None:
        names = [f"{prefix}{number + 1}" for number in range(count)]
        self.members = [Application(name, describing(name)) for name in names]
        for member in self.members:
            member.calls_most = 100

    async def start(self) -> None:
        for member in self.members:
            await member.start()

    async def stop(self) -> None:
        for member in self.members:
            await member.stop()

    def tables(self) -> str:
        """The members as tables of a configuration."""
        return "".join(f'[[pool.member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in self.members)


@dataclass
class FcgiAnswer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    protocol: int  # of END_REQUEST
    records: list[Record]


class WebServer:
    """A connection of a web server to an application; asks several requests at once."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.decoder = Decoder()
        self.records: dict[int, list[Record]] = {}  # of requests that have not ended
        self.answers: dict[int, list[FcgiAnswer]] = {}

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> WebServer:
        if address[0].startswith("unix:"):
            return cls(*await asyncio.open_unix_connection(address[0].removeprefix("unix:")))
        return cls(*await asyncio.open_connection(*address))

    def request(
        self,
        number: int,
        method: str = "GET",
        target: str = "/",
        body: bytes = b"",
        keep: bool = True,
        **params: str,
    ) -> bytes:
        """A request's records; `params` besides the usual ones."""
        pairs = {
            "REQUEST_METHOD": method,
            "REQUEST_URI": target,
            "HTTP_HOST": "shop.test",
            "REMOTE_ADDR": "9.8.7.6",
            "CONTENT_LENGTH": str(len(body)) if body else "",
            **params,
        }
        return encode_request(
            number, [(k.encode(), v.encode("latin-1")) for k, v in pairs.items()], body, keep
        )[0]

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self, number: int) -> FcgiAnswer:
        """The answer of a request; whatever comes of others is kept."""
        while not self.answers.get(number):
            data = await asyncio.wait_for(self.reader.read(65536), 10)
            if not data:
                raise ConnectionError(f"no answer to request {number}")
            for record in self.decoder.feed(data):
                self._record(record)
        return self.answers[number].pop(0)

    def _record(self, record: Record) -> None:
        records = self.records.setdefault(record.request, [])
        records.append(record)
        if record.type != Type.END_REQUEST:
            return
        stdout = b"".join(r.content for r in records if r.type == Type.STDOUT)
        _, protocol = read_end(record.content)
        found = find_end(stdout)
        status, headers, body = 0, dict[bytes, bytes](), b""
        if found is not None:
            head = read_head(stdout[: found[0]])
            status, headers, body = head.status, head.headers, stdout[found[1] :]
        answer = FcgiAnswer(status, headers, body, protocol, records)
        self.answers.setdefault(record.request, []).append(answer)
        del self.records[record.request]

    async def ask(
        self,
        number: int,
        method: str = "GET",
        target: str = "/",
        body: bytes = b"",
        keep: bool = True,
        **params: str,
    ) -> FcgiAnswer:
        await self.send(self.request(number, method, target, body, keep, **params))
        return await self.read(number)

    async def ended(self) -> bytes:
        """What is left until the application closes the connection."""
        return await asyncio.wait_for(self.reader.read(), 10)

    def close(self) -> None:
        self.writer.close()
