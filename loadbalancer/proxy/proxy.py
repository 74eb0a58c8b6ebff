"""The proxy between its sockets and the module: events go in, actions are carried out, in order.

Only this file calls `Balancer.handle`. Whatever a socket does is told here; here each request gets its
one answer, and each Send its one Outcome.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Any, Callable, Mapping, Protocol, cast

from loadbalancer.deployment import Deployment
from loadbalancer.discovery.endpoint_source import EndpointSource, Entry
from loadbalancer.metrics import PoolMetrics, RequestResult, result_of_status
from loadbalancer.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    NEVER_RAN,
    AttemptResult,
    BodyProgress,
    ClientCancelled,
    Cordon,
    EndpointList,
    EndpointState,
    Event,
    FirstByte,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.proxy.final_answers import FinalAnswer, better, failed, proxy_status, refused
from loadbalancer.proxy.open_requests import Client, OpenRequest, TransactionIds
from loadbalancer.resource_limits import (
    MAX_STREAMED_BODY_BYTES,
    BufferBudget,
    PoolLimits,
    RateLimitedLogger,
    describe_exception,
)
from loadbalancer.streaming.streams import STALL_S, Stream, StreamProducer
from loadbalancer.streaming.tunnels import Tunnel, TunnelLimits, Tunnels
from loadbalancer.streaming.tunnels import TunnelEnd as TunnelEnd
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamPools, UpstreamResponse
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.http1 import Http1UpstreamConnection

if TYPE_CHECKING:  # loaded where operators may ask why
    from loadbalancer.proxy.decision_trace import DecisionTrace
if TYPE_CHECKING:  # loaded where operators can mark members
    from loadbalancer.discovery.platform_overrides import PlatformOverrides

#: A request that the module has not answered this long after its client's time is up is failed here.
OVERDUE_S = 0.03
#: How often limits in time are looked at.
SWEEP_S = 0.25
#: Share of the members' descriptors that bodies may hold that are sent on as they come.
UPLOAD_SHARE = 0.25


class PluginGate(Protocol):
    """Who says whether a pool may take one more request now, where several share the process."""

    def admit(self, pool: str) -> bool: ...


class TunnelClient(Client, TunnelEnd, Protocol):
    """A connection of a client that can go over to another protocol."""

    def begin_tunnel(self, lines: list[bytes], reason: bytes, tunnel: Tunnel) -> None: ...


class Proxy:
    """One pool's open requests, their attempts and timers; the only caller of the module."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        limits: PoolLimits,
        logger: RateLimitedLogger,
        dialect: Dialect | None = None,
        connect: Callable[..., Upstream] = Http1UpstreamConnection,
        ids: TransactionIds | None = None,
        timeout_status: int = 502,
        tunnels: TunnelLimits | None = None,
    ) -> None:
        """`connect` makes connections to members, in HTTP/1.1 if it is not given. `dialect` is what its members
        mean by their answers, the platform's if it is not given. `ids` is shared by all pools
        whose requests bear ids of clients. `timeout_status` is what a client hears of a request that failed
        because its last attempt took too long."""
        self.balancer = Balancer(deployment.settings, seed)
        self.logger = logger
        self.budget = BufferBudget(limits.buffered)
        self.timeout_status = timeout_status
        self.max_open_requests = limits.max_open_requests
        self.turns: PluginGate | None = None  # where several pools share the processor
        self.name = ""  # by which they know this one
        self.figures = PoolMetrics(len(deployment.settings.classes))
        self.trace: DecisionTrace | None = None  # of the latest requests, where operators may ask why
        self.marks: PlatformOverrides | None = None  # what operators say of members, where they can
        self.fresh = False  # a list has come since the start, or a change to one
        self.closed = False
        self.fence: Callable[[], bool] | None = None  # whether this instance may act, where a fleet says so
        self.return_s = 1  # after which a client may come back that is told so for its sake
        dialect = dialect or Dialect(
            report_fields=deployment.settings.report_fields,
            stream_most=MAX_STREAMED_BODY_BYTES,
            close_delimited=True,
        )
        self.dialect = dialect
        self.tunnels = Tunnels(tunnels or TunnelLimits(), time.monotonic)
        make = partial(connect, dialect=dialect, not_passed=dialect.not_passed())
        self.backends = UpstreamPools(
            self,
            self.budget,
            logger,
            limits.backend_sockets,
            make,
            deployment.settings.limits.connect_timeout,
            deployment.idle_timeout,
            deployment.max_idle_connections,
        )
        self.source: EndpointSource | None = None  # of the list of members
        self.open: dict[int, OpenRequest] = {}
        self.streams: set[OpenRequest] = set()  # those whose answers come by a stream
        self.takes_uploads = getattr(connect, "takes_uploads", False)
        self.uploads = 0  # open requests whose bodies are sent on as they come
        self.ids = ids or TransactionIds()
        self.listed: set[str] = set()
        self._last_id = 0
        self._events: deque[Event] = deque()
        self._busy = False
        self._finished: list[OpenRequest] = []
        self._epoch = time.time() - time.monotonic()
        self._loop = asyncio.get_running_loop()
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)
        self._carry: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            SetTimer: self._set_timer,
            Reject: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            WatchEndpoints: self._watch,
            CloseIdleConnections: lambda action: self.backends.close_idle(action.endpoint),
            LogMessage: lambda action: self.logger("module", action.text),
        }

    def now(self) -> float:
        """Unix time at the start and monotonic time since: it only advances, and compares with starts."""
        return self._epoch + time.monotonic()

    def post(self, event: Event) -> None:
        """The one way to the module. What its actions lead to at once waits for its turn."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    now = self.now()
                    actions = self.balancer.handle(now, (event,))
                    if self.trace is not None:
                        self._note(self.trace, now, event, actions)
                    for action in actions:
                        self._carry[type(action)](action)
                except Exception as problem:  # whatever it is, it may not reach the other requests
                    self._contain(event, problem)
            for request in self._finished:  # the module has been told all there was to tell
                self.open.pop(request.id, None)
                request.attempts.clear()  # they hold one another, and would stay until the collector comes by
            self._finished.clear()
        finally:
            self._busy = False

    def _note(self, trace: DecisionTrace, now: float, event: Event, actions: list[Action]) -> None:
        request = self.open.get(event.request) if isinstance(event, Request) else None
        trace.note(now, event, actions, self.balancer, request.head if request is not None else b"")

    def _contain(self, event: Event, problem: Exception) -> None:
        """Guards against any defect in the decisions or in carrying them out: the request that it met gets
        its answer, the rest goes on. Also where a list makes the module fail: the one before stands, in part.
        Harm: a defect that comes with each request looks like a service that fails, not like a crash."""
        self.logger("defect", f"{describe_exception(problem)} on {type(event).__name__}")
        request = self.open.get(getattr(event, "request", -1))
        if request is not None:
            self._abandon(request)

    # Requests.

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
        """`left`: seconds until the client gives up. `member`: where a sticky session wants it to go."""
        self._last_id += 1
        request.id, request.cls = self._last_id, cls
        request.owner = self
        self.open[request.id] = request
        self.ids.opened(request.txn)
        request.left = left
        request.whole = request.upload is None or request.upload.whole
        self.uploads += request.upload is not None
        if request.whole:
            self._begin(request)
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
                not request.whole,
                bound,
                request.most,
                request.repeat_on,
            )
        )

    def _begin(self, request: OpenRequest) -> None:
        """Its last byte has come: from now on it counts."""
        self.figures.open += 1
        request.timer = self._loop.call_later(request.left + OVERDUE_S, self._overdue, request)

    def may_upload(self) -> bool:
        """Whether one more body may be sent on as it comes.

        Guards members' connections against slow uploads: each holds one for as long as its client takes."""
        return self.uploads < max(1, int(self.backends.sockets * UPLOAD_SHARE))

    def uploaded(self, request: OpenRequest) -> None:
        """The last byte of a body that was sent on as it came has come."""
        if request.done or request.whole:
            return
        request.whole = True
        self._begin(request)
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.began = self.now()
                self._time(attempt)
        self._tell_body(request)

    def upload_lost(self, request: OpenRequest) -> None:
        """A byte of it has left that is not kept."""
        if not request.done:
            self._tell_body(request)

    def _tell_body(self, request: OpenRequest) -> None:
        assert request.upload is not None
        self.post(BodyProgress(request.id, request.whole, request.upload.kept is not None))

    def upload_failed(self, request: OpenRequest, status: int) -> None:
        """The client sends no more of a body that is not whole: it never became a request, and none has run."""
        if not request.done:
            self._finish_request(request, result_of_status(status))
            request.client.answer(status, [], b"", close=True)
            self.post(ClientCancelled(request.id))
            self._drop_attempts(request)

    def _drop_attempts(self, request: OpenRequest) -> None:
        """Guards members against halves of bodies that stay open, also where the module may not cancel."""
        for attempt in list(request.attempts):
            self._give_up(attempt)

    def _give_up(self, attempt: Attempt) -> None:
        """Nobody wants its answer any more."""
        if not attempt.ended:
            attempt.drop()
            self.finish_attempt(attempt, AttemptResult.CANCELLED)

    def is_shut_out(self) -> bool:
        """Whether the fleet goes on without this instance: what comes is told to return."""
        return self.fence is not None and not self.fence()

    def has_room(self) -> bool:
        """Whether one more request may be open.

        Guards against a pool that hangs: without a bound its requests would come to hold every connection
        that clients may have, and with them the other pools. Harm: a burst is turned away that would have
        passed."""
        if self.closed or len(self.open) >= self.max_open_requests:
            return False
        return self.turns is None or self.turns.admit(self.name)

    def resize(self, limits: PoolLimits) -> None:
        """Other limits from now on; what is idle past them goes."""
        self.budget.resize(limits.buffered)
        self.backends.resize(limits.backend_sockets)
        self.max_open_requests = limits.max_open_requests

    def tries(self) -> list[int]:
        """Attempts written whole, for each class: those that have ended, and those still out."""
        tries = list(self.figures.tries)
        for request in self.open.values():
            for attempt in request.attempts if request.live else ():
                tries[request.cls] += not attempt.ended and attempt.is_written()
        return tries

    def is_known(self, request: OpenRequest) -> bool:
        return self.ids.is_known(request.txn)

    def drop(self, request: OpenRequest) -> None:
        """A request that ends before it was taken."""
        if request.body is not None:
            self.budget.release(len(request.body))
            request.body = None

    def withdraw(self, request: OpenRequest) -> None:
        """The client has gone away."""
        if not request.done:
            self._finish_request(request, RequestResult.FAILED)
            if request.stream is not None:
                request.stream.leave()
            self.post(ClientCancelled(request.id))
            if not request.whole:
                self._drop_attempts(request)

    def turned_away(self, request: OpenRequest, cls: int, status: int) -> None:
        """A whole request that the front answers with an error: it was not taken, and has not run."""
        self.drop(request)
        self.figures.count(cls, result_of_status(status))

    def end_all(self) -> None:
        """The process ends: what is still held has failed, and what comes is turned away."""
        self.closed = True
        for request in list(self.open.values()):
            self._abandon(request)

    def _abandon(self, request: OpenRequest) -> None:
        """Fail a request without the module's word; it is told, and cancels what is still out."""
        if not request.done:
            self._finish_request(request, RequestResult.FAILED)
            if request.stream is not None:
                request.stream.cut()
            else:
                request.client.answer(502, [], b"")
            self.post(ClientCancelled(request.id))

    def _overdue(self, request: OpenRequest) -> None:
        """Guards against any way in which a request could stay without its answer. Harm: none while the
        module keeps its own times, which end earlier."""
        request.timer = None
        if not request.done:
            self.logger("overdue request failed", request.id)
            self._abandon(request)

    def _finish_request(self, request: OpenRequest, end: RequestResult) -> None:
        """The one place where a request ends. The caller gives the answer, where one is due."""
        request.done = True
        self.streams.discard(request)
        self.figures.open -= request.whole
        if (
            request.whole or end == RequestResult.DROPPED
        ):  # what never came whole was no request, but to be told to try again
            self.figures.count(request.cls, end)
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        if request.live == 0:
            self._release(request)

    def _release(self, request: OpenRequest) -> None:
        request.released = True
        self.drop(request)
        if request.upload is not None:
            request.upload.close()
            self.uploads -= 1
        if request.error is not None:
            self.budget.release(len(request.error.body))
            request.error = None
        self.ids.ended(request.txn)
        self._finished.append(request)

    # Attempts.

    def finish_attempt(
        self,
        attempt: Attempt,
        result: AttemptResult,
        report: Mapping[str, float] | None = None,
        answer: UpstreamResponse | None = None,
    ) -> None:
        """The one place where an attempt ends, and its Outcome is told."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        request = cast(OpenRequest, attempt.request)
        request.live -= 1
        self.figures.tries[request.cls] += attempt.is_written()
        request.last = result
        request.ran = request.ran or result not in NEVER_RAN
        if attempt.number == request.giving and not request.done:
            self._end_stream(request, result)
        if result == AttemptResult.UNUSABLE:
            request.unusable = True
            self.ids.found_unusable(request.txn)
        elif result == AttemptResult.ERROR and answer is not None and not request.done:
            if self._repeats(request, answer):
                self._keep_error(request, answer)
            else:
                self._tell(
                    request, FinalAnswer(answer), []
                )  # an answer of the application, and no failure of the way
        if request.done:
            if request.live == 0 and not request.released:
                self._release(request)
        elif result == AttemptResult.SERVED:
            assert answer is not None
            request.made = True
            self._finish_request(request, RequestResult.PASSED)
            request.client.answer(
                answer.status, request.lines(answer), answer.body, False, answer.length, answer.reason
            )
        now = self.now()
        first = self._epoch + attempt.answered_at - attempt.began if attempt.answered_at else None
        self.post(
            Outcome(
                request.id,
                attempt.number,
                attempt.server,
                result,
                now - attempt.began,
                request.done,
                report,
                first,
            )
        )

    def bars(self, attempt: Attempt, late: bool) -> bool:
        """Whether an attempt may not leave any more (connections.py)."""
        request = cast(OpenRequest, attempt.request)
        if request.done or request.client.has_left():
            return True
        return late and not self.balancer.may_leave(self.now(), request.id, attempt.number)

    def begin_answer(
        self, attempt: Attempt, answer: UpstreamResponse, giver: StreamProducer
    ) -> Stream | None:
        """A long answer goes to the client from here on, and no other attempt's can."""
        request = cast(OpenRequest, attempt.request)
        if request.done or request.stream is not None:
            attempt.drop()
            self.finish_attempt(attempt, AttemptResult.CANCELLED)
            return None
        request.giving = attempt.number
        for timer in (attempt.timer, request.timer):
            if timer is not None:
                timer.cancel()
        attempt.timer = request.timer = None
        stream = request.stream = Stream(giver, request.client)
        self.streams.add(request)
        request.client.begin_answer(
            answer.status, request.lines(answer), answer.length, answer.reason, stream
        )
        took = self.now() - attempt.began
        self.post(FirstByte(request.id, attempt.number, attempt.server, took))
        return stream

    def begin_tunnel(self, attempt: Attempt, answer: UpstreamResponse, member: TunnelEnd) -> Tunnel | None:
        """The member has gone over to the protocol that the client asked for: the request is served, and what follows
        is no request."""
        request = cast(OpenRequest, attempt.request)
        if request.done or not self.tunnels.has_room():
            return None
        client = cast(TunnelClient, request.client)
        tunnel = self.tunnels.begin(attempt.server, client, member)
        request.made = True
        self._finish_request(request, RequestResult.PASSED)
        client.begin_tunnel(answer.lines, answer.reason, tunnel)
        self.finish_attempt(attempt, AttemptResult.SERVED)
        return tunnel

    def _end_stream(self, request: OpenRequest, result: AttemptResult) -> None:
        """The attempt whose answer goes out has ended, and with it the request."""
        assert request.stream is not None
        served = result == AttemptResult.SERVED
        self._finish_request(request, RequestResult.PASSED if served else RequestResult.FAILED)
        (request.stream.end if served else request.stream.cut)()

    def _check_streams(self, now: float) -> None:
        """Guards against streams that stand still for good; one that moves is never cut."""
        for request in list(self.streams):
            stream = request.stream
            assert stream is not None
            if not stream.stands():
                request.moved_at = now
            elif now - request.moved_at > STALL_S:
                self.logger("answer broken off", "nothing moved on it")
                attempt = request.attempts[request.giving]
                attempt.drop()
                self.finish_attempt(attempt, AttemptResult.RESET)

    def _repeats(self, request: OpenRequest, answer: UpstreamResponse) -> bool:
        """Whether a member's failure speaks of the way: by its status, or by its own word."""
        if answer.again:
            return True
        own = request.repeat_statuses
        return self.dialect.repeats(answer.status) if own is None else answer.status in own

    def _keep_error(self, request: OpenRequest, answer: UpstreamResponse) -> None:
        """What a backend said of its failure, for the client if nothing better comes."""
        if not better(request.error, answer) or not self.budget.take_upload(len(answer.body)):
            return
        if request.error is not None:
            self.budget.release(len(request.error.body))
        request.error = answer

    # Actions.

    def _send(self, action: Send) -> None:
        request = self.open[action.request]
        attempt = Attempt(request, len(request.attempts), action.endpoint, self.now(), action.timeout)
        request.attempts.append(attempt)
        request.live += 1
        if request.done:
            self.finish_attempt(attempt, AttemptResult.NOT_SENT)
            return
        if request.whole:
            self._time(attempt)
        self.backends.send(attempt)

    def _time(self, attempt: Attempt) -> None:
        attempt.timer = self._loop.call_later(attempt.timeout, self._timed_out, attempt)

    def _timed_out(self, attempt: Attempt) -> None:
        attempt.timer = None
        written = attempt.is_written()
        attempt.drop()
        if written:
            self.backends.suspect(attempt)
        # What has not left whole has not run, and says more of the way to the backend than of its load.
        self.finish_attempt(attempt, AttemptResult.TIMEOUT if written else AttemptResult.NO_CONNECTION)

    def _cancel(self, action: Cancel) -> None:
        request = self.open.get(action.request)
        if request is None:  # all its attempts have ended
            return
        self._give_up(request.attempts[action.attempt])

    def _refuse(self, action: Reject) -> None:
        request = self.open[action.request]
        if not request.done:
            lines = [b"Retry-After: %.3f\r\n" % action.retry_after] if action.retry_after else []
            self._tell(request, refused(request.error, request.last), lines)

    def _fail(self, action: Fail) -> None:
        request = self.open[action.request]
        if not request.done:
            heard = failed(request.error, request.unusable, request.last, self.timeout_status)
            self._tell(request, heard, [])

    def _tell(self, request: OpenRequest, heard: FinalAnswer, lines: list[bytes]) -> None:
        """The final answer of a request that was given up. `lines`: headers of the proxy's own answer."""
        kept = heard.kept
        self._finish_request(request, result_of_status(kept.status if kept is not None else heard.status))
        if kept is not None:
            request.client.answer(
                kept.status, request.lines(kept), kept.body, False, kept.length, kept.reason
            )
        else:
            if not self.dialect.platform:
                lines = [*lines, proxy_status(heard.error)]
            request.client.answer(heard.status, lines, b"", close=heard.close)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay, self.post, TimerFired(action.token))

    def _watch(self, action: WatchEndpoints) -> None:
        if self.source is not None:
            self.source.watch(action.enabled)

    # The list, and what operators say of members.

    def cordon(self, server: str, out: bool) -> None:
        """Leave this member out, or use it again; also one that is not listed now."""
        if out:
            self.tunnels.leave({server})
        self.post(Cordon(server, out))

    def skipped(self) -> int:
        """Listed members that get nothing now, by the module's choice, by hand or by their state."""
        return sum(self.balancer.avoids(server) for server in self.listed)

    def take_list(self, entries: list[Entry], whole: bool, stale: bool = False) -> None:
        """A list, or a change: addresses are for the connections, the rest for the module."""
        named = set()
        self.fresh = self.fresh or not stale
        for entry, address in entries:
            if entry.state == EndpointState.GONE:
                self.backends.gone(entry.endpoint)
                self.listed.discard(entry.endpoint)
            else:
                self.backends.listed(
                    entry.endpoint, (address, entry.started), entry.state == EndpointState.READY
                )
                named.add(entry.endpoint)
        if whole:
            for server in self.listed - named:
                self.backends.gone(server)
            self.listed = named
        else:
            self.listed |= named
        if self.marks is not None:
            self.marks.listed(named)
        if self.tunnels.open:
            serving = {entry.endpoint for entry, _ in entries if entry.state == EndpointState.READY}
            told = {entry.endpoint for entry, _ in entries}
            self.tunnels.leave({t.server for t in self.tunnels.open if (whole or t.server in told)} - serving)
        self.post(EndpointList(tuple(entry for entry, _ in entries), whole, False, stale))

    def _sweep(self) -> None:
        now = time.monotonic()
        self.backends.sweep(now)
        self._check_streams(now)
        if self.tunnels.open:
            self.tunnels.sweep()
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    def retire(self) -> None:
        """Keep no connection; what is open, or on its way, is still served."""
        for server in list(self.backends.table):
            self.backends.retire(server)
        self.tunnels.retire()

    def close(self) -> None:
        """Nothing new comes: what is still open has failed, and its connections, timers and source go."""
        self.end_all()
        self.tunnels.close()
        self._sweeping.cancel()
        if self.source is not None:
            self.source.close()
            self.source = None
        for server in list(self.backends.table):
            self.backends.gone(server)

    def list_failed(self, busy: bool = False) -> None:
        self.post(EndpointList(failed=True, busy=busy))
