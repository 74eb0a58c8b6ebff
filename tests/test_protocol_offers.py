"""Requests that offer another protocol (Upgrade): read and answered as any other, unless the protocol is switched."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from functools import partial
from itertools import count
from pathlib import Path
from typing import AsyncIterator, Awaitable, Callable

import certs
import peers
import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import TIMEOUT_S, Call, Client, ScriptedBackend, answering, run_with_timeout, running_proxy
from test_answers import SWITCH, UPGRADE, echo
from translated import connect_fcgi

from loadbalancer.management.caller import CallerConnection
from loadbalancer.management.calls import Response
from loadbalancer.resource_limits import MAX_HELD_BODY_BYTES
from loadbalancer.tls.demo import write_pair

Connect = Callable[[], Awaitable[Client]]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#: The platform's reader (`run`) and the ordinary one (`serve`), each behind a plain and a TLS listener.
FRONTS = ("run http", "run https", "serve http", "serve https")
TOKENS = ("h2c", "websocket", "TLS/1.0, x/9")
TLS = '[listener.tls]\ncertificate = [{ chain = "a.pem", key = "a.key" }]\nhandshakes_per_s = 100000\n'
#: A body that would be a request of its own, which both readers take.
PLANTED = b"GET /planted HTTP/1.1\r\nHost: shop.test\r\nX-Txn: planted\r\nX-Lane: safe\r\n\r\n"
LONG_BODY = PLANTED * (MAX_HELD_BODY_BYTES // len(PLANTED) + 1000)

_numbers = count(1)


def announced(body: bytes) -> tuple[str, bytes]:
    return f"Content-Length: {len(body)}", body


def chunked(body: bytes) -> tuple[str, bytes]:
    half = len(body) // 2
    pieces = b"".join(
        b"%x;a=b\r\n%b\r\n" % (len(piece), piece) for piece in (body[:half], body[half:]) if piece
    )
    return "Transfer-Encoding: chunked", pieces + b"0\r\nUpgrade: x\r\n\r\n"


Framing = Callable[[bytes], tuple[str, bytes]]
FRAMINGS: dict[str, Framing] = {"announced": announced, "chunked": chunked}


def head_of(path: str, method: str, token: str | None, *lines: str, version: str = "1.1") -> bytes:
    """Return the head of a request that both readers take."""
    lane = "safe" if method == "GET" else "unsafe"
    offer = [] if token is None else ["Connection: HTTP2-Settings, Upgrade", f"Upgrade: {token}"]
    own = [f"X-Txn: o{next(_numbers)}", f"X-Lane: {lane}", "HTTP2-Settings: AAEAAEAAAAIAAAAB"]
    head = [f"{method} {path} HTTP/{version}", "Host: shop.test", *own, *offer, *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def request(
    path: str,
    body: bytes = b"",
    framing: Framing = announced,
    token: str | None = "h2c",
    method: str = "POST",
) -> bytes:
    line, framed = framing(body)
    return head_of(path, method, token, line) + framed


@asynccontextmanager
async def serving(
    front: str, folder: Path, backend: ScriptedBackend, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[Connect]:
    """Run a proxy of this kind; yields the function that connects a client."""
    program, protocol = front.split()
    if program == "run":
        monkeypatch.setattr(
            peers, "COMBINATION", ["https" if protocol == "https" else "http/1.1", "http/1.1"]
        )
        async with running_proxy(backend) as proxy:
            yield proxy.connect
        return
    write_pair(folder, "a", certs.authority().issue(certs.HOST, "127.0.0.1"))
    text = LISTENER + (TLS if protocol == "https" else "") + route("r", "p")
    async with running_daemon(folder, [backend], lambda: text + pool("p", [backend])) as daemon:
        yield daemon.connect if protocol == "http" else partial(connect_tls, daemon)


async def connect_tls(daemon: DaemonHarness) -> Client:
    address = daemon.daemon.listeners["main"].address
    context = certs.client_side()
    client = Client(*await asyncio.open_connection(*address, ssl=context, server_hostname=certs.HOST))
    daemon.clients.append(client)
    return client


def arrived(backend: ScriptedBackend) -> list[tuple[bytes, bytes]]:
    """Return method with path, and body, of what has reached the backend."""
    return [(b" ".join(call.head.split(b" ", 2)[:2]), call.body) for call in backend.calls]


async def statuses(client: Client, amount: int) -> list[int]:
    return [(await client.read())[0] for _ in range(amount)]


@pytest.mark.parametrize("token", TOKENS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("front", FRONTS)
def test_body_behind_an_offer_reaches_the_member_and_nothing_else_does(
    front: str, framing: str, token: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an empty body under the client's id, and against a body that is read as a request."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            await client.send(request("/a", PLANTED, FRAMINGS[framing], token))
            assert await statuses(client, 1) == [200]
            await client.send(request("/b", token=None, method="GET"))
            assert await statuses(client, 1) == [200]
            assert arrived(backend) == [(b"POST /a", PLANTED), (b"GET /b", b"")]
            assert b"upgrade" not in backend.calls[0].head.lower()

    run_with_timeout(scene)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("front", FRONTS)
def test_long_body_behind_an_offer_is_streamed_or_refused_once(
    front: str, framing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`run` streams it; the ordinary reader takes no body of that length, and answers it so."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            client.writer.write(request("/a", LONG_BODY, FRAMINGS[framing]))
            if front.startswith("run"):
                assert await statuses(client, 1) == [200]
                assert arrived(backend) == [(b"POST /a", LONG_BODY)]
            else:
                assert await statuses(client, 1) == [413]
                assert not backend.calls and await ended(client) == b""

    run_with_timeout(scene)


async def ended(client: Client) -> bytes:
    """Return what else comes on the connection; a reset ends it too."""
    try:
        return await client.ended()
    except ConnectionError:
        return b""


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"])
@pytest.mark.parametrize("body", [b"", PLANTED])
@pytest.mark.parametrize("front", FRONTS)
def test_offer_does_not_change_the_framing_of_any_method(
    front: str, body: bytes, method: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`run` takes GET and POST alone, and answers others once."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            lines = (f"Content-Length: {len(body)}",) if body else ()
            await client.send(head_of("/a", method, "h2c", *lines) + body)
            if front.startswith("run") and method not in ("GET", "POST"):
                assert await statuses(client, 1) == [400]
                assert await ended(client) == b"" and not backend.calls
                return
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            await client.send(request("/b", token=None))
            assert await statuses(client, 1) == [200]
            assert arrived(backend) == [(f"{method} /a".encode(), body), (b"POST /b", b"")]

    run_with_timeout(scene)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("front", FRONTS)
def test_offer_behind_expect_gets_an_interim_answer_and_one_final(
    front: str, framing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            line, framed = FRAMINGS[framing](PLANTED)
            await client.send(head_of("/a", "POST", "h2c", line, "Expect: 100-continue"))
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            await client.send(framed + request("/b"))
            assert await statuses(client, 2) == [200, 200]
            assert arrived(backend) == [(b"POST /a", PLANTED), (b"POST /b", b"")]

    run_with_timeout(scene)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("front", FRONTS)
def test_offer_in_http10_is_answered_once_and_the_connection_ends(
    front: str, framing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            line, framed = FRAMINGS[framing](PLANTED)
            expect = "Expect: 100-continue"  # has no meaning in HTTP/1.0
            await client.send(head_of("/a", "POST", "h2c", line, expect, version="1.0") + framed)
            is_chunked = framing == "chunked"  # HTTP/1.0 has no transfer codings (RFC 9112, 6.1)
            assert await statuses(client, 1) == ([400] if is_chunked else [200])
            assert await ended(client) == b""
            assert arrived(backend) == ([] if is_chunked else [(b"POST /a", PLANTED)])

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("front", FRONTS)
def test_pipelined_requests_with_and_without_offers_in_pieces_are_each_answered_once(
    front: str, seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    choice = random.Random(f"{front} {seed}")

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            data, sent = b"", []
            for number in range(6):
                token, framing = choice.choice([None, *TOKENS]), choice.choice(list(FRAMINGS))
                method = choice.choice(["GET", "POST"])
                body = choice.choice([b"", b"x", PLANTED, PLANTED * 500])
                data += request(f"/{number}", body, FRAMINGS[framing], token, method)
                sent.append((f"{method} /{number}".encode(), body))
            cuts = sorted(choice.randrange(len(data)) for _ in range(choice.choice([0, 1, 30])))
            for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                await client.send(data[start:end])
                await asyncio.sleep(0)
            assert await statuses(client, 6) == [200] * 6
            assert arrived(backend) == sent

    run_with_timeout(scene)


def test_each_cut_of_a_request_with_an_offer_gives_the_same_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving("run http", tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            for framing in FRAMINGS.values():
                for cut in range(1, len(request("/a", b"abcde", framing))):
                    data = request("/a", b"abcde", framing)
                    await client.send(data[:cut])
                    await asyncio.sleep(0)
                    await client.send(data[cut:])
                    assert await statuses(client, 1) == [200]
            assert set(arrived(backend)) == {(b"POST /a", b"abcde")}

    run_with_timeout(scene)


@pytest.mark.parametrize("front", FRONTS)
def test_offer_with_an_invalid_framing_is_refused_once(
    front: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            for lines in (
                ("Transfer-Encoding: gzip",),
                ("Transfer-Encoding: chunked", "Content-Length: 5"),
                ("Content-Length: 5", "Content-Length: 6"),
            ):
                client = await connect()
                await client.send(head_of("/a", "POST", "h2c", *lines) + PLANTED)
                assert await statuses(client, 1) == [400]
                assert await ended(client) == b""
            assert not backend.calls

    run_with_timeout(scene)


@pytest.mark.parametrize("front", FRONTS)
def test_request_for_a_tunnel_is_refused_once_and_nothing_behind_it_is_read(
    front: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            await client.send(b"CONNECT shop.test:1 HTTP/1.1\r\nHost: shop.test\r\n\r\n" + PLANTED)
            assert await statuses(client, 1) == [400 if front.startswith("run") else 501]
            assert await ended(client) == b"" and not backend.calls

    run_with_timeout(scene)


# Routes that may switch.


async def decline_or_echo(call: Call) -> None:
    """Switch if that is asked for, and answer otherwise."""
    await (echo(call) if b"\r\nUpgrade: " in call.head else call.say(OK))


@asynccontextmanager
async def with_websocket(
    folder: Path, script: Callable[[Call], Awaitable[None]], listener: str = LISTENER
) -> AsyncIterator[tuple[DaemonHarness, ScriptedBackend]]:
    member = ScriptedBackend("m", script)

    def text() -> str:
        return listener + route("r", "p", 'upgrade = ["websocket"]') + pool("p", [member])

    async with running_daemon(folder, [member], text) as here:
        yield here, member


@pytest.mark.parametrize("framing", FRAMINGS)
def test_request_with_a_body_does_not_switch(framing: str, tmp_path: Path) -> None:
    async def scene() -> None:
        async with with_websocket(tmp_path, decline_or_echo) as (here, member):
            client = await here.connect()
            await client.send(request("/a", PLANTED, FRAMINGS[framing], "websocket", "GET"))
            assert await statuses(client, 1) == [200]
            await client.send(UPGRADE)  # the connection can still switch
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 101 ")
            assert arrived(member) == [(b"GET /a", PLANTED), (b"GET /chat", b"")]

    run_with_timeout(scene)


def test_request_before_a_switch_is_answered_and_early_bytes_reach_the_member(tmp_path: Path) -> None:
    """Bytes behind a pipelined request to switch must not end the connection with the answer before it."""

    async def scene() -> None:
        async with with_websocket(tmp_path, decline_or_echo) as (here, member):
            client = await here.connect()
            await client.send(requests_to("/first") + request("/second", PLANTED) + UPGRADE + PLANTED)
            assert await statuses(client, 2) == [200, 200]
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 101 ")
            expected = b"early" + PLANTED
            echoed = await asyncio.wait_for(client.reader.readexactly(len(expected)), TIMEOUT_S)
            assert echoed == expected and len(member.calls) == 3

    run_with_timeout(scene)


@pytest.mark.parametrize("refusal", ["streamed", "no room"])
def test_connection_with_early_bytes_ends_after_a_refused_switch(
    refusal: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What follows the early bytes may be in the other protocol, and must not be read as a request."""
    long_answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (1 << 20, bytes(1 << 20))

    async def scene() -> None:
        script = answering(long_answer) if refusal == "streamed" else decline_or_echo
        async with with_websocket(tmp_path, script) as (here, member):
            proxy = here.daemon.pools["p"].proxy
            if refusal == "no room":
                monkeypatch.setattr(proxy, "has_room", lambda: False)
            client = await here.connect()
            await client.send(UPGRADE + b"early")
            assert await statuses(client, 1) == [503 if refusal == "no room" else 200]
            client.writer.write(PLANTED)
            assert await ended(client) == b""
            assert not any(b"/planted" in call.head for call in member.calls)

    run_with_timeout(scene)


def test_request_over_fastcgi_does_not_switch(tmp_path: Path) -> None:
    """A FastCGI connection carries other requests, and none of it can be given to another protocol."""

    async def scene() -> None:
        listener = LISTENER + 'protocol = "fastcgi"\n'
        async with with_websocket(tmp_path, decline_or_echo, listener) as (here, member):
            web = await connect_fcgi(here.daemon.listeners["main"].address)
            pairs = [("HTTP_CONNECTION", "Upgrade"), ("HTTP_UPGRADE", "websocket")]
            assert (await web.web.ask(1, "GET", "/a", **dict(pairs))).status == 200
            assert b"upgrade" not in member.calls[0].head.lower()
            web.writer.close()

    run_with_timeout(scene)


def test_answer_that_announces_protocols_is_read_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server may list in any answer what it could switch to (RFC 9110, 7.8)."""
    answer = b"HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: %d\r\n\r\n%b"

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer % (len(SWITCH), SWITCH)))
        async with serving("run http", tmp_path, backend, monkeypatch) as connect:
            client = await connect()
            for _ in range(2):
                await client.send(request("/a", b"x"))
                status, head, body = await client.read()
                assert (status, body) == (200, SWITCH) and b"pgrade" not in head

    run_with_timeout(scene)


# Calls of operators.


class RecordingOwner:
    """Answers calls with 200, and records them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, bytes]] = []

    def handler(self, authorization: str | None) -> RecordingOwner:
        return self

    def answer(self, method: str, path: str, say: Callable[[Response], None], body: bytes = b"") -> None:
        self.calls.append((method, path, body))
        say(Response(200, b"done"))

    def closed(self, caller: CallerConnection) -> None:
        """Nothing is held for a caller."""


@pytest.mark.parametrize("framing", FRAMINGS)
def test_operators_call_with_an_offer_is_carried_out_with_its_body(framing: str) -> None:
    async def scene() -> None:
        owner = RecordingOwner()
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(owner), "127.0.0.1", 0
        )
        client = Client(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        data = request("/v1/drain", b'{"member": "a"}', FRAMINGS[framing], method="PUT")
        for cut in (data[:-4], data[-4:]):
            await client.send(cut)
        assert await statuses(client, 1) == [200]
        assert await client.ended() == b""
        assert owner.calls == [("PUT", "/v1/drain", b'{"member": "a"}')]
        client.writer.close()
        server.close()

    run_with_timeout(scene)
