"""Long answers: passed on as they come, bounded by what the other side takes, broken off so that it shows."""

from __future__ import annotations

import asyncio

import pytest
from peers import TIMEOUT_S, Call, ScriptedBackend, answering, request, run_with_timeout, running_proxy

from loadbalancer.policy.events import (
    AttemptResult,
    FirstByte,
)
from loadbalancer.streaming.streams import Stream
from loadbalancer.upstreams.connections import REST_S

LONG = 300_000


class End:
    """Either side of a stream, with what it was told."""

    def __init__(self) -> None:
        self.told: list[object] = []

    def hold(self, on: bool) -> None:
        self.told.append(on)

    def take_part(self, data: bytes) -> None:
        self.told.append(data)

    def take_end(self) -> None:
        self.told.append("end")

    def break_off(self) -> None:
        self.told.append("broken")


def test_a_stream_holds_its_giver_while_the_taker_is_full_and_ends_once() -> None:
    giver, taker = End(), End()
    stream = Stream(giver, taker)
    stream.send(b"a")
    for on in (True, True, False, True):
        stream.set_full(on)
    assert giver.told == [True, False, True]
    assert not stream.is_stalled()  # it moved, and now it is full
    assert not stream.is_stalled()
    stream.set_full(False)
    assert not stream.is_stalled() and stream.is_stalled()
    stream.end()
    stream.send(b"b")
    stream.cut()
    stream.leave()
    assert taker.told == [b"a", "end"] and stream.passed_bytes == 1


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_a_long_answer_is_passed_on_before_it_is_whole(framing: str) -> None:
    async def scene() -> None:
        go_on = asyncio.Event()

        async def script(call: Call) -> None:
            head = {"length": b"Content-Length: %d\r\n" % LONG, "chunks": b"Transfer-Encoding: chunked\r\n"}
            await call.say(b"HTTP/1.1 200 OK\r\n%b\r\n" % head.get(framing, b"Connection: close\r\n"))
            for part in (bytes(100_000), b"a" * (LONG - 100_000)):
                await call.say(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunks" else part)
                await go_on.wait()
            if framing == "chunks":
                await call.say(b"0\r\nX-Trailer: a\r\n\r\n")
            elif framing == "connection":
                call.writer.close()

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            reader = client.reader
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            await asyncio.wait_for(reader.readexactly(90_000), TIMEOUT_S)  # while the member waits
            assert any(isinstance(event, FirstByte) for event in here.proxy.events)
            assert here.proxy.metrics.open == 1
            go_on.set()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED and outcome.request_ended
            assert here.proxy.metrics.ended[2] == [1, 0, 0] and not here.proxy.streams

    run_with_timeout(scene)


def test_a_long_answer_that_breaks_is_seen_to_and_is_neither_repeated_nor_refused() -> None:
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
def test_the_rest_of_a_known_length_goes_on_unread_and_what_comes_behind_it_does_not(behind: bytes) -> None:
    async def scene() -> None:
        body = bytes(range(256)) * 4000

        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:70_000]))
            await asyncio.wait_for(begun.wait(), TIMEOUT_S)
            await call.say(body[70_000:] + behind)

        backend = ScriptedBackend("a", script)
        async with running_proxy(backend) as here:
            for number in range(2):
                begun = asyncio.Event()
                client = await here.connect()
                await client.send(request("unsafe"))
                await here.proxy.until(lambda: here.proxy.streams)
                begun.set()
                status, _, got = await client.read()
                assert status == 200 and got == body
                assert here.proxy.metrics.ended[2] == [number + 1, 0, 0]
                await asyncio.sleep(2 * REST_S)  # a connection rests before it is used again
            assert backend.connections == (2 if behind else 1)

    run_with_timeout(scene)


def test_a_known_length_that_is_cut_short_is_seen_to() -> None:
    async def scene() -> None:
        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (LONG, bytes(70_000)))
            await asyncio.wait_for(begun.wait(), TIMEOUT_S)
            await call.say(bytes(LONG - 70_001))
            call.writer.close()

        begun = asyncio.Event()
        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            await here.proxy.until(lambda: here.proxy.streams)
            begun.set()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.read()
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.RESET
            assert here.proxy.metrics.ended[2] == [0, 0, 1]

    run_with_timeout(scene)


def test_a_client_that_reads_nothing_holds_its_member_and_not_our_memory() -> None:
    async def scene() -> None:
        most = 32 << 20

        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % most)
            for _ in range(most >> 16):
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
            assert status == 200 and len(body) == most
            assert here.proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_a_client_that_leaves_ends_the_attempt() -> None:
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


def test_spaces_behind_a_header_are_no_part_of_it() -> None:
    async def scene() -> None:
        good = b"HTTP/1.1 200 OK\r\nContent-Length: 2 \t\r\n\r\nhi"
        async with running_proxy(ScriptedBackend("a", answering(good))) as here:
            client = await here.connect()
            data = request("unsafe").replace(b"unsafe\r\n", b"unsafe \t\r\n").replace(b"4000m", b"4000m ")
            assert await client.ask(data) == (200, b"hi")

    run_with_timeout(scene)
