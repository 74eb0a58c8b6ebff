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
    learned_state: bool = True
    peer_lists: bool = True
    stagger: bool = True


@dataclass
class RestartResult:
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

    def __init__(self, model: MassRestart, number: int, restarts: bool) -> None:
        self.model, self.number, self.name = model, number, f"i{number:03}"
        self.phase, self.listed, self.knows_sick_member = RecoveryPhase.FULL, not restarts, not restarts
        self.idle: Counter[int] = Counter()
        self.waiting: dict[int, deque[float]] = {}
        self.paced_members: set[int] = set()
        self.pacer: Pacer | None = None
        self.served = self.ended = 0
        self.recovery: RecoveryCoordinator | None = None
        self.survivor_queue = Queue(model.clock, SURVIVOR_RESPONSE_S)
        if not restarts and not model.sparse:
            self.idle.update(range(model.members))

    def start(self) -> None:
        self.recovery = RecoveryCoordinator(self.name, self.model.clock.now)
        self.announce_phase(RecoveryPhase.FINDING)
        self.step_recovery()
        self.model.clock.after(self.model.draw() / self.model.rate, self.request)

    def announce_phase(self, phase: RecoveryPhase) -> None:
        self.phase = phase
        self.model.clock.after(PROPAGATION_S, self.model.receive_phase, self.name, phase)

    def step_recovery(self) -> None:
        assert self.recovery is not None
        model = self.model
        phases = model.known_phases
        full = tuple(name for name, phase in phases.items() if is_full(phase) and name != self.name)
        recovering = tuple(name for name, phase in phases.items() if not is_full(phase) and name != self.name)
        silent = len(model.proxies) - 1 - len(full) - len(recovering)
        joined = model.clock.now > self.recovery.began + 0.15
        observation = RecoveryObservation(
            joined, True, True, full, recovering, silent, self.served, self.ended
        )
        for action in self.recovery.step(model.clock.now, observation):
            if isinstance(action, PhaseChanged):
                self.enter_phase(action.phase, recovering)
            elif isinstance(action, LearnFromPeers):
                self.learn_from_survivors(action)
            elif isinstance(action, ConnectionPace) and model.measures.pace and not model.sparse:
                per_s = action.per_member_s
                self.pacer = None if per_s is None else Pacer(per_s * model.members, model.clock.now)
        if self.phase != RecoveryPhase.FULL:
            model.clock.after(0.05, self.step_recovery)
        else:
            model.result.full.append(self.recovery.full_after or 99.0)

    def enter_phase(self, phase: RecoveryPhase, recovering: tuple[str, ...]) -> None:
        self.announce_phase(phase)
        if phase == RecoveryPhase.WARMING and not self.listed:
            self.call_source()
        elif phase == RecoveryPhase.WARMING:
            after = (
                stagger_delay(self.name, recovering, STAGGER_STEP_S, STAGGER_MAX_S)
                if self.model.measures.stagger
                else 0.0
            )
            self.model.clock.after(after, self.call_source)

    def learn_from_survivors(self, action: LearnFromPeers) -> None:
        """Query survivors; each processes its queries one after another, and the list comes from the first."""
        model = self.model
        waits = [model.by_name[name].survivor_queue.wait() for name in action.names]
        if model.measures.peer_lists:
            model.clock.after(waits[0], self.receive_list)
        if model.measures.learned_state:
            model.clock.after(max(waits), self.receive_learned_state)
        else:
            assert self.recovery is not None
            model.clock.after(max(waits), self.recovery.on_survivors_answered)

    def receive_learned_state(self) -> None:
        assert self.recovery is not None
        self.knows_sick_member = True
        self.recovery.on_survivors_answered()

    def receive_list(self) -> None:
        self.listed = True

    def call_source(self) -> None:
        """Request the endpoint list from the source."""
        model = self.model
        model.result.calls[model.span] += 1
        model.clock.after(model.source.wait(), self.receive_list)

    # Requests.

    def request(self) -> None:
        model = self.model
        model.clock.after(model.gap() / model.rate, self.request)
        if not self.listed:
            self.ended += 1
            model.result.late[model.span] += 1
            return
        member = int(model.draw() * model.members)
        if member == 0 and self.knows_sick_member and model.draw() < 0.9:
            member = 1 + int(model.draw() * (model.members - 1))
        model.result.sent += 1
        model.result.sick += member == 0
        if self.idle[member]:
            self.idle[member] -= 1
            self.schedule_response(member, model.clock.now)
        elif self.pacer is None:
            self.open(member, model.clock.now)
        else:
            self.waiting.setdefault(member, deque()).append(model.clock.now)
            self.open_next(member)

    def open_next(self, member: int) -> None:
        """Open the next connection to a member when the pacer allows it, as in upstreams/connections.py."""
        queue = self.waiting.get(member)
        if not queue or member in self.paced_members:
            return
        wait = self.pacer.acquire(self.model.clock.now) if self.pacer is not None else 0.0
        if wait > 0:
            self.paced_members.add(member)
            self.model.clock.after(wait, self.paced_open_due, member)
        else:
            self.open(member, queue.popleft())

    def paced_open_due(self, member: int) -> None:
        self.paced_members.discard(member)
        self.open_next(member)

    def open(self, member: int, sent_at: float) -> None:
        model = self.model
        model.result.opened[model.span] += 1
        at = model.opening[member] = max(model.clock.now, model.opening[member]) + model.handshake
        model.clock.after(at - model.clock.now, self.schedule_response, member, sent_at)

    def schedule_response(self, member: int, sent_at: float) -> None:
        self.model.clock.after(MEAN_RESPONSE_S * self.model.gap(), self.complete_request, member, sent_at)

    def complete_request(self, member: int, sent_at: float) -> None:
        model = self.model
        self.ended += 1
        if model.clock.now - sent_at <= CLIENT_TIMEOUT_S:
            self.served += 1
            model.result.served[model.span] += 1
        else:
            model.result.late[model.span] += 1
        queue = self.waiting.get(member)
        if queue:
            self.schedule_response(member, queue.popleft())
        elif not model.sparse:
            self.idle[member] += 1


class MassRestart:
    """Simulates one run."""

    def __init__(
        self,
        seed: int,
        measures: Measures,
        proxies: int = 200,
        members: int = 250,
        restarted: int = 180,
        rate: float = 50.0,
        handshake: float = 0.004,
    ) -> None:
        """`restarted` is the number of instances restarted at once, `rate` the requests per second of each instance.

        `handshake` is the time in seconds that a new connection costs a member, one connection after another.
        """
        self.measures, self.members, self.rate, self.handshake = measures, members, rate, handshake
        # Too few requests to keep idle connections.
        self.sparse = rate < MIN_RATE_PER_CONNECTION * proxies * members
        self.clock, self.result = Clock(), RestartResult()
        draws = Draws(seed)
        self.draw, self.gap = draws.uniform("draw"), draws.exponential("gap")
        self.opening = [0.0] * members
        self.source = Queue(self.clock, SOURCE_CALL_S)
        self.proxies = [Proxy(self, number, number < restarted) for number in range(proxies)]
        self.by_name = {proxy.name: proxy for proxy in self.proxies}
        self.known_phases: dict[str, int] = {
            proxy.name: RecoveryPhase.FULL for proxy in self.proxies[restarted:]
        }
        for proxy in self.proxies[:restarted]:
            self.clock.after(START_S * (0.8 + 0.4 * self.draw()), proxy.start)
        for proxy in self.proxies[restarted:]:
            self.clock.after(self.gap() / rate, proxy.request)

    @property
    def span(self) -> int:
        return int(self.clock.second / SPAN_S)

    def receive_phase(self, name: str, phase: RecoveryPhase) -> None:
        self.known_phases[name] = phase

    def play(self, seconds: float = 12.0) -> RestartResult:
        """Run the simulation and return its results."""
        self.clock.run(seconds)
        return self.result
