"""The lease of one instance, and its inheritance in a hot restart."""

from __future__ import annotations

import random

import pytest

from loadbalancer.daemon.lease_monitor import LeaseMonitor
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.messages import LeaseGrant, LeaseRequest
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

NOW = 100.0
DURATION_S = 2.0


def monitor(store: str = "") -> LeaseMonitor:
    """Of the only voter, at version 0."""
    replica = PaxosReplica("a", store, 0, ReplicatedState({"a": ""}), random.Random(1))
    return LeaseMonitor(Lease(DURATION_S, serves_when_expired=False), replica, lambda: NOW)


def test_a_majority_of_grants_lets_it_act_from_the_time_of_the_request() -> None:
    lease = monitor()

    request = lease.request(NOW - 0.5)
    before = lease.may_act()
    lease.granted(NOW, "a", LeaseGrant(request.number, 0, NOW))

    assert not before
    assert lease.may_act()
    assert lease.expires_at() == NOW - 0.5 + DURATION_S


def test_only_one_that_votes_grants() -> None:
    request = LeaseRequest(7, 3)

    assert monitor().grant(NOW, "b", request) is None
    assert monitor(store="s").grant(NOW, "b", request) == LeaseGrant(7, 0, NOW)


@pytest.mark.parametrize(
    ("version", "expires_at", "inherited"),
    [(0, NOW + 1, NOW + 1), (1, NOW + 1, 0.0), (0, NOW + DURATION_S + 0.1, 0.0)],
    ids=["as kept", "on a version that the store does not hold", "longer than any lease"],
)
def test_the_lease_of_the_process_before_is_inherited(
    version: int, expires_at: float, inherited: float
) -> None:
    lease = monitor()

    lease.inherit(version, expires_at)

    assert lease.expires_at() == inherited
