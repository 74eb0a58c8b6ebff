"""How many attempts this proxy may have in flight at all, learnt from how long they take.

Load shedding acts once attempts take too long, and by then their queue stands; the limit holds it back
before. Under `MIN_LIMIT` in flight it says nothing, and load shedding alone decides.
"""

from __future__ import annotations

from random import Random

from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.request_value import RequestValue

INITIAL_LIMIT = 64.0
MIN_LIMIT = 32.0  # what one of many proxies has in flight below this says nothing of the fleet
MAX_LIMIT = 10_000.0
LIMIT_SHARE_BY_RANK = 0.8  # each class may fill this part of what the class that is worth more may
LATE_OBJECTIVE_SHARE = 0.7  # an attempt that takes more of its objective than this counts as late
CANCELLED_OBJECTIVE_SHARE = 0.4  # and so does one that was cancelled without a first byte after this part
# Share of late attempts at which the limit stands still: the queue is short, and few sick endpoints don't
# close it.
TARGET_LATE_SHARE = 0.1
MIN_LATE_SHARE = 0.02  # share of late attempts of late under which there is no limit: a burst meets none
LATE_SHARE_STEP = 0.01  # some hundred attempts tell that share
PASSED_SHARE = 0.01  # of what is over the limit passes all the same: without it nothing would tell of room

_COUNTED = frozenset((AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.FULL))


class ConcurrencyLimit:
    """The limit, which classes meet it first, and the attempts that count for it."""

    def __init__(self, value: RequestValue, jitter: Random) -> None:
        self._value = value
        self._jitter = jitter
        self.in_flight = 0
        """Attempts without a first byte, at all endpoints."""
        self.limit = INITIAL_LIMIT
        self.late_share = 0.0
        """Of the latest attempts."""

    def is_full(self, class_index: int, gives_way: bool) -> bool:
        """Return whether a request has no room under the limit.

        Queues at all endpoints at once can't be avoided by selection, cost each request time, and are seen by
        load shedding only when they stand. A burst of more than the proxy has had in flight, right behind
        late attempts, is rejected in part until answers have shown that there is room.

        Args:
            class_index: The class of the request; those worth less for their work have less room.
            gives_way: Whether it ranks below its class: it can only be late, or its tenant is over quota.
        """
        if self.late_share < MIN_LATE_SHARE:
            return False
        values = self._value.by_class()
        rank = sum(value > values[class_index] for value in values) + gives_way
        if self.in_flight < max(MIN_LIMIT, self.limit * LIMIT_SHARE_BY_RANK**rank):
            return False
        return self._jitter.random() >= PASSED_SHARE

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        """Adapt the limit to the end of an attempt.

        It grows by one for each limit's worth of answers in time, while half of it is used, and shrinks by so
        much for late ones that it stands still at `TARGET_LATE_SHARE`. While next to none is late each answer
        adds one, so that what a fleet carries well is known when it is needed.
        """
        response_time = event.response_time
        objective = pending.request_class.latency_objective
        if event.result == AttemptResult.CANCELLED:
            # Cancelled for want of a first byte, so that another endpoint could answer in its place.
            if pending.streaming or response_time < CANCELLED_OBJECTIVE_SHARE * objective:
                return
        elif event.result not in _COUNTED:
            return
        late = event.result != AttemptResult.SERVED or response_time > LATE_OBJECTIVE_SHARE * objective
        self.late_share += LATE_SHARE_STEP * (late - self.late_share)
        if late:
            self.limit -= (1 - TARGET_LATE_SHARE) / TARGET_LATE_SHARE / self.limit
        elif self.in_flight > self.limit / 2:
            self.limit += 1.0 if self.late_share < MIN_LATE_SHARE else 1.0 / self.limit
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))
