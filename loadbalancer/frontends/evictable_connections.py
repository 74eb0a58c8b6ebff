"""The connections of a listener that may be closed to make room for others, and in which order.

No I/O and no clock: whoever asks closes what it is given.
"""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING, Iterable, Iterator

if TYPE_CHECKING:
    from loadbalancer.frontends.connection import FrontConnection

#: Idle connections that are looked at for one to close; more would cost too much where all are in use.
EVICT_TRIES = 8
#: Of a group whose connections need not be at rest.
ANY_TIME = math.inf


class EvictableConnections:
    """Connections on which no request is open, by what they have carried; in each group the oldest comes first.

    Attributes:
        unused: No whole request has come.
        idle: Idle after the first request.
        reused: Idle after more requests.
        lingering: Answered for the last time.
    """

    def __init__(self) -> None:
        self.unused: dict[FrontConnection, None] = {}
        self.idle: dict[FrontConnection, None] = {}
        self.reused: dict[FrontConnection, None] = {}
        self.lingering: dict[FrontConnection, None] = {}

    def add_idle(self, connection: FrontConnection) -> None:
        """No request is open on it; the next may come."""
        (self.idle if connection.asked < 2 else self.reused)[connection] = None

    def remove_idle(self, connection: FrontConnection) -> None:
        """A request begins on it."""
        self.idle.pop(connection, None)
        self.reused.pop(connection, None)

    def remove(self, connection: FrontConnection) -> None:
        """It is not to be closed to make room."""
        for group in (self.unused, self.idle, self.reused, self.lingering):
            group.pop(connection, None)

    def candidates(
        self, silent_before: float, answered_before: float, opening: int, spares_known: bool
    ) -> Iterator[FrontConnection]:
        """What may be closed to make room, the least useful first; a few of each group.

        Args:
            silent_before: Monotonic; connections that are older and have said nothing go first.
            answered_before: Monotonic; of those answered later the next request may be on its way.
            opening: Connections that were accepted and are not open yet.
            spares_known: Whether known clients keep their connections.
        """
        for group, rests_since in self._groups(silent_before, answered_before, opening):
            allowed = (each for each in group if not (spares_known and each.is_guarded()))
            oldest = islice(allowed, EVICT_TRIES)
            yield from [each for each in oldest if each.since < rests_since]

    def _groups(
        self, silent_before: float, answered_before: float, opening: int
    ) -> Iterator[tuple[Iterable[FrontConnection], float]]:
        """Groups, and since when a connection of each has to be at rest."""
        yield self.unused, silent_before
        yield self.idle, answered_before
        if len(self.idle) > len(self.unused) + opening:
            yield self.idle, ANY_TIME
        yield self.unused, ANY_TIME
        yield self.reused, answered_before
        if not opening:  # the room would go to connections that have not even said anything
            yield self.idle, ANY_TIME
            yield self.reused, ANY_TIME
        yield self.lingering, ANY_TIME
