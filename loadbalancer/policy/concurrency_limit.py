"""Limits the attempts that this proxy has in flight at all endpoints, adapting to their response times.

Load shedding reacts once attempts take too long, when a queue has already built up; the limit keeps it from
building up. With fewer than `MIN_LIMIT` in flight the limit does not apply, and load shedding alone decides.
"""

from __future__ import annotations

from random import Random

from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.request_value import RequestValue

INITIAL_LIMIT = 64.0
MIN_LIMIT = 32.0  # fewer in flight at one of many proxies say nothing about the load of the fleet
MAX_LIMIT = 10_000.0
LIMIT_SHARE_BY_RANK = 0.8  # each class may use this share of the limit of the next more valuable class
LATE_OBJECTIVE_SHARE = 0.7  # an attempt that takes more of its objective than this counts as late
CANCELLED_OBJECTIVE_SHARE = 0.4  # so does one cancelled without a first byte after this share
# Share of late attempts at which the limit does not change: there the queue is short, and a few unhealthy
# endpoints do not shrink the limit.
TARGET_LATE_SHARE = 0.1
MIN_LATE_SHARE = 0.02  # recent share of late attempts below which no limit applies, so that bursts pass
LATE_SHARE_STEP = 0.01  # averages that share over about a hundred attempts
ADMITTED_OVER_LIMIT_SHARE = 0.01  # of requests over the limit; only they show that capacity is back

_COUNTED = frozenset((AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.FULL))


class ConcurrencyLimit:
    """Adapts the limit, and decides which classes reach it first."""

    def __init__(self, value: RequestValue, jitter: Random) -> None:
        self._value = value
        self._jitter = jitter
        self.in_flight = 0
        """Attempts without a first byte, at all endpoints."""
        self.limit = INITIAL_LIMIT
        self.late_share = 0.0
        """Share of recent attempts that were late."""

    def is_full(self, class_index: int, ranks_below_class: bool) -> bool:
        """Return whether the limit leaves no room for a request.

        Selection can't avoid queues that exist at all endpoints at once. They cost each request time, and
        load shedding sees them only once they have built up. A burst of more attempts than the proxy has had
        in flight, right after late attempts, is rejected in part until answers have shown that there is
        capacity.

        Args:
            class_index: The class of the request; classes of less value for their work have a lower limit.
            ranks_below_class: Whether it can only be late or its tenant is over quota, which lowers its rank.
        """
        if self.late_share < MIN_LATE_SHARE:
            return False
        values = self._value.by_class()
        rank = sum(value > values[class_index] for value in values) + ranks_below_class
        if self.in_flight < max(MIN_LIMIT, self.limit * LIMIT_SHARE_BY_RANK**rank):
            return False
        return self._jitter.random() >= ADMITTED_OVER_LIMIT_SHARE

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        """Adapt the limit to the end of an attempt.

        While more than half of it is used, the limit grows by one for each `limit` answers in time; for late
        ones it shrinks by so much that it does not change at `TARGET_LATE_SHARE`. While almost none is late,
        each answer adds one, so that the limit has reached what the fleet can carry before it is needed.
        """
        response_time = event.response_time
        objective = pending.request_class.latency_objective
        if event.result == AttemptResult.CANCELLED:
            # Without a first byte it was cancelled so that another endpoint could answer in its place.
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
