"""The fleet as a component of the daemon: composes the services of a fleet member, and answers operators for them."""

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

#: Operators' changes of the replicated state, beside those of pools: wanted fields, and a line about each.
REPLICATION_VERBS = {
    "fleet/enrol": (frozenset(("name",)), "an instance votes from now on, by the store that it has"),
    "fleet/expel": (frozenset(("name",)), "an instance votes no more"),
    "fleet/rollout": (
        frozenset(("path",)),
        "a configuration for all, in steps; until: how long each step serves",
    ),
    "fleet/halt": (frozenset(), "a roll-out stays as it is"),
    "fleet/back": (frozenset(), "a roll-out is taken back"),
    "fleet/recover": (frozenset(("roster",)), "a minority goes on alone, after a majority was lost for good"),
}
#: Their changes of instances, with a replicated state or without.
RESTART_VERBS = {
    "fleet/restart": (
        frozenset[str](),
        "all instances, each group in full service before the next",
    )
}
#: Bits of the number by which two processes under one name are told apart.
BOOT_BITS = 62


class FleetComponent(Component):
    """One for a daemon with `[fleet]`.

    It owns the fleet transport, whose sockets `end` closes, and the services, which `end` ends.

    Attributes:
        table: the configuration.
        view: the membership view.
        transport: the sockets between instances.
        replication: the replicated state, None in a fleet without voters.
        recovery: how this instance comes back after a restart.
        rolling_restart: restarts of the fleet.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        table: FleetTable,
        path: Path,
        made: Mapping[str, Component],
        prepare: PrepareConfiguration,
    ) -> None:
        """Open the sockets; nothing is read of them before `serve`.

        Args:
            daemon: whose pools and log are used.
            table: the configuration.
            path: of the configuration's file, beside which the key file is.
            made: the components that were made before this one, by their names.
            prepare: checks a configuration that is rolled out.

        Raises:
            ConfigError: the keys can't be read.
            OSError: the address can't be bound.
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
            self.replication = self._make_replication(peers, path, made, prepare)
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
        self, peers: FleetPeers, path: Path, made: Mapping[str, Component], prepare: PrepareConfiguration
    ) -> ReplicationService:
        storage = cast("Storage | None", made.get("store"))
        return ReplicationService(
            ReplicationContext(
                daemon=self._daemon,
                table=self.table,
                transport=self.transport,
                peers=peers,
                overrides=cast(ReplicatedOverrideOwner, made["control"]).replicated,
                store=storage.store if storage is not None else None,
                path=path,
                prepare=prepare,
            )
        )

    def _may_act(self) -> bool:
        return self.replication is None or self.replication.lease.may_act()

    # Lifecycle.

    def serve(self) -> None:
        """Take part from now on; where this process has replaced another one, no instance sees a death."""
        inherited = self._inherited
        first: list[Action] = []
        if inherited is not None:
            first = self.view.resume(time.monotonic(), inherited.generation, inherited.member_states)
        self.transport.start(first)
        self.recovery.start(inherited is not None)
        if self.replication is not None:
            if inherited is not None:
                self.replication.lease.inherit(inherited.version, inherited.lease_end)
            self.replication.start()

    def reload(self, plan: Plan) -> None:
        """Have all pools ask the lease before each send, and note the version in decision traces."""
        replication = self.replication
        if replication is None:
            return
        replication.metadata.configured(plan.path)
        for name, pool in self._daemon.pools.items():
            sticky = plan.pools[name].table.sticky_while_draining
            pool.proxy.upstreams.send_guard = replication.send_guard.for_pool(name, sticky)
            pool.proxy.may_act = replication.lease.may_act
            if pool.proxy.trace is not None:
                pool.proxy.trace.version = lambda: replication.state.version

    def poll(self) -> None:
        """Look at the keys, the recovery, and the number of instances that limits are divided by."""
        self._look_at_keys()
        self.recovery.step()
        now = time.monotonic()
        size = self._size.step(now, self.view.fleet_size, report.is_settled(self.view, now))
        if size.instances != self._instance_count:
            self._instance_count = size.instances
            self._logger("fleet: size estimate changed", size.instances)
        for pool in self._daemon.pools.values():
            pool.set_instance_count(size.instances)

    def _look_at_keys(self) -> None:
        """Read changed keys. A file that is half written can't be read, and the keys before stay in force."""
        if not self._key_file.has_changed():
            return
        try:
            self.transport.sealer = self._key_file.read()
        except ValueError as problem:
            self._logger("fleet: the new key is not taken", problem)
        else:
            self._logger("fleet: key taken", f"{len(self.transport.sealer.keys)} in force")

    def retire(self) -> None:
        """Stop taking part: another process does so under this name."""
        self.transport.handle(ProcessReplaced())
        self.transport.pause_reading()

    def end(self) -> None:
        """End the services, tell others that this instance leaves unless it was replaced, and close the sockets."""
        if self.replication is not None:
            self.replication.end()
        self.recovery.end()
        self.rolling_restart.end()
        self.transport.handle(Leave())
        self.transport.close()

    # Hot restart.

    def sockets(self) -> list[socket.socket]:
        """Return the sockets that pass to the next process."""
        return [self.transport.udp, self.transport.tcp]

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return what the next process goes on from."""
        life, facts = self.view.hand_over()
        replication = self.replication
        if replication is None:
            return FleetSnapshot(self.table.name, life, facts)
        version, lease = replication.state.version, replication.lease.expires_at()
        return FleetSnapshot(self.table.name, life, facts, version, lease)

    # Other instances and operators.

    def _answer(self, message: Message) -> StreamedAnswer | None:
        """Return the answer to a connection of another instance that begins with this message."""
        found = self.recovery.answer(message) or self.rolling_restart.answer(message)
        if found is not None or self.replication is None:
            return found
        return self.replication.answer(message)

    def more_verbs(self) -> Mapping[str, tuple[frozenset[str], str]]:
        """Return the changes that this component takes beside those of pools."""
        return {**REPLICATION_VERBS, **RESTART_VERBS} if self.replication is not None else RESTART_VERBS

    def apply_change(self, change: Change, done: AnswerCallback) -> bool:
        """Take an operator's change; return whether it is one of the fleet.

        Raises:
            CallError: it can't be done.
        """
        if change.verb in RESTART_VERBS:
            self.rolling_restart.begin(change, done)
            return True
        return self.replication is not None and self.replication.commands.submit(change, done)

    def remote_queries(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        """Return the reads that other instances have to be asked for."""
        return {"fleet/versions": self.replication.report.collect} if self.replication is not None else {}

    def queries(self) -> Mapping[str, Callable[[], Any]]:
        """Return the reads that this instance answers alone."""
        found: dict[str, Callable[[], Any]] = {
            "fleet/members": self._read_members,
            "fleet/status": self._read_status,
            "fleet/restart": self.rolling_restart.report,
        }
        if self.replication is not None:
            found["fleet/rollout"] = self._read_rollout
        return found

    def status_fields(self) -> Mapping[str, Any]:
        """Return what the daemon's status shows of the fleet."""
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
        found: JsonObject = {**status}
        if self.replication is not None:
            found["agreed"] = self.replication.report.status()
        found["coming_back"] = self.recovery.report()
        return found | {
            "counted_with": size.instances,
            "counted_as": size.basis,
            "keys": [f"{number:02x}" for number in self.transport.sealer.keys],
            "wire": dict(sorted(self.transport.counts.items())),
        }


def _inherited_snapshot(daemon: DaemonContext, table: FleetTable) -> FleetSnapshot | None:
    """Return what the process before has passed on under this name.

    It is read at once, since the daemon forgets it when its pools have what they can use.
    """
    snapshot = daemon.inherited_snapshot
    inherited = snapshot.fleet if snapshot is not None else None
    return inherited if inherited is not None and inherited.name == table.name else None


def _make_view(table: FleetTable) -> MembershipView:
    source = random.SystemRandom()
    boot = source.getrandbits(BOOT_BITS) + 1
    advertised = read_address(table.advertise) if table.advertise else read_address(table.bind)
    identity = Identity(table.name, boot, advertised, table.zone)
    seeds = tuple(read_address(text) for text in table.seeds)
    settings = Settings(seeds, table.instances, PROFILES[table.profile])
    return MembershipView(identity, settings, source.getrandbits(60))
