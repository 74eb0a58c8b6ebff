"""The proposer: gets queued commands decided, one round at a time, and finishes commands that were left undecided."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Collection, NamedTuple

from loadbalancer.fleet.replication.acceptor import Acceptor
from loadbalancer.fleet.replication.actions import CommandCompleted
from loadbalancer.fleet.replication.commands import NO_OPERATION, Command
from loadbalancer.fleet.replication.context import ReplicaContext
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.events import Propose
from loadbalancer.fleet.replication.learner import Learner
from loadbalancer.fleet.replication.messages import (
    MAX_PROPOSER_ID_LENGTH,
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
)

#: Seconds after which a request is sent again to voters that have not replied.
RETRY_INTERVAL_S = 0.1
#: Seconds after which a round is aborted.
ROUND_TIMEOUT_S = 0.6
#: Bounds of the backoff between two rounds of one proposer, in seconds. It doubles with each failed round and is
#: randomized, so that two proposers do not preempt each other forever.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.4
#: Maximum number of this instance's queued commands.
MAX_QUEUED_COMMANDS = 256
#: Random bits that tell the processes of one proposer apart in its ballots, written as hexadecimal digits.
PROCESS_NONCE_BITS = 64
PROCESS_NONCE_DIGITS = PROCESS_NONCE_BITS // 4


def make_proposer_id(name: str, source: random.Random) -> str:
    """Return the identity of one process of a proposer, as used in its ballots.

    Round numbers are held in memory, and a proposer without a store does not know those of its earlier processes. So
    round number and name alone could form the same ballot again for another command.
    """
    nonce = f"{source.getrandbits(PROCESS_NONCE_BITS):0{PROCESS_NONCE_DIGITS}x}"
    return f"{name[: MAX_PROPOSER_ID_LENGTH - PROCESS_NONCE_DIGITS - 1]}~{nonce}"


class PromisedValue(NamedTuple):
    """The command that a voter had accepted when it promised, and its ballot; `NO_BALLOT` for none."""

    ballot: Ballot
    command: Command | None


@dataclass
class Round:
    """One attempt of this proposer to get a command decided for a slot.

    Attributes:
        proposal: The queued command that it is for; None to finish a command that was accepted but not decided.
        slot: The version that the command will produce.
        ballot: The ballot of the round.
        started_at: When it started, in seconds.
        retry_at: When the request is sent again to voters that have not replied, in seconds.
        command: The command that voters are asked to accept; None while promises are collected.
        promises: Positive replies to `Prepare`, by voter.
        accepted_by: Voters that have accepted the command.
        leaseholders: Instances that may still act on older versions, as named by those voters.
        leaseholders_incomplete: Whether there may be other leaseholders.
    """

    proposal: Propose | None
    slot: int
    ballot: Ballot
    started_at: float
    retry_at: float
    command: Command | None = None
    promises: dict[str, PromisedValue] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    leaseholders: set[str] = field(default_factory=set)
    leaseholders_incomplete: bool = False

    @property
    def ends_at(self) -> float:
        """When the round is aborted, in seconds."""
        return self.started_at + ROUND_TIMEOUT_S

    @property
    def replied(self) -> Collection[str]:
        """Voters that have replied in the current phase."""
        return self.promises.keys() if self.command is None else self.accepted_by

    def choose_command(self) -> Command:
        """Return the command to propose once a majority has promised (rule 4 of replica.py)."""
        highest = max(self.promises.values(), key=lambda promised: promised.ballot)
        if highest.ballot != NO_BALLOT and highest.command is not None:
            return highest.command
        return self.proposal.command if self.proposal is not None else NO_OPERATION


@dataclass(frozen=True, slots=True)
class Decision:
    """A command that a majority has accepted under one ballot.

    Attributes:
        slot: The version that it produces.
        command: The command.
        leaseholders: Instances that may still act on older versions; None if they are unknown.
    """

    slot: int
    command: Command
    leaseholders: frozenset[str] | None


class Proposer:
    """Queues this instance's commands and runs at most one round at a time (rules 1, 4 and 7 of replica.py)."""

    def __init__(self, context: ReplicaContext, learner: Learner, acceptor: Acceptor) -> None:
        self._context = context
        self._learner = learner
        self._acceptor = acceptor
        self._queue: deque[Propose] = deque()
        self._round: Round | None = None
        self._id = make_proposer_id(context.name, context.random)
        self._highest_round_number = 0
        self._next_round_at = -math.inf
        self._backoff_s = MIN_BACKOFF_S
        #: By identifier, commands that voters may have accepted, with the last slot that each was proposed for.
        self._possibly_accepted: dict[str, int] = {}

    @property
    def next_timer(self) -> float:
        """When a retry, the end of a round, a new round or a proposal's timeout is due, in seconds."""
        due = min((proposal.expires_at for proposal in self._queue), default=math.inf)
        if self._round is not None:
            return min(due, self._round.retry_at, self._round.ends_at)
        if self._learner.is_behind:
            return due
        if self._queue:
            return min(due, self._next_round_at)
        if self._acceptor.undecided_deadline < math.inf:
            return max(self._next_round_at, self._acceptor.undecided_deadline)
        return due

    # Proposals.

    def propose(self, proposal: Propose) -> None:
        """Queue a command and start a round unless one is running; reject a command that can't be proposed."""
        try:
            self._context.state.check(proposal.command)
        except StateError as error:
            self._complete(proposal, f"{error}; it does not stand")
            return
        if len(self._queue) >= MAX_QUEUED_COMMANDS:
            self._complete(proposal, f"{MAX_QUEUED_COMMANDS} changes wait; it does not stand")
            return
        self._queue.append(proposal)
        if self._context.now >= self._next_round_at:
            self.start_queued()

    def enqueue(self, proposal: Propose) -> None:
        """Queue a command that the replica itself proposes; its round starts with the next timer."""
        self._queue.append(proposal)

    def start_queued(self) -> None:
        """Start a round for the first queued command, unless a round is running or this instance is behind."""
        if self._round is None and self._queue and not self._learner.is_behind:
            self._start_round(self._queue[0])

    def on_timer(self) -> None:
        """Expire proposals, abort or retry the current round, and start the round that is due."""
        now = self._context.now
        for proposal in [proposal for proposal in self._queue if now >= proposal.expires_at]:
            self._expire(proposal)
        if self._round is not None:
            if now >= self._round.ends_at:
                self._end_round()
            elif now >= self._round.retry_at:
                self._send_requests(self._round)
        if self._round is not None or now < self._next_round_at or self._learner.is_behind:
            return
        if self._queue:
            self._start_round(self._queue[0])
        elif now >= self._acceptor.undecided_deadline:
            self._start_round(None)

    def _expire(self, proposal: Propose) -> None:
        """Complete a proposal that has timed out.

        The outcome of its command is unknown if a voter may have accepted it, in this round or an earlier one, for a
        slot that is not decided yet.
        """
        self._queue.remove(proposal)
        last_slot = self._possibly_accepted.pop(proposal.command.id, 0)
        if self._round is not None and self._round.proposal is proposal:
            self._round = None
        outcome = "it may stand yet" if last_slot > self._context.state.version else "it does not stand"
        self._complete(proposal, f"no majority has answered in its time; {outcome}")

    def _complete(self, proposal: Propose, reason: str) -> None:
        self._context.emit(CommandCompleted(proposal.command.id, 0, reason))

    # Rounds.

    def _start_round(self, proposal: Propose | None) -> None:
        """Start to collect promises for the next slot.

        Args:
            proposal: The first in the queue, or None to finish a command that was accepted but not decided.
        """
        version = self._context.state.version
        if proposal is not None and not proposal.may_follow(version):
            self._queue.popleft()
            reason = f"the state is at version {version}, not {proposal.expected_version}; it does not stand"
            self._complete(proposal, reason)
            return
        acceptor_state = self._acceptor.state
        self._highest_round_number = (
            max(self._highest_round_number, acceptor_state.promised[0], acceptor_state.accepted[0]) + 1
        )
        ballot = (self._highest_round_number, self._id)
        now = self._context.now
        self._round = Round(proposal, version + 1, ballot, started_at=now, retry_at=now)
        self._send_requests(self._round)

    def _send_requests(self, current: Round) -> None:
        """Send the request of the round's current phase to the voters that have not replied to it."""
        current.retry_at = self._context.now + RETRY_INTERVAL_S
        for voter in self._context.state.voters:
            if voter in current.replied:
                continue
            if current.command is None:
                self._context.send(voter, Prepare(current.slot, current.ballot))
            else:
                self._record_possibly_accepted(current.command, current.slot)
                self._context.send(voter, Accept(current.slot, current.ballot, current.command))

    def _record_possibly_accepted(self, command: Command, slot: int) -> None:
        """Record that from now on a voter may have accepted the command, whatever replies arrive."""
        self._possibly_accepted[command.id] = slot

    def _end_round(self, blocking_ballot: Ballot = NO_BALLOT) -> None:
        """Abort the round; the next starts after a random backoff, with a ballot above the one that blocked it."""
        self._round = None
        self._highest_round_number = max(self._highest_round_number, blocking_ballot[0])
        backoff = self._backoff_s * (0.5 + self._context.random.random())
        self._next_round_at = self._context.now + backoff
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        self._acceptor.postpone_undecided_deadline(self._next_round_at)

    def _matching_round(self, message: Promise | Accepted) -> Round | None:
        """Return the current round if the message is a reply to it, else None."""
        current = self._round
        if current is None or current.ballot != message.ballot or current.slot != message.slot:
            return None
        return current

    def on_promise(self, sender: str, message: Promise) -> None:
        """Count a promise; once a majority has promised, ask the voters to accept."""
        current = self._matching_round(message)
        if current is None or current.command is not None:
            return
        if not message.ok:
            self._end_round(message.blocking_ballot)
            return
        if sender in self._context.state.voters:
            current.promises[sender] = PromisedValue(message.accepted, message.command)
        if len(current.promises) >= self._context.state.majority:
            current.command = current.choose_command()
            self._send_requests(current)

    def on_accepted(self, sender: str, message: Accepted) -> Decision | None:
        """Count an acceptance.

        Returns:
            The decision that ends the round, once a majority has accepted; None before.
        """
        current = self._matching_round(message)
        if current is None or current.command is None:
            return None
        if not message.ok:
            self._end_round(message.blocking_ballot)
            return None
        if sender not in self._context.state.voters:
            return None
        current.accepted_by.add(sender)
        current.leaseholders.update(message.leaseholders)
        current.leaseholders_incomplete |= message.has_more
        if len(current.accepted_by) < self._context.state.majority:
            return None
        self._round = None
        self._backoff_s = MIN_BACKOFF_S
        self._next_round_at = -math.inf
        leaseholders = None if current.leaseholders_incomplete else frozenset(current.leaseholders)
        return Decision(current.slot, current.command, leaseholders)

    # Decisions.

    def drop_decided_round(self) -> None:
        """Drop the round if its slot was decided meanwhile."""
        if self._round is not None and self._round.slot <= self._context.state.version:
            self._round = None

    def on_applied(self, command: Command, leaseholders: frozenset[str] | None) -> None:
        """Complete the first queued command if it is the one that was just applied."""
        version = self._context.state.version
        self._possibly_accepted = {
            command_id: slot for command_id, slot in self._possibly_accepted.items() if slot > version
        }
        if self._queue and self._queue[0].command.id == command.id:
            self._queue.popleft()
            self._context.emit(CommandCompleted(command.id, version, "", leaseholders))
