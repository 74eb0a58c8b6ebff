"""Tenants' quotas."""

from __future__ import annotations

from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
)

from loadbalancer.policy.settings import (
    Tenant,
)


def test_rejected_requests_do_not_use_up_a_quota() -> None:
    balancer = make_balancer(*make_entries(4), tenants=(Tenant("a", 1.0, 100.0),), over_quota_weight=0.1)
    balancer.shed_level = 3.0
    for n in range(200):
        send_request(balancer, 105.0, n)
    assert not balancer.load_shedding.quota.is_exceeded(0, balancer.now)
    balancer.shed_level = 0.0
    for n in range(200, 320):
        send_request(balancer, 105.0, n)
    assert balancer.load_shedding.quota.is_exceeded(0, balancer.now)
