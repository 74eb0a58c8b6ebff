"""What the cases share: a stand-in for discovery, one for a client, and the proxy as the platform starts it.

Everything here follows the operators' pages; only the standard library is used.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any, Callable, TextIO

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 2.0  # while nothing changes, a watch brings an empty line every 2 s
READY_S = 30.0  # a proxy may take this long to be ready

TRACK = {
    "name": "track", "effect": "read_like", "aim-s": 0.6, "give-up-s": 1.5, "worth": 3.0, "late-share": 0.0,
    "dedup-scope": "all", "dedup-window-s": 5.0, "stream": False,
}  # fmt: skip
BOOK = {
    "name": "book", "effect": "idempotency_key", "aim-s": 1.5, "give-up-s": 5.0, "worth": 10.0, "late-share": 0.0,
    "dedup-scope": "all", "dedup-window-s": 3.0, "stream": False,
}  # fmt: skip


def with_disruption() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def settings(*classes: dict[str, Any]) -> dict[str, Any]:
    """Return the settings object of a small deployment, as the operators' page shows it, with these classes."""
    return {
        "callers": {"marks-retry": False},
        "classes": list(classes),
        "counted-by": "request",
        "domain": {"warm-keys": False},
        "domain-type": "proxy",
        "kinds": ["std", "slow"],
        "locality": 0,
        "me": 0,
        "n-instances": 1,
        "over-share-worth": 0.1,
        "policy-limits": {
            "cancelling": True, "connect-timeout-s": 0.25, "cpu-us-per-request": 10.0, "cpu-us-per-s": 15000,
            "idle-close-s": 30.0, "max-attempts": 5, "max-open": 20000, "max-retry-after-s": 2.0, "peers": False,
            "probes": True, "retry-after": True, "second-copies": True, "streams-per-conn": 1,
        },
        "quantum-s": 0.005,
        "registry-mode": "subscribe",
        "report": {"fields": ["recent_ms", "throughput", "utilization"], "source": "answers"},
        "rules": {
            "answer-slack-s": 0.02, "ask-within-s": 10.0, "cold-from": 0.31, "cold-s": 8.1, "drain-grace-s": 2.0,
            "fall-s": 3.0, "overload-factor": 2.5,
        },
        "tenants": [],
        "tier": 0,
        "tiers": ["booking-web"],
        "weights": "nominal",
        "zones": ["bangna", "lat-krabang"],
    }  # fmt: skip


class Discovery:
    """Answers a watch with the whole list, and then with an empty line every 2 s: nothing changes."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.servers = servers
        self._socket = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        line = json.dumps({"version": 41, "full": True, "servers": self.servers}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        with connection:
            try:
                request = b""
                while b"\r\n\r\n" not in request:
                    request += connection.recv(65536) or b"\r\n\r\n"
                connection.sendall(head)
                while True:
                    connection.sendall(b"%x\r\n%b\r\n" % (len(line), line))
                    line = b"\n"
                    time.sleep(HEARTBEAT_S)
            except OSError:
                return


class Client:
    """A client: one request at a time on a connection, which it keeps as long as the proxy does."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._connection: socket.socket | None = None
        self._received = b""

    def ask(self, head: str, body: bytes, wait_s: float) -> tuple[int, bytes] | str:
        """Send a request; return the status and the body of its answer, or what came instead."""
        try:
            if not self.is_connected():
                self._connection = socket.create_connection((HOST, self._port), 2.0)
                self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._received = b""
            assert self._connection is not None
            self._connection.settimeout(wait_s)
            self._connection.sendall(head.encode() + b"\r\n" + body)
            return self._read_answer(self._connection)
        except OSError as problem:
            self.close()
            return f"no answer: {type(problem).__name__}"

    def is_connected(self) -> bool:
        """Return whether the next request goes out on a connection that is kept."""
        if self._connection is not None and select.select([self._connection], [], [], 0)[0]:
            self.close()  # the proxy has closed it, or has sent what belongs to no request
        return self._connection is not None

    def _read_answer(self, connection: socket.socket) -> tuple[int, bytes]:
        while b"\r\n\r\n" not in self._received:
            self._receive(connection)
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        status, *lines = head.lower().split(b"\r\n")
        fields = {name.strip(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
        length = int(fields.get(b"content-length", b"0"))
        while len(self._received) < length:
            self._receive(connection)
        body, self._received = self._received[:length], self._received[length:]
        if fields.get(b"connection") == b"close":
            self.close()
        return int(status.split()[1]), body

    def _receive(self, connection: socket.socket) -> None:
        data = connection.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self._received += data

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def request_head(lane: str, transaction: str, wait_ms: int, *lines: str, length: int | None = None) -> str:
    """Return the head of a client's request, without the empty line; a POST if it has a length."""
    method = "GET" if length is None else "POST"
    more = [] if length is None else [f"Content-Length: {length}"]
    fields = [
        "Host: app.svc",
        f"X-Txn: {transaction}",
        f"X-Lane: {lane}",
        f"X-Remaining: {wait_ms}m",
        *lines,
        *more,
    ]
    return "".join(f"{line}\r\n" for line in [f"{method} /api HTTP/1.1", *fields])


class Deployment:
    """Starts servers, discovery and one proxy; ends all of them, and writes the record."""

    def __init__(self, case: str) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record: TextIO = open(pathlib.Path(case).resolve().parent / "record.txt", "w")  # noqa: SIM115
        self.began = time.monotonic()
        self._processes: list[subprocess.Popen[Any]] = []
        self._lock = threading.Lock()
        self.port = 0

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line into the record, with the seconds since the start of the case."""
        with self._lock:
            self.record.write(f"{(time.monotonic() if at is None else at) - self.began:9.4f}  {text}\n")

    def start_server(self, script: str, *arguments: str) -> int:
        """Start a stand-in for a server as a process; it prints the port on which it listens."""
        server = subprocess.Popen([sys.executable, script, *arguments], stdout=subprocess.PIPE, text=True)
        self._processes.append(server)
        assert server.stdout is not None
        return int(server.stdout.readline())

    def start_proxy(self, box: dict[str, Any], ports: list[int], zones: list[str] | None = None) -> None:
        """Start discovery and the proxy, with `run` of the deploy file, and wait until it is ready."""
        servers = [
            {"id": f"s-{number:08x}", "addr": f"{HOST}:{port}", "zone": zone, "kind": "std", "cell": 0,
             "state": "SERVING", "weight": 1.0, "started_ms": 0}
            for number, (port, zone) in enumerate(zip(ports, zones or ["bangna"] * len(ports), strict=True))
        ]  # fmt: skip
        discovery = Discovery(servers)
        with socket.create_server((HOST, 0)) as free:
            self.port = free.getsockname()[1]
        listen, path = f"{HOST}:{self.port}", self.folder / "config.json"
        configuration = {
            "name": "n0", "listen": listen, "discovery": discovery.address, "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 41, "full": True, "servers": servers}, "settings": box,
        }  # fmt: skip
        path.write_text(json.dumps(configuration))
        temporary = self.folder / "tmp"
        temporary.mkdir()
        environment = {
            **os.environ, "GW_NAME": "n0", "GW_LISTEN": listen, "GW_DISCOVERY": discovery.address,
            "GW_CONFIG": str(path), "TMPDIR": str(temporary),
        }  # fmt: skip
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with open(self.folder / "proxy.log", "wb") as log:
            proxy = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._processes.insert(0, proxy)
        self._wait_until_ready(proxy)

    def _wait_until_ready(self, proxy: subprocess.Popen[Any]) -> None:
        until = time.monotonic() + READY_S
        question = "GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n"
        while time.monotonic() < until and proxy.poll() is None:
            answer = Client(self.port).ask(question, b"", 1.0)
            if not isinstance(answer, str) and answer[0] == 200:
                return
            time.sleep(0.05)
        raise RuntimeError("the proxy is not ready")

    def proxy_lives(self) -> bool:
        """Return whether the proxy still runs."""
        return self._processes[0].poll() is None

    def end(self) -> None:
        """End all processes, the proxy first, and close the record."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                try:
                    process.wait(6.0)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        log = self.folder / "proxy.log"
        if log.exists():
            self.record.write("log of the proxy:\n" + log.read_text(errors="replace"))
        self.record.close()


def run_case(case: str, play: Callable[[Deployment], int]) -> None:
    """Play a case and exit with its verdict; whatever goes wrong before that means that it could not run."""
    deployment = Deployment(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    verdict = NOT_RUN
    try:
        verdict = play(deployment)
        deployment.note(f"verdict: {verdict} (0: the rule held, 1: broken, 2: the case could not run)")
    except Exception as problem:  # noqa: BLE001
        deployment.note(f"the case could not run: {problem!r}")
    finally:
        deployment.end()
    sys.exit(verdict)
