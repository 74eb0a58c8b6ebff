"""The lease and clocks that drift."""

from __future__ import annotations

from loadbalancer.fleet.replication.lease import Lease


def test_a_clock_that_runs_away_shuts_its_instance_out() -> None:
    fence = Lease(10.0, False)
    for second in range(0, 60):
        number = fence.request(float(second))
        fence.granted(float(second), number, "v", 0, second * 1.2, 1, 0)
    assert fence.clock_drift and not fence.may_act(60.0)
    assert not Lease(10.0, False).may_act(0.0) and Lease(10.0, True).may_act(0.0)
