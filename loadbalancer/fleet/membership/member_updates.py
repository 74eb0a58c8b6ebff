"""What becomes of each name in the view: taken, suspected, dead, tried again, forgotten. Pure; a part of view.py."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Iterator, Sequence

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.membership.events import Action, MembershipNotice, SendPacket, SynchronizeState
from loadbalancer.fleet.membership.gossip import GossipQueue
from loadbalancer.fleet.membership.member_state import MemberState, MemberStatus, encoded_size
from loadbalancer.fleet.membership.member_table import MemberTable, Peer
from loadbalancer.fleet.membership.suspicion import LocalHealth, suspicion_timeout
from loadbalancer.fleet.settings import Address, Identity, Settings

#: Of the living, how many check a suspicion that they hear of, on the average: enough to confirm it, and not all.
CHECKERS = 6.0
#: Others that hear at one time of words that wait.
GOSSIP = 2
#: Up to this many living an exchange may follow another after `mend`; past it in proportion, as each is larger.
MEND_FLEET = 40


class MemberUpdates:
    """The table, what is passed on, and the timers of rows."""

    def __init__(self, identity: Identity, settings: Settings, source: random.Random) -> None:
        self.identity, self.settings, self.timers = identity, settings, settings.timers
        self.random = source
        self.now = self.started_at = -math.inf
        self.actions: list[Action] = []
        self.initial_actions: list[Action] = []  # of a place that was taken over, before any event
        self.table = MemberTable()
        self.rumours = GossipQueue()
        self.health = LocalHealth(settings.timers.health_most)
        self.counters: Counter[str] = Counter()
        self.own_state = self._fact(1, 0)
        self.phase = 0  # of coming back, as it is told to others
        self.joined = False  # whether this instance counts as one of the fleet
        self._rows_at = math.inf  # no row needs a look before
        self._tried_at = self._hoped_at = -math.inf
        self._exchange_at = math.inf  # the next that nothing has called for
        self._mended_at = -math.inf
        self._gossip_at = -math.inf  # when words that wait are passed on without a probe
        self._wanted: list[Peer] = []  # to be probed before their turn

    def _fact(self, life: int, incarnation: int, standing: MemberStatus = MemberStatus.ALIVE) -> MemberState:
        mine = self.identity
        return MemberState(mine.name, mine.boot, life, incarnation, standing, *mine.address, mine.zone)

    @property
    def fleet_size(self) -> int:
        """How many live, this instance among them."""
        return len(self.table.living) + 1

    def facts(self) -> Iterator[MemberState]:
        """All that one who exchanges with us hears: this instance first where it is in."""
        if self.joined:
            yield self.own_state
        for peer in self.table:
            yield peer.state

    # Saying.

    def _note(self, kind: str, text: str) -> None:
        self.actions.append(MembershipNotice(kind, text))

    def _hello(self) -> form.Hello:
        return form.Hello(*self.identity.address)

    def _tell(
        self,
        address: Address,
        to: int,
        message: form.Message,
        first: Sequence[MemberState] = (),
        name: str = "",
    ) -> None:
        """With as many words as fit. `first`: those that go in any case. A hello says nothing to whoever hears it."""
        facts: tuple[MemberState, ...] = ()
        if isinstance(message, form.AliveNotice):
            facts = (self.own_state,) if self.joined else ()
        elif not isinstance(message, (form.Hello, form.NameConflictNotice)):
            facts = (*first, *self.rumours.take(self.fleet_size, sum(map(encoded_size, first)), name))
        self.actions.append(SendPacket(address, to, message, facts))

    def _tell_peer(self, peer: Peer, message: form.Message, *further: MemberState) -> None:
        """The suspected and the dead hear first what is held of them."""
        fact = peer.state
        first = (fact, *further) if fact.status != MemberStatus.ALIVE else further
        self._tell(fact.address, fact.boot, message, first, fact.name)

    def _spread(self, count: int) -> None:
        """What is new goes to some at once, and does not wait for the next probe."""
        living = self.table.living
        for peer in self.random.sample(living, min(count, len(living))):
            self._tell_peer(peer, form.GossipReply())

    def _correct(self, packet: form.Packet) -> None:
        """Who speaks and does not live in this view hears so, that he may refute it. Guards, by its pause, against two
        that hold one another dead and neither of which refutes it: they would tell each other without end."""
        peer = self.table.get(packet.sender)
        if peer is None or peer.state.boot != packet.boot or peer.state.status == MemberStatus.ALIVE:
            return
        if self.now - peer.corrected_at >= self.timers.timeout:
            peer.corrected_at = self.now
            self._tell_peer(peer, form.GossipReply())

    def _exchange(self, name: str, boot: int, address: Address) -> None:
        """Not more often than the size of a whole exchange allows; one that is joining may hear several."""
        rest = self.timers.mend * max(1.0, self.fleet_size / MEND_FLEET)
        if not self.joined or self.now - self._mended_at >= rest:
            self._mended_at = self.now
            self.counters["exchanges"] += 1
            self.actions.append(SynchronizeState(name, boot, address))

    # Taking a word.

    def _take(self, fact: MemberState) -> None:
        known = self.table.get(fact.name)
        if (
            known is not None
            and fact.status == MemberStatus.SUSPECT
            and known.state.status == MemberStatus.SUSPECT
            and fact.rank == known.state.rank
        ):
            self._confirm(known, fact)
            return
        was = known.state.status if known is not None else None
        peer = self.table.take(fact, self.now)
        if peer is None:
            return
        self.rumours.add(fact)
        self._turned(peer, was)

    def _turned(self, peer: Peer, was: MemberStatus | None) -> None:
        """A row has changed. `was`: None for a name that is new."""
        standing, name = peer.state.status, peer.state.name
        if standing == MemberStatus.SUSPECT:
            peer.suspected_at = self.now
            peer.accusers = {peer.state.reported_by}
            self.counters["suspected"] += 1
            self._check_too(peer)
        elif standing == MemberStatus.DEAD:
            self.counters["died"] += 1
            peer.try_after = self.timers.try_first
            peer.try_at = self.now + peer.try_after * (0.5 + self.random.random())
            self._note("an instance is held dead", f"{name}, by {peer.state.reported_by or 'others'}")
        elif standing == MemberStatus.LEFT:
            self._note("an instance has left", name)
        elif was is None:
            self._note("an instance has joined", f"{name} at {peer.state.host}:{peer.state.port}")
        elif was in (MemberStatus.DEAD, MemberStatus.LEFT):
            self.counters["returned"] += 1
            self._note("an instance is back", name)
            if was == MemberStatus.DEAD:
                self._hope()
        self._rows_at = min(self._rows_at, self._row_due(peer))

    def _hope(self) -> None:
        """One that was held dead is back: a partition may have healed, and the others are called soon, once."""
        if self.now < self._hoped_at + self.timers.try_first:
            return
        self._hoped_at = self.now
        for peer in self.table:
            if peer.state.status == MemberStatus.DEAD:
                peer.try_after = self.timers.try_first
                peer.try_at = min(peer.try_at, self.now + self.timers.try_first * self.random.random())
                self._rows_at = min(self._rows_at, peer.try_at)

    def _check_too(self, peer: Peer) -> None:
        """Hearing of a suspicion, some look for themselves at once: it is confirmed, or refuted, in a period."""
        if peer.state.reported_by != self.identity.name and self.random.random() < CHECKERS / self.fleet_size:
            self._wanted.append(peer)

    def _confirm(self, peer: Peer, fact: MemberState) -> None:
        """Another one suspects too; a few of them are passed on."""
        if fact.reported_by in peer.accusers or len(peer.accusers) > self.timers.confirmations:
            return
        peer.accusers.add(fact.reported_by)
        self.rumours.add(fact)
        self._rows_at = min(self._rows_at, self._row_due(peer))

    def _suspect(self, peer: Peer) -> None:
        """A probe of our own has failed."""
        old = peer.state
        self._take(self._say(old, MemberStatus.SUSPECT))

    def _say(self, old: MemberState, standing: MemberStatus) -> MemberState:
        return MemberState(
            old.name,
            old.boot,
            old.life,
            old.incarnation,
            standing,
            old.host,
            old.port,
            old.zone,
            self.identity.name,
        )

    # Time.

    def _row_due(self, peer: Peer) -> float:
        standing = peer.state.status
        if standing == MemberStatus.SUSPECT:
            return peer.suspected_at + suspicion_timeout(self.timers, self.fleet_size, len(peer.accusers) - 1)
        if standing == MemberStatus.DEAD:
            return min(peer.try_at, peer.since + self.timers.forget)
        return peer.since + self.timers.forget if standing == MemberStatus.LEFT else math.inf

    def _next_row_step(self) -> float:
        gossip = self._gossip_at if len(self.rumours) and self.table.living else math.inf
        rows = self._rows_at
        if rows < self.now:  # some dead are due, and wait for their turn
            rows = max(rows, self._tried_at + self.timers.try_each)
        return min(gossip, rows, self._exchange_at)

    def _step_rows(self) -> None:
        """Suspicions whose time is over, the dead that are due, those that are forgotten."""
        if self.now >= self._exchange_at:
            self._exchange_at = self.now + self.timers.exchange * (0.5 + self.random.random())
            if self.table.living:
                self._exchange_with(self.random.choice(self.table.living))
        if self.now >= self._gossip_at and len(self.rumours):
            self._gossip_at = self.now + self.timers.gossip
            self._spread(GOSSIP)
        if self.now < self._rows_at:
            return
        self._rows_at = math.inf
        for peer in list(self.table):
            if peer.state.status != MemberStatus.ALIVE:
                if self._row_due(peer) <= self.now:
                    self._row_step(peer)
                self._rows_at = min(self._rows_at, self._row_due(peer))

    def _row_step(self, peer: Peer) -> None:
        if peer.state.status == MemberStatus.SUSPECT:
            self._take(self._say(peer.state, MemberStatus.DEAD))
        elif self.now >= peer.since + self.timers.forget:
            self.table.forget(peer.state.name)
            peer.since = math.inf
        elif self.now >= self._tried_at + self.timers.try_each:
            self._try(peer)

    def _try(self, peer: Peer) -> None:
        """Call a dead one, in whatever life it is."""
        self._tried_at = self.now
        timers = self.timers
        old = self.now - peer.since > timers.late_after
        peer.try_after = min(timers.try_late if old else timers.try_most, peer.try_after * 2)
        peer.try_at = self.now + peer.try_after * (0.75 + 0.5 * self.random.random())
        self.counters["tries"] += 1
        self._tell(peer.state.address, 0, self._hello())

    def _exchange_with(self, peer: Peer) -> None:
        self._exchange(peer.state.name, peer.state.boot, peer.state.address)

    def _differs(self, peer: Peer, digest: int) -> None:
        """What a peer told of its view: where both have had time to settle and differ, hear all of it."""
        peer.digest, peer.digest_at = digest, self.now
        own = self.table
        if digest != own.digest and self.now - own.changed_at > self.timers.period and peer.is_live:
            self._exchange_with(peer)
