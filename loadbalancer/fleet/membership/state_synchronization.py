"""Anti-entropy: exchanges of whole member tables between two instances over TCP.

An exchange starts when a living peer reports a digest that differs from ours while our own has not changed for a probe
interval, when an alive notice arrives from a process that the table does not record as living, and periodically with a
random member. It transfers what gossip has missed.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.events import SynchronizeState
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.settings import Address

#: Up to this many living members the minimum time between two exchanges is the `min_exchange_interval` timer; in a
#: larger fleet it grows in proportion, as each exchange is larger.
FULL_RATE_FLEET_SIZE = 40


class StateSynchronization:
    """Decides when to exchange tables, and with which peer; owns the timers for it."""

    def __init__(self, context: ViewContext) -> None:
        self._context = context
        self._periodic_at = math.inf
        self._last_started_at = -math.inf

    @property
    def next_timer(self) -> float:
        """When the next periodic exchange is due."""
        return self._periodic_at

    def start(self, now: float) -> None:
        """Start periodic exchanges with a random delay."""
        self._schedule_periodic(now)

    def _schedule_periodic(self, now: float) -> None:
        context = self._context
        self._periodic_at = now + context.timers.periodic_exchange_interval * (0.5 + context.random.random())

    def run_timers(self, now: float) -> None:
        """Exchange tables with a random living member if the periodic exchange is due."""
        if now < self._periodic_at:
            return
        self._schedule_periodic(now)
        living = self._context.table.living
        if living:
            self._request_with_peer(now, self._context.random.choice(living))

    def compare_digest(self, now: float, peer: Peer, digest: int) -> None:
        """Record the digest that a peer has reported; exchange tables if it differs from our own settled digest."""
        peer.digest = digest
        peer.digest_at = now
        table = self._context.table
        settled = now - table.changed_at > self._context.timers.probe_interval
        if digest != table.digest and settled and peer.is_live:
            self._request_with_peer(now, peer)

    def _request_with_peer(self, now: float, peer: Peer) -> None:
        self.request(now, peer.state.name, peer.state.boot, peer.state.address)

    def request(self, now: float, name: str, boot: int, address: Address) -> None:
        """Exchange tables with one peer, at a rate limited by the fleet size.

        The limit does not apply while this instance is not a member.
        """
        context = self._context
        pause = context.timers.min_exchange_interval * max(
            1.0, context.table.fleet_size / FULL_RATE_FLEET_SIZE
        )
        if not context.local.is_member or now - self._last_started_at >= pause:
            self._last_started_at = now
            context.counters["exchanges"] += 1
            context.request(SynchronizeState(name, boot, address))
