"""What becomes of a taken request on its client's side: its body is complete or lost, or the client leaves."""

from __future__ import annotations

from typing import Callable

from loadbalancer.metrics import RequestResult, result_of_status
from loadbalancer.policy.events import BodyProgress, ClientCancelled, Event
from loadbalancer.proxy.attempt_runner import AttemptRunner
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable

BAD_GATEWAY = 502


class PoolRequestOwner:
    """The `RequestOwner` of all requests that a pool has taken."""

    def __init__(self, table: RequestTable, attempts: AttemptRunner, post: Callable[[Event], None]) -> None:
        self._table = table
        self._attempts = attempts
        self._post = post

    def cancel_by_client(self, request: OpenRequest) -> None:
        """The client has gone."""
        if request.done:
            return
        self._table.finish(request, RequestResult.FAILED)
        if request.stream is not None:
            request.stream.detach_consumer()
        self._post(ClientCancelled(request.id))
        if not request.is_complete:
            self._attempts.cancel_all(request)

    def uploaded(self, request: OpenRequest) -> None:
        """The last byte of a body has come that is sent on as it comes."""
        if request.done or request.is_complete:
            return
        request.is_complete = True
        self._table.start_clock(request)
        self._attempts.restart_clocks(request)
        self._post_body_progress(request)

    def upload_lost(self, request: OpenRequest) -> None:
        """A byte of such a body has left and is not kept."""
        if not request.done:
            self._post_body_progress(request)

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        """The client sends no more of such a body: it never became a request, and has not run."""
        if request.done:
            return
        self._table.finish(request, result_of_status(status))
        request.client.answer(status, [], b"", close=True)
        self._post(ClientCancelled(request.id))
        self._attempts.cancel_all(request)

    def abandon(self, request: OpenRequest) -> None:
        """Fail a request without the policy's decision; the policy is told, and cancels what is still out."""
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
