"""Which connection makes room for a new one where all slots are taken."""

from __future__ import annotations

import asyncio
import socket

import pytest
from peers import (
    OK,
    Client,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
)

from loadbalancer.frontends import listener as listener_module

#: Seconds for which a connection counts as new, or as just answered, in these scenes: longer than any of them.
LONG_S = 600.0
SOCKETS = 96


async def answered(here: RunningProxy, times: int) -> Client:
    """A client with so many answers on one connection, that keeps it."""
    client = await here.connect()
    for _ in range(times):
        assert (await client.ask(request()))[0] == 200
    return client


def connect_silently(here: RunningProxy, count: int) -> list[socket.socket]:
    """So many connections that say nothing, all in the kernel before the listener accepts the first one."""
    return [socket.create_connection(here.address) for _ in range(count)]


def close_all(crowd: list[socket.socket]) -> None:
    for sock in crowd:
        sock.close()


# Guards against a request that is lost as its connection makes room for one that has said nothing.
@pytest.mark.parametrize("times", [1, 2])
def test_a_client_that_was_just_answered_outlasts_a_crowd_that_says_nothing(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "SILENT_S", LONG_S)
    monkeypatch.setattr(listener_module, "RECENT_S", LONG_S, raising=False)

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=SOCKETS) as here:
            client = await answered(here, times)
            for _ in range(2 * here.server.most):
                await here.connect()
            assert here.server.taken <= here.server.most
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


# Guards against a request that is lost as its connection makes room for one of many that connect in the same moment.
@pytest.mark.parametrize("times", [1, 2])
def test_a_client_that_was_just_answered_outlasts_a_crowd_that_is_accepted_at_one_go(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "RECENT_S", LONG_S, raising=False)

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=SOCKETS) as here:
            client = await answered(here, times)
            crowd = connect_silently(here, 2 * here.server.most)
            while here.server.taken < here.server.most:
                await asyncio.sleep(0)
            assert (await client.ask(request()))[0] == 200
            close_all(crowd)

    run_with_timeout(scene)
