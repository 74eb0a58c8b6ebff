"""Requests per second on one core for each combination of HTTP and FastCGI: `python -m benchmarks.fastcgi`.

Each round runs the four combinations, and ratios are to HTTP on both sides in the same round. Also measures the memory
of an idle and of a busy connection, as the growth of the proxy's resident set over many connections.
"""

from __future__ import annotations

import argparse
import asyncio
from contextlib import ExitStack
from pathlib import Path
from statistics import median
from typing import Any, Sequence

from benchmarks.scene import clients, daemon, members, one_pool, ratios, tables
from standins.clients import fastcgi_request, plain_request

PROTOCOLS = ("http/1.1", "fastcgi")
CONNECTIONS = 400


def config(front: str, member: str) -> str:
    return one_pool(f'protocol = "{front}"', f'protocol = "{member}"')


def read_resident_bytes(pid: int) -> int:
    """Return the resident set of a process in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) << 10


async def measure_connection(address: str, pid: int, request: bytes, answered: bool) -> float:
    """Return the proxy's memory per connection in bytes, after an answer (`answered`) or while it is outstanding.

    As many connections are opened first and stay open, so that one-time growth and reusable memory aren't counted.
    """
    host, _, port = address.rpartition(":")
    writers: list[asyncio.StreamWriter] = []
    sizes = []
    for _ in range(2):
        for _ in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writers.append(writer)
            writer.write(request)
            if answered:
                await reader.read(65536)
        await asyncio.sleep(0.3)
        sizes.append(read_resident_bytes(pid))
    for writer in writers:
        writer.close()
    return (sizes[1] - sizes[0]) / CONNECTIONS


def memory(healthy: dict[str, str], hanging: dict[str, str]) -> None:
    for front in PROTOCOLS:
        request = (plain_request if front == "http/1.1" else fastcgi_request)("/")()
        for kind, addresses, answered in (("idle", healthy, True), ("busy", hanging, False)):
            text = config(front, "http/1.1") + tables(addresses)
            with daemon(1, text) as (listeners, pid):
                bytes_per_connection = asyncio.run(
                    measure_connection(listeners["main"], pid, request, answered)
                )
                print(
                    f"{front} front: {bytes_per_connection / 1024:.1f} KiB for one {kind} connection",
                    flush=True,
                )


def start_members(stack: ExitStack, cores: Sequence[int], *arguments: str) -> dict[str, str]:
    """Start members on several cores: the Python stand-ins need more time for a FastCGI request than the proxy."""
    addresses: dict[str, str] = {}
    for core in cores:
        command = ("--members", "4", "--body", "200", *arguments)
        for name, address in stack.enter_context(members(core, *command)).items():
            addresses[f"{name}-{core}"] = address
    return addresses


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    options = parser.parse_args()
    load = ["--seconds", str(options.seconds), "--connections", "16"]
    rows: dict[tuple[str, str], list[dict[str, Any]]] = {(f, m): [] for f in PROTOCOLS for m in PROTOCOLS}
    with ExitStack() as stack:
        http = start_members(stack, (2, 4))
        fcgi = start_members(stack, (5, 6), "--fastcgi")
        hanging = stack.enter_context(members(7, "--members", "4", "--hang"))
        for _ in range(options.rounds):
            for front, member in rows:
                addresses = http if member == "http/1.1" else fcgi
                with daemon(1, config(front, member) + tables(addresses)) as (
                    listeners,
                    pid,
                ):
                    protocol_arguments = ["--fastcgi"] if front == "fastcgi" else []
                    result = clients(3, listeners["main"], *load, *protocol_arguments, pid=pid)
                if set(result["statuses"]) != {"200"} or result["lost"]:
                    raise SystemExit(
                        f"{front} to {member}: expected only status 200 and nothing lost, found {result}"
                    )
                rows[front, member].append(result)
        first = rows[PROTOCOLS[0], PROTOCOLS[0]]
        for (front, member), results in rows.items():
            rate, work = ratios(results, first)
            used = median(r["per_s"] * r["cpu_us"] / 1e4 for r in results)
            print(
                f"{front} to {member}: {median(r['per_s'] for r in results):.0f}/s at "
                f"{median(r['cpu_us'] for r in results):.0f} us, its core {used:.0f} % in use; ratio "
                f"{median(rate):.2f} ({min(rate):.2f} to {max(rate):.2f}), by processor time {median(work):.2f}; "
                f"wanted 0.8",
                flush=True,
            )
        memory(http, hanging)


if __name__ == "__main__":
    main()
