"""Simulates clients, instances of the real policy module, and members in virtual time.

Each instance gets the same events in the same order as from sockets, and its actions are carried out as in
`proxy/proxy.py`. Violations of the safety rules are counted: responses per request, runs of each effect, requests to
draining members, and work sent to cold members.
"""

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
from emulator.scenario import EventPart, Scenario, classes, limits, matching_members, rules
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

BalancerFactory = Callable[[PolicySettings, int], Balancer]
#: Seconds until a proxy sees a connection reset or an immediate error response.
RESET_S = 0.001


class ClientRequest:
    """Tracks a request of a client through all its tries."""

    __slots__ = (
        "number",
        "cls",
        "started_at",
        "retries_left",
        "honours_retry_after",
        "done",
        "refused",
        "key",
        "proxy_request",
    )

    def __init__(
        self, number: int, cls: int, started_at: float, retries_left: int, honours_retry_after: bool
    ) -> None:
        self.number, self.cls, self.started_at, self.retries_left, self.honours_retry_after = (
            number,
            cls,
            started_at,
            retries_left,
            honours_retry_after,
        )
        self.done = self.refused = False
        self.key = f"k{number}"
        self.proxy_request: tuple[int, int] | None = None  # instance and request id of the current try


class Simulation:
    """Runs one simulation of a scenario; `make_balancer` creates the policy module of an instance."""

    def __init__(self, scenario: Scenario, seed: int, make_balancer: BalancerFactory = Balancer) -> None:
        self.scenario, self.make_balancer, self.seed = scenario, make_balancer, seed
        self.clock, self.draws, self.counts = Clock(), Draws(seed), Counts(scenario)
        self.classes = scenario.class_
        self.rate_factor = 1.0  # set by events
        self.work_factors: dict[str, float] = {}  # by class, set by events
        self.members: dict[str, Member] = {}
        self._make_members()
        self.proxies = [self._make_instance(number) for number in range(scenario.proxy.count)]
        self.open_requests: dict[tuple[int, int], ClientRequest] = {}
        self.attempt_counts: Counter[tuple[int, int]] = Counter()
        self.in_flight: dict[Key, tuple[float, Member]] = {}
        # When each client request first ran, and the instance and request id that sent it.
        self.first_effects: dict[int, tuple[float, tuple[int, int]]] = {}
        self.draining: dict[str, float] = {}  # by member: when requests to it become violations
        self._ids, self._numbers = count(1), count(1)
        self._arrival_gap = self.draws.exponential("arrivals")
        self._class_draw = self.draws.uniform("class")
        self._proxy_draw = self.draws.uniform("proxy")
        self._wait_draw = self.draws.uniform("wait")
        self._honour_draw = self.draws.uniform("honour")
        self._report_noise = self.draws.uniform("report", low=0.95, high=1.05)
        self._error_draw = self.draws.uniform("errors")
        self._delay_draw = self.draws.uniform("list")
        self._work_draws = [self.draws.work("work", c.name, spread=c.spread) for c in self.classes]
        total = sum(cls.share for cls in self.classes)
        self._cumulative_shares = [
            sum(c.share for c in self.classes[: n + 1]) / total for n in range(len(self.classes))
        ]
        # By member: the times from which responses carry a measurement, and the utilization measured.
        self._reports: dict[str, list[tuple[float, float]]] = {}

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
                member.on_response, member.on_rejected, member.on_started = (
                    self._member_responded,
                    self._member_rejected,
                    self._member_started,
                )
                self.members[name] = member
                number += 1

    def _make_instance(self, number: int) -> Balancer:
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
        return self.make_balancer(settings, self.seed * 1000 + number)

    # The run.

    def play(self) -> Counts:
        """Run the scenario to its end and return the counters."""
        self.announce_endpoint_lists(0.0)
        for event in self.scenario.event:
            self.clock.at(event.at, self._apply_event, event)
        for name in self.members:
            self.clock.after(
                self._delay_draw() * self.scenario.report_each, self._measure_utilization, name, 0.0
            )
        self.clock.after(1.0, self._sample_shed_level)
        self._schedule_arrival()
        self.clock.run(self.scenario.seconds)
        self._count_final_violations()
        return self.counts

    def _sample_shed_level(self) -> None:
        """Record the mean shed level of the instances once a second."""
        levels = [proxy.shed_level for proxy in self.proxies]
        self.counts.level[int(self.clock.second)] = sum(levels) / len(levels)
        self.clock.after(1.0, self._sample_shed_level)

    def _count_final_violations(self) -> None:
        """Record the highest load of a cold member, and count the open requests that are past their deadline."""
        worst = max((member.peak_cold_load() for member in self.members.values()), default=0.0)
        self.counts.violations["cold_work"] = worst  # type: ignore[assignment]
        for client_request in self.open_requests.values():
            if (
                self.clock.now - client_request.started_at
                > self.classes[client_request.cls].deadline + self.scenario.proxy.connect_timeout
            ):
                self.counts.violations["lost"] += 1

    # Clients.

    def _schedule_arrival(self) -> None:
        rate = self.scenario.clients.rate * self.rate_factor * self._rate_multiple(self.clock.second)
        self.clock.after(self._arrival_gap() / max(rate, 1e-9), self._start_client_request)

    def _rate_multiple(self, second: float) -> float:
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

    def _start_client_request(self) -> None:
        draw = self._class_draw()
        cls = next(number for number, share in enumerate(self._cumulative_shares) if draw <= share)
        part = self.scenario.clients
        client_request = ClientRequest(
            next(self._numbers), cls, self.clock.now, part.retries, self._honour_draw() < part.honour
        )
        self.counts.record_request(cls, self.clock.second)
        self.clock.after(self.classes[cls].deadline, self._client_timed_out, client_request)
        self._send_to_proxy(client_request)
        self._schedule_arrival()

    def _send_to_proxy(self, client_request: ClientRequest) -> None:
        left = self.classes[client_request.cls].deadline - (self.clock.now - client_request.started_at)
        if client_request.done or left <= 0:
            return
        number = int(self._proxy_draw() * len(self.proxies)) % len(self.proxies)
        request = next(self._ids)
        client_request.proxy_request = number, request
        self.open_requests[client_request.proxy_request] = client_request
        keyed = self.classes[client_request.cls].effect == "keyed"
        self.deliver(
            number,
            Request(
                request,
                client_request.cls,
                left,
                key=client_request.key if keyed else None,
                retry=client_request.refused,
            ),
        )

    def _client_timed_out(self, client_request: ClientRequest) -> None:
        """End a request at its deadline; a proxy that still has it gets a cancellation."""
        if client_request.done:
            return
        self._record_end(client_request, "refused" if client_request.refused else "given_up")
        if (
            client_request.proxy_request is not None
            and self.open_requests.pop(client_request.proxy_request, None) is client_request
        ):
            self.deliver(client_request.proxy_request[0], ClientCancelled(client_request.proxy_request[1]))

    def _record_end(self, client_request: ClientRequest, end: str) -> None:
        client_request.done = True
        duration = self.clock.now - client_request.started_at
        self.counts.record_end(
            client_request.cls, end, client_request.started_at - self.clock.start, duration
        )

    def _request_served(self, client_request: ClientRequest) -> None:
        if client_request.done:
            self.counts.violations["answered twice"] += 1
            return
        cls = self.classes[client_request.cls]
        self._record_end(
            client_request, "in_aim" if self.clock.now - client_request.started_at <= cls.aim else "late"
        )

    def _request_not_served(self, client_request: ClientRequest, refused: bool, retry_after: float) -> None:
        """Retry if the client may and has retries left; a share of the clients honours Retry-After."""
        part = self.scenario.clients
        if refused and not client_request.refused:
            client_request.refused = True
            if client_request.started_at - self.clock.start >= self.scenario.ignore:
                self.counts.first_refused += 1
        effect = self.classes[client_request.cls].effect
        may_retry = refused or (part.repeat_failed and effect != "unsafe")
        if client_request.retries_left <= 0 or not may_retry:
            self._record_end(client_request, "refused" if refused else "failed")
            return
        client_request.retries_left -= 1
        low, high = part.wait
        wait = (
            retry_after
            if retry_after > 0 and client_request.honours_retry_after
            else low + (high - low) * self._wait_draw()
        )
        if self.clock.now + wait - client_request.started_at >= self.classes[client_request.cls].deadline:
            self._record_end(client_request, "refused" if refused else "failed")
        else:
            self.clock.after(wait, self._send_to_proxy, client_request)

    # Instances.

    def deliver(self, number: int, event: Any) -> None:
        """Deliver an event to an instance and carry out its actions."""
        for action in self.proxies[number].handle(self.clock.now, [event]):
            if isinstance(action, Send):
                self._start_attempt(number, action)
            elif isinstance(action, (Reject, Fail)):
                client_request = self.open_requests.pop((number, action.request), None)
                if client_request is not None and not client_request.done:
                    refused = isinstance(action, Reject)
                    self._request_not_served(
                        client_request, refused, action.retry_after if isinstance(action, Reject) else 0.0
                    )
            elif isinstance(action, Cancel):
                self._finish_attempt((number, action.request, action.attempt), AttemptResult.CANCELLED)
            elif isinstance(action, SetTimer):
                self.clock.after(action.delay, self._fire_timer, number, self.proxies[number], action.token)
            elif isinstance(action, CloseIdleConnections) and action.endpoint in self.members:
                self.members[action.endpoint].idle_connections.pop(number, None)

    def _fire_timer(self, number: int, instance: Balancer, token: int) -> None:
        if self.proxies[number] is instance:  # ignore timers of an instance that was replaced by a restart
            self.deliver(number, TimerFired(token))

    def _start_attempt(self, number: int, action: Send) -> None:
        key = (number, action.request, self.attempt_counts[number, action.request])
        self.attempt_counts[number, action.request] += 1
        client_request = self.open_requests.get((number, action.request))
        member = self.members[action.endpoint]
        self.counts.sent[int(self.clock.second)] += 1
        self.in_flight[key] = self.clock.now, member
        if client_request is None:
            self.clock.after(0.0, self._finish_attempt, key, AttemptResult.NOT_SENT)
            return
        if member.name in self.draining and self.clock.now > self.draining[member.name]:
            self.counts.violations["drained"] += 1
        if member.down:
            self.clock.after(
                self.scenario.proxy.connect_timeout, self._finish_attempt, key, AttemptResult.NO_CONNECTION
            )
            return
        self.clock.after(action.timeout, self._finish_attempt, key, AttemptResult.TIMEOUT)
        if self._error_draw() < member.errors:
            self.clock.after(RESET_S, self._finish_attempt, key, AttemptResult.ERROR)
            return
        cls = self.classes[client_request.cls]
        work = cls.work * self.work_factors.get(cls.name, 1.0) * self._work_draws[client_request.cls]()
        if member.idle_connections.get(number, 0) > 0:
            member.idle_connections[number] -= 1
        else:
            work += self.scenario.proxy.handshake
            self.counts.handshakes += 1
        member.receive(Job(key, work, cls.rest, (client_request.number, cls.effect)))

    def _member_started(self, member: Member, job: Job) -> None:
        """Record the effect of a request when a member starts it; members of a keyed class drop repeats in the window.

        A second run for the same request of an instance violates the rule, and one after a retry by the client is
        counted separately. For keyed classes only runs after the window count.
        """
        number, effect = job.effect
        if effect == "safe":
            return
        proxy_request = job.key[:2]
        client_request = self.open_requests.get(proxy_request)
        window = self.classes[client_request.cls].dedup_window if client_request is not None else math.inf
        first_run, sender = self.first_effects.setdefault(number, (self.clock.now, proxy_request))
        if (
            sender == proxy_request
            and first_run < self.clock.now
            and (effect == "unsafe" or self.clock.now - first_run > window)
        ):
            self.counts.violations["effect twice"] += 1
        elif sender != proxy_request and (effect == "unsafe" or self.clock.now - first_run > window):
            self.counts.violations["run again by its client"] += 1

    def _member_responded(self, member: Member, job: Job) -> None:
        if job.key in self.in_flight and not member.down:
            max_idle = self.scenario.proxy.idle
            member.idle_connections[job.key[0]] = min(
                max_idle, member.idle_connections.get(job.key[0], 0) + 1
            )
            self._finish_attempt(job.key, AttemptResult.SERVED, self._current_report(member))

    def _member_rejected(self, member: Member, key: Key) -> None:
        self._finish_attempt(key, AttemptResult.FULL, self._current_report(member))

    def _finish_attempt(
        self, key: Key, result: AttemptResult, report: dict[str, float] | None = None
    ) -> None:
        found = self.in_flight.pop(key, None)
        if found is None:
            return
        sent_at, member = found
        member.cancel(key)
        self.counts.attempts[result.name.lower()] += 1
        number, request, attempt = key
        client_request, ended = self.open_requests.get((number, request)), False
        if result == AttemptResult.SERVED and client_request is not None:
            del self.open_requests[number, request]
            self._request_served(client_request)
            ended = True
        self.deliver(
            number, Outcome(request, attempt, member.name, result, self.clock.now - sent_at, ended, report)
        )

    # Members.

    def _measure_utilization(self, name: str, busy_before: float) -> None:
        """Measure the utilization of a member; its responses carry the value after `report_late` seconds."""
        member = self.members[name]
        member.advance()
        interval, cores = self.scenario.report_each, member.part.cores
        utilization = min(1.0, (member.busy - busy_before) / (interval * cores))
        known = self._reports.setdefault(name, [])
        known.append((self.clock.now + self.scenario.report_late, utilization))
        del known[:-6]
        self.clock.after(interval, self._measure_utilization, name, member.busy)

    def _current_report(self, member: Member) -> dict[str, float]:
        known = [
            utilization for at, utilization in self._reports.get(member.name, []) if at <= self.clock.now
        ]
        return {"utilization": min(1.0, (known[-1] if known else 0.0) * self._report_noise())}

    def endpoint_entries(self) -> tuple[EndpointEntry, ...]:
        """Return the endpoint list of the members that are up."""
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

    def announce_endpoint_lists(self, spread: float | None = None) -> None:
        """Send the endpoint list to each instance after its own delay, or at once if `spread` is 0."""
        entries = self.endpoint_entries()
        low, high = self.scenario.list_delay
        for number in range(len(self.proxies)):
            wait = 0.0 if spread == 0.0 else low + (high - low) * self._delay_draw()
            self.clock.after(wait, self._receive_list, number, entries)

    def _receive_list(self, number: int, entries: tuple[EndpointEntry, ...]) -> None:
        self.deliver(number, EndpointList(entries))

    def _apply_event(self, event: EventPart) -> None:
        if event.what == "rate":
            self.rate_factor = event.factor
            self.clock.after(event.last, self._restore_rate)
            return
        if event.what == "work":
            for cls in self.classes:
                if fnmatchcase(cls.name, event.members):
                    self.work_factors[cls.name] = event.factor
                    self.clock.after(event.last, self._restore_work, cls.name)
            return
        if event.what == "restart_proxies":
            self._restart_proxies(event)
            return
        for name in matching_members(event, {name: member.zone for name, member in self.members.items()}):
            self._apply_to_member(self.members[name], event, True)
            if event.last < 1e9:
                self.clock.after(event.last, self._apply_to_member, self.members[name], event, False)
        if event.what in ("stop", "restart", "drain"):
            self.announce_endpoint_lists()
            if event.last < 1e9:
                self.clock.after(event.last + 1e-6, self.announce_endpoint_lists)

    def _restore_work(self, name: str) -> None:
        self.work_factors.pop(name, None)

    def _restore_rate(self) -> None:
        self.rate_factor = 1.0

    def _restart_proxies(self, event: EventPart) -> None:
        """Replace instances by new ones without learned state; their open requests fail and the clients may retry."""
        for number in range(max(1, round(event.share * len(self.proxies)))):
            self.proxies[number] = self._make_instance(number)
            for proxy_request in [opened for opened in self.open_requests if opened[0] == number]:
                client_request = self.open_requests.pop(proxy_request)
                self._request_not_served(client_request, False, 0.0)
            for key in [key for key in self.in_flight if key[0] == number]:
                _, member = self.in_flight.pop(key)
                member.cancel(key)
            self._receive_list(number, self.endpoint_entries())

    def _apply_to_member(self, member: Member, event: EventPart, active: bool) -> None:
        member.advance()
        what = event.what
        if what == "slow":
            member.slowdown = event.factor if active else 1.0
        elif what == "pause":
            member.paused = active
        elif what == "errors":
            member.errors = event.factor if active else 0.0
        elif what == "silent":
            member.silent = active
        elif what == "drain":
            member.draining = active
            grace = self.scenario.list_delay[1] + 1.0
            if active:
                self.draining[member.name] = self.clock.now + grace
            else:
                self.draining.pop(member.name, None)
        else:
            self._stop_or_start(member, active)
        member.reschedule()

    def _stop_or_start(self, member: Member, stops: bool) -> None:
        if stops:
            member.down = True
            for key in member.crash():
                self.clock.after(RESET_S, self._finish_attempt, key, AttemptResult.RESET)
        else:
            member.down, member.started = False, self.clock.now  # cold
