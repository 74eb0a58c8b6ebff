"""Replicated state over several processes under faults; the stand-in members count the requests that reach them."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from scenes import replicated_fleet, replication_status, run, until_acting, until_version

from standins.askers import PollingClients, ask
from standins.member import Fleet as Members
from standins.member import Member
from standins.processes import Fleet, Instance, until


async def request_count(member: Member) -> int:
    """Send a request to a member, and return how many it has received up to and including this one."""
    host, _, port = member.address.rpartition(":")
    assert host == "127.0.0.1"
    assert await ask(int(port)) == "200"
    return member.counts.requests


async def drain_m1(instance: Instance, wait: str = "20s", **arguments: Any) -> dict[str, Any]:
    status, result = await instance.say("drain", pool="p", member="m1", wait=wait, **arguments)
    assert status == 200 and "error" not in result, result
    return dict(result)


def test_drain_is_committed_on_all_instances_despite_stopped_and_cut_off_ones(tmp_path: Path) -> None:
    """An instance that was stopped continues with requests in its queues, and checks its lease before it sends them."""

    async def scenario() -> None:
        members = Members(3)
        async with replicated_fleet(tmp_path, 8, members=members) as fleet:
            askers = PollingClients([instance.port for instance in fleet.all for _ in range(2)])
            askers.start()
            source = random.Random(1)
            for turn in range(3):
                stopped, cut_off = fleet.all[5 + turn % 3], fleet.all[3]
                stopped.send(signal.SIGSTOP)
                fleet.network.set_cut(
                    {(3, other) for other in range(8)}
                )  # it receives messages, and its own are lost
                drain = await drain_m1(fleet.all[source.choice((0, 1, 2, 4))])
                assert drain["holds"] is True
                before = await request_count(members.members[0])
                stopped.send(signal.SIGCONT)
                fleet.network.heal()
                await until_version(stopped, drain["version"])
                await until_version(cut_off, drain["version"])
                await until_acting(fleet.all, drain["version"])
                for instance in fleet.all:
                    assert await ask(instance.port) == "200"
                assert await request_count(members.members[0]) == before + 1
                status, uncordon = await fleet.all[6].say("uncordon", pool="p", member="m1")
                assert status == 200 and uncordon["version"] > drain["version"]
            results = await askers.stop()
            assert set(results) <= {"200", "503"}, results

    run(scenario)


def test_without_the_lease_check_a_cut_off_instance_sends_to_a_drained_member(tmp_path: Path) -> None:
    """The count of the previous test detects a defect: here the lease is not checked."""
    defect = "from loadbalancer.fleet.replication.lease import Lease; Lease.may_act = lambda self, now: True"

    async def scenario() -> None:
        members = Members(2)
        async with replicated_fleet(tmp_path, 4, 0, 1, 2, members=members, voters=3) as fleet:
            fleet.all[3].prelude = defect
            await fleet.start(3)
            await fleet.settled()
            await until_acting(fleet.all)
            fleet.network.part((0, 1, 2), (3,))
            drain = await drain_m1(fleet.all[0])
            assert drain["holds"] is True
            before = await request_count(members.members[0])
            for _ in range(20):
                assert await ask(fleet.all[3].port) == "200"
            assert await request_count(members.members[0]) > before + 1

    run(scenario)


def test_minority_side_of_a_partition_rejects_changes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 5) as fleet:
            fleet.network.part((0, 1, 2), (3, 4))
            majority_change = asyncio.ensure_future(
                fleet.all[0].say("cordon", pool="p", member="m1", wait="1s")
            )
            minority_change = asyncio.ensure_future(
                fleet.all[3].say("cordon", pool="p", member="m2", wait="1s")
            )
            (_, decided), (_, rejected) = await asyncio.gather(majority_change, minority_change)
            assert decided["version"] == 1 and "no majority" in rejected["error"]

            async def is_shut_out() -> bool:
                return bool((await replication_status(fleet.all[3]))["shut_out"])

            await until(is_shut_out, "the minority is shut out")
            assert await ask(fleet.all[3].port) == "503"
            fleet.network.heal()
            await until_acting(fleet.all, 1)
            overrides = [await instance.read("marks") for instance in fleet.all]
            assert all(
                [(row["member"], row["word"]) for row in rows] == [("m1", "cordon")] for rows in overrides
            )
            _, outdated = await fleet.all[2].say("cordon", pool="p", member="m2", if_version=0)
            assert "not 0" in outdated["error"]
            _, current = await fleet.all[2].say("cordon", pool="p", member="m2", if_version=1)
            assert current["version"] == 2 and current["holds"]

    run(scenario)


def test_300_changes_keep_one_order_while_instances_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    """All instances have the same order, no change that was reported as decided is lost, and none is applied twice."""

    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 5, members=Members(6)) as fleet:
            source, decided, rejected = random.Random(7), dict[int, str](), 0
            is_over = asyncio.Event()
            faults = asyncio.ensure_future(inject_faults(fleet, source, is_over))
            for number in range(300):
                instance = source.choice([fleet.all[0], fleet.all[1], fleet.all[2]])
                member = f"m{1 + number % 5}"
                verb = source.choice(("cordon", "uncordon", "weight"))
                arguments = {"weight": 0.5} if verb == "weight" else {}
                try:
                    _, result = await instance.say(
                        verb, pool="p", member=member, wait="50ms", reason=f"n{number}", **arguments
                    )
                except (OSError, ValueError):
                    continue
                if result.get("version"):
                    assert result["version"] not in decided
                    decided[result["version"]] = f"n{number}"
                else:
                    rejected += 1
            is_over.set()
            await faults
            fleet.network.heal()
            for instance in fleet.all:
                if instance.process is None:
                    await instance.start()
                instance.send(signal.SIGCONT)
            await until_acting(fleet.all, max(decided))
            overrides = [await instance.read("marks") for instance in fleet.all]
            assert all(rows == overrides[0] for rows in overrides[1:])
            assert len(decided) > 150
            _, merged = 0, await fleet.all[0].read("fleet/versions")
            orders = {row["version"]: row["what"] for row in merged["versions"]}
            assert orders and not merged["not_known"]

    run(scenario)


async def inject_faults(fleet: Fleet, source: random.Random, is_over: asyncio.Event) -> None:
    """Inject faults into two of five instances, so that a majority continues to work."""
    while not is_over.is_set():
        instance = fleet.all[source.choice((3, 4))]
        fault = source.choice(("kill", "stop", "cut"))
        if fault == "kill":
            await instance.kill()
            await instance.start()
        elif fault == "stop":
            instance.send(signal.SIGSTOP)
            await asyncio.sleep(source.random())
            instance.send(signal.SIGCONT)
        else:
            fleet.network.part((instance.number,), set(range(5)) - {instance.number})
            await asyncio.sleep(source.random())
            fleet.network.heal()


def test_state_survives_a_restart_of_all_and_a_lost_store_is_registered_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = Members(3)
        async with replicated_fleet(tmp_path, 4, members=members, voters=3) as fleet:
            assert (await drain_m1(fleet.all[1]))["holds"]
            await asyncio.gather(*(instance.kill() for instance in fleet.all))
            for file in sorted((fleet.all[2].folder / "state").iterdir()):
                file.unlink()
            before = await request_count(members.members[0])
            await fleet.start(0, 1, 2, 3)
            await until_acting(fleet.all, 1)
            for instance in fleet.all:
                for _ in range(5):
                    assert await ask(instance.port) == "200"
            assert await request_count(members.members[0]) == before + 1

            async def votes_again() -> bool:
                status = await replication_status(fleet.all[2])
                return bool(status["votes"]) and not status["lost_state"]

            await until(votes_again, "the new store of i2 votes")
            merged = await fleet.all[3].read("fleet/versions")
            assert any("roster: i2 votes" in row["what"] for row in merged["versions"])

    run(scenario)


def test_override_expires_after_its_duration_whatever_the_wall_clocks_are(tmp_path: Path) -> None:
    prelude = "import time; _real = time.time\n"

    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 3, 0) as fleet:
            fleet.all[1].prelude = prelude + "time.time = lambda: _real() + 7200"
            fleet.all[2].prelude = prelude + "time.time = lambda: _real() - 86400"
            await fleet.start(1, 2)
            await fleet.settled()
            await until_acting(fleet.all)
            _, long = await fleet.all[0].say("cordon", pool="p", member="m1", until="1h")
            _, short = await fleet.all[1].say("cordon", pool="p", member="m2", until="500ms")
            assert long["holds"] and short["holds"]

            async def short_has_expired() -> bool:
                overrides = [await instance.read("marks") for instance in fleet.all]
                return all([row["member"] for row in rows] == ["m1"] for rows in overrides)

            await until(
                short_has_expired, "the short override has expired everywhere, and the long one nowhere"
            )

    run(scenario)


def test_operator_recovers_the_fleet_after_a_majority_is_lost_permanently(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3) as fleet:
            _, cordon = await fleet.all[0].say("cordon", pool="p", member="m1")
            assert cordon["holds"]
            status, _ = await fleet.all[0].say("fleet/recover", roster=["i0"], last=True)
            assert status == 409  # a majority still replies
            await asyncio.gather(fleet.all[1].kill(), fleet.all[2].kill())

            async def is_shut_out() -> bool:
                return bool((await replication_status(fleet.all[0]))["shut_out"])

            await until(is_shut_out, "i0 is shut out")
            assert (await fleet.all[0].say("fleet/recover", roster=["i0"]))[
                0
            ] == 409  # the operator has to confirm it
            status, recovery = await fleet.all[0].say("fleet/recover", roster=["i0"], last=True)
            assert status == 200 and recovery["version"] == 2
            await until_acting([fleet.all[0], fleet.all[3]], 2)
            _, enrolment = await fleet.all[3].say("fleet/enrol", name="i3")
            assert enrolment["holds"] and sorted((await replication_status(fleet.all[0]))["roster"]) == [
                "i0",
                "i3",
            ]
            assert [row["member"] for row in await fleet.all[3].read("marks")] == ["m1"]

    run(scenario)


def test_instance_that_serves_while_cut_off_is_reported_as_unconfirmed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3, cut_off="serve") as fleet:
            fleet.network.part((0, 1, 2), (3,))
            drain = await drain_m1(fleet.all[0], wait="3s")
            assert drain["holds"] is False and drain["missing"] == ["i3"] and drain["until_s"] is None
            assert await ask(fleet.all[3].port) == "200"
            fleet.network.heal()
            await until_version(fleet.all[3], drain["version"])

    run(scenario)


def test_deleted_configuration_file_does_not_affect_a_running_instance(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as fleet:
            fleet.all[1].config.unlink()
            sent = fleet.network.counts["datagrams"]

            async def lease_duration_has_passed() -> bool:
                return fleet.network.counts["datagrams"] > sent + 400

            await until(lease_duration_has_passed, "400 datagrams have been sent")
            await until_acting(fleet.all)
            assert await ask(fleet.all[1].port) == "200" and "defect" not in fleet.all[1].log

    run(scenario)


def test_why_reports_the_version_and_fleet_versions_reports_who_acted_on_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as fleet:
            assert await ask(fleet.all[1].port, "GET", "/", "X-Request-Id: early") == "200"
            drain = await drain_m1(fleet.all[0])
            assert await ask(fleet.all[1].port, "GET", "/", "X-Request-Id: late") == "200"
            explanations = [await fleet.all[1].read(f"why/{name}") for name in ("early", "late")]
            versions = [
                next(step["version"] for step in steps if step["what"] == "sent") for steps in explanations
            ]
            assert versions == [0, drain["version"]]
            await fleet.all[2].kill()
            merged = await fleet.all[0].read("fleet/versions")
            row = next(row for row in merged["versions"] if row["version"] == drain["version"])
            assert set(row["taken_up"]) == {"i0", "i1"} and row["what"] == "p: m1 drain"
            assert row["last_before"]["i1"] <= row["taken_up"]["i1"]
            assert merged["not_known"] == ["i2"]
            assert {instance["instance"]: instance["behind"] for instance in merged["instances"]} == {
                "i0": False,
                "i1": False,
            }

    run(scenario)
