"""The reported times of the last send under one version and of the start of the next version."""

from __future__ import annotations

import time

import pytest
from override_targets import RecordingOverrides

from loadbalancer.daemon.applied_state import AppliedState
from loadbalancer.daemon.send_guard import SendGuard
from loadbalancer.fleet.replication.actions import CommandApplied
from loadbalancer.fleet.replication.commands import Command, FreezeBody, write_body
from loadbalancer.fleet.replication.epochs import merge
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

SENT_AT = 100.0
APPLIED_AT = 100.0004
#: Unix time at 0 of the lease's clock; its fraction makes one of the two times round down and the other one up.
CLOCK_ORIGIN = 1.7e9 + 0.0003


# Guards against a report in which rounding or a wall clock step puts a send under the previous version after the start
# of the next one.
@pytest.mark.parametrize("wall_clock", [0.0, CLOCK_ORIGIN + SENT_AT - 0.002, CLOCK_ORIGIN + 7200.0])
def test_the_last_send_under_a_version_is_never_reported_after_the_start_of_the_next(
    wall_clock: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = SENT_AT
    monkeypatch.setattr(time, "time", lambda: wall_clock)
    state = ReplicatedState({})
    applied = AppliedState(state, RecordingOverrides(), lambda: now)
    guard = SendGuard(
        Lease(2.0, serves_when_expired=True), RecordingOverrides(), applied.history, lambda: now
    )
    assert guard.for_pool("p", sticky_while_draining=False)("m1") is None

    now = APPLIED_AT
    command = Command("a-1", "freeze", write_body(FreezeBody("p", True)), "operator")
    touched = state.apply(command)
    applied.apply_command(CommandApplied(1, command, touched))

    epochs = [epoch.row(CLOCK_ORIGIN) for epoch in applied.history]
    (_, row) = merge([{"instance": "i1", "epochs": epochs}], [])["versions"]
    assert row["last_before"]["i1"] <= row["taken_up"]["i1"]
    assert row["taken_up"]["i1"] == round(CLOCK_ORIGIN + APPLIED_AT, 3)
