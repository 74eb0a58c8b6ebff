"""The phases of a recovery, the conditions that end them, and the staggering of instances."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.fleet.orchestration.recovery import (
    FULL_SERVICE_S,
    LEARN_TIMEOUT_S,
    MAX_ASKED_SURVIVORS,
    WARM_TIMEOUT_S,
    ConnectionPace,
    LearnFromPeers,
    PhaseChanged,
    RecoveryAction,
    RecoveryCoordinator,
    RecoveryObservation,
    RecoveryPhase,
    choose_survivors,
    retry_delay_s,
    stagger_delay,
)


def observation(**changes: Any) -> RecoveryObservation:
    """Return the observation of an instance that is a member, may act and is alone, with `changes` applied."""
    base: dict[str, Any] = {
        "joined": True,
        "may_act": True,
        "has_stored_state": True,
        "in_full_service": (),
        "recovering": (),
        "unreported": 0,
        "served": 0,
        "ended": 0,
    }
    return RecoveryObservation(**(base | changes))


def phases(actions: list[RecoveryAction]) -> list[RecoveryPhase]:
    return [action.phase for action in actions if isinstance(action, PhaseChanged)]


def connection_paces(actions: list[RecoveryAction]) -> list[ConnectionPace]:
    return [action for action in actions if isinstance(action, ConnectionPace)]


def learn_requests(actions: list[RecoveryAction]) -> list[LearnFromPeers]:
    return [action for action in actions if isinstance(action, LearnFromPeers)]


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"has_stored_state": False}, "first"),
        ({}, "alone"),
        ({"in_full_service": ("b", "c", "d"), "recovering": ("e",)}, "lone"),
        ({"in_full_service": ("b",), "recovering": ("c", "d")}, "mass"),
        ({"recovering": ("b",)}, "mass"),
    ],
)
def test_kind_of_a_start_is_derived_from_reports_of_other_members(changes: dict[str, Any], kind: str) -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    assert recovery.step(0.1, observation(joined=False)) == []

    recovery.step(0.2, observation(**changes))

    assert recovery.kind == kind


def test_lone_start_becomes_a_paced_mass_start_once_others_report_recovering() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    assert not learn_requests(recovery.step(0.1, observation(unreported=7)))
    recovery.step(0.8, observation(unreported=7))
    assert (recovery.kind, recovery.phase) == (
        "lone",
        RecoveryPhase.WARMING,
    )  # no member has reported a phase

    actions = recovery.step(
        0.9, observation(unreported=3, in_full_service=("b",), recovering=("c", "d", "e"))
    )

    assert ConnectionPace(1.0) in actions
    assert recovery.kind == "mass"


def test_each_phase_ends_on_its_condition_or_timeout() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    in_full_service = ("b", "c", "d", "e")
    actions = recovery.step(1.0, observation(in_full_service=in_full_service, may_act=False))
    assert phases(actions) == [RecoveryPhase.STATE]
    assert (
        recovery.step(60.0, observation(in_full_service=in_full_service, may_act=False)) == []
    )  # it waits without a limit while it has no lease

    actions = recovery.step(61.0, observation(in_full_service=in_full_service))
    assert phases(actions) == [RecoveryPhase.LEARNING]
    actions += recovery.step(61.3, observation(in_full_service=in_full_service))
    assert [len(request.names) for request in learn_requests(actions)] == [MAX_ASKED_SURVIVORS]
    assert recovery.step(61.4, observation(in_full_service=in_full_service)) == []

    actions = recovery.step(
        61.1 + LEARN_TIMEOUT_S, observation(in_full_service=in_full_service)
    )  # no survivor has answered
    assert phases(actions) == [RecoveryPhase.WARMING]
    assert not connection_paces(actions)

    now = 61.1 + LEARN_TIMEOUT_S
    served = 0
    while recovery.phase == RecoveryPhase.WARMING and now < 200:
        now += 0.3
        served += 10
        recovery.step(now, observation(in_full_service=in_full_service, served=served, ended=2 * served))
    assert "not full in time" in recovery.completed_phases[-1].ended_by
    assert now > 61 + WARM_TIMEOUT_S
    assert not recovery.full_after


def test_full_service_needs_consecutive_full_windows_and_reports_their_beginning() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    recovery.step(1.0, observation(recovering=("b",), has_stored_state=False))
    now, served, ended = 1.0, 0, 0

    while recovery.phase != RecoveryPhase.FULL:
        now += 0.26
        ended += 100
        served += 100 if now > 4 else 90
        recovery.step(now, observation(recovering=("b",), served=served, ended=ended))

    assert 3.7 < recovery.full_after < 4.0 + FULL_SERVICE_S
    assert now < 6.0


def test_connection_pace_is_limited_in_a_mass_start_only() -> None:
    mass, alone = RecoveryCoordinator("a", 0.0), RecoveryCoordinator("a", 0.0)
    mass_observation = observation(recovering=("b", "c", "d"))

    actions_of_mass = mass.step(1.0, mass_observation) + mass.step(1.5, mass_observation)
    actions_of_alone = alone.step(1.0, observation()) + alone.step(1.5, observation())

    assert ConnectionPace(1.0) in actions_of_mass
    assert not connection_paces(actions_of_alone)


@given(st.sets(st.text(min_size=1, max_size=5), min_size=1, max_size=40))
def test_start_delays_are_distinct_and_survivors_and_retry_delays_are_within_bounds(names: set[str]) -> None:
    delays = [stagger_delay(name, sorted(names - {name}), 0.05) for name in names]
    interval_s = min(0.05, 1.0 / len(names))
    assert sorted(round(delay / interval_s) for delay in delays) == list(range(len(names)))
    assert max(delays) < 1.0
    assert all(1 <= retry_delay_s(draw, len(names)) <= 10 for draw in (0.0, 0.5, 1.0))
    assert len(set(choose_survivors("x", sorted(names)))) == min(MAX_ASKED_SURVIVORS, len(names))
