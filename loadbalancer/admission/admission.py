"""Who may connect: caps for each address and prefix, and a floor for known depots. No I/O, clock or random source.

The listener tells what comes, goes and is seen; `connect` and `request` say what may be. Numbers of slots come in with
each question, so one Admission outlasts a reload that divides them anew.
"""

from __future__ import annotations

import math
from typing import Iterable, NamedTuple

from loadbalancer.admission.addresses import GOOD_KNOWN, Entry, Table, prefix_of
from loadbalancer.admission.networks import Network, Networks
from loadbalancer.admission.rulings import ADMIT, ONCE, REFUSE, RETURN_S, SWAP, Ruling

#: Part of the unused floor that is never lent, so that a known client finds a slot at once. What is lent comes back
#: when its answer is written, which can take as long as the slowest request.
FLOOR_KEPT = 0.5
#: A prefix may hold so many times what one of its addresses may.
PREFIX_TIMES = 4.0
TIMES = (1.0, PREFIX_TIMES)
#: Entries of an address: its own and that of its prefix, or none.
Rows = tuple[Entry, ...]
#: Marks for what a client does. One whole request that has its answer earns one.
GOOD = 1.0
#: A connection that was kept and not used again takes back what its one request has earned.
WASTED = -1.0
#: No request on a connection, or not the whole of one in its time.
SILENT = -4.0
#: What no server could read, or an answer that was not taken.
GARBAGE = -8.0


class Slots(NamedTuple):
    """A listener's connections now."""

    most: int
    taken: int  # all of them
    known: int  # of these, of known networks


class Caps(NamedTuple):
    """For an address of which nothing is known."""

    connections: float = math.inf  # open at once
    per_s: float = math.inf  # new ones
    requests: float = math.inf  # open at once
    growth: float = 16.0  # a trusted address may have so many times as much
    entries: int = 16384  # addresses that are remembered


class Admission:
    """One listener's addresses and rules."""

    def __init__(
        self, caps: Caps, known: Iterable[Network] = (), floor: float = 0.0, exempt: Iterable[Network] = ()
    ) -> None:
        """`floor`: share of the slots for addresses in `known`, which strangers can't take. `exempt`: networks of
        fronts that speak for many clients; no caps hold for them."""
        self.caps, self.floor = caps, floor
        self.known, self.exempt = Networks(known), Networks(exempt)
        self.addresses = Table(caps.entries)
        self.prefixes = Table(max(16, caps.entries // 4))

    def is_known(self, address: str) -> bool:
        """Whether the floor is for this address."""
        return address in self.known

    def is_free(self, address: str) -> bool:
        """Whether no cap holds for this address: a depot's, a front's, or the peer of a Unix socket."""
        return ("." not in address and ":" not in address) or address in self.exempt or self.is_known(address)

    def connect(self, address: str, now: float, slots: Slots, rows: Rows | None = None) -> Ruling:
        """Whether a new connection may be. It holds nothing yet: `opened` follows. `rows`: of the address, where the
        caller has them."""
        if self.is_known(address):
            return Ruling(ADMIT)
        refused = self._over(self.rows(address, now) if rows is None else rows, now)
        return self._within(slots) if refused is None else refused

    def _within(self, slots: Slots) -> Ruling:
        """Guards the floor. Its unused part is lent, but for FLOOR_KEPT: such connections end after one answer, and
        those on which no request is open make room for a known client at once. Harm: while depots are away, strangers
        past the rest of the slots pay for a handshake a request."""
        floor = math.ceil(slots.most * self.floor)
        unused = max(0, floor - slots.known)
        free = slots.most - slots.taken
        if not unused or free > unused:
            return Ruling(ADMIT)
        if free > math.ceil(unused * FLOOR_KEPT):
            return Ruling(ONCE)
        return Ruling(SWAP, "what is left is for known networks", RETURN_S)

    def _over(self, rows: Rows, now: float) -> Ruling | None:
        """Guards against an address that takes the slots of all others; should also catch one prefix whose addresses
        change. Harm: many honest clients behind one address, until they have shown themselves: each refused one is
        told when to return, and each served one raises the cap."""
        caps = self.caps
        factors = [entry.factor(now, caps.growth) * times for entry, times in zip(rows, TIMES, strict=False)]
        for entry, factor in zip(rows, factors, strict=True):
            if entry.open + 1 > max(1.0, caps.connections * factor):
                return Ruling(REFUSE, "too many connections from this address", RETURN_S)
        if caps.per_s < math.inf:
            for entry, factor in zip(rows, factors, strict=True):
                if not entry.take_room(now, caps.per_s * factor):
                    return Ruling(REFUSE, "too many new connections from this address", RETURN_S)
        return None

    def request(self, rows: Rows, now: float) -> bool:
        """Whether one more request of this address may be open."""
        caps = self.caps
        return caps.requests == math.inf or all(
            entry.requests + 1 <= max(1.0, caps.requests * entry.factor(now, caps.growth) * times)
            for entry, times in zip(rows, TIMES, strict=False)
        )

    # What comes and goes. `rows` are good while something of the address is held: held entries are not pushed out.

    def rows(self, address: str, now: float) -> Rows:
        """The address and its prefix; none for those that no cap holds for."""
        if self.is_free(address):
            return ()
        return self.addresses.find(address, now), self.prefixes.find(prefix_of(address), now)

    def mark(self, rows: Rows, change: float, now: float) -> None:
        """What a client of this address has done: GOOD, WASTED, SILENT or GARBAGE. A prefix earns and loses by its
        share: one address must not speak for all the others."""
        for entry, table, times in zip(rows, (self.addresses, self.prefixes), TIMES, strict=False):
            entry.mark(change / times, now)
            if entry.marks >= GOOD_KNOWN and not entry.known:
                table.settle(entry, now)


def opened(rows: Rows) -> None:
    """A connection."""
    for entry in rows:
        entry.open += 1


def closed(rows: Rows) -> None:
    for entry in rows:
        entry.open -= 1


def began(rows: Rows) -> None:
    """A request is open."""
    for entry in rows:
        entry.requests += 1


def ended(rows: Rows) -> None:
    """And is no more."""
    for entry in rows:
        entry.requests -= 1
