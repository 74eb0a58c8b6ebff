"""The command: its verbs, what it says of wrong use, and how it begins and ends."""

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
def test_help_on_every_verb(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    code, out, _ = run(capsys, *arguments)
    assert code == 0 and out.startswith("usage: micastand")


@pytest.mark.parametrize(
    "arguments",
    [[], ["nothing"], ["check"], ["check", "a", "b"], ["routes", EXAMPLE], ["serve", "--nothing"],
     ["routes", EXAMPLE, "/", "-H", "no colon"], ["routes", EXAMPLE, "/", "-l", "none"],
     ["routes", EXAMPLE, "no path"], ["routes", EXAMPLE, "/../.."]],
)  # fmt: skip
def test_wrong_use_ends_with_2(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    code, out, err = run(capsys, *arguments)
    assert code == 2 and err and not out


def test_check_tells_what_is_wrong(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run(capsys, "check", EXAMPLE)[0] == 0
    path = tmp_path / "bad.toml"
    path.write_text(LISTENER + route("r", "none") + "[[pool]]\nname = 'p'\n")
    code, _, err = run(capsys, "check", str(path))
    assert code == 1 and f"{path}: route[r].pool: there is no [[pool]] named 'none'" in err
    assert f"{path}: pool[p]: members come from one of" in err and "2 errors" in err
    assert run(capsys, "check", str(tmp_path / "none"))[0] == 1
    assert run(capsys, "serve", "-c", str(path))[0] == 1


def test_routes_tells_where_a_request_goes_and_why(capsys: pytest.CaptureFixture[str]) -> None:
    code, out, _ = run(capsys, "routes", EXAMPLE, "http://h/api/x", "-X", "POST", "-H", "Idempotency-Key: 1")
    assert code == 0
    for words in (
        "route     api",
        "pool      booking",
        "class     book: keyed",
        "idempotency-key is there",
        "b1 (127.0.0.1:9001, weight 1)",
        "standby set 0",
    ):
        assert words in out
    out = run(capsys, "routes", EXAMPLE, "/api/x", "-X", "POST")[1]
    assert "class     book-unsafe: unsafe" in out and "is missing" in out
    assert "sticky    by SCREEN" in run(capsys, "routes", EXAMPLE, "/x")[1]


def test_routes_names_those_that_were_passed_over(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
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
    """The proxy as a process, and where it says that it listens."""
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


def ask(
    address: tuple[str, int], data: bytes = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
) -> bytes:
    with socket.create_connection(address, 10) as sock:
        sock.sendall(data)
        got = b""
        while part := sock.recv(65536):
            got += part
    return got


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_the_embedded_default_serves_and_ends_cleanly(number: Any) -> None:
    with serving("-a", "127.0.0.1:0") as (process, address):
        assert process.stdout is not None
        assert f"curl -i http://{address[0]}:{address[1]}/" in process.stdout.readline()
        names = set()
        for _ in range(40):
            answer = ask(address)
            assert answer.startswith(b"HTTP/1.1 200")
            names.add(answer.rpartition(b'"member": "')[2][:2])
        assert len(names) == 6
        process.send_signal(number)
        out, err = process.communicate(timeout=20)
        assert process.returncode == 0 and "ended" in out and not err


def test_a_file_is_taken_anew_at_sighup(tmp_path: Path) -> None:
    path = tmp_path / "m.toml"
    member = '[[pool]]\nname = "p"\n[[pool.member]]\nid = "a"\naddress = "127.0.0.1:1"\n'
    path.write_text(LISTENER + route("r", "p", prefix="/a") + member)
    with serving("-c", str(path)) as (process, address):
        assert process.stderr is not None
        assert ask(address).startswith(b"HTTP/1.1 503")  # nothing listens there, and it never ran
        path.write_text("broken")
        process.send_signal(signal.SIGHUP)
        assert "not taken" in process.stderr.readline()
        assert ask(address).startswith(b"HTTP/1.1 503")
        path.write_text(LISTENER + route("r", "p", prefix="/b") + member)
        process.send_signal(signal.SIGHUP)
        while "new configuration taken" not in process.stderr.readline():
            pass
        assert ask(address).startswith(b"HTTP/1.1 404")


def test_a_sighup_that_comes_while_it_starts_is_heard_and_ends_nothing(tmp_path: Path) -> None:
    """While it reads its file, held there by a pipe in the file's place."""
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
        with open(path, "w") as pipe:  # opens once the program reads
            process.send_signal(signal.SIGHUP)
            (tmp_path / "new").write_text(text)
            (tmp_path / "new").replace(path)
            pipe.write(text)
        assert process.stdout is not None and process.stderr is not None
        assert "listens on http://" in process.stdout.readline()
        while "new configuration taken" not in (line := process.stderr.readline()):
            assert line, "it has ended"
    finally:
        process.kill()
        process.communicate()


def test_an_address_in_use_is_said_in_a_line() -> None:
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


def test_an_address_that_is_none_is_wrong_use() -> None:
    done = subprocess.run(
        [*COMMAND, "serve", "-a", "nowhere"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2 and "127.0.0.1:8080" in done.stderr and "Traceback" not in done.stderr


def test_the_platforms_run_imports_nothing_of_ours() -> None:
    """It stays as lean as it is: no msgspec, no file of ours, no stand-ins."""
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


def test_serve_tells_what_shows_only_once_a_file_is_used(
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
