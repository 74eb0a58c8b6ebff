"""The view of the fleet, measured.

python -m benchmarks.fleetview [model | processes | deaths | cost | half ...] [--seeds 1000] [--minutes 10]

model: the state machine in virtual time (emulator/fleetview.py), eight instances over many seeds, then 40, 200 and
    1,000: seconds until all agree after a start, a join, a crash, partitions and a stop; detection against false
    suspicions at 0, 1 and 5 % loss; bytes an instance and second.
processes: the same with eight real processes behind a relay; bytes and processor time an instance at 8, 16
    and 40 idle ones.
deaths: eight processes under full load and 1 % loss for so many minutes: how many were held dead, and suspected.
cost: requests a second of one process with the fleet on beside off, in turns in one run.
half: three and four of eight killed: connections that members are asked for, with the view's number beside one that
    stands.
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
from standins.askers import Askers
from standins.member import Fleet as Members
from standins.processes import Fleet, One, start

NEVER = 99.0
#: Seconds of one turn of two that are compared.
TURN_S = 1.0
ROOT = Path(__file__).parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


def quantile(values: Sequence[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def show(name: str, values: Sequence[float]) -> None:
    late = sum(value >= NEVER for value in values)
    print(
        f"  {name:28} p50 {quantile(values, 0.5):6.2f}  p99 {quantile(values, 0.99):6.2f}  most {max(values):6.2f} s"
        f"  of {len(values)}" + (f"  NEVER {late}" if late else ""),
        flush=True,
    )


# The model.

EIGHT = tuple(range(8))


def one_seed(seed: int) -> dict[str, float]:
    """Seconds until all agree after each fault; the longest that an instance which is up was held dead."""
    model = FleetModel(8, seed)
    model.net.loss = 0.01
    found: dict[str, float] = {"all at once": model.start_all() or NEVER}

    def settles(name: str) -> None:
        found[name] = model.until(model.settled, 60.0) or NEVER
        model.run(5)

    model.run(5)
    model.instances[3].kill()
    settles("a crash")
    model.instances[3].start()
    settles("a join")
    partitions: tuple[tuple[str, float, list[tuple[int, ...]]], ...] = (
        ("halves, 60 s", 60, [EIGHT[:4], EIGHT[4:]]),
        ("1 against 7, 60 s", 60, [(2,), (0, 1, *EIGHT[3:])]),
        ("in three, 20 s", 20, [(0, 1, 2), (3, 4, 5), (6, 7)]),
        ("halves, 20 min", 1200, [EIGHT[:4], EIGHT[4:]]),
    )
    for name, seconds, sides in partitions:
        model.part(*sides)
        model.run(seconds)
        model.heal()
        settles(name)
    model.net.cut = {(2, other) for other in EIGHT}
    model.run(20)
    model.heal()
    settles("one way, 20 s")
    model.instances[5].stop()
    model.run(5)
    model.instances[5].go_on()
    settles("stopped for 5 s")
    for number in EIGHT[1:]:
        model.instances[number].kill()
    model.run(0.3)
    for number in EIGHT[1:]:
        model.instances[number].start()
    settles("all but one started again")
    return found


def one_size(work: tuple[int, int, float, float]) -> dict[str, float]:
    """Of one fleet under a share of loss: bytes, suspicions of instances that are up, and how soon a crash is seen."""
    size, seed, loss, seconds = work
    model = FleetModel(size, seed, weighs=True)
    began = model.start_all(240.0) or NEVER
    model.net.loss = loss
    before = sum(one.counts["bytes"] for one in model.instances)
    model.run(seconds)
    count = sum(one.counts["bytes"] for one in model.instances) - before
    suspected = sum(one.view.counters["suspected"] for one in model.instances)
    died = sum(one.view.counters["died"] for one in model.instances)
    gone = model.instances[size // 2]
    gone.kill()
    name = gone.view.identity.name
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
        found = list(pool.map(one_seed, range(seeds), chunksize=10))
        for name in found[0]:
            show(name, [one[name] for one in found])
        sizes = ((8, 200, 60.0), (40, 40, 30.0), (200, 4, 10.0), (1000, 1, 5.0))
        work = [
            (size, seed, loss, seconds)
            for size, runs, seconds in sizes
            for loss in (0.0, 0.01, 0.05)
            for seed in range(runs)
        ]
        rows = list(pool.map(one_size, reversed(work)))[::-1]
    print(
        "model, by size and loss: a crash is first seen, and known to all, in seconds (p50, p99); bytes an instance\n"
        "and second; suspicions of living ones an instance and hour; false deaths; all begun at once"
    )
    print(
        f"  {'size':>5} {'loss':>4}  {'seen':>12}  {'all':>12}  {'B/s':>6}  {'susp.':>6} deaths  began  runs"
    )
    for size, _, _ in sizes:
        for loss in (0.0, 0.01, 0.05):
            mine = [row for item, row in zip(work, rows, strict=True) if item[0] == size and item[2] == loss]
            seen, known = [row["seen"] for row in mine], [row["all"] for row in mine]
            count = statistics.mean(r["bytes"] for r in mine)
            print(
                f"  {size:5} {loss:4.0%}  {quantile(seen, 0.5):5.2f}, {quantile(seen, 0.99):5.2f}  "
                f"{quantile(known, 0.5):5.2f}, {quantile(known, 0.99):5.2f}  {count:6.0f}  "
                f"{statistics.mean(r['suspected'] for r in mine):6.2f} {sum(r['died'] for r in mine):6.0f}  "
                f"{quantile([r['began'] for r in mine], 0.5):5.2f}  {len(mine):4}",
                flush=True,
            )


# Processes.


def used(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def processor(one: One) -> float:
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

            async def settles(name: str) -> None:
                began = time.perf_counter()
                await fleet.settled()
                found[name].append(time.perf_counter() - began)

            for number in range(rounds):
                one = fleet.all[number % 8]
                await one.kill()
                await settles("a crash")
                await one.start()
                await settles("a join")
                if short:
                    continue
                await asyncio.sleep(1)
                for name, side in (("halves, 10 s", range(4)), ("1 against 7, 10 s", range(1))):
                    fleet.network.part(side, set(range(8)) - set(side))
                    await asyncio.sleep(10)
                    fleet.network.heal()
                    await settles(name)
                    await asyncio.sleep(1)
    print("8 processes behind a relay, 1 % loss; seconds until all hold one digest, asked each 20 ms:")
    for name, values in found.items():
        if values:
            show(name, values)
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
                    (status["wire"]["bytes out"], processor(one))
                    for status, one in zip(await fleet.statuses(), fleet.all, strict=True)
                ]
                await asyncio.sleep(10)
                after = [
                    (processor(one), status["wire"]["bytes out"])
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
async def eight() -> AsyncIterator[Fleet]:
    """Eight processes that have settled, before four members."""
    members = Members(4)
    pool = await pool_of(members)
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 8, pool, profile="lan") as fleet:
            await fleet.open()
            await fleet.settled()
            yield fleet
    await members.stop()


async def deaths_part(minutes: float) -> None:
    """Load comes of four further processes, so that all cores are taken."""
    async with eight() as fleet:
        fleet.network.loss = 0.01
        ports = [str(one.port) for one in fleet.all]
        askers = [
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
        before = [processor(one) for one in fleet.all]
        ends: Counter[str] = Counter()
        for one in askers:
            out, _ = await one.communicate()
            ends.update(json.loads(out))
        used = [(processor(one) - b) / minutes / 60 for one, b in zip(fleet.all, before, strict=True)]
        found = [one["counts"] for one in await fleet.statuses()]

    def total(key: str) -> int:
        return sum(counts.get(key, 0) for counts in found)

    print(
        f"deaths: {minutes:g} minutes, 8 processes, 1 % loss, {sum(ends.values())} requests {dict(ends)}, "
        f"{statistics.mean(used):.2f} of a core each: held dead {total('died')}, suspected {total('suspected')}, "
        f"refuted {total('refuted')}"
    )


async def cost_part(pairs: int) -> None:
    """One process of a fleet of eight beside one without [fleet], both counting with eight."""
    async with eight() as fleet:
        alone = fleet.folder / "alone.toml"
        text = fleet.all[0].config.read_text().replace('socket = "s"', 'socket = "alone"')
        port = fleet._make_instance(99, "127.0.0.1", 99).port
        head, _, rest = text.partition("[fleet]")
        rest = "[[class]]" + rest.partition("[[class]]")[2]
        # The number of instances decides which connections are kept, so both count with the same.
        head = f"[process]\ninstances = {len(fleet.all)}\n" + head
        alone.write_text(head + rest.replace(str(fleet.all[0].port), str(port)))
        other = await start(alone)
        with_fleet = fleet.all[0]
        assert with_fleet.process is not None
        await compare("the fleet", (with_fleet.process.pid, with_fleet.port), (other.pid, port), pairs)
        other.send_signal(signal.SIGKILL)
        await other.wait()


async def compare(name: str, one: tuple[int, int], other: tuple[int, int], pairs: int) -> None:
    """Two processes, by number and port, in many short turns: requests a second of closed clients, and, since those
    share the clients' and members' process and swing, requests for each second of the process's own processor time."""
    speed, work = [], []
    for turn in range(pairs):
        found = {}
        for pid, port in (one, other) if turn % 2 else (other, one):
            before = used(pid)
            each = await rate(port, TURN_S)
            found[port] = each, each * TURN_S / max(1 / TICKS, used(pid) - before)
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
    ends = time.perf_counter() + seconds
    counts = [0] * clients

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while time.perf_counter() < ends:
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
            counts[number] += 1
        writer.close()

    await asyncio.gather(*(client(number) for number in range(clients)))
    return sum(counts) / seconds


async def half_part() -> None:
    """Eight instances, 12 members, 7 requests a second at each; then three, or four, are killed."""
    print(
        "of eight killed, 12 members, 7 requests a second at each: connections opened at members for each request,\n"
        "counted by them, before and in spans of 10 s after"
    )
    stands = (
        "from loadbalancer.fleet.orchestration.fleet_size import FleetSize; "
        "FleetSize._move = lambda self, now: None"
    )
    for killed in (3, 4):
        for name, prelude in (("the view's number", ""), ("a number that stands", stands)):
            members = Members(12)
            pool = await pool_of(members)
            with tempfile.TemporaryDirectory() as folder:
                async with Fleet(Path(folder), 8, pool, profile="lan") as fleet:
                    for one in fleet.all:
                        one.prelude = prelude
                    await fleet.open()
                    await fleet.settled()
                    askers = Askers([one.port for one in fleet.all], pause=1 / 7)
                    askers.start()
                    await asyncio.sleep(5)
                    rows = [await span(members, 10)]
                    await asyncio.gather(*(one.kill() for one in fleet.all[8 - killed :]))
                    rows += [await span(members, 10) for _ in range(3)]
                    counted = [one["counted_with"] for one in await fleet.statuses()]
                    await askers.stop()
            words = "  ".join(f"{opened:.2f} of {requests:.0f}/s" for opened, requests in rows)
            print(f"  {killed} killed, {name:21}{words}; counted with {counted[0]}", flush=True)
            await members.stop()


async def span(members: Members, seconds: float) -> tuple[float, float]:
    """Connections for each request, and requests a second, as the members count them."""
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
    parser.add_argument("--short", action="store_true", help="of processes: crashes and joins alone")
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
