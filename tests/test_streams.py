"""Streamed answers: forwarded as they arrive, with backpressure, and aborted in a way that the client can detect."""

from __future__ import annotations

import asyncio

import pytest
from peers import TIMEOUT_S, Call, ScriptedBackend, answering, request, run_with_timeout, running_proxy

from loadbalancer.policy.events import (
    AttemptResult,
    FirstByte,
)
from loadbalancer.streaming.streams import Stream
from loadbalancer.upstreams.connections import MIN_IDLE_BEFORE_REUSE_S

LONG = 300_000


class RecordingEnd:
    """A producer or consumer of a stream that records its calls."""

    def __init__(self) -> None:
        self.told: list[object] = []
        self.full = False

    def is_full(self) -> bool:
        return self.full

    def set_reading_paused(self, on: bool) -> None:
        self.told.append(on)

    def receive_data(self, data: bytes) -> None:
        self.told.append(data)

    def receive_end(self) -> None:
        self.told.append("end")

    def abort_body(self) -> None:
        self.told.append("broken")


def test_stream_pauses_producer_while_consumer_is_full_and_ends_once() -> None:
    producer, consumer = RecordingEnd(), RecordingEnd()
    stream = Stream(producer, consumer)
    stream.send(b"a")
    for on in (True, True, False, True):
        stream.set_full(on)
    assert producer.told == [True, False, True]
    assert not stream.is_stalled()  # a byte was sent, and the consumer is full
    assert not stream.is_stalled()
    stream.set_full(False)
    assert not stream.is_stalled() and stream.is_stalled()
    stream.end()
    stream.send(b"b")
    stream.abort()
    stream.detach_consumer()
    assert consumer.told == [b"a", "end"] and stream.passed_bytes == 1


def test_stream_that_begins_while_its_consumer_is_full_pauses_the_producer() -> None:
    """Guards against an answer that is read at full speed for a client that has told earlier that it is full."""
    producer, consumer = RecordingEnd(), RecordingEnd()
    consumer.full = True
    stream = Stream(producer, consumer)
    stream.send(b"a")
    stream.send(b"b")
    assert producer.told == [True] and stream.is_full
    consumer.full = False
    stream.set_full(False)
    stream.send(b"c")
    assert producer.told == [True, False] and consumer.told == [b"a", b"b", b"c"]


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_long_answer_is_streamed_before_it_is_complete(framing: str) -> None:
    async def scene() -> None:
        release = asyncio.Event()

        async def script(call: Call) -> None:
            head = {"length": b"Content-Length: %d\r\n" % LONG, "chunks": b"Transfer-Encoding: chunked\r\n"}
            await call.say(b"HTTP/1.1 200 OK\r\n%b\r\n" % head.get(framing, b"Connection: close\r\n"))
            for part in (bytes(100_000), b"a" * (LONG - 100_000)):
                await call.say(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunks" else part)
                await release.wait()
            if framing == "chunks":
                await call.say(b"0\r\nX-Trailer: a\r\n\r\n")
            elif framing == "connection":
                call.writer.close()

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            reader = client.reader
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            # The member has not sent the rest yet.
            await asyncio.wait_for(reader.readexactly(90_000), TIMEOUT_S)
            assert any(isinstance(event, FirstByte) for event in here.proxy.events)
            assert here.proxy.metrics.open == 1
            release.set()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED and outcome.request_ended
            assert here.proxy.metrics.ended[2] == [1, 0, 0] and not here.proxy.streams

    run_with_timeout(scene)


def test_invalid_streamed_answer_aborts_the_client_connection_without_a_retry() -> None:
    async def scene() -> None:
        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await call.say(b"%x\r\n%b\r\nzz\r\n" % (LONG, bytes(LONG)))

        a, b = ScriptedBackend("a", script), ScriptedBackend("b", script)
        async with running_proxy(a, b) as here:
            client = await here.connect()
            await client.send(request("safe"))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.read()
            assert len(a.calls) + len(b.calls) == 1
            assert here.proxy.metrics.ended[0] == [0, 0, 1]

    run_with_timeout(scene)


@pytest.mark.parametrize("behind", [b"", b"noise"])
def test_streamed_answer_of_known_length_is_forwarded_without_surplus_bytes(behind: bytes) -> None:
    async def scene() -> None:
        body = bytes(range(256)) * 4000

        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:70_000]))
            await asyncio.wait_for(stream_started.wait(), TIMEOUT_S)
            await call.say(body[70_000:] + behind)

        backend = ScriptedBackend("a", script)
        async with running_proxy(backend) as here:
            for number in range(2):
                stream_started = asyncio.Event()
                client = await here.connect()
                await client.send(request("unsafe"))
                await here.proxy.until(lambda: here.proxy.streams)
                stream_started.set()
                status, _, got = await client.read()
                assert status == 200 and got == body
                assert here.proxy.metrics.ended[2] == [number + 1, 0, 0]
                await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_S)  # or it is not reused
            assert backend.connections == (2 if behind else 1)

    run_with_timeout(scene)


def test_truncated_streamed_answer_aborts_the_client_connection() -> None:
    async def scene() -> None:
        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (LONG, bytes(70_000)))
            await asyncio.wait_for(stream_started.wait(), TIMEOUT_S)
            await call.say(bytes(LONG - 70_001))
            call.writer.close()

        stream_started = asyncio.Event()
        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            await here.proxy.until(lambda: here.proxy.streams)
            stream_started.set()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.read()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.RESET
            assert here.proxy.metrics.ended[2] == [0, 0, 1]

    run_with_timeout(scene)


def test_client_that_does_not_read_applies_backpressure_to_its_member() -> None:
    async def scene() -> None:
        body_size = 32 << 20

        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_size)
            for _ in range(body_size >> 16):
                await call.say(bytes(1 << 16))

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await client.send(request("unsafe"))
            while not here.proxy.streams:
                await asyncio.sleep(0.01)
            (connection,) = here.connections()
            while not connection.blocked_since:
                await asyncio.sleep(0.01)
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 2 << 20
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            status, _, body = await client.read()
            assert status == 200 and len(body) == body_size
            assert here.proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_client_disconnect_cancels_a_streamed_attempt() -> None:
    async def scene() -> None:
        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + bytes(100_000))
            await call.left()

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            client.writer.transport.abort()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.CANCELLED
            assert not here.proxy.streams and not here.proxy.open

    run_with_timeout(scene)


def test_trailing_whitespace_of_header_values_is_ignored() -> None:
    async def scene() -> None:
        good = b"HTTP/1.1 200 OK\r\nContent-Length: 2 \t\r\n\r\nhi"
        async with running_proxy(ScriptedBackend("a", answering(good))) as here:
            client = await here.connect()
            data = request("unsafe").replace(b"unsafe\r\n", b"unsafe \t\r\n").replace(b"4000m", b"4000m ")
            assert await client.ask(data) == (200, b"hi")

    run_with_timeout(scene)
