"""Simulates the simultaneous restart of most proxies of a large fleet in virtual time.

The recovery phases, staggering, choice of survivors and pacing of connections are the real ones; members, the slow
source of endpoint lists and the busy survivors are modelled. An instance sees the phases of the others after a delay; a
request uses an idle connection to a random member or opens a new one, and its response takes some time; opening a
connection costs time of the member; calls to the source and responses of a survivor are processed one after another.
The policy module is not simulated: members are drawn uniformly, except for one that is known to be sick.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from emulator.clock import Clock
from emulator.draws import Draws
from loadbalancer.fleet.orchestration.recovery import (
    ConnectionPace,
    LearnFromPeers,
    PhaseChanged,
    RecoveryCoordinator,
    RecoveryObservation,
    RecoveryPhase,
    is_full,
    stagger_delay,
)
from loadbalancer.policy.idle_connections import MIN_RATE_PER_CONNECTION
from loadbalancer.upstreams.pacing import Pacer

#: Seconds of a process start, of the propagation of a phase to other instances, and of a response on average.
START_S, PROPAGATION_S, MEAN_RESPONSE_S = 0.6, 0.25, 0.05
#: Seconds of a call at the source and of a response at a survivor, each processed one after another.
SOURCE_CALL_S, SURVIVOR_RESPONSE_S = 0.02, 0.01
#: Seconds per entry of the counters in the result.
SPAN_S = 0.1
#: Seconds between the source calls of two instances that have a list already, and the maximum (daemon/recovery.py).
STAGGER_STEP_S, STAGGER_MAX_S = 0.25, 5.0
#: Seconds that a client waits for a response.
CLIENT_TIMEOUT_S = 1.5


@dataclass
class Measures:
    """Tells which of the measures against overload at a restart are enabled."""

    pace: bool = True
    lessons: bool = True
    lists: bool = True
    turns: bool = True


@dataclass
class Told:
    """Holds the results of one run: seconds since the start of the processes, and counts per span of 100 ms."""

    full: list[float] = field(default_factory=list)  # when each restarted instance was fully recovered
    opened: Counter[int] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    sick: int = 0
    sent: int = 0


class Queue:
    """Models a server that processes one task at a time, `each` seconds per task."""

    def __init__(self, clock: Clock, each: float) -> None:
        self.clock, self.each, self.free_at = clock, each, 0.0

    def wait(self) -> float:
        """Enqueue a task and return the seconds until it is done."""
        begin = max(self.clock.now, self.free_at)
        self.free_at = begin + self.each
        return self.free_at - self.clock.now


class Proxy:
    """Simulates one instance, which is restarted if `restarts` is set and otherwise has survived."""

    def __init__(self, herd: Herd, number: int, restarts: bool) -> None:
        self.herd, self.number, self.name = herd, number, f"i{number:03}"
        self.phase, self.listed, self.knows_sick_member = RecoveryPhase.FULL, not restarts, not restarts
        self.idle: Counter[int] = Counter()
        self.waiting: dict[int, deque[float]] = {}
        self.paced_members: set[int] = set()
        self.pacer: Pacer | None = None
        self.served = self.ended = 0
        self.recovery: RecoveryCoordinator | None = None
        self.survivor_queue = Queue(herd.clock, SURVIVOR_RESPONSE_S)
        if not restarts and not herd.sparse:
            self.idle.update(range(herd.members))

    def start(self) -> None:
        self.recovery = RecoveryCoordinator(self.name, self.herd.clock.now)
        self.announce_phase(RecoveryPhase.FINDING)
        self.step_recovery()
        self.herd.clock.after(self.herd.draw() / self.herd.rate, self.request)

    def announce_phase(self, phase: RecoveryPhase) -> None:
        self.phase = phase
        self.herd.clock.after(PROPAGATION_S, self.herd.receive_phase, self.name, phase)

    def step_recovery(self) -> None:
        assert self.recovery is not None
        herd = self.herd
        phases = herd.known_phases
        full = tuple(name for name, phase in phases.items() if is_full(phase) and name != self.name)
        recovering = tuple(name for name, phase in phases.items() if not is_full(phase) and name != self.name)
        silent = len(herd.proxies) - 1 - len(full) - len(recovering)
        joined = herd.clock.now > self.recovery.began + 0.15
        observation = RecoveryObservation(
            joined, True, True, full, recovering, silent, self.served, self.ended
        )
        for action in self.recovery.step(herd.clock.now, observation):
            if isinstance(action, PhaseChanged):
                self.enter_phase(action.phase, recovering)
            elif isinstance(action, LearnFromPeers):
                self.learn_from_survivors(action)
            elif isinstance(action, ConnectionPace) and herd.measures.pace and not herd.sparse:
                per_s = action.per_member_s
                self.pacer = None if per_s is None else Pacer(per_s * herd.members, herd.clock.now)
        if self.phase != RecoveryPhase.FULL:
            herd.clock.after(0.05, self.step_recovery)
        else:
            herd.result.full.append(self.recovery.full_after or 99.0)

    def enter_phase(self, phase: RecoveryPhase, recovering: tuple[str, ...]) -> None:
        self.announce_phase(phase)
        if phase == RecoveryPhase.WARMING and not self.listed:
            self.call_source()
        elif phase == RecoveryPhase.WARMING:
            after = (
                stagger_delay(self.name, recovering, STAGGER_STEP_S, STAGGER_MAX_S)
                if self.herd.measures.turns
                else 0.0
            )
            self.herd.clock.after(after, self.call_source)

    def learn_from_survivors(self, action: LearnFromPeers) -> None:
        """Query survivors; each processes its queries one after another, and the list comes from the first of them."""
        herd = self.herd
        waits = [herd.by_name[name].survivor_queue.wait() for name in action.names]
        if herd.measures.lists:
            herd.clock.after(waits[0], self.receive_list)
        if herd.measures.lessons:
            herd.clock.after(max(waits), self.receive_learned_state)
        else:
            assert self.recovery is not None
            herd.clock.after(max(waits), self.recovery.on_survivors_answered)

    def receive_learned_state(self) -> None:
        assert self.recovery is not None
        self.knows_sick_member = True
        self.recovery.on_survivors_answered()

    def receive_list(self) -> None:
        self.listed = True

    def call_source(self) -> None:
        """Request the endpoint list from the source."""
        herd = self.herd
        herd.result.calls[herd.span] += 1
        herd.clock.after(herd.source.wait(), self.receive_list)

    # Requests.

    def request(self) -> None:
        herd = self.herd
        herd.clock.after(herd.gap() / herd.rate, self.request)
        if not self.listed:
            self.ended += 1
            herd.result.late[herd.span] += 1
            return
        member = int(herd.draw() * herd.members)
        if member == 0 and self.knows_sick_member and herd.draw() < 0.9:
            member = 1 + int(herd.draw() * (herd.members - 1))
        herd.result.sent += 1
        herd.result.sick += member == 0
        if self.idle[member]:
            self.idle[member] -= 1
            self.schedule_response(member, herd.clock.now)
        elif self.pacer is None:
            self.open(member, herd.clock.now)
        else:
            self.waiting.setdefault(member, deque()).append(herd.clock.now)
            self.open_next(member)

    def open_next(self, member: int) -> None:
        """Open the next connection to a member when the pacer allows it, as in upstreams/connections.py."""
        queue = self.waiting.get(member)
        if not queue or member in self.paced_members:
            return
        wait = self.pacer.take(self.herd.clock.now) if self.pacer is not None else 0.0
        if wait > 0:
            self.paced_members.add(member)
            self.herd.clock.after(wait, self.paced_open_due, member)
        else:
            self.open(member, queue.popleft())

    def paced_open_due(self, member: int) -> None:
        self.paced_members.discard(member)
        self.open_next(member)

    def open(self, member: int, sent_at: float) -> None:
        herd = self.herd
        herd.result.opened[herd.span] += 1
        at = herd.opening[member] = max(herd.clock.now, herd.opening[member]) + herd.handshake
        herd.clock.after(at - herd.clock.now, self.schedule_response, member, sent_at)

    def schedule_response(self, member: int, sent_at: float) -> None:
        self.herd.clock.after(MEAN_RESPONSE_S * self.herd.gap(), self.complete_request, member, sent_at)

    def complete_request(self, member: int, sent_at: float) -> None:
        herd = self.herd
        self.ended += 1
        if herd.clock.now - sent_at <= CLIENT_TIMEOUT_S:
            self.served += 1
            herd.result.served[herd.span] += 1
        else:
            herd.result.late[herd.span] += 1
        queue = self.waiting.get(member)
        if queue:
            self.schedule_response(member, queue.popleft())
        elif not herd.sparse:
            self.idle[member] += 1


class Herd:
    """Simulates one run."""

    def __init__(
        self,
        seed: int,
        measures: Measures,
        proxies: int = 200,
        members: int = 250,
        comes: int = 180,
        rate: float = 50.0,
        handshake: float = 0.004,
    ) -> None:
        """`comes` is the number of instances restarted at once, `rate` the requests per second of each instance.

        `handshake` is the time in seconds that a new connection costs a member, one connection after another.
        """
        self.measures, self.members, self.rate, self.handshake = measures, members, rate, handshake
        # Too few requests to keep idle connections.
        self.sparse = rate < MIN_RATE_PER_CONNECTION * proxies * members
        self.clock, self.result = Clock(), Told()
        draws = Draws(seed)
        self.draw, self.gap = draws.uniform("draw"), draws.exponential("gap")
        self.opening = [0.0] * members
        self.source = Queue(self.clock, SOURCE_CALL_S)
        self.proxies = [Proxy(self, number, number < comes) for number in range(proxies)]
        self.by_name = {proxy.name: proxy for proxy in self.proxies}
        self.known_phases: dict[str, int] = {proxy.name: RecoveryPhase.FULL for proxy in self.proxies[comes:]}
        for proxy in self.proxies[:comes]:
            self.clock.after(START_S * (0.8 + 0.4 * self.draw()), proxy.start)
        for proxy in self.proxies[comes:]:
            self.clock.after(self.gap() / rate, proxy.request)

    @property
    def span(self) -> int:
        return int(self.clock.second / SPAN_S)

    def receive_phase(self, name: str, phase: RecoveryPhase) -> None:
        self.known_phases[name] = phase

    def play(self, seconds: float = 12.0) -> Told:
        """Run the simulation and return its results."""
        self.clock.run(seconds)
        return self.result
