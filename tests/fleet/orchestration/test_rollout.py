"""The table of a rollout's stages."""

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
    """Return the stage that follows, None where the stage goes on."""
    living = [name for name in NAMES if name not in dead]
    command = next_stage(plan(stage), reports, living, dead, elapsed_s)
    return command.to if command is not None else None


def reports_of(stage: str, **on_new: Any) -> dict[str, StageReport]:
    """Return reports of a fleet in which each runs what the stage wants; `on_new` is of those on the new file."""
    step = instances_on_new(plan(stage), NAMES)
    return {name: report("new", **on_new) if name in step else report("old") for name in NAMES}


def test_a_stage_takes_one_then_a_quarter_then_all() -> None:
    stages = ("checking", "one", "quarter", "all", "back")

    sizes = [len(instances_on_new(plan(stage), NAMES)) for stage in stages]

    assert sizes == [0, 1, 2, 8, 0]
    assert instances_on_new(plan("one"), NAMES)[0] in instances_on_new(plan("quarter"), NAMES)


def test_each_rollout_draws_another_first_instance() -> None:
    plans = [RolloutPlan(f"r{number}", "d", "i0", 5.0) for number in range(40)]

    firsts = {rollout_order(each, NAMES)[0] for each in plans}

    assert len(firsts) > 4


def test_it_goes_on_while_all_is_well() -> None:
    assert stage_after("checking", {name: report() for name in NAMES}) == "one"
    for stage, following in (("one", "quarter"), ("quarter", "all"), ("all", "done")):
        assert stage_after(stage, reports_of(stage)) == following
        assert (
            stage_after(stage, reports_of(stage), elapsed_s=4.0) is None
        )  # it has not served for long enough
    assert stage_after("back", {name: report() for name in NAMES}) == "ended"


@pytest.mark.parametrize("stage", ["one", "quarter", "all"])
def test_it_is_taken_back_where_an_instance_refuses_dies_is_late_or_serves_worse(stage: str) -> None:
    first = instances_on_new(plan(stage), NAMES)[0]
    refused = {**reports_of(stage), first: report(refused="no such file")}
    not_taken_up = {**reports_of(stage), first: report("old")}

    assert stage_after(stage, refused) == "back"
    assert stage_after(stage, reports_of(stage), dead=(first,)) == "back"
    assert stage_after(stage, not_taken_up, elapsed_s=STAGE_TIMEOUT_S + 1) == "back"
    assert stage_after(stage, reports_of(stage, requests=200, bad=10), elapsed_s=1.0) == "back"
    assert stage_after(stage, reports_of(stage, requests=5, bad=4), elapsed_s=1.0) is None  # too few to judge


def test_a_file_that_an_instance_refuses_goes_nowhere() -> None:
    reports = {name: report() for name in NAMES} | {"i3": report(has=False, refused="pool[p]: unknown key")}

    command = next_stage(plan("checking"), reports, NAMES, (), 1.0)

    assert command is not None
    assert command.to == "ended"
    assert "i3 refuses it" in command.why


def test_a_file_that_is_not_checked_in_time_goes_nowhere() -> None:
    assert stage_after("checking", {}, elapsed_s=STAGE_TIMEOUT_S + 1) == "ended"


def test_as_bad_as_the_old_file_is_no_reason() -> None:
    reports = {name: report(each.runs, requests=200, bad=40) for name, each in reports_of("quarter").items()}
    assert stage_after("quarter", reports) == "all"


def test_a_halted_rollout_leaves_each_instance_as_it_is() -> None:
    assert wants_new(plan("halted"), "i1", NAMES, "new")
    assert not wants_new(plan("halted"), "i1", NAMES, "old")


def test_an_instance_that_comes_back_late_follows_what_was_decided() -> None:
    assert wants_new(plan("done"), "i1", NAMES, "old")
    assert not wants_new(plan("ended"), "i1", NAMES, "new")


def test_a_report_is_read_as_written_and_one_of_another_rollout_is_not() -> None:
    written = report("new", True, "a|b", 3, 1)
    assert StageReport.read(written.write("r1"), "r1") == written
    assert StageReport.read("r2|new|1|0|0|", "r1") is None
    assert StageReport.read("nonsense", "r1") is None
