"""Tests of endpoint selection: power of two choices, filters, fallback, and time for an answer."""

from __future__ import annotations

import math
from typing import Any

import pytest
from policy_scene import (
    HASTY,
    PATIENT,
    end_attempt,
    make_balancer,
    make_entries,
    record_queued_answers,
    send_request,
    sent_to,
)

from loadbalancer.policy import selection
from loadbalancer.policy.actions import (
    Reject,
)
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointState,
    FirstByte,
    Outcome,
)


def test_attempts_in_flight_outweigh_utilization() -> None:
    balancer = make_balancer(EndpointEntry("idle"), EndpointEntry("busy"))
    for endpoint in balancer.ready:
        endpoint.answered = True
    balancer.endpoints["busy"].in_flight.update({(1, 0): 100.0, (2, 0): 100.0})
    balancer.endpoints["idle"].utilization, balancer.endpoints["idle"].utilization_at = 0.9, 100.0
    assert balancer.selector.score(balancer.endpoints["idle"], balancer.now) < balancer.selector.score(
        balancer.endpoints["busy"], balancer.now
    )
    assert sent_to(balancer, 100.0, 10) == "idle"


def test_attempts_in_flight_count_relative_to_size() -> None:
    balancer = make_balancer(EndpointEntry("large", weight=3.0), EndpointEntry("small", weight=1.0))
    for endpoint in balancer.ready:
        endpoint.in_flight.update({(1, 0): 100.0, (2, 0): 100.0})
    assert balancer.selector.score(balancer.endpoints["large"], balancer.now) < balancer.selector.score(
        balancer.endpoints["small"], balancer.now
    )


def test_sampling_follows_the_listed_size() -> None:
    balancer = make_balancer(EndpointEntry("large", weight=3.0), EndpointEntry("small", weight=1.0))
    sampled = [
        balancer.registry.pool.sample(balancer.random.random(), balancer.registry.speed_by_kind).id
        for _ in range(4000)
    ]
    assert 2900 < sampled.count("large") < 3100


def test_kinds_that_report_more_utilization_are_sampled_less() -> None:
    balancer = make_balancer(*[EndpointEntry(f"s{i}", kind=i % 2) for i in range(8)])
    for n in range(600):
        endpoint = sent_to(balancer, 100.0 + n / 50, n)
        assert endpoint is not None
        end_attempt(
            balancer, 100.01 + n / 50, n, endpoint, util=0.9 if balancer.endpoints[endpoint].kind else 0.5
        )
    sampled = [
        balancer.registry.pool.sample(balancer.random.random(), balancer.registry.speed_by_kind).kind
        for _ in range(2000)
    ]
    assert 20 < sampled.count(1) < 600


def test_a_busy_endpoint_is_filtered_unless_all_are_busy() -> None:
    balancer = make_balancer(*make_entries(4))
    for endpoint in balancer.ready:
        endpoint.answered = True
    balancer.endpoints["s0"].utilization, balancer.endpoints["s0"].utilization_at = 1.0, 100.0
    assert {sent_to(balancer, 100.0, n) for n in range(9)} == {"s1", "s2", "s3"}
    for endpoint in balancer.ready:
        endpoint.utilization, endpoint.utilization_at = 1.0, 100.0
    assert {sent_to(balancer, 100.0, n) for n in range(9, 30)} == {
        "s0",
        "s1",
        "s2",
        "s3",
    }  # all exceed the limit: no filter applies


def test_an_endpoint_on_probation_gets_one_request_until_its_first_answer() -> None:
    balancer = make_balancer(*make_entries(10))
    for endpoint in balancer.ready:
        endpoint.answered = endpoint.id != "s1"
    selected = [sent_to(balancer, 100.0, n) for n in range(60)]
    assert selected.count("s1") == 1


def test_utilization_filters_none_if_the_whole_fleet_reports_being_busy() -> None:
    balancer = make_balancer(*make_entries(8))
    for n in range(400):
        endpoint = sent_to(balancer, 100.0 + n / 50, n)
        assert endpoint is not None
        end_attempt(balancer, 100.01 + n / 50, n, endpoint, util=1.0)
    assert balancer.outliers.mean_utilization > 0.9
    assert all(balancer.selector.passes_filters(s, balancer.now) for s in balancer.ready)


@pytest.mark.parametrize("value", [None, -1.0, math.nan, math.inf, "busy", 7.0])
def test_invalid_reports_keep_the_score_within_bounds(value: Any) -> None:
    balancer = make_balancer(*make_entries(1))
    balancer.outliers.record_result(
        balancer.endpoints["s0"],
        AttemptResult.SERVED,
        {"utilization": value, "unheard_of": 3.0},
        balancer.now,
    )
    assert (
        0.0 <= balancer.selector.score(balancer.endpoints["s0"], balancer.now) <= selection.UTILIZATION_WEIGHT
    )


def test_draining_and_gone_endpoints_get_no_requests() -> None:
    balancer = make_balancer(*make_entries(3))
    balancer.handle(
        100.0, [EndpointList((EndpointEntry("s0", state=EndpointState.DRAINING),), complete=False)]
    )
    balancer.handle(100.0, [EndpointList((EndpointEntry("s1", state=EndpointState.GONE),), complete=False)])
    assert {sent_to(balancer, 100.0, n) for n in range(30)} == {"s2"}


def test_requests_are_rejected_without_a_ready_endpoint() -> None:
    for entries in ([], make_entries(2, state=EndpointState.DRAINING)):
        balancer = make_balancer(*entries)
        assert send_request(balancer, 100.0, 1) == [Reject(1)]
        assert send_request(balancer, 100.0, 2, class_index=2) == [Reject(2)]


def test_an_answer_that_has_begun_does_not_count_as_in_flight() -> None:
    """Guards against slow readers that influence selection."""
    balancer = make_balancer(*make_entries(2))
    for endpoint in balancer.ready:
        endpoint.answered = True
    first = sent_to(balancer, 100.0, 1)
    assert first is not None
    balancer.handle(100.1, [FirstByte(1, 0, first, 0.1)])
    other = sent_to(balancer, 100.2, 2)
    assert other is not None and balancer.selector.score(balancer.endpoints[first], balancer.now) == (
        1.0 if other == first else 0.0
    )


def test_an_endpoint_that_fails_fast_gets_few_requests_while_the_others_are_too_busy_for_the_filters() -> (
    None
):
    """Guards against an error rate limit that rises with the failing endpoint's own failures, and against a fallback
    that prefers its empty queue."""
    balancer = make_balancer(*make_entries(10))
    sent = 0
    for n in range(600):
        now = 100.0 + n / 100
        for endpoint in balancer.endpoints.values():
            endpoint.utilization, endpoint.utilization_at, endpoint.answered = 1.0, now, True
            if endpoint.id != "s0":  # the others have attempts in flight
                endpoint.in_flight = {(10_000, k): now for k in range(6)}
        balancer.outliers.mean_utilization = 0.5
        endpoint_id = sent_to(balancer, now, n, class_index=2)
        assert endpoint_id is not None
        sent += endpoint_id == "s0"
        end_attempt(
            balancer,
            now + 0.001,
            n,
            endpoint_id,
            AttemptResult.ERROR if endpoint_id == "s0" else AttemptResult.SERVED,
        )
    assert sent < 60


def test_a_queue_that_leaves_no_time_rejects_the_class_with_less_time_first() -> None:
    balancer = make_balancer(*make_entries(2), classes=(HASTY, PATIENT))
    record_queued_answers(balancer, seconds_per_attempt=0.04, at=100.0)
    accepted = [sent_to(balancer, 100.0, n) is not None for n in range(12)]
    assert accepted == [True] * 6 + [False] * 6  # three each: a fourth would come after 160 ms
    assert all(sent_to(balancer, 100.0, n, class_index=1) is not None for n in range(12, 20))
    assert balancer.shed_level == 0.0


def test_requests_are_accepted_again_once_the_queue_is_empty() -> None:
    balancer = make_balancer(*make_entries(2), classes=(HASTY, PATIENT))
    record_queued_answers(balancer, seconds_per_attempt=0.04, at=100.0)
    sent = {n: endpoint for n in range(12) if (endpoint := sent_to(balancer, 100.0, n))}
    assert sent_to(balancer, 100.01, 50) is None
    for number, endpoint in sent.items():
        balancer.handle(100.05, [Outcome(number, 0, endpoint, AttemptResult.SERVED, 0.05, True)])
    assert sent_to(balancer, 100.05, 51) is not None


def test_slow_answers_reject_nothing_without_a_queue() -> None:
    balancer = make_balancer(*make_entries(1), classes=(HASTY, PATIENT))
    record_queued_answers(balancer, seconds_per_attempt=0.4, at=100.0)
    assert sent_to(balancer, 100.0, 1) == "s0"
    assert sent_to(balancer, 100.0, 2) is None
    assert (
        sent_to(balancer, 100.0 + 2 * selection.TIME_PER_ATTEMPT_VALID_S, 3) == "s0"
    )  # the last answer is too old to count


def test_a_restart_resets_the_time_per_attempt() -> None:
    balancer = make_balancer(*make_entries(1), classes=(HASTY, PATIENT))
    record_queued_answers(balancer, seconds_per_attempt=0.4, at=100.0)
    balancer.handle(100.0, [EndpointList((EndpointEntry("s0", started=100.0),))])
    assert balancer.endpoints["s0"].time_per_attempt == 0.0
