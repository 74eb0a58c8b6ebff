"""Tests of endpoints with several priorities."""

from __future__ import annotations

import pytest
from policy_scene import (
    REQUEST_NUMBERS,
    count_sent,
    drain,
    end_attempt,
    make_warm_balancer,
    select_for,
)

from loadbalancer.policy.actions import (
    Send,
)
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointState,
)
from loadbalancer.policy.settings import (
    SafetyRules,
)

PRIORITIES = [
    EndpointEntry("a0"),
    EndpointEntry("a1"),
    EndpointEntry("b0", priority=1),
    EndpointEntry("c0", priority=1_000_000),
]


def test_a_later_priority_gets_no_requests_while_the_first_has_an_available_endpoint() -> None:
    balancer = make_warm_balancer(*PRIORITIES)
    assert count_sent(balancer, 101.0).keys() == {"a0", "a1"}
    drain(balancer, 106.0, "a0")
    assert count_sent(balancer, 107.0).keys() == {"a1"}


def test_the_next_priority_serves_only_while_the_first_has_no_available_endpoint() -> None:
    balancer = make_warm_balancer(*PRIORITIES)
    drain(balancer, 101.0, "a0", "a1")
    assert count_sent(balancer, 102.0).keys() == {"b0"}
    drain(balancer, 107.0, "b0", state=EndpointState.GONE)
    assert count_sent(balancer, 108.0).keys() == {"c0"}
    balancer.handle(113.0, [EndpointList((EndpointEntry("a0"),), complete=False)])
    assert count_sent(balancer, 114.0).keys() == {"a0"}


def test_the_next_priority_is_unused_while_one_of_many_endpoints_is_available() -> None:
    balancer = make_warm_balancer(
        *[EndpointEntry(f"a{n}") for n in range(60)], EndpointEntry("standby", priority=5)
    )
    for endpoint in balancer.endpoints.values():
        if endpoint.id.startswith("a") and endpoint.id != "a7":
            endpoint.consecutive_failures, endpoint.error_rate, endpoint.error_rate_at = 99, 1.0, 101.0
    assert count_sent(balancer, 101.0).keys() == {"a7"}


@pytest.mark.parametrize("result", [AttemptResult.NO_CONNECTION, AttemptResult.RESET, AttemptResult.ERROR])
def test_a_priority_whose_endpoints_all_fail_is_skipped(result: AttemptResult) -> None:
    balancer = make_warm_balancer(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    for number in range(3):
        for _ in range(4):
            balancer.outliers.record_result(balancer.endpoints["a0"], result, None, balancer.now)
        assert select_for(balancer, 101.0 + number / 10, number) == "standby"


def test_a_slow_endpoint_does_not_activate_a_standby() -> None:
    balancer = make_warm_balancer(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    for _ in range(9):
        balancer.outliers.record_result(
            balancer.endpoints["a0"], AttemptResult.SERVED, None, balancer.now, 1.0
        )
    assert balancer.endpoints["a0"].error_rate > 0.9
    assert select_for(balancer, 100.1, 1) == "a0"


def test_a_failed_attempt_is_retried_at_the_next_priority_at_once() -> None:
    balancer = make_warm_balancer(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    assert select_for(balancer, 101.0, 1) == "a0"
    actions = end_attempt(balancer, 101.1, 1, "a0", AttemptResult.NO_CONNECTION)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["standby"]


def test_a_standby_is_paced_while_it_warms_up() -> None:
    """It gets less than its current capacity, and the other requests are rejected."""
    rules = SafetyRules(slow_start_capacity=0.3, slow_start_duration=10.0)
    balancer = make_warm_balancer(
        EndpointEntry("a0"),
        EndpointEntry("b0", priority=1),
        rules=rules,
        standby_slow_start=True,
        instance_count=1,
    )
    usual = count_sent(balancer, 101.0)["a0"]  # in 4 s
    drain(balancer, 106.0, "a0")
    early = count_sent(balancer, 106.0)
    assert early[None] > early["b0"] > 0  # most requests are rejected
    assert early["b0"] < 0.6 * usual
    late = count_sent(balancer, 117.0)  # by then it is warm
    assert late == {"b0": len(REQUEST_NUMBERS)}


def test_a_standby_that_is_warm_serves_at_once() -> None:
    balancer = make_warm_balancer(
        EndpointEntry("a0"), EndpointEntry("b0", priority=1), standby_slow_start=False
    )
    drain(balancer, 106.0, "a0")
    assert count_sent(balancer, 106.0) == {"b0": len(REQUEST_NUMBERS)}


def test_requests_are_rejected_if_all_endpoints_drain() -> None:
    balancer = make_warm_balancer(EndpointEntry("a0"))
    drain(balancer, 101.0, "a0")
    assert count_sent(balancer, 101.0) == {None: len(REQUEST_NUMBERS)}
