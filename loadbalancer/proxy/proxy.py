"""The proxy of one pool, between sockets and the policy: passes events in and carries out actions, in order.

Front ends submit requests, and upstream connections report the progress of attempts. Each request gets one final
answer, and each `Send` one `Outcome`.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import EndpointSource, Entry
from loadbalancer.event_loop_lag import EventLoopLag
from loadbalancer.memory_account import BufferBudget, MemoryAccount
from loadbalancer.metrics import PoolMetrics, RequestResult, result_of_status
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    Event,
    FirstByte,
    Request,
)
from loadbalancer.policy.settings import Effect
from loadbalancer.proxy.answer_writer import AnswerWriter
from loadbalancer.proxy.attempt_runner import AttemptRunner, PolicyClock
from loadbalancer.proxy.endpoint_directory import EndpointDirectory
from loadbalancer.proxy.interfaces import ProcessorShare, TunnelClient
from loadbalancer.proxy.late_answers import DECISION_GRACE_S, LateAnswers
from loadbalancer.proxy.open_requests import OpenRequest
from loadbalancer.proxy.policy_driver import PolicyDriver
from loadbalancer.proxy.request_owner import BAD_GATEWAY, PoolRequestOwner
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.proxy.response_streams import ResponseStreams
from loadbalancer.proxy.send_permission import SendPermission
from loadbalancer.proxy.transaction_ids import TransactionIds, kept_s
from loadbalancer.resource_limits import MAX_STREAMED_BODY_BYTES, PoolLimits, RateLimitedLogger
from loadbalancer.streaming.streams import Stream, StreamProducer
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd, TunnelLimits, Tunnels
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from loadbalancer.upstreams.interfaces import UpstreamResponse

if TYPE_CHECKING:  # loaded only if decisions are traced
    from loadbalancer.proxy.decision_trace import DecisionTrace
if TYPE_CHECKING:  # loaded only if operators can cordon endpoints
    from loadbalancer.discovery.platform_overrides import PlatformOverrides

SWEEP_S = 0.25
"""Seconds between two checks for idle connections, stalled streams and overdue tunnels."""
UPLOAD_SHARE = 0.25
"""Fraction of the descriptors for endpoints that streamed request bodies may hold."""
DEFAULT_RETRY_AFTER_S = 1
"""Seconds after which a client may retry that the proxy has rejected for reasons of its own."""


class Proxy:
    """Runs one pool: its open requests, their attempts and connections; the only caller of the policy.

    It owns its timers, its source of endpoints and its connections until `close`.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        limits: PoolLimits,
        logger: RateLimitedLogger,
        dialect: Dialect | None = None,
        connect: Callable[..., Upstream] = Http1UpstreamConnection,
        ids: TransactionIds | None = None,
        timeout_status: int = BAD_GATEWAY,
        tunnels: TunnelLimits | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Start without endpoints; must be called on the event loop.

        Args:
            deployment: Settings, and timeouts and limits of connections.
            seed: Seed of the policy's random choices.
            limits: Resources that the pool may use.
            logger: Receives log events.
            dialect: How answers of endpoints are interpreted; by default as the platform's endpoints mean them.
            connect: Creates connections to endpoints; HTTP/1.1 by default.
            ids: Transaction ids, shared by all pools whose requests have them.
            timeout_status: Status of the answer to a request that failed because its last attempt timed out.
            tunnels: Limits on connections that were upgraded to another protocol.
            account: The memory account of the process; by default the pool has one of its own.
        """
        self.logger = logger
        self.name = ""  # unique among the pools of the process
        self.fair_share: ProcessorShare | None = None  # None if this pool has the processor to itself
        self.retry_after_s = DEFAULT_RETRY_AFTER_S
        self.closed = False
        self.takes_uploads: bool = getattr(connect, "takes_uploads", False)
        self.max_open_requests = limits.max_open_requests
        self.balancer = Balancer(deployment.settings, seed)
        self.budget = BufferBudget(limits.buffered, account)
        self.metrics = PoolMetrics(len(deployment.settings.classes))
        self.tunnels = Tunnels(tunnels or TunnelLimits(), time.monotonic)
        self.ids = ids or TransactionIds(kept_s(deployment.settings.classes))
        self.dialect = dialect or _platform_dialect(deployment)
        self.upstreams = self._make_upstreams(deployment, limits, connect)
        self._compose(timeout_status)
        self._loop = asyncio.get_running_loop()
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    def _report_lag(self, lag_s: float) -> None:
        self.logger("held up", f"for {lag_s:.2f} s")

    def _make_upstreams(
        self, deployment: Deployment, limits: PoolLimits, connect: Callable[..., Upstream]
    ) -> UpstreamPools:
        return UpstreamPools(
            self,
            self.budget,
            self.logger,
            limits.backend_sockets,
            partial(connect, dialect=self.dialect, not_passed=self.dialect.not_passed()),
            deployment.settings.limits.connect_timeout,
            deployment.idle_timeout,
            deployment.max_idle_connections,
        )

    def _compose(self, timeout_status: int) -> None:
        self._clock = PolicyClock()
        self.permission = SendPermission(self.balancer, self._clock.now)
        self._lag = EventLoopLag(asyncio.get_running_loop(), self._report_lag)
        self._safe_classes = frozenset(
            number for number, cls in enumerate(self.balancer.settings.classes) if cls.effect == Effect.SAFE
        )
        self._table = RequestTable(self.metrics, self.budget, self.ids, self._safe_classes, self._on_overdue)
        self._answers = AnswerWriter(self._table, self.budget, self.dialect, timeout_status)
        self._streams = ResponseStreams(self._table)
        self._attempts = AttemptRunner(
            self._table,
            self.upstreams,
            self._answers,
            self._streams,
            self.ids,
            self.metrics,
            self._clock,
            self._lag,
            self.post,
            self.permission.may_arrive,
            LateAnswers(self._would_retry, self.dialect.late_answer_grace_s),
        )
        self._directory = EndpointDirectory(self.upstreams, self.tunnels, self.post)
        self._owner = PoolRequestOwner(self._table, self._attempts, self.post)
        self._driver = PolicyDriver(
            self.balancer,
            self._clock,
            self._table,
            self._answers,
            self._attempts,
            self.upstreams,
            self.logger,
            self.post,
            self._owner.abandon,
        )

    # Properties that other components read and set.

    @property
    def trace(self) -> DecisionTrace | None:
        """Trace of the decisions on the latest requests; None if it is off."""
        return self._driver.trace

    @trace.setter
    def trace(self, trace: DecisionTrace | None) -> None:
        self._driver.trace = trace

    @property
    def source(self) -> EndpointSource | None:
        """Source of the endpoint list; `close` closes it."""
        return self._driver.source

    @source.setter
    def source(self, source: EndpointSource | None) -> None:
        self._driver.source = source

    @property
    def open(self) -> dict[int, OpenRequest]:
        """The open requests, by number."""
        return self._table.open

    @property
    def streams(self) -> set[OpenRequest]:
        """The requests whose answers are being streamed."""
        return self._table.streaming

    @property
    def uploads(self) -> int:
        """The number of open requests whose bodies are streamed."""
        return self._table.open_uploads

    @property
    def listed(self) -> set[str]:
        """The endpoints that are listed."""
        return self._directory.listed

    @property
    def has_fresh_list(self) -> bool:
        """Whether a list, or a change to it, that is not stale has been received since the start."""
        return self._directory.fresh

    @property
    def overrides(self) -> PlatformOverrides | None:
        """The platform's overrides; None unless operators can cordon endpoints."""
        return self._directory.overrides

    @overrides.setter
    def overrides(self, overrides: PlatformOverrides | None) -> None:
        self._directory.overrides = overrides

    def now(self) -> float:
        """Return the policy's time, in seconds."""
        return self._clock.now()

    def attempt_counts(self) -> list[int]:
        """Count the attempts whose request was written completely, by class, including those in flight."""
        tries = list(self.metrics.tries)
        for request in self.open.values():
            if not request.open_attempts:
                continue
            for attempt in request.attempts:
                tries[request.class_index] += not attempt.ended and attempt.is_written()
        return tries

    def avoided_count(self) -> int:
        """Count the listed endpoints that get no requests now, by the policy, by an operator or for their state."""
        return sum(self.balancer.avoids(endpoint) for endpoint in self.listed)

    def lacks_lease(self) -> bool:
        """Return whether this instance has no lease; clients are then told to retry."""
        return self.permission.lacks_lease()

    def has_room(self) -> bool:
        """Return whether one more request may be opened.

        Without a limit, the requests of a pool that hangs would eventually hold every client connection, including
        those that clients of the other pools need.
        """
        if self.closed or len(self.open) >= self.max_open_requests:
            return False
        return self.fair_share is None or self.fair_share.admit(self.name)

    def may_upload(self) -> bool:
        """Return whether one more body may be streamed; each holds a connection for as long as its client sends."""
        return self.uploads < max(1, int(self.upstreams.sockets * UPLOAD_SHARE))

    def is_known(self, request: OpenRequest, class_index: int) -> bool:
        """Return whether a request with its transaction id is open, was unusable, or must not run again."""
        return self.ids.is_known(request.transaction, class_index in self._safe_classes)

    def can_remember(self, request: OpenRequest, class_index: int) -> bool:
        """Return whether the request's transaction id can be kept, so that it does not run twice; log it if not."""
        if self.ids.can_remember(request.transaction, class_index in self._safe_classes):
            return True
        self.logger("refused", "no place is left for the ids of requests that may have run")
        return False

    # The policy.

    def post(self, event: Event) -> None:
        """Pass an event to the policy; see `PolicyDriver.post`."""
        self._driver.post(event)

    # Called by front ends.

    def submit(
        self,
        request: OpenRequest,
        cls: int,
        time_remaining: float,
        tenant: int,
        key: str | None,
        expected_work: float | None,
        retry: bool,
        sticky_endpoint: str | None = None,
        sticky_required: bool = False,
    ) -> None:
        """Open a request and pass it to the policy.

        Args:
            request: The request.
            cls: Number of its class.
            time_remaining: Seconds until the client gives up.
            tenant: Number of its tenant.
            key: Its idempotency key.
            expected_work: The work that it is expected to cause, in seconds of a standard core.
            retry: Whether the client marks it as a retry.
            sticky_endpoint: The endpoint, or the domain of endpoints, of its sticky session.
            sticky_required: Whether it must not go to any other endpoint.
        """
        self._table.add(request, self._owner, cls, time_remaining)
        self.post(
            Request(
                request.id,
                cls,
                time_remaining,
                tenant,
                key,
                expected_work,
                retry,
                False,
                sticky_endpoint,
                not request.is_complete,
                sticky_required,
                request.max_attempts,
                request.retry_on,
            )
        )

    def drop(self, request: OpenRequest) -> None:
        """Release the body of a request that ends before it was submitted to the pool."""
        self._table.discard_body(request)

    def count_rejected(self, request: OpenRequest, cls: int, status: int) -> None:
        """Count a complete request that was answered with an error before it was submitted; it has not run."""
        self.drop(request)
        self.metrics.count(cls, result_of_status(status))

    def _would_retry(self, attempt: Attempt) -> bool:
        request = cast(OpenRequest, attempt.request)
        return self.balancer.would_retry(self.now(), request.id)

    def _on_overdue(self, request: OpenRequest) -> None:
        """Fail a request that the policy has not answered in time; the policy's own timers expire earlier."""
        self.logger("overdue request failed", request.id)
        for attempt in request.attempts:
            if not attempt.ended and attempt.is_written():
                self.upstreams.close_idle_if_silent(attempt)
        self._owner.abandon(request)

    # Called by upstream connections.

    def find_obstacle(self, attempt: Attempt, late: bool) -> AttemptResult | None:
        """Return the result of an attempt that must not be sent any more; see `AttemptOwner`."""
        return self.permission.find_obstacle(attempt, late)

    def finish_attempt(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None:
        """End an attempt; see `AttemptRunner.finish`."""
        self._attempts.finish(attempt, result, report, answer)

    def begin_answer(
        self, attempt: Attempt, answer: UpstreamResponse, producer: StreamProducer
    ) -> Stream | None:
        """Start to stream an answer; return None if its request has ended or streams another attempt's answer."""
        request = cast(OpenRequest, attempt.request)
        if request.done or request.stream is not None:
            attempt.drop()
            self._attempts.finish(attempt, AttemptResult.CANCELLED)
            return None
        stream = self._streams.begin(request, attempt, answer, producer)
        elapsed = self.now() - attempt.began_at
        self.post(FirstByte(request.id, attempt.number, attempt.endpoint, elapsed))
        return stream

    def begin_tunnel(self, attempt: Attempt, answer: UpstreamResponse, member: TunnelEnd) -> Tunnel | None:
        """Open a tunnel: the endpoint has accepted the upgrade, and the request counts as served.

        Returns:
            None if the request has ended or the pool has no room for another tunnel.
        """
        request = cast(OpenRequest, attempt.request)
        if request.done or not self.tunnels.has_room():
            return None
        client = cast(TunnelClient, request.client)
        tunnel = self.tunnels.open_tunnel(attempt.endpoint, client, member)
        request.answered_by_endpoint = True
        self._table.finish(request, RequestResult.PASSED)
        client.begin_tunnel(answer.lines, answer.reason, tunnel)
        self._attempts.finish(attempt, AttemptResult.SERVED)
        return tunnel

    # Called by sources of endpoints and for operators.

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """Apply an endpoint list, or a change to it; see `EndpointListener`."""
        self._directory.take_list(entries, whole, stale)

    def list_failed(self, busy: bool = False) -> None:
        """Report that a request for the list has failed; see `EndpointListener`."""
        self._directory.list_failed(busy)

    def cordon(self, endpoint: str, cordoned: bool) -> None:
        """Cordon an endpoint, or end its cordon; the endpoint need not be listed."""
        self._directory.cordon(endpoint, cordoned)

    # Limits and shutdown.

    def resize(self, limits: PoolLimits) -> None:
        """Apply new limits; idle connections in excess of them are closed."""
        self.budget.resize(limits.buffered)
        self.upstreams.resize(limits.backend_sockets)
        self.max_open_requests = limits.max_open_requests

    def _sweep(self) -> None:
        now = time.monotonic()
        self.upstreams.sweep(now)
        self._cut_stalled_streams(now)
        if self.tunnels.open:
            self.tunnels.sweep()
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    def _cut_stalled_streams(self, now: float) -> None:
        for request in self._streams.find_stalled(now):
            if request.done:
                continue
            self.logger("answer broken off", "nothing moved on it")
            attempt = request.attempts[request.streaming_attempt]
            attempt.drop()
            self._attempts.finish(attempt, AttemptResult.RESET)

    def retire(self) -> None:
        """Keep no idle connections; requests that are open or about to arrive are still served."""
        for endpoint in list(self.upstreams.endpoints):
            self.upstreams.retire(endpoint)
        self.tunnels.retire()

    def end_all(self) -> None:
        """Fail the requests that are still open, and admit no more: the process ends."""
        self.closed = True
        for request in list(self.open.values()):
            self._owner.abandon(request)

    def close(self) -> None:
        """Fail the requests that are still open, and release connections, timers and the source of endpoints."""
        self.end_all()
        self._attempts.close()
        self.tunnels.close()
        self._sweep_timer.cancel()
        self._lag.close()
        if self.source is not None:
            self.source.close()
            self.source = None
        for endpoint in list(self.upstreams.endpoints):
            self.upstreams.remove_endpoint(endpoint)


def _platform_dialect(deployment: Deployment) -> Dialect:
    """Return how answers of the platform's endpoints are interpreted."""
    return Dialect(
        report_fields=deployment.settings.report_fields,
        stream_most=MAX_STREAMED_BODY_BYTES,
        late_answer_grace_s=DECISION_GRACE_S,
        close_delimited=True,
    )
