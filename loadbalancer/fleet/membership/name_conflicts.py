"""Two lives under one name: which one is over, and which one stays out. Pure; a part of view.py.

Rules:

1. A life that stands at this instance's own address, or is known dead or to have left, is over: its place is ours.
2. Any other is asked first, and is over if it does not answer.
3. Of two that live, the one that counts as one of the fleet stays; of two that both do, the earlier life; of two that
   both join, the lower boot id. The other stays out, and both say so.
"""

from __future__ import annotations

import math
import random

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.membership.failure_detector import FailureDetector
from loadbalancer.fleet.membership.member_state import LIVING, MemberState, MemberStatus
from loadbalancer.fleet.settings import Address, Identity, Settings

#: Times the timeout that another life of our name has for an answer.
ANSWER = 8.0


class NameConflicts(FailureDetector):
    """What is said of this instance's own name."""

    def __init__(self, identity: Identity, settings: Settings, source: random.Random) -> None:
        super().__init__(identity, settings, source)
        self.name_lost = False  # another process has the name
        self._rival: MemberState | None = None  # another life, until it is known whether it lives
        self._rival_until = math.inf

    def _said_of_me(self, fact: MemberState) -> None:
        mine = self.own_state
        if fact.boot == self.identity.boot:
            if fact.status != MemberStatus.ALIVE and self.joined and fact.incarnation >= mine.incarnation:
                self.counters["refuted"] += 1
                self.health.worse()
                self._become(mine.life, fact.incarnation + 1)
            return
        if (fact.life, fact.boot) < (mine.life, mine.boot) and self.joined:
            return  # a life that is over
        if fact.status not in LIVING or fact.address == self.identity.address:
            self._succeed(fact)
        elif self._rival is None or fact.rank > self._rival.rank:
            self._rival, self._rival_until = fact, self.now + ANSWER * self.timers.timeout
            self._tell(fact.address, fact.boot, self._clash(False))

    def _succeed(self, over: MemberState) -> None:
        """The other life of our name is over; ours comes after it."""
        self._rival, self._rival_until = None, math.inf
        life = max(self.own_state.life, over.life + 1)
        if self.joined:
            self._become(life, 0)
        elif self.name_lost:
            self._enter(life)
        else:
            self.own_state = self._fact(life, 0)

    def _look_for_rival(self) -> None:
        """Nobody has answered at the place of the other life for as long as it had."""
        if self._rival is not None and self.now >= self._rival_until:
            self._succeed(self._rival)

    def _clash(self, answer: bool) -> form.NameConflictNotice:
        return form.NameConflictNotice(self.own_state.life, *self.identity.address, self.joined, answer)

    def _meet_namesake(self, packet: form.Packet) -> None:
        """A message of another process under our name."""
        message = packet.message
        if packet.boot == self.identity.boot:
            return
        if isinstance(message, form.NameConflictNotice) and packet.to == self.identity.boot:
            self._on_clash(packet, message)
        elif isinstance(message, form.Hello) and self.joined:
            address = message.host, message.port
            if address != self.identity.address:  # else it was sent before we began
                self._stay(packet.boot, address, True)

    def _on_clash(self, packet: form.Packet, message: form.NameConflictNotice) -> None:
        if packet.sender != self.identity.name:
            return
        self._rival, self._rival_until = None, math.inf
        address = message.host, message.port
        if message.joined != self.joined:
            stays = self.joined
        elif self.joined:
            stays = (self.own_state.life, self.own_state.boot) < (message.life, packet.boot)
        else:
            stays = self.own_state.boot < packet.boot
        if not stays:
            if not self.name_lost:
                self._stay_out(packet.boot, address, not message.answer)
            return
        self._stay(packet.boot, address, not message.answer)
        if self.joined and message.life >= self.own_state.life:
            self._become(message.life + 1, 0)

    def _stay(self, boot: int, address: Address, answers: bool) -> None:
        self.counters["clashes"] += 1
        place = f"{address[0]}:{address[1]}"
        self._note(
            "two instances under one name", f"{self.identity.name} is at {place} too; that one stays out"
        )
        if answers:
            self._tell(address, boot, self._clash(True))

    def _stay_out(self, boot: int, address: Address, answers: bool) -> None:
        if self.joined:
            self._spread_leaving()
        self.name_lost = True
        self.counters["clashes"] += 1
        place = f"{address[0]}:{address[1]}"
        self._note("two instances under one name", f"{self.identity.name} is at {place}; this one stays out")
        if answers:
            self._tell(address, boot, self._clash(True))

    # In and out.

    def _enter(self, life: int) -> None:
        """Count as one of the fleet from here on, and tell some at once."""
        self.own_state = self._fact(max(1, life), 0)
        self.joined, self.name_lost = True, False
        self.table.count_me(self.own_state, None, self.now)
        self._begin_probes(self.now)
        self._announce()

    def _become(self, life: int, incarnation: int) -> None:
        before, self.own_state = self.own_state, self._fact(life, incarnation)
        self.table.count_me(self.own_state, before, self.now)
        self._announce()

    def _announce(self) -> None:
        self.rumours.add(self.own_state)
        self._spread(self.timers.helpers)

    def _spread_leaving(self) -> None:
        gone = self._fact(self.own_state.life, self.own_state.incarnation, MemberStatus.LEFT)
        self.table.count_me(gone, self.own_state, self.now)
        self.own_state, self.joined = gone, False
        self.rumours.add(gone)
        self._spread(LEAVING)


#: Others that hear directly of one that leaves; they pass it on.
LEAVING = 16
