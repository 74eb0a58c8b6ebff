"""The platform's `run`: configuration, loop, signals."""

from __future__ import annotations

import gc
import os
import sys
from typing import Any, Mapping, NoReturn

import orjson
import uvloop

from loadbalancer.deployment import read_deployment
from loadbalancer.discovery.watch import Discovery
from loadbalancer.frontends.listener import drain
from loadbalancer.management import platform_names as names
from loadbalancer.platform.node import Configuration, Node
from loadbalancer.resource_limits import Complaints, Limits

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


def read_configuration(path: str, environment: Mapping[str, str] = os.environ) -> Configuration:
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
    return Configuration(
        read_deployment(box["settings"]),
        _address(box["listen"], "listen"),
        _address(box["discovery"], "discovery"),
        int(str(box.get("seed", "0")), 16),
        Limits(
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
UNREADABLE = (OSError, ValueError, TypeError, KeyError, AttributeError)


class Reloader:
    """Takes over, at SIGHUP, what a running proxy can: where discovery is.

    The file is read and checked whole first. Guards against one that is half written, wrong or gone:
    it is logged, and what runs stays as it is."""

    def __init__(self, path: str, running: Configuration, discovery: Discovery, complain: Complaints) -> None:
        self.path, self.running, self.discovery, self.complain = path, running, discovery, complain

    def __call__(self) -> None:
        try:
            new = read_configuration(self.path)
        except UNREADABLE as problem:
            self.complain("new configuration not taken", problem)
            return
        old = self.running
        if (new.deployment, new.listen, new.told) != (old.deployment, old.listen, old.told):
            self.complain("new configuration", "settings, listen and limits count from the next start")
        self.discovery.move(new.discovery)
        host, port = new.discovery
        self.complain("new configuration taken", f"discovery at {host}:{port}")


async def serve(configuration: Configuration, path: str) -> None:
    complain = Complaints()
    node = Node(configuration, complain)
    upgrade = None
    if configuration.management is not None or configuration.accept_fd is not None:
        from loadbalancer.platform.upgrade import Operated  # loaded where it is configured

        upgrade = Operated(node, os.environ)
    node.take_signals(Reloader(path, configuration, node.discovery, complain))
    node.discovery.start(configuration.known)
    if upgrade is None:
        node.accept()
    else:
        upgrade.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_OBJECTS)
    await node.stopping.wait()
    longest = max(c.give_up for c in configuration.deployment.settings.classes)
    if upgrade is None:
        await drain([node.listener], longest)
        return
    upgrade.end()
    await drain([node.listener], longest, succeeded=upgrade.succeeded())
    upgrade.close()


def _stop(reason: str) -> NoReturn:
    sys.stderr.write(f"spokemast: {reason}\n")
    raise SystemExit(2)


def main() -> None:
    path = os.environ.get("GW_CONFIG")
    if not path:
        _stop("GW_CONFIG names no configuration")
    try:
        configuration = read_configuration(path)
    except UNREADABLE as problem:
        _stop(f"configuration {path}: {problem}")
    try:
        uvloop.run(serve(configuration, path))
    except OSError as problem:
        _stop(f"can't listen: {problem}")
