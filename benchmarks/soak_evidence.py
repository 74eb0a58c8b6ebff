"""What a soak notes of a process from outside, to trace a broken rule by: when it did not run, and what it held."""

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
#: Seconds ready and not run between two samples, from which on a gap is noted.
NOTED_GAP_S = 0.05
#: Seconds in one and the same wait, from which on it is noted.
NOTED_WAIT_S = 0.1
#: Where a thread waits that runs, or that waits for events: nothing keeps the event loop from going on.
EVENT_WAITS = frozenset(("", "0", "ep_poll", "do_epoll_wait"))
#: Fields of a line of /proc/net/tcp, and the states that count.
LOCAL_ADDRESS, STATE, QUEUES, INODE = 1, 3, 4, 9
LISTEN = "0A"
ESTABLISHED = "01"
#: Inode of a connection that the system holds and the process has not accepted.
NOT_ACCEPTED = "0"


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has had of the processors so far.

    Attributes:
        state: One letter, as the system gives it.
        ran_s: Seconds that it ran.
        waited_s: Seconds that it was ready and did not run.
    """

    state: str
    ran_s: float
    waited_s: float

    def __str__(self) -> str:
        return f"state {self.state}, ran {self.ran_s:.2f} s, waited {self.waited_s:.2f} s for a processor"


def read_usage(pid: int) -> Usage | None:
    """A process's usage; None where it is gone."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return None
    return Usage(state, int(ran_ns) / 1e9, int(waited_ns) / 1e9)


def read_wait(pid: int, thread: int) -> str:
    """The function of the system in which a thread waits; empty where that is not known."""
    try:
        return Path(f"/proc/{pid}/task/{thread}/wchan").read_text().strip()
    except OSError:
        return ""


def describe_threads(pid: int) -> str:
    """Each thread of a process by its name, and in which function of the system it waits."""
    found = []
    with suppress(OSError):
        for folder in sorted(Path(f"/proc/{pid}/task").iterdir()):
            name = (folder / "comm").read_text().strip()
            found.append(f"{name} in {read_wait(pid, int(folder.name)) or 'an unknown wait'}")
    return "; ".join(found) or "none"


class UsageRecord:
    """Samples one process, and notes in the journal whenever it, or this process, was kept from running."""

    def __init__(self, pid: int, journal: Journal) -> None:
        self._pid = pid
        self._journal = journal
        self._wait = ""  # of the first thread, as last seen
        self._waits_since = 0.0
        self._wait_is_noted = False

    async def watch(self) -> None:
        """Sample until the process is gone, or the task is cancelled."""
        before = read_usage(self._pid)
        while before is not None:
            slept_from = time.monotonic()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            late_s = time.monotonic() - slept_from - SAMPLE_INTERVAL_S
            now = read_usage(self._pid)
            if now is None:
                return
            waited_s = now.waited_s - before.waited_s
            if waited_s > NOTED_GAP_S:
                self._journal.note(f"process {self._pid} was ready and did not run for {waited_s:.3f} s")
            if late_s > NOTED_GAP_S:
                self._journal.note(f"the soak itself was late by {late_s:.3f} s")
            self._look_at_wait()
            before = now

    def _look_at_wait(self) -> None:
        """Note a wait of the first thread, which runs the event loop, for anything but events."""
        now = time.monotonic()
        wait = read_wait(self._pid, self._pid)
        if wait != self._wait:
            self._wait, self._waits_since, self._wait_is_noted = wait, now, False
        elif wait not in EVENT_WAITS and not self._wait_is_noted and now - self._waits_since > NOTED_WAIT_S:
            self._wait_is_noted = True
            self._journal.note(
                f"process {self._pid} has waited in {wait} for {now - self._waits_since:.2f} s"
            )


def describe_sockets(address: Address) -> str:
    """What the system holds for a listening address: its connections, by whether the process accepted and read them."""
    port = f"{address[1]:04X}"
    found: Counter[str] = Counter()
    with suppress(OSError):
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if not fields[LOCAL_ADDRESS].endswith(f":{port}"):
                continue
            unsent, unread = (int(size, 16) for size in fields[QUEUES].split(":"))
            if fields[STATE] == LISTEN:
                found[f"listening, {unread} not accepted"] += 1
            else:
                found[_describe_connection(fields[STATE], fields[INODE], unsent, unread)] += 1
    return "; ".join(f"{count} x {kind}" for kind, count in sorted(found.items())) or "no socket"


def _describe_connection(state: str, inode: str, unsent: int, unread: int) -> str:
    kind = "open" if state == ESTABLISHED else f"state {state}"
    kind += ", not accepted" if inode == NOT_ACCEPTED else ""
    kind += ", unread bytes" if unread else ""
    return kind + (", unsent bytes" if unsent else "")
