"""The platform's configuration file and environment variables, read into a `NodeConfiguration`."""

from __future__ import annotations

import os
from typing import Any, Mapping, NamedTuple

import orjson

from loadbalancer.deployment import Deployment, read_deployment
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.management import platform_names as names
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits

#: What a file that is no configuration raises when it is read.
CONFIGURATION_ERRORS = (OSError, ValueError, TypeError, KeyError, AttributeError)

DEFAULT_MEMORY_MB = 128
DEFAULT_SOCKETS = 1024
MAX_PORT = 65535

Address = tuple[str, int]


class NodeConfiguration(NamedTuple):
    """What one proxy on the platform is told.

    Attributes:
        deployment: The policy's settings, zones, classes and kinds.
        listen: Address for clients.
        discovery: Address of the source of the endpoint list.
        seed: Of all random choices.
        limits: What the process may hold.
        known: An endpoint list to begin with, as discovery words it; None for none.
        limits_as_given: The limits as the file words them, for the log.
        management: Address for operators.
        accept_fd: The descriptor of the clients' listening socket, where the platform holds it.
    """

    deployment: Deployment
    listen: Address
    discovery: Address
    seed: int
    limits: ResourceLimits
    known: Any
    limits_as_given: Any
    management: Address | None = None
    accept_fd: int | None = None


def read_configuration(path: str, environment: Mapping[str, str] = os.environ) -> NodeConfiguration:
    """Read and check the file and the variables.

    Raises:
        OSError, ValueError, TypeError, KeyError, AttributeError: The file can't be read, or is no configuration.
    """
    with open(path, "rb") as file:
        fields = orjson.loads(file.read())
    if not isinstance(fields, dict):
        raise ValueError("not an object")  # noqa: TRY004  # a fault of the file, not of the caller
    for key in ("settings", "listen", "discovery"):
        if key not in fields:
            raise ValueError(f"{key}: missing")
    limits = fields.get("limits", {})
    management = environment.get(names.MANAGEMENT_VARIABLE) or fields.get(names.MANAGEMENT_KEY)
    descriptor = environment.get(names.ACCEPT_VARIABLE)
    return NodeConfiguration(
        read_deployment(fields["settings"]),
        _read_address(fields["listen"], "listen"),
        _read_address(fields["discovery"], "discovery"),
        int(str(fields.get("seed", "0")), 16),
        ResourceLimits(
            float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
            int(limits.get("sockets", DEFAULT_SOCKETS)),
            names.MANAGEMENT_SOCKETS if management else 0,
        ),
        fields.get("known"),
        limits,
        _read_address(management, "management") if management else None,
        _read_descriptor(descriptor) if descriptor else None,
    )


def _read_address(text: object, key: str) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def _read_descriptor(text: str) -> int:
    if not text.isdigit():
        raise ValueError(f"{names.ACCEPT_VARIABLE}: {text!r} is not the number of a descriptor")
    return int(text)


class ConfigurationReloader:
    """Takes over, at SIGHUP, what a running proxy can: where discovery is.

    The file is read and checked whole first; where it can't be used that is logged, and what runs stays as it is.
    """

    def __init__(
        self, path: str, running: NodeConfiguration, discovery: DiscoveryClient, logger: RateLimitedLogger
    ) -> None:
        """Make a reloader of the file at `path` for a proxy that was started from it."""
        self._path = path
        self._running = running
        self._discovery = discovery
        self._logger = logger

    def __call__(self) -> None:
        """Read the file again."""
        try:
            configuration = read_configuration(self._path)
        except CONFIGURATION_ERRORS as problem:
            self._logger("new configuration not taken", problem)
            return
        if self._needs_restart(configuration):
            self._logger("new configuration", "settings, listen and limits count from the next start")
        self._discovery.move(configuration.discovery)
        host, port = configuration.discovery
        self._logger("new configuration taken", f"discovery at {host}:{port}")

    def _needs_restart(self, configuration: NodeConfiguration) -> bool:
        running = self._running
        return (
            configuration.deployment != running.deployment
            or configuration.listen != running.listen
            or configuration.limits_as_given != running.limits_as_given
        )
