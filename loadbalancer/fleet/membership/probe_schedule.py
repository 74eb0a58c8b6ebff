"""Whom to probe next: all living members in turn, each round in another order (SWIM, section 4.3)."""

from __future__ import annotations

import random

from loadbalancer.fleet.membership.member_table import MemberTable, Peer


class ProbeSchedule:
    """The order of direct probes."""

    def __init__(self, table: MemberTable, source: random.Random) -> None:
        self._table = table
        self._random = source
        self._round: list[Peer] = []
        self._requested: list[Peer] = []

    def request(self, peer: Peer) -> None:
        """Have a member probed ahead of its turn."""
        self._requested.append(peer)

    def next_target(self) -> Peer | None:
        """Return the member to probe now, None where nobody else lives."""
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
