"""Several processes of the program and faults between them: all agree again, and no client request fails."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
from pathlib import Path

import msgspec
from scenes import fleet, row, run, until_recorded

from loadbalancer.fleet import wire
from loadbalancer.fleet.keys import key_number
from loadbalancer.fleet.wire import Packet, Sealer
from standins.askers import PollingClients
from standins.processes import Fleet, until

KEY = b"\x11" * 32


def test_fleet_settles_after_one_half_and_all_but_one_are_killed_and_restarted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 8) as processes:
            clients = PollingClients([processes.all[0].port])
            clients.start()
            await processes.all[3].kill()
            await processes.settled()
            await processes.start(3)
            await processes.settled()
            found = await row(processes.all[0], "i3")
            assert found is not None and found["life"] == 2
            await asyncio.gather(*(processes.all[n].kill() for n in (4, 5, 6, 7)))
            await processes.settled()
            await processes.start(4, 5, 6, 7)
            await processes.settled()
            await asyncio.gather(*(processes.all[n].kill() for n in range(1, 8)))
            await processes.start(*range(1, 8))  # most of them before they were declared dead
            await processes.settled()
            statuses = await clients.stop()
            assert set(statuses) == {"200"}, statuses

    run(scenario)


def test_partitions_of_all_kinds_heal_without_seeds(tmp_path: Path) -> None:
    """The only seed is dead before the first partition, and stays dead."""

    async def scenario() -> None:
        async with fleet(tmp_path, 8, seeds=(0,)) as processes:
            await processes.all[0].kill()
            await processes.settled()
            clients = PollingClients([instance.port for instance in processes.up])
            clients.start()
            for sides in (((1, 2, 3), (4, 5, 6, 7)), ((1,), (2, 3, 4, 5, 6, 7)), ((1, 2), (3, 4), (5, 6, 7))):
                processes.network.part(*sides)
                for side in sides:
                    await processes.settled([processes.all[n] for n in side])
                processes.network.heal()
                await processes.settled()
            # Instance 2 can receive, but not send.
            processes.network.set_cut({(2, other) for other in range(8)})
            await processes.settled([processes.all[n] for n in (1, 3, 4, 5, 6, 7)])
            processes.network.heal()
            await processes.settled()
            for _ in range(3):  # flapping: healed as soon as one side has noticed the partition
                processes.network.part((1, 2, 3, 4), (5, 6, 7))
                await until_recorded(processes.all[1], "i5", "suspect")
                processes.network.heal()
                await until_recorded(processes.all[1], "i5", "alive")
            await processes.settled()
            statuses = await clients.stop()
            assert set(statuses) == {"200"}, statuses

    run(scenario)


async def until_datagrams(processes: Fleet, count: int) -> None:
    """Wait until the network has received this many further datagrams."""
    sent = processes.network.counts["datagrams"]

    async def are_received() -> bool:
        return processes.network.counts["datagrams"] > sent + count

    await until(are_received, f"the network has received {count} further datagrams")


def test_partition_does_not_heal_if_no_hellos_are_sent(tmp_path: Path) -> None:
    """Neither dead members nor seeds are sent hellos; shows that the checks of a healed partition can fail."""
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

    async def scenario() -> None:
        async with fleet(tmp_path, 4, 0) as processes:
            for instance in processes.all[1:]:
                instance.prelude = defect
            await processes.all[0].kill()
            processes.all[0].prelude = defect
            # The seeds start first: an instance without an answer from them joins alone, and then sends them no hellos.
            await processes.start(0)
            await processes.start(1)
            await processes.settled(processes.all[:2])
            await processes.start(2, 3)
            await processes.settled()
            processes.network.part((0, 1), (2, 3))
            await processes.settled(processes.all[:2])
            await processes.settled(processes.all[2:])
            await until_datagrams(processes, 100)  # no probe from before the partition is in flight any more
            processes.network.heal()
            await until_datagrams(processes, 200)
            assert not await processes.agree(processes.all, 4)
            assert [instance["living"] for instance in await processes.statuses()] == [2, 2, 2, 2]

    run(scenario)


def test_stopped_instance_is_declared_dead_and_returns_in_the_same_generation(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 8) as processes:
            instance = processes.all[5]
            boot = (await instance.read("fleet/members"))[0]["boot"]
            others = [other for other in processes.all if other is not instance]
            instance.send(signal.SIGSTOP)
            await processes.settled(others)
            instance.send(signal.SIGCONT)
            await processes.settled()
            own_row = (await instance.read("fleet/members"))[0]
            assert (own_row["boot"], own_row["life"]) == (boot, 1) and own_row["incarnation"] > 0
            assert not (await instance.read("fleet/status"))["counts"].get("died")

    run(scenario)


def test_lost_duplicated_corrupted_and_late_datagrams_cause_no_deaths(tmp_path: Path) -> None:
    """Uses the timers of the `lan` profile; all datagrams of one instance are delayed."""

    async def scenario() -> None:
        async with fleet(tmp_path, 6, profile="lan") as processes:
            net = processes.network
            net.loss, net.doubled, net.flipped, net.jitter, net.late[4] = 0.02, 0.05, 0.02, 0.02, 0.1
            await until_datagrams(processes, 400)
            found = await processes.statuses()
            assert not any(instance["counts"].get("died") for instance in found)
            wire_counts = [instance["wire"] for instance in found]
            assert sum(instance.get("dropped: replayed", 0) for instance in wire_counts) > 0
            assert sum(instance.get("dropped: forged", 0) for instance in wire_counts) > 0
            net.loss = net.doubled = net.flipped = 0.0
            await processes.settled()

    run(scenario)


def test_second_process_of_one_name_joins_only_after_the_first_has_left(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 4, 0, 1, 2) as processes:
            await processes.settled()
            second = processes.all[3]
            processes.write(second, name="i2")
            await second.start()

            async def is_out() -> bool:
                return str((await second.read("fleet/status"))["state"]) == "out"

            await until(is_out, "the second process has the status out")
            await until(
                lambda: has_logged_conflict(processes, 2), "the first process has logged the conflict"
            )
            await processes.settled(processes.all[:3])
            assert "stays out" in second.log
            await processes.all[2].end()
            await processes.settled([processes.all[0], processes.all[1], second])

    run(scenario)


async def has_logged_conflict(processes: Fleet, number: int) -> bool:
    return "two instances under one name" in processes.all[number].log


def test_instance_with_only_a_dead_seed_serves_alone_and_joins_once_the_seed_runs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 4, 1, 2, 3, seeds=(0,)) as processes:
            for number in (1, 2, 3):
                await processes.settled([processes.all[number]])
            clients = PollingClients([instance.port for instance in processes.up])
            clients.start()
            await processes.start(0)
            await processes.settled()
            statuses = await clients.stop()
            assert set(statuses) == {"200"}, statuses

    run(scenario)


def test_forged_replayed_truncated_corrupted_and_oversized_datagrams_change_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3) as processes:
            instance, net = processes.all[0], processes.network
            net.is_capturing = True
            await processes.all[2].kill()
            await processes.settled()
            await processes.start(2)  # packets of its previous process are of an ended generation
            await processes.settled()
            net.is_capturing = False
            caught = [data for _, to, data in net.captured if to == 0]
            before = await instance.read("fleet/status")
            forged = Sealer([b"x" * 32]).seal(Packet("i1", 1, 1, 1, wire.GossipReply()))
            for number in range(1500):
                data = caught[number % len(caught)]
                at = number % len(data)
                for altered in (
                    data,
                    data[:at],
                    data[:at] + bytes((data[at] ^ 4,)) + data[at + 1 :],
                    forged,
                    data + b"\0" * 1400,
                ):
                    net.inject(0, altered)
                if number % 10 == 0:
                    await asyncio.sleep(0)

            async def are_counted() -> bool:
                wire_counts = (await instance.read("fleet/status"))["wire"]
                kinds = ("replayed", "forged", "another key", "too long", "not ours")
                return all(wire_counts.get(f"dropped: {kind}", 0) > 0 for kind in kinds)

            await until(are_counted, "drops of all kinds are counted")
            after = await instance.read("fleet/status")
            assert (after["digest"], after["living"]) == (before["digest"], 3)
            assert not after["counts"].get("died", 0) > before["counts"].get("died", 0)

    run(scenario)


def test_key_rotation_in_service_causes_no_deaths_and_a_malformed_file_is_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 4) as processes:
            old, new = "11" * 32, "22" * 32
            processes.write_keys("zz")

            async def have_rejected_file() -> bool:
                return all("the new key is not taken" in instance.log for instance in processes.all)

            await until(have_rejected_file, "all have rejected the malformed file")
            for keys in ((old, new), (new, old), (new,)):
                processes.write_keys(*keys)
                numbers = [f"{key_number(bytes.fromhex(key)):02x}" for key in keys]

                async def use_keys(expected: list[str] = numbers) -> bool:
                    return all(instance["keys"] == expected for instance in await processes.statuses())

                await until(use_keys, f"all use the keys {numbers}")
                await processes.settled()
            assert not any(instance["counts"].get("died") for instance in await processes.statuses())

    run(scenario)


def test_upgrade_within_a_partition_causes_no_deaths(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 5) as processes:
            processes.network.part((0, 1, 2), (3, 4))
            near = [processes.all[n] for n in (0, 1, 2)]
            await processes.settled(near)
            died = [instance["counts"]["died"] for instance in await processes.statuses(near)]
            upgraded = await asyncio.create_subprocess_exec(
                "./micastand",
                "upgrade",
                "-c",
                str(processes.all[1].config),
                "--timeout",
                "30",
                stdout=asyncio.subprocess.PIPE,
            )
            assert await upgraded.wait() == 0
            await processes.settled(near)
            found = await row(processes.all[0], "i1")
            assert found is not None and (found["life"], found["state"]) == (2, "alive")
            after = await processes.statuses([processes.all[0], processes.all[2]])
            assert [instance["counts"]["died"] for instance in after] == [died[0], died[2]]
            processes.network.heal()
            await processes.settled()
            os.kill((await processes.all[1].read("status"))["pid"], signal.SIGKILL)

    run(scenario)


def test_instance_without_free_descriptors_stays_alive_by_datagrams(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3) as processes:
            instance = processes.all[1]
            assert instance.process is not None
            free = resource.prlimit(instance.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(instance.process.pid, resource.RLIMIT_NOFILE, (8, free[1]))
            await processes.all[2].kill()
            await until_recorded(processes.all[0], "i2", "dead")
            found = await row(processes.all[0], "i1")
            assert found is not None and found["state"] in ("alive", "suspect")
            resource.prlimit(instance.process.pid, resource.RLIMIT_NOFILE, free)
            await processes.start(2)
            await processes.settled()
            assert not (await processes.all[0].read("fleet/status"))["counts"].get("died", 0) > 1

    run(scenario)


def test_fleet_settles_with_clocks_that_are_hours_off_or_step_back(tmp_path: Path) -> None:
    steps = "import time, itertools; _real = time.time; _n = itertools.count()\n"

    async def scenario() -> None:
        async with fleet(tmp_path, 4, 0) as processes:
            for number, code in (
                (1, "_real() + 7200"),
                (2, "_real() - 86400"),
                (3, "_real() - 60 * next(_n)"),
            ):
                processes.all[number].prelude = steps + f"time.time = lambda: {code}"
            await processes.start(1, 2, 3)
            await processes.settled()
            await processes.all[2].kill()
            await processes.settled()
            await processes.start(2)
            await processes.settled()

    run(scenario)


def test_member_state_of_a_later_build_is_skipped_and_counted(tmp_path: Path) -> None:
    """An instance receives a sealed packet with a member state that this build can't decode."""

    async def scenario() -> None:
        async with fleet(tmp_path, 2) as processes:
            instance = processes.all[0]
            boot = int((await instance.read("fleet/members"))[0]["boot"], 16)
            body = msgspec.msgpack.encode(["i1", 77, boot, 5, [6], [["a", "later", "form"]]])
            header = wire.MAGIC + bytes((wire.FORMAT_VERSION, key_number(KEY)))
            processes.network.inject(0, header + wire.compute_mac(KEY, header, body) + body)

            async def is_counted() -> bool:
                return bool((await instance.read("fleet/status"))["wire"].get("facts passed over"))

            await until(is_counted, "the skipped member state is counted")
            await processes.settled()

    run(scenario)
