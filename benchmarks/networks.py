"""Whether an address is in a set of networks: the radix tree beside going through them one by one, in one run.

python -m benchmarks.networks
"""

from __future__ import annotations

import ipaddress
import random
import statistics
import time
import tracemalloc
from typing import Callable

from loadbalancer.admission.networks import Networks

ADDRESSES = 1000
TURNS = 5


def time_of(question: Callable[[str], bool], peers: list[str]) -> float:
    """Microseconds for each address."""
    began = time.perf_counter()
    for peer in peers:
        question(peer)
    return (time.perf_counter() - began) / len(peers) * 1e6


def measure(count: int) -> str:
    draws = random.Random(count)
    plain = [ipaddress.ip_network((draws.getrandbits(32) & ~0xFF, 24)) for _ in range(count)]
    peers = [str(ipaddress.ip_address(draws.getrandbits(32))) for _ in range(ADDRESSES)]
    tracemalloc.start()
    tree = Networks(plain)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def one_by_one(peer: str) -> bool:
        address = ipaddress.ip_address(peer)
        return any(address in network for network in plain)

    mine, theirs = [], []
    for _ in range(TURNS):
        mine.append(time_of(tree.__contains__, peers))
        theirs.append(time_of(one_by_one, peers[: max(20, 20_000 // count)]))
    a, b = statistics.median(mine), statistics.median(theirs)
    return (
        f"{count:5} networks: tree {a:6.2f} us, one by one {b:8.2f} us, ratio {b / a:7.1f}; "
        f"{held // 1024} KiB in Python"
    )


def main() -> None:
    for count in (1, 2, 16, 256, 4096):
        print(measure(count))


if __name__ == "__main__":
    main()
