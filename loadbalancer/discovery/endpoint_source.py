"""What a source of endpoints and the one who takes its lists know of each other."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.policy.events import EndpointEntry

Address = tuple[str, int]
"""Host and port."""
Entry = tuple[EndpointEntry, Address]
"""An entry for the policy, and where the endpoint listens."""


class EndpointListener(Protocol):
    """Who is notified of endpoints."""

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Take a list.

        Args:
            entries: The endpoints.
            whole: Whether these are all endpoints; otherwise they change the list that is held.
            stale: Whether the list is from before a restart.
        """

    def list_failed(self, busy: bool = False) -> None:
        """Hear that a call to the source has failed; the list that is held stands.

        Args:
            busy: Whether the call had waited in line behind others' calls.
        """


class EndpointSource(Protocol):
    """Where a pool's endpoints come from."""

    def watch(self, on: bool) -> None:
        """Begin or end notifying of changes."""

    def close(self) -> None:
        """Notify of nothing any more, and release what is open."""
