"""Answers to ordinary clients over sockets: final answers, configured retries, tunnels and headers."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any, Awaitable, Callable, cast

import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import TIMEOUT_S, Call, ScriptedBackend, answering, resetting, silent
from policy_scene import make_balancer
from translated import connect_fcgi

from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.kernel_buffers import MIN_RECEIVE_BYTES, KernelBuffers
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
from loadbalancer.upstreams.base import SocketUpstream
from standins.member import Member

Scene = Callable[[], Awaitable[Any]]
#: Bytes sent behind a request to switch, more than the kernel's buffers hold.
EARLY_BYTES = 4 << 20


def run(scene: Scene) -> Any:
    """Run a test coroutine with a time limit."""

    async def bounded() -> Any:
        return await asyncio.wait_for(scene(), 60)

    return asyncio.run(bounded())


def proxy_status_error(head: bytes) -> str:
    """Return the error in the proxy's own Proxy-Status header; empty if there is none."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"proxy-status: " + PROXY_STATUS_NAME):
            return line.partition(b"error=")[2].decode()
    return ""


def test_the_documentation_contains_the_table() -> None:
    page = Path(__file__).parent.parent / "docs" / "operating" / "answers.md"
    assert document() in page.read_text()


def test_rows_of_the_table_are_unique_with_allowed_statuses() -> None:
    assert len({(row.rejected, row.last) for row in FINAL_ANSWER_RULES}) == len(FINAL_ANSWER_RULES)
    assert all(row.status in (0, 400, 502, 503, 504) for row in FINAL_ANSWER_RULES)


# The table of final answers, over sockets.

OK = answering(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
REFUSING = answering(b"HTTP/1.1 503 No\r\nX-No: 1\r\nContent-Length: 0\r\n\r\n")
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
        (REFUSING, "GET", 503, "connection_limit_reached", b""),
        (REFUSING, "POST", 503, "connection_limit_reached", b""),
        (resetting, "GET", 503, "connection_terminated", b""),
        (resetting, "POST", 502, "connection_terminated", b""),
        (silent, "GET", 503, "http_response_timeout", b""),
        (silent, "POST", 504, "http_response_timeout", b""),
        (BUSY, "GET", 503, "", b"busy"),  # as the member worded it
        # The member's 503 would promise that the request has not run.
        (BUSY, "POST", 502, "http_response_incomplete", b""),
        (BROKEN, "GET", 500, "", b"own"),
        (BROKEN, "POST", 500, "", b"own"),
        (OK, "GET", 200, "", b"ok"),
    ],
)
def test_the_final_answer_follows_the_result_of_the_attempt(
    tmp_path: Path, script: Any, method: str, status: int, error: str, body: bytes, front: str, upstream: str
) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", script)
        member.protocol = upstream
        cls = SHORT if method == "GET" else UNSAFE

        def config() -> str:
            made = text([member], f'protocol = "{upstream}"', 'refusal_header = "X-No"', cls=cls)
            return made.replace('name = "main"', f'name = "main"\nprotocol = "{front}"')

        async with running_daemon(tmp_path, [member], config) as here:
            data = requests_to("/", method, b"x" if method == "POST" else b"")
            if front == "fastcgi":
                client = await connect_fcgi(here.daemon.listeners["main"].address)
                here.clients.append(client)
                await client.send(data)
                got, head, found = await client.read()
            else:
                got, head, found = await here.ask(data)
            assert (got, proxy_status_error(head), found) == (status, error, body)
            if method == "POST" and script is not REFUSING:
                assert len(member.calls) == 1  # a request that may have run is not retried
            if script is BUSY and method == "GET":
                assert b"Retry-After: 9" in head

    run(scene)


def test_the_proxys_own_answers_state_their_error(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", OK)
        keys = ('host = "shop.test"',)
        async with running_daemon(tmp_path, [member], lambda: text([member], keys=keys)) as here:
            await member.stop()
            assert proxy_status_error((await here.ask(requests_to()))[1]) == "connection_refused"
            for data, status in (
                (b"GET / HTTP/1.1\r\nHost: else.test\r\n\r\n", 404),
                (b"GET / HTTP/1.1\r\n\r\n", 400),
                (b"TRACE / HTTP/1.1\r\nHost: shop.test\r\n\r\n", 501),
                (b"nonsense\r\n\r\n", 400),
                (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 501),
            ):
                got, head, _ = await here.ask(data)
                assert got in (status, 400) and proxy_status_error(head) == FRONTEND_ERRORS[got], data
            here.write(text([member], keys=keys).replace('id = "m"', 'id = "m"\nstate = "draining"'))
            await here.reload()
            assert proxy_status_error((await here.ask(requests_to()))[1]) == "destination_unavailable"

    run(scene)


def test_a_kept_error_answer_is_preferred_to_the_proxys_own(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [
            ScriptedBackend("a", BUSY),
            ScriptedBackend("b", resetting),
            ScriptedBackend("c", resetting),
        ]
        async with running_daemon(tmp_path, members, lambda: text(members)) as here:
            answers = set()
            for _ in range(6):
                status, _, body = await here.ask(requests_to())
                answers.add((status, body))
            assert answers <= {(503, b"busy"), (503, b"")} and (503, b"busy") in answers

    run(scene)


def test_a_500_is_not_retried_and_counts_against_the_member(tmp_path: Path) -> None:
    async def scene() -> None:
        failing, healthy = Member("sick"), Member("well")
        failing.behaviour.status = 500
        more = 'limits = { connect_timeout = "20s" }'  # a busy machine may delay both members
        long_deadline = SHORT.replace("300ms", "20s").replace("400ms", "40s")
        async with running_daemon(
            tmp_path, [failing, healthy], lambda: text([failing, healthy], more, cls=long_deadline)
        ) as here:
            statuses = [(await here.ask(requests_to()))[0] for _ in range(60)]
            assert failing.counts.requests + healthy.counts.requests == 60  # none was sent twice
            assert statuses.count(500) == failing.counts.requests < 25

    run(scene)


@pytest.mark.parametrize(
    "on, calls", [('["500"]', 3), ('["502"]', 1), ('["connect"]', 1), ("[]", 1), ('["500", "reset"]', 3)]
)
def test_retries_follow_the_configured_causes(tmp_path: Path, on: str, calls: int) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, BROKEN) for name in "abc"]
        more = f"repeats = {{ on = {on}, share = 1.0 }}"
        async with running_daemon(tmp_path, members, lambda: text(members, more)) as here:
            assert (await here.ask(requests_to()))[::2] == (500, b"own")
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


def test_no_configured_cause_retries_an_unsafe_request(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        more = 'repeats = { on = ["connect", "reset", "timeout", "500"], share = 1.0 }'
        async with running_daemon(tmp_path, members, lambda: text(members, more, cls=UNSAFE)) as here:
            assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 502
            assert sum(len(member.calls) for member in members) == 1

    run(scene)


@pytest.mark.parametrize(
    "pool_repeats, route_repeats, calls",
    [
        ('on = ["reset"]', 'repeat_on = ["connect"]', 1),
        ("on = []", 'repeat_on = ["reset"]', 3),
        ('on = ["reset"]', "", 3),
    ],
)
def test_the_causes_of_a_route_override_those_of_its_pool(
    tmp_path: Path, pool_repeats: str, route_repeats: str, calls: int
) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        keys = (route_repeats,) if route_repeats else ()
        more = f"repeats = {{ {pool_repeats}, share = 1.0 }}"
        async with running_daemon(tmp_path, members, lambda: text(members, more, keys=keys)) as here:
            assert (await here.ask(requests_to()))[0] == 503
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


RETRY_REQUESTED = answering(b"HTTP/1.1 500 Oops\r\nX-Again: 1\r\nContent-Length: 3\r\n\r\nown")
RETRY_DECLINED = answering(b"HTTP/1.1 503 Busy\r\nX-Again: 0\r\nContent-Length: 4\r\n\r\nbusy")


@pytest.mark.parametrize("upstream", ["http/1.1", "fastcgi"])
@pytest.mark.parametrize(
    "script, method, calls, status",
    [(RETRY_REQUESTED, "GET", 3, 500), (RETRY_DECLINED, "GET", 1, 503), (RETRY_REQUESTED, "POST", 1, 500)],
)
def test_a_header_of_the_member_requests_or_declines_a_retry(
    tmp_path: Path, script: Any, method: str, calls: int, status: int, upstream: str
) -> None:
    """The member's header is not passed on to clients, and causes no retry of an unsafe request."""

    async def scene() -> None:
        members = [ScriptedBackend(name, script) for name in "abc"]
        for member in members:
            member.protocol = upstream
        more = f'protocol = "{upstream}"\nrepeats = {{ on = [], header = "X-Again", share = 1.0 }}'
        cls = SHORT if method == "GET" else UNSAFE
        async with running_daemon(tmp_path, members, lambda: text(members, more, cls=cls)) as here:
            got, head, _ = await here.ask(requests_to("/", method, b"x" if method == "POST" else b""))
            assert got == status and b"x-again" not in head.lower()
            assert sum(len(member.calls) for member in members) == calls

    run(scene)


def test_the_hedge_delay_follows_the_quantile_of_answer_times() -> None:
    """The hedge delay follows the quantile of its own class's answer times, including those that a hedge cut short."""
    balancer = make_policy(hedging=True, hedge_quantile=0.9, hedge_delay=0.3, retry_budget_ratio=1.0)
    now, number, draws = 101.0, 0, random.Random(5)

    def send_request() -> tuple[float, str]:
        nonlocal now, number
        now, number = now + 0.01, number + 1
        actions = balancer.handle(now, [Request(number, 0, 4.0)])
        server = next(a.endpoint for a in actions if isinstance(a, Send))
        return next(a.delay for a in actions if isinstance(a, SetTimer)), server

    assert send_request()[0] == 0.3  # the configured delay, without measurements
    balancer.handle(now, [ClientCancelled(number)])
    for _ in range(4000):
        _, server = send_request()
        took = draws.uniform(0.0, 0.1)
        balancer.handle(now + took, [Outcome(number, 0, server, AttemptResult.SERVED, took, True)])
    assert 0.08 < send_request()[0] < 0.1
    balancer.handle(now, [ClientCancelled(number)])
    for _ in range(400):  # now all take longer, but are measured only until the hedge has answered
        hedge_delay, first = send_request()
        hedges = balancer.handle(now + hedge_delay, [TimerFired(number + 1)])
        second = next((a.endpoint for a in hedges if isinstance(a, Send)), None)
        if second is None:  # no retry budget for this request
            balancer.handle(now + 0.2, [Outcome(number, 0, first, AttemptResult.SERVED, 0.2, True)])
            continue
        balancer.handle(
            now + hedge_delay + 0.01, [Outcome(number, 1, second, AttemptResult.SERVED, 0.01, True)]
        )
        balancer.handle(
            now + hedge_delay + 0.01, [Outcome(number, 0, first, AttemptResult.CANCELLED, hedge_delay + 0.01)]
        )
    assert send_request()[0] > 0.15


def test_a_route_can_lower_the_number_of_attempts(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "abc"]
        async with running_daemon(tmp_path, members, lambda: text(members, keys=("attempts = 2",))) as here:
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
def test_invalid_repeats_settings_are_config_errors(tmp_path: Path, line: str, words: str) -> None:
    member = Member("m")
    member.address = "127.0.0.1:9"
    path = tmp_path / "c.toml"
    path.write_text(text([member], f"repeats = {{ {line} }}"))
    with pytest.raises(ConfigError) as raised:
        load(path)
    assert words in str(raised.value)


def make_policy(**limits: Any) -> Balancer:
    return make_balancer(
        EndpointEntry("a"), EndpointEntry("b"), limits=PolicyLimits(max_attempts=3, **limits)
    )


def test_the_policy_applies_retry_budget_attempt_timeout_and_hedge_delay() -> None:
    balancer = make_policy(retry_budget_ratio=0.0, attempt_timeout=0.2)
    balancer.retry_policy.tokens = 0.0
    sent = balancer.handle(101.0, [Request(1, 0, 4.0)])
    assert [a.timeout for a in sent if isinstance(a, Send)] == [0.2]
    server = next(a.endpoint for a in sent if isinstance(a, Send))
    assert Reject(1) in balancer.handle(101.1, [Outcome(1, 0, server, AttemptResult.RESET, 0.1)])
    balancer = make_policy(hedging=True, hedge_delay=0.05)
    timers = [a for a in balancer.handle(101.0, [Request(1, 0, 4.0)]) if isinstance(a, SetTimer)]
    assert [round(t.delay, 3) for t in timers] == [0.05]


# Other protocols.

UPGRADE = (
    b"GET /chat HTTP/1.1\r\nHost: shop.test\r\nConnection: keep-alive, Upgrade\r\nUpgrade: WebSocket\r\n"
    b"Sec-WebSocket-Key: k\r\n\r\n"
)
SWITCH = b"HTTP/1.1 101 Over\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: s\r\n\r\n"
ALLOWED = ('upgrade = ["websocket"]',)


async def echo(call: Call) -> None:
    """Accept the upgrade, and echo everything received until the end of the stream."""
    await call.say(SWITCH + b"early")
    while data := await call.reader.read(1 << 16):
        await call.say(data)
    call.writer.close()


async def head_of(client: Any) -> bytes:
    return bytes(await client.reader.readuntil(b"\r\n\r\n"))


def tunnels(here: DaemonHarness) -> Tunnels:
    return here.daemon.pools["p"].proxy.tunnels


def test_a_tunnel_forwards_bytes_both_ways_including_those_sent_with_the_heads(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", echo)
        async with running_daemon(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
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
        # Not the requested protocol.
        (b"HTTP/1.1 101 Over\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n", 503),
        (b"HTTP/1.1 101 Over\r\n\r\n", 503),
    ],
)
def test_a_member_that_declines_the_upgrade(tmp_path: Path, answer: bytes, status: int) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(answer))
        async with running_daemon(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(UPGRADE)
            assert (await client.read())[0] == status
            await client.send(UPGRADE + b"GET /hidden HTTP/1.1\r\nHost: shop.test\r\n\r\n")
            assert (await client.read())[0] == status
            assert await client.ended() == b""  # bytes sent before the answer are not interpreted as requests
            assert not any(b"/hidden" in call.head for call in member.calls) and not tunnels(here).open

    run(scene)


@pytest.mark.parametrize(
    "request_",
    [UPGRADE.replace(b"WebSocket", b"h2c"), UPGRADE.replace(b"GET", b"HEAD"), UPGRADE.replace(b", Upgrade", b""),
     requests_to("/chat")],
)  # fmt: skip
def test_a_101_without_an_upgrade_request_is_rejected(tmp_path: Path, request_: bytes) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(SWITCH + b"bytes behind it"))
        async with running_daemon(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(request_)
            assert (await head_of(client)).startswith(b"HTTP/1.1 503 ")
            assert b"pgrade" not in member.calls[0].head and not tunnels(here).open

    run(scene)


def test_an_upgrade_is_retried_on_the_next_member(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend("a", resetting), ScriptedBackend("b", echo)]
        async with running_daemon(tmp_path, members, lambda: text(members, keys=ALLOWED)) as here:
            for _ in range(4):
                client = await here.connect()
                await client.send(UPGRADE)
                assert (await head_of(client)).startswith(b"HTTP/1.1 101 ")
            assert len(tunnels(here).open) == 4

    run(scene)


def test_backpressure_limits_a_tunnel_to_a_client_that_does_not_read_until_idle_timeout(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        async def flood(call: Call) -> None:
            await call.say(SWITCH)
            while True:
                await call.say(b"x" * 65536)

        member = ScriptedBackend("m", flood)
        more = 'tunnels = { idle = "300ms" }'
        async with running_daemon(tmp_path, [member], lambda: text([member], more, keys=ALLOWED)) as here:
            client = await here.connect()
            await client.send(UPGRADE)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await here.until(lambda: tunnels(here).opened_count == 1)
            await here.until(lambda: not tunnels(here).open)
            assert tunnels(here).passed_bytes[1] < 32 << 20

    run(scene)


def test_tunnels_are_drained_on_reload_cordon_and_shutdown(tmp_path: Path) -> None:
    async def scene() -> None:
        member_a, member_b = ScriptedBackend("a", echo), ScriptedBackend("b", echo)
        grace = 'tunnels = { grace = "50ms" }'

        def both() -> str:
            return text([member_a, member_b], grace, keys=ALLOWED)

        async with running_daemon(tmp_path, [member_a, member_b], both) as here:
            clients = []
            for _ in range(40):
                client = await here.connect()
                await client.send(UPGRADE)
                assert (await head_of(client)).startswith(b"HTTP/1.1 101 ")
                clients.append(client)
            before = tunnels(here)
            connected = {t.endpoint for t in before.open}
            assert connected == {"a", "b"}
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


def test_no_tunnel_is_opened_beyond_the_limit(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", echo)
        more = "tunnels = { most = 1 }"
        async with running_daemon(tmp_path, [member], lambda: text([member], more, keys=ALLOWED)) as here:
            first, second = await here.connect(), await here.connect()
            await first.send(UPGRADE)
            assert b" 101 " in await head_of(first)
            await second.send(UPGRADE)
            assert b" 503 " in await head_of(second)
            assert len(tunnels(here).open) == 1

    run(scene)


class FakeEnd:
    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.full = False

    def is_full(self) -> bool:
        return self.full

    def send(self, data: bytes) -> None:
        self.calls.append(data)

    def set_reading_paused(self, on: bool) -> None:
        self.calls.append(on)

    def finish(self) -> None:
        self.calls.append("finish")

    def shut(self) -> None:
        self.calls.append("shut")

    def abort(self) -> None:
        self.calls.append("abort")


def test_a_tunnel_pauses_the_sender_if_the_receiver_was_full_before_it_began() -> None:
    """Guards against bytes that come with the 101, or before it, and fill a connection that nobody listens to yet."""
    client, endpoint = FakeEnd(), FakeEnd()
    tunnel = Tunnels(TunnelLimits(), lambda: 0.0).open_tunnel("e", client, endpoint)
    endpoint.full = client.full = True
    tunnel.from_client(b"early")
    tunnel.from_endpoint(b"with the 101")
    assert (client.calls, endpoint.calls) == ([True, b"with the 101"], [b"early", True])


def test_early_bytes_of_a_tunnel_that_fill_the_endpoint_pause_the_client(tmp_path: Path) -> None:
    """Guards against a client that is resumed as its tunnel begins, though its early bytes have filled the endpoint."""

    async def scene() -> None:
        async def switch(call: Call) -> None:
            call.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.wait_for(early_bytes_are_read.wait(), TIMEOUT_S)
            call.writer.write(SWITCH)
            await asyncio.Event().wait()

        early_bytes_are_read = asyncio.Event()
        member = ScriptedBackend("m", switch)
        async with running_daemon(tmp_path, [member], lambda: text([member], keys=ALLOWED)) as here:
            pools = here.daemon.pools["p"].proxy.upstreams
            pools.kernel_buffers = KernelBuffers(MIN_RECEIVE_BYTES)
            client = await here.connect()
            sending = asyncio.ensure_future(client.send(UPGRADE + bytes(4 * EARLY_BYTES)))
            await member.until_called()
            (connection,) = cast(list[ClientConnection], list(here.daemon._client_connections()))
            await here.until(lambda: connection.paused)
            connection.early_bytes = bytes(EARLY_BYTES)
            early_bytes_are_read.set()
            await here.until(lambda: tunnels(here).open)
            (tunnel,) = tunnels(here).open
            endpoint = cast(SocketUpstream, tunnel.endpoint_end)
            assert endpoint.is_full() and connection.paused
            assert endpoint.transport is not None
            assert endpoint.transport.get_write_buffer_size() <= EARLY_BYTES
            sending.cancel()

    run(scene)


def test_a_tunnel_ends_after_its_lifetime_or_drain_timeout() -> None:
    now = [0.0]
    tunnels_ = Tunnels(
        TunnelLimits(max_open=3, idle_timeout=10.0, max_lifetime=25.0, drain_timeout=5.0), lambda: now[0]
    )
    client, member = FakeEnd(), FakeEnd()
    tunnel = tunnels_.open_tunnel("a", client, member)
    for second in range(0, 25, 8):
        now[0] = float(second)
        tunnel.from_client(b"x")
        tunnels_.sweep()
    assert tunnels_.open
    now[0] = 25.5
    tunnels_.sweep()  # its maximum lifetime has passed, though it is not idle
    assert not tunnels_.open and client.calls[-1] == member.calls[-1] == "abort"
    tunnel.from_endpoint(b"late")
    tunnel.close()
    assert client.calls.count("abort") == 1 and b"late" not in client.calls
    other = tunnels_.open_tunnel("b", client, member)
    tunnels_.drain_endpoints({"a"})
    now[0] += 6.0
    tunnels_.sweep()
    assert tunnels_.open == {other}
    tunnels_.drain_endpoints({"b"})
    now[0] += 4.0
    other.from_client(b"still")
    tunnels_.sweep()
    assert tunnels_.open
    now[0] += 2.0
    tunnels_.sweep()
    assert not tunnels_.open and not tunnels_.is_retired
    tunnels_.retire()
    assert not tunnels_.has_room()


# Headers and bodies in both directions.

HEAD_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: x\r\n\r\n"
PASSES = [
    # description, request, expected and forbidden at the member; its answer; expected and forbidden at the client
    ("RFC 9110 9.3.2 HEAD", requests_to("/", "HEAD"), [b"HEAD / "], [], HEAD_OK,
     [b"Content-Length: 5\r\n", b"ETag: x"], []),
    ("RFC 9110 15.3.5 204 has no body and no length", requests_to(), [], [],
     b"HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", [b" 204 ", b"X-A: 1"], [b"Content-Length", b"Transfer-Encoding"]),
    ("RFC 9110 15.4.5 304 keeps its length without a body", requests_to("/", "GET", b"", "If-None-Match: x"),
     [b"If-None-Match: x"], [], b"HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 9\r\n\r\n",
     [b" 304 ", b"ETag: x", b"Content-Length: 9"], []),
    ("RFC 9110 15.2 an interim answer is not the final answer", requests_to(), [], [],
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
    ("RFC 9110 10.1.1 Expect is handled by the proxy",
     b"POST / HTTP/1.1\r\nHost: shop.test\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", [b"\r\n\r\n"],
     [b"Expect"], b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", [b" 100 "], []),
    ("RFC 9110 6.5 trailers are not forwarded",
     b"POST / HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trail: 1\r\n\r\n",
     [b"Content-Length: 1"], [b"X-Trail", b"Transfer-Encoding"],
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trail: 2\r\n\r\n",
     [b"Content-Length: 2"], [b"X-Trail"]),
    ("RFC 9110 7.8 an upgrade that the route does not allow", UPGRADE, [b"GET /chat"], [b"Upgrade:"],
     b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", [b" 200 "], []),
]  # fmt: skip


@pytest.mark.parametrize(
    "description, data, at_member, not_at_member, answer, at_client, not_at_client",
    PASSES,
    ids=[row[0] for row in PASSES],
)
def test_headers_and_bodies_are_passed_on_as_the_rfcs_require(
    tmp_path: Path,
    description: str,
    data: bytes,
    at_member: list[bytes],
    not_at_member: list[bytes],
    answer: bytes,
    at_client: list[bytes],
    not_at_client: list[bytes],
) -> None:
    async def scene() -> None:
        member = ScriptedBackend("m", answering(answer))
        async with running_daemon(tmp_path, [member], lambda: text([member])) as here:
            client = await here.connect()
            await client.send(data)
            head = await head_of(client)
            received = (await member.until_called()).head
            for part in at_member:
                assert part in received, (description, received)
            for part in not_at_member:
                assert part.lower() not in received.lower(), (description, received)
            for part in at_client:
                assert part in head, (description, head)
            for part in not_at_client:
                assert part not in head, (description, head)

    run(scene)


def test_an_incomplete_5_mb_error_answer_becomes_the_proxys_own_error(tmp_path: Path) -> None:
    async def scene() -> None:
        async def slow(call: Call) -> None:
            await call.say(b"HTTP/1.1 500 Oops\r\nContent-Length: 5242880\r\n\r\n" + b"x" * 1000)
            await call.left()

        member = ScriptedBackend("m", slow)
        more = 'limits = { answer_stream = "8MiB" }'
        async with running_daemon(tmp_path, [member], lambda: text([member], more)) as here:
            status, head, body = await here.ask(requests_to())
            # Nothing of the member's answer was passed on.
            assert status in (502, 503, 504) and proxy_status_error(head) and not body
            assert here.daemon.pools["p"].proxy.upstreams.open == 0

    run(scene)


def test_a_keyed_request_that_may_have_run_gets_502_instead_of_503(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [ScriptedBackend("a", resetting, BUSY), ScriptedBackend("b", resetting, BUSY)]
        keyed = SHORT + 'effect = "keyed"\ndedup_scope = "cell"\ndedup_window = "1s"\n'
        async with running_daemon(tmp_path, members, lambda: text(members, cls=keyed)) as here:
            status, head, body = await here.ask(requests_to("/", "POST", b"x", "Idempotency-Key: k"))
            assert (status, body) == (502, b"") and proxy_status_error(head)
            assert 1 <= sum(len(member.calls) for member in members) <= 3

    run(scene)
