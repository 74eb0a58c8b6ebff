"""Most proxies of a large fleet killed and started at once, in virtual time: the program's own phases, turns, choice of
survivors, medians' worth and pace of connections, over modelled members, a slow source of lists and busy survivors.

What is modelled: each instance sees what others say of themselves some time after they say it; a request takes a
connection to a drawn member, a kept one if there is one, and answers after a while; opening one costs its member; a
call at the source and an answer of a survivor take their turn in a queue. What is not: the decision module, whose draw
is even here but for a member that is known to be sick.
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

#: Seconds: of a whole start of the program, until a word of an instance is heard by another, of an answer.
START, HEARD, ANSWER = 0.6, 0.25, 0.05
#: Seconds that a call takes at the source, and an answer at a survivor, one after another.
CALL, TELL = 0.02, 0.01
SPAN = 0.1
#: Between the calls of two that have a list already (daemon/recovery.py).
SOURCE, SOURCES = 0.25, 5.0
#: What a client waits for an answer.
PATIENCE = 1.5


@dataclass
class Measures:
    """Those that are on."""

    pace: bool = True
    lessons: bool = True
    lists: bool = True
    turns: bool = True


@dataclass
class Told:
    """What came of one run. Seconds since the processes were started; counts by span of 100 ms."""

    full: list[float] = field(default_factory=list)  # of each instance that came back
    opened: Counter[int] = field(default_factory=Counter)
    calls: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    sick: int = 0
    sent: int = 0


class Queue:
    """What one thing at a time is done by."""

    def __init__(self, clock: Clock, each: float) -> None:
        self.clock, self.each, self.free_at = clock, each, 0.0

    def wait(self) -> float:
        """Seconds until what is asked now is done."""
        begin = max(self.clock.now, self.free_at)
        self.free_at = begin + self.each
        return self.free_at - self.clock.now


class Proxy:
    """One instance that comes back, or has not been away."""

    def __init__(self, herd: Herd, number: int, comes: bool) -> None:
        self.herd, self.number, self.name = herd, number, f"i{number:03}"
        self.phase, self.listed, self.knows_sick = RecoveryPhase.FULL, not comes, not comes
        self.idle: Counter[int] = Counter()
        self.waiting: dict[int, deque[float]] = {}
        self.due: set[int] = set()
        self.pacer: Pacer | None = None
        self.served = self.ended = 0
        self.comeback: RecoveryCoordinator | None = None
        self.tells = Queue(herd.clock, TELL)
        if not comes and not herd.sparse:
            self.idle.update(range(herd.members))

    def start(self) -> None:
        self.comeback = RecoveryCoordinator(self.name, self.herd.clock.now)
        self.say(RecoveryPhase.FINDING)
        self.look()
        self.herd.clock.after(self.herd.draw() / self.herd.rate, self.request)

    def say(self, phase: RecoveryPhase) -> None:
        self.phase = phase
        self.herd.clock.after(HEARD, self.herd.hear, self.name, phase)

    def look(self) -> None:
        assert self.comeback is not None
        herd = self.herd
        heard = herd.heard
        full = tuple(name for name, phase in heard.items() if is_full(phase) and name != self.name)
        coming = tuple(name for name, phase in heard.items() if not is_full(phase) and name != self.name)
        silent = len(herd.proxies) - 1 - len(full) - len(coming)
        inside = herd.clock.now > self.comeback.began + 0.15
        seen = RecoveryObservation(inside, True, True, full, coming, silent, self.served, self.ended)
        for wish in self.comeback.step(herd.clock.now, seen):
            if isinstance(wish, PhaseChanged):
                self.turned(wish.phase, coming)
            elif isinstance(wish, LearnFromPeers):
                self.learn(wish)
            elif isinstance(wish, ConnectionPace) and herd.measures.pace and not herd.sparse:
                per_s = wish.per_member_s
                self.pacer = None if per_s is None else Pacer(per_s * herd.members, herd.clock.now)
        if self.phase != RecoveryPhase.FULL:
            herd.clock.after(0.05, self.look)
        else:
            herd.told.full.append(self.comeback.full_after or 99.0)

    def turned(self, phase: RecoveryPhase, coming: tuple[str, ...]) -> None:
        self.say(phase)
        if phase == RecoveryPhase.WARMING and not self.listed:
            self.call()
        elif phase == RecoveryPhase.WARMING:
            after = stagger_delay(self.name, coming, SOURCE, SOURCES) if self.herd.measures.turns else 0.0
            self.herd.clock.after(after, self.call)

    def learn(self, wish: LearnFromPeers) -> None:
        """Each survivor answers one after another; the list comes of the first."""
        herd = self.herd
        waits = [herd.by_name[name].tells.wait() for name in wish.names]
        if herd.measures.lists:
            herd.clock.after(waits[0], self.take_list)
        if herd.measures.lessons:
            herd.clock.after(max(waits), self.lesson)
        else:
            assert self.comeback is not None
            herd.clock.after(max(waits), self.comeback.on_survivors_answered)

    def lesson(self) -> None:
        assert self.comeback is not None
        self.knows_sick = True
        self.comeback.on_survivors_answered()

    def take_list(self) -> None:
        self.listed = True

    def call(self) -> None:
        """The source."""
        herd = self.herd
        herd.told.calls[herd.span] += 1
        herd.clock.after(herd.source.wait(), self.take_list)

    # Requests.

    def request(self) -> None:
        herd = self.herd
        herd.clock.after(herd.gap() / herd.rate, self.request)
        if not self.listed:
            self.ended += 1
            herd.told.late[herd.span] += 1
            return
        member = int(herd.draw() * herd.members)
        if member == 0 and self.knows_sick and herd.draw() < 0.9:
            member = 1 + int(herd.draw() * (herd.members - 1))
        herd.told.sent += 1
        herd.told.sick += member == 0
        if self.idle[member]:
            self.idle[member] -= 1
            self.answer(member, herd.clock.now)
        elif self.pacer is None:
            self.open(member, herd.clock.now)
        else:
            self.waiting.setdefault(member, deque()).append(herd.clock.now)
            self.next(member)

    def next(self, member: int) -> None:
        """As upstreams/connections.py does it."""
        queue = self.waiting.get(member)
        if not queue or member in self.due:
            return
        wait = self.pacer.acquire(self.herd.clock.now) if self.pacer is not None else 0.0
        if wait > 0:
            self.due.add(member)
            self.herd.clock.after(wait, self.come, member)
        else:
            self.open(member, queue.popleft())

    def come(self, member: int) -> None:
        self.due.discard(member)
        self.next(member)

    def open(self, member: int, began: float) -> None:
        herd = self.herd
        herd.told.opened[herd.span] += 1
        at = herd.opening[member] = max(herd.clock.now, herd.opening[member]) + herd.handshake
        herd.clock.after(at - herd.clock.now, self.answer, member, began)

    def answer(self, member: int, began: float) -> None:
        self.herd.clock.after(ANSWER * self.herd.gap(), self.done, member, began)

    def done(self, member: int, began: float) -> None:
        herd = self.herd
        self.ended += 1
        if herd.clock.now - began <= PATIENCE:
            self.served += 1
            herd.told.served[herd.span] += 1
        else:
            herd.told.late[herd.span] += 1
        queue = self.waiting.get(member)
        if queue:
            self.answer(member, queue.popleft())
        elif not herd.sparse:
            self.idle[member] += 1


class Herd:
    """One run."""

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
        """`comes`: how many are started at once. `rate`: requests a second of each. `handshake`: seconds of a member's
        time that a new connection takes, one after another."""
        self.measures, self.members, self.rate, self.handshake = measures, members, rate, handshake
        self.sparse = rate < MIN_RATE_PER_CONNECTION * proxies * members  # connections are not kept
        self.clock, self.told = Clock(), Told()
        draws = Draws(seed)
        self.draw, self.gap = draws.uniform("draw"), draws.exponential("gap")
        self.opening = [0.0] * members
        self.source = Queue(self.clock, CALL)
        self.proxies = [Proxy(self, number, number < comes) for number in range(proxies)]
        self.by_name = {one.name: one for one in self.proxies}
        self.heard: dict[str, int] = {one.name: RecoveryPhase.FULL for one in self.proxies[comes:]}
        for one in self.proxies[:comes]:
            self.clock.after(START * (0.8 + 0.4 * self.draw()), one.start)
        for one in self.proxies[comes:]:
            self.clock.after(self.gap() / rate, one.request)

    @property
    def span(self) -> int:
        return int(self.clock.second / SPAN)

    def hear(self, name: str, phase: RecoveryPhase) -> None:
        self.heard[name] = phase

    def play(self, seconds: float = 12.0) -> Told:
        self.clock.run(seconds)
        return self.told
