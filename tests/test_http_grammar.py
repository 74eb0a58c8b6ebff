"""Messages against the grammar of HTTP: malformed ones are neither run nor served, sound ones pass unchanged."""

from __future__ import annotations

import asyncio
from itertools import count
from pathlib import Path
from typing import Iterator

import peers
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from peers import Call, Client, ScriptedBackend, answering, run_with_timeout, running_proxy
from test_protocol_offers import FRONTS, serving

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
INVALID_HOSTS = (
    "a b", "a\tb", "a,b", "u@h", "a/b", "a?b", "a#b", "a:b", "a:99999", "a:80:80", "[::1", "::1", "a\\b", "a<b",
    "%zz", "\x80", "a;b", '"a"', "http://a", "[::g]", "[]", "a:-1", "[1.2.3.4]", "a|b", "[::1]x",
)  # fmt: skip
INVALID_TARGETS = (
    "/a#fragment", '/"', "/<", "/>", "/\\", "/^", "/`", "/{", "/}", "/|", "/[", "/]", "/%zz", "/%0", "/%", "/a?%",
    "/a?b#c", '/a?"', "/a?<", "/a?>", "/a?\x80", "*", "a", "a:80", "/\x80",
)  # fmt: skip
INVALID_VERSIONS = ("2.0", "0.9", "3.0", "1.2", "1.10")
INVALID_CODINGS = (
    "gzip, chunked", "deflate, chunked", "trailers, chunked", "identity, chunked", "chunked, chunked", "gzip",
    "identity", "chunked;q=1", "chunked,", '"chunked"',
)  # fmt: skip
INVALID_CHUNK_LINES = (
    "5;=b",
    "5;",
    "5;a=",
    "5;a=b=c",
    '5;a="b',
    "5;a b",
    "5;;a",
    "5; a = b c",
    "0x5",
    "+5",
    "5 a",
)

_numbers = count()


def head(method: str, target: str, *lines: str, host: str = "a", version: str = "1.1") -> bytes:
    """Return a head that both readers take, unless a part of it is malformed."""
    lane = "safe" if method == "GET" else "unsafe"
    own = [f"X-Txn: g{next(_numbers)}", f"X-Lane: {lane}"]
    text = "\r\n".join([f"{method} {target} HTTP/{version}", f"Host: {host}", *own, *lines])
    return text.encode("latin-1") + b"\r\n\r\n"


def chunked_body(line: str = "5") -> bytes:
    return f"{line}\r\nhello\r\n0\r\n\r\n".encode()


def invalid_requests() -> Iterator[tuple[str, bytes]]:
    """Yield malformed requests, each with a name."""
    for host in INVALID_HOSTS:
        yield f"host {host!a}", head("GET", "/a", host=host)
    for target in INVALID_TARGETS:
        yield f"target {target!a}", head("GET", target)
    for version in INVALID_VERSIONS:
        yield f"version {version}", head("GET", "/a", version=version)
    for coding in INVALID_CODINGS:
        yield f"coding {coding}", head("POST", "/a", f"Transfer-Encoding: {coding}") + chunked_body()
    coding_line = "Transfer-Encoding: chunked"
    yield "chunked in HTTP/1.0", head("POST", "/a", coding_line, version="1.0") + chunked_body()
    for line in INVALID_CHUNK_LINES:
        yield f"chunk {line}", head("POST", "/a", coding_line) + chunked_body(line)
    yield "two codings", head("POST", "/a", coding_line, coding_line) + chunked_body()


@pytest.mark.parametrize("form", ["whole", "in pieces", "behind a sound one"])
@pytest.mark.parametrize("front", FRONTS)
def test_malformed_request_is_refused_and_reaches_no_member(
    front: str, form: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against malformed requests that are answered as served."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            sound_ones = 0
            for name, data in invalid_requests():
                client = await connect()
                if form == "behind a sound one":
                    sound_ones += 1
                    await client.send(head("GET", "/sound") + data)
                    assert (await client.read())[0] == 200, name
                elif form == "whole":
                    await client.send(data)
                else:
                    await send_in_pieces(client, data)
                assert (await client.read())[0] in (400, 501, 505), name
                assert len(backend.calls) == sound_ones, name

    run_with_timeout(scene)


@pytest.mark.parametrize(("front", "status"), [("run http", 400), ("serve http", 200)])
def test_characters_that_browsers_do_not_encode_pass_in_queries_of_ordinary_clients_alone(
    front: str, status: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against browsers that are refused, and against a platform that serves what its pages do not have."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with serving(front, tmp_path, backend, monkeypatch) as connect:
            for character in "[]{}|\\^`":
                client = await connect()
                await client.send(head("GET", f"/a?b{character}=1"))
                assert (await client.read())[0] == status, character

    run_with_timeout(scene)


async def send_in_pieces(client: Client, data: bytes) -> None:
    for at in range(0, len(data), 3):
        client.writer.write(data[at : at + 3])
        await asyncio.sleep(0)


@pytest.mark.parametrize("host", [host for host in INVALID_HOSTS if host.isascii()])
def test_malformed_host_in_fastcgi_parameters_is_refused(host: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a front end that reads the same request by another grammar."""
    monkeypatch.setattr(peers, "COMBINATION", ["fastcgi", "http/1.1"])

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            await client.send(head("GET", "/a", host=host))
            assert (await client.read())[0] == 400
            assert not backend.calls

    run_with_timeout(scene)


def answer(status_line: str, *lines: str, body: bytes = b"") -> bytes:
    return "\r\n".join([status_line, *lines]).encode("latin-1") + b"\r\n\r\n" + body


def invalid_answers(padding: bytes = b"") -> Iterator[tuple[str, bytes]]:
    """Yield malformed answers, each with a name; `padding`: chunks before the malformed one."""
    chunked = "Transfer-Encoding: chunked"
    for version in ("2.0", "0.9", "1.2"):
        yield f"version {version}", answer(f"HTTP/{version} 200 OK", "Content-Length: 2", body=b"hi")
    for reason in ("O\0K", "O\x01K", "O\x7fK"):
        yield f"reason {reason!a}", answer(f"HTTP/1.1 200 {reason}", "Content-Length: 2", body=b"hi")
    for coding in INVALID_CODINGS:
        lines = f"Transfer-Encoding: {coding}", "Connection: close"
        yield f"coding {coding}", answer("HTTP/1.1 200 OK", *lines, body=chunked_body())
    yield "two codings", answer("HTTP/1.1 200 OK", chunked, chunked, body=chunked_body())
    yield "chunked in HTTP/1.0", answer("HTTP/1.0 200 OK", chunked, body=chunked_body())
    for line in INVALID_CHUNK_LINES:
        yield f"chunk {line}", answer("HTTP/1.1 200 OK", chunked, body=padding + chunked_body(line))


@pytest.mark.parametrize("front", FRONTS)
def test_malformed_answer_is_not_served(front: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers that no server has made as the client gets them."""
    current = b""

    async def script(call: Call) -> None:
        await call.say(current)
        call.writer.close()

    async def scene() -> None:
        nonlocal current
        async with serving(front, tmp_path, ScriptedBackend("s", script), monkeypatch) as connect:
            for name, data in invalid_answers():
                current = data
                client = await connect()
                await client.send(head("POST", "/a", "Content-Length: 0"))
                assert (await client.read())[0] in (502, 503), name

    run_with_timeout(scene)


@pytest.mark.parametrize("line", INVALID_CHUNK_LINES)
def test_malformed_chunk_behind_a_long_beginning_ends_the_answer_with_a_reset(line: str) -> None:
    """Guards against a streamed answer that looks whole although it was malformed."""

    async def scene() -> None:
        async def script(call: Call) -> None:
            padding = b"186a0\r\n%b\r\n" % bytes(100_000)
            begin = answer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", body=padding)
            await call.say(begin + chunked_body(line))

        async with running_proxy(ScriptedBackend("s", script)) as here:
            client = await here.connect()
            await client.send(head("POST", "/a", "Content-Length: 0"))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.read()

    run_with_timeout(scene)


#: Each example starts a proxy, so a failing one is shown as it was drawn.
BOUNDED = settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)

# Properties: sound messages of the grammar pass unchanged, mutations of them are refused.

NAME_CHARACTERS = "abcxyzABC0189-._~"
SUB_DELIMITERS = "!$&'()*+,;="
TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~09azAZ"
percent_encoded = st.integers(0, 255).map(lambda byte: f"%{byte:02X}")
path_characters = st.sampled_from(NAME_CHARACTERS + SUB_DELIMITERS + ":@/") | percent_encoded
paths = st.lists(path_characters, max_size=12).map(lambda parts: "/" + "".join(parts))
queries = st.lists(path_characters | st.just("?"), max_size=12).map(lambda parts: "?" + "".join(parts))
targets = st.tuples(paths, st.just("") | queries).map("".join)
names = st.text(NAME_CHARACTERS, min_size=1, max_size=12)
addresses = st.ip_addresses(v=4).map(str) | st.ip_addresses(v=6).map(lambda address: f"[{address}]")
ports = st.just("") | st.just(":") | st.integers(0, 65535).map(lambda port: f":{port}")
hosts = st.tuples(names | addresses, ports).map("".join)
tokens = st.text(TOKEN_CHARACTERS, min_size=1, max_size=4)
quoted = st.lists(st.sampled_from(["a", ";", "=", " ", '\\"', "\\\\", "\t"]), max_size=5).map(
    lambda parts: '"' + "".join(parts) + '"'
)
# The parser library takes no whitespace around the parts of an extension ("bad whitespace", RFC 9110, 5.6.3).
extensions = st.tuples(st.just(";"), tokens).map("".join) | st.tuples(
    st.just(";"), tokens, st.just("="), tokens | quoted
).map("".join)
chunk_data = st.binary(min_size=1, max_size=40)
chunks = st.tuples(chunk_data, st.lists(extensions, max_size=2).map("".join))
bodies = st.lists(chunks, max_size=4)
requests = st.tuples(targets, hosts, bodies, st.lists(extensions, max_size=1).map("".join))


def encode_chunks(body: list[tuple[bytes, str]], last_extension: str) -> bytes:
    parts = [f"{len(data):x}{extension}\r\n".encode() + data + b"\r\n" for data, extension in body]
    return b"".join(parts) + f"0{last_extension}\r\n\r\n".encode()


@BOUNDED
@given(examples=st.lists(requests, min_size=10, max_size=10), size=st.integers(1, 400))
def test_sound_requests_pass_unchanged(
    examples: list[tuple[str, str, list[tuple[bytes, str]], str]], size: int
) -> None:
    """Guards against a grammar that refuses what the standards allow."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            for target, host, body, last in examples:
                data = head("POST", target, "Transfer-Encoding: chunked", host=host)
                data += encode_chunks(body, last)
                for at in range(0, len(data), size):
                    await client.send(data[at : at + size])
                assert await client.read() is not None
                call = backend.calls[-1]
                assert (
                    call.head.split(b" ")[1] == target.encode()
                    and f"\r\nHost: {host}\r\n".encode() in call.head
                )
                assert call.body == b"".join(part for part, _ in body)
            assert len(backend.calls) == len(examples)

    run_with_timeout(scene)


@BOUNDED
@given(examples=st.lists(st.tuples(bodies, extensions), min_size=10, max_size=10), size=st.integers(1, 400))
def test_sound_answers_pass_unchanged(examples: list[tuple[list[tuple[bytes, str]], str]], size: int) -> None:
    """Guards against answers that are rejected although they are sound."""

    async def scene() -> None:
        waiting = iter(examples)

        async def script(call: Call) -> None:
            body, last = next(waiting)
            data = answer(
                "HTTP/1.1 200 Fine \xe9", "Transfer-Encoding: chunked", body=encode_chunks(body, last)
            )
            for at in range(0, len(data), size):
                await call.say(data[at : at + size])

        async with running_proxy(ScriptedBackend("s", script)) as here:
            client = await here.connect()
            for body, _ in examples:
                status, answered = await client.ask(head("POST", "/a", "Content-Length: 0"))
                assert (status, answered) == (200, b"".join(part for part, _ in body))

    run_with_timeout(scene)


MUTATION_BYTES = ' \t\0\x01\x7f\x80"<>\\^`{|}[]#,;@'


@BOUNDED
@given(
    target=targets, host=hosts, extension=extensions, character=st.sampled_from(MUTATION_BYTES), part=st.integers(0, 2),
    place=st.integers(0, 30),
)  # fmt: skip
def test_mutated_requests_are_refused_or_forwarded_as_they_are(
    target: str, host: str, extension: str, character: str, part: int, place: int
) -> None:
    """Guards against one byte that makes a message malformed, and is passed on or dropped in silence."""
    mutated = [target, host, extension]
    at = min(place, len(mutated[part]))
    mutated[part] = mutated[part][:at] + character + mutated[part][at:]
    target, host, extension = mutated

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            data = head("POST", target, "Transfer-Encoding: chunked", host=host)
            await client.send(data + encode_chunks([(b"hello", extension)], ""))
            status = (await client.read())[0]
            if status == 200:
                # Words of a request line may be split at any white space (RFC 9112, 3).
                assert part != 0 or character in ",;@" or target != target.strip(" "), (
                    target,
                    host,
                    extension,
                )
                assert part != 1 or character in " \t" and at in (0, len(host) - 1), (target, host, extension)
                assert part != 2 or _is_sound_extension(extension), (target, host, extension)
                assert backend.calls[0].head.split(b" ")[1] == target.strip(" ").encode("latin-1")
            else:
                assert status in (400, 501, 505) and not backend.calls

    run_with_timeout(scene)


def _is_sound_extension(extension: str) -> bool:
    """Return whether a mutation left extensions sound: one may have become two, or the change is in a quoted value."""
    if '"' in extension:
        return True
    return all(_is_sound_part(part) for part in extension.strip(" \t").removeprefix(";").split(";"))


def _is_sound_part(part: str) -> bool:
    name, equals, value = part.partition("=")
    names = [text.strip(" \t") for text in ((name, value) if equals else (name,))]
    return all(text and set(text) <= set(TOKEN_CHARACTERS) for text in names)
