"""Tests of when idle connections are closed."""

from __future__ import annotations

from policy_scene import (
    end_attempt,
    make_balancer,
    make_entries,
    sent_to,
)

from loadbalancer.policy.actions import (
    CloseIdleConnections,
)


def test_a_proxy_that_sends_little_keeps_no_idle_connection() -> None:
    for count, proxies, closes in ((100, 30, True), (10, 30, True), (2, 30, False), (10, 2, False)):
        balancer = make_balancer(*make_entries(count), instance_count=proxies)
        closed = 0
        for n in range(100):  # ten requests a second
            endpoint = sent_to(balancer, 100.0 + n / 10, n)
            assert endpoint is not None
            closed += CloseIdleConnections(endpoint) in end_attempt(balancer, 100.05 + n / 10, n, endpoint)
        assert (closed > 50) == closes
