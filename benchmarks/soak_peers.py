"""The peers of a soak: members that record executed requests, discovery, and clients that reuse connections."""

from __future__ import annotations

import asyncio
import json
import random
import re
import time
from collections import defaultdict, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Callable, Iterator

from standins.slow_member import AnswerPlan, answer_body, write_answer, write_curve

Address = tuple[str, int]

#: Seconds after its deadline in which an answer is only late; after that, it counts as lost.
LATE_ANSWER_S = 0.5
#: Allowance, in seconds, added to each time limit for the delay of sockets.
SOCKET_SLACK_S = 0.05
#: Allowance, in seconds, added to each time limit for a process that is kept from running.
STALL_S = 0.15
#: Longest pause of a client, in seconds, between two requests on a connection.
MAX_PAUSE_S = 0.05
#: Seconds after which a client whose connection was refused reconnects.
RECONNECT_S = 0.02
#: Seconds between two empty lines (heartbeats) of a watch.
WATCH_INTERVAL_S = 2.0
#: Number of events reported with a broken rule.
MAX_REPORTED_EVENTS = 30


@dataclass
class Journal:
    """Records the latest events of a run and the rules that were broken."""

    started_at: float = field(default_factory=time.monotonic)
    events: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REPORTED_EVENTS))
    violations: list[str] = field(default_factory=list)
    preceding_events: list[str] = field(default_factory=list)
    loop_lag_s: float = 0.0

    def record(self, event: str) -> None:
        self.events.append(f"{time.monotonic() - self.started_at:7.3f} {event}")

    def record_violation(self, rule: str, text: str) -> None:
        self.record(f"BROKEN {rule}: {text}")
        if not self.violations:
            self.preceding_events = list(self.events)
        self.violations.append(f"{rule}: {text}")

    async def measure_loop_lag(self) -> None:
        """Measure the lag of this process's own event loop, so that it is not attributed to the proxy."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.loop_lag_s = max(self.loop_lag_s, time.monotonic() - before - 0.01)


class SoakMember:
    """Records each request as executed and answers with its identifier. `fault` is "", "hang" or "slow"."""

    def __init__(self, name: str, journal: Journal, idle_close_s: float) -> None:
        self.name = name
        self.fault = ""
        self.drain_deadline = float("inf")
        self.executions: dict[str, list[float]] = defaultdict(list)
        self._journal = journal
        self._idle_close_s = idle_close_s
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            while True:
                async with asyncio.timeout(self._idle_close_s):
                    head = await reader.readuntil(b"\r\n\r\n")
                txn = (re.search(rb"(?i)x-txn: *(\S+)", head) or [b"", b""])[1].decode()
                length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                self._record_execution(txn)
                if self.fault == "hang":
                    await reader.read()
                    break
                await asyncio.sleep(0.2 if self.fault == "slow" else 0.003)
                if b"?" in head.split(b" ", 2)[1]:
                    plan = AnswerPlan.from_target(head.split(b" ", 2)[1].decode())
                    if plan.curve:
                        await write_curve(writer, txn, plan)
                    else:
                        await write_answer(writer, answer_body(txn, plan.size), plan)
                    if plan.framing == "close":
                        break
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(txn), txn.encode()))
                await writer.drain()
        writer.close()

    def _record_execution(self, txn: str) -> None:
        now = time.monotonic()
        self.executions[txn].append(now)
        if txn and now > self.drain_deadline + SOCKET_SLACK_S + STALL_S:
            late_s = now - self.drain_deadline
            self._journal.record_violation("drain", f"{txn} at {self.name}, {late_s:.3f} s after its grace")


class SoakDiscovery:
    """Serves the endpoint list and watches of its changes.

    `on_entry_sent` is called with the name of each changed entry that has been written to a watch.
    """

    def __init__(self, on_entry_sent: Callable[[str], None]) -> None:
        self._on_entry_sent = on_entry_sent
        self.version = 1
        self.entries: list[dict[str, Any]] = []
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._is_stopped = False
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._is_stopped = True
        self._changed.set()

    def list(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": self.entries}

    def change(self, entry: dict[str, Any]) -> None:
        """Replace an entry and send the change to the watches."""
        self.version += 1
        self.entries = [entry if known["id"] == entry["id"] else known for known in self.entries]
        self._changes.append({"version": self.version, "full": False, "servers": [entry]})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            known = re.search(rb"from=(\d+)", head)
            if b"watch=1" not in head:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._stream_changes(writer, int(known[1]) if known else 0)
        writer.close()

    async def _stream_changes(self, writer: asyncio.StreamWriter, version: int) -> None:
        while not self._is_stopped:
            changed = self._changed
            newer_changes = [change for change in self._changes if change["version"] > version]
            lines = newer_changes if newer_changes or version else [self.list()]
            version = max(version, self.version)
            data = b"".join(json.dumps(line).encode() + b"\n" for line in lines) or b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            for change in newer_changes:
                self._on_entry_sent(change["servers"][0]["id"])
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), WATCH_INTERVAL_S)


@dataclass
class SoakClient:
    """A client that sends one request at a time and uses a connection for as long as it stays open.

    Attributes:
        may_be_closed_unread: Whether the proxy may close new connections unread, as idle ones use up the descriptors.
        connects_until: Monotonic time from which on it opens no new connection.
    """

    number: int
    address: Address
    journal: Journal
    random: random.Random
    deadline_s: float
    may_be_closed_unread: bool
    counts: dict[str, int]
    stopped: bool = False
    connects_until: float = float("inf")

    def _requests(self) -> Iterator[tuple[str, bytes]]:
        for count in range(1 << 30):
            lane = self.random.choice(("safe", "keyed", "unsafe"))
            txn = f"{lane}-{self.number}-{count}"
            method = "GET" if lane == "safe" else "POST"
            lines = [
                f"{method} /api HTTP/1.1",
                "Host: soak",
                f"X-Txn: {txn}",
                f"X-Lane: {lane}",
                f"X-Remaining: {self.deadline_s * 1000:.0f}m",
            ]
            lines += [f"Idempotency-Key: {txn}"] if lane == "keyed" else []
            lines += ["Content-Length: 0"] if lane != "safe" else []
            yield txn, "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def run(self) -> None:
        requests = self._requests()
        while not self.stopped:
            if time.monotonic() >= self.connects_until:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            await self._use_connection(reader, writer, requests)
            writer.close()

    async def _use_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: Iterator[tuple[str, bytes]],
    ) -> None:
        """Send requests on a connection until it is closed."""
        is_new_connection = True
        while not self.stopped:
            txn, data = next(requests)
            sent_at = time.monotonic()
            writer.write(data)
            try:
                head, body = await asyncio.wait_for(_read_answer(reader), self._timeout_s)
            except TimeoutError:
                self.journal.record_violation("lost", f"{txn}: no answer in {self._timeout_s:.2f} s")
                return
            except (OSError, asyncio.IncompleteReadError) as problem:
                if not (is_new_connection and self.may_be_closed_unread):
                    waited_s = time.monotonic() - sent_at
                    where = "new" if is_new_connection else "kept"
                    self.journal.record_violation(
                        "lost", f"{txn} on a {where} connection: {problem!r}, {waited_s:.3f} s"
                    )
                return
            self._check_response(txn, head, body)
            if b"connection: close" in head.lower():
                return
            is_new_connection = False
            await asyncio.sleep(self.random.random() * MAX_PAUSE_S)

    @property
    def _timeout_s(self) -> float:
        return self.deadline_s + LATE_ANSWER_S + SOCKET_SLACK_S + STALL_S + self.journal.loop_lag_s

    def _check_response(self, txn: str, head: bytes, body: bytes) -> None:
        status = head[9:12].decode()
        self.counts[status] = self.counts.get(status, 0) + 1
        if status == "200" and body != txn.encode():
            self.journal.record_violation("wrong answer", f"{txn} got {body!r}")
        elif status not in ("200", "429", "502", "503", "504"):
            self.journal.record_violation("wrong answer", f"{txn} got {status}")


async def _read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    body = await reader.readexactly(int(length[1])) if length else b""
    return head, body
