"""What an instance holds of the others: one row a name, and a digest of those that live. Pure.

Rules:

1. A row changes only to a greater word (facts.py, rule 3).
2. Of a name that is not known, only a word that it lives makes a row: what others remember of the dead spreads no
   further, so that all forget them in the end.
3. At most NAMES_MOST names; past it a new one is not taken, and counted.
"""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.membership.member_state import DIGESTS, LIVING, MemberState, MemberStatus, digest_of

NAMES_MOST = 4_096
#: The phase of a life that has just begun, until it says more (comeback.py).
COMING = 1
#: Of one that has not said anything itself.
NOT_HEARD = -1


class Peer:
    """One name as it is held here. Times on the clock that is handed in."""

    __slots__ = (
        "accusers",
        "corrected_at",
        "digest",
        "digest_at",
        "state",
        "heard_at",
        "phase",
        "ring",
        "since",
        "suspected_at",
        "try_after",
        "try_at",
    )

    def __init__(self, fact: MemberState, now: float) -> None:
        self.state = fact
        self.since = now  # that it stands as it does
        self.heard_at = -math.inf  # a message of its own
        self.digest, self.digest_at = -1, -math.inf  # that it told last
        self.phase = NOT_HEARD  # of its coming back, as it told last
        self.corrected_at = -math.inf  # when it last heard what is held of it
        self.accusers: set[str] = set()
        self.suspected_at = now
        self.try_at, self.try_after = math.inf, 0.0  # while it is dead
        self.ring = -1  # its place among those that are probed

    @property
    def is_live(self) -> bool:
        return self.state.status in LIVING


class MemberTable:
    """Of the others; the instance itself is counted in by `me`."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.refused = 0  # names past NAMES_MOST
        self._living: list[Peer] = []
        self._sum = 0
        self.changed_at = -math.inf  # when the digest last did

    def __iter__(self) -> Iterator[Peer]:
        return iter(self.peers.values())

    def get(self, name: str) -> Peer | None:
        return self.peers.get(name)

    @property
    def living(self) -> list[Peer]:
        """Not to be changed by the caller; in no order."""
        return self._living

    @property
    def digest(self) -> int:
        return self._sum

    def count_me(self, fact: MemberState, before: MemberState | None, now: float) -> None:
        """The instance itself, in the place of what it was."""
        if before is not None:
            self._add(before, -1, now)
        self._add(fact, 1, now)

    def _add(self, fact: MemberState, sign: int, now: float) -> None:
        if fact.status in LIVING:
            self._sum = (self._sum + sign * digest_of(fact.name, fact.boot, fact.incarnation)) % DIGESTS
            self.changed_at = now

    def take(self, fact: MemberState, now: float) -> Peer | None:
        """The row that changes by this word; None where it says nothing new."""
        peer = self.peers.get(fact.name)
        if peer is None:
            return self._first(fact, now)
        if fact.rank <= peer.state.rank:
            return None
        before = peer.state
        if (before.boot, before.incarnation) != (fact.boot, fact.incarnation) or peer.is_live != (
            fact.status in LIVING
        ):
            self._add(before, -1, now)
            self._add(fact, 1, now)
        if before.status != fact.status or before.boot != fact.boot:
            peer.since = now
        if before.boot != fact.boot:
            peer.digest, peer.digest_at, peer.heard_at, peer.phase = -1, -math.inf, -math.inf, COMING
        was_living = peer.is_live
        peer.state = fact
        if fact.status != MemberStatus.SUSPECT:
            peer.accusers.clear()
        if peer.is_live != was_living:
            self._enter(peer) if peer.is_live else self._leave(peer)
        return peer

    def _first(self, fact: MemberState, now: float) -> Peer | None:
        if fact.status not in LIVING:
            return None
        if len(self.peers) >= NAMES_MOST:
            self.refused += 1
            return None
        peer = self.peers[fact.name] = Peer(fact, now)
        self._add(fact, 1, now)
        self._enter(peer)
        return peer

    def forget(self, name: str) -> None:
        """One that does not live."""
        peer = self.peers[name]
        assert not peer.is_live
        del self.peers[name]

    def _enter(self, peer: Peer) -> None:
        peer.ring = len(self._living)
        self._living.append(peer)

    def _leave(self, peer: Peer) -> None:
        last = self._living.pop()
        if last is not peer:
            self._living[peer.ring] = last
            last.ring = peer.ring
        peer.ring = -1
