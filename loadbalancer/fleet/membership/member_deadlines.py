"""Deadlines of the rows of the member table."""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.member_table import Peer


class MemberDeadlines:
    """Tracks a lower bound of all rows' deadlines, so that rows are examined only after it."""

    def __init__(self, context: ViewContext) -> None:
        self._context = context
        self._earliest = math.inf

    @property
    def earliest(self) -> float:
        """The time before which no row is due."""
        return self._earliest

    def deadline(self, peer: Peer) -> float:
        """Return the deadline of a row.

        A suspect is due when its suspicion expires, a dead member when it is to be contacted or forgotten, a member
        that has left when it is to be forgotten, and a member that is alive never.
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
        """Return the time at which a member that does not live is to be forgotten."""
        return peer.status_since + self._context.timers.forget_after

    def update(self, peer: Peer) -> None:
        """Account for the deadline of a row that has changed."""
        self.check_by(self.deadline(peer))

    def check_by(self, at: float) -> None:
        """Examine the rows at this time at the latest."""
        self._earliest = min(self._earliest, at)

    def due(self, now: float) -> Iterator[Peer]:
        """Yield the rows that are due, in the table's order.

        The caller handles each row before it requests the next one: the row's deadline is read again after that.
        """
        if now < self._earliest:
            return
        self._earliest = math.inf
        for peer in list(self._context.table):
            if peer.state.status != MemberStatus.ALIVE:
                if self.deadline(peer) <= now:
                    yield peer
                self.check_by(self.deadline(peer))
