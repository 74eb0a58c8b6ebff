"""Lookup of an address in a set of networks: the radix tree compared with a linear search, in one run.

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
ROUNDS = 5


def measure_lookup_us(contains: Callable[[str], bool], peers: list[str]) -> float:
    """Return microseconds per lookup."""
    began = time.perf_counter()
    for peer in peers:
        contains(peer)
    return (time.perf_counter() - began) / len(peers) * 1e6


def measure(count: int) -> str:
    random_source = random.Random(count)
    networks = [ipaddress.ip_network((random_source.getrandbits(32) & ~0xFF, 24)) for _ in range(count)]
    peers = [str(ipaddress.ip_address(random_source.getrandbits(32))) for _ in range(ADDRESSES)]
    tracemalloc.start()
    tree = Networks(networks)
    tree_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def one_by_one(peer: str) -> bool:
        address = ipaddress.ip_address(peer)
        return any(address in network for network in networks)

    tree_times, scan_times = [], []
    for _ in range(ROUNDS):
        tree_times.append(measure_lookup_us(tree.__contains__, peers))
        scan_times.append(measure_lookup_us(one_by_one, peers[: max(20, 20_000 // count)]))
    tree_us, scan_us = statistics.median(tree_times), statistics.median(scan_times)
    return (
        f"{count:5} networks: tree {tree_us:6.2f} us, one by one {scan_us:8.2f} us, ratio {scan_us / tree_us:7.1f}; "
        f"{tree_bytes // 1024} KiB in Python"
    )


def main() -> None:
    for count in (1, 2, 16, 256, 4096):
        print(measure(count))


if __name__ == "__main__":
    main()
