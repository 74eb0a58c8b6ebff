"""Sends, times out and cancels attempts; the only place where an attempt ends."""

from __future__ import annotations

import asyncio
import time
from typing import Callable, Mapping, cast

from loadbalancer.event_loop_lag import EventLoopLag
from loadbalancer.metrics import PoolMetrics
from loadbalancer.policy.actions import Send
from loadbalancer.policy.events import NEVER_RAN, AttemptResult, Event, Outcome
from loadbalancer.proxy.answer_writer import AnswerWriter
from loadbalancer.proxy.late_answers import LateAnswers, Verdict
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.proxy.response_streams import ResponseStreams
from loadbalancer.proxy.send_monitor import SendMonitor
from loadbalancer.proxy.transaction_ids import TransactionIds
from loadbalancer.read_first_timer import ReadFirstTimer
from loadbalancer.upstreams.connections import Attempt, UpstreamPools
from loadbalancer.upstreams.interfaces import UpstreamResponse


class PolicyClock:
    """The policy's clock: Unix time at the start plus the monotonic time since.

    It never goes backwards, and can be compared with the start times of endpoints.
    """

    def __init__(self) -> None:
        self.epoch = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds."""
        return self.epoch + time.monotonic()


class AttemptRunner:
    """Runs the attempts of one pool; each has exactly one outcome, which is posted to the policy."""

    def __init__(
        self,
        table: RequestTable,
        upstreams: UpstreamPools,
        answers: AnswerWriter,
        streams: ResponseStreams,
        ids: TransactionIds,
        metrics: PoolMetrics,
        clock: PolicyClock,
        lag: EventLoopLag,
        post: Callable[[Event], None],
        may_arrive: Callable[[Attempt, float], bool],
        late_answers: LateAnswers,
    ) -> None:
        self._table = table
        self._upstreams = upstreams
        self._answers = answers
        self._streams = streams
        self._ids = ids
        self._metrics = metrics
        self._clock = clock
        self._lag = lag
        self._post = post
        self._late_answers = late_answers
        self._loop = asyncio.get_running_loop()
        self._sends = SendMonitor(may_arrive, self.revoke)

    def send(self, action: Send) -> None:
        """Start an attempt."""
        request = self._table.open[action.request]
        number = len(request.attempts)
        attempt = Attempt(request, number, action.endpoint, self._clock.now(), action.timeout)
        request.attempts.append(attempt)
        request.open_attempts += 1
        self._lag.begin()
        if request.done:
            self.finish(attempt, AttemptResult.NOT_SENT)
            return
        if request.is_complete:
            self._start_timer(attempt)
        self._upstreams.send(attempt)
        if not attempt.ended:
            self._sends.watch(attempt)

    def restart_clocks(self, request: OpenRequest) -> None:
        """Restart the timeouts of a request's open attempts: its last byte has been received."""
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.began_at = self._clock.now()
                self._start_timer(attempt)

    def _start_timer(self, attempt: Attempt) -> None:
        attempt.timer = self._loop.call_later(attempt.timeout, self.time_out, attempt)

    def time_out(self, attempt: Attempt) -> None:
        """End an attempt that has timed out, unless its answer has begun and can be streamed from now on or later.

        A long answer would otherwise be cut off only because its length is not stated. If the request was not written
        completely, the endpoint has not run it, and the timeout indicates a problem of the connection rather than of
        the endpoint's load.
        """
        attempt.timer = None
        attempt.timed_out_at = attempt.timed_out_at or time.monotonic()
        verdict = self._late_answers.judge(attempt)
        if verdict == Verdict.WAIT:
            self._wait_longer(attempt)
        elif verdict == Verdict.END or not attempt.pass_on_partial_answer():
            self._end_timed_out(attempt)

    def _wait_longer(self, attempt: Attempt) -> None:
        delay_s = self._late_answers.next_check_s(attempt)
        attempt.timer = ReadFirstTimer(self._loop, delay_s, self.time_out, attempt)
        self._table.extend_clock(cast(OpenRequest, attempt.request), self._late_answers.time_left_s(attempt))

    def _end_timed_out(self, attempt: Attempt) -> None:
        attempt.drop()  # first: a multiplexed connection still sends what it has buffered of the request
        written = attempt.is_written()
        state = "no answer" if written else "not sent"
        self._upstreams.logger(
            "attempt timed out", f"{state} in {attempt.timeout:.2f} s at {attempt.endpoint}"
        )
        if written:
            self._upstreams.close_idle_if_silent(attempt)
        self.finish(attempt, AttemptResult.TIMEOUT if written else AttemptResult.NO_CONNECTION)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose answer is no longer needed, unless it has begun for a request that has none yet.

        If its request is still open and the attempt still waits for a connection, it counts as not sent.
        """
        if attempt.ended:
            return
        request = cast(OpenRequest, attempt.request)
        if not request.done and request.stream is None and attempt.find_partial_answer() is not None:
            return  # what becomes of it is decided when its time is over
        is_unsent = not request.done and not attempt.has_started()
        attempt.drop()
        self.finish(attempt, AttemptResult.NOT_SENT if is_unsent else AttemptResult.CANCELLED)

    def revoke(self, attempt: Attempt) -> None:
        """End an attempt that must not reach its endpoint any more, and whose last byte has not arrived there.

        If its request still waits for an answer, its endpoint has held it back; otherwise that says nothing of it.
        """
        attempt.take_back()
        written = attempt.is_written()
        state = "its end had not arrived" if written else "not sent"
        self._upstreams.logger("attempt revoked", f"{state} at {attempt.endpoint}")
        is_cancelled = written or cast(OpenRequest, attempt.request).done
        self.finish(attempt, AttemptResult.CANCELLED if is_cancelled else AttemptResult.NO_CONNECTION)

    def close(self) -> None:
        """End the attempts whose last byte has not arrived; nothing more of them leaves."""
        self._sends.close()

    def cancel_all(self, request: OpenRequest) -> None:
        """Cancel all attempts of a request whose body stays incomplete, also those that the policy may not cancel."""
        for attempt in list(request.attempts):
            self.cancel(attempt)

    def finish(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        response: UpstreamResponse | None = None,
    ) -> None:
        """End an attempt: answer its request if it brings the answer, and post the outcome to the policy.

        Args:
            attempt: The attempt; ignored if it has ended already.
            result: How it ended.
            report: The load report of the endpoint.
            response: Its answer, if it is buffered completely.
        """
        if attempt.ended:
            return
        attempt.ended = True
        self._lag.end()
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        request = cast(OpenRequest, attempt.request)
        self._count(request, attempt, result)
        self._answer(request, attempt, result, response)
        self._post_outcome(request, attempt, result, report)

    def _count(self, request: OpenRequest, attempt: Attempt, result: AttemptResult) -> None:
        request.open_attempts -= 1
        request.last_result = result
        if result not in NEVER_RAN:
            request.may_have_run = True
        self._metrics.tries[request.class_index] += attempt.is_written()

    def _answer(
        self,
        request: OpenRequest,
        attempt: Attempt,
        result: AttemptResult,
        response: UpstreamResponse | None,
    ) -> None:
        """Answer the request if this attempt brings the answer."""
        if attempt.number == request.streaming_attempt and not request.done:
            self._streams.end(request, result)
        if result == AttemptResult.UNUSABLE:
            request.is_unusable = True
            self._ids.found_unusable(request.transaction)
        elif result == AttemptResult.ERROR and response is not None and not request.done:
            self._answers.handle_error(request, response)
        if request.done:
            if request.open_attempts == 0 and not request.is_released:
                self._table.release(request)
        elif result == AttemptResult.SERVED:
            assert response is not None
            self._answers.serve(request, response)

    def _post_outcome(
        self,
        request: OpenRequest,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None,
    ) -> None:
        now = self._clock.now()
        answered_at = self._clock.epoch + attempt.answered_at if attempt.answered_at else None
        lag = self._lag.between(
            attempt.began_at - self._clock.epoch, (answered_at or now) - self._clock.epoch
        )
        self._post(
            Outcome(
                request.id,
                attempt.number,
                attempt.endpoint,
                result,
                now - attempt.began_at,
                request.done,
                report,
                None if answered_at is None else answered_at - attempt.began_at,
                lag,
            )
        )
