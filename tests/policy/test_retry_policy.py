"""Tests of which requests may have another attempt."""

from __future__ import annotations

import pytest
from policy_scene import (
    KEYED,
    UNSAFE,
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy.actions import (
    Fail,
    Reject,
    Send,
)
from loadbalancer.policy.events import (
    AttemptResult,
    BodyProgress,
    Outcome,
    Request,
)


def test_an_unsafe_request_that_never_ran_is_retried() -> None:
    balancer = make_balancer(*make_entries(3))
    endpoint = sent_to(balancer, 100.0, 1, class_index=2)
    assert endpoint is not None
    actions = end_attempt(balancer, 100.2, 1, endpoint, AttemptResult.NO_CONNECTION)
    assert isinstance(actions[0], Send) and actions[0].endpoint != endpoint


@pytest.mark.parametrize("buffered", [True, False])
@pytest.mark.parametrize(("result", "ran"), [(AttemptResult.FULL, False), (AttemptResult.RESET, True)])
def test_a_request_is_retried_only_if_its_body_is_still_buffered(
    buffered: bool, result: AttemptResult, ran: bool
) -> None:
    balancer = make_balancer(*make_entries(2), classes=(KEYED, UNSAFE))
    balancer.handle(100.0, [Request(1, 1, 4.0, body_pending=True)])
    (endpoint,) = [s for s in balancer.ready if s.responding]
    balancer.handle(101.0, [BodyProgress(1, True, buffered)])
    actions = balancer.handle(101.1, [Outcome(1, 0, endpoint.id, result, 0.1)])
    (kind,) = {type(a) for a in actions if isinstance(a, (Send, Fail, Reject))}
    assert kind is (Fail if ran else Send if buffered else Reject)


def test_a_retry_after_no_connection_needs_no_budget_and_one_after_an_error_does() -> None:
    balancer = make_balancer(*make_entries(10))
    balancer.retry_policy.tokens = 0.0
    endpoint = sent_to(balancer, 100.0, 1)
    assert endpoint is not None
    assert any(
        isinstance(a, Send) for a in end_attempt(balancer, 100.0, 1, endpoint, AttemptResult.NO_CONNECTION)
    )
    endpoint = sent_to(balancer, 101.0, 2)
    assert endpoint is not None
    assert any(isinstance(a, Reject) for a in end_attempt(balancer, 101.0, 2, endpoint, AttemptResult.ERROR))
