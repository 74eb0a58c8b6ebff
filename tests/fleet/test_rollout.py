"""Rolling out a configuration: the table of stages, and several processes that take it up, refuse it, die of it."""

from __future__ import annotations

import asyncio
import tomllib
from pathlib import Path
from typing import Any

import pytest
from scenes import replicated_fleet, run

from loadbalancer.daemon.rollout import merged
from loadbalancer.fleet.orchestration.rollout import (
    LATE_S,
    RolloutPlan,
    StageReport,
    follows,
    order,
    step_of,
    wants_new,
)
from standins.askers import Askers
from standins.member import Fleet as Members
from standins.processes import Fleet, until

NAMES = [f"i{number}" for number in range(8)]


def plan(stage: str) -> RolloutPlan:
    return RolloutPlan("r1", "d", "i0", 5.0, stage)


def report(
    runs: str = "old", has: bool = True, refused: str = "", requests: int = 0, bad: int = 0
) -> StageReport:
    return StageReport(runs, has, refused, requests, bad)


def after(
    stage: str, reports: dict[str, StageReport], dead: tuple[str, ...] = (), lasted: float = 6.0
) -> str | None:
    living = [name for name in NAMES if name not in dead]
    found = follows(plan(stage), reports, living, dead, lasted)
    return found.to if found is not None else None


def on_new(stage: str, **more: Any) -> dict[str, StageReport]:
    step = step_of(plan(stage), NAMES)
    return {
        name: report("new" if name in step else "old", **(more if name in step else {})) for name in NAMES
    }


def test_a_step_takes_one_then_a_quarter_then_all_and_each_plan_another_first() -> None:
    assert [len(step_of(plan(stage), NAMES)) for stage in ("checking", "one", "quarter", "all", "back")] == [
        0,
        1,
        2,
        8,
        0,
    ]
    assert step_of(plan("one"), NAMES)[0] in step_of(plan("quarter"), NAMES)
    firsts = {order(RolloutPlan(f"r{n}", "d", "i0", 5.0), NAMES)[0] for n in range(40)}
    assert len(firsts) > 4


def test_it_goes_on_while_all_is_well() -> None:
    assert after("checking", {name: report() for name in NAMES}) == "one"
    for stage, next_ in (("one", "quarter"), ("quarter", "all"), ("all", "done")):
        assert after(stage, on_new(stage)) == next_
        assert after(stage, on_new(stage), lasted=4.0) is None  # it has not served for long enough
    assert after("back", {name: report() for name in NAMES}) == "ended"


@pytest.mark.parametrize("stage", ["one", "quarter", "all"])
def test_it_is_taken_back_where_one_refuses_dies_is_late_or_serves_worse(stage: str) -> None:
    first = step_of(plan(stage), NAMES)[0]
    assert after(stage, {**on_new(stage), first: report(refused="no such file")}) == "back"
    assert after(stage, on_new(stage), dead=(first,)) == "back"
    assert after(stage, {**on_new(stage), first: report("old")}, lasted=LATE_S + 1) == "back"
    assert after(stage, on_new(stage, requests=200, bad=10), lasted=1.0) == "back"
    assert after(stage, on_new(stage, requests=5, bad=4), lasted=1.0) is None  # too few to judge


def test_a_file_that_one_refuses_goes_nowhere() -> None:
    reports = {name: report() for name in NAMES} | {"i3": report(has=False, refused="pool[p]: unknown key")}
    found = follows(plan("checking"), reports, NAMES, (), 1.0)
    assert found is not None and found.to == "ended" and "i3 refuses it" in found.why
    assert after("checking", {}, lasted=LATE_S + 1) == "ended"


def test_as_bad_as_the_old_one_is_no_reason() -> None:
    reports = {name: report(one.runs, requests=200, bad=40) for name, one in on_new("quarter").items()}
    assert after("quarter", reports) == "all"


def test_a_halted_one_stays_and_one_that_comes_back_late_follows_what_was_decided() -> None:
    assert wants_new(plan("halted"), "i1", NAMES, "new") and not wants_new(plan("halted"), "i1", NAMES, "old")
    assert wants_new(plan("done"), "i1", NAMES, "old") and not wants_new(plan("ended"), "i1", NAMES, "new")
    assert StageReport.read(report("new", True, "a|b", 3, 1).write("r1"), "r1") == report(
        "new", True, "a|b", 3, 1
    )
    assert StageReport.read("r2|new|1|0|0|", "r1") is None and StageReport.read("nonsense", "r1") is None


def test_what_is_an_instances_own_stays_its_own() -> None:
    ours = b'[fleet]\nname = "a"\n[store]\nfolder = "s"\n[[listener]]\nname = "m"\naddress = "127.0.0.1:1"\n'
    theirs = b'[fleet]\nname = "b"\n[[class]]\nname = "c"\n'
    theirs += b'[[listener]]\nname = "m"\naddress = "127.0.0.1:2"\nshare = 2.0\n'
    found = tomllib.loads(merged(theirs, ours).decode())
    assert (
        found["fleet"]["name"] == "a"
        and found["store"] == {"folder": "s"}
        and found["class"] == [{"name": "c"}]
    )
    assert found["listener"] == [{"name": "m", "address": "127.0.0.1:1", "share": 2.0}]


async def stage(made: Fleet, number: int = 0) -> dict[str, Any]:
    return dict(await made.all[number].read("fleet/rollout"))


async def reached(made: Fleet, number: int, *stages: str) -> dict[str, Any]:
    async def so() -> Any:
        found = await stage(made, number)
        return found if found.get("stage") in stages else None

    return dict(await until(so, f"the roll-out comes to {stages}"))


def written(made: Fleet, old: str, new: str) -> Path:
    path = made.folder / "new.toml"
    path.write_text(made.all[0].config.read_text().replace(old, new))
    return path


def runs(made: Fleet, words: str) -> list[bool]:
    return [words in one.config.read_text() for one in made.all]


def test_a_good_file_goes_to_all_and_a_bad_one_nowhere_under_load(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3, members=Members(3)) as made:
            askers = Askers([one.port for one in made.all])
            askers.start()
            good = written(made, 'deadline = "3s"', 'deadline = "4s"')
            status, _ = await made.all[3].say("fleet/rollout", path=str(good), until="300ms")
            assert status == 200
            status, _ = await made.all[0].say("fleet/rollout", path=str(good))
            assert status == 409  # one at a time
            await reached(made, 1, "done")
            assert runs(made, 'deadline = "4s"') == [True] * 4
            names = [tomllib.loads(one.config.read_text())["fleet"]["name"] for one in made.all]
            assert names == ["i0", "i1", "i2", "i3"]
            bad = written(made, 'prefix = "/"', 'prefx = "/"')
            assert (await made.all[1].say("fleet/rollout", path=str(bad), until="300ms"))[0] == 200
            found = await reached(made, 0, "ended")
            assert "refuses it" in found["why"] and runs(made, "prefx") == [False] * 4
            ends = await askers.stop()
            assert set(ends) == {"200"}, ends

    run(scene)


def test_it_is_taken_back_where_an_instance_dies_of_it_and_its_operator_is_gone(tmp_path: Path) -> None:
    """The instance at which it was said is killed; the rest ends it, one way."""

    async def scene() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3) as made:
            good = written(made, 'deadline = "3s"', 'deadline = "4s"')
            status, _ = await made.all[3].say("fleet/rollout", path=str(good), until="1h")
            assert status == 200
            await reached(made, 0, "one")

            async def taken() -> list[int]:
                return [n for n, new in enumerate(runs(made, 'deadline = "4s"')) if new]

            first = (await until(taken, "one has taken it up"))[0]
            asked = next(n for n in (0, 1, 2) if n != first)
            await asyncio.gather(*(made.all[n].kill() for n in {first, 3}))
            found = await reached(made, asked, "ended")
            assert "died on it" in found["why"]
            await made.start(*sorted({first, 3}))
            await until(lambda: all_old(made), "all run the old one, also who comes back")

    run(scene)


async def all_old(made: Fleet) -> bool:
    return runs(made, 'deadline = "4s"') == [False] * 4


def test_an_operator_halts_it_and_takes_it_back(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as made:
            assert (await made.all[0].say("fleet/back"))[0] == 409
            good = written(made, 'deadline = "3s"', 'deadline = "4s"')
            await made.all[0].say("fleet/rollout", path=str(good), until="1h")
            await reached(made, 0, "one")
            await until(lambda: some_new(made), "one has taken it up")
            await made.all[1].say("fleet/halt")
            await reached(made, 2, "halted")
            assert sum(runs(made, 'deadline = "4s"')) == 1
            await made.all[2].say("fleet/back")
            await reached(made, 0, "ended")
            assert sum(runs(made, 'deadline = "4s"')) == 0

    run(scene)


async def some_new(made: Fleet) -> bool:
    found = await stage(made)
    return any(one["runs"] == "new" for one in found["instances"])
