"""Several requests at once on one connection to an application, where it says that it takes them."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from pathlib import Path
from typing import AsyncIterator

import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import Client, run_with_timeout
from test_fastcgi_random import noise

from loadbalancer.fastcgi.cgi import write_answer
from loadbalancer.fastcgi.records import Type, encode, encode_end
from standins.fastcgi import Application, FcgiCall, saying

MORE = ('protocol = "fastcgi"', "fastcgi = { multiplex = true }")


@asynccontextmanager
async def over(folder: Path, *apps: Application, deadline: str = "4s") -> AsyncIterator[DaemonHarness]:
    def text() -> str:
        return LISTENER + route("r", "p", f'deadline = "{deadline}"') + pool("p", apps, *MORE)  # type: ignore[arg-type]

    async with running_daemon(folder, apps, text) as here:  # type: ignore[arg-type]
        for server in here.daemon.pools["p"].proxy.balancer.endpoints.values():
            server.answered = True
        yield here


class Gate:
    """Holds every request until the test lets it go, by its body."""

    def __init__(self) -> None:
        self.calls: dict[bytes, FcgiCall] = {}

    async def __call__(self, call: FcgiCall) -> None:
        self.calls[bytes(call.body)] = call
        call.connection.application.notify()

    def let(self, body: bytes) -> None:
        self.calls[body].say(write_answer(200, b"OK", [], body))


async def several(here: DaemonHarness, app: Application, gate: Gate, count: int) -> list[Client]:
    """As many unsafe requests, all out at once; a first one tells the proxy what the application takes."""
    first = await here.connect()
    await first.send(requests_to("/", "POST", b"first"))
    await app.until(lambda: b"first" in gate.calls)
    gate.let(b"first")
    assert (await first.read())[0] == 200
    clients = [await here.connect() for _ in range(count)]
    for number, client in enumerate(clients):
        await client.send(requests_to("/", "POST", b"%d" % number))
    await app.until(lambda: len(gate.calls) == count + 1)
    return clients


@pytest.mark.parametrize("most", [1, 16])
def test_one_connection_carries_several_only_where_the_application_says_so(most: int, tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=most)
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 5)
            assert app.connections == (1 if most > 1 else 5)
            for number in (3, 0, 4, 1, 2):
                gate.let(b"%d" % number)
                assert (await clients[number].read())[2] == b"%d" % number
            proxy = here.daemon.pools["p"].proxy
            assert proxy.budget.held_bytes == 0 and proxy.upstreams.open == app.connections

    run_with_timeout(scene)


def test_a_connection_that_breaks_ends_each_request_once(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app, well = Application("a", gate, requests_most=16), Application("well", saying(200, b"x"))
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 4)
            gate.let(b"2")
            assert (await clients[2].read())[0] == 200
            gate.calls[b"0"].die()
            for number in (0, 1, 3):
                assert (await clients[number].read())[0] == 502
            assert len(app.calls) == 5  # none went again
            proxy = here.daemon.pools["p"].proxy
            assert proxy.upstreams.open == 0 and proxy.budget.held_bytes == 0 and not proxy.open
            assert not well.calls

    run_with_timeout(scene)


def test_a_client_that_leaves_aborts_its_own_request_alone(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 3)
            clients[1].writer.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: len(proxy.open) == 2)
            for number in (0, 2):
                gate.let(b"%d" % number)
                assert (await clients[number].read())[0] == 200
            assert app.connections == 1
            await here.until(
                lambda: len(proxy.upstreams.endpoints["a"].idle) == 1
            )  # its END_REQUEST has come

    run_with_timeout(scene)


def test_a_request_that_times_out_leaves_the_others_alone(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 2)
            proxy = here.daemon.pools["p"].proxy
            request = min(proxy.open.values(), key=lambda r: r.id)
            proxy._attempts.time_out(request.attempts[0])
            assert (await clients[0].read())[0] == 504
            gate.let(b"1")
            assert (await clients[1].read())[0] == 200 and app.connections == 1

    run_with_timeout(scene)


def test_what_is_spoilt_on_one_stream_is_its_own(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 4)
            gate.calls[b"0"].raw(encode(Type.STDOUT, gate.calls[b"0"].number, b"junk"))
            gate.calls[b"0"].end()
            gate.calls[b"1"].end()
            gate.calls[b"2"].raw(encode_end(gate.calls[b"2"].number, 2))  # OVERLOADED: never ran
            statuses = [(await clients[n].read())[0] for n in range(3)]
            assert statuses == [502, 502, 503]
            gate.let(b"3")
            assert (await clients[3].read())[0] == 200

    run_with_timeout(scene)


def test_an_application_that_goes_on_after_an_abort_is_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("loadbalancer.upstreams.multiplex.USELESS_MOST", 64 << 10)

    async def scene() -> None:
        gate = Gate()
        app = Application("a", gate, requests_most=16)
        async with over(tmp_path, app) as here:
            clients = await several(here, app, gate, 2)
            number = gate.calls[b"0"].number
            clients[0].writer.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: len(proxy.open) == 1)
            gate.calls[b"0"].raw(encode(Type.STDOUT, number, bytes(60_000)) * 3)
            assert (await clients[1].read())[0] == 502
            await here.until(lambda: proxy.upstreams.open == 0)

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", range(25))
def test_random_applications_that_multiplex(seed: int, tmp_path: Path) -> None:
    """One answer each, one effect each, nothing held; the others on a trunk may fail with a mad one, and no more."""
    chance = random.Random(seed)
    effects: dict[bytes, int] = {}

    async def mad(call: FcgiCall) -> None:
        effects[bytes(call.body)] = effects.get(bytes(call.body), 0) + 1
        for _ in range(chance.randrange(3)):
            data = noise(chance, call.number)
            if data[1:2] != bytes((Type.END_REQUEST,)):
                call.raw(data)
        if chance.random() < 0.8:
            call.say(write_answer(200, b"OK", [], bytes(call.body)))
        else:
            call.die()

    async def scene() -> None:
        apps = [Application(f"a{n}", mad, requests_most=16) for n in range(2)]
        async with over(tmp_path, *apps, deadline="150ms") as here:

            async def one(number: int) -> int:
                client = await here.connect()
                status, body = await client.ask(requests_to("/", "POST", b"%d" % number))
                assert status != 200 or body.endswith(b"%d" % number) or body == b"hi"
                return status

            for turn in range(4):
                statuses = await asyncio.gather(*[one(turn * 10 + n) for n in range(10)])
                assert set(statuses) <= {200, 500, 502, 503, 504}
            assert all(count == 1 for count in effects.values())
            proxy = here.daemon.pools["p"].proxy
            assert not proxy.open and proxy.budget.held_bytes == 0 and not proxy.balancer.requests
            assert not here.heard.count("defect") and not here.heard.count("overdue")

    run_with_timeout(scene)
