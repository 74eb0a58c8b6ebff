"""The replica under random faults, defects that the same checks must find, and rules one by one."""

from __future__ import annotations

import random
from typing import Any

import pytest
from replica_model import Invariants, override_command, random_faults, started_model

from emulator.fleetstate import Instance
from loadbalancer.fleet.replication import messages as form
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.events import CommandsReceived
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.proposer import Proposer
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.replication.voter_registration import VoterRegistration


@pytest.mark.parametrize("seed", range(40))
def test_whatever_happens_there_is_one_order_and_nobody_acts_on_an_old_one_for_long(seed: int) -> None:
    random_faults(seed)


def test_the_schedules_do_something() -> None:
    found = [random_faults(seed) for seed in range(100, 110)]

    assert sum(len(run.decided) for run in found) > 60
    assert sum(len(run.refused) for run in found) > 5


def a_store_is_lost_between_two_majorities() -> None:
    """Three of five decide; one of them loses its store, and is up with the two that know nothing."""
    model = started_model(5, 3)
    invariants = Invariants(model)
    model.run(2)
    model.part(["i0", "i1", "i2"], ["i3", "i4"])
    model.all["i0"].propose(override_command(1))
    model.run(1)
    assert model.all["i0"].ended["c1"].version == 1
    invariants.check()
    for one in model.all.values():
        one.kill()
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
    assert model.until(model.agree, 10.0) is not None
    invariants.check()
    invariants.check_end()


def a_voter_dies_between_its_vote_and_the_decision() -> None:
    """One of three has voted, and does not hear that it is decided; the one that decided dies, and so does it."""
    model = started_model(3, 4)
    invariants = Invariants(model)
    model.run(2)
    model.part(["i0", "i1"], ["i2"])
    send = model.send

    def all_but_decisions(sender: str, to: str, message: Any) -> None:
        if not isinstance(message, (form.Decided, form.VersionAnnouncement)):
            send(sender, to, message)

    model.send = all_but_decisions  # type: ignore[method-assign]
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
    assert model.until(model.agree, 10.0) is not None
    invariants.check()
    invariants.check_end()


def seeds() -> None:
    for seed in range(40):
        random_faults(seed)


DEFECTS: dict[str, tuple[Any, Any, str, Any]] = {
    "the fence is off": (seeds, Lease, "may_act", lambda self, now: True),
    "one is a majority": (seeds, ReplicatedState, "majority", property(lambda self: 1)),
    "a voter that lost its store votes": (
        a_store_is_lost_between_two_majorities,
        VoterRegistration,
        "on_greeting_reply",
        lambda self, sender, message: self.confirmed_voters.add(sender),
    ),
    "nothing is kept before an answer": (
        a_voter_dies_between_its_vote_and_the_decision,
        Instance,
        "keep",
        lambda self, action: [self.send(say.to, say.message) for say in action.then_send],
    ),
    "a refusal that is not sure": (
        seeds,
        Proposer,
        "_record_possibly_accepted",
        lambda self, command, slot: None,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_defect_is_found_by_the_same_schedules(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    scene, place, name, broken = DEFECTS[defect]
    scene()
    monkeypatch.setattr(place, name, broken)
    with pytest.raises(AssertionError):
        scene()


def test_a_state_of_another_build_is_behind_and_not_broken() -> None:
    said = ReplicatedState({"a": ""})
    versions = PaxosReplica("b", "", 0, said, random.Random(1))
    later = Command("x", "later", b"", "test")
    actions = versions.handle(0.0, CommandsReceived(1, (override_command(1), later, override_command(3))))
    assert said.version == 1 and versions.is_behind and "does not know" in versions.blocked_reason
    assert [type(one).__name__ for one in actions] == ["CommandApplied"]


def test_a_change_only_after_a_version_is_refused_once_the_state_has_moved_on() -> None:
    model = started_model(3, 1)
    model.run(1)
    model.all["i0"].propose(override_command(1))
    model.run(1)
    model.all["i1"].propose(override_command(2), if_version=0)
    model.all["i2"].propose(override_command(3), if_version=1)
    model.run(1)
    assert "not 0; it does not stand" in model.all["i1"].ended["c2"].reason
    assert model.all["i2"].ended["c3"].version == 2


def test_a_majority_of_stores_that_are_lost_takes_no_change_until_an_operator_says_so() -> None:
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
    assert not model.all["i1"].versions.can_vote and model.all["i1"].versions.vote_suspension
