"""The acceptor: votes on the slot that is open, and replies only once its promise or acceptance is on disk."""

from __future__ import annotations

import math
from typing import Callable

from loadbalancer.fleet.replication.actions import Persist, SendMessage
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.learner import Learner
from loadbalancer.fleet.replication.lease import ActiveLeaseholders
from loadbalancer.fleet.replication.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    AcceptorState,
    Prepare,
    Promise,
    ReplicationMessage,
)
from loadbalancer.fleet.replication.voter_registration import VoterRegistration

#: Seconds after which an acceptor starts a round to finish a command that it has accepted and that is not decided yet.
#: Each acceptor waits up to twice as long, drawn at random, so that usually only one of them starts one.
UNDECIDED_TIMEOUT_S = 0.5


class Acceptor:
    """Votes on the slot after the last version that this instance has applied (rules 2, 3 and 7 of replica.py)."""

    def __init__(
        self,
        context: ReplicaContext,
        learner: Learner,
        registration: VoterRegistration,
        active_leaseholders: Callable[[float], ActiveLeaseholders],
    ) -> None:
        """Create an acceptor without votes.

        Args:
            context: Shared by the roles of the replica.
            learner: Knows what is decided, and helps instances that are behind.
            registration: Knows whether this instance may vote.
            active_leaseholders: Returns who may still act under this voter's grants at a time in seconds.
        """
        self._context = context
        self._learner = learner
        self._registration = registration
        self._active_leaseholders = active_leaseholders
        self.state = self._empty_state()
        #: When this instance starts a round to finish its accepted command; infinite if it has accepted none.
        self.undecided_deadline = math.inf

    def _empty_state(self) -> AcceptorState:
        return AcceptorState(self._context.state.version + 1, NO_BALLOT, NO_BALLOT, None)

    def start_next_slot(self) -> None:
        """Move to the slot after the version that was just applied; nothing is promised for it yet."""
        self.state = self._empty_state()
        self.undecided_deadline = math.inf

    def restore(self, stored: AcceptorState) -> None:
        """Restore the acceptor state from disk, unless it belongs to a slot that is decided meanwhile."""
        if stored.slot == self._context.state.version + 1:
            self.state = stored
            if stored.command is not None:
                self.undecided_deadline = -math.inf

    def postpone_undecided_deadline(self, until: float) -> None:
        """Leave an accepted, undecided command to other proposers until this instance may start its next round."""
        if self.undecided_deadline < math.inf:
            self.undecided_deadline = max(self.undecided_deadline, until)

    @property
    def highest_accepted_version(self) -> int:
        """The highest version that this voter knows of, decided or only accepted."""
        accepted_slot = self.state.slot if self.state.command is not None else 0
        return max(self._learner.highest_known_version, accepted_slot)

    def on_prepare(self, sender: str, message: Prepare) -> None:
        """Promise to accept nothing under a lower ballot, or reject with the higher ballot that was promised."""
        if not self._votes_on(sender, message.slot):
            return
        state = self.state
        ok = message.ballot >= state.promised
        if ok:
            state.promised = message.ballot
        reply = Promise(message.slot, message.ballot, ok, state.promised, state.accepted, state.command)
        self._reply(sender, reply, state_changed=ok)

    def on_accept(self, sender: str, message: Accept) -> None:
        """Accept a command, unless a higher ballot was promised."""
        if not self._votes_on(sender, message.slot):
            return
        context, state = self._context, self.state
        ok = message.ballot >= state.promised
        if ok:
            state.promised = message.ballot
            state.accepted = message.ballot
            state.command = message.command
            self.undecided_deadline = context.now + UNDECIDED_TIMEOUT_S * (1 + context.random.random())
        holders = self._active_leaseholders(context.now)
        reply = Accepted(
            message.slot, message.ballot, ok, state.promised, holders.names, holders.is_incomplete
        )
        self._reply(sender, reply, state_changed=ok)

    def _votes_on(self, sender: str, slot: int) -> bool:
        """Return whether this instance votes on the slot now.

        If the sender is behind, it is sent what it lacks; if this instance is behind, it requests a state transfer.
        """
        version = self._context.state.version
        if slot <= version:
            self._learner.send_decided_from(sender, slot)
            return False
        if slot > version + 1:
            self._learner.record_later_version(sender, slot - 1)
            return False
        return not self._learner.blocked_reason and self._registration.can_vote

    def _reply(self, to: str, reply: ReplicationMessage, *, state_changed: bool) -> None:
        """Reply once the acceptor state that the reply reports is on disk (rule 2)."""
        if not state_changed:
            self._context.send(to, reply)
            return
        state = self.state
        copy = AcceptorState(state.slot, state.promised, state.accepted, state.command)
        self._context.emit(Persist(copy, None, (SendMessage(to, reply),)))
