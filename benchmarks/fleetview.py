"""Benchmarks of the fleet's membership view.

python -m benchmarks.fleetview [model | processes | deaths | cost | half ...] [--seeds 1000] [--minutes 10]

model: the state machine in virtual time (emulator/fleetview.py), eight instances with many seeds, then 40, 200 and
    1,000: seconds until all agree after a start, a join, a crash, partitions and a pause; detection time and false
    suspicions at 0, 1 and 5 % loss; bytes per instance and second.
processes: the same with eight real processes behind a relay; bytes and processor time per instance with 8, 16
    and 40 idle ones.
deaths: eight processes under full load and 1 % loss for --minutes: how many were falsely declared dead or suspected.
cost: requests per second of one process with the fleet enabled and disabled, alternating in one run.
half: three and four of eight are killed: connections opened at members, with the instance count taken from the view
    and with a constant one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, AsyncIterator, Sequence

from emulator.fleetview import FleetModel
from standins.askers import PollingClients
from standins.member import Fleet as Members
from standins.processes import Fleet, Instance, start

NEVER = 99.0
#: Duration, in seconds, of each of the two measurements of a pair.
TURN_S = 1.0
ROOT = Path(__file__).parent.parent
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def quantile(values: Sequence[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def print_quantiles(name: str, values: Sequence[float]) -> None:
    late = sum(value >= NEVER for value in values)
    print(
        f"  {name:28} p50 {quantile(values, 0.5):6.2f}  p99 {quantile(values, 0.99):6.2f}  most {max(values):6.2f} s"
        f"  of {len(values)}" + (f"  NEVER {late}" if late else ""),
        flush=True,
    )


# The model.

EIGHT = tuple(range(8))


def run_seed(seed: int) -> dict[str, float]:
    """Return, for each fault, the seconds until all instances agree after it."""
    model = FleetModel(8, seed)
    model.net.loss = 0.01
    found: dict[str, float] = {"all at once": model.start_all() or NEVER}

    def record_settling(name: str) -> None:
        found[name] = model.until(model.settled, 60.0) or NEVER
        model.run(5)

    model.run(5)
    model.instances[3].kill()
    record_settling("a crash")
    model.instances[3].start()
    record_settling("a join")
    partitions: tuple[tuple[str, float, list[tuple[int, ...]]], ...] = (
        ("halves, 60 s", 60, [EIGHT[:4], EIGHT[4:]]),
        ("1 against 7, 60 s", 60, [(2,), (0, 1, *EIGHT[3:])]),
        ("in three, 20 s", 20, [(0, 1, 2), (3, 4, 5), (6, 7)]),
        ("halves, 20 min", 1200, [EIGHT[:4], EIGHT[4:]]),
    )
    for name, seconds, sides in partitions:
        model.partition(*sides)
        model.run(seconds)
        model.heal()
        record_settling(name)
    model.net.cut = {(2, other) for other in EIGHT}
    model.run(20)
    model.heal()
    record_settling("one way, 20 s")
    model.instances[5].stop()
    model.run(5)
    model.instances[5].resume()
    record_settling("stopped for 5 s")
    for number in EIGHT[1:]:
        model.instances[number].kill()
    model.run(0.3)
    for number in EIGHT[1:]:
        model.instances[number].start()
    record_settling("all but one started again")
    return found


def run_size(work: tuple[int, int, float, float]) -> dict[str, float]:
    """Measure a fleet under loss: bytes, false suspicions and deaths, and how soon a crash is detected."""
    size, seed, loss, seconds = work
    model = FleetModel(size, seed, weighs=True)
    began = model.start_all(240.0) or NEVER
    model.net.loss = loss
    before = sum(one.counts["bytes"] for one in model.instances)
    model.run(seconds)
    count = sum(one.counts["bytes"] for one in model.instances) - before
    suspected = sum(one.view.counters["suspected"] for one in model.instances)
    died = sum(one.view.counters["died"] for one in model.instances)
    killed_instance = model.instances[size // 2]
    killed_instance.kill()
    name = killed_instance.view.identity.name
    seen = (
        model.until(lambda: any(not one.view.table.peers[name].is_live for one in model.up), 60.0, 0.01)
        or NEVER
    )
    rest = model.until(model.settled, 120.0) or NEVER
    return {
        "began": began,
        "bytes": count / seconds / size,
        "suspected": suspected / size / seconds * 3600,
        "died": died,
        "seen": seen,
        "all": seen + rest,
    }


def model_part(seeds: int) -> None:
    with ProcessPoolExecutor() as pool:
        print(f"model, 8 instances, 1 % loss, {seeds} seeds; seconds until all that live hold one digest:")
        found = list(pool.map(run_seed, range(seeds), chunksize=10))
        for name in found[0]:
            print_quantiles(name, [one[name] for one in found])
        sizes = ((8, 200, 60.0), (40, 40, 30.0), (200, 4, 10.0), (1000, 1, 5.0))
        work = [
            (size, seed, loss, seconds)
            for size, runs, seconds in sizes
            for loss in (0.0, 0.01, 0.05)
            for seed in range(runs)
        ]
        rows = list(pool.map(run_size, reversed(work)))[::-1]
    print(
        "model, by size and loss: a crash is first seen, and known to all, in seconds (p50, p99); bytes an instance\n"
        "and second; suspicions of living ones an instance and hour; false deaths; all begun at once"
    )
    print(
        f"  {'size':>5} {'loss':>4}  {'seen':>12}  {'all':>12}  {'B/s':>6}  {'susp.':>6} deaths  began  runs"
    )
    for size, _, _ in sizes:
        for loss in (0.0, 0.01, 0.05):
            matching = [
                row for item, row in zip(work, rows, strict=True) if item[0] == size and item[2] == loss
            ]
            seen, known = [row["seen"] for row in matching], [row["all"] for row in matching]
            count = statistics.mean(r["bytes"] for r in matching)
            print(
                f"  {size:5} {loss:4.0%}  {quantile(seen, 0.5):5.2f}, {quantile(seen, 0.99):5.2f}  "
                f"{quantile(known, 0.5):5.2f}, {quantile(known, 0.99):5.2f}  {count:6.0f}  "
                f"{statistics.mean(r['suspected'] for r in matching):6.2f} {sum(r['died'] for r in matching):6.0f}  "
                f"{quantile([r['began'] for r in matching], 0.5):5.2f}  {len(matching):4}",
                flush=True,
            )


# Processes.


def used(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_processor_time(one: Instance) -> float:
    assert one.process is not None
    return used(one.process.pid)


async def pool_of(members: Members, *more: str) -> str:
    await members.start()
    return '[[pool]]\nname = "p"\nrules = { new_members = "warm" }\n' + "\n".join([*more, members.tables()])


async def processes_part(rounds: int, short: bool) -> None:
    members = Members(3)
    pool = await pool_of(members)
    found: dict[str, list[float]] = {"a crash": [], "a join": [], "halves, 10 s": [], "1 against 7, 10 s": []}
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 8, pool, profile="lan") as fleet:
            await fleet.open()
            await fleet.settled()
            fleet.network.loss = 0.01

            async def record_settling(name: str) -> None:
                began = time.perf_counter()
                await fleet.settled()
                found[name].append(time.perf_counter() - began)

            for number in range(rounds):
                one = fleet.all[number % 8]
                await one.kill()
                await record_settling("a crash")
                await one.start()
                await record_settling("a join")
                if short:
                    continue
                await asyncio.sleep(1)
                for name, side in (("halves, 10 s", range(4)), ("1 against 7, 10 s", range(1))):
                    fleet.network.part(side, set(range(8)) - set(side))
                    await asyncio.sleep(10)
                    fleet.network.heal()
                    await record_settling(name)
                    await asyncio.sleep(1)
    print("8 processes behind a relay, 1 % loss; seconds until all hold one digest, asked each 20 ms:")
    for name, values in found.items():
        if values:
            print_quantiles(name, values)
    if short:
        await members.stop()
        return
    print("idle processes, 10 s: bytes out and processor time an instance and second (of one core)")
    for size in (8, 16, 40):
        with tempfile.TemporaryDirectory() as folder:
            async with Fleet(Path(folder), size, pool, profile="lan") as fleet:
                await fleet.open()
                began = time.perf_counter()
                await fleet.settled()
                took = time.perf_counter() - began
                before = [
                    (status["wire"]["bytes out"], read_processor_time(one))
                    for status, one in zip(await fleet.statuses(), fleet.all, strict=True)
                ]
                await asyncio.sleep(10)
                after = [
                    (read_processor_time(one), status["wire"]["bytes out"])
                    for status, one in zip(await fleet.statuses(), fleet.all, strict=True)
                ]
                out = statistics.mean((b[1] - a[0]) / 10 for a, b in zip(before, after, strict=True))
                used = statistics.mean((b[0] - a[1]) / 10 for a, b in zip(before, after, strict=True))
                print(
                    f"  {size:3}: {out:5.0f} B/s, {used:.4f} of a core; settled {took:.2f} s after the last began",
                    flush=True,
                )
    await members.stop()


@asynccontextmanager
async def start_eight() -> AsyncIterator[Fleet]:
    """Yield eight processes that agree on their view, with four members."""
    members = Members(4)
    pool = await pool_of(members)
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 8, pool, profile="lan") as fleet:
            await fleet.open()
            await fleet.settled()
            yield fleet
    await members.stop()


async def deaths_part(minutes: float) -> None:
    """Count false deaths and suspicions while four further processes generate load, so that all cores are busy."""
    async with start_eight() as fleet:
        fleet.network.loss = 0.01
        ports = [str(one.port) for one in fleet.all]
        load_clients = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "standins.askers",
                str(minutes * 60),
                *ports,
                *ports,
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
            )
            for _ in range(4)
        ]
        before = [read_processor_time(one) for one in fleet.all]
        results: Counter[str] = Counter()
        for one in load_clients:
            out, _ = await one.communicate()
            results.update(json.loads(out))
        used = [
            (read_processor_time(one) - b) / minutes / 60 for one, b in zip(fleet.all, before, strict=True)
        ]
        found = [one["counts"] for one in await fleet.statuses()]

    def total(key: str) -> int:
        return sum(counts.get(key, 0) for counts in found)

    print(
        f"deaths: {minutes:g} minutes, 8 processes, 1 % loss, {sum(results.values())} requests {dict(results)}, "
        f"{statistics.mean(used):.2f} of a core each: held dead {total('died')}, suspected {total('suspected')}, "
        f"refuted {total('refuted')}"
    )


async def cost_part(pairs: int) -> None:
    """Compare a process of a fleet of eight with one without [fleet], both configured for eight instances."""
    async with start_eight() as fleet:
        alone = fleet.folder / "alone.toml"
        text = fleet.all[0].config.read_text().replace('socket = "s"', 'socket = "alone"')
        port = fleet._make_instance(99, "127.0.0.1", 99).port
        head, _, rest = text.partition("[fleet]")
        rest = "[[class]]" + rest.partition("[[class]]")[2]
        # The number of instances decides which connections are kept open, so both use the same.
        head = f"[process]\ninstances = {len(fleet.all)}\n" + head
        alone.write_text(head + rest.replace(str(fleet.all[0].port), str(port)))
        other = await start(alone)
        with_fleet = fleet.all[0]
        assert with_fleet.process is not None
        await compare("the fleet", (with_fleet.process.pid, with_fleet.port), (other.pid, port), pairs)
        other.send_signal(signal.SIGKILL)
        await other.wait()


async def compare(name: str, one: tuple[int, int], other: tuple[int, int], pairs: int) -> None:
    """Compare two processes, given by process id and port, in many short alternating measurements.

    Requests per second of closed-loop clients vary, as the clients and members run in one process. So requests per
    second of the process's own processor time are compared too.
    """
    speed, work = [], []
    for turn in range(pairs):
        found = {}
        for pid, port in (one, other) if turn % 2 else (other, one):
            before = used(pid)
            each = await rate(port, TURN_S)
            found[port] = each, each * TURN_S / max(1 / CLOCK_TICKS_PER_S, used(pid) - before)
        speed.append(found[one[1]][0] / found[other[1]][0])
        work.append(found[one[1]][1] / found[other[1]][1])
    for what, ratios in (("requests a second", speed), ("requests for each second of processor time", work)):
        ordered = sorted(ratios)
        print(
            f"cost of {name}, with it over without, {pairs} pairs of {TURN_S:g} s: {what} "
            f"{statistics.median(ratios):.3f} (quartiles {quantile(ordered, 0.25):.3f}, "
            f"{quantile(ordered, 0.75):.3f})",
            flush=True,
        )


async def rate(port: int, seconds: float, clients: int = 16) -> float:
    end_time = time.perf_counter() + seconds
    counts = [0] * clients

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while time.perf_counter() < end_time:
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
            counts[number] += 1
        writer.close()

    await asyncio.gather(*(client(number) for number in range(clients)))
    return sum(counts) / seconds


async def half_part() -> None:
    """Kill three, then four, of eight instances with 12 members and 7 requests a second at each instance."""
    print(
        "of eight killed, 12 members, 7 requests a second at each: connections opened at members for each request,\n"
        "counted by them, before and in spans of 10 s after"
    )
    constant_size_prelude = (
        "from loadbalancer.fleet.orchestration.fleet_size import FleetSize; "
        "FleetSize._approach_settled = lambda self, now: None"
    )
    for killed in (3, 4):
        for name, prelude in (("the view's number", ""), ("a number that stands", constant_size_prelude)):
            members = Members(12)
            pool = await pool_of(members)
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(Path(folder), 8, pool, profile="lan") as fleet:
                    for one in fleet.all:
                        one.prelude = prelude
                    await fleet.open()
                    await fleet.settled()
                    load_clients = PollingClients([one.port for one in fleet.all], pause=1 / 7)
                    load_clients.start()
                    await asyncio.sleep(5)
                    rows = [await count_connections(members, 10)]
                    await asyncio.gather(*(one.kill() for one in fleet.all[8 - killed :]))
                    rows += [await count_connections(members, 10) for _ in range(3)]
                    counted = [one["counted_with"] for one in await fleet.statuses()]
                    await load_clients.stop()
            words = "  ".join(f"{opened:.2f} of {requests:.0f}/s" for opened, requests in rows)
            print(f"  {killed} killed, {name:21}{words}; counted with {counted[0]}", flush=True)
            await members.stop()


async def count_connections(members: Members, seconds: float) -> tuple[float, float]:
    """Return connections opened per request, and requests per second, as counted by the members."""
    before = (
        sum(m.counts.connected for m in members.members),
        sum(m.counts.requests for m in members.members),
    )
    await asyncio.sleep(seconds)
    after = (
        sum(m.counts.connected for m in members.members),
        sum(m.counts.requests for m in members.members),
    )
    requests = after[1] - before[1]
    return (after[0] - before[0]) / max(1, requests), requests / seconds


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parts = ("model", "processes", "deaths", "cost", "half")
    parser.add_argument("parts", nargs="*", metavar="PART", default=parts, help=", ".join(parts))
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--short", action="store_true", help="in processes, only crashes and joins")
    parser.add_argument("--pairs", type=int, default=30)
    options: Any = parser.parse_args(arguments)
    if "model" in options.parts:
        model_part(options.seeds)
    if "processes" in options.parts:
        asyncio.run(processes_part(options.rounds, options.short))
    if "deaths" in options.parts:
        asyncio.run(deaths_part(options.minutes))
    if "cost" in options.parts:
        asyncio.run(cost_part(options.pairs))
    if "half" in options.parts:
        asyncio.run(half_part())
    return 0


if __name__ == "__main__":
    sys.exit(main())
