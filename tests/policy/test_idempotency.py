"""Tests of single cases of idempotency. `test_safety_rules.py` covers generated orders of events."""

from __future__ import annotations

import pytest
from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy import idempotency
from loadbalancer.policy.actions import (
    Fail,
    Send,
)
from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
)
from loadbalancer.policy.pending_requests import Attempt
from loadbalancer.policy.settings import DeduplicationScope, Effect, RequestClass


def test_an_unsafe_request_that_may_have_run_fails() -> None:
    balancer = make_balancer(*make_entries(3))
    endpoint = sent_to(balancer, 100.0, 1, class_index=2)
    assert endpoint is not None
    assert end_attempt(balancer, 100.2, 1, endpoint, AttemptResult.RESET) == [Fail(1)]


def test_a_keyed_request_is_retried_in_its_zone_and_window_only() -> None:
    entries = [EndpointEntry(f"z{i % 2}-{i}", zone=i % 2) for i in range(8)]
    for elapsed, is_retried in ((0.2, True), (0.5, False)):
        balancer = make_balancer(*entries)
        endpoint = sent_to(balancer, 100.0, 1, class_index=1)
        assert endpoint is not None
        action = end_attempt(balancer, 100.0 + elapsed, 1, endpoint, AttemptResult.RESET)[0]
        assert isinstance(action, Send) == is_retried
        if is_retried:
            assert action.endpoint[:2] == endpoint[:2] and action.endpoint != endpoint
        else:
            assert action == Fail(1)


ALL, ZONE = DeduplicationScope.ALL, DeduplicationScope.ZONE


@pytest.mark.parametrize(
    ("effect", "scope", "elapsed", "may_run_again", "may_reject"),
    [
        (Effect.SAFE, ALL, 9.0, True, True),
        (Effect.KEYED, ALL, 0.4, True, True),
        (Effect.KEYED, ALL, 0.5, False, True),
        (Effect.KEYED, ZONE, 0.4, True, False),
        (Effect.KEYED, ZONE, 0.5, False, False),
        (Effect.UNSAFE, ALL, 0.0, False, False),
    ],
)
def test_what_may_follow_an_attempt_that_may_have_run(
    effect: Effect, scope: DeduplicationScope, elapsed: float, may_run_again: bool, may_reject: bool
) -> None:
    request_class = RequestClass(
        "c", 1.0, 4.0, effect=effect, deduplication_scope=scope, deduplication_window=0.5
    )
    first = Attempt(Endpoint(EndpointEntry("s0")), sent_at=100.0, queue_length=1)

    assert idempotency.may_run_again(request_class, first, 100.0 + elapsed) == may_run_again
    assert idempotency.may_reject(request_class, [first]) == may_reject

    first.may_have_run = False
    assert idempotency.first_that_may_have_run([first]) is None
    assert idempotency.may_run_again(request_class, None, 100.0 + elapsed)
    assert idempotency.may_reject(request_class, [first])
