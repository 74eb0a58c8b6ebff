"""Applies the replicated state to this daemon's pools, and records when each version was applied."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Iterator

from loadbalancer.daemon.command_factory import CommandContent
from loadbalancer.daemon.components import ReplicatedOverrideTarget
from loadbalancer.daemon.fleet_interfaces import Clock
from loadbalancer.fleet.replication.actions import CommandApplied
from loadbalancer.fleet.replication.commands import CommandKind, MigrationBody, OverrideBody
from loadbalancer.fleet.replication.epochs import FROM_SNAPSHOT, RESTORED_FROM_STORE, Epoch, describe
from loadbalancer.fleet.replication.replicated_state import (
    ItemKind,
    ReplicatedState,
    TouchedFreeze,
    TouchedItem,
    TouchedMigration,
    TouchedOverride,
    VersionedMigration,
    VersionedOverride,
)

#: How many of the latest versions are kept in the history.
MAX_HISTORY = 64
#: Seconds after which the removal of an expired item is proposed again if the first proposal was not decided.
EXPIRY_RETRY_INTERVAL_S = 10.0


@dataclass(slots=True)
class Expiry:
    """The expiry of an override or a migration."""

    version: int  # the version that set the item; if a later version replaced it, the item stays
    at: float  # on the replica's clock


class AppliedState:
    """Applies the replicated state to the pools.

    Attributes:
        history: The latest versions that were in force here, never empty.
    """

    def __init__(self, state: ReplicatedState, overrides: ReplicatedOverrideTarget, clock: Clock) -> None:
        self._state = state
        self._overrides = overrides
        self._clock = clock
        first = Epoch(state.version, RESTORED_FROM_STORE, "", clock())
        self.history: deque[Epoch] = deque([first], maxlen=MAX_HISTORY)
        self._expiries: dict[TouchedItem, Expiry] = {}

    def apply_all(self) -> None:
        """Apply all overrides, migrations and freezes of the replicated state."""
        for pool, overrides in self._state.overrides.items():
            for endpoint in overrides:
                self._apply(TouchedOverride(ItemKind.OVERRIDE, pool, endpoint))
        for pool in self._state.migrations:
            self._apply(TouchedMigration(ItemKind.MIGRATION, pool))
        for pool in self._state.frozen:
            self._apply(TouchedFreeze(ItemKind.FREEZE, pool))

    def apply_command(self, action: CommandApplied) -> None:
        """Record a command's version in the history and apply the items that it changed."""
        command = action.command
        self.history.append(Epoch(action.version, describe(command), command.by, self._clock()))
        for touched in action.touched:
            self._apply(touched)

    def apply_snapshot(self) -> None:
        """Apply a state that has replaced the previous one, and remove the items that it doesn't contain."""
        self.history.append(Epoch(self._state.version, FROM_SNAPSHOT, "", self._clock()))
        for pool, overrides in list(self._overrides.overrides.items()):
            for endpoint in list(overrides):
                if endpoint not in self._state.overrides.get(pool, {}):
                    self._overrides.set_override(pool, endpoint, None)
        for pool in list(self._overrides.migrations):
            if pool not in self._state.migrations:
                self._overrides.set_migration(pool, None)
        self.apply_all()

    def expire(self, now: float) -> Iterator[CommandContent]:
        """Yield the commands that remove expired items; the first instance to notice an expiry proposes it for all.

        The next retry is scheduled before a command is yielded, so the caller may propose each command at once.
        """
        for touched, expiry in list(self._expiries.items()):
            if now < expiry.at:
                continue
            self._expiries[touched] = Expiry(expiry.version, now + EXPIRY_RETRY_INTERVAL_S)
            match touched:
                case TouchedOverride(pool=pool, endpoint=endpoint):
                    removal = OverrideBody(pool, {endpoint: None}, 0.0, expiry.version)
                    yield CommandContent(CommandKind.MARK, removal)
                case TouchedMigration(pool=pool):
                    yield CommandContent(CommandKind.MOVE, MigrationBody(pool, None, 0.0, expiry.version))

    def _apply(self, touched: TouchedItem) -> None:
        item: VersionedOverride | VersionedMigration | None = None
        match touched:
            case TouchedOverride(pool=pool, endpoint=endpoint):
                override = self._state.overrides.get(pool, {}).get(endpoint)
                self._overrides.set_override(pool, endpoint, override.override if override else None)
                item = override
            case TouchedMigration(pool=pool):
                migration = self._state.migrations.get(pool)
                self._overrides.set_migration(pool, migration.migration if migration else None)
                item = migration
            case TouchedFreeze(pool=pool):
                self._overrides.set_frozen(pool, pool in self._state.frozen)
        if item is not None and item.duration:
            self._expiries[touched] = Expiry(item.version, self._clock() + item.duration)
        else:
            self._expiries.pop(touched, None)
