"""What an upgrade costs those who ask meanwhile: requests not served, and the 99th answer beside that of before.

`python -m benchmarks.upgrades`: sixteen clients on kept connections, every tenth request on a new one, while one
process after another replaces the one before it on a socket that this program holds.
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
#: Requests on a connection before the client opens a new one.
KEPT = 10
#: Seconds of load before each upgrade, as long as what it is compared with.
CALM_S = 2.0


class Client(threading.Thread):
    """Asks one request after the other; when each began, how long it took, in seconds, and whether it was served."""

    def __init__(self, number: int, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.number, self.address, self.stop = number, address, False
        self.answers: list[tuple[float, float, bool]] = []
        self.ends: list[str] = []  # of those that were not served

    def run(self) -> None:
        connection = http.client.HTTPConnection(*self.address, timeout=10)
        while not self.stop:
            if len(self.answers) % KEPT == 0:
                connection.close()
            headers = {"X-Txn": f"{self.number}-{len(self.answers)}", "X-Lane": "track"}
            began = time.monotonic()
            try:
                connection.request("GET", "/", headers=headers)
                answer = connection.getresponse()
                answer.read()
                good = answer.status == 200
                if not good:
                    self.ends.append(str(answer.status))
            except (OSError, http.client.HTTPException) as problem:
                good = False
                self.ends.append(type(problem).__name__)
                connection.close()
            self.answers.append((began, time.monotonic() - began, good))
            time.sleep(0.005)
        connection.close()


def start(folder: str, sock: socket.socket, box: dict[str, object]) -> subprocess.Popen[bytes]:
    """One more process on the socket, once its operators' address has said yes."""
    management = f"127.0.0.1:{free_port()}"
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(box))
    environment = {
        **os.environ,
        "GW_CONFIG": str(path),
        "TMPDIR": folder,
        "GW_ACCEPT_FD": str(sock.fileno()),
        "GW_MANAGEMENT": management,
    }
    child = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"],
        env=environment,
        cwd=ROOT,
        pass_fds=[sock.fileno()],
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
                raise SystemExit("a process ended before its yes") from None
        time.sleep(0.02)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    with (
        members(2, "--members", "4", "--body", "200") as addresses,
        tempfile.TemporaryDirectory() as folder,
        socket.create_server(("127.0.0.1", 0), backlog=1024) as sock,
    ):
        host, port = sock.getsockname()
        box = platform_configuration(f"{host}:{port}", addresses, sockets=512)
        running = start(folder, sock, box)
        clients = [Client(number, (host, port)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        spans: list[tuple[float, float, float]] = []
        try:
            for _ in range(options.rounds):
                time.sleep(CALM_S)
                began = time.monotonic()
                successor = start(folder, sock, box)
                running.send_signal(signal.SIGTERM)
                running.wait(30)
                running = successor
                spans.append((began - CALM_S, began, time.monotonic()))
        finally:
            for client in clients:
                client.stop = True
            for client in clients:
                client.join(10)
            running.kill()
            running.wait()
    ends = Counter(end for client in clients for end in client.ends)
    answers = [answer for client in clients for answer in client.answers]
    shares, doors = [], 0
    for before, began, ended in spans:
        calm = [took for at, took, good in answers if before <= at < began and good]
        during = [took for at, took, good in answers if began <= at < ended and good]
        doors += sum(not good for at, _, good in answers if began <= at < ended)
        shares.append(quantiles(during, n=100)[98] / quantiles(calm, n=100)[98])
    length = median(ended - began for _, began, ended in spans)
    print(
        f"{len(spans)} upgrades, {length:.1f} s each: {doors} requests not served {dict(ends) or ''}; "
        f"99th answer {median(shares):.2f} of that before ({min(shares):.2f} to {max(shares):.2f})"
    )


if __name__ == "__main__":
    main()
