"""Tests of the estimators of the policy."""

from __future__ import annotations

import random

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
)

from loadbalancer.policy.estimators import SendRate, StreamingQuantile, linear_decay


@pytest.mark.parametrize(("age", "share"), [(0.0, 0.8), (15.0, 0.4), (30.0, 0.0), (45.0, 0.0)])
def test_a_value_decays_linearly_to_zero(age: float, share: float) -> None:
    balancer = make_balancer(*make_entries(1))
    balancer.now = 100.0 + age
    assert linear_decay(0.8, 100.0, balancer.now) == pytest.approx(share)


def test_streaming_quantile_converges_to_its_share() -> None:
    quantile = StreamingQuantile(0.9)
    rng = random.Random(1)
    for _ in range(5000):
        quantile.record(rng.random() + 0.001)
    assert quantile.is_ready
    assert 0.75 < quantile.value < 1.0


def test_send_rate_of_a_new_proxy_is_averaged_over_its_lifetime() -> None:
    rate = SendRate()
    rate.start(100.0)
    for number in range(20):
        rate.record(100.0 + number / 10)
    assert rate.per_second(102.0) == pytest.approx(10.0, rel=0.05)
