"""Makes the components that a configuration wants; each one's module is loaded only where it is wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.config.plan import Plan
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.daemon.preparation import make_plugins, make_tls_keys, missing_package

if TYPE_CHECKING:
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.fleet import FleetComponent
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: Called with the configuration, the daemon, and the components that factories before it have made.
ComponentFactory = Callable[[Plan, DaemonContext, Mapping[str, Component]], Component | None]


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
        components: Gets the components by name; where one can't be made, those that were made before it.
        prepared: Components that have been made already.

    Raises:
        ConfigError, OSError: One can't be made.
    """
    for name, factory in COMPONENT_FACTORIES.items():
        component = prepared[name] if name in prepared else factory(plan, daemon, components)
        if component is not None:
            components[name] = component


def _not_by_reload(plan: Plan, key: str) -> ConfigError:
    text = "can't be changed by a reload; restart the daemon, or put it back as it was"
    return ConfigError([Problem(str(plan.path), key, text)])


def _make_plugins(
    plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]
) -> PluginComponent | None:
    return make_plugins(plan, daemon.logger)


def _make_tls_keys(plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]) -> TlsKeys | None:
    return make_tls_keys(plan, daemon.logger)


def _make_storage(plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]) -> Storage | None:
    """The store, opened; ConfigError if it can't be."""
    table = plan.file.store
    running = cast("Storage | None", daemon.components.get("store"))
    if running is not None:
        if table != running.table:
            raise _not_by_reload(plan, "store")
        return running
    if table is None:
        return None
    from loadbalancer.daemon.storage import Storage

    borrow = daemon.inherited.borrow_store if daemon.inherited is not None else None
    return Storage.open(table, plan.path, daemon.logger, borrow)


def _make_admin_server(
    plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]
) -> AdminServer | None:
    """The administrative sockets, not open yet where they are new."""
    table = plan.file.management
    running = cast("AdminServer | None", daemon.components.get("control"))
    if running is not None:
        if table != running.table:
            raise _not_by_reload(plan, "management")
        return running
    if table is None:
        return None
    from loadbalancer.daemon.admin_server import AdminServer

    server = AdminServer(daemon, table, plan.path.parent)
    _restore(server, daemon, cast("Storage | None", components.get("store")))
    return server


def _restore(server: AdminServer, daemon: DaemonContext, storage: Storage | None) -> None:
    """Hand the overrides and migrations of the store, or else of the daemon before, to a new server."""
    if storage is not None:
        from loadbalancer.daemon.persisted_overrides import load_migrations, load_overrides
        from loadbalancer.store.keeper import StoreView

        view = StoreView(storage.store.engine)  # before the store's thread has anything to do
        server.restore(load_overrides(view), load_migrations(view))
    elif daemon.inherited_snapshot is not None:
        pools = daemon.inherited_snapshot.pools
        server.restore(
            {pool.name: pool.marks for pool in pools},
            {pool.name: pool.move for pool in pools if pool.move is not None},
        )


def _make_fleet(
    plan: Plan, daemon: DaemonContext, components: Mapping[str, Component]
) -> FleetComponent | None:
    """The place in the fleet; its sockets are there, and nothing is read of them yet."""
    table = plan.file.fleet
    running = cast("FleetComponent | None", daemon.components.get("fleet"))
    if (running.table if running is not None else None) == table:
        return running
    if table is None or daemon.plan is not None:
        raise _not_by_reload(plan, "fleet")
    try:
        from loadbalancer.daemon.fleet import FleetComponent
    except ImportError as problem:
        raise missing_package(plan, "fleet", "a fleet needs", problem, "requirements-tools.txt") from None
    return FleetComponent(daemon, table, plan.path, components)


#: In the order in which components are made, and against which they end.
COMPONENT_FACTORIES: Mapping[str, ComponentFactory] = {
    "extensions": _make_plugins,
    "keys": _make_tls_keys,
    "store": _make_storage,
    "control": _make_admin_server,
    "fleet": _make_fleet,
}
