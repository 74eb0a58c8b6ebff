"""Input in very small parts: how much of it one turn of the event loop parses, and who else is served meanwhile."""

from __future__ import annotations

import asyncio
import socket
from itertools import count
from typing import Iterator, cast

import pytest
from peers import (
    OK,
    Call,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)

from loadbalancer.frontends.connection import Phase
from loadbalancer.input_turns import MAX_PARTS, SLICE_BYTES, InputTurns
from loadbalancer.kernel_buffers import KernelBuffers
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from standins.crowds import Flood, RegularClients, request_head
from standins.platform_run import PlatformRun

BODY_BYTES = 40_000
CHUNKED = request("unsafe").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def one_byte_chunks(size: int) -> bytes:
    return b"1\r\nx\r\n" * size + b"0\r\n\r\n"


class Taker:
    """Records its turns; it wants a number of them."""

    def __init__(self, turns: InputTurns, name: str, wanted: int, taken: list[str]) -> None:
        self.turns, self.name, self.wanted, self.taken = turns, name, wanted, taken

    def take_turn(self) -> None:
        self.taken.append(self.name)
        self.wanted -= 1
        if self.wanted:
            self.turns.add(self)


def test_one_iteration_of_the_loop_gives_one_turn_and_all_take_them_alternately() -> None:
    async def scene() -> None:
        turns, taken = InputTurns(), list[str]()
        for name in ("a", "b", "c"):
            turns.add(Taker(turns, name, 3, taken))
        for expected in range(1, 10):
            await asyncio.sleep(0)
            assert len(taken) == expected
        assert taken == ["a", "b", "c"] * 3

    run_with_timeout(scene)


def test_body_in_one_byte_chunks_is_parsed_over_many_turns() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            await client.send(CHUNKED)
            while not (here.connections() and here.connections()[0].phase == Phase.BODY):
                await asyncio.sleep(0)
            (connection,) = here.connections()
            connection.data_received(one_byte_chunks(BODY_BYTES))
            most = connection.body_received
            assert 0 < most <= SLICE_BYTES
            while not backend.calls:
                before = connection.body_received
                await asyncio.sleep(0)
                most = max(most, connection.body_received - before)
            assert most <= SLICE_BYTES
            assert (await client.read())[0] == 200
            assert backend.calls[0].body == b"x" * BODY_BYTES

    run_with_timeout(scene)


def test_answer_in_one_byte_chunks_is_parsed_over_many_turns() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", silent)) as here:
            client = await here.connect()
            await client.send(request())
            await here.proxy.until(lambda: here.proxy.open)
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            while attempt.connection is None:
                await asyncio.sleep(0)
            connection = cast(Http1UpstreamConnection, attempt.connection)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            connection.data_received(head + one_byte_chunks(BODY_BYTES))
            assert MAX_PARTS < connection.buffered_bytes <= SLICE_BYTES
            status, _, body = await client.read()
            assert (status, body) == (200, b"x" * BODY_BYTES)

    run_with_timeout(scene)


def test_long_answer_in_one_byte_chunks_to_a_client_that_pauses_is_whole() -> None:
    async def scene() -> None:
        size = 400_000

        async def script(call: Call) -> None:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            await call.say(head + one_byte_chunks(size))

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await client.send(request("unsafe"))
            await here.proxy.until(lambda: here.proxy.streams)
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            status, _, body = await client.read()
            assert (status, len(body)) == (200, size)
            await here.proxy.until(lambda: not here.proxy.open)
            assert here.proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_unparsed_input_is_served_and_keeps_its_connection_from_eviction() -> None:
    async def scene() -> None:
        goes_on = asyncio.Event()

        async def script(call: Call) -> None:
            await goes_on.wait()
            await call.say(OK)

        async with running_proxy(ScriptedBackend("a", script)) as here:
            client = await here.connect()
            padding = f"X-Padding: {'p' * SLICE_BYTES}"
            await client.send(request("safe", None, "4000m", padding) * 3)
            await here.proxy.until(lambda: here.proxy.open)
            (connection,) = here.connections()
            assert connection.unparsed and not connection.close_if_idle()
            goes_on.set()
            assert [(await client.read())[0] for _ in range(3)] == [200, 200, 200]

    run_with_timeout(scene)


def test_unparsed_requests_of_a_client_that_left_are_not_sent() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", silent)
        async with running_proxy(backend) as here:
            client = await here.connect()
            padding = f"X-Padding: {'p' * SLICE_BYTES}"
            await client.send(request("unsafe", None, "4000m", padding) * 3)
            await backend.until_called()
            (connection,) = here.connections()
            assert connection.unparsed
            client.writer.transport.abort()
            connection.cancel_all_requests()
            assert not connection.unparsed
            await here.proxy.until(lambda: not here.proxy.open)
            assert len(backend.calls) == 1

    run_with_timeout(scene)


def test_kernel_buffers_of_all_connections_are_bounded() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", silent)
        async with running_proxy(backend) as here:
            client = await here.connect()
            await client.send(request())
            await backend.until_called()
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            upstream, buffers = cast(Http1UpstreamConnection, attempt.connection), KernelBuffers()
            for sock in (here.connections()[0].sock, upstream.sock):
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) <= 2 * buffers.receive_bytes
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) <= 2 * buffers.send_bytes

    run_with_timeout(scene)


def test_system_without_an_option_for_buffers_still_connects() -> None:
    class RefusingSocket(socket.socket):
        def setsockopt(self, *_arguments: object) -> None:
            raise OSError(92, "Protocol not available")

    with RefusingSocket() as sock:
        KernelBuffers().apply(sock)


def floods() -> Iterator[tuple[str, bytes, bytes]]:
    """Yield the name of a flood, the bytes with which it begins, and those that it repeats."""
    chunked = request_head("unsafe", "/api", "Transfer-Encoding: chunked") + b"\r\n"
    yield "chunks of one byte", chunked, b"1\r\nx\r\n" * 10_000
    yield "chunk extensions", chunked, b"1;a=b\r\nx\r\n" * 10_000
    yield "empty lines", b"", b"\r\n" * 30_000
    yield "trailers", chunked + b"0\r\n", b"a:\r\n" * 10_000
    yield "fields", request_head(), b"a:\r\n" * 10_000
    yield "unsound heads", b"", b"GARBAGE\r\n" * 1_000


@pytest.mark.parametrize(("first", "repeated"), [pytest.param(*row[1:], id=row[0]) for row in floods()])
def test_other_clients_are_served_while_one_sends_small_parts_at_full_speed(
    first: bytes, repeated: bytes
) -> None:
    def pieces() -> Iterator[bytes]:
        yield first
        for _ in count():
            yield repeated

    async def scene() -> None:
        async with PlatformRun() as run:
            regular = RegularClients(run.address)
            flood = Flood(run.address, pieces)
            flood.start()
            regular.start()
            while regular.statuses.total() < 100:
                await asyncio.sleep(0.02)
                assert run.is_running
            await flood.stop()
            await regular.stop()
            assert set(regular.statuses) == {200} and not regular.lost and not regular.wrong
            assert flood.sent_bytes > len(first)

    run_with_timeout(scene)
