"""Answers and uploads whose bytes come along a curve drawn at random, and a judge that sees only the outside.

The judge asks what the operators' pages ask of every answer. Where they leave a choice (an answer without a stated
length that has neither ended nor become long when its client's time is over), it asks what docs/operating/answers.md
promises, with a margin to either side.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import count, pairwise
from random import Random

from standins.crowds import read_answer, request_head
from standins.platform_run import Address
from standins.slow_member import answer_body

LONG_BYTES = 64 << 10
"""Bytes of a body beyond which its first bytes are timed."""
AIM_S = 0.6
"""The aim of each class; an attempt's time ends shortly before it."""
GRACE_S = 0.5
"""Seconds past a client's time in which a final answer still counts."""
SLACK_S = 0.25
"""Seconds for sockets, and for a machine on which other tests run."""
END_S = 20.0
"""Seconds after which a client that has heard nothing final gives up."""
MOST_REST_S = 0.6
"""Seconds of a rest, up to the end of a client's time, with which an answer surely counts as arriving."""
MOST_LATER_REST_S = 2.5
"""The same from then on."""
SURE_RATE = 8 << 10
"""Bytes a second, since its first one, with which an answer surely counts as arriving."""
MARGIN_S = 0.1
"""Seconds by which a byte has to come before a moment to have come by then."""

_numbers = count()
Curve = tuple[tuple[float, int], ...]


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request and the curve of its answer.

    Attributes:
        lane: The class of the request.
        time_s: Seconds that the client waits, from its last byte.
        framing: "length", "chunked" or "close".
        end: "whole", "reset" or "never".
        curve: Seconds and bytes of the parts of the answer; the first one has the head.
        upload: Seconds to wait before each part of the request's body, and its bytes.
    """

    lane: str
    time_s: float
    framing: str
    end: str
    curve: Curve
    upload: Curve = ()

    @property
    def size(self) -> int:
        """The bytes of the answer's body."""
        return sum(size for _, size in self.curve)

    @property
    def target(self) -> str:
        """The target that asks a `SlowMember` for the curve."""
        points = ",".join(f"{at:.3f}-{size}" for at, size in self.curve)
        return f"/api?curve={points}&framing={self.framing}&end={self.end}"


@dataclass(frozen=True, slots=True)
class Heard:
    """What a client has heard.

    Attributes:
        status: The status; 0 if there was none.
        is_whole: Whether the answer ended as its framing says.
        is_own: Whether its bytes are those that the member has written.
        first_byte_s: Seconds from the request's last byte to the first of the answer.
        end_s: The same to its end.
        effects: How often the request has come whole to a member.
    """

    status: int
    is_whole: bool
    is_own: bool
    first_byte_s: float
    end_s: float
    effects: int


def draw_exchange(source: Random) -> Exchange:
    """Return a random exchange."""
    lane = source.choice(("safe", "keyed", "unsafe"))
    upload = _draw_upload(source) if lane != "safe" and source.random() < 0.25 else ()
    return Exchange(
        lane,
        source.choice((0.6, 0.9, 1.5, 1.5, 2.0)),
        source.choice(("chunked", "chunked", "close", "close", "length")),
        source.choices(("whole", "reset", "never"), (7, 1, 2))[0],
        _draw_curve(source),
        upload,
    )


def _draw_curve(source: Random) -> Curve:
    size = source.choice(
        (0, 100, 20_000, 60_000, 65_536, 110_000, 110_000, 180_000, 255_000, 255_000, 4_300_000)
    )
    size = max(0, size + source.choice((0, 0, -1, 1, source.randrange(-90, 5_000))))
    at = source.choice((0.01, 0.1, 0.3, 0.45))
    first = min(size, source.choice((0, 0, 229, 30_000)))
    points, left = [(at, first)], size - first
    at += source.choice((0.0, 0.3, source.uniform(0.1, 1.3), source.uniform(0.1, 1.3)))
    parts = source.choice((1, 2, 6, 6, 40))
    interval = source.choice((0.05, 0.5, 2.0, 4.0, 6.0)) / parts
    for number in range(parts):
        part = left if number == parts - 1 else min(left, round(size / parts * source.uniform(0.5, 1.5)))
        if part:  # a member that has written all reads the next request at once
            points.append((at, part))
        left -= part
        at += interval * source.uniform(0.5, 1.5)
    return tuple(points)


def _draw_upload(source: Random) -> Curve:
    parts = source.choice((1, 3, 8))
    pause = source.choice((0.0, 0.1, 0.4, 1.2)) / parts
    size = source.choice((2, 5_000, 70_000, 300_000))
    return tuple((pause * source.uniform(0.0, 1.5), size // parts + 1) for _ in range(parts))


async def play(address: Address, exchange: Exchange) -> tuple[str, Heard]:
    """Play an exchange on a connection of its own; return the request's id, and what the client heard."""
    txn = f"{exchange.lane}-pace-{next(_numbers)}"
    size = sum(part for _, part in exchange.upload)
    lines = [] if exchange.lane == "safe" else [f"Content-Length: {size}"]
    reader, writer = await asyncio.open_connection(*address)
    head = request_head(exchange.lane, exchange.target, *lines, txn=txn, deadline_s=exchange.time_s)
    writer.write(head + b"\r\n")
    for pause, part in exchange.upload:
        await asyncio.sleep(pause)
        writer.write(bytes(part))
    sent_at = time.monotonic()
    recorder = _Recorder(reader, sent_at)
    status, body, is_whole = await recorder.read()
    end_s = time.monotonic() - sent_at
    writer.transport.abort()
    is_own = body == answer_body(txn, exchange.size)[: len(body)]
    is_own = is_own and (not is_whole or status != 200 or len(body) == exchange.size)
    return txn, Heard(status, is_whole, is_own or status != 200, recorder.first_byte_s, end_s, 0)


class _Recorder:
    """Reads one answer, whole or not."""

    def __init__(self, reader: asyncio.StreamReader, sent_at: float) -> None:
        self.first_byte_s = END_S
        self._reader = reader
        self._sent_at = sent_at

    async def read(self) -> tuple[int, bytes, bool]:
        """Return the status, the body as far as it has come whole, and whether the answer is whole."""
        try:
            async with asyncio.timeout(END_S):
                first = await self._reader.readexactly(1)
                self.first_byte_s = time.monotonic() - self._sent_at
                rest = _Prefixed(first, self._reader)
                status, body = await read_answer(rest)  # type: ignore[arg-type]
                return status, body, True
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return (200 if self.first_byte_s < END_S else 0), b"", False


class _Prefixed:
    """A stream whose first byte has been read already."""

    def __init__(self, first: bytes, reader: asyncio.StreamReader) -> None:
        self._first, self._reader = first, reader
        self.read, self.readexactly, self.readline = reader.read, reader.readexactly, reader.readline

    async def readuntil(self, separator: bytes) -> bytes:
        """Return the bytes up to the separator, with the first one."""
        first, self._first = self._first, b""
        return first + await self._reader.readuntil(separator)


# The judge.


def find_broken_rule(exchange: Exchange, heard: Heard) -> str | None:
    """Return the sentence that an exchange has broken, or None."""
    last_moment_s = exchange.time_s + GRACE_S + SLACK_S
    safety_rule = find_broken_safety_rule(exchange, heard)
    if safety_rule is not None:
        return safety_rule
    if heard.first_byte_s > last_moment_s:
        return "a final answer, or its first byte, within half a second after its client's time"
    if heard.end_s >= END_S:
        return "an end"
    if heard.effects == 0 and heard.status == 503:  # refused, and never forwarded
        return None
    if heard.status in (400, 408):
        return "an upload that is arriving is not refused"
    if _is_owed_whole(exchange) and not (heard.status == 200 and heard.is_whole):
        return "what the backend is still giving is not cut off"
    if _is_owed_a_failure(exchange) and heard.status == 200:
        return "an answer that has stopped fails honestly, in time"
    return None


def find_broken_safety_rule(exchange: Exchange, heard: Heard) -> str | None:
    """Return the sentence that an exchange has broken whatever happens to endpoints and processes, or None."""
    if exchange.lane == "unsafe" and heard.effects > 1:
        return "no effect twice"
    if not heard.is_own:
        return "an answer made for its request, unchanged"
    if heard.status == 200 and heard.is_whole and exchange.end != "whole":
        return "a reset is no end, and neither is silence"
    return None


def _is_owed_whole(exchange: Exchange) -> bool:
    """Return whether an answer has to come whole."""
    if exchange.end != "whole" or exchange.curve[0][0] > AIM_S - SLACK_S:
        return False
    end_s = exchange.curve[-1][0]
    if exchange.size <= LONG_BYTES:
        return end_s < AIM_S - SLACK_S
    if exchange.framing == "length":
        return True
    return _is_arriving(exchange) and _is_fast(exchange.curve, exchange.time_s)


def _is_arriving(exchange: Exchange) -> bool:
    """Return whether an answer surely counts as arriving at the end of its client's time, and afterwards."""
    times = [at for at, size in exchange.curve if size]
    if times[0] > exchange.time_s:
        return False
    has_come_lately = any(AIM_S < at < exchange.time_s - MARGIN_S for at in times)
    for at, next_at in pairwise(times):
        if next_at < exchange.time_s:
            continue
        is_decided = has_come_lately or at > exchange.time_s + GRACE_S
        if next_at - at > (MOST_LATER_REST_S if is_decided else MOST_REST_S):
            return False
    return True


def _is_fast(curve: Curve, from_s: float) -> bool:
    """Return whether, at each part from a time on, the body has come at the sure rate, or is long."""
    begin_s, received = None, 0
    for (at, size), (next_at, _) in pairwise((*curve, (curve[-1][0], 0))):
        received += size
        if not received:
            continue
        begin_s = at if begin_s is None else begin_s
        if received > LONG_BYTES:
            return True
        if next_at > from_s and received < SURE_RATE * (next_at - begin_s):
            return False
    return True


def _is_owed_a_failure(exchange: Exchange) -> bool:
    """Return whether an answer that never ends has surely stopped before its attempt's time was over."""
    if exchange.end != "never" or exchange.size > LONG_BYTES:
        return False
    times = [at for at, size in exchange.curve if size]
    last_s = times[-1] if times else 0.0
    return last_s < AIM_S / 2 and exchange.time_s + GRACE_S / 2 - last_s > 1.0
