"""Replicas that restart in the middle of a slot, and messages of their earlier processes."""

from __future__ import annotations

from typing import Any

from replica_model import Invariants, override_command, started_model

from emulator.fleetstate import StateModel
from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.lease import Lease

DURATION_S = 2.0


def first_commands(model: StateModel) -> set[str]:
    """Return the commands that the instances hold for version 1."""
    return {
        instance.replica.command_log[1].id
        for instance in model.all.values()
        if 1 in instance.replica.command_log
    }


class BallotRecorder:
    """Records the commands that each ballot was sent with, and delays messages of one proposer."""

    def __init__(self, model: StateModel) -> None:
        self.model = model
        self.commands: dict[tuple[int, messages.Ballot], set[str]] = {}
        self.delayed: list[tuple[str, str, Any]] = []
        self.delayed_sender = ""
        self._send = model.send
        model.send = self.send  # type: ignore[method-assign]

    def send(self, sender: str, to: str, message: Any) -> None:
        if isinstance(message, messages.Accept):
            self.commands.setdefault((message.slot, message.ballot), set()).add(message.command.id)
            if sender == self.delayed_sender and to != "i1":
                self.delayed.append((sender, to, message))
                return
        self._send(sender, to, message)

    def release(self) -> None:
        """Send the delayed messages now."""
        self.delayed_sender = ""
        for sender, to, message in self.delayed:
            self._send(sender, to, message)

    def check(self) -> None:
        reused = {key: ids for key, ids in self.commands.items() if len(ids) > 1}
        assert not reused, f"one ballot for two commands: {reused}"


# Guards against reporting a version to a caller that the voters then decide for another command.
def test_proposer_without_a_store_does_not_reuse_ballots_after_a_restart() -> None:
    model = StateModel(3, 7)
    model.join(1)
    for instance in model.all.values():
        instance.start()
    model.run(1)
    recorder = BallotRecorder(model)
    proposer = model.all["i3"]
    recorder.delayed_sender = "i3"
    proposer.propose(override_command(1))
    model.run(0.02)
    proposer.kill()
    model.run(0.01)
    proposer.start()
    model.all["i1"].stop()  # it has accepted c1, and sends no replies for a while
    model.run(0.02)
    delayed, recorder.delayed = recorder.delayed, []
    recorder.delayed_sender = ""
    proposer.propose(override_command(2))
    model.until(lambda: "c2" in proposer.ended, 2.0, 0.0005)
    proposer.kill()
    for sender, to, message in delayed:
        recorder.send(sender, to, message)
    model.run(0.1)
    model.all["i1"].resume()
    proposer.start()
    model.run(5)

    recorder.check()
    assert len(first_commands(model)) == 1
    completed = proposer.ended.get("c2")
    if completed is not None and completed.version:
        assert proposer.replica.command_log[completed.version].id == "c2"


# Guards against the same if the voter's own promise was not on its disk yet when it crashed.
def test_voter_with_a_slow_disk_does_not_reuse_ballots_after_a_restart() -> None:
    model = started_model(3, 7)
    model.run(1)
    recorder = BallotRecorder(model)
    proposer = model.all["i0"]
    do_later = proposer.do_later

    def delay_persist(wait: float, call: Any, *arguments: Any) -> None:
        do_later(wait + (1.0 if call == proposer.persist else 0.0), call, *arguments)

    proposer.do_later = delay_persist  # type: ignore[method-assign]
    recorder.delayed_sender = "i0"
    proposer.propose(override_command(1))
    model.run(0.02)
    proposer.kill()
    model.run(0.01)
    proposer.do_later = do_later  # type: ignore[method-assign]
    proposer.start()
    model.all["i1"].stop()
    model.run(0.15)
    recorder.delayed_sender = ""
    proposer.propose(override_command(2))
    model.until(lambda: "c2" in proposer.ended, 2.0, 0.0005)
    model.all["i1"].resume()
    model.run(5)

    recorder.check()
    assert len(first_commands(model)) == 1


# Guards against a fleet that rejects all requests until the next command is proposed.
def test_command_accepted_before_a_restart_is_finished_by_its_acceptor() -> None:
    model = started_model(3, 1)
    model.run(1)
    recorder = BallotRecorder(model)
    recorder.delayed_sender = "i0"
    model.all["i0"].propose(override_command(1))  # reaches i1 alone
    model.run(0.02)
    model.all["i0"].kill()
    model.all["i1"].kill()
    model.all["i1"].start()
    model.run(5)

    assert model.all["i1"].replica.state.version == 1
    assert model.all["i1"].lease.may_act(model.all["i1"].clock())


# Guards against a store that never votes because one registration found no majority.
def test_new_store_is_registered_after_its_first_registration_found_no_majority() -> None:
    model = started_model(3, 1)
    invariants = Invariants(model)
    model.run(1)
    send = model.send

    def drop_prepares(sender: str, to: str, message: Any) -> None:
        if not isinstance(message, messages.Prepare):
            send(sender, to, message)

    model.send = drop_prepares  # type: ignore[method-assign]
    model.all["i2"].lose_disk()
    model.all["i2"].start()
    model.run(15)
    model.send = send  # type: ignore[method-assign]

    assert model.until(lambda: model.all["i2"].replica.can_vote, 15.0) is not None
    invariants.check()


# Guards against a lease that is extended because a grant to an earlier process matches a request of this one.
def test_grant_to_an_earlier_process_is_ignored() -> None:
    model = started_model(3, 1)
    model.run(1)
    grants: list[tuple[str, Any]] = []
    send = model.send

    def record(sender: str, to: str, message: Any) -> None:
        if to == "i0" and isinstance(message, messages.LeaseGrant) and len(grants) < 30:
            grants.append((sender, message))
        send(sender, to, message)

    model.send = record  # type: ignore[method-assign]
    model.all["i0"].kill()
    model.all["i0"].start()
    model.run(1)
    assert len(grants) > 5
    model.all["i0"].kill()
    model.send = lambda *_: None  # type: ignore[method-assign]
    model.all["i0"].start()
    model.run(0.5)
    for sender, message in grants:
        model.all["i0"].receive(sender, message)

    instance = model.all["i0"]
    assert not instance.lease.may_act(instance.clock())
    assert not instance.lease._first_readings


# Guards against an instance that rejects requests for ten minutes because one datagram was late.
def test_late_grant_is_not_measured_as_clock_drift() -> None:
    lease = Lease(DURATION_S, serves_when_expired=False)
    late_request = lease.request(0.0)
    lease.granted(1.5, late_request, "v", 0, 0.0, 1, 0)
    for second in range(2, 60):
        lease.granted(float(second), lease.request(float(second)), "v", 0, float(second), 1, 0)

    assert not lease.clock_drift


# Guards against request numbers that two processes of an instance share.
def test_request_numbers_start_at_the_given_first_number() -> None:
    lease = Lease(DURATION_S, serves_when_expired=False, first_number=700)

    assert lease.request(1.0) == 700
    assert lease.request(1.1) == 701
