"""Starts and ends streamed answers, and finds those that have stalled."""

from __future__ import annotations

from loadbalancer.metrics import RequestResult
from loadbalancer.policy.events import AttemptResult
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.streaming.streams import STALL_S, Stream, StreamProducer
from loadbalancer.upstreams.connections import Attempt
from loadbalancer.upstreams.interfaces import UpstreamResponse


class ResponseStreams:
    """Manages the streamed answers of one pool; each stream is owned by its request and ends with it."""

    def __init__(self, table: RequestTable) -> None:
        self._table = table

    def begin(
        self,
        request: OpenRequest,
        attempt: Attempt,
        response: UpstreamResponse,
        producer: StreamProducer,
    ) -> Stream:
        """Start to stream an answer; from now on no other attempt can answer the request."""
        request.streaming_attempt = attempt.number
        for timer in (attempt.timer, request.timer):
            if timer is not None:
                timer.cancel()
        attempt.timer = None
        request.timer = None
        stream = Stream(producer, request.client)
        request.stream = stream
        self._table.streaming.add(request)
        lines = request.response_lines(response)
        request.client.begin_answer(response.status, lines, response.length, response.reason, stream)
        return stream

    def end(self, request: OpenRequest, result: AttemptResult) -> None:
        """End a request because the attempt that streams its answer has ended."""
        stream = request.stream
        assert stream is not None
        if result == AttemptResult.SERVED:
            self._table.finish(request, RequestResult.PASSED)
            stream.end()
        else:
            self._table.finish(request, RequestResult.FAILED)
            stream.abort()

    def find_stalled(self, now: float) -> list[OpenRequest]:
        """Return the requests whose streams have made no progress for longer than `STALL_S`.

        Args:
            now: Monotonic time in seconds.
        """
        stalled = []
        for request in self._table.streaming:
            assert request.stream is not None
            if not request.stream.is_stalled():
                request.stream_moved_at = now
            elif now - request.stream_moved_at > STALL_S:
                stalled.append(request)
        return stalled
