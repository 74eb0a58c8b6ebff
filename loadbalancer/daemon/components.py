"""Interfaces between a daemon and its components: the store, administration, plug-ins, TLS keys and the fleet.

The daemon uses components through `Component` only, and a component uses the daemon through `DaemonContext` only.
The protocols that components use among each other are defined here too, so that their modules need not import each
other.

Life cycle of a component: it is created when a configuration that includes it is applied (`component_factory.py`);
`begin` is called when everything else of that configuration has been created; `serve` when this process is the one that
serves; `poll` a few times a second; `reload` with each further configuration that keeps the component; `retire` when
another process serves in place of this one; and `end` once, at the end.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Callable, Mapping, Protocol

from loadbalancer.admin.calls import Change, ChangeDone, Verbs
from loadbalancer.config.plan import Plan
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.frontends.listener import Listener
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.traffic_migration import Migration

if TYPE_CHECKING:  # imported at run time only for a hot restart
    from loadbalancer.admin.snapshot import FleetSnapshot, Snapshot
    from loadbalancer.daemon.hot_restart.takeover import InheritedState


class Component:
    """Base class of components. Its hooks do nothing; a component overrides those that it needs."""

    def begin(self) -> None:
        """Open the sockets, files and other resources of the component.

        Raises:
            OSError, ConfigError: They can't be opened; the component then owns none.
        """

    def serve(self) -> None:
        """Start serving: this process is the only one, or has taken over from the previous one."""

    def reload(self, plan: Plan) -> None:
        """Switch to a new configuration that keeps this component. Must not fail.

        At this time the pools of the new configuration are running, its routes are not in force yet.
        """

    def poll(self) -> None:
        """Do periodic work; called a few times a second."""

    def retire(self) -> None:
        """Finish the work in progress and start none: another process has taken over."""

    def sockets(self) -> list[socket.socket]:
        """Return the sockets to pass to a process that takes over."""
        return []

    def status_fields(self) -> Mapping[str, Any]:
        """Return the component's entries in the response to `status`, by key."""
        return {}

    def queries(self) -> Mapping[str, Callable[[], Any]]:
        """Return the functions that answer operators' queries, by the path of the call."""
        return {}

    def remote_queries(self) -> Mapping[str, Callable[[Callable[[Any], None]], None]]:
        """Return the functions for queries that other instances answer, by path; each receives a result callback."""
        return {}

    def more_verbs(self) -> Verbs:
        """Return the additional verbs for changes, each with its required fields and a one-line description."""
        return {}

    def apply_change(self, change: Change, done: ChangeDone) -> bool:  # noqa: ARG002
        """Apply a change if this component is responsible for it.

        Args:
            change: The change, whose form has been checked.
            done: Called once, later, with the resulting state.

        Returns:
            Whether the component is responsible; if not, the change is handled elsewhere.

        Raises:
            CallError: The component is responsible, and the change can't be applied.
        """
        return False

    def end(self) -> None:
        """Release everything that the component owns."""


class DaemonContext(Protocol):
    """The part of the daemon's interface that components use.

    Attributes:
        account: The memory that peers make the process hold.
        logger: The daemon's log.
        plan: The configuration in force; None before the first one is applied.
        components: Running components by name.
        inherited: Sockets inherited from the previous daemon at a hot restart, until this one serves.
        inherited_snapshot: The previous daemon's endpoint state, until it is restored or too old.
    """

    account: MemoryAccount
    logger: RateLimitedLogger
    plan: Plan | None
    components: dict[str, Component]
    inherited: InheritedState | None
    inherited_snapshot: Snapshot | None

    @property
    def pools(self) -> Mapping[str, RunningPool]:
        """Return the running pools by name."""

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """Return the running listeners by name."""

    @property
    def reloads(self) -> int:
        """Return the number of reloads since the start whose configuration was applied."""

    @property
    def retiring(self) -> int:
        """Return the number of pools and listeners that a reload removed and that are not closed yet."""

    @property
    def reloading(self) -> bool:
        """Return whether a reload is in progress."""

    def reload(self) -> None:
        """Reload the configuration file. A call during a reload queues one more reload after it."""

    def retarget(self) -> None:
        """Recompute the targets of all routes from the current migrations."""

    def sockets(self) -> list[socket.socket]:
        """Return the listening sockets, which are passed to a process that takes over."""


class FleetSnapshotSource(Protocol):
    """A component that holds this instance's fleet membership."""

    def fleet_snapshot(self) -> FleetSnapshot:
        """Return the fleet state from which a successor continues."""


class ReplicatedOverrideTarget(Protocol):
    """Applies the overrides and migrations of a fleet's replicated state to one daemon."""

    @property
    def overrides(self) -> Mapping[str, Mapping[str, AdminOverride]]:
        """Return the overrides in force by pool and endpoint."""

    @property
    def migrations(self) -> Mapping[str, object]:
        """Return the migrations by pool; pools that never had one are missing."""

    def planned_overrides(self, change: Change) -> dict[str, AdminOverride | None]:
        """Return the overrides that would result from a change, by endpoint; None for no override."""

    def planned_migration(self, change: Change) -> Migration | None:
        """Return the migration that would result from a change; None for no migration."""

    def set_override(self, name: str, endpoint: str, override: AdminOverride | None) -> None:
        """Put an override in force, even for a pool that is not running; None ends it."""

    def set_migration(self, pool: str, migration: Migration | None) -> None:
        """Put a migration in force; None ends it."""

    def set_frozen(self, name: str, frozen: bool) -> None:
        """Freeze a pool's endpoint list, or let it follow its source again."""

    def describe(self, change: Change) -> dict[str, Any]:
        """Return the current state of the endpoints of a change, as the response to it."""


class ReplicatedOverrideOwner(Protocol):
    """A component that provides a `ReplicatedOverrideTarget`."""

    @property
    def replicated(self) -> ReplicatedOverrideTarget:
        """Return the target for the replicated state."""
