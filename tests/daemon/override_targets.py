"""A stand-in for the administrative overrides of a daemon's pools."""

from __future__ import annotations

from loadbalancer.admin.calls import Change
from loadbalancer.daemon.fleet_interfaces import JsonObject
from loadbalancer.discovery.overrides import AdminOverride
from loadbalancer.routing.traffic_migration import Migration


class RecordingOverrides:
    """Holds what was applied; each change that it is asked about would drain its endpoints, or end a migration."""

    def __init__(self) -> None:
        self.overrides: dict[str, dict[str, AdminOverride]] = {}
        self.migrations: dict[str, Migration | None] = {}
        self.frozen: dict[str, bool] = {}

    def planned_overrides(self, change: Change) -> dict[str, AdminOverride | None]:
        return {member: AdminOverride("drain") for member in change.endpoints}

    def planned_migration(self, change: Change) -> Migration | None:
        return None

    def set_override(self, name: str, member: str, mark: AdminOverride | None) -> None:
        overrides = self.overrides.setdefault(name, {})
        overrides.pop(member, None)
        if mark is not None:
            overrides[member] = mark

    def set_migration(self, pool: str, move: Migration | None) -> None:
        self.migrations[pool] = move

    def set_frozen(self, name: str, frozen: bool) -> None:
        self.frozen[name] = frozen

    def describe(self, change: Change) -> JsonObject:
        return {}
