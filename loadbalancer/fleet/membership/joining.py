"""Joining the fleet through seeds, and finding processes that are not in the table.

Rules:

1. Seeds that are not known to live are called as long as this instance runs: often while it is young, rarely later. One
   that is out calls all of them.
2. An instance joins once it has received a whole member table, or has waited for the `joining` timer in vain. It does
   neither while another process may have its name.
3. An instance that is heard from, and does not live in the table, or lives there as another process, is asked for its
   whole table.
4. A packet that is meant for an earlier process at this address changes nothing here, as it may be an old one. Its
   sender is told which process is here.
"""

from __future__ import annotations

import math

from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.lifecycle import Lifecycle
from loadbalancer.fleet.membership.name_conflicts import NameConflicts
from loadbalancer.fleet.membership.state_synchronization import StateSynchronization
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import AliveNotice, Hello, Packet, Piece

#: Seconds from the start in which seeds are called at the full rate.
YOUNG_S = 30.0
#: Factor of the pause between calls after that.
SEED_BACKOFF = 5.0


class Joining:
    """Calls seeds, answers calls, and decides when this instance joins; owns the timers of that.

    Attributes:
        seeds: Addresses to call.
    """

    def __init__(
        self,
        context: ViewContext,
        dissemination: Dissemination,
        synchronization: StateSynchronization,
        lifecycle: Lifecycle,
        conflicts: NameConflicts,
        seeds: tuple[Address, ...],
    ) -> None:
        self.seeds = seeds
        self._context = context
        self._dissemination = dissemination
        self._synchronization = synchronization
        self._lifecycle = lifecycle
        self._conflicts = conflicts
        self._started_at = -math.inf
        self._call_seeds_at = -math.inf
        self._join_alone_at = -math.inf

    # Time.

    def start(self, now: float) -> None:
        """Begin to call seeds at once."""
        self._started_at = now
        self._call_seeds_at = now
        self._join_alone_at = now + self._context.timers.joining

    @property
    def next_timer(self) -> float:
        """When seeds are called, or this instance joins without having heard from anybody."""
        if self._may_join:
            return min(self._call_seeds_at, self._join_alone_at)
        return self._call_seeds_at

    @property
    def _may_join(self) -> bool:
        local = self._context.local
        return not (local.is_member or local.is_out or self._conflicts.is_undecided)

    def run_timers(self, now: float) -> None:
        """Join alone, and call seeds, if it is time."""
        if self._may_join and now >= self._join_alone_at:
            self._join(now)
        if now >= self._call_seeds_at:
            self._call_seeds(now)

    def _join(self, now: float) -> None:
        self._lifecycle.join(now, self._context.local.state.generation)

    def _call_seeds(self, now: float) -> None:
        """Say hello to seeds that are not known to live (rule 1)."""
        context = self._context
        local = context.local
        known = {peer.state.address for peer in context.table.living} if local.is_member else set()
        for seed in self.seeds:
            if seed not in known and seed != local.identity.address:
                self._dissemination.send(seed, 0, local.hello())
        backoff = 1.0 if now - self._started_at < YOUNG_S else SEED_BACKOFF
        jitter = 0.75 + 0.5 * context.random.random()
        self._call_seeds_at = now + context.timers.hello * backoff * jitter

    # Messages.

    def on_hello(self, packet: Packet, message: Hello) -> None:
        """Tell a caller which process is here."""
        address = message.host, message.port
        self._dissemination.send(address, packet.boot, self._context.local.alive_notice())

    def on_packet_for_other_process(self, packet: Packet) -> None:
        """Handle a packet whose receiver's boot id is not this process's (rule 4)."""
        if isinstance(packet.message, Hello):
            self.on_hello(packet, packet.message)
            return
        peer = self._context.table.get(packet.sender)
        if peer is not None and packet.to != 0:
            notice = self._context.local.alive_notice()
            self._dissemination.send(peer.state.address, packet.boot, notice)

    def on_alive_notice(self, now: float, packet: Packet, message: AliveNotice) -> None:
        """Ask a process for its whole table if it is new here (rule 3)."""
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is not None:
            peer.phase = message.phase
        if not self._context.local.is_member or peer is None or not peer.is_live:
            address = message.host, message.port
            self._synchronization.request(now, packet.sender, packet.boot, address)
        self._dissemination.correct_sender(now, packet)

    def on_table_piece(self, now: float, packet: Packet, message: Piece) -> None:
        """Join after the last piece of a whole table; its member states have been applied before (rule 2)."""
        if message.last and self._may_join:
            self._join(now)
        self._dissemination.correct_sender(now, packet)
