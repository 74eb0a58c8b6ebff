"""Plays answers and uploads of random paces on a process of `run`, and prints the rules that were broken.

`python -m benchmarks.paces --seeds 50 --first 1`: each seed is one process and its exchanges, and can be played again.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import replace
from random import Random

from standins.paces import Exchange, draw_exchange, find_broken_rule, play
from standins.platform_run import Limits, PlatformRun

EXCHANGES = 60
"""Exchanges of one seed."""
OPEN_AT_ONCE = 24
"""Exchanges that are open at the same time."""
LIMITS = Limits(80, 384)


async def play_seed(seed: int) -> list[str]:
    """Play the exchanges of a seed; return a line for each that broke a rule, and one if the process broke a limit."""
    source = Random(seed)
    exchanges = [draw_exchange(source) for _ in range(EXCHANGES)]
    slots = asyncio.Semaphore(OPEN_AT_ONCE)
    async with PlatformRun(LIMITS) as run:
        lines = await asyncio.gather(*(_play_one(run, slots, exchange) for exchange in exchanges))
        broken = [line for line in lines if line is not None]
        if not run.is_running:
            broken.append(f"the process ended: {run.log[-500:]}")
        if run.peak_mb > LIMITS.memory_mb:
            broken.append(f"{run.peak_mb:.0f} MB of {LIMITS.memory_mb}")
        if broken:
            broken.append(f"log: {run.log}")
    return broken


async def _play_one(run: PlatformRun, slots: asyncio.Semaphore, exchange: Exchange) -> str | None:
    async with slots:
        txn, heard = await play(run.address, exchange)
    heard = replace(heard, effects=sum(member.effects[txn] for member in run.members))
    rule = find_broken_rule(exchange, heard)
    return None if rule is None else f"{rule}: {exchange} {heard}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        broken = asyncio.run(play_seed(seed))
        failed += bool(broken)
        print(f"seed {seed}: {'held' if not broken else f'{len(broken)} broken'}", flush=True)
        for line in broken:
            print(f"    {line}", flush=True)
    print(f"{options.seeds - failed} of {options.seeds} seeds held, {EXCHANGES} exchanges each")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
