"""Validation of operators' change requests against the current state of the daemon."""

from __future__ import annotations

from typing import Callable

from loadbalancer.admin.calls import CallError, Change
from loadbalancer.daemon.admin_state import AdminState
from loadbalancer.daemon.components import DaemonContext
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.policy.events import EndpointState

#: Verbs that may name an endpoint that does not exist yet: the override takes effect once the endpoint is listed.
VERBS_FOR_UNKNOWN_ENDPOINTS = ("cordon", "uncordon", "drain")
#: Verbs that stop traffic to an endpoint.
VERBS_THAT_REMOVE = ("drain", "cordon", "remove")


class ChangeValidator:
    """Checks a change against the running pools, endpoints and migrations, without applying it."""

    def __init__(
        self, daemon: DaemonContext, state: AdminState, is_being_replaced: Callable[[], bool]
    ) -> None:
        """Create a validator.

        Args:
            daemon: The daemon whose pools are changed.
            state: The migrations of this daemon.
            is_being_replaced: Returns whether a successor daemon has received this daemon's state but does not serve
                yet. A change made here at that time would be lost.
        """
        self._daemon = daemon
        self._state = state
        self._is_being_replaced = is_being_replaced

    def check(self, change: Change) -> None:
        """Raise an error if a change can't be applied now.

        Raises:
            CallError: The change can't be applied; the message gives the reason.
        """
        name = change.request.pool
        if name is None:
            return
        pool = self._daemon.pools.get(name)
        if pool is None:
            existing = ", ".join(sorted(self._daemon.pools)) or "none"
            raise CallError(404, f"there is no pool {name!r}; there are: {existing}")
        if self._is_being_replaced():
            raise CallError(
                409, "an upgrade is under way, and the new daemon would not know of it; ask again"
            )
        if change.verb == "move":
            self._check_migration(name, change.request.other or "")
            return
        self._check_endpoints(name, pool, change)
        if change.verb in VERBS_THAT_REMOVE and not change.request.last:
            _check_one_remains(pool, change)

    def _check_endpoints(self, name: str, pool: RunningPool, change: Change) -> None:
        overlay = pool.overlay
        unknown = [endpoint for endpoint in change.endpoints if not overlay.knows(endpoint)]
        if change.verb == "add":
            if len(change.endpoints) != 1:
                raise CallError(400, "add takes one member")
            if change.endpoints[0] in overlay.listed():
                raise CallError(409, f"{change.endpoints[0]!r} is listed by the pool's source already")
        elif unknown and change.verb not in VERBS_FOR_UNKNOWN_ENDPOINTS:
            raise CallError(404, f"no such member of {name}: {', '.join(unknown)}")

    def _check_migration(self, name: str, other: str) -> None:
        pools = self._daemon.pools
        if other == name or other not in pools:
            existing = ", ".join(sorted(pools.keys() - {name})) or "none"
            raise CallError(404, f"{other!r} is no other pool; there are: {existing}")
        if pools[name].plan.table.dialect != pools[other].plan.table.dialect:
            raise CallError(409, f"pools {name} and {other} speak different dialects")
        next_migration = self._state.migration(other)
        if next_migration is not None:
            raise CallError(
                409, f"a part of {other} is itself moved to {next_migration.other}; end that first"
            )
        if any(self._migrates_to(pool, name) for pool in self._state.migrations):
            raise CallError(409, f"traffic of another pool is moved to {name}; end that first")

    def _migrates_to(self, pool: str, other: str) -> bool:
        migration = self._state.migration(pool)
        return migration is not None and migration.other == other


def _check_one_remains(pool: RunningPool, change: Change) -> None:
    """Raise a CallError if a change would leave a pool without a usable endpoint, unless the request sets `last`."""
    overridden = {name for name, override in pool.overlay.overrides.items() if override.word is not None}
    ready = {entry.endpoint for entry, _ in pool.overlay.entries() if entry.state == EndpointState.READY}
    if ready and not ready - overridden - set(change.endpoints):
        raise CallError(
            409, f"this would leave pool {change.request.pool} without any member; say last if it is meant"
        )
