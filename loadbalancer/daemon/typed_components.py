"""Typed access to the components that other parts of a daemon use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Mapping, NamedTuple, cast

from loadbalancer.daemon.components import Component

if TYPE_CHECKING:  # imported at run time only when the feature is configured
    from loadbalancer.daemon.admin_server import AdminServer
    from loadbalancer.daemon.plugins import PluginComponent
    from loadbalancer.daemon.storage import Storage
    from loadbalancer.daemon.tls_keys import TlsKeys


class TypedComponents(NamedTuple):
    """Holds components of one configuration; None for one that it does not include.

    Attributes:
        plugins: Plug-ins.
        tls_keys: Certificates and keys, if any listener or pool uses TLS.
        storage: The store.
        admin: The administrative server.
    """

    plugins: PluginComponent | None
    tls_keys: TlsKeys | None
    storage: Storage | None
    admin: AdminServer | None


def typed(components: Mapping[str, Component]) -> TypedComponents:
    """Return the components with their types; the names are those of `ComponentFactory.by_name`."""
    return TypedComponents(
        cast("PluginComponent | None", components.get("extensions")),
        cast("TlsKeys | None", components.get("keys")),
        cast("Storage | None", components.get("store")),
        cast("AdminServer | None", components.get("control")),
    )
