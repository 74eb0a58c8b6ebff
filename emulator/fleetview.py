"""The view of the fleet in virtual time: the program's own state machine over a network that loses, delays, doubles and
cuts under a seed. What a datagram costs is counted as the program would write it.

A whole exchange is modelled as TCP is: whole or not at all, one way after the other, and only while both ways are open.
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
#: Datagrams that wait for a process that is stopped; the kernel drops what comes past them.
QUEUE_MOST = 400
#: Facts in one piece.
PIECE_FACTS = 150


@dataclass
class Net:
    """What happens to each datagram. Seconds and shares."""

    delay: float = 0.001  # at the least; as much again at random, and now and then ten times as much
    loss: float = 0.0
    doubled: float = 0.0
    cut: set[tuple[int, int]] = field(default_factory=set)  # from, to
    fates: list[str] = field(
        default_factory=list
    )  # of the next datagrams, in turn: "gone", "twice", "late", "" for none


class Instance:
    """A process of the program, or one that is down."""

    def __init__(self, model: FleetModel, number: int) -> None:
        self.model, self.number = model, number
        self.address: Address = ("10.0.0.1", number + 1)
        self.up = self.stopped = False
        self.lives = 0
        self.slow = 0.0  # seconds by which all that it does is late
        self.waits: list[Event] = []
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        model = self.model
        self.lives += 1
        self.up, self.stopped = True, False
        self.waits = []
        boot = model.random.getrandbits(62) + 1
        seeds = tuple(model.instances[n].address for n in range(min(2, len(model.instances))))
        settings = Settings(seeds, len(model.instances), model.timers)
        self.view = MembershipView(
            Identity(f"i{self.number}", boot, self.address), settings, model.random.getrandbits(40)
        )
        self.replays, self.numbers, self.due = ReplayProtection(), 0, -1.0
        self.hand(TimerExpired())

    def kill(self) -> None:
        self.up = False

    def leave(self) -> None:
        self.hand(Leave())
        self.up = False

    def stop(self) -> None:
        self.stopped = True

    def go_on(self) -> None:
        """What had come is read first, as the program does."""
        self.stopped = False
        waits, self.waits = self.waits, []
        for event in waits:
            self.hand(event)
        self.hand(TimerExpired())

    def hand(self, event: Event) -> None:
        if not self.up:
            return
        if self.stopped:
            if len(self.waits) < QUEUE_MOST and not isinstance(event, TimerExpired):
                self.waits.append(event)
            return
        if isinstance(event, PacketReceived):
            packet = event.packet
            if packet.to and not self.replays.accept(packet.sender, packet.boot, packet.number):
                self.counts["replayed"] += 1
                return
        before = self.view.table.digest
        for action in self.view.handle(self.model.clock.now, event):
            self.do(action)
        if self.view.table.digest != before:
            self.model.changed_at = self.model.clock.now
        self.wake()

    def wake(self) -> None:
        due = max(self.view.next_timer, self.model.clock.now + 1e-6)
        if due != self.due:
            self.due = due
            self.model.clock.after(due - self.model.clock.now + self.slow, self.tick, self.lives, due)

    def tick(self, life: int, due: float) -> None:
        if self.up and life == self.lives and due == self.due:
            self.due = -1.0
            self.hand(TimerExpired())

    def do(self, action: Action) -> None:
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
        facts = list(self.view.member_states())
        cuts = range(0, max(1, len(facts)), PIECE_FACTS)
        found = []
        for number, at in enumerate(cuts):
            self.numbers += 1
            piece = Piece(number, number == len(cuts) - 1)
            part = tuple(facts[at : at + PIECE_FACTS])
            found.append(
                Packet(self.view.identity.name, self.view.identity.boot, to, self.numbers, piece, part)
            )
        if self.model.weighs:
            self.counts["bytes"] += sum(len(SEALER.seal(packet)) for packet in found)
        return found


class FleetModel:
    """All of them, the network between them, and what is true."""

    def __init__(self, count: int, seed: int, timers: Timers | None = None, weighs: bool = False) -> None:
        """`weighs`: count bytes, which takes most of the time."""
        self.random = random.Random(seed)
        self.timers = timers or Timers()
        self.clock, self.net, self.weighs = Clock(), Net(), weighs
        self.instances: list[Instance] = []
        self.instances.extend(Instance(self, number) for number in range(count))
        self._by_address = {one.address: one for one in self.instances}
        self.changed_at = 0.0

    # The network.

    def send(self, source: Instance, address: Address, packet: Packet) -> None:
        target = self._by_address.get(address)
        if target is None or (source.number, target.number) in self.net.cut:
            return
        net, draw = self.net, self.random.random
        if net.fates:
            self._meet(net.fates.pop(0), target, packet)
            return
        for _ in range(2 if net.doubled and draw() < net.doubled else 1):
            if not net.loss or draw() >= net.loss:
                delay = net.delay * (1 + draw()) * (10 if draw() < 0.01 else 1)
                self.clock.after(delay + target.slow, target.hand, PacketReceived(packet))

    def _meet(self, fate: str, target: Instance, packet: Packet) -> None:
        """A fate that a schedule has laid down. "late": after others that are sent now have come, and some answers."""
        delays = {"gone": (), "twice": (self.net.delay, 3 * self.net.delay), "late": (0.3,)}
        for delay in delays.get(fate, (self.net.delay,)):
            self.clock.after(delay, target.hand, PacketReceived(packet))

    def exchange(self, source: Instance, action: SynchronizeState) -> None:
        """One way, then the other; nothing where either end, or either way, is not there."""
        target = self._by_address.get(action.address)
        if target is None or not source.up or source.stopped or not target.up or target.stopped:
            return
        pair = source.number, target.number
        if pair in self.net.cut or pair[::-1] in self.net.cut:
            return
        for packet in source.pieces(action.boot):
            target.hand(PacketReceived(packet))
        if target.view.identity.boot == action.boot and not target.stopped:
            for packet in target.pieces(source.view.identity.boot):
                self.clock.after(self.net.delay, source.hand, PacketReceived(packet))

    def part(self, *sides: Iterable[int]) -> None:
        """Cut all ways between these sides."""
        groups = [list(side) for side in sides]
        self.net.cut = {
            (a, b) for one in groups for other in groups if one is not other for a in one for b in other
        }

    def heal(self) -> None:
        self.net.cut = set()

    # What is true.

    @property
    def up(self) -> list[Instance]:
        return [one for one in self.instances if one.up]

    def settled(self) -> bool:
        """All that live hold the same, and just those that live."""
        up = self.up
        names = {one.view.identity.name for one in up}
        digest = up[0].view.table.digest if up else 0
        return (
            all(
                one.view.joined
                and one.view.table.digest == digest
                and len(one.view.table.living) == len(up) - 1
                for one in up
            )
            and {peer.state.name for peer in up[0].view.table.living} | {up[0].view.identity.name} == names
        )

    def held_dead(self) -> list[tuple[str, str]]:
        """Who holds whom for dead that is up."""
        names = {one.view.identity.name: one for one in self.up}
        return [
            (one.view.identity.name, peer.state.name)
            for one in self.up
            for peer in one.view.table
            if peer.state.status == MemberStatus.DEAD
            and peer.state.name in names
            and names[peer.state.name].view.identity.boot == peer.state.boot
        ]

    def until(self, true: Callable[[], bool], most: float, step: float = 0.05) -> float | None:
        """Seconds until it is so, within `step`; None where it is not within `most`."""
        began = self.clock.second
        while self.clock.second - began < most:
            self.clock.run(self.clock.second + step)
            if true():
                return self.clock.second - began
        return None

    def start_all(self, settle: float = 60.0) -> float | None:
        for one in self.instances:
            one.start()
        return self.until(self.settled, settle)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.second + seconds)
