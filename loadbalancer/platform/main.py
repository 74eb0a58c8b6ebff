"""The platform's `run`: configuration, loop, signals."""

from __future__ import annotations

import gc
import os
import sys
from typing import Any, Mapping, NoReturn

import orjson
import uvloop

from loadbalancer.deployment import read_deployment
from loadbalancer.discovery.watch import DiscoveryClient
from loadbalancer.frontends.listener import drain
from loadbalancer.management import platform_names as names
from loadbalancer.platform.node import Node, NodeConfiguration
from loadbalancer.resource_limits import RateLimitedLogger, ResourceLimits

#: New objects between two collections. What the proxy drops has no cycles, so few are needed, and each
#: one holds up all requests.
GC_OBJECTS = 50_000


def _address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def _descriptor(text: str) -> int:
    if not text.isdigit():
        raise ValueError(f"{names.ACCEPT_VARIABLE}: {text!r} is not the number of a descriptor")
    return int(text)


def read_configuration(path: str, environment: Mapping[str, str] = os.environ) -> NodeConfiguration:
    with open(path, "rb") as file:
        box = orjson.loads(file.read())
    if not isinstance(box, dict):
        raise ValueError("not an object")
    for key in ("settings", "listen", "discovery"):
        if key not in box:
            raise ValueError(f"{key}: missing")
    limits = box.get("limits", {})
    management = environment.get(names.MANAGEMENT_VARIABLE) or box.get(names.MANAGEMENT_KEY)
    descriptor = environment.get(names.ACCEPT_VARIABLE)
    return NodeConfiguration(
        read_deployment(box["settings"]),
        _address(box["listen"], "listen"),
        _address(box["discovery"], "discovery"),
        int(str(box.get("seed", "0")), 16),
        ResourceLimits(
            float(limits.get("memory_mb", 128)),
            int(limits.get("sockets", 1024)),
            names.MANAGEMENT_SOCKETS if management else 0,
        ),
        box.get("known"),
        limits,
        _address(management, "management") if management else None,
        _descriptor(descriptor) if descriptor else None,
    )


#: What a file that is no configuration raises when it is read.
CONFIGURATION_ERRORS = (OSError, ValueError, TypeError, KeyError, AttributeError)


class ConfigurationReloader:
    """Takes over, at SIGHUP, what a running proxy can: where discovery is.

    The file is read and checked whole first. Guards against one that is half written, wrong or gone:
    it is logged, and what runs stays as it is."""

    def __init__(
        self, path: str, running: NodeConfiguration, discovery: DiscoveryClient, logger: RateLimitedLogger
    ) -> None:
        self.path, self.running, self.discovery, self.logger = path, running, discovery, logger

    def __call__(self) -> None:
        try:
            new = read_configuration(self.path)
        except CONFIGURATION_ERRORS as problem:
            self.logger("new configuration not taken", problem)
            return
        old = self.running
        if (new.deployment, new.listen, new.told) != (old.deployment, old.listen, old.told):
            self.logger("new configuration", "settings, listen and limits count from the next start")
        self.discovery.move(new.discovery)
        host, port = new.discovery
        self.logger("new configuration taken", f"discovery at {host}:{port}")


async def serve(configuration: NodeConfiguration, path: str) -> None:
    logger = RateLimitedLogger()
    node = Node(configuration, logger)
    upgrade = None
    if configuration.management is not None or configuration.accept_fd is not None:
        from loadbalancer.platform.upgrade import PlatformUpgrade  # loaded where it is configured

        upgrade = PlatformUpgrade(node, os.environ)
    node.take_signals(ConfigurationReloader(path, configuration, node.discovery, logger))
    node.discovery.start(configuration.known)
    if upgrade is None:
        node.accept()
    else:
        upgrade.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_OBJECTS)
    await node.stopping.wait()
    longest = max(c.client_timeout for c in configuration.deployment.settings.classes)
    if upgrade is None:
        await drain([node.listener], longest)
        return
    upgrade.end()
    await drain([node.listener], longest, succeeded=upgrade.succeeded())
    upgrade.close()


def _stop(reason: str) -> NoReturn:
    sys.stderr.write(f"micastand: {reason}\n")
    raise SystemExit(2)


def main() -> None:
    path = os.environ.get("GW_CONFIG")
    if not path:
        _stop("GW_CONFIG names no configuration")
    try:
        configuration = read_configuration(path)
    except CONFIGURATION_ERRORS as problem:
        _stop(f"configuration {path}: {problem}")
    try:
        uvloop.run(serve(configuration, path))
    except OSError as problem:
        _stop(f"can't listen: {problem}")
