"""The proxy between its sockets and the policy: events go in, actions are carried out, in order.

Front ends hand requests in, upstream connections tell how attempts go; each
request gets one final answer, and each `Send` one `Outcome`.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING, Callable, Mapping, cast

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import EndpointSource, Entry
from loadbalancer.event_loop_lag import EventLoopLag
from loadbalancer.metrics import PoolMetrics, RequestResult, result_of_status
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    Event,
    FirstByte,
    Request,
)
from loadbalancer.proxy.answer_writer import AnswerWriter
from loadbalancer.proxy.attempt_runner import AttemptRunner, PolicyClock
from loadbalancer.proxy.endpoint_directory import EndpointDirectory
from loadbalancer.proxy.interfaces import ProcessorShare, TunnelClient
from loadbalancer.proxy.open_requests import OpenRequest, TransactionIds
from loadbalancer.proxy.policy_driver import PolicyDriver
from loadbalancer.proxy.request_owner import BAD_GATEWAY, PoolRequestOwner
from loadbalancer.proxy.request_table import RequestTable
from loadbalancer.proxy.response_streams import ResponseStreams
from loadbalancer.resource_limits import (
    MAX_STREAMED_BODY_BYTES,
    BufferBudget,
    PoolLimits,
    RateLimitedLogger,
)
from loadbalancer.streaming.streams import Stream, StreamProducer
from loadbalancer.streaming.tunnels import Tunnel, TunnelEnd, TunnelLimits, Tunnels
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.http1 import Http1UpstreamConnection
from loadbalancer.upstreams.interfaces import UpstreamResponse

if TYPE_CHECKING:  # loaded where operators may ask why
    from loadbalancer.proxy.decision_trace import DecisionTrace
if TYPE_CHECKING:  # loaded where operators can cordon endpoints
    from loadbalancer.discovery.platform_overrides import PlatformOverrides

SWEEP_S = 0.25
"""Seconds between two looks at limits in time."""
UPLOAD_SHARE = 0.25
"""Share of the descriptors for endpoints that may be held by bodies that are sent on as they come."""
DEFAULT_RETRY_AFTER_S = 1
"""Seconds after which a client may come back that is told to return for the proxy's sake."""


class Proxy:
    """One pool: its open requests, their attempts and connections; the only caller of the policy.

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
    ) -> None:
        """Begin without endpoints; to be called on the loop.

        Args:
            deployment: Settings, and times of connections.
            seed: Of the policy's random choices.
            limits: What the pool may hold.
            logger: Gets events.
            dialect: What endpoints mean by their answers; the platform's if it is not given.
            connect: Makes connections to endpoints; HTTP/1.1 if it is not given.
            ids: Transaction ids, shared by all pools whose requests have them.
            timeout_status: Of the answer to a request that failed because its last attempt took too long.
            tunnels: Limits on connections that have gone over to another protocol.
        """
        self.logger = logger
        self.name = ""  # by which pools that share a process know this one
        self.fair_share: ProcessorShare | None = None  # where several pools share the processor
        self.may_act: Callable[[], bool] | None = None  # whether this instance holds a lease, in a fleet
        self.retry_after_s = DEFAULT_RETRY_AFTER_S
        self.closed = False
        self.takes_uploads: bool = getattr(connect, "takes_uploads", False)
        self.max_open_requests = limits.max_open_requests
        self.balancer = Balancer(deployment.settings, seed)
        self.budget = BufferBudget(limits.buffered)
        self.metrics = PoolMetrics(len(deployment.settings.classes))
        self.tunnels = Tunnels(tunnels or TunnelLimits(), time.monotonic)
        self.ids = ids or TransactionIds()
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
        self._lag = EventLoopLag(asyncio.get_running_loop(), self._report_lag)
        self._table = RequestTable(self.metrics, self.budget, self.ids, self._on_overdue)
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

    # What others read and set.

    @property
    def trace(self) -> DecisionTrace | None:
        """Decisions on the latest requests, where operators may ask why."""
        return self._driver.trace

    @trace.setter
    def trace(self, trace: DecisionTrace | None) -> None:
        self._driver.trace = trace

    @property
    def source(self) -> EndpointSource | None:
        """Where the endpoint list comes from; `close` closes it."""
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
        """The requests whose answers are passed on as they come."""
        return self._table.streaming

    @property
    def uploads(self) -> int:
        """How many open requests have bodies that are sent on as they come."""
        return self._table.open_uploads

    @property
    def listed(self) -> set[str]:
        """The endpoints that are listed."""
        return self._directory.listed

    @property
    def has_fresh_list(self) -> bool:
        """Whether a list, or a change to it, has come since the start."""
        return self._directory.fresh

    @property
    def overrides(self) -> PlatformOverrides | None:
        """The platform's overrides, where operators can cordon endpoints."""
        return self._directory.overrides

    @overrides.setter
    def overrides(self, overrides: PlatformOverrides | None) -> None:
        self._directory.overrides = overrides

    def now(self) -> float:
        """The policy's time, in seconds."""
        return self._clock.now()

    def attempt_counts(self) -> list[int]:
        """Attempts that were written whole, for each class: those that have ended, and those still out."""
        tries = list(self.metrics.tries)
        for request in self.open.values():
            if not request.open_attempts:
                continue
            for attempt in request.attempts:
                tries[request.class_index] += not attempt.ended and attempt.is_written()
        return tries

    def avoided_count(self) -> int:
        """Listed endpoints that get nothing now, by the policy's choice, by hand or by their state."""
        return sum(self.balancer.avoids(endpoint) for endpoint in self.listed)

    def is_shut_out(self) -> bool:
        """Whether this instance has lost its lease: clients are told to return."""
        return self.may_act is not None and not self.may_act()

    def has_room(self) -> bool:
        """Whether one more request may be open.

        Without a bound the requests of a pool that hangs would come to hold every connection of clients, and with them
        those of the other pools.
        """
        if self.closed or len(self.open) >= self.max_open_requests:
            return False
        return self.fair_share is None or self.fair_share.admit(self.name)

    def may_upload(self) -> bool:
        """Whether one more body may be sent on as it comes; each holds a connection as long as its client takes."""
        return self.uploads < max(1, int(self.upstreams.sockets * UPLOAD_SHARE))

    def is_known(self, request: OpenRequest) -> bool:
        """Whether a request of its transaction id is open, or was unusable."""
        return self.ids.is_known(request.transaction)

    # The policy.

    def post(self, event: Event) -> None:
        """Tell the policy of an event; see `PolicyDriver`."""
        self._driver.post(event)

    # Called by front ends.

    def take(
        self,
        request: OpenRequest,
        cls: int,
        left: float,
        tenant: int,
        key: str | None,
        hint: float | None,
        retry: bool,
        member: str | None = None,
        bound: bool = False,
    ) -> None:
        """Take a request.

        Args:
            request: The request.
            cls: Number of its class.
            left: Seconds until the client gives up.
            tenant: Number of its tenant.
            key: Its idempotency key.
            hint: The work that it is expected to take, in seconds of a standard core.
            retry: Whether the client says that it is a retry.
            member: The endpoint, or the domain of endpoints, that its sticky session wants.
            bound: Whether its session may not go anywhere else.
        """
        self._table.add(request, self._owner, cls, left)
        self.post(
            Request(
                request.id,
                cls,
                left,
                tenant,
                key,
                hint,
                retry,
                False,
                member,
                not request.is_complete,
                bound,
                request.max_attempts,
                request.retry_on,
            )
        )

    def drop(self, request: OpenRequest) -> None:
        """Release a request that ends before it was taken."""
        self._table.discard_body(request)

    def count_rejected(self, request: OpenRequest, cls: int, status: int) -> None:
        """Count a whole request that the front end answers with an error; it was not taken, and has not run."""
        self.drop(request)
        self.metrics.count(cls, result_of_status(status))

    def _on_overdue(self, request: OpenRequest) -> None:
        """Fail a request that the policy has not answered in time; the policy's own times end earlier."""
        self.logger("overdue request failed", request.id)
        self._owner.abandon(request)

    # Called by upstream connections.

    def must_not_leave(self, attempt: Attempt, late: bool) -> bool:
        """Whether an attempt may not leave any more; see `AttemptOwner`."""
        request = cast(OpenRequest, attempt.request)
        if request.done or request.client.has_left():
            return True
        return late and not self.balancer.may_send_attempt(self.now(), request.id, attempt.number)

    def finish_attempt(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None:
        """An attempt has ended; see `AttemptRunner.finish`."""
        self._attempts.finish(attempt, result, report, answer)

    def begin_answer(
        self, attempt: Attempt, answer: UpstreamResponse, giver: StreamProducer
    ) -> Stream | None:
        """A long answer has begun; None where nobody wants it any more."""
        request = cast(OpenRequest, attempt.request)
        if request.done or request.stream is not None:
            attempt.drop()
            self._attempts.finish(attempt, AttemptResult.CANCELLED)
            return None
        stream = self._streams.begin(request, attempt, answer, giver)
        elapsed = self.now() - attempt.began_at
        self.post(FirstByte(request.id, attempt.number, attempt.endpoint, elapsed))
        return stream

    def begin_tunnel(self, attempt: Attempt, answer: UpstreamResponse, member: TunnelEnd) -> Tunnel | None:
        """The endpoint has gone over to the protocol that the client asked for: the request is served."""
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
        """Take a list, or a change to it; see `EndpointListener`."""
        self._directory.take_list(entries, whole, stale)

    def list_failed(self, busy: bool = False) -> None:
        """A call for the list has failed; see `EndpointListener`."""
        self._directory.list_failed(busy)

    def cordon(self, server: str, out: bool) -> None:
        """Leave an endpoint out, or use it again; also one that is not listed now."""
        self._directory.cordon(server, out)

    # Limits, and the end.

    def resize(self, limits: PoolLimits) -> None:
        """Take other limits; idle connections past them are closed."""
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
        """Keep no connection; what is open, or on its way, is still served."""
        for endpoint in list(self.upstreams.endpoints):
            self.upstreams.retire(endpoint)
        self.tunnels.retire()

    def end_all(self) -> None:
        """Fail what is still open, and take nothing more: the process ends."""
        self.closed = True
        for request in list(self.open.values()):
            self._owner.abandon(request)

    def close(self) -> None:
        """Fail what is still open, and release connections, timers and the source of endpoints."""
        self.end_all()
        self.tunnels.close()
        self._sweep_timer.cancel()
        self._lag.close()
        if self.source is not None:
            self.source.close()
            self.source = None
        for endpoint in list(self.upstreams.endpoints):
            self.upstreams.remove_endpoint(endpoint)


def _platform_dialect(deployment: Deployment) -> Dialect:
    """What the platform's endpoints mean by their answers."""
    return Dialect(
        report_fields=deployment.settings.report_fields,
        stream_most=MAX_STREAMED_BODY_BYTES,
        close_delimited=True,
    )
