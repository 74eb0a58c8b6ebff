"""The member table: what an instance holds of every other one, and a digest of those that live.

Rules:

1. A row changes only to a state of greater rank (member_state.py, rule 3).
2. A name that is not in the table gets a row only by a state that says that it lives. So what others remember of the
   dead spreads no further, and all instances forget them in the end.
3. The table holds at most MAX_NAMES names. A new one past that is refused, and counted.
"""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.member_state import DIGEST_MODULUS, MemberState, MemberStatus, digest_of
from loadbalancer.fleet.membership.suspicion import Suspicion

MAX_NAMES = 4_096
#: The recovery phase of a generation that has just begun, until it reports one (RecoveryPhase.FINDING).
COMING = 1
#: The recovery phase of a member that has not reported any.
NOT_HEARD = -1
#: The digest of a member that has not reported any.
NO_DIGEST = -1


class Peer:
    """One row: another member as this instance holds it. Times are seconds on the view's clock.

    Attributes:
        state: The state of greatest rank that was received.
        status_since: Since when it has this status in this generation.
        last_heard_at: When its last message arrived, in this generation.
        digest: The digest of its table, as it reported last; NO_DIGEST before.
        digest_at: When it reported that.
        phase: Its recovery phase, as it reported last; NOT_HEARD before.
        corrected_at: When it was last told that it is not held alive here.
        suspicion: Who suspects it since when; of meaning while its status is SUSPECT.
        reconnect_at: While it is dead: when to call it next.
        reconnect_interval: While it is dead: seconds from the last call to the next, before jitter.
        live_index: Its place in the table's list of living members, -1 where it does not live.
    """

    __slots__ = (
        "corrected_at",
        "digest",
        "digest_at",
        "last_heard_at",
        "live_index",
        "phase",
        "reconnect_at",
        "reconnect_interval",
        "state",
        "status_since",
        "suspicion",
    )

    def __init__(self, state: MemberState, now: float) -> None:
        self.state = state
        self.status_since = now
        self.last_heard_at = -math.inf
        self.digest = NO_DIGEST
        self.digest_at = -math.inf
        self.phase = NOT_HEARD
        self.corrected_at = -math.inf
        self.suspicion = Suspicion(now)
        self.reconnect_at = math.inf
        self.reconnect_interval = 0.0
        self.live_index = -1

    @property
    def is_live(self) -> bool:
        """Whether it is alive or suspect."""
        return self.state.is_live

    def begin_generation(self) -> None:
        """Drop what another process under this name has reported."""
        self.digest = NO_DIGEST
        self.digest_at = -math.inf
        self.last_heard_at = -math.inf
        self.phase = COMING


class MemberTable:
    """Rows of all other members, by name, and the digest of the fleet's living members.

    This instance has no row; `replace_own_state` counts it into the digest.

    Attributes:
        peers: The rows by name.
        refused: How many states were refused by rule 3.
        changed_at: When the digest last changed, in seconds on the view's clock.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.refused = 0
        self.changed_at = -math.inf
        self._living: list[Peer] = []
        self._digest = 0

    def __iter__(self) -> Iterator[Peer]:
        return iter(self.peers.values())

    def get(self, name: str) -> Peer | None:
        """Return the row of a name, None for one that is not in the table."""
        return self.peers.get(name)

    def get_process(self, name: str, boot: int) -> Peer | None:
        """Return the row of a name if it is of the process with this boot id."""
        peer = self.peers.get(name)
        return peer if peer is not None and peer.state.boot == boot else None

    @property
    def living(self) -> list[Peer]:
        """Members that live, in no order. The caller must not change the list."""
        return self._living

    @property
    def fleet_size(self) -> int:
        """How many members live, this instance included."""
        return len(self._living) + 1

    @property
    def digest(self) -> int:
        """Sum of the digests of all living members, this instance included while it is a member."""
        return self._digest

    def replace_own_state(self, state: MemberState, previous: MemberState | None, now: float) -> None:
        """Count this instance into the digest by `state`, in the place of `previous`."""
        if previous is not None:
            self._count(previous, -1, now)
        self._count(state, 1, now)

    def _count(self, state: MemberState, sign: int, now: float) -> None:
        if state.is_live:
            part = digest_of(state.name, state.boot, state.incarnation)
            self._digest = (self._digest + sign * part) % DIGEST_MODULUS
            self.changed_at = now

    def apply(self, state: MemberState, now: float) -> Peer | None:
        """Take a state into the table by rules 1 to 3.

        Returns:
            The row that has changed, None where the state says nothing new.
        """
        peer = self.peers.get(state.name)
        if peer is None:
            return self._add(state, now)
        if state.rank <= peer.state.rank:
            return None
        self._update_digest(peer.state, state, now)
        previous, peer.state = peer.state, state
        if previous.status != state.status or previous.boot != state.boot:
            peer.status_since = now
        if previous.boot != state.boot:
            peer.begin_generation()
        if state.status != MemberStatus.SUSPECT:
            peer.suspicion.reporters.clear()
        if state.is_live and not previous.is_live:
            self._list_as_living(peer)
        elif previous.is_live and not state.is_live:
            self._unlist(peer)
        return peer

    def _update_digest(self, previous: MemberState, state: MemberState, now: float) -> None:
        same_process = (previous.boot, previous.incarnation) == (state.boot, state.incarnation)
        if not same_process or previous.is_live != state.is_live:
            self._count(previous, -1, now)
            self._count(state, 1, now)

    def _add(self, state: MemberState, now: float) -> Peer | None:
        if not state.is_live:
            return None
        if len(self.peers) >= MAX_NAMES:
            self.refused += 1
            return None
        peer = self.peers[state.name] = Peer(state, now)
        self._count(state, 1, now)
        self._list_as_living(peer)
        return peer

    def forget(self, name: str) -> None:
        """Remove the row of a member that does not live."""
        peer = self.peers[name]
        assert not peer.is_live
        del self.peers[name]

    def _list_as_living(self, peer: Peer) -> None:
        peer.live_index = len(self._living)
        self._living.append(peer)

    def _unlist(self, peer: Peer) -> None:
        """Take it off the list in constant time: the last one takes its place."""
        last = self._living.pop()
        if last is not peer:
            self._living[peer.live_index] = last
            last.live_index = peer.live_index
        peer.live_index = -1
