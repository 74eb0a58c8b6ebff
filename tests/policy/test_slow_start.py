"""Tests of the ramp and the pace of endpoints that warm up."""

from __future__ import annotations

import pytest
from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy import slow_start
from loadbalancer.policy.events import (
    AttemptResult,
    Cordon,
    EndpointEntry,
    EndpointList,
)
from loadbalancer.policy.settings import (
    SafetyRules,
)


def test_the_ramp_grows_with_age() -> None:
    balancer = make_balancer(*make_entries(19), EndpointEntry("new", started=90.0))
    new = balancer.endpoints["new"]
    passed = []
    for balancer.now in (110.0, 150.0, 185.0):
        passed.append(sum(balancer.selector.passes_filters(new, balancer.now) for _ in range(1000)))
    assert passed[0] < passed[1] < passed[2] == 1000
    assert 150 < passed[0] < 300  # 20 of 90 s


def test_no_ramp_applies_if_most_endpoints_have_just_started() -> None:
    balancer = make_balancer(*make_entries(3), *[EndpointEntry(f"n{i}", started=95.0) for i in range(5)])
    balancer.now = 95.0 + balancer.settings.rules.slow_start_duration
    assert all(balancer.selector.passes_filters(s, balancer.now) for s in balancer.ready)


def test_an_endpoint_that_warms_up_is_paced() -> None:
    rules = SafetyRules(slow_start_capacity=0.3, slow_start_duration=10.0, overload_factor=2.5)
    balancer = make_balancer(*make_entries(9), rules=rules)
    for n in range(1000):  # 100 requests a second for ten seconds
        endpoint = sent_to(balancer, 100.0 + n / 100, n)
        assert endpoint is not None
        end_attempt(balancer, 100.005 + n / 100, n, endpoint)
    balancer.handle(110.0, [EndpointList((EndpointEntry("new", started=110.0),), complete=False)])
    sent_to_new = 0
    for n in range(1000, 1300):
        endpoint = sent_to(balancer, 110.0 + (n - 1000) / 100, n)
        assert endpoint is not None
        sent_to_new += endpoint == "new"
        end_attempt(balancer, 110.005 + (n - 1000) / 100, n, endpoint)
    assert 1 <= sent_to_new <= 30 * 0.51  # a tenth of the traffic, at most half of it while it warms up


def test_a_suspended_ramp_skips_no_endpoint() -> None:
    balancer = make_balancer(
        *make_entries(19), EndpointEntry("new", started=80.0), rules=SafetyRules(slow_start_duration=8.0)
    )
    assert (
        sum(balancer.selector.passes_filters(balancer.endpoints["new"], balancer.now) for _ in range(400))
        < 200
    )  # 20 of 90 s
    balancer.slow_start.suspend_ramp(100.0)
    assert all(balancer.selector.passes_filters(balancer.endpoints["new"], balancer.now) for _ in range(400))
    balancer.now = 100.0 + slow_start.RAMP_SUSPENDED_S
    assert (
        sum(balancer.selector.passes_filters(balancer.endpoints["new"], balancer.now) for _ in range(400))
        < 200
    )


@pytest.mark.parametrize(("util", "correction"), [(None, 1.0), (0.3, 1.4), (0.7, 0.9 / 0.7), (1.0, 0.9)])
def test_the_reported_utilization_of_a_warming_endpoint_corrects_its_pace(
    util: float | None, correction: float
) -> None:
    balancer = make_balancer(
        *make_entries(9), EndpointEntry("new", started=98.0), rules=SafetyRules(slow_start_duration=8.0)
    )
    new = balancer.endpoints["new"]
    balancer.send_rate.count, balancer.send_rate.updated_at = 500.0, 100.0
    if util is not None:
        balancer.outliers.record_result(new, AttemptResult.SERVED, {"utilization": util}, balancer.now)
    gaps = []
    for _ in range(2000):
        balancer.slow_start.record_send(new, balancer.now)
        gaps.append(new.pacing_debt / balancer.slow_start.pace(new, 2.0, balancer.now))
    warmth = (2 - slow_start.WARMTH_LAG * balancer.settings.rules.overload_duration) / 8
    share = (
        balancer.settings.rules.slow_start_capacity
        + (1 - balancer.settings.rules.slow_start_capacity) * warmth
    )
    uncorrected_gap = 1 / (
        balancer.send_rate.per_second(balancer.now) / 10 * share * slow_start.MAX_PACE_MARGIN
    )
    assert sum(gaps) / len(gaps) == pytest.approx(uncorrected_gap / correction, rel=0.05)


def test_a_report_from_before_its_start_does_not_correct_the_pace() -> None:
    balancer = make_balancer(EndpointEntry("s0"), rules=SafetyRules(slow_start_duration=8.0))
    balancer.outliers.record_result(
        balancer.endpoints["s0"], AttemptResult.SERVED, {"utilization": 0.2}, balancer.now
    )
    balancer.handle(100.5, [Cordon("s0", True)])
    balancer.handle(101.0, [Cordon("s0", False)])
    assert balancer.slow_start.utilization_correction(balancer.endpoints["s0"]) == 1.0
