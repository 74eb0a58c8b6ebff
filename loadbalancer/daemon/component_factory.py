"""Creates the components that a configuration includes; a component's module is imported only if it is included."""

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
    """Create the components of a configuration; a running component that is still included is reused.

    Args:
        plan: The configuration.
        daemon: The daemon, with its running components.
        components: Receives the components by name, in the order of their creation; they end in the reverse order. If
            one can't be created, it contains those that were created before it.
        prepared: Components that were already created.

    Raises:
        ConfigError, OSError: A component can't be created.
    """
    factory = ComponentFactory(plan, daemon, components)
    for name, make in factory.by_name().items():
        component = prepared[name] if name in prepared else make()
        if component is not None:
            components[name] = component


class ComponentFactory:
    """Creates the components of one configuration for one daemon."""

    def __init__(self, plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]) -> None:
        """Create a factory.

        Args:
            plan: The configuration.
            daemon: The daemon, with its running components.
            components: Components of the configuration that were created so far.
        """
        self._plan = plan
        self._daemon = daemon
        self._components = components

    def by_name(self) -> Mapping[str, Callable[[], Component | None]]:
        """Return the function that creates each component, by name, in the order of their creation."""
        return {
            "extensions": lambda: make_plugins(self._plan, self._daemon.logger),
            "keys": lambda: make_tls_keys(self._plan, self._daemon.logger),
            "store": self._storage,
            "control": self._admin_server,
            "fleet": self._fleet,
        }

    def _requires_restart(self, key: str) -> ConfigError:
        text = "can't be changed by a reload; restart the daemon, or put it back as it was"
        return ConfigError([Problem(str(self._plan.path), key, text)])

    def _storage(self) -> Storage | None:
        """Return the open store, None if none is configured; ConfigError if it can't be opened."""
        plan, daemon = self._plan, self._daemon
        table = plan.file.store
        running = cast("Storage | None", daemon.components.get("store"))
        if running is not None:
            if table != running.table:
                raise self._requires_restart("store")
            return running
        if table is None:
            return None
        from loadbalancer.daemon.storage import Storage

        request_release = daemon.inherited.request_store if daemon.inherited is not None else None
        return Storage.open(table, plan.path, daemon.logger, request_release)

    def _admin_server(self) -> AdminServer | None:
        """Return the administrative server, None if none is configured; a new one's sockets are not open yet."""
        table = self._plan.file.management
        running = cast("AdminServer | None", self._daemon.components.get("control"))
        if running is not None:
            if table != running.table:
                raise self._requires_restart("management")
            return running
        if table is None:
            return None
        from loadbalancer.daemon.admin_server import AdminServer

        server = AdminServer(self._daemon, table, self._plan.path.parent)
        self._restore(server)
        return server

    def _restore(self, server: AdminServer) -> None:
        """Restore a new server's overrides and migrations from the store, or else from the previous daemon."""
        storage = cast("Storage | None", self._components.get("store"))
        if storage is not None:
            from loadbalancer.daemon.persisted_overrides import load_migrations, load_overrides
            from loadbalancer.store.keeper import StoreView

            view = StoreView(storage.store.engine)  # safe on this thread: the store's thread has no work yet
            server.restore(load_overrides(view), load_migrations(view))
        elif self._daemon.inherited_snapshot is not None:
            pools = self._daemon.inherited_snapshot.pools
            server.restore(
                {pool.name: pool.overrides for pool in pools},
                {pool.name: pool.migration for pool in pools if pool.migration is not None},
            )

    def _fleet(self) -> FleetComponent | None:
        """Return the fleet component, None if none is configured; a new one's sockets are bound but not read yet."""
        plan, daemon = self._plan, self._daemon
        table = plan.file.fleet
        running = cast("FleetComponent | None", daemon.components.get("fleet"))
        if (running.table if running is not None else None) == table:
            return running
        if table is None or daemon.plan is not None:
            raise self._requires_restart("fleet")
        try:
            from loadbalancer.daemon.fleet import FleetComponent
        except ImportError as problem:
            raise missing_package(plan, "fleet", "a fleet needs", problem, "requirements-tools.txt") from None
        return FleetComponent(daemon, table, plan.path, self._components, prepare)
