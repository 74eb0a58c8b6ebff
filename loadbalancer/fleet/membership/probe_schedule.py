"""Order of the direct probes: all living members in turn, reshuffled in each round (SWIM, section 4.3)."""

from __future__ import annotations

import random

from loadbalancer.fleet.membership.member_table import MemberTable, Peer


class ProbeSchedule:
    """Selects the target of each direct probe."""

    def __init__(self, table: MemberTable, source: random.Random) -> None:
        self._table = table
        self._random = source
        self._round: list[Peer] = []
        self._requested: list[Peer] = []

    def request(self, peer: Peer) -> None:
        """Request that a member is probed ahead of its turn."""
        self._requested.append(peer)

    def next_target(self) -> Peer | None:
        """Return the member to probe next, or None if no other member lives."""
        while self._requested:
            peer = self._requested.pop()
            if peer.is_live:
                return peer
        while True:
            if not self._round:
                self._round = list(self._table.living)
                self._random.shuffle(self._round)
                if not self._round:
                    return None
            peer = self._round.pop()
            if peer.is_live:
                return peer
