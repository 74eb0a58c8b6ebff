"""Several real processes of the program, with folders, logs and ports of their own: started, spoken to by their
operators' sockets, killed, stopped and woken.

A *prelude* is Python that runs in a process before the program does: for clocks that are off, and for defects that a
test has to find.
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
#: Seconds after which a test that waits for an event gives up.
PATIENCE = 15.0
RUN = "import sys; from loadbalancer.cli.__main__ import main; sys.exit(main(sys.argv[1:]))"
_rigs = count()


async def start(
    path: Path, *words: str, listeners: int = 1, prelude: str = "", log: Path | None = None
) -> asyncio.subprocess.Process:
    """`micastand serve -c PATH`, once it has said of so many listeners that it listens. Its log goes to `log`, or
    nowhere."""
    with open(log or os.devnull, "ab") as errors:
        made = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"{prelude}\n{RUN}",
            "serve",
            "-c",
            str(path),
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            cwd=ROOT,
        )
    assert made.stdout is not None
    for _ in range(listeners):
        line = await asyncio.wait_for(made.stdout.readline(), PATIENCE)
        if b"listens" not in line:
            raise RuntimeError(f"{path}: {line!r}; {log and log.read_text()[-800:]}")
    return made


async def call(sock: Path, method: str, what: str, /, **body: Any) -> tuple[int, Any]:
    """Status and what a daemon answers at its operators' socket; ConnectionError where it does not."""
    data = json.dumps(body).encode() if body else b""
    reader, writer = await asyncio.open_unix_connection(str(sock))
    try:
        head = f"{method} /v1/{what} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        found = await reader.read()
    finally:
        writer.close()
    if not found:
        raise ConnectionError(f"{sock}: no answer")
    return int(found[9:12]), json.loads(found.partition(b"\r\n\r\n")[2])


async def until(true: Callable[[], Awaitable[Any]], what: str, patience: float | None = None) -> Any:
    """What it is once it is true; TimeoutError with `what` where that does not come."""
    try:
        async with asyncio.timeout(patience or PATIENCE):
            while True:
                try:
                    found = await true()
                except (OSError, ValueError):  # a process that is just starting, or gone
                    found = None
                if found:
                    return found
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise TimeoutError(f"not within {patience or PATIENCE:g} s: {what}") from None


def _free(host: str, kept: list[socket.socket]) -> int:
    """A port of the host that nobody listens at; kept bound, so that nobody else gets it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    kept.append(sock)
    return int(sock.getsockname()[1])


@dataclass
class One:
    """One place of the fleet, with a process or without."""

    number: int
    folder: Path
    host: str
    port: int  # of clients
    fleet: tuple[str, int]  # that the fleet's sockets are bound to
    advertised: tuple[str, int]
    process: asyncio.subprocess.Process | None = None
    prelude: str = ""
    words: list[str] = field(default_factory=list)

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
        self.process = await start(self.config, *self.words, prelude=self.prelude, log=self.folder / "log")

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        await self.end(signal.SIGKILL)

    async def end(self, number: int = signal.SIGTERM) -> None:
        """And wait until it is gone."""
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


#: What every instance's file begins with.
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
    """`size` places under one configuration before the same members, the network between them in our hands."""

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
        """`pool`: the tables of pool "p". `seeds`: places that all are told of."""
        self.folder, self.pool, self.profile, self.config = folder, pool, profile, config
        self.seeds, self.fleet_more = seeds, fleet_more
        self.network = Network(seed)
        self._kept: list[socket.socket] = []
        self.key = folder / "key"
        self.write_keys("11" * 32)
        pid, rig = os.getpid(), next(_rigs)
        net = f"127.{1 + pid % 250}.{(pid // 250) % 250}"
        self.all = [self._place(number, f"{net}.{1 + number}", rig) for number in range(size)]

    def write_keys(self, *keys: str) -> None:
        """As an operator should: whole, and for nobody else's eyes."""
        new = self.key.with_suffix(".new")
        new.touch(0o600)
        new.write_text("\n".join(keys) + "\n")
        new.replace(self.key)

    def _place(self, number: int, host: str, rig: int) -> One:
        folder = self.folder / f"{rig}-{number}"
        folder.mkdir(parents=True)
        bound = host, _free(host, self._kept)
        advertised = "127.0.0.1", _free("127.0.0.1", self._kept)
        return One(number, folder, host, _free("127.0.0.1", self._kept), bound, advertised)

    def write(self, one: One, **changes: str) -> None:
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
        """Start the network, and these processes, or all."""
        for one in self.all:
            self.write(one)
            await self.network.join(one.number, one.fleet, one.advertised)
        await self.start(*(numbers or range(len(self.all))))

    async def start(self, *numbers: int) -> None:
        """All at once."""
        await asyncio.gather(*(self.all[number].start() for number in numbers))

    async def close(self) -> None:
        await asyncio.gather(*(one.end(signal.SIGKILL) for one in self.all))
        self.network.close()
        for sock in self._kept:
            sock.close()

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.close()

    @property
    def up(self) -> list[One]:
        return [one for one in self.all if one.process is not None]

    async def statuses(self, among: Sequence[One] | None = None) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(one.read("fleet/status") for one in among or self.up)))

    async def agree(self, among: Sequence[One], living: int) -> bool:
        """Whether these hold one digest, in which so many live."""
        found = await self.statuses(among)
        return len({one["digest"] for one in found}) == 1 and all(
            one["living"] == living and one["state"] == "member" for one in found
        )

    async def settled(
        self, among: Sequence[One] | None = None, living: int | None = None, patience: float | None = None
    ) -> None:
        """Wait until they agree; all that are up if nobody is named."""
        chosen = among or self.up
        wanted = len(chosen) if living is None else living
        names = ", ".join(one.name for one in chosen)
        try:
            await until(lambda: self.agree(chosen, wanted), f"{names} agree on {wanted} living", patience)
        except TimeoutError as problem:
            keys = ("instance", "state", "living", "suspected", "dead", "digest", "counts")
            seen = [{key: one[key] for key in keys} for one in await self.statuses(chosen)]
            raise TimeoutError(f"{problem}: " + "\n".join(map(str, seen))) from None
