"""Chooses which connections of a listener are closed to make room for new ones, and in which order.

No I/O and no clock: the caller closes the connections.
"""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING, Iterable, Iterator

if TYPE_CHECKING:
    from loadbalancer.frontends.connection import FrontConnection

#: Connections of each group that one eviction examines; examining more costs too much when all are in use.
EVICT_TRIES = 8
#: Limit for a group whose connections may be evicted however recently their phase began.
ANY_TIME = math.inf


class EvictableConnections:
    """Holds the connections without an open request, grouped by the requests they have carried, oldest first.

    Attributes:
        unused: No complete request has arrived.
        idle: Idle after their first request.
        reused: Idle after more requests.
        lingering: The last answer has been written.
    """

    def __init__(self) -> None:
        self.unused: dict[FrontConnection, None] = {}
        self.idle: dict[FrontConnection, None] = {}
        self.reused: dict[FrontConnection, None] = {}
        self.lingering: dict[FrontConnection, None] = {}

    def add_idle(self, connection: FrontConnection) -> None:
        """Add a connection that waits for its next request."""
        (self.idle if connection.request_count < 2 else self.reused)[connection] = None

    def remove_idle(self, connection: FrontConnection) -> None:
        """Remove a connection on which a request has begun."""
        self.idle.pop(connection, None)
        self.reused.pop(connection, None)

    def remove(self, connection: FrontConnection) -> None:
        """Remove a connection that must not be evicted."""
        for group in (self.unused, self.idle, self.reused, self.lingering):
            group.pop(connection, None)

    def candidates(
        self, silent_before: float, answered_before: float, opening: int, spares_known: bool
    ) -> Iterator[FrontConnection]:
        """Yield connections that may be evicted, the least useful first, a few from each group.

        Args:
            silent_before: Monotonic time; connections that opened before it and sent no complete request go first.
            answered_before: Monotonic time; connections answered after it may have their next request in flight.
            opening: Number of accepted connections that are not open yet.
            spares_known: Whether known clients keep their connections.
        """
        for group, began_before in self._groups(silent_before, answered_before, opening):
            allowed = (each for each in group if not (spares_known and each.is_protected()))
            oldest = islice(allowed, EVICT_TRIES)
            yield from [each for each in oldest if each.since < began_before]

    def _groups(
        self, silent_before: float, answered_before: float, opening: int
    ) -> Iterator[tuple[Iterable[FrontConnection], float]]:
        """Yield groups, each with the time before which the phase of a connection must have begun to be evicted."""
        yield self.unused, silent_before
        yield self.lingering, silent_before
        yield self.idle, answered_before
        if len(self.idle) > len(self.unused) + opening:
            yield self.idle, ANY_TIME
        yield self.unused, ANY_TIME
        yield self.reused, answered_before
        if not opening:  # the slot would go to a connection that has not even sent a request
            yield self.idle, ANY_TIME
            yield self.reused, ANY_TIME
        yield self.lingering, ANY_TIME
