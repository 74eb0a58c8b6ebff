"""Whom an instance probes, whom it asks to try in its place, and what it makes of silence. Pure; a part of view.py."""

from __future__ import annotations

import math
import random

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.membership.member_state import MemberStatus
from loadbalancer.fleet.membership.member_table import Peer
from loadbalancer.fleet.membership.member_updates import MemberUpdates
from loadbalancer.fleet.settings import Identity, Settings

#: Requests of others that are open here at most; past it one asked gives way to the next.
ASKED_MOST = 256
#: Of the time that one who asks gives us, after which he hears that there is no answer yet.
NACK_AFTER = 0.8
#: Times the timeout that an answer is waited for after that.
LATE = 4.0


class _Probe:
    """One that is under way. `turn`: when it began."""

    __slots__ = ("asked", "nacks", "number", "peer", "turn")

    def __init__(self, peer: Peer, number: int, turn: float) -> None:
        self.peer, self.number, self.turn = peer, number, turn
        self.asked = 0  # others that try in our place
        self.nacks = 0  # of them that were heard


class _Asked:
    """One that is probed for another."""

    __slots__ = ("asker", "due", "number", "told")

    def __init__(self, asker: str, number: int, due: float) -> None:
        self.asker, self.number, self.due = asker, number, due
        self.told = False  # that there is no answer yet


class FailureDetector(MemberUpdates):
    """One probe at a time, in turns over all that live, each round in another order."""

    def __init__(self, identity: Identity, settings: Settings, source: random.Random) -> None:
        super().__init__(identity, settings, source)
        self._ring: list[Peer] = []
        self._probe: _Probe | None = None
        self._turn_at = math.inf  # when the next begins
        self._help_at = math.inf  # when others are asked
        self._numbers = 0
        self._for: dict[int, _Asked] = {}  # by the numbers of our pings
        self._nack_at = math.inf

    def _begin_probes(self, now: float) -> None:
        self._turn_at = now + self.timers.period * self.random.random()
        self._exchange_at = now + self.timers.exchange * (0.5 + self.random.random())

    def _next_probe_step(self) -> float:
        return min(self._turn_at, self._help_at, self._nack_at)

    def _excuse(self, late: float) -> None:
        """This instance was stopped for so long: no silence of that time counts (view.py, rule 6)."""
        self.counters["stalls"] += 1
        self.health.worse()
        self._probe, self._help_at, self._turn_at = None, math.inf, self.now
        self._for.clear()
        for peer in self.table:
            if peer.state.status == MemberStatus.SUSPECT:
                peer.suspected_at = min(self.now, peer.suspected_at + late)  # one may be of this moment
        self._rows_at = self.now

    def _step_probes(self) -> None:
        if self.now >= self._nack_at:
            self._say_nacks()
        if self.now >= self._help_at:
            self._ask_others()
        if self.now >= self._turn_at:
            self._end_turn()
            self._begin_turn()

    def _begin_turn(self) -> None:
        stretch = self.health.stretch
        self._turn_at = self.now + self.timers.period * stretch * (0.9 + 0.2 * self.random.random())
        self._probe, self._help_at = None, math.inf
        peer = self._next()
        if peer is not None:
            self._probe = _Probe(peer, self._ping(peer), self.now)
            self._help_at = self.now + self.timers.timeout * stretch

    def _next(self) -> Peer | None:
        while self._wanted:
            peer = self._wanted.pop()
            if peer.is_live:
                return peer
        while True:
            if not self._ring:
                self._ring = list(self.table.living)
                self.random.shuffle(self._ring)
                if not self._ring:
                    return None
            peer = self._ring.pop()
            if peer.is_live:
                return peer

    def _ping(self, peer: Peer) -> int:
        self._numbers += 1
        self._tell_peer(peer, form.Ping(self._numbers, self.table.digest, self.phase))
        return self._numbers

    def _ask_others(self) -> None:
        """The direct way may be lost alone: others try."""
        self._help_at = math.inf
        probe = self._probe
        if probe is None:
            return
        others = [one for one in self.table.living if one is not probe.peer]
        chosen = self.random.sample(others, min(self.timers.helpers, len(others)))
        probe.asked = len(chosen)
        for one in chosen:
            self._tell_peer(one, form.IndirectProbe(probe.number, probe.peer.state.name))
        # And the direct way again, with our own word: it may be that we are not known there.
        self._tell_peer(probe.peer, form.Ping(probe.number, self.table.digest, self.phase), self.own_state)

    def _end_turn(self) -> None:
        """Silence to its end: the other is suspected; helpers that were silent too speak against this instance."""
        probe = self._probe
        if probe is None:
            return
        self._probe = None
        self.health.worse(max(0, probe.asked - probe.nacks) if probe.asked else 1)
        if probe.peer.is_live:
            self._suspect(probe.peer)

    # What comes in.

    def _on_ping(self, packet: form.Packet, message: form.Ping) -> None:
        peer = self.table.get(packet.sender)
        if peer is None or peer.state.boot != packet.boot:
            return  # it is not known in this life yet; its word that it lives comes with it or soon
        peer.phase = message.phase
        self._tell_peer(peer, form.Ack(message.number, self.table.digest, self.phase))
        self._differs(peer, message.digest)

    def _on_ack(self, packet: form.Packet, message: form.Ack) -> None:
        number = message.number
        peer = self.table.get(packet.sender)
        if peer is not None and peer.state.boot == packet.boot:
            peer.phase = message.phase
            self._differs(peer, message.digest)
        asked = self._for.pop(number, None)
        if asked is not None:
            self._pass_ack(asked)
        probe = self._probe
        if probe is not None and number == probe.number:
            self._probe, self._help_at = None, math.inf
            if packet.sender == probe.peer.state.name:
                self.health.better()

    def _pass_ack(self, asked: _Asked) -> None:
        asker = self.table.get(asked.asker)
        if asker is not None:
            self._tell_peer(asker, form.Ack(asked.number, self.table.digest, self.phase))

    def _on_ask(self, packet: form.Packet, message: form.IndirectProbe) -> None:
        target = self.table.get(message.target)
        if target is None or self.table.get(packet.sender) is None:
            return
        if len(self._for) >= ASKED_MOST:
            del self._for[next(iter(self._for))]
        due = self.now + NACK_AFTER * self.timers.timeout
        self._for[self._ping(target)] = _Asked(packet.sender, message.number, due)
        self._nack_at = min(self._nack_at, due)

    def _say_nacks(self) -> None:
        """Who asks hears once that there is no answer yet; one that comes a little later still passes on."""
        self._nack_at = math.inf
        for number, asked in list(self._for.items()):
            if self.now >= asked.due:
                if asked.told:
                    del self._for[number]
                    continue
                asked.told, asked.due = True, self.now + LATE * self.timers.timeout
                asker = self.table.get(asked.asker)
                if asker is not None:
                    self._tell_peer(asker, form.Nack(asked.number))
            self._nack_at = min(self._nack_at, asked.due)

    def _on_nack(self, packet: form.Packet, message: form.Nack) -> None:
        probe = self._probe
        if probe is not None and message.number == probe.number:
            probe.nacks += 1
