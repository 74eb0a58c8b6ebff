"""A process that is held up: what peers have sent meanwhile lies in the kernel when timers are due."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from peers import OK, Call, ScriptedBackend, answering, play, request, world

from loadbalancer.frontends.listener import Listener, drain
from loadbalancer.policy.events import AttemptResult
from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.upstreams.connections import UpstreamPools

#: Seconds that the process is held up for: longer than the timer that each scene is about.
STALL_S = 0.3


def stall(*_: Any) -> None:
    """Hold the whole process up."""
    time.sleep(STALL_S)


class Answering:
    """A backend whose answer the test writes, in the callback in which it holds the process up."""

    def __init__(self, name: str) -> None:
        self.backend = ScriptedBackend(name, self._wait)
        self._calls: list[Call] = []

    async def _wait(self, call: Call) -> None:
        self._calls.append(call)
        await call.left()

    def answer_and_stall(self) -> None:
        """The answer is in the kernel, the next timers are due, and the loop knows the time."""
        for call in self._calls:
            call.writer.write(OK)
        stall()
        asyncio.get_running_loop().call_later(0.0, stall_is_over)


def stall_is_over() -> None:
    """A timer that is set after a stall makes the loop read its clock before it reads its sockets."""


# Guards against an attempt that counts as failed although its connection was up in time.
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_a_connection_that_came_up_while_the_process_was_held_up_is_used(
    cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    open_connection = UpstreamPools._open_connection

    def open_and_stall(self: UpstreamPools, *arguments: Any) -> None:
        open_connection(self, *arguments)
        asyncio.get_running_loop().call_soon(asyncio.get_running_loop().call_soon, stall)

    monkeypatch.setattr(UpstreamPools, "_open_connection", open_and_stall)

    async def scene() -> None:
        backend = ScriptedBackend("a", answering(OK))
        async with world(backend, ScriptedBackend("b", answering(OK))) as here:
            client = await here.connect()
            assert (await client.ask(request(cls)))[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED

    play(scene)


# Guards against a time-out, and a second attempt, for an answer that had arrived.
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_an_answer_that_arrived_while_the_process_was_held_up_is_given(cls: str) -> None:
    async def scene() -> None:
        peer = Answering("a")
        async with world(peer.backend) as here:
            client = await here.connect()
            await client.send(request(cls, None, "200m"))
            await peer.backend.until_called()
            asyncio.get_running_loop().call_later(0.01, peer.answer_and_stall)
            assert (await client.read())[0] == 200
            (outcome,) = await here.proxy.until_outcomes(1)
            assert outcome.result == AttemptResult.SERVED
            assert len(peer.backend.calls) == 1

    play(scene)


# Guards against a shutdown that answers 503 for work that was done before its end.
def test_an_answer_that_arrived_before_the_end_of_a_shutdown_is_given(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    is_busy = Listener.is_busy

    async def scene() -> None:
        peer = Answering("a")

        def is_busy_then_stall(self: Listener, *arguments: Any) -> bool:
            busy = is_busy(self, *arguments)
            peer.answer_and_stall()
            return busy

        async with world(peer.backend) as here:
            client = await here.connect()
            await client.send(request())
            await peer.backend.until_called()
            monkeypatch.setattr(Listener, "is_busy", is_busy_then_stall)
            ended = asyncio.ensure_future(drain([here.server], STALL_S / 2))
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            monkeypatch.undo()
            await ended

    play(scene)


# Guards against a timer that fires once it was cancelled, also between its expiry and its call.
def test_a_timer_is_cancelled_at_any_time_before_its_call() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        fired: list[str] = []
        early = ReadFirstTimer(loop, 10.0, fired.append, "early")
        early.cancel()
        late = ReadFirstTimer(loop, 0.0, fired.append, "late")
        await asyncio.sleep(0)  # it has expired, and waits for the loop to read
        late.cancel()
        done = asyncio.Event()
        ReadFirstTimer(loop, 0.01, done.set)
        await done.wait()
        assert fired == []

    play(scene)
