"""Takes all decisions of a proxy: where a request is sent, and whether it is retried, hedged or rejected.

`Balancer.handle` takes events and returns actions. It does no I/O and reads no clock; `proxy/proxy.py`
carries the actions out. This file defines the order of the decisions; the rules themselves are in these
files:

| question | files |
| --- | --- |
| Which endpoints are there? | `endpoint_list.py`, `endpoints.py` |
| Is a request a retry by its client? | `client_retries.py` |
| Is a new request rejected? | `load_shedding.py`, `concurrency_limit.py`, `tenant_quota.py` |
| May a request have another attempt, and at which endpoints? | `retry_policy.py`, `idempotency.py` |
| Which endpoint gets it? | `selection.py`, `slow_start.py`, `outlier_detection.py` |
| When is a hedged request considered? | `hedging.py` |
| What is learned from the end of an attempt? | `outlier_detection.py`, and the files above |
"""

from __future__ import annotations

import math
from random import Random
from typing import Callable, ClassVar, Sequence

from loadbalancer.policy import idempotency
from loadbalancer.policy.actions import Action, Cancel, CloseIdleConnections, Fail, Reject, Send, SetTimer
from loadbalancer.policy.client_retries import ClientRetryDetector
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.endpoint_list import LIST_TOKEN, EndpointListFollower
from loadbalancer.policy.endpoints import Endpoint, EndpointRegistry
from loadbalancer.policy.estimators import SendRate
from loadbalancer.policy.events import (
    NEVER_RAN,
    AttemptResult,
    BodyProgress,
    ClientCancelled,
    Cordon,
    EndpointList,
    Event,
    FirstByte,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)
from loadbalancer.policy.hedging import Hedging
from loadbalancer.policy.idle_connections import IdleConnections
from loadbalancer.policy.load_shedding import LoadShedding
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.request_value import RequestValue
from loadbalancer.policy.retry_policy import RetryPolicy
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.settings import PolicySettings
from loadbalancer.policy.slow_start import SlowStart

MIN_ATTEMPT_TIMEOUT_S = 0.001
MIN_RETRY_TIME_S = 0.01
"""Seconds that another attempt needs at least to be of use."""
NO_ATTEMPT = -1


class Balancer:
    """Takes the decisions of one proxy.

    The same settings, seed and events give the same actions. There are two random number generators: `random`
    for selection, shedding, the gaps of slow-start pacing and polls; `jitter` for the start of pacing,
    `Retry-After` and the requests admitted over the concurrency limit, so that these three do not change
    which endpoint is selected.
    """

    load_shedding_type: ClassVar[type[LoadShedding]] = LoadShedding
    """Class of `load_shedding`; variants of the policy, as in the emulator, override it."""
    concurrency_limit_type: ClassVar[type[ConcurrencyLimit]] = ConcurrencyLimit
    """Class of `concurrency_limit`; variants of the policy override it too."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self.settings = settings
        self.now = -math.inf
        self.requests: dict[int, PendingRequest] = {}
        """Requests without a final answer."""
        self.random = Random(seed)
        self.jitter = Random(seed + 1)
        self.registry = EndpointRegistry()
        self.send_rate = SendRate()
        self.outliers = OutlierDetector(settings, self.registry, self.send_rate)
        self.slow_start = SlowStart(settings, self.random, self.jitter, self.registry, self.send_rate)
        self.endpoint_list = EndpointListFollower(settings, self.random, self.registry, self.slow_start)
        self.selector = EndpointSelector(settings, self.random, self.registry, self.slow_start, self.outliers)
        self.idle_connections = IdleConnections(settings, self.registry, self.send_rate)
        self.hedging = Hedging(settings.limits, len(settings.classes), self.idle_connections)
        self.client_retries = [ClientRetryDetector() for _ in settings.classes]
        self.retry_policy = RetryPolicy(settings.limits, self.registry)
        value = RequestValue(settings, self.outliers.typical_latency)
        self.concurrency_limit = self.concurrency_limit_type(value, self.jitter)
        self.load_shedding = self.load_shedding_type(
            settings, self.random, self.jitter, value, self.concurrency_limit, self.send_rate
        )
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[..., None]] = {
            EndpointList: self._on_endpoint_list,
            Cordon: self._on_cordon,
            Request: self._on_request,
            BodyProgress: self._on_body_progress,
            FirstByte: self._on_first_byte,
            Outcome: self._on_outcome,
            ClientCancelled: self._on_client_cancelled,
            TimerFired: self._on_timer,
            ProbeResult: self._on_probe_result,
            PeerMessage: self._on_peer_message,
        }

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Process events and return the actions to carry out, in order.

        Args:
            now: Seconds on any monotonic clock.
            events: Events up to `now`, in order.

        Raises:
            UnknownAttemptError: An outcome names an attempt that was never sent.
        """
        if self.send_rate.started_at < 0:
            self.send_rate.start(now)
        self.now = now
        self._actions = []
        for event in events:
            self._handlers[type(event)](event, now)
        return self._actions

    # State that callers read.

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """All endpoints that are listed or still have attempts, by name."""
        return self.registry.by_id

    @property
    def ready(self) -> list[Endpoint]:
        """Endpoints that are ready and not cordoned."""
        return self.registry.ready

    @property
    def typical_latency(self) -> list[float]:
        """Typical seconds to an answer of each class; 0 means unknown. May be changed in place."""
        return self.outliers.typical_latency

    @property
    def shed_level(self) -> float:
        """Level of load shedding; 0 means that nothing is shed."""
        return self.load_shedding.level

    @shed_level.setter
    def shed_level(self, level: float) -> None:
        self.load_shedding.level = level

    @property
    def in_flight_limit(self) -> float:
        """Attempts that may be in flight at all endpoints together."""
        return self.concurrency_limit.limit

    @property
    def in_flight(self) -> int:
        """Attempts without a first byte, at all endpoints together."""
        return self.concurrency_limit.in_flight

    def avoids(self, name: str) -> bool:
        """Return whether selection would skip an endpoint now for a reason other than its load."""
        return self.selector.avoids(self.registry.by_id.get(name), self.now)

    def may_send_attempt(self, now: float, request: int, attempt_number: int) -> bool:
        """Return whether an attempt may still be sent now that its connection is established.

        During the connect its endpoint may have started to drain or gone away, the request may have been
        answered, and the deduplication window may have passed.
        """
        pending = self.requests.get(request)
        if pending is None or pending.streaming:
            return False
        endpoint = pending.attempts[attempt_number].endpoint
        if not self.selector.still_accepts_attempt(endpoint):
            return False
        return self.retry_policy.may_still_be_sent(pending, attempt_number, now)

    def may_complete_attempt(self, now: float, request: int, attempt_number: int) -> bool:
        """Return whether an attempt that is being written may still reach its endpoint whole.

        The state of its endpoint does not matter any more: for drains a send counts from its first byte.
        """
        pending = self.requests.get(request)
        return pending is not None and self.retry_policy.may_still_be_sent(pending, attempt_number, now)

    def would_retry(self, now: float, request: int) -> bool:
        """Return whether another attempt would follow, in time to be answered, if the open one timed out."""
        pending = self.requests.get(request)
        if pending is None or pending.streaming or not self.retry_policy.has_budget():
            return False
        if sum(attempt.is_open for attempt in pending.attempts) > 1:
            return False
        answered_at = now + max(MIN_RETRY_TIME_S, self.typical_latency[pending.class_index])
        return answered_at < pending.useful_until and self._would_follow_cancel(pending, now)

    # Endpoints.

    def _on_endpoint_list(self, event: EndpointList, now: float) -> None:
        self._actions += self.endpoint_list.apply_list(event, now)

    def _on_cordon(self, event: Cordon, now: float) -> None:
        self._actions += self.endpoint_list.apply_cordon(event, now)

    def _on_probe_result(self, event: ProbeResult, now: float) -> None:
        self.outliers.record_result(self.registry.by_id[event.endpoint], event.result, event.report, now)

    def _on_peer_message(self, event: PeerMessage, now: float) -> None:
        """Ignore the message: this policy exchanges nothing with other proxies."""

    # Handlers of request events.

    def _on_request(self, event: Request, now: float) -> None:
        """Reject a new request, or send its first attempt and set the timer of the hedge check."""
        class_index = event.class_index
        request_class = self.settings.classes[class_index]
        time_waited = self.client_retries[class_index].time_waited(
            event.time_remaining, request_class.client_timeout, now
        )
        pending = PendingRequest(
            event,
            request_class,
            self.settings.limits,
            now,
            time_waited,
            typical_latency=self.outliers.typical_latency[class_index],
            answer_slack=self.settings.rules.answer_slack,
            overloaded=self.load_shedding.level > 0,
        )
        self.requests[event.request] = pending
        self.retry_policy.record_request()
        if self.load_shedding.rejects(event, pending.is_late, now) or not self._try_to_send(pending, now):
            self._reject_or_fail(pending, now)
        elif not pending.body_pending:
            self._set_hedge_check(pending, now)

    def _on_body_progress(self, event: BodyProgress, now: float) -> None:
        """Start the timeouts of a request once its body is complete.

        Until then it costs its endpoint only a connection and can't have run, so it does not count as in
        flight. From then on it is treated like a request that was just sent.
        """
        pending = self.requests.get(event.request)
        if pending is None:
            return
        pending.replayable = event.replayable
        if not event.complete or not pending.body_pending:
            return
        self.concurrency_limit.in_flight += pending.complete_body(now)
        self._set_hedge_check(pending, now)

    def _on_timer(self, event: TimerFired, now: float) -> None:
        if event.token == LIST_TOKEN:
            self._actions.append(self.endpoint_list.poll(now))
            return
        pending = self.requests.get(event.token - 1)
        if pending is not None:
            self._check_hedge(pending, now)

    def _check_hedge(self, pending: PendingRequest, now: float) -> None:
        """Send a hedged request, or cancel the attempt so that another follows, if no first byte has arrived.

        This helps against a single unresponsive endpoint. Where the typical attempt is slow it would add to
        the cause, so it is not done while load is shed.
        """
        if pending.streaming or len(pending.attempts) != 1 or not pending.replayable:
            return
        if not self.retry_policy.has_budget() or self.load_shedding.level > 0:
            return
        limits = self.settings.limits
        if limits.hedging:
            self._retry(pending, now)
        elif limits.cancellation and self._would_follow_cancel(pending, now):
            self._actions.append(Cancel(pending.id, 0))  # its outcome triggers the second attempt

    def _would_follow_cancel(self, pending: PendingRequest, now: float) -> bool:
        """Return whether another attempt would be sent once the open one has been cancelled."""
        policy = self.retry_policy
        if not policy.is_retryable(pending, AttemptResult.CANCELLED) or not policy.has_time(pending, now):
            return False
        pool = policy.next_pool(pending, now, after_cancel=True)
        return pool is not None and self.selector.has_untried_endpoint(pool, pending, now)

    def _on_first_byte(self, event: FirstByte, now: float) -> None:
        """Let the attempt that sent the first byte answer the request, and cancel the others.

        Once an answer has begun, the endpoint's work is done and the attempt is no longer in flight: the time
        that the client takes to read the rest says nothing of the endpoint, and slow readers must not
        influence selection.
        """
        endpoint = self.registry.by_id[event.endpoint]
        endpoint.answered = True
        key = (event.request, event.attempt)
        endpoint.responding.add(key)
        if endpoint.in_flight.pop(key, None) is not None:
            self.concurrency_limit.in_flight -= 1
        pending = self.requests.get(event.request)
        if pending is not None:
            pending.streaming = True
            self._cancel_open_attempts(pending, now, keep=event.attempt)

    def _on_outcome(self, event: Outcome, now: float) -> None:
        """Learn from the end of an attempt, then end the request or retry it."""
        endpoint = self.registry.by_id[event.endpoint]
        self.concurrency_limit.in_flight -= endpoint.end_attempt((event.request, event.attempt))
        if not endpoint.in_flight and self.idle_connections.are_too_sparse(now):
            self._actions.append(CloseIdleConnections(endpoint.id))
        pending = self.requests.get(event.request)
        class_index = pending.class_index if pending else None
        slowness = self.outliers.record_slowness(pending, event)
        self.outliers.record_result(endpoint, event.result, event.report, now, slowness, class_index)
        if pending is None:
            return
        attempt = pending.attempts[event.attempt]
        if not pending.body_pending:
            self._record_outcome(pending, attempt, event, now)
        attempt.is_open = False
        attempt.may_have_run = event.result not in NEVER_RAN
        if event.request_ended:
            self._end(pending, now)
        elif event.result == AttemptResult.UNUSABLE:
            # A request that one endpoint finds invalid is invalid for all: a retry would waste attempts, and
            # a rejection would invite one. If the endpoint is wrong, a valid request fails.
            self._fail(pending, now)
        elif not pending.has_open_attempt():
            self._retry_or_end(pending, attempt, event.result, now)

    def _on_client_cancelled(self, event: ClientCancelled, now: float) -> None:
        pending = self.requests.get(event.request)
        if pending is not None:
            self._end(pending, now)

    # Steps of request handling.

    def _try_to_send(self, pending: PendingRequest, now: float) -> bool:
        """Send another attempt if the rules permit it and an endpoint can be selected."""
        pool = self.retry_policy.next_pool(pending, now)
        if pool is None:
            return False
        endpoint = self.selector.select(pool, pending, now)
        if endpoint is None:
            message = self.selector.pop_log_message()
            self._actions += [message] if message is not None else []
            return False
        self._send(pending, endpoint, now)
        return True

    def _send(self, pending: PendingRequest, endpoint: Endpoint, now: float) -> None:
        """Send an attempt. Every attempt is sent here, and none outlives the use of its answer."""
        key = (pending.id, len(pending.attempts))
        if pending.body_pending:
            endpoint.responding.add(key)
        else:
            endpoint.in_flight[key] = now
            self.concurrency_limit.in_flight += 1
        pending.attempts.append(Attempt(endpoint, now, len(endpoint.in_flight)))
        self.send_rate.record(now)
        self.slow_start.record_send(endpoint, now)
        timeout_start = pending.began_at if pending.body_pending else now
        timeout = min(pending.useful_until - timeout_start, self.settings.limits.attempt_timeout)
        self._actions.append(Send(pending.id, endpoint.id, max(MIN_ATTEMPT_TIMEOUT_S, timeout)))

    def _set_hedge_check(self, pending: PendingRequest, now: float) -> None:
        delay = self.hedging.check_delay(pending, self.outliers.response_timeout, now)
        if delay is not None:
            self._actions.append(SetTimer(pending.id + 1, delay))

    def _retry(self, pending: PendingRequest, now: float, is_budget_exempt: bool = False) -> bool:
        """Send one more attempt if its class, limits, time and budget allow it."""
        policy = self.retry_policy
        if not policy.has_time(pending, now) or not (is_budget_exempt or policy.has_budget()):
            return False
        if not self._try_to_send(pending, now):
            return False
        if not is_budget_exempt:
            policy.record_retry()
        return True

    def _retry_or_end(
        self, pending: PendingRequest, attempt: Attempt, result: AttemptResult, now: float
    ) -> None:
        """Retry or end a request whose last open attempt has ended without an answer."""
        retryable = self.retry_policy.is_retryable(pending, result)
        if result == AttemptResult.NOT_SENT:
            self.retry_policy.restore_unsent_attempt(pending, attempt)
            retryable = True
        if not retryable or not self._retry(pending, now, self.retry_policy.is_budget_exempt(result)):
            self._reject_or_fail(pending, now)

    def _reject_or_fail(self, pending: PendingRequest, now: float) -> None:
        """Reject an unserved request if sending it again is known to be harmless; otherwise fail it."""
        self.client_retries[pending.class_index].record_unserved(pending.is_late)
        if not idempotency.may_reject(pending.request_class, pending.attempts):
            self._fail(pending, now)
            return
        self._actions.append(Reject(pending.id, self.load_shedding.retry_after()))
        self._end(pending, now)

    def _fail(self, pending: PendingRequest, now: float) -> None:
        self._actions.append(Fail(pending.id))
        self._end(pending, now)

    def _end(self, pending: PendingRequest, now: float) -> None:
        del self.requests[pending.id]
        self._cancel_open_attempts(pending, now)

    def _cancel_open_attempts(self, pending: PendingRequest, now: float, keep: int = NO_ATTEMPT) -> None:
        if not self.settings.limits.cancellation:
            return
        for number, attempt in enumerate(pending.attempts):
            if attempt.is_open and number != keep:
                self.hedging.record_cancelled(pending, attempt, now)
                self._actions.append(Cancel(pending.id, number))

    def _record_outcome(self, pending: PendingRequest, attempt: Attempt, event: Outcome, now: float) -> None:
        """Pass an outcome to the components that learn from response times.

        It is not called while the request body is incomplete: that time does not measure the endpoint.
        """
        message = self.load_shedding.record_outcome(pending, event, now)
        if message is not None:
            self._actions.append(message)
        self.concurrency_limit.record_outcome(pending, event)
        self.hedging.record_outcome(pending, event)
        self.outliers.record_time_per_attempt(attempt, event, now)
