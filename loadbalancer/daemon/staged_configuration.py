"""Holds the resources of a new configuration, acquired before anything that is running changes."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from typing import Mapping

from loadbalancer.config.plan import Plan
from loadbalancer.daemon.components import Component
from loadbalancer.daemon.pools import RunningPool
from loadbalancer.frontends.sockets import release


@dataclass(slots=True)
class StagedConfiguration:
    """Owns what was created for a configuration until it is applied, or until `discard`.

    Attributes:
        plan: The configuration.
        kept_listeners: Name of the running listener to reuse, by name of the listener in this configuration.
        running: Components of the previous configuration, by name.
        components: All components of this configuration, by name.
        pools: Pools that were created for this configuration, by name.
        is_successor: Whether another process listens on the same sockets until this one serves.
        sockets: Sockets that were bound for the listeners of this configuration, by name.
    """

    plan: Plan
    kept_listeners: Mapping[str, str]
    running: Mapping[str, Component]
    is_successor: bool
    components: dict[str, Component] = field(default_factory=dict)
    pools: dict[str, RunningPool] = field(default_factory=dict)
    sockets: dict[str, socket.socket] = field(default_factory=dict)

    def new_components(self) -> list[Component]:
        """Return the components that are not running yet, in the order of their creation."""
        return [
            component
            for name, component in self.components.items()
            if self.running.get(name) is not component
        ]

    def obsolete_components(self) -> list[Component]:
        """Return the running components that this configuration replaces or removes."""
        return [
            component
            for name, component in self.running.items()
            if self.components.get(name) is not component
        ]

    def discard(self) -> None:
        """Release everything that was created for this configuration; running parts are not affected."""
        for sock in self.sockets.values():
            release(sock, is_shared=self.is_successor)
        for pool in self.pools.values():
            pool.close()
        for component in reversed(self.new_components()):
            component.end()
