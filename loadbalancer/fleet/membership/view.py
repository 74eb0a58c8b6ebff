"""The membership view: one instance's record of which instances of the fleet live.

It implements SWIM with Lifeguard's suspicion and local health, state synchronisation and name conflicts. It takes
events and the current time and returns actions; it opens no socket and reads no clock, and its random numbers come from
a seed. The design options that were considered, and the bounds, are in docs/design/fleet-view.md.

Decisions by module (each module lists its rules):

    member_state.py           which of two states of one member takes precedence
    member_table.py           the rows of all other members, and the digest of the living ones
    member_updates.py         a member joins, is suspected, dies, leaves, returns, is forgotten
    suspicion.py              the timeout of a suspicion
    failure_detector.py       direct and indirect probes, with local_health.py
    dissemination.py          which member states are sent with a message, with the queue of gossip.py
    state_synchronization.py  when two instances exchange their whole tables
    joining.py                hellos to seeds, and when this instance joins
    name_conflicts.py         refutation, and two processes under one name
    reconnection.py           when dead members are sent hellos
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Iterator, Sequence

from loadbalancer.fleet.member_state import MemberState
from loadbalancer.fleet.membership.context import ViewContext
from loadbalancer.fleet.membership.dissemination import Dissemination
from loadbalancer.fleet.membership.events import (
    Action,
    Event,
    Leave,
    PacketReceived,
    ProcessReplaced,
    TimerExpired,
)
from loadbalancer.fleet.membership.failure_detector import FailureDetector
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.membership.joining import Joining
from loadbalancer.fleet.membership.lifecycle import Lifecycle
from loadbalancer.fleet.membership.local_health import LocalHealth
from loadbalancer.fleet.membership.local_member import LocalMember, LocalStatus
from loadbalancer.fleet.membership.member_table import MemberTable
from loadbalancer.fleet.membership.member_updates import MemberUpdates
from loadbalancer.fleet.membership.name_conflicts import NameConflicts
from loadbalancer.fleet.membership.probe_schedule import ProbeSchedule
from loadbalancer.fleet.membership.reconnection import Reconnection
from loadbalancer.fleet.membership.state_synchronization import StateSynchronization
from loadbalancer.fleet.settings import Identity, Settings, Timers
from loadbalancer.fleet.wire import (
    Ack,
    AliveNotice,
    GossipReply,
    Hello,
    IndirectProbe,
    Nack,
    NameConflictNotice,
    Packet,
    Piece,
    Ping,
)


class MembershipView:
    """Holds one instance's view of the fleet and dispatches events to its components.

    Attributes:
        settings: Seeds, expected size and timers.
        joining: Sends hellos to the seeds and decides when this instance joins.
    """

    def __init__(self, identity: Identity, settings: Settings, seed: int) -> None:
        """Create the view of an instance that has just started.

        Args:
            identity: Name, boot id, address and zone of this instance.
            settings: Its fleet settings.
            seed: Seed of all random numbers.
        """
        source = random.Random(seed)
        context = ViewContext(LocalMember(identity), settings.timers, source)
        schedule = ProbeSchedule(context.table, source)
        self.settings = settings
        self._context = context
        self._local = context.local
        self._dissemination = Dissemination(context)
        reconnection = Reconnection(context, self._dissemination)
        self._updates = MemberUpdates(context, self._dissemination, reconnection, schedule)
        self._synchronization = StateSynchronization(context)
        self._detector = FailureDetector(
            context, self._dissemination, self._updates, schedule, self._synchronization
        )
        self._lifecycle = Lifecycle(context, self._dissemination, self._detector, self._synchronization)
        self._conflicts = NameConflicts(context, self._dissemination, self._lifecycle, self._detector.health)
        self.joining = Joining(
            context,
            self._dissemination,
            self._synchronization,
            self._lifecycle,
            self._conflicts,
            settings.seeds,
        )
        self._now = -math.inf

    # Events and time.

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event.

        Args:
            now: Seconds on a monotonic clock, the same clock for all calls; 0 or greater.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """
        self._advance(now)
        match event:
            case PacketReceived(packet):
                self._receive(self._now, packet)
            case TimerExpired():
                self._run_timers(self._now)
            case Leave():
                self._leave(self._now)
            case ProcessReplaced():
                self._local.has_left = True
        return self._context.take_actions()

    @property
    def next_timer(self) -> float:
        """When TimerExpired is next due, in seconds on the clock of `handle`; at once before the first event."""
        if self._local.has_left:
            return math.inf
        due = min(self._conflicts.next_timer, self.joining.next_timer)
        if self._local.is_member:
            due = min(
                due,
                self._detector.next_timer,
                self._synchronization.next_timer,
                self._dissemination.next_timer,
                self._updates.next_timer(self._now),
            )
        return due

    def _advance(self, now: float) -> None:
        if self._now < 0:
            self.joining.start(now)
        self._now = max(self._now, now)

    def _run_timers(self, now: float) -> None:
        self._conflicts.run_timers(now)
        self.joining.run_timers(now)
        if self._local.is_member:
            self._detector.run_timers(now)
            self._synchronization.run_timers(now)
            self._dissemination.run_timers(now)
            self._updates.run_timers(now)

    def _leave(self, now: float) -> None:
        if self._local.is_member:
            self._lifecycle.leave(now)
        self._local.has_left = True

    # Packets.

    def _receive(self, now: float, packet: Packet) -> None:
        """Route a packet by sender and receiver; apply its member states, then handle its message."""
        if self._local.has_left:
            return
        if packet.sender == self.identity.name:
            self._conflicts.on_packet(now, packet)
        elif packet.to != self.identity.boot:
            self.joining.on_packet_for_other_process(packet)
        else:
            self._apply_states(now, packet)
            self._dispatch(now, packet)

    def _apply_states(self, now: float, packet: Packet) -> None:
        peer = self.table.get_process(packet.sender, packet.boot)
        if peer is not None:
            peer.last_heard_at = now
        is_synchronized = isinstance(packet.message, Piece)
        for state in packet.facts:
            if state.name == self.identity.name:
                self._conflicts.on_state(now, state)
            elif is_synchronized:
                self._updates.apply_synchronized(now, state)
            else:
                self._updates.apply(now, state)

    def _dispatch(self, now: float, packet: Packet) -> None:
        match packet.message:
            case Ping() as message:
                self._detector.on_ping(now, packet, message)
            case Ack() as message:
                self._detector.on_ack(now, packet, message)
            case IndirectProbe() as message:
                self._detector.on_indirect_probe(now, packet, message)
            case Nack() as message:
                self._detector.on_nack(message)
            case GossipReply():
                self._dissemination.correct_sender(now, packet)
            case Piece() as message:
                self.joining.on_table_piece(now, packet, message)
            case Hello() as message:
                self.joining.on_hello(packet, message)
            case AliveNotice() as message:
                self.joining.on_alive_notice(now, packet, message)
            case NameConflictNotice():
                pass  # only a notice from a process under our own name matters
            case message:
                raise TypeError(
                    f"received {type(message).__name__} from {packet.sender}; expected a membership message"
                )

    # Hot restart.

    def resume(self, now: float, generation: int, member_states: Sequence[MemberState]) -> list[Action]:
        """Replace the previous process as the next generation, without being declared dead in between.

        Args:
            now: Seconds on the clock of `handle`.
            generation: Generation of the previous process, from its `hand_over`; this process takes the next one.
            member_states: States of the other members, from the same call.

        Returns:
            The actions to carry out; they announce this generation at once.
        """
        self._now = now
        self.joining.start(now)
        for state in member_states:
            if state.name != self.identity.name:
                self._updates.restore(now, state)
        self._lifecycle.join(now, generation + 1)
        return self._context.take_actions()

    def hand_over(self) -> tuple[int, list[MemberState]]:
        """Return the arguments of a successor's `resume`: this process's generation and the states of all others."""
        return self._local.state.generation, [peer.state for peer in self.table]

    # Accessors.

    @property
    def identity(self) -> Identity:
        """Name, boot id, address and zone of this instance."""
        return self._local.identity

    @property
    def timers(self) -> Timers:
        """The protocol's timers."""
        return self._context.timers

    @property
    def table(self) -> MemberTable:
        """The table of all other members."""
        return self._context.table

    @property
    def counters(self) -> Counter[str]:
        """Number of events by name."""
        return self._context.counters

    @property
    def gossip_queue(self) -> GossipQueue:
        """The member states that are still to be disseminated."""
        return self._dissemination.queue

    @property
    def health(self) -> LocalHealth:
        """This instance's local health."""
        return self._detector.health

    @property
    def state(self) -> LocalStatus:
        """The status of this instance in the fleet."""
        return self._local.status

    @property
    def joined(self) -> bool:
        """Whether this instance is a member of the fleet; stays true after a successor has replaced it."""
        return self._local.is_member

    @property
    def own_state(self) -> MemberState:
        """This instance's own member state."""
        return self._local.state

    @property
    def phase(self) -> int:
        """Recovery progress of this instance after its start, as reported to others (RecoveryPhase)."""
        return self._local.recovery_phase

    @phase.setter
    def phase(self, phase: int) -> None:
        self._local.recovery_phase = phase

    @property
    def fleet_size(self) -> int:
        """Number of living members, including this instance."""
        return self.table.fleet_size

    def member_states(self) -> Iterator[MemberState]:
        """Yield the states of a whole table: this instance's own while it is a member, then those of all others."""
        if self._local.is_member:
            yield self._local.state
        for peer in self.table:
            yield peer.state
