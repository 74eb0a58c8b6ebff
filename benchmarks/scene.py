"""Processes of a measurement: members, a proxy on one core, clients; each on a core of its own."""

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

#: Names of the proxy's package, the present one first: a revision to compare with may have the earlier one.
PACKAGE_NAMES = ("loadbalancer", "spokemast")

#: Settings of a platform's configuration, enough for `run`.
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


class Quiet(RateLimitedLogger):
    """A log that says nothing."""

    def __call__(self, kind: str, text: object = "") -> None:
        pass


def arguments(description: str | None, base: str, connections: int) -> argparse.Namespace:
    """What a measurement of two builds takes: rounds, seconds, connections, and the build before."""
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
    """A child on one core; ended by its own id."""
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
        raise SystemExit(f"a process of the measurement ended early: {child.args!r}")
    return line


@contextmanager
def members(core: int, *arguments: str) -> Iterator[dict[str, str]]:
    """Addresses of stand-in members by their names."""
    with process(core, "-m", "standins", *arguments) as child:
        yield json.loads(read_line(child))


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def platform_configuration(listen: str, addresses: dict[str, str], sockets: int) -> dict[str, Any]:
    """Return a configuration of the platform's form: `addresses` of the endpoints by name, `sockets` at most."""
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
    """`run` of a checkout: its address and process id; `management`: where operators call, if they do."""
    address = f"127.0.0.1:{free_port()}"
    box = platform_configuration(address, addresses, sockets=1024)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(box))
        env = dict(os.environ, GW_CONFIG=str(path), PYTHONPATH=str(tree), GW_MANAGEMENT=management)
        with process(core, "-m", package_name(tree), cwd=tree, env=env, stderr=subprocess.PIPE) as child:
            assert child.stderr is not None
            while "listening" not in (line := child.stderr.readline()):
                if not line:
                    raise SystemExit(f"the proxy of {tree} did not start")
            yield address, child.pid


@contextmanager
def daemon(core: int, text: str) -> Iterator[tuple[dict[str, str], int]]:
    """`micastand serve` on a configuration: addresses of its listeners by name, and its process id."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "micastand.toml"
        path.write_text(text)
        command = ("-m", "loadbalancer.cli", "serve", "-c", str(path))
        with process(core, *command, stderr=subprocess.DEVNULL) as child:
            listeners = {}
            for _ in range(text.count("[[listener]]")):
                words = read_line(child).split()
                listeners[words[1]] = words[-1].removeprefix("http://").rstrip("/")
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
    """One listener, route and pool, with further lines of the first and the last; the pool's members follow."""
    return ONE_POOL.format(listener=listener, pool=pool, descriptors=descriptors)


def ratios(
    results: Sequence[dict[str, Any]], first: Sequence[dict[str, Any]]
) -> tuple[list[float], list[float]]:
    """Requests a second and by processor time, each to what came first in the same round."""
    pairs = list(zip(results, first, strict=True))
    return [a["per_s"] / b["per_s"] for a, b in pairs], [b["cpu_us"] / a["cpu_us"] for a, b in pairs]


def tables(addresses: dict[str, str], weights: Sequence[float] = ()) -> str:
    text = ""
    for number, (name, address) in enumerate(addresses.items()):
        text += f'[[pool.member]]\nid = "{name}"\naddress = "{address}"\n'
        text += f"weight = {weights[number]}\n" if weights else ""
    return text


def clients(core: int, address: str, *arguments: str, pid: int | None = None) -> dict[str, Any]:
    """Run stand-in clients to their end; with `pid`, also that process's seconds of processor a request."""
    with process(core, "-m", "standins.clients", address, *arguments) as child:
        if read_line(child).strip() != "warm":
            raise SystemExit("the clients did not start")
        before = cpu(pid) if pid is not None else 0.0
        result: dict[str, Any] = json.loads(read_line(child))
        if pid is not None and result["count"]:
            result["cpu_us"] = (cpu(pid) - before) / result["count"] * 1e6
        return result


def cpu(pid: int) -> float:
    """Seconds of processor that a process has used."""
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
