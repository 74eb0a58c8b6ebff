"""FastCGI stand-ins: an application that answers by scripts, and a web server that sends it requests."""

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
    """A request at an application whose params have been received completely."""

    number: int
    params: dict[bytes, bytes]
    connection: FcgiConnection
    body: bytearray = field(default_factory=bytearray)
    body_received: asyncio.Event = field(default_factory=asyncio.Event)  # STDIN has ended

    def raw(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.connection.write(data)

    def say(self, stdout: bytes, stderr: bytes = b"", status: int = 0) -> None:
        """Send a complete answer and end the request."""
        data = encode_stream(Type.STDERR, self.number, stderr)
        data += encode_stream(Type.STDOUT, self.number, stdout) + encode(Type.STDOUT, self.number)
        self.end(data, status)

    def end(self, leading_records: bytes = b"", status: int = 0, protocol: int = 0) -> None:
        """Send END_REQUEST after the given records, and close the connection unless it is to be kept."""
        body = status.to_bytes(4, "big") + bytes((protocol, 0, 0, 0))
        self.raw(leading_records + encode(Type.END_REQUEST, self.number, body))
        entry = self.connection.side.open.pop(self.number, None)
        if entry is not None and not entry.keep_connection:
            self.connection.close()

    def die(self) -> None:
        """Abort the connection, as when the application's process is killed."""
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
        self.application.notify()

    def data_received(self, data: bytes) -> None:
        for event in self.side.feed(data):
            if isinstance(event, ParamsReceived):
                call = self.calls[event.request] = FcgiCall(event.request, event.params, self)
                self.application.on_begin(call)
            elif isinstance(event, BodyData):
                self.calls[event.request].body += event.data
            elif isinstance(event, BodyReceived):
                call = self.calls.pop(event.request)
                call.body_received.set()
                self.application.ended(call)
            elif isinstance(event, Aborted):
                self.end_aborted(event.request)
        if self.side.output:
            self.write(bytes(self.side.output))
            self.side.output.clear()

    def end_aborted(self, number: int) -> None:
        """End an aborted request at once; what its script still sends then names a request id that has ended."""
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
    """A FastCGI application; each of its scripts answers one request, and the last one all that follow.

    With `early`, a request is passed to its script when the params are complete, as libfcgi does, otherwise when
    STDIN is complete.
    """

    def __init__(self, name: str, *scripts: Script, early: bool = False, requests_most: int = 1) -> None:
        self.name, self.scripts, self.early, self.requests_most = name, list(scripts), early, requests_most
        self.calls: list[FcgiCall] = []  # passed to a script
        self.max_recorded_calls = 100_000  # the oldest are dropped
        self.connections = 0
        self.open: set[FcgiConnection] = set()
        self.called = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, path: str | None = None) -> None:
        """Listen on a loopback port chosen by the kernel, or on a Unix socket."""
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

    def on_begin(self, call: FcgiCall) -> None:
        if self.early:
            self._run_script(call)

    def ended(self, call: FcgiCall) -> None:
        if not self.early:
            self._run_script(call)
        self.notify()

    def _run_script(self, call: FcgiCall) -> None:
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self.calls.append(call)
        if len(self.calls) > self.max_recorded_calls:
            del self.calls[0]
        task = asyncio.get_running_loop().create_task(cast("asyncio._CoroutineLike[None]", script(call)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.notify()

    def notify(self) -> None:
        self.called.set()

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds, checking it after each event."""
        async with asyncio.timeout(10):
            while not condition():
                self.called.clear()
                await self.called.wait()


def saying(status: int, body: bytes, *lines: bytes) -> Script:
    """Return a script that answers every request with this status, body and header lines."""

    async def script(call: FcgiCall) -> None:
        call.say(write_answer(status, b"Stand-in", list(lines), body))

    return script


def description_script(name: str) -> Script:
    """Return a script that answers every request with its method and target as JSON."""

    async def script(call: FcgiCall) -> None:
        params = call.params
        description = {
            "member": name,
            "method": params.get(b"REQUEST_METHOD", b"").decode("latin-1"),
            "target": params.get(b"REQUEST_URI", b"").decode("latin-1"),
        }
        body = json.dumps(description).encode() + b"\n"
        call.say(write_answer(200, b"Stand-in", [b"Content-Type: application/json\r\n"], body))

    return script


class FastCgiFleet:
    """Starts and stops several applications together."""

    def __init__(self, count: int, prefix: str = "m") -> None:
        names = [f"{prefix}{number + 1}" for number in range(count)]
        self.members = [Application(name, description_script(name)) for name in names]
        for member in self.members:
            member.max_recorded_calls = 100

    async def start(self) -> None:
        for member in self.members:
            await member.start()

    async def stop(self) -> None:
        for member in self.members:
            await member.stop()

    def tables(self) -> str:
        """Return the members as [[pool.member]] tables of a configuration file."""
        return "".join(f'[[pool.member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in self.members)


@dataclass
class FcgiAnswer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    protocol: int  # protocol status of END_REQUEST
    records: list[Record]


class WebServer:
    """A web server's connection to an application, which multiplexes requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.decoder = Decoder()
        self.records: dict[int, list[Record]] = {}  # of unfinished requests
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
        """Encode a request's records; `params` are added to the default ones or replace them."""
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
        """Read until this request is answered, storing records of other requests, and return the answer."""
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
        head_end = find_end(stdout)
        status, headers, body = 0, dict[bytes, bytes](), b""
        if head_end is not None:
            head = read_head(stdout[: head_end[0]])
            status, headers, body = head.status, head.headers, stdout[head_end[1] :]
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
        """Return the remaining bytes until the application closes the connection."""
        return await asyncio.wait_for(self.reader.read(), 10)

    def close(self) -> None:
        self.writer.close()
