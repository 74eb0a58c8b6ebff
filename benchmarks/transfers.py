"""Long bodies: throughput compared with a bare relay in one run, and memory with many transfers in flight.

`python -m benchmarks.transfers`: answers of 32 MB through the proxy and through the relay, alternating; then 64
concurrent requests that send 32 MB and receive 32 MB, and the proxy's peak resident set.
"""

from __future__ import annotations

import argparse
import socket
import threading
import time
from pathlib import Path
from statistics import median

from benchmarks.scene import platform_proxy, process, read_line
from standins.long import BODY_BYTES, CHUNK

#: Number of concurrent answers in each measurement of throughput.
CONCURRENT_ANSWERS = 4
#: Number of concurrent requests in the measurement of memory.
MEMORY_TEST_REQUESTS = 64


def exchange(address: str, number: int, upload: bool) -> None:
    """Send a request on a new connection and read its answer to the end; fail unless it is a complete 200."""
    host, port = address.rsplit(":", 1)
    lane, method = ("book", b"POST") if upload else ("track", b"GET")
    framing = b"Content-Length: %d\r\n" % BODY_BYTES if upload else b""
    head = b"%b / HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\nX-Lane: %b\r\nIdempotency-Key: %d\r\n%b\r\n"
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        sock.sendall(head % (method, number, lane.encode(), number, framing))
        for _ in range(BODY_BYTES // len(CHUNK) if upload else 0):
            sock.sendall(CHUNK)
        buffer = bytearray(1 << 18)
        received = sock.recv_into(buffer)
        start = bytes(buffer[:received])
        assert start.startswith(b"HTTP/1.1 200"), start[:60]
        remaining = BODY_BYTES - (received - start.index(b"\r\n\r\n") - 4)
        while remaining > 0 and (received := sock.recv_into(buffer)):
            remaining -= received
        assert remaining == 0, f"expected {BODY_BYTES} bytes, {remaining} bytes are missing"


class ExchangeRunner:
    """Runs exchanges with unique ids, and counts those that completed."""

    def __init__(self) -> None:
        self.last_id = self.completed = 0

    def run_concurrently(self, address: str, count: int, upload: bool) -> float:
        """Run exchanges concurrently and return the seconds that they took; raise SystemExit if one was incomplete."""

        def run_one(number: int) -> None:
            exchange(address, number, upload)
            self.completed += 1

        before, began = self.completed, time.perf_counter()
        threads = []
        for _ in range(count):
            self.last_id += 1
            threads.append(threading.Thread(target=run_one, args=(self.last_id,)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        if self.completed - before != count:
            raise SystemExit(
                f"{count - (self.completed - before)} of {count} exchanges with {address} failed"
            )
        return time.perf_counter() - began


def read_peak_resident_mb(pid: int) -> float:
    """Return the peak resident set of a process in MiB."""
    (line,) = [
        line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmHWM:")
    ]
    return int(line.split()[1]) / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    runner = ExchangeRunner()
    with process(2, "-m", "standins.long", "member") as member_process:
        member = read_line(member_process).strip()
        with process(1, "-m", "standins.long", "relay", member) as relay_process:
            relay = read_line(relay_process).strip()
            with platform_proxy(1, {"m": member}) as (proxy, pid):
                runner.run_concurrently(relay, 1, False)
                runner.run_concurrently(proxy, 1, False)
                idle = read_peak_resident_mb(pid)
                shares, rates = [], []
                for number in range(options.rounds):
                    order = [(relay, "relay"), (proxy, "proxy")][:: 1 if number % 2 else -1]
                    took = {
                        name: runner.run_concurrently(address, CONCURRENT_ANSWERS, False)
                        for address, name in order
                    }
                    shares.append(took["relay"] / took["proxy"])
                    rates.append(CONCURRENT_ANSWERS * BODY_BYTES / took["proxy"] / 1e6)
                print(
                    f"answers of 32 MB: {median(rates):.0f} MB/s, {median(shares):.2f} of a bare relay "
                    f"({min(shares):.2f} to {max(shares):.2f})"
                )
                took_all = runner.run_concurrently(proxy, MEMORY_TEST_REQUESTS, True)
                print(
                    f"{MEMORY_TEST_REQUESTS} bodies and answers of 32 MB at once: {took_all:.1f} s, resident "
                    f"{read_peak_resident_mb(pid):.0f} MB at most, {idle:.0f} MB after the first answer"
                )


if __name__ == "__main__":
    main()
