"""The platform's `run` command as a process: its configuration, signals and exit."""

from __future__ import annotations

import importlib.util
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Iterator

import pytest
from peers import SETTINGS, request
from ports import reserve_port


def run(path: str | None) -> subprocess.CompletedProcess[bytes]:
    env = {k: v for k, v in os.environ.items() if k != "GW_CONFIG"} | ({"GW_CONFIG": path} if path else {})
    return subprocess.run(
        [sys.executable, "-m", "loadbalancer"], env=env, capture_output=True, timeout=30, check=False
    )


@pytest.mark.parametrize(
    "text", [None, "", "{", "[]", "{}", '{"settings":{},"listen":"a:1","discovery":"b:2"}']
)
def test_invalid_configuration_file_ends_the_start_with_one_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = run(str(path))
    assert done.returncode == 2
    assert done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr


def test_missing_configuration_variable_ends_the_start() -> None:
    done = run(None)
    assert done.returncode == 2 and b"GW_CONFIG" in done.stderr


def configuration(**other: Any) -> dict[str, Any]:
    free = [f"127.0.0.1:{reserve_port()}" for _ in range(2)]
    return {
        "name": "n0",
        "listen": free[0],
        "discovery": free[1],
        "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "known": None,
        "settings": SETTINGS,
        **other,
    }


@contextmanager
def running(tmp_path: Path, **other: Any) -> Iterator[tuple[subprocess.Popen[bytes], tuple[str, int]]]:
    box = configuration(**other)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(box))
    process = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"],
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        while b"listening" not in process.stderr.readline():
            assert process.poll() is None
        host, _, port = box["listen"].rpartition(":")
        yield process, (host, int(port))
    finally:
        process.kill()
        process.communicate()


def test_sigterm_ends_the_process_with_status_0(tmp_path: Path) -> None:
    with running(tmp_path) as (process, address):
        with socket.create_connection(address, 10) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")  # there is no endpoint list
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


ENTRY = {"id": "s", "addr": "127.0.0.1:9", "zone": "a", "kind": "std", "cell": 0, "state": "SERVING"}
LIST = {"version": 1, "full": True, "servers": [ENTRY]}


class BlockingDiscovery:
    """A discovery service with blocking calls that accepts the proxy's watch and sends a list of one endpoint."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(10)
        self.address = "{}:{}".format(*self.sock.getsockname())

    def accept_watch(self) -> socket.socket:
        watch, _ = self.sock.accept()
        watch.settimeout(10)
        assert b"watch=1" in watch.recv(1000)
        line = json.dumps(LIST).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        watch.sendall(b"%b%x\r\n%b\r\n" % (head, len(line), line))
        return watch


def reload(process: subprocess.Popen[bytes], tmp_path: Path, text: str) -> bytes:
    """Replace the file as a deployment does, send SIGHUP, and return the log line about the new configuration."""
    (tmp_path / "new").write_text(text)
    (tmp_path / "new").replace(tmp_path / "config.json")
    process.send_signal(signal.SIGHUP)
    assert process.stderr is not None
    while b"configuration" not in (line := process.stderr.readline()):
        assert line, "the process has ended"
    return line


def test_sighup_moves_the_watch_to_the_new_address(tmp_path: Path) -> None:
    old, new = BlockingDiscovery(), BlockingDiscovery()
    with running(tmp_path, discovery=old.address) as (process, _):
        before = old.accept_watch()
        box = json.loads((tmp_path / "config.json").read_text()) | {"discovery": new.address}
        assert b"taken" in reload(process, tmp_path, json.dumps(box))
        with new.accept_watch(), before:
            assert before.recv(1) == b""  # the old watch has ended
            assert process.poll() is None


@pytest.mark.parametrize("times", [1, 3])
def test_sighup_during_the_start_reloads_and_does_not_end_the_process(times: int, tmp_path: Path) -> None:
    """The signal arrives after the imports and before the file is read; a pipe in place of the file blocks the read."""
    old, new = BlockingDiscovery(), BlockingDiscovery()
    box = configuration(discovery=old.address)
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"],
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=subprocess.PIPE,
    )
    try:
        with open(path, "w") as pipe:  # opens once the program reads
            for _ in range(times):
                process.send_signal(signal.SIGHUP)
            (tmp_path / "new").write_text(json.dumps(box | {"discovery": new.address}))
            (tmp_path / "new").replace(path)
            pipe.write(json.dumps(box))
        new.accept_watch()
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"settings":{},"listen":"a:1","discovery":"b:2"}'])
def test_invalid_new_configuration_is_logged_and_not_applied(text: str, tmp_path: Path) -> None:
    discovery = BlockingDiscovery()
    with running(tmp_path, discovery=discovery.address, known=LIST) as (process, address):
        with discovery.accept_watch():
            assert b"not taken" in reload(process, tmp_path, text)
            with socket.create_connection(address, 10) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_uploads_stay_under_the_memory_limit(tmp_path: Path) -> None:
    """Sixty clients upload 60 MB each at a limit of 128 MB: they are rejected, and memory use does not grow."""
    with running(tmp_path) as (process, address):
        sockets = [socket.create_connection(address, 30) for _ in range(60)]
        for sock in sockets:
            sock.sendall(request("unsafe").replace(b"Length: 0", b"Length: 60000000"))
        for sock in sockets:
            with suppress(ConnectionError, TimeoutError):  # the rest of a rejected upload is not read
                sock.settimeout(0.05)
                sock.sendall(bytes(4 << 20))
        for sock in sockets:
            assert sock.recv(12).endswith(b"413")
        status = Path(f"/proc/{process.pid}/status").read_text()
        peak = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
        assert peak < 48 << 10
        with socket.create_connection(address, 10) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")
        for sock in sockets:
            sock.close()


def test_platform_command_does_not_import_the_admission_rules() -> None:
    code = "import sys, loadbalancer.platform.main; print(*(m for m in sys.modules if m.startswith('loadbalancer.')))"
    imported = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "loadbalancer.admission.pressure" in imported
    for name in (
        "admission.admission",
        "admission.addresses",
        "admission.proxyprotocol",
        "frontends.admission_gate",
        "frontends.reserve_descriptors",
    ):
        # Without this a renamed module would make the check below void.
        assert importlib.util.find_spec(f"loadbalancer.{name}") is not None
        assert f"loadbalancer.{name}" not in imported
