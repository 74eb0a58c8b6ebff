"""Brings the replicated state into force at this daemon's pools, and notes which version was in force when."""

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

#: Versions of which it is noted when they were applied here.
MAX_HISTORY = 64
#: Seconds after which the end of an override is proposed again, if the first proposal comes to nothing.
EXPIRY_RETRY_INTERVAL_S = 10.0


@dataclass(slots=True)
class Expiry:
    """When an override or a migration ends."""

    version: int  # of the command that made it: a later one is not touched
    at: float  # on the clock of the replica


class AppliedState:
    """Applies the replicated state to the pools.

    Attributes:
        history: the last versions that were in force here, never empty.
    """

    def __init__(self, state: ReplicatedState, overrides: ReplicatedOverrideTarget, clock: Clock) -> None:
        self._state = state
        self._overrides = overrides
        self._clock = clock
        first = Epoch(state.version, RESTORED_FROM_STORE, "", clock())
        self.history: deque[Epoch] = deque([first], maxlen=MAX_HISTORY)
        self._expiries: dict[TouchedItem, Expiry] = {}

    def apply_all(self) -> None:
        """Bring all that stands into force."""
        for pool, overrides in self._state.overrides.items():
            for endpoint in overrides:
                self._apply(TouchedOverride(ItemKind.OVERRIDE, pool, endpoint))
        for pool in self._state.migrations:
            self._apply(TouchedMigration(ItemKind.MIGRATION, pool))
        for pool in self._state.frozen:
            self._apply(TouchedFreeze(ItemKind.FREEZE, pool))

    def apply_command(self, action: CommandApplied) -> None:
        """Bring into force what a command has touched."""
        command = action.command
        self.history.append(Epoch(action.version, describe(command), command.by, self._clock()))
        for touched in action.touched:
            self._apply(touched)

    def apply_snapshot(self) -> None:
        """Bring a state into force that replaces another one, and lift what it does not have."""
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
        """Return commands that end what is over; the first instance to see it proposes it for all.

        What a command ends is noted before it is returned, so the caller may propose each at once.
        """
        for touched, expiry in list(self._expiries.items()):
            if now < expiry.at:
                continue
            self._expiries[touched] = Expiry(expiry.version, now + EXPIRY_RETRY_INTERVAL_S)
            match touched:
                case TouchedOverride(pool=pool, endpoint=endpoint):
                    lifted = OverrideBody(pool, {endpoint: None}, 0.0, expiry.version)
                    yield CommandContent(CommandKind.MARK, lifted)
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
