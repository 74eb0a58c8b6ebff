"""Tests of hedged requests, and of attempts that are cancelled so that another follows."""

from __future__ import annotations

from typing import Any

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
    sent_to,
)

from loadbalancer.policy.actions import (
    Cancel,
    Reject,
    Send,
    SetTimer,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
    Request,
    TimerFired,
)
from loadbalancer.policy.settings import (
    PolicyLimits,
)


def test_no_hedged_request_is_sent_while_load_is_shed() -> None:
    for shed_level, hedged_count in ((0.0, 1), (0.1, 0)):
        balancer = make_balancer(*make_entries(3))
        timer = next(a for a in send_request(balancer, 100.0, 1) if isinstance(a, SetTimer))
        balancer.shed_level = shed_level
        actions = balancer.handle(100.0 + timer.delay, [TimerFired(timer.token)])
        assert sum(isinstance(a, Send) for a in actions) == hedged_count


@pytest.mark.parametrize(
    ("hedging", "instance_count", "elapsed", "expected_delay"),
    [
        (False, 200, 0.05, 0.49),
        (False, 200, 0.12, 0.72),
        (False, 200, 0.2, None),
        (False, 200, None, None),
        (True, 200, 0.2, 0.49),
        (False, 1, 0.2, 0.49),
    ],
)
def test_hedge_check_delay_follows_the_send_rate_and_the_response_timeout(
    hedging: bool, instance_count: int, elapsed: float | None, expected_delay: float | None
) -> None:
    """Without hedging, a proxy that sends little must not cancel after half of the latency objective: near full load
    answers take that long."""
    balancer = make_balancer(
        *make_entries(3), limits=PolicyLimits(hedging=hedging), instance_count=instance_count
    )
    if elapsed is not None:
        endpoint = sent_to(balancer, 100.0, 1)
        assert endpoint is not None
        balancer.handle(100.0 + elapsed, [Outcome(1, 0, endpoint, AttemptResult.SERVED, elapsed, True)])
    timers = [a for a in send_request(balancer, 101.0, 2) if isinstance(a, SetTimer)]
    assert [t.delay for t in timers] == (
        [] if expected_delay is None else [pytest.approx(expected_delay, rel=0.1)]
    )


def test_no_hedged_request_is_sent_if_hedging_is_off() -> None:
    balancer = make_balancer(*make_entries(3), limits=PolicyLimits(hedging=False))
    timer = next(a for a in send_request(balancer, 100.0, 1) if isinstance(a, SetTimer))
    actions = balancer.handle(100.0 + timer.delay, [TimerFired(timer.token)])
    assert not any(isinstance(a, Send) for a in actions)


def run_hedge_check(balancer: Balancer, **request: Any) -> list[Any]:
    """Return the actions that follow the hedge check of a single attempt, and its outcome if the check cancels it."""
    sent = balancer.handle(100.0, [Request(1, 0, 4.0, **request)])
    endpoint = next(a.endpoint for a in sent if isinstance(a, Send))
    timer = next(a for a in sent if isinstance(a, SetTimer))
    now = 100.0 + timer.delay
    actions = balancer.handle(now, [TimerFired(timer.token)])
    if any(isinstance(a, Cancel) for a in actions):
        actions += balancer.handle(
            now, [Outcome(1, 0, endpoint, AttemptResult.CANCELLED, timer.delay, False)]
        )
    return actions


# Guards against an attempt that is cancelled so that another follows, which then is not sent.
@pytest.mark.parametrize("cause", [AttemptResult.TIMEOUT, None])
def test_a_cancelled_attempt_is_followed_by_another(cause: AttemptResult | None) -> None:
    retry_on = None if cause is None else frozenset((cause,))
    limits = PolicyLimits(hedging=False, retry_on=retry_on)
    balancer = make_balancer(*make_entries(3), limits=limits)
    assert [type(action) for action in run_hedge_check(balancer)] == [Cancel, Send]


# Guards against an attempt that is cancelled although timeouts are not retried.
def test_an_attempt_is_not_cancelled_if_timeouts_are_not_retried() -> None:
    limits = PolicyLimits(hedging=False, retry_on=frozenset((AttemptResult.RESET,)))
    assert run_hedge_check(make_balancer(*make_entries(3), limits=limits)) == []


# Guards against an attempt that is cancelled although no other endpoint can take the next one.
def test_an_attempt_is_not_cancelled_at_the_only_endpoint() -> None:
    balancer = make_balancer(*make_entries(1), limits=PolicyLimits(hedging=False))
    assert not any(isinstance(a, (Cancel, Reject)) for a in run_hedge_check(balancer))


# Guards against an attempt that is cancelled although its session may not move.
def test_an_attempt_of_a_required_session_is_not_cancelled() -> None:
    balancer = make_balancer(*make_entries(3), limits=PolicyLimits(hedging=False))
    actions = run_hedge_check(balancer, sticky_endpoint="s1", sticky_required=True)
    assert not any(isinstance(a, (Cancel, Reject)) for a in actions)


def test_another_attempt_would_follow_only_with_time_left_and_no_other_one_open() -> None:
    """Guards against an unfinished answer that is given up for an attempt which nobody makes."""
    balancer = make_balancer(*make_entries(3))
    timer = next(a for a in send_request(balancer, 100.0, 1) if isinstance(a, SetTimer))
    assert balancer.would_retry(100.1, 1)
    assert not balancer.would_retry(100.98, 1) and not balancer.would_retry(100.1, 2)
    balancer.handle(100.0 + timer.delay, [TimerFired(timer.token)])
    assert not balancer.would_retry(100.0 + timer.delay, 1)
    send_request(balancer, 101.0, 3, class_index=2)
    assert not balancer.would_retry(101.1, 3)
