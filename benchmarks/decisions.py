"""Processor time of a request's decisions at 10, 60 and 270 members, in one run, and the ratios.

    python -m benchmarks.decisions [--root FOLDER]

`--root`: another checkout, whose module is measured in place of this one; take turns to compare the two.
"""

from __future__ import annotations

import argparse
import sys
import time

PROXIES, RATE, REQUESTS, OPEN = 40, 200, 20_000, 20


def microseconds(members: int) -> float:
    """For each request: its arrival and its outcome, with some in flight."""
    from loadbalancer.policy.actions import (
        Send,
    )
    from loadbalancer.policy.balancer import Balancer
    from loadbalancer.policy.events import (
        AttemptResult,
        EndpointEntry,
        EndpointList,
        Outcome,
        Request,
    )
    from loadbalancer.policy.settings import (
        PolicySettings,
        RequestClass,
    )

    balancer = Balancer(PolicySettings((RequestClass("track", 0.6, 1.5),), instance_count=PROXIES), seed=1)
    entries = tuple(EndpointEntry(f"s{n}", kind=n % 2) for n in range(members))
    now = 100.0
    balancer.handle(now, [EndpointList(entries)])
    out: list[tuple[int, str]] = []
    began = time.process_time()
    for request in range(REQUESTS):
        now += 1 / RATE
        for action in balancer.handle(now, [Request(request, 0, 1.5)]):
            if isinstance(action, Send):
                out.append((request, action.endpoint))
        if len(out) > OPEN:
            done, server = out.pop(0)
            report = {"utilization": 0.6}
            balancer.handle(now, [Outcome(done, 0, server, AttemptResult.SERVED, 0.1, True, report)])
    return (time.process_time() - began) / REQUESTS * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", default=".")
    sys.path.insert(0, parser.parse_args().root)
    few = microseconds(10)
    for members in (10, 60, 270):
        took = few if members == 10 else microseconds(members)
        print(f"{members:4} members {took:6.1f} us a request, {took / few:.2f} of 10 members")


if __name__ == "__main__":
    main()
