"""Memory of bounded size for the ids of requests that may have run; an id is kept for a promised time.

Several processes may share the memory, without a lock: each id is one word, and each word is written at once.
"""

from __future__ import annotations

import math
import time
from typing import Callable, Protocol, Union

RECENT_IDS_BYTES = 1 << 20
"""Memory for the ids: 131,072 of them."""
PLACES_PER_BUCKET = 8
"""Words of 8 bytes in each part of the memory."""
EMPTY = 0
TIME_BITS = 16
"""Bits of a word that hold the second in which its id was added; the others hold the upper part of its number."""
TIME_MASK = (1 << TIME_BITS) - 1
MULTIPLIER = 0x9E3779B97F4A7C15
"""Spreads the second bucket of an id independently of the first (Fibonacci hashing)."""
NUMBER_MASK = (1 << 64) - 1

EARLIER_IDS_BYTES = 64 << 10
"""Memory in which processes of earlier versions keep ids."""
WORDS_PER_EARLIER_BUCKET = 8

Memory = Union[bytearray, memoryview]


class IdSet(Protocol):
    """A set of numbers of ids."""

    def __contains__(self, number: int) -> bool:
        """Return whether an id is remembered."""

    def add(self, number: int) -> object:
        """Remember an id."""

    def discard(self, number: int) -> None:
        """Forget an id."""


class RecentIds:
    """Remembers ids for a time, in two buckets for each, of which the emptier one takes it.

    An id that is older than that stays until its place is needed. An id for which there is no place is not added:
    the caller refuses its request rather than forget another one's.
    """

    def __init__(self, memory: Memory, kept_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        """Use `RECENT_IDS_BYTES` of memory, with the ids that are in it.

        Args:
            memory: The memory.
            kept_s: Seconds for which an id is kept at least; under half of 65,536.
            clock: Returns seconds on a clock that all processes of the machine share.
        """
        self._words = memoryview(memory).cast("Q")
        self._bucket_count = len(self._words) // PLACES_PER_BUCKET
        self._kept_s = math.ceil(kept_s) + 1  # seconds are cut off on both sides
        self._clock = clock

    def __contains__(self, number: int) -> bool:
        tag = _tag(number)
        return any(
            word >> TIME_BITS == tag for first in self._buckets(number) for word in self._words_of(first)
        )

    def has_room(self, number: int) -> bool:
        """Return whether an id is in the memory or has a place."""
        return number in self or self._find_place(number) is not None

    def add(self, number: int) -> bool:
        """Remember an id; return whether it is remembered."""
        if number in self:
            return True
        place = self._find_place(number)
        if place is None:
            return False
        self._words[place] = _tag(number) << TIME_BITS | self._now()
        return True

    def discard(self, number: int) -> None:
        """Forget an id."""
        tag = _tag(number)
        for first in self._buckets(number):
            for place, word in enumerate(self._words_of(first), first):
                if word >> TIME_BITS == tag:
                    self._words[place] = EMPTY

    def _buckets(self, number: int) -> tuple[int, int]:
        """Return the first places of the two buckets of an id."""
        spread = number * MULTIPLIER & NUMBER_MASK
        first, second = number % self._bucket_count, (spread >> 32) % self._bucket_count
        return first * PLACES_PER_BUCKET, second * PLACES_PER_BUCKET

    def _words_of(self, first: int) -> list[int]:
        return self._words[first : first + PLACES_PER_BUCKET].tolist()

    def _now(self) -> int:
        return int(self._clock()) & TIME_MASK

    def _find_place(self, number: int) -> int | None:
        """Return a free place in the emptier bucket, or the one whose id has been there longest past its time."""
        now, free = self._now(), list[list[tuple[int, int]]]()
        for first in self._buckets(number):
            ages = [
                (TIME_MASK if word == EMPTY else now - word & TIME_MASK, place)
                for place, word in enumerate(self._words_of(first), first)
            ]
            free.append([each for each in ages if each[0] > self._kept_s])
        most_free = max(free, key=len)
        return max(most_free)[1] if most_free else None


def _tag(number: int) -> int:
    return number >> TIME_BITS or 1


class EarlierIds:
    """Reads and writes ids as processes of earlier versions do, beside which this one runs during an upgrade.

    Each bucket is a count of the ids that were written to it, and places that are written in turn.
    """

    def __init__(self, memory: Memory) -> None:
        """Use `EARLIER_IDS_BYTES` of memory, with the ids that are in it."""
        self._words = memoryview(memory).cast("Q")
        self._bucket_count = len(self._words) // WORDS_PER_EARLIER_BUCKET

    def _places(self, number: int) -> range:
        first = number % self._bucket_count * WORDS_PER_EARLIER_BUCKET
        return range(first + 1, first + WORDS_PER_EARLIER_BUCKET)

    def __contains__(self, number: int) -> bool:
        places = self._places(number)
        return number in self._words[places.start : places.stop].tolist()

    def add(self, number: int) -> None:
        """Remember an id, in place of the oldest one of its bucket."""
        if number in self:
            return
        places = self._places(number)
        count_at = places[0] - 1
        self._words[places[self._words[count_at] % len(places)]] = number
        self._words[count_at] += 1

    def discard(self, number: int) -> None:
        """Forget an id."""
        for place in self._places(number):
            if self._words[place] == number:
                self._words[place] = EMPTY
