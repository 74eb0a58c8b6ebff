"""The lease under clock drift."""

from __future__ import annotations

from loadbalancer.fleet.replication.lease import Lease


def test_instance_whose_clock_drifts_must_not_act() -> None:
    lease = Lease(10.0, False)
    for second in range(0, 60):
        number = lease.request(float(second))
        lease.granted(float(second), number, "v", 0, second * 1.2, 1, 0)
    assert lease.clock_drift and not lease.may_act(60.0)
    assert not Lease(10.0, False).may_act(0.0) and Lease(10.0, True).may_act(0.0)
