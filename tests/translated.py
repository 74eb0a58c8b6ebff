"""Peers whose scripts are written in HTTP and that speak FastCGI: so one suite plays in every combination.

A script's bytes are read as HTTP; what can be said in FastCGI is said so, and what is no HTTP goes out as it is.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from typing import Any, cast

import httptools

from loadbalancer.fastcgi.application import Aborted, ApplicationSide, BodyData, BodyReceived, ParamsReceived
from loadbalancer.fastcgi.cgi import from_params
from loadbalancer.fastcgi.records import Type, encode, encode_stream
from loadbalancer.fastcgi.webserver import encode_request
from standins.fastcgi import WebServer

#: What a suite has come to: answers by kind, and requests that members were handed.
TALLY: Counter[str] = Counter()


def tally(status: int) -> None:
    """Counts an answer as the platform's protocol does."""
    TALLY["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1


class _Answers:
    """Reads HTTP answers and writes each as records."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.parser = httptools.HttpResponseParser(self)
        self.out = b""
        self.close = self.broken = False
        self._begin()

    def _begin(self) -> None:
        self.lines: list[bytes] = []
        self.body = b""
        self.done = False

    def on_message_begin(self) -> None:
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"connection" and value.lower() == b"close":
            self.close = True
        if name.lower() not in (b"connection", b"transfer-encoding", b"content-length"):
            self.lines.append(b"%b: %b\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def head(self) -> bytes:
        return b"Status: %d x\r\n%b\r\n" % (self.parser.get_status_code(), b"".join(self.lines))

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            return
        self.done = True
        self.out += encode_stream(Type.STDOUT, self.number, self.head() + self.body)
        self.out += encode(Type.END_REQUEST, self.number, bytes(8))

    def feed(self, data: bytes) -> bytes:
        """Records for these bytes; of an answer that is not whole, none yet."""
        if self.broken:
            return data
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True
            out, self.out = self.out, b""
            return out + data
        out, self.out = self.out, b""
        return out

    def rest(self) -> bytes:
        """What is known of an answer that will not become whole."""
        if self.done or self.broken or not self.body:
            return b""
        return encode_stream(Type.STDOUT, self.number, self.head() + self.body)


class FcgiCall:
    """As peers.Call, for a script that answers in HTTP."""

    def __init__(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
        number: int,
    ) -> None:
        self.head, self.body, self.reader, self.writer, self.connection = (
            head,
            body,
            reader,
            writer,
            connection,
        )
        self._answers = _Answers(number)

    async def say(self, data: bytes) -> None:
        out = self._answers.feed(data)
        if out:
            self.writer.write(out)
            await self.writer.drain()
        if self._answers.close and self._answers.done:
            self.writer.close()

    def reset(self) -> None:
        self.writer.write(self._answers.rest())
        self.writer.transport.abort()

    async def left(self) -> None:
        try:
            await asyncio.wait_for(self.reader.read(), 10)
        except ConnectionError:
            pass


async def serve_fcgi(
    backend: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
) -> None:
    """One connection to a ScriptedBackend that speaks FastCGI."""
    side = ApplicationSide(1)
    params: dict[bytes, bytes] = {}
    body = b""
    while data := await reader.read(65536):
        for event in side.feed(data):
            if isinstance(event, ParamsReceived):
                params, body = event.params, b""
            elif isinstance(event, BodyData):
                body += event.data
            elif isinstance(event, Aborted):
                side.end(event.request)
            elif isinstance(event, BodyReceived):
                asked = from_params(params)
                lines = b"".join(b"%b: %b\r\n" % pair for pair in asked.headers)
                head = b"%b %b HTTP/1.1\r\n%b\r\n" % (asked.method, asked.target, lines)
                call = FcgiCall(head, body, reader, writer, number, event.request)
                await backend.handed(call)
                side.open.pop(event.request, None)


class TranslatedClient:
    """As peers.Client: requests are written in HTTP, answers read as if they were."""

    def __init__(self, web: WebServer) -> None:
        self.web, self.writer, self.reader = web, web.writer, web.reader
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: list[int] = []
        self._numbers = count(1)
        self._begin()

    def _begin(self) -> None:
        self.url = self.body = b""
        self.pairs: list[tuple[bytes, bytes]] = []

    def on_message_begin(self) -> None:
        self._begin()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.upper().replace(b"-", b"_")
        if key == b"CONTENT_TYPE":
            self.pairs.append((key, value))
        elif key not in (b"CONTENT_LENGTH", b"TRANSFER_ENCODING"):
            self.pairs.append((b"HTTP_" + key, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        number = next(self._numbers)
        self.waiting.append(number)
        pairs = [
            (b"REQUEST_METHOD", self.parser.get_method()),
            (b"REQUEST_URI", self.url),
            (b"CONTENT_LENGTH", b"%d" % len(self.body) if self.body else b""),
            *self.pairs,
        ]
        self.writer.write(encode_request(number, pairs, self.body, True)[0])

    async def send(self, data: bytes) -> None:
        self.parser.feed_data(data)
        await self.writer.drain()

    async def read(self) -> tuple[int, bytes, bytes]:
        answer = await self.web.read(self.waiting.pop(0))
        tally(answer.status)
        lines = b"".join(b"%b: %b\r\n" % (name.title(), value) for name, value in answer.headers.items())
        return answer.status, b"HTTP/1.1 %d\r\n%b\r\n" % (answer.status, lines), answer.body

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        await self.send(data)
        status, _, body = await self.read()
        return status, body

    async def ended(self) -> bytes:
        """An answer that ends an HTTP connection ends nothing here: each request has its own records."""
        return b""


async def connect_fcgi(address: tuple[str, int]) -> Any:
    return cast(Any, TranslatedClient(await WebServer.connect(address)))
