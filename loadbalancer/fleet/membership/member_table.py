"""The member table: the state that an instance records of each other one, and a digest of the living members.

Rules:

1. A row changes only to a state of greater rank (member_state.py, rule 3).
2. A name that is not in the table is added only by a state that is alive or suspect. So states of dead members that
   other instances still record are not spread further, and all instances forget those members in the end.
3. The table holds at most MAX_NAMES names. A further name is refused and counted.
"""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.member_state import DIGEST_MODULUS, MemberState, MemberStatus, digest_of
from loadbalancer.fleet.membership.suspicion import Suspicion

MAX_NAMES = 4_096
#: Assumed recovery phase of a generation that has just started and reported none (RecoveryPhase.FINDING).
INITIAL_PHASE = 1
#: The recovery phase of a member that has not reported any.
PHASE_UNKNOWN = -1
#: The digest of a member that has not reported any.
NO_DIGEST = -1


class Peer:
    """Holds one row: another member as this instance records it. Times are seconds on the view's clock.

    Attributes:
        state: The state of greatest rank that was received.
        status_since: When it took its current status in this generation.
        last_heard_at: When its last message arrived, in this generation.
        digest: The digest of its table that it last reported; NO_DIGEST if none.
        digest_at: When it reported that digest.
        phase: The recovery phase that it last reported; PHASE_UNKNOWN if none.
        corrected_at: When it was last sent its recorded state because that was not alive.
        suspicion: Its reporters and its start; valid only while the status is SUSPECT.
        reconnect_at: While it is dead: when to send it the next hello.
        reconnect_interval: While it is dead: seconds between the last hello and the next, before jitter.
        live_index: Its index in the table's list of living members, -1 if it does not live.
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
        self.phase = PHASE_UNKNOWN
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
        """Reset what the previous process under this name has reported."""
        self.digest = NO_DIGEST
        self.digest_at = -math.inf
        self.last_heard_at = -math.inf
        self.phase = INITIAL_PHASE


class MemberTable:
    """Holds the rows of all other members by name, and the digest of all living members.

    This instance has no row; `replace_own_state` includes it in the digest.

    Attributes:
        peers: The rows by name.
        refused: Number of states that were refused by rule 3.
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
        """Return the row of a name, or None if the name is not in the table."""
        return self.peers.get(name)

    def get_process(self, name: str, boot: int) -> Peer | None:
        """Return the row of a name if its boot id matches, else None."""
        peer = self.peers.get(name)
        return peer if peer is not None and peer.state.boot == boot else None

    @property
    def living(self) -> list[Peer]:
        """The living members, in no particular order. The caller must not change the list."""
        return self._living

    @property
    def fleet_size(self) -> int:
        """Number of living members, including this instance."""
        return len(self._living) + 1

    @property
    def digest(self) -> int:
        """Sum of the digests of all living members, including this instance while it is a member."""
        return self._digest

    def replace_own_state(self, state: MemberState, previous: MemberState | None, now: float) -> None:
        """Include this instance in the digest with `state` instead of `previous`."""
        if previous is not None:
            self._add_to_digest(previous, -1, now)
        self._add_to_digest(state, 1, now)

    def _add_to_digest(self, state: MemberState, sign: int, now: float) -> None:
        if state.is_live:
            part = digest_of(state.name, state.boot, state.incarnation)
            self._digest = (self._digest + sign * part) % DIGEST_MODULUS
            self.changed_at = now

    def apply(self, state: MemberState, now: float) -> Peer | None:
        """Apply a state to the table according to rules 1 to 3.

        Returns:
            The row that has changed, or None if the state changed nothing.
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
            self._add_to_living(peer)
        elif previous.is_live and not state.is_live:
            self._remove_from_living(peer)
        return peer

    def _update_digest(self, previous: MemberState, state: MemberState, now: float) -> None:
        same_process = (previous.boot, previous.incarnation) == (state.boot, state.incarnation)
        if not same_process or previous.is_live != state.is_live:
            self._add_to_digest(previous, -1, now)
            self._add_to_digest(state, 1, now)

    def _add(self, state: MemberState, now: float) -> Peer | None:
        if not state.is_live:
            return None
        if len(self.peers) >= MAX_NAMES:
            self.refused += 1
            return None
        peer = self.peers[state.name] = Peer(state, now)
        self._add_to_digest(state, 1, now)
        self._add_to_living(peer)
        return peer

    def forget(self, name: str) -> None:
        """Remove the row of a member that does not live."""
        peer = self.peers[name]
        assert not peer.is_live
        del self.peers[name]

    def _add_to_living(self, peer: Peer) -> None:
        peer.live_index = len(self._living)
        self._living.append(peer)

    def _remove_from_living(self, peer: Peer) -> None:
        """Remove a row from the list of living members in constant time by moving the last one to its index."""
        last = self._living.pop()
        if last is not peer:
            self._living[peer.live_index] = last
            last.live_index = peer.live_index
        peer.live_index = -1
