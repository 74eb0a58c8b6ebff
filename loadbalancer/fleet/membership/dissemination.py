"""Dissemination: member states are piggybacked on messages, and new ones are sent at once (SWIM, section 4).

Rules:

1. Each message except hello and name-conflict notices carries as many states of the gossip queue as fit. An alive
   notice carries only its sender's own state.
2. Each message to a member that is not recorded as alive includes that member's recorded state, so that the member can
   refute it.
3. Queued states are sent to some members at a fixed interval that does not depend on the probe interval: an instance
   of poor local health probes rarely, and must not be the last to spread what it knows.
"""

from __future__ import annotations

import math
from typing import Sequence

from loadbalancer.fleet.member_state import MemberState, MemberStatus, encoded_size
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.events import SendPacket
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.settings import Address
from loadbalancer.fleet.wire import AliveNotice, GossipReply, Hello, Message, NameConflictNotice, Packet

#: Number of members that receive the queued states at each gossip interval.
GOSSIP_FANOUT = 2


class Dissemination:
    """Sends messages with piggybacked member states; owns the gossip queue and its timer.

    Attributes:
        queue: Member states that are still to be disseminated.
    """

    def __init__(self, context: ViewContext) -> None:
        self.queue = GossipQueue()
        self._context = context
        self._gossip_at = -math.inf

    @property
    def next_timer(self) -> float:
        """The time of the next gossip round; infinity while nothing is queued or no other member lives."""
        return self._gossip_at if len(self.queue) and self._context.table.living else math.inf

    def run_timers(self, now: float) -> None:
        """Send queued states to some members if the gossip interval has elapsed (rule 3)."""
        if now >= self._gossip_at and len(self.queue):
            self._gossip_at = now + self._context.timers.gossip_interval
            self.spread(GOSSIP_FANOUT)

    def spread(self, fanout: int) -> None:
        """Send queued states to `fanout` random living members at once."""
        living = self._context.table.living
        for peer in self._context.random.sample(living, min(fanout, len(living))):
            self.send_to(peer, GossipReply())

    def send_to(self, peer: Peer, message: Message, *own_states: MemberState) -> None:
        """Send a message to a member.

        Args:
            peer: The receiver.
            message: What to send.
            own_states: States that are always included, after the one of rule 2.
        """
        state = peer.state
        required = own_states if state.status == MemberStatus.ALIVE else (state, *own_states)
        self.send(state.address, state.boot, message, required, state.name)

    def send(
        self,
        address: Address,
        receiver_boot: int,
        message: Message,
        required: Sequence[MemberState] = (),
        receiver_name: str = "",
    ) -> None:
        """Send a message with piggybacked member states according to rule 1.

        Args:
            address: The receiver's host and port.
            receiver_boot: Boot id of the receiving process, 0 for any process at the address.
            message: What to send.
            required: States that are always included.
            receiver_name: The receiver's name; its own state is not gossiped to it.
        """
        states: tuple[MemberState, ...] = ()
        local = self._context.local
        if isinstance(message, AliveNotice):
            states = (local.state,) if local.is_member else ()
        elif not isinstance(message, (Hello, NameConflictNotice)):
            reserved_bytes = sum(map(encoded_size, required))
            fleet_size = self._context.table.fleet_size
            states = (*required, *self.queue.select_batch(fleet_size, reserved_bytes, receiver_name))
        self._context.request(SendPacket(address, receiver_boot, message, states))

    def correct_sender(self, now: float, packet: Packet) -> None:
        """Send the sender of a packet its recorded state if that is not alive, so that it can refute it.

        Each member is corrected at most once per probe timeout: two members that record each other as dead, and of
        which neither refutes it, would otherwise answer each other without end.
        """
        peer = self._context.table.get_process(packet.sender, packet.boot)
        if peer is None or peer.state.status == MemberStatus.ALIVE:
            return
        if now - peer.corrected_at >= self._context.timers.timeout:
            peer.corrected_at = now
            self.send_to(peer, GossipReply())
