"""Memory that peers make the process hold: what is counted, who waits, who is refused, and who goes first."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from peers import (
    OK,
    Call,
    RunningProxy,
    Script,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
)

from benchmarks.crowds import play
from loadbalancer.frontends import http1, http1_input
from loadbalancer.frontends.connection import FrontConnection
from loadbalancer.frontends.listener import SILENT_S
from loadbalancer.frontends.memory_reclaimer import MIN_IDLE_S, MemoryReclaimer
from loadbalancer.memory_account import BufferBudget, MemoryAccount
from loadbalancer.policy.events import AttemptResult
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits
from loadbalancer.upstreams.base import BODY_PART_BYTES
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from standins.platform_run import Limits

LARGE_HEAD = [f"X-Field-{number}: {'v' * 40}" for number in range(100)]


def test_account_counts_what_all_budgets_hold_and_reports_when_it_is_full() -> None:
    account, calls = MemoryAccount(1_000), list[int]()
    account.on_full = lambda: calls.append(account.held_bytes)
    first, second = BufferBudget(1_000, account), BufferBudget(1_000, account)
    first.charge(500)
    second.charge(500)
    assert not calls and account.is_tight and not account.is_full
    assert second.try_acquire_upload(1)
    assert calls == [1_001] and account.is_full and not account.is_overdrawn
    assert not first.try_acquire_upload(1) and first.held_bytes == 500
    first.charge(200)
    assert account.is_overdrawn
    first.release(700)
    second.release(501)
    assert account.held_bytes == 0 and account.peak_bytes == 1_201


class IdleConnection:
    """A connection that holds bytes and has been idle for some time."""

    def __init__(self, account: MemoryAccount, idle_s: float, held_bytes: int) -> None:
        self.account, self.idle_s, self.held_bytes = account, idle_s, held_bytes
        account.charge(held_bytes)

    def idle_for_s(self, now: float) -> float:
        return self.idle_s

    def reclaimable_bytes(self) -> int:
        return self.held_bytes

    def evict_for_memory(self) -> str:
        self.account.release(self.held_bytes)
        self.held_bytes = 0
        return "idle"


def test_reclaimer_ends_the_idlest_connections_and_none_that_is_moving() -> None:
    async def scene() -> None:
        account = MemoryAccount(1_000)
        connections = [IdleConnection(account, idle_s, 300) for idle_s in (1.0, 3.0, 2.0)]
        moving = IdleConnection(account, MIN_IDLE_S / 2, 50)
        all_connections = cast("list[FrontConnection]", [*connections, moving])
        reclaimer = MemoryReclaimer(account, lambda: all_connections, RateLimitedLogger())
        account.charge(200)
        assert account.is_full
        await asyncio.sleep(0)
        assert [connection.held_bytes for connection in connections] == [300, 0, 300]
        account.charge(1_000)
        await asyncio.sleep(0)
        assert [connection.held_bytes for connection in connections] == [0, 0, 0] and moving.held_bytes
        reclaimer.close()
        account.charge(1_000)
        await asyncio.sleep(0)
        assert moving.held_bytes

    run_with_timeout(scene)


def test_request_with_too_many_fields_is_refused() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            lines = ["a:"] * http1_input.MAX_FIELDS
            assert (await client.ask(request("safe", None, "4000m", *lines)))[0] == 431
            assert not backend.calls

    run_with_timeout(scene)


def test_answer_with_too_many_fields_is_not_held() -> None:
    async def scene() -> None:
        head = b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 1_000 + b"Content-Length: 2\r\n\r\nhi"
        async with running_proxy(ScriptedBackend("a", answering(head))) as here:
            client = await here.connect()
            assert (await client.ask(request("unsafe")))[0] == 502
            assert here.proxy.outcomes()[0].result == AttemptResult.RESET

    run_with_timeout(scene)


async def until_charged(here: RunningProxy, least: int) -> None:
    while here.server.account.held_bytes < least:
        await asyncio.sleep(0)


@pytest.mark.parametrize("ends", ["answered", "left"])
def test_large_head_is_charged_until_its_request_is_over(ends: str) -> None:
    async def scene() -> None:
        goes_on = asyncio.Event()

        async def script(call: Call) -> None:
            await goes_on.wait()
            await call.say(OK)

        backend = ScriptedBackend("a", script)
        async with running_proxy(backend) as here:
            client = await here.connect()
            await client.send(request("safe", None, "4000m", *LARGE_HEAD))
            await backend.until_called()
            await until_charged(here, 100 * 40)
            if ends == "answered":
                goes_on.set()
                assert (await client.read())[0] == 200
                assert here.connections()[0].head.field_count == 0
            else:
                client.writer.transport.abort()
            while here.server.account.held_bytes:
                await asyncio.sleep(0)

    run_with_timeout(scene)


def test_incomplete_request_is_refused_when_memory_is_overdrawn() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK))) as here:
            client = await here.connect()
            here.server.account.resize(1_000)
            head = request("safe", None, "4000m", *LARGE_HEAD)
            assert (await client.ask(head[:-2]))[0] == 503
            assert await client.ended() == b""
            here.server.account.resize(1_000_000)
            after = await here.connect()
            assert await after.ask(request()) == (200, b"hi")

    run_with_timeout(scene)


def test_new_request_is_refused_and_may_come_again_when_memory_is_overdrawn() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            here.server.account.resize(1_000)
            here.server.account.charge(2_000)
            await client.send(request("unsafe"))
            status, head, _ = await client.read()
            assert status == 503 and b"Retry-After" in head and not backend.calls
            here.server.account.release(2_000)
            assert await client.ask(request("unsafe")) == (200, b"hi")

    run_with_timeout(scene)


def test_short_answer_is_streamed_at_once_when_memory_is_tight() -> None:
    async def scene() -> None:
        goes_on = asyncio.Event()

        async def script(call: Call) -> None:
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
            await goes_on.wait()
            await call.say(b"cd")

        async with running_proxy(ScriptedBackend("a", script)) as here:
            account = here.proxy.budget.account
            account.charge(account.max_bytes)
            client = await here.connect()
            await client.send(request())
            await here.proxy.until(lambda: here.proxy.streams)
            goes_on.set()
            status, _, body = await client.read()
            assert (status, body) == (200, b"abcd")

    run_with_timeout(scene)


def test_pipelined_request_waits_until_the_answer_before_it_is_read() -> None:
    async def scene() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000)
        backend = ScriptedBackend("a", answering(large))
        async with running_proxy(backend) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            connection = await only_connection(here)
            while not connection.blocked_since:
                if not connection.waiting and not connection.request:
                    await client.send(request())
                await asyncio.sleep(0)
            calls = len(backend.calls)
            assert 0 < here.server.account.held_bytes <= 60_000 + 200
            await client.send(request())
            while not connection.waiting:
                await asyncio.sleep(0)
            assert len(backend.calls) == calls and connection.request is None
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(calls + 1):
                assert (await client.read())[0] == 200
            assert here.server.account.held_bytes == 0

    run_with_timeout(scene)


async def only_connection(here: RunningProxy) -> http1.ClientConnection:
    while not here.connections():
        await asyncio.sleep(0)
    return here.connections()[0]


def test_client_that_does_not_read_is_ended_for_memory() -> None:
    async def scene() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000)
        async with running_proxy(ScriptedBackend("a", answering(large))) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await client.send(request())
            connection = await only_connection(here)
            while not connection.blocked_since:
                await asyncio.sleep(0)
            assert connection.reclaimable_bytes() == here.server.account.held_bytes > 0
            connection.evict_for_memory()
            assert here.server.account.held_bytes == 0
            await here.proxy.until(lambda: not here.proxy.open)

    run_with_timeout(scene)


def test_answer_that_is_ended_for_memory_does_not_look_whole_to_an_http_1_0_client() -> None:
    async def scene() -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        async with running_proxy(ScriptedBackend("a", answering(head + bytes(8_000_000)))) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await client.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            connection = await only_connection(here)
            while not connection.blocked_since:
                await asyncio.sleep(0)
            connection.evict_for_memory()
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            with pytest.raises(ConnectionResetError):
                await client.ended()

    run_with_timeout(scene)


class HeldMember(ScriptedBackend):
    """A member that reads nothing until `goes_on` is set."""

    def __init__(self, name: str, script: Script) -> None:
        super().__init__(name, script)
        self.goes_on = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self.goes_on.wait()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await super()._serve(reader, writer)


def test_long_body_is_written_without_a_copy_of_the_whole() -> None:
    async def scene() -> None:
        member, size = HeldMember("a", answering(OK)), 3_000_000
        async with running_proxy(member) as here:
            client = await here.connect()
            client.writer.write(request("unsafe", bytes(size)))
            await here.proxy.until(lambda: here.proxy.open)
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            while attempt.connection is None:
                await asyncio.sleep(0)
            connection = cast(Http1UpstreamConnection, attempt.connection)
            assert connection.transport is not None and connection.is_unsent()
            assert connection.transport.get_write_buffer_size() <= BODY_PART_BYTES
            member.goes_on.set()
            assert (await client.read())[0] == 200
            assert len(member.calls[0].body) == size

    run_with_timeout(scene)


@pytest.mark.parametrize("ends", ["answered", "client left"])
def test_bytes_that_wait_for_a_member_are_charged_until_they_have_left(ends: str) -> None:
    """Guards against write buffers of members that nobody counts, so that only the platform notices what they hold."""

    async def scene() -> None:
        body = bytes(3_000_000)
        member = HeldMember("a", answering(OK))
        async with running_proxy(member) as here:
            client = await here.connect()
            client.writer.write(request("unsafe", body))
            await here.proxy.until(lambda: here.proxy.open)
            (attempt,) = next(iter(here.proxy.open.values())).attempts
            while attempt.connection is None:
                await asyncio.sleep(0)
            transport = cast(Http1UpstreamConnection, attempt.connection).transport
            assert transport is not None
            buffered_bytes = transport.get_write_buffer_size()
            assert buffered_bytes and here.proxy.budget.account.held_bytes == len(body) + buffered_bytes
            member.goes_on.set()
            if ends == "answered":
                assert (await client.read())[0] == 200
            else:
                client.writer.transport.abort()
                await here.proxy.until(lambda: not here.proxy.open)
            assert here.proxy.budget.account.held_bytes == 0

    run_with_timeout(scene)


def test_new_clients_find_slots_while_answered_ones_linger() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("a", answering(OK)), sockets=60) as here:
            while here.server.taken < here.server.most - 1:
                client = await here.connect()
                assert (await client.ask(b"GARBAGE\r\n\r\n"))[0] == 400
                (connection,) = [each for each in here.connections() if each.discarded == 0]
                connection._set_reading(False)
                connection.discarded = 1
                client.writer.write(b"more")
                while not connection._peek():
                    await asyncio.sleep(0)
                connection.since -= SILENT_S
            first = await here.connect()
            while here.server.taken < here.server.most:
                await asyncio.sleep(0)
            second = await here.connect()
            assert await second.ask(request()) == (200, b"hi")
            assert await first.ask(request()) == (200, b"hi")

    run_with_timeout(scene)


@pytest.mark.parametrize("memory_mb", [40, 64, 192])
@pytest.mark.parametrize("sockets", [384, 1024])
def test_limits_leave_a_margin_whatever_connections_there_are(memory_mb: int, sockets: int) -> None:
    limits = ResourceLimits(memory_mb, sockets)
    connections = limits.client_sockets + limits.overflow_sockets + limits.backend_sockets
    assert 0 < limits.buffered <= (memory_mb * 0.9 - 28) * (1 << 20)
    assert connections <= sockets
    assert 4 << 10 <= limits.kernel_buffers.receive_bytes <= 32 << 10


CROWDS = [
    ("6,000 fields", Limits(64, 1024)),
    ("250 fields of 50 bytes", Limits(40, 1024)),
    ("2 MB in chunks read slowly", Limits(64, 1024)),
    ("200 KB read slowly", Limits(40, 384)),
    ("3 MB to slow members", Limits(64, 1024)),
    ("a third each", Limits(64, 1024)),
]


@pytest.mark.parametrize(("name", "limits"), CROWDS, ids=lambda value: str(value))
def test_crowd_does_not_push_a_process_over_its_memory_limit(name: str, limits: Limits) -> None:
    async def scene() -> None:
        clients = min(400, limits.sockets // 3)
        outcome = await play(name, limits, clients, 3.0)
        assert not outcome.problems(limits)
        assert outcome.statuses[200] > 0

    run_with_timeout(scene)
