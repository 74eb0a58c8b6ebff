"""One proxy on the platform: what it is told, its sockets, and the limits that they share."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from typing import Any, Callable, NamedTuple

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.http1 import ClientConnection
from loadbalancer.frontends.listener import Listener
from loadbalancer.frontends.platform_http import PlatformReader
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits, describe_loop_context

#: Descriptors that a process uses whatever its load: the loop's, standard streams, both listeners, discovery.
RESERVED_DESCRIPTORS = 16


class NodeConfiguration(NamedTuple):
    deployment: Deployment
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: ResourceLimits
    known: Any
    told: Any  # the limits as the deployment words them, for the log
    management: tuple[str, int] | None = None  # where operators call
    accept_fd: int | None = None  # the clients' listening socket, held by the platform


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
    """One proxy on the platform: its sockets, and the limits that they share."""

    def __init__(self, configuration: NodeConfiguration, logger: RateLimitedLogger) -> None:
        deployment = configuration.deployment
        self.configuration, self.logger = configuration, logger
        limits = configuration.limits
        self.proxy = Proxy(deployment, configuration.seed, limits, logger)
        self.discovery = DiscoveryClient(self.proxy, deployment, configuration.discovery, logger)
        self.proxy.source = self.discovery
        slots = limits.client_sockets, limits.overflow_sockets
        self.listener = Listener(PlatformReader(self.proxy, deployment), slots, logger, ClientConnection)
        self._inherited: socket.socket | None = None  # the clients' socket, where the platform holds it
        if configuration.accept_fd is not None:
            self._inherited = inherit_listener(configuration.accept_fd)
        self.stopping = asyncio.Event()

    def take_signals(self, reload: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.logger("defect", describe_loop_context(context)))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, (signal.SIGHUP,)
        )  # held back since the start (__main__.py)

    def accept(self) -> None:
        """Take clients from now on; OSError where the address can't be had."""
        if self._inherited is not None:
            where = self.listener.start(self._inherited)
        else:
            where = self.listener.listen(self.configuration.listen)
        told = self.configuration.told
        sys.stderr.write(f"micastand: listening on {where[0]}:{where[1]}, limits {told}\n")

    def serves(self) -> bool:
        """Whether clients who come now are taken, and there is a list to send them by."""
        return self.listener.accepting and bool(self.proxy.listed)

    def used(self) -> int:
        """Descriptors in use."""
        connections = self.listener.taken + self.listener.overflowing
        return connections + self.proxy.backends.open + RESERVED_DESCRIPTORS

    def resize(self, limits: ResourceLimits) -> None:
        """Other limits from now on. Members' idle connections past them go; clients' stay, for closing one under its
        client costs a request whenever the two cross: their number shrinks as they end. Whatever the shares say, each
        open request finds a connection to a member: one that was taken may not be refused for want of it."""
        self.proxy.resize(limits)
        self.proxy.backends.sockets = max(
            limits.backend_sockets, self.proxy.figures.open + RESERVED_DESCRIPTORS
        )
        self.listener.resize(max(limits.client_sockets, self.listener.taken), limits.overflow_sockets)
