"""What a client hears of a request that was given up: the table, and members that fail over sockets."""

from __future__ import annotations

from itertools import permutations
from pathlib import Path

import pytest
from daemons import ground, requests_to
from peers import ScriptedBackend, answering, resetting, run_with_timeout
from test_ordinary import one_pool

from loadbalancer.metrics import RETRYABLE_STATUSES
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.proxy.final_answers import FinalAnswer, answer_failed, answer_rejected, is_better
from loadbalancer.upstreams.interfaces import UpstreamResponse


def kept(status: int) -> UpstreamResponse:
    return UpstreamResponse([], b"why", status)


@pytest.mark.parametrize("status", [500, 501, 502, 503, 504, 429, 599])
def test_the_table(status: int) -> None:
    answer = kept(status)
    assert answer_rejected(answer) == FinalAnswer(answer)
    theirs = answer_failed(answer, False, AttemptResult.ERROR, 504)
    assert theirs == (
        FinalAnswer(None, 502, False, "http_response_incomplete")
        if status in RETRYABLE_STATUSES
        else FinalAnswer(answer)
    )
    assert answer_failed(answer, False, AttemptResult.TIMEOUT, 504) == FinalAnswer(
        None, 504, False, "http_response_timeout"
    )
    assert answer_failed(answer, True, AttemptResult.UNUSABLE, 504) == FinalAnswer(
        None, 400, True, "http_request_error"
    )
    assert answer_rejected(None).status == 503 and answer_failed(None, False, None, 504).status == 502


def test_the_best_of_several_does_not_depend_on_their_order() -> None:
    for order in permutations([501, 500, 502, 504, 503]):
        best: UpstreamResponse | None = None
        for status in order:
            if is_better(best, kept(status)):
                best = kept(status)
        assert best is not None and best.status == 501
    assert (
        is_better(kept(500), kept(500))
        and is_better(kept(500), kept(599))
        and not is_better(kept(500), kept(502))
    )


def page(status: int, body: bytes = b"sorry") -> bytes:
    return (
        b"HTTP/1.1 %d Own Words\r\nContent-Type: text/x-own\r\nRetry-After: 7\r\nContent-Length: %d\r\n\r\n%b"
        % (status, len(body), body)
    )


@pytest.mark.parametrize("method", ["GET", "HEAD", "OPTIONS"])
@pytest.mark.parametrize("status", [500, 501, 502, 503, 504])
def test_each_failure_of_a_member_reaches_a_safe_request_as_it_was_worded(
    status: int, method: str, tmp_path: Path
) -> None:
    async def scene() -> None:
        body = b"" if method == "HEAD" else b"sorry"
        backend = ScriptedBackend("s", answering(page(status, body)))
        async with ground(tmp_path, [backend], lambda: one_pool([backend])) as here:
            got, head, said = await here.ask(requests_to("/", method))
            assert (got, said) == (status, body)
            assert b"Own Words" in head and b"text/x-own" in head and b"Retry-After: 7\r\n" in head
            proxy = here.daemon.pools["web"].proxy
            await here.until(lambda: not proxy.open)
            assert proxy.budget.held_bytes == 0
            assert sum(map(sum, proxy.metrics.ended)) == 1

    run_with_timeout(scene)


def test_of_several_members_that_fail_the_one_that_says_most_is_heard(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [
            ScriptedBackend("a", answering(page(503))),
            ScriptedBackend("b", answering(page(500))),
            ScriptedBackend("c", resetting),
        ]
        async with ground(tmp_path, members, lambda: one_pool(members)) as here:
            for _ in range(6):
                before = len(members[1].calls)
                status = (await here.ask(requests_to("/")))[0]
                # Whoever was asked: where the one with an answer of its own was, its answer is heard.
                assert status == (500 if len(members[1].calls) > before else 503)

    run_with_timeout(scene)


def test_a_pool_without_members_still_says_503_in_its_own_words(tmp_path: Path) -> None:
    async def scene() -> None:
        gone = ScriptedBackend("s", answering(page(500)))
        async with ground(tmp_path, [gone], lambda: one_pool([gone])) as here:
            await gone.stop()
            status, head, body = await here.ask(requests_to("/"))
            assert (status, body) == (503, b"") and b"Own Words" not in head

    run_with_timeout(scene)
