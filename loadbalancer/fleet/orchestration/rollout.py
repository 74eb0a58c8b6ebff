"""Staged rollout of a configuration file: which stage follows, and which file each instance runs in it.

A stage change is a command of the replicated log, so all instances see the same stage. Any voter may coordinate: it
proposes the next stage by this table, and a repeated proposal of the same stage has no effect.

    stage     what instances do               what ends it
    checking  each fetches and checks it      all have it -> one;
                                              one refuses it, or lacks it after STAGE_TIMEOUT_S -> ended
    one       one, chosen by hash, runs it    all of the stage run it, and the plan's `soak` has passed -> next stage;
    quarter   a quarter runs it               one of them refuses it, dies, or does not run it after STAGE_TIMEOUT_S,
    all       all run it                      or their error share is too high -> back
    halted    each keeps its current file     an operator's command
    back      all run the old file again      all live instances run it -> ended
    done      all run the new file            -
    ended     all run the old file            -

The error share of the instances on the new file is too high if, of at least MIN_JUDGED_REQUESTS requests, the share
that they have rejected or failed exceeds twice that of the instances on the old file plus ERROR_SHARE_MARGIN. If the
instances on the old file have had too few requests in this stage, their share in an earlier stage is used.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated, Collection, Iterable, Mapping

from blake3 import blake3
from msgspec import Meta, Struct

MAX_REASON_LENGTH = 200
Text = Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]
#: Minimum number of requests for the error share of the instances on one file to be meaningful.
MIN_JUDGED_REQUESTS = 50
#: Share of rejected or failed requests that is tolerated in addition to twice that of the old file.
ERROR_SHARE_MARGIN = 0.02
#: Seconds within which all instances of a stage must have checked, or run, the file.
STAGE_TIMEOUT_S = 30.0


class RolloutStage(enum.StrEnum):
    """A stage; the values are on the wire, in stored data and in the administrative API."""

    CHECKING = "checking"
    ONE = "one"
    QUARTER = "quarter"
    ALL = "all"
    HALTED = "halted"
    BACK = "back"
    DONE = "done"
    ENDED = "ended"


#: Stages that end without an operator's command.
ACTIVE_STAGES = (
    RolloutStage.CHECKING,
    RolloutStage.ONE,
    RolloutStage.QUARTER,
    RolloutStage.ALL,
    RolloutStage.BACK,
)
#: Stages in which some or all instances run the new file, and the stage that follows each.
_NEXT_STAGE = {
    RolloutStage.ONE: RolloutStage.QUARTER,
    RolloutStage.QUARTER: RolloutStage.ALL,
    RolloutStage.ALL: RolloutStage.DONE,
}


class RunningFile(enum.StrEnum):
    """Which file an instance runs; the values are on the wire and in the administrative API."""

    OLD = "old"
    NEW = "new"
    #: It is switching to one or the other.
    CHANGING = ""


class PlanBody(Struct, frozen=True, array_like=True):
    """The command that starts a rollout; an array on the wire.

    Attributes:
        id: The rollout's id.
        digest: Digest of the file.
        origin: Name of the instance that has the file.
        soak: Seconds that each stage must serve before the next.
    """

    id: Annotated[str, Meta(max_length=80)]
    digest: Annotated[str, Meta(max_length=64)]
    origin: Annotated[str, Meta(max_length=48)]
    soak: float


class StageBody(Struct, frozen=True, array_like=True):
    """The command that moves a rollout from one stage to the next; an array on the wire.

    It has no effect if the rollout is not in the stage `frm` any more, because another proposal was decided first.
    Stages are strings here and in `RolloutPlan`, since a later build may know more of them than `RolloutStage` does.

    Attributes:
        id: The rollout's id.
        frm: The stage that it ends.
        to: The stage that it begins.
        why: Reason of the change, informational; empty if there was no problem.
        old_bad: Share of requests that the instances on the old file have rejected or failed.
    """

    id: Annotated[str, Meta(max_length=80)]
    frm: Annotated[str, Meta(max_length=16)]
    to: Annotated[str, Meta(max_length=16)]
    why: Text = ""
    old_bad: float = 0.0


class RolloutPlan(Struct, array_like=True):
    """The state of a rollout in the replicated state; an array in stored data.

    Attributes:
        id: The rollout's id.
        digest: Digest of the file.
        origin: Name of the instance that had the file first.
        soak: Seconds that each stage must serve before the next.
        stage: The current stage, a value of `RolloutStage`.
        why: Reason of the stage, informational; empty if there was no problem.
        old_bad: Share of requests that the instances on the old file have rejected or failed.
        version: Version of the replicated state at which the stage began.
    """

    id: str
    digest: str
    origin: str
    soak: float
    stage: str = RolloutStage.CHECKING.value
    why: str = ""
    old_bad: float = 0.0
    version: int = 0

    def advance(self, stage: RolloutStage, why: str = "", old_bad: float = 0.0) -> StageBody:
        """Return the command that moves the rollout from its current stage to another."""
        return StageBody(self.id, self.stage, stage.value, why, old_bad)


@dataclass(frozen=True, slots=True)
class StageReport:
    """The report of one instance on a rollout.

    Attributes:
        runs: Which file it runs, a value of `RunningFile`.
        has: Whether it has the file and finds it valid.
        refused: Why it refuses the file; empty if it does not.
        requests: Number of requests since the stage began.
        bad: Number of these that it has rejected or failed.
    """

    runs: str
    has: bool
    refused: str
    requests: int
    bad: int

    @classmethod
    def read(cls, text: str, plan: str) -> StageReport | None:
        """Parse a report from an instance's metadata; return None if it is of another rollout or malformed."""
        parts = text.split("|", 5)
        if len(parts) != 6 or parts[0] != plan:
            return None
        _, runs, has, requests, bad, refused = parts
        try:
            return cls(runs, has == "1", refused, int(requests), int(bad))
        except ValueError:
            return None

    def write(self, plan: str) -> str:
        """Format the report for an instance's metadata, whose size is limited: a long reason is truncated."""
        return f"{plan}|{self.runs}|{int(self.has)}|{self.requests}|{self.bad}|"[:60] + self.refused[:60]


@dataclass(frozen=True, slots=True)
class _ErrorShare:
    """The number of requests of some instances, and the share that they have rejected or failed."""

    requests: int
    share: float

    @classmethod
    def from_reports(cls, reports: Collection[StageReport]) -> _ErrorShare:
        requests = sum(report.requests for report in reports)
        return cls(requests, sum(report.bad for report in reports) / max(1, requests))

    @property
    def has_enough_requests(self) -> bool:
        return self.requests >= MIN_JUDGED_REQUESTS


def rollout_order(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Return the names in the order in which they switch to the file; a hash of the rollout's id decides it."""
    return sorted(names, key=lambda name: blake3(f"{plan.id}/{name}".encode()).digest())


def instances_on_new(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Return the fleet's instances that should run the new file in the current stage."""
    order = rollout_order(plan, names)
    match plan.stage:
        case RolloutStage.ALL | RolloutStage.DONE:
            return order
        case RolloutStage.QUARTER:
            return order[: max(1, (len(order) + 3) // 4)]
        case RolloutStage.ONE:
            return order[:1]
        case _:
            return []


def wants_new(plan: RolloutPlan, name: str, names: Collection[str], runs: str) -> bool:
    """Return whether an instance should run the new file now.

    Args:
        plan: The rollout; if it is halted, each instance keeps the file that it runs.
        name: The instance.
        names: Names of the fleet's instances.
        runs: The file that it runs, a value of `RunningFile`.
    """
    if plan.stage == RolloutStage.HALTED:
        return runs == RunningFile.NEW
    return name in instances_on_new(plan, {*names, name})


def next_stage(
    plan: RolloutPlan,
    reports: Mapping[str, StageReport],
    living: Collection[str],
    dead: Collection[str],
    elapsed_s: float,
) -> StageBody | None:
    """Return the command that starts the next stage, by the table at the top of this module.

    Args:
        plan: The rollout.
        reports: Latest reports by instance name.
        living: Names of live instances.
        dead: Names of instances that belong to the fleet and are not alive.
        elapsed_s: Seconds since the current stage began.

    Returns:
        The command; None if the current stage continues.
    """
    living_reports = {name: reports[name] for name in living if name in reports}
    match plan.stage:
        case RolloutStage.CHECKING:
            return _after_checking(plan, living_reports, living, elapsed_s)
        case RolloutStage.ONE | RolloutStage.QUARTER | RolloutStage.ALL:
            return _after_serving_stage(plan, living_reports, {*living, *dead}, dead, elapsed_s)
        case RolloutStage.BACK:
            return _after_back(plan, living_reports, living)
        case _:
            return None


def _after_checking(
    plan: RolloutPlan, reports: Mapping[str, StageReport], living: Collection[str], elapsed_s: float
) -> StageBody | None:
    """Return the command that ends the check: the first instance switches, or the rollout ends."""
    for name, report in sorted(reports.items()):
        if report.refused:
            return plan.advance(RolloutStage.ENDED, _refusal(name, report))
    missing = sorted(name for name in living if name not in reports or not reports[name].has)
    if not missing:
        return plan.advance(RolloutStage.ONE)
    if elapsed_s > STAGE_TIMEOUT_S:
        reason = f"not checked in time by {', '.join(missing)}"
        return plan.advance(RolloutStage.ENDED, reason[:MAX_REASON_LENGTH])
    return None


def _after_back(
    plan: RolloutPlan, reports: Mapping[str, StageReport], living: Collection[str]
) -> StageBody | None:
    """Return the command that ends the rollout once all live instances run the old file."""
    if _not_running(RunningFile.OLD, living, reports):
        return None
    return plan.advance(RolloutStage.ENDED, plan.why)


def _after_serving_stage(
    plan: RolloutPlan,
    reports: Mapping[str, StageReport],
    names: Collection[str],
    dead: Collection[str],
    elapsed_s: float,
) -> StageBody | None:
    """Return the command that ends a stage on the new file: on to the next stage, or back to the old file."""
    on_new = instances_on_new(plan, names)
    missing = _not_running(RunningFile.NEW, on_new, reports)
    new_file = _ErrorShare.from_reports([reports[name] for name in on_new if name not in missing])
    old_file = _ErrorShare.from_reports([report for name, report in reports.items() if name not in on_new])
    old_share = old_file.share if old_file.has_enough_requests else plan.old_bad
    reason = _refusal_or_death(on_new, reports, dead)
    if not reason and new_file.has_enough_requests and new_file.share > 2 * old_share + ERROR_SHARE_MARGIN:
        reason = f"served worse: {new_file.share:.3f} refused or failed, {old_share:.3f} on the old one"
    if not reason and missing and elapsed_s > STAGE_TIMEOUT_S:
        reason = f"not taken up in time by {', '.join(missing)}"
    if reason:
        return plan.advance(RolloutStage.BACK, reason[:MAX_REASON_LENGTH], old_share)
    if not missing and elapsed_s >= plan.soak:
        return plan.advance(_NEXT_STAGE[RolloutStage(plan.stage)], "", old_share)
    return None


def _refusal_or_death(
    on_new: Iterable[str], reports: Mapping[str, StageReport], dead: Collection[str]
) -> str:
    """Return the reason of the first instance that died or refuses the new file; empty if there is none."""
    for name in on_new:
        if name in dead:
            return f"{name} died on it"
        if name in reports and reports[name].refused:
            return _refusal(name, reports[name])
    return ""


def _refusal(name: str, report: StageReport) -> str:
    return f"{name} refuses it: {report.refused}"


def _not_running(file: RunningFile, names: Iterable[str], reports: Mapping[str, StageReport]) -> list[str]:
    """Return the names of instances that have not reported that they run this file."""
    return [name for name in names if name not in reports or reports[name].runs != file]
