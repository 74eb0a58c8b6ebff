"""When a row of the member table needs attention because time has passed."""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.member_table import Peer


class MemberDeadlines:
    """Keeps the earliest time at which any row may be due, so that rows are looked at only then."""

    def __init__(self, context: ViewContext) -> None:
        self._context = context
        self._earliest = math.inf

    @property
    def earliest(self) -> float:
        """No row is due before this time."""
        return self._earliest

    def deadline(self, peer: Peer) -> float:
        """Return when a row is due.

        A suspect is due when its suspicion expires, a dead member when it is to be called or forgotten, one that has
        left when it is to be forgotten, one that is alive never.
        """
        context = self._context
        match peer.state.status:
            case MemberStatus.SUSPECT:
                return peer.suspicion.expires_at(context.timers, context.table.fleet_size)
            case MemberStatus.DEAD:
                return min(peer.reconnect_at, self.forget_at(peer))
            case MemberStatus.LEFT:
                return self.forget_at(peer)
            case _:
                return math.inf

    def forget_at(self, peer: Peer) -> float:
        """Return when a member that does not live is to be forgotten."""
        return peer.status_since + self._context.timers.forget

    def update(self, peer: Peer) -> None:
        """Take a row into account that has changed."""
        self.check_by(self.deadline(peer))

    def check_by(self, at: float) -> None:
        """Look at the rows at this time at the latest."""
        self._earliest = min(self._earliest, at)

    def due(self, now: float) -> Iterator[Peer]:
        """Yield the rows that are due, in the table's order.

        The caller handles each row before it takes the next: what it changes counts for the next look.
        """
        if now < self._earliest:
            return
        self._earliest = math.inf
        for peer in list(self._context.table):
            if peer.state.status != MemberStatus.ALIVE:
                if self.deadline(peer) <= now:
                    yield peer
                self.check_by(self.deadline(peer))
