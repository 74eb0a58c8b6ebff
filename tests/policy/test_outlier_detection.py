"""What is learnt of endpoints from the ends of attempts, and which are ejected."""

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


def test_an_endpoint_far_slower_than_typical_looks_failing_and_a_slow_fleet_does_not() -> None:
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
        bad = n % 3 == 0
        balancer.outliers.record_result(
            endpoint,
            AttemptResult.TIMEOUT if bad else AttemptResult.SERVED,
            None,
            balancer.now,
            float(bad),
            2 if bad else 0,
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


def test_failures_count_and_own_cancels_do_not() -> None:
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


def test_a_restart_forgets_the_old_process() -> None:
    balancer = make_balancer(EndpointEntry("a", started=1.0))
    a = balancer.endpoints["a"]
    a.answered, a.error_rate, a.error_rate_at = True, 1.0, 100.0
    balancer.handle(101.0, [EndpointList((EndpointEntry("a", started=100.5),), complete=False)])
    assert balancer.endpoints["a"] is a and not a.answered and a.error_rate == 0.0


def test_where_all_fail_the_error_rate_filters_none() -> None:
    balancer = make_balancer(*make_entries(8))
    for n in range(400):
        endpoint = sent_to(balancer, 100.0 + n / 50, n, class_index=2)
        assert endpoint is not None
        end_attempt(balancer, 100.01 + n / 50, n, endpoint, AttemptResult.ERROR)
    assert all(s.error_rate <= balancer.outliers.error_rate_limit(balancer.now) for s in balancer.ready)
    balancer.outliers.mean_error_rate = 0.0  # the same figures in a healthy fleet
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
    )  # the second request is met with silence
    end_attempt(balancer, 112.0, 1, endpoint)
    end_attempt(balancer, 112.0, 2, endpoint)
    assert not balancer.endpoints[endpoint].in_flight and not balancer.endpoints[endpoint].responding


def test_one_failing_endpoint_does_not_raise_its_own_error_rate_limit() -> None:
    balancer = make_balancer(*make_entries(10))
    for _ in range(200):  # nearly all attempts are its own, as where all others are full
        balancer.outliers.record_result(balancer.endpoints["s0"], AttemptResult.ERROR, None, balancer.now)
    assert balancer.outliers.mean_error_rate > 0.8
    assert not balancer.selector.passes_filters(balancer.endpoints["s0"], balancer.now) and balancer.avoids(
        "s0"
    )
    assert balancer.selector.passes_filters(balancer.endpoints["s1"], balancer.now) and not balancer.avoids(
        "s1"
    )


def test_a_lost_half_of_the_fleet_gets_next_to_nothing_after_its_first_failures() -> None:
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
        assert to is not None, f"request {n} given up"  # the other half is sound
        end_attempt(balancer, now + 0.02, n, to, attempt=attempt)
    assert to_lost[0] <= 4 * len(lost) and to_lost[1] <= 4 * len(lost)


def test_an_attempt_with_less_time_than_answers_take_raises_no_error_rate() -> None:
    balancer = make_balancer(*make_entries(3))
    balancer.typical_latency[0] = (
        0.1  # what `end_attempt` says that it took, also of an attempt that ran out of time
    )
    endpoint = sent_to(balancer, 100.0, 1)
    assert endpoint is not None
    end_attempt(balancer, 100.0, 1, endpoint, AttemptResult.TIMEOUT)
    assert balancer.endpoints[endpoint].error_rate == 0.0
    balancer.typical_latency[0] = 0.01
    endpoint = sent_to(balancer, 101.0, 2)
    assert endpoint is not None
    end_attempt(balancer, 101.0, 2, endpoint, AttemptResult.TIMEOUT)
    assert balancer.endpoints[endpoint].error_rate > 0.0
