"""The replica under random faults, injected defects that the same checks must detect, and single rules."""

from __future__ import annotations

import random
from typing import Any

import pytest
from replica_model import Invariants, override_command, random_faults, started_model

from emulator.fleetstate import Instance
from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.events import CommandsReceived
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.proposer import Proposer
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.voter_registration import VoterRegistration


@pytest.mark.parametrize("seed", range(40))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    random_faults(seed)


def test_random_schedules_decide_and_reject_commands() -> None:
    runs = [random_faults(seed) for seed in range(100, 110)]

    assert sum(len(run.decided) for run in runs) > 60
    assert sum(len(run.refused) for run in runs) > 5


def run_store_loss_between_majorities() -> None:
    """Three of five voters decide a command; one of them loses its store, and runs with the two that do not know it."""
    model = started_model(5, 3)
    invariants = Invariants(model)
    model.run(2)
    model.partition(["i0", "i1", "i2"], ["i3", "i4"])
    model.all["i0"].propose(override_command(1))
    model.run(1)
    assert model.all["i0"].ended["c1"].version == 1
    invariants.check()
    for instance in model.all.values():
        instance.kill()
    model.heal()
    model.all["i2"].lose_disk()
    for name in ("i2", "i3", "i4"):
        model.all[name].start()
    model.run(2)
    model.all["i3"].propose(override_command(2))
    model.run(6)
    invariants.check()
    for name in ("i0", "i1"):
        model.all[name].start()
    assert model.until(model.states_agree, 10.0) is not None
    invariants.check()
    invariants.check_end()


def run_crash_between_vote_and_decision() -> None:
    """One of three voters accepts a command and misses the decision; then it and the proposer crash."""
    model = started_model(3, 4)
    invariants = Invariants(model)
    model.run(2)
    model.partition(["i0", "i1"], ["i2"])
    send = model.send

    def drop_decisions(sender: str, to: str, message: Any) -> None:
        if not isinstance(message, (messages.Decided, messages.VersionAnnouncement)):
            send(sender, to, message)

    model.send = drop_decisions  # type: ignore[method-assign]
    model.all["i0"].propose(override_command(1))
    assert model.until(lambda: "c1" in model.all["i0"].ended, 2.0) is not None
    invariants.check()
    model.all["i0"].kill()
    model.all["i1"].kill()
    model.send = send  # type: ignore[method-assign]
    model.heal()
    model.all["i1"].start()
    model.run(1)
    model.all["i1"].propose(override_command(2))
    model.run(5)
    invariants.check()
    model.all["i0"].start()
    assert model.until(model.states_agree, 10.0) is not None
    invariants.check()
    invariants.check_end()


def run_random_faults() -> None:
    for seed in range(40):
        random_faults(seed)


DEFECTS: dict[str, tuple[Any, Any, str, Any]] = {
    "the lease is not checked": (run_random_faults, Lease, "may_act", lambda self, now: True),
    "one voter is a majority": (run_random_faults, ReplicatedState, "majority", property(lambda self: 1)),
    "a voter that lost its store votes": (
        run_store_loss_between_majorities,
        VoterRegistration,
        "on_greeting_reply",
        lambda self, sender, message: self.confirmed_voters.add(sender),
    ),
    "replies are sent before the write to disk": (
        run_crash_between_vote_and_decision,
        Instance,
        "persist",
        lambda self, action: [self.send(pending.to, pending.message) for pending in action.then_send],
    ),
    "an uncertain outcome is reported as a rejection": (
        run_random_faults,
        Proposer,
        "_record_possibly_accepted",
        lambda self, command, slot: None,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_injected_defect_is_detected_by_the_same_schedules(
    defect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_schedule, target, name, broken = DEFECTS[defect]
    run_schedule()
    monkeypatch.setattr(target, name, broken)
    with pytest.raises(AssertionError):
        run_schedule()


def test_command_of_a_later_build_blocks_the_replica_at_the_version_before() -> None:
    state = ReplicatedState({"a": ""})
    versions = PaxosReplica("b", "", 0, state, random.Random(1))
    later = Command("x", "later", b"", "test")
    actions = versions.handle(0.0, CommandsReceived(1, (override_command(1), later, override_command(3))))
    assert state.version == 1 and versions.is_behind and "does not know" in versions.blocked_reason
    assert [type(action).__name__ for action in actions] == ["CommandApplied"]


def test_command_with_expected_version_is_rejected_at_a_later_version() -> None:
    model = started_model(3, 1)
    model.run(1)
    model.all["i0"].propose(override_command(1))
    model.run(1)
    model.all["i1"].propose(override_command(2), if_version=0)
    model.all["i2"].propose(override_command(3), if_version=1)
    model.run(1)
    assert "not 0; it does not stand" in model.all["i1"].ended["c2"].reason
    assert model.all["i2"].ended["c3"].version == 2


def test_no_command_is_decided_after_a_majority_of_stores_was_lost() -> None:
    model = started_model(3, 1)
    model.run(1)
    model.all["i0"].propose(override_command(1))
    model.run(1)
    for name in ("i1", "i2"):
        model.all[name].lose_disk()
        model.all[name].start()
    model.run(3)
    model.all["i0"].propose(override_command(2))
    model.run(8)
    assert not model.all["i0"].ended["c2"].version
    assert not model.all["i1"].replica.can_vote and model.all["i1"].replica.vote_suspension
