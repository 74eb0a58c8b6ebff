"""What parts a configuration wants, each made here and loaded only where it is wanted."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.config.plan import Plan, load
from loadbalancer.config.reader import ConfigError, Problem
from loadbalancer.daemon.components import Component, DaemonContext
from loadbalancer.resource_limits import RateLimitedLogger

if TYPE_CHECKING:
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.fleet import FleetComponent
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys

#: What those before it in MAKERS have made is handed to each.
ComponentFactory = Callable[[Plan, DaemonContext, Mapping[str, Component]], Component | None]


def extensions_of(plan: Plan, logger: RateLimitedLogger) -> PluginComponent | None:
    """The plug-ins of a plan, if it has any; ConfigError with all that can't be used."""
    if not plan.file.plugin:
        return None
    try:
        from loadbalancer.daemon.plugins import PluginComponent, compile_plugins
    except ImportError as problem:
        text = (
            f"plug-ins need a package that is not there ({problem}): pip install -r requirements-plugins.txt"
        )
        raise ConfigError([Problem(str(plan.path), "plugin", text)]) from None
    return PluginComponent(plan, compile_plugins(plan), logger)


def keys_of(plan: Plan, logger: RateLimitedLogger) -> TlsKeys | None:
    """The keys of a plan, read and checked, if it has any; ConfigError with all that is wrong with them."""
    if not any(one.tls for one in plan.file.listener) and not any(one.tls for one in plan.file.pool):
        return None
    try:
        from loadbalancer.daemon.tls_keys import TlsKeys
    except ImportError as problem:
        text = f"TLS needs a package that is not there ({problem}): pip install -r requirements-tools.txt"
        raise ConfigError([Problem(str(plan.path), "tls", text)]) from None
    return TlsKeys(plan, logger)


def prepare(path: Path, logger: RateLimitedLogger) -> tuple[Plan, dict[str, Component | None]]:
    """All of a reload that takes its time: off the event loop. The parts that are made anew for each plan."""
    plan = load(path)
    return plan, {"extensions": extensions_of(plan, logger), "keys": keys_of(plan, logger)}


def _fixed(plan: Plan, key: str) -> ConfigError:
    text = "can't be changed by a reload; restart the daemon, or put it back as it was"
    return ConfigError([Problem(str(plan.path), key, text)])


def _store(plan: Plan, daemon: DaemonContext, made: Mapping[str, Component]) -> Storage | None:
    """What outlasts the process, opened; ConfigError if that can't be."""
    table, now = plan.file.store, cast("Storage | None", daemon.parts.get("store"))
    if table is None and now is None:
        return None
    if now is not None:
        if table != now.table:
            raise _fixed(plan, "store")
        return now
    from loadbalancer.daemon.storage import Storage

    assert table is not None
    borrow = daemon.taken.borrow_store if daemon.taken is not None else None
    return Storage.open(table, plan.path, daemon.logger, borrow)


def _control(plan: Plan, daemon: DaemonContext, made: Mapping[str, Component]) -> AdminServer | None:
    """The operators' sockets; not open yet where they are new."""
    table, now = plan.file.management, cast("AdminServer | None", daemon.parts.get("control"))
    if (now.table if now is not None else None) == table:
        return now
    if now is not None:
        raise _fixed(plan, "management")
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.persisted_overrides import load_marks, load_moves

    assert table is not None
    control = AdminServer(daemon, table, plan.path.parent, daemon.logger)
    memory = cast("Storage | None", made.get("store"))
    if memory is not None:
        from loadbalancer.store.keeper import StoreView

        view = StoreView(memory.store.engine)  # before the store's thread has anything to do
        control.restore(load_marks(view), load_moves(view))
    elif daemon.learnt is not None:
        pools = daemon.learnt.pools
        control.restore(
            {note.name: note.marks for note in pools}, {n.name: n.move for n in pools if n.move is not None}
        )
    return control


def _fleet(plan: Plan, daemon: DaemonContext, made: Mapping[str, Component]) -> FleetComponent | None:
    """The place in the fleet; its sockets are there, and nothing is read of them yet."""
    table, now = plan.file.fleet, cast("FleetComponent | None", daemon.parts.get("fleet"))
    if (now.table if now is not None else None) == table:
        return now
    if now is not None or daemon.plan is not None:
        raise _fixed(plan, "fleet")
    try:
        from loadbalancer.daemon.fleet import FleetComponent
    except ImportError as problem:
        text = f"a fleet needs a package that is not there ({problem}): pip install -r requirements-tools.txt"
        raise ConfigError([Problem(str(plan.path), "fleet", text)]) from None

    assert table is not None
    return FleetComponent(daemon, table, plan.path, made, prepare)


#: In the order in which they are made, and against which they end.
COMPONENT_FACTORIES: Mapping[str, ComponentFactory] = {
    "extensions": lambda plan, daemon, made: extensions_of(plan, daemon.logger),
    "keys": lambda plan, daemon, made: keys_of(plan, daemon.logger),
    "store": _store,
    "control": _control,
    "fleet": _fleet,
}


def make_components(
    plan: Plan, daemon: DaemonContext, made: dict[str, Component], prepared: Mapping[str, Component | None]
) -> None:
    """Into `made`, those of `prepared` as they are; one that runs and is wanted still is the same. ConfigError or
    OSError where one can't be had; what had been made by then stands in `made`."""
    for name, maker in COMPONENT_FACTORIES.items():
        part = prepared[name] if name in prepared else maker(plan, daemon, made)
        if part is not None:
            made[name] = part
