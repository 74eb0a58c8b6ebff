"""Tests of the detection of client retries."""

from __future__ import annotations

import pytest
from policy_scene import (
    make_balancer,
    make_entries,
    send_request,
)

from loadbalancer.policy.actions import (
    Send,
)


@pytest.mark.parametrize(
    ("shed_level", "unserved", "served"), [(0.0, 99.0, True), (0.04, 99.0, False), (0.04, 0.0, True)]
)
def test_a_client_retry_that_can_only_be_late_is_rejected_first(
    shed_level: float, unserved: float, served: bool
) -> None:
    """The time remaining shows how long a client has waited, if requests were recently left unserved. A client with a
    shorter timeout is not rejected for it, and no request is while no load is shed."""
    balancer = make_balancer(*make_entries(4))
    balancer.typical_latency[0] = 0.1
    for n in range(40):  # times remaining of first requests; a last try may have more time left
        send_request(balancer, 100.0, n, time_remaining=3.5 if n % 4 else 3.97)

    def count_sent(first: int, time_remaining: float) -> int:
        sent = 0
        for n in range(first, first + 50):
            balancer.shed_level, balancer.client_retries[0].unserved = shed_level, unserved
            sent += any(
                isinstance(a, Send) for a in send_request(balancer, 105.0, n, time_remaining=time_remaining)
            )
        return sent

    assert count_sent(100, 3.45) > 40
    sent_late = count_sent(200, 3.05)  # 0.95 s of the latency objective of 1 s have passed
    assert sent_late > 40 if served else sent_late < 10
