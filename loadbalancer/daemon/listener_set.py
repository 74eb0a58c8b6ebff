"""The listeners of a daemon, and their replacement when the configuration changes."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, Iterator, Mapping

from loadbalancer.config.plan import ListenerPlan, Plan
from loadbalancer.config.reader import read_address
from loadbalancer.daemon.listener_factory import (
    ResourceDivision,
    make_admission_gate,
    make_connection_factory,
)
from loadbalancer.daemon.route_targets import RouteTargets
from loadbalancer.frontends.listener import Listener
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from loadbalancer.frontends.routed_http import RoutedReader
from loadbalancer.frontends.sockets import UNIX, bind, release
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.routing.fair_shares import ListenerSlots

if TYPE_CHECKING:  # imported at run time only when the feature is configured
    from loadbalancer.daemon.hot_restart.takeover import InheritedState
    from loadbalancer.daemon.tls_keys import TlsKeys


class ListenerSet:
    """Holds the running listeners by name. The daemon owns and closes them.

    Attributes:
        running: Listeners that accept connections; `replace` assigns a new dict.
    """

    def __init__(
        self,
        logger: RateLimitedLogger,
        spares: ReserveDescriptors,
        request_ids: Iterator[bytes],
        retire: Callable[[Listener], None],
        account: MemoryAccount,
    ) -> None:
        """Create an empty set.

        Args:
            logger: Log of the listeners.
            spares: Descriptors held in reserve for when the system has no others left.
            request_ids: Generates ids for requests that arrive without one.
            retire: Called with each listener that a new configuration removes.
            account: The memory account of the process.
        """
        self.running: dict[str, Listener] = {}
        self._logger = logger
        self._spares = spares
        self._request_ids = request_ids
        self._retire = retire
        self._account = account

    def find_kept(self, plan: Plan, before: Plan | None) -> dict[str, str]:
        """Find the running listeners that a configuration reuses: those with the same address, whatever their name.

        Returns:
            The names of the running listeners by the names of the configuration's listeners.
        """
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
            elif address in names and (port or host.startswith(UNIX)):  # port 0 means a new port each time
                kept[name] = names[address]
        return kept

    def bind(
        self, plan: Plan, kept: Mapping[str, str], inherited: InheritedState | None
    ) -> dict[str, socket.socket]:
        """Bind sockets for the listeners that reuse no running one; binds all of them, or none and raises OSError."""
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
        division: ResourceDivision,
        targets: RouteTargets,
        tls_keys: TlsKeys | None,
    ) -> None:
        """Switch to the listeners of a configuration. Must not fail.

        Args:
            plan: The configuration.
            kept: The reused listeners, as returned by `find_kept`.
            sockets: The new sockets, as returned by `bind`.
            division: Each listener's share of the process's resources.
            targets: Targets of the routes.
            tls_keys: Certificates of the listeners with TLS.
        """
        running = {name: self.running.pop(old) for name, old in kept.items()}
        for listener in self.running.values():
            self._retire(listener)
        self.running = running
        for name, listener_plan in plan.listeners.items():
            reader = RoutedReader(
                listener_plan, targets.for_listener(listener_plan), plan.key_headers, self._request_ids
            )
            slots = division.slots[name]
            if name in sockets:
                factory = make_connection_factory(listener_plan.table)
                running[name] = Listener(
                    reader, slots, self._logger, factory, self._account, division.limits.kernel_buffers
                )
                running[name].start(sockets[name])
            self._configure(running[name], listener_plan, reader, slots, tls_keys)

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
        listener.gate = make_admission_gate(plan.table, listener.gate)  # open connections keep the old one

    def set_shared(self, shared: bool) -> None:
        """Set whether another process also listens on the sockets, and therefore owns the files of Unix sockets."""
        for listener in self.running.values():
            listener.shared = shared

    def retarget(self, plan: Plan, targets: RouteTargets) -> None:
        """Replace the targets of the routes; a request whose head has been read keeps its old target."""
        for name, listener in self.running.items():
            if isinstance(listener.reader, RoutedReader):
                listener.reader.targets = targets.for_listener(plan.listeners[name])

    def sockets(self) -> list[socket.socket]:
        """Return the listening sockets for a process that takes over, and mark each as offered.

        A socket that was offered must not be blocked any more.
        """
        for listener in self.running.values():
            listener.was_offered = True
        return [listener.listening for listener in self.running.values() if listener.listening is not None]
