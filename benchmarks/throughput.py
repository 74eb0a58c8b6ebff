"""Requests per second on one core: the platform's `run` now and before, and `serve` with plain HTTP clients.

`python -m benchmarks.throughput` alternates the three for several rounds and compares them within each round: the
machine's speed drifts, so only these ratios are meaningful.
"""

from __future__ import annotations

from statistics import median
from typing import Any

from benchmarks.scene import arguments, checkout, clients, daemon, members, platform_proxy, tables

#: The last revision with one listener, one pool and one dialect.
BASE = "dba2df7"

HTTP_CONFIGURATION = """[[class]]
name = "track"
aim = "2s"
deadline = "4s"
[[route]]
name = "api"
prefix = "/api"
pool = "p"
class = "track"
[[listener]]
name = "main"
address = "127.0.0.1:0"
[[pool]]
name = "p"
"""


def main() -> None:
    options = arguments(__doc__, BASE, connections=16)
    load = ["--seconds", str(options.seconds), "--connections", str(options.connections)]
    rows: dict[str, list[dict[str, Any]]] = {"before": [], "platform": [], "http": []}
    with checkout(options.base) as tree, members(2, "--members", "4", "--body", "200") as addresses:
        for number in range(options.rounds):
            with platform_proxy(1, addresses, tree) as (address, pid):
                rows["before"].append(clients(3, address, "--platform", *load, pid=pid))
            with platform_proxy(1, addresses) as (address, pid):
                rows["platform"].append(clients(3, address, "--platform", *load, pid=pid))
            with daemon(1, HTTP_CONFIGURATION + tables(addresses)) as (listeners, pid):
                rows["http"].append(clients(3, listeners["main"], *load, pid=pid))
            for name, results in rows.items():
                last = results[-1]
                if set(last["statuses"]) != {"200"} or last["lost"]:
                    raise SystemExit(f"{name}: expected only status 200 and nothing lost, found {last}")
            summaries = [
                f"{name} {r[-1]['per_s']:.0f}/s at {r[-1]['cpu_us']:.0f} us" for name, r in rows.items()
            ]
            print(f"round {number + 1}: {', '.join(summaries)}", flush=True)
    for name, other, wanted in (("platform", "before", 1.0), ("http", "platform", 0.9)):
        pairs = list(zip(rows[name], rows[other], strict=True))
        rate = [a["per_s"] / b["per_s"] for a, b in pairs]
        work = [b["cpu_us"] / a["cpu_us"] for a, b in pairs]
        print(
            f"{name} / {other}: requests a second {median(rate):.3f} ({min(rate):.3f} to {max(rate):.3f}), "
            f"by processor time {median(work):.3f}; wanted {wanted}"
        )


if __name__ == "__main__":
    main()
