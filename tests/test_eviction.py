"""Which connection is evicted for a new one when all slots are used."""

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

#: Seconds for which a connection counts as new or as just answered in these tests: longer than any of them runs.
LONG_S = 600.0
SOCKETS = 96


async def connect_and_request(here: RunningProxy, times: int) -> Client:
    """Return a client whose open connection has carried this many requests and answers."""
    client = await here.connect()
    for _ in range(times):
        assert (await client.ask(request()))[0] == 200
    return client


def connect_silently(here: RunningProxy, count: int) -> list[socket.socket]:
    """Open connections that send nothing, all of them before the listener accepts the first one."""
    return [socket.create_connection(here.address) for _ in range(count)]


def close_all(silent_sockets: list[socket.socket]) -> None:
    for sock in silent_sockets:
        sock.close()


# Guards against a request that is lost because its connection is evicted for one that has sent nothing.
@pytest.mark.parametrize("times", [1, 2])
def test_just_answered_connection_is_not_evicted_for_silent_ones(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "SILENT_S", LONG_S)
    monkeypatch.setattr(listener_module, "RECENT_S", LONG_S, raising=False)

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=SOCKETS) as here:
            client = await connect_and_request(here, times)
            for _ in range(2 * here.server.most):
                await here.connect()
            assert here.server.taken <= here.server.most
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


# Guards against a request that is lost because its connection is evicted for one of many that connect at the same time.
@pytest.mark.parametrize("times", [1, 2])
def test_just_answered_connection_is_not_evicted_for_silent_ones_accepted_in_one_pass(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "RECENT_S", LONG_S, raising=False)

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=SOCKETS) as here:
            client = await connect_and_request(here, times)
            silent_sockets = connect_silently(here, 2 * here.server.most)
            while here.server.taken < here.server.most:
                await asyncio.sleep(0)
            assert (await client.ask(request()))[0] == 200
            close_all(silent_sockets)

    run_with_timeout(scene)
