"""The management address: its calls, its statistics against what clients and members observed, and cordons."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import asynccontextmanager
from typing import Any, AsyncIterator

import pytest
from peers import (
    OK,
    SETTINGS,
    TIMEOUT_S,
    Call,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    resetting,
    run_with_timeout,
    running_proxy,
    silent,
    until_lists,
)

from loadbalancer.deployment import read_deployment
from loadbalancer.discovery.platform_overrides import PlatformOverrides
from loadbalancer.management.calls import ManagementSession
from loadbalancer.management.server import MAX_CALLERS, ManagementServer
from loadbalancer.platform.operations import PATHS, PlatformOperations
from loadbalancer.resource_limits import RateLimitedLogger


class ManagedWorld:
    """A proxy with its peers, and its management address."""

    def __init__(self, here: RunningProxy, address: tuple[str, int], operations: PlatformOperations) -> None:
        self.here, self.address, self.operations = here, address, operations

    async def call(self, method: str, path: str) -> tuple[int, bytes]:
        return await self.raw(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())

    async def raw(self, data: bytes) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body

    async def stats(self) -> dict[str, Any]:
        self.operations._read_at = -1e9  # ignore the cached counts
        status, body = await self.call("GET", "/admin/stats")
        assert status == 200
        box: dict[str, Any] = json.loads(body)
        return box


@asynccontextmanager
async def managed_world(*backends: ScriptedBackend) -> AsyncIterator[ManagedWorld]:
    async with running_proxy(*backends) as here:
        overrides = PlatformOverrides(here.proxy, None, time.time)
        here.proxy.overrides = overrides
        overrides.add_listed(here.proxy.listed)
        classes = read_deployment(SETTINGS).classes
        operations = PlatformOperations(here.proxy, classes, overrides, lambda: True)
        server = ManagementServer(ManagementSession(PATHS, operations), RateLimitedLogger())
        try:
            yield ManagedWorld(here, server.listen(("127.0.0.1", 0)), operations)
        finally:
            server.close()


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        (b"GET /admin/health?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        (b"PUT /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /admin/cordon/a HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"PUT /admin/cordon/never HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"PUT /admin/uncordon/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 200),
        (b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\nGET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        (b"\x00\x01 what\r\n\r\n", 400),
        (b"GET /admin/health HTTP/1.1\r\nX-A: " + b"a" * 20_000, 413),
    ],
)
def test_call_gets_its_status(call: bytes, status: int) -> None:
    async def scene() -> None:
        async with managed_world(ScriptedBackend("a", answering(OK))) as here:
            assert (await here.raw(call))[0] == status

    run_with_timeout(scene)


def test_incomplete_calls_are_closed_for_a_complete_one() -> None:
    async def scene() -> None:
        async with managed_world(ScriptedBackend("a", answering(OK))) as here:
            held = []
            for _ in range(3 * MAX_CALLERS):
                reader, writer = await asyncio.open_connection(*here.address)
                writer.write(b"GET /admin/health HTTP/1.1\r\nHo")
                held.append((reader, writer))
                assert (await here.call("GET", "/admin/health"))[0] == 200
            reader, writer = held[-1]  # the newest one may still complete its call
            writer.write(b"st: a\r\n\r\n")
            assert (await asyncio.wait_for(reader.read(), TIMEOUT_S)).startswith(b"HTTP/1.1 200")
            for _, writer in held:
                writer.close()

    run_with_timeout(scene)


async def half_of_a_long_answer(call: Call) -> None:
    await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
    call.reset()


def test_stats_match_what_clients_and_members_observed() -> None:
    """Successful answers, errors, rejections, resets, and answers that are cut off."""
    scripts = [
        answering(OK),
        answering(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        resetting,
        answering(OK),
        answering(b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
        half_of_a_long_answer,
        answering(OK),
    ]

    async def scene() -> None:
        backends = [ScriptedBackend(name, *scripts) for name in "ab"]
        async with managed_world(*backends) as here:
            observed = {"passed": 0, "dropped": 0, "bad_gateway": 0}
            for number in range(60):
                client = await here.here.connect()
                try:
                    status, _ = await client.ask(request(("safe", "keyed", "unsafe")[number % 3]))
                except (ConnectionError, asyncio.IncompleteReadError):
                    status = 0
                key = {200: "passed", 503: "dropped"}.get(status, "bad_gateway")
                observed[key] += 1
            box = await here.stats()
            for key, count in observed.items():
                assert sum(box["handled"][cls][key] for cls in ("safe", "keyed", "unsafe")) == count, key
            assert observed["passed"] and observed["bad_gateway"]
            assert box["upstream_tries"] == sum(len(backend.calls) for backend in backends)
            assert box["in_progress"] == 0 and box["known_backends"] == 2

    run_with_timeout(scene)


def test_open_requests_and_their_attempts_are_counted() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", silent)
        async with managed_world(backend) as here:
            clients = [await here.here.connect() for _ in range(5)]
            for client in clients:
                await client.send(request("unsafe"))
            await backend.until_called(5)
            await here.here.proxy.until(lambda: here.here.proxy.metrics.open == 5)
            box = await here.stats()
            assert box["in_progress"] == 5
            assert box["upstream_tries"] == sum(here.here.proxy.attempt_counts()) == 5

    run_with_timeout(scene)


def test_cordoned_member_gets_no_requests_until_uncordoned_whatever_lists_contain() -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with managed_world(a, b) as here:
            discovery = here.here.discovery
            await discovery.until_watched()
            client = await here.here.connect()
            for _ in range(2):
                assert (await here.call("PUT", "/admin/cordon/a"))[0] == 200
            assert (await here.stats())["skipped_backends"] == 1
            lists = [(b.entry(),), (a.entry(state="DRAINING"), b.entry()), (a.entry(started_ms=9), b.entry())]
            for version, entries in enumerate(lists, 2):
                await discovery.line(version, *entries, full=True)
                await until_lists(here.here, version)
                before = len(a.calls)
                for _ in range(20):
                    assert (await client.ask(request()))[0] == 200
                assert len(a.calls) == before == 0
            assert (await here.call("PUT", "/admin/uncordon/a"))[0] == 200
            assert (await client.ask(request()))[0] == 200
            assert len(a.calls) == 1  # the next request
            assert (await here.stats())["skipped_backends"] == 0

    run_with_timeout(scene)
