"""Race conditions: an attempt that was valid when it was decided, but must not be sent any more when it could be."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any, Awaitable, Callable

import peers
import pytest
from peers import (
    OK,
    SETTINGS,
    Call,
    Client,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.connections import UpstreamPools


def with_limits(**other: Any) -> dict[str, Any]:
    return {**SETTINGS, "policy-limits": {**SETTINGS["policy-limits"], "connect-timeout-s": 5.0, **other}}


class ConnectGate:
    """Delays connections to members until the test opens the gate."""

    def __init__(self) -> None:
        self.held = asyncio.Event()  # set when a connection waits at the gate
        self.gate = asyncio.Event()
        self.on = False


def hold_connects(monkeypatch: pytest.MonkeyPatch) -> ConnectGate:
    """Delay the completion of connects; the kernel's handshake is done, but the program learns of it late, as
    with a delayed SYN-ACK."""
    holder = ConnectGate()
    connect = UpstreamPools._connect

    async def delayed_connect(self: UpstreamPools, connection: Any) -> None:
        if holder.on:
            holder.held.set()
            await holder.gate.wait()
        await connect(self, connection)

    monkeypatch.setattr(UpstreamPools, "_connect", delayed_connect)
    return holder


async def drain_member(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    await here.discovery.line(2, a.entry(state="DRAINING"))
    await here.proxy.until(lambda: not here.proxy.upstreams.endpoints["a"].is_serving)


async def remove_member(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    await here.discovery.line(2, a.entry(state="DELETED"))
    await here.proxy.until(lambda: here.proxy.upstreams.endpoints["a"].is_gone)


async def move_address(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    """Give the member's address to another member."""
    await here.discovery.line(2, a.entry(addr="127.0.0.1:9", started_ms=5), a.entry(id="b"))
    await here.proxy.until(lambda: "b" in here.proxy.listed)


async def close_client(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    client.writer.close()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


async def half_close_client(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    client.writer.write_eof()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


async def reset_client(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


CROSSINGS: dict[str, tuple[Callable[[RunningProxy, Client, ScriptedBackend], Awaitable[None]], bool]] = {
    "its member drains": (drain_member, True),
    "its member has gone": (remove_member, True),
    "its member's address is another's": (move_address, True),
    "its client leaves": (close_client, False),
    "its client ends one direction": (half_close_client, False),
    "its client resets": (reset_client, False),
}


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("what", CROSSINGS)
def test_attempt_is_not_sent_if_member_or_client_goes_while_connecting(
    what: str, cls: str, cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The member gets no request. A client that is still connected gets one answer: of another member, or a 503."""
    change_state, answered = CROSSINGS[what]

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        holder = hold_connects(monkeypatch)
        async with running_proxy(a, settings=with_limits(cancelling=cancelling)) as here:
            await here.discovery.until_watched()
            client, holder.on = await here.connect(), True
            await client.send(request(cls))
            await asyncio.wait_for(holder.held.wait(), 10)
            await change_state(here, client, a)
            holder.on = False
            holder.gate.set()
            if answered:
                status = (await client.read())[0]
                assert status == (200 if what == "its member's address is another's" else 503)
                assert len(a.calls) == (status == 200)
                if a.calls:
                    assert {
                        o.endpoint for o in here.proxy.outcomes() if o.result == AttemptResult.SERVED
                    } == {"b"}
            else:
                outcome = (await here.proxy.until_outcomes(1))[0]
                assert outcome.result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED) and not a.calls

    run_with_timeout(scene)


@pytest.mark.parametrize("front", ["https", "fastcgi"])
@pytest.mark.parametrize("what", ["its client leaves", "its client resets"])
def test_attempt_is_not_sent_if_client_goes_while_connecting_on_every_front_end(
    what: str, front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers, "COMBINATION", [front, "http/1.1"])
    for cls in ("safe", "unsafe"):
        test_attempt_is_not_sent_if_member_or_client_goes_while_connecting(what, cls, False, monkeypatch)


@pytest.mark.parametrize("cancelling", [True, False])
def test_hedged_attempt_is_not_sent_after_the_request_was_answered(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A hedged attempt waits for its connection while the first attempt is answered. It used to be sent nevertheless if
    cancelling is disabled."""

    async def scene() -> None:
        answer = asyncio.Event()

        async def answer_when_released(call: Call) -> None:
            await answer.wait()
            await call.say(OK)

        backends = [ScriptedBackend(name, answer_when_released) for name in ("a", "b")]
        settings = with_limits(cancelling=cancelling)
        settings["classes"] = [{**c, "aim-s": 0.2} for c in SETTINGS["classes"]]
        holder = hold_connects(monkeypatch)
        async with running_proxy(*backends, settings=settings) as here:
            client = await here.connect()
            await client.send(request("safe"))
            while not any(b.calls for b in backends):
                await asyncio.sleep(0)
            holder.on = True
            await asyncio.wait_for(holder.held.wait(), 10)
            answer.set()
            assert (await client.read())[0] == 200
            holder.on = False
            holder.gate.set()
            await here.proxy.until_outcomes(2)
            assert sum(len(b.calls) for b in backends) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
def test_retry_is_not_sent_after_the_deduplication_window(
    scope: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Decided inside the deduplication window but sent after it, a retry could have a second effect."""

    async def scene() -> None:
        async def reset(call: Call) -> None:
            holder.on = True
            call.reset()

        a, b = ScriptedBackend("a", reset), ScriptedBackend("b", reset)
        settings = with_limits()
        settings["classes"] = [
            {**c, "dedup-scope": scope, "dedup-window-s": 0.3} if c["name"] == "keyed" else c
            for c in SETTINGS["classes"]
        ]
        holder = hold_connects(monkeypatch)
        async with running_proxy(a, b, settings=settings) as here:
            client = await here.connect()
            await client.send(request("keyed"))
            await asyncio.wait_for(holder.held.wait(), 10)
            pending = next(iter(here.proxy.balancer.requests.values()))
            end = pending.attempts[0].sent_at + 0.3
            while here.proxy.now() < end:
                await asyncio.sleep(end - here.proxy.now())
            holder.on = False
            holder.gate.set()
            assert (await client.read())[0] == (503 if scope == "all" else 502)
            assert len(a.calls) + len(b.calls) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("behind", [b"", b"GET /api HTTP/1.1\r\n"], ids=["at once", "behind bytes"])
def test_request_is_not_sent_if_the_client_has_closed_but_its_fin_is_unread(behind: bytes) -> None:
    """The request was read, but the FIN is still unread in the kernel: as happens in the accept queue, in a burst, or
    while reading is paused."""

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            with socket.create_connection(here.address) as sock:
                while not here.connections():
                    await asyncio.sleep(0)
                connection = here.connections()[0]
                assert connection.transport is not None
                connection.transport.pause_reading()
                sock.sendall(behind)
                sock.shutdown(socket.SHUT_WR)
                connection.data_received(request())  # the request, as read before the pause
                outcomes = await here.proxy.until_outcomes(1)
                assert outcomes[-1].result == AttemptResult.NOT_SENT and not a.calls
                assert not here.proxy.balancer.requests and not here.proxy.open

    run_with_timeout(scene)


def test_retry_is_not_sent_if_the_client_closed_while_reading_was_paused() -> None:
    """One request is in flight and a pipelined one waits, so that reading is paused when the client disconnects."""

    async def scene() -> None:
        disconnected = asyncio.Event()

        async def reset_after_disconnect(call: Call) -> None:
            await disconnected.wait()
            call.reset()

        backends = [ScriptedBackend(name, reset_after_disconnect, silent) for name in ("a", "b")]
        async with running_proxy(*backends) as here:
            with socket.create_connection(here.address) as sock:
                sock.sendall(request() + request())
                while not any(b.calls for b in backends):
                    await asyncio.sleep(0)
                assert here.connections()[0].paused
                sock.shutdown(socket.SHUT_WR)
                disconnected.set()
                await here.proxy.until(lambda: not here.proxy.open)
                assert sum(len(b.calls) for b in backends) == 1

    run_with_timeout(scene)


def test_requests_of_clients_that_closed_before_accept_are_not_sent() -> None:
    """Hundreds of clients send a request and disconnect before the proxy accepts them."""

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            for _ in range(300):
                sock = socket.create_connection(here.address)  # blocks the event loop: nothing is accepted
                sock.sendall(request())
                sock.close()
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            assert len(a.calls) == 1

    run_with_timeout(scene)


def test_idle_clients_in_every_slot_do_not_block_new_clients_during_a_discovery_outage() -> None:
    """New requests and `/ready` are answered, members are reached, and the watch reconnects."""

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a, settings={**SETTINGS, "registry-mode": "subscribe"}, sockets=64) as here:
            await here.discovery.until_watched()
            idle_clients = [await here.connect() for _ in range(100)]
            assert len(idle_clients) > here.server.most
            here.discovery.writers[-1].transport.abort()
            await here.discovery.until_watched(2)
            await here.discovery.line(2, a.entry(), full=True)
            for _ in range(5):
                client = await here.connect()
                assert (await client.ask(request()))[0] == 200
                ready = await here.connect()
                assert (await ready.ask(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 200

    run_with_timeout(scene)
