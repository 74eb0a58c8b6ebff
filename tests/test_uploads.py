"""Bodies too long to be buffered: they are streamed, and a part of one is never sent to a second member."""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import asynccontextmanager
from typing import AsyncIterator, Awaitable, Callable, cast

import pytest
from peers import (
    SETTINGS,
    TIMEOUT_S,
    Client,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
)
from test_streams import RecordingEnd

from loadbalancer.frontends import http1
from loadbalancer.memory_account import BufferBudget
from loadbalancer.policy.events import (
    AttemptResult,
    BodyProgress,
    Outcome,
    Request,
)
from loadbalancer.proxy import response_streams
from loadbalancer.resource_limits import MAX_HELD_BODY_BYTES, MAX_STREAMED_BODY_BYTES
from loadbalancer.streaming.streams import STALL_S
from loadbalancer.streaming.uploads import PART_BYTES, Upload
from standins.crowds import Crowd, chunked_sender, fetch
from standins.platform_run import Limits, PlatformRun

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
LONG_BODY_BYTES = MAX_HELD_BODY_BYTES + (1 << 20)
PART = bytes(1 << 16)
#: Seconds for which a crowd of clients sends long bodies.
CROWD_S = 2.0


def make_upload(kept: bytes = b"ab") -> tuple[Upload, RecordingEnd, BufferBudget, list[str]]:
    client, budget, lost = RecordingEnd(), BufferBudget(100), list[str]()
    assert budget.try_acquire_upload(len(kept))
    return Upload(client, None, bytearray(kept), budget, lambda: lost.append("lost")), client, budget, lost


def test_buffered_body_is_sent_on_attach_and_dropped_once_more_is_sent() -> None:
    body, client, budget, lost = make_upload()
    member = RecordingEnd()
    assert client.told == [True]
    body.receive(b"c")  # was in flight when the client was paused
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


def test_buffered_body_is_sent_again_to_the_next_member() -> None:
    body, client, budget, lost = make_upload()
    first, second = RecordingEnd(), RecordingEnd()
    body.attach(first)
    body.detach(first)
    assert client.told == [True, False, True]
    body.end()
    body.attach(second)
    assert second.told == [b"ab", "end"] and not lost
    body.detach(first)  # is no longer attached
    body.close()
    body.receive(b"c")
    assert budget.held_bytes == 0 and client.told[-1] is False and first.told == [b"ab"]


def test_kept_bytes_are_passed_only_while_the_member_has_room() -> None:
    """Guards against a body that is read at full speed although its member has told that it is full."""
    kept = bytes(3 * PART_BYTES)
    client, budget, member = RecordingEnd(), BufferBudget(1 << 20), RecordingEnd()
    assert budget.try_acquire_upload(len(kept))
    body = Upload(client, None, bytearray(kept), budget, lambda: None)
    member.full = True  # since before it was attached: it does not tell again
    body.attach(member)
    assert member.told == [] and client.told == [True]
    member.full = False
    body.set_full(False)
    assert b"".join(cast(list[bytes], member.told)) == kept and client.told == [True, False]
    member.full = True  # told while nobody listened
    body.receive(b"a")
    assert client.told == [True, False, True]
    body.end()
    assert member.told[-1] == "end"


def test_end_of_a_body_follows_its_kept_bytes_and_goes_to_each_member() -> None:
    """Guards against an end that is passed on before the bytes that wait for room."""
    client, budget, first, second = RecordingEnd(), BufferBudget(1 << 20), RecordingEnd(), RecordingEnd()
    body = Upload(client, None, bytearray(b"ab"), budget, lambda: None)
    first.full = True
    body.attach(first)
    body.receive(b"c")
    body.end()
    assert first.told == []
    first.full = False
    body.set_full(False)
    body.set_full(False)
    assert first.told == [b"abc", "end"]
    body.detach(first)
    body.attach(second)
    assert second.told == [b"abc", "end"]


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawMember(ScriptedBackend):
    """A member whose script reads and writes its connections directly."""

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


def long_request_head(length: int = LONG_BODY_BYTES, cls: str = "unsafe") -> bytes:
    return request(cls).replace(b"Content-Length: 0", b"Content-Length: %d" % length)


async def wait_until_released(here: RunningProxy) -> None:
    """Wait until no request is open, and check that all its resources were released."""
    await here.proxy.until(lambda: not here.proxy.open)
    assert here.proxy.uploads == 0 and here.proxy.budget.held_bytes == 0 and here.proxy.metrics.open == 0


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_long_body_reaches_the_member_unchanged(framing: str, cls: str) -> None:
    async def scene() -> None:
        body = os.urandom(1 << 16) * 200  # 12.5 MB
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            if framing == "length":
                status, answer = await client.ask(long_request_head(len(body), cls) + body)
            else:
                head = request(cls).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                pieces = [body[at : at + 90_000] for at in range(0, len(body), 90_000)]
                chunks = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
                status, answer = await client.ask(head + chunks + b"0\r\nX-Trailer: a\r\n\r\n")
            assert (status, answer) == (200, b"hi")
            (call,) = backend.calls
            assert call.body == body
            asked = next(event for event in here.proxy.events if isinstance(event, Request))
            assert asked.body_pending
            told = [event for event in here.proxy.events if isinstance(event, BodyProgress)]
            assert [(event.complete, event.replayable) for event in told] == [(False, False), (True, False)]
            assert here.proxy.metrics.ended[asked.class_index] == [1, 0, 0]
            assert await client.ask(request()) == (200, b"hi")  # the connection stays usable
            await wait_until_released(here)

    run_with_timeout(scene)


def test_attempt_time_counts_from_the_last_byte_of_the_body() -> None:
    async def scene() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(LONG_BODY_BYTES)
            writer.write(OK)
            await reader.read()

        async with running_proxy(RawMember("a", script)) as here:
            client = await here.connect()
            await client.send(long_request_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            (pending,) = here.proxy.balancer.requests.values()
            (member,) = here.proxy.balancer.endpoints.values()
            assert (
                pending.body_pending and not member.in_flight and len(member.responding) == 1
            )  # it cannot have begun
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            assert attempt.timer is None and here.proxy.metrics.open == 0
            began_at = attempt.began_at = attempt.began_at - 60.0  # as if the upload had taken a minute
            await client.send(bytes(LONG_BODY_BYTES - len(PART)))
            assert (await client.read())[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert (
                outcome.result == AttemptResult.SERVED
                and outcome.elapsed < 60.0
                and attempt.began_at > began_at
            )
            await wait_until_released(here)

    run_with_timeout(scene)


async def turn_away_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.write(TURNED_AWAY)
    await reader.read()


async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.transport.abort()


async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(1 << 17)
    writer.write(OK)
    await reader.read()


EARLY_ENDS: dict[str, tuple[Script, AttemptResult, int]] = {
    "turned away": (turn_away_early, AttemptResult.FULL, 503),
    "broken": (reset_early, AttemptResult.NO_CONNECTION, 503),
    "answered before it was whole": (answer_early, AttemptResult.RESET, 502),
}


@pytest.mark.parametrize("kind", EARLY_ENDS)
def test_streamed_body_is_not_sent_to_a_second_member_after_an_early_end(kind: str) -> None:
    """A part that is no longer buffered has been sent, so the body can't go to another member.

    The request is answered 503 where it can't have run, else 502.
    """
    script, result, status = EARLY_ENDS[kind]

    async def scene() -> None:
        members = [RawMember(name, script) for name in "ab"]
        async with running_proxy(*members) as here:
            client = await here.connect()
            await client.send(long_request_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            client.writer.write(bytes(LONG_BODY_BYTES - len(PART)))
            assert (await client.read())[0] == status
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == result
            assert sum(len(member.heads) for member in members) == 1
            await wait_until_released(here)
            assert here.proxy.metrics.ended[2] == ([0, 1, 0] if status == 503 else [0, 0, 0])

    run_with_timeout(scene)


def test_body_goes_to_another_member_if_the_first_is_unreachable() -> None:
    async def scene() -> None:
        reachable, unreachable = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with running_proxy(reachable, unreachable) as here:
            await unreachable.stop()
            for _ in range(6):  # the random choice reaches both
                client = await here.connect()
                assert await client.ask(long_request_head() + bytes(LONG_BODY_BYTES)) == (200, b"hi")
            ends = [event.result for event in here.proxy.events if isinstance(event, Outcome)]
            assert ends.count(AttemptResult.SERVED) == 6 == len(reachable.calls)
            assert AttemptResult.NO_CONNECTION in ends
            assert all(call.body == bytes(LONG_BODY_BYTES) for call in reachable.calls)
            await wait_until_released(here)

    run_with_timeout(scene)


async def read_until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.read(1 << 16):
        pass


def test_client_disconnect_during_an_upload_cancels_it_and_is_not_counted() -> None:
    async def scene() -> None:
        async with running_proxy(RawMember("a", read_until_closed)) as here:
            client = await here.connect()
            await client.send(long_request_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            client.writer.transport.abort()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.CANCELLED
            await wait_until_released(here)
            assert here.proxy.metrics.ended[2] == [0, 0, 0] and here.proxy.metrics.tries[2] == 0

    run_with_timeout(scene)


def test_client_that_stops_during_an_upload_is_answered_408() -> None:
    async def scene() -> None:
        async with running_proxy(RawMember("a", read_until_closed)) as here:
            client = await here.connect()
            await client.send(long_request_head() + PART)
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            while connection.upload_paused:  # until the member has read it
                await asyncio.sleep(0.01)
            connection.sweep(time.monotonic())
            assert connection.request is not None
            connection.sweep(time.monotonic() + 60)
            status, head, _ = await client.read()
            assert status == 408 and b"Connection: close" in head
            await wait_until_released(here)

    run_with_timeout(scene)


@asynccontextmanager
async def paused_member() -> AsyncIterator[tuple[RawMember, asyncio.Event]]:
    resume = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await resume.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        left = MAX_STREAMED_BODY_BYTES
        while left:
            left -= len(await reader.read(1 << 16))
        writer.write(OK)
        await reader.read()

    yield RawMember("a", script), resume


@pytest.mark.parametrize("member_resumes", [True, False])
def test_member_that_reads_nothing_pauses_the_client_and_limits_memory(member_resumes: bool) -> None:
    async def scene() -> None:
        async with paused_member() as (member, resume), running_proxy(member) as here:
            client = await here.connect()
            sending = asyncio.ensure_future(
                client.send(long_request_head(MAX_STREAMED_BODY_BYTES) + bytes(MAX_STREAMED_BODY_BYTES))
            )
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            (request_,) = here.proxy.open.values()
            (attempt,) = request_.attempts
            while attempt.connection is None or not connection.upload_paused:
                await asyncio.sleep(0.01)
            assert attempt.connection.transport.get_write_buffer_size() < 2 << 20  # type: ignore[attr-defined]
            connection.sweep(time.monotonic() + STALL_S - 1)  # the client is not at fault
            assert connection.request is not None
            if member_resumes:
                resume.set()
                await asyncio.wait_for(sending, TIMEOUT_S)
                assert (await client.read())[0] == 200
            else:
                connection.sweep(connection.upload_paused_at + STALL_S + 1)
                assert (await client.read())[0] == 503
                sending.cancel()
            await wait_until_released(here)

    run_with_timeout(scene)


def test_uploads_past_their_share_of_connections_are_refused() -> None:
    async def scene() -> None:
        async with running_proxy(
            RawMember("a", read_until_closed), RawMember("b", read_until_closed), sockets=64
        ) as here:
            clients: list[Client] = []
            while here.proxy.may_upload():
                clients.append(await here.connect())
                await clients[-1].send(long_request_head() + PART)
                await here.proxy.until(lambda: here.proxy.uploads == len(clients))
            limit = len(clients)
            assert 1 < limit < 16
            late = await here.connect()
            assert (await late.ask(long_request_head() + PART))[0] == 503
            assert here.proxy.uploads == limit and here.proxy.may_upload() is False
            for client in clients:
                client.writer.transport.abort()
            await wait_until_released(here)
            assert here.proxy.may_upload()

    run_with_timeout(scene)


#: Bytes read from the proxy between two samples of what it buffers.
SAMPLE_BYTES = 64 << 10


class BufferPeak:
    """Records the peak of the bytes that the proxy buffers: its budget and the write buffers of its connections."""

    def __init__(self, here: RunningProxy) -> None:
        self.here, self.peak, self.unsampled = here, 0, 0

    def count_read(self, count: int) -> None:
        """Count bytes read from the proxy, and take a sample every SAMPLE_BYTES.

        Buffered bytes shrink only by being read, so a peak is underestimated by SAMPLE_BYTES at most. A sample at each
        read takes minutes when the machine is busy and reads are short.
        """
        self.unsampled += count
        if self.unsampled >= SAMPLE_BYTES:
            self.unsampled = 0
            self.sample()

    def sample(self) -> None:
        transports = [connection.transport for connection in self.here.connections()]
        for open_request in self.here.proxy.open.values():
            connections = [attempt.connection for attempt in open_request.attempts]
            transports += [getattr(connection, "transport", None) for connection in connections]
        held = sum(transport.get_write_buffer_size() for transport in transports if transport is not None)
        self.peak = max(self.peak, held + self.here.proxy.budget.held_bytes)


def test_64_concurrent_bodies_and_answers_of_32_mb_use_little_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks memory, not speed: the stall timeouts are raised, since all clients share one event loop, and on a busy
    machine one of them may wait for its turn longer than a transfer may stall."""
    for limit in ("BODY_STALL_S", "READ_STALL_S", "STALL_S"):
        monkeypatch.setattr(http1, limit, 60.0)
    monkeypatch.setattr(response_streams, "STALL_S", 60.0)

    async def scene() -> None:
        count, part = 64, bytes(1 << 18)
        parts = MAX_STREAMED_BODY_BYTES // len(part)

        async def send_body(writer: asyncio.StreamWriter) -> None:
            for _ in range(parts):
                writer.write(part)
                await writer.drain()

        async def read_body(reader: asyncio.StreamReader) -> None:
            left = MAX_STREAMED_BODY_BYTES
            while left:
                data = await reader.read(min(left, len(part)))
                if not data:  # truncated; reading on would never yield to the event loop
                    raise asyncio.IncompleteReadError(b"", left)
                left -= len(data)
                buffer_peak.count_read(len(data))

        async def member(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_body(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_STREAMED_BODY_BYTES)
            await send_body(writer)
            await reader.read()

        async def upload_and_download(client: Client) -> None:
            await client.send(long_request_head(MAX_STREAMED_BODY_BYTES).replace(b": 4000m", b": 60000m"))
            await send_body(client.writer)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            await read_body(client.reader)

        members = [RawMember(f"m{n}", member) for n in range(4)]
        classes_with_long_timeouts = [
            {**cls, "aim-s": 60.0, "give-up-s": 60.0} for cls in SETTINGS["classes"]
        ]
        async with running_proxy(
            *members, settings={**SETTINGS, "classes": classes_with_long_timeouts}, memory_mb=64
        ) as here:
            buffer_peak = BufferPeak(here)
            await asyncio.gather(*[upload_and_download(await here.connect()) for _ in range(count)])
            assert here.proxy.metrics.ended[2] == [count, 0, 0]
            assert 0 < buffer_peak.peak < (32 << 20) - SAMPLE_BYTES
            await wait_until_released(here)

    run_with_timeout(scene)


def test_long_body_with_invalid_bytes_right_behind_it_is_answered() -> None:
    """Guards against a complete request that is refused because its last bytes arrive with what is no request."""

    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            body = bytes(LONG_BODY_BYTES)
            await client.send(long_request_head() + body[:-100])
            (connection,) = here.connections()
            await here.proxy.until(lambda: here.proxy.uploads)
            while connection.body_received < len(body) - 100:
                await asyncio.sleep(0)
            await client.send(body[-100:] + b"\x00\r\n\r\n")
            assert (await client.read())[0] == 200

    run_with_timeout(scene)


def test_long_body_behind_an_open_request_is_answered_413() -> None:
    async def scene() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(OK)
            await reader.read()

        release = asyncio.Event()
        member = RawMember("a", script)
        async with running_proxy(member) as here:
            client = await here.connect()
            await client.send(request() + long_request_head() + PART)
            await here.proxy.until(lambda: here.proxy.open)
            release.set()
            assert (await client.read())[0] == 200
            assert (await client.read())[0] == 413
            assert len(member.heads) == 1
            await wait_until_released(here)

    run_with_timeout(scene)


def test_forwarded_head_has_exactly_one_framing() -> None:
    async def scene() -> None:
        member = RawMember("a", read_until_closed)
        async with running_proxy(member) as here:
            client = await here.connect()
            await client.send(long_request_head() + PART)
            while not member.heads:
                await asyncio.sleep(0.01)
            (head,) = member.heads
            assert (
                head.count(b"Content-Length: %d\r\n" % LONG_BODY_BYTES) == 1
                and b"Transfer-Encoding" not in head
            )
            assert b"X-Remaining: " in head
            client.writer.transport.abort()
            await wait_until_released(here)

    run_with_timeout(scene)


@pytest.mark.parametrize("lane", ["keyed", "unsafe"])
def test_client_of_a_member_that_reads_slowly_is_not_answered_seconds_after_its_time(lane: str) -> None:
    """Its last byte stands unread in the kernel; an answer in time says that the request has not run."""

    async def scene() -> None:
        async with PlatformRun(members=1) as run:
            answer = await fetch(run.address, lane, "/api?read_rate=400000", 0.6, bytes(6_000_000))
            assert answer.status == 503
            assert not run.members[0].effects

    run_with_timeout(scene)


@pytest.mark.parametrize("lane", ["keyed", "unsafe"])
@pytest.mark.parametrize("query", ["read_rate=1", "read_rate=3000000", "rest=1", "breaks_after=100000"])
def test_long_chunked_bodies_to_slow_members_stay_within_the_memory_limit(lane: str, query: str) -> None:
    """Guards against bodies that are held whole for members that read slowly, or not at all."""

    async def scene() -> None:
        limits = Limits(memory_mb=64)
        async with PlatformRun(limits) as run:
            crowd = Crowd(run.address, 6, chunked_sender(20_000_000, query, lane))
            crowd.start()
            await asyncio.sleep(CROWD_S)
            await crowd.stop()
            assert run.is_running and run.peak_mb < limits.memory_mb

    run_with_timeout(scene)
