"""Rolling out a configuration: several processes that take it up, refuse it, die of it."""

from __future__ import annotations

import asyncio
import tomllib
from pathlib import Path
from typing import Any

from scenes import replicated_fleet, run

from loadbalancer.daemon.rollout import merge_configuration
from standins.askers import Askers
from standins.member import Fleet as Members
from standins.processes import Fleet, until


def test_what_is_an_instances_own_stays_its_own() -> None:
    ours = b'[fleet]\nname = "a"\n[store]\nfolder = "s"\n[[listener]]\nname = "m"\naddress = "127.0.0.1:1"\n'
    theirs = b'[fleet]\nname = "b"\n[[class]]\nname = "c"\n'
    theirs += b'[[listener]]\nname = "m"\naddress = "127.0.0.1:2"\nshare = 2.0\n'
    found = tomllib.loads(merge_configuration(theirs, ours).decode())
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
