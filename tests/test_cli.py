"""Tests of the command: its verbs, its errors on wrong usage, and the start and end of `serve`."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Iterator

import pytest
from daemons import LISTENER, route

from loadbalancer.cli.__main__ import main

ROOT = Path(__file__).parent.parent
EXAMPLE = str(ROOT / "deploy" / "micastand.toml")
COMMAND = [sys.executable, "-m", "loadbalancer.cli"]


def run(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str, str]:
    try:
        code = main(arguments)
    except SystemExit as end:  # argparse
        code = int(end.code or 0)
    out, err = capsys.readouterr()
    assert "Traceback" not in out + err
    return code, out, err


@pytest.mark.parametrize(
    "arguments", [["--help"], ["serve", "--help"], ["check", "-h"], ["routes", "--help"]]
)
def test_help_prints_the_usage(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    code, out, _ = run(capsys, *arguments)
    assert code == 0 and out.startswith("usage: micastand")


@pytest.mark.parametrize(
    "arguments",
    [[], ["nothing"], ["check"], ["check", "a", "b"], ["routes", EXAMPLE], ["serve", "--nothing"],
     ["routes", EXAMPLE, "/", "-H", "no colon"], ["routes", EXAMPLE, "/", "-l", "none"],
     ["routes", EXAMPLE, "no path"], ["routes", EXAMPLE, "/../.."]],
)  # fmt: skip
def test_wrong_usage_exits_with_2(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    code, out, err = run(capsys, *arguments)
    assert code == 2 and err and not out


def test_check_reports_every_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(capsys, "check", EXAMPLE)[0] == 0
    path = tmp_path / "bad.toml"
    path.write_text(LISTENER + route("r", "none") + "[[pool]]\nname = 'p'\n")
    code, _, err = run(capsys, "check", str(path))
    assert code == 1 and f"{path}: route[r].pool: there is no [[pool]] named 'none'" in err
    assert f"{path}: pool[p]: members come from one of" in err and "2 errors" in err
    assert run(capsys, "check", str(tmp_path / "none"))[0] == 1
    assert run(capsys, "serve", "-c", str(path))[0] == 1


def test_routes_explains_the_destination_of_a_request(capsys: pytest.CaptureFixture[str]) -> None:
    code, out, _ = run(capsys, "routes", EXAMPLE, "http://h/api/x", "-X", "POST", "-H", "Idempotency-Key: 1")
    assert code == 0
    for words in (
        "route     api",
        "pool      booking",
        "class     book: keyed",
        "idempotency-key is present",
        "b1 (127.0.0.1:9001, weight 1)",
        "standby set 0",
    ):
        assert words in out
    out = run(capsys, "routes", EXAMPLE, "/api/x", "-X", "POST")[1]
    assert "class     book-unsafe: unsafe" in out and "is missing" in out
    assert "sticky    by SCREEN" in run(capsys, "routes", EXAMPLE, "/x")[1]


def test_routes_names_the_routes_that_do_not_match(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "m.toml"
    member = '[[pool.member]]\nid = "a"\naddress = "127.0.0.1:1"\nstate = "stopped"\n'
    path.write_text(
        LISTENER + route("put", "p", 'methods = ["PUT"]', prefix="/a") + f'[[pool]]\nname = "p"\n{member}'
    )
    code, out, _ = run(capsys, "routes", str(path), "/a")
    assert code == 1 and "not       route put: the method GET is not among PUT" in out and "404" in out
    assert "a stopped" in run(capsys, "routes", str(path), "/a", "-X", "PUT")[1]


@contextmanager
def serving(*arguments: str) -> Iterator[tuple[subprocess.Popen[str], tuple[str, int]]]:
    """Run the proxy as a process; yield it and the address that it prints."""
    process = subprocess.Popen(
        [*COMMAND, "serve", *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONUNBUFFERED="1"),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        assert "listens on http://" in line, process.stderr and process.stderr.read()
        host, _, port = line.strip().rpartition("http://")[2].rstrip("/").rpartition(":")
        yield process, (host, int(port))
    finally:
        process.kill()
        process.communicate()


def exchange(
    address: tuple[str, int], data: bytes = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
) -> bytes:
    with socket.create_connection(address, 10) as sock:
        sock.sendall(data)
        received = b""
        while part := sock.recv(65536):
            received += part
    return received


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_the_embedded_default_serves_and_ends_cleanly(number: Any) -> None:
    with serving("-a", "127.0.0.1:0") as (process, address):
        assert process.stdout is not None
        assert f"curl -i http://{address[0]}:{address[1]}/" in process.stdout.readline()
        names = set()
        for _ in range(40):
            answer = exchange(address)
            assert answer.startswith(b"HTTP/1.1 200")
            names.add(answer.rpartition(b'"member": "')[2][:2])
        assert len(names) == 6
        process.send_signal(number)
        out, err = process.communicate(timeout=20)
        assert process.returncode == 0 and "ended" in out and not err


def test_sighup_reloads_the_file(tmp_path: Path) -> None:
    path = tmp_path / "m.toml"
    member = '[[pool]]\nname = "p"\n[[pool.member]]\nid = "a"\naddress = "127.0.0.1:1"\n'
    path.write_text(LISTENER + route("r", "p", prefix="/a") + member)
    with serving("-c", str(path)) as (process, address):
        assert process.stderr is not None
        assert exchange(address).startswith(b"HTTP/1.1 503")  # nothing listens at the member
        path.write_text("broken")
        process.send_signal(signal.SIGHUP)
        assert "not taken" in process.stderr.readline()
        assert exchange(address).startswith(b"HTTP/1.1 503")
        path.write_text(LISTENER + route("r", "p", prefix="/b") + member)
        process.send_signal(signal.SIGHUP)
        while "new configuration taken" not in process.stderr.readline():
            pass
        assert exchange(address).startswith(b"HTTP/1.1 404")


def test_sighup_during_the_start_reloads_and_does_not_end_the_process(tmp_path: Path) -> None:
    """The signal arrives while the process reads its file, which is a named pipe so that the read blocks."""
    path = tmp_path / "m.toml"
    os.mkfifo(path)
    member = '[[pool]]\nname = "p"\n[[pool.member]]\nid = "a"\naddress = "127.0.0.1:1"\n'
    text = LISTENER + route("r", "p", prefix="/a") + member
    process = subprocess.Popen(
        [*COMMAND, "serve", "-c", str(path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        with open(path, "w") as pipe:  # blocks until the program opens the file
            process.send_signal(signal.SIGHUP)
            (tmp_path / "new").write_text(text)
            (tmp_path / "new").replace(path)
            pipe.write(text)
        assert process.stdout is not None and process.stderr is not None
        assert "listens on http://" in process.stdout.readline()
        while "new configuration taken" not in (line := process.stderr.readline()):
            assert line, "the process has ended"
    finally:
        process.kill()
        process.communicate()


def test_an_address_in_use_is_reported_without_a_traceback() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        done = subprocess.run(
            [*COMMAND, "serve", "-a", f"127.0.0.1:{port}"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert done.returncode == 1 and "can't listen" in done.stderr and "Traceback" not in done.stderr


def test_an_invalid_address_is_wrong_usage() -> None:
    done = subprocess.run(
        [*COMMAND, "serve", "-a", "nowhere"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2 and "127.0.0.1:8080" in done.stderr and "Traceback" not in done.stderr


def test_the_platforms_run_imports_no_daemon_modules() -> None:
    """The platform's `run` imports no msgspec, no module of the daemon and no stand-ins."""
    code = "import sys, loadbalancer.platform.main, loadbalancer.platform.simulator; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30, check=True
    )
    loaded = set(done.stdout.split())
    assert "uvloop" in loaded
    for name in (
        "msgspec",
        "tomllib",
        "loadbalancer.config",
        "loadbalancer.daemon",
        "loadbalancer.routing.routes",
        "loadbalancer.routing.targets",
        "loadbalancer.routing.fair_shares",
        "loadbalancer.frontends.routed_http",
        "standins",
        "argparse",
        "loadbalancer.fleet",
        "blake3",
    ):
        assert name not in loaded, name


def test_serve_reports_errors_found_only_at_the_start(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "bad.wat").write_text("(module (func $x unknown))")
    path = tmp_path / "c.toml"
    path.write_text(
        '[[plugin]]\nname = "p"\nfile = "bad.wat"\n[[listener]]\nname = "l"\naddress = "127.0.0.1:0"\n'
        '[[route]]\nname = "r"\nprefix = "/"\npool = "q"\nplugins = ["p"]\n'
        '[[pool]]\nname = "q"\nmember = [{ id = "m", address = "127.0.0.1:9" }]\n'
    )
    assert main(["serve", "-c", str(path)]) == 1
    err = capsys.readouterr().err
    assert "plugin[p]" in err and "1 error; nothing was changed" in err and "Traceback" not in err
