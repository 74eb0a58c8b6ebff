"""The stages of a rollout, and the conditions that lead from one to the next."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.fleet.orchestration.rollout import (
    STAGE_TIMEOUT_S,
    RolloutPlan,
    StageReport,
    instances_on_new,
    next_stage,
    rollout_order,
    wants_new,
)

NAMES = [f"i{number}" for number in range(8)]


def plan(stage: str) -> RolloutPlan:
    return RolloutPlan("r1", "d", "i0", 5.0, stage)


def report(
    runs: str = "old", has: bool = True, refused: str = "", requests: int = 0, bad: int = 0
) -> StageReport:
    return StageReport(runs, has, refused, requests, bad)


def stage_after(
    stage: str, reports: dict[str, StageReport], dead: tuple[str, ...] = (), elapsed_s: float = 6.0
) -> str | None:
    """Return the stage that follows, or None if the stage continues."""
    living = [name for name in NAMES if name not in dead]
    command = next_stage(plan(stage), reports, living, dead, elapsed_s)
    return command.to if command is not None else None


def reports_of(stage: str, **on_new: Any) -> dict[str, StageReport]:
    """Return reports of a fleet that runs as the stage requires; `on_new` applies to instances on the new file."""
    on_new_file = instances_on_new(plan(stage), NAMES)
    return {name: report("new", **on_new) if name in on_new_file else report("old") for name in NAMES}


def test_stages_run_the_new_file_on_one_then_a_quarter_then_all_instances() -> None:
    stages = ("checking", "one", "quarter", "all", "back")

    sizes = [len(instances_on_new(plan(stage), NAMES)) for stage in stages]

    assert sizes == [0, 1, 2, 8, 0]
    assert instances_on_new(plan("one"), NAMES)[0] in instances_on_new(plan("quarter"), NAMES)


def test_first_instance_differs_between_rollouts() -> None:
    plans = [RolloutPlan(f"r{number}", "d", "i0", 5.0) for number in range(40)]

    firsts = {rollout_order(rollout, NAMES)[0] for rollout in plans}

    assert len(firsts) > 4


def test_rollout_advances_if_there_is_no_problem() -> None:
    assert stage_after("checking", {name: report() for name in NAMES}) == "one"
    for stage, following in (("one", "quarter"), ("quarter", "all"), ("all", "done")):
        assert stage_after(stage, reports_of(stage)) == following
        assert (
            stage_after(stage, reports_of(stage), elapsed_s=4.0) is None
        )  # it has served for less than the soak time
    assert stage_after("back", {name: report() for name in NAMES}) == "ended"


@pytest.mark.parametrize("stage", ["one", "quarter", "all"])
def test_rollout_goes_back_if_an_instance_refuses_dies_is_late_or_serves_worse(stage: str) -> None:
    first = instances_on_new(plan(stage), NAMES)[0]
    refused = {**reports_of(stage), first: report(refused="no such file")}
    not_taken_up = {**reports_of(stage), first: report("old")}

    assert stage_after(stage, refused) == "back"
    assert stage_after(stage, reports_of(stage), dead=(first,)) == "back"
    assert stage_after(stage, not_taken_up, elapsed_s=STAGE_TIMEOUT_S + 1) == "back"
    assert stage_after(stage, reports_of(stage, requests=200, bad=10), elapsed_s=1.0) == "back"
    assert (
        stage_after(stage, reports_of(stage, requests=5, bad=4), elapsed_s=1.0) is None
    )  # too few requests for a comparison


def test_rollout_ends_if_an_instance_refuses_the_file_in_the_check() -> None:
    reports = {name: report() for name in NAMES} | {"i3": report(has=False, refused="pool[p]: unknown key")}

    command = next_stage(plan("checking"), reports, NAMES, (), 1.0)

    assert command is not None
    assert command.to == "ended"
    assert "i3 refuses it" in command.why


def test_rollout_ends_if_the_file_is_not_checked_in_time() -> None:
    assert stage_after("checking", {}, elapsed_s=STAGE_TIMEOUT_S + 1) == "ended"


def test_rollout_advances_if_the_old_file_has_the_same_error_share() -> None:
    reports = {
        name: report(initial.runs, requests=200, bad=40) for name, initial in reports_of("quarter").items()
    }
    assert stage_after("quarter", reports) == "all"


def test_instances_keep_their_file_in_a_halted_rollout() -> None:
    assert wants_new(plan("halted"), "i1", NAMES, "new")
    assert not wants_new(plan("halted"), "i1", NAMES, "old")


def test_instance_that_returns_late_runs_the_file_of_the_final_stage() -> None:
    assert wants_new(plan("done"), "i1", NAMES, "old")
    assert not wants_new(plan("ended"), "i1", NAMES, "new")


def test_report_round_trips_and_reports_of_other_rollouts_are_ignored() -> None:
    written = report("new", True, "a|b", 3, 1)
    assert StageReport.read(written.write("r1"), "r1") == written
    assert StageReport.read("r2|new|1|0|0|", "r1") is None
    assert StageReport.read("nonsense", "r1") is None
