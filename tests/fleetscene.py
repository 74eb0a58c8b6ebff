"""Simulates many balancers in front of modelled members, in virtual time and from a seed.

A member shares its core equally among its jobs (processor sharing); each open connection takes a part of its capacity;
a cold member has less capacity; one that is down accepts no connection. Requests arrive as a Poisson process, and
clients retry rejected requests while there is time.
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
# Share of a member's capacity that MAX_CONNECTIONS connections take, and that number.
CONNECTION_COST, MAX_CONNECTIONS = 0.28, 23
HANDSHAKE_S = 0.0008
REPORT_INTERVAL_S, REPORT_DELAY_S = 0.05, 0.02
CONNECT_TIMEOUT_S = 0.25

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
LIMITS = PolicyLimits(
    max_attempts=5, retry_after=True, max_retry_after=2.0, connect_timeout=CONNECT_TIMEOUT_S
)
RULES = SafetyRules(
    slow_start_capacity=0.35,
    slow_start_duration=6.0,
    overload_factor=2.5,
    overload_duration=3.0,
    drain_grace=2.0,
)


@dataclass
class Job:
    """One attempt that a member works on."""

    key: tuple[int, int, int]  # proxy, request, attempt
    remaining_work: float
    io_s: float


class Member:
    """Models one member: its jobs, its connections and its utilization reports."""

    def __init__(self, scene: Scene, name: str, speed: float, kind: int, zone: int, started: float) -> None:
        self.scene, self.name, self.speed, self.kind, self.zone = scene, name, speed, kind, zone
        self.started, self.down, self.error_rate = started, False, 0.0
        self.jobs: dict[tuple[int, int, int], Job] = {}
        self.idle: Counter[int] = Counter()  # idle connections, by proxy
        self.advanced_at = self.busy_s = self.busy_at_report = 0.0
        self.reports: list[tuple[float, float]] = [(0.0, 0.0)]
        self.version = 0
        self.received_work: list[tuple[float, float]] = []  # time and work of each attempt that was sent here

    def max_cold_overload(self) -> float:
        """Return the greatest ratio of work sent while cold to capacity, over all windows of the rules."""
        cold = [
            (at, work)
            for at, work in self.received_work
            if at < self.started + self.scene.rules.slow_start_duration
        ]
        most = 0.0
        for first, (begin, _) in enumerate(cold):
            window = [work for at, work in cold[first:] if at <= begin + self.scene.rules.overload_duration]
            most = max(
                most,
                sum(window)
                / (self.speed * self.slow_start_factor(begin) * self.scene.rules.overload_duration),
            )
        return most

    def over_budget(self) -> float:
        """Return by how many requests of mean work the worst cold window of the rules exceeds its allowance.

        The allowance is the budget of N requests, plus 2 roots of N and 2 for chance. Above 0 the member fails.
        """
        rules, mean = self.scene.rules, sum(WORK_S) / 2
        cold = [
            (at, work / mean)
            for at, work in self.received_work
            if at < self.started + rules.slow_start_duration
        ]
        worst, end, in_window = -math.inf, 0, 0.0
        for begin, work in cold:
            while end < len(cold) and cold[end][0] < begin + rules.overload_duration:
                in_window += cold[end][1]
                end += 1
            budget = (
                rules.overload_factor
                * self.speed
                * self.slow_start_factor(begin)
                * rules.overload_duration
                / mean
            )
            worst = max(worst, in_window - budget - 2 * math.sqrt(budget) - 2)
            in_window -= work
        return worst

    def slow_start_factor(self, at: float) -> float:
        """Return the share of its speed that it has at this time."""
        age = max(0.0, at - self.started)
        rules = self.scene.rules
        if not self.started or age >= rules.slow_start_duration:
            return 1.0
        return rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_duration

    def go_down(self) -> None:
        """Stop accepting connections."""
        self.down = True
        self.idle.clear()

    def capacity(self) -> float:
        """Return the current work per second."""
        connections = len(self.jobs) + sum(self.idle.values())
        return (
            self.speed
            * self.slow_start_factor(self.scene.now)
            * (1 - CONNECTION_COST * min(1.0, connections / MAX_CONNECTIONS))
        )

    def advance(self) -> None:
        """Subtract the work that was done since the last call from all jobs."""
        elapsed = self.scene.now - self.advanced_at
        self.advanced_at = self.scene.now
        if not self.jobs or elapsed <= 0:
            return
        self.busy_s += elapsed
        work_per_job = elapsed * self.capacity() / len(self.jobs)
        for job in self.jobs.values():
            job.remaining_work -= work_per_job

    def schedule_completion(self) -> None:
        """Schedule the completion of the job with the least remaining work."""
        self.version += 1
        if self.jobs:
            least = min(job.remaining_work for job in self.jobs.values())
            wait = max(0.0, least) * len(self.jobs) / self.capacity()
            self.scene.after(wait + 1e-7, self.complete_jobs, self.version)

    def complete_jobs(self, version: int) -> None:
        """Complete the finished jobs, unless a later schedule has replaced this one."""
        if version != self.version:
            return
        self.advance()
        for job in [job for job in self.jobs.values() if job.remaining_work <= 1e-9]:
            del self.jobs[job.key]
            self.scene.after(job.io_s, self.scene.receive_response, self, job)
        self.schedule_completion()

    def remove_job(self, key: tuple[int, int, int]) -> None:
        """Remove the job of an attempt, if it is still here."""
        self.advance()
        if self.jobs.pop(key, None):
            self.schedule_completion()

    def sample_utilization(self) -> None:
        """Measure the utilization since the last sample; it is visible after the report delay."""
        self.advance()
        utilization = min(1.0, (self.busy_s - self.busy_at_report) / REPORT_INTERVAL_S)
        self.busy_at_report = self.busy_s
        self.reports = [*self.reports[-3:], (self.scene.now + REPORT_DELAY_S, utilization)]
        self.scene.after(REPORT_INTERVAL_S, self.sample_utilization)

    def report(self) -> dict[str, float]:
        """Return the latest visible utilization, with noise."""
        known = [utilization for at, utilization in self.reports if at <= self.scene.now] or [0.0]
        return {"utilization": known[-1] * self.scene.random.uniform(0.9, 1.1)}


class Scene:
    """Runs the proxies, the members and the clients; `rate` is the number of first attempts per second in total."""

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
        self.random, self.now, self.rate, self.book_share = random.Random(seed), 1000.0, rate, book
        self.start = self.now
        self.scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.schedule_order, self.request_ids = count(), count(1)
        self.total_counts: Counter[str] = Counter()
        self.members: dict[str, Member] = {}
        for number in range(members):
            kind = int(number % 5 in (1, 3))
            speed = (0.97, 0.6)[kind] * self.random.lognormvariate(0, 0.13)
            self.add(f"s-{number}", speed / (6.0 if number < slow else 1.0), kind, number % 2, 0.0)
        self.make, self.seed, self.size = make, seed, proxies
        self.proxies = [self.proxy(n) for n in range(proxies)]
        # Time of the first attempt, class, and retries left.
        self.open: dict[tuple[int, int], tuple[float, int, int]] = {}
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.sent: dict[tuple[int, int, int], Any] = {}
        self.counts_by_second: dict[int, Counter[str]] = {}

    def proxy(self, number: int, life: int = 0) -> Balancer:
        """Create a balancer; `life` is the number of restarts of its proxy."""
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
        """Restart a proxy; its open requests and attempts are lost."""
        self.proxies[number] = self.proxy(number, 1)
        for table in (self.open, self.attempts):
            for key in [key for key in table if key[0] == number]:
                del table[key]
        for sent in [key for key in self.sent if key[0] == number]:
            self.sent.pop(sent)[1].remove_job(sent)

    def add(self, name: str, speed: float, kind: int, zone: int, started: float) -> Member:
        """Add a member to the scene; `started` is 0 for one that is warm."""
        member = self.members[name] = Member(self, name, speed, kind, zone, started)
        member.advanced_at = self.now
        self.after(self.random.random() * REPORT_INTERVAL_S, member.sample_utilization)
        return member

    def after(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after this many seconds of virtual time."""
        heapq.heappush(self.scheduled, (self.now + wait, next(self.schedule_order), call, args))

    def publish_endpoints(self, spread: float = 0.0) -> None:
        """Deliver the list of members that are up to each proxy, after a random delay of up to `spread` seconds."""
        entries = tuple(
            EndpointEntry(member.name, member.zone, member.zone, member.kind, started=member.started)
            for member in self.members.values()
            if not member.down
        )
        for number in range(len(self.proxies)):
            self.after(self.random.random() * spread, self.deliver, number, EndpointList(entries))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        if self.now == self.start:
            self.generate_arrival()
        while self.scheduled and self.scheduled[0][0] < end:
            self.now, _, call, args = heapq.heappop(self.scheduled)
            call(*args)
        self.now = end

    def generate_arrival(self) -> None:
        """Send a new request of a random class, and schedule the next arrival."""
        cls = BOOK if self.random.random() < self.book_share else TRACK
        self.add_count(f"asked {cls}")
        self.send_request(self.now, cls, 1)
        self.after(self.random.expovariate(self.rate), self.generate_arrival)

    def send_request(self, first: float, cls: int, retries: int) -> None:
        """Send a request to a random proxy, unless the client timeout since its first attempt has expired."""
        number, request = self.random.randrange(len(self.proxies)), next(self.request_ids)
        time_left = CLASSES[cls].client_timeout - (self.now - first)
        if time_left > 0:
            self.open[number, request] = first, cls, retries
            self.deliver(number, Request(request, cls, time_left))

    def add_count(self, name: str, amount: int = 1) -> None:
        """Add to a counter, in total and for the current second."""
        self.counts_by_second.setdefault(int(self.now - self.start), Counter())[name] += amount
        self.total_counts[name] += amount

    def deliver(self, number: int, event: Any) -> None:
        """Deliver an event to a proxy, and carry out its actions."""
        for action in self.proxies[number].handle(self.now, [event]):
            if isinstance(action, Send):
                self.send(number, action)
            elif isinstance(action, (Reject, Fail)):
                self.reject(number, action.request)
            elif isinstance(action, Cancel):
                self.finish((number, action.request, action.attempt), AttemptResult.CANCELLED)
            elif isinstance(action, SetTimer):
                self.after(action.delay, self.deliver, number, TimerFired(action.token))
            elif isinstance(action, CloseIdleConnections) and action.endpoint in self.members:
                self.members[action.endpoint].idle[number] = 0

    def send(self, number: int, action: Send) -> None:
        """Carry out an attempt."""
        request = action.request
        key = (number, request, self.attempts[number, request])
        self.attempts[number, request] += 1
        member = self.members[action.endpoint]
        cls = self.open[number, request][1]
        self.sent[key] = (self.now, member, cls)
        self.add_count("sent")
        self.add_count(f"to {action.endpoint}")
        if member.down:
            self.after(CONNECT_TIMEOUT_S, self.finish, key, AttemptResult.NO_CONNECTION)
            return
        self.after(action.timeout, self.finish, key, AttemptResult.TIMEOUT)
        work = WORK_S[cls] * self.random.lognormvariate(-0.15, 0.55)
        member.advance()
        if member.idle[number]:
            member.idle[number] -= 1
        else:
            work += HANDSHAKE_S
            self.add_count("handshake")
        if len(member.jobs) + sum(member.idle.values()) >= MAX_CONNECTIONS:
            self.after(0.001, self.finish, key, AttemptResult.NO_CONNECTION)
            return
        if self.random.random() < member.error_rate:
            self.after(0.001, self.finish, key, AttemptResult.ERROR)
            return
        member.received_work.append((self.now, work))
        member.jobs[key] = Job(key, work, IO_S[cls])
        member.schedule_completion()

    def receive_response(self, member: Member, job: Job) -> None:
        """Finish a served attempt, and keep its connection idle."""
        if job.key in self.sent:
            if not member.down:
                member.idle[job.key[0]] = min(6, member.idle[job.key[0]] + 1)
            self.finish(job.key, AttemptResult.SERVED, member.report())

    def finish(
        self, key: tuple[int, int, int], result: AttemptResult, report: dict[str, float] | None = None
    ) -> None:
        """Report the result of an attempt to its proxy, unless the attempt has already ended."""
        if key not in self.sent:
            return
        sent_at, member, cls = self.sent.pop(key)
        member.remove_job(key)
        self.add_count(result.name.lower())
        number, request, attempt = key
        ended = False
        if result == AttemptResult.SERVED and (number, request) in self.open:
            first, cls, _ = self.open.pop((number, request))
            self.add_count(
                f"{'intime' if self.now - first <= CLASSES[cls].latency_objective else 'late'} {cls}"
            )
            ended = True
        self.deliver(
            number, Outcome(request, attempt, member.name, result, self.now - sent_at, ended, report)
        )

    def reject(self, number: int, request: int) -> None:
        """End a rejected request, and schedule its retry by the client if one is left."""
        first, cls, retries = self.open.pop((number, request))
        self.add_count(f"refused {cls}")
        if retries:
            self.after(self.random.uniform(0.02, 0.1), self.send_request, first, cls, retries - 1)
