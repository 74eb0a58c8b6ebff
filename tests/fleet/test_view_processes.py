"""Several processes of the program, and faults between them: all agree again, and no client's request is lost by it."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
from pathlib import Path

import msgspec
from scenes import fleet, held, row, run

from loadbalancer.fleet import wire as form
from loadbalancer.fleet.keys import key_number
from loadbalancer.fleet.wire import Packet, Sealer
from standins.askers import Askers
from standins.processes import Fleet, until

KEY = b"\x11" * 32


def test_one_half_and_all_but_one_are_killed_and_come_back(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 8) as made:
            askers = Askers([made.all[0].port])
            askers.start()
            await made.all[3].kill()
            await made.settled()
            await made.start(3)
            await made.settled()
            found = await row(made.all[0], "i3")
            assert found is not None and found["life"] == 2
            await asyncio.gather(*(made.all[n].kill() for n in (4, 5, 6, 7)))
            await made.settled()
            await made.start(4, 5, 6, 7)
            await made.settled()
            await asyncio.gather(*(made.all[n].kill() for n in range(1, 8)))
            await made.start(*range(1, 8))  # most before their deaths were seen
            await made.settled()
            ends = await askers.stop()
            assert set(ends) == {"200"}, ends

    run(scene)


def test_partitions_of_all_kinds_heal_without_seeds(tmp_path: Path) -> None:
    """The only seed is dead by then, and stays so."""

    async def scene() -> None:
        async with fleet(tmp_path, 8, seeds=(0,)) as made:
            await made.all[0].kill()
            await made.settled()
            askers = Askers([one.port for one in made.up])
            askers.start()
            for sides in (((1, 2, 3), (4, 5, 6, 7)), ((1,), (2, 3, 4, 5, 6, 7)), ((1, 2), (3, 4), (5, 6, 7))):
                made.network.part(*sides)
                for side in sides:
                    await made.settled([made.all[n] for n in side])
                made.network.heal()
                await made.settled()
            made.network.set_cut({(2, other) for other in range(8)})  # is heard by nobody, and hears
            await made.settled([made.all[n] for n in (1, 3, 4, 5, 6, 7)])
            made.network.heal()
            await made.settled()
            for _ in range(3):  # flapping: each time as soon as one has seen it
                made.network.part((1, 2, 3, 4), (5, 6, 7))
                await held(made.all[1], "i5", "suspect")
                made.network.heal()
                await held(made.all[1], "i5", "alive")
            await made.settled()
            ends = await askers.stop()
            assert set(ends) == {"200"}, ends

    run(scene)


async def passed(made: Fleet, count: int) -> None:
    """Wait until so many more datagrams have come to the network."""
    sent = made.network.counts["datagrams"]

    async def enough() -> bool:
        return made.network.counts["datagrams"] > sent + count

    await until(enough, f"{count} datagrams have passed")


def test_with_a_defect_a_partition_does_not_heal(tmp_path: Path) -> None:
    """The dead are not called, and seeds neither: the same scene finds it, so it can fail."""
    defect = (
        "import math\n"
        "from loadbalancer.fleet.membership.joining import Joining as J\n"
        "from loadbalancer.fleet.membership.reconnection import Reconnection as R\n"
        "_send = J._send_hellos_to_seeds\n"
        "R._send_hello = lambda self, now, peer: setattr(peer, 'reconnect_at', math.inf)\n"
        "def _no_seeds(self, now):\n"
        "    if self._context.local.is_member:\n"
        "        self._next_hello_at = math.inf\n"
        "    else:\n"
        "        _send(self, now)\n"
        "J._send_hellos_to_seeds = _no_seeds\n"
    )

    async def scene() -> None:
        async with fleet(tmp_path, 4, 0) as made:
            for one in made.all[1:]:
                one.prelude = defect
            await made.all[0].kill()
            made.all[0].prelude = defect
            # The seeds first: an instance that waits for them in vain joins alone, and calls none after that.
            await made.start(0)
            await made.start(1)
            await made.settled(made.all[:2])
            await made.start(2, 3)
            await made.settled()
            made.network.part((0, 1), (2, 3))
            await made.settled(made.all[:2])
            await made.settled(made.all[2:])
            await passed(made, 100)  # no probe of before is under way any more
            made.network.heal()
            await passed(made, 200)
            assert not await made.agree(made.all, 4)
            assert [one["living"] for one in await made.statuses()] == [2, 2, 2, 2]

    run(scene)


def test_one_that_was_stopped_is_dead_to_others_and_back_in_the_same_life(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 8) as made:
            one = made.all[5]
            boot = (await one.read("fleet/members"))[0]["boot"]
            others = [other for other in made.all if other is not one]
            one.send(signal.SIGSTOP)
            await made.settled(others)
            one.send(signal.SIGCONT)
            await made.settled()
            mine = (await one.read("fleet/members"))[0]
            assert (mine["boot"], mine["life"]) == (boot, 1) and mine["incarnation"] > 0
            assert not (await one.read("fleet/status"))["counts"].get("died")

    run(scene)


def test_lost_doubled_flipped_and_late_datagrams_kill_nobody(tmp_path: Path) -> None:
    """Timers of service, and one instance that answers late in all that it does."""

    async def scene() -> None:
        async with fleet(tmp_path, 6, profile="lan") as made:
            net = made.network
            net.loss, net.doubled, net.flipped, net.jitter, net.late[4] = 0.02, 0.05, 0.02, 0.02, 0.1
            await passed(made, 400)
            found = await made.statuses()
            assert not any(one["counts"].get("died") for one in found)
            wire = [one["wire"] for one in found]
            assert sum(one.get("dropped: replayed", 0) for one in wire) > 0
            assert sum(one.get("dropped: forged", 0) for one in wire) > 0
            net.loss = net.doubled = net.flipped = 0.0
            await made.settled()

    run(scene)


def test_of_two_under_one_name_the_later_stays_out_and_comes_in_when_the_first_has_gone(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 4, 0, 1, 2) as made:
            await made.settled()
            later = made.all[3]
            made.write(later, name="i2")
            await later.start()

            async def out() -> bool:
                return str((await later.read("fleet/status"))["state"]) == "out"

            await until(out, "the later one stays out")
            await until(lambda: told(made, 2), "the first is told")
            await made.settled(made.all[:3])
            assert "stays out" in later.log
            await made.all[2].end()
            await made.settled([made.all[0], made.all[1], later])

    run(scene)


async def told(made: Fleet, number: int) -> bool:
    return "two instances under one name" in made.all[number].log


def test_a_joiner_that_knows_only_a_dead_seed_serves_alone_and_joins_once_that_lives(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 4, 1, 2, 3, seeds=(0,)) as made:
            for number in (1, 2, 3):
                await made.settled([made.all[number]])
            askers = Askers([one.port for one in made.up])
            askers.start()
            await made.start(0)
            await made.settled()
            ends = await askers.stop()
            assert set(ends) == {"200"}, ends

    run(scene)


def test_forged_replayed_cut_flipped_and_oversized_datagrams_change_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 3) as made:
            one, net = made.all[0], made.network
            net.catches = True
            await made.all[2].kill()
            await made.settled()
            await made.start(2)  # what it said before is of a life that is over
            await made.settled()
            net.catches = False
            caught = [data for _, to, data in net.caught if to == 0]
            before = await one.read("fleet/status")
            forged = Sealer([b"x" * 32]).seal(Packet("i1", 1, 1, 1, form.GossipReply()))
            for number in range(1500):
                data = caught[number % len(caught)]
                at = number % len(data)
                for bad in (
                    data,
                    data[:at],
                    data[:at] + bytes((data[at] ^ 4,)) + data[at + 1 :],
                    forged,
                    data + b"\0" * 1400,
                ):
                    net.inject(0, bad)
                if number % 10 == 0:
                    await asyncio.sleep(0)

            async def heard() -> bool:
                wire = (await one.read("fleet/status"))["wire"]
                kinds = ("replayed", "forged", "another key", "too long", "not ours")
                return all(wire.get(f"dropped: {kind}", 0) > 0 for kind in kinds)

            await until(heard, "all kinds are counted")
            after = await one.read("fleet/status")
            assert (after["digest"], after["living"]) == (before["digest"], 3)
            assert not after["counts"].get("died", 0) > before["counts"].get("died", 0)

    run(scene)


def test_keys_change_in_service_and_a_broken_file_changes_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 4) as made:
            old, new = "11" * 32, "22" * 32
            made.write_keys("zz")

            async def told() -> bool:
                return all("the new key is not taken" in one.log for one in made.all)

            await until(told, "all have seen the broken file")
            for keys in ((old, new), (new, old), (new,)):
                made.write_keys(*keys)
                numbers = [f"{key_number(bytes.fromhex(key)):02x}" for key in keys]

                async def taken(wanted: list[str] = numbers) -> bool:
                    return all(one["keys"] == wanted for one in await made.statuses())

                await until(taken, f"all have taken {numbers}")
                await made.settled()
            assert not any(one["counts"].get("died") for one in await made.statuses())

    run(scene)


def test_an_upgrade_within_a_partition_passes_the_place_and_nobody_sees_a_death(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 5) as made:
            made.network.part((0, 1, 2), (3, 4))
            near = [made.all[n] for n in (0, 1, 2)]
            await made.settled(near)
            died = [one["counts"]["died"] for one in await made.statuses(near)]
            upgraded = await asyncio.create_subprocess_exec(
                "./micastand",
                "upgrade",
                "-c",
                str(made.all[1].config),
                "--timeout",
                "30",
                stdout=asyncio.subprocess.PIPE,
            )
            assert await upgraded.wait() == 0
            await made.settled(near)
            found = await row(made.all[0], "i1")
            assert found is not None and (found["life"], found["state"]) == (2, "alive")
            after = await made.statuses([made.all[0], made.all[2]])
            assert [one["counts"]["died"] for one in after] == [died[0], died[2]]
            made.network.heal()
            await made.settled()
            os.kill((await made.all[1].read("status"))["pid"], signal.SIGKILL)

    run(scene)


def test_without_descriptors_the_view_goes_on_by_datagrams(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet(tmp_path, 3) as made:
            one = made.all[1]
            assert one.process is not None
            free = resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE, (8, free[1]))
            await made.all[2].kill()
            await held(made.all[0], "i2", "dead")
            found = await row(made.all[0], "i1")
            assert found is not None and found["state"] in ("alive", "suspect")
            resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE, free)
            await made.start(2)
            await made.settled()
            assert not (await made.all[0].read("fleet/status"))["counts"].get("died", 0) > 1

    run(scene)


def test_clocks_that_are_hours_off_and_step_back_change_nothing(tmp_path: Path) -> None:
    steps = "import time, itertools; _real = time.time; _n = itertools.count()\n"

    async def scene() -> None:
        async with fleet(tmp_path, 4, 0) as made:
            for number, code in (
                (1, "_real() + 7200"),
                (2, "_real() - 86400"),
                (3, "_real() - 60 * next(_n)"),
            ):
                made.all[number].prelude = steps + f"time.time = lambda: {code}"
            await made.start(1, 2, 3)
            await made.settled()
            await made.all[2].kill()
            await made.settled()
            await made.start(2)
            await made.settled()

    run(scene)


def test_a_fact_of_a_later_build_goes_by(tmp_path: Path) -> None:
    """An instance hears a sealed message with a fact that no build of today can read."""

    async def scene() -> None:
        async with fleet(tmp_path, 2) as made:
            one = made.all[0]
            boot = int((await one.read("fleet/members"))[0]["boot"], 16)
            body = msgspec.msgpack.encode(["i1", 77, boot, 5, [6], [["a", "later", "form"]]])
            head = form.MAGIC + bytes((form.FORMAT_VERSION, key_number(KEY)))
            made.network.inject(0, head + form.compute_mac(KEY, head, body) + body)

            async def passed() -> bool:
                return bool((await one.read("fleet/status"))["wire"].get("facts passed over"))

            await until(passed, "the fact is counted")
            await made.settled()

    run(scene)
