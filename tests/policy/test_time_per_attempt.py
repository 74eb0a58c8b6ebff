"""Tests of the time per attempt of an endpoint, and of the rejections that follow from it."""

from __future__ import annotations

import pytest
from policy_scene import make_balancer, make_entries, send_request, sent_to

from loadbalancer.policy.actions import LogMessage, Send
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.settings import Effect, RequestClass

UNSAFE = RequestClass("unsafe", latency_objective=2.0, client_timeout=4.0, effect=Effect.UNSAFE)
CLIENT_COUNT = 8


# Guards against mass rejections after one delayed first answer, as at the start of a process.
@pytest.mark.parametrize("delay_s", [0.3, 0.5, 1.0])
def test_one_slow_first_answer_rejects_nothing(delay_s: float) -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    assert sent_to(balancer, 100.0, 0) == "s0"
    now = 100.0 + delay_s
    balancer.handle(now, [Outcome(0, 0, "s0", AttemptResult.SERVED, delay_s, True)])
    number = 1
    for _ in range(10):  # all clients send at once, and are answered in 2 ms
        numbers = range(number, number + CLIENT_COUNT)
        number += CLIENT_COUNT
        for each in numbers:
            assert any(isinstance(action, Send) for action in send_request(balancer, now, each))
        now += 0.002
        for each in numbers:
            balancer.handle(now, [Outcome(each, 0, "s0", AttemptResult.SERVED, 0.002, True)])


# Guards against an endpoint that is slow from its start and gets more requests than it can answer in time.
def test_requests_that_can_not_be_answered_in_time_are_rejected_after_a_few_slow_answers() -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    now = 100.0
    for number in range(5):
        assert sent_to(balancer, now, number) == "s0"
        now += 0.5
        balancer.handle(now, [Outcome(number, 0, "s0", AttemptResult.SERVED, 0.5, True)])
    accepted = [sent_to(balancer, now, 100 + number) is not None for number in range(CLIENT_COUNT)]
    assert accepted == [True] * 3 + [False] * 5  # a fourth answer would come after 2 s


# Guards against rejections without a visible reason. They come in large numbers, so one line in ten seconds logs them.
def test_rejections_for_lack_of_time_are_logged_once() -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    now = 100.0
    for number in range(5):
        sent_to(balancer, now, number)
        now += 0.5
        balancer.handle(now, [Outcome(number, 0, "s0", AttemptResult.SERVED, 0.5, True)])
    actions = [
        action for number in range(CLIENT_COUNT) for action in send_request(balancer, now, 100 + number)
    ]
    log_lines = [action.text for action in actions if isinstance(action, LogMessage)]
    assert log_lines == ["rejecting: no time behind 3 attempts of 0.500 s each at s0"]
