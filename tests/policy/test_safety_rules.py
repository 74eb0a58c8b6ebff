"""Tests of the four safety rules over legal orders of events. A checker verifies the actions; it models no endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from loadbalancer.policy import idempotency
from loadbalancer.policy.actions import (
    Cancel,
    Fail,
    Reject,
    Send,
    SetTimer,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoints import EndpointRegistry
from loadbalancer.policy.events import (
    NEVER_RAN,
    AttemptResult,
    ClientCancelled,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.pending_requests import PendingRequest
from loadbalancer.policy.retry_policy import RetryPolicy
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
)
from loadbalancer.policy.slow_start import SlowStart

CLASSES = (
    RequestClass("safe", 0.5, 2.0),
    RequestClass("late", 0.5, 2.0, late_value=0.3),
    RequestClass(
        "all",
        0.5,
        2.0,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=0.7,
    ),
    RequestClass(
        "zone",
        0.5,
        2.0,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=0.7,
    ),
    RequestClass(
        "cell",
        0.5,
        2.0,
        late_value=0.2,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=0.7,
    ),
    RequestClass("unsafe", 0.5, 2.0, effect=Effect.UNSAFE),
)


@dataclass
class SentAttempt:
    endpoint: str
    at: float
    open: bool = True
    may_have_run: bool = True


@dataclass
class RequestRecord:
    request_class: RequestClass
    deadline: float
    sent: list[SentAttempt] = field(default_factory=list)
    ended: bool = False


class Checker:
    """Feeds legal events to a Balancer and checks each of its actions."""

    def __init__(self, entries: list[EndpointEntry], limits: PolicyLimits, seed: int) -> None:
        self.limits = limits
        self.entries = {e.endpoint: e for e in entries}
        self.balancer = Balancer(
            PolicySettings(CLASSES, zone_count=2, limits=limits, rules=SafetyRules()), seed
        )
        self.now = 50.0
        self.requests: dict[int, RequestRecord] = {}
        self.timers: list[tuple[float, int]] = []
        self.handle([EndpointList(tuple(entries))])

    def handle(self, events: list[Any]) -> None:
        for action in self.balancer.handle(self.now, events):
            self.check_action(action)

    def check_action(self, action: Any) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Fail):
            self.record_final_answer(action.request)
        elif isinstance(action, Reject):
            record = self.requests[action.request]
            request_class = record.request_class
            harmless = request_class.effect == Effect.SAFE or (
                request_class.effect == Effect.KEYED
                and request_class.deduplication_scope == DeduplicationScope.ALL
            )
            assert harmless or not any(s.may_have_run for s in record.sent), (
                "a request was rejected that may have run"
            )
            self.record_final_answer(action.request)
        elif isinstance(action, Cancel):
            assert self.limits.cancellation
            assert 0 <= action.attempt < len(self.requests[action.request].sent)
        elif isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))

    def check_send(self, action: Send) -> None:
        record = self.requests[action.request]
        assert not record.ended, "an attempt was sent after the final answer"
        assert len(record.sent) < self.limits.max_attempts
        entry = self.entries[action.endpoint]
        assert entry.state == EndpointState.READY, "an attempt was sent to an endpoint that is not ready"
        assert action.timeout <= record.deadline - self.now + 0.0011
        assert self.limits.hedging or not any(s.open for s in record.sent)
        possibly_run = [s for s in record.sent if s.may_have_run]
        if possibly_run:
            request_class = record.request_class
            assert request_class.effect != Effect.UNSAFE, "an unsafe request was sent again"
            if request_class.effect == Effect.KEYED:
                first = self.entries[possibly_run[0].endpoint]
                assert self.now < possibly_run[0].at + request_class.deduplication_window, (
                    "a keyed request was sent again after its deduplication window"
                )
                assert (
                    request_class.deduplication_scope != DeduplicationScope.ZONE or first.zone == entry.zone
                )
                assert (
                    request_class.deduplication_scope != DeduplicationScope.CELL or first.cell == entry.cell
                )
        record.sent.append(SentAttempt(action.endpoint, self.now))

    def record_final_answer(self, request: int) -> None:
        assert not self.requests[request].ended, "a request got a second final answer"
        self.requests[request].ended = True

    def request(self, number: int, class_index: int, time_remaining: float) -> None:
        self.requests[number] = RequestRecord(CLASSES[class_index], self.now + time_remaining)
        self.handle([Request(number, class_index, time_remaining)])

    def outcome(self, number: int, attempt: int, result: AttemptResult) -> None:
        record, sent = self.requests[number], self.requests[number].sent[attempt]
        if result == AttemptResult.SERVED and not record.ended:
            record.ended = True
        sent.open = False
        if result in NEVER_RAN:
            sent.may_have_run = False
        elapsed = self.now - sent.at
        self.handle(
            [Outcome(number, attempt, sent.endpoint, result, elapsed, record.ended, {"utilization": 0.5})]
        )

    def open_attempts(self) -> list[tuple[int, int]]:
        return [(n, i) for n, r in self.requests.items() for i, s in enumerate(r.sent) if s.open]

    def check_may_send_attempt(self) -> None:
        """Check that `may_send_attempt` allows each open attempt exactly if the rules do."""
        for number, attempt in self.open_attempts():
            record = self.requests[number]
            others = [s for n, s in enumerate(record.sent) if n != attempt]
            possibly_run = [s for s in others if s.may_have_run]
            request_class, entry = record.request_class, self.entries[record.sent[attempt].endpoint]
            expected = (
                not record.ended
                and entry.state == EndpointState.READY
                and (self.limits.hedging or not any(s.open for s in others))
                and (
                    not possibly_run
                    or request_class.effect == Effect.SAFE
                    or request_class.effect == Effect.KEYED
                    and self.now < possibly_run[0].at + request_class.deduplication_window
                )
            )
            assert self.balancer.may_send_attempt(self.now, number, attempt) == expected, (
                request_class.name,
                record,
                entry,
            )

    def fire_due_events(self) -> None:
        """Fire the timers that are due, and time out open attempts at the deadline."""
        self.check_may_send_attempt()
        ready = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in ready:
            self.handle([TimerFired(token)])
        for number, attempt in self.open_attempts():
            if self.now >= self.requests[number].deadline:
                self.outcome(number, attempt, AttemptResult.TIMEOUT)

    def finish(self) -> None:
        self.now += 5.0
        self.fire_due_events()
        assert all(r.ended for r in self.requests.values()), "a request has no final answer"


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, 5), st.floats(0.0, 2.0)),
        st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from(list(AttemptResult))),
        st.tuples(st.just("wait"), st.floats(0.0, 0.4), st.none()),
        st.tuples(st.just("list"), st.integers(0, 99), st.sampled_from(list(EndpointState))),
        st.tuples(st.just("withdraw"), st.integers(0, 99), st.none()),
    ),
    max_size=60,
)


def run_steps(
    steps: list[tuple[str, Any, Any]], endpoint_count: int, limits: PolicyLimits, seed: int
) -> None:
    entries = [EndpointEntry(f"s{i}", zone=i % 2, cell=i % 3) for i in range(endpoint_count)]
    checker = Checker(entries, limits, seed)
    for number, (step, value, detail) in enumerate(steps):
        if step == "ask":
            checker.request(number, value, detail)
        elif step == "end" and checker.open_attempts():
            open_attempts = checker.open_attempts()
            request, attempt = open_attempts[value % len(open_attempts)]
            checker.outcome(request, attempt, detail)
        elif step == "wait":
            checker.now += value
            checker.fire_due_events()
        elif step == "list" and endpoint_count:
            entry = checker.entries[f"s{value % endpoint_count}"]._replace(state=detail)
            checker.entries[entry.endpoint] = entry
            checker.handle([EndpointList((entry,), complete=False)])
            checker.check_may_send_attempt()
        elif step == "withdraw":
            waiting = [n for n, r in checker.requests.items() if not r.ended]
            if waiting:
                cancelled = waiting[value % len(waiting)]
                checker.requests[cancelled].ended = True
                checker.handle([ClientCancelled(cancelled)])
    checker.finish()


LIMITS = st.builds(
    PolicyLimits, max_attempts=st.integers(1, 5), cancellation=st.booleans(), hedging=st.booleans()
)


@settings(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(STEPS, st.integers(0, 7), LIMITS, st.integers(0, 2**63))
def test_the_rules_hold_for_legal_orders_of_events(
    steps: list[tuple[str, Any, Any]], endpoint_count: int, limits: PolicyLimits, seed: int
) -> None:
    run_steps(steps, endpoint_count, limits, seed)


find_counterexample = settings(
    derandomize=True,
    max_examples=500,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
    report_multiple_bugs=False,
    print_blob=False,
)(given(STEPS, st.integers(0, 7), LIMITS, st.integers(0, 2**63))(run_steps))


def _full_pool(self: RetryPolicy, pending: PendingRequest, now: float, after_cancel: bool = False) -> Any:
    return self._registry.pool


#: Defects by the name of the rule that they break: the rule's owner, its attribute there, and the replacement.
DEFECTS: dict[str, tuple[object, str, Any]] = {
    "next_pool": (RetryPolicy, "next_pool", _full_pool),
    "may_reject": (idempotency, "may_reject", lambda request_class, attempts: True),
    "accepts_requests": (SlowStart, "accepts_requests", lambda self, endpoint, now: True),
    "reject_or_fail": (Balancer, "_reject_or_fail", lambda self, pending, now: None),
    "may_send_attempt": (Balancer, "may_send_attempt", lambda self, now, request, attempt_number: True),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_the_checker_detects_a_broken_rule(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*DEFECTS[name])
    if name == "accepts_requests":  # the pools alone would still leave out draining endpoints
        monkeypatch.setattr(EndpointRegistry, "rebuild_pools", _rebuild_with_all_ready)
    with pytest.raises((AssertionError, LookupError, KeyError)):
        find_counterexample()


def _rebuild_with_all_ready(self: EndpointRegistry) -> None:
    states = {endpoint.id: endpoint.state for endpoint in self.by_id.values()}
    for endpoint in self.by_id.values():
        endpoint.state = EndpointState.READY
    _REBUILD_POOLS(self)
    for endpoint in self.by_id.values():
        endpoint.state = states[endpoint.id]


_REBUILD_POOLS = EndpointRegistry.rebuild_pools
