"""Hedged requests: how long an attempt may be without a first byte before a second one is sent."""

from __future__ import annotations

from loadbalancer.policy.estimators import StreamingQuantile
from loadbalancer.policy.events import AttemptResult, Outcome
from loadbalancer.policy.idle_connections import IdleConnections
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import Effect, PolicyLimits

DEFAULT_USEFUL_TIME_SHARE = 0.5  # of the useful time, where the deployment sets neither time nor quantile


class Hedging:
    """The delay of the hedge check: a fixed time, a quantile of the answers, or a share of the time left."""

    def __init__(self, limits: PolicyLimits, class_count: int, idle_connections: IdleConnections) -> None:
        self._limits = limits
        self._class_count = class_count
        self._idle_connections = idle_connections
        self._latency_quantiles: list[StreamingQuantile] = []

    def check_delay(self, pending: PendingRequest, response_timeout: float, now: float) -> float | None:
        """Return the seconds after which the request's first attempt is looked at again; None for never.

        Where no two attempts may be out, the first is cancelled for the next. A proxy that sends little knows
        little of queues: near full load it would cancel answers that take what they take, while the endpoint
        may go on with the work. So it waits until the endpoint counts as unresponsive, which then holds the
        request.

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
        """Return seconds; 0 where neither a time nor a quantile is set, or nothing can be said yet.

        Where all endpoints are slow at once, as many hedged requests as the quantile leaves over go out; the
        retry budget and load shedding bound them.
        """
        if self._latency_quantiles:
            quantile = self._latency_quantiles[class_index]
            if quantile.is_ready:
                return quantile.value
        return self._limits.hedge_delay

    def record_outcome(self, pending: PendingRequest, event: Outcome) -> None:
        """Learn from the end of an attempt.

        One that was cancelled, or ran out of time, took longer than is seen: it counts where that is over the
        quantile already. Left out, those that hedged requests cut short would pull the quantile down.
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
        """Learn from an attempt that is cancelled because another answered; its outcome finds no request."""
        if not self._latency_quantiles or pending.body_pending:
            return
        quantile = self._latency_quantiles[pending.class_index]
        elapsed = now - attempt.sent_at
        if elapsed >= quantile.value:
            quantile.record(elapsed)
