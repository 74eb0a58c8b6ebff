"""Runs the platform's `run` as a real process beside stand-in members, and samples the memory that it uses."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Sequence

from standins.slow_member import SlowMember

ROOT = Path(__file__).parent.parent
#: Seconds to wait for a process to accept connections.
START_TIMEOUT_S = 30.0
#: Seconds between two samples of the memory.
SAMPLE_INTERVAL_S = 0.02
KIB_PER_MB = 1024

Address = tuple[str, int]

CLASSES: list[dict[str, Any]] = [
    {"name": "safe", "aim-s": 0.6, "give-up-s": 1.5, "worth": 1.0, "effect": "read_like"},
    {"name": "keyed", "aim-s": 0.6, "give-up-s": 1.5, "worth": 1.0, "effect": "idempotency_key",
     "dedup-scope": "all", "dedup-window-s": 3.0},
    {"name": "unsafe", "aim-s": 0.6, "give-up-s": 1.5, "worth": 1.0, "effect": "non_idempotent"},
]  # fmt: skip

SETTINGS: dict[str, Any] = {
    "me": 0, "n-instances": 2, "zones": ["a"], "kinds": ["std"], "locality": 0,
    "registry-mode": "automatic", "classes": CLASSES,
    "policy-limits": {"max-attempts": 3, "second-copies": True, "cancelling": True,
                      "connect-timeout-s": 0.25, "idle-close-s": 5.0},
    "report": {"source": "none", "fields": []},
    "rules": {"answer-slack-s": 0.02, "drain-grace-s": 1.0, "cold-from": 0.3, "cold-s": 5.0,
              "overload-factor": 2.5, "fall-s": 2.0},
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits in a process's configuration."""

    memory_mb: int = 64
    sockets: int = 1024


def reserve_address() -> socket.socket:
    """Return a socket that keeps a loopback port from other processes, and does not listen.

    A listener that sets SO_REUSEADDR, as those of the proxy do, can bind its address all the same.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, or 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(sizes[0]) / KIB_PER_MB if sizes else 0.0


class PlatformRun:
    """One process of `run`, its members, and its peak of resident memory.

    Use it as an asynchronous context manager; all that it started ends with it.

    Attributes:
        base_mb: Resident memory once the process accepts connections.
        peak_mb: The largest sample since then.
    """

    def __init__(
        self, limits: Limits = Limits(), members: int = 4, settings: dict[str, Any] | None = None
    ) -> None:
        self._reserved = [reserve_address(), reserve_address()]
        self.address, self.management = (_address_of(sock) for sock in self._reserved)
        self.members: Sequence[SlowMember] = [SlowMember(f"m{number}") for number in range(members)]
        self.base_mb = 0.0
        self.peak_mb = 0.0
        self._limits = limits
        self._settings = SETTINGS if settings is None else settings
        self._folder = tempfile.TemporaryDirectory()
        self._process: asyncio.subprocess.Process | None = None
        self._sampling: asyncio.Task[None] | None = None

    async def __aenter__(self) -> PlatformRun:
        for member in self.members:
            await member.start()
        self._process = await self._start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _accepts(self.address):
                if not self.is_running:
                    raise RuntimeError(f"the process ended as it started: {self.log}")
                await asyncio.sleep(0.02)
        self.base_mb = self.peak_mb = resident_mb(self._process.pid)
        self._sampling = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(self, *problem: object) -> None:
        if self._sampling is not None:
            self._sampling.cancel()
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
        for member in self.members:
            await member.stop()
        for sock in self._reserved:
            sock.close()
        self._folder.cleanup()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def log(self) -> str:
        """What the process has written to its log."""
        return (Path(self._folder.name) / "log").read_text()

    async def read_stats(self) -> dict[str, Any]:
        """Return the figures that operators read."""
        reader, writer = await asyncio.open_connection(*self.management)
        writer.write(b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return dict(json.loads(answer.partition(b"\r\n\r\n")[2]))

    async def _start(self) -> asyncio.subprocess.Process:
        folder = Path(self._folder.name)
        path = folder / "config.json"
        path.write_text(json.dumps(self._configuration()))
        environment = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(folder)}
        with open(folder / "log", "wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "loadbalancer", cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _configuration(self) -> dict[str, Any]:
        where = {"zone": "a", "kind": "std", "cell": 0, "state": "SERVING", "weight": 1.0, "started_ms": 0}
        servers = [{"id": member.name, "addr": member.address, **where} for member in self.members]
        return {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": "127.0.0.1:1",
            "management": "{}:{}".format(*self.management),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self._limits.memory_mb, "sockets": self._limits.sockets},
            "settings": self._settings,
            "known": {"version": 1, "full": True, "servers": servers},
        }

    async def _sample(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, resident_mb(self.pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _address_of(sock: socket.socket) -> Address:
    host, port = sock.getsockname()
    return host, port


async def _accepts(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True
