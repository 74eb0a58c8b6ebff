"""Models members with shared cores, a queue in front of them, cold starts and phases of faults.

Processor sharing by attained service: while n requests are processed, each gets `speed` times min(1, cores / n) seconds
of service per second. The service that each has attained since the member started is one number for all requests, so
the next one to finish is that with the smallest finishing value; an event costs O(log n).
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Callable

from emulator.clock import Clock
from emulator.scenario import MemberPart, RulesPart

#: Longest interval between recomputations while a member is cold, since its speed changes continuously then.
COLD_RECOMPUTE_S = 0.1
#: Seconds until a member with a full backlog rejects a request.
REJECTION_S = 0.001
Key = tuple[int, int, int]  # proxy, request, attempt


@dataclass(slots=True, eq=False)
class Job:
    """Holds an attempt at a member while it waits or is processed."""

    key: Key
    work: float
    delay_after: float  # seconds between the end of the work and the response
    effect: tuple[int, str]  # number of the client's request, kind of effect
    finishes_at: float = 0.0  # attained service at which it is done
    removed: bool = False  # finished or cancelled


class Member:
    """Models one member.

    The callbacks `on_response(member, job)` and `on_rejected(member, key)` report the results of requests,
    `on_started(member, job)` the start of processing.
    """

    def __init__(
        self, clock: Clock, part: MemberPart, rules: RulesPart, name: str, zone: str, speed: float
    ) -> None:
        self.clock, self.part, self.rules, self.name, self.zone, self.speed = (
            clock,
            part,
            rules,
            name,
            zone,
            speed,
        )
        self.started = 0.0  # 0: before the simulation, so the member is warm
        self.down = self.silent = self.draining = False
        self.paused = False
        self.slowdown = 1.0
        self.errors = 0.0
        self.idle_connections: dict[int, int] = {}  # by proxy
        self.jobs: dict[Key, Job] = {}
        self.waiting: deque[Job] = deque()
        self._heap: list[tuple[float, int, Job]] = []
        self._order = 0
        self._service, self._at, self._version = 0.0, clock.now, 0
        self.busy = 0.0  # in core seconds
        self.cold_work: list[
            tuple[float, float]
        ] = []  # time and work of requests that came while it was cold
        self.on_response: Callable[[Member, Job], None]
        self.on_rejected: Callable[[Member, Key], None]
        self.on_started: Callable[[Member, Job], None]

    # Speed.

    def warmth(self, at: float) -> float:
        """Return the share of its full speed that the member has at a time."""
        age = max(0.0, at - self.started)
        if not self.started or age >= self.rules.cold_time:
            return 1.0
        return self.rules.cold_from + (1 - self.rules.cold_from) * age / self.rules.cold_time

    def is_cold(self) -> bool:
        return bool(self.started) and self.clock.now - self.started < self.rules.cold_time

    def rate(self) -> float:
        """Return the service that each request gets per second."""
        if not self.jobs or self.paused or self.down:
            return 0.0
        return (
            self.speed
            / self.slowdown
            * self.warmth(self.clock.now)
            * min(1.0, self.part.cores / len(self.jobs))
        )

    def advance(self) -> None:
        """Account for the service up to now, at the rate since the last change."""
        passed = self.clock.now - self._at
        self._at = self.clock.now
        if passed > 0 and self.jobs:
            self._service += passed * self.rate()
            self.busy += passed * min(self.part.cores, len(self.jobs)) * (not self.paused)

    def reschedule(self) -> None:
        """Schedule the next completion after a change of the rate."""
        self._version += 1
        rate = self.rate()
        while self._heap and self._heap[0][2].removed:
            heapq.heappop(self._heap)
        if rate > 0 and self._heap:
            wait = max(0.0, (self._heap[0][0] - self._service) / rate)
            if self.is_cold():
                wait = min(wait, COLD_RECOMPUTE_S)
            self.clock.after(wait + 1e-9, self._complete_due, self._version)

    def _complete_due(self, version: int) -> None:
        if version != self._version:
            return
        self.advance()
        while self._heap and (self._heap[0][2].removed or self._heap[0][0] <= self._service + 1e-9):
            job = heapq.heappop(self._heap)[2]
            if not job.removed:
                del self.jobs[job.key]
                job.removed = True
                if not self.silent:
                    self.clock.after(job.delay_after, self.on_response, self, job)
        self._start_waiting()
        self.reschedule()

    # Requests.

    def receive(self, job: Job) -> None:
        """Receive a complete request: process it, queue it, or reject it if the backlog is full."""
        self.advance()
        if self.is_cold():
            self.cold_work.append((self.clock.now, job.work))
        if len(self.jobs) >= self.part.workers:
            if len(self.waiting) >= self.part.backlog:
                self.clock.after(REJECTION_S, self.on_rejected, self, job.key)
                return
            self.waiting.append(job)
            return
        self._start(job)
        self.reschedule()

    def _start(self, job: Job) -> None:
        self.on_started(self, job)
        self._order += 1
        job.finishes_at = self._service + job.work
        self.jobs[job.key] = job
        heapq.heappush(self._heap, (job.finishes_at, self._order, job))

    def _start_waiting(self) -> None:
        while self.waiting and len(self.jobs) < self.part.workers:
            job = self.waiting.popleft()
            if not job.removed:
                self._start(job)

    def cancel(self, key: Key) -> None:
        """Remove a request whose proxy has closed the connection; a waiting one is never started."""
        job = self.jobs.get(key)
        if job is not None:
            self.advance()
            job.removed = True
            del self.jobs[key]
            self._start_waiting()
            self.reschedule()
            return
        for job in self.waiting:
            if job.key == key:
                job.removed = True

    def crash(self) -> list[Key]:
        """Drop all requests and idle connections, and return the keys of the requests."""
        self.advance()
        keys = [*self.jobs, *(job.key for job in self.waiting if not job.removed)]
        for job in (*self.jobs.values(), *self.waiting):
            job.removed = True
        self.jobs.clear()
        self.waiting.clear()
        self._heap.clear()
        self.idle_connections.clear()
        self.reschedule()
        return keys

    def peak_cold_load(self) -> float:
        """Return the highest ratio of work received to capacity in any window of the rule while cold."""
        peak, first, total = 0.0, 0, 0.0
        for at, work in self.cold_work:
            total += work
            while self.cold_work[first][0] < at - self.rules.fall_time:
                total -= self.cold_work[first][1]
                first += 1
            capacity = (
                self.speed * self.part.cores * self.warmth(self.cold_work[first][0]) * self.rules.fall_time
            )
            peak = max(peak, total / capacity)
        return peak
