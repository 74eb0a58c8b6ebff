"""Runs several real processes of the program, each with its own folder, log and ports.

Processes are started, called at their operators' sockets, killed, paused and resumed.

A *prelude* is Python code that a process runs before the program: to skew its clock, or to inject a defect that a
test has to detect.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, Awaitable, Callable, Sequence

from standins.network import Network

ROOT = Path(__file__).parent.parent
#: Default timeout, in seconds, of a test that waits for an event.
PATIENCE = 15.0
RUN = "import sys; from loadbalancer.cli.__main__ import main; sys.exit(main(sys.argv[1:]))"
_fleet_numbers = count()


async def start(
    path: Path, *arguments: str, listeners: int = 1, prelude: str = "", log: Path | None = None
) -> asyncio.subprocess.Process:
    """Run `micastand serve -c PATH` and return once it has reported this many listeners as listening.

    Its log goes to `log`, or is discarded.
    """
    with open(log or os.devnull, "ab") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"{prelude}\n{RUN}",
            "serve",
            "-c",
            str(path),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            cwd=ROOT,
        )
    assert process.stdout is not None
    for _ in range(listeners):
        line = await asyncio.wait_for(process.stdout.readline(), PATIENCE)
        if b"listens" not in line:
            raise RuntimeError(
                f"{path}: expected a line that says 'listens', found {line!r}; log: {log and log.read_text()[-800:]}"
            )
    return process


async def call(sock: Path, method: str, what: str, /, **body: Any) -> tuple[int, Any]:
    """Call a daemon at its operators' socket and return status and body; raise ConnectionError if it doesn't answer."""
    data = json.dumps(body).encode() if body else b""
    reader, writer = await asyncio.open_unix_connection(str(sock))
    try:
        head = f"{method} /v1/{what} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        result = await reader.read()
    finally:
        writer.close()
    if not result:
        raise ConnectionError(f"{sock}: no answer")
    return int(result[9:12]), json.loads(result.partition(b"\r\n\r\n")[2])


async def until(condition: Callable[[], Awaitable[Any]], what: str, patience: float | None = None) -> Any:
    """Poll a condition until its result is true and return that result; raise TimeoutError naming `what` otherwise."""
    try:
        async with asyncio.timeout(patience or PATIENCE):
            while True:
                try:
                    result = await condition()
                except (OSError, ValueError):  # the process is still starting, or has ended
                    result = None
                if result:
                    return result
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise TimeoutError(f"not within {patience or PATIENCE:g} s: {what}") from None


def _reserve_port(host: str, reserved_sockets: list[socket.socket]) -> int:
    """Return a free port of the host; the socket stays bound, so that no other process gets the port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    reserved_sockets.append(sock)
    return int(sock.getsockname()[1])


@dataclass
class Instance:
    """An instance of the fleet, whether or not its process is running."""

    number: int
    folder: Path
    host: str
    port: int  # for clients
    fleet: tuple[str, int]  # the address that the fleet's sockets are bound to
    advertised: tuple[str, int]
    process: asyncio.subprocess.Process | None = None
    prelude: str = ""
    arguments: list[str] = field(default_factory=list)

    @property
    def name(self) -> str:
        return f"i{self.number}"

    @property
    def sock(self) -> Path:
        return self.folder / "s"

    @property
    def config(self) -> Path:
        return self.folder / "micastand.toml"

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text() if (self.folder / "log").exists() else ""

    async def start(self) -> None:
        self.process = await start(
            self.config, *self.arguments, prelude=self.prelude, log=self.folder / "log"
        )

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        await self.end(signal.SIGKILL)

    async def end(self, number: int = signal.SIGTERM) -> None:
        """Send a signal and wait until the process has ended; resume it in case it is paused."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            if number != signal.SIGKILL:
                self.process.send_signal(signal.SIGCONT)
            await self.process.wait()
        self.process = None

    async def read(self, what: str) -> Any:
        return (await call(self.sock, "GET", what))[1]

    async def say(self, verb: str, /, **body: Any) -> tuple[int, Any]:
        return await call(self.sock, "POST", verb, **({"by": "test"} | body))


#: Beginning of every instance's configuration file; the pool's tables follow.
CONFIG = """\
[management]
socket = "s"
why = 1000
[fleet]
name = "{name}"
bind = "{fleet}"
advertise = "{advertised}"
seeds = [{seeds}]
key_file = "{key}"
instances = {instances}
profile = "{profile}"
{fleet_more}
[[class]]
name = "c"
aim = "1s"
deadline = "3s"
[[listener]]
name = "main"
address = "127.0.0.1:{port}"
ready_path = "/ready"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
"""


class Fleet:
    """A fleet of `size` instances with one configuration and the same members, connected by a `Network` with faults."""

    def __init__(
        self,
        folder: Path,
        size: int,
        pool: str,
        seed: int = 1,
        profile: str = "swift",
        config: str = CONFIG,
        seeds: Sequence[int] = (0, 1),
        fleet_more: str = "",
    ) -> None:
        """Create the folders and reserve the ports.

        `pool` is the tables of pool "p"; `seeds` are the numbers of the instances that all others are configured with.
        """
        self.folder, self.pool, self.profile, self.config = folder, pool, profile, config
        self.seeds, self.fleet_more = seeds, fleet_more
        self.network = Network(seed)
        self._reserved_sockets: list[socket.socket] = []
        self.key = folder / "key"
        self.write_keys("11" * 32)
        pid, fleet_number = os.getpid(), next(_fleet_numbers)
        network_prefix = f"127.{1 + pid % 250}.{(pid // 250) % 250}"
        self.all = [
            self._make_instance(number, f"{network_prefix}.{1 + number}", fleet_number)
            for number in range(size)
        ]

    def write_keys(self, *keys: str) -> None:
        """Write the key file as an operator should: atomically, and readable by its owner only."""
        new = self.key.with_suffix(".new")
        new.touch(0o600)
        new.write_text("\n".join(keys) + "\n")
        new.replace(self.key)

    def _make_instance(self, number: int, host: str, fleet_number: int) -> Instance:
        folder = self.folder / f"{fleet_number}-{number}"
        folder.mkdir(parents=True)
        bound = host, _reserve_port(host, self._reserved_sockets)
        advertised = "127.0.0.1", _reserve_port("127.0.0.1", self._reserved_sockets)
        return Instance(
            number, folder, host, _reserve_port("127.0.0.1", self._reserved_sockets), bound, advertised
        )

    def write(self, one: Instance, **changes: str) -> None:
        values = {
            "name": one.name,
            "fleet": "{}:{}".format(*one.fleet),
            "key": str(self.key),
            "port": str(one.port),
            "advertised": "{}:{}".format(*one.advertised),
            "instances": str(len(self.all)),
            "profile": self.profile,
            "fleet_more": self.fleet_more,
            "seeds": ", ".join('"{}:{}"'.format(*self.all[n].advertised) for n in self.seeds),
        }
        one.config.write_text(self.config.format(**(values | changes)) + self.pool)

    async def open(self, *numbers: int) -> None:
        """Start the network and these processes, or all of them."""
        for one in self.all:
            self.write(one)
            await self.network.join(one.number, one.fleet, one.advertised)
        await self.start(*(numbers or range(len(self.all))))

    async def start(self, *numbers: int) -> None:
        """Start these processes concurrently."""
        await asyncio.gather(*(self.all[number].start() for number in numbers))

    async def close(self) -> None:
        await asyncio.gather(*(one.end(signal.SIGKILL) for one in self.all))
        self.network.close()
        for sock in self._reserved_sockets:
            sock.close()

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.close()

    @property
    def up(self) -> list[Instance]:
        return [one for one in self.all if one.process is not None]

    async def statuses(self, among: Sequence[Instance] | None = None) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(one.read("fleet/status") for one in among or self.up)))

    async def agree(self, among: Sequence[Instance], living: int) -> bool:
        """Return whether these instances have the same digest and each counts `living` live ones."""
        result = await self.statuses(among)
        return len({one["digest"] for one in result}) == 1 and all(
            one["living"] == living and one["state"] == "member" for one in result
        )

    async def settled(
        self,
        among: Sequence[Instance] | None = None,
        living: int | None = None,
        patience: float | None = None,
    ) -> None:
        """Wait until the instances in `among` agree; by default, all that are running."""
        chosen = among or self.up
        expected_living = len(chosen) if living is None else living
        names = ", ".join(one.name for one in chosen)
        try:
            await until(
                lambda: self.agree(chosen, expected_living),
                f"{names} agree on {expected_living} living",
                patience,
            )
        except TimeoutError as problem:
            keys = ("instance", "state", "living", "suspected", "dead", "digest", "counts")
            statuses = [{key: one[key] for key in keys} for one in await self.statuses(chosen)]
            raise TimeoutError(f"{problem}: " + "\n".join(map(str, statuses))) from None
