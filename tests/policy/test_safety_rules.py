"""The four rules over legal orders of events: a checker reads the actions, and models no endpoint."""

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
class Sent:
    server: str
    at: float
    open: bool = True
    may_have_run: bool = True


@dataclass
class Record:
    cls: RequestClass
    deadline: float
    sent: list[Sent] = field(default_factory=list)
    ended: bool = False


class Checker:
    """Plays legal events against a Balancer and reads what it does."""

    def __init__(self, entries: list[EndpointEntry], limits: PolicyLimits, seed: int) -> None:
        self.limits = limits
        self.entries = {e.endpoint: e for e in entries}
        self.balancer = Balancer(
            PolicySettings(CLASSES, zone_count=2, limits=limits, rules=SafetyRules()), seed
        )
        self.now = 50.0
        self.records: dict[int, Record] = {}
        self.timers: list[tuple[float, int]] = []
        self.play([EndpointList(tuple(entries))])

    def play(self, events: list[Any]) -> None:
        for action in self.balancer.handle(self.now, events):
            self.read(action)

    def read(self, action: Any) -> None:
        if isinstance(action, Send):
            self.read_send(action)
        elif isinstance(action, Fail):
            self.close(action.request)
        elif isinstance(action, Reject):
            record = self.records[action.request]
            cls = record.cls
            harmless = cls.effect == Effect.SAFE or (
                cls.effect == Effect.KEYED and cls.deduplication_scope == DeduplicationScope.ALL
            )
            assert harmless or not any(s.may_have_run for s in record.sent), "refused what may have run"
            self.close(action.request)
        elif isinstance(action, Cancel):
            assert self.limits.cancellation
            assert 0 <= action.attempt < len(self.records[action.request].sent)
        elif isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))

    def read_send(self, action: Send) -> None:
        record = self.records[action.request]
        assert not record.ended, "sent after the final answer"
        assert len(record.sent) < self.limits.max_attempts
        entry = self.entries[action.endpoint]
        assert entry.state == EndpointState.READY, "sent to a draining server"
        assert action.timeout <= record.deadline - self.now + 0.0011
        assert self.limits.hedging or not any(s.open for s in record.sent)
        ran = [s for s in record.sent if s.may_have_run]
        if ran:
            cls = record.cls
            assert cls.effect != Effect.UNSAFE, "an unsafe request sent again"
            if cls.effect == Effect.KEYED:
                first = self.entries[ran[0].server]
                assert self.now < ran[0].at + cls.deduplication_window, "sent again past the window"
                assert cls.deduplication_scope != DeduplicationScope.ZONE or first.zone == entry.zone
                assert cls.deduplication_scope != DeduplicationScope.CELL or first.cell == entry.cell
        record.sent.append(Sent(action.endpoint, self.now))

    def close(self, request: int) -> None:
        assert not self.records[request].ended, "two final answers"
        self.records[request].ended = True

    def request(self, number: int, cls: int, left: float) -> None:
        self.records[number] = Record(CLASSES[cls], self.now + left)
        self.play([Request(number, cls, left)])

    def outcome(self, number: int, attempt: int, result: AttemptResult) -> None:
        record, sent = self.records[number], self.records[number].sent[attempt]
        if result == AttemptResult.SERVED and not record.ended:
            record.ended = True
        sent.open = False
        if result in NEVER_RAN:
            sent.may_have_run = False
        took = self.now - sent.at
        self.play([Outcome(number, attempt, sent.server, result, took, record.ended, {"utilization": 0.5})])

    def open_attempts(self) -> list[tuple[int, int]]:
        return [(n, i) for n, r in self.records.items() for i, s in enumerate(r.sent) if s.open]

    def ask_again(self) -> None:
        """Each attempt that is out may ask at any time whether it may still leave: yes where the rules let it."""
        for number, attempt in self.open_attempts():
            record = self.records[number]
            others = [s for n, s in enumerate(record.sent) if n != attempt]
            ran = [s for s in others if s.may_have_run]
            cls, entry = record.cls, self.entries[record.sent[attempt].server]
            kept = (
                not record.ended
                and entry.state == EndpointState.READY
                and (self.limits.hedging or not any(s.open for s in others))
                and (
                    not ran
                    or cls.effect == Effect.SAFE
                    or cls.effect == Effect.KEYED
                    and self.now < ran[0].at + cls.deduplication_window
                )
            )
            assert self.balancer.may_leave(self.now, number, attempt) == kept, (cls.name, record, entry)

    def due(self) -> None:
        """What the world owes by now: timers, and time-outs at the deadline."""
        self.ask_again()
        ready = sorted(t for t in self.timers if t[0] <= self.now)
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, token in ready:
            self.play([TimerFired(token)])
        for number, attempt in self.open_attempts():
            if self.now >= self.records[number].deadline:
                self.outcome(number, attempt, AttemptResult.TIMEOUT)

    def finish(self) -> None:
        self.now += 5.0
        self.due()
        assert all(r.ended for r in self.records.values()), "a request without its final answer"


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


def play_day(steps: list[tuple[str, Any, Any]], count: int, limits: PolicyLimits, seed: int) -> None:
    entries = [EndpointEntry(f"s{i}", zone=i % 2, cell=i % 3) for i in range(count)]
    day = Checker(entries, limits, seed)
    for number, (what, a, b) in enumerate(steps):
        if what == "ask":
            day.request(number, a, b)
        elif what == "end" and day.open_attempts():
            open_now = day.open_attempts()
            request, attempt = open_now[a % len(open_now)]
            day.outcome(request, attempt, b)
        elif what == "wait":
            day.now += a
            day.due()
        elif what == "list" and count:
            entry = day.entries[f"s{a % count}"]._replace(state=b)
            day.entries[entry.endpoint] = entry
            day.play([EndpointList((entry,), complete=False)])
            day.ask_again()
        elif what == "withdraw":
            waiting = [n for n, r in day.records.items() if not r.ended]
            if waiting:
                gone = waiting[a % len(waiting)]
                day.records[gone].ended = True
                day.play([ClientCancelled(gone)])
    day.finish()


LIMITS = st.builds(
    PolicyLimits, max_attempts=st.integers(1, 5), cancellation=st.booleans(), hedging=st.booleans()
)


@settings(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(STEPS, st.integers(0, 7), LIMITS, st.integers(0, 2**63))
def test_rules_hold_over_legal_orders_of_events(
    steps: list[tuple[str, Any, Any]], count: int, limits: PolicyLimits, seed: int
) -> None:
    play_day(steps, count, limits, seed)


find_a_bad_day = settings(
    derandomize=True,
    max_examples=500,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
    report_multiple_bugs=False,
    print_blob=False,
)(given(STEPS, st.integers(0, 7), LIMITS, st.integers(0, 2**63))(play_day))


def _any_pool(self: RetryPolicy, pending: PendingRequest, now: float, after_cancel: bool = False) -> Any:
    return self._registry.pool


#: A defect by the name of the rule that it breaks: where the rule stands, its name there, what is put in its place.
BROKEN: dict[str, tuple[object, str, Any]] = {
    "next_pool": (RetryPolicy, "next_pool", _any_pool),
    "may_reject": (idempotency, "may_reject", lambda request_class, attempts: True),
    "accepts_requests": (SlowStart, "accepts_requests", lambda self, endpoint, now: True),
    "reject_or_fail": (Balancer, "_reject_or_fail", lambda self, pending, now: None),
    "may_leave": (Balancer, "may_leave", lambda self, now, request, attempt_number: True),
}


@pytest.mark.parametrize("name", BROKEN)
def test_the_checker_sees_a_broken_rule(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*BROKEN[name])
    if name == "accepts_requests":  # list changes alone would still keep drained endpoints out of the pools
        monkeypatch.setattr(EndpointRegistry, "rebuild_pools", _keep_all)
    with pytest.raises((AssertionError, LookupError, KeyError)):
        find_a_bad_day()


def _keep_all(self: EndpointRegistry) -> None:
    real = {endpoint.id: endpoint.state for endpoint in self.by_id.values()}
    for endpoint in self.by_id.values():
        endpoint.state = EndpointState.READY
    _REBUILD_POOLS(self)
    for endpoint in self.by_id.values():
        endpoint.state = real[endpoint.id]


_REBUILD_POOLS = EndpointRegistry.rebuild_pools
