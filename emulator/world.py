"""The whole model in motion: clients ask, instances of the real module decide, members work.

What a socket would tell an instance it is told here, in the same events and the same order; what it asks for is carried
out as `proxy/proxy.py` does. The rules are counted on the way: answers for each request, runs of each effect, requests
to members that are draining, work sent to cold ones."""

from __future__ import annotations

import math
from collections import Counter
from fnmatch import fnmatchcase
from itertools import count
from typing import Any, Callable

from emulator.clock import Clock
from emulator.draws import Draws
from emulator.figures import Counts
from emulator.members import Job, Key, Member
from emulator.scenario import EventPart, Scenario, classes, fits, limits, rules
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
    ClientCancelled,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.settings import (
    PolicySettings,
)

Make = Callable[[PolicySettings, int], Balancer]
#: Seconds until a proxy sees a connection that was reset, or an error that was answered at once.
RESET_S = 0.001


class Ask:
    """A client's request, through all its tries."""

    __slots__ = ("number", "cls", "at", "tries", "honours", "done", "refused", "key", "place")

    def __init__(self, number: int, cls: int, at: float, tries: int, honours: bool) -> None:
        self.number, self.cls, self.at, self.tries, self.honours = number, cls, at, tries, honours
        self.done = self.refused = False
        self.key = f"k{number}"
        self.place: tuple[int, int] | None = None  # the instance and the request by which it is open now


class World:
    """One run. `make` makes an instance of the module."""

    def __init__(self, scenario: Scenario, seed: int, make: Make = Balancer) -> None:
        self.scenario, self.make, self.seed = scenario, make, seed
        self.clock, self.draws, self.counts = Clock(), Draws(seed), Counts(scenario)
        self.classes = scenario.class_
        self.multiple = 1.0  # of the rate, by events
        self.grown: dict[str, float] = {}  # the work of classes, by events
        self.members: dict[str, Member] = {}
        self._make_members()
        self.proxies = [self._instance(number) for number in range(scenario.proxy.count)]
        self.open: dict[tuple[int, int], Ask] = {}
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.sent: dict[Key, tuple[float, Member]] = {}
        self.effects: dict[
            int, tuple[float, tuple[int, int]]
        ] = {}  # by requests: when they first ran, and by whom
        self.draining: dict[str, float] = {}
        self._ids, self._numbers = count(1), count(1)
        self._gap = self.draws.exponential("arrivals")
        self._class = self.draws.uniform("class")
        self._where = self.draws.uniform("proxy")
        self._wait = self.draws.uniform("wait")
        self._honour = self.draws.uniform("honour")
        self._noise = self.draws.uniform("report", low=0.95, high=1.05)
        self._chance = self.draws.uniform("errors")
        self._late = self.draws.uniform("list")
        self._work = [self.draws.work("work", c.name, spread=c.spread) for c in self.classes]
        total = sum(cls.share for cls in self.classes)
        self._shares = [sum(c.share for c in self.classes[: n + 1]) / total for n in range(len(self.classes))]
        self._reports: dict[
            str, list[tuple[float, float]]
        ] = {}  # by members: from when it is told, utilization

    def _make_members(self) -> None:
        number = 0
        for part in self.scenario.member:
            speeds = self.draws.work("speed", part.name, spread=part.spread)
            for index in range(part.count):
                name = f"{part.name}-{index}"
                member = Member(
                    self.clock,
                    part,
                    self.scenario.rules,
                    name,
                    part.zones[number % len(part.zones)],
                    part.speed * speeds(),
                )
                member.answer, member.turned_away, member.ran = self._answered, self._turned_away, self._ran
                self.members[name] = member
                number += 1

    def _instance(self, number: int) -> Balancer:
        zones = sorted({member.zone for member in self.members.values()})
        scenario = self.scenario
        settings = PolicySettings(
            classes(scenario),
            instance_index=number,
            instance_count=scenario.proxy.count,
            zone=number % len(zones),
            zone_count=len(zones),
            report_fields=("utilization",),
            limits=limits(scenario),
            rules=rules(scenario),
        )
        return self.make(settings, self.seed * 1000 + number)

    # The run.

    def play(self) -> Counts:
        self.tell_lists(0.0)
        for event in self.scenario.event:
            self.clock.at(event.at, self._happen, event)
        for name in self.members:
            self.clock.after(self._late() * self.scenario.report_each, self._report, name, 0.0)
        self.clock.after(1.0, self._look)
        self._arrive()
        self.clock.run(self.scenario.seconds)
        self._close()
        return self.counts

    def _look(self) -> None:
        """The mean level of refusing, by second."""
        levels = [proxy.shed_level for proxy in self.proxies]
        self.counts.level[int(self.clock.second)] = sum(levels) / len(levels)
        self.clock.after(1.0, self._look)

    def _close(self) -> None:
        """Cold members by the rule, and what has been asked and not answered in its time."""
        worst = max((member.most_while_cold() for member in self.members.values()), default=0.0)
        self.counts.broken["cold_work"] = worst  # type: ignore[assignment]
        for ask in self.open.values():
            if self.clock.now - ask.at > self.classes[ask.cls].deadline + self.scenario.proxy.connect_timeout:
                self.counts.broken["lost"] += 1

    # Clients.

    def _arrive(self) -> None:
        rate = self.scenario.clients.rate * self.multiple * self._shape(self.clock.second)
        self.clock.after(self._gap() / max(rate, 1e-9), self._come)

    def _shape(self, second: float) -> float:
        shape = self.scenario.clients.shape
        if not shape:
            return 1.0
        before = (0.0, shape[0][1])
        for at, multiple in shape:
            if second < at:
                if self.scenario.clients.steps or at == before[0]:
                    return before[1]
                return before[1] + (multiple - before[1]) * (second - before[0]) / (at - before[0])
            before = at, multiple
        return before[1]

    def _come(self) -> None:
        draw = self._class()
        cls = next(number for number, share in enumerate(self._shares) if draw <= share)
        part = self.scenario.clients
        ask = Ask(next(self._numbers), cls, self.clock.now, part.retries, self._honour() < part.honour)
        self.counts.ask(cls, self.clock.second)
        self.clock.after(self.classes[cls].deadline, self._give_up, ask)
        self._try(ask)
        self._arrive()

    def _try(self, ask: Ask) -> None:
        left = self.classes[ask.cls].deadline - (self.clock.now - ask.at)
        if ask.done or left <= 0:
            return
        number = int(self._where() * len(self.proxies)) % len(self.proxies)
        request = next(self._ids)
        ask.place = number, request
        self.open[ask.place] = ask
        keyed = self.classes[ask.cls].effect == "keyed"
        self.tell(number, Request(request, ask.cls, left, key=ask.key if keyed else None, retry=ask.refused))

    def _give_up(self, ask: Ask) -> None:
        """Its time is up; a proxy that still has it hears that the client has gone."""
        if ask.done:
            return
        self._end(ask, "refused" if ask.refused else "given_up")
        if ask.place is not None and self.open.pop(ask.place, None) is ask:
            self.tell(ask.place[0], ClientCancelled(ask.place[1]))

    def _end(self, ask: Ask, end: str) -> None:
        ask.done = True
        took = self.clock.now - ask.at
        self.counts.end(ask.cls, end, ask.at - self.clock.start, took)

    def _served(self, ask: Ask) -> None:
        if ask.done:
            self.counts.broken["answered twice"] += 1
            return
        cls = self.classes[ask.cls]
        self._end(ask, "in_aim" if self.clock.now - ask.at <= cls.aim else "late")

    def _not_served(self, ask: Ask, refused: bool, retry_after: float) -> None:
        """Try again, if the client does: told when to, a share returns then."""
        part = self.scenario.clients
        if refused and not ask.refused:
            ask.refused = True
            if ask.at - self.clock.start >= self.scenario.ignore:
                self.counts.first_refused += 1
        effect = self.classes[ask.cls].effect
        may = refused or (part.repeat_failed and effect != "unsafe")
        if ask.tries <= 0 or not may:
            self._end(ask, "refused" if refused else "failed")
            return
        ask.tries -= 1
        low, high = part.wait
        wait = retry_after if retry_after > 0 and ask.honours else low + (high - low) * self._wait()
        if self.clock.now + wait - ask.at >= self.classes[ask.cls].deadline:
            self._end(ask, "refused" if refused else "failed")
        else:
            self.clock.after(wait, self._try, ask)

    # Instances.

    def tell(self, number: int, event: Any) -> None:
        for action in self.proxies[number].handle(self.clock.now, [event]):
            if isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, (Reject, Fail)):
                ask = self.open.pop((number, action.request), None)
                if ask is not None and not ask.done:
                    refused = isinstance(action, Reject)
                    self._not_served(ask, refused, action.retry_after if isinstance(action, Reject) else 0.0)
            elif isinstance(action, Cancel):
                self._finish((number, action.request, action.attempt), AttemptResult.CANCELLED)
            elif isinstance(action, SetTimer):
                self.clock.after(action.delay, self._fire, number, self.proxies[number], action.token)
            elif isinstance(action, CloseIdleConnections) and action.endpoint in self.members:
                self.members[action.endpoint].idle.pop(number, None)

    def _fire(self, number: int, instance: Balancer, token: int) -> None:
        if self.proxies[number] is instance:  # not one that was restarted
            self.tell(number, TimerFired(token))

    def _send(self, number: int, action: Send) -> None:
        key = (number, action.request, self.attempts[number, action.request])
        self.attempts[number, action.request] += 1
        ask = self.open.get((number, action.request))
        member = self.members[action.endpoint]
        self.counts.sent[int(self.clock.second)] += 1
        self.sent[key] = self.clock.now, member
        if ask is None:
            self.clock.after(0.0, self._finish, key, AttemptResult.NOT_SENT)
            return
        if member.name in self.draining and self.clock.now > self.draining[member.name]:
            self.counts.broken["drained"] += 1
        if member.down:
            self.clock.after(
                self.scenario.proxy.connect_timeout, self._finish, key, AttemptResult.NO_CONNECTION
            )
            return
        self.clock.after(action.timeout, self._finish, key, AttemptResult.TIMEOUT)
        if self._chance() < member.errors:
            self.clock.after(RESET_S, self._finish, key, AttemptResult.ERROR)
            return
        cls = self.classes[ask.cls]
        work = cls.work * self.grown.get(cls.name, 1.0) * self._work[ask.cls]()
        if member.idle.get(number, 0) > 0:
            member.idle[number] -= 1
        else:
            work += self.scenario.proxy.handshake
            self.counts.handshakes += 1
        member.take(Job(key, work, cls.rest, (ask.number, cls.effect)))

    def _ran(self, member: Member, job: Job) -> None:
        """Its effect happens now; members of a keyed class drop repeats within the window. What one instance does twice
        with one request breaks the rule; what a client asks for once more, past the window, is counted beside it."""
        number, effect = job.token
        if effect == "safe":
            return
        place = job.key[:2]
        ask = self.open.get(place)
        window = self.classes[ask.cls].dedup_window if ask is not None else math.inf
        first, by = self.effects.setdefault(number, (self.clock.now, place))
        if by == place and first < self.clock.now and (effect == "unsafe" or self.clock.now - first > window):
            self.counts.broken["effect twice"] += 1
        elif by != place and (effect == "unsafe" or self.clock.now - first > window):
            self.counts.broken["run again by its client"] += 1

    def _answered(self, member: Member, job: Job) -> None:
        if job.key in self.sent and not member.down:
            kept = self.scenario.proxy.idle
            member.idle[job.key[0]] = min(kept, member.idle.get(job.key[0], 0) + 1)
            self._finish(job.key, AttemptResult.SERVED, self._told(member))

    def _turned_away(self, member: Member, key: Key) -> None:
        self._finish(key, AttemptResult.FULL, self._told(member))

    def _finish(self, key: Key, result: AttemptResult, report: dict[str, float] | None = None) -> None:
        found = self.sent.pop(key, None)
        if found is None:
            return
        at, member = found
        member.drop(key)
        self.counts.attempts[result.name.lower()] += 1
        number, request, attempt = key
        ask, ended = self.open.get((number, request)), False
        if result == AttemptResult.SERVED and ask is not None:
            del self.open[number, request]
            self._served(ask)
            ended = True
        self.tell(number, Outcome(request, attempt, member.name, result, self.clock.now - at, ended, report))

    # Members.

    def _report(self, name: str, busy: float) -> None:
        """What it measures of itself, some time before it stands on its answers."""
        member = self.members[name]
        member.advance()
        each, cores = self.scenario.report_each, member.part.cores
        util = min(1.0, (member.busy - busy) / (each * cores))
        known = self._reports.setdefault(name, [])
        known.append((self.clock.now + self.scenario.report_late, util))
        del known[:-6]
        self.clock.after(each, self._report, name, member.busy)

    def _told(self, member: Member) -> dict[str, float]:
        known = [util for at, util in self._reports.get(member.name, []) if at <= self.clock.now]
        return {"utilization": min(1.0, (known[-1] if known else 0.0) * self._noise())}

    def entries(self) -> tuple[EndpointEntry, ...]:
        zones = {zone: number for number, zone in enumerate(sorted({m.zone for m in self.members.values()}))}
        return tuple(
            EndpointEntry(
                m.name,
                zones[m.zone],
                zones[m.zone],
                0,
                EndpointState.DRAINING if m.draining else EndpointState.READY,
                m.part.weight,
                m.started,
            )
            for m in self.members.values()
            if not m.down
        )

    def tell_lists(self, spread: float | None = None) -> None:
        """Each instance hears of it at its own moment."""
        entries = self.entries()
        low, high = self.scenario.list_delay
        for number in range(len(self.proxies)):
            wait = 0.0 if spread == 0.0 else low + (high - low) * self._late()
            self.clock.after(wait, self._hear, number, entries)

    def _hear(self, number: int, entries: tuple[EndpointEntry, ...]) -> None:
        self.tell(number, EndpointList(entries))

    def _happen(self, event: EventPart) -> None:
        if event.what == "rate":
            self.multiple = event.factor
            self.clock.after(event.last, self._rate_back)
            return
        if event.what == "work":
            for cls in self.classes:
                if fnmatchcase(cls.name, event.members):
                    self.grown[cls.name] = event.factor
                    self.clock.after(event.last, self._work_back, cls.name)
            return
        if event.what == "restart_proxies":
            self._restart_proxies(event)
            return
        for name in fits(event, {name: member.zone for name, member in self.members.items()}):
            self._befall(self.members[name], event, True)
            if event.last < 1e9:
                self.clock.after(event.last, self._befall, self.members[name], event, False)
        if event.what in ("stop", "restart", "drain"):
            self.tell_lists()
            if event.last < 1e9:
                self.clock.after(event.last + 1e-6, self.tell_lists)

    def _work_back(self, name: str) -> None:
        self.grown.pop(name, None)

    def _rate_back(self) -> None:
        self.multiple = 1.0

    def _restart_proxies(self, event: EventPart) -> None:
        """New processes with nothing learnt; what they had is lost to their clients, who come again."""
        for number in range(max(1, round(event.share * len(self.proxies)))):
            self.proxies[number] = self._instance(number)
            for place in [place for place in self.open if place[0] == number]:
                ask = self.open.pop(place)
                self._not_served(ask, False, 0.0)
            for key in [key for key in self.sent if key[0] == number]:
                _, member = self.sent.pop(key)
                member.drop(key)
            self._hear(number, self.entries())

    def _befall(self, member: Member, event: EventPart, begins: bool) -> None:
        member.advance()
        what = event.what
        if what == "slow":
            member.slow = event.factor if begins else 1.0
        elif what == "pause":
            member.paused = begins
        elif what == "errors":
            member.errors = event.factor if begins else 0.0
        elif what == "silent":
            member.silent = begins
        elif what == "drain":
            member.draining = begins
            grace = self.scenario.list_delay[1] + 1.0
            if begins:
                self.draining[member.name] = self.clock.now + grace
            else:
                self.draining.pop(member.name, None)
        else:
            self._stop_or_start(member, begins)
        member.change()

    def _stop_or_start(self, member: Member, stops: bool) -> None:
        if stops:
            member.down = True
            for key in member.lost():
                self.clock.after(RESET_S, self._finish, key, AttemptResult.RESET)
        else:
            member.down, member.started = False, self.clock.now  # cold
