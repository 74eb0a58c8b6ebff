"""Decides what becomes of an attempt whose time is over although its answer has begun. No I/O.

An attempt's time ends with the aim of its class. The client may wait for longer, and a final answer counts until
shortly after that; only then has the proxy to decide whether an answer without a stated length is a long one, which
must not be cut off, or a short one that never ends, which must not keep its client waiting.
"""

from __future__ import annotations

import time
from enum import Enum, auto
from typing import Callable, cast

from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.upstreams.connections import Attempt
from loadbalancer.upstreams.partial_answers import ARRIVING_S

FINAL_ANSWER_GRACE_S = 0.5
"""Seconds past its client's deadline until which a final answer is late rather than lost."""
HOLD_UP_S = 0.15
"""Seconds for which this process may be held up before it writes."""
DECISION_GRACE_S = FINAL_ANSWER_GRACE_S - HOLD_UP_S
"""Seconds past its client's deadline at which an unfinished answer is given up."""
CHECK_INTERVAL_S = 0.1
"""Seconds between two checks from that deadline on."""


class Verdict(Enum):
    """What becomes of an attempt whose time is over."""

    END = auto()
    """It has timed out."""
    PASS_ON = auto()
    """What has arrived of its answer is passed on, and the rest as it comes."""
    WAIT = auto()
    """It is asked again after `LateAnswers.next_check_s`."""


class LateAnswers:
    """Judges the attempts of one pool."""

    def __init__(self, would_retry: Callable[[Attempt], bool], grace_s: float) -> None:
        """Create it for one pool.

        Args:
            would_retry: Returns whether another attempt would follow if this one ended.
            grace_s: Seconds past a client's deadline in which a final answer still counts.
        """
        self._would_retry = would_retry
        self._grace_s = grace_s

    def time_left_s(self, attempt: Attempt) -> float:
        """Return the seconds for which an unfinished answer may still be waited for."""
        return _time_to_deadline_s(attempt) + self._grace_s

    def next_check_s(self, attempt: Attempt) -> float:
        """Return the seconds until an attempt that waits is judged again."""
        to_deadline_s = _time_to_deadline_s(attempt)
        return to_deadline_s if to_deadline_s > 0 else min(CHECK_INTERVAL_S, self.time_left_s(attempt))

    def judge(self, attempt: Attempt) -> Verdict:
        """Return what becomes of an attempt whose time is over; its request has no answer yet."""
        progress = attempt.find_partial_answer()
        if progress is None:
            return Verdict.END
        if progress.is_steady():
            return Verdict.PASS_ON
        is_last = self.time_left_s(attempt) <= 0
        if _time_to_deadline_s(attempt) <= 0:
            waited_s = time.monotonic() - attempt.timed_out_at
            if progress.may_become_long(waited_s):
                return Verdict.PASS_ON
            if is_last and progress.may_become_long(max(waited_s, ARRIVING_S), CHECK_INTERVAL_S):
                return Verdict.PASS_ON
        return Verdict.END if is_last or self._would_retry(attempt) else Verdict.WAIT


def _time_to_deadline_s(attempt: Attempt) -> float:
    return cast(OpenRequest, attempt.request).deadline_at - time.monotonic()
