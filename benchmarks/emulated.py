"""The emulator compared with real sockets: service by class in the same small scene, to agree within five points.

python -m benchmarks.emulated [--seconds 8]

Members have one worker each, which takes the scenario's log-normal service times one after another; requests arrive as
a Poisson process and are retried as the scenario says. On sockets, a daemon is the proxy between them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

import uvloop

from benchmarks.scene import DiscardingLogger
from emulator.draws import Draws
from emulator.play import play
from emulator.scenario import ClassPart, Scenario, at_times, build
from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon

SCENE = {
    "name": "beside sockets", "ignore": 2.0,
    "class": [{"name": "track", "share": 0.6, "aim": 0.3, "deadline": 0.8, "worth": 3.0, "work": 0.02},
              {"name": "book", "share": 0.4, "aim": 0.6, "deadline": 2.0, "worth": 10.0, "work": 0.03,
               "effect": "keyed", "dedup_window": 3.0}],
    "clients": {"rate": 1.0, "retries": 1, "honour": 0.0, "wait": [0.05, 0.1]},
    "member": [{"count": 6, "workers": 1, "backlog": 1000}],
    "proxy": {"count": 1, "attempts": 3, "retry_after": 0.0, "handshake": 0.0, "idle": 64},
}  # fmt: skip
CONFIG = """\
[process]
memory = "256MiB"
descriptors = 4096
{classes}
[[listener]]
name = "main"
address = "127.0.0.1:0"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "track"
write_class = "book"
[[pool]]
name = "p"
load_header = "X-Load"
rules = {{ new_members = "warm" }}
limits = {{ attempts = 3 }}
"""


class SocketMember:
    """A member on a socket that runs one request at a time."""

    def __init__(self, scenario: Scenario, seed: int, number: int) -> None:
        draws = Draws(seed)
        self.work = {
            c.name: (c.work, draws.work("work", c.name, number, spread=c.spread)) for c in scenario.class_
        }
        self.worker_lock = asyncio.Lock()
        self.busy, self.window = 0.0, (time.monotonic(), 0.0)
        self.utilization = 0.0
        self.executed = 0

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                mean, draw = self.work["book" if head.startswith(b"POST") else "track"]
                if head.startswith(b"POST"):
                    await reader.readexactly(1)
                async with self.worker_lock:
                    if reader.at_eof():
                        return
                    spent = mean * draw()
                    self.executed += 1
                    await asyncio.sleep(spent)
                    self.busy += spent
                writer.write(b"HTTP/1.1 200 OK\r\nX-Load: %b\r\nContent-Length: 2\r\n\r\nok" % self.report())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def report(self) -> bytes:
        window_start, busy = self.window
        now = time.monotonic()
        if now - window_start >= 0.05:
            self.utilization = min(1.0, (self.busy - busy) / (now - window_start))
            self.window = now, self.busy
        return json.dumps({"utilization": round(self.utilization, 3)}).encode()


class Clients:
    def __init__(self, scenario: Scenario, seed: int, address: tuple[str, int]) -> None:
        self.scenario, self.address = scenario, address
        draws = Draws(seed)
        self.arrival_gap, self.kind, self.wait = (
            draws.exponential("a"),
            draws.uniform("c"),
            draws.uniform("w"),
        )
        self.ends: dict[str, Counter[str]] = {cls.name: Counter() for cls in scenario.class_}
        self.idle_connections: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def run(self) -> None:
        tasks, began, due, number = set(), time.monotonic(), 0.0, 0
        while due < self.scenario.seconds:
            due += self.arrival_gap() / self.scenario.clients.rate
            await asyncio.sleep(max(0.0, began + due - time.monotonic()))
            number += 1
            cls = self.scenario.class_[0 if self.kind() < 0.6 else 1]
            task = asyncio.ensure_future(
                self.run_request(cls.name, cls.aim, cls.deadline, number, due >= self.scenario.ignore)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def run_request(self, name: str, aim: float, deadline: float, number: int, counts: bool) -> None:
        began, end = time.monotonic(), "given_up"
        for tries in range(self.scenario.clients.retries + 1):
            remaining = began + deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                status = await asyncio.wait_for(self.send_request(name, number), remaining)
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                break
            took = time.monotonic() - began
            end = "in_aim" if status == 200 and took <= aim else "late" if status == 200 else "refused"
            if status == 200 or tries == self.scenario.clients.retries:
                break
            await asyncio.sleep(0.05 + 0.05 * self.wait())
        if counts:
            self.ends[name][end] += 1

    async def send_request(self, name: str, number: int) -> int:
        reader, writer = (
            self.idle_connections.pop()
            if self.idle_connections
            else await asyncio.open_connection(*self.address)
        )
        try:
            if name == "book":
                writer.write(
                    b'POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: "%d"\r\nContent-Length: 1\r\n\r\nx'
                    % number
                )
            else:
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.partition(b"content-length: ")[2].partition(b"\r")[0]))
        except BaseException:
            writer.close()
            raise
        if b"connection: close" in head:
            writer.close()
        else:
            self.idle_connections.append((reader, writer))
        return int(head[9:12])


def class_table(part: ClassPart) -> str:
    """Return a class as a table of a daemon's configuration file."""
    times = f'aim = "{part.aim}s"\ndeadline = "{part.deadline}s"\nworth = {part.worth}\nlate_share = 0.0\n'
    keyed = f'effect = "keyed"\ndedup_window = "{part.dedup_window}s"\n' if part.effect == "keyed" else ""
    return f'[[class]]\nname = "{part.name}"\n{times}{keyed}'


async def run_on_sockets(scenario: Scenario, seed: int) -> dict[str, Counter[str]]:
    workers = [SocketMember(scenario, seed, number) for number in range(scenario.member[0].count)]
    tables = "".join(class_table(part) for part in scenario.class_)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "c.toml"
        rows = [
            f'[[pool.member]]\nid = "m{n}"\naddress = "{await w.start()}"\n' for n, w in enumerate(workers)
        ]
        path.write_text(CONFIG.format(classes=tables) + "".join(rows))
        daemon = Daemon(DiscardingLogger(), seed=seed)
        daemon.apply(load(path))
        clients = Clients(scenario, seed, daemon.listeners["main"].address)
        await clients.run()
        daemon.close()
        for worker in workers:
            worker.server.close()
    return clients.ends


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    seconds = parser.parse_args().seconds
    base = build({**SCENE, "seconds": seconds}, "scene")
    for multiple in (0.5, 0.8, 1.2, 2.0):
        scenario = at_times(base, multiple)
        real = uvloop.run(run_on_sockets(scenario, 1))
        runs = [play(scenario, seed) for seed in (1, 2, 3)]
        for cls in scenario.class_:
            ends = real[cls.name]
            in_aim_share = ends["in_aim"] / max(1, sum(ends.values()))
            emulated_shares = [
                run.classes[cls.name].ends["in_aim"] / run.classes[cls.name].asked for run in runs
            ]
            mean = sum(emulated_shares) / len(emulated_shares)
            print(
                f"{multiple:.1f} of capacity, {cls.name:6} in aim: sockets {in_aim_share:.3f}, emulator {mean:.3f} "
                f"({min(emulated_shares):.3f} to {max(emulated_shares):.3f}), {100 * (mean - in_aim_share):+.1f} points"
            )


if __name__ == "__main__":
    main()
