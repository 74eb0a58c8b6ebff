"""A balancer with endpoints, and requests sent through it, for the tests of the policy."""

from __future__ import annotations

from typing import Any

from fleetscene import WORK_S, Member, Scene

from loadbalancer.policy.actions import (
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Outcome,
    Request,
)
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    PolicySettings,
    RequestClass,
    SafetyRules,
)

SAFE = RequestClass("safe", latency_objective=1.0, client_timeout=4.0)
KEYED = RequestClass(
    "keyed",
    1.0,
    4.0,
    effect=Effect.KEYED,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window=0.5,
)
UNSAFE = RequestClass("unsafe", 1.0, 4.0, effect=Effect.UNSAFE)
HASTY = RequestClass("hasty", latency_objective=0.15, client_timeout=0.5)
PATIENT = RequestClass("patient", latency_objective=0.5, client_timeout=2.0)


def make_balancer(*entries: EndpointEntry, seed: int = 1, **settings: Any) -> Balancer:
    """A balancer at time 100 that knows the endpoints and has answers from none."""
    made = Balancer(PolicySettings(**{"classes": (SAFE, KEYED, UNSAFE), **settings}), seed)
    made.handle(100.0, [EndpointList(entries)])
    return made


def make_entries(count: int, **more: Any) -> list[EndpointEntry]:
    """Endpoints `s0`, `s1` and so on."""
    return [EndpointEntry(f"s{i}", **more) for i in range(count)]


def send_request(
    balancer: Balancer, now: float, number: int, class_index: int = 0, time_remaining: float = 4.0
) -> list[Any]:
    """The actions that follow a request."""
    return balancer.handle(now, [Request(number, class_index, time_remaining)])


def sent_to(balancer: Balancer, now: float, number: int, class_index: int = 0) -> str | None:
    """The endpoint that a request is sent to."""
    return next(
        (a.endpoint for a in send_request(balancer, now, number, class_index) if isinstance(a, Send)), None
    )


def end_attempt(
    balancer: Balancer,
    now: float,
    number: int,
    endpoint: str,
    result: AttemptResult = AttemptResult.SERVED,
    attempt: int = 0,
    util: float | None = None,
) -> list[Any]:
    """The actions that follow the end of an attempt."""
    report = None if util is None else {"utilization": util}
    ended = result == AttemptResult.SERVED
    return balancer.handle(now, [Outcome(number, attempt, endpoint, result, 0.1, ended, report)])


def queue_attempts(balancer: Balancer, pace: float, at: float) -> None:
    """Let each endpoint answer in `pace` seconds for each attempt of this proxy that it holds."""
    for number in range(40):
        endpoint = sent_to(balancer, at - 0.5 + number / 100, 1000 + number, class_index=1)
        assert endpoint is not None
        elapsed = pace * len(balancer.endpoints[endpoint].in_flight)
        balancer.handle(
            at - 0.5 + number / 100,
            [Outcome(1000 + number, 0, endpoint, AttemptResult.SERVED, elapsed, True)],
        )


REQUEST_NUMBERS = range(400)
MEMBER_COUNT, LOAD = 16, 0.7


def select_for(
    balancer: Balancer, now: float, number: int, session: str | None = None, class_index: int = 0
) -> str | None:
    """The endpoint that a request of a sticky session is sent to."""
    actions = balancer.handle(now, [Request(number, class_index, 4.0, sticky_endpoint=session)])
    return next((a.endpoint for a in actions if isinstance(a, Send)), None)


def make_warm_balancer(*entries: EndpointEntry, **settings: Any) -> Balancer:
    """A balancer whose endpoints have all answered before."""
    balancer = make_balancer(*entries, **settings)
    for endpoint in balancer.endpoints.values():
        endpoint.answered = True
    return balancer


def count_sent(
    balancer: Balancer, start: float, session: str | None = None, gap: float = 0.01
) -> dict[str | None, int]:
    """Send 400 requests, each served at once, and count where they went."""
    counts: dict[str | None, int] = {}
    for number in REQUEST_NUMBERS:
        endpoint = select_for(balancer, start + number * gap, number + int(start * 1000), session)
        counts[endpoint] = counts.get(endpoint, 0) + 1
        if endpoint is not None:
            end_attempt(balancer, start + number * gap + 0.001, number + int(start * 1000), endpoint)
    return counts


def drain(balancer: Balancer, now: float, *names: str, state: EndpointState = EndpointState.DRAINING) -> None:
    """Let a list say that endpoints drain, or have another state."""
    entries = [EndpointEntry(n, priority=balancer.endpoints[n].priority, state=state) for n in names]
    balancer.handle(now, [EndpointList(tuple(entries), complete=False)])


def replace_members(
    proxies: int, factor: float, cold_from: float, part: float, restarted: float, seed: int
) -> list[Member]:
    """Part of the members is replaced in one moment, part of the proxies restarted in the same."""
    rules = SafetyRules(
        slow_start_capacity=cold_from,
        slow_start_duration=6.0,
        overload_factor=factor,
        overload_duration=3.0,
        drain_grace=2.0,
    )
    speeds = sum(0.6 if n % 5 in (1, 3) else 0.97 for n in range(MEMBER_COUNT))
    scene = Scene(proxies, MEMBER_COUNT, LOAD * speeds / (sum(WORK_S) / 2), seed, rules=rules)
    scene.publish_endpoints()
    scene.run(6.0)
    new = []
    for old in list(scene.members.values())[: int(part * MEMBER_COUNT)]:
        old.go_down()
        new.append(scene.add(f"{old.name}-new", old.speed, old.kind, old.zone, scene.now))
    for number in range(int(restarted * proxies)):
        scene.restart(number)
    scene.publish_endpoints()
    scene.run(rules.slow_start_duration)
    return new
