"""Rollout of a configuration over several processes that switch to it, refuse it, or die."""

from __future__ import annotations

import asyncio
import tomllib
from pathlib import Path
from typing import Any

from scenes import replicated_fleet, run

from loadbalancer.daemon.rollout import merge_configuration
from standins.askers import PollingClients
from standins.member import Fleet as Members
from standins.processes import Fleet, until


def test_merged_file_keeps_the_settings_of_the_instance_itself() -> None:
    ours = b'[fleet]\nname = "a"\n[store]\nfolder = "s"\n[[listener]]\nname = "m"\naddress = "127.0.0.1:1"\n'
    theirs = b'[fleet]\nname = "b"\n[[class]]\nname = "c"\n'
    theirs += b'[[listener]]\nname = "m"\naddress = "127.0.0.1:2"\nshare = 2.0\n'
    merged_file = tomllib.loads(merge_configuration(theirs, ours).decode())
    assert (
        merged_file["fleet"]["name"] == "a"
        and merged_file["store"] == {"folder": "s"}
        and merged_file["class"] == [{"name": "c"}]
    )
    assert merged_file["listener"] == [{"name": "m", "address": "127.0.0.1:1", "share": 2.0}]


async def rollout_status(fleet: Fleet, number: int = 0) -> dict[str, Any]:
    return dict(await fleet.all[number].read("fleet/rollout"))


async def until_stage(fleet: Fleet, number: int, *stages: str) -> dict[str, Any]:
    async def is_reached() -> Any:
        status = await rollout_status(fleet, number)
        return status if status.get("stage") in stages else None

    return dict(await until(is_reached, f"the rollout reaches one of {stages}"))


def write_changed_config(fleet: Fleet, old: str, new: str) -> Path:
    path = fleet.folder / "new.toml"
    path.write_text(fleet.all[0].config.read_text().replace(old, new))
    return path


def config_contains(fleet: Fleet, text: str) -> list[bool]:
    """Return for each instance whether its configuration file contains `text`."""
    return [text in instance.config.read_text() for instance in fleet.all]


def test_valid_file_reaches_all_instances_and_invalid_file_none_under_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3, members=Members(3)) as fleet:
            askers = PollingClients([instance.port for instance in fleet.all])
            askers.start()
            good = write_changed_config(fleet, 'deadline = "3s"', 'deadline = "4s"')
            status, _ = await fleet.all[3].say("fleet/rollout", path=str(good), until="300ms")
            assert status == 200
            status, _ = await fleet.all[0].say("fleet/rollout", path=str(good))
            assert status == 409  # only one rollout at a time
            await until_stage(fleet, 1, "done")
            assert config_contains(fleet, 'deadline = "4s"') == [True] * 4
            names = [tomllib.loads(instance.config.read_text())["fleet"]["name"] for instance in fleet.all]
            assert names == ["i0", "i1", "i2", "i3"]
            bad = write_changed_config(fleet, 'prefix = "/"', 'prefx = "/"')
            assert (await fleet.all[1].say("fleet/rollout", path=str(bad), until="300ms"))[0] == 200
            rollout = await until_stage(fleet, 0, "ended")
            assert "refuses it" in rollout["why"] and config_contains(fleet, "prefx") == [False] * 4
            results = await askers.stop()
            assert set(results) == {"200"}, results

    run(scenario)


def test_rollout_goes_back_if_an_instance_and_the_one_that_received_the_request_die(tmp_path: Path) -> None:
    """The instance that received the request is killed as well; the others end the rollout."""

    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3) as fleet:
            good = write_changed_config(fleet, 'deadline = "3s"', 'deadline = "4s"')
            status, _ = await fleet.all[3].say("fleet/rollout", path=str(good), until="1h")
            assert status == 200
            await until_stage(fleet, 0, "one")

            async def switched_instances() -> list[int]:
                return [number for number, new in enumerate(config_contains(fleet, 'deadline = "4s"')) if new]

            first = (await until(switched_instances, "one instance has switched to the new file"))[0]
            observer = next(number for number in (0, 1, 2) if number != first)
            await asyncio.gather(*(fleet.all[number].kill() for number in {first, 3}))
            rollout = await until_stage(fleet, observer, "ended")
            assert "died on it" in rollout["why"]
            await fleet.start(*sorted({first, 3}))
            await until(
                lambda: all_run_old_file(fleet),
                "all instances run the old file, including the restarted ones",
            )

    run(scenario)


async def all_run_old_file(fleet: Fleet) -> bool:
    return config_contains(fleet, 'deadline = "4s"') == [False] * 4


def test_operator_halts_a_rollout_and_takes_it_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as fleet:
            assert (await fleet.all[0].say("fleet/back"))[0] == 409
            good = write_changed_config(fleet, 'deadline = "3s"', 'deadline = "4s"')
            await fleet.all[0].say("fleet/rollout", path=str(good), until="1h")
            await until_stage(fleet, 0, "one")
            await until(lambda: some_run_new_file(fleet), "one instance has switched to the new file")
            await fleet.all[1].say("fleet/halt")
            await until_stage(fleet, 2, "halted")
            assert sum(config_contains(fleet, 'deadline = "4s"')) == 1
            await fleet.all[2].say("fleet/back")
            await until_stage(fleet, 0, "ended")
            assert sum(config_contains(fleet, 'deadline = "4s"')) == 0

    run(scenario)


async def some_run_new_file(fleet: Fleet) -> bool:
    status = await rollout_status(fleet)
    return any(instance["runs"] == "new" for instance in status["instances"])
