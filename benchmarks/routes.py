"""Cost of finding a route among 10, 1,000 and 10,000: `python -m benchmarks.routes`.

Tables mix hosts, exact paths, prefixes and patterns; the same share of lookups finds each kind. Each round times the
three tables in turn, and ratios are within a round.
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

Ask = tuple[str, list[str]]


def table(size: int) -> tuple[Routes, list[Ask]]:
    """A table, and a request for each of its rules."""
    rules, asks = [], []
    for number in range(size):
        host = f"h{number % max(1, size // 10)}.svc.test"
        kind = number % 4
        if kind == 0:
            rules.append(Rule(f"r{number}", host, path=f"/exact/{number}"))
            asks.append((host, split(f"/exact/{number}")))
        elif kind == 1:
            rules.append(Rule(f"r{number}", host, prefix=f"/prefix/{number}"))
            asks.append((host, split(f"/prefix/{number}/and/more")))
        elif kind == 2:
            rules.append(Rule(f"r{number}", host, pattern=f"/pattern/{{id}}/{number}"))
            asks.append((host, split(f"/pattern/any/{number}")))
        else:
            rules.append(Rule(f"r{number}", f"*.d{number}.test", prefix="/"))
            asks.append((f"a.b.d{number}.test", split("/some/where")))
    return Routes(rules), asks


def nothing(name: str) -> None:
    return None


def cost(routes: Routes, asks: list[Ask]) -> float:
    """Microseconds a lookup."""
    began = time.perf_counter()
    for host, segments in asks:
        if routes.find(host, segments, "GET", nothing) is None:
            raise SystemExit(f"no route for {host} {segments}")
    return (time.perf_counter() - began) / len(asks) * 1e6


def main() -> None:
    chance = random.Random(1)
    tables = {}
    for size in SIZES:
        routes, asks = table(size)
        tables[size] = routes, [chance.choice(asks) for _ in range(LOOKUPS)]
    rounds = [{size: cost(*tables[size]) for size in SIZES} for _ in range(ROUNDS)]
    for size in SIZES:
        print(f"{size:6} routes: {median(r[size] for r in rounds):.2f} us a lookup")
    for size in SIZES[1:]:
        ratio = median(r[size] / r[SIZES[0]] for r in rounds)
        print(f"{size} / {SIZES[0]}: {ratio:.2f} (wanted: at most 2 for 10000)")


if __name__ == "__main__":
    main()
