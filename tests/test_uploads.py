"""Bodies too long to be held: sent on as they come, never in part twice, and harmless where nothing can have run."""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import asynccontextmanager
from typing import AsyncIterator, Awaitable, Callable

import pytest
from peers import PATIENCE, SETTINGS, Client, ScriptedBackend, World, answering, play, request, world
from test_streams import RecordingEnd

from loadbalancer.frontends import http1
from loadbalancer.policy.events import (
    AttemptResult,
    BodyProgress,
    Outcome,
    Request,
)
from loadbalancer.proxy import response_streams
from loadbalancer.resource_limits import MAX_HELD_BODY_BYTES, MAX_STREAMED_BODY_BYTES, BufferBudget
from loadbalancer.streaming.streams import STALL_S
from loadbalancer.streaming.uploads import Upload

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
LONG = MAX_HELD_BODY_BYTES + (1 << 20)
PART = bytes(1 << 16)


def upload(kept: bytes = b"ab") -> tuple[Upload, RecordingEnd, BufferBudget, list[str]]:
    client, budget, lost = RecordingEnd(), BufferBudget(100), list[str]()
    assert budget.try_acquire_upload(len(kept))
    return Upload(client, None, bytearray(kept), budget, lambda: lost.append("lost")), client, budget, lost


def test_a_body_waits_for_its_member_and_is_kept_until_more_has_left() -> None:
    body, client, budget, lost = upload()
    member = RecordingEnd()
    assert client.told == [True]
    body.receive(b"c")  # was on its way when the client was held
    body.attach(member)
    assert member.told == [b"abc"] and client.told == [True, False] and budget.held_bytes == 3 and not lost
    body.receive(b"d")
    body.receive(b"e")
    assert lost == ["lost"] and body.kept_bytes is None and budget.held_bytes == 0
    body.set_full(True)
    body.set_full(False)
    body.end()
    assert member.told == [b"abc", b"d", b"e", "end"] and client.told == [True, False, True, False]
    assert body.received_bytes == 5 and body.is_complete


def test_a_member_that_ends_before_more_has_left_leaves_it_whole_to_the_next() -> None:
    body, client, budget, lost = upload()
    first, second = RecordingEnd(), RecordingEnd()
    body.attach(first)
    body.detach(first)
    assert client.told == [True, False, True]
    body.end()
    body.attach(second)
    assert second.told == [b"ab", "end"] and not lost
    body.detach(first)  # long gone
    body.close()
    body.receive(b"c")
    assert budget.held_bytes == 0 and client.told[-1] is False and first.told == [b"ab"]


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawMember(ScriptedBackend):
    """A member that reads and says what the test wants, when it wants."""

    def __init__(self, name: str, script: Script) -> None:
        super().__init__(name)
        self.script, self.heads = script, list[bytes]()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            await self.script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def long_head(length: int = LONG, cls: str = "unsafe") -> bytes:
    return request(cls).replace(b"Content-Length: 0", b"Content-Length: %d" % length)


async def settled(here: World) -> None:
    """Everything that was held for requests has been given back."""
    await here.proxy.until(lambda: not here.proxy.open)
    assert here.proxy.uploads == 0 and here.proxy.budget.held_bytes == 0 and here.proxy.metrics.open == 0


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_a_long_body_arrives_as_it_was_sent(framing: str, cls: str) -> None:
    async def scene() -> None:
        body = os.urandom(1 << 16) * 200  # 12.5 MB
        backend = ScriptedBackend("a", answering(OK))
        async with world(backend) as here:
            client = await here.connect()
            if framing == "length":
                status, answer = await client.ask(long_head(len(body), cls) + body)
            else:
                head = request(cls).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                pieces = [body[at : at + 90_000] for at in range(0, len(body), 90_000)]
                chunks = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
                status, answer = await client.ask(head + chunks + b"0\r\nX-Trailer: a\r\n\r\n")
            assert (status, answer) == (200, b"hi")
            (call,) = backend.calls
            assert call.body == body
            asked = next(event for event in here.proxy.told if isinstance(event, Request))
            assert asked.body_pending
            told = [event for event in here.proxy.told if isinstance(event, BodyProgress)]
            assert [(event.complete, event.replayable) for event in told] == [(False, False), (True, False)]
            assert here.proxy.metrics.ended[asked.class_index] == [1, 0, 0]
            assert await client.ask(request()) == (200, b"hi")  # the connection goes on
            await settled(here)

    play(scene)


def test_its_time_counts_from_its_last_byte() -> None:
    async def scene() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(LONG)
            writer.write(OK)
            await reader.read()

        async with world(RawMember("a", script)) as here:
            client = await here.connect()
            await client.send(long_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            (pending,) = here.proxy.balancer.requests.values()
            (member,) = here.proxy.balancer.endpoints.values()
            assert (
                pending.body_pending and not member.in_flight and len(member.responding) == 1
            )  # it can't have begun
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            assert attempt.timer is None and here.proxy.metrics.open == 0
            began = attempt.began_at = attempt.began_at - 60.0  # as if the upload had taken a minute
            await client.send(bytes(LONG - len(PART)))
            assert (await client.read())[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert (
                outcome.result == AttemptResult.SERVED and outcome.elapsed < 60.0 and attempt.began_at > began
            )
            await settled(here)

    play(scene)


async def turns_away(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.write(AWAY)
    await reader.read()


async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.transport.abort()


async def answers_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.write(OK)
    await reader.read()


ENDS: dict[str, tuple[Script, AttemptResult, int]] = {
    "turned away": (turns_away, AttemptResult.FULL, 503),
    "broken": (breaks, AttemptResult.NO_CONNECTION, 503),
    "answered before it was whole": (answers_early, AttemptResult.RESET, 502),
}


@pytest.mark.parametrize("kind", ENDS)
def test_what_a_member_does_before_the_last_byte(kind: str) -> None:
    """A part has left that is not kept: it is never sent in part to another, and refused where it can't have run."""
    script, result, status = ENDS[kind]

    async def scene() -> None:
        members = [RawMember(name, script) for name in "ab"]
        async with world(*members) as here:
            client = await here.connect()
            await client.send(long_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            client.writer.write(bytes(LONG - len(PART)))
            assert (await client.read())[0] == status
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == result
            assert sum(len(member.heads) for member in members) == 1
            await settled(here)
            assert here.proxy.metrics.ended[2] == ([0, 1, 0] if status == 503 else [0, 0, 0])

    play(scene)


def test_a_member_that_can_not_be_reached_leaves_the_body_to_another() -> None:
    async def scene() -> None:
        good, dead = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with world(good, dead) as here:
            await dead.stop()
            for _ in range(6):  # the draw finds both
                client = await here.connect()
                assert await client.ask(long_head() + bytes(LONG)) == (200, b"hi")
            ends = [event.result for event in here.proxy.told if isinstance(event, Outcome)]
            assert ends.count(AttemptResult.SERVED) == 6 == len(good.calls)
            assert AttemptResult.NO_CONNECTION in ends
            assert all(call.body == bytes(LONG) for call in good.calls)
            await settled(here)

    play(scene)


async def reads_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.read(1 << 16):
        pass


def test_a_client_that_leaves_half_way_ends_the_attempt_and_was_no_request() -> None:
    async def scene() -> None:
        async with world(RawMember("a", reads_on)) as here:
            client = await here.connect()
            await client.send(long_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            client.writer.transport.abort()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.CANCELLED
            await settled(here)
            assert here.proxy.metrics.ended[2] == [0, 0, 0] and here.proxy.metrics.tries[2] == 0

    play(scene)


def test_a_client_that_stops_half_way_is_told_so() -> None:
    async def scene() -> None:
        async with world(RawMember("a", reads_on)) as here:
            client = await here.connect()
            await client.send(long_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            while connection.held:  # until the member takes it
                await asyncio.sleep(0.01)
            connection.sweep(time.monotonic())
            assert connection.request is not None
            connection.sweep(time.monotonic() + 60)
            status, head, _ = await client.read()
            assert status == 408 and b"Connection: close" in head
            await settled(here)

    play(scene)


@asynccontextmanager
async def slow_member() -> AsyncIterator[tuple[RawMember, asyncio.Event]]:
    go_on = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await go_on.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        left = MAX_STREAMED_BODY_BYTES
        while left:
            left -= len(await reader.read(1 << 16))
        writer.write(OK)
        await reader.read()

    yield RawMember("a", script), go_on


@pytest.mark.parametrize("ever", [True, False])
def test_a_member_that_takes_nothing_holds_the_client_and_not_our_memory(ever: bool) -> None:
    async def scene() -> None:
        async with slow_member() as (member, go_on), world(member) as here:
            client = await here.connect()
            sending = asyncio.ensure_future(
                client.send(long_head(MAX_STREAMED_BODY_BYTES) + bytes(MAX_STREAMED_BODY_BYTES))
            )
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            (request_,) = here.proxy.open.values()
            (attempt,) = request_.attempts
            while attempt.connection is None or not connection.held:
                await asyncio.sleep(0.01)
            assert attempt.connection.transport.get_write_buffer_size() < 2 << 20  # type: ignore[attr-defined]
            connection.sweep(time.monotonic() + STALL_S - 1)  # not the client's fault
            assert connection.request is not None
            if ever:
                go_on.set()
                await asyncio.wait_for(sending, PATIENCE)
                assert (await client.read())[0] == 200
            else:
                connection.sweep(connection.held_at + STALL_S + 1)
                assert (await client.read())[0] == 503
                sending.cancel()
            await settled(here)

    play(scene)


def test_more_long_bodies_than_their_share_of_connections_are_turned_away() -> None:
    async def scene() -> None:
        async with world(RawMember("a", reads_on), RawMember("b", reads_on), sockets=64) as here:
            clients: list[Client] = []
            while here.proxy.may_upload():
                clients.append(await here.connect())
                await clients[-1].send(long_head() + PART)
                await here.proxy.until(lambda: here.proxy.uploads == len(clients))
            most = len(clients)
            assert 1 < most < 16
            late = await here.connect()
            assert (await late.ask(long_head() + PART))[0] == 503
            assert here.proxy.uploads == most and here.proxy.may_upload() is False
            for client in clients:
                client.writer.transport.abort()
            await settled(here)
            assert here.proxy.may_upload()

    play(scene)


#: Bytes read of the proxy between two looks at what it holds.
LOOK = 64 << 10


class Watched:
    """The bytes that the proxy holds, as a member's reads see them: its budget and its connections' buffers."""

    def __init__(self, here: World) -> None:
        self.here, self.peak, self.unseen = here, 0, 0

    def drunk(self, count: int) -> None:
        """What the proxy holds goes by being read from it, so a look at each LOOK bytes that were misses no more than
        that of a peak; one at each read takes minutes where the machine is busy and reads are short."""
        self.unseen += count
        if self.unseen >= LOOK:
            self.unseen = 0
            self.look()

    def look(self) -> None:
        transports = [connection.transport for connection in self.here.connections()]
        for open_ in self.here.proxy.open.values():
            connections = [attempt.connection for attempt in open_.attempts]
            transports += [getattr(connection, "transport", None) for connection in connections]
        held = sum(transport.get_write_buffer_size() for transport in transports if transport is not None)
        self.peak = max(self.peak, held + self.here.proxy.budget.held_bytes)


def test_64_bodies_and_answers_of_32_mb_at_once_take_little_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is held, not how fast it goes: on a busy machine a stand-in client may wait for its turn on the loop that
    they all share for longer than one on the way may stand still."""
    for limit in ("BODY_STALL_S", "READ_STALL_S", "STALL_S"):
        monkeypatch.setattr(http1, limit, 60.0)
    monkeypatch.setattr(response_streams, "STALL_S", 60.0)

    async def scene() -> None:
        count, part = 64, bytes(1 << 18)
        parts = MAX_STREAMED_BODY_BYTES // len(part)

        async def pour(writer: asyncio.StreamWriter) -> None:
            for _ in range(parts):
                writer.write(part)
                await writer.drain()

        async def drink(reader: asyncio.StreamReader) -> None:
            left = MAX_STREAMED_BODY_BYTES
            while left:
                data = await reader.read(min(left, len(part)))
                if not data:  # it does not come whole; asking on would not let the loop go on
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                watched.drunk(len(data))

        async def member(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await drink(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_STREAMED_BODY_BYTES)
            await pour(writer)
            await reader.read()

        async def asks(client: Client) -> None:
            await client.send(long_head(MAX_STREAMED_BODY_BYTES).replace(b": 4000m", b": 60000m"))
            await pour(client.writer)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            await drink(client.reader)

        members = [RawMember(f"m{n}", member) for n in range(4)]
        patient = [{**cls, "aim-s": 60.0, "give-up-s": 60.0} for cls in SETTINGS["classes"]]
        async with world(*members, settings={**SETTINGS, "classes": patient}, memory_mb=64) as here:
            watched = Watched(here)
            await asyncio.gather(*[asks(await here.connect()) for _ in range(count)])
            assert here.proxy.metrics.ended[2] == [count, 0, 0]
            assert 0 < watched.peak < (32 << 20) - LOOK
            await settled(here)

    play(scene)


def test_a_long_body_behind_an_open_request_is_not_taken() -> None:
    async def scene() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(OK)
            await reader.read()

        free = asyncio.Event()
        member = RawMember("a", script)
        async with world(member) as here:
            client = await here.connect()
            await client.send(request() + long_head() + PART)
            await here.proxy.until(lambda: here.proxy.open)
            free.set()
            assert (await client.read())[0] == 200
            assert (await client.read())[0] == 413
            assert len(member.heads) == 1
            await settled(here)

    play(scene)


def test_the_head_that_goes_on_has_one_framing() -> None:
    async def scene() -> None:
        member = RawMember("a", reads_on)
        async with world(member) as here:
            client = await here.connect()
            await client.send(long_head() + PART)
            while not member.heads:
                await asyncio.sleep(0.01)
            (head,) = member.heads
            assert head.count(b"Content-Length: %d\r\n" % LONG) == 1 and b"Transfer-Encoding" not in head
            assert b"X-Remaining: " in head
            client.writer.transport.abort()
            await settled(here)

    play(scene)
