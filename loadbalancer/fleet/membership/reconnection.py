"""Reconnection to dead members, so that a partition heals and a member wrongly declared dead returns.

Rules:

1. A dead member is sent hellos with exponential backoff until it is forgotten.
2. At most one hello is sent in each `min_reconnect_spacing` interval, which bounds the cost of many dead members.
3. When a dead member returns, a partition may have healed: one early hello to each other dead member is scheduled.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.member_table import Peer


class Reconnection:
    """Decides when a dead member is sent a hello; the schedule of each member is kept in its row."""

    def __init__(self, context: ViewContext, dissemination: Dissemination) -> None:
        self._context = context
        self._dissemination = dissemination
        self._last_hello_at = -math.inf
        self._last_early_schedule_at = -math.inf

    @property
    def next_hello_at(self) -> float:
        """When rule 2 allows the next hello, in seconds on the view's clock."""
        return self._last_hello_at + self._context.timers.min_reconnect_spacing

    def schedule_first(self, now: float, peer: Peer) -> None:
        """Schedule the first hello to a member that has just been declared dead."""
        peer.reconnect_interval = self._context.timers.first_reconnect_interval
        peer.reconnect_at = now + peer.reconnect_interval * (0.5 + self._context.random.random())

    def schedule_early_hellos(self, now: float) -> float:
        """Schedule an early hello to each dead member (rule 3), at most once per `first_reconnect_interval` interval.

        Returns:
            When the earliest of them is due, infinity if none was scheduled.
        """
        context = self._context
        soonest = math.inf
        if now < self._last_early_schedule_at + context.timers.first_reconnect_interval:
            return soonest
        self._last_early_schedule_at = now
        for peer in context.table:
            if peer.state.status == MemberStatus.DEAD:
                peer.reconnect_interval = context.timers.first_reconnect_interval
                early = now + context.timers.first_reconnect_interval * context.random.random()
                peer.reconnect_at = min(peer.reconnect_at, early)
                soonest = min(soonest, peer.reconnect_at)
        return soonest

    def send_hello_if_allowed(self, now: float, peer: Peer) -> None:
        """Send a hello to a dead member that is due, unless rule 2 forbids it now."""
        if now >= self.next_hello_at:
            self._send_hello(now, peer)

    def _send_hello(self, now: float, peer: Peer) -> None:
        """Send a hello to any process at the member's address, and schedule the next one."""
        context = self._context
        timers = context.timers
        self._last_hello_at = now
        longest = (
            timers.max_late_reconnect_interval
            if now - peer.status_since > timers.late_reconnect_after
            else timers.max_reconnect_interval
        )
        peer.reconnect_interval = min(longest, peer.reconnect_interval * 2)
        peer.reconnect_at = now + peer.reconnect_interval * (0.75 + 0.5 * context.random.random())
        context.counters["tries"] += 1
        self._dissemination.send(peer.state.address, 0, context.local.hello())
