"""Drives the Paxos replica of one daemon: its timer, its messages, and the actions that it asks for.

A command is in force at an instance before the instance announces its version; an acceptor's answer is on disk before
it is sent.
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

#: Seconds in which a command has to be accepted; its operator waits for confirmations beside that.
ACCEPT_TIMEOUT_S = 3.0
#: Seconds between two checks of outstanding confirmations.
CONFIRMATION_INTERVAL_S = 0.02
#: Seconds between two looks at overrides that end, at the rollout, and at the metadata of this instance.
HOUSEKEEPING_INTERVAL_S = 0.5
#: The shortest wait of the timer, in seconds.
MIN_TIMER_S = 0.002


def boot_clock() -> float:
    """Return seconds of a clock that also runs while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class ReplicationContext:
    """What the replicated state of one daemon is built on; the service owns none of it.

    Attributes:
        daemon: whose pools and log are used.
        table: the configuration's table [fleet].
        transport: calls the service for each replication message.
        peers: the other instances.
        overrides: where overrides and migrations are brought into force.
        store: None where the daemon has none, and this instance no vote.
        path: of the configuration.
        prepare: checks a configuration that is rolled out.
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
    """The replicated state at one daemon.

    It owns the timer of the replica and its parts: the rollout service and the state transfer, each of which has a
    task. `end` releases all of them.

    Attributes:
        state: the replicated state as it is applied here.
        replica: the state machine that is driven.
        commands: takes operators' changes.
        lease: says whether this instance may send.
        send_guard: makes the check before each send.
        report: answers what operators ask.
        metadata: what this instance tells of itself.
    """

    def __init__(self, context: ReplicationContext) -> None:
        """Read the store; nothing is sent before `start`."""
        self._context = context
        self._name = context.table.name
        self._peers = context.peers
        self._logger = context.daemon.logger
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False
        self._housekeeping_at = 0.0
        source = random.SystemRandom()
        lease = Lease(
            float(context.table.stale_most),
            context.table.cut_off == "serve",
            1 + source.getrandbits(FIRST_NUMBER_BITS),
        )
        self.state = ReplicatedState(dict.fromkeys(context.table.voters, ""))
        self._storage = ReplicaStorage(context.store, self.state, source, self._logger)
        self.replica = self._make_replica(lease, source)
        self._numbering = CommandNumbering(f"{self._name}-{source.getrandbits(48):x}")
        self._applied = AppliedState(self.state, context.overrides, boot_clock)
        self._rollout = self._make_rollout()
        self.metadata = InstanceMetadata(
            context.daemon, self._storage.identity.store, self._rollout, self.state
        )
        self._coordinator = RolloutCoordinator(self.replica, self._peers, self.metadata.current)
        self._transfer = StateTransferDriver(
            self.replica, self._peers, self._transferred, self._schedule, self._transfer_failed
        )
        history = self._applied.history
        self.lease = LeaseMonitor(lease, self.replica, boot_clock)
        self.send_guard = SendGuard(lease, context.overrides, history, boot_clock)
        self.report = VersionReport(self.replica, lease, history, self._peers, boot_clock)
        self._vote_monitor = VoteMonitor(self.replica, lease, self._logger)
        self.commands = self._make_commands(lease)
        context.transport.replication_handler = self._receive

    def _make_replica(self, lease: Lease, source: random.Random) -> PaxosReplica:
        replica = PaxosReplica(
            self._name,
            "",  # it votes only once the opening of the store is on disk
            self._storage.identity.opened,
            self.state,
            random.Random(source.getrandbits(60)),
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
            self._peers.ask,
            self._count_requests,
            self._rollout_changed,
        )

    def _make_commands(self, lease: Lease) -> ReplicatedCommands:
        overrides = self._context.overrides
        translator = ChangeTranslator(self._name, self.state, overrides, self._rollout, self._store_of)
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
        """Bring into force what was kept, and take part; vote once the opening of the store is on disk."""
        self._applied.apply_all()
        self.replica.metadata = self.metadata.current()
        self._storage.save_identity(self._enable_vote)
        self._tick()

    def _enable_vote(self) -> None:
        self.replica.store_id = self._storage.identity.store

    def end(self) -> None:
        """Cancel the timer and the tasks, and answer operators that still wait."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._transfer.close()
        self._rollout.close()
        self.commands.close()

    def _store_of(self, name: str) -> str:
        if name == self._name:
            return self._storage.identity.store
        return self.replica.peer_metadata.get(name, {}).get("store", "")

    # Timer.

    def _tick(self) -> None:
        """Step, and set the timer again also where the step fails: the lease must not end by a defect in one step."""
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
        due = min(self.replica.next_timer, self.lease.next_timer, self._housekeeping_at)
        awaits = self.commands.is_awaiting_confirmation
        longest = CONFIRMATION_INTERVAL_S if awaits else HOUSEKEEPING_INTERVAL_S
        wait = min(max(MIN_TIMER_S, due - boot_clock()), longest)
        self._timer = self._loop.call_later(wait, self._tick)

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

    def _rollout_changed(self) -> None:
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

    def _transferred(self, event: CommandsReceived | SnapshotReceived) -> None:
        self._handle(event)
        self._perform(self.replica.announce_to_all())

    def _transfer_failed(self, reason: str) -> None:
        self._context.transport.counts["catching up failed"] += 1
        self._logger("fleet: state transfer failed", reason)

    # Messages.

    def answer(self, message: Message) -> StreamedAnswer | None:
        """Return the answer to a message that opens a connection; None where it is not this service's."""
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
            self.lease.granted(now, sender, message)
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
