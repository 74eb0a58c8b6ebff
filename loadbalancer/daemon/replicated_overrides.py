"""Applies the overrides and migrations of the fleet's replicated state to one daemon, and plans requested changes."""

from __future__ import annotations

import time

from loadbalancer.admin.calls import Change
from loadbalancer.daemon.admin_notifications import PredecessorNotifier
from loadbalancer.daemon.admin_rows import endpoint_row
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.persisted_overrides import PersistedOverrides
from loadbalancer.daemon.requested_state import requested_migration, requested_override
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration, Migrations


class ReplicatedOverrides:
    """Implements `components.ReplicatedOverrideTarget`, to which decided commands are applied."""

    def __init__(
        self,
        daemon: DaemonContext,
        state: AdminState,
        persisted: PersistedOverrides,
        predecessor: PredecessorNotifier,
    ) -> None:
        self._daemon = daemon
        self._state = state
        self._persisted = persisted
        self._predecessor = predecessor

    @property
    def overrides(self) -> dict[str, dict[str, AdminOverride]]:
        """Overrides in force by pool and endpoint."""
        return self._state.overrides

    @property
    def migrations(self) -> dict[str, Migrations]:
        """Migrations by pool."""
        return self._state.migrations

    def planned_overrides(self, change: Change) -> dict[str, AdminOverride | None]:
        """Return the overrides that would result from a change, by endpoint; None for no override."""
        before = self._state.overrides.get(change.request.pool or "", {})
        planned = {
            endpoint: requested_override(change, before.get(endpoint), time.time(), 0.0)
            for endpoint in change.endpoints
        }
        return {endpoint: None if override.is_empty() else override for endpoint, override in planned.items()}

    def planned_migration(self, change: Change) -> Migration | None:
        """Return the migration that would result from a change; its duration starts when the change is decided."""
        return requested_migration(change, time.time(), 0.0)

    def set_override(self, name: str, endpoint: str, override: AdminOverride | None) -> None:
        """Apply an override, also for a pool that doesn't exist now; None removes it."""
        pool = self._daemon.pools.get(name)
        overrides = self._state.pool_overrides(name)
        if pool is not None:
            self._state.apply_override(name, pool, endpoint, override or AdminOverride())
        elif override is None:
            overrides.pop(endpoint, None)
        else:
            overrides[endpoint] = override
        self._predecessor.notify(name, endpoint, override)

    def set_migration(self, pool: str, migration: Migration | None) -> None:
        """Apply a migration; None removes it."""
        self._state.set_migration(pool, migration)

    def set_frozen(self, name: str, frozen: bool) -> None:
        """Freeze a pool's endpoint list, or let it follow its source again."""
        pool = self._daemon.pools.get(name)
        if pool is not None:
            pool.overlay.freeze(frozen)

    def describe(self, change: Change) -> dict[str, object]:
        """Return the current state of the endpoints of a change, for the answer to it."""
        name = change.request.pool or ""
        pool = self._daemon.pools.get(name)
        kept = self._persisted.is_configured
        if pool is None or not change.endpoints:
            return {"kept": kept}
        return {
            "members": [endpoint_row(name, pool, endpoint) for endpoint in change.endpoints],
            "kept": kept,
        }
