"""What the policy learns from the end of an attempt in which this process itself was held up: nothing of that time."""

from __future__ import annotations

import pytest
from policy_scene import KEYED, SAFE, UNSAFE, make_balancer, make_entries, sent_to

from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.settings import PolicyLimits

#: Sums of both have no rounding.
ORDINARY_S = 0.25
LAG_S = 1.0
CLASSES = (SAFE, KEYED, UNSAFE)


def learn(result: AttemptResult, elapsed: float, lag: float, is_answered: bool) -> Balancer:
    """A balancer that has had a hundred ordinary answers, and then attempts that ended so."""
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


def learnt(balancer: Balancer) -> dict[str, object]:
    """All that is learnt from durations."""
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


# Guards against a proxy that was held up and takes its endpoints for slow: each part learns the endpoint's time alone.
@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("result", [AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.CANCELLED])
def test_a_hold_up_teaches_nothing(result: AttemptResult, is_answered: bool) -> None:
    expected = learnt(learn(result, ORDINARY_S, 0.0, is_answered))
    assert learnt(learn(result, ORDINARY_S + LAG_S, LAG_S, is_answered)) == expected


# Guards against a test above that compares what never changes.
def test_the_same_time_without_a_hold_up_teaches_much() -> None:
    ordinary = learnt(learn(AttemptResult.SERVED, ORDINARY_S, 0.0, True))
    slow = learnt(learn(AttemptResult.SERVED, ORDINARY_S + LAG_S, 0.0, True))
    unchanged = {name for name in ordinary if ordinary[name] == slow[name]}
    assert unchanged <= {"consecutive failures"}
