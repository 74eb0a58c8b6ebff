"""Tests of sticky sessions."""

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
    EndpointState,
)
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    RequestClass,
    SafetyRules,
)

KEYED_CELL = RequestClass(
    "k", 1.0, 4.0, effect=Effect.KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window=3.0
)


def test_a_sticky_request_goes_to_its_endpoint_whatever_its_load() -> None:
    balancer = make_warm_balancer(*[EndpointEntry(f"s{n}") for n in range(5)])
    balancer.endpoints["s3"].in_flight.update({(n, 9): 200.0 for n in range(50)})
    assert count_sent(balancer, 101.0, "s3") == {"s3": len(REQUEST_NUMBERS)}


@pytest.mark.parametrize("session", ["unknown", "", "s9", "gone"])
def test_a_session_of_an_unlisted_endpoint_is_ignored(session: str) -> None:
    balancer = make_warm_balancer(EndpointEntry("s0"), EndpointEntry("s1"), EndpointEntry("gone"))
    drain(balancer, 101.0, "gone", state=EndpointState.GONE)
    assert count_sent(balancer, 101.0, session).keys() == {"s0", "s1"}


@pytest.mark.parametrize("keeps", [True, False])
def test_a_draining_endpoint_keeps_its_sessions_only_if_configured(keeps: bool) -> None:
    balancer = make_warm_balancer(EndpointEntry("s0"), EndpointEntry("s1"), sticky_while_draining=keeps)
    drain(balancer, 101.0, "s0")
    assert count_sent(balancer, 102.0, "s0").keys() == ({"s0"} if keeps else {"s1"})
    assert count_sent(balancer, 107.0).keys() == {"s1"}  # it gets no other requests in either case


def test_the_last_endpoint_keeps_its_sessions_when_it_drains() -> None:
    balancer = make_warm_balancer(EndpointEntry("s0"), sticky_while_draining=True)
    drain(balancer, 101.0, "s0")
    assert count_sent(balancer, 102.0, "s0") == {"s0": len(REQUEST_NUMBERS)}
    assert count_sent(balancer, 107.0) == {None: len(REQUEST_NUMBERS)}


def test_a_session_moves_away_from_a_failing_endpoint() -> None:
    balancer = make_warm_balancer(EndpointEntry("s0"), EndpointEntry("s1"))
    for _ in range(2):
        balancer.outliers.record_result(balancer.endpoints["s0"], AttemptResult.RESET, None, balancer.now)
    assert select_for(balancer, 100.5, 1, "s0") == "s1"
    assert select_for(balancer, 102.0, 2, "s0") == "s0"  # and is tried again after a while


def test_a_retry_ignores_the_session() -> None:
    balancer = make_warm_balancer(EndpointEntry("s0"), EndpointEntry("s1"))
    assert select_for(balancer, 101.0, 1, "s0") == "s0"
    actions = end_attempt(balancer, 101.1, 1, "s0", AttemptResult.RESET)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["s1"]


def test_a_keyed_request_that_may_have_run_is_not_retried_outside_its_group() -> None:
    entries = [EndpointEntry("s0", cell=1), EndpointEntry("s1", cell=2)]
    balancer = make_warm_balancer(*entries, classes=(KEYED_CELL,))
    assert select_for(balancer, 101.0, 1, "s0") == "s0"
    actions = end_attempt(balancer, 101.1, 1, "s0", AttemptResult.RESET)
    assert not [a for a in actions if isinstance(a, Send)]


def test_sessions_do_not_bypass_the_pace_of_an_endpoint_that_warms_up() -> None:
    balancer = make_warm_balancer(
        EndpointEntry("s0", started=100.5), EndpointEntry("s1"), rules=SafetyRules(slow_start_duration=10.0)
    )
    count_sent(balancer, 101.0)
    counts = count_sent(balancer, 105.0, "s0", 0.001)
    assert counts["s1"] > counts["s0"]
