"""The platform's configuration file and environment variables, read into a `NodeConfiguration`."""

from __future__ import annotations

import os
from typing import Any, Mapping, NamedTuple

import orjson

from loadbalancer.deployment import Deployment, read_deployment
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.management import platform_names as names
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits

#: Exceptions raised when a file is read that is not a valid configuration.
CONFIGURATION_ERRORS = (OSError, ValueError, TypeError, KeyError, AttributeError)

DEFAULT_MEMORY_MB = 128
DEFAULT_SOCKETS = 1024
MAX_PORT = 65535

Address = tuple[str, int]


class NodeConfiguration(NamedTuple):
    """Holds the configuration of one proxy on the platform.

    Attributes:
        deployment: The policy's settings, zones, classes and kinds.
        listen: Address for clients.
        discovery: Address of the source of the endpoint list.
        seed: Seed of all random choices.
        limits: Resource limits of the process.
        known: An initial endpoint list in the format of discovery; None if there is none.
        limits_as_given: The limits as written in the file, for the log.
        management: Address for operators.
        accept_fd: The descriptor of the listening socket for clients, if the platform has opened it.
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
        OSError, ValueError, TypeError, KeyError, AttributeError: The file can't be read, or is not a valid
            configuration.
    """
    with open(path, "rb") as file:
        fields = orjson.loads(file.read())
    if not isinstance(fields, dict):
        raise ValueError("expected a JSON object")  # noqa: TRY004  # an error in the file, not of the caller
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
    """Applies, at SIGHUP, the one setting that a running proxy can change: the address of discovery.

    The whole file is read and checked first. If it is invalid, that is logged, and the running configuration stays.
    """

    def __init__(
        self, path: str, running: NodeConfiguration, discovery: DiscoveryClient, logger: RateLimitedLogger
    ) -> None:
        """Create a reloader of the file at `path` for a proxy that was started with it."""
        self._path = path
        self._running = running
        self._discovery = discovery
        self._logger = logger

    def __call__(self) -> None:
        """Read the file again, and apply it if it is valid."""
        try:
            configuration = read_configuration(self._path)
        except CONFIGURATION_ERRORS as problem:
            self._logger("new configuration not taken", problem)
            return
        if self._needs_restart(configuration):
            self._logger(
                "new configuration", "changes of settings, listen and limits take effect at the next start"
            )
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
