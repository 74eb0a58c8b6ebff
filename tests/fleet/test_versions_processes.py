"""One state at several processes, with faults between them; what reaches members is counted by the members."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from scenes import replicated_fleet, replication_status, run, until_acting, until_version

from standins.askers import Askers, ask
from standins.member import Fleet as Members
from standins.member import Member
from standins.processes import Fleet, One, until


async def marker(member: Member) -> int:
    """Requests that a member has had by now, all that were sent before among them: it answers one of ours."""
    host, _, port = member.address.rpartition(":")
    assert host == "127.0.0.1"
    assert await ask(int(port)) == "200"
    return member.counts.requests


async def drained(one: One, wait: str = "20s", **more: Any) -> dict[str, Any]:
    status, found = await one.say("drain", pool="p", member="m1", wait=wait, **more)
    assert status == 200 and "error" not in found, found
    return dict(found)


def test_a_drain_holds_at_all_once_it_is_said_and_none_of_many_faults_undoes_it(tmp_path: Path) -> None:
    """Stopped ones among them: each wakes with requests in its queues, and asks the fence first."""

    async def scene() -> None:
        members = Members(3)
        async with replicated_fleet(tmp_path, 8, members=members) as made:
            askers = Askers([one.port for one in made.all for _ in range(2)])
            askers.start()
            source = random.Random(1)
            for turn in range(3):
                stopped, cut = made.all[5 + turn % 3], made.all[3]
                stopped.send(signal.SIGSTOP)
                made.network.set_cut({(3, other) for other in range(8)})  # is not heard, and hears
                said = await drained(made.all[source.choice((0, 1, 2, 4))])
                assert said["holds"] is True
                before = await marker(members.members[0])
                stopped.send(signal.SIGCONT)
                made.network.heal()
                await until_version(stopped, said["version"])
                await until_version(cut, said["version"])
                await until_acting(made.all, said["version"])
                for one in made.all:
                    assert await ask(one.port) == "200"
                assert await marker(members.members[0]) == before + 1
                status, back = await made.all[6].say("uncordon", pool="p", member="m1")
                assert status == 200 and back["version"] > said["version"]
            ends = await askers.stop()
            assert set(ends) <= {"200", "503"}, ends

    run(scene)


def test_without_the_fence_a_stopped_one_sends_to_a_drained_member(tmp_path: Path) -> None:
    """The same count, with a defect: so it can fail."""
    defect = "from loadbalancer.fleet.replication.lease import Lease; Lease.may_act = lambda self, now: True"

    async def scene() -> None:
        members = Members(2)
        async with replicated_fleet(tmp_path, 4, 0, 1, 2, members=members, voters=3) as made:
            made.all[3].prelude = defect
            await made.start(3)
            await made.settled()
            await until_acting(made.all)
            made.network.part((0, 1, 2), (3,))
            said = await drained(made.all[0])
            assert said["holds"] is True
            before = await marker(members.members[0])
            for _ in range(20):
                assert await ask(made.all[3].port) == "200"
            assert await marker(members.members[0]) > before + 1

    run(scene)


def test_changes_on_both_sides_of_a_partition_the_minority_takes_none(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 5) as made:
            made.network.part((0, 1, 2), (3, 4))
            near = asyncio.ensure_future(made.all[0].say("cordon", pool="p", member="m1", wait="1s"))
            far = asyncio.ensure_future(made.all[3].say("cordon", pool="p", member="m2", wait="1s"))
            (_, stands), (_, refused) = await asyncio.gather(near, far)
            assert stands["version"] == 1 and "no majority" in refused["error"]

            async def shut() -> bool:
                return bool((await replication_status(made.all[3]))["shut_out"])

            await until(shut, "the minority is shut out")
            assert await ask(made.all[3].port) == "503"
            made.network.heal()
            await until_acting(made.all, 1)
            marks = [await one.read("marks") for one in made.all]
            assert all([(m["member"], m["word"]) for m in found] == [("m1", "cordon")] for found in marks)
            _, late = await made.all[2].say("cordon", pool="p", member="m2", if_version=0)
            assert "not 0" in late["error"]
            _, good = await made.all[2].say("cordon", pool="p", member="m2", if_version=1)
            assert good["version"] == 2 and good["holds"]

    run(scene)


def test_three_hundred_changes_while_others_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    """One order everywhere, nothing lost that was said to stand, and nothing twice."""

    async def scene() -> None:
        async with replicated_fleet(tmp_path, 5, members=Members(6)) as made:
            source, stands, refused = random.Random(7), dict[int, str](), 0
            over = asyncio.Event()
            faulty = asyncio.ensure_future(trouble(made, source, over))
            for number in range(300):
                one = source.choice([made.all[0], made.all[1], made.all[2]])
                member = f"m{1 + number % 5}"
                verb = source.choice(("cordon", "uncordon", "weight"))
                more = {"weight": 0.5} if verb == "weight" else {}
                try:
                    _, found = await one.say(
                        verb, pool="p", member=member, wait="50ms", reason=f"n{number}", **more
                    )
                except (OSError, ValueError):
                    continue
                if found.get("version"):
                    assert found["version"] not in stands
                    stands[found["version"]] = f"n{number}"
                else:
                    refused += 1
            over.set()
            await faulty
            made.network.heal()
            for one in made.all:
                if one.process is None:
                    await one.start()
                one.send(signal.SIGCONT)
            await until_acting(made.all, max(stands))
            found = [await one.read("marks") for one in made.all]
            assert all(one == found[0] for one in found[1:])
            assert len(stands) > 150
            _, merged = 0, await made.all[0].read("fleet/versions")
            orders = {row["version"]: row["what"] for row in merged["versions"]}
            assert orders and not merged["not_known"]

    run(scene)


async def trouble(made: Fleet, source: random.Random, over: asyncio.Event) -> None:
    """At two of five, so that a majority goes on."""
    while not over.is_set():
        one = made.all[source.choice((3, 4))]
        what = source.choice(("kill", "stop", "cut"))
        if what == "kill":
            await one.kill()
            await one.start()
        elif what == "stop":
            one.send(signal.SIGSTOP)
            await asyncio.sleep(source.random())
            one.send(signal.SIGCONT)
        else:
            made.network.part((one.number,), set(range(5)) - {one.number})
            await asyncio.sleep(source.random())
            made.network.heal()


def test_the_state_outlasts_a_restart_of_all_and_a_lost_store_is_told(tmp_path: Path) -> None:
    async def scene() -> None:
        members = Members(3)
        async with replicated_fleet(tmp_path, 4, members=members, voters=3) as made:
            assert (await drained(made.all[1]))["holds"]
            await asyncio.gather(*(one.kill() for one in made.all))
            for file in sorted((made.all[2].folder / "state").iterdir()):
                file.unlink()
            before = await marker(members.members[0])
            await made.start(0, 1, 2, 3)
            await until_acting(made.all, 1)
            for one in made.all:
                for _ in range(5):
                    assert await ask(one.port) == "200"
            assert await marker(members.members[0]) == before + 1

            async def whole() -> bool:
                found = await replication_status(made.all[2])
                return bool(found["votes"]) and not found["lost_state"]

            await until(whole, "the new store of i2 votes")
            merged = await made.all[3].read("fleet/versions")
            assert any("roster: i2 votes" in row["what"] for row in merged["versions"])

    run(scene)


def test_a_mark_ends_by_its_time_whatever_the_clocks_say(tmp_path: Path) -> None:
    steps = "import time; _real = time.time\n"

    async def scene() -> None:
        async with replicated_fleet(tmp_path, 3, 0) as made:
            made.all[1].prelude = steps + "time.time = lambda: _real() + 7200"
            made.all[2].prelude = steps + "time.time = lambda: _real() - 86400"
            await made.start(1, 2)
            await made.settled()
            await until_acting(made.all)
            _, long = await made.all[0].say("cordon", pool="p", member="m1", until="1h")
            _, short = await made.all[1].say("cordon", pool="p", member="m2", until="500ms")
            assert long["holds"] and short["holds"]

            async def ended() -> bool:
                found = [await one.read("marks") for one in made.all]
                return all([m["member"] for m in marks] == ["m1"] for marks in found)

            await until(ended, "the short mark has ended everywhere, and the long one nowhere")

    run(scene)


def test_a_majority_that_is_lost_for_good_is_replaced_by_an_operators_word(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3) as made:
            _, said = await made.all[0].say("cordon", pool="p", member="m1")
            assert said["holds"]
            status, _ = await made.all[0].say("fleet/recover", roster=["i0"], last=True)
            assert status == 409  # a majority answers
            await asyncio.gather(made.all[1].kill(), made.all[2].kill())

            async def shut() -> bool:
                return bool((await replication_status(made.all[0]))["shut_out"])

            await until(shut, "i0 is shut out")
            assert (await made.all[0].say("fleet/recover", roster=["i0"]))[0] == 409  # it has to be meant
            status, found = await made.all[0].say("fleet/recover", roster=["i0"], last=True)
            assert status == 200 and found["version"] == 2
            await until_acting([made.all[0], made.all[3]], 2)
            _, said = await made.all[3].say("fleet/enrol", name="i3")
            assert said["holds"] and sorted((await replication_status(made.all[0]))["roster"]) == ["i0", "i3"]
            assert [m["member"] for m in await made.all[3].read("marks")] == ["m1"]

    run(scene)


def test_one_that_serves_on_when_it_is_cut_off_says_so_and_is_waited_for(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 4, voters=3, cut_off="serve") as made:
            made.network.part((0, 1, 2), (3,))
            found = await drained(made.all[0], wait="3s")
            assert found["holds"] is False and found["missing"] == ["i3"] and found["until_s"] is None
            assert await ask(made.all[3].port) == "200"
            made.network.heal()
            await until_version(made.all[3], found["version"])

    run(scene)


def test_a_configuration_file_that_is_gone_is_no_matter_of_what_runs(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as made:
            made.all[1].config.unlink()
            sent = made.network.counts["datagrams"]

            async def longer_than_a_lease() -> bool:
                return made.network.counts["datagrams"] > sent + 400

            await until(longer_than_a_lease, "400 datagrams have passed")
            await until_acting(made.all)
            assert await ask(made.all[1].port) == "200" and "defect" not in made.all[1].log

    run(scene)


def test_why_names_the_version_and_versions_tell_who_acted_on_which(tmp_path: Path) -> None:
    async def scene() -> None:
        async with replicated_fleet(tmp_path, 3, voters=3) as made:
            assert await ask(made.all[1].port, "GET", "/", "X-Request-Id: early") == "200"
            said = await drained(made.all[0])
            assert await ask(made.all[1].port, "GET", "/", "X-Request-Id: late") == "200"
            steps = [await made.all[1].read(f"why/{name}") for name in ("early", "late")]
            versions = [next(step["version"] for step in found if step["what"] == "sent") for found in steps]
            assert versions == [0, said["version"]]
            await made.all[2].kill()
            merged = await made.all[0].read("fleet/versions")
            row = next(row for row in merged["versions"] if row["version"] == said["version"])
            assert set(row["taken_up"]) == {"i0", "i1"} and row["what"] == "p: m1 drain"
            assert row["last_before"]["i1"] <= row["taken_up"]["i1"]
            assert merged["not_known"] == ["i2"]
            assert {one["instance"]: one["behind"] for one in merged["instances"]} == {
                "i0": False,
                "i1": False,
            }

    run(scene)
