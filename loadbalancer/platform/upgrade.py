"""The management address, overrides and hot restart of the platform's `run`. Loaded only if they are configured.

`hot_restart/phases.py` decides what a process may do beside another one of the same proxy; this module applies it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any, Mapping

from loadbalancer.discovery.list_copy import ListCopy
from loadbalancer.discovery.platform_overrides import PlatformOverrides
from loadbalancer.hot_restart.override_writer import OverrideWriter
from loadbalancer.hot_restart.phases import ACCEPTING, Observation, Phase, phase, share
from loadbalancer.hot_restart.shared_files import OverridesFile, ProcessFile
from loadbalancer.hot_restart.shared_ids import map_earlier_ids, map_shared_ids
from loadbalancer.hot_restart.shared_list import EndpointListFile
from loadbalancer.management import platform_names as names
from loadbalancer.management.calls import ManagementSession
from loadbalancer.management.server import ManagementServer
from loadbalancer.platform.node import Node
from loadbalancer.platform.operations import PATHS, PlatformOperations
from loadbalancer.proxy.recent_ids import EARLIER_IDS_BYTES, RECENT_IDS_BYTES
from loadbalancer.resource_limits import ResourceLimits

#: Interval at which the shared folder is polled: what another process writes takes effect within it.
POLL_INTERVAL_S = 0.1


class PlatformUpgrade:
    """Owns the management address, the overrides, and this process's file among those of one proxy.

    Attributes:
        phase: Phase of this process.
        overrides: The endpoints that operators have cordoned.
    """

    def __init__(self, node: Node, environment: Mapping[str, str]) -> None:
        """Open the shared folder and the management address; OSError if the address can't be bound."""
        configuration = node.configuration
        self.phase = Phase.ALONE
        self._node = node
        self._logger = node.logger
        self._started_at = time.monotonic()
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._overrides_file: OverridesFile | None = None
        self._process_file: ProcessFile | None = None
        self._list_file: EndpointListFile | None = None
        self._shared_list: tuple[str, int] | None = (
            None  # service and version of what was last written to the file
        )
        self._elders: frozenset[str] = frozenset()  # file names of older processes that still run
        self._open_folder(environment.get(names.FOLDER_VARIABLE), configuration.accept_fd is not None)
        self._writer: OverrideWriter | None = None
        self._sockets = configuration.limits.sockets  # descriptors that this process may use
        self._processes = 1
        self.overrides = self._make_overrides()
        self._server = self._open_server()

    def _open_folder(self, folder: str | None, shared: bool) -> None:
        """Use the folder; if no file can be created in it, the process runs as if it were alone."""
        if not folder:
            return
        self._overrides_file = OverridesFile(Path(folder), self._logger)
        if shared:
            try:
                self._process_file = ProcessFile(Path(folder))
                self._elders = frozenset(self._process_file.others())
                recent_ids = map_shared_ids(Path(folder), RECENT_IDS_BYTES)
                self._node.proxy.ids.share(recent_ids, map_earlier_ids(Path(folder), EARLIER_IDS_BYTES))
                self._list_file = EndpointListFile(Path(folder), self._logger)
                self._node.discovery.copy = ListCopy()
            except (OSError, ValueError) as problem:
                self._logger("no upgrade can be seen", problem)

    def _make_overrides(self) -> PlatformOverrides:
        file = self._overrides_file
        if file is not None:
            self._writer = OverrideWriter(file.save)
        overrides = PlatformOverrides(self._node.proxy, self._writer, time.time, self._logger)
        self._node.proxy.overrides = overrides
        if file is not None:
            overrides.follow(file.read() or {})
        return overrides

    def _open_server(self) -> ManagementServer | None:
        configuration = self._node.configuration
        if configuration.management is None:
            return None
        operations = PlatformOperations(
            self._node.proxy, configuration.deployment.classes, self.overrides, self.serves
        )
        server = ManagementServer(ManagementSession(PATHS, operations), self._logger)
        server.listen(configuration.management)
        return server

    # The endpoint list.

    def latest_list(self, known: object) -> object:
        """Return the list that this process starts with.

        Args:
            known: The list of the configuration, which may be old, in the service's format.

        Returns:
            The list of another process, if that is a later version, else `known`.
        """
        shared = self._read_shared_list()
        if shared is None:
            return known
        version = known.get("version") if isinstance(known, dict) else None
        if isinstance(version, int) and version > shared["version"]:
            return known
        self._logger("endpoint list of another process", f"version {shared['version']}")
        return shared

    def _read_shared_list(self) -> dict[str, Any] | None:
        if self._list_file is None or not self._list_file.is_changed():
            return None
        return self._list_file.read(self._service())

    def _service(self) -> str:
        """Return the address of the discovery service, within which versions are valid."""
        return "{}:{}".format(*self._node.discovery.address)

    def _share_list(self) -> None:
        """Write a new list to the file; or, without one of its own yet, adopt what another process has written."""
        discovery = self._node.discovery
        copy = discovery.copy
        if self._list_file is None or copy is None:
            return
        if self._node.proxy.has_fresh_list and copy.version is not None:
            latest = self._service(), copy.version
            if latest != self._shared_list and self._list_file.write(self._service(), copy.value()):
                self._shared_list = latest
        elif discovery.pushed:
            shared = self._read_shared_list()
            if shared is not None and shared["version"] > (discovery.version or 0):
                discovery.adopt(shared)

    def start(self) -> None:
        """Accept clients, if the phase allows it, and start polling; OSError if the address can't be bound."""
        self._poll()
        self._accept_if_due()
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._tick)

    def _accept_if_due(self) -> None:
        if self.phase in ACCEPTING and not self._node.listener.accepting:
            self._node.accept()

    def serves(self) -> bool:
        """Return whether this process accepts clients and can serve them."""
        return self.phase in ACCEPTING and self._node.serves()

    def succeeded(self) -> bool:
        """Return whether another process is running, which accepts clients from now on."""
        return self._processes > 1

    def end(self) -> None:
        """Release the descriptors that are not needed any more, after the process was told to end."""
        self._poll()

    def close(self) -> None:
        """Release the address, the writer's thread, and the process's file."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._writer is not None:
            self._writer.close()
        if self._process_file is not None:
            self._process_file.close()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._tick)
        if self._overrides_file is not None:
            overrides = self._overrides_file.changed()
            if overrides is not None:
                self.overrides.follow(overrides)
        self._share_list()
        self._poll()

    def _poll(self) -> None:
        """Find the other running processes, determine this one's phase, and apply it."""
        if self._process_file is None:
            return
        try:
            others = self._process_file.others()
        except OSError as problem:
            self._logger("the shared folder can't be read", problem)
            return
        self._elders &= others.keys()
        proxy = self._node.proxy
        observation = Observation(
            age=time.monotonic() - self._started_at,
            listed=bool(proxy.listed),
            fresh=proxy.has_fresh_list,
            elders=bool(self._elders),
            others=list(others.values()),
            ending=self._node.stopping.is_set(),
            used=self._node.used(),
        )
        self._enter(phase(observation), observation, self._process_file)

    def _enter(self, entered: Phase, observation: Observation, file: ProcessFile) -> None:
        limits = self._node.configuration.limits
        processes = 1 + len(observation.others)
        sockets = share(entered, observation, limits.sockets)
        if entered != self.phase:
            self._logger(f"upgrade: {entered.name.lower()}", f"{sockets} of {limits.sockets} descriptors")
        if (sockets, processes) != (self._sockets, self._processes):
            memory_mb = limits.memory_mb / processes
            self._node.resize(ResourceLimits(memory_mb, sockets, limits.reserved_descriptors))
        self.phase = entered
        self._sockets = sockets
        self._processes = processes
        file.claim(sockets)
        self._accept_if_due()
