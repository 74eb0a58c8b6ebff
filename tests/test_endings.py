"""Final answers to requests that failed: the selection of the answer, and failing members over sockets."""

from __future__ import annotations

from itertools import permutations
from pathlib import Path

import pytest
from daemons import requests_to, running_daemon
from peers import ScriptedBackend, answering, resetting, run_with_timeout
from test_ordinary import one_pool

from loadbalancer.metrics import RETRYABLE_STATUSES
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.proxy.final_answers import FinalAnswer, answer_failed, answer_rejected, is_better
from loadbalancer.upstreams.interfaces import UpstreamResponse


def error_answer(status: int) -> UpstreamResponse:
    return UpstreamResponse([], b"why", status)


@pytest.mark.parametrize("status", [500, 501, 502, 503, 504, 429, 599])
def test_answers_to_rejected_and_failed_requests(status: int) -> None:
    answer = error_answer(status)
    assert answer_rejected(answer) == FinalAnswer(answer)
    failed = answer_failed(answer, False, AttemptResult.ERROR, 504)
    assert failed == (
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


def test_the_preferred_error_answer_does_not_depend_on_order() -> None:
    for order in permutations([501, 500, 502, 504, 503]):
        best: UpstreamResponse | None = None
        for status in order:
            if is_better(best, error_answer(status)):
                best = error_answer(status)
        assert best is not None and best.status == 501
    assert (
        is_better(error_answer(500), error_answer(500))
        and is_better(error_answer(500), error_answer(599))
        and not is_better(error_answer(500), error_answer(502))
    )


def error_page(status: int, body: bytes = b"sorry") -> bytes:
    """Return an error answer with a reason phrase, headers and a body of the application's own."""
    return (
        b"HTTP/1.1 %d Own Words\r\nContent-Type: text/x-own\r\nRetry-After: 7\r\nContent-Length: %d\r\n\r\n%b"
        % (status, len(body), body)
    )


@pytest.mark.parametrize("method", ["GET", "HEAD", "OPTIONS"])
@pytest.mark.parametrize("status", [500, 501, 502, 503, 504])
def test_an_error_answer_of_a_member_reaches_a_safe_request_unchanged(
    status: int, method: str, tmp_path: Path
) -> None:
    async def scene() -> None:
        body = b"" if method == "HEAD" else b"sorry"
        backend = ScriptedBackend("s", answering(error_page(status, body)))
        async with running_daemon(tmp_path, [backend], lambda: one_pool([backend])) as here:
            got_status, head, got_body = await here.ask(requests_to("/", method))
            assert (got_status, got_body) == (status, body)
            assert b"Own Words" in head and b"text/x-own" in head and b"Retry-After: 7\r\n" in head
            proxy = here.daemon.pools["web"].proxy
            await here.until(lambda: not proxy.open)
            assert proxy.budget.held_bytes == 0
            assert sum(map(sum, proxy.metrics.ended)) == 1

    run_with_timeout(scene)


def test_a_500_of_one_member_is_preferred_to_a_503_of_another(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [
            ScriptedBackend("a", answering(error_page(503))),
            ScriptedBackend("b", answering(error_page(500))),
            ScriptedBackend("c", resetting),
        ]
        async with running_daemon(tmp_path, members, lambda: one_pool(members)) as here:
            for _ in range(6):
                calls_before = len(members[1].calls)
                status = (await here.ask(requests_to("/")))[0]
                # If the member that answers 500 was tried, its answer is preferred to the 503 of the other.
                assert status == (500 if len(members[1].calls) > calls_before else 503)

    run_with_timeout(scene)


def test_an_unreachable_member_gives_the_proxys_own_503(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(error_page(500)))
        async with running_daemon(tmp_path, [member], lambda: one_pool([member])) as here:
            await member.stop()
            status, head, body = await here.ask(requests_to("/"))
            assert (status, body) == (503, b"") and b"Own Words" not in head

    run_with_timeout(scene)
