"""What becomes of an attempt whose time is over although its answer has begun."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any, cast

import pytest
from peers import OK, SETTINGS, Call, ScriptedBackend, request, run_with_timeout, running_proxy

from loadbalancer.proxy.late_answers import CHECK_INTERVAL_S, DECISION_GRACE_S, LateAnswers, Verdict
from loadbalancer.upstreams.partial_answers import ARRIVING_S, STEADY_RATE, PartialAnswer

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#: Seconds by which a time lies clearly on one side of a limit.
CLEARLY_S = 10.0


@dataclass
class Progress:
    """How an answer arrives, as the test sets it."""

    steady: bool = False
    silent_s: float = 0.0
    is_too_slow: bool = False

    def is_steady(self) -> bool:
        return self.steady

    def may_become_long(self, max_silence_s: float, min_rated_s: float = 0.0) -> bool:
        return not self.is_too_slow and self.silent_s <= max_silence_s


@dataclass
class WaitingAttempt:
    """An attempt whose time is over, and the time of its request."""

    progress: Progress | None
    deadline_in_s: float
    waited_s: float = 0.0

    @property
    def request(self) -> WaitingAttempt:
        return self

    @property
    def deadline_at(self) -> float:
        return time.monotonic() + self.deadline_in_s

    @property
    def timed_out_at(self) -> float:
        return time.monotonic() - self.waited_s

    def find_partial_answer(self) -> Progress | None:
        return self.progress


@pytest.mark.parametrize(
    ("attempt", "would_retry", "verdict"),
    [
        (WaitingAttempt(None, CLEARLY_S), False, Verdict.END),
        (WaitingAttempt(Progress(steady=True), CLEARLY_S), True, Verdict.PASS_ON),
        (WaitingAttempt(Progress(), CLEARLY_S), True, Verdict.END),
        (WaitingAttempt(Progress(), CLEARLY_S), False, Verdict.WAIT),
        (WaitingAttempt(Progress(silent_s=1.0), -0.01, waited_s=2.0), False, Verdict.PASS_ON),
        (WaitingAttempt(Progress(silent_s=1.0), -0.01, waited_s=0.5), False, Verdict.WAIT),
        (WaitingAttempt(Progress(silent_s=ARRIVING_S / 2), -CLEARLY_S), False, Verdict.PASS_ON),
        (WaitingAttempt(Progress(silent_s=ARRIVING_S * 2), -CLEARLY_S), False, Verdict.END),
        (WaitingAttempt(Progress(is_too_slow=True), -CLEARLY_S), False, Verdict.END),
    ],
    ids=[
        "no answer yet", "steady", "another attempt follows", "its client waits on", "brought bytes since",
        "may still bring some", "arriving at the end", "silent at the end", "trickles",
    ],
)  # fmt: skip
def test_each_row_of_the_table(attempt: WaitingAttempt, would_retry: bool, verdict: Verdict) -> None:
    """Guards against a verdict on an unfinished answer while its client still waits."""
    late_answers = LateAnswers(lambda _: would_retry, DECISION_GRACE_S)
    assert late_answers.judge(cast(Any, attempt)) == verdict


def test_an_answer_that_waits_is_judged_at_its_deadline_and_until_its_last_moment() -> None:
    """Guards against final answers that come too late to count."""
    late_answers = LateAnswers(lambda _: False, DECISION_GRACE_S)
    before, behind = (cast(Any, WaitingAttempt(Progress(), left_s)) for left_s in (2.0, -0.3))
    assert late_answers.next_check_s(before) == pytest.approx(2.0, abs=0.1)
    assert late_answers.next_check_s(behind) <= DECISION_GRACE_S - 0.3
    assert late_answers.time_left_s(behind) <= DECISION_GRACE_S - 0.3


def test_few_bytes_that_have_just_come_are_no_long_answer() -> None:
    """Guards against a trickle whose first bytes come just before it is judged, so that its pace seems great."""

    async def scene() -> None:
        progress = PartialAnswer(cast(Any, None), 64 << 10)
        progress.record(20)
        assert not progress.may_become_long(ARRIVING_S)
        assert not progress.may_become_long(ARRIVING_S, CHECK_INTERVAL_S)
        progress.record(1_400)
        assert not progress.may_become_long(ARRIVING_S)
        assert progress.may_become_long(ARRIVING_S, CHECK_INTERVAL_S)
        progress.cancel()

    run_with_timeout(scene)


def test_one_burst_is_no_steady_answer_and_a_trickle_cannot_become_long() -> None:
    """Guards against heads that are passed on for answers which stop at once, or never end."""

    async def scene() -> None:
        progress = PartialAnswer(cast(Any, None), 64 << 10)
        assert not progress.may_become_long(ARRIVING_S)
        progress.record(20_000)
        assert not progress.is_steady() and progress.may_become_long(ARRIVING_S)
        progress._first_byte_at -= 1.0
        assert progress.is_steady()
        progress._last_byte_at -= ARRIVING_S
        assert not progress.is_steady() and not progress.may_become_long(ARRIVING_S / 2)
        assert progress.may_become_long(2 * ARRIVING_S)
        progress._first_byte_at -= CLEARLY_S
        assert not progress.may_become_long(2 * ARRIVING_S)
        progress.record(20_000 + int(STEADY_RATE * 2 * CLEARLY_S))
        assert progress.may_become_long(ARRIVING_S)
        progress.cancel()

    run_with_timeout(scene)


@pytest.mark.parametrize("begin", [HEAD, HEAD + b"3\r\nabc\r\n"])
def test_client_gets_its_answer_from_another_member_while_one_has_stopped(begin: bytes) -> None:
    """Guards against waiting for an answer that has stopped where another member would answer at once."""

    async def scene() -> None:
        calls = 0

        async def stop_at_first(call: Call) -> None:
            nonlocal calls
            calls += 1
            await call.say(begin if calls == 1 else OK)
            await call.left()

        classes = [{**each, "aim-s": 0.6} for each in SETTINGS["classes"]]
        members = ScriptedBackend("a", stop_at_first), ScriptedBackend("b", stop_at_first)
        async with running_proxy(*members, settings={**SETTINGS, "classes": classes}) as here:
            client = await here.connect()
            assert await client.ask(request("safe")) == (200, b"hi")

    run_with_timeout(scene)


def test_answer_that_has_begun_is_not_cancelled_for_another_attempt() -> None:
    """Guards against long answers cut off for a second attempt where no two may be open at once."""

    async def scene() -> None:
        goes_on = asyncio.Event()

        async def rest(call: Call) -> None:
            await call.say(HEAD)
            await goes_on.wait()
            await call.say(b"2\r\nhi\r\n0\r\n\r\n")

        limits = {**SETTINGS["policy-limits"], "second-copies": False}
        classes = [{**each, "aim-s": 0.3} for each in SETTINGS["classes"]]
        members = ScriptedBackend("a", rest), ScriptedBackend("b", rest)
        settings = {**SETTINGS, "classes": classes, "policy-limits": limits}
        async with running_proxy(*members, settings=settings) as here:
            client = await here.connect()
            await client.send(request("safe"))
            await here.proxy.until(lambda: here.proxy.open)
            async with asyncio.timeout(CLEARLY_S):
                while not any(each.attempts[0].timed_out_at for each in here.proxy.open.values()):
                    await asyncio.sleep(0.01)
            goes_on.set()
            assert (await client.read())[::2] == (200, b"hi")
            assert sum(len(member.calls) for member in members) == 1

    run_with_timeout(scene)
