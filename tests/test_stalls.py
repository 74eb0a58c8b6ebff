"""Stalls of the process: data that peers sent meanwhile is in the kernel when timers expire."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from peers import OK, Call, ScriptedBackend, answering, request, run_with_timeout, running_proxy

from loadbalancer.frontends.listener import Listener, drain
from loadbalancer.policy.events import AttemptResult
from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.upstreams.connections import UpstreamPools

#: Length of a stall in seconds; longer than the timer that each test is about.
STALL_S = 0.3


def stall(*_: Any) -> None:
    """Block the whole process."""
    time.sleep(STALL_S)


class Answering:
    """A backend whose answer the test writes in the same callback that stalls the process."""

    def __init__(self, name: str) -> None:
        self.backend = ScriptedBackend(name, self._wait)
        self._calls: list[Call] = []

    async def _wait(self, call: Call) -> None:
        self._calls.append(call)
        await call.left()

    def answer_and_stall(self) -> None:
        """Write the answers into the kernel, stall until timers are due, and make the event loop update its clock."""
        for call in self._calls:
            call.writer.write(OK)
        stall()
        asyncio.get_running_loop().call_later(0.0, do_nothing)


def do_nothing() -> None:
    """Does nothing: setting a timer after a stall makes the loop update its clock before it reads its sockets."""


# Guards against an attempt that counts as failed although its connection was up in time.
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_connection_established_during_a_stall_is_used(cls: str, monkeypatch: pytest.MonkeyPatch) -> None:
    open_connection = UpstreamPools._open

    def open_and_stall(self: UpstreamPools, *arguments: Any) -> None:
        open_connection(self, *arguments)
        asyncio.get_running_loop().call_soon(asyncio.get_running_loop().call_soon, stall)

    monkeypatch.setattr(UpstreamPools, "_open", open_and_stall)

    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with running_proxy(backend, ScriptedBackend("b", answering(OK))) as here:
            client = await here.connect()
            assert (await client.ask(request(cls)))[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED

    run_with_timeout(scene)


# Guards against a timeout and a second attempt although the answer had arrived.
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_answer_that_arrived_during_a_stall_is_passed_on(cls: str) -> None:
    async def scene() -> None:
        peer = Answering("a")
        async with running_proxy(peer.backend) as here:
            client = await here.connect()
            await client.send(request(cls, None, "200m"))
            await peer.backend.until_called()
            asyncio.get_running_loop().call_later(0.01, peer.answer_and_stall)
            assert (await client.read())[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED
            assert len(peer.backend.calls) == 1

    run_with_timeout(scene)


# Guards against a shutdown that answers 503 although the member had answered before its end.
def test_answer_that_arrived_before_the_shutdown_deadline_is_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    is_busy = Listener.is_busy

    async def scene() -> None:
        peer = Answering("a")

        def is_busy_then_stall(self: Listener, *arguments: Any) -> bool:
            busy = is_busy(self, *arguments)
            peer.answer_and_stall()
            return busy

        async with running_proxy(peer.backend) as here:
            client = await here.connect()
            await client.send(request())
            await peer.backend.until_called()
            monkeypatch.setattr(Listener, "is_busy", is_busy_then_stall)
            ended = asyncio.ensure_future(drain([here.server], STALL_S / 2))
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            monkeypatch.undo()
            await ended

    run_with_timeout(scene)


# Guards against a timer that fires after it was cancelled, also between its expiry and its call.
def test_timer_can_be_cancelled_until_its_callback_runs() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        fired: list[str] = []
        early = ReadFirstTimer(loop, 10.0, fired.append, "early")
        early.cancel()
        late = ReadFirstTimer(loop, 0.0, fired.append, "late")
        await asyncio.sleep(0)  # it has expired, and waits until the loop has read its sockets
        late.cancel()
        done = asyncio.Event()
        ReadFirstTimer(loop, 0.01, done.set)
        await done.wait()
        assert fired == []

    run_with_timeout(scene)
