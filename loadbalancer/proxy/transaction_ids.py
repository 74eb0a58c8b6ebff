"""The transaction ids of clients: a request whose id has been used is rejected, so that it does not run twice."""

from __future__ import annotations

import zlib
from typing import Union

MAX_UNUSABLE_IDS = 2000
"""Limit on the remembered ids of unusable requests; the oldest ids are evicted."""
NO_TRANSACTION = 0
"""Number of a request without a transaction id."""
RECENT_IDS_BYTES = 64 << 10
"""Memory for the ids of requests that may have run: some 7,000 of them."""
WORDS_PER_BUCKET = 8
"""Words of 8 bytes in each part of this memory; the first one counts, the others hold ids."""
EMPTY = 0
BITS_OF_HALF = 32


def transaction_number(transaction_id: bytes) -> int:
    """Return a number of 64 bits for an id, the same in every process; never `NO_TRANSACTION`."""
    half, other_half = zlib.crc32(transaction_id), zlib.crc32(transaction_id[::-1])
    return half << BITS_OF_HALF | other_half or 1


class RecentIds:
    """Remembers the ids of the latest requests, in memory that several processes may share.

    The memory is divided into buckets: the number of ids that were written to the bucket, and places for them, which
    are written in turn. Each word is written at once, so no lock is needed; of two ids that two processes write to the
    same place at the same time one is lost.
    """

    def __init__(self, memory: Union[bytearray, memoryview]) -> None:
        """Use `RECENT_IDS_BYTES` of memory, with the ids that are in it."""
        self._words = memoryview(memory).cast("Q")
        self._bucket_count = len(self._words) // WORDS_PER_BUCKET

    def _places(self, number: int) -> range:
        first = number % self._bucket_count * WORDS_PER_BUCKET
        return range(first + 1, first + WORDS_PER_BUCKET)

    def __contains__(self, number: int) -> bool:
        first = number % self._bucket_count * WORDS_PER_BUCKET
        return number in self._words[first + 1 : first + WORDS_PER_BUCKET].tolist()

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


class TransactionIds:
    """Tracks the transaction ids of open requests, of those that may have run, and of those that no endpoint can use.

    A client that follows the protocol uses a new id for every request. A request with a known id is rejected, so that
    no answer goes to the wrong client, no request runs twice, and no unusable request is sent again. Requests that are
    safe to repeat are not remembered. `NO_TRANSACTION` is not tracked.
    """

    def __init__(self) -> None:
        """Start without ids."""
        self.open: set[int] = set()
        self.unusable: dict[int, None] = {}  # the oldest first; used as an ordered set
        self._recent = RecentIds(bytearray(RECENT_IDS_BYTES))

    def share(self, memory: memoryview) -> None:
        """Keep the ids of requests that may have run in memory that other processes of the same proxy use too."""
        self._recent = RecentIds(memory)

    def is_known(self, number: int, is_safe: bool = False) -> bool:
        """Return whether a request with this id is open or was unusable, or may have run and is not safe to repeat."""
        if number == NO_TRANSACTION:
            return False
        return number in self.open or number in self.unusable or not is_safe and number in self._recent

    def opened(self, number: int, is_safe: bool) -> None:
        """Record that a request is open, before any attempt is sent; `is_safe`: it may be repeated at will."""
        if number != NO_TRANSACTION:
            self.open.add(number)
            if not is_safe:
                self._recent.add(number)

    def ended(self, number: int, may_have_run: bool) -> None:
        """Record that a request has ended, and forget it if it never ran."""
        self.open.discard(number)
        if number != NO_TRANSACTION and not may_have_run:
            self._recent.discard(number)

    def found_unusable(self, number: int) -> None:
        """Record that an endpoint could not use a request."""
        if number != NO_TRANSACTION:
            self.unusable[number] = None
        if len(self.unusable) > MAX_UNUSABLE_IDS:
            del self.unusable[next(iter(self.unusable))]
