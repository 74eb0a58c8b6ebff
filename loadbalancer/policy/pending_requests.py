"""A request that has not got its final answer, and its attempts."""

from __future__ import annotations

from loadbalancer.policy.endpoints import Endpoint
from loadbalancer.policy.events import Request
from loadbalancer.policy.settings import PolicyLimits, RequestClass


class Attempt:
    """A request sent once to one endpoint."""

    __slots__ = ("endpoint", "is_open", "may_have_run", "queue_length", "sent_at", "was_not_sent")

    def __init__(self, endpoint: Endpoint, sent_at: float, queue_length: int) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.queue_length = queue_length
        """Attempts of this proxy in flight at the endpoint when it was sent, itself among them."""
        self.is_open = True
        self.may_have_run = True
        self.was_not_sent = False
        """It has ended before any of its bytes left."""


class PendingRequest:
    """A request that is owed its final answer. Times are moments on the clock of the events."""

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
        waited: float,
        typical_latency: float,
        answer_slack: float,
        overloaded: bool,
    ) -> None:
        """Work out the deadlines of a request.

        Args:
            event: The request as it came.
            request_class: Its class.
            limits: What the deployment permits; a request may narrow its attempts further.
            now: The time, in seconds.
            waited: Seconds that its client has waited through earlier requests.
            typical_latency: Seconds that an answer of its class takes.
            answer_slack: Seconds before the objective after which an answer can't reach the client in time.
            overloaded: Whether work waits for room.
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
        self.is_late = waited > 0 and waited + typical_latency > objective and request_class.late_value == 0
        """Its objective passes before an answer comes, and then it earns nothing."""
        # An answer that earns nothing past its objective is not waited for. Nor, while work waits, is one
        # that earns little: queues of late answers would make all others late.
        late_answer_pays = request_class.late_value > 0 and not overloaded
        self.useful_until = self.deadline if late_answer_pays else max(now, self.objective_at - answer_slack)
        """No attempt outlives this moment."""
        self.attempts: list[Attempt] = []
        self.streaming = False
        """Its answer has begun."""
        self.sticky_endpoint = event.sticky_endpoint
        self.sticky_required = event.sticky_required
        self.max_attempts = min(event.max_attempts or limits.max_attempts, limits.max_attempts)
        self.retry_on = limits.retry_on if event.retry_on is None else event.retry_on
        """Results after which another attempt may follow; None: any."""
        self.body_pending = event.body_pending
        """Its body still comes: no endpoint can begin, and no time counts."""
        self.replayable = True
        """All of its body that has come is still held, so it could be sent again."""

    def complete_body(self, now: float) -> int:
        """Let its times count from here, as the last byte of its body has come.

        Returns:
            The number of its attempts that are in flight from now on.
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
        """Return whether an attempt has not ended yet."""
        return any(attempt.is_open for attempt in self.attempts)
