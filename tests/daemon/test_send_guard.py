"""The check of the lease and the overrides before each send."""

from __future__ import annotations

from collections import deque

import pytest
from override_targets import RecordingOverrides

from loadbalancer.daemon.send_guard import SendGuard
from loadbalancer.discovery.overrides import AdminOverride, OverrideState
from loadbalancer.fleet.replication.epochs import Epoch
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.policy.events import AttemptResult

NOW = 100.0


def make_guard(overrides: RecordingOverrides, *, has_lease: bool = True) -> tuple[SendGuard, Epoch]:
    lease = Lease(2.0, serves_when_expired=False)
    if has_lease:
        lease.expires_at = NOW + 1
    epoch = Epoch(3, "", "", 0.0)
    return SendGuard(lease, overrides, deque([epoch]), lambda: NOW), epoch


def test_a_send_is_counted_for_the_version_in_force() -> None:
    guard, epoch = make_guard(RecordingOverrides())

    result = guard.for_pool("p", sticky_while_draining=False)("m1")

    assert result is None
    assert (epoch.sends, epoch.last_send_at) == (1, NOW)


def test_nothing_is_sent_without_a_lease() -> None:
    guard, epoch = make_guard(RecordingOverrides(), has_lease=False)

    result = guard.for_pool("p", sticky_while_draining=False)("m1")

    assert result is AttemptResult.NOT_SENT
    assert epoch.sends == 0


@pytest.mark.parametrize(
    ("state", "sticky", "result"),
    [
        ("cordon", False, AttemptResult.NO_CONNECTION),
        ("cordon", True, AttemptResult.NO_CONNECTION),
        ("drain", False, AttemptResult.NO_CONNECTION),
        ("drain", True, None),
    ],
)
def test_an_override_applied_after_the_check_was_created_forbids_the_send(
    state: OverrideState, sticky: bool, result: AttemptResult | None
) -> None:
    overrides = RecordingOverrides()
    guard, _ = make_guard(overrides)
    check = guard.for_pool("p", sticky_while_draining=sticky)

    overrides.set_override("p", "m1", AdminOverride(state))

    assert check("m1") is result
    assert check("m2") is None
