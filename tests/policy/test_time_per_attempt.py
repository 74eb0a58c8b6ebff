"""The time that answers take for each attempt at an endpoint, and what is rejected by it."""

from __future__ import annotations

import pytest
from policy_scene import make_balancer, make_entries, send_request, sent_to

from loadbalancer.policy.actions import LogMessage, Send
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.settings import Effect, RequestClass

UNSAFE = RequestClass("unsafe", latency_objective=2.0, client_timeout=4.0, effect=Effect.UNSAFE)
CLIENTS = 8


# Guards against a first answer that was held up, as at the start of a process, after which clients are refused in bulk.
@pytest.mark.parametrize("held_up_s", [0.3, 0.5, 1.0])
def test_one_slow_first_answer_rejects_nothing(held_up_s: float) -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    assert sent_to(balancer, 100.0, 0) == "s0"
    now = 100.0 + held_up_s
    balancer.handle(now, [Outcome(0, 0, "s0", AttemptResult.SERVED, held_up_s, True)])
    number = 1
    for _ in range(10):  # all clients ask at once, and are answered in 2 ms
        numbers = range(number, number + CLIENTS)
        number += CLIENTS
        for each in numbers:
            assert any(isinstance(action, Send) for action in send_request(balancer, now, each))
        now += 0.002
        for each in numbers:
            balancer.handle(now, [Outcome(each, 0, "s0", AttemptResult.SERVED, 0.002, True)])


# Guards against an endpoint that is slow from its start and gets more than it can answer in time.
def test_a_few_slow_answers_reject_what_can_not_be_answered_in_time() -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    now = 100.0
    for number in range(5):
        assert sent_to(balancer, now, number) == "s0"
        now += 0.5
        balancer.handle(now, [Outcome(number, 0, "s0", AttemptResult.SERVED, 0.5, True)])
    taken = [sent_to(balancer, now, 100 + number) is not None for number in range(CLIENTS)]
    assert taken == [True] * 3 + [False] * 5  # a fourth answer would come after 2 s


# Guards against rejections whose ground nobody can see; they come in bulk, and one line in ten seconds tells them.
def test_the_ground_of_a_rejection_for_time_is_logged_once() -> None:
    balancer = make_balancer(*make_entries(1), classes=(UNSAFE,))
    now = 100.0
    for number in range(5):
        sent_to(balancer, now, number)
        now += 0.5
        balancer.handle(now, [Outcome(number, 0, "s0", AttemptResult.SERVED, 0.5, True)])
    actions = [action for number in range(CLIENTS) for action in send_request(balancer, now, 100 + number)]
    logged = [action.text for action in actions if isinstance(action, LogMessage)]
    assert logged == ["rejecting: no time behind 3 attempts of 0.500 s each at s0"]
