"""Cost and latency of operators' calls under full load, and throughput of small requests against the build before.

`python -m benchmarks.operators` alternates the two builds. During the load of the current one, an operator reads the
statistics fifty times a second, and twice as many callers as are allowed each keep an unfinished call open.
"""

from __future__ import annotations

import http.client
import socket
import threading
import time
from contextlib import ExitStack
from statistics import median, quantiles
from typing import Any

from benchmarks.scene import arguments, checkout, clients, free_port, members, platform_proxy, ratios

#: The last revision without an operators' address.
BASE = "1a46bd5"
#: Number of callers with an unfinished call.
HALF_OPEN_CALLS = 32
#: Seconds between two reads of the statistics.
POLL_INTERVAL_S = 0.02


class Operator(threading.Thread):
    """Reads the statistics until stopped, and records the latency of each answer in seconds."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self.address, self.stop = address, False
        self.took: list[float] = []
        self.failures = 0

    def run(self) -> None:
        while not self.stop:
            began = time.perf_counter()
            connection = http.client.HTTPConnection(self.address, timeout=10)
            try:
                connection.request("GET", "/admin/stats")
                self.failures += connection.getresponse().status != 200
            except (OSError, http.client.HTTPException):
                self.failures += 1
            connection.close()
            self.took.append(time.perf_counter() - began)
            time.sleep(POLL_INTERVAL_S)


def run_with_operators(addresses: dict[str, str], load: list[str]) -> tuple[dict[str, Any], Operator]:
    """Run one round of the current build with operators' calls."""
    management = f"127.0.0.1:{free_port()}"
    host, port = management.split(":")
    with platform_proxy(1, addresses, management=management) as (address, pid), ExitStack() as stack:
        for _ in range(HALF_OPEN_CALLS):
            sock = stack.enter_context(socket.create_connection((host, int(port))))
            sock.sendall(b"GET /admin/stats HTTP/1.1\r\nHo")
        operator = Operator(management)
        operator.start()
        result = clients(3, address, "--platform", *load, pid=pid)
        operator.stop = True
        operator.join()
        return result, operator


def main() -> None:
    options = arguments(__doc__, BASE, connections=64)
    load = ["--seconds", str(options.seconds), "--connections", str(options.connections)]
    rows: dict[str, list[dict[str, Any]]] = {"before": [], "now": [], "operated": []}
    took: list[float] = []
    failures = 0
    with checkout(options.base) as tree, members(2, "--members", "4", "--body", "200") as addresses:
        for number in range(options.rounds):
            with platform_proxy(1, addresses, tree) as (address, pid):
                rows["before"].append(clients(3, address, "--platform", *load, pid=pid))
            with platform_proxy(1, addresses) as (address, pid):
                rows["now"].append(clients(3, address, "--platform", *load, pid=pid))
            result, operator = run_with_operators(addresses, load)
            rows["operated"].append(result)
            took += operator.took
            failures += operator.failures
            print(f"round {number + 1}: " + ", ".join(f"{n} {r[-1]['per_s']:.0f}/s" for n, r in rows.items()))
    for name, other in (("now", "before"), ("operated", "now")):
        rate, work = ratios(rows[name], rows[other])
        print(f"{name} / {other}: requests a second {median(rate):.3f}, by processor time {median(work):.3f}")
    cuts = quantiles(took, n=100)
    print(
        f"operators: {len(took)} reads, {failures} bad; median {median(took) * 1e3:.1f}, 99th {cuts[98] * 1e3:.1f}, "
        f"worst {max(took) * 1e3:.1f} ms"
    )


if __name__ == "__main__":
    main()
