"""Hedged requests, and attempts that are cancelled for another."""

from __future__ import annotations

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
    sent_to,
)

from loadbalancer.policy.actions import (
    Send,
    SetTimer,
)
from loadbalancer.policy.events import (
    AttemptResult,
    Outcome,
    TimerFired,
)
from loadbalancer.policy.settings import (
    PolicyLimits,
)


def test_no_hedged_request_while_load_is_shed() -> None:
    for shed_level, copies in ((0.0, 1), (0.1, 0)):
        balancer = make_balancer(*make_entries(3))
        timer = next(a for a in send_request(balancer, 100.0, 1) if isinstance(a, SetTimer))
        balancer.shed_level = shed_level
        actions = balancer.handle(100.0 + timer.delay, [TimerFired(timer.token)])
        assert sum(isinstance(a, Send) for a in actions) == copies


@pytest.mark.parametrize(
    ("copies", "proxies", "elapsed", "after"),
    [
        (False, 200, 0.05, 0.49),
        (False, 200, 0.12, 0.72),
        (False, 200, 0.2, None),
        (False, 200, None, None),
        (True, 200, 0.2, 0.49),
        (False, 1, 0.2, 0.49),
    ],
)
def test_the_delay_of_the_hedge_check(
    copies: bool, proxies: int, elapsed: float | None, after: float | None
) -> None:
    """Not after half of the aim, where no two may be out and a proxy sees little: near full load answers take that."""
    balancer = make_balancer(*make_entries(3), limits=PolicyLimits(hedging=copies), instance_count=proxies)
    if elapsed is not None:
        endpoint = sent_to(balancer, 100.0, 1)
        assert endpoint is not None
        balancer.handle(100.0 + elapsed, [Outcome(1, 0, endpoint, AttemptResult.SERVED, elapsed, True)])
    timers = [a for a in send_request(balancer, 101.0, 2) if isinstance(a, SetTimer)]
    assert [t.delay for t in timers] == ([] if after is None else [pytest.approx(after, rel=0.1)])


def test_no_hedged_request_where_none_is_allowed() -> None:
    balancer = make_balancer(*make_entries(3), limits=PolicyLimits(hedging=False))
    timer = next(a for a in send_request(balancer, 100.0, 1) if isinstance(a, SetTimer))
    actions = balancer.handle(100.0 + timer.delay, [TimerFired(timer.token)])
    assert not any(isinstance(a, Send) for a in actions)
