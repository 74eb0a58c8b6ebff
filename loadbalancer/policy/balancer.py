"""All decisions of a proxy: where a request goes, when it goes again, when it is refused.

The types are in settings.py, events.py and actions.py. The design is in docs/design.md: for
each request two servers are drawn at random from those that pass the filters, and the better by
own in-flight count, reported utilization and error share gets it. What goes beyond that is marked
"Exception" where it stands. This file holds what becomes of a request; decisions/ holds one matter
in each file: the draw, cold servers, refusing, what is learnt, following the list. The rules on
effects are in the section "Rules"; nothing is sent or refused except through `_send` and
`_refuse`, which ask them.
"""

from __future__ import annotations

from typing import Callable, Sequence

from loadbalancer.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.endpoint_list import LIST_TOKEN, Listing
from loadbalancer.policy.endpoints import Endpoint, EndpointPool
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
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)
from loadbalancer.policy.hedging import Hedging
from loadbalancer.policy.load_shedding import Refusing
from loadbalancer.policy.outlier_detection import Learning
from loadbalancer.policy.pending_requests import Attempt, PendingRequest
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicySettings,
    RequestClass,
)
from loadbalancer.policy.state import RETRY_BURST

SECOND_LOOK = 0.5  # share of the useful time after which silence earns a second attempt


def _first_that_may_have_run(attempts: Sequence[Attempt]) -> Attempt | None:
    return next((a for a in attempts if a.may_have_run), None)


def _may_follow(cls: RequestClass, first: Attempt | None, now: float) -> bool:
    """No effect twice: whether one more may go after `first`, in its group where there is one."""
    if first is None or cls.effect == Effect.SAFE:
        return True
    return cls.effect == Effect.KEYED and now < first.sent + cls.deduplication_window


class Balancer(Listing, Learning, Refusing, Hedging):
    """The decisions of one proxy. `handle` takes what happened and returns what to do, in order."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.react: dict[type, Callable[..., None]] = {
            Cordon: self._on_cordon,
            BodyProgress: self._on_body,
            Outcome: self._on_outcome,
            Request: self._on_request,
            TimerFired: self._on_timer,
            ClientCancelled: self._on_withdrawn,
            EndpointList: self._on_list,
            FirstByte: self._on_first_byte,
            ProbeResult: self._on_probe,
            PeerMessage: lambda event: None,
        }

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        if self.born < 0:
            self.born = self.flow_at = now
        self.now = now
        self.actions = []
        for event in events:
            self.react[type(event)](event)
        return self.actions

    # Requests.

    def _on_request(self, event: Request) -> None:
        cls = self.settings.classes[event.class_index]
        waited, loaded = self._waited(event, cls), self.shed_level > 0
        usual = self.usual[event.class_index]
        pending = PendingRequest(event, cls, self.now, waited, usual, self.rules.answer_slack, loaded)
        pending.most = min(event.max_attempts or self.limits.max_attempts, self.limits.max_attempts)
        if event.retry_on is None:
            pending.repeat_on = self.limits.retry_on
        self.requests[event.request] = pending
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + self.limits.retry_budget_ratio)
        if self._sheds(event, cls, pending.late) or not self._try(pending):
            self._give_up(pending)
        elif not pending.coming:
            self._look_again(pending)

    def _look_again(self, pending: PendingRequest) -> None:
        if pending.cls.effect == Effect.UNSAFE or pending.most <= 1:
            return
        left = pending.useful - self.now
        after = self._hedge_after(pending.number) or SECOND_LOOK * left
        gives_up = not self.limits.hedging and self._is_sparse()
        if gives_up:
            # Here the attempt is given up for the next one, by one of many that know little of queues. Guards
            # against giving up answers that take what they take near full load: a member may go on with what
            # was cancelled, and the client waits anew. Silence is the draw's. Harm: a silent server holds it.
            after = max(after, self.silence)
        if after < left or not gives_up:
            self.actions.append(SetTimer(pending.id + 1, after))

    def _on_body(self, event: BodyProgress) -> None:
        """Until its last byte a request costs its server nothing but a connection, and can't have run: it
        counts as none in flight, and its silence is none. From then on it is like any other just sent."""
        pending = self.requests.get(event.request)
        if pending is None:
            return
        pending.held = event.replayable
        if not event.complete or not pending.coming:
            return
        pending.whole(self.now)
        for number, attempt in enumerate(pending.attempts):
            if attempt.open:
                out = attempt.server.in_flight
                attempt.server.responding.discard((pending.id, number))
                out[(pending.id, number)] = attempt.sent = self.now
                self.in_flight += 1
                attempt.queue = len(out)
        self._look_again(pending)

    def _waited(self, event: Request, cls: RequestClass) -> float:
        """How long the client has waited through earlier tries, as far as its time left tells.

        Protects against work for answers that come too late to be of worth: a client that was refused asks
        again after its aim, and where many do, serving those makes the others late as well. It should also
        catch clients that queue before they ask. Harm: a client with less patience than the others of its
        class looks as if it had waited; while there is too much work, it is refused first. Therefore no more
        are taken for later tries than have lately been left unserved."""
        left = min(max(0.0, event.time_remaining), cls.client_timeout)
        patience = self.patience[event.class_index]
        if patience.is_usual(left, self.now) or patience.unanswered < 1:
            return 0.0
        patience.unanswered -= 1
        return cls.client_timeout - left

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == LIST_TOKEN:
            self.asked_at = self.now
            self.actions.append(WatchEndpoints(True))
            return
        pending = self.requests.get(event.token - 1)
        if pending is None or pending.streaming or len(pending.attempts) != 1 or not pending.held:
            return
        # A second copy is for a lone silent server; where the typical attempt is slow it adds to the cause.
        if self.retry_tokens < 1 or self.shed_level > 0:
            return
        if self.limits.hedging:
            self._retry(pending)
        elif self.limits.cancellation and self._repeat_pool(pending, freed=True):
            self.actions.append(Cancel(pending.id, 0))  # its outcome starts the second attempt

    def _on_withdrawn(self, event: ClientCancelled) -> None:
        pending = self.requests.get(event.request)
        if pending is not None:
            self._end(pending)

    def _on_first_byte(self, event: FirstByte) -> None:
        server = self.servers[event.endpoint]
        server.answered = True
        # Exception: once its answer has begun the work is done, and how long the client takes over the rest
        # says nothing of the server; counted on, slow readers would decide where requests go.
        server.responding.add((event.request, event.attempt))
        self.in_flight -= server.in_flight.pop((event.request, event.attempt), None) is not None
        pending = self.requests.get(event.request)
        if pending is not None:
            pending.streaming = True
            self._cancel_open(pending, but=event.attempt)

    def _on_outcome(self, event: Outcome) -> None:
        server = self.servers[event.endpoint]
        key = (event.request, event.attempt)
        was_out = server.in_flight.pop(key, None) is not None
        self.in_flight -= was_out
        if not was_out and key not in server.responding:
            raise LookupError(f"outcome of attempt {event.attempt} of request {event.request}, never sent")
        server.responding.discard(key)
        if not server.in_flight and self._is_sparse():
            self.actions.append(CloseIdleConnections(server.id))
        pending = self.requests.get(event.request)
        number = pending.number if pending else None
        self._learn(server, event.result, event.report, self._slowness(pending, event), number)
        if pending is None:
            return
        attempt = pending.attempts[event.attempt]
        if not pending.coming:
            self._note_load(pending, event)
            self._note_flight(pending, event)
            self._note_silence(pending, event)
            self._note_pace(attempt, event)
        attempt.open = False
        attempt.may_have_run = event.result not in NEVER_RAN
        if event.request_ended:
            self._end(pending)
        elif event.result == AttemptResult.UNUSABLE:
            # Guards against bad clients: what one server can't use no other can, so sending it on would cost
            # attempts, and a refusal would ask for it again. Harm: one wrong verdict fails a good request.
            self._fail(pending)
        elif not any(a.open for a in pending.attempts):
            # What reached nobody costs no server anything: its repeat adds no load, so no budget limits it.
            free = event.result in (AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT)
            wanted = pending.repeat_on is None or event.result in pending.repeat_on
            if event.result == AttemptResult.NOT_SENT:  # it never left, so what follows is no repeat of it
                wanted = attempt.unsent = True
                pending.most = min(pending.most + 1, 2 * self.limits.max_attempts)
            if not wanted or not self._retry(pending, free):
                self._give_up(pending)

    def _retry(self, pending: PendingRequest, free: bool = False) -> bool:
        """One more attempt, where the class, the limits, the time and the budget allow it."""
        if pending.useful - self.now <= 0 and not pending.coming:
            return False
        if not free and self.retry_tokens < 1 or not self._try(pending):
            return False
        self.retry_tokens -= not free
        return True

    def _try(self, pending: PendingRequest) -> bool:
        pool = self._repeat_pool(pending)
        if pool is None:
            return False
        server = self._sticky(pending)
        if server is None and pool.servers and not self._is_bound(pending):
            server = self._place(pool, pending)
        if server is None:
            return False
        self._send(pending, server)
        return True

    def _give_up(self, pending: PendingRequest) -> None:
        """The final answer where there is none to be had: a refusal if it is known to be harmless."""
        self.patience[pending.number].left_unserved(pending.late)
        if self._may_refuse(pending):
            self.actions.append(Reject(pending.id, self._return_after()))
            self._end(pending)
        else:
            self._fail(pending)

    def _fail(self, pending: PendingRequest) -> None:
        self.actions.append(Fail(pending.id))
        self._end(pending)

    def _end(self, pending: PendingRequest) -> None:
        del self.requests[pending.id]
        self._cancel_open(pending)

    def _cancel_open(self, pending: PendingRequest, but: int = -1) -> None:
        if self.limits.cancellation:
            for number, attempt in enumerate(pending.attempts):
                if attempt.open and number != but:
                    self._note_cut(pending, attempt)
                    self.actions.append(Cancel(pending.id, number))

    # Rules. Each is kept by this proxy alone; those on drains and cold servers in decisions/.

    def _repeat_pool(self, pending: PendingRequest, freed: bool = False) -> EndpointPool | None:
        """No effect twice: the servers to which the request may go (again); None if to none.

        `freed`: as it will be when the attempts in flight have ended."""
        if pending.streaming or len(pending.attempts) >= pending.most:
            return None
        if not (self.limits.hedging and not pending.coming or freed) and any(
            a.open for a in pending.attempts
        ):
            return None
        if pending.attempts and not pending.held:  # what is not whole any more is never sent in part
            return None
        first, cls = _first_that_may_have_run(pending.attempts), pending.cls
        if not _may_follow(cls, first, self.now):
            return None
        if first is None or cls.effect == Effect.SAFE or cls.deduplication_scope == DeduplicationScope.ALL:
            return self.pool
        place = first.server.zone if cls.deduplication_scope == DeduplicationScope.ZONE else first.server.cell
        return self.groups.get((cls.deduplication_scope, place))

    def may_leave(self, now: float, request: int, number: int) -> bool:
        """Asked once more when the connection of an attempt has come up: whether the rules still let it go.

        Protects against a drain, an end or a restart of its server, and against the end of the deduplication
        window, in the time that a connection takes."""
        pending = self.requests.get(request)
        if pending is None or pending.streaming:
            return False
        server = pending.attempts[number].server
        drains = server.state == EndpointState.DRAINING and self.settings.sticky_while_draining
        if server.cordoned or not (server.state == EndpointState.READY or drains):
            return False
        others = [a for n, a in enumerate(pending.attempts) if n != number]
        if not self.limits.hedging and any(a.open for a in others):
            return False
        return _may_follow(pending.cls, _first_that_may_have_run(others), now)

    def _may_refuse(self, pending: PendingRequest) -> bool:
        """No effect twice: a refusal says that trying again is harmless."""
        cls = pending.cls
        if (
            cls.effect == Effect.SAFE
            or cls.effect == Effect.KEYED
            and cls.deduplication_scope == DeduplicationScope.ALL
        ):
            return True
        return not any(a.may_have_run for a in pending.attempts)

    def _send(self, pending: PendingRequest, server: Endpoint) -> None:
        """The one place that sends; an attempt never outlives the use of its answer."""
        key = (pending.id, len(pending.attempts))
        if pending.coming:
            server.responding.add(key)
        else:
            server.in_flight[key] = self.now
            self.in_flight += 1
        pending.attempts.append(Attempt(server, self.now, len(server.in_flight)))
        self.flow = self._flow() + 1
        self.flow_at = self.now
        if (
            server.priority
            and self.settings.standby_slow_start
            and self.now - server.last_used > self.rules.slow_start_duration
        ):
            server.warm_started_at = self.now
        server.last_used = self.now
        self._pace_cold(server)
        since = pending.began if pending.coming else self.now
        time = min(pending.useful - since, self.limits.attempt_timeout)
        self.actions.append(Send(pending.id, server.id, max(0.001, time)))
