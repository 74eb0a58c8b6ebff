"""Which requests are rejected under overload."""

from __future__ import annotations

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
    sent_to,
)

from loadbalancer.policy.actions import (
    Reject,
    Send,
)
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointState,
    Outcome,
    Request,
)
from loadbalancer.policy.settings import (
    PolicyLimits,
    RequestClass,
)


def test_failing_endpoints_alone_shed_no_load_and_slow_attempts_do() -> None:
    for result, elapsed, sheds in ((AttemptResult.ERROR, 0.01, False), (AttemptResult.TIMEOUT, 1.0, True)):
        balancer = make_balancer(*make_entries(8))
        for n in range(300):
            endpoint = sent_to(balancer, 100.0 + n / 50, n, class_index=2)
            if endpoint is not None:
                balancer.handle(100.01 + n / 50, [Outcome(n, 0, endpoint, result, elapsed)])
        assert (balancer.shed_level > 0.5) == sheds


def test_late_answers_are_not_waited_for_while_load_is_shed() -> None:
    late = RequestClass("late", latency_objective=1.0, client_timeout=4.0, late_value=0.3)
    for level, longest in ((0.0, 4.0), (0.1, 1.0)):
        balancer = make_balancer(*make_entries(3), classes=(late,))
        balancer.shed_level = level
        sends = [a for n in range(9) for a in send_request(balancer, 100.0, n) if isinstance(a, Send)]
        assert max(s.timeout for s in sends) == pytest.approx(longest, abs=0.03)


def test_a_rejection_says_when_to_return_while_load_is_shed_and_within_the_limit() -> None:
    def refused(after: bool, level: float) -> list[float]:
        limits = PolicyLimits(retry_after=after, max_retry_after=2.0)
        balancer = make_balancer(EndpointEntry("s0", state=EndpointState.DRAINING), limits=limits)
        balancer.shed_level = level
        actions = [balancer.handle(100.0 + n / 100, [Request(n, 0, 4.0)]) for n in range(50)]
        return [a.retry_after for those in actions for a in those if isinstance(a, Reject)]

    told = refused(True, 1.0)
    assert len(told) == 50 and min(told) >= 1.0 and max(told) <= 2.0
    assert len(set(told)) > 40  # not all at once
    assert set(refused(True, 0.0)) == set(refused(False, 1.0)) == {0.0}
