"""Distribution of 20,000 requests over members weighted 1:2:5, under several loads: `python -m benchmarks.weights`."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import uvloop

from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.resource_limits import RateLimitedLogger
from standins.clients import Clients, plain_request
from standins.member import Behaviour, Fleet

REQUESTS = 20_000
WEIGHTS = [1.0, 2.0, 5.0]
CONFIG = """[[route]]
name = "r"
prefix = "/"
pool = "p"
[[listener]]
name = "main"
address = "127.0.0.1:0"
[[pool]]
name = "p"
"""


async def count_requests(connections: int, delay: float, total: int = REQUESTS) -> list[int]:
    """Return the number of requests that each member received."""
    fleet = Fleet(len(WEIGHTS))
    for member in fleet.members:
        member.behaviour = Behaviour(delay=delay)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "m.toml"
        path.write_text(CONFIG + fleet.tables(WEIGHTS))
        daemon = Daemon(RateLimitedLogger(), seed=7)
        daemon.apply(load(path))
        clients, done = Clients(), asyncio.Event()
        count = 0

        def count_request() -> None:
            nonlocal count
            count += 1
            if count >= total:
                clients.stopped = True
                done.set()

        for member in fleet.members:
            member.on_request = count_request
        requests = [plain_request("/")] * connections
        load_task = asyncio.ensure_future(
            clients.run(daemon.listeners["main"].address, requests, 3600.0, 0.0)
        )
        await done.wait()
        load_task.cancel()
        daemon.close()
        await fleet.stop()
    return [member.counts.requests for member in fleet.members]


def main() -> None:
    weight_sum = sum(WEIGHTS)
    for connections, delay in ((1, 0.0), (8, 0.001), (32, 0.002), (64, 0.005)):
        counts = uvloop.run(count_requests(connections, delay))
        total = sum(counts)
        shares = [count / total for count in counts]
        errors = [share - weight / weight_sum for share, weight in zip(shares, WEIGHTS, strict=True)]
        print(
            f"{connections:3} connections, {delay * 1e3:g} ms: "
            + ", ".join(f"{share:.4f}" for share in shares)
            + f"; furthest from its share by {max(map(abs, errors)) * 100:.2f} points "
            f"({max(abs(e) / (w / weight_sum) for e, w in zip(errors, WEIGHTS, strict=True)) * 100:.1f} "
            "% of it); wanted 2",
            flush=True,
        )


if __name__ == "__main__":
    main()
