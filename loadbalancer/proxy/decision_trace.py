"""Traces the policy's decisions on the latest requests in a bounded ring buffer, to explain where they went. No I/O.

Off unless it is configured. It records each event with the resulting actions, and describes them on demand. Of the data
that clients sent it keeps only the request id.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from typing import Any, Callable, NamedTuple, Sequence, Union

from loadbalancer.policy.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    BodyProgress,
    ClientCancelled,
    Event,
    Outcome,
    Request,
)

MAX_STEPS = 40
"""Limit on the recorded steps of one request."""
MS_PER_S = 1e3
_REQUEST_ID = re.compile(rb"\r\nX-Request-Id: *([^\r\n]{1,200})\r\n", re.IGNORECASE)

Step = Union[Event, Action]
StepDescription = dict[str, Any]
"""A step as operators read it: a JSON object with a `what` and values."""


class TraceObservation(NamedTuple):
    """State of an endpoint when a request was sent to it. The names of the fields are keys of the API."""

    in_flight: int
    """Attempts of this proxy in flight to it."""
    errors: float
    """Its error rate, 0 to 1."""
    utilization: float
    """Its reported utilization, 0 to 1."""
    usable: int
    """Endpoints that were available."""
    refusing: float
    """The shed level."""


class TracedStep(NamedTuple):
    """One event or action of a request."""

    at: float
    """Seconds on the policy's clock."""
    step: Step
    """The event or action."""
    observation: TraceObservation | None
    """The state of the endpoint that a request was sent to."""
    version: int | None = None
    """The version of the fleet's replicated state under which it was sent."""


class RequestTrace:
    """The steps of one request."""

    __slots__ = ("dropped", "id", "steps")

    def __init__(self, name: str) -> None:
        self.id = name
        self.steps: list[TracedStep] = []
        self.dropped = 0  # number of steps in excess of `MAX_STEPS`

    def record(self, step: TracedStep) -> None:
        """Add a step, or count it as dropped if the limit is reached."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append(step)
        else:
            self.dropped += 1


class DecisionTrace:
    """The trace of one pool, owned by its `Proxy`."""

    def __init__(self, max_requests: int) -> None:
        """Start empty; `max_requests` limits the requests that are kept, including ended ones."""
        self.max_requests = max_requests
        self.version: Callable[[], int] | None = (
            None  # returns the version of the replicated state, if there is one
        )
        self._traces: OrderedDict[int, RequestTrace] = OrderedDict()  # by number, the oldest first
        self._numbers: dict[str, int] = {}  # by id

    def __len__(self) -> int:
        return len(self._traces)

    def record(
        self, now: float, event: Event, actions: Sequence[Action], balancer: Balancer, head: bytes
    ) -> None:
        """Record an event and the resulting actions.

        Args:
            now: Seconds on the policy's clock.
            event: The event that the policy was given.
            actions: The actions that it returned.
            balancer: The policy.
            head: The request's head, if the event is a request.
        """
        if isinstance(event, Request):
            self._begin(event.request, head)
        trace = self._find(event)
        if trace is not None:
            trace.record(TracedStep(now, event, None))
        for action in actions:
            trace = self._find(action)
            if trace is not None:
                trace.record(self._trace_action(now, action, balancer))

    def _find(self, step: Step) -> RequestTrace | None:
        number = getattr(step, "request", None)
        return self._traces.get(number) if isinstance(number, int) else None

    def _trace_action(self, now: float, action: Action, balancer: Balancer) -> TracedStep:
        version = None
        if isinstance(action, Send) and self.version is not None:
            version = self.version()
        return TracedStep(now, action, observe(balancer, action), version)

    def _begin(self, number: int, head: bytes) -> None:
        match = _REQUEST_ID.search(head)
        name = match[1].decode("latin-1") if match is not None else f"#{number}"
        self._traces[number] = RequestTrace(name)
        self._numbers[name] = number
        while len(self._traces) > self.max_requests:
            oldest, trace = self._traces.popitem(last=False)
            if self._numbers.get(trace.id) == oldest:
                del self._numbers[trace.id]

    def describe(self, name: str) -> list[StepDescription] | None:
        """Describe the steps of a request.

        Args:
            name: The id that its client or the proxy gave it.

        Returns:
            None if the request is not, or no longer, in the buffer.
        """
        number = self._numbers.get(name)
        if number is None:
            return None
        trace = self._traces[number]
        began = trace.steps[0].at if trace.steps else 0.0
        steps = [
            {"ms": round(MS_PER_S * (step.at - began), 1), **describe_step(step)} for step in trace.steps
        ]
        if trace.dropped:
            steps.append({"what": f"and {trace.dropped} more"})
        return steps


def observe(balancer: Balancer, action: Action) -> TraceObservation | None:
    """Return the state of the endpoint that an action sends a request to; None for other actions."""
    if not isinstance(action, Send):
        return None
    endpoint = balancer.endpoints.get(action.endpoint)
    if endpoint is None:
        return None
    return TraceObservation(
        len(endpoint.in_flight) + len(endpoint.responding),
        round(endpoint.error_rate, 3),
        round(endpoint.utilization, 2),
        sum(not balancer.avoids(ready.id) for ready in balancer.ready),
        round(balancer.shed_level, 2),
    )


def describe_step(traced: TracedStep) -> StepDescription:
    """Return a step as operators read it; values that are None are omitted."""
    step = traced.step
    if isinstance(step, Request):
        description = _describe_request(step)
    elif isinstance(step, Send):
        description = _describe_send(step, traced)
    elif isinstance(step, Outcome):
        description = _describe_outcome(step)
    elif isinstance(step, Reject):
        retry_after = step.retry_after or None
        description = {"what": "refused: trying again is harmless", "retry_after_s": retry_after}
    else:
        description = {"what": _describe_other(step)}
    return {key: value for key, value in description.items() if value is not None}


def _describe_request(request: Request) -> StepDescription:
    return {
        "what": "came",
        "left_s": round(request.time_remaining, 3),
        "session": request.sticky_endpoint,
        "bound": request.sticky_required or None,
        "keyed": request.key is not None or None,
    }


def _describe_send(send: Send, traced: TracedStep) -> StepDescription:
    description = {"what": "sent", "member": send.endpoint, "timeout_s": round(send.timeout, 3)}
    if traced.observation is not None:
        description |= traced.observation._asdict()
    description["version"] = traced.version
    return description


def _describe_outcome(outcome: Outcome) -> StepDescription:
    return {
        "what": f"attempt {outcome.attempt} ended",
        "member": outcome.endpoint,
        "result": AttemptResult(outcome.result).name.lower(),
        "took_s": round(outcome.elapsed, 3),
        "answered": outcome.request_ended or None,
    }


def _describe_other(step: Step) -> str:
    if isinstance(step, Fail):
        return "failed: nothing is promised"
    if isinstance(step, ClientCancelled):
        return "its client has gone, or it was ended here"
    if isinstance(step, Cancel):
        return f"attempt {step.attempt} is given up"
    if isinstance(step, BodyProgress):
        return "body"
    return type(step).__name__.lower()
