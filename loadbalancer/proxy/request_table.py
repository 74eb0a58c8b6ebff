"""The open requests of one pool: the one place where a request begins and ends."""

from __future__ import annotations

import asyncio
from typing import Callable

from loadbalancer.metrics import PoolMetrics, RequestResult
from loadbalancer.proxy.open_requests import OpenRequest, RequestOwner, TransactionIds
from loadbalancer.resource_limits import BufferBudget

OVERDUE_S = 0.03
"""Seconds past its client's time after which a request is failed that the policy has not answered."""


class RequestTable:
    """Owns the open requests: their numbers, timers, buffered bytes and transaction ids until `release`."""

    def __init__(
        self,
        metrics: PoolMetrics,
        budget: BufferBudget,
        ids: TransactionIds,
        on_overdue: Callable[[OpenRequest], None],
    ) -> None:
        """Begin without requests.

        Args:
            metrics: Counts them.
            budget: What their bodies and kept answers are taken from.
            ids: Transaction ids, shared by all pools whose requests have them.
            on_overdue: Called for a request that has no answer though its client's time is up.
        """
        self.open: dict[int, OpenRequest] = {}
        self.streaming: set[OpenRequest] = set()  # whose answers are passed on as they come
        self.open_uploads = 0  # whose bodies are passed on as they come
        self._metrics = metrics
        self._budget = budget
        self._ids = ids
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._last_id = 0
        self._released: list[OpenRequest] = []

    def add(self, request: OpenRequest, owner: RequestOwner, class_index: int, time_remaining: float) -> None:
        """Take a request; `time_remaining`: seconds from its last byte until its client gives up."""
        self._last_id += 1
        request.id = self._last_id
        request.class_index = class_index
        request.owner = owner
        request.time_remaining = time_remaining
        request.is_complete = request.upload is None or request.upload.is_complete
        self.open[request.id] = request
        self._ids.opened(request.transaction)
        if request.upload is not None:
            self.open_uploads += 1
        if request.is_complete:
            self.start_clock(request)

    def start_clock(self, request: OpenRequest) -> None:
        """Count a request and its time: its last byte has come."""
        self._metrics.open += 1
        request.timer = self._loop.call_later(request.time_remaining + OVERDUE_S, self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        request.timer = None
        if not request.done:
            self._on_overdue(request)

    def discard_body(self, request: OpenRequest) -> None:
        """Give the bytes of its body back."""
        if request.body is not None:
            self._budget.release(len(request.body))
            request.body = None

    def finish(self, request: OpenRequest, result: RequestResult) -> None:
        """End a request; the caller gives the answer, where one is due."""
        request.done = True
        self.streaming.discard(request)
        self._metrics.open -= request.is_complete
        # What never came whole was no request, unless its client is told to try again.
        if request.is_complete or result == RequestResult.DROPPED:
            self._metrics.count(request.class_index, result)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        if request.open_attempts == 0:
            self.release(request)

    def release(self, request: OpenRequest) -> None:
        """Give back all that is held for a request that has ended, and whose attempts have."""
        request.is_released = True
        self.discard_body(request)
        if request.upload is not None:
            request.upload.close()
            self.open_uploads -= 1
        if request.kept_error is not None:
            self._budget.release(len(request.kept_error.body))
            request.kept_error = None
        self._ids.ended(request.transaction)
        self._released.append(request)

    def forget_released(self) -> None:
        """Remove the requests that were released; to be called once the policy knows all of them."""
        for request in self._released:
            self.open.pop(request.id, None)
            request.attempts.clear()  # request and attempts refer to each other
        self._released.clear()
