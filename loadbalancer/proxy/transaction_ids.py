"""The transaction ids of clients: a request whose id has been used is rejected, so that it does not run twice."""

from __future__ import annotations

import zlib
from typing import Iterable

from loadbalancer.policy.settings import RequestClass
from loadbalancer.proxy.recent_ids import RECENT_IDS_BYTES, EarlierIds, IdSet, Memory, RecentIds

MAX_UNUSABLE_IDS = 2000
"""Limit on the remembered ids of unusable requests; the oldest ids are evicted. Such a request has no effect."""
NO_TRANSACTION = 0
"""Number of a request without a transaction id."""
BITS_OF_HALF = 32
RESENT_WITHIN_S = 6.0
"""Seconds past its client's time in which a request may come again: the longest that news takes on the platform."""
DEFAULT_KEPT_S = 60.0
"""Seconds for which ids are kept if the classes are not known."""


def transaction_number(transaction_id: bytes) -> int:
    """Return a number of 64 bits for an id, the same in every process; never `NO_TRANSACTION`."""
    half, other_half = zlib.crc32(transaction_id), zlib.crc32(transaction_id[::-1])
    return half << BITS_OF_HALF | other_half or 1


def kept_s(classes: Iterable[RequestClass]) -> float:
    """Return for how many seconds an id is kept: as long as a client waits in all, and its request may come again."""
    return max((each.client_timeout for each in classes), default=0.0) + RESENT_WITHIN_S


class TransactionIds:
    """Tracks the transaction ids of open requests, of those that may have run, and of those that no endpoint can use.

    A client that follows the protocol uses a new id for every request. A request with a known id is rejected, so that
    no answer goes to the wrong client, no request runs twice, and no unusable request is sent again. Requests that are
    safe to repeat are not remembered. `NO_TRANSACTION` is not tracked.
    """

    def __init__(self, kept_s: float = DEFAULT_KEPT_S) -> None:
        """Start without ids; `kept_s`: seconds for which the id of a request that may have run is kept."""
        self.open: set[int] = set()
        self.unusable: dict[int, None] = {}  # the oldest first; used as an ordered set
        self.refused = 0  # requests that were refused since there was no place for their ids
        self._kept_s = kept_s
        self._recent = RecentIds(bytearray(RECENT_IDS_BYTES), kept_s)
        self._all_recent: tuple[IdSet, ...] = (self._recent,)

    def share(self, memory: Memory, earlier: Memory | None = None) -> None:
        """Keep the ids of requests that may have run in memory that other processes of the same proxy use too.

        Args:
            memory: The memory, of `RECENT_IDS_BYTES`.
            earlier: Memory of a process of an earlier version that still runs, if there is one.
        """
        self._recent = RecentIds(memory, self._kept_s)
        self._all_recent = (self._recent,) if earlier is None else (self._recent, EarlierIds(earlier))

    def is_known(self, number: int, is_safe: bool = False) -> bool:
        """Return whether a request with this id is open or was unusable, or may have run and is not safe to repeat."""
        if number == NO_TRANSACTION:
            return False
        if number in self.open or number in self.unusable:
            return True
        return not is_safe and any(number in ids for ids in self._all_recent)

    def can_remember(self, number: int, is_safe: bool) -> bool:
        """Return whether the id of a request can be kept for its time; if not, the request counts as refused."""
        if number == NO_TRANSACTION or is_safe or self._recent.has_room(number):
            return True
        self.refused += 1
        return False

    def opened(self, number: int, is_safe: bool) -> None:
        """Record that a request is open, before any attempt is sent; `is_safe`: it may be repeated at will."""
        if number != NO_TRANSACTION:
            self.open.add(number)
            for ids in () if is_safe else self._all_recent:
                ids.add(number)

    def ended(self, number: int, may_have_run: bool) -> None:
        """Record that a request has ended, and forget it if it never ran."""
        self.open.discard(number)
        if number != NO_TRANSACTION and not may_have_run:
            for ids in self._all_recent:
                ids.discard(number)

    def found_unusable(self, number: int) -> None:
        """Record that an endpoint could not use a request."""
        if number != NO_TRANSACTION:
            self.unusable[number] = None
        if len(self.unusable) > MAX_UNUSABLE_IDS:
            del self.unusable[next(iter(self.unusable))]
