"""One proxy on the platform: its listener, its requests, its endpoint list, and the limits that they share."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Callable

from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import Listener
from loadbalancer.frontends.memory_reclaimer import MemoryReclaimer
from loadbalancer.frontends.platform_http import PlatformReader
from loadbalancer.memory_account import MemoryAccount
from loadbalancer.platform.configuration import NodeConfiguration
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits, describe_loop_context

#: Descriptors that a process uses at any load: those of the event loop, standard streams, both listeners, discovery.
RESERVED_DESCRIPTORS = 16


def inherit_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that another process has opened; OSError if the descriptor is not one."""
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise OSError(f"descriptor {descriptor} is not a listening socket")
    sock.set_inheritable(False)
    sock.setblocking(False)
    return sock


class Node:
    """Holds one proxy on the platform. It exists as long as its process, whose exit releases its sockets.

    Attributes:
        configuration: Its configuration.
        logger: Its log.
        account: The memory that its peers make it hold.
        proxy: The open requests and the connections to endpoints.
        discovery: The source of the endpoint list.
        listener: The connections of clients.
        reclaimer: Ends idle connections when the account is full.
        stopping: Set once the process was told to end.
    """

    def __init__(self, configuration: NodeConfiguration, logger: RateLimitedLogger) -> None:
        """Create the proxy without accepting clients; OSError if the inherited descriptor is not a listening socket."""
        deployment = configuration.deployment
        limits = configuration.limits
        self.configuration = configuration
        self.logger = logger
        self.account = MemoryAccount(limits.buffered)
        self.proxy = Proxy(deployment, configuration.seed, limits, logger, account=self.account)
        self.discovery = DiscoveryClient(self.proxy, deployment, configuration.discovery, logger)
        self.proxy.source = self.discovery
        slots = limits.client_sockets, limits.overflow_sockets
        reader = PlatformReader(self.proxy, deployment)
        self.listener = Listener(reader, slots, logger, ClientConnection, self.account, limits.kernel_buffers)
        self.proxy.upstreams.kernel_buffers = limits.kernel_buffers
        self.reclaimer = MemoryReclaimer(self.account, lambda: self.listener.connections, logger)
        self._inherited: socket.socket | None = None
        if configuration.accept_fd is not None:
            self._inherited = inherit_listener(configuration.accept_fd)
        self.stopping = asyncio.Event()

    def handle_signals(self, reload: Callable[[], None]) -> None:
        """Install signal handlers: SIGTERM and SIGINT end the process, SIGHUP reloads the configuration."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.logger("defect", describe_loop_context(context)))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # blocked since the start (__main__.py)

    def accept(self) -> None:
        """Start accepting clients; OSError if the address can't be bound."""
        if self._inherited is not None:
            host, port = self.listener.start(self._inherited)
        else:
            host, port = self.listener.listen(self.configuration.listen)
        limits = self.configuration.limits_as_given
        self.logger.write_line(f"listening on {host}:{port}, limits {limits}")

    def serves(self) -> bool:
        """Return whether new clients are accepted, and there are endpoints for their requests."""
        return self.listener.accepting and bool(self.proxy.listed)

    def used(self) -> int:
        """Return the number of descriptors in use."""
        connections = self.listener.taken + self.listener.overflowing
        return connections + self.proxy.upstreams.open + RESERVED_DESCRIPTORS

    def resize(self, limits: ResourceLimits) -> None:
        """Apply new limits.

        Idle connections to endpoints beyond the limits are closed. Connections of clients are not, and their number
        falls as they end: closing one would lose a request that the client sends at that moment. Each open request can
        get a connection to an endpoint at any limits, since it was accepted.
        """
        self.account.resize(limits.buffered)
        self.proxy.resize(limits)
        self.proxy.upstreams.sockets = max(
            limits.backend_sockets, self.proxy.metrics.open + RESERVED_DESCRIPTORS
        )
        self.listener.resize(max(limits.client_sockets, self.listener.taken), limits.overflow_sockets)
