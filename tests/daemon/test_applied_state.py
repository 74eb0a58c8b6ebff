"""The application of the replicated state to the pools of one daemon."""

from __future__ import annotations

from override_targets import RecordingOverrides

from loadbalancer.daemon.applied_state import EXPIRY_RETRY_INTERVAL_S, AppliedState
from loadbalancer.daemon.command_factory import CommandContent
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.fleet.replication.actions import CommandApplied
from loadbalancer.fleet.replication.commands import Command, OverrideBody, write_body
from loadbalancer.fleet.replication.epochs import FROM_SNAPSHOT
from loadbalancer.fleet.replication.replicated_state import ReplicatedState

NOW = 100.0
DRAIN = AdminOverride("drain")


def apply_drain(duration_s: float) -> tuple[AppliedState, RecordingOverrides]:
    """Return an applied state at version 1, in which endpoint m1 of pool p is drained."""
    state = ReplicatedState({})
    overrides = RecordingOverrides()
    applied = AppliedState(state, overrides, lambda: NOW)
    body = OverrideBody("p", {"m1": DRAIN}, duration_s)
    command = Command("a-1", "mark", write_body(body), "operator")
    touched = tuple(state.apply(command))
    applied.apply_command(CommandApplied(state.version, command, touched))
    return applied, overrides


def test_a_command_is_applied_and_recorded_in_the_history() -> None:
    applied, overrides = apply_drain(0.0)

    assert overrides.overrides == {"p": {"m1": DRAIN}}
    assert [epoch.version for epoch in applied.history] == [0, 1]
    assert applied.history[-1].by == "operator"


def test_an_override_without_a_duration_does_not_expire() -> None:
    applied, _ = apply_drain(0.0)

    assert list(applied.expire(NOW + 1e9)) == []


def test_the_removal_of_an_expired_override_is_proposed_again_after_the_retry_interval() -> None:
    applied, _ = apply_drain(5.0)
    removal = CommandContent("mark", OverrideBody("p", {"m1": None}, 0.0, 1))

    assert list(applied.expire(NOW + 4.9)) == []
    assert list(applied.expire(NOW + 5.0)) == [removal]
    assert list(applied.expire(NOW + 5.1)) == []
    assert list(applied.expire(NOW + 5.0 + EXPIRY_RETRY_INTERVAL_S)) == [removal]


def test_a_snapshot_removes_overrides_and_migrations_that_it_does_not_contain() -> None:
    state = ReplicatedState({})
    overrides = RecordingOverrides()
    overrides.set_override("p", "m1", DRAIN)
    overrides.set_migration("p", None)
    state.frozen.add("q")
    applied = AppliedState(state, overrides, lambda: NOW)

    applied.apply_snapshot()

    assert overrides.overrides == {"p": {}}
    assert overrides.migrations == {"p": None}
    assert overrides.frozen == {"q": True}
    assert applied.history[-1].what == FROM_SNAPSHOT
