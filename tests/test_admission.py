"""Connection slots under load: which connections stay open, which are closed, and one answer to each request."""

from __future__ import annotations

import asyncio
from typing import Any

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

from loadbalancer.admission.pressure import STEPS, TRIAL_INTERVAL
from loadbalancer.frontends import listener as listener_module

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


async def fill_slots(here: Any, share: float) -> list[Client]:
    """Open connections, each with one answered request, until they use this share of the slots."""
    clients = []
    while len(here.server.connections) < share * here.server.most:
        clients.append(client := await here.connect())
        assert (await client.ask(request()))[0] == 200
    return clients


async def send_request(client: Client) -> tuple[int, bytes]:
    """Send a request; return the status and head of its answer."""
    await client.send(request())
    status, head, _ = await client.read()
    return status, head


def record_reuse(here: Any, used: bool) -> None:
    """Record for many connections that they were reused, or that they were not."""
    for _ in range(200):
        here.server.pressure.reuse.record(used)


def test_unused_connections_of_single_request_clients_never_fill_the_slots() -> None:
    """Guards against a fault where clients with one request each kept their connections until all slots were used."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=256) as here:
            most = here.server.most
            clients, closed = [], 0
            for _ in range(5 * most):
                client = await here.connect()
                status, head = await send_request(client)
                assert status == 200
                clients.append(client)
                closed += b"Connection: close" in head
                if b"Connection: close" in head:
                    assert await client.ended() == b""
                    client.writer.close()
            assert closed >= 4 * most and here.server.overflowing == 0
            assert len(here.server.connections) < 0.9 * most

    run_with_timeout(scene)


def test_burst_of_idle_readiness_checks_leaves_slots_for_requests() -> None:
    """Guards against the same fault with hundreds of concurrent readiness checks that keep their connections."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=256) as here:
            most = here.server.most

            async def ready() -> int:
                client = await here.connect()
                await client.send(READY)
                return (await client.read())[0]

            async def asked() -> int:
                client = await here.connect()
                status = (await client.ask(request()))[0]
                client.writer.close()
                return status

            answers = await asyncio.gather(*(ready() for _ in range(5 * most)), *(asked() for _ in range(50)))
            assert len(answers) == 5 * most + 50 and set(answers) <= {200, 503}
            assert [await asked() for _ in range(50)] == [200] * 50

    run_with_timeout(scene)


def test_reused_connection_stays_open_at_the_highest_pressure() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            record_reuse(here, True)
            good = await here.connect()
            for _ in range(2):
                assert b"Connection: close" not in (await send_request(good))[1]
            await fill_slots(here, 0.95)
            record_reuse(here, False)
            assert here.server.pressure.number == len(STEPS) - 1
            for _ in range(TRIAL_INTERVAL * 3):
                status, head = await send_request(good)
                assert status == 200 and b"Connection: close" not in head

    run_with_timeout(scene)


def test_no_answer_closes_its_connection_while_slots_are_free() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=256) as here:
            record_reuse(here, False)
            for _ in range(10):
                client = await here.connect()
                assert b"Connection: close" not in (await send_request(client))[1]
            assert len(here.server.connections) == 10 and here.server.pressure.number == 0

    run_with_timeout(scene)


def test_connection_used_once_is_evicted_before_a_reused_one() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            record_reuse(here, True)
            reused = await here.connect()
            for _ in range(2):
                assert (await reused.ask(request()))[0] == 200
            used_once = await fill_slots(here, 1.0)
            new = await here.connect()
            assert (await new.ask(request()))[0] == 200
            assert await used_once[0].ended() == b""
            assert (await reused.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_new_connection_is_evicted_after_idle_ones_used_once() -> None:
    """Its first request may be in flight, and closing the connection would lose it."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            record_reuse(here, True)
            new_client = await here.connect()
            (connection,) = [await first_connection(here)]
            used_once = await fill_slots(here, 1.0)
            connection.since = (
                asyncio.get_running_loop().time() + listener_module.SILENT_S
            )  # as if just connected
            new = await here.connect()
            assert (await new.ask(request()))[0] == 200
            assert await used_once[0].ended() == b""
            assert (await new_client.ask(request()))[0] == 200

    run_with_timeout(scene)


async def first_connection(here: RunningProxy) -> Any:
    while not here.server.connections:
        await asyncio.sleep(0)
    return next(iter(here.server.connections))


def test_answer_does_not_close_a_connection_with_pipelined_requests() -> None:
    """Closing would lose requests that were received whole."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            record_reuse(here, True)
            await fill_slots(here, 0.95)
            record_reuse(here, False)
            client = await here.connect()
            await client.send(request() * 5)
            answers = [await client.read() for _ in range(5)]
            assert [status for status, _, _ in answers] == [200] * 5
            assert not any(b"Connection: close" in head for _, head, _ in answers)

    run_with_timeout(scene)


def test_idle_timeout_shrinks_with_the_steps_and_lack_of_reuse_is_recorded_once() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            connection = await first_connection(here)
            record_reuse(here, True)
            before = here.server.pressure.reuse.probability
            connection.sweep(connection.since + 1.0)
            connection.sweep(connection.since + 1.1)
            after = here.server.pressure.reuse.probability
            assert after < before
            connection.sweep(connection.since + 1.2)  # counted once
            assert here.server.pressure.reuse.probability == after
            here.server.pressure.update(1, 1)
            connection.sweep(connection.since + STEPS[-1].idle_timeout_s - 0.01)
            assert here.server.connections
            connection.sweep(connection.since + STEPS[-1].idle_timeout_s + 0.01)
            assert await client.ended() == b""

    run_with_timeout(scene)
