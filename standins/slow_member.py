"""A stand-in member whose requests choose, by their query, how it reads their body and writes its answer.

`/api?size=200000&seconds=2&framing=chunked` asks for an answer of 200,000 bytes, in chunks, written over two seconds.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import Counter
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from loadbalancer.kernel_buffers import reset_on_close

#: Size of the receive buffers in the kernel, so that a member that reads slowly is noticed early.
RECEIVE_BUFFER_BYTES = 16 << 10
#: Seconds between two pieces of an answer that is written steadily.
PIECE_INTERVAL_S = 0.02
#: Seconds between two pieces of an answer that is written in lumps.
LUMP_INTERVAL_S = 0.25
#: Seconds between two reads of a body that is read slowly.
READ_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """How a request is read and answered.

    Attributes:
        size: Bytes of the answer's body.
        seconds: Time over which the body is written; 0 writes it at once.
        framing: "length", "chunked", or "close": the answer ends with its connection.
        form: "steady", "lumps", or "bytes" for chunks of one byte.
        delay: Seconds before the head of the answer.
        read_rate: Bytes of the request's body that are read in a second; 0 for no limit.
        rest: Seconds before any of the request's body is read.
        breaks_after: Bytes of the request's body after which the first attempt is reset; 0 for never.
        stalls_after: Bytes of the body after which the member writes no more; 0 for never, -1 for none at all.
        first: Bytes of the body that are written with the head, before `pause`.
        pause: Seconds between these and the rest of the body, which is written over `seconds`.
        parts: Number of parts in which the rest is written; 0 leaves that to `form`.
        curve: Seconds from the request's last byte and bytes of each part of the answer; the first one has the head. It
            takes the place of `size`, `seconds`, `form` and `delay`.
        end: How the curve ends: "whole", "reset" or "never".
    """

    size: int = 2
    seconds: float = 0.0
    framing: str = "length"
    form: str = "steady"
    delay: float = 0.003
    read_rate: int = 0
    rest: float = 0.0
    breaks_after: int = 0
    stalls_after: int = 0
    first: int = 0
    pause: float = 0.0
    parts: int = 0
    curve: tuple[tuple[float, int], ...] = ()
    end: str = "whole"

    @classmethod
    def from_target(cls, target: str) -> AnswerPlan:
        """Return the plan that a request's target describes; what it leaves out has its default."""
        query = {key: values[0] for key, values in parse_qs(urlsplit(target).query).items()}
        default = cls()
        return cls(
            int(query.get("size", default.size)),
            float(query.get("seconds", default.seconds)),
            query.get("framing", default.framing),
            query.get("form", default.form),
            float(query.get("delay", default.delay)),
            int(query.get("read_rate", default.read_rate)),
            float(query.get("rest", default.rest)),
            int(query.get("breaks_after", default.breaks_after)),
            int(query.get("stalls_after", default.stalls_after)),
            int(query.get("first", default.first)),
            float(query.get("pause", default.pause)),
            int(query.get("parts", default.parts)),
            _read_curve(query.get("curve", "")),
            query.get("end", default.end),
        )


def _read_curve(text: str) -> tuple[tuple[float, int], ...]:
    """Read a curve such as `0.1-0,0.9-18000`."""
    points = (point.split("-") for point in text.split(",") if point)
    return tuple((float(at), int(size)) for at, size in points)


def answer_body(txn: str, size: int) -> bytes:
    """Return the body that answers a request: its id, again and again."""
    unit = txn.encode() + b"."
    return (unit * (size // len(unit) + 1))[:size]


class SlowMember:
    """A member on a loopback port that the kernel chooses.

    Attributes:
        effects: How often each id was received whole.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.effects: Counter[str] = Counter()
        self._broken: set[str] = set()
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._accept, sock=sock, limit=RECEIVE_BUFFER_BYTES)
        self.address = "{}:{}".format(*sock.getsockname())

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                plan = AnswerPlan.from_target(head.split(" ", 2)[1])
                match = re.search(r"(?i)\r\nx-txn: *(\S+)", head)
                txn = match[1] if match else ""
                await self._break_first(reader, txn, plan.breaks_after)
                await asyncio.sleep(plan.rest)
                await self._read_body(reader, head, plan.read_rate)
                self.effects[txn] += 1
                if plan.curve:
                    await write_curve(writer, txn, plan)
                else:
                    await asyncio.sleep(plan.delay)
                    await write_answer(writer, answer_body(txn, plan.size), plan)
                if plan.framing == "close":
                    writer.close()
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            if not writer.is_closing():
                writer.transport.abort()

    async def _break_first(self, reader: asyncio.StreamReader, txn: str, after: int) -> None:
        """Read some of the first attempt that this member gets of a request, and raise ConnectionError then."""
        if after and txn not in self._broken:
            self._broken.add(txn)
            await reader.readexactly(after)
            raise ConnectionError

    async def _read_body(self, reader: asyncio.StreamReader, head: str, rate: int) -> None:
        length = re.search(r"(?i)\r\ncontent-length: *(\d+)", head)
        if length:
            await self._read_exactly(reader, int(length[1]), rate)
        elif re.search(r"(?i)\r\ntransfer-encoding: *chunked", head):
            while size := await self._read_chunk_size(reader):
                await self._read_exactly(reader, size + 2, rate)
            await reader.readline()

    async def _read_chunk_size(self, reader: asyncio.StreamReader) -> int:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        return int(line.split(b";")[0], 16)

    async def _read_exactly(self, reader: asyncio.StreamReader, size: int, rate: int) -> None:
        most = max(1, int(rate * READ_INTERVAL_S)) if rate else RECEIVE_BUFFER_BYTES
        while size:
            data = await reader.read(min(size, most))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(data)
            if rate:
                await asyncio.sleep(READ_INTERVAL_S)


async def write_curve(writer: asyncio.StreamWriter, txn: str, plan: AnswerPlan) -> None:
    """Write an answer as its curve describes it; raise ConnectionError for one that ends with a reset."""
    received_at = asyncio.get_running_loop().time()
    body = memoryview(answer_body(txn, sum(size for _, size in plan.curve)))
    for number, (at, size) in enumerate(plan.curve):
        await asyncio.sleep(received_at + at - asyncio.get_running_loop().time())
        if number == 0:
            stated = len(body) + (0 if plan.end == "whole" else 1)  # its last byte never comes
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % _framing_line(plan.framing, stated))
        part, body = bytes(body[:size]), body[size:]
        if part:
            writer.write(b"%x\r\n%b\r\n" % (size, part) if plan.framing == "chunked" else part)
        await writer.drain()
    if plan.end == "never":
        await asyncio.Event().wait()
    if plan.end == "reset":
        reset_on_close(writer.get_extra_info("socket"))
        raise ConnectionResetError
    if plan.framing == "chunked":
        writer.write(b"0\r\n\r\n")
    await writer.drain()


def _framing_line(framing: str, size: int) -> bytes:
    return {
        "length": b"Content-Length: %d\r\n" % size,
        "chunked": b"Transfer-Encoding: chunked\r\n",
        "close": b"Connection: close\r\n",
    }[framing]


async def write_answer(writer: asyncio.StreamWriter, body: bytes, plan: AnswerPlan) -> None:
    """Write an answer with this body as a plan describes it; a stalled one is never completed."""
    writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % _framing_line(plan.framing, len(body)))
    written = 0
    await writer.drain()
    for piece, pause in _pieces(body, plan):
        if plan.stalls_after and written >= plan.stalls_after:
            await asyncio.Event().wait()
        if not piece:
            await asyncio.sleep(pause)
            continue
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if plan.framing == "chunked" else piece)
        written += len(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    if plan.framing == "chunked":
        writer.write(b"0\r\n\r\n")
    await writer.drain()


def _pieces(body: bytes, plan: AnswerPlan) -> list[tuple[bytes, float]]:
    """Return the pieces of a body, each with the seconds to wait after it; an empty piece only waits."""
    if plan.form == "bytes":
        return [(body[at : at + 1], 0.0) for at in range(len(body))]
    interval = LUMP_INTERVAL_S if plan.form == "lumps" else PIECE_INTERVAL_S
    count = plan.parts or max(1, round(plan.seconds / interval))
    first, rest = body[: plan.first], body[plan.first :]
    size = max(1, -(-len(rest) // count))
    pieces = [(first, plan.pause)] if first or plan.pause else []
    return pieces + [(rest[at : at + size], plan.seconds / count) for at in range(0, len(rest), size)]
