"""What a daemon runs beside its listeners and pools: the store, administration, plug-ins, TLS keys, the fleet.

The daemon knows components by this interface only, and a component knows of the daemon what `DaemonContext` says.
Protocols by which components know each other stand here too, so that their modules need not import each other.

Life of a component: it is made when a configuration that wants it is applied (`component_factory.py`); `begin` once all
else of that configuration could be had; `serve` once this process is the one that answers; `look` a few times a second;
`reload` with each further configuration that keeps it; `retire` when another process answers in this one's place; `end`
once.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Callable, Mapping, Protocol

from loadbalancer.admin.calls import Change, ChangeDone, Verbs
from loadbalancer.config.plan import Plan
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.frontends.listener import Listener
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.traffic_migration import Migration

if TYPE_CHECKING:  # loaded where one daemon takes over from another
    from loadbalancer.admin.snapshot import FleetSnapshot, Snapshot
    from loadbalancer.daemon.hot_restart.takeover import InheritedState


class Component:
    """Does nothing at each of these times; a component overrides those that it needs."""

    def begin(self) -> None:
        """Open what it owns.

        Raises:
            OSError, ConfigError: That can't be; it owns nothing then.
        """

    def serve(self) -> None:
        """This process answers from now on, alone or in the place of the one before."""

    def reload(self, plan: Plan) -> None:
        """Take another configuration, which keeps this component. May not fail.

        The configuration's pools are there already, its routes are not.
        """

    def look(self) -> None:
        """Called a few times a second."""

    def retire(self) -> None:
        """Another process answers from now on; this one ends what it holds."""

    def sockets(self) -> list[socket.socket]:
        """Sockets that pass to a process that takes over."""
        return []

    def figures(self) -> Mapping[str, Any]:
        """What it adds to the answer of `status`, by key."""
        return {}

    def reads(self) -> Mapping[str, Callable[[], Any]]:
        """What operators can read of it, by the path of the call."""
        return {}

    def asks(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        """What operators can read that other instances answer, by path; each gets a callback for the answer."""
        return {}

    def more_verbs(self) -> Verbs:
        """Changes that operators can ask of it, by verb: the fields that each requires, and what it does in a line."""
        return {}

    def take_change(self, change: Change, done: ChangeDone) -> bool:  # noqa: ARG002
        """Apply a change if it concerns this component.

        Args:
            change: The change, whose form has been checked.
            done: Called once, later, with what is now true.

        Returns:
            Whether it does; the change goes to others if not.

        Raises:
            CallError: It does, and can't be applied.
        """
        return False

    def end(self) -> None:
        """Release all that it owns."""


class DaemonContext(Protocol):
    """The daemon, as its components see it.

    Attributes:
        logger: The daemon's log.
        plan: The configuration in force; None before the first.
        components: Running components by name.
        inherited: Sockets of the daemon before this one, until this one serves.
        inherited_snapshot: What that daemon knew of endpoints, until it is used or too old.
    """

    logger: RateLimitedLogger
    plan: Plan | None
    components: dict[str, Component]
    inherited: InheritedState | None
    inherited_snapshot: Snapshot | None

    @property
    def pools(self) -> Mapping[str, RunningPool]:
        """Running pools by name."""

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """Running listeners by name."""

    @property
    def reloads(self) -> int:
        """Configurations that were reloaded since the start."""

    @property
    def retiring(self) -> int:
        """Pools and listeners that a reload took out, and that are not closed yet."""

    @property
    def reloading(self) -> bool:
        """Whether the configuration is being reloaded."""

    def reload(self) -> None:
        """Reload the configuration's file. A call while a reload is under way has another one follow it."""

    def retarget(self) -> None:
        """Route by the migrations as they are now."""

    def sockets(self) -> list[socket.socket]:
        """Sockets that listen now, and pass to a process that takes over."""


class FleetSnapshotSource(Protocol):
    """A component that knows this instance's place in the fleet."""

    def note(self) -> FleetSnapshot:
        """What a successor goes on from."""


class ReplicatedOverrideTarget(Protocol):
    """Where a fleet's replicated state puts overrides and migrations in force at one daemon."""

    @property
    def overrides(self) -> Mapping[str, Mapping[str, AdminOverride]]:
        """Overrides in force by pool and endpoint."""

    @property
    def migrations(self) -> Mapping[str, object]:
        """Migrations by pool, of those of which a part was ever migrated."""

    def planned_overrides(self, change: Change) -> dict[str, AdminOverride | None]:
        """The overrides that a change would leave, by endpoint; None for no override."""

    def planned_migration(self, change: Change) -> Migration | None:
        """The migration that a change would leave."""

    def set_override(self, name: str, endpoint: str, override: AdminOverride | None) -> None:
        """Put an override in force, also of a pool that is not there; None ends it."""

    def set_migration(self, pool: str, migration: Migration | None) -> None:
        """Put a migration in force; None ends it."""

    def set_frozen(self, name: str, frozen: bool) -> None:
        """Let a pool follow its source, or not."""

    def describe(self, change: Change) -> dict[str, Any]:
        """What is now true of the endpoints of a change, as the answer to it."""


class ReplicatedOverrideOwner(Protocol):
    """A component that has such a target."""

    @property
    def replicated(self) -> ReplicatedOverrideTarget:
        """The target."""
