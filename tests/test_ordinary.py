"""Proxying for ordinary HTTP clients over sockets: requests as members get them, answers as clients get them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from daemons import LISTENER, pool, requests_to, route, running_daemon
from peers import Call, ScriptedBackend, answering, resetting, run_with_timeout, silent

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = '[[class]]\nname = "book"\naim = "1s"\ndeadline = "4s"\neffect = "keyed"\ndedup_window = "3s"\n'


def one_pool(backends: list[ScriptedBackend], *more: str, routes: str = "") -> str:
    return LISTENER + (routes or route("all", "web")) + pool("web", backends, *more)


def received_request(backend: ScriptedBackend, number: int = 0) -> tuple[str, dict[str, str]]:
    """Return the request line and the headers that a member got; names in lower case."""
    line, *rest = backend.calls[number].head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for item in rest:
        name, _, value = item.partition(": ")
        assert name.lower() not in headers, f"{name} twice"
        headers[name.lower()] = value
    return line, headers


def clear_calls(*backends: ScriptedBackend) -> None:
    for backend in backends:
        backend.calls.clear()


@pytest.mark.parametrize(
    "status", [200, 201, 203, 206, 301, 302, 400, 401, 403, 404, 409, 410, 418, 429, 451]
)
def test_a_complete_answer_below_500_is_passed_on_unchanged(status: int, tmp_path: Path) -> None:
    lines = b"X-Own: a\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
    answer = b"HTTP/1.1 %d Its Reason\r\n" + lines + b"Content-Length: 4\r\n\r\nbody"

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer % status))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            got_status, head, body = await here.ask(requests_to())
            assert (got_status, body) == (status, b"body")
            assert head.startswith(b"HTTP/1.1 %d Its Reason\r\n" % status)
            assert head.count(b"Set-Cookie") == 2 and b"X-Own: a" in head
            assert len(backend.calls) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("status", [204, 304])
def test_a_204_or_304_is_framed_without_a_body(status: int, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend(
            "s", answering(b"HTTP/1.1 %d No\r\nETag: x\r\n\r\n" % status), answering(GOOD)
        )
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to() + requests_to())
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            assert head.startswith(b"HTTP/1.1 %d" % status) and b"ETag: x" in head
            assert b"ength" not in head  # a 204 must not state one (RFC 9110, 8.6)
            assert (await client.read())[2] == b"hi"  # the next answer follows directly
            assert backend.connections == 1

    run_with_timeout(scene)


def test_a_304_keeps_its_content_length(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(b"HTTP/1.1 304 Not\r\nContent-Length: 700\r\n\r\n"))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
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
def test_an_answer_to_head_has_no_body_and_keeps_the_connection(answer: bytes, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer), answering(GOOD))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to(method="HEAD"))
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            assert head.startswith(b"HTTP/1.1 200")
            assert (b"Content-Length: 5000000000" in head) == (b"5000000000" in answer)
            await client.send(requests_to())
            assert (await client.read())[2] == b"hi"
            assert backend.connections == 1 and backend.calls[0].head.startswith(b"HEAD / ")

    run_with_timeout(scene)


def test_a_body_after_an_answer_to_head_is_discarded_with_its_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            await client.send(requests_to(method="HEAD"))
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
            await client.send(requests_to())
            assert (await client.read())[2] == b"hi"
            assert backend.connections == 2  # the bytes after the head made the first connection unusable

    run_with_timeout(scene)


def test_rejected_head_requests_are_framed_without_a_body(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD), state="stopped")

        def text() -> str:
            return one_pool([backend]).replace('id = "s"', 'id = "s"\nstate = "stopped"')

        async with running_daemon(tmp_path, [backend], text) as here:
            client = await here.connect()
            for _ in range(2):
                await client.send(requests_to(method="HEAD"))
                head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
                assert head.startswith(b"HTTP/1.1 503")

    run_with_timeout(scene)


def test_hop_by_hop_headers_are_removed_in_both_directions(tmp_path: Path) -> None:
    answer = (
        b"HTTP/1.1 200 OK\r\nConnection: X-Theirs, keep-alive\r\nX-Theirs: 1\r\nKeep-Alive: 5\r\nTrailer: a\r\n"
        b"Upgrade: h2c\r\nContent-Length: 2\r\n\r\nhi"
    )

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
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
            _, headers = received_request(backend)
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


def test_an_upgrade_that_is_not_allowed_is_ignored_and_the_request_is_served(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            client = await here.connect()
            upgrade = requests_to("/", "GET", b"", "Connection: Upgrade", "Upgrade: websocket")
            await client.send(upgrade + requests_to("/next"))
            assert (await client.read())[0] == 200
            assert (await client.read())[0] == 200
            assert (
                "upgrade" not in received_request(backend)[1]
                and received_request(backend, 1)[0] == "GET /next HTTP/1.1"
            )

    run_with_timeout(scene)


def test_forwarding_headers_are_accepted_from_trusted_proxies_only(tmp_path: Path) -> None:
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

        async with running_daemon(tmp_path, [backend], text) as here:
            await here.ask(requests_to("/", "GET", b"", *claims))
            await here.ask(requests_to("/", "GET", b"", *claims), "inner")
            await here.ask(requests_to("/", "GET", b"", "X-Request-Id: mine"))
            _, untrusted = received_request(backend)
            assert untrusted["x-forwarded-for"] == "127.0.0.1" and untrusted["x-forwarded-proto"] == "http"
            assert untrusted["x-forwarded-host"] == "shop.test" and "x-real-ip" not in untrusted
            assert untrusted["forwarded"] == 'for=127.0.0.1;host="shop.test";proto=http'
            _, trusted = received_request(backend, 1)
            assert (
                trusted["x-forwarded-for"] == "9.9.9.9, 127.0.0.1" and trusted["x-forwarded-proto"] == "https"
            )
            assert trusted["forwarded"].startswith("for=9.9.9.9, for=127.0.0.1")
            assert (
                untrusted["x-request-id"] != trusted["x-request-id"]
                and received_request(backend, 2)[1]["x-request-id"] == "mine"
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
def test_request_targets_are_normalized_or_rejected(
    data: bytes, status: int, line: str, host: str, tmp_path: Path
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            assert (await here.ask(data))[0] == status
            if status == 200:
                got_line, headers = received_request(backend)
                assert got_line == line and headers["host"] == host
            else:
                assert not backend.calls
            assert (await here.ask(requests_to()))[0] == 200  # the proxy goes on serving

    run_with_timeout(scene)


def test_a_request_without_a_route_gets_404_and_keeps_the_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))

        def text() -> str:
            return one_pool([backend], routes=route("only", "web", prefix="/only"))

        async with running_daemon(tmp_path, [backend], text) as here:
            client = await here.connect()
            assert (await client.ask(requests_to("/other")))[0] == 404
            assert (await client.ask(requests_to("/only/x")))[0] == 200
            status, head, _ = await here.ask(requests_to("/other", "POST", b"abc"))
            assert status == 404 and b"Connection: close" in head  # the body is not read

    run_with_timeout(scene)


# Effects.


def test_a_safe_request_is_retried_and_an_unsafe_one_is_not(tmp_path: Path) -> None:
    async def scene() -> None:
        failing, healthy = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [failing, healthy]
        async with running_daemon(tmp_path, both, lambda: one_pool(both)) as here:
            for _ in range(12):
                assert (await here.ask(requests_to()))[0] == 200
            assert failing.calls
        clear_calls(failing, healthy)
        # A new proxy, which has no statistics of the members.
        async with running_daemon(tmp_path, both, lambda: one_pool(both)) as here:
            statuses = [(await here.ask(requests_to("/", "DELETE")))[0] for _ in range(30)]
            assert set(statuses) == {200, 502}
            assert statuses.count(502) == len(failing.calls) and len(failing.calls) + len(healthy.calls) == 30

    run_with_timeout(scene)


@pytest.mark.parametrize("with_key", [True, False])
def test_requests_of_a_keyed_class_are_retried_only_with_a_key(with_key: bool, tmp_path: Path) -> None:
    routes = route("all", "web", 'class = "book"') + KEYED

    async def scene() -> None:
        failing, healthy = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [failing, healthy]
        async with running_daemon(tmp_path, both, lambda: one_pool(both, routes=routes)) as here:
            statuses = []
            for number in range(12):
                lines = (f"Idempotency-Key: k{number}",) if with_key else ()
                statuses.append((await here.ask(requests_to("/", "POST", b"x", *lines)))[0])
            assert failing.calls
            assert set(statuses) == ({200} if with_key else {200, 502})
            if not with_key:
                assert len(failing.calls) + len(healthy.calls) == 12

    run_with_timeout(scene)


def test_a_safe_class_retries_unsafe_methods_only_if_the_route_names_them(tmp_path: Path) -> None:
    cls = '[[class]]\nname = "search"\naim = "1s"\ndeadline = "4s"\n'
    routes = route("s", "web", 'class = "search"', 'methods = ["POST"]', prefix="/search") + route(
        "all", "web", 'class = "search"'
    )

    async def scene() -> None:
        failing, healthy = ScriptedBackend("ill", resetting), ScriptedBackend("well", answering(GOOD))
        both = [failing, healthy]
        async with running_daemon(tmp_path, both, lambda: one_pool(both, routes=routes + cls)) as here:
            named = [(await here.ask(requests_to("/search", "POST", b"x")))[0] for _ in range(12)]
            assert set(named) == {200} and failing.calls
        clear_calls(failing, healthy)
        async with running_daemon(tmp_path, both, lambda: one_pool(both, routes=routes + cls)) as here:
            other = [(await here.ask(requests_to("/else", "POST", b"x")))[0] for _ in range(30)]
            assert (
                len(failing.calls) + len(healthy.calls) == 30 and other.count(502) == len(failing.calls) > 0
            )

    run_with_timeout(scene)


def test_a_500_answer_of_a_member_reaches_the_client(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 500 Broken\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nwhy"

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            status, head, body = await here.ask(requests_to("/", "POST", b"x"))
            assert (status, body) == (500, b"why") and b"text/plain" in head
            assert here.daemon.pools["web"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


@pytest.mark.parametrize("method, status", [("POST", 502), ("GET", 503)])
def test_a_503_of_a_member_becomes_502_for_an_unsafe_request(
    method: str, status: int, tmp_path: Path
) -> None:
    """An unsafe request that may have run gets no 503, since that would promise that a retry is safe."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            assert (await here.ask(requests_to("/", method)))[0] == status

    run_with_timeout(scene)


def test_a_503_with_the_refusal_header_is_retried_on_another_member(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 503 Busy\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n"

    async def scene() -> None:
        full, healthy = ScriptedBackend("full", answering(answer)), ScriptedBackend("well", answering(GOOD))
        both = [full, healthy]

        def text() -> str:
            return one_pool(both, 'refusal_header = "X-Not-Run"')

        async with running_daemon(tmp_path, both, text) as here:
            statuses = {(await here.ask(requests_to("/", "POST", b"x")))[0] for _ in range(12)}
            assert statuses == {200} and full.calls  # it never ran, so it was sent to the other member

    run_with_timeout(scene)


def test_the_deadline_of_a_route_gives_504(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", silent)
        routes = route("all", "web", 'deadline = "50ms"')
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend], routes=routes)) as here:
            assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 504

    run_with_timeout(scene)


# Bodies.


def test_bodies_and_answers_are_accepted_up_to_the_pools_limits(tmp_path: Path) -> None:
    limits = ("[pool.limits]", 'request_body = "100KiB"', 'answer_body = "200KiB"')

    async def scene() -> None:
        async def answer_body_twice(call: Call) -> None:
            body = call.body * 2
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        backend = ScriptedBackend("s", answer_body_twice)
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend], *limits)) as here:
            largest_body = bytes(100 << 10)
            status, _, body = await here.ask(requests_to("/", "POST", largest_body))
            assert (status, body) == (200, largest_body * 2)
            assert (await here.ask(requests_to("/", "POST", largest_body + b"x")))[0] == 413
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(largest_body), largest_body)
            data = requests_to("/", "PUT", b"", "Transfer-Encoding: chunked") + chunks
            assert (await here.ask(data))[0] == 200
            _, headers = received_request(backend, 1)
            assert headers["content-length"] == str(len(largest_body)) and "transfer-encoding" not in headers
            assert here.daemon.pools["web"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


@pytest.mark.parametrize("accepted", [True, False])
def test_a_close_delimited_answer_is_accepted_only_if_configured(accepted: bool, tmp_path: Path) -> None:
    async def answer_and_close(call: Call) -> None:
        await call.say(b"HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\nthe rest")
        call.writer.close()

    async def scene() -> None:
        backend = ScriptedBackend("s", answer_and_close)
        more = (f"close_delimited = {str(accepted).lower()}",)
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend], *more)) as here:
            status, _, body = await here.ask(requests_to("/", "POST", b"x"))
            assert (status, body) == ((200, b"the rest") if accepted else (502, b""))

    run_with_timeout(scene)


def test_a_load_report_is_applied_and_removed_from_the_answer(tmp_path: Path) -> None:
    answer = b'HTTP/1.1 200 OK\r\nX-Load: {"utilization": 0.7}\r\nContent-Length: 0\r\n\r\n'

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(answer))
        async with running_daemon(
            tmp_path, [backend], lambda: one_pool([backend], 'load_header = "X-Load"')
        ) as here:
            _, head, _ = await here.ask(requests_to())
            assert b"X-Load" not in head
            assert here.daemon.pools["web"].proxy.balancer.endpoints["s"].utilization == 0.7

    run_with_timeout(scene)
