"""Effect of a hanging pool on another one: `python -m benchmarks.isolation`.

Clients of the good pool send requests at an even rate, first alone, then while others send to a pool that accepts
requests and never answers. Compares the p99 latency of the good pool's answers in pairs.
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
    good_load = ["--path", "/good", "--connections", "20", "--pause", "0.02", "--seconds", seconds]
    hung_load = [
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
        members(2, "--members", "4", "--delay", "0.005") as healthy,
        members(4, "--members", "4", "--hang") as hanging_members,
        ThreadPoolExecutor() as threads,
    ):
        pools = (
            '[[pool]]\nname = "good"\n'
            + tables(healthy)
            + '[[pool]]\nname = "hung"\n'
            + tables(hanging_members)
        )
        for number in range(options.rounds):
            with daemon(1, CONFIG + pools) as (listeners, _):
                alone = clients(3, listeners["main"], *good_load)
                hanging_clients = threads.submit(clients, 5, listeners["main"], *hung_load)
                during_load = clients(3, listeners["main"], *good_load)
                hanging_result = hanging_clients.result()
            for result in (alone, during_load):
                if set(result["statuses"]) != {"200"} or result["lost"]:
                    raise SystemExit(f"good pool: expected only status 200 and nothing lost, found {result}")
            if "200" in hanging_result["statuses"]:
                raise SystemExit(f"hanging pool: expected no status 200, found {hanging_result}")
            ratios.append(during_load["p99"] / alone["p99"])
            print(
                f"round {number + 1}: p99 alone {alone['p99'] * 1e3:.2f} ms, beside {during_load['p99'] * 1e3:.2f} ms, "
                f"ratio {ratios[-1]:.2f}; the other got {hanging_result['statuses']}",
                flush=True,
            )
    print(f"ratio: median {median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f}); wanted at most 1.2")


if __name__ == "__main__":
    main()
