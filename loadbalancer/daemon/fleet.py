"""The fleet as a part of the daemon: its key, its sockets, what passes at an upgrade, and whom its numbers are for."""

from __future__ import annotations

import random
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Callable, Iterator, Mapping, cast

from loadbalancer.admin.calls import Change
from loadbalancer.admin.snapshot import FleetSnapshot
from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem, read_address
from loadbalancer.config.types import FleetTable
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.daemon.fleet_interfaces import OverrideTarget
from loadbalancer.daemon.fleet_peers import FleetPeers
from loadbalancer.daemon.recovery import RecoveryService
from loadbalancer.daemon.replication_service import ReplicationService
from loadbalancer.daemon.rolling_restart import RollingRestartService
from loadbalancer.daemon.rollout import rollout_status
from loadbalancer.fleet import report
from loadbalancer.fleet.membership.events import Action, Leave, ProcessReplaced
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.orchestration.fleet_size import FleetSize
from loadbalancer.fleet.settings import PROFILES, Identity, Settings
from loadbalancer.fleet.transport import FleetTransport
from loadbalancer.fleet.wire import Message, Sealer, read_keys
from loadbalancer.tls.files import read, stamps
from loadbalancer.tls.pairs import PairError

if TYPE_CHECKING:
    from loadbalancer.daemon.storage import Storage

#: What operators say of the roster, beside what they say of pools.
VERBS = {
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
#: What they say of instances, with a state of the fleet or without.
RESTART = {
    "fleet/restart": (
        frozenset[str](),
        "all instances, each group in full service before the next",
    )
}
#: How often the key's file is looked at, in seconds.
KEY_LOOK_S = 1.0


def read_sealer(path: Path) -> Sealer:
    """ValueError says what is wrong with the key's file."""
    try:
        return Sealer(read_keys(read(path, private=True).decode("ascii")))
    except PairError as problem:
        raise ValueError(str(problem.problems[0])) from None
    except UnicodeDecodeError:
        raise ValueError(f"{path}: keys are hexadecimal digits") from None


class FleetComponent(Component):
    """One for a daemon with `[fleet]`. It owns the link; `end` gives its sockets back."""

    def __init__(
        self, daemon: DaemonContext, table: FleetTable, path: Path, made: Mapping[str, Component]
    ) -> None:
        """ConfigError where the key or the address can't be had."""
        self.daemon, self.table, self.logger = daemon, table, daemon.logger
        self._key_path = path.parent / table.key_file
        self._key_stamp = stamps([self._key_path])
        self._key_at = time.monotonic()
        source = random.SystemRandom()
        boot = source.getrandbits(62) + 1
        bound = read_address(table.bind)
        advertised = read_address(table.advertise) if table.advertise else bound
        identity = Identity(table.name, boot, advertised, table.zone)
        seeds = tuple(read_address(text) for text in table.seeds)
        settings = Settings(seeds, table.instances, PROFILES[table.profile])
        self.view = MembershipView(identity, settings, source.getrandbits(60))
        self.share = FleetSize(table.instances)
        self._counted = table.instances
        # Of the process before; the daemon forgets it once its pools have what they can use.
        self._place = daemon.learnt.fleet if daemon.learnt is not None else None
        if self._place is not None and self._place.name != table.name:
            self._place = None
        try:
            sealer = read_sealer(self._key_path)
        except ValueError as problem:
            raise ConfigError([Problem(str(path), "fleet.key_file", str(problem))]) from None
        note: Callable[[str, str], None] = self.logger
        taken = daemon.taken
        claimed = (None, None) if taken is None else (taken.claim_datagrams(bound), taken.claim(bound))
        self.link = FleetTransport(self.view, table.name, boot, sealer, bound, note, claimed)
        self.agreed: ReplicationService | None = None
        if table.voters:
            storage = cast("Storage | None", made.get("store"))
            store = storage.store if storage is not None else None
            peers = FleetPeers(table.name, self.link, self.view)
            overrides = cast(OverrideTarget, made["control"])
            self.agreed = ReplicationService(daemon, table, self.link, peers, overrides, store, path)
        kept = self.agreed is not None and self.agreed.state.version > 0
        may_act = self.agreed.lease.may_act if self.agreed is not None else lambda: True
        self.returning = RecoveryService(daemon, table.name, self.link, self.view, kept, may_act)
        self.restarting = RollingRestartService(daemon, table.name, self.link, self.view, self.returning)
        self.link.streams = self._answer

    def serve(self) -> None:
        """Take part from now on. Of a place that was taken over, nobody sees a death."""
        place = self._place
        first: list[Action] = []
        if place is not None:
            first = self.view.resume(time.monotonic(), place.life, place.facts)
        self.link.start(first)
        self.returning.start(place is not None)
        if self.agreed is not None:
            if place is not None:
                self.agreed.lease.inherit(place.version, place.lease)
            self.agreed.start()

    def _answer(self, message: Message) -> Iterator[tuple[Message, float]] | None:
        """What a stream of another instance gets that begins so."""
        found = self.returning.answer(message) or self.restarting.answer(message)
        return found if found is not None or self.agreed is None else self.agreed.answer(message)

    def reload(self, plan: Plan) -> None:
        """Pools ask the fence ahead of each send, and give the version to whoever asks why."""
        agreed = self.agreed
        if agreed is None:
            return
        agreed.configured(plan.path)
        for name, pool in self.daemon.pools.items():
            stays = plan.pools[name].table.sticky_while_draining
            pool.proxy.backends.barred = agreed.send_guard.for_pool(name, stays)
            pool.proxy.fence = agreed.lease.may_act
            if pool.proxy.trace is not None:
                pool.proxy.trace.version = lambda: agreed.state.version

    def more_verbs(self) -> Mapping[str, tuple[frozenset[str], str]]:
        return {**VERBS, **RESTART} if self.agreed is not None else RESTART

    def take_change(self, change: Change, done: Callable[[Any], None]) -> bool:
        if change.verb in RESTART:
            self.restarting.begin(change, done)
            return True
        return self.agreed is not None and self.agreed.commands.submit(change, done)

    def asks(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        return {"fleet/versions": self.agreed.report.collect} if self.agreed is not None else {}

    def note(self) -> FleetSnapshot:
        """What a successor goes on from."""
        life, facts = self.view.hand_over()
        agreed = self.agreed
        if agreed is None:
            return FleetSnapshot(self.table.name, life, facts)
        return FleetSnapshot(self.table.name, life, facts, agreed.state.version, agreed.lease.expires_at())

    def look(self) -> None:
        self._look_at_key()
        self.returning.look()
        now = time.monotonic()
        count = self.share.step(now, self.view.fleet_size, report.is_settled(self.view, now))
        if count.instances != self._counted:
            self._counted = count.instances
            self.logger("fleet: instances counted with", count.instances)
        for pool in self.daemon.pools.values():
            pool.count_instances(count.instances)

    def _look_at_key(self) -> None:
        """Guards against a new key that is half written: what was read last stays in force."""
        now = time.monotonic()
        if now - self._key_at < KEY_LOOK_S:
            return
        self._key_at = now
        stamp = stamps([self._key_path])
        if stamp == self._key_stamp:
            return
        self._key_stamp = stamp
        try:
            self.link.sealer = read_sealer(self._key_path)
        except ValueError as problem:
            self.logger("fleet: the new key is not taken", problem)
        else:
            self.logger("fleet: key taken", f"{len(self.link.sealer.keys)} in force")

    def retire(self) -> None:
        """The successor has the place."""
        self.link.hand(ProcessReplaced())
        self.link.pause_reading()

    def sockets(self) -> list[socket.socket]:
        return [self.link.udp, self.link.tcp]

    def figures(self) -> Mapping[str, Any]:
        found = report.status(self.view, time.monotonic())
        keys = ("state", "settled", "digest", "living", "suspected", "dead")
        box = {key: found[key] for key in keys}
        if self.agreed is not None:
            standing = self.agreed.report.status()
            box["version"] = standing["version"]
            box["behind"] = standing["behind"]
            box["shut_out"] = standing["shut_out"]
        return {"fleet": box}

    def reads(self) -> Mapping[str, Callable[[], Any]]:
        found: dict[str, Callable[[], Any]] = {
            "fleet/members": self._read_members,
            "fleet/status": self._read_status,
            "fleet/restart": self.restarting.report,
        }
        if self.agreed is not None:
            found["fleet/rollout"] = self._read_rollout
        return found

    def _read_rollout(self) -> dict[str, Any]:
        agreed = self.agreed
        assert agreed is not None
        return rollout_status(
            agreed.state.rollout_plan,
            {**agreed.replica.peer_metadata, self.table.name: agreed.replica.metadata},
        )

    def _read_members(self) -> list[dict[str, Any]]:
        return report.rows(self.view, time.monotonic())

    def _read_status(self) -> dict[str, Any]:
        now = time.monotonic()
        found = report.status(self.view, now)
        count = self.share.step(now, self.view.fleet_size, bool(found["settled"]))
        if self.agreed is not None:
            found["agreed"] = self.agreed.report.status()
        found["coming_back"] = self.returning.report()
        return found | {
            "counted_with": count.instances,
            "counted_as": count.standing,
            "keys": [f"{number:02x}" for number in self.link.sealer.keys],
            "wire": dict(sorted(self.link.counts.items())),
        }

    def end(self) -> None:
        """Leave politely, unless the place has passed on."""
        if self.agreed is not None:
            self.agreed.end()
        self.returning.end()
        self.restarting.end()
        self.link.hand(Leave())
        self.link.close()
