"""Daemons that take over from one another under load, and new ones that are broken."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any, Awaitable, Callable

import pytest
from administered import MANAGED, call, served_by, text
from daemons import ground
from ports import kept_port

from loadbalancer.admin.snapshot import decode
from loadbalancer.cli.__main__ import main
from loadbalancer.daemon.hot_restart.protocol import HotRestartError, offer_path
from loadbalancer.daemon.hot_restart.takeover import take_over
from loadbalancer.daemon.unix_socket_files import remove_own
from loadbalancer.policy.endpoints import EJECT_AFTER
from loadbalancer.policy.outlier_detection import ERROR_RATE_LIMIT
from loadbalancer.store.engine import Engine, StoreBounds
from loadbalancer.store.files import DiskFiles
from standins.keyed import Effects, KeyedFleet
from standins.kills import CONFIG as KEYED
from standins.kills import Killing
from standins.member import Fleet, Member
from standins.processes import start

ROOT = Path(__file__).parent.parent.parent
CONFIG = """\
[management]
socket = "s"
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
[[listener]]
name = "main"
address = "{address}"
[[listener]]
name = "local"
address = "unix:{folder}/local"
[[route]]
name = "r"
prefix = "/"
pool = "p"
class = "c"
[[pool]]
name = "p"
rules = {{ new_members = "warm" }}
"""


def run(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scene(), 110)

    asyncio.run(bounded())


async def started(path: Path) -> asyncio.subprocess.Process:
    return await start(path, listeners=2)


async def upgrade(path: Path, *words: str) -> int:
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, main, ["upgrade", "-c", str(path), "--timeout", "20", *words])


def read(folder: Path, what: str) -> Any:
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(folder / "s"))
        sock.sendall(f"GET /v1/{what} HTTP/1.1\r\n\r\n".encode())
        data = b""
        while more := sock.recv(1 << 16):
            data += more
    return json.loads(data.partition(b"\r\n\r\n")[2])


def pid_of(folder: Path) -> int:
    return int(read(folder, "status")["pid"])


def members_of(folder: Path) -> list[dict[str, Any]]:
    return list(read(folder, "members"))


class Clients:
    """Each on a connection of its own for some requests, then on the next one; a connection that is closed between two
    requests is opened anew, as clients do."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.stopped = address, False
        self.ends: Counter[str] = Counter()

    async def run(self) -> None:
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                self.ends["a closed door"] += 1
                continue
            for number in range(20):
                try:
                    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(
                        int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                    )
                except (OSError, asyncio.IncompleteReadError):
                    self.ends["crossed a close" if number else "lost"] += 1
                    break
                self.ends[head[9:12].decode()] += 1
                if b"connection: close" in head.lower():
                    break
            writer.close()


def test_upgrades_under_load_close_no_door_and_lose_no_request(tmp_path: Path) -> None:
    async def scene() -> None:
        fleet = Fleet(3)
        await fleet.start()
        port = kept_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        first = await started(path)
        clients = Clients(("127.0.0.1", port))
        tasks = [asyncio.ensure_future(clients.run()) for _ in range(6)]
        pids = [first.pid]
        loop = asyncio.get_running_loop()
        for number in range(3):
            if number == 1:  # a configuration that differs
                path.write_text(
                    path.read_text().replace(
                        'name = "p"\nrules', 'name = "p"\nsticky_while_draining = true\nrules'
                    )
                )
            assert await upgrade(path) == 0
            pids.append(await loop.run_in_executor(None, pid_of, tmp_path))
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "local"))
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readuntil(b"\r\n"))[9:12] == b"200"
            writer.close()
        assert len(set(pids)) == 4
        assert await asyncio.wait_for(first.wait(), 20) == 0
        clients.stopped = True
        await asyncio.gather(*tasks)
        assert clients.ends["200"] > 100
        assert not clients.ends["a closed door"] and not clients.ends["lost"], clients.ends
        assert set(clients.ends) <= {"200", "crossed a close"}, clients.ends
        os.kill(pids[-1], signal.SIGTERM)
        while any(alive(pid) for pid in pids):
            await asyncio.sleep(0.02)
        assert not list(tmp_path.glob("s*")) and not (tmp_path / "local").exists()
        await fleet.stop()

    run(scene)


def alive(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"  # one whose parent we are and have not asked about


@pytest.mark.parametrize(
    "program",
    [["/nonexistent-program"], [sys.executable, "-c", "raise SystemExit(1)"],
     [sys.executable, "-c", "import os; os.write(int(os.sys.argv[-1]), b'half')"]],
    ids=["no program", "dies", "says something else"],
)  # fmt: skip
def test_a_broken_new_build_leaves_the_old_one_serving(tmp_path: Path, program: list[str]) -> None:
    async def scene() -> None:
        fleet = Fleet(1)
        await fleet.start()
        port = kept_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        old = await started(path)
        assert await upgrade(path, "--program", *program) == 1
        clients = Clients(("127.0.0.1", port))
        task = asyncio.ensure_future(clients.run())
        while clients.ends["200"] < 20:
            await asyncio.sleep(0.01)
        clients.stopped = True
        await task
        assert old.returncode is None and set(clients.ends) == {"200"}
        old.send_signal(signal.SIGTERM)
        await old.wait()
        await fleet.stop()

    run(scene)


def test_a_taker_that_dies_before_it_serves_and_a_second_one_at_once(tmp_path: Path) -> None:
    async def scene() -> None:
        fleet = Fleet(1)
        await fleet.start()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{kept_port()}", folder=tmp_path) + fleet.tables())
        old = await started(path)
        offer = offer_path(tmp_path / "s")
        loop = asyncio.get_running_loop()
        while not offer.exists():
            await asyncio.sleep(0.01)
        assert offer.stat().st_mode & 0o777 == 0o600
        first = await loop.run_in_executor(None, take_over, offer)
        assert first.pid == old.pid and len(first.sockets) == 2
        with pytest.raises(HotRestartError, match="another upgrade is under way"):
            await loop.run_in_executor(None, take_over, offer)
        first.close()  # as by SIGKILL
        assert await upgrade(path) == 0
        assert await asyncio.wait_for(old.wait(), 20) == 0
        os.kill(await loop.run_in_executor(None, pid_of, tmp_path), signal.SIGTERM)
        while (tmp_path / "s").exists():
            await asyncio.sleep(0.02)
        await fleet.stop()

    run(scene)


def test_a_store_passes_under_keyed_load_and_no_key_runs_twice(tmp_path: Path) -> None:
    async def scene() -> None:
        tally = await Killing(tmp_path, kept_port(), seed=3, clients=4).upgrades(3)
        assert tally.acknowledged >= 60 and not tally.differ and not tally.doubled
        assert tally.repeated == len(tally.answers)

    run(scene)


def test_a_store_goes_back_where_the_new_daemon_dies_with_it(tmp_path: Path) -> None:
    """It has asked for the store, got it, and ends: meanwhile keyed work is told to come back, then it goes on."""

    async def scene() -> None:
        effects = Effects(2.0)
        fleet = KeyedFleet(1, effects)
        await fleet.start()
        port = kept_port()
        path = tmp_path / "micastand.toml"
        path.write_text('[management]\nsocket = "s"\n' + KEYED.format(port=port) + fleet.tables())
        killing = Killing(tmp_path, port, seed=1)
        old = await start(path)
        loop = asyncio.get_running_loop()
        assert (await killing.ask("one"))[0] == 200
        taken = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
        await loop.run_in_executor(None, taken.borrow_store)
        status, body = await killing.ask("two")
        assert status == 503 and b"another process takes over" in body
        reader, writer = await asyncio.open_unix_connection(str(tmp_path / "s"))
        order = b'{"by": "o", "pool": "p", "member": "x"}'
        writer.write(b"POST /v1/cordon HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(order), order))
        assert b"an upgrade is under way" in await reader.read()
        writer.close()
        there = Engine(DiskFiles(tmp_path / "state"), time.time, StoreBounds())
        there.open()  # it has been let go
        there.close()
        taken.close()
        while (await killing.ask("two"))[0] != 200:
            await asyncio.sleep(0.01)
        first, again = await killing.ask("one"), await killing.ask("two")
        assert first[0] == again[0] == 200 and not effects.doubled()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await fleet.stop()

    run(scene)


def test_what_operators_change_within_an_upgrade_is_refused_or_known_to_both(tmp_path: Path) -> None:
    """While somebody has the sockets and does not serve yet, a change would be lost with the old daemon; once the new
    one serves, the old one hears of changes for what it still answers, and leaves where the new one ends."""

    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with ground(tmp_path, members, lambda: text(members, MANAGED)) as here:
            control = here.daemon.admin
            assert control is not None
            control.serve()
            restart = control.hot_restart
            offer, loop = offer_path(tmp_path / "s"), asyncio.get_running_loop()
            taken = await loop.run_in_executor(None, take_over, offer)
            status, found = await call(here, "POST", "cordon", pool="p", member="a")
            assert status == 409 and "ask again" in found["error"]
            taken.close()
            await here.until(lambda: restart.offer is not None and not restart.offer.is_under_way)
            assert (await call(here, "POST", "cordon", pool="p", member="a"))[0] == 200
            assert (await call(here, "POST", "uncordon", pool="p", member="a"))[0] == 200
            taken = await loop.run_in_executor(None, take_over, offer)
            way = await loop.run_in_executor(None, taken.serving)
            assert restart.replaced.is_set()
            way.sendall(b'["p","a",{"word":"cordon"}]\n["none","a",null]\nrubbish\n["p",')
            overlay = here.daemon.pools["p"].overlay
            await here.until(lambda: overlay.overrides.get("a") and here.heard.count("can't be read"))
            assert await served_by(here, 20) == {"b"}
            way.sendall(b'"a",null]\n')
            await here.until(lambda: not overlay.overrides)
            way.close()
            await here.until(lambda: restart.offer is not None and not restart.offer.has_successor)

    run(scene)


def test_a_successor_avoids_the_member_that_its_predecessor_had_found_out(tmp_path: Path) -> None:
    async def scene() -> None:
        fleet = Fleet(4)
        await fleet.start()
        fleet.members[0].behaviour.status = 500
        port = kept_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        old = await started(path)
        clients = Clients(("127.0.0.1", port))
        task = asyncio.ensure_future(clients.run())
        loop = asyncio.get_running_loop()

        async def used() -> list[bool]:
            return [row["used"] for row in await loop.run_in_executor(None, members_of, tmp_path)]

        while await used() != [False, True, True, True]:
            await asyncio.sleep(0.01)
        clients.stopped = True
        await task
        assert await upgrade(path) == 0
        assert await asyncio.wait_for(old.wait(), 20) == 0
        # It has sent nothing yet, so what it would pass on is what it was passed. Asked so, since how long a member is
        # avoided goes by time: after two failures a second, which an upgrade on a busy machine takes.
        taken = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
        notes = sorted(decode(taken.snapshot).pools[0].endpoints, key=lambda note: note.id)
        taken.close()
        found = [
            note.error_rate > ERROR_RATE_LIMIT
            and note.consecutive_failures >= EJECT_AFTER
            and note.error_rate_age >= 0
            for note in notes
        ]
        assert found == [True, False, False, False]
        os.kill(await loop.run_in_executor(None, pid_of, tmp_path), signal.SIGTERM)
        while (tmp_path / "s").exists():
            await asyncio.sleep(0.02)
        await fleet.stop()

    run(scene)


def test_where_nothing_is_offered_nothing_is_taken(tmp_path: Path) -> None:
    with pytest.raises(HotRestartError, match="No such file"):
        take_over(tmp_path / "none")
    path = tmp_path / "f"
    path.write_text("x")
    remove_own(path, 0)
    assert path.exists()  # another's
    config = tmp_path / "c.toml"
    config.write_text(
        CONFIG.format(address="127.0.0.1:0", folder=tmp_path)
        + '[[pool.member]]\nid="m"\naddress="127.0.0.1:9"\n'
    )
    found = subprocess.run(
        [sys.executable, "-m", "loadbalancer.cli", "serve", "-c", str(config), "--take-over"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (
        found.returncode == 1 and "nothing was taken over" in found.stderr and "Traceback" not in found.stderr
    )


def test_take_over_wants_a_management_socket(tmp_path: Path, capsys: Any) -> None:
    config = tmp_path / "c.toml"
    text = (
        CONFIG.format(address="127.0.0.1:0", folder=tmp_path)
        + '[[pool.member]]\nid="m"\naddress="127.0.0.1:9"\n'
    )
    config.write_text(text.replace('[management]\nsocket = "s"\n', ""))
    assert main(["serve", "-c", str(config), "--take-over"]) == 2
    assert "[management] socket" in capsys.readouterr().err
