"""Handles events from the client of an open request: its body completes or fails, or the client disconnects."""

from __future__ import annotations

from typing import Callable

from loadbalancer.metrics import RequestResult, result_of_status
from loadbalancer.policy.events import BodyProgress, ClientCancelled, Event
from loadbalancer.proxy.attempt_runner import AttemptRunner
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable

BAD_GATEWAY = 502


class PoolRequestOwner:
    """The `RequestOwner` of all open requests of a pool."""

    def __init__(self, table: RequestTable, attempts: AttemptRunner, post: Callable[[Event], None]) -> None:
        self._table = table
        self._attempts = attempts
        self._post = post

    def cancel_by_client(self, request: OpenRequest) -> None:
        """Cancel a request whose client has disconnected."""
        if request.done:
            return
        self._table.finish(request, RequestResult.FAILED)
        if request.stream is not None:
            request.stream.detach_consumer()
        self._post(ClientCancelled(request.id))
        if not request.is_complete:
            self._attempts.cancel_all(request)

    def uploaded(self, request: OpenRequest) -> None:
        """Start the timeouts of a request whose streamed body has been received completely."""
        if request.done or request.is_complete:
            return
        request.is_complete = True
        self._table.start_clock(request)
        self._attempts.restart_clocks(request)
        self._post_body_progress(request)

    def upload_not_replayable(self, request: OpenRequest) -> None:
        """Tell the policy that a streamed body can no longer be replayed: bytes were sent and are not buffered."""
        if not request.done:
            self._post_body_progress(request)

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        """End a request whose streamed body stays incomplete: without its last byte it has not run."""
        if request.done:
            return
        self._table.finish(request, result_of_status(status))
        request.client.answer(status, [], b"", close=True)
        self._post(ClientCancelled(request.id))
        self._attempts.cancel_all(request)

    def abandon(self, request: OpenRequest) -> None:
        """Fail a request without a decision of the policy, which is told and cancels the attempts in flight."""
        if request.done:
            return
        self._table.finish(request, RequestResult.FAILED)
        if request.stream is not None:
            request.stream.abort()
        else:
            request.client.answer(BAD_GATEWAY, [], b"")
        self._post(ClientCancelled(request.id))

    def _post_body_progress(self, request: OpenRequest) -> None:
        assert request.upload is not None
        is_replayable = request.upload.kept_bytes is not None
        self._post(BodyProgress(request.id, request.is_complete, is_replayable))
