"""Drives the policy: passes events to it one at a time, and carries out its actions in order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Callable

from loadbalancer.discovery.endpoint_source import EndpointSource
from loadbalancer.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import Event, Request, TimerFired
from loadbalancer.proxy.answer_writer import AnswerWriter
from loadbalancer.proxy.attempt_runner import AttemptRunner, PolicyClock
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.resource_limits import RateLimitedLogger, describe_exception
from loadbalancer.upstreams.connections import UpstreamPools

if TYPE_CHECKING:  # loaded only if decisions are traced
    from loadbalancer.proxy.decision_trace import DecisionTrace

NO_REQUEST = 0
"""Request number that stands for none."""


class PolicyDriver:
    """The only caller of `Balancer.handle`."""

    def __init__(
        self,
        balancer: Balancer,
        clock: PolicyClock,
        table: RequestTable,
        answers: AnswerWriter,
        attempts: AttemptRunner,
        upstreams: UpstreamPools,
        logger: RateLimitedLogger,
        post: Callable[[Event], None],
        abandon: Callable[[OpenRequest], None],
    ) -> None:
        """Start without events.

        Args:
            balancer: The policy.
            clock: The policy's clock.
            table: The open requests.
            answers: Writes final answers.
            attempts: Runs attempts.
            upstreams: Connections to endpoints.
            logger: Receives log events.
            post: Posts an event; timers use it as well.
            abandon: Fails a request whose event caused an unexpected exception.
        """
        self.trace: DecisionTrace | None = None  # decisions on the latest requests; None if it is off
        self.source: EndpointSource | None = None  # source of the endpoint list
        self._balancer = balancer
        self._clock = clock
        self._table = table
        self._answers = answers
        self._attempts = attempts
        self._upstreams = upstreams
        self._logger = logger
        self._post = post
        self._abandon = abandon
        self._loop = asyncio.get_running_loop()
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._carry_out = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers of actions, by the type of the action."""
        return {
            Send: self._attempts.send,
            SetTimer: self._set_timer,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: self._cancel,
            WatchEndpoints: self._watch,
            CloseIdleConnections: self._close_idle,
            LogMessage: self._log,
        }

    def post(self, event: Event) -> None:
        """Pass an event to the policy and carry out its actions; events posted by these are queued."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
            self._table.forget_released()
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        try:
            now = self._clock.now()
            actions = self._balancer.handle(now, (event,))
            if self.trace is not None:
                self._record(self.trace, now, event, actions)
            for action in actions:
                self._carry_out[type(action)](action)
        except Exception as problem:  # must not affect other requests
            self._contain(event, problem)

    def _record(self, trace: DecisionTrace, now: float, event: Event, actions: list[Action]) -> None:
        request = self._table.open.get(event.request) if isinstance(event, Request) else None
        head = request.head if request is not None else b""
        trace.record(now, event, actions, self._balancer, head)

    def _contain(self, event: Event, problem: Exception) -> None:
        """Log an unexpected exception and fail the request of its event.

        Other requests go on, and an endpoint list stays applied as far as it was processed.
        """
        self._logger("defect", f"{describe_exception(problem)} on {type(event).__name__}")
        request = self._table.open.get(getattr(event, "request", NO_REQUEST))
        if request is not None:
            self._abandon(request)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay, self._post, TimerFired(action.token))

    def _reject(self, action: Reject) -> None:
        request = self._table.open[action.request]
        if not request.done:
            self._answers.reject(request, action.retry_after)

    def _fail(self, action: Fail) -> None:
        request = self._table.open[action.request]
        if not request.done:
            self._answers.fail(request)

    def _cancel(self, action: Cancel) -> None:
        request = self._table.open.get(action.request)
        if request is not None:  # otherwise all its attempts have ended
            self._attempts.cancel(request.attempts[action.attempt])

    def _watch(self, action: WatchEndpoints) -> None:
        if self.source is not None:
            self.source.watch(action.enabled)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self._upstreams.close_idle(action.endpoint)

    def _log(self, action: LogMessage) -> None:
        self._logger("module", action.text)
