"""Runs the processes of a benchmark: members, a proxy and clients, each pinned to a core of its own."""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, Iterator, Sequence

from loadbalancer.resource_limits import RateLimitedLogger

ROOT = Path(__file__).parent.parent

#: Names of the proxy's package, the current one first: an older revision may have the earlier name.
PACKAGE_NAMES = ("loadbalancer", "spokemast")

#: Minimal settings of a platform's configuration for `run`.
PLATFORM: dict[str, Any] = {
    "me": 0, "n-instances": 2, "zones": ["a", "b"], "kinds": ["std"], "locality": 0, "registry-mode": "automatic",
    "classes": [
        {"name": "track", "aim-s": 2.0, "give-up-s": 4.0, "worth": 1.0, "effect": "read_like"},
        {"name": "book", "aim-s": 4.0, "give-up-s": 8.0, "worth": 1.0, "effect": "idempotency_key",
         "dedup-scope": "all", "dedup-window-s": 3.0},
    ],
    "policy-limits": {"max-attempts": 3, "second-copies": True, "cancelling": True, "idle-close-s": 30.0},
    "rules": {"answer-slack-s": 0.02, "drain-grace-s": 1.0, "cold-from": 0.3, "cold-s": 5.0,
              "overload-factor": 2.5, "fall-s": 2.0},
}  # fmt: skip


class DiscardingLogger(RateLimitedLogger):
    """A logger that discards everything."""

    def __call__(self, kind: str, text: object = "") -> None:
        pass


def arguments(description: str | None, base: str, connections: int) -> argparse.Namespace:
    """Parse the options of a benchmark of two builds: rounds, seconds, connections, and the revision of the other."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--connections", type=int, default=connections)
    parser.add_argument("--base", default=base)
    return parser.parse_args()


def cores() -> list[int]:
    return sorted(os.sched_getaffinity(0))


@contextmanager
def process(core: int, *command: str, **options: Any) -> Iterator[subprocess.Popen[str]]:
    """Run a child process pinned to one core; kill it at the end."""
    child = subprocess.Popen(
        [sys.executable, *command],
        cwd=options.pop("cwd", ROOT),
        text=True,
        stdout=subprocess.PIPE,
        stdin=subprocess.PIPE,
        **options,
    )
    os.sched_setaffinity(child.pid, {cores()[core % len(cores())]})
    try:
        yield child
    finally:
        child.kill()
        child.communicate()


def read_line(child: subprocess.Popen[str]) -> str:
    assert child.stdout is not None
    line = child.stdout.readline()
    if not line:
        raise SystemExit(f"a process ended before it wrote a line: {child.args!r}")
    return line


@contextmanager
def members(core: int, *arguments: str) -> Iterator[dict[str, str]]:
    """Run stand-in members and yield their addresses by name."""
    with process(core, "-m", "standins", *arguments) as child:
        yield json.loads(read_line(child))


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def platform_configuration(listen: str, addresses: dict[str, str], sockets: int) -> dict[str, Any]:
    """Return a configuration of the platform's form.

    `addresses` are the endpoints' addresses by name; `sockets` is the limit of sockets.
    """
    entries = [
        {
            "id": name,
            "addr": address,
            "zone": "a",
            "kind": "std",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }
        for name, address in addresses.items()
    ]
    return {
        "name": "n0",
        "listen": listen,
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets},
        "settings": PLATFORM,
        "known": {"version": 1, "full": True, "servers": entries},
    }


@contextmanager
def platform_proxy(
    core: int, addresses: dict[str, str], tree: Path = ROOT, management: str = ""
) -> Iterator[tuple[str, int]]:
    """Start `run` of a checkout and yield its address and process id.

    `management` is the operators' address; empty for none.
    """
    address = f"127.0.0.1:{free_port()}"
    document = platform_configuration(address, addresses, sockets=1024)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(document))
        env = dict(os.environ, GW_CONFIG=str(path), PYTHONPATH=str(tree), GW_MANAGEMENT=management)
        with process(core, "-m", package_name(tree), cwd=tree, env=env, stderr=subprocess.PIPE) as child:
            assert child.stderr is not None
            while "listening" not in (line := child.stderr.readline()):
                if not line:
                    raise SystemExit(f"the proxy of {tree} ended before it was listening")
            yield address, child.pid


@contextmanager
def daemon(core: int, text: str) -> Iterator[tuple[dict[str, str], int]]:
    """Start `micastand serve` with a configuration; yield its listeners' addresses by name, and its process id."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "micastand.toml"
        path.write_text(text)
        command = ("-m", "loadbalancer.cli", "serve", "-c", str(path))
        with process(core, *command, stderr=subprocess.DEVNULL) as child:
            listeners = {}
            for _ in range(text.count("[[listener]]")):
                fields_of_line = read_line(child).split()
                listeners[fields_of_line[1]] = fields_of_line[-1].removeprefix("http://").rstrip("/")
            yield listeners, child.pid


ONE_POOL = """[process]
descriptors = {descriptors}
[[class]]
name = "track"
aim = "2s"
deadline = "4s"
[[route]]
name = "api"
prefix = "/"
pool = "p"
class = "track"
[[listener]]
name = "main"
address = "127.0.0.1:0"
{listener}
[[pool]]
name = "p"
{pool}
"""


def one_pool(listener: str = "", pool: str = "", descriptors: int = 4096) -> str:
    """Return a configuration of one listener, route and pool, to which the pool's members are to be appended.

    `listener` and `pool` are further lines of these tables.
    """
    return ONE_POOL.format(listener=listener, pool=pool, descriptors=descriptors)


def ratios(
    results: Sequence[dict[str, Any]], first: Sequence[dict[str, Any]]
) -> tuple[list[float], list[float]]:
    """Return the ratios to `first`, round by round: of requests per second, and of requests per processor time."""
    pairs = list(zip(results, first, strict=True))
    return [result["per_s"] / baseline["per_s"] for result, baseline in pairs], [
        baseline["cpu_us"] / result["cpu_us"] for result, baseline in pairs
    ]


def tables(addresses: dict[str, str], weights: Sequence[float] = ()) -> str:
    text = ""
    for number, (name, address) in enumerate(addresses.items()):
        text += f'[[pool.member]]\nid = "{name}"\naddress = "{address}"\n'
        text += f"weight = {weights[number]}\n" if weights else ""
    return text


def clients(core: int, address: str, *arguments: str, pid: int | None = None) -> dict[str, Any]:
    """Run stand-in clients to completion; with `pid`, also measure that process's processor time per request."""
    with process(core, "-m", "standins.clients", address, *arguments) as child:
        if read_line(child).strip() != "warm":
            raise SystemExit(f"clients of {address} did not report that they are warm")
        before = cpu(pid) if pid is not None else 0.0
        result: dict[str, Any] = json.loads(read_line(child))
        if pid is not None and result["count"]:
            result["cpu_us"] = (cpu(pid) - before) / result["count"] * 1e6
        return result


def cpu(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def package_name(tree: Path) -> str:
    """Return the name of the proxy's package in a tree of files."""
    return next(name for name in PACKAGE_NAMES if (tree / name).is_dir())


@contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """Yield a folder with the files of a revision."""
    with tempfile.TemporaryDirectory() as folder, ExitStack():
        archive = subprocess.run(
            ["git", "archive", revision, ":!journal"], cwd=ROOT, capture_output=True, check=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        yield Path(folder)
