"""New stores: when a fleet is founded, and how a store that replaces a lost one is admitted to vote."""

from __future__ import annotations

import random

import pytest
from lost_store_model import random_losses
from replica_model import Invariants, override_command

from emulator.fleetstate import StateModel
from loadbalancer.fleet.replication.actions import AdmitStore
from loadbalancer.fleet.replication.events import MessageReceived
from loadbalancer.fleet.replication.messages import FoundingGreeting, VoterGreetingReply
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState


def new_fleet(voters: int, seed: int = 1) -> StateModel:
    """Return a model in which all stores are new."""
    return StateModel(voters, seed, founded=False)


def decide(model: StateModel, name: str, number: int, seconds: float = 2.0) -> int:
    """Propose a command; return the version that it produces, or 0 if it is not decided in time."""
    model.all[name].propose(override_command(number))
    model.run(seconds)
    ended = model.all[name].ended.get(f"c{number}")
    return ended.version if ended is not None else 0


# Guards against a fleet that is founded without all voters: a store that is lost later could then decide a slot again.
def test_fleet_is_founded_only_once_all_voters_have_greeted_each_other() -> None:
    model = new_fleet(3)
    model.all["i1"].start()
    model.all["i2"].start()
    model.run(3)
    assert not any(model.all[name].replica.can_vote for name in ("i1", "i2"))
    assert model.all["i1"].replica.missing_voters == ["i0"]
    assert decide(model, "i1", 1) == 0

    model.all["i0"].start()
    model.run(1)
    assert all(instance.replica.can_vote for instance in model.all.values())
    assert decide(model, "i0", 2) > 0


# Guards against two founded sets of stores for one list of voters.
def test_founder_that_loses_its_store_is_registered_and_not_founded_again() -> None:
    model = new_fleet(3)
    for instance in model.all.values():
        instance.start()
    model.run(1)
    model.all["i2"].lose_disk()
    model.all["i0"].kill()
    model.all["i1"].kill()
    model.all["i2"].start()
    model.run(1)
    model.all["i0"].start()
    model.run(3)
    assert not model.all["i2"].replica.can_vote
    assert decide(model, "i0", 1) == 0

    model.all["i1"].start()
    assert model.until(lambda: model.all["i2"].replica.can_vote, 15.0) is not None
    assert model.all["i2"].replica.state.voters["i2"] == model.all["i2"].disk.store


# Guards against a founding that never completes if voters die or messages are lost meanwhile.
@pytest.mark.parametrize("seed", range(20))
def test_founding_completes_after_restarts_and_message_loss(seed: int) -> None:
    source = random.Random(seed)
    model = new_fleet(5, seed)
    model.loss, model.fsync = 0.2, source.choice((0.002, 0.2))
    for _ in range(12):
        instance = source.choice(list(model.all.values()))
        instance.kill() if instance.up else instance.start()
        model.run(source.choice((0.01, 0.1, 0.5)))
    for instance in model.all.values():
        if not instance.up:
            instance.start()
    assert (
        model.until(lambda: all(instance.replica.can_vote for instance in model.all.values()), 10.0)
        is not None
    )
    assert decide(model, "i0", 1, seconds=5.0) == 1


# Guards against a store that replaces a lost one and votes without a command that registers it.
@pytest.mark.parametrize("lost", [("i4",), ("i3", "i4")])
def test_new_stores_of_a_minority_are_registered(lost: tuple[str, ...]) -> None:
    model = new_fleet(5)
    invariants = Invariants(model)
    for instance in model.all.values():
        instance.start()
    model.run(1)
    assert decide(model, "i4", 1) == 1
    for name in lost:
        model.all[name].lose_disk()
        model.all[name].start()
    assert model.until(lambda: all(model.all[name].replica.can_vote for name in lost), 15.0) is not None
    voters = model.all["i0"].replica.state.voters
    assert {name: voters[name] for name in lost} == {name: model.all[name].disk.store for name in lost}
    assert decide(model, lost[0], 2) > 1
    invariants.check()


# Guards against a reply that is sent before the observed store is on the replying voter's disk.
def test_voter_confirms_a_store_only_once_it_is_on_its_disk() -> None:
    model = new_fleet(3)
    model.all["i0"].start()
    model.all["i1"].start()
    model.all["i1"].do_later = lambda *_: None  # type: ignore[method-assign]  # its disk never completes a write
    model.run(1)
    assert "i1" not in model.all["i0"].replica.registration._founding_replies


# Guards against two commands for one version, and leases that outlast a decision, after the loss of any minority of
# stores.
@pytest.mark.parametrize("seed", range(250))
def test_order_holds_under_random_faults_with_a_minority_of_stores_lost(seed: int) -> None:
    random_losses(seed)


# Guards against a store that counts as registered while its opening is not on disk: its identity is then empty, like
# that of a voter without a registered store.
def test_store_whose_opening_is_not_on_disk_is_not_admitted() -> None:
    state = ReplicatedState(dict.fromkeys(("a", "b", "c"), ""))
    replica = PaxosReplica("a", "", 1, state, random.Random(1))
    replica.restore(None, {}, {}, is_new_store=True)

    actions = replica.handle(0.0, MessageReceived("b", FoundingGreeting("sb", 1)))
    replica.store_id = "sa"
    actions += replica.handle(0.1, MessageReceived("b", FoundingGreeting("sb", 1)))
    actions += replica.handle(0.1, MessageReceived("b", VoterGreetingReply("sa", 1, True)))

    assert not any(isinstance(action, AdmitStore) for action in actions)
    assert replica.is_new_store
    assert not replica.can_vote
