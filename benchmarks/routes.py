"""Cost of finding a route among 10, 1,000 and 10,000: `python -m benchmarks.routes`.

The tables mix wildcard hosts, exact paths, prefixes and patterns; lookups find each kind equally often. Each round
measures the three tables one after another, and ratios are within a round.
"""

from __future__ import annotations

import random
import time
from statistics import median

from loadbalancer.routing.routes import Routes, Rule
from loadbalancer.routing.targets import split

SIZES = (10, 1_000, 10_000)
LOOKUPS = 20_000
ROUNDS = 7

RequestTarget = tuple[str, list[str]]


def make_table(size: int) -> tuple[Routes, list[RequestTarget]]:
    """Return a routing table, and a matching request for each of its rules."""
    rules, targets = [], []
    for number in range(size):
        host = f"h{number % max(1, size // 10)}.svc.test"
        kind = number % 4
        if kind == 0:
            rules.append(Rule(f"r{number}", host, path=f"/exact/{number}"))
            targets.append((host, split(f"/exact/{number}")))
        elif kind == 1:
            rules.append(Rule(f"r{number}", host, prefix=f"/prefix/{number}"))
            targets.append((host, split(f"/prefix/{number}/and/more")))
        elif kind == 2:
            rules.append(Rule(f"r{number}", host, pattern=f"/pattern/{{id}}/{number}"))
            targets.append((host, split(f"/pattern/any/{number}")))
        else:
            rules.append(Rule(f"r{number}", f"*.d{number}.test", prefix="/"))
            targets.append((f"a.b.d{number}.test", split("/some/where")))
    return Routes(rules), targets


def no_header(name: str) -> None:
    return None


def measure_lookup_us(routes: Routes, targets: list[RequestTarget]) -> float:
    """Return microseconds per lookup."""
    began = time.perf_counter()
    for host, segments in targets:
        if routes.find(host, segments, "GET", no_header) is None:
            raise SystemExit(f"expected a route for host {host} and path segments {segments}, found none")
    return (time.perf_counter() - began) / len(targets) * 1e6


def main() -> None:
    random_source = random.Random(1)
    tables = {}
    for size in SIZES:
        routes, targets = make_table(size)
        tables[size] = routes, [random_source.choice(targets) for _ in range(LOOKUPS)]
    rounds = [{size: measure_lookup_us(*tables[size]) for size in SIZES} for _ in range(ROUNDS)]
    for size in SIZES:
        print(f"{size:6} routes: {median(r[size] for r in rounds):.2f} us a lookup")
    for size in SIZES[1:]:
        ratio = median(r[size] / r[SIZES[0]] for r in rounds)
        print(f"{size} / {SIZES[0]}: {ratio:.2f} (wanted: at most 2 for 10000)")


if __name__ == "__main__":
    main()
