"""A soak test of real processes: clients use every connection until the process is killed, amid series of signals.

python -m benchmarks.soak [--seeds 50] [--first 1] [--seconds 6] [--side-by-side 2] [--hold-up 0.15] [--hang-at-end]
                          [--unread-log] [--crowds]

Each seed is one run, which starts and ends a few processes one after another: the platform's `run`, for every fourth
seed `serve`, with stand-in members and discovery. A process gets SIGTERM, and SIGKILL at the earliest moment that the
platform allows. Members hang, are slow, drain, and close idle connections; in some runs many idle clients use up the
descriptors. With --crowds two crowds come with each process (many fields, half and slow bodies, long answers that are
read or written slowly, pipelined requests), now and then with a client that sends chunks of one byte at full speed; the
process may take 64 MB then. With --hold-up S the process is paused for at most S seconds at random moments and during
each step of its shutdown; with --hang-at-end all members hang during each shutdown; with --unread-log the process's
standard error is a full pipe that nobody reads.

Rules that are checked: each request gets exactly one answer, its own, in time; an unsafe request runs once, one with
a key repeatedly only inside its window; a draining member gets nothing after its grace period; no process ends before
it is told to; no descriptor leaks. A seed replays its schedule; the first broken rule is printed with the events before
it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.soak_crowds import SoakCrowds
from benchmarks.soak_evidence import UsageRecord, describe_sockets, describe_threads, read_usage
from benchmarks.soak_hold_ups import HoldUps
from benchmarks.soak_paces import SoakPaces
from benchmarks.soak_peers import STALL_S, Address, Journal, SoakClient, SoakDiscovery, SoakMember
from benchmarks.soak_unread_log import UnreadLog

ROOT = Path(__file__).parent.parent
MEMBERS = 4
CLIENTS = 12
DEADLINE_S = 1.5
DRAIN_GRACE_S = 1.0
KEY_WINDOW_S = 3.0
#: Seconds after SIGTERM for which new connections go on coming to a process of the platform, at most.
NEW_CONNECTIONS_S = 0.4
#: Earliest time of SIGKILL, in seconds after the longest deadline.
KILL_DELAY_S = 0.7
#: Time limit, in seconds, for a process to accept connections.
START_TIMEOUT_S = 30.0
SOCKETS = 256
MEMORY_MB = 128
#: Memory of a process with crowds: the least that a deployment names.
CROWDED_MEMORY_MB = 64
#: Number of idle connections in runs with idle clients: more than a process may hold.
IDLE_CLIENTS = 240
#: Descriptors that a process may hold without clients, beside those held at its start: idle connections to members and
#: connections to discovery.
RESTING_DESCRIPTORS = 6 * MEMBERS + 4
#: Time limit, in seconds, for the process to close the descriptors of clients that have disconnected.
DESCRIPTOR_RELEASE_S = 4.0
#: Seconds to wait for the peers' connections to close after the last process has ended.
PEERS_CLOSE_S = 0.1
SIGNAL_SERIES = (
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM,),
)

SETTINGS: dict[str, Any] = {
    "me": 0,
    "n-instances": 2,
    "zones": ["a"],
    "kinds": ["std"],
    "locality": 0,
    "registry-mode": "automatic",
    "classes": [
        {"name": "safe", "aim-s": 0.5, "give-up-s": DEADLINE_S, "worth": 1.0, "effect": "read_like"},
        {"name": "keyed", "aim-s": 0.5, "give-up-s": DEADLINE_S, "worth": 1.0, "effect": "idempotency_key",
         "dedup-scope": "all", "dedup-window-s": KEY_WINDOW_S},
        {"name": "unsafe", "aim-s": 0.5, "give-up-s": DEADLINE_S, "worth": 1.0, "effect": "non_idempotent"},
    ],
    "policy-limits": {"max-attempts": 3, "second-copies": True, "cancelling": True,
                      "connect-timeout-s": 0.25, "idle-close-s": 5.0},
    "report": {"source": "none", "fields": []},
    "rules": {"answer-slack-s": 0.02, "drain-grace-s": DRAIN_GRACE_S, "cold-from": 0.3, "cold-s": 5.0,
              "overload-factor": 2.5, "fall-s": 2.0},
}  # fmt: skip

SERVE_CONFIGURATION = """\
[management]
socket = "s"
[[class]]
name = "c"
aim = "500ms"
deadline = "{deadline_ms:.0f}ms"
effect = "unsafe"
[[listener]]
name = "main"
address = "{address}"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
[[pool]]
name = "p"
rules = {{ new_members = "warm" }}
"""


@dataclass(frozen=True, slots=True)
class Disturbances:
    """Disturbances in addition to the schedule of a seed.

    Attributes:
        hold_up_s: Longest time in seconds that the process is paused for; 0 disables pauses.
        hangs_at_end: Whether all members hang during each shutdown.
        log_is_unread: Whether nobody reads what the process writes to its standard error.
        has_crowds: Whether crowds come with each process.
        has_late_bodies: Whether some answers come late, rest, or never end.
    """

    hold_up_s: float = 0.0
    hangs_at_end: bool = False
    log_is_unread: bool = False
    has_crowds: bool = False
    has_late_bodies: bool = False


#: The default, used in CI.
UNDISTURBED = Disturbances()


@dataclass
class Schedule:
    """The random decisions of one run, drawn from its seed.

    Attributes:
        is_daemon: Whether the process is `serve`.
        has_idle_clients: Whether idle clients use up the descriptors.
        idle_close_s: Seconds after which members close idle connections.
        process_runs: For each process: seconds until its series of signals, the series, and seconds between signals.
        faults: Start, end, member and kind of each fault: a member hangs or is slow, or starts to drain.
    """

    seed: int
    seconds: float
    is_daemon: bool = False
    has_idle_clients: bool = False
    idle_close_s: float = 5.0
    process_runs: list[tuple[float, tuple[signal.Signals, ...], float]] = field(default_factory=list)
    faults: list[tuple[float, float, int, str]] = field(default_factory=list)

    @classmethod
    def from_seed(cls, seed: int, seconds: float) -> Schedule:
        """Return the schedule of a seed."""
        random_source = random.Random(seed)
        schedule = cls(seed, seconds, seed % 4 == 0, seed % 5 == 3, random_source.choice((0.3, 1.0, 5.0)))
        for _ in range(2):
            duration_s = seconds / 2 * (0.7 + 0.6 * random_source.random())
            series = (signal.SIGHUP,) * random_source.choice((0, 0, 1)) + random_source.choice(SIGNAL_SERIES)
            schedule.process_runs.append((duration_s, series, random_source.choice((0.0, 0.02, 0.3))))
        for _ in range(random_source.randrange(4)):
            start_s = seconds * random_source.random()
            fault = random_source.choice(("hang", "slow", "drain"))
            schedule.faults.append((start_s, start_s + 1.0, random_source.randrange(MEMBERS), fault))
        return schedule


class Soak:
    """Runs one seed. It owns its processes, peers and tasks until `run` returns."""

    def __init__(self, schedule: Schedule, folder: Path, disturbances: Disturbances = UNDISTURBED) -> None:
        self.schedule = schedule
        self.journal = Journal()
        self.counts: dict[str, int] = {}
        self._folder = folder
        self._random = random.Random(schedule.seed + 1)
        self._members = [
            SoakMember(f"m{number}", self.journal, schedule.idle_close_s) for number in range(MEMBERS)
        ]
        self._discoveries = [SoakDiscovery(self._on_drain_sent), SoakDiscovery(self._on_drain_sent)]
        self._hangs_at_end = disturbances.hangs_at_end
        self._log_is_unread = disturbances.log_is_unread
        self._has_crowds = disturbances.has_crowds
        self._has_late_bodies = disturbances.has_late_bodies
        self._unread_log: UnreadLog | None = None
        self._hold_ups = HoldUps(disturbances.hold_up_s, schedule.seed, DEADLINE_S, self.journal)
        self._current = 0
        self._idle_writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Run the schedule."""
        await self._open_peers()
        self._start_task(self.journal.measure_loop_lag())
        self._start_task(self._apply_faults())
        address = _free_address()
        if self._log_is_unread:
            self._unread_log = UnreadLog()
        try:
            for number, (duration_s, series, pause_s) in enumerate(self.schedule.process_runs):
                await self._run_process(number, address, duration_s, series, pause_s)
        finally:
            for task in self._tasks:
                task.cancel()
            for member in self._members:
                member.stop()
            for discovery in self._discoveries:
                discovery.stop()
            if self._unread_log is not None:
                self._unread_log.close()
            await asyncio.sleep(PEERS_CLOSE_S)
        self._check_effects()

    def _start_task(self, work: Any) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _open_peers(self) -> None:
        for member in self._members:
            await member.start()
        for discovery in self._discoveries:
            discovery.entries = [self._entry(member, "SERVING") for member in self._members]
            await discovery.start()

    @staticmethod
    def _entry(member: SoakMember, state: str) -> dict[str, Any]:
        where = {"addr": member.address, "zone": "a", "kind": "std", "cell": 0}
        return {"id": member.name, **where, "state": state, "weight": 1.0, "started_ms": 0}

    # The process.

    def _write_configuration(self, address: Address) -> Path:
        if self.schedule.is_daemon:
            path = self._folder / "soak.toml"
            text = SERVE_CONFIGURATION.format(deadline_ms=DEADLINE_S * 1000, address="{}:{}".format(*address))
            for member in self._members:
                text += f'[[pool.member]]\nid = "{member.name}"\naddress = "{member.address}"\n'
            path.write_text(text)
            return path
        path = self._folder / "soak.json"
        discovery = self._discoveries[self._current]
        document = {
            "name": "n0",
            "listen": "{}:{}".format(*address),
            "discovery": discovery.address,
            "seed": str(self.schedule.seed),
            "limits": {
                "cores": 1.0,
                "memory_mb": CROWDED_MEMORY_MB if self._has_crowds else MEMORY_MB,
                "sockets": SOCKETS,
            },
            "settings": SETTINGS,
            "known": discovery.list(),
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(path)
        return path

    async def _start(self, number: int, address: Address) -> asyncio.subprocess.Process:
        path = self._write_configuration(address)
        words = ["-m", "loadbalancer"]
        if self.schedule.is_daemon:
            words = ["-m", "loadbalancer.cli", "serve", "-c", str(path)]
        environment = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(self._folder)}
        with open(self._folder / f"log-{number}", "wb") as log:
            errors = log.fileno() if self._unread_log is None else self._unread_log.write_end
            process = await asyncio.create_subprocess_exec(
                sys.executable, *words, cwd=ROOT, env=environment, stdout=log, stderr=errors
            )
        self.journal.record(f"life {number}: process {process.pid} starts")
        if self._random.random() < 0.3 and not self.schedule.is_daemon:
            await self._send_sighup_during_start(process, address)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _accepts(address):
                if process.returncode is not None:
                    self.journal.record_violation(
                        "crash", f"life {number} ended with {process.returncode} at its start"
                    )
                    break
                await asyncio.sleep(0.02)
        return process

    async def _send_sighup_during_start(self, process: asyncio.subprocess.Process, address: Address) -> None:
        """Send SIGHUP once the program has installed its handler: before, the signal would terminate the process."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.returncode is None and not _handles_sighup(process.pid):
                await asyncio.sleep(0.002)
        await asyncio.sleep(0.2 * self._random.random())
        await self._send(process, signal.SIGHUP, address)

    async def _send(
        self, process: asyncio.subprocess.Process, number: signal.Signals, address: Address
    ) -> None:
        if number == signal.SIGHUP and not self.schedule.is_daemon:
            self._current = 1 - self._current
            self._write_configuration(address)
        self.journal.record(f"{number.name}; {read_usage(process.pid)}")
        with suppress(ProcessLookupError):
            process.send_signal(number)

    async def _run_process(
        self,
        number: int,
        address: Address,
        duration_s: float,
        series: tuple[signal.Signals, ...],
        pause_s: float,
    ) -> None:
        process = await self._start(number, address)
        self._start_task(UsageRecord(process.pid, self.journal).watch())
        self._hold_ups.begin(process)
        descriptors = _descriptors(process.pid)
        clients = [self._make_client(number * CLIENTS + each, address) for each in range(CLIENTS)]
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        await self._open_idle_connections(address)
        crowds = self._make_crowds(process.pid, number, address)
        paces = self._make_paces(number, address)
        await asyncio.sleep(max(1.0, duration_s))
        if number == 0 and not self.schedule.has_idle_clients and crowds is None and paces is None:
            tasks = await self._check_descriptors(process, descriptors, clients, tasks)
        if process.returncode is not None:
            self.journal.record_violation("crash", f"life {number} ended with {process.returncode}")
        self._set_hanging(self._hangs_at_end)
        await self._hold_ups.begin_shutdown(process)
        await self._shut_down(process, series, pause_s, address, clients)
        await self._hold_ups.close()
        if crowds is not None:
            await crowds.close()
        if paces is not None:
            await paces.stop()
        self._set_hanging(False)
        for client in clients:
            client.stopped = True
        await asyncio.gather(*tasks)
        for writer in self._idle_writers:
            writer.close()
        self._idle_writers.clear()
        self._check_log(number)

    def _make_client(self, number: int, address: Address) -> SoakClient:
        random_source = random.Random(self.schedule.seed * 1000 + number)
        has_idle_clients = self.schedule.has_idle_clients
        return SoakClient(
            number, address, self.journal, random_source, DEADLINE_S, has_idle_clients, self.counts
        )

    def _make_crowds(self, pid: int, number: int, address: Address) -> SoakCrowds | None:
        """Return the crowds of a process, unless idle clients use up its descriptors already."""
        if not self._has_crowds or self.schedule.has_idle_clients:
            return None
        memory_mb = 0 if self.schedule.is_daemon else CROWDED_MEMORY_MB
        crowds = SoakCrowds(self.schedule.seed * 10 + number, address, pid, memory_mb, self.journal)
        crowds.start()
        return crowds

    def _make_paces(self, number: int, address: Address) -> SoakPaces | None:
        """Return the clients of answers that come late, rest, or never end, if the soak has them."""
        if not self._has_late_bodies:
            return None
        paces = SoakPaces(self.schedule.seed * 10 + number, address, self.journal, self._count_effects)
        paces.start()
        return paces

    def _count_effects(self, txn: str) -> int:
        return sum(len(member.executions[txn]) for member in self._members if txn in member.executions)

    async def _open_idle_connections(self, address: Address) -> None:
        for _ in range(IDLE_CLIENTS if self.schedule.has_idle_clients else 0):
            with suppress(OSError):
                self._idle_writers.append((await asyncio.open_connection(*address))[1])

    async def _shut_down(
        self,
        process: asyncio.subprocess.Process,
        series: tuple[signal.Signals, ...],
        pause_s: float,
        address: Address,
        clients: list[SoakClient],
    ) -> None:
        """Send the series of signals, and SIGKILL at its earliest time.

        A daemon gets no second SIGTERM, as that would end it at once, by design.
        """
        terminated_at = 0.0
        for number in series:
            if number == signal.SIGTERM and terminated_at and self.schedule.is_daemon:
                continue
            await self._send(process, number, address)
            if number == signal.SIGTERM and not terminated_at:
                terminated_at = time.monotonic()
                for client in () if self.schedule.is_daemon else clients:
                    client.connects_until = terminated_at + NEW_CONNECTIONS_S
            await asyncio.sleep(pause_s)
        left_s = terminated_at + DEADLINE_S + KILL_DELAY_S - time.monotonic()
        with suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), left_s)
        if process.returncode is None:
            self.journal.record(f"SIGKILL; {read_usage(process.pid)}; {describe_sockets(address)}")
            self.journal.record(f"its threads: {describe_threads(process.pid)}")
            process.kill()
            await process.wait()
        elif process.returncode:
            self.journal.record_violation("crash", f"ended with {process.returncode} after SIGTERM")
        self.journal.record("the process has ended")

    # Faults and checks.

    def _set_hanging(self, hangs: bool) -> None:
        for member in self._members:
            member.fault = "hang" if hangs else ""

    def _on_drain_sent(self, name: str) -> None:
        """Set the deadline after which a member may get no request; the process has just been sent that it drains."""
        member = next(member for member in self._members if member.name == name)
        member.drain_deadline = min(member.drain_deadline, time.monotonic() + DRAIN_GRACE_S)

    async def _apply_faults(self) -> None:
        for start_s, end_s, number, fault in sorted(self.schedule.faults):
            await asyncio.sleep(max(0.0, self.journal.started_at + start_s - time.monotonic()))
            member = self._members[number]
            self.journal.record(f"{member.name}: {fault}")
            if fault == "drain" and not self.schedule.is_daemon:
                for discovery in self._discoveries:
                    discovery.change(self._entry(member, "DRAINING"))
            elif fault != "drain":
                member.fault = fault
                await asyncio.sleep(end_s - start_s)
                member.fault = ""

    async def _check_descriptors(
        self,
        process: asyncio.subprocess.Process,
        before: int,
        clients: list[SoakClient],
        tasks: list[asyncio.Task[None]],
    ) -> list[asyncio.Task[None]]:
        """Stop all clients, check that the process releases their descriptors, and start the clients again."""
        for client in clients:
            client.stopped = True
        await asyncio.gather(*tasks)
        end = time.monotonic() + DESCRIPTOR_RELEASE_S
        while (excess := _descriptors(process.pid) - before) > RESTING_DESCRIPTORS:
            if time.monotonic() > end:
                self.journal.record_violation(
                    "descriptors", f"{excess} more than at the start, with no client"
                )
                break
            await asyncio.sleep(0.05)
        for client in clients:
            client.stopped = False
            client.number += 1000
        return [asyncio.ensure_future(client.run()) for client in clients]

    def _check_log(self, number: int) -> None:
        for line in (self._folder / f"log-{number}").read_text().splitlines():
            if "defect" in line or "Traceback" in line:
                self.journal.record_violation("defect", line)

    def _check_effects(self) -> None:
        executions: dict[str, list[float]] = {}
        for member in self._members:
            for txn, times in member.executions.items():
                executions.setdefault(txn, []).extend(times)
        for txn, times in executions.items():
            spread_s = max(times) - min(times)
            # A GET: `serve` treats it as safe by its method, whatever the class's effect is.
            is_safe = txn.startswith("safe")
            is_unsafe = txn.startswith("unsafe") or (txn and self.schedule.is_daemon and not is_safe)
            if is_safe and spread_s > DEADLINE_S + STALL_S:
                self.journal.record_violation(
                    "duplicate", f"{txn} ran again after {spread_s:.3f} s, past its deadline"
                )
            elif is_unsafe and len(times) > 1:
                self.journal.record_violation(
                    "duplicate", f"{txn} ran {len(times)} times, {spread_s:.3f} s apart"
                )
            elif txn.startswith("keyed") and spread_s > KEY_WINDOW_S:
                self.journal.record_violation("duplicate", f"{txn} ran again after {spread_s:.3f} s")


def _free_address() -> Address:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        return host, port


async def _accepts(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


def _handles_sighup(pid: int) -> bool:
    """Return whether a process blocks SIGHUP or has a handler for it."""
    bit = 1 << (signal.SIGHUP - 1)
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = dict(line.split(":", 1) for line in lines if line.startswith(("SigBlk", "SigCgt")))
    return any(int(mask, 16) & bit for mask in masks.values())


def _descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


async def run_soak(seed: int, seconds: float, disturbances: Disturbances = UNDISTURBED) -> Soak:
    """Run one seed.

    Args:
        seed: Seed of the schedule and the pauses.
        seconds: Total running time of its processes.
        disturbances: Disturbances in addition to the schedule.

    Returns:
        The completed run, with its journal.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Schedule.from_seed(seed, seconds), Path(folder), disturbances)
        await soak.run()
        return soak


async def _run_all(seeds: range, seconds: float, side_by_side: int, disturbances: Disturbances) -> int:
    slots = asyncio.Semaphore(side_by_side)
    failed = 0

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with slots:
            soak = await run_soak(seed, seconds, disturbances)
            kind = "serve" if soak.schedule.is_daemon else "run"
            kind += ", crowd" if soak.schedule.has_idle_clients else ""
            violations = soak.journal.violations
            verdict = f"{violations[0]} (of {len(violations)})" if violations else "held"
            print(f"seed {seed} ({kind}): {verdict}; {dict(sorted(soak.counts.items()))}", flush=True)
            if violations:
                failed += 1
                print("\n".join(f"    {event}" for event in soak.journal.preceding_events), flush=True)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    print(f"{len(seeds)} seeds, {failed} with a broken rule")
    return failed


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--side-by-side", type=int, default=2)
    parser.add_argument("--hold-up", type=float, default=0.0, metavar="S")
    parser.add_argument("--hang-at-end", action="store_true")
    parser.add_argument("--unread-log", action="store_true")
    parser.add_argument("--crowds", action="store_true")
    parser.add_argument("--late-bodies", action="store_true")
    options = parser.parse_args()
    disturbances = Disturbances(
        options.hold_up, options.hang_at_end, options.unread_log, options.crowds, options.late_bodies
    )
    seeds = range(options.first, options.first + options.seeds)
    return 1 if asyncio.run(_run_all(seeds, options.seconds, options.side_by_side, disturbances)) else 0


if __name__ == "__main__":
    sys.exit(main())
