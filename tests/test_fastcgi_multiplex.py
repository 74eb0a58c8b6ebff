"""Several requests at once on one connection to an application that supports multiplexing."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import asynccontextmanager
from pathlib import Path
from typing import AsyncIterator

import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import Client, run_with_timeout
from test_fastcgi_random import random_record

from loadbalancer.fastcgi.cgi import write_answer
from loadbalancer.fastcgi.records import Type, encode, encode_end
from loadbalancer.upstreams import base
from standins.fastcgi import Application, FcgiCall, saying

POOL_OPTIONS = ('protocol = "fastcgi"', "fastcgi = { multiplex = true }")


@asynccontextmanager
async def multiplexing_pool(
    folder: Path, *apps: Application, deadline: str = "4s"
) -> AsyncIterator[DaemonHarness]:
    def text() -> str:
        return LISTENER + route("r", "p", f'deadline = "{deadline}"') + pool("p", apps, *POOL_OPTIONS)  # type: ignore[arg-type]

    async with running_daemon(folder, apps, text) as here:  # type: ignore[arg-type]
        for server in here.daemon.pools["p"].proxy.balancer.endpoints.values():
            server.answered = True
        yield here


class Gate:
    """Records calls by their bodies; each is answered when the test releases it."""

    def __init__(self) -> None:
        self.calls: dict[bytes, FcgiCall] = {}

    async def __call__(self, call: FcgiCall) -> None:
        self.calls[bytes(call.body)] = call
        call.connection.application.notify()

    def release(self, body: bytes) -> None:
        self.calls[body].say(write_answer(200, b"OK", [], body))


async def send_at_once(here: DaemonHarness, app: Application, gate: Gate, count: int) -> list[Client]:
    """Put `count` unsafe requests in flight, after a first one that lets the proxy learn whether it may multiplex."""
    first = await here.connect()
    await first.send(requests_to("/", "POST", b"first"))
    await app.until(lambda: b"first" in gate.calls)
    gate.release(b"first")
    assert (await first.read())[0] == 200
    clients = [await here.connect() for _ in range(count)]
    for number, client in enumerate(clients):
        await client.send(requests_to("/", "POST", b"%d" % number))
    await app.until(lambda: len(gate.calls) == count + 1)
    return clients


@pytest.mark.parametrize("max_requests", [1, 16])
def test_connection_is_multiplexed_only_if_the_application_supports_it(
    max_requests: int, tmp_path: Path
) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=max_requests)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 5)
            assert app.connections == (1 if max_requests > 1 else 5)
            for number in (3, 0, 4, 1, 2):
                gate.release(b"%d" % number)
                assert (await clients[number].read())[2] == b"%d" % number
            proxy = here.daemon.pools["p"].proxy
            assert proxy.budget.held_bytes == 0 and proxy.upstreams.open == app.connections

    run_with_timeout(scene)


def test_broken_connection_fails_each_of_its_requests_once(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app, healthy = Application("a", gate, requests_most=16), Application("well", saying(200, b"x"))
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 4)
            gate.release(b"2")
            assert (await clients[2].read())[0] == 200
            gate.calls[b"0"].die()
            for number in (0, 1, 3):
                assert (await clients[number].read())[0] == 502
            assert len(app.calls) == 5  # none was retried
            proxy = here.daemon.pools["p"].proxy
            assert proxy.upstreams.open == 0 and proxy.budget.held_bytes == 0 and not proxy.open
            assert not healthy.calls

    run_with_timeout(scene)


def test_client_disconnect_aborts_only_its_own_request(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 3)
            clients[1].writer.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: len(proxy.open) == 2)
            for number in (0, 2):
                gate.release(b"%d" % number)
                assert (await clients[number].read())[0] == 200
            assert app.connections == 1
            # The connection is idle once the END_REQUEST of the aborted request was received.
            await here.until(lambda: len(proxy.upstreams.endpoints["a"].idle) == 1)

    run_with_timeout(scene)


def test_timeout_of_one_request_does_not_affect_the_others(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 2)
            proxy = here.daemon.pools["p"].proxy
            request = min(proxy.open.values(), key=lambda r: r.id)
            proxy._attempts.time_out(request.attempts[0])
            assert (await clients[0].read())[0] == 504
            gate.release(b"1")
            assert (await clients[1].read())[0] == 200 and app.connections == 1

    run_with_timeout(scene)


def test_request_that_times_out_in_the_write_buffer_runs_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second effect: its records are sent once the application reads again."""
    connection_made = base.SocketUpstream.connection_made

    def shrink_send_buffer(connection: base.SocketUpstream, transport: asyncio.BaseTransport) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made(connection, transport)

    monkeypatch.setattr(base.SocketUpstream, "connection_made", shrink_send_buffer)

    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 1)
            (connection,) = app.open
            assert connection.transport is not None
            connection.transport.pause_reading()
            proxy = here.daemon.pools["p"].proxy
            for body in (bytes(1 << 20), b"behind it"):
                clients.append(await here.connect())
                await clients[-1].send(requests_to("/", "POST", body))
                await here.until(lambda: len(proxy.open) == len(clients))
            request = max(proxy.open.values(), key=lambda r: r.id)
            proxy._attempts.time_out(request.attempts[0])
            assert (await clients[-1].read())[0] == 504
            connection.transport.resume_reading()
            await app.until(lambda: len(gate.calls) >= 3)  # the long one has passed
            assert app.connections == 1  # no other attempt has opened one

    run_with_timeout(scene)


def test_invalid_answer_on_one_stream_does_not_affect_the_others(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 4)
            gate.calls[b"0"].raw(encode(Type.STDOUT, gate.calls[b"0"].number, b"junk"))
            gate.calls[b"0"].end()
            gate.calls[b"1"].end()
            gate.calls[b"2"].raw(encode_end(gate.calls[b"2"].number, 2))  # OVERLOADED: never ran
            statuses = [(await clients[n].read())[0] for n in range(3)]
            assert statuses == [502, 502, 503]
            gate.release(b"3")
            assert (await clients[3].read())[0] == 200

    run_with_timeout(scene)


def test_connection_is_closed_if_the_application_continues_after_an_abort(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("loadbalancer.upstreams.multiplex.MAX_UNASSIGNED_BYTES", 64 << 10)

    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with multiplexing_pool(tmp_path, app) as here:
            clients = await send_at_once(here, app, gate, 2)
            number = gate.calls[b"0"].number
            clients[0].writer.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: len(proxy.open) == 1)
            gate.calls[b"0"].raw(encode(Type.STDOUT, number, bytes(60_000)) * 3)
            assert (await clients[1].read())[0] == 502
            await here.until(lambda: proxy.upstreams.open == 0)

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", range(25))
def test_random_multiplexing_applications_get_one_answer_and_one_effect_each(
    seed: int, tmp_path: Path
) -> None:
    """Each request gets one answer and has one effect, and no buffer leaks. A random record may fail the other requests
    on its connection, but has no other effect on them."""
    chance = random.Random(seed)
    effects: dict[bytes, int] = {}

    async def send_random_records(call: FcgiCall) -> None:
        effects[bytes(call.body)] = effects.get(bytes(call.body), 0) + 1
        for _ in range(chance.randrange(3)):
            data = random_record(chance, call.number)
            if data[1:2] != bytes((Type.END_REQUEST,)):
                call.raw(data)
        if chance.random() < 0.8:
            call.say(write_answer(200, b"OK", [], bytes(call.body)))
        else:
            call.die()

    async def scene() -> None:
        apps = [Application(f"a{n}", send_random_records, requests_most=16) for n in range(2)]
        async with multiplexing_pool(tmp_path, *apps, deadline="150ms") as here:

            async def ask_once(number: int) -> int:
                client = await here.connect()
                status, body = await client.ask(requests_to("/", "POST", b"%d" % number))
                assert status != 200 or body.endswith(b"%d" % number) or body == b"hi"
                return status

            for turn in range(4):
                statuses = await asyncio.gather(*[ask_once(turn * 10 + n) for n in range(10)])
                assert set(statuses) <= {200, 500, 502, 503, 504}
            assert all(count == 1 for count in effects.values())
            proxy = here.daemon.pools["p"].proxy
            assert not proxy.open and proxy.budget.held_bytes == 0 and not proxy.balancer.requests
            assert not here.heard.count("defect") and not here.heard.count("overdue")

    run_with_timeout(scene)
