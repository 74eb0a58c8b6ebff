"""The listeners of a daemon, and their way from one configuration to the next."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, Iterator, Mapping

from loadbalancer.config.plan import ListenerPlan, Plan
from loadbalancer.config.reader import read_address
from loadbalancer.daemon.listener_factory import gate_of, serve_of
from loadbalancer.daemon.route_targets import RouteTargets
from loadbalancer.frontends.listener import Listener
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.frontends.routed_http import RoutedReader
from loadbalancer.frontends.sockets import UNIX, bind, release
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import ListenerSlots

if TYPE_CHECKING:  # loaded where they are configured
    from loadbalancer.daemon.hot_restart.takeover import InheritedState
    from loadbalancer.daemon.tls_keys import TlsKeys


class ListenerSet:
    """Running listeners by name. The daemon owns them, and closes them.

    Attributes:
        running: Listeners that accept connections; replaced as a whole by `replace`.
    """

    def __init__(
        self,
        logger: RateLimitedLogger,
        spares: ReserveDescriptors,
        request_ids: Iterator[bytes],
        retire: Callable[[Listener], None],
    ) -> None:
        """Make an empty set.

        Args:
            logger: Log of the listeners.
            spares: Descriptors for when the system has no other.
            request_ids: Ids for requests that bring none.
            retire: Called with a listener that a configuration has no more.
        """
        self.running: dict[str, Listener] = {}
        self._logger = logger
        self._spares = spares
        self._request_ids = request_ids
        self._retire = retire

    def kept_by(self, plan: Plan, before: Plan | None) -> dict[str, str]:
        """Which running listener each one of a configuration goes on with: that of its address, of any name."""
        if before is None:
            return {}
        addresses = {name: read_address(before.listeners[name].table.address) for name in self.running}
        names = {address: name for name, address in addresses.items()}
        kept = {}
        for name, listener in plan.listeners.items():
            address = read_address(listener.table.address)
            host, port = address
            if addresses.get(name) == address:
                kept[name] = name
            elif address in names and (port or host.startswith(UNIX)):  # port 0 is another one each time
                kept[name] = names[address]
        return kept

    def bind(
        self, plan: Plan, kept: Mapping[str, str], inherited: InheritedState | None
    ) -> dict[str, socket.socket]:
        """Sockets for the listeners that go on with no running one; OSError, and none is bound, if that can't be."""
        sockets: dict[str, socket.socket] = {}
        try:
            for name, listener in plan.listeners.items():
                if name not in kept:
                    address = read_address(listener.table.address)
                    claimed = inherited.claim(address) if inherited is not None else None
                    sockets[name] = claimed or bind(address)
        except OSError:
            for sock in sockets.values():
                release(sock, is_shared=inherited is not None)
            raise
        return sockets

    def replace(
        self,
        plan: Plan,
        kept: Mapping[str, str],
        sockets: Mapping[str, socket.socket],
        slots: Mapping[str, ListenerSlots],
        targets: RouteTargets,
        tls_keys: TlsKeys | None,
    ) -> None:
        """Run the listeners of a configuration; may not fail.

        Args:
            plan: The configuration.
            kept: As `kept_by` says it.
            sockets: As `bind` made them.
            slots: What each listener may hold.
            targets: Where routes lead.
            tls_keys: Certificates of the listeners with TLS.
        """
        running = {name: self.running.pop(old) for name, old in kept.items()}
        for listener in self.running.values():
            self._retire(listener)
        self.running = running
        for name, listener_plan in plan.listeners.items():
            reader = RoutedReader(
                listener_plan, targets.of_listener(listener_plan), plan.key_headers, self._request_ids
            )
            if name in sockets:
                factory = serve_of(listener_plan.table)
                running[name] = Listener(reader, slots[name], self._logger, factory)
                running[name].start(sockets[name])
            self._configure(running[name], listener_plan, reader, slots[name], tls_keys)

    def _configure(
        self,
        listener: Listener,
        plan: ListenerPlan,
        reader: RoutedReader,
        slots: ListenerSlots,
        tls_keys: TlsKeys | None,
    ) -> None:
        listener.reader = reader
        listener.spares = self._spares
        listener.speaks_http = plan.table.protocol == "http/1.1"
        listener.most, listener.overflow_most = slots
        listener.tls = tls_keys.acceptor(plan.table.name) if tls_keys is not None else None
        listener.gate = gate_of(plan.table, listener.gate)  # connections that are there stay with the old one

    def set_shared(self, shared: bool) -> None:
        """Say whether another process listens on the sockets too, and has their files."""
        for listener in self.running.values():
            listener.shared = shared

    def retarget(self, plan: Plan, targets: RouteTargets) -> None:
        """Lead the routes elsewhere; a request whose head has been read goes where it was bound for."""
        for name, listener in self.running.items():
            if isinstance(listener.reader, RoutedReader):
                listener.reader.targets = targets.of_listener(plan.listeners[name])

    def sockets(self) -> list[socket.socket]:
        """Sockets that listen now, for a process that takes over; nobody may block them from here on."""
        for listener in self.running.values():
            listener.was_offered = True
        return [listener.listening for listener in self.running.values() if listener.listening is not None]
