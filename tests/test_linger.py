"""Clients that go on writing while they are answered: the answer reaches them, and others are not kept waiting."""

from __future__ import annotations

import asyncio
from typing import Iterator

import peers
import pytest
from peers import OK, TIMEOUT_S, ScriptedBackend, answering, request, run_with_timeout, running_proxy
from test_uploads import RawMember, paused_member, read_until_closed

from loadbalancer.frontends.http1 import LINGER_S
from loadbalancer.frontends.linger import PACED_AT_ONCE, LingerPacer
from loadbalancer.resource_limits import MAX_STREAMED_BODY_BYTES
from loadbalancer.streaming.streams import STALL_S

#: A body that is refused as soon as its head is read.
REFUSED_BYTES = MAX_STREAMED_BODY_BYTES + 1_000_000
#: A body that is streamed, to a member that reads nothing.
UNREAD_BYTES = 5_000_000


@pytest.fixture(params=["http/1.1", "https"])
def front(request: pytest.FixtureRequest) -> Iterator[str]:
    """Run the proxy's listener with this protocol."""
    peers.COMBINATION[0] = request.param
    yield request.param
    peers.COMBINATION[0] = "http/1.1"


def with_length(length: int) -> bytes:
    return request("unsafe").replace(b"Content-Length: 0", b"Content-Length: %d" % length)


def test_client_reads_a_refusal_after_it_has_written_all_of_its_body(front: str) -> None:
    """Guards against an answer that is lost because the connection is reset while its client is still writing."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            client = await here.connect()
            await asyncio.wait_for(client.send(with_length(REFUSED_BYTES) + bytes(REFUSED_BYTES)), TIMEOUT_S)
            assert (await client.read())[0] == 413

    run_with_timeout(scene)


def test_client_of_a_member_that_reads_nothing_reads_its_answer_after_its_body() -> None:
    """Guards against the same reset where the answer comes because the request's time is over."""

    async def scene() -> None:
        async with paused_member() as (member, _), running_proxy(member) as here:
            client = await here.connect()
            sending = asyncio.ensure_future(client.send(with_length(UNREAD_BYTES) + bytes(UNREAD_BYTES)))
            await here.proxy.until(lambda: here.proxy.uploads)
            (connection,) = here.connections()
            while not connection.upload_paused:
                await asyncio.sleep(0)
            connection.sweep(connection.upload_paused_at + 2 * STALL_S)  # it is answered 503
            await asyncio.wait_for(sending, TIMEOUT_S)
            assert (await client.read())[0] == 503

    run_with_timeout(scene)


def test_client_that_sends_nothing_more_is_closed_soon_after_its_answer() -> None:
    """Guards against connections that are kept for a client that has stopped in the middle of its body."""

    async def scene() -> None:
        async with running_proxy(RawMember("a", read_until_closed)) as here:
            client = await here.connect()
            await client.send(with_length(REFUSED_BYTES))
            assert (await client.read())[0] == 413
            (connection,) = here.connections()
            await client.send(bytes(1000))
            while not connection.discarded:
                await asyncio.sleep(0)
            connection.sweep(connection.discarded_at + 2 * LINGER_S)
            while here.connections():
                await asyncio.sleep(0)

    run_with_timeout(scene)


class LingeringConnection:
    """Records that it was allowed to read on."""

    def __init__(self) -> None:
        self.turns = 0

    def read_on(self) -> None:
        self.turns += 1


def test_clients_that_go_on_writing_take_turns() -> None:
    """Guards against refused clients that keep the process busy with bytes that are thrown away."""

    async def scene() -> None:
        pacer = LingerPacer()
        connections = [LingeringConnection() for _ in range(2 * PACED_AT_ONCE)]
        for connection in connections:
            pacer.add(connection)
        pacer.add(connections[0])  # it is in the queue already
        while not any(each.turns for each in connections):
            await asyncio.sleep(0)
        assert [each.turns for each in connections] == [1] * PACED_AT_ONCE + [0] * PACED_AT_ONCE
        pacer.remove(connections[-1])
        while not connections[PACED_AT_ONCE].turns:
            await asyncio.sleep(0)
        assert connections[-1].turns == 0

    run_with_timeout(scene)
