"""Random FastCGI peers on both sides of the proxy: each request gets one answer, unsafe requests have one effect at
most, and nothing leaks, whatever records are sent."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from daemons import LISTENER, pool, requests_to, route, running_daemon
from peers import ScriptedBackend, answering, run_with_timeout

from loadbalancer.fastcgi.cgi import write_answer
from loadbalancer.fastcgi.records import Type, encode, encode_begin, encode_end
from standins.fastcgi import Application, FcgiCall, WebServer

FCGI = 'protocol = "fastcgi"'
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
CONTENTS = [
    b"",
    b"x",
    bytes(8),
    write_answer(200, b"OK", [], b"hi"),
    b"Status: 500\r\n\r\n",
    encode_end(1)[8:16],
    encode_end(1, 2)[8:16],
    encode_begin(1, True)[8:16],
    b"\x03\x01a",
]
SEEDS = range(25)


def random_record(chance: random.Random, number: int) -> bytes:
    """Return a random record, or random bytes."""
    if chance.random() < 0.05:
        return chance.randbytes(chance.randrange(1, 40))
    kind = chance.choice([*Type, Type.STDOUT, Type.END_REQUEST, 0, 12, 255])
    return encode(kind, chance.choice([0, 1, 2, number, number, number]), chance.choice(CONTENTS))


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_to_random_applications_get_one_answer(seed: int, tmp_path: Path) -> None:
    chance = random.Random(seed)

    async def send_random_records(call: FcgiCall) -> None:
        for _ in range(chance.randrange(6)):
            data = random_record(chance, call.number)
            cut = chance.randrange(len(data) + 1) if chance.random() < 0.2 else len(data)
            call.raw(data[:cut])
        ending = chance.random()
        if ending < 0.4:
            call.say(write_answer(200, b"OK", [], b"hi"))
        elif ending < 0.7:
            call.die()
        else:
            call.connection.close()

    async def scene() -> None:
        apps = [Application(f"a{n}", send_random_records, early=chance.random() < 0.5) for n in range(3)]

        def text() -> str:
            return LISTENER + route("r", "p", 'deadline = "150ms"') + pool("p", apps, FCGI)  # type: ignore[arg-type]

        async with running_daemon(tmp_path, apps, text) as here:  # type: ignore[arg-type]
            client = await here.connect()
            for number in range(30):
                status, _ = await client.ask(requests_to("/", "POST", b"%d" % number))
                assert status in (200, 500, 502, 503, 504)
            assert not here.heard.count("defect") and not here.heard.count("overdue")
            proxy = here.daemon.pools["p"].proxy
            assert not proxy.open and proxy.budget.held_bytes == 0 and not proxy.balancer.requests
            assert proxy.upstreams.open == sum(len(b.idle) for b in proxy.upstreams.endpoints.values())

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_web_server_does_not_disturb_another_one(seed: int, tmp_path: Path) -> None:
    """The requests of another web server are all served, and the random one leaves no request or buffer behind."""
    chance = random.Random(seed)

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        text = LISTENER + FCGI + "\n" + route("r", "p")
        async with running_daemon(tmp_path, [backend], lambda: text + pool("p", [backend])) as here:
            address = here.daemon.listeners["main"].address
            good = await WebServer.connect(address)
            for number in range(1, 16):
                send_random_records = await WebServer.connect(address)
                for _ in range(chance.randrange(8)):
                    whole = send_random_records.request(
                        chance.randrange(4), "POST", "/", b"x" * chance.randrange(3)
                    )
                    data = whole if chance.random() < 0.4 else random_record(chance, chance.randrange(3))
                    send_random_records.writer.write(
                        data[: chance.randrange(len(data) + 1)] if chance.random() < 0.2 else data
                    )
                assert (await good.ask(number)).status == 200
                if chance.random() < 0.5:
                    send_random_records.writer.transport.abort()
                else:
                    send_random_records.close()
            good.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: not here.daemon.listeners["main"].connections and not proxy.open)
            assert not here.heard.count("defect")
            assert proxy.budget.held_bytes == 0 and not proxy.balancer.requests

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", SEEDS)
def test_unsafe_requests_to_random_applications_have_one_effect_at_most(seed: int, tmp_path: Path) -> None:
    """Applications run every request that they receive, and never claim that they did not."""
    chance = random.Random(seed)
    effects: dict[bytes, int] = {}

    async def send_random_records(call: FcgiCall) -> None:
        await call.body_received.wait()
        effects[bytes(call.body)] = effects.get(bytes(call.body), 0) + 1
        for _ in range(chance.randrange(4)):
            data = random_record(chance, call.number)
            if data[1:2] != bytes((Type.END_REQUEST,)):
                call.raw(data)
        if chance.random() < 0.5:
            call.say(write_answer(200, b"OK", [], b"hi"))
        else:
            call.die()

    async def scene() -> None:
        apps = [Application(f"a{n}", send_random_records, early=True) for n in range(3)]

        def text() -> str:
            return LISTENER + route("r", "p", 'deadline = "150ms"') + pool("p", apps, FCGI)  # type: ignore[arg-type]

        async with running_daemon(tmp_path, apps, text) as here:  # type: ignore[arg-type]
            client = await here.connect()
            statuses = [(await client.ask(requests_to("/", "POST", b"%d" % n)))[0] for n in range(20)]
            assert set(statuses) <= {200, 500, 502, 503, 504}
            assert all(count == 1 for count in effects.values())
            assert statuses.count(200) <= len(effects) <= 20

    run_with_timeout(scene)
