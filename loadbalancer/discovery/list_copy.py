"""Keeps the endpoint list in the service's own format, so that another process of the same proxy can start with it.

No I/O, no clock.
"""

from __future__ import annotations

from typing import Any, Mapping


class ListCopy:
    """The endpoint list as the service has sent it, with the changes since.

    Attributes:
        version: The service's version of the list; None before the first one.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self.version: int | None = None
        self._servers: dict[str, Mapping[str, Any]] = {}

    def apply(self, value: Mapping[str, Any], version: int, full: bool) -> None:
        """Apply a list, or changes to one.

        Args:
            value: The message of the service, which has been found to be valid.
            version: Its version.
            full: Whether it names all endpoints.
        """
        self.version = version
        if full:
            self._servers.clear()
        for server in value["servers"]:
            if not isinstance(server, dict) or not isinstance(server.get("id"), str):
                continue
            if server.get("state") == "DELETED":
                self._servers.pop(server["id"], None)
            else:
                self._servers[server["id"]] = server

    def clear(self) -> None:
        """Forget the list: another service will send its own."""
        self.version = None
        self._servers.clear()

    def value(self) -> dict[str, Any]:
        """Return the whole list in the service's format."""
        return {"version": self.version, "full": True, "servers": list(self._servers.values())}
