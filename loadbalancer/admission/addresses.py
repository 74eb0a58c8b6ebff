"""What is known of the addresses that clients come from, in bounded memory for any number of them.

Two tables of the same kind, one for addresses and one for their prefixes (/24 of IPv4, /64 of IPv6). Each is a
segmented LRU: addresses that have earned trust are kept apart from all others, so that strangers by the million push
out each other and not them. What is held (a connection, a request) is never forgotten while it is.

The stated error: an address that has been pushed out is a stranger again. That takes as many other addresses as a table
holds since it was last seen; of trusted ones, as many that have earned trust. No I/O or clock: times come in.
"""

from __future__ import annotations

import ipaddress
import math
from collections import OrderedDict

#: Half of what an address has earned fades in this time, and half of what it has lost.
FADE_S = 120.0
#: Marks that come within this time of one another fade together: a power for each answer would be too dear.
STILL_S = 1.0
#: Good marks, one for a whole answer taken, for full trust.
GOOD_FULL = 200.0
#: Marks from which an address counts as trusted, and is kept apart from strangers.
GOOD_KNOWN = 20.0
#: Marks lost for the least cap.
BAD_FULL = 50.0
#: Share of a table that is for those.
KNOWN_SHARE = 0.5
#: Where an address has lost trust, this share of its cap is left: somebody else may come to use it.
LEAST_SHARE = 0.25
#: New connections that may come at once, in seconds' worth of the rate.
BURST_S = 2.0
#: Entries that are looked at for some to push out; a bound on the work for one new address.
SHRINK_TRIES = 64
#: Bytes of an IPv6 address that are its prefix, a /64; of IPv4 it is all but the last number, a /24.
PREFIX6_BYTES = 8


def prefix_of(address: str) -> str:
    """The network that an address stands in; an IPv4 address in IPv6 form counts as IPv4. What is no address, such as
    the peer of a Unix socket, is its own."""
    if "." in address and ":" not in address:
        return address.rpartition(".")[0]
    try:
        found = ipaddress.IPv6Address(address.partition("%")[0])
    except ValueError:
        return address
    if found.ipv4_mapped is not None:
        return str(found.ipv4_mapped).rpartition(".")[0]
    return found.packed[:PREFIX6_BYTES].hex()


class Entry:
    """One address, or prefix."""

    __slots__ = ("key", "known", "open", "requests", "marks", "marked_at", "room", "room_at")

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.known = False  # has earned trust, and is kept apart from strangers
        self.open = 0  # connections
        self.requests = 0  # that are open
        self.marks = 0.0  # good less bad, at `marked_at`
        self.marked_at = now
        self.room = math.inf  # connections that may still come, at `room_at`
        self.room_at = now

    def standing(self, now: float) -> float:
        """Marks, faded. A clock that steps back fades nothing."""
        past = max(0.0, now - self.marked_at)
        return self.marks * 0.5 ** (past / FADE_S) if past else self.marks

    def mark(self, change: float, now: float) -> None:
        """Good for a positive `change`, bad for a negative one. Bounded both ways: nobody earns or loses for long."""
        if not 0.0 <= now - self.marked_at < STILL_S:
            self.marks = self.standing(now)
            self.marked_at = max(now, self.marked_at)
        self.marks = min(GOOD_FULL, max(-2 * BAD_FULL, self.marks + change))

    def factor(self, now: float, growth: float) -> float:
        """What a cap is multiplied by: from LEAST_SHARE for the worst over 1 for strangers to `growth`."""
        standing = self.standing(now)
        if standing >= 0:
            return 1.0 + (growth - 1.0) * standing / GOOD_FULL
        return max(LEAST_SHARE, 1.0 + (1.0 - LEAST_SHARE) * standing / BAD_FULL)

    def take_room(self, now: float, per_s: float) -> bool:
        """One new connection at `per_s` at most, with BURST_S of them saved up (a token bucket)."""
        most = max(1.0, per_s * BURST_S)
        past = max(0.0, now - self.room_at)
        self.room = min(most, self.room + past * per_s)
        self.room_at = (
            now  # also where the clock stepped back: else nothing would come until it has caught up
        )
        if self.room < 1.0:
            return False
        self.room -= 1.0
        return True

    @property
    def held(self) -> bool:
        return self.open > 0 or self.requests > 0


class Table:
    """Entries by key, `most` of them beside those that are held."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.known_most = max(1, int(most * KNOWN_SHARE))
        self._strangers: OrderedDict[str, Entry] = OrderedDict()  # the oldest first
        self._known: OrderedDict[str, Entry] = OrderedDict()
        self.forgotten = 0  # entries that were pushed out, ever

    def __len__(self) -> int:
        return len(self._strangers) + len(self._known)

    def find(self, key: str, now: float) -> Entry:
        """The entry of a key, now the latest; a new one pushes out the oldest."""
        entry = self._known.get(key)
        if entry is not None:
            self._known.move_to_end(key)
            return entry
        entry = self._strangers.get(key)
        if entry is None:
            self._shrink()  # first: the new one holds nothing yet
            entry = self._strangers[key] = Entry(key, now)
        else:
            self._strangers.move_to_end(key)
        return entry

    def settle(self, entry: Entry, now: float) -> None:
        """Keep an entry apart from strangers, if it has earned that. The oldest of those is a stranger again where
        there are too many."""
        if entry.known or entry.standing(now) < GOOD_KNOWN or self._strangers.get(entry.key) is not entry:
            return
        del self._strangers[entry.key]
        self._known[entry.key] = entry
        entry.known = True
        if len(self._known) > self.known_most:
            oldest, back = self._known.popitem(last=False)
            back.known = False
            self._strangers[oldest] = back

    def _shrink(self) -> None:
        """Make room for one more: push out the oldest strangers that hold nothing. Those that do hold are few (one for
        each connection), and go to the end as they are passed, so that the next look does not meet them again."""
        for _ in range(min(SHRINK_TRIES, len(self._strangers))):
            if len(self) < self.most:
                return
            key, entry = self._strangers.popitem(last=False)
            if entry.held:
                self._strangers[key] = entry
            else:
                self.forgotten += 1
