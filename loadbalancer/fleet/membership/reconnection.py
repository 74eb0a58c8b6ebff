"""Calling members that are held dead, so that a partition heals and a member that was wrongly declared dead returns.

Rules:

1. The dead are called ever more rarely, and until they are forgotten.
2. At most one is called in each `try_each` interval, which bounds what many dead members cost.
3. When one that was held dead returns, a partition may have healed, and all other dead are called soon, once.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.member_table import Peer


class Reconnection:
    """Decides when a dead member is called; the times of each member stand in its row."""

    def __init__(self, context: ViewContext, dissemination: Dissemination) -> None:
        self._context = context
        self._dissemination = dissemination
        self._last_call_at = -math.inf
        self._last_hurry_at = -math.inf

    @property
    def next_call_at(self) -> float:
        """When rule 2 allows the next call, in seconds on the view's clock."""
        return self._last_call_at + self._context.timers.try_each

    def schedule_first(self, now: float, peer: Peer) -> None:
        """Plan the first call of a member that has just been held dead."""
        peer.reconnect_interval = self._context.timers.try_first
        peer.reconnect_at = now + peer.reconnect_interval * (0.5 + self._context.random.random())

    def hurry(self, now: float) -> float:
        """Plan early calls of all that are dead (rule 3), at most once a `try_first` interval.

        Returns:
            When the earliest is due, infinity where nothing was planned.
        """
        context = self._context
        soonest = math.inf
        if now < self._last_hurry_at + context.timers.try_first:
            return soonest
        self._last_hurry_at = now
        for peer in context.table:
            if peer.state.status == MemberStatus.DEAD:
                peer.reconnect_interval = context.timers.try_first
                early = now + context.timers.try_first * context.random.random()
                peer.reconnect_at = min(peer.reconnect_at, early)
                soonest = min(soonest, peer.reconnect_at)
        return soonest

    def call_if_allowed(self, now: float, peer: Peer) -> None:
        """Call a dead member that is due, unless another was called too recently (rule 2)."""
        if now >= self.next_call_at:
            self._call(now, peer)

    def _call(self, now: float, peer: Peer) -> None:
        """Say hello to whichever process is at its address, and plan the next call."""
        context = self._context
        timers = context.timers
        self._last_call_at = now
        longest = timers.try_late if now - peer.status_since > timers.late_after else timers.try_most
        peer.reconnect_interval = min(longest, peer.reconnect_interval * 2)
        peer.reconnect_at = now + peer.reconnect_interval * (0.75 + 0.5 * context.random.random())
        context.counters["tries"] += 1
        self._dissemination.send(peer.state.address, 0, context.local.hello())
