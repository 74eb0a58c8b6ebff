"""Defines requests that are waiting for their final answer, and their attempts."""

from __future__ import annotations

from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import Request
from loadbalancer.policy.settings import PolicyLimits, RequestClass


class Attempt:
    """Tracks one attempt of a request at one endpoint."""

    __slots__ = ("endpoint", "is_open", "may_have_run", "queue_length", "sent_at", "was_not_sent")

    def __init__(self, endpoint: Endpoint, sent_at: float, queue_length: int) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.queue_length = queue_length
        """Attempts that this proxy had in flight at the endpoint when it was sent, including this one."""
        self.is_open = True
        self.may_have_run = True
        self.was_not_sent = False
        """Whether it ended before any of its bytes was sent."""


class PendingRequest:
    """Tracks a request until its final answer. Points in time are on the clock of the events."""

    __slots__ = (
        "attempts",
        "began_at",
        "body_pending",
        "class_index",
        "deadline",
        "id",
        "is_late",
        "max_attempts",
        "objective_at",
        "replayable",
        "request_class",
        "retry_on",
        "sticky_endpoint",
        "sticky_required",
        "streaming",
        "useful_until",
    )

    def __init__(
        self,
        event: Request,
        request_class: RequestClass,
        limits: PolicyLimits,
        now: float,
        time_waited: float,
        typical_latency: float,
        answer_slack: float,
        overloaded: bool,
    ) -> None:
        """Compute the deadlines of a request.

        Args:
            event: The event that announced the request.
            request_class: Its class.
            limits: The limits of the deployment; a request may lower its number of attempts further.
            now: The time, in seconds.
            time_waited: Seconds that its client has waited in earlier tries.
            typical_latency: Typical seconds to an answer of its class.
            answer_slack: Seconds before the objective after which an answer can't reach the client in time.
            overloaded: Whether load is being shed.
        """
        self.id = event.request
        self.request_class = request_class
        self.class_index = event.class_index
        self.began_at = now
        self.deadline = now + max(0.0, event.time_remaining)
        objective = request_class.latency_objective + request_class.objective_per_work * (
            event.work_hint or 0.0
        )
        self.objective_at = min(now + objective, self.deadline)
        self.is_late = (
            time_waited > 0 and time_waited + typical_latency > objective and request_class.late_value == 0
        )
        """Whether an answer is expected only after the objective, when it has no value."""
        # An answer that has no value past its objective is not waited for. Under overload, neither is one
        # that has little value then: queues of late answers would make all others late.
        late_answer_pays = request_class.late_value > 0 and not overloaded
        self.useful_until = self.deadline if late_answer_pays else max(now, self.objective_at - answer_slack)
        """Time at which every attempt ends at the latest."""
        self.attempts: list[Attempt] = []
        self.streaming = False
        """Whether its answer has begun."""
        self.sticky_endpoint = event.sticky_endpoint
        self.sticky_required = event.sticky_required
        self.max_attempts = min(event.max_attempts or limits.max_attempts, limits.max_attempts)
        self.retry_on = limits.retry_on if event.retry_on is None else event.retry_on
        """Results after which another attempt may follow; None means any."""
        self.body_pending = event.body_pending
        """Whether its body is incomplete: no endpoint can start work, and no timeout runs."""
        self.replayable = True
        """Whether all of its body that has arrived is still buffered, so that it can be sent again."""

    def complete_body(self, now: float) -> int:
        """Start the timeouts now that the last byte of the body has arrived.

        Returns:
            The number of attempts that count as in flight from now on.
        """
        delay = now - self.began_at
        self.body_pending = False
        self.began_at = now
        self.deadline += delay
        self.objective_at += delay
        self.useful_until += delay
        open_attempts = 0
        for number, attempt in enumerate(self.attempts):
            if attempt.is_open:
                endpoint = attempt.endpoint
                endpoint.responding.discard((self.id, number))
                endpoint.in_flight[(self.id, number)] = now
                attempt.sent_at = now
                attempt.queue_length = len(endpoint.in_flight)
                open_attempts += 1
        return open_attempts

    def has_open_attempt(self) -> bool:
        """Return whether any attempt has not ended yet."""
        return any(attempt.is_open for attempt in self.attempts)
