"""The phases of a recovery, what ends each, and the order of turns."""

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
    return_after,
    turn,
)


def seen(**more: Any) -> RecoveryObservation:
    """Return an observation of an instance that is a member, may act, and is alone, but for what is given."""
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
    return RecoveryObservation(**(base | more))


def phases(actions: list[RecoveryAction]) -> list[RecoveryPhase]:
    return [action.phase for action in actions if isinstance(action, PhaseChanged)]


def paces(actions: list[RecoveryAction]) -> list[ConnectionPace]:
    return [action for action in actions if isinstance(action, ConnectionPace)]


def questions(actions: list[RecoveryAction]) -> list[LearnFromPeers]:
    return [action for action in actions if isinstance(action, LearnFromPeers)]


@pytest.mark.parametrize(
    ("more", "kind"),
    [
        ({"has_stored_state": False}, "first"),
        ({}, "alone"),
        ({"in_full_service": ("b", "c", "d"), "recovering": ("e",)}, "lone"),
        ({"in_full_service": ("b",), "recovering": ("c", "d")}, "mass"),
        ({"recovering": ("b",)}, "mass"),
    ],
)
def test_the_kind_of_a_start_is_told_by_the_view(more: dict[str, Any], kind: str) -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    assert recovery.step(0.1, seen(joined=False)) == []

    recovery.step(0.2, seen(**more))

    assert recovery.kind == kind


def test_a_lone_start_that_is_one_of_many_is_found_out_and_paced() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    assert not questions(recovery.step(0.1, seen(unreported=7)))
    recovery.step(0.8, seen(unreported=7))
    assert (recovery.kind, recovery.phase) == ("lone", RecoveryPhase.WARMING)  # nobody has reported a phase

    actions = recovery.step(0.9, seen(unreported=3, in_full_service=("b",), recovering=("c", "d", "e")))

    assert ConnectionPace(1.0) in actions
    assert recovery.kind == "mass"


def test_each_phase_has_its_end_and_its_bound() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    full = ("b", "c", "d", "e")
    actions = recovery.step(1.0, seen(in_full_service=full, may_act=False))
    assert phases(actions) == [RecoveryPhase.STATE]
    assert recovery.step(60.0, seen(in_full_service=full, may_act=False)) == []  # as long as it has no lease

    actions = recovery.step(61.0, seen(in_full_service=full))
    assert phases(actions) == [RecoveryPhase.LEARNING]
    actions += recovery.step(61.3, seen(in_full_service=full))
    assert [len(question.names) for question in questions(actions)] == [MAX_ASKED_SURVIVORS]
    assert recovery.step(61.4, seen(in_full_service=full)) == []

    actions = recovery.step(61.1 + LEARN_TIMEOUT_S, seen(in_full_service=full))  # nobody has answered
    assert phases(actions) == [RecoveryPhase.WARMING]
    assert not paces(actions)

    now = 61.1 + LEARN_TIMEOUT_S
    served = 0
    while recovery.phase == RecoveryPhase.WARMING and now < 200:
        now += 0.3
        served += 10
        recovery.step(now, seen(in_full_service=full, served=served, ended=2 * served))
    assert "not full in time" in recovery.completed_phases[-1].ended_by
    assert now > 61 + WARM_TIMEOUT_S
    assert not recovery.full_after


def test_full_service_is_a_second_of_good_windows_and_its_time_is_reported() -> None:
    recovery = RecoveryCoordinator("a", 0.0)
    recovery.step(1.0, seen(recovering=("b",), has_stored_state=False))
    now, served, ended = 1.0, 0, 0

    while recovery.phase != RecoveryPhase.FULL:
        now += 0.26
        ended += 100
        served += 100 if now > 4 else 90
        recovery.step(now, seen(recovering=("b",), served=served, ended=ended))

    assert 3.7 < recovery.full_after < 4.0 + FULL_SERVICE_S
    assert now < 6.0


def test_a_pace_holds_only_where_many_recover() -> None:
    mass, alone = RecoveryCoordinator("a", 0.0), RecoveryCoordinator("a", 0.0)
    many = seen(recovering=("b", "c", "d"))

    actions_of_mass = mass.step(1.0, many) + mass.step(1.5, many)
    actions_of_alone = alone.step(1.0, seen()) + alone.step(1.5, seen())

    assert ConnectionPace(1.0) in actions_of_mass
    assert not paces(actions_of_alone)


@given(st.sets(st.text(min_size=1, max_size=5), min_size=1, max_size=40))
def test_turns_are_taken_without_a_leader_and_no_survivor_is_asked_by_all(names: set[str]) -> None:
    turns = [turn(name, sorted(names - {name}), 0.05) for name in names]
    interval_s = min(0.05, 1.0 / len(names))
    assert sorted(round(after / interval_s) for after in turns) == list(range(len(names)))
    assert max(turns) < 1.0
    assert all(1 <= return_after(draw, len(names)) <= 10 for draw in (0.0, 0.5, 1.0))
    assert len(set(choose_survivors("x", sorted(names)))) == min(MAX_ASKED_SURVIVORS, len(names))
