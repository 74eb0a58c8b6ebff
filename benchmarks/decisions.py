"""Processor time of the policy's decisions per request with 10, 60 and 270 members, and the ratios in one run.

    python -m benchmarks.decisions [--root FOLDER]

`--root` is another checkout, whose code is measured instead of this one; alternate runs to compare the two.
"""

from __future__ import annotations

import argparse
import sys
import time

PROXIES, RATE, REQUESTS, MAX_IN_FLIGHT = 40, 200, 20_000, 20


def microseconds(members: int) -> float:
    """Return the processor time per request, in microseconds, for its arrival and its outcome."""
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
    in_flight: list[tuple[int, str]] = []
    began = time.process_time()
    for request in range(REQUESTS):
        now += 1 / RATE
        for action in balancer.handle(now, [Request(request, 0, 1.5)]):
            if isinstance(action, Send):
                in_flight.append((request, action.endpoint))
        if len(in_flight) > MAX_IN_FLIGHT:
            done, endpoint = in_flight.pop(0)
            report = {"utilization": 0.6}
            balancer.handle(now, [Outcome(done, 0, endpoint, AttemptResult.SERVED, 0.1, True, report)])
    return (time.process_time() - began) / REQUESTS * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", default=".")
    sys.path.insert(0, parser.parse_args().root)
    baseline = microseconds(10)
    for members in (10, 60, 270):
        duration_us = baseline if members == 10 else microseconds(members)
        print(
            f"{members:4} members {duration_us:6.1f} us a request, {duration_us / baseline:.2f} of 10 members"
        )


if __name__ == "__main__":
    main()
