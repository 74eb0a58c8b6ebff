"""What operators cost and get: their answers under full load, and small requests against the build before.

`python -m benchmarks.operators` plays the two builds in turn. Beside the load of the present one somebody reads the
figures fifty times a second, and twice as many callers as there is room for hold half a call each.
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
#: Callers that hold half a call.
HOLDERS = 32
#: Seconds between two reads of the figures.
EVERY_S = 0.02


class Operator(threading.Thread):
    """Reads the figures until told to stop; how long each answer took, in seconds."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self.address, self.stop = address, False
        self.took: list[float] = []
        self.bad = 0

    def run(self) -> None:
        while not self.stop:
            began = time.perf_counter()
            connection = http.client.HTTPConnection(self.address, timeout=10)
            try:
                connection.request("GET", "/admin/stats")
                self.bad += connection.getresponse().status != 200
            except (OSError, http.client.HTTPException):
                self.bad += 1
            connection.close()
            self.took.append(time.perf_counter() - began)
            time.sleep(EVERY_S)


def operated(addresses: dict[str, str], load: list[str]) -> tuple[dict[str, Any], Operator]:
    """One round of the present build, with its operators."""
    management = f"127.0.0.1:{free_port()}"
    host, port = management.split(":")
    with platform_proxy(1, addresses, management=management) as (address, pid), ExitStack() as held:
        for _ in range(HOLDERS):
            sock = held.enter_context(socket.create_connection((host, int(port))))
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
    bad = 0
    with checkout(options.base) as tree, members(2, "--members", "4", "--body", "200") as addresses:
        for number in range(options.rounds):
            with platform_proxy(1, addresses, tree) as (address, pid):
                rows["before"].append(clients(3, address, "--platform", *load, pid=pid))
            with platform_proxy(1, addresses) as (address, pid):
                rows["now"].append(clients(3, address, "--platform", *load, pid=pid))
            result, operator = operated(addresses, load)
            rows["operated"].append(result)
            took += operator.took
            bad += operator.bad
            print(f"round {number + 1}: " + ", ".join(f"{n} {r[-1]['per_s']:.0f}/s" for n, r in rows.items()))
    for name, other in (("now", "before"), ("operated", "now")):
        rate, work = ratios(rows[name], rows[other])
        print(f"{name} / {other}: requests a second {median(rate):.3f}, by processor time {median(work):.3f}")
    cuts = quantiles(took, n=100)
    print(
        f"operators: {len(took)} reads, {bad} bad; median {median(took) * 1e3:.1f}, 99th {cuts[98] * 1e3:.1f}, "
        f"worst {max(took) * 1e3:.1f} ms"
    )


if __name__ == "__main__":
    main()
