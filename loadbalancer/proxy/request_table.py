"""The open requests of one pool; the only place where a request begins and ends."""

from __future__ import annotations

import asyncio
import time
from typing import Callable

from loadbalancer.memory_account import BufferBudget
from loadbalancer.metrics import PoolMetrics, RequestResult
from loadbalancer.proxy.open_requests import OpenRequest, RequestOwner
from loadbalancer.proxy.transaction_ids import TransactionIds

OVERDUE_S = 0.03
"""Seconds past its client's deadline after which a request is failed if the policy has not answered it."""


class RequestTable:
    """Holds the open requests; owns their numbers, timers, buffered bytes and transaction ids until `release`."""

    def __init__(
        self,
        metrics: PoolMetrics,
        budget: BufferBudget,
        ids: TransactionIds,
        safe_classes: frozenset[int],
        on_overdue: Callable[[OpenRequest], None],
    ) -> None:
        """Start without requests.

        Args:
            metrics: Counts the requests.
            budget: Budget that their bodies and kept answers are charged to.
            ids: Transaction ids, shared by all pools whose requests have them.
            safe_classes: Numbers of the classes whose requests may be repeated at will.
            on_overdue: Called for a request that has no answer though its client's deadline has passed.
        """
        self.open: dict[int, OpenRequest] = {}
        self.streaming: set[OpenRequest] = set()  # requests whose answers are streamed
        self.open_uploads = 0  # number of requests with streamed bodies
        self._metrics = metrics
        self._budget = budget
        self._ids = ids
        self._safe_classes = safe_classes
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._last_id = 0
        self._released: list[OpenRequest] = []

    def add(self, request: OpenRequest, owner: RequestOwner, class_index: int, time_remaining: float) -> None:
        """Add a request; `time_remaining` is the time in seconds from its last byte until its client gives up."""
        self._last_id += 1
        request.id = self._last_id
        request.class_index = class_index
        request.owner = owner
        request.time_remaining = time_remaining
        request.is_complete = request.upload is None or request.upload.is_complete
        self.open[request.id] = request
        self._ids.opened(request.transaction, class_index in self._safe_classes)
        if request.upload is not None:
            self.open_uploads += 1
        if request.is_complete:
            self.start_clock(request)

    def start_clock(self, request: OpenRequest) -> None:
        """Count a request as open and start its timeout: its last byte has been received."""
        self._metrics.open += 1
        request.deadline_at = time.monotonic() + request.time_remaining
        self._set_timer(request, request.time_remaining)

    def extend_clock(self, request: OpenRequest, time_left_s: float) -> None:
        """Let a request stay open for so many seconds more, since the answer that has begun may still come."""
        if request.timer is not None:
            request.timer.cancel()
        self._set_timer(request, time_left_s)

    def _set_timer(self, request: OpenRequest, delay_s: float) -> None:
        request.timer = self._loop.call_later(delay_s + OVERDUE_S, self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        request.timer = None
        if not request.done:
            self._on_overdue(request)

    def discard_body(self, request: OpenRequest) -> None:
        """Discard the body of a request and give its bytes back to the budget."""
        if request.body is not None:
            self._budget.release(len(request.body))
            request.body = None

    def finish(self, request: OpenRequest, result: RequestResult) -> None:
        """End a request; the caller sends the answer, if one is due."""
        request.done = True
        self.streaming.discard(request)
        self._metrics.open -= request.is_complete
        # An incomplete request is not counted, unless its client is told to retry.
        if request.is_complete or result == RequestResult.DROPPED:
            self._metrics.count(request.class_index, result)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        if request.open_attempts == 0:
            self.release(request)

    def release(self, request: OpenRequest) -> None:
        """Free all resources of a request that has ended and whose attempts have ended."""
        request.is_released = True
        self.discard_body(request)
        if request.upload is not None:
            request.upload.close()
            self.open_uploads -= 1
        if request.kept_error is not None:
            self._budget.release(len(request.kept_error.body))
            request.kept_error = None
        self._ids.ended(request.transaction, request.may_have_run)
        self._released.append(request)

    def forget_released(self) -> None:
        """Remove the released requests; called once the policy has handled all events on them."""
        for request in self._released:
            self.open.pop(request.id, None)
            request.attempts.clear()  # breaks the reference cycle between request and attempts
        self._released.clear()
