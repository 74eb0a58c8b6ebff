"""Tests of which requests are rejected under overload."""

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
    for level, max_timeout in ((0.0, 4.0), (0.1, 1.0)):
        balancer = make_balancer(*make_entries(3), classes=(late,))
        balancer.shed_level = level
        sends = [a for n in range(9) for a in send_request(balancer, 100.0, n) if isinstance(a, Send)]
        assert max(s.timeout for s in sends) == pytest.approx(max_timeout, abs=0.03)


def test_retry_after_is_given_only_while_load_is_shed_and_within_the_limit() -> None:
    def retry_after_values(enabled: bool, level: float) -> list[float]:
        limits = PolicyLimits(retry_after=enabled, max_retry_after=2.0)
        balancer = make_balancer(EndpointEntry("s0", state=EndpointState.DRAINING), limits=limits)
        balancer.shed_level = level
        actions = [balancer.handle(100.0 + n / 100, [Request(n, 0, 4.0)]) for n in range(50)]
        return [a.retry_after for those in actions for a in those if isinstance(a, Reject)]

    values = retry_after_values(True, 1.0)
    assert len(values) == 50 and min(values) >= 1.0 and max(values) <= 2.0
    assert len(set(values)) > 40  # jittered, so that clients do not all return at once
    assert set(retry_after_values(True, 0.0)) == set(retry_after_values(False, 1.0)) == {0.0}
