"""What a failed handshake with a member means: a sick member, or ourselves. Pure: times come in.

One member whose certificate has expired is a sick member. All of them at once is our trust store or our clock, and taking
the whole pool out for it would outlast the mistake: members marked as failing are tried rarely, so service would come back
long after the roots had been put right. So:

| what is seen | what it means | the module hears |
| --- | --- | --- |
| a member's certificate is not accepted, others' are | the member's | no connection: it is passed over, and never ran |
| the same reason at SHARE of the members that were tried of late, two at least, each accepted before or all new | ours | not sent: nothing is known of the member |
| the handshake breaks off, times out, or is refused without a word on certificates | the member's | no connection |

Either way nothing of the request has left: it may go elsewhere, and nobody whose key is not the right one gets it.
"""  # noqa: E501

from __future__ import annotations

import enum
from collections import Counter

from loadbalancer.policy.events import (
    AttemptResult,
)

#: Share of the members tried within WINDOW_S that must fail for one reason.
SHARE = 0.8
LEAST = 2
WINDOW_S = 30.0


class Reason(enum.Enum):
    """Why a certificate is not accepted, or the handshake came to nothing."""

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


#: OpenSSL's words for what it finds (X509_V_ERR_...), by number.
BY_CODE = {
    9: Reason.NOT_YET, 10: Reason.EXPIRED, 2: Reason.UNKNOWN, 18: Reason.UNKNOWN, 19: Reason.UNKNOWN, 20:
    Reason.UNKNOWN, 21: Reason.UNKNOWN, 23: Reason.REVOKED, 24: Reason.UNKNOWN, 26: Reason.UNKNOWN, 62: Reason.NAME,
    64: Reason.NAME, 66: Reason.WEAK, 67: Reason.WEAK, 68: Reason.WEAK,
}  # fmt: skip


class Verdicts:
    """Of one pool."""

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Reason | None]] = {}  # what the last handshake with each came to
        self.ours: Reason | None = None  # that stands for all, at present

    def accepted(self, member: str, now: float) -> bool:
        """Whether this ends a time in which the fault was ours."""
        self._latest[member] = now, None
        over, self.ours = self.ours is not None, None
        return over

    def failed(self, member: str, reason: Reason, now: float) -> AttemptResult:
        """What the module hears of the attempt. `ours` tells whether the fault is ours."""
        self._latest[member] = now, reason
        if not reason.is_of_certificates:
            return AttemptResult.NO_CONNECTION
        lately = [why for at, why in self._latest.values() if now - at <= WINDOW_S]
        same = Counter(why for why in lately if why is not None and why.is_of_certificates)[reason]
        if same >= LEAST and same >= SHARE * len(lately):
            self.ours = reason
            return AttemptResult.NOT_SENT
        self.ours = None
        return AttemptResult.NO_CONNECTION

    def gone(self, member: str) -> None:
        """It is listed no more."""
        self._latest.pop(member, None)
