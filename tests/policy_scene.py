"""Helpers of the policy tests: balancers with endpoints, and requests sent through them."""

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
    """Return a balancer at time 100 that has received a list of the endpoints and no answers."""
    balancer = Balancer(PolicySettings(**{"classes": (SAFE, KEYED, UNSAFE), **settings}), seed)
    balancer.handle(100.0, [EndpointList(entries)])
    return balancer


def make_entries(count: int, **fields: Any) -> list[EndpointEntry]:
    """Return entries of endpoints `s0`, `s1` and so on, all with the same further fields."""
    return [EndpointEntry(f"s{i}", **fields) for i in range(count)]


def send_request(
    balancer: Balancer, now: float, number: int, class_index: int = 0, time_remaining: float = 4.0
) -> list[Any]:
    """Send a request; return the actions."""
    return balancer.handle(now, [Request(number, class_index, time_remaining)])


def sent_to(balancer: Balancer, now: float, number: int, class_index: int = 0) -> str | None:
    """Send a request; return the endpoint that it goes to, or None."""
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
    """End an attempt; return the actions."""
    report = None if util is None else {"utilization": util}
    ended = result == AttemptResult.SERVED
    return balancer.handle(now, [Outcome(number, attempt, endpoint, result, 0.1, ended, report)])


def record_queued_answers(balancer: Balancer, seconds_per_attempt: float, at: float) -> None:
    """Let each endpoint answer in `seconds_per_attempt` for each attempt that this proxy has in flight there."""
    for number in range(40):
        endpoint = sent_to(balancer, at - 0.5 + number / 100, 1000 + number, class_index=1)
        assert endpoint is not None
        elapsed = seconds_per_attempt * len(balancer.endpoints[endpoint].in_flight)
        balancer.handle(
            at - 0.5 + number / 100,
            [Outcome(1000 + number, 0, endpoint, AttemptResult.SERVED, elapsed, True)],
        )


REQUEST_NUMBERS = range(400)
MEMBER_COUNT, LOAD = 16, 0.7


def select_for(
    balancer: Balancer, now: float, number: int, session: str | None = None, class_index: int = 0
) -> str | None:
    """Send a request of a sticky session; return the endpoint that it goes to, or None."""
    actions = balancer.handle(now, [Request(number, class_index, 4.0, sticky_endpoint=session)])
    return next((a.endpoint for a in actions if isinstance(a, Send)), None)


def make_warm_balancer(*entries: EndpointEntry, **settings: Any) -> Balancer:
    """Return a balancer whose endpoints have all answered before."""
    balancer = make_balancer(*entries, **settings)
    for endpoint in balancer.endpoints.values():
        endpoint.answered = True
    return balancer


def count_sent(
    balancer: Balancer, start: float, session: str | None = None, gap: float = 0.01
) -> dict[str | None, int]:
    """Send 400 requests, each served at once; return how many went to each endpoint, or to None."""
    counts: dict[str | None, int] = {}
    for number in REQUEST_NUMBERS:
        endpoint = select_for(balancer, start + number * gap, number + int(start * 1000), session)
        counts[endpoint] = counts.get(endpoint, 0) + 1
        if endpoint is not None:
            end_attempt(balancer, start + number * gap + 0.001, number + int(start * 1000), endpoint)
    return counts


def drain(balancer: Balancer, now: float, *names: str, state: EndpointState = EndpointState.DRAINING) -> None:
    """Apply a list in which the named endpoints drain, or have another state."""
    entries = [EndpointEntry(n, priority=balancer.endpoints[n].priority, state=state) for n in names]
    balancer.handle(now, [EndpointList(tuple(entries), complete=False)])


def replace_members(
    proxy_count: int,
    overload_factor: float,
    initial_capacity: float,
    replaced_share: float,
    restarted_share: float,
    seed: int,
) -> list[Member]:
    """Replace a share of the members and restart a share of the proxies at the same time; return the new members."""
    rules = SafetyRules(
        slow_start_capacity=initial_capacity,
        slow_start_duration=6.0,
        overload_factor=overload_factor,
        overload_duration=3.0,
        drain_grace=2.0,
    )
    speeds = sum(0.6 if n % 5 in (1, 3) else 0.97 for n in range(MEMBER_COUNT))
    scene = Scene(proxy_count, MEMBER_COUNT, LOAD * speeds / (sum(WORK_S) / 2), seed, rules=rules)
    scene.tell_list()
    scene.run(6.0)
    new_members = []
    for old in list(scene.members.values())[: int(replaced_share * MEMBER_COUNT)]:
        old.fall()
        new_members.append(scene.add(f"{old.name}-new", old.speed, old.kind, old.zone, scene.now))
    for number in range(int(restarted_share * proxy_count)):
        scene.restart(number)
    scene.tell_list()
    scene.run(rules.slow_start_duration)
    return new_members
