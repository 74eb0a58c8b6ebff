"""What the platform's `run` does where operators reach it: management, marks, and upgrades.

Loaded only there. Files and sockets are their owners' (shared.py, management/server.py); what a process may do beside
another one is decided in phases.py, and this carries it out.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Mapping

from loadbalancer.discovery.platform_overrides import PlatformOverrides
from loadbalancer.hot_restart.override_writer import OverrideWriter
from loadbalancer.hot_restart.phases import ACCEPTING, Observation, Phase, phase, share
from loadbalancer.hot_restart.shared_files import OverridesFile, ProcessFile
from loadbalancer.management import platform_names as names
from loadbalancer.management.calls import ManagementSession
from loadbalancer.management.server import ManagementServer
from loadbalancer.platform.node import Node
from loadbalancer.platform.operations import PATHS, PlatformOperations
from loadbalancer.resource_limits import ResourceLimits

#: How often the folder is looked at: what the other process says counts within this.
LOOK_S = 0.1


class PlatformUpgrade:
    """Owns the management address, the marks, and this process's place among those of one proxy."""

    def __init__(self, node: Node, environment: Mapping[str, str]) -> None:
        """OSError where the operators' address can't be had."""
        configuration = node.configuration
        self.node, self.logger = node, node.logger
        self._began = time.monotonic()
        self._loop = asyncio.get_running_loop()
        self._file: OverridesFile | None = None
        self._life: ProcessFile | None = None
        self._elders: frozenset[str] = frozenset()
        self._open_folder(environment.get(names.FOLDER_VARIABLE), configuration.accept_fd is not None)
        self._keeper = OverrideWriter(self._file.save) if self._file is not None else None
        self.marks = PlatformOverrides(node.proxy, self._keeper, time.time, self.logger)
        node.proxy.marks = self.marks
        if self._file is not None:
            self.marks.follow(self._file.read() or {})
        self.phase, self._share = Phase.ALONE, configuration.limits.sockets
        self._processes = 1
        self.server: ManagementServer | None = None
        if configuration.management is not None:
            operations = PlatformOperations(
                node.proxy, configuration.deployment.classes, self.marks, self.serves
            )
            self.server = ManagementServer(ManagementSession(PATHS, operations), self.logger)
            self.server.listen(configuration.management)

    def start(self) -> None:
        """Take clients, unless an older process takes them for now; OSError where the address can't be had."""
        self._look()
        if self.phase in ACCEPTING and not self.node.listener.accepting:
            self.node.accept()
        self._timer = self._loop.call_later(LOOK_S, self._tick)

    def _open_folder(self, folder: str | None, shared: bool) -> None:
        """Guards against a folder that takes no file: the process then runs as if it were alone."""
        if not folder:
            return
        self._file = OverridesFile(Path(folder), self.logger)
        if shared:
            try:
                self._life = ProcessFile(Path(folder))
                self._elders = frozenset(self._life.others())
            except OSError as problem:
                self.logger("no upgrade can be seen", problem)

    # What others ask.

    def serves(self) -> bool:
        return self.phase in ACCEPTING and self.node.serves()

    def succeeded(self) -> bool:
        """Whether another process takes the clients from now on."""
        return self._processes > 1

    def end(self) -> None:
        """The process was told to end: it takes no more, and gives up what it does not need."""
        self._look()

    def close(self) -> None:
        self._timer.cancel()
        if self.server is not None:
            self.server.close()
        if self._keeper is not None:
            self._keeper.close()
        if self._life is not None:
            self._life.close()

    # Looking.

    def _tick(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._tick)
        if self._file is not None:
            marks = self._file.changed()
            if marks is not None:
                self.marks.follow(marks)
        self._look()

    def _look(self) -> None:
        """See who is there, decide, and carry it out."""
        if self._life is None:
            return
        node = self.node
        try:
            others = self._life.others()
        except OSError as problem:
            self.logger("the shared folder can't be read", problem)
            return
        self._elders &= others.keys()
        proxy, ending = node.proxy, node.stopping.is_set()
        seen = Observation(
            time.monotonic() - self._began,
            bool(proxy.listed),
            proxy.fresh,
            bool(self._elders),
            list(others.values()),
            ending,
            node.used(),
        )
        self._become(phase(seen), seen)

    def _become(self, now: Phase, seen: Observation) -> None:
        limits, processes = self.node.configuration.limits, 1 + len(seen.others)
        held = share(now, seen, limits.sockets)
        if now != self.phase:
            self.logger(f"upgrade: {now.name.lower()}", f"{held} of {limits.sockets} descriptors")
        if (held, processes) != (self._share, self._processes):
            mine = ResourceLimits(limits.memory_mb / processes, held, limits.reserved_descriptors)
            self.node.resize(mine)
        self.phase, self._share, self._processes = now, held, processes
        assert self._life is not None
        self._life.claim(held)
        if now in ACCEPTING and not self.node.listener.accepting:
            self.node.accept()
