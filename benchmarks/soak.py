"""A soak of real processes: clients use every open connection until the kill, signals come in series.

python -m benchmarks.soak [--seeds 50] [--first 1] [--seconds 6] [--side-by-side 2] [--hold-up 0.15] [--hang-at-end]
                          [--unread-log]

Each seed is one run: a few lives of the platform's `run`, every fourth one of `serve`, over stand-ins of members and
discovery. A life ends by SIGTERM, and by SIGKILL at the earliest that the platform allows. Members hang, are slow,
drain, and close idle connections; in some runs a crowd of idle clients takes the descriptors. With --hold-up S the
process is stopped for at most so long now and then, and over each step of its end; with --hang-at-end all members
hang through each shutdown; with --unread-log the process's standard error is a full pipe that nobody reads.

Checked: each request gets one answer, in time, made for it; what is unsafe runs once, what has a key only inside its
window; a draining member gets nothing after its grace; no process ends before it is told to; no descriptor is left. A
seed replays its schedule; the first broken rule is printed with what led there.
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

from benchmarks.soak_evidence import UsageRecord, describe_sockets, describe_threads, read_usage
from benchmarks.soak_hold_ups import HoldUps
from benchmarks.soak_peers import STALL_S, Address, Journal, SoakClient, SoakDiscovery, SoakMember
from benchmarks.soak_unread_log import UnreadLog

ROOT = Path(__file__).parent.parent
MEMBERS = 4
CLIENTS = 12
DEADLINE_S = 1.5
DRAIN_GRACE_S = 1.0
KEY_WINDOW_S = 3.0
#: Seconds after the longest deadline at which SIGKILL comes at the earliest.
KILL_S = 0.7
#: Seconds in which a process has to be ready.
READY_S = 30.0
SOCKETS = 256
#: Idle connections of a crowd: past what a process may hold.
CROWD = 240
#: Descriptors that a process may hold at rest beside those of its start: kept connections to members, discovery.
RESTING_DESCRIPTORS = 6 * MEMBERS + 4
#: Seconds in which descriptors of clients that have left are given back.
REST_S = 4.0
#: Seconds in which the peers' connections end after the last process.
PEERS_END_S = 0.1
SERIES = (
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

SERVE = """\
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
    """What is asked for beside the schedule of a seed.

    Attributes:
        hold_up_s: How long a hold-up of the process takes at most; 0: there are none.
        hangs_at_end: Whether all members hang through each shutdown.
        log_is_unread: Whether nobody reads what the process writes to its standard error.
    """

    hold_up_s: float = 0.0
    hangs_at_end: bool = False
    log_is_unread: bool = False


#: What CI plays.
UNDISTURBED = Disturbances()


@dataclass
class Schedule:
    """What a seed draws.

    Attributes:
        is_daemon: Whether the process is `serve`.
        has_crowd: Whether idle clients take the descriptors.
        idle_close_s: When members close idle connections.
        lives: Of each life: seconds until its series of signals, the series, and the seconds between two of them.
        troubles: When which member begins and ends to hang or to be slow, or begins to drain.
    """

    seed: int
    seconds: float
    is_daemon: bool = False
    has_crowd: bool = False
    idle_close_s: float = 5.0
    lives: list[tuple[float, tuple[signal.Signals, ...], float]] = field(default_factory=list)
    troubles: list[tuple[float, float, int, str]] = field(default_factory=list)

    @classmethod
    def drawn(cls, seed: int, seconds: float) -> Schedule:
        """The schedule of a seed."""
        source = random.Random(seed)
        schedule = cls(seed, seconds, seed % 4 == 0, seed % 5 == 3, source.choice((0.3, 1.0, 5.0)))
        for _ in range(2):
            length_s = seconds / 2 * (0.7 + 0.6 * source.random())
            series = (signal.SIGHUP,) * source.choice((0, 0, 1)) + source.choice(SERIES)
            schedule.lives.append((length_s, series, source.choice((0.0, 0.02, 0.3))))
        for _ in range(source.randrange(4)):
            start_s = seconds * source.random()
            trouble = source.choice(("hang", "slow", "drain"))
            schedule.troubles.append((start_s, start_s + 1.0, source.randrange(MEMBERS), trouble))
        return schedule


class Soak:
    """One run. It owns its processes, peers and tasks until `run` returns."""

    def __init__(self, schedule: Schedule, folder: Path, disturbances: Disturbances = UNDISTURBED) -> None:
        self.schedule = schedule
        self.journal = Journal()
        self.counts: dict[str, int] = {}
        self._folder = folder
        self._random = random.Random(schedule.seed + 1)
        self._members = [
            SoakMember(f"m{number}", self.journal, schedule.idle_close_s) for number in range(MEMBERS)
        ]
        self._discoveries = [SoakDiscovery(self._told), SoakDiscovery(self._told)]
        self._hangs_at_end = disturbances.hangs_at_end
        self._log_is_unread = disturbances.log_is_unread
        self._unread_log: UnreadLog | None = None
        self._hold_ups = HoldUps(disturbances.hold_up_s, schedule.seed, DEADLINE_S, self.journal)
        self._current = 0
        self._crowd: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Play the schedule."""
        await self._open_peers()
        self._spawn(self.journal.watch_lateness())
        self._spawn(self._trouble_members())
        address = _free_address()
        if self._log_is_unread:
            self._unread_log = UnreadLog()
        try:
            for number, (length_s, series, pause_s) in enumerate(self.schedule.lives):
                await self._live(number, address, length_s, series, pause_s)
        finally:
            for task in self._tasks:
                task.cancel()
            for member in self._members:
                member.stop()
            for discovery in self._discoveries:
                discovery.stop()
            if self._unread_log is not None:
                self._unread_log.close()
            await asyncio.sleep(PEERS_END_S)
        self._check_effects()

    def _spawn(self, work: Any) -> None:
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

    def _write(self, address: Address) -> Path:
        if self.schedule.is_daemon:
            path = self._folder / "soak.toml"
            text = SERVE.format(deadline_ms=DEADLINE_S * 1000, address="{}:{}".format(*address))
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
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS},
            "settings": SETTINGS,
            "known": discovery.list(),
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(path)
        return path

    async def _start(self, number: int, address: Address) -> asyncio.subprocess.Process:
        path = self._write(address)
        words = ["-m", "loadbalancer"]
        if self.schedule.is_daemon:
            words = ["-m", "loadbalancer.cli", "serve", "-c", str(path)]
        environment = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(self._folder)}
        with open(self._folder / f"log-{number}", "wb") as log:
            errors = log.fileno() if self._unread_log is None else self._unread_log.write_end
            process = await asyncio.create_subprocess_exec(
                sys.executable, *words, cwd=ROOT, env=environment, stdout=log, stderr=errors
            )
        self.journal.note(f"life {number}: process {process.pid} starts")
        if self._random.random() < 0.3 and not self.schedule.is_daemon:
            await self._hang_up_while_it_starts(process, address)
        async with asyncio.timeout(READY_S):
            while not await _accepts(address):
                if process.returncode is not None:
                    self.journal.breaks(
                        "crash", f"life {number} ended with {process.returncode} at its start"
                    )
                    break
                await asyncio.sleep(0.02)
        return process

    async def _hang_up_while_it_starts(self, process: asyncio.subprocess.Process, address: Address) -> None:
        """As soon as the program has said how it takes the signal: before, the system ends any process."""
        async with asyncio.timeout(READY_S):
            while process.returncode is None and not _heeds_hang_up(process.pid):
                await asyncio.sleep(0.002)
        await asyncio.sleep(0.2 * self._random.random())
        await self._send(process, signal.SIGHUP, address)

    async def _send(
        self, process: asyncio.subprocess.Process, number: signal.Signals, address: Address
    ) -> None:
        if number == signal.SIGHUP and not self.schedule.is_daemon:
            self._current = 1 - self._current
            self._write(address)
        self.journal.note(f"{number.name}; {read_usage(process.pid)}")
        with suppress(ProcessLookupError):
            process.send_signal(number)

    async def _live(
        self,
        number: int,
        address: Address,
        length_s: float,
        series: tuple[signal.Signals, ...],
        pause_s: float,
    ) -> None:
        process = await self._start(number, address)
        self._spawn(UsageRecord(process.pid, self.journal).watch())
        self._hold_ups.begin(process)
        descriptors = _descriptors(process.pid)
        clients = [self._client(number * CLIENTS + each, address) for each in range(CLIENTS)]
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        await self._crowd_in(address)
        await asyncio.sleep(max(1.0, length_s))
        if number == 0 and not self.schedule.has_crowd:
            tasks = await self._check_descriptors(process, descriptors, clients, tasks)
        if process.returncode is not None:
            self.journal.breaks("crash", f"life {number} ended with {process.returncode}")
        self._hang(self._hangs_at_end)
        await self._hold_ups.begin_end(process)
        await self._end(process, series, pause_s, address)
        await self._hold_ups.close()
        self._hang(False)
        for client in clients:
            client.stopped = True
        await asyncio.gather(*tasks)
        for writer in self._crowd:
            writer.close()
        self._crowd.clear()
        self._check_log(number)

    def _client(self, number: int, address: Address) -> SoakClient:
        source = random.Random(self.schedule.seed * 1000 + number)
        has_crowd = self.schedule.has_crowd
        return SoakClient(number, address, self.journal, source, DEADLINE_S, has_crowd, self.counts)

    async def _crowd_in(self, address: Address) -> None:
        for _ in range(CROWD if self.schedule.has_crowd else 0):
            with suppress(OSError):
                self._crowd.append((await asyncio.open_connection(*address))[1])

    async def _end(
        self,
        process: asyncio.subprocess.Process,
        series: tuple[signal.Signals, ...],
        pause_s: float,
        address: Address,
    ) -> None:
        """The series of signals; SIGKILL at its earliest. A second SIGTERM ends a daemon at once, as it is to."""
        terminated_at = 0.0
        for number in series:
            if number == signal.SIGTERM and terminated_at and self.schedule.is_daemon:
                continue
            await self._send(process, number, address)
            if number == signal.SIGTERM and not terminated_at:
                terminated_at = time.monotonic()
            await asyncio.sleep(pause_s)
        left_s = terminated_at + DEADLINE_S + KILL_S - time.monotonic()
        with suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), left_s)
        if process.returncode is None:
            self.journal.note(f"SIGKILL; {read_usage(process.pid)}; {describe_sockets(address)}")
            self.journal.note(f"its threads: {describe_threads(process.pid)}")
            process.kill()
            await process.wait()
        elif process.returncode:
            self.journal.breaks("crash", f"ended with {process.returncode} after SIGTERM")
        self.journal.note("the process has ended")

    # Troubles and checks.

    def _hang(self, hangs: bool) -> None:
        for member in self._members:
            member.trouble = "hang" if hangs else ""

    def _told(self, name: str) -> None:
        """The process has been sent that a member drains: from its grace on, nothing may come there."""
        member = next(member for member in self._members if member.name == name)
        member.drains_from = min(member.drains_from, time.monotonic() + DRAIN_GRACE_S)

    async def _trouble_members(self) -> None:
        for start_s, end_s, number, trouble in sorted(self.schedule.troubles):
            await asyncio.sleep(max(0.0, self.journal.began + start_s - time.monotonic()))
            member = self._members[number]
            self.journal.note(f"{member.name}: {trouble}")
            if trouble == "drain" and not self.schedule.is_daemon:
                for discovery in self._discoveries:
                    discovery.change(self._entry(member, "DRAINING"))
            elif trouble != "drain":
                member.trouble = trouble
                await asyncio.sleep(end_s - start_s)
                member.trouble = ""

    async def _check_descriptors(
        self,
        process: asyncio.subprocess.Process,
        before: int,
        clients: list[SoakClient],
        tasks: list[asyncio.Task[None]],
    ) -> list[asyncio.Task[None]]:
        """Let all clients leave, and look what is left; then they come again."""
        for client in clients:
            client.stopped = True
        await asyncio.gather(*tasks)
        end = time.monotonic() + REST_S
        while (left := _descriptors(process.pid) - before) > RESTING_DESCRIPTORS:
            if time.monotonic() > end:
                self.journal.breaks("descriptors", f"{left} more than at the start, with no client")
                break
            await asyncio.sleep(0.05)
        for client in clients:
            client.stopped = False
            client.number += 1000
        return [asyncio.ensure_future(client.run()) for client in clients]

    def _check_log(self, number: int) -> None:
        for line in (self._folder / f"log-{number}").read_text().splitlines():
            if "defect" in line or "Traceback" in line:
                self.journal.breaks("defect", line)

    def _check_effects(self) -> None:
        ran: dict[str, list[float]] = {}
        for member in self._members:
            for txn, times in member.ran.items():
                ran.setdefault(txn, []).extend(times)
        for txn, times in ran.items():
            spread_s = max(times) - min(times)
            is_safe = txn.startswith("safe")  # a GET: `serve` goes by the method, whatever the class says
            is_unsafe = txn.startswith("unsafe") or (txn and self.schedule.is_daemon and not is_safe)
            if is_safe and spread_s > DEADLINE_S + STALL_S:
                self.journal.breaks("duplicate", f"{txn} ran again after {spread_s:.3f} s, past its deadline")
            elif is_unsafe and len(times) > 1:
                self.journal.breaks("duplicate", f"{txn} ran {len(times)} times, {spread_s:.3f} s apart")
            elif txn.startswith("keyed") and spread_s > KEY_WINDOW_S:
                self.journal.breaks("duplicate", f"{txn} ran again after {spread_s:.3f} s")


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


def _heeds_hang_up(pid: int) -> bool:
    """Whether a process blocks SIGHUP, or has a handler for it."""
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


async def play(seed: int, seconds: float, disturbances: Disturbances = UNDISTURBED) -> Soak:
    """Play one seed.

    Args:
        seed: Of the schedule and the hold-ups.
        seconds: That its lives take together.
        disturbances: What is asked for beside the schedule.

    Returns:
        The run, with its journal.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Schedule.drawn(seed, seconds), Path(folder), disturbances)
        await soak.run()
        return soak


async def _play_all(seeds: range, seconds: float, side_by_side: int, disturbances: Disturbances) -> int:
    slots = asyncio.Semaphore(side_by_side)
    failed = 0

    async def one(seed: int) -> None:
        nonlocal failed
        async with slots:
            soak = await play(seed, seconds, disturbances)
            kind = "serve" if soak.schedule.is_daemon else "run"
            kind += ", crowd" if soak.schedule.has_crowd else ""
            broken = soak.journal.broken
            verdict = f"{broken[0]} (of {len(broken)})" if broken else "held"
            print(f"seed {seed} ({kind}): {verdict}; {dict(sorted(soak.counts.items()))}", flush=True)
            if broken:
                failed += 1
                print("\n".join(f"    {event}" for event in soak.journal.led_there), flush=True)

    await asyncio.gather(*(one(seed) for seed in seeds))
    print(f"{len(seeds)} seeds, {failed} with a broken rule")
    return failed


def main() -> int:
    """Play the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--side-by-side", type=int, default=2)
    parser.add_argument("--hold-up", type=float, default=0.0, metavar="S")
    parser.add_argument("--hang-at-end", action="store_true")
    parser.add_argument("--unread-log", action="store_true")
    options = parser.parse_args()
    disturbances = Disturbances(options.hold_up, options.hang_at_end, options.unread_log)
    seeds = range(options.first, options.first + options.seeds)
    return 1 if asyncio.run(_play_all(seeds, options.seconds, options.side_by_side, disturbances)) else 0


if __name__ == "__main__":
    sys.exit(main())
