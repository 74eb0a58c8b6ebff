"""The platform's `run` command: reads the configuration, runs one proxy until a signal, and drains its requests."""

from __future__ import annotations

import gc
import os

import uvloop

from loadbalancer.allocator import return_freed_blocks
from loadbalancer.frontends.listener import drain
from loadbalancer.line_writer import LineWriter, standard_error
from loadbalancer.platform.configuration import (
    CONFIGURATION_ERRORS,
    ConfigurationReloader,
    NodeConfiguration,
    read_configuration,
)
from loadbalancer.platform.node import Node
from loadbalancer.platform.process_exit import stop
from loadbalancer.resource_limits import RateLimitedLogger

#: Environment variable with the path of the configuration file.
CONFIGURATION_VARIABLE = "GW_CONFIG"
#: New objects between two garbage collections. The objects that the proxy releases form no reference cycles, so few
#: collections are needed, and each one delays all requests.
OBJECTS_PER_COLLECTION = 50_000


async def serve(configuration: NodeConfiguration, path: str) -> None:
    """Run one proxy until it is told to end; OSError if a socket can't be opened.

    Args:
        configuration: Its configuration.
        path: Path of the configuration file, for reloads.
    """
    writer = LineWriter(standard_error())
    try:
        await _serve(configuration, path, RateLimitedLogger(writer))
    finally:
        writer.close()


async def _serve(configuration: NodeConfiguration, path: str, logger: RateLimitedLogger) -> None:
    node = Node(configuration, logger)
    upgrade = None
    if configuration.management is not None or configuration.accept_fd is not None:
        from loadbalancer.platform.upgrade import PlatformUpgrade  # loaded only if it is configured

        upgrade = PlatformUpgrade(node, os.environ)
    node.handle_signals(ConfigurationReloader(path, configuration, node.discovery, logger))
    if upgrade is None:
        node.discovery.start(configuration.known)
        node.accept()
    else:
        node.discovery.start(upgrade.latest_list(configuration.known))
        upgrade.start()
    _tune_garbage_collection()
    await node.stopping.wait()
    longest = max(cls.client_timeout for cls in configuration.deployment.settings.classes)
    if upgrade is None:
        await drain([node.listener], longest)
        return
    upgrade.end()
    await drain([node.listener], longest, has_successor=upgrade.succeeded())
    upgrade.close()


def _tune_garbage_collection() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(OBJECTS_PER_COLLECTION)


def main() -> None:
    """Run the proxy that the environment's configuration file describes."""
    path = os.environ.get(CONFIGURATION_VARIABLE)
    if not path:
        stop(
            f"the environment variable {CONFIGURATION_VARIABLE} is not set to the path of a configuration file"
        )
    try:
        configuration = read_configuration(path)
    except CONFIGURATION_ERRORS as problem:
        stop(f"configuration {path}: {problem}")
    return_freed_blocks()
    try:
        uvloop.run(serve(configuration, path))
    except OSError as problem:
        stop(f"can't listen: {problem}")
