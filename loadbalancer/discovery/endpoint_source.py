"""What a source of members and the one who takes its lists know of each other."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.policy.events import (
    EndpointEntry,
)

#: An entry for the module, and where the member listens.
Entry = tuple[EndpointEntry, tuple[str, int]]


class EndpointListener(Protocol):
    """Who is told of members."""

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """A list, or a change to it; `stale`: from before a restart."""

    def list_failed(self, busy: bool = False) -> None:
        """The call failed, after waiting in line where `busy`; what was listed before stands."""


class EndpointSource(Protocol):
    """Where a pool's members come from."""

    def watch(self, on: bool) -> None:
        """Whether the pool wants to be told of changes from now on."""

    def close(self) -> None:
        """Nothing more is told, and nothing stays open."""
