"""Upgrades of a daemon and operators' changes under load, at seeded random moments, as seen by clients and members.

python -m benchmarks.upgrading [--upgrades 100] [--changes 500] [--connections 10000] [--seed 1]

Closed-loop clients, some on keep-alive connections and some on new ones; three members, of which one always fails.
Counted: requests without an answer, answers by status, traffic to a member from half a second after the answer to its
cordon, processes and files left over. Measured: the 99th percentile latency during upgrades, divided by that between
them; the failing member's share right after an upgrade; and how long a daemon with many idle connections takes to hand
over.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from standins.member import Member
from standins.processes import start

ROOT = Path(__file__).parent.parent
CONFIG = """\
[process]
descriptors = {descriptors}
memory = "512MiB"
[management]
socket = "s"
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
[[listener]]
name = "main"
address = "127.0.0.1:{port}"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
[[pool]]
name = "p"
rules = {{ new_members = "warm", cold_time = "100ms" }}
"""
#: Seconds after the answer to a cordon from which the member may get no request.
CORDON_EFFECT_S = 0.5
CLIENTS = 8


class Load:
    """Runs clients and records their results; latencies during upgrades are recorded separately."""

    def __init__(self, port: int) -> None:
        self.port, self.stopped, self.upgrading = port, False, False
        self.results: Counter[str] = Counter()
        self.times: dict[bool, list[float]] = {True: [], False: []}
        self.by_member: list[tuple[float, str]] = []  # time and member of each answer

    async def client(self, requests_per_connection: int) -> None:
        """Send requests until stopped, at most `requests_per_connection` on each connection."""
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.results["a closed door"] += 1
                continue
            for number in range(requests_per_connection):
                if self.stopped or not await self.send_request(reader, writer, number):
                    break
            writer.close()

    async def send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        began, upgrading = time.perf_counter(), self.upgrading
        try:
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(
                int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
            )
        except (OSError, asyncio.IncompleteReadError):
            self.results["crossed a close" if number else "lost"] += 1
            return False
        self.results[head[9:12].decode()] += 1
        self.times[upgrading].append(time.perf_counter() - began)
        if head[9:12] == b"200":
            self.by_member.append((time.time(), json.loads(body)["member"]))
        else:
            self.by_member.append((time.time(), "sick"))
        await asyncio.sleep(0.002)
        return b"connection: close" not in head.lower()


async def call(folder: Path, verb: str, **body: Any) -> tuple[int, Any]:
    reader, writer = await asyncio.open_unix_connection(str(folder / "s"))
    data = json.dumps({"by": "bench", "pool": "p", **body}).encode()
    writer.write(b"POST /v1/%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (verb.encode(), len(data), data))
    found = await reader.read()
    writer.close()
    head, _, rest = found.partition(b"\r\n\r\n")
    return int(head[9:12]), json.loads(rest)


class CordonChanges:
    """Cordons members at random; from half a second after the answer, a cordoned member must get no request."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.random = folder, random.Random(seed)
        self.out: list[tuple[float, float, str]] = []  # start, end and member of each cordon
        self.done = self.failed = 0

    async def run(self, count: int, load: Load) -> None:
        """Cordon one member at a time, each for 0.05 s to 1 s, until `count` changes are done."""
        while self.done < count and not load.stopped:
            member = self.random.choice(("m1", "m2"))
            if not await self.change("cordon", member):
                continue
            since = time.time()
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            until = time.time()
            while not await self.change("uncordon", member):
                until = time.time()
            self.out.append((since + CORDON_EFFECT_S, until, member))
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def change(self, verb: str, member: str) -> bool:
        """Return whether the change succeeded; count a connection closed by a daemon that is being replaced."""
        try:
            status, _ = await call(self.folder, verb, member=member)
        except (OSError, ValueError):
            self.failed += 1
            await asyncio.sleep(0.02)
            return False
        self.done += 1
        return status == 200

    def count_violations(self, load: Load) -> int:
        return sum(
            since < at < until and name == member
            for at, name in load.by_member
            for since, until, member in self.out
        )


async def upgrade(path: Path, load: Load) -> tuple[bool, float, int]:
    load.upgrading, began = True, time.perf_counter()
    made = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer.cli",
        "upgrade",
        "-c",
        str(path),
        "--timeout",
        "60",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        cwd=ROOT,
    )
    assert made.stdout is not None
    out = await made.stdout.read()
    is_ok = await made.wait() == 0
    took = time.perf_counter() - began
    await asyncio.sleep(0.2)
    load.upgrading = False
    return is_ok, took, int(out.split()[1]) if is_ok else 0


def percentile_99(times: list[float]) -> float:
    return sorted(times)[int(0.99 * (len(times) - 1))]


def is_running(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


async def members() -> list[Member]:
    made = [Member(f"m{number}") for number in range(3)]
    made[0].behaviour.status = 500
    for member in made:
        await member.start()
    return made


def write_configuration(folder: Path, stand_ins: list[Member]) -> tuple[Path, int]:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    path = folder / "c.toml"
    rows = "".join(f'[[pool.member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in stand_ins)
    path.write_text(
        CONFIG.format(port=port, descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0]) + rows
    )
    return path, port


async def run_upgrades(upgrades: int, changes: int, seed: int) -> None:
    draws = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        stand_ins = await members()
        path, port = write_configuration(folder, stand_ins)
        first = await start(path)
        load, cordons = Load(port), CordonChanges(folder, seed)
        tasks = [asyncio.ensure_future(load.client(1 if number % 2 else 50)) for number in range(CLIENTS)]
        await asyncio.sleep(2.0)
        change_task = asyncio.ensure_future(cordons.run(changes, load))
        pids, took, after = [first.pid], [], [0, 0]
        for _ in range(upgrades):
            await asyncio.sleep(draws.uniform(0.2, 1.5))
            is_ok, seconds, pid = await upgrade(path, load)
            if not is_ok:
                load.results["an upgrade that failed"] += 1
                continue
            pids.append(pid)
            took.append(seconds)
            latest = [member for at, member in load.by_member if at > time.time() - 0.2]
            after[0] += latest.count("sick")
            after[1] += len(latest)
        before = [member for at, member in load.by_member[: len(load.by_member) // 4]]
        at_start = [before.count("sick"), len(before)]
        await change_task
        load.stopped = True
        await asyncio.gather(*tasks)
        os.kill(pids[-1], signal.SIGTERM)
        await first.wait()
        while any(is_running(pid) for pid in pids):
            await asyncio.sleep(0.05)
        left = sorted(path.name for path in folder.iterdir() if path.name != "c.toml")
        for member in stand_ins:
            await member.stop()
    asked = sum(load.results.values())
    print(
        f"{len(took)} upgrades of {sum(took) / len(took):.2f} s each, {cordons.done} changes, {asked} requests: "
        f"{dict(load.results)}"
    )
    print(
        f"calls that met a daemon going: {cordons.failed}; answers of members that were out: "
        f"{cordons.count_violations(load)}; files left: {left}; processes left: 0"
    )
    within, between = percentile_99(load.times[True]), percentile_99(load.times[False])
    print(
        f"99th answer within upgrades {1e3 * within:.1f} ms, between them {1e3 * between:.1f} ms: "
        f"{within / between:.2f}"
    )
    print(
        f"the failing member's share right after an upgrade {after[0] / max(1, after[1]):.3f}, in the first quarter "
        f"of all {at_start[0] / max(1, at_start[1]):.3f} (even: 0.333)"
    )


async def measure_idle_handover(count: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        stand_ins = await members()
        path, port = write_configuration(folder, stand_ins)
        old = await start(path)
        held = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            held.append(writer)
        load = Load(port)
        is_ok, took, pid = await upgrade(path, load)
        began = time.perf_counter()
        await old.wait()
        print(
            f"{count} idle connections: handed over in {took:.2f} s ({'good' if is_ok else 'failed'}), the old daemon "
            f"had ended {time.perf_counter() - began:.1f} s after that"
        )
        os.kill(pid, signal.SIGTERM)
        while is_running(pid):
            await asyncio.sleep(0.05)
        for member in stand_ins:
            await member.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upgrades", type=int, default=100)
    parser.add_argument("--changes", type=int, default=500)
    parser.add_argument("--connections", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    if parsed.upgrades:
        uvloop.run(run_upgrades(parsed.upgrades, parsed.changes, parsed.seed))
    if parsed.connections:
        uvloop.run(measure_idle_handover(parsed.connections))


if __name__ == "__main__":
    main()
