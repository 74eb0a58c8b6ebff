"""Cost of an upgrade for concurrent clients: requests not served, and 99th percentile latency compared with before.

`python -m benchmarks.upgrades`: sixteen clients on keep-alive connections, with every tenth request on a new one, while
each process is replaced by a successor on a listening socket that this program owns.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from statistics import median, quantiles

from benchmarks.scene import ROOT, free_port, members, platform_configuration

CLIENTS = 16
#: Number of requests on a connection before the client opens a new one.
REQUESTS_PER_CONNECTION = 10
#: Seconds of load before each upgrade that its latencies are compared with.
BASELINE_S = 2.0


class Client(threading.Thread):
    """Sends one request after another; records each one's start, duration in seconds, and whether it was served."""

    def __init__(self, number: int, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.number, self.address, self.stop = number, address, False
        self.answers: list[tuple[float, float, bool]] = []
        self.failures: list[str] = []  # status or exception of each request not served

    def run(self) -> None:
        connection = http.client.HTTPConnection(*self.address, timeout=10)
        while not self.stop:
            if len(self.answers) % REQUESTS_PER_CONNECTION == 0:
                connection.close()
            headers = {"X-Txn": f"{self.number}-{len(self.answers)}", "X-Lane": "track"}
            began = time.monotonic()
            try:
                connection.request("GET", "/", headers=headers)
                answer = connection.getresponse()
                answer.read()
                is_served = answer.status == 200
                if not is_served:
                    self.failures.append(str(answer.status))
            except (OSError, http.client.HTTPException) as problem:
                is_served = False
                self.failures.append(type(problem).__name__)
                connection.close()
            self.answers.append((began, time.monotonic() - began, is_served))
            time.sleep(0.005)
        connection.close()


def start(
    folder: str, listening_socket: socket.socket, document: dict[str, object]
) -> subprocess.Popen[bytes]:
    """Start a process on the socket and return it once its operators' address reports that it is healthy."""
    management = f"127.0.0.1:{free_port()}"
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(document))
    environment = {
        **os.environ,
        "GW_CONFIG": str(path),
        "TMPDIR": folder,
        "GW_ACCEPT_FD": str(listening_socket.fileno()),
        "GW_MANAGEMENT": management,
    }
    child = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"],
        env=environment,
        cwd=ROOT,
        pass_fds=[listening_socket.fileno()],
        stderr=subprocess.DEVNULL,
    )
    while True:
        try:
            connection = http.client.HTTPConnection(management, timeout=5)
            connection.request("GET", "/admin/health")
            if connection.getresponse().status == 200:
                return child
        except OSError:
            if child.poll() is not None:
                raise SystemExit(
                    f"process {child.pid} ended before {management} reported that it is healthy"
                ) from None
        time.sleep(0.02)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    with (
        members(2, "--members", "4", "--body", "200") as addresses,
        tempfile.TemporaryDirectory() as folder,
        socket.create_server(("127.0.0.1", 0), backlog=1024) as listening_socket,
    ):
        host, port = listening_socket.getsockname()
        document = platform_configuration(f"{host}:{port}", addresses, sockets=512)
        running = start(folder, listening_socket, document)
        clients = [Client(number, (host, port)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        spans: list[tuple[float, float, float]] = []
        try:
            for _ in range(options.rounds):
                time.sleep(BASELINE_S)
                began = time.monotonic()
                successor = start(folder, listening_socket, document)
                running.send_signal(signal.SIGTERM)
                running.wait(30)
                running = successor
                spans.append((began - BASELINE_S, began, time.monotonic()))
        finally:
            for client in clients:
                client.stop = True
            for client in clients:
                client.join(10)
            running.kill()
            running.wait()
    failures = Counter(end for client in clients for end in client.failures)
    answers = [answer for client in clients for answer in client.answers]
    shares, failed_count = [], 0
    for before, began, ended in spans:
        baseline = [took for at, took, is_served in answers if before <= at < began and is_served]
        during = [took for at, took, is_served in answers if began <= at < ended and is_served]
        failed_count += sum(not is_served for at, _, is_served in answers if began <= at < ended)
        shares.append(quantiles(during, n=100)[98] / quantiles(baseline, n=100)[98])
    length = median(ended - began for _, began, ended in spans)
    print(
        f"{len(spans)} upgrades, {length:.1f} s each: {failed_count} requests not served {dict(failures) or ''}; "
        f"99th answer {median(shares):.2f} of that before ({min(shares):.2f} to {max(shares):.2f})"
    )


if __name__ == "__main__":
    main()
