"""Graceful shutdown from SIGTERM to the end, with requests that arrive or end at the same time."""

from __future__ import annotations

import asyncio

import pytest
from peers import (
    OK,
    Call,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)
from test_crossings import hold_connects, with_limits

from loadbalancer.frontends import listener
from loadbalancer.frontends.http1 import HEAD, LINGER
from loadbalancer.frontends.listener import drain

CLOSE_HEADER = b"Connection: close"


class WaitingMember:
    """A member that answers once its event is set."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.member = ScriptedBackend("a", self._answer)

    async def _answer(self, call: Call) -> None:
        await self.gate.wait()
        await call.say(OK)


async def wait_until_paused(here: RunningProxy) -> None:
    """Wait until reading is paused because a request waits behind another one."""
    while not here.connections()[0].paused:
        await asyncio.sleep(0)


@pytest.mark.parametrize("unread", [0, 3])
def test_pipelined_requests_are_all_answered_during_shutdown(unread: int) -> None:
    """Guards against lost pipelined requests; `unread` of them are still in the kernel when the shutdown begins."""

    async def scene() -> None:
        waiting = WaitingMember()
        async with running_proxy(waiting.member) as here:
            client = await here.connect()
            await client.send(request() * 3)
            await waiting.member.until_called()
            await wait_until_paused(here)
            await client.send(request() * unread)
            here.server.begin_draining()
            waiting.gate.set()
            for remaining in reversed(range(3 + unread)):
                status, head, _ = await client.read()
                assert status == 200 and (CLOSE_HEADER in head) == (remaining == 0)
            assert await client.ended() == b""
            assert len(waiting.member.calls) == 3 + unread

    run_with_timeout(scene)


def test_pipelined_requests_are_answered_at_the_shutdown_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against pipelined requests without an answer: the first is with a member that hangs, the others wait."""
    monkeypatch.setattr(listener, "DRAIN_OPEN_S", 0.0)
    monkeypatch.setattr(listener, "FLUSH_S", 10.0)

    async def scene() -> None:
        a = ScriptedBackend("a", silent)
        async with running_proxy(a) as here:
            client = await here.connect()
            await client.send(request("unsafe") + request() * 3)
            await a.until_called()
            drained = asyncio.ensure_future(drain([here.server], 4.0, time_limit_s=0.0))
            assert [(await client.read())[0] for _ in range(4)] == [502, 503, 503, 503]
            assert await client.ended() == b""
            await drained
            assert len(a.calls) == 1 and not here.proxy.open

    run_with_timeout(scene)


def test_partly_received_request_is_answered_during_shutdown() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            client, whole = await here.connect(), request("unsafe", b"0123456789")
            await client.send(request() + whole[:-5])
            assert CLOSE_HEADER not in (await client.read())[1]
            here.server.begin_draining()
            while here.connections()[0].body_received < 5:
                await asyncio.sleep(0)
            await client.send(whole[-5:])
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER in head
            assert await client.ended() == b"" and len(a.calls) == 2

    run_with_timeout(scene)


def test_partly_received_head_behind_an_open_request_is_answered() -> None:
    """Guards against closing with an answer while the head of the next request is being read."""

    async def scene() -> None:
        waiting = WaitingMember()
        async with running_proxy(waiting.member) as here:
            client, second = await here.connect(), request()
            await client.send(request() + second[:20])
            await waiting.member.until_called()
            while here.connections()[0].phase != HEAD:
                await asyncio.sleep(0)
            here.server.begin_draining()
            waiting.gate.set()
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER not in head
            await client.send(second[20:])
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER in head
            assert await client.ended() == b""

    run_with_timeout(scene)


def test_request_after_the_last_answer_is_discarded_without_a_reset() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            client = await here.connect()
            here.server.begin_draining()
            await client.send(request())
            while not here.connections() or here.connections()[0].phase != LINGER:
                await asyncio.sleep(0)
            await client.send(request())
            while not here.connections()[0].discarded:
                await asyncio.sleep(0)
            assert (await client.read())[0] == 200
            assert await client.ended() == b""  # closed without a reset
            assert len(a.calls) == 1

    run_with_timeout(scene)


def member_with_long_answer(gate: asyncio.Event, size: int) -> ScriptedBackend:
    async def script(call: Call) -> None:
        await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size // 2))
        await gate.wait()
        await call.say(bytes(size - size // 2))

    return ScriptedBackend("a", script)


@pytest.mark.parametrize("whole", [True, False])
def test_streamed_answer_completes_or_is_reset_at_the_deadline(whole: bool) -> None:
    async def scene() -> None:
        gate, size = asyncio.Event(), 8 << 20
        async with running_proxy(member_with_long_answer(gate, size)) as here:
            client = await here.connect()
            await client.send(request())
            await client.reader.readuntil(b"\r\n\r\n")
            await client.reader.readexactly(size // 2)
            drained = asyncio.ensure_future(drain([here.server], 4.0, time_limit_s=3.4 if whole else 0.0))
            if whole:
                while not here.server.draining:
                    await asyncio.sleep(0)
                gate.set()
                assert len(await client.ended()) == size - size // 2
            else:
                with pytest.raises(ConnectionResetError):
                    await client.ended()
            await drained
            assert not here.proxy.open and not here.connections()

    run_with_timeout(scene)


@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_upload_in_progress_is_served(cls: str) -> None:
    async def scene() -> None:
        a, body = ScriptedBackend("a", answering(OK)), bytes(8 << 20)
        async with running_proxy(a) as here:
            client, whole = await here.connect(), request(cls, body)
            await client.send(whole[: -(1 << 20)])
            while not here.proxy.uploads:
                await asyncio.sleep(0)
            here.server.begin_draining()
            await client.send(whole[-(1 << 20) :])
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER in head
            assert len(a.calls) == 1 and len(a.calls[0].body) == len(body)
            assert await client.ended() == b""

    run_with_timeout(scene)


def test_incomplete_upload_is_aborted_at_the_deadline() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            client, whole = await here.connect(), request("unsafe", bytes(8 << 20))
            await client.send(whole[: -(1 << 20)])
            while not here.proxy.uploads:
                await asyncio.sleep(0)
            await drain([here.server], 4.0, time_limit_s=0.0)
            while here.connections():
                await asyncio.sleep(0)
            assert not a.calls and not here.proxy.open

    run_with_timeout(scene)


def test_attempt_that_is_connecting_when_the_shutdown_begins_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        holder = hold_connects(monkeypatch)
        async with running_proxy(a, settings=with_limits()) as here:
            client, holder.on = await here.connect(), True
            await client.send(request("unsafe"))
            await asyncio.wait_for(holder.held.wait(), 10)
            here.server.begin_draining()
            holder.on = False
            holder.gate.set()
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER in head and len(a.calls) == 1

    run_with_timeout(scene)


def test_retry_is_still_made_during_shutdown() -> None:
    async def scene() -> None:
        draining = asyncio.Event()

        async def reset_when_draining(call: Call) -> None:
            await draining.wait()
            call.reset()

        members = [ScriptedBackend(name, reset_when_draining, answering(OK)) for name in ("a", "b")]
        async with running_proxy(*members) as here:
            client = await here.connect()
            await client.send(request("keyed"))
            while not any(member.calls for member in members):
                await asyncio.sleep(0)
            here.server.begin_draining()
            draining.set()
            for member in members:
                member.scripts = [answering(OK)]
            status, head, _ = await client.read()
            assert status == 200 and CLOSE_HEADER in head
            assert sum(len(member.calls) for member in members) == 2

    run_with_timeout(scene)


def test_clients_that_reconnect_during_drain_are_answered_and_closed() -> None:
    """Guards against requests lost on new connections until accepting stops."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            drained = asyncio.ensure_future(drain([here.server], 0.2))
            count = 0
            while True:
                try:
                    client = await here.connect()
                    await client.send(request())
                except OSError:
                    break
                if here.server.listening is None:
                    break
                status, head, _ = await client.read()
                assert status == 200 and CLOSE_HEADER in head
                assert await client.ended() == b""
                count += 1
            await drained
            assert count and not here.connections() and not here.proxy.open

    run_with_timeout(scene)
