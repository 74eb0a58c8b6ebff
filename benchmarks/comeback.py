"""Recovery after most proxies of a fleet are killed and restarted at once, measured at the stand-ins.

python -m benchmarks.comeback [processes | model ...] [--rounds 3] [--html FILE]

model: 180 of 200 instances with 250 members (emulator/herd.py), and seven of eight with ten, in virtual time, with each
recovery measure disabled in turn; `--html` plots the share of requests served over time.

processes:

Eight daemons with ten members, of which one fails half of its requests and one is cordoned, get 880 requests a second
on new connections; seven are killed and restarted. One run alternates this build, the build before (no state, no
learning, no pacing), builds with one measure disabled, and the restart of a single instance. Printed, as medians of the
rounds:

full     seconds from the start of the processes until they served 98 % in each of ten consecutive spans of 100 ms
said     the same, as the daemons report it (the latest of all)
lost     requests without an answer, except refused connections; refused: 503 answers of the proxies
peak     largest number of connections opened at members in 100 ms, divided by the largest before
sick     the failing member's share of requests in the 3 s after the start, divided by its share before
cordoned requests to the cordoned member after the start
survivor share of requests that the surviving instance served, and its 99th percentile latency divided by that before
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Sequence

from benchmarks.fleetview import quantile
from emulator.herd import MassRestart, Measures, RestartResult
from standins.member import Behaviour, Member
from standins.processes import CONFIG, Fleet, until

STORED = '[store]\nfolder = "state"\n' + CONFIG
VOTERS = 'voters = ["i0", "i1", "i2", "i3", "i4"]\nstale_most = "2s"'
#: Seconds between two requests of a client; number of clients of each daemon.
REQUEST_INTERVAL_S, CLIENTS_PER_DAEMON = 0.08, 10
SPAN_S = 0.1
NO_PACE = (
    "from loadbalancer.daemon.recovery import RecoveryService as R; R._set_pace = lambda self, pace: None\n"
)
NO_LEARNING = (
    "from loadbalancer.daemon.recovery import RecoveryService as R\n"
    "async def _none(self, names): self.coordinator.on_survivors_answered()\nR._learn = _none\n"
)
#: For each build by name: the prelude that runs before the program, and whether the fleet has a replicated state.
BUILDS = {
    "this build": ("", True),
    "the build before": (NO_PACE + NO_LEARNING, False),
    "without the state": ("", False),
    "without lessons": (NO_LEARNING, True),
    "without the pace": (NO_PACE, True),
}


class Load:
    """An open-loop load: each client sends at fixed intervals, whether or not its previous request was answered."""

    def __init__(self, ports: Sequence[int]) -> None:
        # Time sent, port, result and latency of each request.
        self.results: list[tuple[float, int, str, float]] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._clients = [
            asyncio.ensure_future(self._client(port, n)) for port in ports for n in range(CLIENTS_PER_DAEMON)
        ]

    async def _client(self, port: int, number: int) -> None:
        await asyncio.sleep(REQUEST_INTERVAL_S * number / CLIENTS_PER_DAEMON)
        while True:
            task = asyncio.ensure_future(self._send_request(port))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(self, port: int) -> None:
        began = time.perf_counter()
        result = "lost"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            result = "closed"
        else:
            try:
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(4):
                    result = (await reader.readuntil(b"\r\n\r\n"))[9:12].decode()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            finally:
                writer.close()
        self.results.append((began, port, result, time.perf_counter() - began))

    async def stop(self) -> None:
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
        await asyncio.gather(*self._in_flight)


class ConnectionCounter:
    """Counts connections opened at members in spans of 100 ms."""

    def __init__(self, members: Sequence[Member]) -> None:
        self.members = members
        self.spans: list[tuple[float, int]] = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        before = sum(m.counts.connected for m in self.members)
        while True:
            await asyncio.sleep(SPAN_S)
            now = sum(m.counts.connected for m in self.members)
            self.spans.append((time.perf_counter(), now - before))
            before = now

    def max_in_span(self, begin: float, end: float) -> int:
        return max((count for at, count in self.spans if begin <= at < end), default=0)

    def stop(self) -> None:
        self._task.cancel()


def full_after(load: Load, began: float, ports: Sequence[int]) -> float:
    """Return the start, in seconds from `began`, of the first ten consecutive spans with 98 % of requests served.

    Only requests to `ports` count; 99 means that there are no such spans.
    """
    spans: dict[int, Counter[bool]] = {}
    for sent, port, result, _ in load.results:
        if port in ports and sent >= began:
            spans.setdefault(int((sent - began) / SPAN_S), Counter())[result in ("200", "500")] += 1
    run = 0
    for number in range(max(spans, default=0)):
        found = spans.get(number, Counter())
        run = run + 1 if found[True] >= 0.98 * sum(found.values()) else 0
        if run == 10:
            return (number - 9) * SPAN_S
    return 99.0


async def run_once(build: str, killed: int) -> dict[str, float]:
    prelude, state = BUILDS[build]
    members = [Member(f"m{number + 1}", Behaviour(delay=0.004)) for number in range(10)]
    members[0].behaviour = Behaviour(status=500)
    for member in members:
        await member.start()
    pool = (
        '[[pool]]\nname = "p"\nrules = { new_members = "warm" }\nrepeats = { on = ["connect"] }\n'
        + "".join(f'[[pool.member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in members)
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(
            Path(folder), 8, pool, profile="lan", config=STORED, fleet_more=VOTERS if state else ""
        ) as fleet:
            for one in fleet.all:
                one.prelude = prelude
            await fleet.open()
            await fleet.settled()
            for one in fleet.all if not state else fleet.all[:1]:
                await one.say("cordon", pool="p", member="m2", wait="10s")
            load, connection_counter = Load([one.port for one in fleet.all]), ConnectionCounter(members)
            await asyncio.sleep(6)
            killed_at = time.perf_counter()
            usual = connection_counter.max_in_span(killed_at - 4, killed_at)
            sick, whole = members[0].counts.requests, sum(m.counts.requests for m in members)
            before = sick / whole
            numbers = range(8 - killed, 8)
            await asyncio.gather(*(fleet.all[n].kill() for n in numbers))
            cordoned_requests_before = members[1].counts.requests
            began = time.perf_counter()
            await fleet.start(*numbers)
            up = time.perf_counter()
            sick, whole = members[0].counts.requests, sum(m.counts.requests for m in members)
            await asyncio.sleep(3)
            share = (members[0].counts.requests - sick) / max(
                1, sum(m.counts.requests for m in members) - whole
            )

            async def check_all_full() -> Any:
                found = [one["coming_back"] for one in await fleet.statuses()]
                return found if all(one["phase"] == "full" for one in found) else None

            found = await until(check_all_full, "all say that they are full", 45)
            await load.stop()
            connection_counter.stop()
            survivor = [end for end in load.results if end[1] == fleet.all[0].port]
            after = [end for end in survivor if began <= end[0] < began + 4]
            earlier = [end for end in survivor if killed_at - 4 <= end[0] < killed_at]
            ports = [fleet.all[n].port for n in numbers]
            late = [end for end in load.results if end[0] >= began and end[1] in ports]
    for member in members:
        await member.stop()
    return {
        "up": up - began,
        "full": full_after(load, began, ports),
        "said": max(one["full_after_s"] or 99 for one in found[-killed:]),
        "lost": sum(end[2] == "lost" for end in late),
        "refused": sum(end[2] == "503" for end in late),
        "closed": sum(end[2] == "closed" for end in late),
        "peak": connection_counter.max_in_span(began, began + 4) / max(1, usual),
        "usual": usual,
        "sick": share / before,
        "cordoned": members[1].counts.requests - cordoned_requests_before,
        "survivor": sum(end[2] in ("200", "500") for end in after) / max(1, len(after)),
        "p99": quantile([end[3] for end in after], 0.99) / quantile([end[3] for end in earlier], 0.99),
    }


async def play(rounds: int) -> None:
    rows: dict[str, list[dict[str, float]]] = {}
    for _ in range(rounds):
        for build, killed in (*((build, 7) for build in BUILDS), ("this build", 1)):
            name = build if killed > 1 else "one alone"
            rows.setdefault(name, []).append(await run_once(build, killed))
            print(
                json.dumps({"build": name, **{k: round(v, 3) for k, v in rows[name][-1].items()}}),
                file=sys.stderr,
            )
    keys = list(rows["this build"][0])
    print(f"{'':18}" + "".join(f"{key:>10}" for key in keys))
    for name, runs in rows.items():
        print(f"{name:18}" + "".join(f"{statistics.median(run[key] for run in runs):10.2f}" for key in keys))


MEASURES = {
    "all measures": Measures(), "without the pace": Measures(pace=False),
    "without lessons": Measures(learned_state=False), "without lists handed on": Measures(peer_lists=False),
    "without turns": Measures(stagger=False), "none": Measures(False, False, False, False),
}  # fmt: skip


def model_part(html: Path | None, seeds: int = 10) -> None:
    first_runs: dict[str, RestartResult] = {}
    small: dict[str, Any] = {"proxies": 8, "members": 10, "restarted": 7, "rate": 110.0}
    shapes: dict[str, dict[str, Any]] = {
        "180 of 200 before 250 members, 10,000 requests a second": {},
        "7 of 8 before 10 members, 880 requests a second": small,
    }
    for title, shape in shapes.items():
        print(
            f"model: {title}, medians of {seeds} seeds: seconds to full service (p50, most),\n"
            "openings and calls at the source in the worst 100 ms, the sick member's share, requests late"
        )
        for name, measures in MEASURES.items():
            runs = [MassRestart(seed, measures, **shape).play(8.0) for seed in range(seeds)]
            first_runs.setdefault(name, runs[0])
            full = [sorted(run.full) for run in runs]
            rows = [
                statistics.median(quantile(one, 0.5) for one in full),
                statistics.median(one[-1] for one in full),
                statistics.median(max(run.opened.values(), default=0) for run in runs),
                statistics.median(max(run.calls.values(), default=0) for run in runs),
                statistics.median(run.sick / run.sent for run in runs),
                statistics.median(sum(run.late.values()) for run in runs),
            ]
            print(
                f"  {name:24}{rows[0]:6.2f}{rows[1]:6.2f}{rows[2]:7.0f}{rows[3]:5.0f}{rows[4]:8.4f}{rows[5]:8.0f}"
            )
    if html is not None:
        draw(html, first_runs)


def draw(html: Path, runs: dict[str, RestartResult]) -> None:
    """Plot the share of requests served in each 100 ms, with a line for each disabled measure."""
    from emulator import charts

    made, axes = charts.figure()
    for name, run in runs.items():
        spans = range(40)
        share = [run.served[n] / max(1, run.served[n] + run.late[n]) for n in spans]
        axes.plot([n * SPAN_S for n in spans], share, label=name)
    axes.set(
        xlabel="seconds after 180 of 200 were started",
        ylabel="share served",
        ylim=(0, 1.02),
        title="Coming back, each measure left out",
    )
    axes.legend()
    axes.grid(alpha=0.3)
    for path in charts.write(html, "Coming back", [made], []):
        print(f"written: {path}")


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("parts", nargs="*", metavar="PART", default=("processes", "model"))
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--html", type=Path, metavar="FILE", help="write a plot of the model's runs")
    options: Any = parser.parse_args(arguments)
    if "processes" in options.parts:
        asyncio.run(play(options.rounds))
    if "model" in options.parts:
        model_part(options.html)
    return 0


if __name__ == "__main__":
    sys.exit(main())
