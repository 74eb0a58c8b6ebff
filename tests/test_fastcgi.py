"""FastCGI over sockets: clients and applications, and what goes wrong between them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, AsyncIterator, Callable, Sequence

import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import Call, ScriptedBackend, answering, run_with_timeout

from loadbalancer.fastcgi.cgi import write_answer
from loadbalancer.fastcgi.records import Status, Type, encode, encode_begin, encode_end, encode_stream
from loadbalancer.policy.actions import Action
from loadbalancer.policy.events import (
    AttemptResult,
    Event,
    Outcome,
)
from standins.fastcgi import Application, FcgiCall, Script, WebServer, saying

HTTP_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
FCGI = 'protocol = "fastcgi"'
KEYED = '[[class]]\nname = "book"\naim = "1s"\ndeadline = "4s"\neffect = "keyed"\ndedup_window = "3s"\n'
OK = saying(200, b"hi")


def app_pool(name: str, apps: Sequence[Application], *more: str, params: str = "") -> str:
    return pool(name, apps, FCGI, *more, f"fastcgi = {{ params = {{ {params} }} }}" if params else "")  # type: ignore[arg-type]


@asynccontextmanager
async def fleet(
    folder: Path, apps: Sequence[Application], text: Callable[[], str]
) -> AsyncIterator[DaemonHarness]:
    async with running_daemon(folder, apps, text) as here:  # type: ignore[arg-type]
        yield here


def simple(apps: Sequence[Application], *more: str, front: str = "") -> Callable[[], str]:
    return lambda: LISTENER + front + route("all", "p", 'class = "book"') + KEYED + app_pool("p", apps, *more)


def outcomes(here: DaemonHarness, name: str = "p") -> list[AttemptResult]:
    """Watch the results that the module is told from here on."""
    balancer = here.daemon.pools[name].proxy.balancer
    seen: list[AttemptResult] = []
    handle = balancer.handle

    def watched(now: float, events: Sequence[Event]) -> list[Action]:
        seen.extend(event.result for event in events if isinstance(event, Outcome))
        return handle(now, events)

    balancer.handle = watched  # type: ignore[method-assign]
    return seen


# Upstream.


def test_a_request_to_an_application_and_back(tmp_path: Path) -> None:
    async def scene() -> None:
        app = Application("a", saying(201, b"made", b"X-Own: 1\r\n", b"Connection: close\r\n"))

        def text() -> str:
            return LISTENER + route("all", "p") + app_pool("p", [app], params='SCRIPT_FILENAME = "/srv/x"')

        async with fleet(tmp_path, [app], text) as here:
            status, head, body = await here.ask(
                requests_to("/a?b=c", "POST", b"data", "Content-Type: t", "X-A: 1")
            )
            assert (status, body) == (201, b"made") and b"X-Own: 1" in head and b"Connection" not in head
            (call,) = app.calls
            params = call.params
            assert (
                call.body == b"data" and params[b"CONTENT_LENGTH"] == b"4" and params[b"CONTENT_TYPE"] == b"t"
            )
            assert params[b"REQUEST_METHOD"] == b"POST" and params[b"REQUEST_URI"] == b"/a?b=c"
            assert params[b"SCRIPT_FILENAME"] == b"/srv/x" and params[b"HTTP_X_A"] == b"1"
            assert params[b"REMOTE_ADDR"] == b"127.0.0.1" and 0 < int(params[b"REQUEST_TIMEOUT_MS"]) <= 30_000
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_connections_are_kept_where_the_application_does(tmp_path: Path) -> None:
    async def scene() -> None:
        app = Application("a", OK)
        async with fleet(tmp_path, [app], simple([app])) as here:
            for _ in range(5):
                assert (await here.ask(requests_to()))[0] == 200
            assert app.connections == 1
            for connection in app.open:
                connection.close()
            await app.until(lambda: not app.open)
            assert (await here.ask(requests_to()))[0] == 200 and app.connections == 2
            app.scripts = [closing]
            for _ in range(3):
                assert (await here.ask(requests_to()))[0] == 200

    async def closing(call: FcgiCall) -> None:
        call.say(write_answer(200, b"OK", [], b"x"))
        call.connection.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("unix", [False, True])
def test_an_application_on_a_unix_socket(unix: bool, tmp_path: Path) -> None:
    async def scene() -> None:
        app = Application("a", OK)
        text = simple([app])
        if unix:
            start = app.start
            app.start = lambda path=None: start(str(tmp_path / "a.sock"))  # type: ignore[method-assign]
        async with fleet(tmp_path, [app], text) as here:
            assert app.address.startswith("unix:") == unix
            assert (await here.ask(requests_to()))[0] == 200

    run_with_timeout(scene)


ANSWER = write_answer(200, b"OK", [b"X: y\r\n"], b"whole body")


def exchange(call: FcgiCall) -> bytes:
    number = call.number
    return (
        encode(Type.STDERR, number, b"note")
        + encode_stream(Type.STDOUT, number, ANSWER)
        + encode(Type.STDOUT, number)
        + encode_end(number)
    )


@pytest.mark.parametrize("how", ["closed", "killed"])
def test_an_answer_cut_at_every_byte_has_one_effect_and_one_answer(how: str, tmp_path: Path) -> None:
    """An unsafe request whose answer is cut anywhere may have run: it fails, and never goes again."""

    async def scene() -> None:
        cut = 0

        async def script(call: FcgiCall) -> None:
            call.raw(exchange(call)[:cut])
            if how == "closed":
                call.connection.close()
            else:
                call.die()

        app = Application("a", script)
        async with fleet(tmp_path, [app], simple([app])) as here:
            client = await here.connect()
            whole = len(exchange(FcgiCall(1, {}, None)))  # type: ignore[arg-type]
            here.daemon.pools["p"].proxy.balancer.outliers.record_result = lambda *args, **kw: None  # type: ignore[method-assign]
            for cut in range(whole):
                await client.send(requests_to("/", "POST", b"x"))
                status, _, _ = await client.read()
                assert status == 502, cut
                assert len(app.calls) == cut + 1
            cut = whole
            if how == "closed":
                await client.send(requests_to("/", "POST", b"x"))
                assert (await client.read())[2] == b"whole body"
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_an_answer_that_stalls_at_any_byte_ends_at_the_deadline(tmp_path: Path) -> None:
    async def scene() -> None:
        whole = exchange(FcgiCall(1, {}, None))  # type: ignore[arg-type]
        cuts = list(range(0, len(whole), 7))

        async def script(call: FcgiCall) -> None:
            call.raw(exchange(call)[: cuts[len(app.calls) - 1]])

        app = Application("a", script)

        def text() -> str:
            return LISTENER + route("all", "p", 'deadline = "60ms"') + app_pool("p", [app])

        async with fleet(tmp_path, [app], text) as here:
            here.daemon.pools["p"].proxy.balancer.outliers.record_result = lambda *args, **kw: None  # type: ignore[method-assign]
            for number in range(len(cuts)):
                assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 504
                assert len(app.calls) == number + 1

    run_with_timeout(scene)


async def dies(call: FcgiCall) -> None:
    call.die()


def records(*wanted: tuple[int, bytes]) -> Script:
    async def script(call: FcgiCall) -> None:
        call.raw(b"".join(encode(kind, call.number, content) for kind, content in wanted))

    return script


def ends(status: int, application: int = 0) -> bytes:
    return encode_end(1, status, application)[8:16]


WHOLE = (Type.STDOUT, write_answer(200, b"OK", [], b"hi"))
BARE = (Type.STDOUT, b"Content-Type: t\r\n\r\nhi")
TABLE: list[tuple[str, Script, AttemptResult]] = [
    ("dies after reading, before answering", dies, AttemptResult.RESET),
    ("END_REQUEST without STDOUT", records((Type.END_REQUEST, ends(0))), AttemptResult.RESET),
    ("OVERLOADED", records((Type.END_REQUEST, ends(2))), AttemptResult.FULL),
    ("CANT_MPX_CONN", records((Type.END_REQUEST, ends(1))), AttemptResult.FULL),
    ("UNKNOWN_ROLE", records((Type.END_REQUEST, ends(3))), AttemptResult.FULL),
    ("OVERLOADED after STDOUT", records(WHOLE, (Type.END_REQUEST, ends(2))), AttemptResult.RESET),
    ("a protocol status that is none", records((Type.END_REQUEST, ends(9))), AttemptResult.RESET),
    ("an END_REQUEST that is none", records(WHOLE, (Type.END_REQUEST, b"x")), AttemptResult.RESET),
    ("no header block", records((Type.STDOUT, b"junk"), (Type.END_REQUEST, ends(0))), AttemptResult.RESET),
    (
        "a header block without end",
        records((Type.STDOUT, b"A: b\r\n" * 9000), (Type.END_REQUEST, ends(0))),
        AttemptResult.RESET,
    ),
    (
        "more than it states",
        records((Type.STDOUT, b"Content-Length: 1\r\n\r\nhi"), (Type.END_REQUEST, ends(0))),
        AttemptResult.RESET,
    ),
    (
        "less than it states",
        records((Type.STDOUT, b"Content-Length: 3\r\n\r\nhi"), (Type.END_REQUEST, ends(0))),
        AttemptResult.RESET,
    ),
    (
        "a status of 500",
        records((Type.STDOUT, b"Status: 500\r\n\r\nhi"), (Type.END_REQUEST, ends(0))),
        AttemptResult.ERROR,
    ),
    ("an exit status, no length", records(BARE, (Type.END_REQUEST, ends(0, 1))), AttemptResult.ERROR),
    ("an exit status, a length", records(WHOLE, (Type.END_REQUEST, ends(0, 1))), AttemptResult.SERVED),
    ("no length", records(BARE, (Type.END_REQUEST, ends(0))), AttemptResult.SERVED),
    ("STDOUT after END_REQUEST", records(WHOLE, (Type.END_REQUEST, ends(0)), WHOLE), AttemptResult.SERVED),
    ("a record of no request", records((Type.STDIN, b"x")), AttemptResult.RESET),
    ("another version", lambda call: _raw(call, b"\x02" + bytes(15)), AttemptResult.RESET),
    ("HTTP", lambda call: _raw(call, HTTP_OK), AttemptResult.RESET),
    ("id 0", lambda call: _raw(call, encode(Type.STDOUT, 0, b"x")), AttemptResult.RESET),
    (
        "another id alone",
        lambda call: _raw(call, encode(Type.STDOUT, 99, b"x") + encode_end(call.number)),
        AttemptResult.RESET,
    ),
]


async def _raw(call: FcgiCall, data: bytes) -> None:
    call.raw(data)


@pytest.mark.parametrize("name, script, result", TABLE, ids=[name for name, _, _ in TABLE])
def test_what_an_application_says_and_what_it_means(
    name: str, script: Script, result: AttemptResult, tmp_path: Path
) -> None:
    """Each for an unsafe request, first alone, then with another application that is well."""

    async def scene() -> None:
        app, well = Application("ill", script), Application("well", OK)
        async with fleet(tmp_path, [app, well], simple([app])) as here:
            seen = outcomes(here)
            status, head, _ = await here.ask(requests_to("/", "POST", b"x"))
            expected = {
                AttemptResult.SERVED: 200,
                AttemptResult.FULL: 503,
                AttemptResult.RESET: 502,
                AttemptResult.ERROR: 500,
            }[result]
            if name == "an exit status, no length":
                expected = 502
            assert (status, seen[0]) == (expected, result) and set(seen) == {result}
            assert len(app.calls) == len(seen)
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0
            await here.reload(LISTENER, route("all", "q"), app_pool("q", [app, well]))
            asked, before = 0, len(app.calls)
            while len(app.calls) == before:
                asked += 1
                status, _, _ = await here.ask(requests_to("/", "POST", b"x"))
            # Only what never ran went on to the other one.
            assert status == (200 if result in (AttemptResult.FULL, AttemptResult.SERVED) else expected)
            assert len(well.calls) == asked - (0 if result == AttemptResult.FULL else 1)

    run_with_timeout(scene)


def test_a_connection_with_something_left_on_it_is_not_used_again(tmp_path: Path) -> None:
    async def scene() -> None:
        late = records(WHOLE, (Type.END_REQUEST, ends(0)), WHOLE)
        app = Application("a", late, OK)
        async with fleet(tmp_path, [app], simple([app])) as here:
            client = await here.connect()
            for _ in range(2):
                assert (await client.ask(requests_to()))[1] == b"hi"
            assert app.connections == 2

    run_with_timeout(scene)


def test_a_break_before_the_params_have_ended_proves_that_it_never_ran(tmp_path: Path) -> None:
    """And one while STDIN is on its way does not: an application begins on its params."""

    async def scene() -> None:
        begun = Application("a", dies, early=True)
        async with fleet(
            tmp_path, [begun], simple([begun], "[pool.limits]", 'request_body = "8MiB"')
        ) as here:
            seen = outcomes(here)
            assert (await here.ask(requests_to("/", "POST", bytes(8 << 20))))[0] == 502
            assert seen == [AttemptResult.RESET]

    run_with_timeout(scene)


def test_head_and_answers_without_a_body(tmp_path: Path) -> None:
    async def scene() -> None:
        app = Application("a", saying(200, b"body"), saying(204, b""), saying(304, b""), OK)
        async with fleet(tmp_path, [app], simple([app])) as here:
            client = await here.connect()
            for method, line in (("HEAD", b"Content-Length: 4"), ("GET", b"204"), ("GET", b"304")):
                await client.send(requests_to("/", method))
                head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), 10)
                assert line in head
            assert (await client.ask(requests_to()))[1] == b"hi"

    run_with_timeout(scene)


def test_stderr_goes_to_the_log_bounded(tmp_path: Path) -> None:
    async def loud(call: FcgiCall) -> None:
        call.say(write_answer(200, b"OK", [], b"x"), b"trouble\n" * 20_000)

    async def scene() -> None:
        app = Application("a", loud)
        async with fleet(tmp_path, [app], simple([app])) as here:
            assert (await here.ask(requests_to()))[0] == 200
            (line,) = [line for line in here.heard.lines if "stderr" in line]
            assert "trouble" in line and len(line) < 20_000

    run_with_timeout(scene)


# Front.


def front(*more: str) -> str:
    return FCGI + "\n" + "".join(f"{line}\n" for line in more)


@asynccontextmanager
async def behind_fastcgi(
    folder: Path, backend: ScriptedBackend, *more: str, listener: str = LISTENER
) -> AsyncIterator[tuple[DaemonHarness, WebServer]]:
    def text() -> str:
        return listener + front(*more) + route("all", "p", 'class = "book"') + KEYED + pool("p", [backend])

    async with running_daemon(folder, [backend], text) as here:
        web = await WebServer.connect(here.daemon.listeners["main"].address)
        try:
            yield here, web
        finally:
            web.close()


def test_a_request_of_a_web_server_and_back(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend(
            "s", answering(b"HTTP/1.1 404 Gone\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno")
        )
        async with behind_fastcgi(tmp_path, backend, 'trusted = ["127.0.0.0/8"]') as (here, web):
            answer = await web.ask(1, "POST", "/a//b?c", body=b"data", HTTP_X_THING="7", CONTENT_TYPE="t")
            assert (answer.status, answer.body, answer.protocol) == (404, b"no", 0) and answer.headers[
                b"x-a"
            ] == b"1"
            head = backend.calls[0].head
            assert head.startswith(b"POST /a/b?c HTTP/1.1\r\n") and backend.calls[0].body == b"data"
            for line in (
                b"Host: shop.test",
                b"X-Thing: 7",
                b"Content-Type: t",
                b"X-Forwarded-For: 9.8.7.6",
                b"Content-Length: 4",
            ):
                assert head.count(b"\n" + line + b"\r\n") == 1, line

    run_with_timeout(scene)


def test_a_stranger_does_not_speak_for_its_client(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            await web.ask(1)
            assert b"X-Forwarded-For: 127.0.0.1\r\n" in backend.calls[0].head

    run_with_timeout(scene)


@pytest.mark.parametrize("keep", [True, False])
def test_keep_conn(keep: bool, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            assert (await web.ask(1, keep=keep)).status == 200
            if keep:
                assert (await web.ask(1)).status == 200  # the same id again
            else:
                assert await web.ended() == b""

    run_with_timeout(scene)


def test_requests_at_once_each_get_their_own_answer_in_any_order(tmp_path: Path) -> None:
    async def scene() -> None:
        gates = [asyncio.Event() for _ in range(5)]

        async def script(call: Call) -> None:
            number = int(call.head.split(b"/")[1].split(b" ")[0])
            await gates[number].wait()
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number)

        backend = ScriptedBackend("s", script)
        async with behind_fastcgi(tmp_path, backend, "requests_at_once = 4") as (here, web):
            here.daemon.pools["p"].proxy.balancer.endpoints["s"].answered = True
            await web.send(b"".join(web.request(n + 1, "GET", f"/{n}") for n in range(5)))
            assert (await web.read(5)).protocol == Status.OVERLOADED  # never begun
            await backend.until_called(4)
            for number in (2, 0, 3, 1):
                gates[number].set()
                answer = await web.read(number + 1)
                assert answer.body == b"%d" % number
            assert len(backend.calls) == 4

    run_with_timeout(scene)


@pytest.mark.parametrize("how", ["closed", "killed"])
def test_a_request_cut_at_every_byte_reaches_nobody(how: str, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            data = web.request(1, "POST", "/", b"body")
            address = here.daemon.listeners["main"].address
            for cut in range(len(data)):
                other = await WebServer.connect(address)
                await other.send(data[:cut])
                if how == "closed":
                    other.close()
                else:
                    other.writer.transport.abort()
            await here.until(lambda: len(here.daemon.listeners["main"].connections) == 1)
            assert not backend.calls
            assert (await web.ask(1, "POST", body=b"body")).status == 200
            proxy = here.daemon.pools["p"].proxy
            assert not proxy.open and proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_a_request_in_single_bytes(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            for byte in web.request(1, "POST", "/", b"body"):
                await web.send(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await web.read(1)).status == 200 and len(backend.calls) == 1

    run_with_timeout(scene)


def test_a_request_that_stalls_is_answered_408(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.frontends.fastcgi.REQUEST_S", 0.0)

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            await web.send(web.request(1, "POST", "/", b"body")[:-8])
            assert (await web.read(1)).status == 408 and not backend.calls

    run_with_timeout(scene)


def test_a_request_that_stalls_at_any_byte_is_ended_and_reaches_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With its params whole it is answered 408, before that the connection is closed."""
    monkeypatch.setattr("loadbalancer.frontends.fastcgi.REQUEST_S", 0.0)

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            data = web.request(1, "POST", "/", b"body")
            params_end = data.index(encode(Type.PARAMS, 1)) + 8
            listener = here.daemon.listeners["main"]
            for cut in range(1, len(data)):
                other = await WebServer.connect(listener.address)
                await other.send(data[:cut])
                await here.until(lambda: any(c.phase != 0 for c in listener.connections))
                connection = next(c for c in listener.connections if c.phase != 0)
                connection.sweep(connection.since + 1.0)
                if cut >= params_end:
                    assert (await other.read(1)).status == 408
                else:
                    assert await other.ended() == b""
                other.close()
                await here.until(lambda: all(c.phase == 0 for c in listener.connections))
            assert not backend.calls and here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


BAD: dict[str, tuple[bytes, int]] = {
    "more on STDIN than stated": (encode_stream(Type.STDIN, 1, b"12345") + encode(Type.STDIN, 1), 400),
    "less on STDIN than stated": (encode_stream(Type.STDIN, 1, b"1") + encode(Type.STDIN, 1), 400),
    "nothing on STDIN": (encode(Type.STDIN, 1), 400),
}


@pytest.mark.parametrize("kind", BAD)
def test_a_length_that_disagrees(kind: str, tmp_path: Path) -> None:
    stdin, status = BAD[kind]

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            whole = web.request(1, "POST", "/", b"four")
            head = whole[: whole.index(encode(Type.STDIN, 1, b"four"))]
            await web.send(head + stdin)
            assert (await web.read(1)).status == status and not backend.calls
            assert (await web.ask(2)).status == 200
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "params",
    [
        {"REQUEST_METHOD": ""},
        {"REQUEST_URI": "/\r\nX: 1"},
        {"HTTP_X": "a\r\nB: c"},
        {"CONTENT_LENGTH": "-1"},
        {"REQUEST_URI": "/../x"},
        {"HTTP_HOST": "a b"},
        {"REQUEST_METHOD": "CONNECT"},
    ],
)
def test_params_that_are_no_request_go_no_further(params: dict[str, Any], tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            assert (await web.ask(1, **params)).status in (400, 501) and not backend.calls
            assert (await web.ask(2)).status == 200

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        encode_begin(0, True),
        encode_begin(1, True) * 2,
        encode(Type.STDIN, 0),
    ],
)
def test_what_is_no_fastcgi_ends_the_connection_once_what_is_open_is_answered(
    data: bytes, tmp_path: Path
) -> None:
    async def scene() -> None:
        gate = asyncio.Event()

        async def held(call: Call) -> None:
            await gate.wait()
            await call.say(HTTP_OK)

        backend = ScriptedBackend("s", held)
        async with behind_fastcgi(tmp_path, backend) as (_, web):
            await web.send(web.request(9))
            await backend.until_called()
            await web.send(data)
            gate.set()
            assert (await web.read(9)).body == b"hi"
            assert await web.ended() == b""

    run_with_timeout(scene)


def test_an_abort_gives_up_the_attempt_and_frees_the_id(tmp_path: Path) -> None:
    async def scene() -> None:
        async def silent(call: Call) -> None:
            await call.left()

        backend = ScriptedBackend("s", silent, answering(HTTP_OK))
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            await web.send(web.request(1, "POST", "/", b"x"))
            call = await backend.until_called()
            await web.send(encode(Type.ABORT_REQUEST, 1))
            answer = await web.read(1)
            assert (answer.status, answer.protocol) == (0, 0)  # END_REQUEST and nothing else
            await call.left()  # the attempt's connection is closed
            assert not here.daemon.pools["p"].proxy.open
            assert (await web.ask(1)).status == 200

    run_with_timeout(scene)


def test_a_web_server_that_leaves_withdraws_all_its_requests(tmp_path: Path) -> None:
    async def scene() -> None:
        async def silent(call: Call) -> None:
            await call.left()

        backend = ScriptedBackend("s", silent)
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            here.daemon.pools["p"].proxy.balancer.endpoints["s"].answered = True
            await web.send(b"".join(web.request(n, "POST", "/", b"x") for n in (1, 2, 3)))
            await backend.until_called(3)
            web.close()
            await here.until(lambda: not here.daemon.pools["p"].proxy.open)
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_a_slow_reader_holds_its_budget_and_is_cut(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.frontends.fastcgi.READ_STALL_S", 0.0)

    async def scene() -> None:
        body = bytes(900 << 10)
        backend = ScriptedBackend(
            "s", answering(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        )
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            web.writer.transport.pause_reading()  # type: ignore[attr-defined]
            listener = here.daemon.listeners["main"]
            number = 0
            while listener.connections:
                number += 1
                await web.send(web.request(number))
                for _ in range(200):
                    await asyncio.sleep(0)
            assert here.daemon.pools["p"].proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_the_end_answers_all_multiplexed_requests(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = asyncio.Event()

        async def held(call: Call) -> None:
            await gate.wait()
            await call.say(HTTP_OK)

        backend = ScriptedBackend("s", held)
        async with behind_fastcgi(tmp_path, backend) as (here, web):
            here.daemon.pools["p"].proxy.balancer.endpoints["s"].answered = True
            await web.send(b"".join(web.request(n) for n in (1, 2, 3)))
            await backend.until_called(3)
            listener = here.daemon.listeners["main"]
            end = asyncio.ensure_future(here.daemon.end())
            await here.until(lambda: listener._sock is None)
            gate.set()
            for number in (3, 1, 2):
                assert (await web.read(number)).status == 200
            assert await web.ended() == b""
            web.close()
            await end

    run_with_timeout(scene)


def test_a_member_that_drains_with_multiplexed_requests_open(tmp_path: Path) -> None:
    async def scene() -> None:
        gate = asyncio.Event()

        async def held(call: Call) -> None:
            await gate.wait()
            await call.say(HTTP_OK)

        old, new = ScriptedBackend("old", held), ScriptedBackend("new", answering(HTTP_OK))

        def text(state: str) -> str:
            warm = 'rules = { new_members = "warm" }'
            both = state == "draining"
            members = pool("p", [old, new] if both else [old], warm, old={"state": state})
            return LISTENER + front() + route("all", "p") + members

        async with running_daemon(tmp_path, [old, new], lambda: text("serving")) as here:
            here.daemon.pools["p"].proxy.balancer.endpoints["old"].answered = True
            web = await WebServer.connect(here.daemon.listeners["main"].address)
            await web.send(b"".join(web.request(n, "POST", "/", b"x") for n in (1, 2, 3)))
            await old.until_called(3)
            await here.reload(text("draining"))
            for number in range(4, 9):
                assert (await web.ask(number, "POST", body=b"y")).status == 200
            gate.set()
            for number in (1, 2, 3):
                assert (await web.read(number)).status == 200
            assert (len(old.calls), len(new.calls)) == (3, 5)
            web.close()

    run_with_timeout(scene)


def test_a_listener_on_a_unix_socket(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(HTTP_OK))
        path = tmp_path / "front.sock"
        listener = LISTENER.replace("127.0.0.1:0", f"unix:{path}")
        async with behind_fastcgi(tmp_path, backend, listener=listener) as (here, web):
            assert (await web.ask(1)).status == 200
            assert (
                b"X-Forwarded-For: 9.8.7.6\r\n" in backend.calls[0].head
            )  # who may open it speaks for clients
            before = here.daemon.listeners["main"]
            await here.reload()
            assert here.daemon.listeners["main"] is before and path.exists()
            here.daemon.close()
            assert not path.exists()

    run_with_timeout(scene)


def test_fastcgi_to_fastcgi(tmp_path: Path) -> None:
    async def scene() -> None:
        app = Application("a", OK)
        async with fleet(tmp_path, [app], simple([app], front=front())) as here:
            web = await WebServer.connect(here.daemon.listeners["main"].address)
            answer = await web.ask(1, "POST", "/x", body=b"body", HTTP_X_A="b")
            assert (answer.status, answer.body) == (200, b"hi")
            assert app.calls[0].body == b"body" and app.calls[0].params[b"HTTP_X_A"] == b"b"
            app.scripts = [dies]
            answer = await web.ask(2, "POST", "/x", body=b"body")
            assert answer.status == 502 and len(app.calls) == 2  # one effect, one answer
            web.close()

    run_with_timeout(scene)


# Long answers.

LONG = 300_000
STREAMED = 'limits = { answer_body = "64KiB", answer_stream = "1MiB" }'


def stdout(call: FcgiCall, data: bytes) -> bytes:
    return encode_stream(Type.STDOUT, call.number, data)


def long_head(stated: int | None) -> bytes:
    length = b"Content-Length: %d\r\n" % stated if stated is not None else b""
    return b"Status: 200 OK\r\n%b\r\n" % length


@pytest.mark.parametrize("stated", [LONG, None])
def test_a_long_answer_of_an_application_goes_on_as_it_comes(stated: int | None, tmp_path: Path) -> None:
    async def scene() -> None:
        body = bytes(range(250)) * (LONG // 250)

        async def script(call: FcgiCall) -> None:
            call.raw(stdout(call, long_head(stated) + body[:200_000]))
            await go_on.wait()
            call.raw(stdout(call, body[200_000:]))
            call.end(encode(Type.STDOUT, call.number))

        app = Application("a", script)
        async with fleet(tmp_path, [app], simple([app], STREAMED)) as here:
            proxy = here.daemon.pools["p"].proxy
            for _ in range(2):
                go_on = asyncio.Event()
                client = await here.connect()
                await client.send(requests_to("/"))
                await asyncio.wait_for(
                    client.reader.readuntil(b"\r\n\r\n"), 10
                )  # the application still waits
                go_on.set()
                if stated is not None:
                    got = await client.reader.readexactly(LONG)
                else:
                    got = b""
                    while size := int(await client.reader.readline(), 16):
                        got += (await client.reader.readexactly(size + 2))[:-2]
                assert got == body
            assert app.connections == 1  # it is kept
            await here.until(lambda: not proxy.open)
            assert proxy.budget.held_bytes == 0 and not proxy.streams

    run_with_timeout(scene)


#: What an application does once 200,000 bytes of its answer have gone on; with the length that it states.
SPOILT: dict[str, tuple[int | None, Callable[[FcgiCall], None]]] = {
    "ends early": (LONG, lambda call: call.end()),
    "says too much": (LONG, lambda call: call.end(stdout(call, bytes(LONG)))),
    "fails at its end": (None, lambda call: call.end(stdout(call, bytes(9)), status=1)),
    "has no end": (None, lambda call: call.raw(stdout(call, bytes(1 << 20)))),
    "breaks": (LONG, lambda call: call.connection.close()),
}


@pytest.mark.parametrize("kind", SPOILT)
def test_a_long_answer_that_turns_out_spoilt_is_seen_to_and_goes_to_nobody_else(
    kind: str, tmp_path: Path
) -> None:
    stated, finish = SPOILT[kind]

    async def scene() -> None:
        begun = asyncio.Event()

        async def script(call: FcgiCall) -> None:
            call.raw(stdout(call, long_head(stated) + bytes(200_000)))
            await begun.wait()
            finish(call)

        apps = [Application(name, script) for name in "ab"]
        async with fleet(tmp_path, apps, simple(apps, STREAMED)) as here:
            proxy, seen = here.daemon.pools["p"].proxy, outcomes(here)
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await here.until(lambda: proxy.streams)
            begun.set()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                while await client.reader.readexactly(1 << 16):
                    pass
            await here.until(lambda: not proxy.open)
            assert seen == [AttemptResult.RESET] and sum(len(app.calls) for app in apps) == 1
            assert proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_a_client_that_reads_nothing_holds_the_application(tmp_path: Path) -> None:
    async def scene() -> None:
        async def script(call: FcgiCall) -> None:
            call.raw(stdout(call, long_head(16 << 20) + bytes(16 << 20)))
            call.end()

        app = Application("a", script)
        text = simple([app], 'limits = { answer_body = "64KiB", answer_stream = "32MiB" }')
        async with fleet(tmp_path, [app], text) as here:
            client = await here.connect()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await client.send(requests_to("/"))
            connections = here.daemon.listeners["main"].connections
            await here.until(lambda: any(c.blocked_since for c in connections))
            (connection,) = connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 2 << 20
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            status, _, body = await client.read()
            assert status == 200 and len(body) == 16 << 20

    run_with_timeout(scene)
