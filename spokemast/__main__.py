"""The real proxy: configuration, loop, signals."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from typing import Any, NamedTuple, NoReturn

import orjson
import uvloop

from spokemast.core.proxy import Proxy
from spokemast.fronts.http1 import ClientConnection
from spokemast.fronts.listener import Listener, drain
from spokemast.fronts.platform import PlatformReader
from spokemast.limits import Complaints, Limits, describe_context
from spokemast.members.watch import Discovery
from spokemast.settings import Deployment, read_deployment

#: New objects between two collections. What the proxy drops has no cycles, so few are needed, and each
#: one holds up all requests.
GC_OBJECTS = 50_000


class Configuration(NamedTuple):
    deployment: Deployment
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: Any
    told: Any  # the limits as the deployment words them, for the log


def _address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def read_configuration(path: str) -> Configuration:
    with open(path, "rb") as file:
        box = orjson.loads(file.read())
    if not isinstance(box, dict):
        raise ValueError("not an object")
    for key in ("settings", "listen", "discovery"):
        if key not in box:
            raise ValueError(f"{key}: missing")
    limits = box.get("limits", {})
    return Configuration(
        read_deployment(box["settings"]),
        _address(box["listen"], "listen"),
        _address(box["discovery"], "discovery"),
        int(str(box.get("seed", "0")), 16),
        Limits(float(limits.get("memory_mb", 128)), int(limits.get("sockets", 1024))),
        box.get("known"),
        limits,
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
    deployment, limits = configuration.deployment, configuration.limits
    proxy = Proxy(deployment, configuration.seed, limits, complain)
    discovery = Discovery(proxy, deployment, configuration.discovery, complain)
    proxy.source = discovery
    slots = limits.client_sockets, limits.overflow_sockets
    listener = Listener(PlatformReader(proxy, deployment), slots, complain, ClientConnection)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: complain("defect", describe_context(context)))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, Reloader(path, configuration, discovery, complain))
    discovery.start(configuration.known)
    host, port = listener.listen(configuration.listen)
    sys.stderr.write(f"spokemast: listening on {host}:{port}, limits {configuration.told}\n")
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_OBJECTS)
    await stopping.wait()
    await drain([listener], max(c.give_up for c in deployment.settings.classes))


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


if __name__ == "__main__":
    main()
