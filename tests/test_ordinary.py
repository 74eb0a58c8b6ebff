"""Ordinary clients: what goes to a member, and what comes back, over sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from daemons import LISTENER, ground, pool, requests_to, route
from peers import Call, ScriptedBackend, answering, resetting, run_with_timeout, silent

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = '[[class]]\nname = "book"\naim = "1s"\ndeadline = "4s"\neffect = "keyed"\ndedup_window = "3s"\n'


def one_pool(backends: list[ScriptedBackend], *more: str, routes: str = "") -> str:
    return LISTENER + (routes or route("all", "web")) + pool("web", backends, *more)


def seen(backend: ScriptedBackend, number: int = 0) -> tuple[str, dict[str, str]]:
    """Request line and headers that a member got; names in lower case."""
    line, *rest = backend.calls[number].head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for item in rest:
        name, _, value = item.partition(": ")
        assert name.lower() not in headers, f"{name} twice"
        headers[name.lower()] = value
    return line, headers


def forget(*backends: ScriptedBackend) -> None:
    for backend in backends:
        backend.calls.clear()


@pytest.mark.parametrize(
    "status", [200, 201, 203, 206, 301, 302, 400, 401, 403, 404, 409, 410, 418, 429, 451]
)
def test_any_whole_answer_under_500_is_served_as_it_came(status: int, tmp_path: Path) -> None:
    lines = b"X-Own: a\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
    answer = b"HTTP/1.1 %d Its Reason\r\n" + lines + b"Content-Length: 4\r\n\r\nbody"

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer % status))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            got, head, body = await here.ask(requests_to())
            assert (got, body) == (status, b"body")
            assert head.startswith(b"HTTP/1.1 %d Its Reason\r\n" % status)
            assert head.count(b"Set-Cookie") == 2 and b"X-Own: a" in head
            assert len(backend.calls) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_a_body_are_framed_so(status: int, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend(
            "s", answering(b"HTTP/1.1 %d No\r\nETag: x\r\n\r\n" % status), answering(GOOD)
        )
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to() + requests_to())
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            assert head.startswith(b"HTTP/1.1 %d" % status) and b"ETag: x" in head
            assert b"ength" not in head  # a 204 must not state one (RFC 9110, 8.6)
            assert (await client.read())[2] == b"hi"  # and the next answer stands right behind
            assert backend.connections == 1

    run_with_timeout(scene)


def test_a_304_may_state_the_length_that_it_stands_for(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(b"HTTP/1.1 304 Not\r\nContent-Length: 700\r\n\r\n"))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to())
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            assert b"Content-Length: 700" in head

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 5000000000\r\n\r\n",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"],
)  # fmt: skip
def test_head_gets_a_head_alone_and_the_connection_is_kept(answer: bytes, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer), answering(GOOD))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to(method="HEAD"))
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            assert head.startswith(b"HTTP/1.1 200")
            assert (b"Content-Length: 5000000000" in head) == (b"5000000000" in answer)
            await client.send(requests_to())
            assert (await client.read())[2] == b"hi"
            assert backend.connections == 1 and backend.calls[0].head.startswith(b"HEAD / ")

    run_with_timeout(scene)


def test_a_body_behind_the_answer_to_head_reaches_nobody(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to(method="HEAD"))
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            await client.send(requests_to())
            assert (await client.read())[2] == b"hi"
            assert backend.connections == 2  # what stood behind the head made the first one useless

    run_with_timeout(scene)


def test_refused_head_requests_are_framed_without_a_body(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD), state="stopped")

        def text() -> str:
            return one_pool([backend]).replace('id = "s"', 'id = "s"\nstate = "stopped"')

        async with ground(tmp_path, [backend], text) as here:
            client = await here.connect()
            for _ in range(2):
                await client.send(requests_to(method="HEAD"))
                head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
                assert head.startswith(b"HTTP/1.1 503")

    run_with_timeout(scene)


def test_headers_of_one_connection_go_no_further_either_way(tmp_path: Path) -> None:
    answer = (
        b"HTTP/1.1 200 OK\r\nConnection: X-Theirs, keep-alive\r\nX-Theirs: 1\r\nKeep-Alive: 5\r\nTrailer: a\r\n"
        b"Upgrade: h2c\r\nContent-Length: 2\r\n\r\nhi"
    )

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            lines = (
                "Connection: X-Mine, keep-alive",
                "X-Mine: 1",
                "Keep-Alive: 9",
                "TE: trailers",
                "X-Kept: 1",
                "Proxy-Connection: close",
                "Proxy-Authorization: x",
            )
            _, head, _ = await here.ask(requests_to("/", "GET", b"", *lines))
            _, headers = seen(backend)
            assert headers["x-kept"] == "1" and headers["host"] == "shop.test"
            assert (
                not {
                    "connection",
                    "x-mine",
                    "keep-alive",
                    "te",
                    "proxy-connection",
                    "upgrade",
                    "proxy-authorization",
                    "x-txn",
                    "x-remaining",
                }
                & headers.keys()
            )
            for name in (b"X-Theirs", b"Keep-Alive", b"Trailer", b"Upgrade"):
                assert name not in head

    run_with_timeout(scene)


def test_an_upgrade_is_not_taken_up_and_the_request_served(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            ask = requests_to("/", "GET", b"", "Connection: Upgrade", "Upgrade: websocket")
            await client.send(ask + requests_to("/next"))
            assert (await client.read())[0] == 200
            assert (await client.read())[0] == 200
            assert "upgrade" not in seen(backend)[1] and seen(backend, 1)[0] == "GET /next HTTP/1.1"

    run_with_timeout(scene)


def test_strangers_are_not_believed_and_trusted_proxies_are(tmp_path: Path) -> None:
    claims = (
        "X-Forwarded-For: 9.9.9.9",
        "X-Forwarded-Proto: https",
        "X-Forwarded-Host: other",
        "Forwarded: for=9.9.9.9",
        "X-Real-IP: 9.9.9.9",
    )

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))

        def text() -> str:
            return one_pool([backend]) + LISTENER.replace("main", "inner") + 'trusted = ["127.0.0.0/8"]\n'

        async with ground(tmp_path, [backend], text) as here:
            await here.ask(requests_to("/", "GET", b"", *claims))
            await here.ask(requests_to("/", "GET", b"", *claims), "inner")
            await here.ask(requests_to("/", "GET", b"", "X-Request-Id: mine"))
            _, strange = seen(backend)
            assert strange["x-forwarded-for"] == "127.0.0.1" and strange["x-forwarded-proto"] == "http"
            assert strange["x-forwarded-host"] == "shop.test" and "x-real-ip" not in strange
            assert strange["forwarded"] == 'for=127.0.0.1;host="shop.test";proto=http'
            _, known = seen(backend, 1)
            assert known["x-forwarded-for"] == "9.9.9.9, 127.0.0.1" and known["x-forwarded-proto"] == "https"
            assert known["forwarded"].startswith("for=9.9.9.9, for=127.0.0.1")
            assert (
                strange["x-request-id"] != known["x-request-id"]
                and seen(backend, 2)[1]["x-request-id"] == "mine"
            )

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "data, status, line, host",
    [
        (b"GET http://o.test:81/a/../b?q HTTP/1.1\r\nHost: shop.test\r\n\r\n", 200, "GET /b?q HTTP/1.1", "o.test:81"),
        (b"GET //a//b/./c?x=%2f HTTP/1.1\r\nHost: SHOP.test\r\n\r\n", 200, "GET /a/b/c?x=%2f HTTP/1.1", "SHOP.test"),
        (b"GET /%61%2e HTTP/1.1\r\nHost: shop.test\r\n\r\n", 200, "GET /a. HTTP/1.1", "shop.test"),
        (b"GET / HTTP/1.0\r\n\r\n", 200, "GET / HTTP/1.1", "unknown"),
        (b"GET /a%2fb HTTP/1.1\r\nHost: shop.test\r\n\r\n", 400, "", ""),
        (b"GET /../etc HTTP/1.1\r\nHost: shop.test\r\n\r\n", 400, "", ""),
        (b"GET /a%00 HTTP/1.1\r\nHost: shop.test\r\n\r\n", 400, "", ""),
        (b"GET / HTTP/1.1\r\nHost: shop.test\r\nHost: other\r\n\r\n", 400, "", ""),
        (b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400, "", ""),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "", ""),
        (b"OPTIONS * HTTP/1.1\r\nHost: shop.test\r\n\r\n", 400, "", ""),
        (b"TRACE / HTTP/1.1\r\nHost: shop.test\r\n\r\n", 501, "", ""),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400, "", ""),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400, "", ""),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, "", ""),
    ],
)  # fmt: skip
def test_targets_in_every_spelling(data: bytes, status: int, line: str, host: str, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            assert (await here.ask(data))[0] == status
            if status == 200:
                got, headers = seen(backend)
                assert got == line and headers["host"] == host
            else:
                assert not backend.calls
            assert (await here.ask(requests_to()))[0] == 200  # and nothing is the worse for it

    run_with_timeout(scene)


def test_no_route_is_404_and_the_connection_stays(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))

        def text() -> str:
            return one_pool([backend], routes=route("only", "web", prefix="/only"))

        async with ground(tmp_path, [backend], text) as here:
            client = await here.connect()
            assert (await client.ask(requests_to("/other")))[0] == 404
            assert (await client.ask(requests_to("/only/x")))[0] == 200
            status, head, _ = await here.ask(requests_to("/other", "POST", b"abc"))
            assert status == 404 and b"Connection: close" in head  # the body is read by nobody

    run_with_timeout(scene)


# Effects.


def test_a_safe_request_goes_again_and_an_unsafe_one_does_not(tmp_path: Path) -> None:
    async def scene() -> None:
        ill, well = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [ill, well]
        async with ground(tmp_path, both, lambda: one_pool(both)) as here:
            for _ in range(12):
                assert (await here.ask(requests_to()))[0] == 200
            assert ill.calls
        forget(ill, well)
        async with ground(tmp_path, both, lambda: one_pool(both)) as here:  # nothing is known of either
            statuses = [(await here.ask(requests_to("/", "DELETE")))[0] for _ in range(30)]
            assert set(statuses) == {200, 502}
            assert statuses.count(502) == len(ill.calls) and len(ill.calls) + len(well.calls) == 30

    run_with_timeout(scene)


@pytest.mark.parametrize("with_key", [True, False])
def test_a_keyed_route_is_keyed_with_a_key_alone(with_key: bool, tmp_path: Path) -> None:
    routes = route("all", "web", 'class = "book"') + KEYED

    async def scene() -> None:
        ill, well = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [ill, well]
        async with ground(tmp_path, both, lambda: one_pool(both, routes=routes)) as here:
            statuses = []
            for number in range(12):
                lines = (f"Idempotency-Key: k{number}",) if with_key else ()
                statuses.append((await here.ask(requests_to("/", "POST", b"x", *lines)))[0])
            assert ill.calls
            assert set(statuses) == ({200} if with_key else {200, 502})
            if not with_key:
                assert len(ill.calls) + len(well.calls) == 12

    run_with_timeout(scene)


def test_a_safe_class_covers_other_methods_only_where_the_route_names_them(tmp_path: Path) -> None:
    cls = '[[class]]\nname = "search"\naim = "1s"\ndeadline = "4s"\n'
    routes = route("s", "web", 'class = "search"', 'methods = ["POST"]', prefix="/search") + route(
        "all", "web", 'class = "search"'
    )

    async def scene() -> None:
        ill, well = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [ill, well]
        async with ground(tmp_path, both, lambda: one_pool(both, routes=routes + cls)) as here:
            named = [(await here.ask(requests_to("/search", "POST", b"x")))[0] for _ in range(12)]
            assert set(named) == {200} and ill.calls
        forget(ill, well)
        async with ground(tmp_path, both, lambda: one_pool(both, routes=routes + cls)) as here:
            other = [(await here.ask(requests_to("/else", "POST", b"x")))[0] for _ in range(30)]
            assert len(ill.calls) + len(well.calls) == 30 and other.count(502) == len(ill.calls) > 0

    run_with_timeout(scene)


def test_what_a_member_says_of_its_failure_reaches_the_client(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 500 Broken\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nwhy"

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            status, head, body = await here.ask(requests_to("/", "POST", b"x"))
            assert (status, body) == (500, b"why") and b"text/plain" in head
            assert here.daemon.pools["web"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


@pytest.mark.parametrize("method, status", [("POST", 502), ("GET", 503)])
def test_a_503_of_a_member_is_no_promise_that_it_never_ran(method: str, status: int, tmp_path: Path) -> None:
    """An unsafe request that may have run is not refused, whatever the member called it."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            assert (await here.ask(requests_to("/", method)))[0] == status

    run_with_timeout(scene)


def test_a_503_with_the_pools_header_is_a_refusal(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 503 Busy\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n"

    async def scene() -> None:
        full, well = ScriptedBackend("full", answering(answer)), ScriptedBackend("well", answering(GOOD))
        both = [full, well]

        def text() -> str:
            return one_pool(both, 'refusal_header = "X-Not-Run"')

        async with ground(tmp_path, both, text) as here:
            statuses = {(await here.ask(requests_to("/", "POST", b"x")))[0] for _ in range(12)}
            assert statuses == {200} and full.calls  # it never ran, so it went elsewhere

    run_with_timeout(scene)


def test_a_deadline_of_the_route_ends_in_504(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", silent)
        routes = route("all", "web", 'deadline = "50ms"')
        async with ground(tmp_path, [backend], lambda: one_pool([backend], routes=routes)) as here:
            assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 504

    run_with_timeout(scene)


# Bodies.


def test_bodies_and_answers_up_to_the_pools_limits(tmp_path: Path) -> None:
    limits = ("[pool.limits]", 'request_body = "100KiB"', 'answer_body = "200KiB"')

    async def scene() -> None:
        async def echo(call: Call) -> None:
            body = call.body * 2
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        backend = ScriptedBackend("s", echo)
        async with ground(tmp_path, [backend], lambda: one_pool([backend], *limits)) as here:
            whole = bytes(100 << 10)
            status, _, body = await here.ask(requests_to("/", "POST", whole))
            assert (status, body) == (200, whole * 2)
            assert (await here.ask(requests_to("/", "POST", whole + b"x")))[0] == 413
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(whole), whole)
            data = requests_to("/", "PUT", b"", "Transfer-Encoding: chunked") + chunks
            assert (await here.ask(data))[0] == 200
            _, headers = seen(backend, 1)
            assert headers["content-length"] == str(len(whole)) and "transfer-encoding" not in headers
            assert here.daemon.pools["web"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


@pytest.mark.parametrize("taken", [True, False])
def test_an_answer_that_ends_with_its_connection(taken: bool, tmp_path: Path) -> None:
    async def ends(call: Call) -> None:
        await call.say(b"HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\nthe rest")
        call.writer.close()

    async def scene() -> None:
        backend = ScriptedBackend("s", ends)
        more = (f"close_delimited = {str(taken).lower()}",)
        async with ground(tmp_path, [backend], lambda: one_pool([backend], *more)) as here:
            status, _, body = await here.ask(requests_to("/", "POST", b"x"))
            assert (status, body) == ((200, b"the rest") if taken else (502, b""))

    run_with_timeout(scene)


def test_a_load_report_is_read_and_kept_from_clients(tmp_path: Path) -> None:
    answer = b'HTTP/1.1 200 OK\r\nX-Load: {"utilization": 0.7}\r\nContent-Length: 0\r\n\r\n'

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with ground(tmp_path, [backend], lambda: one_pool([backend], 'load_header = "X-Load"')) as here:
            _, head, _ = await here.ask(requests_to())
            assert b"X-Load" not in head
            assert here.daemon.pools["web"].proxy.balancer.endpoints["s"].utilization == 0.7

    run_with_timeout(scene)
