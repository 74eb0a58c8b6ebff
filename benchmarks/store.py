"""The store compared with sqlite3 (WAL, synchronous=FULL) in one run, and the cost of the store.

python -m benchmarks.store [--seconds 2] [--keys 1000000] [--kills 200] [--folder FOLDER]

Measures acknowledged appends per second with 1, 32 and 256 concurrent writers, the two stores alternating; recovery
time and memory for many keys; the longest latency of an append during compaction. With `--kills`, a daemon is killed
that often under load.
"""

from __future__ import annotations

import argparse
import asyncio
import queue
import resource
import shutil
import socket
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any, Awaitable, Callable

import uvloop

from benchmarks.scene import DiscardingLogger
from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.store.engine import Engine, Put, StoreBounds
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import Store, StoreView
from standins.kills import KillTest
from standins.member import Fleet

VALUE = b"v" * 200
LARGE_BOUNDS = StoreBounds(max_keys=10_000_000, max_bytes=4 << 30)


class Sqlite:
    """Writes to sqlite3 in a thread that commits all waiting appends in one transaction, as the store does."""

    def __init__(self, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: queue.SimpleQueue[tuple[bytes, asyncio.Future[None]] | None] = queue.SimpleQueue()
        self.path = folder / "sqlite"
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        connection = sqlite3.connect(self.path, isolation_level=None)
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute("CREATE TABLE kept (key BLOB PRIMARY KEY, value BLOB, expires REAL)")
        while (one := self.waiting.get()) is not None:
            batch = [one]
            while not self.waiting.empty() and len(batch) < 512:
                more = self.waiting.get()
                if more is None:
                    self.waiting.put(None)
                    break
                batch.append(more)
            connection.execute("BEGIN")
            connection.executemany(
                "INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", [(k, VALUE, 0.0) for k, _ in batch]
            )
            connection.execute("COMMIT")
            self.loop.call_soon_threadsafe(self.complete, [future for _, future in batch])
        connection.close()

    @staticmethod
    def complete(futures: list[asyncio.Future[None]]) -> None:
        for future in futures:
            if not future.done():
                future.set_result(None)

    async def put(self, key: bytes) -> None:
        future = self.loop.create_future()
        self.waiting.put((key, future))
        await future

    def close(self) -> None:
        self.waiting.put(None)
        self.thread.join()


class StoreUnderTest:
    def __init__(self, folder: Path, bounds: StoreBounds = LARGE_BOUNDS) -> None:
        self.engine = Engine(DiskFiles(folder / "store"), time.time, bounds)
        self.engine.open()
        self.store = Store(self.engine, lambda what, why: print("!", what, why))

    async def put(self, key: bytes) -> None:
        def job(view: StoreView) -> None:
            view.put(key, VALUE)

        await self.store.call(job)

    def close(self) -> None:
        self.store.close()


async def measure_rate(
    put: Callable[[bytes], Awaitable[None]], waiting: int, seconds: float
) -> tuple[float, list[float]]:
    """Return acknowledged appends per second, and the latency of each."""
    end_time, times = time.perf_counter() + seconds, []

    async def one(number: int) -> None:
        count = 0
        while time.perf_counter() < end_time:
            began = time.perf_counter()
            await put(b"%d-%d-%d" % (waiting, number, count))
            times.append(time.perf_counter() - began)
            count += 1

    await asyncio.gather(*(one(number) for number in range(waiting)))
    return len(times) / seconds, times


async def compare_throughput(folder: Path, seconds: float) -> None:
    for waiting in (1, 32, 256):
        ratios, last = [], (0.0, 0.0)
        for _ in range(3):
            rates = []
            for kind in (StoreUnderTest, Sqlite):
                run_folder = Path(tempfile.mkdtemp(dir=folder))
                backend: Any = kind(run_folder)
                rates.append((await measure_rate(backend.put, waiting, seconds))[0])
                backend.close()
                shutil.rmtree(run_folder)
            ratios.append(rates[0] / rates[1])
            last = rates[0], rates[1]
        print(
            f"{waiting:4} waiting: store {last[0]:8.0f}/s, sqlite {last[1]:8.0f}/s, "
            f"ratio {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        )


BOOKING_CONFIGURATION = """\
{store}[[class]]
name = "book"
aim = "1s"
deadline = "5s"
effect = "keyed"
dedup_window = "3s"
{remember}[[listener]]
name = "main"
address = "127.0.0.1:0"
[[route]]
name = "r"
prefix = "/"
pool = "p"
write_class = "book"
[[pool]]
name = "p"
rules = {{ new_members = "warm" }}
"""


async def measure_bookings(folder: Path, seconds: float) -> None:
    """Measure the latency that the ledger adds to a booking: eight clients, rounds with and without it alternating."""
    fleet = Fleet(4)
    await fleet.start()
    medians: dict[bool, list[float]] = {True: [], False: []}
    tails: dict[bool, list[float]] = {True: [], False: []}
    for turn in range(6):
        remembered = turn % 2 == 0
        path = folder / f"book-{turn}.toml"
        store = f'[store]\nfolder = "book-{turn}"\n' if remembered else ""
        path.write_text(
            BOOKING_CONFIGURATION.format(store=store, remember='remember = "1h"\n' if remembered else "")
            + fleet.tables()
        )
        daemon = Daemon(DiscardingLogger(), seed=1)
        daemon.apply(load(path))
        times = await run_bookings(daemon.listeners["main"].address, turn, seconds)
        daemon.close()
        times.sort()
        medians[remembered].append(times[len(times) // 2])
        tails[remembered].append(times[int(0.99 * len(times))])
    await fleet.stop()
    print(
        "a booking: "
        + ", ".join(
            f"{word} median {1e3 * statistics.median(medians[remembered]):.2f} ms, "
            f"99th {1e3 * statistics.median(tails[remembered]):.2f} ms"
            for word, remembered in (("plain", False), ("remembered", True))
        )
    )


async def run_bookings(address: tuple[str, int], turn: int, seconds: float) -> list[float]:
    end_time, times = time.perf_counter() + seconds, []

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection(*address)
        count = 0
        while time.perf_counter() < end_time:
            count += 1
            began = time.perf_counter()
            writer.write(
                b'POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: "%d-%d-%d"\r\nContent-Length: 1\r\n\r\nx'
                % (turn, number, count)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
            times.append(time.perf_counter() - began)
        writer.close()

    await asyncio.gather(*(client(number) for number in range(8)))
    return times


def fill_store(folder: Path, keys: int) -> None:
    engine = Engine(DiskFiles(folder / "many"), time.time, StoreBounds(max_keys=keys + 1, max_bytes=8 << 30))
    engine.open()
    for begin in range(0, keys, 5000):
        engine.commit([Put(b"key-%012d" % n, VALUE) for n in range(begin, min(keys, begin + 5000))])
    engine.close()


RECOVER = """
import resource, sys, time
from pathlib import Path
from loadbalancer.store.engine import Bounds, Engine
from loadbalancer.store.files import DiskFiles
engine = Engine(DiskFiles(Path(sys.argv[1])), time.time, Bounds(keys=100_000_000, bytes=8 << 30))
bare = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
began = time.perf_counter()
found = engine.open()
took = time.perf_counter() - began
held = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - bare) >> 10
print(f"{found.keys} keys opened in {took:.1f} s, {held} MiB")
engine.close()
"""


async def measure_compaction(folder: Path, seconds: float) -> None:
    """Measure the latency of appends that overwrite the same keys, while the store compacts concurrently."""
    ours = StoreUnderTest(folder, StoreBounds(segment_bytes=1 << 20, max_keys=10_000_000, max_bytes=4 << 30))

    async def put(key: bytes) -> None:
        await ours.put(key[-3:])

    _, times = await measure_rate(put, 32, seconds)
    times.sort()
    dropped = next(iter(ours.engine.log.segments))
    print(
        f"appends while {dropped} segments were compacted: median {1e3 * times[len(times) // 2]:.1f} ms, "
        f"99th {1e3 * times[int(0.99 * len(times))]:.1f} ms, longest {1e3 * times[-1]:.1f} ms"
    )
    ours.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--keys", type=int, default=1_000_000)
    parser.add_argument("--kills", type=int, default=0)
    parser.add_argument("--folder", type=Path, default=Path(tempfile.gettempdir()))
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(dir=options.folder))
    try:
        asyncio.run(compare_throughput(folder, options.seconds))
        asyncio.run(measure_compaction(folder, 2 * options.seconds))
        uvloop.run(measure_bookings(folder, options.seconds))
        if options.keys:
            fill_store(folder, options.keys)
            subprocess.run([sys.executable, "-c", RECOVER, str(folder / "many")], check=True)
        if options.kills:
            kills(folder, options.kills)
        print(f"peak of this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10} MiB")
    finally:
        shutil.rmtree(folder)


def kills(folder: Path, count: int) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    began = time.perf_counter()
    tally = asyncio.run(KillTest(folder, port, seed=1).run(count))
    wrong = [key for key in tally.doubled if key in tally.answers]
    print(
        f"{tally.kills} kills in {time.perf_counter() - began:.0f} s: {tally.acknowledged} bookings answered, "
        f"{tally.unresolved} told that nobody knows, {tally.repeated} repeated: {len(tally.differ)} with "
        f"another answer, {len(wrong)} acknowledged ones run twice"
    )


if __name__ == "__main__":
    main()
