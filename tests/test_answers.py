"""What an ordinary client hears: every row of the table over sockets, repeats as the operator says, other protocols."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any, Awaitable, Callable

import pytest
from daemons import LISTENER, Ground, ground, pool, requests_to, route
from peers import Call, ScriptedBackend, answering, resetting, silent
from policy_scene import make_balancer
from translated import connect_fcgi

from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.policy.actions import (
    Reject,
    Send,
    SetTimer,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    ClientCancelled,
    EndpointEntry,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.settings import (
    PolicyLimits,
)
from loadbalancer.proxy.final_answers import FINAL_ANSWER_RULES, FRONTEND_ERRORS, PROXY_STATUS_NAME, document
from loadbalancer.streaming.tunnels import TunnelLimits, Tunnels
from standins.member import Member

Scene = Callable[[], Awaitable[Any]]


def run(scene: Scene) -> Any:
    async def bounded() -> Any:
        return await asyncio.wait_for(scene(), 60)

    return asyncio.run(bounded())


def error_in(head: bytes) -> str:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"proxy-status: " + PROXY_STATUS_NAME):
            return line.partition(b"error=")[2].decode()
    return ""


def test_the_docs_hold_the_table() -> None:
    page = Path(__file__).parent.parent / "docs" / "operating" / "answers.md"
    assert document() in page.read_text()


def test_every_row_is_one_way_to_end() -> None:
    assert len({(row.rejected, row.last) for row in FINAL_ANSWER_RULES}) == len(FINAL_ANSWER_RULES)
    assert all(row.status in (0, 400, 502, 503, 504) for row in FINAL_ANSWER_RULES)


# The table over sockets.

OK = answering(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
FULL = answering(b"HTTP/1.1 503 No\r\nX-No: 1\r\nContent-Length: 0\r\n\r\n")
BUSY = answering(b"HTTP/1.1 503 Busy\r\nRetry-After: 9\r\nContent-Length: 4\r\n\r\nbusy")
BROKEN = answering(b"HTTP/1.1 500 Oops\r\nContent-Length: 3\r\n\r\nown")
SHORT = '[[class]]\nname = "c"\naim = "300ms"\ndeadline = "400ms"\nlate_share = 0.0\n'
UNSAFE = SHORT + 'effect = "unsafe"\n'


def text(members: list[Any], *more: str, cls: str = SHORT, keys: tuple[str, ...] = ()) -> str:
    return "\n".join((cls, LISTENER, route("r", "p", 'class = "c"', *keys), pool("p", members, *more)))


@pytest.mark.parametrize("upstream", ["http/1.1", "fastcgi"])
@pytest.mark.parametrize("front", ["http/1.1", "fastcgi"])
@pytest.mark.parametrize(
    "script, method, status, error, body",
    [
        (FULL, "GET", 503, "connection_limit_reached", b""),
        (FULL, "POST", 503, "connection_limit_reached", b""),
        (resetting, "GET", 503, "connection_terminated", b""),
        (resetting, "POST", 502, "connection_terminated", b""),
        (silent, "GET", 503, "http_response_timeout", b""),
        (silent, "POST", 504, "http_response_timeout", b""),
        (BUSY, "GET", 503, "", b"busy"),  # as the member worded it
        (BUSY, "POST", 502, "http_response_incomplete", b""),  # theirs would promise that it has not run
        (BROKEN, "GET", 500, "", b"own"),
        (BROKEN, "POST", 500, "", b"own"),
        (OK, "GET", 200, "", b"ok"),
    ],
)
def test_each_end_over_sockets(
    tmp_path: Path, script: Any, method: str, status: int, error: str, body: bytes, front: str, upstream: str
) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", script)
        member.protocol = upstream
        cls = SHORT if method == "GET" else UNSAFE

        def config() -> str:
            made = text([member], f'protocol = "{upstream}"', 'refusal_header = "X-No"', cls=cls)
            return made.replace('name = "main"', f'name = "main"\nprotocol = "{front}"')

        async with ground(tmp_path, [member], config) as here:
            data = requests_to("/", method, b"x" if method == "POST" else b"")
            if front == "fastcgi":
                client = await connect_fcgi(here.daemon.listeners["main"].address)
                here.clients.append(client)
                await client.send(data)
                got, head, found = await client.read()
            else:
                got, head, found = await here.ask(data)
            assert (got, error_in(head), found) == (status, error, body)
            if method == "POST" and script is not FULL:
                assert len(member.calls) == 1  # what may have run goes nowhere else
            if script is BUSY and method == "GET":
                assert b"Retry-After: 9" in head

    run(scene)


def test_no_connection_no_member_and_a_fronts_own_answers_name_themselves(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", OK)
        keys = ('host = "shop.test"',)
        async with ground(tmp_path, [member], lambda: text([member], keys=keys)) as here:
            await member.stop()
            assert error_in((await here.ask(requests_to()))[1]) == "connection_refused"
            for data, status in (
                (b"GET / HTTP/1.1\r\nHost: else.test\r\n\r\n", 404),
                (b"GET / HTTP/1.1\r\n\r\n", 400),
                (b"TRACE / HTTP/1.1\r\nHost: shop.test\r\n\r\n", 501),
                (b"nonsense\r\n\r\n", 400),
                (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 501),
            ):
                got, head, _ = await here.ask(data)
                assert got in (status, 400) and error_in(head) == FRONTEND_ERRORS[got], data
            here.write(text([member], keys=keys).replace('id = "m"', 'id = "m"\nstate = "draining"'))
            await here.reload()
            assert error_in((await here.ask(requests_to()))[1]) == "destination_unavailable"

    run(scene)


def test_the_best_of_several_goes_out(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [
            ScriptedBackend("a", BUSY),
            ScriptedBackend("b", resetting),
            ScriptedBackend("c", resetting),
        ]
        async with ground(tmp_path, members, lambda: text(members)) as here:
            seen = set()
            for _ in range(6):
                status, _, body = await here.ask(requests_to())
                seen.add((status, body))
            assert seen <= {(503, b"busy"), (503, b"")} and (503, b"busy") in seen

    run(scene)


def test_a_500_is_an_answer_and_counts_against_the_member(tmp_path: Path) -> None:
    async def scene() -> None:
        sick, well = Member("sick"), Member("well")
        sick.behaviour.status = 500
        more = 'limits = { connect_timeout = "20s" }'  # a busy machine may keep either waiting for long
        patient = SHORT.replace("300ms", "20s").replace("400ms", "40s")
        async with ground(tmp_path, [sick, well], lambda: text([sick, well], more, cls=patient)) as here:
            statuses = [(await here.ask(requests_to()))[0] for _ in range(60)]
            assert sick.counts.requests + well.counts.requests == 60  # none was sent twice
            assert statuses.count(500) == sick.counts.requests < 25

    run(scene)


@pytest.mark.parametrize(
    "on, calls", [('["500"]', 3), ('["502"]', 1), ('["connect"]', 1), ("[]", 1), ('["500", "reset"]', 3)]
)
def test_repeats_as_the_operator_says(tmp_path: Path, on: str, calls: int) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, BROKEN) for name in "abc"]
        more = f"repeats = {{ on = {on}, share = 1.0 }}"
        async with ground(tmp_path, members, lambda: text(members, more)) as here:
            assert (await here.ask(requests_to()))[::2] == (500, b"own")
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


def test_nothing_that_an_operator_says_sends_an_unsafe_request_twice(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        more = 'repeats = { on = ["connect", "reset", "timeout", "500"], share = 1.0 }'
        async with ground(tmp_path, members, lambda: text(members, more, cls=UNSAFE)) as here:
            assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 502
            assert sum(len(member.calls) for member in members) == 1

    run(scene)


@pytest.mark.parametrize(
    "pools, own, calls",
    [
        ('on = ["reset"]', 'repeat_on = ["connect"]', 1),
        ("on = []", 'repeat_on = ["reset"]', 3),
        ('on = ["reset"]', "", 3),
    ],
)
def test_a_routes_causes_stand_in_place_of_its_pools(
    tmp_path: Path, pools: str, own: str, calls: int
) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        keys = (own,) if own else ()
        more = f"repeats = {{ {pools}, share = 1.0 }}"
        async with ground(tmp_path, members, lambda: text(members, more, keys=keys)) as here:
            assert (await here.ask(requests_to()))[0] == 503
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


AGAIN = answering(b"HTTP/1.1 500 Oops\r\nX-Again: 1\r\nContent-Length: 3\r\n\r\nown")
NOT_AGAIN = answering(b"HTTP/1.1 503 Busy\r\nX-Again: 0\r\nContent-Length: 4\r\n\r\nbusy")


@pytest.mark.parametrize("upstream", ["http/1.1", "fastcgi"])
@pytest.mark.parametrize(
    "script, method, calls, status",
    [(AGAIN, "GET", 3, 500), (NOT_AGAIN, "GET", 1, 503), (AGAIN, "POST", 1, 500)],
)
def test_a_member_asks_for_another_attempt(
    tmp_path: Path, script: Any, method: str, calls: int, status: int, upstream: str
) -> None:
    """Its header is no business of clients, and makes no unsafe request go twice."""

    async def scene() -> None:
        members = [ScriptedBackend(name, script) for name in "abc"]
        for member in members:
            member.protocol = upstream
        more = f'protocol = "{upstream}"\nrepeats = {{ on = [], header = "X-Again", share = 1.0 }}'
        cls = SHORT if method == "GET" else UNSAFE
        async with ground(tmp_path, members, lambda: text(members, more, cls=cls)) as here:
            got, head, _ = await here.ask(requests_to("/", method, b"x" if method == "POST" else b""))
            assert got == status and b"x-again" not in head.lower()
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


def test_a_copy_goes_out_after_the_time_that_a_share_of_answers_takes() -> None:
    """The quantile follows a class's answers, also those that copies cut short, and no other class's."""
    b = module(hedging=True, hedge_quantile=0.9, hedge_delay=0.3, retry_budget_ratio=1.0)
    now, number, draws = 101.0, 0, random.Random(5)

    def ask() -> tuple[float, str]:
        nonlocal now, number
        now, number = now + 0.01, number + 1
        actions = b.handle(now, [Request(number, 0, 4.0)])
        server = next(a.endpoint for a in actions if isinstance(a, Send))
        return next(a.delay for a in actions if isinstance(a, SetTimer)), server

    assert ask()[0] == 0.3  # as the settings say, while nothing is known
    b.handle(now, [ClientCancelled(number)])
    for _ in range(4000):
        _, server = ask()
        took = draws.uniform(0.0, 0.1)
        b.handle(now + took, [Outcome(number, 0, server, AttemptResult.SERVED, took, True)])
    assert 0.08 < ask()[0] < 0.1
    b.handle(now, [ClientCancelled(number)])
    for _ in range(400):  # now all take longer, and are seen no longer than until the copy has answered
        after, first = ask()
        copies = b.handle(now + after, [TimerFired(number + 1)])
        second = next((a.endpoint for a in copies if isinstance(a, Send)), None)
        if second is None:  # no budget for this one
            b.handle(now + 0.2, [Outcome(number, 0, first, AttemptResult.SERVED, 0.2, True)])
            continue
        b.handle(now + after + 0.01, [Outcome(number, 1, second, AttemptResult.SERVED, 0.01, True)])
        b.handle(now + after + 0.01, [Outcome(number, 0, first, AttemptResult.CANCELLED, after + 0.01)])
    assert ask()[0] > 0.15


def test_a_route_may_allow_fewer_attempts(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        async with ground(tmp_path, members, lambda: text(members, keys=("attempts = 2",))) as here:
            await here.ask(requests_to())
            assert sum(len(member.calls) for member in members) == 2

    run(scene)


@pytest.mark.parametrize(
    "line, words",
    [('on = ["200"]', "'200' is none of"), ('on = ["sometimes"]', "'sometimes' is none of"),
     ('hedge_after = "10ms"', "goes with limits.second_copies"),
     ("hedge_percentile = 95", "goes with limits.second_copies"), ("hedge_percentile = 10", "hedge_percentile"),
     ('attempt_time = "0s"', "a time over 0"),
     ("share = 1.5", "share")],
)  # fmt: skip
def test_repeats_that_can_not_be_are_errors(tmp_path: Path, line: str, words: str) -> None:
    member = Member("m")
    member.address = "127.0.0.1:9"
    path = tmp_path / "c.toml"
    path.write_text(text([member], f"repeats = {{ {line} }}"))
    with pytest.raises(ConfigError) as caught:
        load(path)
    assert words in str(caught.value)


def module(**limits: Any) -> Balancer:
    return make_balancer(
        EndpointEntry("a"), EndpointEntry("b"), limits=PolicyLimits(max_attempts=3, **limits)
    )


def test_the_module_heeds_a_share_of_none_a_time_of_one_attempt_and_silence() -> None:
    b = module(retry_budget_ratio=0.0, attempt_timeout=0.2)
    b.retry_policy.tokens = 0.0
    sent = b.handle(101.0, [Request(1, 0, 4.0)])
    assert [a.timeout for a in sent if isinstance(a, Send)] == [0.2]
    server = next(a.endpoint for a in sent if isinstance(a, Send))
    assert Reject(1) in b.handle(101.1, [Outcome(1, 0, server, AttemptResult.RESET, 0.1)])
    b = module(hedging=True, hedge_delay=0.05)
    timers = [a for a in b.handle(101.0, [Request(1, 0, 4.0)]) if isinstance(a, SetTimer)]
    assert [round(t.delay, 3) for t in timers] == [0.05]


# Other protocols.

UPGRADE = (
    b"GET /chat HTTP/1.1\r\nHost: shop.test\r\nConnection: keep-alive, Upgrade\r\nUpgrade: WebSocket\r\n"
    b"Sec-WebSocket-Key: k\r\n\r\n"
)
SWITCH = b"HTTP/1.1 101 Over\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: s\r\n\r\n"
ALLOWED = ('upgrade = ["websocket"]',)


async def echo(call: Call) -> None:
    """Goes over, and says back what it hears until the end."""
    await call.say(SWITCH + b"early")
    while data := await call.reader.read(1 << 16):
        await call.say(data)
    call.writer.close()


async def head_of(client: Any) -> bytes:
    return bytes(await client.reader.readuntil(b"\r\n\r\n"))


def tunnels(here: Ground) -> Tunnels:
    return here.daemon.pools["p"].proxy.tunnels


def test_bytes_go_both_ways_also_those_behind_the_heads(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", echo)
        async with ground(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(UPGRADE + b"first")
            head = await head_of(client)
            assert head.startswith(b"HTTP/1.1 101 ") and b"Upgrade: websocket\r\n" in head
            assert b"Sec-WebSocket-Accept: s" in head
            assert await client.reader.readexactly(10) == b"earlyfirst"
            sent = (
                b"Upgrade: websocket" in member.calls[0].head
                and b"Connection: Upgrade" in member.calls[0].head
            )
            assert sent and b"Sec-WebSocket-Key: k" in member.calls[0].head
            big = bytes(range(256)) * 8192
            asyncio.ensure_future(client.send(big))
            assert await client.reader.readexactly(len(big)) == big
            assert len(tunnels(here).open) == 1 and not here.daemon.pools["p"].proxy.open
            client.writer.write_eof()
            assert await client.reader.read() == b""
            await here.until(lambda: not tunnels(here).open)
            assert tunnels(here).passed_bytes == [5 + len(big), 10 + len(big)]
            assert here.daemon.pools["p"].proxy.upstreams.open == 0

    run(scene)


@pytest.mark.parametrize(
    "answer, status",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", 200),
        (b"HTTP/1.1 426 Upgrade Required\r\nContent-Length: 0\r\n\r\n", 426),
        (
            b"HTTP/1.1 101 Over\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n",
            503,
        ),  # not what was asked for
        (b"HTTP/1.1 101 Over\r\n\r\n", 503),
    ],
)
def test_a_member_that_does_not_go_over(tmp_path: Path, answer: bytes, status: int) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(answer))
        async with ground(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(UPGRADE)
            assert (await client.read())[0] == status
            await client.send(UPGRADE + b"GET /hidden HTTP/1.1\r\nHost: shop.test\r\n\r\n")
            assert (await client.read())[0] == status
            assert await client.ended() == b""  # what came ahead of the answer is read by nobody
            assert not any(b"/hidden" in call.head for call in member.calls) and not tunnels(here).open

    run(scene)


@pytest.mark.parametrize(
    "request_",
    [UPGRADE.replace(b"WebSocket", b"h2c"), UPGRADE.replace(b"GET", b"HEAD"), UPGRADE.replace(b", Upgrade", b""),
     requests_to("/chat")],
)  # fmt: skip
def test_a_101_that_nobody_asked_for_is_no_answer(tmp_path: Path, request_: bytes) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(SWITCH + b"bytes behind it"))
        async with ground(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(request_)
            assert (await head_of(client)).startswith(b"HTTP/1.1 503 ")
            assert b"pgrade" not in member.calls[0].head and not tunnels(here).open

    run(scene)


def test_one_member_refuses_and_the_next_goes_over(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend("a", resetting), ScriptedBackend("b", echo)]
        async with ground(tmp_path, members, lambda: text(members, keys=ALLOWED)) as here:
            for _ in range(4):
                client = await here.connect()
                await client.send(UPGRADE)
                assert (await head_of(client)).startswith(b"HTTP/1.1 101 ")
            assert len(tunnels(here).open) == 4

    run(scene)


def test_a_client_that_never_reads_is_held_and_then_ended(tmp_path: Path) -> None:
    async def scene() -> None:
        async def flood(call: Call) -> None:
            await call.say(SWITCH)
            while True:
                await call.say(b"x" * 65536)

        member = ScriptedBackend("m", flood)
        more = 'tunnels = { idle = "300ms" }'
        async with ground(tmp_path, [member], lambda: text([member], more, keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(UPGRADE)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await here.until(lambda: tunnels(here).opened_count == 1)
            await here.until(lambda: not tunnels(here).open)
            assert tunnels(here).passed_bytes[1] < 32 << 20

    run(scene)


def test_a_reload_a_drain_and_an_end_tell_tunnels_and_give_them_their_grace(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", echo), ScriptedBackend("b", echo)
        grace = 'tunnels = { grace = "50ms" }'

        def both() -> str:
            return text([a, b], grace, keys=ALLOWED)

        async with ground(tmp_path, [a, b], both) as here:
            clients = []
            for _ in range(40):
                client = await here.connect()
                await client.send(UPGRADE)
                assert (await head_of(client)).startswith(b"HTTP/1.1 101 ")
                clients.append(client)
            before = tunnels(here)
            mine = {t.endpoint for t in before.open}
            assert mine == {"a", "b"}
            await here.reload(both().replace('id = "a"', 'id = "a"\nstate = "draining"'))
            await here.until(lambda: {t.endpoint for t in before.open} == {"b"})
            here.daemon.pools["p"].proxy.cordon("b", True)
            await here.until(lambda: not before.open)
            for client in clients:
                await client.ended()
            here.daemon.pools["p"].proxy.cordon("b", False)
            last = await here.connect()
            await last.send(UPGRADE)
            assert (await head_of(last)).startswith(b"HTTP/1.1 101 ")
            await asyncio.wait_for(here.daemon.end(), 10)
            await last.ended()
            assert not before.open

    run(scene)


def test_past_the_most_no_further_one_is_begun(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", echo)
        more = "tunnels = { most = 1 }"
        async with ground(tmp_path, [member], lambda: text([member], more, keys=ALLOWED)) as here:
            first, second = await here.connect(), await here.connect()
            await first.send(UPGRADE)
            assert b" 101 " in await head_of(first)
            await second.send(UPGRADE)
            assert b" 503 " in await head_of(second)
            assert len(tunnels(here).open) == 1

    run(scene)


class FakeEnd:
    def __init__(self) -> None:
        self.said: list[Any] = []

    def send(self, data: bytes) -> None:
        self.said.append(data)

    def set_reading_paused(self, on: bool) -> None:
        self.said.append(on)

    def finish(self) -> None:
        self.said.append("finish")

    def shut(self) -> None:
        self.said.append("shut")

    def abort(self) -> None:
        self.said.append("abort")


def test_the_times_of_a_tunnel() -> None:
    now = [0.0]
    those = Tunnels(
        TunnelLimits(max_open=3, idle_timeout=10.0, max_lifetime=25.0, drain_timeout=5.0), lambda: now[0]
    )
    client, member = FakeEnd(), FakeEnd()
    tunnel = those.open_tunnel("a", client, member)
    for second in range(0, 25, 8):
        now[0] = float(second)
        tunnel.from_client(b"x")
        those.sweep()
    assert those.open
    now[0] = 25.5
    those.sweep()  # its life is over, though it moves
    assert not those.open and client.said[-1] == member.said[-1] == "abort"
    tunnel.from_endpoint(b"late")
    tunnel.close()
    assert client.said.count("abort") == 1 and b"late" not in client.said
    other = those.open_tunnel("b", client, member)
    those.drain_endpoints({"a"})
    now[0] += 6.0
    those.sweep()
    assert those.open == {other}
    those.drain_endpoints({"b"})
    now[0] += 4.0
    other.from_client(b"still")
    those.sweep()
    assert those.open
    now[0] += 2.0
    those.sweep()
    assert not those.open and not those.is_retired
    those.retire()
    assert not those.has_room()


# What passes each way.

HEAD_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: x\r\n\r\n"
PASSES = [
    # request, what the member must have seen, what it must not; its answer; what the client must see, and must not
    ("RFC 9110 9.3.2 HEAD", requests_to("/", "HEAD"), [b"HEAD / "], [], HEAD_OK,
     [b"Content-Length: 5\r\n", b"ETag: x"], []),
    ("RFC 9110 15.3.5 204 has no body and no length", requests_to(), [], [],
     b"HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", [b" 204 ", b"X-A: 1"], [b"Content-Length", b"Transfer-Encoding"]),
    ("RFC 9110 15.4.5 304 states a length of nothing", requests_to("/", "GET", b"", "If-None-Match: x"),
     [b"If-None-Match: x"], [], b"HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 9\r\n\r\n",
     [b" 304 ", b"ETag: x", b"Content-Length: 9"], []),
    ("RFC 9110 15.2 an interim answer is not the answer", requests_to(), [], [],
     b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
     [b" 200 "], [b"103", b"Link"]),
    ("RFC 9110 7.6.1 headers that Connection names, of a request",
     requests_to("/", "GET", b"", "Connection: close, X-Hop", "X-Hop: 1", "X-End: 2"), [b"X-End: 2"],
     [b"X-Hop", b"Connection:"], b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", [b" 200 "], []),
    ("RFC 9110 7.6.1 headers that Connection names, of an answer", requests_to(), [], [],
     b"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nContent-Length: 2\r\n\r\nok",
     [b"X-End: 2"], [b"X-Hop"]),
    ("RFC 9110 7.6.3 Via, RFC 7239 Forwarded", requests_to("/", "GET", b"", "Forwarded: for=1.2.3.4"),
     [b"Via: 1.1 micastand", b"Forwarded: for=127.0.0.1;host=\"shop.test\";proto=http", b"X-Forwarded-For: 127.0.0.1"],
     [b"1.2.3.4"], b"HTTP/1.1 200 OK\r\nVia: 1.0 theirs\r\nContent-Length: 2\r\n\r\nok", [b"Via: 1.0 theirs"], []),
    ("RFC 9110 10.1.1 Expect is between client and proxy",
     b"POST / HTTP/1.1\r\nHost: shop.test\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", [b"\r\n\r\n"],
     [b"Expect"], b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", [b" 100 "], []),
    ("RFC 9110 6.5 trailers end here",
     b"POST / HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trail: 1\r\n\r\n",
     [b"Content-Length: 1"], [b"X-Trail", b"Transfer-Encoding"],
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trail: 2\r\n\r\n",
     [b"Content-Length: 2"], [b"X-Trail"]),
    ("RFC 9110 7.8 an upgrade that the route does not allow", UPGRADE, [b"GET /chat"], [b"Upgrade:"],
     b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", [b" 200 "], []),
]  # fmt: skip


@pytest.mark.parametrize(
    "what, data, sees, hides, answer, hears, not_hears", PASSES, ids=[row[0] for row in PASSES]
)
def test_what_passes_each_way(
    tmp_path: Path,
    what: str,
    data: bytes,
    sees: list[bytes],
    hides: list[bytes],
    answer: bytes,
    hears: list[bytes],
    not_hears: list[bytes],
) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(answer))
        async with ground(tmp_path, [member], lambda: text([member])) as here:
            client = await here.connect()
            await client.send(data)
            head = await head_of(client)
            seen = (await member.until_called()).head
            for part in sees:
                assert part in seen, (what, seen)
            for part in hides:
                assert part.lower() not in seen.lower(), (what, seen)
            for part in hears:
                assert part in head, (what, head)
            for part in not_hears:
                assert part not in head, (what, head)

    run(scene)


def test_an_error_of_5_mb_whose_time_is_up_is_cut_where_the_client_can_tell(tmp_path: Path) -> None:
    async def scene() -> None:
        async def slow(call: Call) -> None:
            await call.say(b"HTTP/1.1 500 Oops\r\nContent-Length: 5242880\r\n\r\n" + b"x" * 1000)
            await call.left()

        member = ScriptedBackend("m", slow)
        more = 'limits = { answer_stream = "8MiB" }'
        async with ground(tmp_path, [member], lambda: text([member], more)) as here:
            status, head, body = await here.ask(requests_to())
            assert status in (502, 503, 504) and error_in(head) and not body  # nothing of it went out
            assert here.daemon.pools["p"].proxy.upstreams.open == 0

    run(scene)


def test_a_503_to_a_keyed_request_whose_first_attempt_may_have_run_promises_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend("a", resetting, BUSY), ScriptedBackend("b", resetting, BUSY)]
        keyed = SHORT + 'effect = "keyed"\ndedup_scope = "cell"\ndedup_window = "1s"\n'
        async with ground(tmp_path, members, lambda: text(members, cls=keyed)) as here:
            status, head, body = await here.ask(requests_to("/", "POST", b"x", "Idempotency-Key: k"))
            assert (status, body) == (502, b"") and error_in(head)
            assert 1 <= sum(len(member.calls) for member in members) <= 3

    run(scene)
