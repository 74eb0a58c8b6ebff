"""A fake of the administrative overrides of a daemon's pools."""

from __future__ import annotations

from loadbalancer.admin.calls import Change
from loadbalancer.daemon.fleet_interfaces import JsonObject
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration


class RecordingOverrides:
    """Records the overrides, migrations and freezes that are applied.

    Every planned change drains its endpoints, or ends the migration.
    """

    def __init__(self) -> None:
        self.overrides: dict[str, dict[str, AdminOverride]] = {}
        self.migrations: dict[str, Migration | None] = {}
        self.frozen: dict[str, bool] = {}

    def planned_overrides(self, change: Change) -> dict[str, AdminOverride | None]:
        return {endpoint: AdminOverride("drain") for endpoint in change.endpoints}

    def planned_migration(self, change: Change) -> Migration | None:
        return None

    def set_override(self, name: str, endpoint: str, override: AdminOverride | None) -> None:
        overrides = self.overrides.setdefault(name, {})
        overrides.pop(endpoint, None)
        if override is not None:
            overrides[endpoint] = override

    def set_migration(self, pool: str, migration: Migration | None) -> None:
        self.migrations[pool] = migration

    def set_frozen(self, name: str, frozen: bool) -> None:
        self.frozen[name] = frozen

    def describe(self, change: Change) -> JsonObject:
        return {}
