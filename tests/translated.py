"""Test peers that translate HTTP to FastCGI, so that one test suite covers every combination of protocols.

The bytes that a test sends are parsed as HTTP and sent as FastCGI records. Bytes that are not valid HTTP are sent
unchanged.
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

#: Totals of a test suite: responses by kind, and requests that reached members.
TALLY: Counter[str] = Counter()


def tally(status: int) -> None:
    """Count a response as served, refused or failed."""
    TALLY["served" if status == 200 else "refused" if status in (429, 503) else "failed"] += 1


class _ResponseTranslator:
    """Parses HTTP responses and encodes each as FastCGI records."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.parser = httptools.HttpResponseParser(self)
        self.out = b""
        self.closes = self.invalid = False
        self._reset()

    def _reset(self) -> None:
        self.lines: list[bytes] = []
        self.body = b""
        self.complete = False

    def on_message_begin(self) -> None:
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"connection" and value.lower() == b"close":
            self.closes = True
        if name.lower() not in (b"connection", b"transfer-encoding", b"content-length"):
            self.lines.append(b"%b: %b\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def head(self) -> bytes:
        return b"Status: %d x\r\n%b\r\n" % (self.parser.get_status_code(), b"".join(self.lines))

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            return
        self.complete = True
        self.out += encode_stream(Type.STDOUT, self.number, self.head() + self.body)
        self.out += encode(Type.END_REQUEST, self.number, bytes(8))

    def feed(self, data: bytes) -> bytes:
        """Return the records for these bytes; an incomplete response yields none yet."""
        if self.invalid:
            return data
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.invalid = True
            out, self.out = self.out, b""
            return out + data
        out, self.out = self.out, b""
        return out

    def partial_records(self) -> bytes:
        """Return the records for the received part of a response that will not be completed."""
        if self.complete or self.invalid or not self.body:
            return b""
        return encode_stream(Type.STDOUT, self.number, self.head() + self.body)


class FcgiCall:
    """Implements the interface of peers.Call for a test that responds in HTTP."""

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
        self.number = number
        self._translator = _ResponseTranslator(number)

    async def say(self, data: bytes) -> None:
        out = self._translator.feed(data)
        if out:
            self.writer.write(out)
            await self.writer.drain()
        if self._translator.closes and self._translator.complete:
            self.writer.close()

    def reset(self) -> None:
        self.writer.write(self._translator.partial_records())
        self.writer.transport.abort()

    async def left(self) -> None:
        try:
            await asyncio.wait_for(self.reader.read(), 10)
        except ConnectionError:
            pass


async def serve_fcgi(
    backend: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
) -> None:
    """Serve one FastCGI connection of a ScriptedBackend."""
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
                request = from_params(params)
                lines = b"".join(b"%b: %b\r\n" % pair for pair in request.headers)
                head = b"%b %b HTTP/1.1\r\n%b\r\n" % (request.method, request.target, lines)
                call = FcgiCall(head, body, reader, writer, number, event.request)
                await backend.handed(call)
                side.open.pop(event.request, None)


class TranslatedClient:
    """Implements the interface of peers.Client: takes requests and returns responses as HTTP."""

    def __init__(self, web: WebServer) -> None:
        self.web, self.writer, self.reader = web, web.writer, web.reader
        self.parser = httptools.HttpRequestParser(self)
        self.pending_numbers: list[int] = []
        self._request_numbers = count(1)
        self._reset()

    def _reset(self) -> None:
        self.url = self.body = b""
        self.pairs: list[tuple[bytes, bytes]] = []

    def on_message_begin(self) -> None:
        self._reset()

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
        number = next(self._request_numbers)
        self.pending_numbers.append(number)
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
        response = await self.web.read(self.pending_numbers.pop(0))
        tally(response.status)
        lines = b"".join(b"%b: %b\r\n" % (name.title(), value) for name, value in response.headers.items())
        return response.status, b"HTTP/1.1 %d\r\n%b\r\n" % (response.status, lines), response.body

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        await self.send(data)
        status, _, body = await self.read()
        return status, body

    async def ended(self) -> bytes:
        """Return no bytes: a response that closes an HTTP connection leaves a FastCGI connection open."""
        return b""


async def connect_fcgi(address: tuple[str, int]) -> Any:
    return cast(Any, TranslatedClient(await WebServer.connect(address)))
