"""The time of a shutdown, between the deadlines of the last requests and SIGKILL."""

from __future__ import annotations

import pytest

from loadbalancer.frontends.listener import DRAIN_OPEN_S
from loadbalancer.frontends.shutdown_deadline import platform_shutdown_duration, shutdown_duration

#: The pages' figures, in seconds: SIGKILL after the longest deadline (3 s at most) and SIGTERM; how long a process may
#: be held up; until when new connections come after SIGTERM.
KILL_S = 0.7
LONGEST_DEADLINE_S = 3.0
HOLD_UP_S = 0.15
NEW_CONNECTIONS_S = 0.4

DEADLINES_S = [0.25, 0.4, 1.5, 3.0, 5.0, 30.0]


# Guards against requests that SIGKILL finds open because the process was held up for a moment at its end.
@pytest.mark.parametrize("deadline_s", DEADLINES_S)
def test_the_last_answers_come_before_sigkill_also_after_two_hold_ups(deadline_s: float) -> None:
    kill_s = min(deadline_s, LONGEST_DEADLINE_S) + KILL_S
    assert platform_shutdown_duration(deadline_s) + 2 * HOLD_UP_S < kill_s
    assert shutdown_duration(deadline_s) + 2 * HOLD_UP_S < deadline_s + KILL_S


# Guards against a shutdown that fails requests which still have time, or ends before new connections do.
@pytest.mark.parametrize("deadline_s", DEADLINES_S)
def test_a_request_that_comes_right_after_sigterm_has_its_whole_deadline(deadline_s: float) -> None:
    assert shutdown_duration(deadline_s) > deadline_s + 2 * HOLD_UP_S
    assert NEW_CONNECTIONS_S < DRAIN_OPEN_S < platform_shutdown_duration(deadline_s)
