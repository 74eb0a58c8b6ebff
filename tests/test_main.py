"""The program: configuration, and its end."""

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
def test_a_start_without_its_configuration_ends_with_one_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = run(str(path))
    assert done.returncode == 2
    assert done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr


def test_no_configuration_named() -> None:
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


def test_sigterm_ends_it_with_0(tmp_path: Path) -> None:
    with running(tmp_path) as (process, address):
        with socket.create_connection(address, 10) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")  # no list is held
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


ENTRY = {"id": "s", "addr": "127.0.0.1:9", "zone": "a", "kind": "std", "cell": 0, "state": "SERVING"}
LIST = {"version": 1, "full": True, "servers": [ENTRY]}


class Agent:
    """Discovery in blocking calls: it takes the proxy's watch and writes a list of one backend."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(10)
        self.address = "{}:{}".format(*self.sock.getsockname())

    def watched(self) -> socket.socket:
        watch, _ = self.sock.accept()
        watch.settimeout(10)
        assert b"watch=1" in watch.recv(1000)
        line = json.dumps(LIST).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        watch.sendall(b"%b%x\r\n%b\r\n" % (head, len(line), line))
        return watch


def reload(process: subprocess.Popen[bytes], tmp_path: Path, text: str) -> bytes:
    """Replace the file as a deployment does, signal, and wait for the line that tells what became of it."""
    (tmp_path / "new").write_text(text)
    (tmp_path / "new").replace(tmp_path / "config.json")
    process.send_signal(signal.SIGHUP)
    assert process.stderr is not None
    while b"configuration" not in (line := process.stderr.readline()):
        assert line, "the process has ended"
    return line


def test_sighup_moves_the_watch_to_the_new_address(tmp_path: Path) -> None:
    old, new = Agent(), Agent()
    with running(tmp_path, discovery=old.address) as (process, _):
        before = old.watched()
        box = json.loads((tmp_path / "config.json").read_text()) | {"discovery": new.address}
        assert b"taken" in reload(process, tmp_path, json.dumps(box))
        with new.watched(), before:
            assert before.recv(1) == b""  # the old watch has ended
            assert process.poll() is None


@pytest.mark.parametrize("times", [1, 3])
def test_a_sighup_that_comes_while_it_starts_is_heard_and_ends_nothing(times: int, tmp_path: Path) -> None:
    """Between the loading of the program and the reading of its file, held there by a pipe in the file's place."""
    old, new = Agent(), Agent()
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
        new.watched()
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"settings":{},"listen":"a:1","discovery":"b:2"}'])
def test_a_bad_new_configuration_is_logged_and_the_old_one_stays(text: str, tmp_path: Path) -> None:
    agent = Agent()
    with running(tmp_path, discovery=agent.address, known=LIST) as (process, address):
        with agent.watched():
            assert b"not taken" in reload(process, tmp_path, text)
            with socket.create_connection(address, 10) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_uploads_stay_under_the_memory_limit(tmp_path: Path) -> None:
    """Sixty clients with 60 MB each against 128 MB: they are turned away, and memory stays where it was."""
    with running(tmp_path) as (process, address):
        socks = [socket.create_connection(address, 30) for _ in range(60)]
        for sock in socks:
            sock.sendall(request("unsafe").replace(b"Length: 0", b"Length: 60000000"))
        for sock in socks:
            with suppress(ConnectionError, TimeoutError):  # a refused one is not read to its end
                sock.settimeout(0.05)
                sock.sendall(bytes(4 << 20))
        for sock in socks:
            assert sock.recv(12).endswith(b"413")
        status = Path(f"/proc/{process.pid}/status").read_text()
        peak = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
        assert peak < 48 << 10
        with socket.create_connection(address, 10) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")
        for sock in socks:
            sock.close()


def test_the_platform_loads_no_rules_for_addresses() -> None:
    words = "import sys, loadbalancer.platform.main; print(*(m for m in sys.modules if m.startswith('loadbalancer.')))"
    said = subprocess.run(
        [sys.executable, "-c", words], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "loadbalancer.admission.pressure" in said
    for name in (
        "admission.admission",
        "admission.addresses",
        "admission.proxyprotocol",
        "frontends.admission_gate",
        "frontends.reserve_descriptors",
    ):
        assert (
            importlib.util.find_spec(f"loadbalancer.{name}") is not None
        )  # a name that is gone checks nothing
        assert f"loadbalancer.{name}" not in said
