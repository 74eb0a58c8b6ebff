"""The lease of one instance, its takeover in a hot restart, and its postponement while a fleet is founded."""

from __future__ import annotations

import random

import pytest

from loadbalancer.daemon.lease_monitor import FOUNDING_WAIT_S, LeaseMonitor
from loadbalancer.fleet.replication.events import MessageReceived
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.messages import (
    FoundingGreeting,
    LeaseGrant,
    LeaseRequest,
    VoterGreetingReply,
)
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

NOW = 100.0
DURATION_S = 2.0


def single_voter_monitor(store: str = "") -> LeaseMonitor:
    """Return the monitor of the only voter, at version 0."""
    replica = PaxosReplica("a", store, 0, ReplicatedState({"a": ""}), random.Random(1))
    return LeaseMonitor(Lease(DURATION_S, serves_when_expired=False), replica, lambda: NOW)


def test_a_majority_of_grants_opens_a_lease_that_starts_at_the_request() -> None:
    lease = single_voter_monitor()

    request = lease.request(NOW - 0.5)
    could_act_before = lease.may_act()
    lease.record_grant(NOW, "a", LeaseGrant(request.number, 0, NOW))

    assert not could_act_before
    assert lease.may_act()
    assert lease.expires_at() == NOW - 0.5 + DURATION_S


def test_only_an_instance_that_votes_grants_a_lease() -> None:
    request = LeaseRequest(7, 3)

    assert single_voter_monitor().grant(NOW, "b", request) is None
    assert single_voter_monitor(store="s").grant(NOW, "b", request) == LeaseGrant(7, 0, NOW)


@pytest.mark.parametrize(
    ("version", "expires_at", "inherited"),
    [(0, NOW + 1, NOW + 1), (1, NOW + 1, 0.0), (0, NOW + DURATION_S + 0.1, 0.0)],
    ids=["version stored", "version not stored", "longer than any lease"],
)
def test_a_lease_is_inherited_only_with_its_version_stored_and_a_valid_end(
    version: int, expires_at: float, inherited: float
) -> None:
    lease = single_voter_monitor()

    lease.inherit(version, expires_at)

    assert lease.expires_at() == inherited


def founding_monitor(is_voter_missing: bool) -> tuple[LeaseMonitor, Lease]:
    """Return the monitor of a voter with a new store, and its lease.

    Args:
        is_voter_missing: Whether the other voter has not answered the greeting.
    """
    voters = {"a": "", "b": ""}
    replica = PaxosReplica("a", "s", 1, ReplicatedState(voters), random.Random(1))
    replica.restore(None, {}, {}, is_new_store=True)
    lease = Lease(DURATION_S, serves_when_expired=False)
    if not is_voter_missing:
        replica.handle(NOW, MessageReceived("b", FoundingGreeting("t", 1)))
        replica.handle(NOW, MessageReceived("b", VoterGreetingReply("s", 1, True, "")))
    return LeaseMonitor(lease, replica, lambda: NOW), lease


# Guards against instances that all serve before every voter has joined the founding: a partition would then leave no
# majority.
def test_a_founder_requests_no_lease_until_all_voters_have_answered() -> None:
    monitor, lease = founding_monitor(is_voter_missing=True)

    assert monitor.postpone_while_founding(NOW)
    assert lease.next_timer > NOW

    monitor, _ = founding_monitor(is_voter_missing=False)
    assert not monitor.postpone_while_founding(NOW)


# Guards against a founder that never serves because another voter has died during the founding.
def test_a_founder_requests_a_lease_after_the_founding_wait_at_the_latest() -> None:
    monitor, _ = founding_monitor(is_voter_missing=True)

    assert monitor.postpone_while_founding(NOW)
    assert not monitor.postpone_while_founding(NOW + FOUNDING_WAIT_S)
