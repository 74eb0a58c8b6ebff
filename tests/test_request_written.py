"""Whether the last byte of a request was written: an attempt counts as never run only if it provably was not."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from functools import partial
from typing import Any, Callable, cast

import certs
import peers
import pytest
from peers import (
    OK,
    SETTINGS,
    TIMEOUT_S,
    Call,
    ScriptedBackend,
    answering,
    request,
    resetting,
    run_with_timeout,
    running_proxy,
    silent,
)
from test_uploads import LONG_BODY_BYTES, long_request_head

from loadbalancer.fastcgi.records import Type, encode, encode_pairs
from loadbalancer.kernel_buffers import unacknowledged_bytes
from loadbalancer.memory_account import BufferBudget
from loadbalancer.policy.events import NEVER_RAN, AttemptResult
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams import base
from loadbalancer.upstreams.connections import Attempt, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.fastcgi import FastCgiUpstreamConnection, application
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from loadbalancer.upstreams.multiplex import MultiplexedConnection

HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"
BODY_BYTES = 300_000
#: A body that the kernel takes whole although its peer has no room for it.
KERNEL_BODY_BYTES = 40_000
#: Size of the kernel's buffers on both sides where a test wants some of a request to stay in the process.
SMALL_BUFFER_BYTES = 4096
#: Bytes beyond what these buffers hold: a single read of the member makes room for them.
REST_BYTES = 1000
CAN_MULTIPLEX = encode(Type.GET_VALUES_RESULT, 0, encode_pairs([(b"FCGI_MPXS_CONNS", b"1")]))
APPLICATION = application({}, True, False)
CONNECTIONS: dict[str, Callable[..., Any]] = {
    "http/1.1": Http1UpstreamConnection,
    "fastcgi": partial(FastCgiUpstreamConnection, application=APPLICATION),
    "multiplexed fastcgi": partial(MultiplexedConnection, application=APPLICATION),
}


class PartialSocket:
    """The socket of a connection, whose next `send` accepts only a part although the kernel has room for the rest."""

    def __init__(self, sock: socket.socket, after_send: Callable[[], None] = lambda: None) -> None:
        self.sock, self.after_send, self.is_limited = sock, after_send, True

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def send(self, data: bytes) -> int:
        limited, self.is_limited = self.is_limited, False
        sent = self.sock.send(data[: len(data) // 2] if limited else data)
        if limited:
            self.after_send()
        return sent


class Owner:
    """Records the results of attempts."""

    def __init__(self) -> None:
        self.results: list[AttemptResult] = []
        self.ended = asyncio.Event()

    def find_obstacle(self, attempt: Attempt, late: bool) -> AttemptResult | None:
        return None

    def finish_attempt(self, attempt: Attempt, result: AttemptResult, *more: object) -> None:
        attempt.ended = True
        self.results.append(result)
        self.ended.set()


class Request:
    """A request as it is sent to a member."""

    def __init__(self, body_bytes: int, upload: Upload | None = None) -> None:
        self.head, self.upload, self.bodiless, self.upgrade = HEAD, upload, False, b""
        self.body = bytearray(body_bytes) if upload is None else None
        if upload is None:
            self.head += b"Content-Length: %d\r\n" % body_bytes


class Producer:
    """The client's side of a streamed body."""

    def set_reading_paused(self, on: bool) -> None:
        """Ignore backpressure."""


def make_upload(length: int | None) -> Upload:
    return Upload(Producer(), length, bytearray(), BufferBudget(1 << 30), lambda: None)


class Member:
    """A member that reads only when the test says so."""

    def __init__(self, small_buffers: bool) -> None:
        self.listener = socket.socket()
        if small_buffers:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.received = 0
        self.has_ended = False

    async def accept(self) -> None:
        self.sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.sock.setblocking(False)

    def read_available(self) -> None:
        """Read all that the kernel has, without a turn of the event loop."""
        while not self.has_ended:
            try:
                data = self.sock.recv(1 << 20)
            except BlockingIOError:
                return
            except ConnectionError:
                data = b""
            self.received += len(data)
            self.has_ended = not data

    async def read_until(self, count: int | None) -> None:
        """Read until `count` bytes have come, or until the connection ends."""
        while not self.has_ended and (count is None or self.received < count):
            self.read_available()
            await asyncio.sleep(0)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self) -> None:
        self.listener.close()
        self.sock.close()


class Scene:
    """A pool with one member and one attempt on its way to it."""

    def __init__(self, protocol: str, small_buffers: bool) -> None:
        self.owner, self.member = Owner(), Member(small_buffers)
        connect = partial(CONNECTIONS[protocol], dialect=Dialect(), not_passed=Dialect().not_passed())
        budget, logger = BufferBudget(1 << 30), RateLimitedLogger()
        self.pools = UpstreamPools(cast(Any, self.owner), budget, logger, 10, connect, 5.0, 30.0)
        self.pools.update_endpoint("m", (self.member.listener.getsockname(), 0.0), True)
        self.written_bytes = 0  # length of all that the connection was given to write

    async def send(self, sent_request: Request) -> Attempt:
        attempt = Attempt(cast(Any, sent_request), 0, "m", time.time(), 4.0)
        self.pools.send(attempt)
        if not hasattr(self.member, "sock"):
            await self.member.accept()
        while attempt.connection is None and not attempt.ended:
            await asyncio.sleep(0)
        return attempt

    async def result(self) -> AttemptResult:
        await asyncio.wait_for(self.owner.ended.wait(), TIMEOUT_S)
        return self.owner.results[-1]


def set_up(monkeypatch: pytest.MonkeyPatch, scene: Scene, partial_socket: bool, **options: Any) -> None:
    """Count what the connection writes, and limit its next `send` or its kernel buffer."""
    connection_made, write = base.SocketUpstream.connection_made, base.SocketUpstream.write
    write_body, counted = base.SocketUpstream.write_body, set[base.SocketUpstream]()

    def prepare(connection: base.SocketUpstream, transport: asyncio.BaseTransport) -> None:
        if partial_socket:
            connection.sock = cast(socket.socket, PartialSocket(connection.sock, **options))
        else:
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        connection_made(connection, transport)

    def count(connection: base.SocketUpstream, data: bytes) -> None:
        scene.written_bytes += 0 if connection in counted else len(data)
        write(connection, data)

    def count_body(connection: base.SocketUpstream, body: bytearray) -> None:
        """Count a body at once, as the connection was given it; its parts are written later."""
        scene.written_bytes += len(body)
        counted.add(connection)
        write_body(connection, body)

    monkeypatch.setattr(base.SocketUpstream, "connection_made", prepare)
    monkeypatch.setattr(base.SocketUpstream, "write", count)
    monkeypatch.setattr(base.SocketUpstream, "write_body", count_body)


@pytest.mark.parametrize("end", ["reset", "end of input", "timeout"])
@pytest.mark.parametrize("protocol", CONNECTIONS)
def test_request_whose_rest_leaves_at_once_may_have_run(
    protocol: str, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The transport can empty its buffer within `write`, and reports neither that it was full nor that it is empty."""

    async def scene() -> None:
        here = Scene(protocol, False)
        set_up(monkeypatch, here, True)
        attempt = await here.send(Request(BODY_BYTES))
        await here.member.read_until(here.written_bytes)
        assert attempt.is_written()
        if end == "timeout":
            attempt.drop()
            assert attempt.is_written()
        else:
            here.member.reset() if end == "reset" else here.member.sock.shutdown(socket.SHUT_WR)
            assert await here.result() == AttemptResult.RESET
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("length", [BODY_BYTES, None])
def test_streamed_request_whose_rest_leaves_at_once_may_have_run(
    length: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same for the pieces of a streamed body, announced or chunked, and until its end it has not run."""

    async def scene() -> None:
        here = Scene("http/1.1", False)
        set_up(monkeypatch, here, True)
        upload = make_upload(length)
        attempt = await here.send(Request(0, upload))
        upload.receive(bytes(BODY_BYTES // 2))
        assert not attempt.is_written()
        cast(Any, attempt.connection).sock.is_limited = True
        upload.receive(bytes(BODY_BYTES - BODY_BYTES // 2))
        assert not attempt.is_written()
        upload.end()
        await here.member.read_until(here.written_bytes)
        assert attempt.is_written()
        here.member.reset()
        assert await here.result() == AttemptResult.RESET
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("protocol", CONNECTIONS)
def test_request_whose_buffer_was_filled_and_drained_may_have_run(
    protocol: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        here = Scene(protocol, True)
        set_up(monkeypatch, here, False)
        attempt = await here.send(Request(BODY_BYTES))
        assert cast(Any, attempt.connection).is_unsent() == (protocol == "http/1.1")  # the params have left
        await here.member.read_until(here.written_bytes)
        here.member.reset()  # may be read before the connection is told that its buffer is empty
        assert await here.result() == AttemptResult.RESET
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("end", ["end of input", "timeout"])
def test_rest_of_a_request_that_counts_as_unsent_never_leaves(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """uvloop closes an aborted connection in a later iteration, and writes until then what the peer makes room for."""

    async def scene() -> None:
        here = Scene("http/1.1", True)
        set_up(monkeypatch, here, False)
        attempt = await here.send(Request(BODY_BYTES))
        transport = cast(Any, attempt.connection).transport
        body_bytes = here.written_bytes - transport.get_write_buffer_size() + REST_BYTES
        attempt.drop()
        await here.member.read_until(None)

        here.owner.ended.clear()
        here.written_bytes, here.member.received, here.member.has_ended = 0, 0, False
        sending = asyncio.create_task(here.send(Request(body_bytes)))
        await here.member.accept()
        attempt = await sending
        assert not attempt.is_written()
        if end == "timeout":
            attempt.drop()
        else:  # it is read in the same iteration in which there is room for more
            here.member.sock.shutdown(socket.SHUT_WR)
        here.member.read_available()
        if end != "timeout":
            assert await here.result() == AttemptResult.NO_CONNECTION
        assert not attempt.is_written()
        await here.member.read_until(None)
        assert here.member.received < here.written_bytes
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("protocol", ["http/1.1", "multiplexed fastcgi"])
def test_request_of_which_a_part_was_refused_by_the_kernel_has_not_run(
    protocol: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is reset between the first part and the rest. Only HTTP/1.1 needs the last byte to begin."""

    async def scene() -> None:
        here = Scene(protocol, False)
        set_up(monkeypatch, here, True, after_send=here.member.reset)
        await here.send(Request(BODY_BYTES))
        expected = AttemptResult.NO_CONNECTION if protocol == "http/1.1" else AttemptResult.RESET
        assert await here.result() == expected
        here.member.close()

    run_with_timeout(scene)


def test_attempt_that_stays_buffered_on_a_multiplexed_connection_may_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its records are sent when the application reads again, since the connection goes on for the other requests."""

    async def scene() -> None:
        here = Scene("multiplexed fastcgi", True)
        set_up(monkeypatch, here, False)
        await here.send(Request(BODY_BYTES))
        here.member.sock.send(CAN_MULTIPLEX)
        while not here.pools.endpoints["m"].shared:
            await asyncio.sleep(0)
        second = await here.send(Request(10))
        assert not second.is_written() and here.pools.open == 1
        second.drop()
        assert second.is_written()
        await here.member.read_until(here.written_bytes)
        here.member.close()

    run_with_timeout(scene)


def test_attempt_that_is_taken_back_from_a_multiplexed_connection_does_not_arrive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against records that leave behind those of others after their attempt's right to arrive has ended."""

    async def scene() -> None:
        here = Scene("multiplexed fastcgi", True)
        set_up(monkeypatch, here, False)
        first = await here.send(Request(BODY_BYTES))
        here.member.sock.send(CAN_MULTIPLEX)
        while not here.pools.endpoints["m"].shared:
            await asyncio.sleep(0)
        second = await here.send(Request(10))
        assert not first.has_arrived() and not second.has_arrived() and here.pools.open == 1
        second.take_back()
        assert not second.is_written()
        assert await here.result() == AttemptResult.RESET and here.pools.open == 0  # that of the first
        await here.member.read_until(None)
        assert here.member.received < here.written_bytes
        here.member.close()

    run_with_timeout(scene)


def test_attempt_that_has_arrived_is_taken_back_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against other requests on a connection that end for one whose records have all arrived."""

    async def scene() -> None:
        here = Scene("multiplexed fastcgi", False)
        first = await here.send(Request(10))
        here.member.sock.send(CAN_MULTIPLEX)
        while not here.pools.endpoints["m"].shared:
            await asyncio.sleep(0)
        second = await here.send(Request(10))
        while not second.has_arrived():
            await asyncio.sleep(0)
        second.take_back()
        assert here.pools.open == 1 and not here.owner.results and first.connection is not None
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("seed", range(40))
def test_request_that_counts_as_unsent_never_arrives_whole(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A member reads and ends the connection at random moments, as do the client and the timeout."""
    choice = random.Random(seed)
    protocol = choice.choice(list(CONNECTIONS))

    async def scene() -> None:
        here = Scene(protocol, choice.random() < 0.7)
        set_up(monkeypatch, here, choice.random() < 0.5)
        attempt = await here.send(Request(choice.choice([0, 100, 30_000, BODY_BYTES])))
        start_bytes = here.written_bytes
        for _ in range(choice.randrange(8)):
            here.member.read_available()
            for _ in range(choice.randrange(3)):
                await asyncio.sleep(0)
        end = choice.choice(["reset", "end of input", "timeout"])
        if end == "timeout":
            attempt.drop()
        elif end == "end of input":
            here.member.sock.shutdown(socket.SHUT_WR)
        else:
            here.member.reset()
        if end != "reset":
            here.member.read_available()
        if end != "timeout":
            await here.result()
        if end != "reset":
            await here.member.read_until(None)
        assert attempt.is_written() or here.member.received < start_bytes
        assert here.owner.results != [AttemptResult.NO_CONNECTION] or here.member.received < start_bytes
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("protocol", CONNECTIONS)
def test_request_that_counts_as_unsent_over_tls_never_arrives_whole(
    protocol: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Over TLS the encrypted bytes are in a buffer of their own, below the one that is asked."""

    async def scene() -> None:
        reads, ended = asyncio.Event(), asyncio.Event()
        received = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received
            await reads.wait()
            while data := await reader.read(1 << 16):
                received += len(data)
            ended.set()
            writer.close()

        here = Scene(protocol, True)
        set_up(monkeypatch, here, False)
        options: dict[str, Any] = {"ssl": certs.member_side(), "limit": 1 << 10}
        server = await asyncio.start_server(serve, sock=here.member.listener, **options)
        here.pools.tls = certs.member_keys()
        here.member.sock = socket.socket()
        attempt = await here.send(Request(10 * BODY_BYTES))
        attempt.drop()
        reads.set()
        await asyncio.wait_for(ended.wait(), TIMEOUT_S)
        # How much of the params has left can't be told from the number of encrypted bytes.
        assert attempt.is_written() or (protocol == "http/1.1" and received < here.written_bytes)
        server.close()
        here.member.close()

    run_with_timeout(scene)


@pytest.mark.parametrize("secure", [False, True], ids=["plain", "tls"])
@pytest.mark.parametrize("protocol", CONNECTIONS)
def test_request_that_was_given_up_does_not_arrive_from_the_kernels_buffer(
    protocol: str, secure: bool
) -> None:
    """Guards against a last byte that the proxy's own kernel delivers after the attempt has been given up."""

    async def scene() -> None:
        here = Scene(protocol, True)
        reads, ended, received = asyncio.Event(), asyncio.Event(), 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received
            await reads.wait()
            try:
                while data := await reader.read(1 << 16):
                    received += len(data)
            except ConnectionError:
                pass
            ended.set()
            writer.close()

        options: dict[str, Any] = {"ssl": certs.member_side()} if secure else {}
        server = await asyncio.start_server(serve, sock=here.member.listener, limit=1 << 10, **options)
        here.pools.tls = certs.member_keys() if secure else None
        here.member.sock = socket.socket()
        attempt = await here.send(Request(KERNEL_BODY_BYTES))
        sock = cast(Any, attempt.connection)
        sock = getattr(sock, "connection", sock).sock  # a stream's, on a shared connection
        assert attempt.is_written() and unacknowledged_bytes(sock) > REST_BYTES
        attempt.drop()
        reads.set()
        await asyncio.wait_for(ended.wait(), TIMEOUT_S)
        assert received < KERNEL_BODY_BYTES
        assert attempt.is_written()  # nothing proves that it has not arrived
        server.close()
        here.member.close()

    run_with_timeout(scene)


BODIES = {
    "buffered": lambda: request("unsafe", bytes(BODY_BYTES)),
    "streamed": lambda: long_request_head() + bytes(LONG_BODY_BYTES),
    "chunked": lambda: (
        request("unsafe").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        + b"%x\r\n%b\r\n0\r\n\r\n" % (LONG_BODY_BYTES, bytes(LONG_BODY_BYTES))
    ),
}


@pytest.mark.parametrize(
    ("protocol", "body"),
    [(protocol, body) for protocol in ("http/1.1", "https") for body in BODIES] + [("fastcgi", "buffered")],
)
def test_unsafe_request_that_a_member_has_read_is_not_sent_to_another_after_a_reset(
    protocol: str, body: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second effect of a request whose last byte left in the same call as the bytes before it."""
    monkeypatch.setattr(peers, "COMBINATION", ["http/1.1", protocol])

    async def scene() -> None:
        members = [ScriptedBackend(name, resetting) for name in "ab"]
        async with running_proxy(*members) as here:
            limit_first_send(monkeypatch)
            client = await here.connect()
            client.writer.write(BODIES[body]())
            assert (await client.read())[0] == 502
            assert [outcome.result for outcome in await here.proxy.until_outcomes(1)] == [AttemptResult.RESET]
            assert sum(len(member.calls) for member in members) == 1

    run_with_timeout(scene)


def limit_first_send(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = base.SocketUpstream.connection_made

    def prepare(connection: base.SocketUpstream, transport: asyncio.BaseTransport) -> None:
        connection.sock = cast(socket.socket, PartialSocket(connection.sock))
        connection_made(connection, transport)

    monkeypatch.setattr(base.SocketUpstream, "connection_made", prepare)


@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_retried_and_hedged_attempts_that_were_read_count_as_run(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt gets no answer; those that follow it are reset once their member has read them."""

    async def scene() -> None:
        async def reset_later(call: Call) -> None:
            await (silent(call) if sum(len(member.calls) for member in members) == 1 else resetting(call))

        members = [ScriptedBackend(name, reset_later) for name in "abc"]
        async with running_proxy(*members, settings=SETTINGS) as here:
            limit_first_send(monkeypatch)
            client = await here.connect()
            client.writer.write(request(cls, bytes(BODY_BYTES), "1500m"))
            assert (await client.read())[0] in (502, 503)
            await here.proxy.until(lambda: not here.proxy.open)
            may_have_run = [o for o in here.proxy.outcomes() if o.result not in NEVER_RAN]
            calls = sum(len(member.calls) for member in members)
            assert calls == len(may_have_run) >= 1 and (cls == "keyed" or calls == 1)

    run_with_timeout(scene)


def test_request_of_which_some_never_left_is_answered_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The proof is kept: a reset under a filled buffer lets the client repeat an unsafe request."""

    async def scene() -> None:
        member, other = Member(True), ScriptedBackend("b", answering(OK))
        async with running_proxy(other) as here:
            set_up(monkeypatch, Scene("http/1.1", False), False)
            here.proxy.upstreams.update_endpoint("b", (member.listener.getsockname(), 0.0), True)
            client = await here.connect()
            client.writer.write(request("unsafe", bytes(BODY_BYTES)))
            await member.accept()
            member.reset()
            assert (await client.read())[0] == 503
            assert [o.result for o in await here.proxy.until_outcomes(1)] == [AttemptResult.NO_CONNECTION]
        member.close()

    run_with_timeout(scene)
