"""Sets of servers and sticky sessions, as the module decides them."""

from __future__ import annotations

from typing import Any

import pytest
from test_choice import answer, balancer

from loadbalancer.policy.actions import (
    Send,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.events import (
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Request,
)
from loadbalancer.policy.settings import (
    DeduplicationScope,
    Effect,
    RequestClass,
    SafetyRules,
)

ALL = range(400)
KEYED_CELL = RequestClass(
    "k", 1.0, 4.0, effect=Effect.KEYED, deduplication_scope=DeduplicationScope.CELL, deduplication_window=3.0
)


def where(b: Balancer, now: float, number: int, member: str | None = None, cls: int = 0) -> str | None:
    actions = b.handle(now, [Request(number, cls, 4.0, sticky_endpoint=member)])
    return next((a.endpoint for a in actions if isinstance(a, Send)), None)


def warm(*entries: EndpointEntry, **settings: Any) -> Balancer:
    """Servers that have all answered before."""
    b = balancer(*entries, **settings)
    for server in b.endpoints.values():
        server.answered = True
    return b


def served_by(
    b: Balancer, start: float, member: str | None = None, gap: float = 0.01
) -> dict[str | None, int]:
    """Which servers get 400 requests that are each served at once."""
    counts: dict[str | None, int] = {}
    for number in ALL:
        server = where(b, start + number * gap, number + int(start * 1000), member)
        counts[server] = counts.get(server, 0) + 1
        if server is not None:
            answer(b, start + number * gap + 0.001, number + int(start * 1000), server)
    return counts


def drain(b: Balancer, now: float, *names: str, state: EndpointState = EndpointState.DRAINING) -> None:
    entries = [EndpointEntry(n, priority=b.endpoints[n].priority, state=state) for n in names]
    b.handle(now, [EndpointList(tuple(entries), complete=False)])


SETS = [
    EndpointEntry("a0"),
    EndpointEntry("a1"),
    EndpointEntry("b0", priority=1),
    EndpointEntry("c0", priority=1_000_000),
]


def test_a_further_set_gets_nothing_while_the_first_has_a_usable_server() -> None:
    b = warm(*SETS)
    assert served_by(b, 101.0).keys() == {"a0", "a1"}
    drain(b, 106.0, "a0")
    assert served_by(b, 107.0).keys() == {"a1"}


def test_the_next_set_serves_where_the_first_has_none_and_gives_back() -> None:
    b = warm(*SETS)
    drain(b, 101.0, "a0", "a1")
    assert served_by(b, 102.0).keys() == {"b0"}
    drain(b, 107.0, "b0", state=EndpointState.GONE)
    assert served_by(b, 108.0).keys() == {"c0"}
    b.handle(113.0, [EndpointList((EndpointEntry("a0"),), complete=False)])
    assert served_by(b, 114.0).keys() == {"a0"}


def test_a_set_of_which_one_server_of_many_is_left_still_keeps_the_next_one_out() -> None:
    b = warm(*[EndpointEntry(f"a{n}") for n in range(60)], EndpointEntry("standby", priority=5))
    for server in b.endpoints.values():
        if server.id.startswith("a") and server.id != "a7":
            server.consecutive_failures, server.error_rate, server.error_rate_at = 99, 1.0, 101.0
    assert served_by(b, 101.0).keys() == {"a7"}


@pytest.mark.parametrize("result", [AttemptResult.NO_CONNECTION, AttemptResult.RESET, AttemptResult.ERROR])
def test_a_set_whose_servers_all_fail_is_passed_over(result: AttemptResult) -> None:
    b = warm(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    for number in range(3):
        for _ in range(4):
            b.outliers.record_result(b.endpoints["a0"], result, None, b.now)
        assert where(b, 101.0 + number / 10, number) == "standby"


def test_a_slow_server_is_no_reason_to_wake_a_standby() -> None:
    b = warm(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    for _ in range(9):
        b.outliers.record_result(b.endpoints["a0"], AttemptResult.SERVED, None, b.now, 1.0)
    assert b.endpoints["a0"].error_rate > 0.9
    assert where(b, 100.1, 1) == "a0"


def test_a_failed_attempt_goes_on_in_the_next_set_at_once() -> None:
    b = warm(EndpointEntry("a0"), EndpointEntry("standby", priority=1))
    assert where(b, 101.0, 1) == "a0"
    actions = answer(b, 101.1, 1, "a0", AttemptResult.NO_CONNECTION)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["standby"]


def test_a_cold_standby_set_is_not_pushed_over_when_it_has_to_serve() -> None:
    """It gets less than its share of what it can do at the time, and refusals carry the rest."""
    rules = SafetyRules(slow_start_capacity=0.3, slow_start_duration=10.0)
    b = warm(
        EndpointEntry("a0"),
        EndpointEntry("b0", priority=1),
        rules=rules,
        standby_slow_start=True,
        instance_count=1,
    )
    usual = served_by(b, 101.0)["a0"]  # in 4 s
    drain(b, 106.0, "a0")
    early = served_by(b, 106.0)
    assert early[None] > early["b0"] > 0  # most is refused
    assert early["b0"] < 0.6 * usual
    late = served_by(b, 117.0)  # and then it is warm
    assert late == {"b0": len(ALL)}


def test_a_standby_that_is_warm_serves_at_once() -> None:
    b = warm(EndpointEntry("a0"), EndpointEntry("b0", priority=1), standby_slow_start=False)
    drain(b, 106.0, "a0")
    assert served_by(b, 106.0) == {"b0": len(ALL)}


def test_a_draining_set_and_nothing_else_is_refused() -> None:
    b = warm(EndpointEntry("a0"))
    drain(b, 101.0, "a0")
    assert served_by(b, 101.0) == {None: len(ALL)}


# Sticky sessions.


def test_a_sticky_request_goes_to_its_server_whatever_its_load() -> None:
    b = warm(*[EndpointEntry(f"s{n}") for n in range(5)])
    b.endpoints["s3"].in_flight.update({(n, 9): 200.0 for n in range(50)})
    assert served_by(b, 101.0, "s3") == {"s3": len(ALL)}


@pytest.mark.parametrize("member", ["unknown", "", "s9", "gone"])
def test_a_session_of_no_server_here_is_drawn_like_any_other(member: str) -> None:
    b = warm(EndpointEntry("s0"), EndpointEntry("s1"), EndpointEntry("gone"))
    drain(b, 101.0, "gone", state=EndpointState.GONE)
    assert served_by(b, 101.0, member).keys() == {"s0", "s1"}


@pytest.mark.parametrize("keeps", [True, False])
def test_a_draining_server_keeps_its_sessions_where_the_settings_say_so(keeps: bool) -> None:
    b = warm(EndpointEntry("s0"), EndpointEntry("s1"), sticky_while_draining=keeps)
    drain(b, 101.0, "s0")
    assert served_by(b, 102.0, "s0").keys() == ({"s0"} if keeps else {"s1"})
    assert served_by(b, 107.0).keys() == {"s1"}  # and gets nothing else in any case


def test_the_last_server_keeps_its_sessions_when_it_drains() -> None:
    b = warm(EndpointEntry("s0"), sticky_while_draining=True)
    drain(b, 101.0, "s0")
    assert served_by(b, 102.0, "s0") == {"s0": len(ALL)}
    assert served_by(b, 107.0) == {None: len(ALL)}


def test_a_session_moves_on_from_a_server_that_fails() -> None:
    b = warm(EndpointEntry("s0"), EndpointEntry("s1"))
    for _ in range(2):
        b.outliers.record_result(b.endpoints["s0"], AttemptResult.RESET, None, b.now)
    assert where(b, 100.5, 1, "s0") == "s1"
    assert where(b, 102.0, 2, "s0") == "s0"  # and is tried again after a while


def test_a_session_is_given_up_for_the_second_attempt() -> None:
    b = warm(EndpointEntry("s0"), EndpointEntry("s1"))
    assert where(b, 101.0, 1, "s0") == "s0"
    actions = answer(b, 101.1, 1, "s0", AttemptResult.RESET)
    assert [a.endpoint for a in actions if isinstance(a, Send)] == ["s1"]


def test_a_keyed_session_that_may_have_run_stays_in_its_group() -> None:
    entries = [EndpointEntry("s0", cell=1), EndpointEntry("s1", cell=2)]
    b = warm(*entries, classes=(KEYED_CELL,))
    assert where(b, 101.0, 1, "s0") == "s0"
    actions = answer(b, 101.1, 1, "s0", AttemptResult.RESET)
    assert not [a for a in actions if isinstance(a, Send)]


def test_a_session_does_not_push_a_cold_server_over() -> None:
    b = warm(
        EndpointEntry("s0", started=100.5), EndpointEntry("s1"), rules=SafetyRules(slow_start_duration=10.0)
    )
    served_by(b, 101.0)
    counts = served_by(b, 105.0, "s0", 0.001)
    assert counts["s1"] > counts["s0"]
