"""Crowds of clients that use a proxy's memory or processor time, and regular clients beside them."""

from __future__ import annotations

import asyncio
import re
import select
import socket
import threading
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from typing import Awaitable, Callable, Iterator

from standins.platform_run import Address
from standins.slow_member import answer_body

#: Seconds after its deadline in which an answer is late, and after which it is lost.
LATE_ANSWER_S = 0.5
#: Seconds that a request waits before it gives up.
DEADLINE_S = 1.5
#: Receive buffer of a client that reads slowly, in bytes.
SLOW_READER_BUFFER_BYTES = 4 << 10
#: Number of connections of a crowd that are opened at the same time.
OPENED_AT_ONCE = 50
#: Seconds that a regular client waits between two requests.
REGULAR_INTERVAL_S = 0.02

#: One part of a body that is sent in chunks.
CHUNK = bytes(64 << 10)

_numbers = count()


def request_head(
    lane: str = "safe",
    target: str = "/api",
    *lines: str,
    txn: str = "",
    deadline_s: float = DEADLINE_S,
) -> bytes:
    """Return the head of a request without the empty line that ends it; `txn` is a new id by default."""
    txn = txn or f"{lane}-{next(_numbers)}"
    method = "GET" if lane == "safe" else "POST"
    fields = [f"{method} {target} HTTP/1.1", "Host: a", f"X-Txn: {txn}", f"X-Lane: {lane}"]
    if lane == "keyed":
        fields.append(f"Idempotency-Key: {txn}")
    fields.append(f"X-Remaining: {deadline_s * 1000:.0f}m")
    return "\r\n".join([*fields, *lines]).encode() + b"\r\n"


#: What one client of a crowd does on its connection, until it is cancelled.
Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def many_fields(number: int, form: str = "1f3:") -> Behaviour:
    """Return a client that sends a head of so many short fields and never ends it."""

    async def use(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(request_head() + f"{form}\r\n".encode() * number)
        await writer.drain()
        await asyncio.Event().wait()

    return use


def half_body(size: int, share: float = 0.5) -> Behaviour:
    """Return a client that sends a part of a body at once, and then nothing."""

    async def use(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(request_head("unsafe", "/api", f"Content-Length: {size}") + b"\r\n")
        writer.write(bytes(int(size * share)))
        await writer.drain()
        await asyncio.Event().wait()

    return use


def slow_writer(size: int, rate: int) -> Behaviour:
    """Return a client that sends a body at so many bytes a second."""

    async def use(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(request_head("unsafe", "/api", f"Content-Length: {size}") + b"\r\n")
        for _ in range(0, size, max(1, rate // 20)):
            writer.write(bytes(max(1, rate // 20)))
            await writer.drain()
            await asyncio.sleep(0.05)
        await asyncio.Event().wait()

    return use


def slow_reader(size: int, framing: str = "length", rate: int = 5120, requests: int = 1) -> Behaviour:
    """Return a client that asks for long answers and reads them at so many bytes a second."""

    async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(requests):
            writer.write(request_head("safe", f"/api?size={size}&framing={framing}") + b"\r\n")
        while await reader.read(max(1, rate // 10)):
            await asyncio.sleep(0.1)
        await asyncio.Event().wait()

    return use


def pipelining(number: int, lines: int = 0, size: int = 0) -> Behaviour:
    """Return a client that sends so many requests at once, with more fields or bodies, and reads no answer."""
    fields = [f"f{field}: {'v' * 100}" for field in range(lines)]

    async def use(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(number):
            length = [f"Content-Length: {size}"]
            target = "/api?size=60000&delay=0.2"
            writer.write(request_head("unsafe", target, *fields, *length) + b"\r\n" + bytes(size))
        await writer.drain()
        await asyncio.Event().wait()

    return use


def slow_receiver(size: int, rate: int) -> Behaviour:
    """Return a client whose body goes to a member that reads so many bytes a second."""

    async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = f"/api?read_rate={rate}"
        writer.write(request_head("unsafe", target, f"Content-Length: {size}") + b"\r\n" + bytes(size))
        await reader.read()

    return use


def chunked_sender(size: int, query: str, lane: str = "keyed") -> Behaviour:
    """Return a client that sends a body in chunks, as fast as its connection takes it; `query` says how it is read."""

    async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(request_head(lane, f"/api?{query}", "Transfer-Encoding: chunked") + b"\r\n")
        for _ in range(size // len(CHUNK)):
            writer.write(b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await reader.read()

    return use


def idle() -> Behaviour:
    """Return a client that sends nothing."""

    async def use(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    return use


@dataclass
class Crowd:
    """Many clients of one behaviour, each of which opens its connection once more when it was closed.

    Attributes:
        closed: Connections that the proxy has closed.
    """

    address: Address
    clients: int
    behaviour: Behaviour
    closed: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Open the connections."""
        slots = asyncio.Semaphore(OPENED_AT_ONCE)
        self._tasks = [asyncio.ensure_future(self._run(slots)) for _ in range(self.clients)]

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, slots: asyncio.Semaphore) -> None:
        while True:
            async with slots:
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
                sock.setblocking(False)
                try:
                    await asyncio.get_running_loop().sock_connect(sock, self.address)
                    reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
                except OSError:
                    sock.close()
                    await asyncio.sleep(0.05)
                    continue
            await self._use(reader, writer)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        use = asyncio.ensure_future(self.behaviour(reader, writer))
        closed = asyncio.ensure_future(writer.wait_closed())
        try:
            await asyncio.wait((use, closed), return_when=asyncio.FIRST_COMPLETED)
            self.closed += 1
        finally:
            use.cancel()
            closed.cancel()
            await asyncio.gather(use, closed, return_exceptions=True)
            writer.transport.abort()


@dataclass
class RegularClients:
    """Clients that send short requests one after another, and record what they get.

    Attributes:
        statuses: How often each status was received.
        lost: Requests whose new connection ended without an answer; a kept one may, and its request is sent again.
        longest_s: The longest time to an answer.
        wrong: Ids whose answer was another one's.
    """

    address: Address
    clients: int = 4
    lane: str = "safe"
    statuses: Counter[int] = field(default_factory=Counter)
    longest_s: float = 0.0
    wrong: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Begin to send."""
        self._tasks = [asyncio.ensure_future(self._run()) for _ in range(self.clients)]

    async def stop(self) -> None:
        """Send no more, and drop what is open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    await self._use(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(REGULAR_INTERVAL_S)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in count():
            txn = f"{self.lane}-{next(_numbers)}"
            sent_at = time.monotonic()
            writer.write(request_head(self.lane, "/api?size=40", "Content-Length: 0", txn=txn) + b"\r\n")
            try:
                status, body = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError) as problem:
                if number == 0:
                    self.lost.append(f"{txn} after {time.monotonic() - sent_at:.3f} s: {problem!r}")
                return
            self.statuses[status] += 1
            self.longest_s = max(self.longest_s, time.monotonic() - sent_at)
            if status == 200 and body != answer_body(txn, 40):
                self.wrong.append(txn)
            if status != 200:
                return
            await asyncio.sleep(REGULAR_INTERVAL_S)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return the status and body of an answer, framed by its length, in chunks, or by the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    return int(head[9:12]), await _read_body(reader, head)


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    if length:
        return await reader.readexactly(int(length[1]))
    if not re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head):
        return await reader.read()
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return body


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got.

    Attributes:
        status: The status; 0 if the connection ended before the answer was whole.
        body: The body, as far as the answer was whole.
        first_byte_s: Seconds from the last byte of the request to the first of the answer.
        seconds: Seconds from the last byte of the request to the last of the answer.
        is_own: Whether the body is that of this request's answer.
    """

    status: int
    body: bytes
    first_byte_s: float
    seconds: float
    is_own: bool


async def fetch(address: Address, lane: str, target: str, deadline_s: float, body: bytes = b"") -> Answer:
    """Send one request on a connection of its own, and read its answer."""
    txn = f"{lane}-{next(_numbers)}"
    lines = [] if lane == "safe" else [f"Content-Length: {len(body)}"]
    reader, writer = await asyncio.open_connection(*address)
    first_byte_s = -1.0
    sent_at = time.monotonic()
    try:
        writer.write(request_head(lane, target, *lines, txn=txn, deadline_s=deadline_s) + b"\r\n" + body)
        await writer.drain()
        sent_at = time.monotonic()
        head = await reader.readuntil(b"\r\n\r\n")
        first_byte_s = time.monotonic() - sent_at
        status, answered = int(head[9:12]), await _read_body(reader, head)
    except (OSError, asyncio.IncompleteReadError):
        status, answered = 0, b""
    finally:
        writer.close()
    is_own = answered == answer_body(txn, len(answered))
    return Answer(status, answered, first_byte_s, time.monotonic() - sent_at, is_own)


class Flood:
    """A client on a thread of its own that sends at full speed, on one connection at a time."""

    def __init__(self, address: Address, pieces: Callable[[], Iterator[bytes]]) -> None:
        """Create a flood; each connection sends the pieces that a call of `pieces` gives, until it is closed."""
        self._address = address
        self._pieces = pieces
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.sent_bytes = 0
        self.connections = 0

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    async def stop(self) -> None:
        """Send no more, and wait until the thread has ended."""
        self._is_stopped.set()
        await asyncio.to_thread(self._thread.join)

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            try:
                with socket.create_connection(self._address, timeout=0.5) as sock:
                    self.connections += 1
                    self._send_all(sock)
            except OSError:
                time.sleep(0.01)

    def _send_all(self, sock: socket.socket) -> None:
        for piece in self._pieces():
            rest = memoryview(piece)
            while rest and not self._is_stopped.is_set():
                with suppress(TimeoutError):
                    sent = sock.send(rest)
                    self.sent_bytes += sent
                    rest = rest[sent:]
            self._discard_answers(sock)
            if self._is_stopped.is_set():
                return

    @staticmethod
    def _discard_answers(sock: socket.socket) -> None:
        while select.select([sock], [], [], 0)[0]:
            if not sock.recv(1 << 16):
                raise ConnectionResetError
