"""Leaderless multi-decree Paxos over a log of commands, by which the instances of a fleet agree on one order.

Each entry of the log has a slot: the version that its command produces. The instances of `ReplicatedState.voters` are
the acceptors; every instance is a learner, and any of them may be a proposer. A replica does no I/O: it handles events
with a time, and returns actions.
The reasons for this design are in docs/design/fleet-versions.md.

Rules:

1. Decided: a command is decided for a slot once a quorum, a majority of the voters of the previous version, has
   accepted it under one ballot. A ballot is a round number and the proposer's identity, which is drawn at random for
   each process, so that no ballot is ever used for two commands.
2. Durability: an acceptor replies only once its promise or acceptance is on disk (`Persist`).
3. Slot: an acceptor votes only on the slot after the last version that its instance has applied.
4. Choice: with promises of a quorum, a proposer proposes the command that was accepted under the highest ballot that
   they name; its own command then waits for a later slot.
5. Lost stores: a voter whose store is new, or older than other voters have observed, does not vote. The first stores of
   a fleet are admitted once all voters have greeted each other; any other is registered (rule 6).
6. Registration: a command registers the new store; a majority accepts it without that store's vote.
7. Undecided: an acceptor whose accepted command is not decided for a while runs a round to finish it, so that no slot
   stays open forever.
8. Catching up: an instance that is behind requests a state transfer. A command that this build can't read blocks it: it
   applies nothing further until it installs a snapshot.

Roles: `proposer.py` (1, 4, 7), `acceptor.py` (2, 3, 7), `learner.py` (8), `voter_registration.py` (5, 6).
"""

from __future__ import annotations

import random
from typing import Callable, Mapping

from loadbalancer.fleet.replication import messages
from loadbalancer.fleet.replication.acceptor import Acceptor
from loadbalancer.fleet.replication.actions import (
    Action,
    CommandApplied,
    SnapshotInstalled,
)
from loadbalancer.fleet.replication.commands import Command
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.events import (
    CommandsReceived,
    Event,
    MessageReceived,
    Propose,
    SnapshotReceived,
    StoreAdmitted,
    TimerExpired,
)
from loadbalancer.fleet.replication.learner import Learner
from loadbalancer.fleet.replication.lease import ActiveLeaseholders
from loadbalancer.fleet.replication.messages import AcceptorState, Decided, ObservedStore, ReplicationMessage
from loadbalancer.fleet.replication.proposer import Decision, Proposer
from loadbalancer.fleet.replication.replicated_state import ReplicatedState, TouchedVoter
from loadbalancer.fleet.replication.voter_registration import VoterRegistration

__all__ = ["PaxosReplica"]


def no_leaseholders(_now: float) -> ActiveLeaseholders:
    """Return no leaseholders, for a replica whose fleet grants no leases."""
    return ActiveLeaseholders((), False)


class PaxosReplica:
    """One instance's replica: dispatches events to its roles, and notifies them of decisions."""

    def __init__(
        self,
        name: str,
        store_id: str,
        generation: int,
        state: ReplicatedState,
        source: random.Random,
        active_leaseholders: Callable[[float], ActiveLeaseholders] = no_leaseholders,
    ) -> None:
        """Create the roles.

        Args:
            name: The instance's name in the fleet.
            store_id: Identity of the store that holds its votes; empty while it must not vote.
            generation: Count of openings of that store, with random low bits (`voter_registration.py`).
            state: The replicated state, as restored from the store.
            source: Source of random draws.
            active_leaseholders: Returns who may still act under this voter's grants at a time in seconds.
        """
        self._context = ReplicaContext(name, store_id, generation, state, source)
        self.state = state
        self.learner = Learner(self._context)
        self.registration = VoterRegistration(self._context, self.learner)
        self.acceptor = Acceptor(self._context, self.learner, self.registration, active_leaseholders)
        self.proposer = Proposer(self._context, self.learner, self.acceptor)

    def restore(
        self,
        acceptor_state: AcceptorState | None,
        observed_stores: dict[str, ObservedStore],
        command_log: dict[int, Command],
        *,
        is_new_store: bool = False,
    ) -> None:
        """Restore what an earlier process has persisted; called before the first event.

        Args:
            acceptor_state: The stored acceptor state; None if there is none.
            observed_stores: The stores that other voters were observed with.
            command_log: The latest decided commands.
            is_new_store: Whether the store is not admitted yet (`voter_registration.py`).
        """
        self.registration.is_new_store = is_new_store
        self.learner.command_log = command_log
        self.registration.observed_stores = observed_stores
        if acceptor_state is not None:
            self.acceptor.restore(acceptor_state)

    # Events.

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event.

        Args:
            now: Seconds on a clock that also runs while the machine sleeps.
            event: The event.

        Returns:
            The actions to execute, in order.
        """
        self._context.now = max(self._context.now, now)
        self._context.actions = []
        match event:
            case MessageReceived():
                self._on_message(event.sender, event.message)
            case TimerExpired():
                self._context.live_members = event.live_members
                self._on_timer()
            case Propose():
                self.proposer.propose(event)
            case CommandsReceived():
                self._on_commands(event)
            case SnapshotReceived():
                self._on_snapshot(event)
            case StoreAdmitted():
                self.registration.on_admitted()
        return self._context.actions

    @property
    def next_timer(self) -> float:
        """When `TimerExpired` is due, in seconds on the clock of `handle`."""
        return min(self.learner.next_timer, self.proposer.next_timer, self.registration.next_timer)

    def _on_timer(self) -> None:
        self.proposer.on_timer()
        self.learner.on_timer()
        registration = self.registration.on_timer()
        if registration is not None:
            self.proposer.enqueue(registration)

    def _on_message(self, sender: str, message: ReplicationMessage) -> None:
        match message:
            case messages.Prepare():
                self.acceptor.on_prepare(sender, message)
            case messages.Promise():
                self.proposer.on_promise(sender, message)
            case messages.Accept():
                self.acceptor.on_accept(sender, message)
            case messages.Accepted():
                decision = self.proposer.on_accepted(sender, message)
                if decision is not None:
                    self._on_decision(decision)
            case messages.Decided():
                self._on_decided(sender, message)
            case messages.VersionAnnouncement():
                self.learner.on_announcement(sender, message)
            case messages.VoterGreeting() | messages.FoundingGreeting() | messages.VoterGreetingReply():
                self.registration.on_message(sender, message)

    def _on_decision(self, decision: Decision) -> None:
        """Broadcast and apply the decision of this instance's round (rule 1), and start the next queued command."""
        decided = Decided(decision.slot, decision.command)
        for name in dict.fromkeys((*self.state.voters, *self._context.live_members)):
            if name != self._context.name:
                self._context.send(name, decided)
        self._apply(decision.command, decision.leaseholders)
        self.proposer.start_queued()

    def _on_decided(self, sender: str, message: Decided) -> None:
        """Apply a decision of another instance's round; if the slots differ, help whichever of the two is behind."""
        if self.learner.is_next(message.version):
            self._apply(message.command)
            self.learner.announce_to(sender)
            self.proposer.start_queued()
        elif message.version > self.state.version:
            self.learner.record_later_version(sender, message.version)
        else:
            self.learner.announce_to(sender)

    def _on_commands(self, event: CommandsReceived) -> None:
        for version, command in enumerate(event.commands, event.first_version):
            if self.learner.is_next(version):
                self._apply(command)

    def _on_snapshot(self, event: SnapshotReceived) -> None:
        self.learner.install_snapshot(event.data)
        self._start_next_slot()
        self._context.emit(SnapshotInstalled())
        for name in self.state.voters:
            self.registration.on_voter_changed(name)

    def _apply(self, command: Command, leaseholders: frozenset[str] | None = None) -> None:
        """Apply the command that is decided for the next slot, and notify the roles."""
        touched = self.learner.apply(command)
        if touched is None:
            return
        self._start_next_slot()
        self._context.emit(CommandApplied(self.state.version, command, touched))
        self.proposer.on_applied(command, leaseholders)
        for item in touched:
            if isinstance(item, TouchedVoter):
                self.registration.on_voter_changed(item.voter)

    def _start_next_slot(self) -> None:
        self.acceptor.start_next_slot()
        self.proposer.drop_decided_round()

    # Calls outside the protocol.

    def recover(self, command: Command) -> list[Action]:
        """Apply an operator's command without a quorum, and send it to all live instances.

        This recovers from the permanent loss of a majority of voters. An instance that returns with commands that the
        others lack has a diverging history, and has to start with an empty store.
        """
        self._context.actions = []
        self._apply(command)
        for name in self._context.live_members:
            self._context.send(name, Decided(self.state.version, command))
        return self._context.actions

    def announce_to_voters(self) -> list[Action]:
        """Announce this instance's version and metadata to the voters, which coordinate a rollout."""
        return [self.learner.announcement(name) for name in self.state.voters if name != self._context.name]

    def announce_to_all(self) -> list[Action]:
        """Announce this instance's version and metadata to every live instance."""
        return [self.learner.announcement(name) for name in self._context.live_members]

    # Read access.

    @property
    def store_id(self) -> str:
        """Identity of the store that holds this instance's votes; empty until its opening is on disk."""
        return self._context.store_id

    @store_id.setter
    def store_id(self, store_id: str) -> None:
        self._context.store_id = store_id

    @property
    def metadata(self) -> dict[str, str]:
        """What this instance announces about itself; informational."""
        return self._context.metadata

    @metadata.setter
    def metadata(self, metadata: dict[str, str]) -> None:
        self._context.metadata = metadata

    @property
    def command_log(self) -> dict[int, Command]:
        """The latest decided commands, by the version that each has produced."""
        return self.learner.command_log

    @property
    def can_vote(self) -> bool:
        """Whether this instance's votes count."""
        return self.registration.can_vote

    @property
    def vote_suspension(self) -> str:
        """Why its votes do not count (rule 5); empty if there is no objection to them."""
        return self.registration.vote_suspension

    @property
    def is_new_store(self) -> bool:
        """Whether this instance's store is not admitted yet (rule 5)."""
        return self.registration.is_new_store

    @property
    def missing_voters(self) -> list[str]:
        """Voters whose replies this instance waits for before its votes count."""
        return self.registration.missing_voters

    @property
    def is_behind(self) -> bool:
        """Whether a later version than the one that this instance acts on is known."""
        return self.learner.is_behind

    @property
    def blocked_reason(self) -> str:
        """Why the next command can't be applied (rule 8); empty while nothing blocks."""
        return self.learner.blocked_reason

    @property
    def highest_known_version(self) -> int:
        """The highest version that is known to be decided at any instance."""
        return self.learner.highest_known_version

    @property
    def highest_accepted_version(self) -> int:
        """The highest version that this voter knows of, decided or only accepted."""
        return self.acceptor.highest_accepted_version

    @property
    def announced_versions(self) -> dict[str, int]:
        """The versions that other instances have announced to act on."""
        return self.learner.announced_versions

    @property
    def peer_metadata(self) -> dict[str, Mapping[str, str]]:
        """What other instances have announced about themselves."""
        return self.learner.peer_metadata
