"""Administrative overrides and traffic migrations that are in force at this daemon."""

from __future__ import annotations

import time
from typing import Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.persisted_overrides import PersistedOverrides
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration, Migrations


class AdminState:
    """Holds operators' overrides and migrations, including those of pools that no current configuration names.

    Attributes:
        overrides: Overrides by pool and endpoint.
        migrations: Migrations by pool, for each pool that has ever had one.
    """

    def __init__(self, daemon: DaemonContext, persisted: PersistedOverrides) -> None:
        self.overrides: dict[str, dict[str, AdminOverride]] = {}
        self.migrations: dict[str, Migrations] = {}
        self._daemon = daemon
        self._logger = daemon.logger
        self._persisted = persisted
        self._deduplication_window_s = 0.0  # the longest window of any class

    def restore(
        self, overrides: Mapping[str, Mapping[str, AdminOverride]], migrations: Mapping[str, Migration]
    ) -> None:
        """Restore overrides and migrations from the store or the predecessor; called before pools are created."""
        self.overrides = {pool: dict(by_endpoint) for pool, by_endpoint in overrides.items()}
        for pool, migration in migrations.items():
            self.migrations[pool] = Migrations(self._deduplication_window_s)
            self.migrations[pool].resume(migration)

    def reload(self, plan: Plan) -> None:
        """Apply the deduplication windows of a configuration; called before its routes are created."""
        self._deduplication_window_s = max(cls.deduplication_window for cls in plan.classes)
        for pool, migrations in self.migrations.items():
            migrations.window = max(migrations.window, self._deduplication_window_s)
            migration = migrations.current
            if pool in plan.pools and migration is not None and migration.other not in plan.pools:
                self._logger(
                    "a move waits",
                    f"its target pool {migration.other!r} is not configured; all traffic of {pool} stays in {pool}",
                )

    def migration(self, pool: str) -> Migration | None:
        """Return the migration of a pool that is in force, or None."""
        return self.migrations[pool].current if pool in self.migrations else None

    def set_migration(self, pool: str, migration: Migration | None) -> None:
        """Apply a pool's migration; None removes it."""
        migrations = self.migrations.setdefault(pool, Migrations(self._deduplication_window_s))
        migrations.set_migration(migration, time.time())
        self._daemon.retarget()

    def pool_overrides(self, pool: str) -> dict[str, AdminOverride]:
        """Return the overrides of a pool by endpoint; callers may change the dictionary in place."""
        return self.overrides.setdefault(pool, {})

    def apply_override(self, name: str, pool: RunningPool, endpoint: str, override: AdminOverride) -> None:
        """Apply an endpoint's override to a running pool; an empty override removes it."""
        overrides = self.pool_overrides(name)
        if override.is_empty():
            overrides.pop(endpoint, None)
        else:
            overrides[endpoint] = override
        pool.overlay.set_override(endpoint, override)

    def expire(self) -> None:
        """Remove expired overrides and migrations, also from the store."""
        for name, pool in self._daemon.pools.items():
            for endpoint in pool.overlay.expire():
                self.overrides.get(name, {}).pop(endpoint, None)
                self._logger("a mark has ended", f"{endpoint} of pool {name}")
                self._persisted.delete_override(name, endpoint)
        now = time.time()
        for name, migrations in self.migrations.items():
            if migrations.current is not None and migrations.current.is_over(now):
                self.set_migration(name, None)
                self._logger("a move has ended", f"all traffic of {name} stays in {name}")
                self._persisted.delete_migration(name)
