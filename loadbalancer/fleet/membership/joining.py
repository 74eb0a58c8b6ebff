"""Joining the fleet through seeds, and discovery of processes that are not in the member table.

Rules:

1. Seeds that are not known to live are sent hellos as long as this instance runs: at the full rate soon after its
   start, at a lower rate later. An instance that is not a member sends them to all seeds.
2. An instance joins once it has received a whole member table, or once the `joining` timer has expired without one. It
   does not join while another process may have its name.
3. A process whose alive notice arrives, and which the table does not record as living with this boot id, is asked for
   its whole table.
4. A packet for an earlier process at this address changes nothing here, as it may be an old one. Its sender is told
   which process is here.
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

#: Seconds from the start during which hellos are sent to seeds at the full rate.
FULL_SEED_RATE_S = 30.0
#: Factor by which the interval between hellos to seeds is longer after that.
SEED_BACKOFF = 5.0


class Joining:
    """Sends hellos to seeds, answers hellos, and decides when this instance joins; owns the timers for it.

    Attributes:
        seeds: Addresses of the seeds.
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
        self._next_hello_at = -math.inf
        self._join_alone_at = -math.inf

    # Time.

    def start(self, now: float) -> None:
        """Start sending hellos to seeds at once, and start the `joining` timer."""
        self._started_at = now
        self._next_hello_at = now
        self._join_alone_at = now + self._context.timers.joining

    @property
    def next_timer(self) -> float:
        """The time of the next hellos to seeds, or of joining alone if that is earlier."""
        if self._may_join:
            return min(self._next_hello_at, self._join_alone_at)
        return self._next_hello_at

    @property
    def _may_join(self) -> bool:
        local = self._context.local
        return not (local.is_member or local.has_yielded_name or self._conflicts.is_undecided)

    def run_timers(self, now: float) -> None:
        """Join alone and send hellos to seeds when each is due."""
        if self._may_join and now >= self._join_alone_at:
            self._join(now)
        if now >= self._next_hello_at:
            self._send_hellos_to_seeds(now)

    def _join(self, now: float) -> None:
        self._lifecycle.join(now, self._context.local.state.generation)

    def _send_hellos_to_seeds(self, now: float) -> None:
        """Send hellos to the seeds that are not known to live (rule 1)."""
        context = self._context
        local = context.local
        known = {peer.state.address for peer in context.table.living} if local.is_member else set()
        for seed in self.seeds:
            if seed not in known and seed != local.identity.address:
                self._dissemination.send(seed, 0, local.hello())
        backoff = 1.0 if now - self._started_at < FULL_SEED_RATE_S else SEED_BACKOFF
        jitter = 0.75 + 0.5 * context.random.random()
        self._next_hello_at = now + context.timers.hello_interval * backoff * jitter

    # Messages.

    def on_hello(self, packet: Packet, message: Hello) -> None:
        """Answer a hello with an alive notice of this process."""
        address = message.host, message.port
        self._dissemination.send(address, packet.boot, self._context.local.alive_notice())

    def on_packet_for_other_process(self, packet: Packet) -> None:
        """Handle a packet whose receiver boot id is not that of this process (rule 4)."""
        if isinstance(packet.message, Hello):
            self.on_hello(packet, packet.message)
            return
        peer = self._context.table.get(packet.sender)
        if peer is not None and packet.to != 0:
            notice = self._context.local.alive_notice()
            self._dissemination.send(peer.state.address, packet.boot, notice)

    def on_alive_notice(self, now: float, packet: Packet, message: AliveNotice) -> None:
        """Exchange tables with a process that is not recorded as living, or while not yet a member (rule 3)."""
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is not None:
            peer.phase = message.phase
        if not self._context.local.is_member or peer is None or not peer.is_live:
            address = message.host, message.port
            self._synchronization.request(now, packet.sender, packet.boot, address)
        self._dissemination.correct_sender(now, packet)

    def on_table_piece(self, now: float, packet: Packet, message: Piece) -> None:
        """Join after the last piece of a whole table; its member states were applied before this call (rule 2)."""
        if message.last and self._may_join:
            self._join(now)
        self._dissemination.correct_sender(now, packet)
