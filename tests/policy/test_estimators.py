"""Estimators of the policy."""

from __future__ import annotations

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
)

from loadbalancer.policy.estimators import linear_decay


@pytest.mark.parametrize(("age", "share"), [(0.0, 0.8), (15.0, 0.4), (30.0, 0.0), (45.0, 0.0)])
def test_a_value_decays_linearly_to_zero(age: float, share: float) -> None:
    balancer = make_balancer(*make_entries(1))
    balancer.now = 100.0 + age
    assert linear_decay(0.8, 100.0, balancer.now) == pytest.approx(share)
