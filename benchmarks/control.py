"""Cost of operators' calls and of logging: rate and latency of calls under load, and of a log line at info.

python -m benchmarks.control [--seconds 4]
"""

from __future__ import annotations

import argparse
import asyncio
import io
import json
import statistics
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.scene import DiscardingLogger
from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.daemon.logs import StructuredLogger
from standins.member import Fleet

CONFIG = """\
[management]
socket = "s"
[[listener]]
name = "main"
address = "127.0.0.1:0"
[[route]]
name = "r"
prefix = "/"
pool = "p"
[[pool]]
name = "p"
rules = { new_members = "warm" }
"""
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def run_client(address: tuple[str, int], end_time: float, times: list[float]) -> None:
    reader, writer = await asyncio.open_connection(*address)
    while time.perf_counter() < end_time:
        began = time.perf_counter()
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
        times.append(time.perf_counter() - began)
    writer.close()


async def run_operator(path: str, end_time: float, times: list[float]) -> None:
    number = 0
    while time.perf_counter() < end_time:
        began = time.perf_counter()
        reader, writer = await asyncio.open_unix_connection(path)
        verb = "cordon" if number % 2 else "uncordon"
        body = json.dumps({"by": "bench", "pool": "p", "member": "m1"}).encode()
        writer.write(
            b"POST /v1/%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (verb.encode(), len(body), body)
        )
        await reader.read()
        writer.close()
        times.append(time.perf_counter() - began)
        number += 1


def p99(times: list[float]) -> float:
    return sorted(times)[int(0.99 * (len(times) - 1))]


async def run(seconds: float) -> None:
    fleet = Fleet(6)
    await fleet.start()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "c.toml"
        path.write_text(CONFIG + fleet.tables())
        daemon = Daemon(DiscardingLogger(), seed=1)
        daemon.apply(load(path))
        address = daemon.listeners["main"].address
        alone: list[float] = []
        busy: list[float] = []
        calls: list[float] = []
        for _ in range(3):
            end_time = time.perf_counter() + seconds / 3
            await asyncio.gather(*(run_client(address, end_time, alone) for _ in range(8)))
            end_time = time.perf_counter() + seconds / 3
            await asyncio.gather(
                *(run_client(address, end_time, busy) for _ in range(8)),
                run_operator(str(Path(folder) / "s"), end_time, calls),
            )
        print(
            f"requests' 99th: {1e3 * p99(alone):.2f} ms alone, {1e3 * p99(busy):.2f} ms beside changes "
            f"(ratio {p99(busy) / p99(alone):.2f}); rate {len(busy) / len(alone):.2f} of alone"
        )
        print(
            f"changes: {len(calls) / seconds:.0f} a second one after another beside full load, median "
            f"{1e3 * statistics.median(calls):.1f} ms, 99th {1e3 * p99(calls):.1f} ms"
        )
        daemon.close()
    await fleet.stop()
    log = StructuredLogger("json", out=io.StringIO())
    began = time.perf_counter()
    for number in range(4000):
        log(f"kind-{number}", "a line at info")
    print(f"a line of the log: {(time.perf_counter() - began) / 4000 * 1e6:.1f} us; a request writes none")
    log.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    uvloop.run(run(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
