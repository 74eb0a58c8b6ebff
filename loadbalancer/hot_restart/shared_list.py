"""The file in which the processes of one proxy share the endpoint list that they have from the discovery service.

A process that starts while the service can't be reached would otherwise serve by the list of its configuration, which
may name endpoints that have been draining for long.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from loadbalancer.resource_limits import RateLimitedLogger

LIST_FILE = "micastand-endpoints"
MAX_LIST_BYTES = 16 << 20
"""Maximum bytes that are read of the file."""


class EndpointListFile:
    """Stores the list by writing a new file and renaming it over the old one; what fails is logged, and tried again."""

    def __init__(self, folder: Path, logger: RateLimitedLogger) -> None:
        """Use the file in a folder, without opening it yet."""
        self._path = folder / LIST_FILE
        self._logger = logger
        self._stamp: tuple[int, int] | None = None  # inode and time of the file that was last read or written

    def is_changed(self) -> bool:
        """Return whether another process has written the file since this one read or wrote it."""
        try:
            status = os.stat(self._path)
        except OSError:
            return False
        return (status.st_ino, status.st_mtime_ns) != self._stamp

    def read(self, service: str) -> dict[str, Any] | None:
        """Return the list in the service's format, if there is one of this service.

        Args:
            service: Address of the discovery service; versions are only valid within one.
        """
        try:
            with open(self._path, "rb") as file:
                status = os.fstat(file.fileno())
                content = orjson.loads(file.read(MAX_LIST_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as problem:
            self._logger("endpoint list not read", f"{self._path}: {problem}")
            return None
        self._stamp = status.st_ino, status.st_mtime_ns
        if not isinstance(content, dict) or content.get("service") != service:
            return None
        value = content.get("list")
        return value if isinstance(value, dict) and isinstance(value.get("version"), int) else None

    def write(self, service: str, value: dict[str, Any]) -> bool:
        """Write the list, unless another process has written a later version; return whether the file is up to date."""
        if self.is_changed():
            other = self.read(service)
            if other is not None and other["version"] > value["version"]:
                return True
        new_path = self._path.with_name(f"{LIST_FILE}.{os.getpid()}")
        try:
            with open(new_path, "wb") as file:
                file.write(orjson.dumps({"service": service, "list": value}))
                file.flush()
                status = os.fstat(file.fileno())
            os.replace(new_path, self._path)
        except OSError as problem:
            with suppress(OSError):
                os.unlink(new_path)
            self._logger("endpoint list not written", problem)
            return False
        self._stamp = status.st_ino, status.st_mtime_ns
        return True
