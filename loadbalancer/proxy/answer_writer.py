"""Writes the final answers of requests that an endpoint has answered or that the policy rejects or fails."""

from __future__ import annotations

from loadbalancer.memory_account import BufferBudget
from loadbalancer.metrics import RequestResult, result_of_status
from loadbalancer.proxy.final_answers import (
    FinalAnswer,
    answer_failed,
    answer_rejected,
    is_better,
    proxy_status,
)
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.interfaces import UpstreamResponse


class AnswerWriter:
    """Writes the final answers of one pool's requests."""

    def __init__(
        self, table: RequestTable, budget: BufferBudget, dialect: Dialect, timeout_status: int
    ) -> None:
        """Create the writer of one pool.

        Args:
            table: The open requests.
            budget: Budget that kept answers are charged to.
            dialect: How answers of endpoints are interpreted.
            timeout_status: Status of the answer to a request whose last attempt timed out.
        """
        self._table = table
        self._budget = budget
        self._dialect = dialect
        self._timeout_status = timeout_status

    def serve(self, request: OpenRequest, response: UpstreamResponse) -> None:
        """Answer a request with an endpoint's answer."""
        request.answered_by_endpoint = True
        self._table.finish(request, RequestResult.PASSED)
        self._pass_on(request, response)

    def reject(self, request: OpenRequest, retry_after: float) -> None:
        """Answer that a retry is safe; `retry_after` is in seconds, 0 for no Retry-After header."""
        lines = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after else []
        self._write(request, answer_rejected(request.kept_error, request.last_result), lines)

    def fail(self, request: OpenRequest) -> None:
        """Answer that the request may have run."""
        answer = answer_failed(
            request.kept_error, request.is_unusable, request.last_result, self._timeout_status
        )
        self._write(request, answer, [])

    def handle_error(self, request: OpenRequest, response: UpstreamResponse) -> None:
        """Handle an error answer of an endpoint.

        If a retry may help, the answer is kept as a possible final answer while other attempts may follow. Otherwise it
        is the application's answer, and the client gets it.
        """
        if self._is_retryable(request, response):
            self._keep_error(request, response)
        else:
            self._write(request, FinalAnswer(response), [])

    def _is_retryable(self, request: OpenRequest, response: UpstreamResponse) -> bool:
        if response.asks_for_retry:
            return True
        if request.retry_statuses is not None:
            return response.status in request.retry_statuses
        return self._dialect.is_retryable_status(response.status)

    def _keep_error(self, request: OpenRequest, response: UpstreamResponse) -> None:
        if not is_better(request.kept_error, response):
            return
        if not self._budget.try_acquire_upload(len(response.body)):
            return
        if request.kept_error is not None:
            self._budget.release(len(request.kept_error.body))
        request.kept_error = response

    def _write(self, request: OpenRequest, answer: FinalAnswer, lines: list[bytes]) -> None:
        """Answer a request; `lines` are header lines for the proxy's own answer."""
        response = answer.endpoint_response
        status = answer.status if response is None else response.status
        self._table.finish(request, result_of_status(status))
        if response is not None:
            self._pass_on(request, response)
            return
        if not self._dialect.platform:
            lines = [*lines, proxy_status(answer.error)]
        request.client.answer(answer.status, lines, b"", close=answer.close)

    @staticmethod
    def _pass_on(request: OpenRequest, response: UpstreamResponse) -> None:
        lines = request.response_lines(response)
        request.client.answer(response.status, lines, response.body, False, response.length, response.reason)
