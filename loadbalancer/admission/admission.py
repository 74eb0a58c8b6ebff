"""Decides on new connections and requests: caps for each address and prefix, and slots reserved for known networks.

No I/O, clock or random source. The listener reports connections, requests and how clients behave; `decide_connection`
and `may_open_request` decide. The numbers of slots are passed with each call, so that an Admission stays valid when a
reload changes them.
"""

from __future__ import annotations

import math
from typing import Iterable, NamedTuple

from loadbalancer.admission.addresses import TRUSTED_SCORE, AddressTable, Entry, prefix_of
from loadbalancer.admission.networks import Network, Networks
from loadbalancer.admission.rulings import (
    ADMIT,
    ADMIT_BY_EVICTION,
    ADMIT_ONCE,
    REFUSE,
    RETRY_AFTER_S,
    AdmissionDecision,
)

#: Share of the unused reserved slots that other clients never get, so that a known client finds a slot at once. A slot
#: lent to another client is free again once its answer is written, which can take as long as the slowest request.
RESERVE_KEPT_SHARE = 0.5
#: The caps of a prefix are those of a single address times this.
PREFIX_CAP_FACTOR = 4.0
CAP_FACTORS = (1.0, PREFIX_CAP_FACTOR)
#: The entries of an address and of its prefix; empty for an address without caps.
AddressEntries = tuple[Entry, ...]
# Changes of an address's score for what its clients do.
#: A whole request was answered.
ANSWERED_SCORE = 1.0
#: A connection that was kept open was not used again; this takes back what its single request has earned.
UNUSED_SCORE = -1.0
#: A connection carried no request, or did not deliver a whole one before its timeout.
NO_REQUEST_SCORE = -4.0
#: The input was malformed, or the client did not read its answer.
MALFORMED_SCORE = -8.0


class Slots(NamedTuple):
    """Holds the current numbers of a listener's connection slots."""

    limit: int
    used: int
    used_by_known: int  # of those in use, the connections of known networks


class Caps(NamedTuple):
    """Holds the caps of an address without a score, and how they grow."""

    connections: float = math.inf  # open at once
    per_s: float = math.inf  # new connections per second
    requests: float = math.inf  # open at once
    growth: float = 16.0  # factor of the caps of an address with the maximum score
    entries: int = 16384  # addresses that are tracked


class Admission:
    """Holds the admission rules of one listener and the state of its clients' addresses."""

    def __init__(
        self,
        caps: Caps,
        known: Iterable[Network] = (),
        reserved_share: float = 0.0,
        exempt: Iterable[Network] = (),
    ) -> None:
        """Start without any tracked address.

        Args:
            caps: The caps of each address.
            known: Networks that the reserved slots are for; no caps apply to them.
            reserved_share: Share of the slots that is reserved for `known`.
            exempt: Networks of front proxies that connect for many clients; no caps apply to them.
        """
        self.caps, self.reserved_share = caps, reserved_share
        self.known, self.exempt = Networks(known), Networks(exempt)
        self.addresses = AddressTable(caps.entries)
        self.prefixes = AddressTable(max(16, caps.entries // 4))

    def is_known(self, address: str) -> bool:
        """Return whether the reserved slots are for this address."""
        return address in self.known

    def has_no_caps(self, address: str) -> bool:
        """Return whether no cap applies to this address: a known network's, an exempt one's, or a Unix socket's."""
        return ("." not in address and ":" not in address) or address in self.exempt or self.is_known(address)

    def decide_connection(
        self, address: str, now: float, slots: Slots, entries: AddressEntries | None = None
    ) -> AdmissionDecision:
        """Decide on a new connection. Does not count it: the caller calls `connection_opened` once it is admitted.

        Args:
            address: The client's address.
            now: Monotonic seconds.
            slots: The listener's slots.
            entries: The entries of the address, if the caller has them already.
        """
        if self.is_known(address):
            return AdmissionDecision(ADMIT)
        refused = self._check_caps(self.entries_of(address, now) if entries is None else entries, now)
        return self._check_reserve(slots) if refused is None else refused

    def _check_reserve(self, slots: Slots) -> AdmissionDecision:
        """Protect the slots reserved for known networks.

        The unused ones, except RESERVE_KEPT_SHARE of them, are lent to other clients: such a connection ends after one
        answer, and is closed at once for a known client while no request is open on it. The drawback: while known
        clients are absent, the others pay for one handshake per request once the remaining slots are full.
        """
        reserved = math.ceil(slots.limit * self.reserved_share)
        unused = max(0, reserved - slots.used_by_known)
        free = slots.limit - slots.used
        if not unused or free > unused:
            return AdmissionDecision(ADMIT)
        if free > math.ceil(unused * RESERVE_KEPT_SHARE):
            return AdmissionDecision(ADMIT_ONCE)
        return AdmissionDecision(ADMIT_BY_EVICTION, "what is left is for known networks", RETRY_AFTER_S)

    def _check_caps(self, entries: AddressEntries, now: float) -> AdmissionDecision | None:
        """Refuse a connection past the caps of its address or prefix; return None if it is within them.

        Prevents one address, or one prefix with changing addresses, from taking the slots of all other clients. The
        drawback: many honest clients behind one address are refused until some of them have been served. Each refused
        one is told when to retry, and each served one raises the cap.
        """
        caps = self.caps
        factors = [
            entry.cap_factor(now, caps.growth) * scale
            for entry, scale in zip(entries, CAP_FACTORS, strict=False)
        ]
        for entry, factor in zip(entries, factors, strict=True):
            if entry.connections + 1 > max(1.0, caps.connections * factor):
                return AdmissionDecision(REFUSE, "too many connections from this address", RETRY_AFTER_S)
        if caps.per_s < math.inf:
            for entry, factor in zip(entries, factors, strict=True):
                if not entry.try_take_token(now, caps.per_s * factor):
                    return AdmissionDecision(
                        REFUSE, "too many new connections from this address", RETRY_AFTER_S
                    )
        return None

    def may_open_request(self, entries: AddressEntries, now: float) -> bool:
        """Return whether the address with these entries may open one more request."""
        caps = self.caps
        return caps.requests == math.inf or all(
            entry.requests + 1 <= max(1.0, caps.requests * entry.cap_factor(now, caps.growth) * scale)
            for entry, scale in zip(entries, CAP_FACTORS, strict=False)
        )

    # The entries stay valid while a connection or request of the address is open: such entries are not evicted.

    def entries_of(self, address: str, now: float) -> AddressEntries:
        """Return the entries of an address and its prefix; empty for an address without caps."""
        if self.has_no_caps(address):
            return ()
        return self.addresses.get_or_add(address, now), self.prefixes.get_or_add(prefix_of(address), now)

    def add_score(self, entries: AddressEntries, change: float, now: float) -> None:
        """Add ANSWERED_SCORE, UNUSED_SCORE, NO_REQUEST_SCORE or MALFORMED_SCORE to the score of an address.

        The score of its prefix changes by less, as the caps of a prefix are larger: one address must not decide the
        score for all others.
        """
        for entry, table, scale in zip(entries, (self.addresses, self.prefixes), CAP_FACTORS, strict=False):
            entry.add_score(change / scale, now)
            if entry.score >= TRUSTED_SCORE and not entry.trusted:
                table.promote_if_trusted(entry, now)


def connection_opened(entries: AddressEntries) -> None:
    """Count a connection that was admitted."""
    for entry in entries:
        entry.connections += 1


def connection_closed(entries: AddressEntries) -> None:
    """Stop counting a connection that has ended."""
    for entry in entries:
        entry.connections -= 1


def request_opened(entries: AddressEntries) -> None:
    """Count a request that was received."""
    for entry in entries:
        entry.requests += 1


def request_closed(entries: AddressEntries) -> None:
    """Stop counting a request that has ended."""
    for entry in entries:
        entry.requests -= 1
