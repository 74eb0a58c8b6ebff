"""Drives the Paxos replica of one daemon: its timer, its messages, and the actions that it returns.

An instance applies a command before it announces the command's version. An acceptor's state is on disk before the
answer that depends on it is sent.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import cast

from loadbalancer.config.types import FleetTable
from loadbalancer.daemon.applied_state import AppliedState
from loadbalancer.daemon.command_factory import ChangeTranslator, CommandContent, CommandNumbering
from loadbalancer.daemon.components import DaemonContext, ReplicatedOverrideTarget
from loadbalancer.daemon.fleet_interfaces import (
    PrepareConfiguration,
    StreamedAnswer,
    StreamedMessage,
)
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.daemon.instance_metadata import InstanceMetadata
from loadbalancer.daemon.lease_monitor import LeaseMonitor
from loadbalancer.daemon.replica_storage import ReplicaStorage
from loadbalancer.daemon.replicated_commands import ANY_VERSION, ReplicatedCommands
from loadbalancer.daemon.rollout import RequestCounts, RolloutService
from loadbalancer.daemon.rollout_coordinator import RolloutCoordinator
from loadbalancer.daemon.send_guard import SendGuard
from loadbalancer.daemon.state_transfer import StateTransferDriver
from loadbalancer.daemon.version_report import VERSIONS_QUERY, VersionReport
from loadbalancer.daemon.vote_monitor import VoteMonitor
from loadbalancer.fleet.orchestration.rollout import ACTIVE_STAGES
from loadbalancer.fleet.replication.actions import (
    Action,
    AdmitStore,
    CommandApplied,
    CommandCompleted,
    Persist,
    RequestStateTransfer,
    SendMessage,
    SnapshotInstalled,
)
from loadbalancer.fleet.replication.commands import Command, CommandKind
from loadbalancer.fleet.replication.events import (
    CommandsReceived,
    Event,
    MessageReceived,
    Propose,
    SnapshotReceived,
    StoreAdmitted,
    TimerExpired,
)
from loadbalancer.fleet.replication.lease import FIRST_NUMBER_BITS, Lease
from loadbalancer.fleet.replication.messages import (
    LeaseGrant,
    LeaseRequest,
    QueryRequest,
    ReplicationMessage,
    StateRequest,
)
from loadbalancer.fleet.replication.replica import PaxosReplica
from loadbalancer.fleet.replication.replicated_state import ReplicatedState
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message
from loadbalancer.store.keeper import Store

#: Seconds within which a command has to be accepted; the wait for confirmations is separate.
ACCEPT_TIMEOUT_S = 3.0
#: Seconds between two checks of outstanding confirmations.
CONFIRMATION_INTERVAL_S = 0.02
#: Seconds between two checks of override expiry, the rollout, the vote and the metadata of this instance.
HOUSEKEEPING_INTERVAL_S = 0.5
#: The minimum timer delay, in seconds.
MIN_TIMER_S = 0.002


def boot_clock() -> float:
    """Return seconds of a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class ReplicationContext:
    """Holds the dependencies of a `ReplicationService`, which owns none of them.

    Attributes:
        daemon: The daemon, whose pools and logger are used.
        table: The configuration's `[fleet]` table.
        transport: Passes each replication message to the service.
        peers: The other instances.
        overrides: Applies overrides and migrations to the pools.
        store: The daemon's store; without one this instance has no vote.
        path: The path of the configuration file.
        prepare: Checks a configuration that is rolled out.
    """

    daemon: DaemonContext
    table: FleetTable
    transport: FleetTransport
    peers: FleetPeers
    overrides: ReplicatedOverrideTarget
    store: Store | None
    path: Path
    prepare: PrepareConfiguration


class ReplicationService:
    """Runs the replicated state at one daemon.

    It owns the timer of the replica, and the rollout service and the state transfer, each of which has a task. `end`
    cancels all of them.

    Attributes:
        state: The replicated state as it is applied here.
        replica: The Paxos state machine that this service drives.
        commands: Proposes operators' changes.
        lease: Tells whether this instance may send.
        send_guard: Creates the check before each send.
        report: Answers operators' queries about versions.
        metadata: Collects the metadata that this instance announces.
    """

    def __init__(self, context: ReplicationContext) -> None:
        """Load the state from the store; nothing is sent before `start`."""
        self._context = context
        self._name = context.table.name
        self._peers = context.peers
        self._logger = context.daemon.logger
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self._housekeeping_at = 0.0
        random_source = random.SystemRandom()
        lease = Lease(
            float(context.table.stale_most),
            context.table.cut_off == "serve",
            1 + random_source.getrandbits(FIRST_NUMBER_BITS),
        )
        self.state = ReplicatedState(dict.fromkeys(context.table.voters, ""))
        self._storage = ReplicaStorage(context.store, self.state, random_source, self._logger)
        self.replica = self._make_replica(lease, random_source)
        self._numbering = CommandNumbering(f"{self._name}-{random_source.getrandbits(48):x}")
        self._applied = AppliedState(self.state, context.overrides, boot_clock)
        self._rollout = self._make_rollout()
        self.metadata = InstanceMetadata(
            context.daemon, self._storage.identity.store, self._rollout, self.state
        )
        self._coordinator = RolloutCoordinator(self.replica, self._peers, self.metadata.current)
        self._transfer = StateTransferDriver(
            self.replica, self._peers, self._receive_state, self._schedule, self._report_transfer_failure
        )
        history = self._applied.history
        self.lease = LeaseMonitor(lease, self.replica, boot_clock)
        self.send_guard = SendGuard(lease, context.overrides, history, boot_clock)
        self.report = VersionReport(self.replica, lease, history, self._peers, boot_clock)
        self._vote_monitor = VoteMonitor(self.replica, lease, self._logger)
        self.commands = self._make_commands(lease)
        context.transport.replication_handler = self._receive

    def _make_replica(self, lease: Lease, random_source: random.Random) -> PaxosReplica:
        replica = PaxosReplica(
            self._name,
            "",  # no vote until the opening of the store is recorded on disk
            self._storage.identity.opened,
            self.state,
            random.Random(random_source.getrandbits(60)),
            lease.active_leaseholders,
        )
        persisted = self._storage.persisted
        replica.restore(
            persisted.acceptor_state,
            persisted.observed_stores,
            persisted.command_log,
            is_new_store=self._storage.identity.is_new,
        )
        return replica

    def _make_rollout(self) -> RolloutService:
        return RolloutService(
            self._context.daemon,
            self._name,
            self._context.path,
            self._context.prepare,
            self._peers.request,
            self._count_requests,
            self._announce_rollout_report,
        )

    def _make_commands(self, lease: Lease) -> ReplicatedCommands:
        overrides = self._context.overrides
        translator = ChangeTranslator(self._name, self.state, overrides, self._rollout, self._store_id_of)
        return ReplicatedCommands(
            self.replica,
            lease,
            self._peers,
            overrides,
            translator,
            self._numbering,
            self._propose,
            self._recover,
            boot_clock,
            self._logger,
        )

    # Lifecycle.

    def start(self) -> None:
        """Apply the persisted state and start the replica; vote once the opening of the store is recorded on disk."""
        self._applied.apply_all()
        self.replica.metadata = self.metadata.current()
        self._storage.save_identity(self._enable_vote)
        self._tick()

    def _enable_vote(self) -> None:
        self.replica.store_id = self._storage.identity.store

    def end(self) -> None:
        """Cancel the timer and the tasks, and answer the operators' changes that are undecided."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._transfer.close()
        self._rollout.close()
        self.commands.close()

    def _store_id_of(self, name: str) -> str:
        if name == self._name:
            return self._storage.identity.store
        return self.replica.peer_metadata.get(name, {}).get("store", "")

    # Timer.

    def _tick(self) -> None:
        """Run one step, and set the timer again even if it fails, so that the lease doesn't expire by one defect."""
        if self._ended:
            return
        try:
            self._step(boot_clock())
        finally:
            self._schedule()

    def _step(self, now: float) -> None:
        self._handle(TimerExpired(self._peers.alive_names()))
        if now >= self.lease.next_timer:
            self._request_lease(now)
        if now >= self._housekeeping_at:
            self._housekeeping_at = now + HOUSEKEEPING_INTERVAL_S
            for content in self._applied.expire(now):
                self._propose_own(content, "its time is over")
            self._step_rollout(now)
            self._vote_monitor.check(now)
            self.replica.metadata = self.metadata.current()
        self.commands.check_commits(now)

    def _request_lease(self, now: float) -> None:
        if self.lease.postpone_while_founding(now):
            return
        request = self.lease.request(now)
        for voter in self.state.voters:
            self._send(voter, request)

    def _schedule(self) -> None:
        if self._ended:
            return
        if self._timer is not None:
            self._timer.cancel()
        due_at = min(self.replica.next_timer, self.lease.next_timer, self._housekeeping_at)
        is_awaiting = self.commands.is_awaiting_confirmation
        max_delay_s = CONFIRMATION_INTERVAL_S if is_awaiting else HOUSEKEEPING_INTERVAL_S
        delay_s = min(max(MIN_TIMER_S, due_at - boot_clock()), max_delay_s)
        self._timer = self._loop.call_later(delay_s, self._tick)

    # Rollout.

    def _step_rollout(self, now: float) -> None:
        plan = self.state.rollout_plan
        names = sorted({self._name, *(member.name for member in self._peers.members())})
        self._rollout.step(plan, names)
        if plan is None or plan.stage not in ACTIVE_STAGES:
            return
        self._perform(self.replica.announce_to_voters())
        body = self._coordinator.next_stage(plan, now)
        if body is not None:
            self._propose_own(CommandContent(CommandKind.STAGE, body), body.why)

    def _count_requests(self) -> RequestCounts:
        ended = [
            counts for pool in self._context.daemon.pools.values() for counts in pool.proxy.metrics.ended
        ]
        served = sum(counts[0] for counts in ended)
        failed = sum(counts[1] + counts[2] for counts in ended)
        return RequestCounts(served + failed, failed)

    def _announce_rollout_report(self) -> None:
        self.replica.metadata = self.metadata.current()
        self._perform(self.replica.announce_to_all())

    # Proposals.

    def _propose_own(self, content: CommandContent, reason: str) -> None:
        self._propose(self._numbering.command(content, self._name, reason))

    def _propose(self, command: Command, expected_version: int = ANY_VERSION) -> None:
        self._handle(Propose(command, boot_clock() + ACCEPT_TIMEOUT_S, expected_version))
        self._schedule()

    def _recover(self, command: Command) -> None:
        self._perform(self.replica.recover(command))

    # State transfer.

    def _receive_state(self, event: CommandsReceived | SnapshotReceived) -> None:
        self._handle(event)
        self._perform(self.replica.announce_to_all())

    def _report_transfer_failure(self, reason: str) -> None:
        self._context.transport.counts["catching up failed"] += 1
        self._logger("fleet: state transfer failed", reason)

    # Messages.

    def answer(self, message: Message) -> StreamedAnswer | None:
        """Return the answer to the first message of a connection; None if this service doesn't handle it."""
        if isinstance(message, StateRequest):
            return self._transfer.answer(message)
        if not isinstance(message, QueryRequest):
            return None
        if message.path == VERSIONS_QUERY:
            return iter([StreamedMessage(self.report.answer(), 0.0)])
        if message.path.startswith("plan/"):
            digest = message.path.removeprefix("plan/")
            return (StreamedMessage(part, 0.0) for part in self._rollout.answer(digest))
        return None

    def _send(self, to: str, message: Message) -> None:
        if to == self._name:
            self._loop.call_soon(self._receive, to, message)
        else:
            self._peers.send(to, message)

    def _receive(self, sender: str, message: Message) -> None:
        if self._ended:
            return
        now = boot_clock()
        if isinstance(message, LeaseRequest):
            grant = self.lease.grant(now, sender, message)
            if grant is not None:
                self._send(sender, grant)
        elif isinstance(message, LeaseGrant):
            self.lease.record_grant(now, sender, message)
        else:
            self._handle(MessageReceived(sender, cast(ReplicationMessage, message)))
            self.commands.check_commits(now)
            self._schedule()

    # Actions of the replica.

    def _handle(self, event: Event) -> None:
        self._perform(self.replica.handle(boot_clock(), event))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action.to, action.message)
                case Persist():
                    self._persist(action)
                case AdmitStore():
                    self._storage.save_admission(self._store_admitted)
                case CommandApplied():
                    self._applied.apply_command(action)
                    self.lease.extend()
                    self._storage.save_command(action)
                case SnapshotInstalled():
                    self._applied.apply_snapshot()
                    self.lease.extend()
                    self._storage.save_snapshot()
                case RequestStateTransfer():
                    self._transfer.fetch(action.source)
                case CommandCompleted():
                    self.commands.complete(action)

    def _store_admitted(self) -> None:
        if not self._ended:
            self._handle(StoreAdmitted())
            self._schedule()

    def _persist(self, action: Persist) -> None:
        def send() -> None:
            for message in action.then_send:
                self._send(message.to, message.message)

        self._storage.save_acceptor_state(action, send)
