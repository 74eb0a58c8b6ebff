"""Random peers on both sides of the proxy: whatever records they send, each request has one answer, unsafe ones have
one effect at most, and nothing escapes."""

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


def noise(chance: random.Random, number: int) -> bytes:
    """One record, or bytes that are none."""
    if chance.random() < 0.05:
        return chance.randbytes(chance.randrange(1, 40))
    kind = chance.choice([*Type, Type.STDOUT, Type.END_REQUEST, 0, 12, 255])
    return encode(kind, chance.choice([0, 1, 2, number, number, number]), chance.choice(CONTENTS))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_application(seed: int, tmp_path: Path) -> None:
    chance = random.Random(seed)

    async def mad(call: FcgiCall) -> None:
        for _ in range(chance.randrange(6)):
            data = noise(chance, call.number)
            cut = chance.randrange(len(data) + 1) if chance.random() < 0.2 else len(data)
            call.raw(data[:cut])
        how = chance.random()
        if how < 0.4:
            call.say(write_answer(200, b"OK", [], b"hi"))
        elif how < 0.7:
            call.die()
        else:
            call.connection.close()

    async def scene() -> None:
        apps = [Application(f"a{n}", mad, early=chance.random() < 0.5) for n in range(3)]

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
def test_a_random_web_server(seed: int, tmp_path: Path) -> None:
    """Beside it another one's requests are all served, and what the random one opened leaves nothing."""
    chance = random.Random(seed)

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        text = LISTENER + FCGI + "\n" + route("r", "p")
        async with running_daemon(tmp_path, [backend], lambda: text + pool("p", [backend])) as here:
            address = here.daemon.listeners["main"].address
            good = await WebServer.connect(address)
            for number in range(1, 16):
                mad = await WebServer.connect(address)
                for _ in range(chance.randrange(8)):
                    whole = mad.request(chance.randrange(4), "POST", "/", b"x" * chance.randrange(3))
                    data = whole if chance.random() < 0.4 else noise(chance, chance.randrange(3))
                    mad.writer.write(
                        data[: chance.randrange(len(data) + 1)] if chance.random() < 0.2 else data
                    )
                assert (await good.ask(number)).status == 200
                if chance.random() < 0.5:
                    mad.writer.transport.abort()
                else:
                    mad.close()
            good.close()
            proxy = here.daemon.pools["p"].proxy
            await here.until(lambda: not here.daemon.listeners["main"].connections and not proxy.open)
            assert not here.heard.count("defect")
            assert proxy.budget.held_bytes == 0 and not proxy.balancer.requests

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_records_for_an_unsafe_request_have_one_effect_at_most(seed: int, tmp_path: Path) -> None:
    """Applications that run what they are handed, and never say that they did not."""
    chance = random.Random(seed)
    effects: dict[bytes, int] = {}

    async def mad(call: FcgiCall) -> None:
        await call.body_received.wait()
        effects[bytes(call.body)] = effects.get(bytes(call.body), 0) + 1
        for _ in range(chance.randrange(4)):
            data = noise(chance, call.number)
            if data[1:2] != bytes((Type.END_REQUEST,)):
                call.raw(data)
        if chance.random() < 0.5:
            call.say(write_answer(200, b"OK", [], b"hi"))
        else:
            call.die()

    async def scene() -> None:
        apps = [Application(f"a{n}", mad, early=True) for n in range(3)]

        def text() -> str:
            return LISTENER + route("r", "p", 'deadline = "150ms"') + pool("p", apps, FCGI)  # type: ignore[arg-type]

        async with running_daemon(tmp_path, apps, text) as here:  # type: ignore[arg-type]
            client = await here.connect()
            statuses = [(await client.ask(requests_to("/", "POST", b"%d" % n)))[0] for n in range(20)]
            assert set(statuses) <= {200, 500, 502, 503, 504}
            assert all(count == 1 for count in effects.values())
            assert statuses.count(200) <= len(effects) <= 20

    run_with_timeout(scene)
