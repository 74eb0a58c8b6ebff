"""Anti-entropy: two instances exchange their whole member tables over TCP.

An exchange begins when a peer that lives reports another digest than ours after both have had time to settle, when an
instance is heard from that does not live in the table, and now and then with a random member. It finds what gossip has
missed.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.events import SynchronizeState
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.settings import Address

#: Up to this many living members an exchange may follow another after the `mend` timer; in a larger fleet the pause
#: grows in proportion, as each exchange is larger.
FULL_RATE_FLEET_SIZE = 40


class StateSynchronization:
    """Decides when to exchange tables, and with whom; owns the timers of that."""

    def __init__(self, context: ViewContext) -> None:
        self._context = context
        self._periodic_at = math.inf
        self._last_started_at = -math.inf

    @property
    def next_timer(self) -> float:
        """When the next periodic exchange is due."""
        return self._periodic_at

    def start(self, now: float) -> None:
        """Begin periodic exchanges, at a random time of the first interval."""
        self._schedule_periodic(now)

    def _schedule_periodic(self, now: float) -> None:
        context = self._context
        self._periodic_at = now + context.timers.exchange * (0.5 + context.random.random())

    def run_timers(self, now: float) -> None:
        """Exchange with a random living member if it is time."""
        if now < self._periodic_at:
            return
        self._schedule_periodic(now)
        living = self._context.table.living
        if living:
            self._request_with_peer(now, self._context.random.choice(living))

    def compare_digest(self, now: float, peer: Peer, digest: int) -> None:
        """Note the digest that a peer has reported, and exchange tables where it differs from a settled own one."""
        peer.digest = digest
        peer.digest_at = now
        table = self._context.table
        settled = now - table.changed_at > self._context.timers.period
        if digest != table.digest and settled and peer.is_live:
            self._request_with_peer(now, peer)

    def _request_with_peer(self, now: float, peer: Peer) -> None:
        self.request(now, peer.state.name, peer.state.boot, peer.state.address)

    def request(self, now: float, name: str, boot: int, address: Address) -> None:
        """Exchange tables with one peer, not more often than the size of a table allows.

        An instance that is joining may exchange with several at once.
        """
        context = self._context
        pause = context.timers.mend * max(1.0, context.table.fleet_size / FULL_RATE_FLEET_SIZE)
        if not context.local.is_member or now - self._last_started_at >= pause:
            self._last_started_at = now
            context.counters["exchanges"] += 1
            context.request(SynchronizeState(name, boot, address))
