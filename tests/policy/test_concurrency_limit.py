"""Tests of the limit on attempts in flight."""

from __future__ import annotations

import random

from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
)

from loadbalancer.policy import concurrency_limit
from loadbalancer.policy.actions import (
    Cancel,
    Send,
    SetTimer,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    BodyProgress,
    ClientCancelled,
    FirstByte,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.settings import (
    PolicyLimits,
    RequestClass,
)


def send_unanswered(
    balancer: Balancer, count: int, class_index: int, first: int = 1000, now: float = 101.0
) -> list[tuple[int, str]]:
    """Send requests without answering them; return the number and endpoint of each that was sent."""
    sent = []
    for n in range(first, first + count):
        endpoint = next(
            (a.endpoint for a in balancer.handle(now, [Request(n, class_index, 4.0)]) if isinstance(a, Send)),
            None,
        )
        if endpoint is not None:
            sent.append((n, endpoint))
    return sent


def count_in_flight(balancer: Balancer) -> int:
    """Return the attempts in flight, counted at the endpoints."""
    return sum(len(endpoint.in_flight) for endpoint in balancer.endpoints.values())


def test_in_flight_count_is_correct_however_attempts_end() -> None:
    balancer = make_balancer(*make_entries(5))
    rng = random.Random(4)
    attempt_counts: dict[int, int] = {}  # by request
    open_attempts: list[tuple[int, int, str]] = []
    results = (
        AttemptResult.SERVED,
        AttemptResult.RESET,
        AttemptResult.FULL,
        AttemptResult.NO_CONNECTION,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    )
    for n in range(3000):
        now = 101.0 + n / 200
        draw = rng.random()
        if draw < 0.5 or not open_attempts:
            actions = balancer.handle(now, [Request(n, n % 3, 4.0, body_pending=rng.random() < 0.2)])
        else:
            number, attempt, endpoint = chosen = rng.choice(open_attempts)
            if draw < 0.55:
                actions = balancer.handle(now, [BodyProgress(number, True, True)])
            elif draw < 0.6:
                actions = balancer.handle(now, [FirstByte(number, attempt, endpoint, 0.01)])
            elif draw < 0.65:
                actions = balancer.handle(now, [ClientCancelled(number)])
            else:
                open_attempts.remove(chosen)
                result = rng.choice(results)
                ended = result == AttemptResult.SERVED and number in balancer.requests
                actions = balancer.handle(now, [Outcome(number, attempt, endpoint, result, 0.01, ended)])
        for action in actions:
            if isinstance(action, Send):
                open_attempts.append((action.request, attempt_counts.get(action.request, 0), action.endpoint))
                attempt_counts[action.request] = attempt_counts.get(action.request, 0) + 1
        assert balancer.in_flight == count_in_flight(balancer)
    assert len(open_attempts) > 20 and sum(attempt_counts.values()) > len(attempt_counts)


def test_nothing_is_rejected_below_the_minimum_limit() -> None:
    balancer = make_balancer(*make_entries(4))
    balancer.concurrency_limit.late_share, balancer.concurrency_limit.limit = 0.1, 1.0
    least = int(concurrency_limit.MIN_LIMIT)
    assert (
        len(send_unanswered(balancer, least, 0)) == least
        and len(send_unanswered(balancer, 100, 0, 2000)) < 10
    )


def test_least_valuable_class_reaches_the_limit_first_and_is_never_rejected_completely() -> None:
    cheap, dear = (
        RequestClass("cheap", 1.0, 4.0, priority_weight=1.0),
        RequestClass("dear", 1.0, 4.0, priority_weight=10.0),
    )
    balancer = make_balancer(*make_entries(40), classes=(cheap, dear))
    balancer.concurrency_limit.late_share, balancer.concurrency_limit.limit = 0.1, 100.0
    assert 80 <= len(send_unanswered(balancer, 400, 0)) < 95
    assert 18 <= len(send_unanswered(balancer, 20, 1, 2000)) and balancer.in_flight >= 99
    assert len(send_unanswered(balancer, 2000, 1, 3000)) in range(1, 60)


def test_the_limit_shrinks_for_late_attempts_and_grows_while_it_is_used() -> None:
    balancer = make_balancer(*make_entries(40))
    balancer.concurrency_limit.late_share, balancer.concurrency_limit.limit = 0.1, 50.0
    for round_ in range(20):  # more than half used, all in time
        balancer.concurrency_limit.late_share = 0.1
        for n, endpoint in send_unanswered(balancer, 40, 0, 1000 * round_, 101.0 + round_):
            balancer.handle(101.1 + round_, [Outcome(n, 0, endpoint, AttemptResult.SERVED, 0.1, True)])
    grown = balancer.concurrency_limit.limit
    assert 52.0 < grown < 70.0
    for round_ in range(20, 60):
        for n, endpoint in send_unanswered(balancer, 40, 0, 1000 * round_, 101.0 + round_):
            balancer.handle(101.9 + round_, [Outcome(n, 0, endpoint, AttemptResult.SERVED, 0.9, True)])
    assert balancer.concurrency_limit.limit == concurrency_limit.MIN_LIMIT


def test_few_slow_endpoints_do_not_shrink_the_limit_and_failures_do_not_change_it() -> None:
    balancer = make_balancer(*make_entries(40))
    balancer.concurrency_limit.late_share, balancer.concurrency_limit.limit = 0.1, 60.0
    for round_ in range(20):
        for n, endpoint in send_unanswered(balancer, 40, 0, 1000 * round_, 101.0 + round_):
            late = n % 40 == 0
            result, elapsed = (AttemptResult.TIMEOUT, 0.9) if late else (AttemptResult.SERVED, 0.1)
            balancer.handle(101.1 + round_, [Outcome(n, 0, endpoint, result, elapsed, True)])
    assert balancer.concurrency_limit.limit > 58.0 and balancer.concurrency_limit.late_share > 0.02
    before = balancer.concurrency_limit.limit
    for n, endpoint in send_unanswered(balancer, 40, 2, 50_000, 130.0):
        balancer.handle(130.1, [Outcome(n, 0, endpoint, AttemptResult.RESET, 0.1)])
    assert balancer.concurrency_limit.limit == before


def test_a_burst_is_not_limited_while_almost_nothing_is_late() -> None:
    balancer = make_balancer(*make_entries(4))
    assert len(send_unanswered(balancer, 300, 0)) == 300
    for n in range(1000, 1300):
        endpoint = next(s.id for s in balancer.endpoints.values() if (n, 0) in s.in_flight)
        elapsed = 0.95 if n == 1001 else 0.1
        balancer.handle(101.1, [Outcome(n, 0, endpoint, AttemptResult.SERVED, elapsed, True)])
    assert len(send_unanswered(balancer, 300, 0, 2000)) == 300
    assert balancer.concurrency_limit.limit > 100.0  # it has grown with the load served in time
    balancer.concurrency_limit.late_share = 0.05
    assert len(send_unanswered(balancer, 300, 0, 3000)) < 10


def test_an_attempt_that_is_cancelled_without_a_first_byte_counts_as_late() -> None:
    """Guards against a fleet that looks idle although its queues are full: its attempts are cancelled before they are
    late."""
    balancer = make_balancer(*make_entries(40), limits=PolicyLimits(hedging=False))
    balancer.concurrency_limit.late_share, balancer.concurrency_limit.limit = 0.1, 60.0
    timer = next(a for a in send_request(balancer, 101.0, 1) if isinstance(a, SetTimer))
    actions = balancer.handle(101.0 + timer.delay, [TimerFired(timer.token)])
    assert any(isinstance(a, Cancel) for a in actions)
    endpoint = next(s.id for s in balancer.endpoints.values() if s.in_flight)
    balancer.handle(101.0 + timer.delay, [Outcome(1, 0, endpoint, AttemptResult.CANCELLED, timer.delay)])
    assert balancer.concurrency_limit.limit < 60.0
