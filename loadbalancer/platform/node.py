"""One proxy on the platform: its listener, its proxy, its endpoint list, and the limits that they share."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Callable

from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import Listener
from loadbalancer.frontends.platform_http import PlatformReader
from loadbalancer.platform.configuration import NodeConfiguration
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits, describe_loop_context

#: Descriptors that a process uses whatever its load: the loop's, standard streams, both listeners, discovery.
RESERVED_DESCRIPTORS = 16


def inherit_listener(descriptor: int) -> socket.socket:
    """A listening socket that another process has opened; OSError where the descriptor is none."""
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise OSError(f"descriptor {descriptor} is no socket that listens")
    sock.set_inheritable(False)
    sock.setblocking(False)
    return sock


class Node:
    """One proxy on the platform. It lives as long as its process, whose end releases its sockets.

    Attributes:
        configuration: What it was told.
        logger: Its log.
        proxy: Open requests and connections to endpoints.
        discovery: Source of the endpoint list.
        listener: Clients.
        stopping: Set once the process was told to end.
    """

    def __init__(self, configuration: NodeConfiguration, logger: RateLimitedLogger) -> None:
        """Make it; clients are accepted from `accept` on. OSError where the inherited descriptor is no socket."""
        deployment = configuration.deployment
        limits = configuration.limits
        self.configuration = configuration
        self.logger = logger
        self.proxy = Proxy(deployment, configuration.seed, limits, logger)
        self.discovery = DiscoveryClient(self.proxy, deployment, configuration.discovery, logger)
        self.proxy.source = self.discovery
        slots = limits.client_sockets, limits.overflow_sockets
        self.listener = Listener(PlatformReader(self.proxy, deployment), slots, logger, ClientConnection)
        self._inherited: socket.socket | None = None
        if configuration.accept_fd is not None:
            self._inherited = inherit_listener(configuration.accept_fd)
        self.stopping = asyncio.Event()

    def take_signals(self, reload: Callable[[], None]) -> None:
        """Handle signals from now on: SIGTERM and SIGINT end the process, SIGHUP reloads."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.logger("defect", describe_loop_context(context)))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # blocked since the start (__main__.py)

    def accept(self) -> None:
        """Accept clients from now on; OSError where the address can't be had."""
        if self._inherited is not None:
            host, port = self.listener.start(self._inherited)
        else:
            host, port = self.listener.listen(self.configuration.listen)
        limits = self.configuration.limits_as_given
        self.logger.write_line(f"listening on {host}:{port}, limits {limits}")

    def serves(self) -> bool:
        """Whether new clients are accepted, and there are endpoints for their requests."""
        return self.listener.accepting and bool(self.proxy.listed)

    def used(self) -> int:
        """Descriptors in use."""
        connections = self.listener.taken + self.listener.overflowing
        return connections + self.proxy.upstreams.open + RESERVED_DESCRIPTORS

    def resize(self, limits: ResourceLimits) -> None:
        """Hold to other limits from now on.

        Idle connections to endpoints past them are closed. Those of clients stay, and become fewer as they end: to
        close one costs a request whenever the client sends it at that moment. Whatever the limits, each open request
        finds a connection to an endpoint, since it was accepted.
        """
        self.proxy.resize(limits)
        self.proxy.upstreams.sockets = max(
            limits.backend_sockets, self.proxy.metrics.open + RESERVED_DESCRIPTORS
        )
        self.listener.resize(max(limits.client_sockets, self.listener.taken), limits.overflow_sockets)
