"""Tests that the policy ignores the time of an attempt in which this process itself did not run."""

from __future__ import annotations

import pytest
from policy_scene import KEYED, SAFE, UNSAFE, make_balancer, make_entries, sent_to

from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.settings import PolicyLimits

#: The sum of both is exact in floating point.
ORDINARY_S = 0.25
LAG_S = 1.0
CLASSES = (SAFE, KEYED, UNSAFE)


def balancer_after_outcomes(result: AttemptResult, elapsed: float, lag: float, is_answered: bool) -> Balancer:
    """Return a balancer after a hundred ordinary answers and then 20 attempts with the given end."""
    balancer = make_balancer(*make_entries(1), classes=CLASSES, limits=PolicyLimits(hedge_quantile=0.95))
    now = 100.0
    for number in range(120):
        now += 0.01
        if sent_to(balancer, now, number) is None:
            continue
        is_last = number >= 100
        seconds = elapsed if is_last else ORDINARY_S
        outcome = Outcome(
            number,
            0,
            "s0",
            result if is_last else AttemptResult.SERVED,
            seconds,
            True,
            time_to_first_byte=seconds if is_answered else None,
            lag=lag if is_last else 0.0,
        )
        balancer.handle(now, [outcome])
    return balancer


def read_estimates(balancer: Balancer) -> dict[str, object]:
    """Return every estimate that depends on the duration of attempts."""
    endpoint = balancer.endpoints["s0"]
    return {
        "level of load shedding": balancer.shed_level,
        "concurrency limit": balancer.in_flight_limit,
        "share of late attempts": balancer.concurrency_limit.late_share,
        "quantiles of hedging": [quantile.value for quantile in balancer.hedging._latency_quantiles],
        "typical latency": list(balancer.typical_latency),
        "response timeout": balancer.outliers.response_timeout,
        "time per attempt": endpoint.time_per_attempt,
        "error rate": endpoint.error_rate,
        "error rate by class": endpoint.error_rate_by_class,
        "consecutive failures": endpoint.consecutive_failures,
    }


# Guards against a stalled proxy that takes its endpoints for slow: every estimate must use the endpoint's time only.
@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("result", [AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.CANCELLED])
def test_process_lag_does_not_change_estimates(result: AttemptResult, is_answered: bool) -> None:
    expected = read_estimates(balancer_after_outcomes(result, ORDINARY_S, 0.0, is_answered))
    assert read_estimates(balancer_after_outcomes(result, ORDINARY_S + LAG_S, LAG_S, is_answered)) == expected


# Guards against a vacuous test above: without lag the same durations must change the estimates.
def test_the_same_duration_without_lag_changes_estimates() -> None:
    ordinary = read_estimates(balancer_after_outcomes(AttemptResult.SERVED, ORDINARY_S, 0.0, True))
    slow = read_estimates(balancer_after_outcomes(AttemptResult.SERVED, ORDINARY_S + LAG_S, 0.0, True))
    unchanged = {name for name in ordinary if ordinary[name] == slow[name]}
    assert unchanged <= {"consecutive failures"}
