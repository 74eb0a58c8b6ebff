"""Rolling out a configuration over the fleet: what stage follows, and what each instance runs in it. Pure.

The stages, and what ends each; a stage is a change of the versioned state, so there is one answer everywhere, and any
voter may drive: whoever does proposes the stage that follows by this table, and a second one changes nothing.

    checking  each fetches the file and checks it whole    all have it -> one; one refuses it -> ended (it went nowhere)
    one       the first by a draw takes it up              each ends once all of it run the new one, and have served
    quarter   a quarter                                    for `soak` no worse than those on the old one; an instance
    all       all                                          that refuses, dies, is late or serves worse -> back
    halted    as it is, by an operator                     an operator's word
    back      all take up the old one again                all run it -> ended
    done      all run the new one                          -
    ended     all run the old one                          -

Served worse: of at least LEAST requests those on the new one have refused or failed a share over twice that of those on
the old one and WORSE.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Collection, Mapping

from blake3 import blake3
from msgspec import Meta, Struct

Text = Annotated[str, Meta(max_length=200)]
#: Requests of those on the new file from which on they are judged, and the share that is put up with.
LEAST, WORSE = 50, 0.02
#: Seconds that a stage may take beside its soak.
LATE_S = 30.0
#: Stages in which work is going on.
OPEN = ("checking", "one", "quarter", "all", "back")
STEPS = ("one", "quarter", "all")


class PlanBody(Struct, frozen=True, array_like=True):
    """A file by its digest, and who has it. `soak`: seconds that each step serves before the next."""

    id: Annotated[str, Meta(max_length=80)]
    digest: Annotated[str, Meta(max_length=64)]
    origin: Annotated[str, Meta(max_length=48)]
    soak: float


class StageBody(Struct, frozen=True, array_like=True):
    """From one stage to the next; nothing where another has been there first. `old_bad`: the share of requests that
    those on the old file have refused or failed."""

    id: Annotated[str, Meta(max_length=80)]
    frm: Annotated[str, Meta(max_length=16)]
    to: Annotated[str, Meta(max_length=16)]
    why: Text = ""
    old_bad: float = 0.0


class RolloutPlan(Struct, array_like=True):
    """As it stands."""

    id: str
    digest: str
    origin: str
    soak: float
    stage: str = "checking"
    why: str = ""
    old_bad: float = 0.0
    version: int = 0  # that has begun the stage


@dataclass(frozen=True, slots=True)
class StageReport:
    """What an instance says of itself: `runs` "old", "new", or "" while it changes; `has`: it has the file and finds it
    good; `refused`: why not. Requests since the stage began: all, and those refused or failed."""

    runs: str
    has: bool
    refused: str
    requests: int
    bad: int

    @classmethod
    def read(cls, text: str, plan: str) -> StageReport | None:
        """From a card; None for one of another plan, or none."""
        parts = text.split("|", 5)
        if len(parts) != 6 or parts[0] != plan:
            return None
        try:
            return cls(parts[1], parts[2] == "1", parts[5], int(parts[3]), int(parts[4]))
        except ValueError:
            return None

    def write(self, plan: str) -> str:
        """Short enough for a card; a reason is cut."""
        return f"{plan}|{self.runs}|{int(self.has)}|{self.requests}|{self.bad}|"[:60] + self.refused[:60]


def order(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Who takes it up first; another draw for each plan."""
    return sorted(names, key=lambda name: blake3(f"{plan.id}/{name}".encode()).digest())


def step_of(plan: RolloutPlan, names: Collection[str]) -> list[str]:
    """Those that run the new file in this stage."""
    whole = order(plan, names)
    if plan.stage in ("all", "done"):
        return whole
    if plan.stage == "quarter":
        return whole[: max(1, (len(whole) + 3) // 4)]
    return whole[:1] if plan.stage == "one" else []


def wants_new(plan: RolloutPlan, name: str, names: Collection[str], runs: str) -> bool:
    """Whether an instance is to run the new file now. A halted plan leaves each as it is."""
    if plan.stage == "halted":
        return runs == "new"
    return name in step_of(plan, {*names, name})


def bad_share(reports: Collection[StageReport]) -> tuple[float, int]:
    requests = sum(one.requests for one in reports)
    return sum(one.bad for one in reports) / max(1, requests), requests


def follows(
    plan: RolloutPlan,
    reports: Mapping[str, StageReport],
    living: Collection[str],
    dead: Collection[str],
    lasted: float,
) -> StageBody | None:
    """The stage that follows; None where it is to go on. `lasted`: seconds since this one began. `dead`: names that the
    fleet counts with and that do not live."""
    if plan.stage not in OPEN:
        return None
    heard = {name: reports[name] for name in living if name in reports}
    if plan.stage == "checking":
        return _checked(plan, heard, living, lasted)
    if plan.stage == "back":
        if all(name in heard and heard[name].runs == "old" for name in living):
            return StageBody(plan.id, "back", "ended", plan.why)
        return None
    return _stepped(plan, heard, living, dead, lasted)


def _checked(
    plan: RolloutPlan, heard: Mapping[str, StageReport], living: Collection[str], lasted: float
) -> StageBody | None:
    for name, report in sorted(heard.items()):
        if report.refused:
            return StageBody(plan.id, "checking", "ended", f"{name} refuses it: {report.refused}")
    if all(name in heard and heard[name].has for name in living):
        return StageBody(plan.id, "checking", "one")
    if lasted > LATE_S:
        missing = sorted(name for name in living if name not in heard or not heard[name].has)
        return StageBody(plan.id, "checking", "ended", f"not checked in time by {', '.join(missing)}"[:200])
    return None


def _stepped(
    plan: RolloutPlan,
    heard: Mapping[str, StageReport],
    living: Collection[str],
    dead: Collection[str],
    lasted: float,
) -> StageBody | None:
    step = step_of(plan, {*living, *dead})
    new = [heard[name] for name in step if name in heard and heard[name].runs == "new"]
    old, count = bad_share([one for name, one in heard.items() if name not in step])
    old = old if count >= LEAST else plan.old_bad
    bad, requests = bad_share(new)

    def back(why: str) -> StageBody:
        return StageBody(plan.id, plan.stage, "back", why[:200], old)

    for name in step:
        if name in dead:
            return back(f"{name} died on it")
        if name in heard and heard[name].refused:
            return back(f"{name} refuses it: {heard[name].refused}")
    if requests >= LEAST and bad > 2 * old + WORSE:
        return back(f"served worse: {bad:.3f} refused or failed, {old:.3f} on the old one")
    if len(new) == len(step) and lasted >= plan.soak:
        after = (*STEPS, "done")[STEPS.index(plan.stage) + 1]
        return StageBody(plan.id, plan.stage, after, "", old)
    if len(new) < len(step) and lasted > LATE_S:
        return back(
            "not taken up in time by "
            + ", ".join(n for n in step if n not in heard or heard[n].runs != "new")
        )
    return None
