"""The components that other parts of a daemon use, by their types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Mapping, NamedTuple, cast

from loadbalancer.daemon.components import Component

if TYPE_CHECKING:  # loaded where they are configured
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys


class TypedComponents(NamedTuple):
    """Components of one configuration; None for one that it does not want.

    Attributes:
        plugins: Plug-ins.
        tls_keys: Certificates and keys, where any listener or pool has TLS.
        storage: The store.
        admin: Administrative sockets.
    """

    plugins: PluginComponent | None
    tls_keys: TlsKeys | None
    storage: Storage | None
    admin: AdminServer | None


def typed(components: Mapping[str, Component]) -> TypedComponents:
    """The same components, by their types; names as in `component_factory.COMPONENT_FACTORIES`."""
    return TypedComponents(
        cast("PluginComponent | None", components.get("extensions")),
        cast("TlsKeys | None", components.get("keys")),
        cast("Storage | None", components.get("store")),
        cast("AdminServer | None", components.get("control")),
    )
