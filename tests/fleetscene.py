"""Many instances of the decision module over modelled members, in virtual time, from a seed.

A member shares its core among what it works on (processor sharing); each open connection takes a part of its
capacity; a cold one has less; one that is down accepts no connection. Clients send by a Poisson process and
repeat what is refused while there is time.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass
from itertools import count
from typing import Any, Callable

from loadbalancer.policy.actions import (
    Cancel,
    CloseIdleConnections,
    Fail,
    Reject,
    Send,
    SetTimer,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.settings import (
    Effect,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
)

TRACK, BOOK = 0, 1
WORK_S, IO_S = (0.024, 0.028), (0.039, 0.030)  # of each class, on a core of speed 1
TAX, TABLE = 0.28, 23  # capacity that a full table of connections takes, and its size
HANDSHAKE_S = 0.0008
REPORT_S, DELAY_S = 0.05, 0.02
CONNECT_S = 0.25

CLASSES = (
    RequestClass("track", latency_objective=0.18, client_timeout=0.45, priority_weight=3.0),
    RequestClass(
        "book",
        latency_objective=0.45,
        client_timeout=1.5,
        priority_weight=10.0,
        effect=Effect.KEYED,
        deduplication_window=0.9,
    ),
)
LIMITS = PolicyLimits(max_attempts=5, retry_after=True, max_retry_after=2.0, connect_timeout=CONNECT_S)
RULES = SafetyRules(
    slow_start_capacity=0.35,
    slow_start_duration=6.0,
    overload_factor=2.5,
    overload_duration=3.0,
    drain_grace=2.0,
)


@dataclass
class Job:
    key: tuple[int, int, int]  # proxy, request, attempt
    left: float  # work
    io: float


class Member:
    def __init__(self, scene: Scene, name: str, speed: float, kind: int, zone: int, started: float) -> None:
        self.scene, self.name, self.speed, self.kind, self.zone = scene, name, speed, kind, zone
        self.started, self.down, self.errs = started, False, 0.0
        self.jobs: dict[tuple[int, int, int], Job] = {}
        self.idle: Counter[int] = Counter()  # connections kept, by proxy
        self.at = self.busy = self.busy_at = 0.0
        self.reports: list[tuple[float, float]] = [(0.0, 0.0)]
        self.version = 0
        self.given: list[tuple[float, float]] = []  # work sent here, and when

    def most_in_window(self) -> float:
        """The most work that it was sent in any window of the rules while cold, for what it could do in it."""
        cold = [
            (at, work) for at, work in self.given if at < self.started + self.scene.rules.slow_start_duration
        ]
        most = 0.0
        for first, (begin, _) in enumerate(cold):
            window = [work for at, work in cold[first:] if at <= begin + self.scene.rules.overload_duration]
            most = max(
                most, sum(window) / (self.speed * self.warmth(begin) * self.scene.rules.overload_duration)
            )
        return most

    def over_budget(self) -> float:
        """Requests of mean work that it was sent while cold, in the worst window of the rules, over the budget of N and
        what is chance, 2 roots of N and 2; over 0 it falls."""
        rules, mean = self.scene.rules, sum(WORK_S) / 2
        cold = [(at, work / mean) for at, work in self.given if at < self.started + rules.slow_start_duration]
        worst, end, held = -math.inf, 0, 0.0
        for begin, work in cold:
            while end < len(cold) and cold[end][0] < begin + rules.overload_duration:
                held += cold[end][1]
                end += 1
            budget = rules.overload_factor * self.speed * self.warmth(begin) * rules.overload_duration / mean
            worst = max(worst, held - budget - 2 * math.sqrt(budget) - 2)
            held -= work
        return worst

    def warmth(self, at: float) -> float:
        """Share of its speed that it has at a time."""
        age = max(0.0, at - self.started)
        rules = self.scene.rules
        if not self.started or age >= rules.slow_start_duration:
            return 1.0
        return rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_duration

    def fall(self) -> None:
        """It accepts no connection any more."""
        self.down = True
        self.idle.clear()

    def capacity(self) -> float:
        table = len(self.jobs) + sum(self.idle.values())
        return self.speed * self.warmth(self.scene.now) * (1 - TAX * min(1.0, table / TABLE))

    def advance(self) -> None:
        passed = self.scene.now - self.at
        self.at = self.scene.now
        if not self.jobs or passed <= 0:
            return
        self.busy += passed
        each = passed * self.capacity() / len(self.jobs)
        for job in self.jobs.values():
            job.left -= each

    def plan(self) -> None:
        self.version += 1
        if self.jobs:
            least = min(job.left for job in self.jobs.values())
            wait = max(0.0, least) * len(self.jobs) / self.capacity()
            self.scene.after(wait + 1e-7, self.step, self.version)

    def step(self, version: int) -> None:
        if version != self.version:
            return
        self.advance()
        for job in [j for j in self.jobs.values() if j.left <= 1e-9]:
            del self.jobs[job.key]
            self.scene.after(job.io, self.scene.answer, self, job)
        self.plan()

    def drop(self, key: tuple[int, int, int]) -> None:
        self.advance()
        if self.jobs.pop(key, None):
            self.plan()

    def take_report(self) -> None:
        self.advance()
        util = min(1.0, (self.busy - self.busy_at) / REPORT_S)
        self.busy_at = self.busy
        self.reports = [*self.reports[-3:], (self.scene.now + DELAY_S, util)]
        self.scene.after(REPORT_S, self.take_report)

    def report(self) -> dict[str, float]:
        known = [util for at, util in self.reports if at <= self.scene.now] or [0.0]
        return {"utilization": known[-1] * self.scene.random.uniform(0.9, 1.1)}


class Scene:
    """`rate`: first tries a second over the whole fleet."""

    def __init__(
        self,
        proxies: int,
        members: int,
        rate: float,
        seed: int,
        slow: int = 0,
        make: Callable[..., Balancer] = Balancer,
        book: float = 0.47,
        rules: SafetyRules = RULES,
    ) -> None:
        self.rules = rules
        self.random, self.now, self.rate, self.book = random.Random(seed), 1000.0, rate, book
        self.start = self.now
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order, self.ids = count(), count(1)
        self.count: Counter[str] = Counter()
        self.members: dict[str, Member] = {}
        for number in range(members):
            kind = int(number % 5 in (1, 3))
            speed = (0.97, 0.6)[kind] * self.random.lognormvariate(0, 0.13)
            self.add(f"s-{number}", speed / (6.0 if number < slow else 1.0), kind, number % 2, 0.0)
        self.make, self.seed, self.size = make, seed, proxies
        self.proxies = [self.proxy(n) for n in range(proxies)]
        self.open: dict[tuple[int, int], tuple[float, int, int]] = {}  # asked first, class, tries left
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.sent: dict[tuple[int, int, int], Any] = {}
        self.spans: dict[int, Counter[str]] = {}

    def proxy(self, number: int, life: int = 0) -> Balancer:
        """A new one; `life`: how often its place was restarted."""
        settings = PolicySettings(
            CLASSES,
            instance_index=number,
            instance_count=self.size,
            zone_count=2,
            zone=number % 2,
            report_fields=("utilization",),
            limits=LIMITS,
            rules=self.rules,
        )
        return self.make(settings, self.seed * 1000 + number + 500_000 * life)

    def restart(self, number: int) -> None:
        """What it had asked for is lost with it."""
        self.proxies[number] = self.proxy(number, 1)
        for those in (self.open, self.attempts):
            for key in [key for key in those if key[0] == number]:
                del those[key]
        for sent in [key for key in self.sent if key[0] == number]:
            self.sent.pop(sent)[1].drop(sent)

    def add(self, name: str, speed: float, kind: int, zone: int, started: float) -> Member:
        member = self.members[name] = Member(self, name, speed, kind, zone, started)
        member.at = self.now
        self.after(self.random.random() * REPORT_S, member.take_report)
        return member

    def after(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.heap, (self.now + wait, next(self.order), call, args))

    def tell_list(self, spread: float = 0.0) -> None:
        entries = tuple(
            EndpointEntry(m.name, m.zone, m.zone, m.kind, started=m.started)
            for m in self.members.values()
            if not m.down
        )
        for number in range(len(self.proxies)):
            self.after(self.random.random() * spread, self.tell, number, EndpointList(entries))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        if self.now == self.start:
            self.arrive()
        while self.heap and self.heap[0][0] < end:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now = end

    def arrive(self) -> None:
        cls = BOOK if self.random.random() < self.book else TRACK
        self.note(f"asked {cls}")
        self.ask(self.now, cls, 1)
        self.after(self.random.expovariate(self.rate), self.arrive)

    def ask(self, first: float, cls: int, tries: int) -> None:
        number, request = self.random.randrange(len(self.proxies)), next(self.ids)
        left = CLASSES[cls].client_timeout - (self.now - first)
        if left > 0:
            self.open[number, request] = first, cls, tries
            self.tell(number, Request(request, cls, left))

    def note(self, what: str, much: int = 1) -> None:
        self.spans.setdefault(int(self.now - self.start), Counter())[what] += much
        self.count[what] += much

    def tell(self, number: int, event: Any) -> None:
        for action in self.proxies[number].handle(self.now, [event]):
            if isinstance(action, Send):
                self.send(number, action)
            elif isinstance(action, (Reject, Fail)):
                self.end_refused(number, action.request)
            elif isinstance(action, Cancel):
                self.finish((number, action.request, action.attempt), AttemptResult.CANCELLED)
            elif isinstance(action, SetTimer):
                self.after(action.delay, self.tell, number, TimerFired(action.token))
            elif isinstance(action, CloseIdleConnections) and action.endpoint in self.members:
                self.members[action.endpoint].idle[number] = 0

    def send(self, number: int, action: Send) -> None:
        request = action.request
        key = (number, request, self.attempts[number, request])
        self.attempts[number, request] += 1
        member = self.members[action.endpoint]
        cls = self.open[number, request][1]
        self.sent[key] = (self.now, member, cls)
        self.note("sent")
        self.note(f"to {action.endpoint}")
        if member.down:
            self.after(CONNECT_S, self.finish, key, AttemptResult.NO_CONNECTION)
            return
        self.after(action.timeout, self.finish, key, AttemptResult.TIMEOUT)
        work = WORK_S[cls] * self.random.lognormvariate(-0.15, 0.55)
        member.advance()
        if member.idle[number]:
            member.idle[number] -= 1
        else:
            work += HANDSHAKE_S
            self.note("handshake")
        if len(member.jobs) + sum(member.idle.values()) >= TABLE:
            self.after(0.001, self.finish, key, AttemptResult.NO_CONNECTION)
            return
        if self.random.random() < member.errs:
            self.after(0.001, self.finish, key, AttemptResult.ERROR)
            return
        member.given.append((self.now, work))
        member.jobs[key] = Job(key, work, IO_S[cls])
        member.plan()

    def answer(self, member: Member, job: Job) -> None:
        if job.key in self.sent:
            if not member.down:
                member.idle[job.key[0]] = min(6, member.idle[job.key[0]] + 1)
            self.finish(job.key, AttemptResult.SERVED, member.report())

    def finish(
        self, key: tuple[int, int, int], result: AttemptResult, report: dict[str, float] | None = None
    ) -> None:
        if key not in self.sent:
            return
        sent, member, cls = self.sent.pop(key)
        member.drop(key)
        self.note(result.name.lower())
        number, request, attempt = key
        ended = False
        if result == AttemptResult.SERVED and (number, request) in self.open:
            first, cls, _ = self.open.pop((number, request))
            self.note(f"{'intime' if self.now - first <= CLASSES[cls].latency_objective else 'late'} {cls}")
            ended = True
        self.tell(number, Outcome(request, attempt, member.name, result, self.now - sent, ended, report))

    def end_refused(self, number: int, request: int) -> None:
        first, cls, tries = self.open.pop((number, request))
        self.note(f"refused {cls}")
        if tries:
            self.after(self.random.uniform(0.02, 0.1), self.ask, first, cls, tries - 1)
