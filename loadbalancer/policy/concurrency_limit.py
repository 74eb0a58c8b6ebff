"""How many requests this proxy may have in flight at all, learnt from how long they take.

The level of refusing speaks once attempts take too long, and by then their queue is there; the limit holds
it back before. It needs many in flight to say anything: under LIMIT_LEAST it never does, and the level
rules alone.
"""

from __future__ import annotations

from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
)
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.state import State

LIMIT_LEAST = 32.0  # in flight; what one of many proxies has there says nothing of the fleet
LIMIT_MOST = 10_000.0
LIMIT_PART = 0.8  # each class that earns less than another may fill this part of what that may
LIMIT_SILENT = 0.4  # and so does one that was given up for its silence after this part of it
LIMIT_FROM = 0.7  # an attempt that takes more of the aim than this speaks for fewer in flight
# Share of those at which the limit stands still: the queue is short, and few sick servers don't close it.
LIMIT_SHARE = 0.1
LIMIT_SEEN = 0.02  # share of late ones of late under which there is no limit: a burst meets none
LIMIT_STEP = 0.01  # some hundred attempts tell that share
LIMIT_KEPT = 0.01  # of what is over the limit passes all the same: without it nothing would tell of room


class Limiting(State):
    """The limit, and who meets it first."""

    def _is_full(self, number: int, late: bool) -> bool:
        """Whether a request of a class has no room under the limit: what earns least for its work gives way
        first, what can only be late before that.

        Protects against queues at all servers at once, which the draw can't avoid: they cost each request
        its time and the level sees them when they stand. Only while attempts are late at all. Harm: a burst
        of more than the proxy has had in flight, right behind late ones, is refused in part until answers
        have shown that there is room."""
        if self.late_share < LIMIT_SEEN:
            return False
        values = self._values()
        rank = sum(value > values[number] for value in values) + late
        if self.in_flight < max(LIMIT_LEAST, self.limit * LIMIT_PART**rank):
            return False
        return self.spread.random() >= LIMIT_KEPT

    def _note_flight(self, pending: PendingRequest, event: Outcome) -> None:
        """One more for each limit's worth of answers in time, while half of it is used; and as much less for
        late ones that it stands still where LIMIT_SHARE of them are. While next to none is late each answer
        adds one, so that what a fleet carries well is known when it is needed."""
        took = event.elapsed if event.time_to_first_byte is None else event.time_to_first_byte
        if (
            event.result == AttemptResult.CANCELLED
        ):  # for its silence, where another was to answer in its place
            if pending.streaming or took < LIMIT_SILENT * pending.cls.latency_objective:
                return
        elif event.result not in (AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.FULL):
            return
        late = event.result != AttemptResult.SERVED or took > LIMIT_FROM * pending.cls.latency_objective
        self.late_share += LIMIT_STEP * (late - self.late_share)
        if late:
            self.limit -= (1 - LIMIT_SHARE) / LIMIT_SHARE / self.limit
        elif self.in_flight > self.limit / 2:
            self.limit += 1.0 if self.late_share < LIMIT_SEEN else 1.0 / self.limit
        self.limit = min(LIMIT_MOST, max(LIMIT_LEAST, self.limit))

    def _values(self) -> list[float]:
        """Worth of a class for the work it takes; where worth goes by work, it is that already."""
        if self.settings.weight_by_work:
            return [c.priority_weight for c in self.settings.classes]
        pairs = zip(self.settings.classes, self.usual, strict=True)
        return [c.priority_weight / (work or 1.0) for c, work in pairs]
