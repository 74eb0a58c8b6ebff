"""No effect twice: single cases. `test_safety_rules.py` has all orders of events."""

from __future__ import annotations

from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy.actions import (
    Fail,
    Send,
)
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
)


def test_an_unsafe_request_that_may_have_run_fails() -> None:
    balancer = make_balancer(*make_entries(3))
    endpoint = sent_to(balancer, 100.0, 1, class_index=2)
    assert endpoint is not None
    assert end_attempt(balancer, 100.2, 1, endpoint, AttemptResult.RESET) == [Fail(1)]


def test_a_keyed_request_is_retried_in_its_zone_and_window_only() -> None:
    entries = [EndpointEntry(f"z{i % 2}-{i}", zone=i % 2) for i in range(8)]
    for late, goes in ((0.2, True), (0.5, False)):
        balancer = make_balancer(*entries)
        endpoint = sent_to(balancer, 100.0, 1, class_index=1)
        assert endpoint is not None
        again = end_attempt(balancer, 100.0 + late, 1, endpoint, AttemptResult.RESET)[0]
        assert isinstance(again, Send) == goes
        if goes:
            assert again.endpoint[:2] == endpoint[:2] and again.endpoint != endpoint
        else:
            assert again == Fail(1)
