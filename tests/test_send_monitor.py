"""Attempts whose last byte has not arrived: what ends their right to, and that no more of them arrives then."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import Any, Callable, cast

import pytest
from peers import (
    OK,
    SETTINGS,
    TIMEOUT_S,
    RunningProxy,
    ScriptedBackend,
    request,
    run_with_timeout,
    running_proxy,
)
from test_uploads import LONG_BODY_BYTES, long_request_head

from loadbalancer.kernel_buffers import unacknowledged_bytes
from loadbalancer.policy import hedging
from loadbalancer.policy.events import AttemptResult
from loadbalancer.proxy.send_monitor import CHECK_INTERVAL_S, SendMonitor

WINDOW_S = 0.4
#: Time of requests that is not over before a test is.
LONG_S = 60.0
#: The last bytes of a body, which stand unread when their client closes.
LAST_BYTES = 1000
#: Receive buffer of a member, so that what it does not read stays at the proxy's side.
RECEIVE_BYTES = 4 << 10
#: Bodies of which the end waits in the kernel's send queue, or in the process.
BODIES = {"in the kernel": 40_000, "in the process": 1_000_000}


class Plan:
    """What the members of a test do with the requests that they get, in this order; the last one goes on."""

    def __init__(self, *steps: str) -> None:
        self.steps = list(steps)
        self.goes_on = asyncio.Event()
        self.is_held = asyncio.Event()

    def next(self) -> str:
        return self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]


class HeldMember(ScriptedBackend):
    """A member that answers a request, resets it once it is whole, or reads no more of it than its head for a while."""

    def __init__(self, name: str, plan: Plan) -> None:
        super().__init__(name)
        self.plan = plan
        self.runs = 0  # requests that came whole
        self.held_requests_ended = 0
        self.connections_ended = 0

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=RECEIVE_BYTES)
        self.address = "{}:{}".format(*sock.getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        step = ""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
            step = self.plan.next()
            if step == "hold":
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                self.plan.is_held.set()
                await self.plan.goes_on.wait()
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            await reader.readexactly(int(length[1]) if length else 0)
            self.runs += 1
            if step == "reset":
                writer.transport.abort()
            else:
                writer.write(OK)
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.held_requests_ended += step == "hold"
            self.connections_ended += 1
            writer.close()


def with_window(window_s: float) -> dict[str, Any]:
    classes = [{**each, "dedup-window-s": window_s} for each in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


def without_cancelling() -> dict[str, Any]:
    """Return settings in which no attempt times out or is cancelled while a test runs."""
    classes = [{**each, "aim-s": LONG_S, "give-up-s": LONG_S} for each in SETTINGS["classes"]]
    limits = {**SETTINGS["policy-limits"], "cancelling": False}
    return {**SETTINGS, "classes": classes, "policy-limits": limits}


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(CHECK_INTERVAL_S / 10)


async def release(plan: Plan, *members: HeldMember) -> None:
    """Let the member that holds a request read on, and wait until that connection has ended or brought all of it."""
    runs = sum(member.runs for member in members)
    plan.goes_on.set()
    await until(
        lambda: any(each.held_requests_ended for each in members) or sum(each.runs for each in members) > runs
    )


@pytest.mark.parametrize("place", BODIES)
def test_second_attempt_does_not_arrive_after_the_window_for_repeats(place: str) -> None:
    """Guards against a keyed request that takes effect twice: its second copy is completed after the window."""

    async def scene() -> None:
        plan = Plan("reset", "hold")
        members = [HeldMember("a", plan), HeldMember("b", plan)]
        async with running_proxy(*members, settings=with_window(WINDOW_S)) as here:
            client = await here.connect()
            await client.send(request("keyed", bytes(BODIES[place])))
            first, *_ = await here.proxy.until_outcomes(1)
            assert first.result == AttemptResult.RESET
            window_ends_at = here.proxy.now() + WINDOW_S
            await asyncio.wait_for(plan.is_held.wait(), TIMEOUT_S)
            await until(lambda: here.proxy.now() > window_ends_at)
            await release(plan, *members)
            assert sum(each.runs for each in members) == 1
            _, second = await here.proxy.until_outcomes(2)
            never_left = place == "in the process"
            assert second.result == (AttemptResult.NO_CONNECTION if never_left else AttemptResult.CANCELLED)
            assert (await client.read())[0] == 503

    run_with_timeout(scene)


async def other_attempt_answers(here: RunningProxy) -> None:
    await here.clients[0].read()


async def lease_ends(here: RunningProxy) -> None:
    here.proxy.permission.may_act = lambda: False


async def client_leaves(here: RunningProxy) -> None:
    here.clients[0].writer.close()


async def pool_closes(here: RunningProxy) -> None:
    here.proxy.close()


@pytest.mark.parametrize("end", [other_attempt_answers, lease_ends, client_leaves, pool_closes])
@pytest.mark.parametrize("place", BODIES)
def test_attempt_whose_right_has_ended_does_not_arrive(
    place: str, end: Callable[[RunningProxy], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work that begins for nobody, twice, or without a lease, where the policy cancels no attempt."""
    is_answered = end is other_attempt_answers
    monkeypatch.setattr(hedging, "DEFAULT_USEFUL_TIME_SHARE", 0.001)

    async def scene() -> None:
        plan = Plan("hold", "answer") if is_answered else Plan("hold")
        members = [HeldMember("a", plan), HeldMember("b", plan)]
        async with running_proxy(*members, settings=without_cancelling()) as here:
            client = await here.connect()
            body = bytes(BODIES[place])
            await client.send(request("safe" if is_answered else "unsafe", body, f"{LONG_S * 1000:.0f}m"))
            await asyncio.wait_for(plan.is_held.wait(), TIMEOUT_S)
            attempts = [attempt for each in here.proxy.open.values() for attempt in each.attempts]
            await end(here)
            await until(lambda: all(attempt.ended for attempt in attempts))
            await asyncio.sleep(0)  # the transport closes its socket in the next iteration
            await release(plan, *members)
            assert sum(each.runs for each in members) == is_answered

    run_with_timeout(scene)


class ScriptedAttempt:
    """An attempt in a state that the test sets."""

    def __init__(self, is_started: bool, is_arrived: bool = False) -> None:
        self.is_started, self.is_arrived, self.ended = is_started, is_arrived, False

    def has_started(self) -> bool:
        return self.is_started

    def has_arrived(self) -> bool:
        return self.is_arrived


def test_attempt_that_waits_for_its_connection_is_not_revoked() -> None:
    """Guards against endpoints that count as failing since their connections were given up before they were up."""

    async def scene() -> None:
        revoked: list[Any] = []
        monitor = SendMonitor(lambda attempt, _: cast(Any, attempt) is not held, revoked.append)
        waiting, held, arrived = ScriptedAttempt(False), ScriptedAttempt(True), ScriptedAttempt(True, True)
        for attempt in (waiting, held, arrived):
            monitor.watch(cast(Any, attempt))
        await until(lambda: revoked)
        held.ended = True
        assert revoked == [held]
        monitor.close()
        assert revoked == [held]

    run_with_timeout(scene)


def test_closed_socket_holds_nothing_unacknowledged() -> None:
    """Guards against a check of all attempts that ends at one whose socket was closed a moment before."""
    sock = socket.socket()
    sock.close()
    assert unacknowledged_bytes(sock) == 0


def test_long_body_is_not_completed_for_a_client_that_left_behind_its_last_byte() -> None:
    """Guards against a long request that begins at its member although its client closed while it was not read."""

    async def scene() -> None:
        member = HeldMember("a", Plan("answer"))
        async with running_proxy(member) as here:
            client = await here.connect()
            await client.send(long_request_head() + bytes(LONG_BODY_BYTES - LAST_BYTES))
            (connection,) = here.connections()
            await until(lambda: connection.body_received == LONG_BODY_BYTES - LAST_BYTES)
            await until(lambda: not connection.upload_paused)
            connection._set_reading(False)
            client.writer.write(bytes(LAST_BYTES))
            client.writer.close()
            # The check of attempts may have noticed the close before this test does, and closed the connection.
            await until(lambda: connection.sock.fileno() < 0 or connection._ends_behind_bytes())
            connection._set_reading(True)
            await here.proxy.until(lambda: not here.proxy.open)
            await until(lambda: member.connections_ended)
            assert member.runs == 0

    run_with_timeout(scene)


def test_attempt_that_has_begun_goes_on_at_a_member_that_drains() -> None:
    """Guards against long requests that are broken off by a drain: for drains a send counts from its first byte."""

    async def scene() -> None:
        plan = Plan("hold")
        member = HeldMember("a", plan)
        async with running_proxy(member) as here:
            client = await here.connect()
            await client.send(request("unsafe", bytes(1_000_000)))
            await asyncio.wait_for(plan.is_held.wait(), TIMEOUT_S)
            await here.discovery.until_watched()
            await here.discovery.line(2, member.entry(state="DRAINING"))
            await until(lambda: here.proxy.avoided_count())
            await asyncio.sleep(3 * CHECK_INTERVAL_S)
            plan.goes_on.set()
            assert (await client.read())[0] == 200 and member.runs == 1

    run_with_timeout(scene)
