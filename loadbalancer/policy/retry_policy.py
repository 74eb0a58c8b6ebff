"""Decides whether and where a request may have another attempt, and keeps the retry budget."""

from __future__ import annotations

from loadbalancer.policy import idempotency
from loadbalancer.policy.endpoints import EndpointPool, EndpointRegistry
from loadbalancer.policy.events import AttemptResult
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import PolicyLimits

MAX_RETRY_TOKENS = 10.0  # maximum of the retry budget

#: Results of attempts that reached no endpoint: a retry after them adds no load, so it needs no budget.
_BUDGET_EXEMPT = frozenset((AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT))


class RetryPolicy:
    """Applies the limits on attempts, and keeps the retry budget, to which each request adds a share."""

    def __init__(self, limits: PolicyLimits, registry: EndpointRegistry) -> None:
        self._limits = limits
        self._registry = registry
        self.tokens = MAX_RETRY_TOKENS

    def record_request(self) -> None:
        """Add a new request's share to the budget."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + self._limits.retry_budget_ratio)

    def record_retry(self) -> None:
        """Subtract a retry from the budget."""
        self.tokens -= 1

    def has_budget(self) -> bool:
        """Return whether the budget permits a retry that adds load."""
        return self.tokens >= 1

    def is_budget_exempt(self, result: AttemptResult) -> bool:
        """Return whether a retry after this result does not count against the budget."""
        return result in _BUDGET_EXEMPT

    def is_retryable(self, pending: PendingRequest, result: AttemptResult) -> bool:
        """Return whether the settings of the route or deployment allow a retry after this result.

        A cancelled attempt counts as timed out: it was cancelled because it took too long.
        """
        cause = AttemptResult.TIMEOUT if result == AttemptResult.CANCELLED else result
        return pending.retry_on is None or cause in pending.retry_on

    def restore_unsent_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Allow another attempt in place of one that was never sent, up to twice the limit."""
        attempt.was_not_sent = True
        pending.max_attempts = min(pending.max_attempts + 1, 2 * self._limits.max_attempts)

    def has_time(self, pending: PendingRequest, now: float) -> bool:
        """Return whether an answer would still be of use."""
        return pending.useful_until - now > 0 or pending.body_pending

    def next_pool(
        self, pending: PendingRequest, now: float, after_cancel: bool = False
    ) -> EndpointPool | None:
        """Return the pool that the next attempt may go to, or None if no attempt is allowed.

        Args:
            pending: The request, with or without earlier attempts.
            now: The time, in seconds.
            after_cancel: Whether to assume that the open attempts have been cancelled.
        """
        attempts = pending.attempts
        if pending.streaming or len(attempts) >= pending.max_attempts:
            return None
        may_overlap = self._limits.hedging and not pending.body_pending or after_cancel
        if not may_overlap and pending.has_open_attempt():
            return None
        if attempts and not pending.replayable:
            return None
        first = idempotency.first_that_may_have_run(attempts)
        if not idempotency.may_run_again(pending.request_class, first, now):
            return None
        return idempotency.allowed_pool(pending.request_class, first, self._registry)

    def may_still_be_sent(self, pending: PendingRequest, attempt_number: int, now: float) -> bool:
        """Return whether the other attempts still permit one that has connected or is being written."""
        others = [attempt for number, attempt in enumerate(pending.attempts) if number != attempt_number]
        if not self._limits.hedging and any(attempt.is_open for attempt in others):
            return False
        first = idempotency.first_that_may_have_run(others)
        return idempotency.may_run_again(pending.request_class, first, now)
