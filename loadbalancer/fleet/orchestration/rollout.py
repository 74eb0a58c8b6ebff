"""Rolling out a configuration over the fleet: which stage follows, and which file each instance runs in it.

A stage is a command of the replicated state, so all instances see the same one. Any voter may drive: it proposes the
stage that follows by this table, and a second proposal of the same changes nothing.

    stage     what instances do               what ends it
    checking  each fetches and checks a file  all have it -> one;
                                              one refuses it, or lacks it after STAGE_TIMEOUT_S -> ended
    one       the first by a draw runs it     all of the stage run it, and the plan's `soak` has passed -> next stage;
    quarter   a quarter runs it               one of them refuses it, dies, or does not run it after STAGE_TIMEOUT_S,
    all       all run it                      or they serve worse -> back
    halted    each keeps what it runs         an operator's word
    back      all run the old file again      all that live do -> ended
    done      all run the new file            -
    ended     all run the old file            -

Instances on the new file serve worse if, of at least MIN_JUDGED_REQUESTS requests, the share that they have rejected or
failed is over twice that of the instances on the old file plus ERROR_SHARE_MARGIN. Where the old file has had too few
requests in this stage to tell, the share of an earlier stage counts.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Annotated, Collection, Iterable, Mapping

from blake3 import blake3
from msgspec import Meta, Struct

MAX_REASON_LENGTH = 200
Text = Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]
#: Requests from which on the instances of one file are judged.
MIN_JUDGED_REQUESTS = 50
#: Share of rejected or failed requests that is tolerated beyond twice that of the old file.
ERROR_SHARE_MARGIN = 0.02
#: Seconds that a stage may take until all of it have checked, or run, the file.
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


#: Stages that end by themselves.
OPEN = (
    RolloutStage.CHECKING,
    RolloutStage.ONE,
    RolloutStage.QUARTER,
    RolloutStage.ALL,
    RolloutStage.BACK,
)
#: Stages in which some or all run the new file, and the one that follows each.
_NEXT_STEP = {
    RolloutStage.ONE: RolloutStage.QUARTER,
    RolloutStage.QUARTER: RolloutStage.ALL,
    RolloutStage.ALL: RolloutStage.DONE,
}


class RunningFile(enum.StrEnum):
    """Which file an instance runs; the values are on the wire and in the administrative API."""

    OLD = "old"
    NEW = "new"
    #: It is taking up one or the other.
    CHANGING = ""


class PlanBody(Struct, frozen=True, array_like=True):
    """The command that begins a rollout. An array on the wire.

    Attributes:
        id: The rollout's id.
        digest: Digest of the file.
        origin: Name of the instance that has the file.
        soak: Seconds that each stage serves before the next.
    """

    id: Annotated[str, Meta(max_length=80)]
    digest: Annotated[str, Meta(max_length=64)]
    origin: Annotated[str, Meta(max_length=48)]
    soak: float


class StageBody(Struct, frozen=True, array_like=True):
    """The command that leads from one stage to the next. An array on the wire.

    It changes nothing where the rollout is not in the stage `frm` any more, since another proposal came first. Stages
    are texts here and in `RolloutPlan`, as a later build may know more of them than `RolloutStage` does.

    Attributes:
        id: The rollout's id.
        frm: The stage that it ends.
        to: The stage that it begins.
        why: Reason, for people; empty where all is well.
        old_bad: Share of requests that the instances on the old file have rejected or failed.
    """

    id: Annotated[str, Meta(max_length=80)]
    frm: Annotated[str, Meta(max_length=16)]
    to: Annotated[str, Meta(max_length=16)]
    why: Text = ""
    old_bad: float = 0.0


class RolloutPlan(Struct, array_like=True):
    """A rollout as it stands in the replicated state. An array in stored data.

    Attributes:
        id: The rollout's id.
        digest: Digest of the file.
        origin: Name of the instance that had the file first.
        soak: Seconds that each stage serves before the next.
        stage: The stage, a value of `RolloutStage`.
        why: Reason of the stage, for people; empty where all is well.
        old_bad: Share of requests that the instances on the old file have rejected or failed.
        version: Version of the replicated state that has begun the stage.
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
        """Return the command that leads from the present stage to another."""
        return StageBody(self.id, self.stage, stage.value, why, old_bad)


@dataclass(frozen=True, slots=True)
class StageReport:
    """What an instance reports of itself in a rollout.

    Attributes:
        runs: Which file it runs, a value of `RunningFile`.
        has: Whether it has the file and finds it valid.
        refused: Why it refuses the file; empty where it does not.
        requests: Requests since the stage began.
        bad: Those of them that it has rejected or failed.
    """

    runs: str
    has: bool
    refused: str
    requests: int
    bad: int

    @classmethod
    def read(cls, text: str, plan: str) -> StageReport | None:
        """Read a report from an instance's metadata; None for one of another rollout, or none."""
        parts = text.split("|", 5)
        if len(parts) != 6 or parts[0] != plan:
            return None
        _, runs, has, requests, bad, refused = parts
        try:
            return cls(runs, has == "1", refused, int(requests), int(bad))
        except ValueError:
            return None

    def write(self, plan: str) -> str:
        """Return it as text for an instance's metadata, short enough for that: a long reason is cut."""
        return f"{plan}|{self.runs}|{int(self.has)}|{self.requests}|{self.bad}|"[:60] + self.refused[:60]


@dataclass(frozen=True, slots=True)
class _ErrorShare:
    """Requests of some instances, and the share that they have rejected or failed."""

    requests: int
    share: float

    @classmethod
    def of(cls, reports: Collection[StageReport]) -> _ErrorShare:
        requests = sum(report.requests for report in reports)
        return cls(requests, sum(report.bad for report in reports) / max(1, requests))

    @property
    def can_be_judged(self) -> bool:
        return self.requests >= MIN_JUDGED_REQUESTS


def rollout_order(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Return the names in the order in which they take the file up, drawn anew for each rollout."""
    return sorted(names, key=lambda name: blake3(f"{plan.id}/{name}".encode()).digest())


def instances_on_new(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Return which of the fleet's instances are to run the new file in the present stage."""
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
    """Return whether an instance is to run the new file now.

    Args:
        plan: The rollout. A halted one leaves each instance as it is.
        name: The instance.
        names: Names of the fleet's instances.
        runs: Which file it runs, a value of `RunningFile`.
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
    """Return the command to the stage that follows, by the table above.

    Args:
        plan: The rollout.
        reports: What instances have reported, by name.
        living: Names of instances that live.
        dead: Names that the fleet counts with and that do not live.
        elapsed_s: Seconds since the present stage began.

    Returns:
        None where the present stage goes on.
    """
    living_reports = {name: reports[name] for name in living if name in reports}
    match plan.stage:
        case RolloutStage.CHECKING:
            return _after_checking(plan, living_reports, living, elapsed_s)
        case RolloutStage.ONE | RolloutStage.QUARTER | RolloutStage.ALL:
            return _after_step(plan, living_reports, {*living, *dead}, dead, elapsed_s)
        case RolloutStage.BACK:
            return _after_back(plan, living_reports, living)
        case _:
            return None


def _after_checking(
    plan: RolloutPlan, reports: Mapping[str, StageReport], living: Collection[str], elapsed_s: float
) -> StageBody | None:
    """End the check: the first instance begins, or the rollout ends before it began."""
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
    """End the rollout once all that live run the old file."""
    if _not_running(RunningFile.OLD, living, reports):
        return None
    return plan.advance(RolloutStage.ENDED, plan.why)


def _after_step(
    plan: RolloutPlan,
    reports: Mapping[str, StageReport],
    names: Collection[str],
    dead: Collection[str],
    elapsed_s: float,
) -> StageBody | None:
    """End a stage in which some or all are to run the new file: the next one follows, or all go back."""
    step = instances_on_new(plan, names)
    missing = _not_running(RunningFile.NEW, step, reports)
    new = _ErrorShare.of([reports[name] for name in step if name not in missing])
    old = _ErrorShare.of([report for name, report in reports.items() if name not in step])
    old_share = old.share if old.can_be_judged else plan.old_bad
    reason = _refusal_or_death(step, reports, dead)
    if not reason and new.can_be_judged and new.share > 2 * old_share + ERROR_SHARE_MARGIN:
        reason = f"served worse: {new.share:.3f} refused or failed, {old_share:.3f} on the old one"
    if not reason and missing and elapsed_s > STAGE_TIMEOUT_S:
        reason = f"not taken up in time by {', '.join(missing)}"
    if reason:
        return plan.advance(RolloutStage.BACK, reason[:MAX_REASON_LENGTH], old_share)
    if not missing and elapsed_s >= plan.soak:
        return plan.advance(_NEXT_STEP[RolloutStage(plan.stage)], "", old_share)
    return None


def _refusal_or_death(step: Iterable[str], reports: Mapping[str, StageReport], dead: Collection[str]) -> str:
    """Return why the first instance that can't run the new file does not; empty where there is none."""
    for name in step:
        if name in dead:
            return f"{name} died on it"
        if name in reports and reports[name].refused:
            return _refusal(name, reports[name])
    return ""


def _refusal(name: str, report: StageReport) -> str:
    return f"{name} refuses it: {report.refused}"


def _not_running(file: RunningFile, names: Iterable[str], reports: Mapping[str, StageReport]) -> list[str]:
    """Return which of the names have not reported that they run this file."""
    return [name for name in names if name not in reports or reports[name].runs != file]
