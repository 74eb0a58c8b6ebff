"""Answers without a stated length that are still arriving when the time of their attempt is over."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from pathlib import Path
from typing import Any, Iterator

import peers
import pytest
from daemons import LISTENER, pool, requests_to, route, running_daemon
from peers import (
    OK,
    SETTINGS,
    Call,
    RunningProxy,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)
from test_send_monitor import until
from translated import FcgiCall

from loadbalancer.fastcgi.records import Type, encode_end, encode_stream
from loadbalancer.policy.events import AttemptResult
from loadbalancer.upstreams import partial_answers
from standins.crowds import fetch
from standins.platform_run import Limits, PlatformRun

HEAD = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}
PIECE = bytes(9_000)
"""Size of each piece of an answer; eight of them are more than is buffered."""
PIECES = 20


def with_aim(aim_s: float) -> dict[str, Any]:
    """Return settings whose classes are answered within `aim_s`, so that attempts time out shortly before."""
    settings = deepcopy(SETTINGS)
    for entry in settings["classes"]:
        entry["aim-s"] = aim_s
    return settings


def has_timed_out(here: RunningProxy) -> bool:
    """Return whether the time of an open attempt is over."""
    attempts = [attempt for each in here.proxy.open.values() for attempt in each.attempts]
    return any(attempt.timed_out_at and not attempt.ended for attempt in attempts)


class SteadyAnswer:
    """Writes the first piece of an answer, and the others when the test asks for them."""

    def __init__(self, framing: str) -> None:
        self.framing = framing
        self.begin = HEAD[framing] + self.frame(PIECE)
        self.head_was_written = asyncio.Event()
        self.goes_on = asyncio.Event()

    def frame(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self.framing == "chunked" else data

    async def __call__(self, call: Call) -> None:
        await call.say(self.begin)
        self.head_was_written.set()
        await self.goes_on.wait()
        for _ in range(PIECES - 1):
            await call.say(self.frame(PIECE))
        if self.framing == "chunked":
            await call.say(b"0\r\n\r\n")
        call.writer.close()


@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_long_answer_of_unknown_length_is_not_cut_off_when_its_attempt_times_out(
    cls: str, framing: str
) -> None:
    async def scene() -> None:
        answer = SteadyAnswer(framing)
        backend = ScriptedBackend("a", answer)
        async with running_proxy(backend, settings=with_aim(0.3)) as here:
            client = await here.connect()
            await client.send(request(cls))
            await answer.head_was_written.wait()
            await until(lambda: has_timed_out(here))
            answer.goes_on.set()
            status, _, body = await client.read()
            assert (status, body) == (200, PIECE * PIECES)
            assert len(backend.calls) == 1
            await here.proxy.until(lambda: not here.proxy.open)
            assert here.proxy.budget.held_bytes == 0

    run_with_timeout(scene)


def test_answer_ended_by_its_close_is_passed_on_to_an_http_1_0_client() -> None:
    async def scene() -> None:
        answer = SteadyAnswer("close")
        async with running_proxy(ScriptedBackend("a", answer), settings=with_aim(0.3)) as here:
            client = await here.connect()
            await client.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            await until(lambda: has_timed_out(here))
            answer.goes_on.set()
            received = await client.ended()
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(PIECE * PIECES)

    run_with_timeout(scene)


def test_partial_answer_is_not_held_back_for_two_seconds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(partial_answers, "MAX_HOLD_BACK_S", 0.05)

    async def scene() -> None:
        answer = SteadyAnswer("chunked")
        async with running_proxy(ScriptedBackend("a", answer), settings=with_aim(60.0)) as here:
            client = await here.connect()
            await client.send(request("unsafe", None, "60000m"))
            await here.proxy.until(lambda: here.proxy.streams)
            answer.goes_on.set()
            status, _, body = await client.read()
            assert (status, body) == (200, PIECE * PIECES)

    run_with_timeout(scene)


@pytest.mark.parametrize("begin", [HEAD["chunked"], HEAD["close"], HEAD["close"] + b"a"])
def test_answer_that_hardly_arrives_fails_in_time(begin: bytes) -> None:
    async def scene() -> None:
        async def script(call: Call) -> None:
            await call.say(begin)
            await call.left()

        async with running_proxy(ScriptedBackend("a", script), settings=with_aim(0.3)) as here:
            client = await here.connect()
            assert (await client.ask(request("unsafe", None, "400m")))[0] == 502
            assert here.proxy.outcomes()[0].result == AttemptResult.TIMEOUT

    run_with_timeout(scene)


def test_answer_that_stops_after_it_was_passed_on_is_reset_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(partial_answers, "MAX_SILENCE_S", 0.5)
    messages: list[str] = []

    async def scene() -> None:
        async def stop_once_passed_on(call: Call) -> None:
            await call.say(HEAD["chunked"])
            while not here.proxy.streams:
                await call.say(b"800\r\n%b\r\n" % bytes(0x800))
                await asyncio.sleep(partial_answers.MIN_STEADY_S / 2)
            await call.left()

        member = ScriptedBackend("a", stop_once_passed_on)
        async with running_proxy(member, settings=with_aim(0.3)) as here:
            here.proxy.upstreams.logger = lambda kind, text="": messages.append(f"{kind}: {text}")  # type: ignore
            client = await here.connect()
            await client.send(request())
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await client.read()
            assert any(message.startswith("answer given up") for message in messages)

    run_with_timeout(scene)


def test_silent_attempt_is_followed_by_another_one_as_before() -> None:
    async def scene() -> None:
        members = ScriptedBackend("a", silent), ScriptedBackend("b", answering(OK))
        async with running_proxy(*members, settings=with_aim(0.6)) as here:
            client = await here.connect()
            assert await client.ask(request()) == (200, b"hi")

    run_with_timeout(scene)


@pytest.mark.parametrize("length", [None, PIECES * len(PIECE)])
def test_long_fastcgi_answer_is_not_cut_off_when_its_attempt_times_out(
    length: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peers, "COMBINATION", ["http/1.1", "fastcgi"])

    async def scene() -> None:
        goes_on = asyncio.Event()
        lines = b"" if length is None else b"Content-Length: %d\r\n" % length

        async def script(call: FcgiCall) -> None:
            head = b"Status: 200 OK\r\n" + lines + b"\r\n"
            call.writer.write(encode_stream(Type.STDOUT, call.number, head + PIECE))
            await goes_on.wait()
            for _ in range(PIECES - 1):
                call.writer.write(encode_stream(Type.STDOUT, call.number, PIECE))
            call.writer.write(encode_end(call.number))

        backend = ScriptedBackend("a", script)  # type: ignore[arg-type]
        async with running_proxy(backend, settings=with_aim(0.3)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            await until(lambda: has_timed_out(here) or here.proxy.streams)
            goes_on.set()
            status, _, body = await client.read()
            assert (status, body) == (200, PIECE * PIECES)

    run_with_timeout(scene)


def long_answers() -> Iterator[tuple[str, str]]:
    """Yield classes and targets of long answers that are written slowly."""
    for lane in ("safe", "keyed", "unsafe"):
        for size, seconds, framing, form in (
            (175_000, 1.5, "chunked", "steady"),
            (175_000, 3.0, "close", "steady"),
            (225_000, 2.0, "chunked", "lumps"),
            (225_000, 2.5, "close", "lumps"),
        ):
            yield lane, f"/api?size={size}&seconds={seconds}&framing={framing}&form={form}&delay=0.15"


def test_real_process_cuts_off_no_long_answer_that_its_member_is_writing() -> None:
    async def scene() -> None:
        async with PlatformRun(Limits(80, 384)) as run:
            answers = await asyncio.gather(
                *(fetch(run.address, lane, target, 0.6) for lane, target in long_answers())
            )
        assert [answer.status for answer in answers] == [200] * len(answers)
        assert all(answer.is_own for answer in answers)

    run_with_timeout(scene)


def test_timer_of_a_connection_ends_with_it() -> None:
    async def scene() -> None:
        answer = SteadyAnswer("chunked")
        async with running_proxy(ScriptedBackend("a", answer)) as here:
            client = await here.connect()
            await client.send(request("unsafe"))
            await answer.head_was_written.wait()
            client.writer.transport.abort()
            await here.proxy.until(lambda: not here.proxy.open)
            assert here.proxy.upstreams.open == 0 and here.proxy.budget.held_bytes == 0

    run_with_timeout(scene)


STREAMED = 'limits = { answer_body = "64KiB", answer_stream = "1MiB" }'
CLASS = '[[class]]\nname = "c"\naim = "300ms"\ndeadline = "5s"\nlate_share = 0.0\neffect = "unsafe"\n'


def test_long_answer_whose_body_begins_late_is_not_cut_off_by_serve(tmp_path: Path) -> None:
    """Guards against a daemon that cuts off what `run` waits for."""

    async def scene() -> None:
        answer = SteadyAnswer("chunked")

        async def rest_behind_head(call: Call) -> None:
            await call.say(HEAD["chunked"])
            await answer(call)

        member = ScriptedBackend("a", rest_behind_head)
        answer.begin = b""

        def text() -> str:
            return CLASS + LISTENER + route("r", "p", 'class = "c"') + pool("p", [member], STREAMED)

        async with running_daemon(tmp_path, [member], text) as daemon:
            proxy = daemon.daemon.pools["p"].proxy
            client = await daemon.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await answer.head_was_written.wait()
            await until(
                lambda: any(attempt.timed_out_at for each in proxy.open.values() for attempt in each.attempts)
            )
            answer.goes_on.set()
            status, _, body = await client.read()
            assert (status, body) == (200, PIECE * (PIECES - 1))
            assert len(member.calls) == 1

    run_with_timeout(scene)
