"""How the answers of a pool's members are interpreted: result of each status, headers with more information.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Sequence

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.resource_limits import MAX_JUDGED_BODY_BYTES

#: Headers of an answer that concern one connection alone (RFC 9110, 7.6.1), or that the proxy writes itself.
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length",
))  # fmt: skip
#: 4xx statuses that concern the backend and not the request: it waited too long, or is overloaded.
BACKEND_4XX_STATUSES = frozenset((408, 429))
#: Statuses with which a backend may state, by the refusal header, that it never ran the request.
REFUSAL_STATUSES = frozenset((503, 504))


@dataclass(frozen=True, slots=True)
class Dialect:
    """Interpretation of the answers of one pool's members. Names of headers are in lower case."""

    report_header: bytes | None = b"x-pressure"
    report_fields: Sequence[str] = ()  # fields of a load report that are read, by their names in the settings
    refusal_header: bytes | None = b"x-turned-away"  # with the value 1; with any value if `platform` is False
    deadline_header: bytes | None = b"X-Remaining"  # tells the member how long the proxy waits
    # Bytes of an answer's body that is buffered whole; a longer one is streamed.
    body_most: int = MAX_JUDGED_BODY_BYTES
    stream_most: int = 0  # bytes of a streamed body; 0: a body longer than body_most is invalid
    platform: bool = True  # only 200 is SERVED; a 4xx means that no member can use the request
    late_answer_grace_s: float = 0.0  # past a client's deadline, in which its final answer still counts
    close_delimited: bool = False  # an answer that ends with its connection counts as complete
    repeat_statuses: frozenset[int] | None = None  # 5xx after which another member may be tried; None: all
    repeat_header: bytes | None = None  # a member sets it to request a retry of a request that failed

    def is_retryable_status(self, status: int) -> bool:
        """Return whether a member's 5xx concerns the path to the application, so that another member may succeed.

        Any other 5xx is the application's own answer; it counts against the member's health nevertheless.
        """
        return self.repeat_statuses is None or status in self.repeat_statuses

    def not_passed(self) -> frozenset[bytes]:
        """Return the headers of an answer that are not forwarded to the client."""
        own = (self.report_header, self.refusal_header, self.repeat_header)
        return HOP_BY_HOP | {name for name in own if name is not None}

    def requests_retry(self, value: bytes | None) -> bool:
        """Return whether a member's header requests a retry; `value` is None without that header.

        The policy module decides which requests may be retried.
        """
        return value is not None and value.strip() not in (b"", b"0")

    def result(self, status: int, refusal: bytes | None) -> AttemptResult:
        """Return the result of a complete answer. `refusal`: the value of the refusal header, if the answer has it.

        A refusal proves that the request never ran; any other 5xx may have run.
        """
        if (
            refusal is not None
            and status in REFUSAL_STATUSES
            and (refusal.strip() == b"1" or not self.platform)
        ):
            return AttemptResult.FULL
        if not self.platform:
            return AttemptResult.SERVED if status < 500 else AttemptResult.ERROR
        if status == 200:
            return AttemptResult.SERVED
        if 400 <= status < 500 and status not in BACKEND_4XX_STATUSES:
            return AttemptResult.UNUSABLE
        return AttemptResult.ERROR
