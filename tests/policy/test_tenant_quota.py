"""Tests of tenants' quotas."""

from __future__ import annotations

from policy_scene import (
    SAFE,
    make_balancer,
    make_entries,
    send_request,
)

from loadbalancer.policy.settings import PolicySettings, Tenant
from loadbalancer.policy.tenant_quota import TenantQuota


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


def test_a_quota_is_divided_by_the_proxies_and_refills() -> None:
    quota = TenantQuota(PolicySettings((SAFE,), instance_count=10, tenants=(Tenant("a", 1.0, 20.0),)))
    admitted = 0
    while not quota.is_exceeded(0, 100.0):
        quota.record_admitted(0)
        admitted += 1
    assert admitted == 3  # its share of two a second, and one request
    assert quota.is_exceeded(0, 100.4)
    assert not quota.is_exceeded(0, 100.5)
