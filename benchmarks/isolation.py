"""What a pool that hangs does to another one: `python -m benchmarks.isolation`.

Clients of the good pool ask at an even pace, first alone, then while others ask a pool that takes requests and never
answers; p99 of the good pool's answers, in pairs.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ThreadPoolExecutor
from statistics import median

from benchmarks.scene import clients, daemon, members, tables

CONFIG = """[process]
descriptors = 512
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
[[route]]
name = "good"
prefix = "/good"
pool = "good"
class = "c"
[[route]]
name = "hung"
prefix = "/hung"
pool = "hung"
class = "c"
[[listener]]
name = "main"
address = "127.0.0.1:0"
"""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--hung-connections", type=int, default=150)
    options = parser.parse_args()
    seconds = str(options.seconds)
    good = ["--path", "/good", "--connections", "20", "--pause", "0.02", "--seconds", seconds]
    hung = [
        "--path",
        "/hung",
        "--connections",
        str(options.hung_connections),
        "--pause",
        "0.5",
        "--warm",
        "0.2",
        "--seconds",
        str(options.seconds + 2),
    ]
    ratios = []
    with (
        members(2, "--members", "4", "--delay", "0.005") as well,
        members(4, "--members", "4", "--hang") as ill,
        ThreadPoolExecutor() as threads,
    ):
        pools = '[[pool]]\nname = "good"\n' + tables(well) + '[[pool]]\nname = "hung"\n' + tables(ill)
        for number in range(options.rounds):
            with daemon(1, CONFIG + pools) as (listeners, _):
                alone = clients(3, listeners["main"], *good)
                other = threads.submit(clients, 5, listeners["main"], *hung)
                beside = clients(3, listeners["main"], *good)
                hanging = other.result()
            for result in (alone, beside):
                if set(result["statuses"]) != {"200"} or result["lost"]:
                    raise SystemExit(f"the good pool did not serve all: {result}")
            if "200" in hanging["statuses"]:
                raise SystemExit(f"the pool that hangs answered: {hanging}")
            ratios.append(beside["p99"] / alone["p99"])
            print(
                f"round {number + 1}: p99 alone {alone['p99'] * 1e3:.2f} ms, beside {beside['p99'] * 1e3:.2f} ms, "
                f"ratio {ratios[-1]:.2f}; the other got {hanging['statuses']}",
                flush=True,
            )
    print(f"ratio: median {median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f}); wanted at most 1.2")


if __name__ == "__main__":
    main()
