"""Simulates the membership view in virtual time: the real state machine over a network with seeded faults.

The network loses, delays, duplicates and cuts datagrams, whose size is that of the real encoding. A state
synchronization is modelled like TCP: it transfers everything or nothing, one direction after the other, and only while
both directions are open.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Callable, Iterable

from emulator.clock import Clock
from loadbalancer.fleet.member_state import MemberStatus
from loadbalancer.fleet.membership.events import (
    Action,
    Event,
    Leave,
    PacketReceived,
    SendPacket,
    SynchronizeState,
    TimerExpired,
)
from loadbalancer.fleet.membership.view import MembershipView
from loadbalancer.fleet.replay_window import ReplayProtection
from loadbalancer.fleet.settings import Address, Identity, Settings, Timers
from loadbalancer.fleet.wire import Packet, Piece, Sealer

SEALER = Sealer([b"k" * 32])
#: Datagrams queued for a stopped process; the kernel drops any further ones.
MAX_QUEUED_DATAGRAMS = 400
#: Member states in one piece of a state synchronization.
PIECE_MEMBER_STATES = 150


@dataclass
class Net:
    """Holds the settings of the network: delay in seconds, loss and duplication as shares of the datagrams."""

    delay: float = 0.001  # minimum; up to twice as much at random, and occasionally ten times that
    loss: float = 0.0
    duplication: float = 0.0
    cut: set[tuple[int, int]] = field(default_factory=set)  # pairs of sender and receiver
    # Scheduled faults of the next datagrams, in order: "gone", "twice", "late", or "" for none.
    scheduled_faults: list[str] = field(default_factory=list)


class Instance:
    """Simulates one process, which may be down."""

    def __init__(self, model: FleetModel, number: int) -> None:
        self.model, self.number = model, number
        self.address: Address = ("10.0.0.1", number + 1)
        self.up = self.stopped = False
        self.lives = 0
        self.slow = 0.0  # seconds by which its timers and received datagrams are delayed
        self.queued_events: list[Event] = []
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        model = self.model
        self.lives += 1
        self.up, self.stopped = True, False
        self.queued_events = []
        boot = model.random.getrandbits(62) + 1
        seeds = tuple(model.instances[n].address for n in range(min(2, len(model.instances))))
        settings = Settings(seeds, len(model.instances), model.timers)
        self.view = MembershipView(
            Identity(f"i{self.number}", boot, self.address), settings, model.random.getrandbits(40)
        )
        self.replays, self.numbers, self.due = ReplayProtection(), 0, -1.0
        self.handle(TimerExpired())

    def kill(self) -> None:
        self.up = False

    def leave(self) -> None:
        self.handle(Leave())
        self.up = False

    def stop(self) -> None:
        self.stopped = True

    def resume(self) -> None:
        """Resume a stopped process, which reads its queued datagrams first, as the real one does."""
        self.stopped = False
        queued_events, self.queued_events = self.queued_events, []
        for event in queued_events:
            self.handle(event)
        self.handle(TimerExpired())

    def handle(self, event: Event) -> None:
        if not self.up:
            return
        if self.stopped:
            if len(self.queued_events) < MAX_QUEUED_DATAGRAMS and not isinstance(event, TimerExpired):
                self.queued_events.append(event)
            return
        if isinstance(event, PacketReceived):
            packet = event.packet
            if packet.to and not self.replays.accept(packet.sender, packet.boot, packet.number):
                self.counts["replayed"] += 1
                return
        before = self.view.table.digest
        for action in self.view.handle(self.model.clock.now, event):
            self.perform(action)
        if self.view.table.digest != before:
            self.model.changed_at = self.model.clock.now
        self.wake()

    def wake(self) -> None:
        """Schedule the next timer of the view, unless it is scheduled already."""
        due = max(self.view.next_timer, self.model.clock.now + 1e-6)
        if due != self.due:
            self.due = due
            self.model.clock.after(due - self.model.clock.now + self.slow, self.tick, self.lives, due)

    def tick(self, life: int, due: float) -> None:
        if self.up and life == self.lives and due == self.due:
            self.due = -1.0
            self.handle(TimerExpired())

    def perform(self, action: Action) -> None:
        if isinstance(action, SendPacket):
            self.numbers += 1
            identity = self.view.identity
            packet = Packet(
                identity.name,
                identity.boot,
                action.receiver_boot,
                self.numbers,
                action.message,
                action.member_states,
            )
            if self.model.weighs:
                self.counts["bytes"] += len(SEALER.seal(packet))
            self.counts["datagrams"] += 1
            self.model.send(self, action.address, packet)
        elif isinstance(action, SynchronizeState):
            self.model.clock.after(2 * self.model.net.delay, self.model.exchange, self, action)

    def pieces(self, to: int) -> list[Packet]:
        """Return all member states of the view as packets of a state synchronization."""
        member_states = list(self.view.member_states())
        starts = range(0, max(1, len(member_states)), PIECE_MEMBER_STATES)
        packets = []
        for number, start in enumerate(starts):
            self.numbers += 1
            piece = Piece(number, number == len(starts) - 1)
            part = tuple(member_states[start : start + PIECE_MEMBER_STATES])
            packets.append(
                Packet(self.view.identity.name, self.view.identity.boot, to, self.numbers, piece, part)
            )
        if self.model.weighs:
            self.counts["bytes"] += sum(len(SEALER.seal(packet)) for packet in packets)
        return packets


class FleetModel:
    """Simulates all instances and the network between them, and compares their views with the facts."""

    def __init__(self, count: int, seed: int, timers: Timers | None = None, weighs: bool = False) -> None:
        """`weighs` enables the counting of bytes, which takes most of the run time."""
        self.random = random.Random(seed)
        self.timers = timers or Timers()
        self.clock, self.net, self.weighs = Clock(), Net(), weighs
        self.instances: list[Instance] = []
        self.instances.extend(Instance(self, number) for number in range(count))
        self._by_address = {instance.address: instance for instance in self.instances}
        self.changed_at = 0.0

    # The network.

    def send(self, source: Instance, address: Address, packet: Packet) -> None:
        target = self._by_address.get(address)
        if target is None or (source.number, target.number) in self.net.cut:
            return
        net, draw = self.net, self.random.random
        if net.scheduled_faults:
            self._apply_fault(net.scheduled_faults.pop(0), target, packet)
            return
        for _ in range(2 if net.duplication and draw() < net.duplication else 1):
            if not net.loss or draw() >= net.loss:
                delay = net.delay * (1 + draw()) * (10 if draw() < 0.01 else 1)
                self.clock.after(delay + target.slow, target.handle, PacketReceived(packet))

    def _apply_fault(self, fault: str, target: Instance, packet: Packet) -> None:
        """Apply a scheduled fault; "late" delays a datagram until after others sent now and some responses to them."""
        delays = {"gone": (), "twice": (self.net.delay, 3 * self.net.delay), "late": (0.3,)}
        for delay in delays.get(fault, (self.net.delay,)):
            self.clock.after(delay, target.handle, PacketReceived(packet))

    def exchange(self, source: Instance, action: SynchronizeState) -> None:
        """Synchronize one direction, then the other; do nothing if an end is not running or a direction is cut."""
        target = self._by_address.get(action.address)
        if target is None or not source.up or source.stopped or not target.up or target.stopped:
            return
        pair = source.number, target.number
        if pair in self.net.cut or pair[::-1] in self.net.cut:
            return
        for packet in source.pieces(action.boot):
            target.handle(PacketReceived(packet))
        if target.view.identity.boot == action.boot and not target.stopped:
            for packet in target.pieces(source.view.identity.boot):
                self.clock.after(self.net.delay, source.handle, PacketReceived(packet))

    def partition(self, *sides: Iterable[int]) -> None:
        """Cut the network between these groups in both directions; any earlier cuts are replaced."""
        groups = [list(side) for side in sides]
        self.net.cut = {
            (a, b) for group in groups for other in groups if group is not other for a in group for b in other
        }

    def heal(self) -> None:
        self.net.cut = set()

    # Facts about the instances.

    @property
    def up(self) -> list[Instance]:
        return [instance for instance in self.instances if instance.up]

    def settled(self) -> bool:
        """Tell whether all running instances have the same view, which contains exactly the running instances."""
        up = self.up
        names = {instance.view.identity.name for instance in up}
        digest = up[0].view.table.digest if up else 0
        return (
            all(
                instance.view.joined
                and instance.view.table.digest == digest
                and len(instance.view.table.living) == len(up) - 1
                for instance in up
            )
            and {peer.state.name for peer in up[0].view.table.living} | {up[0].view.identity.name} == names
        )

    def wrongly_dead(self) -> list[tuple[str, str]]:
        """Return pairs of an instance and a running instance that it considers dead."""
        names = {instance.view.identity.name: instance for instance in self.up}
        return [
            (instance.view.identity.name, peer.state.name)
            for instance in self.up
            for peer in instance.view.table
            if peer.state.status == MemberStatus.DEAD
            and peer.state.name in names
            and names[peer.state.name].view.identity.boot == peer.state.boot
        ]

    def until(self, condition: Callable[[], bool], limit: float, step: float = 0.05) -> float | None:
        """Return the seconds until the condition holds, to within `step`, or None if it does not within `limit`."""
        start_second = self.clock.second
        while self.clock.second - start_second < limit:
            self.clock.run(self.clock.second + step)
            if condition():
                return self.clock.second - start_second
        return None

    def start_all(self, settle: float = 60.0) -> float | None:
        """Start all instances; return the seconds until their views agree, or None if that takes too long."""
        for instance in self.instances:
            instance.start()
        return self.until(self.settled, settle)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.second + seconds)
