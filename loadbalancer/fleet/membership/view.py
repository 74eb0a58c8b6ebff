"""The view of the fleet as each instance keeps it: events and a time in, actions out. No socket, clock or random source
but those given. The options that were weighed, and the bounds, are in docs/design/fleet-view.md.

Rules:

1. What is said of this instance by others it refutes, by a greater incarnation; what is said of others stands by rank.
2. A probe that fails makes a suspicion, never a death; the suspected hears of it first; a suspicion that its time has
   run out makes a death.
3. What is remembered as dead by one side of a healed partition only suspects here those who live here.
4. The dead are called ever more rarely, and never given up before they are forgotten.
5. A name belongs to one process (namesakes.py).
6. Time that this instance lost itself (it was stopped) is held against nobody.

The parts: members.py (each name), probes.py (whom to probe), namesakes.py (our own name), and here how a message is
received, joining and leaving. States of the instance, and what ends them:

    joining -> member   a whole exchange, or nobody heard for `joining`
    joining -> out      a living process goes by the name
    out     -> member   that process is found dead, or has left
    member  -> out      the same name was there before, on the other side of a partition
    any     -> gone     it leaves, or has passed its place to a successor
"""

from __future__ import annotations

import math
import random
from typing import Any, Callable, Sequence

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.membership.events import (
    Action,
    Event,
    Leave,
    PacketReceived,
    ProcessReplaced,
    TimerExpired,
)
from loadbalancer.fleet.membership.member_state import MemberState, MemberStatus
from loadbalancer.fleet.membership.name_conflicts import NameConflicts
from loadbalancer.fleet.settings import Identity, Settings

#: A seed that is not known to live is called this many times more rarely once an instance is no longer young.
SLOW = 5.0
YOUNG_S = 30.0


class MembershipView(NameConflicts):
    """One instance's. `handle` takes what happened; `due` is when it wants a Tick."""

    def __init__(self, identity: Identity, settings: Settings, seed: int) -> None:
        super().__init__(identity, settings, random.Random(seed))
        self.has_left = False
        self._hello_at = self._join_by = -math.inf
        self._react: dict[type, Callable[[Any], None]] = {
            PacketReceived: self._on_arrived,
            TimerExpired: self._on_tick,
            Leave: self._on_leave,
            ProcessReplaced: self._on_passed,
        }
        self._hear: dict[type, Callable[[form.Packet, Any], None]] = {
            form.Hello: self._on_hello,
            form.AliveNotice: self._on_here,
            form.Ping: self._on_ping,
            form.Ack: self._on_ack,
            form.IndirectProbe: self._on_ask,
            form.Nack: self._on_nack,
            form.GossipReply: self._on_told,
            form.NameConflictNotice: self._on_clash,
            form.Piece: self._on_piece,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """What is to be done, in order."""
        if self.started_at < 0:
            self._begin(now)
        self.now = max(self.now, now)
        self.actions = []
        self._react[type(event)](event)
        return self.actions

    def _begin(self, now: float) -> None:
        self.started_at = self.now = now
        self._hello_at, self._join_by = now, now + self.timers.joining

    @property
    def state(self) -> str:
        if self.has_left:
            return "gone"
        return "member" if self.joined else "out" if self.name_lost else "joining"

    @property
    def next_timer(self) -> float:
        """On the clock of `handle`; in the past at first."""
        if self.has_left:
            return math.inf
        due = min(self._hello_at, self._rival_until)
        if self.joined:
            return min(due, self._next_probe_step(), self._next_row_step())
        return due if self.name_lost or self._rival is not None else min(due, self._join_by)

    def resume(self, now: float, life: int, facts: Sequence[MemberState]) -> list[Action]:
        """Take the place of the process before, which has passed it on (`pass_on`): the next life of the name, known
        to all at once, and no death in between."""
        self._begin(now)
        self.actions = []
        for fact in facts:
            if fact.name != self.identity.name:
                self.table.take(fact, now)
        self._enter(life + 1)
        return self.actions

    def hand_over(self) -> tuple[int, list[MemberState]]:
        """What a successor goes on from: the number of this life, and the others."""
        return self.own_state.life, [peer.state for peer in self.table]

    # Time.

    def _on_tick(self, event: TimerExpired) -> None:
        self._look_for_rival()
        if not self.joined and not self.name_lost and self._rival is None and self.now >= self._join_by:
            self._enter(self.own_state.life)
        if self.now >= self._hello_at:
            self._call_seeds()
        if self.joined:
            late = self.now - self._turn_at
            if late > self.timers.timeout:  # rule 6
                self._excuse(late)
            self._step_probes()
            self._step_rows()

    def _call_seeds(self) -> None:
        """Rule 4 for seeds: they are called as long as they are not known to live, and while this instance is out."""
        known = {peer.state.address for peer in self.table.living} if self.joined else set()
        for seed in self.settings.seeds:
            if seed not in known and seed != self.identity.address:
                self._tell(seed, 0, self._hello())
        slow = 1.0 if self.now - self.started_at < YOUNG_S else SLOW
        self._hello_at = self.now + self.timers.hello * slow * (0.75 + 0.5 * self.random.random())

    # What arrives.

    def _on_arrived(self, event: PacketReceived) -> None:
        packet = event.packet
        if self.has_left:
            return
        if packet.sender == self.identity.name:
            self._meet_namesake(packet)
            return
        if packet.to != self.identity.boot:
            self._not_for_me(packet)
            return
        peer = self.table.get(packet.sender)
        if peer is not None and peer.state.boot == packet.boot:
            peer.heard_at = self.now
        exchanged = isinstance(packet.message, form.Piece)
        for fact in packet.facts:
            self._weigh(fact, exchanged)
        self._hear[type(packet.message)](packet, packet.message)

    def _not_for_me(self, packet: form.Packet) -> None:
        """Changes nothing here: it may be a message that was caught long ago. Who sent it hears which life this is."""
        message = packet.message
        if isinstance(message, form.Hello):
            self._on_hello(packet, message)
        elif (peer := self.table.get(packet.sender)) is not None and packet.to != 0:
            self._tell(peer.state.address, packet.boot, self._here())

    def _here(self) -> form.AliveNotice:
        return form.AliveNotice(*self.identity.address, self.phase)

    def _on_hello(self, packet: form.Packet, message: form.Hello) -> None:
        self._tell((message.host, message.port), packet.boot, self._here())

    def _on_here(self, packet: form.Packet, message: form.AliveNotice) -> None:
        """One that is there and does not live in this view, or lives in another life: hear all of it."""
        peer = self.table.get(packet.sender)
        if peer is not None and peer.state.boot == packet.boot:
            peer.phase = message.phase
        if not self.joined or peer is None or not peer.is_live or peer.state.boot != packet.boot:
            self._exchange(packet.sender, packet.boot, (message.host, message.port))
        self._correct(packet)

    def _on_told(self, packet: form.Packet, message: form.GossipReply) -> None:
        self._correct(packet)

    def _on_piece(self, packet: form.Packet, message: form.Piece) -> None:
        """Its facts have been taken; the last one ends the join."""
        if message.last and not self.joined and not self.name_lost and self._rival is None:
            self._enter(self.own_state.life)
        self._correct(packet)

    def _weigh(self, fact: MemberState, exchanged: bool) -> None:
        if fact.name == self.identity.name:
            self._said_of_me(fact)
            return
        known = self.table.get(fact.name)
        if (
            exchanged
            and known is not None
            and known.is_live
            and fact.status == MemberStatus.DEAD
            and (fact.life, fact.boot) == (known.state.life, known.state.boot)
        ):
            fact = self._say(fact, MemberStatus.SUSPECT)  # rule 3
        self._take(fact)

    # Leaving.

    def _on_leave(self, event: Leave) -> None:
        if self.joined:
            self._spread_leaving()
        self.has_left = True

    def _on_passed(self, event: ProcessReplaced) -> None:
        """A successor has the place; it says so itself."""
        self.has_left = True
