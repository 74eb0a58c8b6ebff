"""What the members of a pool mean by their answers: which are served, refuse, fail, and which headers say more.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Sequence

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.resource_limits import MAX_JUDGED_BODY_BYTES

#: Headers of an answer that are of one connection alone (RFC 9110, 7.6.1), or written anew.
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length",
))  # fmt: skip
#: Statuses from 400 on that speak of the backend: it waited too long, or has too much to do.
NOT_OF_THE_REQUEST = frozenset((408, 429))
#: Statuses with which a backend may say that it never ran the request.
REFUSALS = frozenset((503, 504))


@dataclass(frozen=True, slots=True)
class Dialect:
    """Names of headers in lower case."""

    report_header: bytes | None = b"x-pressure"
    report_fields: Sequence[str] = ()  # of a load report, in the settings' words
    refusal_header: bytes | None = b"x-turned-away"  # with the value 1, or any if it is not the platform's
    deadline_header: bytes | None = b"X-Remaining"  # tells the member how long the proxy waits
    body_most: int = MAX_JUDGED_BODY_BYTES  # bytes of an answer's body that is judged whole
    stream_most: int = 0  # bytes of one that is passed on as it comes; 0: a longer one is spoilt
    platform: bool = True  # 200 alone is served; a 4xx says that no member can use the request
    close_delimited: bool = False  # an answer that ends with its connection counts as whole
    repeat_statuses: frozenset[int] | None = (
        None  # failures of the way, after which another member may be asked
    )

    repeat_header: bytes | None = None  # with it a member asks that a request which it failed goes again

    def repeats(self, status: int) -> bool:
        """Whether a member's 5xx speaks of the way to the application, so that another member may do better. Any other
        is the application's own answer; it counts against the member's health all the same."""
        return self.repeat_statuses is None or status in self.repeat_statuses

    def not_passed(self) -> frozenset[bytes]:
        """Headers of an answer that do not go on to the client."""
        own = (self.report_header, self.refusal_header, self.repeat_header)
        return HOP_BY_HOP | {name for name in own if name is not None}

    def asks_again(self, value: bytes | None) -> bool:
        """Whether a member's header asks for another attempt; `value` is None where it is not there. Which requests may
        go again is the module's to say."""
        return value is not None and value.strip() not in (b"", b"0")

    def result(self, status: int, refusal: bytes | None) -> AttemptResult:
        """What a whole answer means. `refusal`: the value of the refusal header, where there is one.

        A refusal proves that the request never ran; any other 5xx may have run."""
        if refusal is not None and status in REFUSALS and (refusal.strip() == b"1" or not self.platform):
            return AttemptResult.FULL
        if not self.platform:
            return AttemptResult.SERVED if status < 500 else AttemptResult.ERROR
        if status == 200:
            return AttemptResult.SERVED
        if 400 <= status < 500 and status not in NOT_OF_THE_REQUEST:
            return AttemptResult.UNUSABLE
        return AttemptResult.ERROR
