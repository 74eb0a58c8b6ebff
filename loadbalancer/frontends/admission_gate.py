"""Between a listener and its Admission: whose connection it is, what it holds, and what it has done.

Only listeners that have rules of their own load this. The address is that of the connection's other end, or the one
that a trusted front has written ahead (PROXY protocol). What a visit holds is given back in one place, `left`.
"""

from __future__ import annotations

import time
from typing import Iterable

from loadbalancer.admission.addresses import MIN_CAP_FACTOR
from loadbalancer.admission.admission import (
    ANSWERED_SCORE,
    MALFORMED_SCORE,
    NO_REQUEST_SCORE,
    UNUSED_SCORE,
    AddressEntries,
    Admission,
    Slots,
    connection_closed,
    connection_opened,
    request_closed,
    request_opened,
)  # fmt: skip
from loadbalancer.admission.networks import Network, Networks
from loadbalancer.admission.proxyprotocol import ProxyHeader, ProxyHeaderError
from loadbalancer.admission.rulings import ADMIT, REFUSE, AdmissionDecision

#: Answers on one connection that its address is credited with at once.
CREDIT = 16


class AdmittedConnection:
    """One connection, as its address counts it."""

    __slots__ = (
        "gate",
        "address",
        "rows",
        "once",
        "counted",
        "known",
        "requests",
        "good",
        "credited",
        "header",
    )

    def __init__(self, gate: AdmissionGate, address: str) -> None:
        self.gate, self.address = gate, address
        self.rows: AddressEntries = ()  # of its address, while it counts
        self.once = False  # ends after one answer
        self.counted = False  # held by the address
        self.known = False  # held by the floor
        self.requests = 0  # that are open on it
        self.good = 0  # answers that its address has not been credited with
        self.credited = False  # it has been with one
        self.header: ProxyHeader | None = None  # still to come


class AdmissionGate:
    """One listener's admission."""

    def __init__(self, admission: Admission, behind: Iterable[Network] = ()) -> None:
        """`behind`: sources that write a PROXY header ahead of each connection."""
        self.admission, self.behind = admission, Networks(behind)
        self.known = 0  # connections of known networks
        # So many requests may be open of any address and prefix, whatever they have done: nothing is to be worked out.
        self._sure = admission.caps.requests * MIN_CAP_FACTOR

    def is_like(self, other: AdmissionGate) -> bool:
        """Whether both have the same rules."""
        mine, its = self.admission, other.admission
        return (self.behind, mine.caps, mine.known, mine.reserved_share, mine.exempt) == (
            other.behind,
            its.caps,
            its.known,
            its.reserved_share,
            its.exempt,
        )

    def arrive(self, peer: str, most: int, taken: int) -> tuple[AdmittedConnection, AdmissionDecision]:
        """A connection has come. One that still has to say whose it is gets in."""
        visit = AdmittedConnection(self, peer)
        if peer in self.behind:
            visit.header = ProxyHeader()
            return visit, AdmissionDecision(ADMIT)
        return visit, self.enter(visit, most, taken)

    def enter(self, visit: AdmittedConnection, most: int, taken: int) -> AdmissionDecision:
        """Judge a connection whose address is certain; it counts unless it is refused."""
        now = time.monotonic()
        rows = self.admission.entries_of(visit.address, now)
        ruling = self.admission.decide_connection(visit.address, now, Slots(most, taken, self.known), rows)
        if ruling.verdict != REFUSE:
            visit.counted = True
            visit.once = ruling.verdict != ADMIT
            visit.known = self.admission.is_known(visit.address)
            self.known += visit.known
            visit.rows = rows
            connection_opened(rows)
        return ruling

    def unwrap(
        self, visit: AdmittedConnection, data: bytes, most: int, taken: int
    ) -> tuple[bytes, AdmissionDecision | None]:
        """What comes after the PROXY header, and the ruling once it is whole. ProxyHeaderError where it is none."""
        assert visit.header is not None
        try:
            rest = visit.header.feed(data)
        except ProxyHeaderError:
            now = time.monotonic()
            self.admission.add_score(self.admission.entries_of(visit.address, now), MALFORMED_SCORE, now)
            raise
        if not visit.header.done:
            return b"", None
        visit.address = visit.header.address or visit.address
        visit.header = None
        return rest, self.enter(visit, most, taken)

    def may_ask(self, visit: AdmittedConnection) -> bool:
        """Whether one more request of this address may be open; it counts from here on."""
        if not visit.rows:
            return True
        own, prefix = visit.rows
        if own.requests + 1 > self._sure or prefix.requests + 1 > self._sure:
            if not self.admission.may_open_request(visit.rows, time.monotonic()):
                return False
        visit.requests += 1
        request_opened(visit.rows)
        return True

    def answered(self, visit: AdmittedConnection, good: bool) -> None:
        """A request is no more; `good`: it was whole and has its answer."""
        if not visit.rows:
            return
        visit.requests -= 1
        request_closed(visit.rows)
        visit.good += good
        if visit.good >= CREDIT or not visit.credited:
            self._credit(visit)

    def _credit(self, visit: AdmittedConnection) -> None:
        """The first answer counts at once, so that a crowd behind one address gets in; the others by the dozen."""
        if visit.good:
            self.admission.add_score(visit.rows, ANSWERED_SCORE * visit.good, time.monotonic())
            visit.good, visit.credited = 0, True

    def wasted(self, visit: AdmittedConnection) -> None:
        self.admission.add_score(visit.rows, UNUSED_SCORE, time.monotonic())

    def silent(self, visit: AdmittedConnection) -> None:
        self.admission.add_score(visit.rows, NO_REQUEST_SCORE, time.monotonic())

    def garbage(self, visit: AdmittedConnection) -> None:
        self.admission.add_score(visit.rows, MALFORMED_SCORE, time.monotonic())

    def left(self, visit: AdmittedConnection) -> None:
        """The connection has ended: the one place where all it holds is given back."""
        self._credit(visit)
        while visit.requests:
            visit.requests -= 1
            request_closed(visit.rows)
        if visit.counted:
            visit.counted = False
            self.known -= visit.known
            connection_closed(visit.rows)
            visit.rows = ()
