"""Tests of what is learned about endpoints from the ends of attempts, and of which are ejected."""

from __future__ import annotations

import pytest
from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy import outlier_detection
from loadbalancer.policy.actions import (
    Send,
)
from loadbalancer.policy.estimators import linear_decay
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    FirstByte,
    Outcome,
)


def test_an_endpoint_far_slower_than_typical_counts_as_failing_and_a_slow_fleet_does_not() -> None:
    balancer = make_balancer(*make_entries(8))
    worst = 0.0
    for n in range(400):
        endpoint = sent_to(balancer, 100.0 + n / 10, n)
        assert endpoint is not None
        elapsed = 0.6 if endpoint == "s0" else 0.1
        balancer.handle(100.05 + n / 10, [Outcome(n, 0, endpoint, AttemptResult.SERVED, elapsed, True)])
        worst = max(worst, balancer.endpoints["s0"].error_rate if n > 20 else 0.0)
    assert worst > 0.15
    assert all(s.error_rate < 0.01 for s in balancer.ready if s.id != "s0")
    for n in range(400, 800):  # all slow
        endpoint = sent_to(balancer, 200.0 + n / 10, n)
        assert endpoint is not None
        balancer.handle(200.05 + n / 10, [Outcome(n, 0, endpoint, AttemptResult.SERVED, 0.6, True)])
    assert all(linear_decay(s.error_rate, s.error_rate_at, balancer.now) < 0.01 for s in balancer.ready)


def test_an_endpoint_that_fails_one_class_goes_on_serving_the_others() -> None:
    balancer = make_balancer(*make_entries(2))
    endpoint, other = balancer.endpoints["s0"], balancer.endpoints["s1"]
    endpoint.answered = other.answered = True
    balancer.now = 100.0
    for n in range(12):  # one of three requests is of the class that it fails
        fails = n % 3 == 0
        balancer.outliers.record_result(
            endpoint,
            AttemptResult.TIMEOUT if fails else AttemptResult.SERVED,
            None,
            balancer.now,
            float(fails),
            2 if fails else 0,
        )
    assert not balancer.selector.passes_filters(
        endpoint, balancer.now, 2
    ) and balancer.selector.passes_filters(endpoint, balancer.now, 0)
    assert (
        balancer.selector.score(endpoint, balancer.now, 2)
        > balancer.selector.score(endpoint, balancer.now, 0) + 1.0
        > balancer.selector.score(other, balancer.now, 2) + 1.0
    )


def test_an_unresponsive_endpoint_is_no_candidate() -> None:
    balancer = make_balancer(*make_entries(4))
    for endpoint in balancer.ready:
        endpoint.answered = True
    balancer.outliers.response_timeout = 1.0
    balancer.endpoints["s0"].in_flight[(1, 0)] = 98.0
    assert not balancer.selector.passes_filters(balancer.endpoints["s0"], balancer.now)
    balancer.endpoints["s0"].in_flight[(1, 0)] = 99.5
    assert balancer.selector.passes_filters(balancer.endpoints["s0"], balancer.now)


def test_failures_raise_the_error_rate_and_cancelled_attempts_do_not() -> None:
    for result in (
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.TIMEOUT,
        AttemptResult.NO_CONNECTION,
        AttemptResult.RESET,
    ):
        balancer = make_balancer(*make_entries(1))
        balancer.outliers.record_result(
            balancer.endpoints["s0"], result, None, balancer.now, float(result == AttemptResult.TIMEOUT)
        )
        assert balancer.endpoints["s0"].error_rate == pytest.approx(outlier_detection.ERROR_STEP)
    for result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT, AttemptResult.SERVED):
        balancer = make_balancer(*make_entries(1))
        balancer.outliers.record_result(balancer.endpoints["s0"], result, None, balancer.now)
        assert balancer.endpoints["s0"].error_rate == 0.0


def test_a_restart_resets_the_observations() -> None:
    balancer = make_balancer(EndpointEntry("a", started=1.0))
    endpoint = balancer.endpoints["a"]
    endpoint.answered, endpoint.error_rate, endpoint.error_rate_at = True, 1.0, 100.0
    balancer.handle(101.0, [EndpointList((EndpointEntry("a", started=100.5),), complete=False)])
    assert balancer.endpoints["a"] is endpoint and not endpoint.answered and endpoint.error_rate == 0.0


def test_the_error_rate_filters_none_if_all_endpoints_fail() -> None:
    balancer = make_balancer(*make_entries(8))
    for n in range(400):
        endpoint = sent_to(balancer, 100.0 + n / 50, n, class_index=2)
        assert endpoint is not None
        end_attempt(balancer, 100.01 + n / 50, n, endpoint, AttemptResult.ERROR)
    assert all(s.error_rate <= balancer.outliers.error_rate_limit(balancer.now) for s in balancer.ready)
    balancer.outliers.mean_error_rate = 0.0  # the same error rates in a healthy fleet
    balancer.now = 108.0
    assert not any(balancer.selector.passes_filters(s, balancer.now) for s in balancer.ready)


def test_an_endpoint_with_a_long_answer_is_not_unresponsive() -> None:
    balancer = make_balancer(*make_entries(1))
    balancer.outliers.response_timeout = 1.0
    endpoint = sent_to(balancer, 100.0, 1)
    assert endpoint is not None
    balancer.handle(100.1, [FirstByte(1, 0, endpoint, 0.1)])
    balancer.now = 110.0
    assert balancer.selector.passes_filters(balancer.endpoints[endpoint], balancer.now)
    assert sent_to(balancer, 110.0, 2) == endpoint
    balancer.now = 112.0
    assert not balancer.selector.passes_filters(
        balancer.endpoints[endpoint], balancer.now
    )  # the second request gets no first byte
    end_attempt(balancer, 112.0, 1, endpoint)
    end_attempt(balancer, 112.0, 2, endpoint)
    assert not balancer.endpoints[endpoint].in_flight and not balancer.endpoints[endpoint].responding


def test_one_failing_endpoint_does_not_raise_its_own_error_rate_limit() -> None:
    balancer = make_balancer(*make_entries(10))
    for _ in range(200):  # almost all attempts go to it, as if all others were full
        balancer.outliers.record_result(balancer.endpoints["s0"], AttemptResult.ERROR, None, balancer.now)
    assert balancer.outliers.mean_error_rate > 0.8
    assert not balancer.selector.passes_filters(balancer.endpoints["s0"], balancer.now) and balancer.avoids(
        "s0"
    )
    assert balancer.selector.passes_filters(balancer.endpoints["s1"], balancer.now) and not balancer.avoids(
        "s1"
    )


def test_a_lost_half_of_the_fleet_gets_almost_no_requests_after_its_first_failures() -> None:
    balancer = make_balancer(*make_entries(20))
    for endpoint in balancer.ready:
        endpoint.answered = True
    lost = {f"s{i}" for i in range(10)}
    to_lost = [0, 0]
    for n in range(400):
        now, attempt = 100.0 + n / 20, 0
        to = sent_to(balancer, now, n)
        while to in lost:
            to_lost[n >= 100] += 1
            actions = end_attempt(balancer, now, n, to, AttemptResult.NO_CONNECTION, attempt)
            to = next((a.endpoint for a in actions if isinstance(a, Send)), None)
            attempt += 1
        assert to is not None, (
            f"request {n} was not retried at a healthy endpoint"
        )  # the other half is healthy
        end_attempt(balancer, now + 0.02, n, to, attempt=attempt)
    assert to_lost[0] <= 4 * len(lost) and to_lost[1] <= 4 * len(lost)


def test_an_attempt_with_less_time_than_answers_take_raises_no_error_rate() -> None:
    balancer = make_balancer(*make_entries(3))
    balancer.typical_latency[0] = 0.1  # the duration that `end_attempt` reports, also for a timeout
    endpoint = sent_to(balancer, 100.0, 1)
    assert endpoint is not None
    end_attempt(balancer, 100.0, 1, endpoint, AttemptResult.TIMEOUT)
    assert balancer.endpoints[endpoint].error_rate == 0.0
    balancer.typical_latency[0] = 0.01
    endpoint = sent_to(balancer, 101.0, 2)
    assert endpoint is not None
    end_attempt(balancer, 101.0, 2, endpoint, AttemptResult.TIMEOUT)
    assert balancer.endpoints[endpoint].error_rate > 0.0
