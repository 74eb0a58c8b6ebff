"""Makes the components that a configuration wants; each one's module is loaded only where it is wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.daemon.preparation import make_plugins, make_tls_keys, missing_package, prepare

if TYPE_CHECKING:
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.fleet import FleetComponent
    from loadbalancer.daemon.storage import Storage


def make_components(
    plan: Plan,
    daemon: DaemonContext,
    components: dict[str, Component],
    prepared: Mapping[str, Component | None],
) -> None:
    """Make the components of a configuration; one that runs and is still wanted is the same.

    Args:
        plan: The configuration.
        daemon: The daemon, with its running components.
        components: Gets the components by name, in the order in which they were made; they end against it. Where one
            can't be made, it has those that were made before.
        prepared: Components that have been made already.

    Raises:
        ConfigError, OSError: One can't be made.
    """
    factory = ComponentFactory(plan, daemon, components)
    for name, make in factory.by_name().items():
        component = prepared[name] if name in prepared else make()
        if component is not None:
            components[name] = component


class ComponentFactory:
    """Makes the components of one configuration for one daemon."""

    def __init__(self, plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]) -> None:
        """Make a factory.

        Args:
            plan: The configuration.
            daemon: The daemon, with its running components.
            components: Components of the configuration that have been made so far.
        """
        self._plan = plan
        self._daemon = daemon
        self._components = components

    def by_name(self) -> Mapping[str, Callable[[], Component | None]]:
        """What makes each component, in the order in which they are made."""
        return {
            "extensions": lambda: make_plugins(self._plan, self._daemon.logger),
            "keys": lambda: make_tls_keys(self._plan, self._daemon.logger),
            "store": self._storage,
            "control": self._admin_server,
            "fleet": self._fleet,
        }

    def _not_by_reload(self, key: str) -> ConfigError:
        text = "can't be changed by a reload; restart the daemon, or put it back as it was"
        return ConfigError([Problem(str(self._plan.path), key, text)])

    def _storage(self) -> Storage | None:
        """The store, opened; ConfigError if it can't be."""
        plan, daemon = self._plan, self._daemon
        table = plan.file.store
        running = cast("Storage | None", daemon.components.get("store"))
        if running is not None:
            if table != running.table:
                raise self._not_by_reload("store")
            return running
        if table is None:
            return None
        from loadbalancer.daemon.storage import Storage

        borrow = daemon.inherited.borrow_store if daemon.inherited is not None else None
        return Storage.open(table, plan.path, daemon.logger, borrow)

    def _admin_server(self) -> AdminServer | None:
        """The administrative sockets, not open yet where they are new."""
        table = self._plan.file.management
        running = cast("AdminServer | None", self._daemon.components.get("control"))
        if running is not None:
            if table != running.table:
                raise self._not_by_reload("management")
            return running
        if table is None:
            return None
        from loadbalancer.daemon.admin_server import AdminServer

        server = AdminServer(self._daemon, table, self._plan.path.parent)
        self._restore(server)
        return server

    def _restore(self, server: AdminServer) -> None:
        """Hand the overrides and migrations of the store, or else of the daemon before, to a new server."""
        storage = cast("Storage | None", self._components.get("store"))
        if storage is not None:
            from loadbalancer.daemon.persisted_overrides import load_migrations, load_overrides
            from loadbalancer.store.keeper import StoreView

            view = StoreView(storage.store.engine)  # before the store's thread has anything to do
            server.restore(load_overrides(view), load_migrations(view))
        elif self._daemon.inherited_snapshot is not None:
            pools = self._daemon.inherited_snapshot.pools
            server.restore(
                {pool.name: pool.overrides for pool in pools},
                {pool.name: pool.migration for pool in pools if pool.migration is not None},
            )

    def _fleet(self) -> FleetComponent | None:
        """The place in the fleet; its sockets are there, and nothing is read of them yet."""
        plan, daemon = self._plan, self._daemon
        table = plan.file.fleet
        running = cast("FleetComponent | None", daemon.components.get("fleet"))
        if (running.table if running is not None else None) == table:
            return running
        if table is None or daemon.plan is not None:
            raise self._not_by_reload("fleet")
        try:
            from loadbalancer.daemon.fleet import FleetComponent
        except ImportError as problem:
            raise missing_package(plan, "fleet", "a fleet needs", problem, "requirements-tools.txt") from None
        return FleetComponent(daemon, table, plan.path, self._components, prepare)
