"""Operators' changes at a fleet member: proposed as commands, and answered once all instances have confirmed them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Callable

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.command_factory import (
    FREEZE_VERBS,
    MIGRATION_VERB,
    OVERRIDE_VERBS,
    ChangeTranslator,
    CommandNumbering,
)
from loadbalancer.daemon.components import ReplicatedOverrideTarget
from loadbalancer.daemon.fleet_interfaces import AnswerCallback, Clock, JsonObject
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.fleet.replication.actions import CommandCompleted
from loadbalancer.fleet.replication.commands import Command, CommandKind
from loadbalancer.fleet.replication.commit_tracking import CommitStatus, CommitTracker
from loadbalancer.fleet.replication.errors import StateError
from loadbalancer.fleet.replication.lease import Lease
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.resource_limits import RateLimitedLogger

#: Changes that an operator may make at one instance alone.
LOCAL_VERBS = (*OVERRIDE_VERBS, MIGRATION_VERB, *FREEZE_VERBS)
#: Seconds for which confirmations are awaited at least.
MIN_WAIT_S = 0.05
ANY_VERSION = -1


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change whose operator waits for the answer."""

    change: Change
    answer: AnswerCallback
    began: float  # on the replica's clock


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A change that is decided, and that not all instances have confirmed."""

    tracker: CommitTracker
    pending: PendingChange
    answer_at: float  # on the replica's clock: whether or not all have confirmed by then


class ReplicatedCommands:
    """Answers each change request once; a bounded time after its proposal at the latest.

    The replica gives a command up after its time; each decided change is answered after its operator's waiting time;
    `close` answers those that are not decided when the process ends.
    """

    def __init__(
        self,
        replica: PaxosReplica,
        lease: Lease,
        peers: FleetPeers,
        overrides: ReplicatedOverrideTarget,
        translator: ChangeTranslator,
        numbering: CommandNumbering,
        propose: Callable[[Command, int], None],
        recover: Callable[[Command], None],
        clock: Clock,
        logger: RateLimitedLogger,
    ) -> None:
        """Hand in what commands are made of and given to.

        Args:
            replica: is read, and not driven.
            lease: says how long others may act on older versions.
            peers: the instances that have to confirm.
            overrides: says what is true of an endpoint after a change.
            translator: of change requests.
            numbering: of commands.
            propose: gives a command to the replica, only right after the given version if that is not ANY_VERSION.
            recover: applies a command without a vote.
            clock: the replica's.
            logger: gets a line for a recovery.
        """
        self._replica = replica
        self._lease = lease
        self._peers = peers
        self._overrides = overrides
        self._translator = translator
        self._numbering = numbering
        self._propose = propose
        self._recover = recover
        self._clock = clock
        self._logger = logger
        self._proposed: dict[str, PendingChange] = {}  # by the command's identifier
        self._committing: list[PendingCommit] = []

    @property
    def is_awaiting_confirmation(self) -> bool:
        """Whether `check_commits` has to be called soon."""
        return bool(self._committing)

    def close(self) -> None:
        """Answer all changes that are not decided."""
        for pending in self._proposed.values():
            pending.answer({"error": "this instance ends; it is not known whether the change stands"})
        self._proposed.clear()

    def submit(self, change: Change, answer: AnswerCallback) -> bool:
        """Propose an operator's change.

        Returns:
            Whether it is one of the replicated state; `answer` is called once then.

        Raises:
            CallError: it can't be done, and is not proposed.
        """
        if change.request.here and change.verb in LOCAL_VERBS:
            return False
        content = self._translator.translate(change)
        if content is None:
            return False
        try:
            command = self._numbering.command(content, change.request.by, change.request.reason)
            self._replica.state.check(command)
        except StateError as problem:
            raise CallError(409, str(problem)) from None
        if content.kind == CommandKind.RECOVER:
            self._submit_recovery(command, change, answer)
            return True
        expected = change.request.if_version
        self._proposed[command.id] = PendingChange(change, answer, self._clock())
        self._propose(command, ANY_VERSION if expected is None else expected)
        return True

    def _submit_recovery(self, command: Command, change: Change, answer: AnswerCallback) -> None:
        """Let a minority go on after a majority was lost for good; refused while a majority answers."""
        name, request = self._peers.name, change.request
        if not request.last:
            raise CallError(
                409, "this lets a minority go on without those who may know more; say last if it is meant"
            )
        if self._lease.is_open(self._clock()):
            raise CallError(409, "a majority answers; nothing has to be recovered")
        if name not in request.roster:
            raise CallError(409, f"{name!r}, where this is said, has to be on the new roster")
        self._recover(command)
        self._logger("fleet: recovered by an operator", f"{request.by}: {', '.join(request.roster)} vote now")
        state = self._replica.state
        answer({"version": state.version, "holds": True, "roster": dict(state.voters)})

    def complete(self, completed: CommandCompleted) -> None:
        """Begin to wait for confirmations of a command that was decided; answer one that was not."""
        pending = self._proposed.pop(completed.command_id, None)
        if pending is None:
            return
        if not completed.version:
            pending.answer({"error": completed.reason})
            return
        now = self._clock()
        tracker = CommitTracker(
            completed.version,
            now,
            completed.leaseholders,
            self._lease.expiry_with_drift,
            self._lease.serves_when_expired,
        )
        answer_at = pending.began + max(pending.change.wait, MIN_WAIT_S)
        self._committing.append(PendingCommit(tracker, pending, answer_at))
        self.check_commits(now)

    def check_commits(self, now: float) -> None:
        """Answer the changes that all have confirmed, and those whose operators' waiting time is over."""
        if not self._committing:
            return
        name = self._peers.name
        versions = {**self._replica.announced_versions, name: self._replica.state.version}
        known = [*(member.name for member in self._peers.members()), name]
        left = self._peers.left_names()
        waiting = []
        for commit in self._committing:
            status = commit.tracker.status(now, versions, known, left)
            if not status.is_committed and now < commit.answer_at:
                waiting.append(commit)
            else:
                self._answer(commit, status)
        self._committing = waiting

    def _answer(self, commit: PendingCommit, status: CommitStatus) -> None:
        result: JsonObject = {"version": commit.tracker.version, "holds": status.is_committed}
        if not status.is_committed:
            result["missing"] = list(status.unconfirmed)
            result["until_s"] = status.time_remaining
        commit.pending.answer({**self._overrides.describe(commit.pending.change), **result})
