"""Decides whether a failed handshake is a fault of the member or of this proxy. Pure: the caller passes the time.

One member whose certificate has expired is faulty. If the certificates of all members fail at once, the cause is our trust
roots or our clock. Ejecting the whole pool then would outlast the mistake: members marked as failing are tried rarely, so
service would come back long after the roots had been corrected. So:

| observation | fault | result for the policy |
| --- | --- | --- |
| a member's certificate is not accepted, others' are | the member's | no connection: the member is avoided; the request did not run |
| the same reason at SHARE of the members that were tried recently, two at least, whether or not they were accepted before | ours | not sent: says nothing about the member |
| the handshake is aborted, times out, or is refused without an alert on certificates | the member's | no connection |

In all cases nothing of the request has been sent: it may go to another member, and no peer without the right key gets it.
"""  # noqa: E501

from __future__ import annotations

import enum
from collections import Counter

from loadbalancer.policy.events import (
    AttemptResult,
)

#: Share of the members tried within WINDOW_S, and their least number, that must fail for one reason.
SHARE = 0.8
MIN_MEMBERS = 2
WINDOW_S = 30.0


class Reason(enum.Enum):
    """Says why a handshake failed. The values are log texts."""

    EXPIRED = "expired"
    NOT_YET = "not valid yet"
    UNKNOWN = "of an unknown issuer"
    NAME = "of another name"
    REVOKED = "revoked"
    WEAK = "too weak"
    CLIENT = "it does not accept our certificate"
    BROKEN = "the handshake broke off"

    @property
    def is_of_certificates(self) -> bool:
        return self is not Reason.BROKEN


#: Reasons by OpenSSL's verification error codes (X509_V_ERR_...).
BY_CODE = {
    9: Reason.NOT_YET, 10: Reason.EXPIRED, 2: Reason.UNKNOWN, 18: Reason.UNKNOWN, 19: Reason.UNKNOWN, 20:
    Reason.UNKNOWN, 21: Reason.UNKNOWN, 23: Reason.REVOKED, 24: Reason.UNKNOWN, 26: Reason.UNKNOWN, 62: Reason.NAME,
    64: Reason.NAME, 66: Reason.WEAK, 67: Reason.WEAK, 68: Reason.WEAK,
}  # fmt: skip


class HandshakeResults:
    """Holds the latest handshake result of each member of one pool."""

    def __init__(self) -> None:
        self._latest: dict[
            str, tuple[float, Reason | None]
        ] = {}  # time and failure of each member's last handshake; None: it succeeded
        self.common_failure: Reason | None = None  # reason of failures that are our fault at present, if any

    def accepted(self, member: str, now: float) -> bool:
        """Record a successful handshake; return whether it ends a period in which the failures were our fault."""
        self._latest[member] = now, None
        recovered, self.common_failure = self.common_failure is not None, None
        return recovered

    def failed(self, member: str, reason: Reason, now: float) -> AttemptResult:
        """Record a failed handshake and return the result of the attempt for the policy.

        Sets `common_failure` if the fault is ours.
        """
        self._latest[member] = now, reason
        if not reason.is_of_certificates:
            return AttemptResult.NO_CONNECTION
        recent_reasons = [recent for at, recent in self._latest.values() if now - at <= WINDOW_S]
        same_reason = Counter(
            recent for recent in recent_reasons if recent is not None and recent.is_of_certificates
        )[reason]
        if same_reason >= MIN_MEMBERS and same_reason >= SHARE * len(recent_reasons):
            self.common_failure = reason
            return AttemptResult.NOT_SENT
        self.common_failure = None
        return AttemptResult.NO_CONNECTION

    def remove(self, member: str) -> None:
        """Forget a member that is no longer listed."""
        self._latest.pop(member, None)
