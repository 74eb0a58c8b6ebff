"""The interfaces between a source of endpoints and the receiver of its lists."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.policy.events import EndpointEntry

Address = tuple[str, int]
"""Host and port."""
Entry = tuple[EndpointEntry, Address]
"""An entry for the policy, and the address that the endpoint listens on."""


class EndpointListener(Protocol):
    """Receives the lists of a source."""

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Apply a list.

        Args:
            entries: The endpoints.
            whole: Whether these are all endpoints; otherwise they are changes to the current list.
            stale: Whether the list is from before a restart.
        """

    def list_failed(self, busy: bool = False) -> None:
        """Handle a failed call to the source; the current list stays in use.

        Args:
            busy: Whether the call had waited in the service's queue behind the calls of other clients.
        """


class EndpointSource(Protocol):
    """Provides the endpoints of a pool."""

    def watch(self, on: bool) -> None:
        """Start or stop notifying the listener of changes."""

    def close(self) -> None:
        """Stop notifying the listener, and release all connections, files and timers."""
