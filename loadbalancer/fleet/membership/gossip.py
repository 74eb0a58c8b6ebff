"""The gossip queue: member states to piggyback on messages, each a bounded number of times (SWIM, section 4.1).

The queue holds one state per name, the latest that was added. States with the fewest transmissions are sent first, so
that a new state goes out with the next message. A state is dropped after a number of transmissions that is a multiple
of the logarithm of the fleet's size; by then all members have received it with high probability.
"""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.member_state import MemberState, encoded_size
from loadbalancer.fleet.wire import MAX_GOSSIP_BYTES

#: Transmissions of a state, as a multiple of the binary logarithm of the fleet's size.
RETRANSMIT_MULTIPLIER = 3
#: Maximum number of queued states; above it the states with the most transmissions are dropped.
MAX_QUEUED_STATES = 4_096
#: Encoded size of the shortest state.
MIN_STATE_BYTES = 32


class _QueuedState:
    __slots__ = ("size", "state", "transmissions")

    def __init__(self, state: MemberState) -> None:
        self.state = state
        self.size = encoded_size(state)
        self.transmissions = 0


class GossipQueue:
    """Holds member states ordered by number of transmissions; among equals the latest added comes first."""

    def __init__(self) -> None:
        #: The index is the number of transmissions; each level maps names to their queued states.
        self._levels: list[dict[str, _QueuedState]] = [{}]
        self._level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def __iter__(self) -> Iterator[MemberState]:
        return (queued.state for level in self._levels for queued in level.values())

    def add(self, state: MemberState) -> None:
        """Queue a state; it replaces the one that was queued for its name."""
        self.discard(state.name)
        if len(self._level_of) >= MAX_QUEUED_STATES:
            most_sent = next(level for level in reversed(self._levels) if level)
            self.discard(next(iter(most_sent)))
        self._levels[0][state.name] = _QueuedState(state)
        self._level_of[state.name] = 0

    def discard(self, name: str) -> None:
        """Remove the state that is queued for a name, if there is one."""
        level = self._level_of.pop(name, None)
        if level is not None:
            del self._levels[level][name]

    def select_batch(
        self, fleet_size: int, reserved_bytes: int = 0, except_name: str = ""
    ) -> list[MemberState]:
        """Select states for one message and count one transmission of each.

        Args:
            fleet_size: Number of living members; determines the maximum number of transmissions.
            reserved_bytes: Size of the message's other member states.
            except_name: A name whose state is left out; the receiver gets it by other means.
        """
        limit = self.max_transmissions(fleet_size)
        free_bytes = MAX_GOSSIP_BYTES - reserved_bytes
        chosen: list[_QueuedState] = []
        for level in self._levels:
            for queued in reversed(level.values()):
                if free_bytes < MIN_STATE_BYTES:
                    break
                if queued.size <= free_bytes and queued.state.name != except_name:
                    free_bytes -= queued.size
                    chosen.append(queued)
        for queued in chosen:
            self._count_transmission(queued, limit)
        return [queued.state for queued in chosen]

    @staticmethod
    def max_transmissions(fleet_size: int) -> int:
        """Return the maximum number of transmissions of a state in a fleet of this size."""
        if fleet_size <= 0:
            return RETRANSMIT_MULTIPLIER
        return RETRANSMIT_MULTIPLIER * math.ceil(math.log2(fleet_size + 1))

    def _count_transmission(self, queued: _QueuedState, limit: int) -> None:
        name = queued.state.name
        del self._levels[self._level_of[name]][name]
        queued.transmissions += 1
        if queued.transmissions >= limit:
            del self._level_of[name]
            return
        while len(self._levels) <= queued.transmissions:
            self._levels.append({})
        self._levels[queued.transmissions][name] = queued
        self._level_of[name] = queued.transmissions
