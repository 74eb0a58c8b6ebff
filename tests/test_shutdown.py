"""Graceful shutdown, from SIGTERM to the end: what crosses it, forced."""

from __future__ import annotations

import asyncio

import pytest
from peers import OK, Call, ScriptedBackend, World, answering, play, request, silent, world
from test_crossings import hold_connects, with_limits

from loadbalancer.frontends import listener
from loadbalancer.frontends.http1 import HEAD, LINGER
from loadbalancer.frontends.listener import drain

LAST = b"Connection: close"


class Held:
    """A member that answers when the test says so."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.member = ScriptedBackend("a", self._answer)

    async def _answer(self, call: Call) -> None:
        await self.gate.wait()
        await call.say(OK)


async def paused(here: World) -> None:
    """Until nothing is read any more, since a request waits behind another one."""
    while not here.connections()[0].paused:
        await asyncio.sleep(0)


@pytest.mark.parametrize("unread", [0, 3])
def test_what_is_pipelined_behind_an_open_request_is_answered_whole(unread: int) -> None:
    """`unread`: so many of the requests are still in the kernel when the process is told to end."""

    async def scene() -> None:
        held = Held()
        async with world(held.member) as here:
            client = await here.connect()
            await client.send(request() * 3)
            await held.member.until_called()
            await paused(here)
            await client.send(request() * unread)
            here.server.retire()
            held.gate.set()
            for left in reversed(range(3 + unread)):
                status, head, _ = await client.read()
                assert status == 200 and (LAST in head) == (left == 0)
            assert await client.ended() == b""
            assert len(held.member.calls) == 3 + unread

    play(scene)


def test_when_the_time_is_up_each_pipelined_request_has_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first is with a member that hangs; the others are told that they have not run."""
    monkeypatch.setattr(listener, "DRAIN_OPEN_S", 0.0)
    monkeypatch.setattr(listener, "FLUSH_S", 10.0)

    async def scene() -> None:
        a = ScriptedBackend("a", silent)
        async with world(a) as here:
            client = await here.connect()
            await client.send(request("unsafe") + request() * 3)
            await a.until_called()
            ended = asyncio.ensure_future(drain([here.server], 4.0, most=0.0))
            assert [(await client.read())[0] for _ in range(4)] == [502, 503, 503, 503]
            assert await client.ended() == b""
            await ended
            assert len(a.calls) == 1 and not here.proxy.open

    play(scene)


def test_a_request_half_read_is_answered_once_it_has_come() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with world(a) as here:
            client, whole = await here.connect(), request("unsafe", b"0123456789")
            await client.send(request() + whole[:-5])
            assert LAST not in (await client.read())[1]
            here.server.retire()
            while here.connections()[0].body_received < 5:
                await asyncio.sleep(0)
            await client.send(whole[-5:])
            status, head, _ = await client.read()
            assert status == 200 and LAST in head
            assert await client.ended() == b"" and len(a.calls) == 2

    play(scene)


def test_a_request_half_read_behind_an_open_one_is_not_cut_off() -> None:
    """The last answer is due while the head of the next request is being read."""

    async def scene() -> None:
        held = Held()
        async with world(held.member) as here:
            client, second = await here.connect(), request()
            await client.send(request() + second[:20])
            await held.member.until_called()
            while here.connections()[0].phase != HEAD:
                await asyncio.sleep(0)
            here.server.retire()
            held.gate.set()
            status, head, _ = await client.read()
            assert status == 200 and LAST not in head
            await client.send(second[20:])
            status, head, _ = await client.read()
            assert status == 200 and LAST in head
            assert await client.ended() == b""

    play(scene)


def test_a_request_that_comes_after_our_end_is_not_sent_on_and_resets_nothing() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with world(a) as here:
            client = await here.connect()
            here.server.retire()
            await client.send(request())
            while not here.connections() or here.connections()[0].phase != LINGER:
                await asyncio.sleep(0)
            await client.send(request())
            while not here.connections()[0].discarded:
                await asyncio.sleep(0)
            assert (await client.read())[0] == 200
            assert await client.ended() == b""  # and no reset
            assert len(a.calls) == 1

    play(scene)


def long_answer(gate: asyncio.Event, size: int) -> ScriptedBackend:
    async def script(call: Call) -> None:
        await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size // 2))
        await gate.wait()
        await call.say(bytes(size - size // 2))

    return ScriptedBackend("a", script)


@pytest.mark.parametrize("whole", [True, False])
def test_a_stream_comes_to_its_end_or_is_seen_to_be_cut(whole: bool) -> None:
    async def scene() -> None:
        gate, size = asyncio.Event(), 8 << 20
        async with world(long_answer(gate, size)) as here:
            client = await here.connect()
            await client.send(request())
            await client.reader.readuntil(b"\r\n\r\n")
            await client.reader.readexactly(size // 2)
            ended = asyncio.ensure_future(drain([here.server], 4.0, most=3.4 if whole else 0.0))
            if whole:
                while not here.server.draining:
                    await asyncio.sleep(0)
                gate.set()
                assert len(await client.ended()) == size - size // 2
            else:
                with pytest.raises(ConnectionResetError):
                    await client.ended()
            await ended
            assert not here.proxy.open and not here.connections()

    play(scene)


@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_an_upload_under_way_is_served(cls: str) -> None:
    async def scene() -> None:
        a, body = ScriptedBackend("a", answering(OK)), bytes(8 << 20)
        async with world(a) as here:
            client, whole = await here.connect(), request(cls, body)
            await client.send(whole[: -(1 << 20)])
            while not here.proxy.uploads:
                await asyncio.sleep(0)
            here.server.retire()
            await client.send(whole[-(1 << 20) :])
            status, head, _ = await client.read()
            assert status == 200 and LAST in head
            assert len(a.calls) == 1 and len(a.calls[0].body) == len(body)
            assert await client.ended() == b""

    play(scene)


def test_an_upload_that_is_not_whole_when_the_time_is_up_reaches_no_member_whole() -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with world(a) as here:
            client, whole = await here.connect(), request("unsafe", bytes(8 << 20))
            await client.send(whole[: -(1 << 20)])
            while not here.proxy.uploads:
                await asyncio.sleep(0)
            await drain([here.server], 4.0, most=0.0)
            while here.connections():
                await asyncio.sleep(0)
            assert not a.calls and not here.proxy.open

    play(scene)


def test_an_attempt_that_opens_when_the_process_is_told_to_end_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        holder = hold_connects(monkeypatch)
        async with world(a, settings=with_limits()) as here:
            client, holder.on = await here.connect(), True
            await client.send(request("unsafe"))
            await asyncio.wait_for(holder.held.wait(), 10)
            here.server.retire()
            holder.on = False
            holder.gate.set()
            status, head, _ = await client.read()
            assert status == 200 and LAST in head and len(a.calls) == 1

    play(scene)


def test_a_repeat_that_is_due_still_goes() -> None:
    async def scene() -> None:
        told = asyncio.Event()

        async def reset_once_told(call: Call) -> None:
            await told.wait()
            call.reset()

        members = [ScriptedBackend(name, reset_once_told, answering(OK)) for name in ("a", "b")]
        async with world(*members) as here:
            client = await here.connect()
            await client.send(request("keyed"))
            while not any(member.calls for member in members):
                await asyncio.sleep(0)
            here.server.retire()
            told.set()
            for member in members:
                member.scripts = [answering(OK)]
            status, head, _ = await client.read()
            assert status == 200 and LAST in head
            assert sum(len(member.calls) for member in members) == 2

    play(scene)


def test_clients_that_come_again_at_once_are_each_answered_and_closed() -> None:
    """On new connections, up to the end of accepting, and on those that stay open."""

    async def scene() -> None:
        async with world(ScriptedBackend("a", answering(OK))) as here:
            ended = asyncio.ensure_future(drain([here.server], 0.2))
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
                assert status == 200 and LAST in head
                assert await client.ended() == b""
                count += 1
            await ended
            assert count and not here.connections() and not here.proxy.open

    play(scene)
