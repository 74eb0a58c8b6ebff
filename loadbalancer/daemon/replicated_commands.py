"""Operators' changes at a fleet member, proposed as commands and answered once all instances have confirmed them."""

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

#: Verbs of changes that an operator may apply to one instance alone.
LOCAL_VERBS = (*OVERRIDE_VERBS, MIGRATION_VERB, *FREEZE_VERBS)
#: Minimum time in seconds to wait for confirmations.
MIN_WAIT_S = 0.05
ANY_VERSION = -1


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that has been proposed and not answered yet."""

    change: Change
    answer: AnswerCallback
    started_at: float  # on the replica's clock


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A change that is decided but not yet confirmed by all instances."""

    tracker: CommitTracker
    pending: PendingChange
    answer_at: float  # the deadline for confirmations, on the replica's clock


class ReplicatedCommands:
    """Proposes change requests as commands and answers each request exactly once, within a bounded time.

    The replica abandons a command at its deadline; a decided change is answered at the latest when the waiting time
    that its operator has set is over; `close` answers the changes that are undecided when the process ends.
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
        """Create the service without pending changes.

        Args:
            replica: The replica, which is only read here.
            lease: The lease, which tells how long other instances may act on older versions.
            peers: The instances that have to confirm.
            overrides: Describes the endpoints of a change for the answer to it.
            translator: Translates change requests into the content of commands.
            numbering: Assigns the identifiers of commands.
            propose: Proposes a command; unless the given version is ANY_VERSION, the command may only directly follow
                that version.
            recover: Applies a command without a vote.
            clock: The replica's clock.
            logger: Logs each recovery.
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
        self._proposed: dict[str, PendingChange] = {}  # by command identifier
        self._committing: list[PendingCommit] = []

    @property
    def is_awaiting_confirmation(self) -> bool:
        """Whether decided changes wait for confirmations, so that `check_commits` has to be called soon."""
        return bool(self._committing)

    def close(self) -> None:
        """Answer all undecided changes with an error."""
        for pending in self._proposed.values():
            pending.answer({"error": "this instance ends; it is not known whether the change stands"})
        self._proposed.clear()

    def submit(self, change: Change, answer: AnswerCallback) -> bool:
        """Propose an operator's change.

        Returns:
            Whether the change concerns the replicated state. If it does, `answer` is called once.

        Raises:
            CallError: The change can't be applied and is not proposed.
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
        """Replace the voters after a majority was lost for good; rejected while a majority answers."""
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
        """Wait for the confirmations of a command that was decided; answer a command that was not with the reason."""
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
        answer_at = pending.started_at + max(pending.change.wait, MIN_WAIT_S)
        self._committing.append(PendingCommit(tracker, pending, answer_at))
        self.check_commits(now)

    def check_commits(self, now: float) -> None:
        """Answer the changes that all instances have confirmed, and those whose waiting time is over."""
        if not self._committing:
            return
        name = self._peers.name
        versions = {**self._replica.announced_versions, name: self._replica.state.version}
        known_names = [*(member.name for member in self._peers.members()), name]
        left_names = self._peers.left_names()
        waiting = []
        for commit in self._committing:
            status = commit.tracker.status(now, versions, known_names, left_names)
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
