"""Plays crowds of clients against a real process of `run`, and compares its peak of memory with its limit.

python -m benchmarks.crowds [--memory 64] [--sockets 1024] [--clients 400] [--times 1] [--seconds 3] [NAME ...]

Prints a row for each scenario: the process's memory at rest and at its peak, what its account held at most, and what
regular clients beside the crowd got. Exits with 1 if a process passed its limit or ended, or if a regular client lost
a request or got another one's answer.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import dataclass, field
from typing import Any

from standins.crowds import (
    Behaviour,
    Crowd,
    RegularClients,
    chunked_sender,
    half_body,
    idle,
    many_fields,
    pipelining,
    slow_reader,
    slow_receiver,
    slow_writer,
)
from standins.platform_run import Limits, PlatformRun

#: Seconds for which the regular clients run before the crowd comes.
QUIET_S = 0.3

SCENARIOS: dict[str, tuple[Behaviour, ...]] = {
    "idle": (idle(),),
    "6,000 fields": (many_fields(6_000),),
    "1,500 fields": (many_fields(1_500),),
    "250 fields": (many_fields(250),),
    "250 fields of 50 bytes": (many_fields(250, "name-of-a-field: a-value-of-thirty-bytes-or-so"),),
    "half of 100 KB": (half_body(100_000),),
    "half of 1 MB": (half_body(1_000_000),),
    "half of 8 MB": (half_body(8_000_000),),
    "1 MB at 64 KB/s": (slow_writer(1_000_000, 64_000),),
    "60 KB read slowly": (slow_reader(60_000),),
    "200 KB read slowly": (slow_reader(200_000),),
    "2 MB read slowly": (slow_reader(2_000_000),),
    "2 MB in chunks read slowly": (slow_reader(2_000_000, "chunked"),),
    "200 KB to its close read slowly": (slow_reader(200_000, "close"),),
    "4 answers of 60 KB read slowly": (slow_reader(60_000, requests=4),),
    "16 pipelined requests": (pipelining(16, 60),),
    "8 pipelined bodies": (pipelining(8, 0, 30_000),),
    "500 KB to slow members": (slow_receiver(500_000, 100_000),),
    "3 MB to slow members": (slow_receiver(3_000_000, 200_000),),
    "20 MB in chunks to slow members": (chunked_sender(20_000_000, "read_rate=3000000"),),
    "20 MB in chunks to members that hardly read": (chunked_sender(20_000_000, "read_rate=1"),),
    "20 MB in chunks to members that rest first": (chunked_sender(20_000_000, "rest=1", "unsafe"),),
    "20 MB in chunks, first attempt reset": (chunked_sender(20_000_000, "breaks_after=100000"),),
    "30 MB in chunks to slow members": (chunked_sender(30_000_000, "read_rate=3000000", "unsafe"),),
    "5 MB in chunks to slow members": (chunked_sender(5_000_000, "read_rate=3000000"),),
    "a third each": (half_body(1_000_000), many_fields(3_000), slow_reader(2_000_000)),
}


@dataclass
class Outcome:
    """What one play of a scenario showed."""

    base_mb: float = 0.0
    peak_mb: float = 0.0
    account_mb: float = 0.0
    has_ended: bool = False
    longest_s: float = 0.0
    statuses: dict[int, int] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def problems(self, limits: Limits) -> list[str]:
        """Return which rules the process has broken."""
        problems = ["ended"] if self.has_ended else []
        if self.peak_mb > limits.memory_mb:
            problems.append(f"{self.peak_mb:.1f} MB of {limits.memory_mb}")
        problems += [f"lost {request}" for request in self.lost]
        problems += [f"{request} got another answer" for request in self.wrong]
        return problems


async def play(name: str, limits: Limits, clients: int, seconds: float) -> Outcome:
    """Play one scenario once."""
    behaviours = SCENARIOS[name]
    outcome = Outcome()
    async with PlatformRun(limits) as run:
        regular = RegularClients(run.address)
        crowds = [Crowd(run.address, clients // len(behaviours), behaviour) for behaviour in behaviours]
        regular.start()
        await asyncio.sleep(QUIET_S)
        for crowd in crowds:
            crowd.start()
        await asyncio.sleep(seconds)
        outcome.has_ended = not run.is_running
        stats: dict[str, Any] = await run.read_stats() if run.is_running else {}
        await regular.stop()
        await asyncio.gather(*(crowd.stop() for crowd in crowds))
        outcome.base_mb, outcome.peak_mb = run.base_mb, run.peak_mb
        outcome.account_mb = stats.get("memory_peak_bytes", 0) / (1 << 20)
        outcome.longest_s, outcome.statuses = regular.longest_s, dict(regular.statuses)
        outcome.lost, outcome.wrong = regular.lost, regular.wrong
    return outcome


async def play_all(names: list[str], limits: Limits, clients: int, times: int, seconds: float) -> int:
    """Play scenarios one after another, and print a row for each; return how many broke a rule."""
    failed = 0
    print("| scenario | clients | limit MB | peak MB | account MB | longest s | answers | problems |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        outcomes = [await play(name, limits, clients, seconds) for _ in range(times)]
        problems = [problem for outcome in outcomes for problem in outcome.problems(limits)]
        failed += bool(problems)
        answers: dict[int, int] = {}
        for outcome in outcomes:
            for status, number in outcome.statuses.items():
                answers[status] = answers.get(status, 0) + number
        peak_mb, account_mb = max(o.peak_mb for o in outcomes), max(o.account_mb for o in outcomes)
        longest_s = max(outcome.longest_s for outcome in outcomes)
        print(
            f"| {name} | {clients} | {limits.memory_mb} | {peak_mb:.1f} | {account_mb:.1f} | {longest_s:.2f} "
            f"| {answers} | {'; '.join(problems) or 'none'} |",
            flush=True,
        )
    return failed


def main() -> int:
    """Play the scenarios given on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--memory", type=int, default=64, metavar="MB")
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--times", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    options = parser.parse_args()
    limits = Limits(options.memory, options.sockets)
    work = play_all(options.names, limits, options.clients, options.times, options.seconds)
    return 1 if asyncio.run(work) else 0


if __name__ == "__main__":
    sys.exit(main())
