"""The fleet component of the daemon, which wires up the services of a fleet member and answers operators' calls."""

from __future__ import annotations

import random
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Callable, Mapping, cast

from loadbalancer.admin.calls import Change
from loadbalancer.admin.snapshot import FleetSnapshot
from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem, read_address
from loadbalancer.config.types import FleetTable
from loadbalancer.daemon.components import Component, DaemonContext, ReplicatedOverrideOwner
from loadbalancer.daemon.fleet_interfaces import (
    AnswerCallback,
    JsonObject,
    PrepareConfiguration,
    StreamedAnswer,
)
from loadbalancer.daemon.fleet_keys import KeyFile
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.daemon.recovery import RecoveryService
from loadbalancer.daemon.replication_service import ReplicationContext, ReplicationService
from loadbalancer.daemon.rolling_restart import RollingRestartService
from loadbalancer.daemon.rollout import rollout_status
from loadbalancer.fleet import report
from loadbalancer.fleet.membership.events import Action, Leave, ProcessReplaced
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.fleet_size import FleetSize
from loadbalancer.fleet.settings import PROFILES, Identity, Settings
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message, Sealer

if TYPE_CHECKING:
    from loadbalancer.daemon.storage import Storage

#: Verbs that change the replicated state, beside those of pools: required fields and a one-line description.
REPLICATION_VERBS = {
    "fleet/enrol": (frozenset(("name",)), "make an instance a voter, identified by its present store"),
    "fleet/expel": (frozenset(("name",)), "remove an instance from the voters"),
    "fleet/rollout": (
        frozenset(("path",)),
        "roll out a configuration to all instances in stages; until: how long each stage serves",
    ),
    "fleet/halt": (frozenset(), "halt a roll-out; each instance keeps its present file"),
    "fleet/back": (frozenset(), "roll back a roll-out at all instances"),
    "fleet/recover": (
        frozenset(("roster",)),
        "let a minority continue alone after a majority was lost for good",
    ),
}
#: Verbs that act on instances; available with or without a replicated state.
RESTART_VERBS = {
    "fleet/restart": (
        frozenset[str](),
        "restart all instances in groups, each group in full service before the next",
    )
}
#: Bits of the random number that distinguishes two processes with the same instance name.
BOOT_BITS = 62


class FleetComponent(Component):
    """Makes a daemon with a `[fleet]` table a member of its fleet.

    It owns the fleet transport, whose sockets `end` closes, and the services, which `end` stops.

    Attributes:
        table: The configuration's `[fleet]` table.
        view: The membership view.
        transport: The sockets between instances.
        replication: The replicated state; None in a fleet without voters.
        recovery: The recovery of this instance after a start.
        rolling_restart: Rolling restarts of the fleet.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        table: FleetTable,
        path: Path,
        components: Mapping[str, Component],
        prepare: PrepareConfiguration,
    ) -> None:
        """Open the sockets; nothing is read from them before `serve`.

        Args:
            daemon: The daemon, whose pools and logger are used.
            table: The configuration's `[fleet]` table.
            path: The path of the configuration file; the path of the key file is relative to its folder.
            components: The components that were created before this one, by name.
            prepare: Checks a configuration that is rolled out.

        Raises:
            ConfigError: The keys can't be read.
            OSError: The address can't be bound.
        """
        self.table = table
        self._daemon = daemon
        self._logger = daemon.logger
        self._key_file = KeyFile(path.parent / table.key_file)
        self._inherited = _inherited_snapshot(daemon, table)
        self.view = _make_view(table)
        self._size = FleetSize(table.instances)
        self._instance_count = table.instances
        self.transport = self._open_transport(path)
        peers = FleetPeers(table.name, self.transport, self.view)
        self.replication: ReplicationService | None = None
        if table.voters:
            self.replication = self._make_replication(peers, path, components, prepare)
        has_stored_state = self.replication is not None and self.replication.state.version > 0
        self.recovery = RecoveryService(daemon, peers, self.view, has_stored_state, self._may_act)
        self.rolling_restart = RollingRestartService(
            daemon, peers, self.view, lambda: self.recovery.in_full_service
        )
        self.transport.stream_handler = self._answer

    def _open_transport(self, path: Path) -> FleetTransport:
        try:
            sealer: Sealer = self._key_file.read()
        except ValueError as problem:
            raise ConfigError([Problem(str(path), "fleet.key_file", str(problem))]) from None
        bound = read_address(self.table.bind)
        log_notice: Callable[[str, str], None] = self._logger
        inherited = self._daemon.inherited
        claimed = (
            (None, None) if inherited is None else (inherited.claim_datagrams(bound), inherited.claim(bound))
        )
        boot = self.view.own_state.boot
        return FleetTransport(self.view, self.table.name, boot, sealer, bound, log_notice, claimed)

    def _make_replication(
        self,
        peers: FleetPeers,
        path: Path,
        components: Mapping[str, Component],
        prepare: PrepareConfiguration,
    ) -> ReplicationService:
        storage = cast("Storage | None", components.get("store"))
        return ReplicationService(
            ReplicationContext(
                daemon=self._daemon,
                table=self.table,
                transport=self.transport,
                peers=peers,
                overrides=cast(ReplicatedOverrideOwner, components["control"]).replicated,
                store=storage.store if storage is not None else None,
                path=path,
                prepare=prepare,
            )
        )

    def _may_act(self) -> bool:
        return self.replication is None or self.replication.lease.may_act()

    # Lifecycle.

    def serve(self) -> None:
        """Join the fleet, or resume the predecessor's membership so that other instances see no failure."""
        inherited = self._inherited
        first_actions: list[Action] = []
        if inherited is not None:
            first_actions = self.view.resume(time.monotonic(), inherited.generation, inherited.member_states)
        self.transport.start(first_actions)
        self.recovery.start(inherited is not None)
        if self.replication is not None:
            if inherited is not None:
                self.replication.lease.inherit(inherited.version, inherited.lease_end)
            self.replication.start()

    def reload(self, plan: Plan) -> None:
        """Make all pools check the lease before each send, and record the version in decision traces."""
        replication = self.replication
        if replication is None:
            return
        replication.metadata.update_configuration_digest(plan.path)
        for name, pool in self._daemon.pools.items():
            sticky = plan.pools[name].table.sticky_while_draining
            pool.proxy.permission.guard = replication.send_guard.for_pool(name, sticky)
            pool.proxy.permission.may_act = replication.lease.may_act
            if pool.proxy.trace is not None:
                pool.proxy.trace.version = lambda: replication.state.version

    def poll(self) -> None:
        """Poll the key file, step the recovery, and update the number of instances that limits are divided by."""
        self._reload_changed_keys()
        self.recovery.step()
        now = time.monotonic()
        size = self._size.step(now, self.view.fleet_size, report.is_settled(self.view, now))
        if size.instances != self._instance_count:
            self._instance_count = size.instances
            self._logger("fleet: size estimate changed", size.instances)
        for pool in self._daemon.pools.values():
            pool.set_instance_count(size.instances)

    def _reload_changed_keys(self) -> None:
        """Read the key file if it has changed; keep the previous keys if it can't be read, e.g. while half written."""
        if not self._key_file.has_changed():
            return
        try:
            self.transport.sealer = self._key_file.read()
        except ValueError as problem:
            self._logger("fleet: the new key is not taken", problem)
        else:
            self._logger("fleet: key taken", f"{len(self.transport.sealer.keys)} in force")

    def retire(self) -> None:
        """Stop taking part in the fleet, since a successor does so under this name."""
        self.transport.handle(ProcessReplaced())
        self.transport.pause_reading()

    def end(self) -> None:
        """Stop the services, announce that this instance leaves unless it was replaced, and close the sockets."""
        if self.replication is not None:
            self.replication.end()
        self.recovery.end()
        self.rolling_restart.end()
        self.transport.handle(Leave())
        self.transport.close()

    # Hot restart.

    def sockets(self) -> list[socket.socket]:
        """Return the sockets that are handed over to the successor."""
        return [self.transport.udp, self.transport.tcp]

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return the fleet state that the successor resumes from."""
        generation, member_states = self.view.hand_over()
        replication = self.replication
        if replication is None:
            return FleetSnapshot(self.table.name, generation, member_states)
        version, lease = replication.state.version, replication.lease.expires_at()
        return FleetSnapshot(self.table.name, generation, member_states, version, lease)

    # Other instances and operators.

    def _answer(self, message: Message) -> StreamedAnswer | None:
        """Return the answer to the first message of another instance's connection; None if no service handles it."""
        answer = self.recovery.answer(message) or self.rolling_restart.answer(message)
        if answer is not None or self.replication is None:
            return answer
        return self.replication.answer(message)

    def more_verbs(self) -> Mapping[str, tuple[frozenset[str], str]]:
        """Return the verbs that this component adds, with their required fields and descriptions."""
        return {**REPLICATION_VERBS, **RESTART_VERBS} if self.replication is not None else RESTART_VERBS

    def apply_change(self, change: Change, done: AnswerCallback) -> bool:
        """Apply an operator's change if it concerns the fleet; return whether it does.

        Raises:
            CallError: The change can't be applied.
        """
        if change.verb in RESTART_VERBS:
            self.rolling_restart.begin(change, done)
            return True
        return self.replication is not None and self.replication.commands.submit(change, done)

    def remote_queries(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        """Return the queries that are sent to other instances, by path."""
        return {"fleet/versions": self.replication.report.collect} if self.replication is not None else {}

    def queries(self) -> Mapping[str, Callable[[], Any]]:
        """Return the queries that this instance answers alone, by path."""
        readers: dict[str, Callable[[], Any]] = {
            "fleet/members": self._read_members,
            "fleet/status": self._read_status,
            "fleet/restart": self.rolling_restart.report,
        }
        if self.replication is not None:
            readers["fleet/rollout"] = self._read_rollout
        return readers

    def status_fields(self) -> Mapping[str, Any]:
        """Return the fleet's part of the daemon's status."""
        status = report.status(self.view, time.monotonic())
        fleet: JsonObject = {
            "state": status["state"],
            "settled": status["settled"],
            "digest": status["digest"],
            "living": status["living"],
            "suspected": status["suspected"],
            "dead": status["dead"],
        }
        if self.replication is not None:
            replication = self.replication.report.status()
            fleet["version"] = replication["version"]
            fleet["behind"] = replication["behind"]
            fleet["shut_out"] = replication["shut_out"]
        return {"fleet": fleet}

    def _read_rollout(self) -> JsonObject:
        assert self.replication is not None
        replica = self.replication.replica
        metadata = {**replica.peer_metadata, self.table.name: replica.metadata}
        return rollout_status(self.replication.state.rollout_plan, metadata)

    def _read_members(self) -> list[report.MemberRow]:
        return report.rows(self.view, time.monotonic())

    def _read_status(self) -> JsonObject:
        now = time.monotonic()
        status = report.status(self.view, now)
        size = self._size.step(now, self.view.fleet_size, status["settled"])
        fleet_status: JsonObject = {**status}
        if self.replication is not None:
            fleet_status["agreed"] = self.replication.report.status()
        fleet_status["coming_back"] = self.recovery.report()
        return fleet_status | {
            "counted_with": size.instances,
            "counted_as": size.basis,
            "keys": [f"{number:02x}" for number in self.transport.sealer.keys],
            "wire": dict(sorted(self.transport.counts.items())),
        }


def _inherited_snapshot(daemon: DaemonContext, table: FleetTable) -> FleetSnapshot | None:
    """Return the fleet state that a predecessor of the same name has handed over; None if there is none.

    It is read when the component is created, since the daemon drops its snapshot once the pools have used it.
    """
    snapshot = daemon.inherited_snapshot
    inherited = snapshot.fleet if snapshot is not None else None
    return inherited if inherited is not None and inherited.name == table.name else None


def _make_view(table: FleetTable) -> MembershipView:
    random_source = random.SystemRandom()
    boot = random_source.getrandbits(BOOT_BITS) + 1
    advertised = read_address(table.advertise) if table.advertise else read_address(table.bind)
    identity = Identity(table.name, boot, advertised, table.zone)
    seeds = tuple(read_address(text) for text in table.seeds)
    settings = Settings(seeds, table.instances, PROFILES[table.profile])
    return MembershipView(identity, settings, random_source.getrandbits(60))
