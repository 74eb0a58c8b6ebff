"""The duration of a shutdown, between the deadlines of the last requests and SIGKILL."""

from __future__ import annotations

import pytest

from loadbalancer.frontends.listener import DRAIN_OPEN_S
from loadbalancer.frontends.shutdown_deadline import platform_shutdown_duration, shutdown_duration

#: Documented figures in seconds: from SIGTERM plus the longest deadline (3 s at most) to SIGKILL; how long a process
#: may stall; how long new connections come after SIGTERM.
KILL_S = 0.7
LONGEST_DEADLINE_S = 3.0
HOLD_UP_S = 0.15
NEW_CONNECTIONS_S = 0.4

DEADLINES_S = [0.25, 0.4, 1.5, 3.0, 5.0, 30.0]


# Guards against requests that SIGKILL finds open because the process stalled at its end.
@pytest.mark.parametrize("deadline_s", DEADLINES_S)
def test_last_answers_precede_sigkill_even_after_two_stalls(deadline_s: float) -> None:
    kill_s = min(deadline_s, LONGEST_DEADLINE_S) + KILL_S
    assert platform_shutdown_duration(deadline_s) + 2 * HOLD_UP_S < kill_s
    assert shutdown_duration(deadline_s) + 2 * HOLD_UP_S < deadline_s + KILL_S


# Guards against a shutdown that fails requests before their deadline, or ends while new connections still come.
@pytest.mark.parametrize("deadline_s", DEADLINES_S)
def test_request_right_after_sigterm_has_its_whole_deadline(deadline_s: float) -> None:
    assert shutdown_duration(deadline_s) > deadline_s + 2 * HOLD_UP_S
    assert NEW_CONNECTIONS_S < DRAIN_OPEN_S < platform_shutdown_duration(deadline_s)
