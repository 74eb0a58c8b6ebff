"""Slots of clients' connections under load: who stays, who is closed, and that each request is answered once."""

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

from loadbalancer.admission.pressure import STEPS, TRIAL
from loadbalancer.frontends import listener as listener_module

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


async def full(here: Any, share: float) -> list[Client]:
    """Connections that have been answered once, so many that the share of the slots is taken."""
    clients = []
    while len(here.server.connections) < share * here.server.most:
        clients.append(client := await here.connect())
        assert (await client.ask(request()))[0] == 200
    return clients


async def heard(client: Client) -> tuple[int, bytes]:
    """Status and head of the answer to one request."""
    await client.send(request())
    status, head, _ = await client.read()
    return status, head


def note(here: Any, used: bool) -> None:
    """Clients have shown for a while what they do."""
    for _ in range(200):
        here.server.pressure.reuse.note(used)


def test_clients_that_ask_once_and_stay_never_fill_the_slots() -> None:
    """One half of the incident: each asked once and kept its connection, until nobody else could get one."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=256) as here:
            most = here.server.most
            clients, closed = [], 0
            for _ in range(5 * most):
                client = await here.connect()
                status, head = await heard(client)
                assert status == 200
                clients.append(client)
                closed += b"Connection: close" in head
                if b"Connection: close" in head:
                    assert await client.ended() == b""
                    client.writer.close()
            assert closed >= 4 * most and here.server.overflowing == 0
            assert len(here.server.connections) < 0.9 * most

    run_with_timeout(scene)


def test_a_burst_that_asks_ready_and_stays_leaves_room_for_requests() -> None:
    """The other half: hundreds at once ask whether the proxy is ready, and keep their connections."""

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


def test_a_client_that_has_come_back_keeps_its_connection_whatever_presses() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            note(here, True)
            good = await here.connect()
            for _ in range(2):
                assert b"Connection: close" not in (await heard(good))[1]
            await full(here, 0.95)
            note(here, False)
            assert here.server.pressure.number == len(STEPS) - 1
            for _ in range(TRIAL * 3):
                status, head = await heard(good)
                assert status == 200 and b"Connection: close" not in head

    run_with_timeout(scene)


def test_no_answer_closes_while_slots_are_free() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=256) as here:
            note(here, False)
            for _ in range(10):
                client = await here.connect()
                assert b"Connection: close" not in (await heard(client))[1]
            assert len(here.server.connections) == 10 and here.server.pressure.number == 0

    run_with_timeout(scene)


def test_what_was_used_once_makes_room_before_what_was_used_again() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            note(here, True)
            proven = await here.connect()
            for _ in range(2):
                assert (await proven.ask(request()))[0] == 200
            once = await full(here, 1.0)
            new = await here.connect()
            assert (await new.ask(request()))[0] == 200
            assert await once[0].ended() == b""
            assert (await proven.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_one_that_has_just_connected_makes_room_last_but_for_what_was_used_again() -> None:
    """Its first request may be on the way: closing it would lose that one."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            note(here, True)
            young = await here.connect()
            (connection,) = [await first(here)]
            once = await full(here, 1.0)
            connection.since = (
                asyncio.get_running_loop().time() + listener_module.SILENT_S
            )  # as if just connected
            new = await here.connect()
            assert (await new.ask(request()))[0] == 200
            assert await once[0].ended() == b""
            assert (await young.ask(request()))[0] == 200

    run_with_timeout(scene)


async def first(here: RunningProxy) -> Any:
    while not here.server.connections:
        await asyncio.sleep(0)
    return next(iter(here.server.connections))


def test_an_answer_with_a_request_behind_it_does_not_close() -> None:
    """Closing would lose what has come whole already."""

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            note(here, True)
            await full(here, 0.95)
            note(here, False)
            client = await here.connect()
            await client.send(request() * 5)
            answers = [await client.read() for _ in range(5)]
            assert [status for status, _, _ in answers] == [200] * 5
            assert not any(b"Connection: close" in head for _, head, _ in answers)

    run_with_timeout(scene)


def test_idle_times_shrink_with_the_steps_and_reuse_is_measured() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), sockets=128) as here:
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            connection = await first(here)
            note(here, True)
            before = here.server.pressure.reuse.chance
            connection.sweep(connection.since + 1.0)
            connection.sweep(connection.since + 1.1)
            after = here.server.pressure.reuse.chance
            assert after < before
            connection.sweep(connection.since + 1.2)  # counted once
            assert here.server.pressure.reuse.chance == after
            here.server.pressure.measure(1, 1)
            connection.sweep(connection.since + STEPS[-1].idle_s - 0.01)
            assert here.server.connections
            connection.sweep(connection.since + STEPS[-1].idle_s + 0.01)
            assert await client.ended() == b""

    run_with_timeout(scene)
