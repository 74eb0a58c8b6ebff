"""Long bodies: bytes a second beside a bare relay in one run, and memory while many are under way.

`python -m benchmarks.transfers`: answers of 32 MB by way of the proxy and of the relay, in turn; then 64 requests at
once that send 32 MB and get 32 MB, and the largest resident set of the proxy.
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

#: Answers of a turn, at once.
AT_ONCE = 4
#: Requests at once whose memory is looked at.
CROWD = 64


def exchange(address: str, number: int, upload: bool) -> None:
    """One request on a connection of its own, its answer read to the end. AssertionError where that is no 200."""
    host, port = address.rsplit(":", 1)
    lane, method = ("book", b"POST") if upload else ("track", b"GET")
    framing = b"Content-Length: %d\r\n" % BODY_BYTES if upload else b""
    head = b"%b / HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\nX-Lane: %b\r\nIdempotency-Key: %d\r\n%b\r\n"
    with socket.create_connection((host, int(port)), timeout=60) as sock:
        sock.sendall(head % (method, number, lane.encode(), number, framing))
        for _ in range(BODY_BYTES // len(CHUNK) if upload else 0):
            sock.sendall(CHUNK)
        room = bytearray(1 << 18)
        got = sock.recv_into(room)
        start = bytes(room[:got])
        assert start.startswith(b"HTTP/1.1 200"), start[:60]
        left = BODY_BYTES - (got - start.index(b"\r\n\r\n") - 4)
        while left > 0 and (got := sock.recv_into(room)):
            left -= got
        assert left == 0, f"{left} bytes are missing"


class Numbers:
    """Ids that no request had before, and how many exchanges came to their end."""

    def __init__(self) -> None:
        self.last = self.whole = 0

    def crowd(self, address: str, count: int, upload: bool) -> float:
        """So many exchanges at once; seconds that they took. SystemExit where one was not whole."""

        def one(number: int) -> None:
            exchange(address, number, upload)
            self.whole += 1

        before, began = self.whole, time.perf_counter()
        threads = []
        for _ in range(count):
            self.last += 1
            threads.append(threading.Thread(target=one, args=(self.last,)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        if self.whole - before != count:
            raise SystemExit(f"{count - (self.whole - before)} of {count} exchanges with {address} failed")
        return time.perf_counter() - began


def resident_mb(pid: int) -> float:
    """The largest resident set that a process has had."""
    (line,) = [
        line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmHWM:")
    ]
    return int(line.split()[1]) / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    numbers = Numbers()
    with process(2, "-m", "standins.long", "member") as child:
        member = read_line(child).strip()
        with process(1, "-m", "standins.long", "relay", member) as other:
            relay = read_line(other).strip()
            with platform_proxy(1, {"m": member}) as (proxy, pid):
                numbers.crowd(relay, 1, False)
                numbers.crowd(proxy, 1, False)
                idle = resident_mb(pid)
                shares, rates = [], []
                for number in range(options.rounds):
                    turns = [(relay, "relay"), (proxy, "proxy")][:: 1 if number % 2 else -1]
                    took = {name: numbers.crowd(address, AT_ONCE, False) for address, name in turns}
                    shares.append(took["relay"] / took["proxy"])
                    rates.append(AT_ONCE * BODY_BYTES / took["proxy"] / 1e6)
                print(
                    f"answers of 32 MB: {median(rates):.0f} MB/s, {median(shares):.2f} of a bare relay "
                    f"({min(shares):.2f} to {max(shares):.2f})"
                )
                took_all = numbers.crowd(proxy, CROWD, True)
                print(
                    f"{CROWD} bodies and answers of 32 MB at once: {took_all:.1f} s, resident "
                    f"{resident_mb(pid):.0f} MB at most, {idle:.0f} MB after the first answer"
                )


if __name__ == "__main__":
    main()
