"""Applies a listener's admission rules to its connections, and counts each connection for its client address.

This module is imported only where a listener has admission rules. The client address is the peer address of the
connection, or the one in the PROXY protocol header if the peer is a trusted front. `release` is the only place that
releases what a connection holds.
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

#: After the first answer of a connection, its answers are credited to its address in batches of this size.
CREDIT = 16


class AdmittedConnection:
    """Holds what one connection counts for in the limits and the score of its client address."""

    __slots__ = (
        "gate",
        "address",
        "rows",
        "ends_after_answer",
        "counted",
        "known",
        "requests",
        "uncredited_answers",
        "credited",
        "header",
    )

    def __init__(self, gate: AdmissionGate, address: str) -> None:
        self.gate, self.address = gate, address
        self.rows: AddressEntries = ()  # admission entries of the address, while the connection is counted
        self.ends_after_answer = False  # the connection is closed after one answer
        self.counted = False  # counted as an open connection of the address
        self.known = False  # counted against the slots reserved for known networks
        self.requests = 0  # open requests on the connection
        self.uncredited_answers = 0  # complete answers not yet credited to the address
        self.credited = False  # at least one answer has been credited
        self.header: ProxyHeader | None = None  # PROXY header that has not arrived completely


class AdmissionGate:
    """Decides which connections and requests a listener admits, and records how clients behave."""

    def __init__(self, admission: Admission, proxy_sources: Iterable[Network] = ()) -> None:
        """Create the gate of one listener.

        Args:
            admission: The rules, and the counts for each address.
            proxy_sources: Networks of fronts that send a PROXY header at the start of each connection.
        """
        self.admission, self.proxy_sources = admission, Networks(proxy_sources)
        self.known = 0  # open connections from known networks
        # Every address and prefix may have this many open requests, whatever its score, so no cap is computed below it.
        self._always_allowed = admission.caps.requests * MIN_CAP_FACTOR

    def has_same_rules(self, other: AdmissionGate) -> bool:
        """Return whether both gates have the same rules."""
        rules, other_rules = self.admission, other.admission
        return (self.proxy_sources, rules.caps, rules.known, rules.reserved_share, rules.exempt) == (
            other.proxy_sources,
            other_rules.caps,
            other_rules.known,
            other_rules.reserved_share,
            other_rules.exempt,
        )

    def admit_new(self, peer: str, most: int, taken: int) -> tuple[AdmittedConnection, AdmissionDecision]:
        """Decide on a new connection. One that must send a PROXY header first is admitted for now."""
        admitted = AdmittedConnection(self, peer)
        if peer in self.proxy_sources:
            admitted.header = ProxyHeader()
            return admitted, AdmissionDecision(ADMIT)
        return admitted, self.admit_address(admitted, most, taken)

    def admit_address(self, admitted: AdmittedConnection, most: int, taken: int) -> AdmissionDecision:
        """Decide on a connection whose client address is known, and count it unless it is refused."""
        now = time.monotonic()
        rows = self.admission.entries_of(admitted.address, now)
        ruling = self.admission.decide_connection(admitted.address, now, Slots(most, taken, self.known), rows)
        if ruling.verdict != REFUSE:
            admitted.counted = True
            admitted.ends_after_answer = ruling.verdict != ADMIT
            admitted.known = self.admission.is_known(admitted.address)
            self.known += admitted.known
            admitted.rows = rows
            connection_opened(rows)
        return ruling

    def unwrap(
        self, admitted: AdmittedConnection, data: bytes, most: int, taken: int
    ) -> tuple[bytes, AdmissionDecision | None]:
        """Return the bytes after the PROXY header, and the decision on the connection once the header is complete.

        Raises:
            ProxyHeaderError: The bytes are not a PROXY header.
        """
        assert admitted.header is not None
        try:
            rest = admitted.header.feed(data)
        except ProxyHeaderError:
            now = time.monotonic()
            self.admission.add_score(self.admission.entries_of(admitted.address, now), MALFORMED_SCORE, now)
            raise
        if not admitted.header.done:
            return b"", None
        admitted.address = admitted.header.address or admitted.address
        admitted.header = None
        return rest, self.admit_address(admitted, most, taken)

    def try_begin_request(self, admitted: AdmittedConnection) -> bool:
        """Return whether the address may open one more request; if so, the request is counted as open."""
        if not admitted.rows:
            return True
        own, prefix = admitted.rows
        open_requests = max(own.requests, prefix.requests)
        is_always_allowed = open_requests + 1 <= self._always_allowed
        if not is_always_allowed and not self.admission.may_open_request(admitted.rows, time.monotonic()):
            return False
        admitted.requests += 1
        request_opened(admitted.rows)
        return True

    def end_request(self, admitted: AdmittedConnection, was_answered: bool) -> None:
        """Count a request as ended; `was_answered`: it was complete and has been answered."""
        if not admitted.rows:
            return
        admitted.requests -= 1
        request_closed(admitted.rows)
        admitted.uncredited_answers += was_answered
        if admitted.uncredited_answers >= CREDIT or not admitted.credited:
            self._credit(admitted)

    def _credit(self, admitted: AdmittedConnection) -> None:
        """Credit the address with the answers not yet credited.

        The first answer of a connection is credited at once, so that many clients behind one address are admitted soon;
        later answers are credited in batches of `CREDIT`.
        """
        if admitted.uncredited_answers:
            self.admission.add_score(
                admitted.rows, ANSWERED_SCORE * admitted.uncredited_answers, time.monotonic()
            )
            admitted.uncredited_answers, admitted.credited = 0, True

    def record_wasted(self, admitted: AdmittedConnection) -> None:
        """Record that the connection was kept open after its first request and not used again."""
        self.admission.add_score(admitted.rows, UNUSED_SCORE, time.monotonic())

    def record_silence(self, admitted: AdmittedConnection) -> None:
        """Record that no complete request arrived in time."""
        self.admission.add_score(admitted.rows, NO_REQUEST_SCORE, time.monotonic())

    def record_malformed(self, admitted: AdmittedConnection) -> None:
        """Record that the client sent unreadable data, or did not read its answer."""
        self.admission.add_score(admitted.rows, MALFORMED_SCORE, time.monotonic())

    def release(self, admitted: AdmittedConnection) -> None:
        """Release everything that a closed connection holds; nothing else releases it."""
        self._credit(admitted)
        while admitted.requests:
            admitted.requests -= 1
            request_closed(admitted.rows)
        if admitted.counted:
            admitted.counted = False
            self.known -= admitted.known
            connection_closed(admitted.rows)
            admitted.rows = ()
