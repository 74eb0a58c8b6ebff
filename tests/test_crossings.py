"""Two events in one moment, forced: what was right when it was decided, and is not when it would leave."""

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


class HeldConnects:
    """Connections to members come up when the test says so, and not before."""

    def __init__(self) -> None:
        self.held = asyncio.Event()  # one waits
        self.gate = asyncio.Event()
        self.on = False


def hold_connects(monkeypatch: pytest.MonkeyPatch) -> HeldConnects:
    """The kernel's handshake is done; the program does not hear of it yet, as with a late SYN-ACK."""
    holder = HeldConnects()
    connect = UpstreamPools._connect

    async def late(self: UpstreamPools, connection: Any) -> None:
        if holder.on:
            holder.held.set()
            await holder.gate.wait()
        await connect(self, connection)

    monkeypatch.setattr(UpstreamPools, "_connect", late)
    return holder


async def drains(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    await here.discovery.line(2, a.entry(state="DRAINING"))
    await here.proxy.until(lambda: not here.proxy.upstreams.endpoints["a"].is_serving)


async def ends(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    await here.discovery.line(2, a.entry(state="DELETED"))
    await here.proxy.until(lambda: here.proxy.upstreams.endpoints["a"].is_gone)


async def moves(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    """Its address belongs to another one by now."""
    await here.discovery.line(2, a.entry(addr="127.0.0.1:9", started_ms=5), a.entry(id="b"))
    await here.proxy.until(lambda: "b" in here.proxy.listed)


async def leaves(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    client.writer.close()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


async def half_closes(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    client.writer.write_eof()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


async def resets(here: RunningProxy, client: Client, a: ScriptedBackend) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()
    await here.proxy.until(lambda: not here.proxy.balancer.requests)


CROSSINGS: dict[str, tuple[Callable[[RunningProxy, Client, ScriptedBackend], Awaitable[None]], bool]] = {
    "its member drains": (drains, True),
    "its member has gone": (ends, True),
    "its member's address is another's": (moves, True),
    "its client leaves": (leaves, False),
    "its client ends one direction": (half_closes, False),
    "its client resets": (resets, False),
}


@pytest.mark.parametrize("cancelling", [True, False])
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("what", CROSSINGS)
def test_while_the_connection_of_an_attempt_comes_up(
    what: str, cls: str, cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The member counts no request; where the client is still there it gets one answer, by another member or none."""
    cross, answered = CROSSINGS[what]

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        holder = hold_connects(monkeypatch)
        async with running_proxy(a, settings=with_limits(cancelling=cancelling)) as here:
            await here.discovery.until_watched()
            client, holder.on = await here.connect(), True
            await client.send(request(cls))
            await asyncio.wait_for(holder.held.wait(), 10)
            await cross(here, client, a)
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
def test_a_client_that_goes_while_a_connection_comes_up_is_gone_on_every_front(
    what: str, front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers, "COMBINATION", [front, "http/1.1"])
    for cls in ("safe", "unsafe"):
        test_while_the_connection_of_an_attempt_comes_up(what, cls, False, monkeypatch)


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_request_that_has_its_answer_is_not_sent_on_when_a_late_connection_comes_up(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second copy waits for its connection while the first is answered; where nothing may be cancelled it went
    out all the same."""

    async def scene() -> None:
        answer = asyncio.Event()

        async def when_told(call: Call) -> None:
            await answer.wait()
            await call.say(OK)

        backends = [ScriptedBackend(name, when_told) for name in ("a", "b")]
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
def test_a_repeat_does_not_leave_after_its_window(scope: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Decided inside the deduplication window, written behind it, it would have a second effect."""

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
def test_a_client_that_has_left_unread_gets_no_attempt(behind: bytes) -> None:
    """Its request is read, and its end waits in the kernel: as in the accept queue, in a burst, or while reading is
    paused."""

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
                connection.data_received(request())  # what had been read before
                outcomes = await here.proxy.until_outcomes(1)
                assert outcomes[-1].result == AttemptResult.NOT_SENT and not a.calls
                assert not here.proxy.balancer.requests and not here.proxy.open

    run_with_timeout(scene)


def test_a_repeat_is_not_sent_for_a_client_that_has_left_while_reading_is_paused() -> None:
    """One request is served, another waits behind it, so nothing is read; then the client goes."""

    async def scene() -> None:
        gone = asyncio.Event()

        async def reset_once_gone(call: Call) -> None:
            await gone.wait()
            call.reset()

        backends = [ScriptedBackend(name, reset_once_gone, silent) for name in ("a", "b")]
        async with running_proxy(*backends) as here:
            with socket.create_connection(here.address) as sock:
                sock.sendall(request() + request())
                while not any(b.calls for b in backends):
                    await asyncio.sleep(0)
                assert here.connections()[0].paused
                sock.shutdown(socket.SHUT_WR)
                gone.set()
                await here.proxy.until(lambda: not here.proxy.open)
                assert sum(len(b.calls) for b in backends) == 1

    run_with_timeout(scene)


def test_a_burst_of_clients_that_leave_begins_nothing() -> None:
    """Hundreds ask and go before the proxy accepts them."""

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a) as here:
            for _ in range(300):
                sock = socket.create_connection(here.address)  # the loop stands still meanwhile
                sock.sendall(request())
                sock.close()
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200
            assert len(a.calls) == 1

    run_with_timeout(scene)


def test_idle_clients_that_fill_every_slot_keep_nobody_out_while_discovery_is_away() -> None:
    """Who asks is served, `/ready` is answered, members are reached, and the watch comes back."""

    async def scene() -> None:
        a = ScriptedBackend("a", answering(OK))
        async with running_proxy(a, settings={**SETTINGS, "registry-mode": "subscribe"}, sockets=64) as here:
            await here.discovery.until_watched()
            idle = [await here.connect() for _ in range(100)]
            assert len(idle) > here.server.most
            here.discovery.writers[-1].transport.abort()
            await here.discovery.until_watched(2)
            await here.discovery.line(2, a.entry(), full=True)
            for _ in range(5):
                client = await here.connect()
                assert (await client.ask(request()))[0] == 200
                ready = await here.connect()
                assert (await ready.ask(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 200

    run_with_timeout(scene)
