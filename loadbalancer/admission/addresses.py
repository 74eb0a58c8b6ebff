"""Tracks the score and the open connections of client addresses, in bounded memory for any number of them.

There are two tables of the same kind, one for addresses and one for their prefixes (/24 of IPv4, /64 of IPv6). Each is
a segmented LRU: addresses that have earned trust are in a segment of their own, so that millions of untrusted addresses
evict one another and not the trusted ones. An entry with an open connection or request is never evicted.

An evicted address loses its score and counts as new when it returns. An untrusted address is evicted once the table
has filled up with other addresses since its last use; a trusted one loses its place to as many newly trusted ones.
No I/O or clock: the caller passes the time.
"""

from __future__ import annotations

import ipaddress
import math
from collections import OrderedDict

#: Half-life of a score, whether positive or negative.
SCORE_HALF_LIFE_S = 120.0
#: Changes of a score within this time decay together: computing a power for each answer would be too expensive.
SCORE_DECAY_INTERVAL_S = 1.0
#: Maximum score, at which the caps have grown fully. One answer that was read whole adds one.
MAX_SCORE = 200.0
#: Score from which an address counts as trusted and moves to the segment of trusted entries.
TRUSTED_SCORE = 20.0
#: Negative score, without its sign, at which the caps are at their minimum.
MIN_CAP_PENALTY = 50.0
#: Share of a table that is reserved for trusted entries.
TRUSTED_SHARE = 0.5
#: Minimum factor of a cap: an address with a bad score keeps this share, since another client may come to use it.
MIN_CAP_FACTOR = 0.25
#: Capacity of the token bucket for new connections, in seconds at its rate.
BURST_S = 2.0
#: Entries that are examined for eviction when an address is added; bounds the work for one new address.
MAX_EVICTION_TRIES = 64
#: Bytes of an IPv6 address that are its prefix, a /64. The prefix of an IPv4 address is all but the last number, a /24.
IPV6_PREFIX_BYTES = 8


def prefix_of(address: str) -> str:
    """Return the prefix of an address; an IPv4-mapped IPv6 address counts as IPv4. A text that is no IP address, such
    as the peer of a Unix socket, is returned unchanged."""
    if "." in address and ":" not in address:
        return address.rpartition(".")[0]
    try:
        found = ipaddress.IPv6Address(address.partition("%")[0])
    except ValueError:
        return address
    if found.ipv4_mapped is not None:
        return str(found.ipv4_mapped).rpartition(".")[0]
    return found.packed[:IPV6_PREFIX_BYTES].hex()


class Entry:
    """Holds the state of one address or prefix: its score, its open connections and requests, and its token bucket."""

    __slots__ = ("key", "trusted", "connections", "requests", "score", "scored_at", "tokens", "refilled_at")

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.trusted = False  # whether it is in the segment of trusted entries
        self.connections = 0  # open now
        self.requests = 0  # open now
        self.score = 0.0  # as of `scored_at`
        self.scored_at = now
        self.tokens = math.inf  # new connections that the token bucket allows, as of `refilled_at`
        self.refilled_at = now

    def current_score(self, now: float) -> float:
        """Return the score with its decay up to now. A clock that steps back causes no decay."""
        elapsed = max(0.0, now - self.scored_at)
        return self.score * 0.5 ** (elapsed / SCORE_HALF_LIFE_S) if elapsed else self.score

    def add_score(self, change: float, now: float) -> None:
        """Add `change` to the score. The score is bounded both ways, so that old behaviour does not count for long."""
        if not 0.0 <= now - self.scored_at < SCORE_DECAY_INTERVAL_S:
            self.score = self.current_score(now)
            self.scored_at = max(now, self.scored_at)
        self.score = min(MAX_SCORE, max(-2 * MIN_CAP_PENALTY, self.score + change))

    def cap_factor(self, now: float, growth: float) -> float:
        """Return the factor of a cap: MIN_CAP_FACTOR at low scores, 1 at a score of 0, `growth` at the maximum."""
        score = self.current_score(now)
        if score >= 0:
            return 1.0 + (growth - 1.0) * score / MAX_SCORE
        return max(MIN_CAP_FACTOR, 1.0 + (1.0 - MIN_CAP_FACTOR) * score / MIN_CAP_PENALTY)

    def try_take_token(self, now: float, per_s: float) -> bool:
        """Take a token for one new connection if there is one; `per_s` are added a second, up to BURST_S of them."""
        capacity = max(1.0, per_s * BURST_S)
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(capacity, self.tokens + elapsed * per_s)
        # Also set after the clock stepped back; otherwise no token would be added until it has caught up.
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    @property
    def in_use(self) -> bool:
        """Return whether a connection or a request of this address is open."""
        return self.connections > 0 or self.requests > 0


class AddressTable:
    """Holds up to `max_entries` entries by key, and more only while entries in use fill it."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.max_trusted = max(1, int(max_entries * TRUSTED_SHARE))
        # Both segments have the least recently used entry first.
        self._untrusted: OrderedDict[str, Entry] = OrderedDict()
        self._trusted: OrderedDict[str, Entry] = OrderedDict()
        self.evicted = 0  # entries evicted since the start

    def __len__(self) -> int:
        return len(self._untrusted) + len(self._trusted)

    def get_or_add(self, key: str, now: float) -> Entry:
        """Return the entry of a key as the most recently used one; a new entry may evict the least recently used."""
        entry = self._trusted.get(key)
        if entry is not None:
            self._trusted.move_to_end(key)
            return entry
        entry = self._untrusted.get(key)
        if entry is None:
            self._evict()  # before the new entry is added: it is not in use yet and would be a candidate itself
            entry = self._untrusted[key] = Entry(key, now)
        else:
            self._untrusted.move_to_end(key)
        return entry

    def promote_if_trusted(self, entry: Entry, now: float) -> None:
        """Move an entry to the trusted segment if its score is high enough. If that segment is full, its least recently
        used entry goes back to the untrusted one."""
        if (
            entry.trusted
            or entry.current_score(now) < TRUSTED_SCORE
            or self._untrusted.get(entry.key) is not entry
        ):
            return
        del self._untrusted[entry.key]
        self._trusted[entry.key] = entry
        entry.trusted = True
        if len(self._trusted) > self.max_trusted:
            oldest_key, demoted = self._trusted.popitem(last=False)
            demoted.trusted = False
            self._untrusted[oldest_key] = demoted

    def _evict(self) -> None:
        """Make room for one more entry: evict the least recently used untrusted ones that are not in use. Those in use
        are few (one for each connection) and move to the end, so that the next call does not examine them again."""
        for _ in range(min(MAX_EVICTION_TRIES, len(self._untrusted))):
            if len(self) < self.max_entries:
                return
            key, entry = self._untrusted.popitem(last=False)
            if entry.in_use:
                self._untrusted[key] = entry
            else:
                self.evicted += 1
