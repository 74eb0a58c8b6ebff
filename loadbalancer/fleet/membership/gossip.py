"""Words that are passed on with other messages, a bounded number of times each. Pure.

Of one name there is one word, the greatest. Those told least often go first, so that a new one leaves with the next
message; a word is dropped once it has been told some times the logarithm of the fleet, by when all have heard it with
high probability (SWIM, section 4.1).
"""

from __future__ import annotations

import math
from typing import Iterator

from loadbalancer.fleet.membership.member_state import MemberState, encoded_size
from loadbalancer.fleet.wire import MAX_GOSSIP_BYTES

#: Times the logarithm (base 2) of the fleet that a word is told.
TELL = 3
#: Words that wait at most; past it those that were told most often go.
WAITING_MOST = 4_096
#: Bytes of the shortest word.
LEAST = 32


class _Word:
    __slots__ = ("fact", "size", "told")

    def __init__(self, fact: MemberState) -> None:
        self.fact, self.size, self.told = fact, encoded_size(fact), 0


class GossipQueue:
    """By how often they were told, the latest come first among those told alike."""

    def __init__(self) -> None:
        self._levels: list[dict[str, _Word]] = [{}]  # by how often told; in a level by name
        self._at: dict[str, int] = {}  # the level of each name

    def __len__(self) -> int:
        return len(self._at)

    def __iter__(self) -> Iterator[MemberState]:
        return (word.fact for level in self._levels for word in level.values())

    def add(self, fact: MemberState) -> None:
        """In the place of what was to be told of that name."""
        self.drop(fact.name)
        if len(self._at) >= WAITING_MOST:
            worst = next(level for level in reversed(self._levels) if level)
            self.drop(next(iter(worst)))
        self._levels[0][fact.name] = _Word(fact)
        self._at[fact.name] = 0

    def drop(self, name: str) -> None:
        level = self._at.pop(name, None)
        if level is not None:
            del self._levels[level][name]

    def take(self, fleet: int, spared: int = 0, but: str = "") -> list[MemberState]:
        """Those that go along with one message, which holds `spared` bytes of others already; each counts as told.
        `but`: the name that the receiver hears of by other means."""
        most = self.times(fleet)
        room, found = MAX_GOSSIP_BYTES - spared, []
        for level in self._levels:
            for word in reversed(level.values()):
                if room < LEAST:
                    break
                if word.size <= room and word.fact.name != but:
                    room -= word.size
                    found.append(word)
        for word in found:
            self._told(word, most)
        return [word.fact for word in found]

    @staticmethod
    def times(fleet: int) -> int:
        return TELL * math.ceil(math.log2(fleet + 1)) if fleet > 0 else TELL

    def _told(self, word: _Word, most: int) -> None:
        name = word.fact.name
        del self._levels[self._at[name]][name]
        word.told += 1
        if word.told >= most:
            del self._at[name]
            return
        while len(self._levels) <= word.told:
            self._levels.append({})
        self._levels[word.told][name] = word
        self._at[name] = word.told
