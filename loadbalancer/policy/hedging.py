"""Determines how long an attempt may go without a first byte before a hedged request is considered."""

from __future__ import annotations

from loadbalancer.policy.estimators import StreamingQuantile
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.idle_connections import IdleConnections
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import Effect, PolicyLimits

DEFAULT_USEFUL_TIME_SHARE = 0.5  # of the useful time, if the deployment sets neither delay nor quantile


class Hedging:
    """Computes the delay of the hedge check: a fixed time, a latency quantile, or a share of time left."""

    def __init__(self, limits: PolicyLimits, class_count: int, idle_connections: IdleConnections) -> None:
        self._limits = limits
        self._class_count = class_count
        self._idle_connections = idle_connections
        self._latency_quantiles: list[StreamingQuantile] = []

    def check_delay(self, pending: PendingRequest, response_timeout: float, now: float) -> float | None:
        """Return the seconds after which the request's first attempt is checked; None for never.

        If hedging is off, the check cancels the first attempt before the next is sent. A proxy that sends
        little knows little about queues: near full load it would cancel attempts that are merely slow, while
        the endpoint may go on with the work. So such a proxy waits until the endpoint counts as unresponsive.

        Args:
            pending: The request.
            response_timeout: Seconds without a first byte after which an endpoint is unresponsive.
            now: The time, in seconds.
        """
        if pending.request_class.effect == Effect.UNSAFE or pending.max_attempts <= 1:
            return None
        useful_time = pending.useful_until - now
        delay = self._configured_delay(pending.class_index) or DEFAULT_USEFUL_TIME_SHARE * useful_time
        if self._limits.hedging or not self._idle_connections.are_too_sparse(now):
            return delay
        delay = max(delay, response_timeout)
        return delay if delay < useful_time else None

    def _configured_delay(self, class_index: int) -> float:
        """Return the quantile once it is ready, else the fixed delay, in seconds; 0 if neither is available.

        If all endpoints become slow at once, more attempts than the quantile's share exceed it; the retry
        budget and load shedding limit the hedged requests.
        """
        if self._latency_quantiles:
            quantile = self._latency_quantiles[class_index]
            if quantile.is_ready:
                return quantile.value
        return self._limits.hedge_delay

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        """Update the latency quantile from the end of an attempt.

        An attempt that was cancelled or timed out would have taken longer than measured, so it counts only if
        the measured time already reaches the quantile. Without those that hedged requests cut short, the
        quantile would be too low.
        """
        if not self._limits.hedge_quantile:
            return
        if not self._latency_quantiles:
            share = self._limits.hedge_quantile
            self._latency_quantiles = [StreamingQuantile(share) for _ in range(self._class_count)]
        response_time = event.response_time
        quantile = self._latency_quantiles[pending.class_index]
        cancelled_early = event.result == AttemptResult.CANCELLED and not pending.streaming
        cut_short = event.result == AttemptResult.TIMEOUT or cancelled_early
        counts = cut_short and response_time >= quantile.value or event.result == AttemptResult.SERVED
        if response_time > 0 and counts:
            quantile.record(response_time)

    def record_cancelled(self, pending: PendingRequest, attempt: Attempt, now: float) -> None:
        """Update the quantile from an attempt that is cancelled as another answers or the request ends."""
        if not self._latency_quantiles or pending.body_pending:
            return
        quantile = self._latency_quantiles[pending.class_index]
        elapsed = now - attempt.sent_at
        if elapsed >= quantile.value:
            quantile.record(elapsed)
