"""Evidence that a soak collects about a process from outside, to trace a broken rule: scheduling, waits, sockets."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak_peers import Address, Journal

#: Seconds between two samples of a process.
SAMPLE_INTERVAL_S = 0.02
#: Shortest time, in seconds, ready but not running between two samples that is recorded.
MIN_REPORTED_GAP_S = 0.05
#: Shortest uninterrupted wait, in seconds, that is recorded.
MIN_REPORTED_WAIT_S = 0.1
#: Values of wchan for a thread that is running or waits for events, so that its event loop is not blocked.
EVENT_WAITS = frozenset(("", "0", "ep_poll", "do_epoll_wait"))
#: Fields of a line of /proc/net/tcp, and the states that count.
LOCAL_ADDRESS, STATE, QUEUES, INODE = 1, 3, 4, 9
LISTEN = "0A"
ESTABLISHED = "01"
#: Inode of a connection in the accept queue, which the process has not accepted.
NOT_ACCEPTED = "0"


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor usage of a process so far.

    Attributes:
        state: Process state as one letter, as in /proc/PID/stat.
        ran_s: Seconds on a processor.
        waited_s: Seconds ready to run but waiting for a processor.
    """

    state: str
    ran_s: float
    waited_s: float

    def __str__(self) -> str:
        return f"state {self.state}, ran {self.ran_s:.2f} s, waited {self.waited_s:.2f} s for a processor"


def read_usage(pid: int) -> Usage | None:
    """Return a process's usage, or None if it has ended."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return None
    return Usage(state, int(ran_ns) / 1e9, int(waited_ns) / 1e9)


def read_wait(pid: int, thread: int) -> str:
    """Return the kernel function in which a thread waits, or an empty text if it is unknown."""
    try:
        return Path(f"/proc/{pid}/task/{thread}/wchan").read_text().strip()
    except OSError:
        return ""


def describe_threads(pid: int) -> str:
    """Describe each thread of a process: its name and the kernel function in which it waits."""
    descriptions = []
    with suppress(OSError):
        for folder in sorted(Path(f"/proc/{pid}/task").iterdir()):
            name = (folder / "comm").read_text().strip()
            descriptions.append(f"{name} in {read_wait(pid, int(folder.name)) or 'an unknown wait'}")
    return "; ".join(descriptions) or "none"


class UsageRecord:
    """Samples a process and records in the journal when it, or the soak itself, was kept from running."""

    def __init__(self, pid: int, journal: Journal) -> None:
        self._pid = pid
        self._journal = journal
        self._wait = ""  # of the main thread, at the last sample
        self._waiting_since = 0.0
        self._wait_is_recorded = False

    async def watch(self) -> None:
        """Sample until the process has ended or the task is cancelled."""
        before = read_usage(self._pid)
        while before is not None:
            slept_from = time.monotonic()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_s = time.monotonic() - slept_from - SAMPLE_INTERVAL_S
            now = read_usage(self._pid)
            if now is None:
                return
            waited_s = now.waited_s - before.waited_s
            if waited_s > MIN_REPORTED_GAP_S:
                self._journal.record(f"process {self._pid} was ready and did not run for {waited_s:.3f} s")
            if late_s > MIN_REPORTED_GAP_S:
                self._journal.record(f"the soak itself was late by {late_s:.3f} s")
            self._record_long_wait()
            before = now

    def _record_long_wait(self) -> None:
        """Record a long wait of the main thread, which runs the event loop, for anything but events."""
        now = time.monotonic()
        wait = read_wait(self._pid, self._pid)
        if wait != self._wait:
            self._wait, self._waiting_since, self._wait_is_recorded = wait, now, False
        elif (
            wait not in EVENT_WAITS
            and not self._wait_is_recorded
            and now - self._waiting_since > MIN_REPORTED_WAIT_S
        ):
            self._wait_is_recorded = True
            self._journal.record(
                f"process {self._pid} has waited in {wait} for {now - self._waiting_since:.2f} s"
            )


def describe_sockets(address: Address) -> str:
    """Count the sockets of a listening address by state, whether accepted, and unread and unsent bytes."""
    port = f"{address[1]:04X}"
    descriptions: Counter[str] = Counter()
    with suppress(OSError):
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if not fields[LOCAL_ADDRESS].endswith(f":{port}"):
                continue
            unsent, unread = (int(size, 16) for size in fields[QUEUES].split(":"))
            if fields[STATE] == LISTEN:
                descriptions[f"listening, {unread} not accepted"] += 1
            else:
                descriptions[_describe_connection(fields[STATE], fields[INODE], unsent, unread)] += 1
    return "; ".join(f"{count} x {kind}" for kind, count in sorted(descriptions.items())) or "no socket"


def _describe_connection(state: str, inode: str, unsent: int, unread: int) -> str:
    kind = "open" if state == ESTABLISHED else f"state {state}"
    kind += ", not accepted" if inode == NOT_ACCEPTED else ""
    kind += ", unread bytes" if unread else ""
    return kind + (", unsent bytes" if unsent else "")
