"""Tests of hot restarts under load, and of new programs that fail."""

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
from administered import MANAGED, call, daemon_configuration, served_by
from daemons import running_daemon
from ports import reserve_port

from loadbalancer.admin.snapshot import decode
from loadbalancer.cli.__main__ import main
from loadbalancer.daemon.hot_restart.protocol import HotRestartError, offer_path
from loadbalancer.daemon.hot_restart.takeover import take_over
from loadbalancer.daemon.unix_socket_files import remove_if_same_inode
from loadbalancer.policy.endpoints import EJECT_AFTER
from loadbalancer.policy.outlier_detection import ERROR_RATE_LIMIT
from loadbalancer.store.engine import Engine, StoreBounds
from loadbalancer.store.files import DiskFiles
from standins.keyed import Effects, KeyedFleet
from standins.kills import CONFIG as KEYED
from standins.kills import KillTest
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


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario(), 110)

    asyncio.run(bounded())


async def start_daemon(path: Path) -> asyncio.subprocess.Process:
    return await start(path, listeners=2)


async def upgrade(path: Path, *options: str) -> int:
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, main, ["upgrade", "-c", str(path), "--timeout", "20", *options])


def query(folder: Path, what: str) -> Any:
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(folder / "s"))
        sock.sendall(f"GET /v1/{what} HTTP/1.1\r\n\r\n".encode())
        data = b""
        while more := sock.recv(1 << 16):
            data += more
    return json.loads(data.partition(b"\r\n\r\n")[2])


def pid_of(folder: Path) -> int:
    return int(query(folder, "status")["pid"])


def members_of(folder: Path) -> list[dict[str, Any]]:
    return list(query(folder, "members"))


class LoadClients:
    """Sends requests and counts the outcomes; each `run` uses one connection at a time, for up to 20 requests.

    Like usual clients, it opens a new connection if one is closed between two requests.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.stopped = address, False
        self.outcomes: Counter[str] = Counter()

    async def run(self) -> None:
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                self.outcomes["connection refused"] += 1
                continue
            for number in range(20):
                try:
                    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(
                        int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                    )
                except (OSError, asyncio.IncompleteReadError):
                    self.outcomes["closed between requests" if number else "lost"] += 1
                    break
                self.outcomes[head[9:12].decode()] += 1
                if b"connection: close" in head.lower():
                    break
            writer.close()


def test_upgrades_under_load_refuse_no_connection_and_lose_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        fleet = Fleet(3)
        await fleet.start()
        port = reserve_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        first = await start_daemon(path)
        clients = LoadClients(("127.0.0.1", port))
        tasks = [asyncio.ensure_future(clients.run()) for _ in range(6)]
        pids = [first.pid]
        loop = asyncio.get_running_loop()
        for number in range(3):
            if number == 1:  # change the configuration
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
        assert clients.outcomes["200"] > 100
        assert not clients.outcomes["connection refused"] and not clients.outcomes["lost"], clients.outcomes
        assert set(clients.outcomes) <= {"200", "closed between requests"}, clients.outcomes
        os.kill(pids[-1], signal.SIGTERM)
        while any(alive(pid) for pid in pids):
            await asyncio.sleep(0.02)
        assert not list(tmp_path.glob("s*")) and not (tmp_path / "local").exists()
        await fleet.stop()

    run(scenario)


def alive(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"  # a zombie: a child of this process that was not waited for


@pytest.mark.parametrize(
    "program",
    [["/nonexistent-program"], [sys.executable, "-c", "raise SystemExit(1)"],
     [sys.executable, "-c", "import os; os.write(int(os.sys.argv[-1]), b'half')"]],
    ids=["no program", "exits", "writes something else"],
)  # fmt: skip
def test_old_daemon_keeps_serving_when_new_program_fails(tmp_path: Path, program: list[str]) -> None:
    async def scenario() -> None:
        fleet = Fleet(1)
        await fleet.start()
        port = reserve_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        old = await start_daemon(path)
        assert await upgrade(path, "--program", *program) == 1
        clients = LoadClients(("127.0.0.1", port))
        task = asyncio.ensure_future(clients.run())
        while clients.outcomes["200"] < 20:
            await asyncio.sleep(0.01)
        clients.stopped = True
        await task
        assert old.returncode is None and set(clients.outcomes) == {"200"}
        old.send_signal(signal.SIGTERM)
        await old.wait()
        await fleet.stop()

    run(scenario)


def test_concurrent_takeover_is_rejected_and_upgrade_succeeds_after_failed_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        fleet = Fleet(1)
        await fleet.start()
        path = tmp_path / "c.toml"
        path.write_text(
            CONFIG.format(address=f"127.0.0.1:{reserve_port()}", folder=tmp_path) + fleet.tables()
        )
        old = await start_daemon(path)
        offer = offer_path(tmp_path / "s")
        loop = asyncio.get_running_loop()
        while not offer.exists():
            await asyncio.sleep(0.01)
        assert offer.stat().st_mode & 0o777 == 0o600
        first = await loop.run_in_executor(None, take_over, offer)
        assert first.pid == old.pid and len(first.sockets) == 2
        with pytest.raises(HotRestartError, match="another upgrade is under way"):
            await loop.run_in_executor(None, take_over, offer)
        first.close()  # as after SIGKILL
        assert await upgrade(path) == 0
        assert await asyncio.wait_for(old.wait(), 20) == 0
        os.kill(await loop.run_in_executor(None, pid_of, tmp_path), signal.SIGTERM)
        while (tmp_path / "s").exists():
            await asyncio.sleep(0.02)
        await fleet.stop()

    run(scenario)


def test_upgrades_under_keyed_load_execute_no_key_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        tally = await KillTest(tmp_path, reserve_port(), seed=3, clients=4).upgrades(3)
        assert tally.acknowledged >= 60 and not tally.differ and not tally.doubled
        assert tally.repeated == len(tally.answers)

    run(scenario)


def test_old_daemon_reclaims_store_when_new_daemon_fails(tmp_path: Path) -> None:
    """The new daemon requests the store, gets it, and ends. Keyed requests are rejected until the old daemon has the
    store again."""

    async def scenario() -> None:
        effects = Effects(2.0)
        fleet = KeyedFleet(1, effects)
        await fleet.start()
        port = reserve_port()
        path = tmp_path / "micastand.toml"
        path.write_text('[management]\nsocket = "s"\n' + KEYED.format(port=port) + fleet.tables())
        killing = KillTest(tmp_path, port, seed=1)
        old = await start(path)
        loop = asyncio.get_running_loop()
        assert (await killing.ask("one"))[0] == 200
        taken = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
        await loop.run_in_executor(None, taken.request_store)
        status, body = await killing.ask("two")
        assert status == 503 and b"another process takes over" in body
        reader, writer = await asyncio.open_unix_connection(str(tmp_path / "s"))
        change = b'{"by": "o", "pool": "p", "member": "x"}'
        writer.write(b"POST /v1/cordon HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(change), change))
        assert b"an upgrade is under way" in await reader.read()
        writer.close()
        engine = Engine(DiskFiles(tmp_path / "state"), time.time, StoreBounds())
        engine.open()  # possible, since the old daemon has released it
        engine.close()
        taken.close()
        while (await killing.ask("two"))[0] != 200:
            await asyncio.sleep(0.01)
        first, again = await killing.ask("one"), await killing.ask("two")
        assert first[0] == again[0] == 200 and not effects.find_duplicates()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await fleet.stop()

    run(scenario)


def test_change_during_upgrade_is_rejected_or_reaches_both_daemons(tmp_path: Path) -> None:
    """While the new process has the sockets and does not serve yet, a change would be lost with the old daemon, so it
    is rejected. Once the new one serves, it sends changes to the old one, until the new one closes the connection."""

    async def scenario() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: daemon_configuration(members, MANAGED)) as here:
            admin = here.daemon.admin
            assert admin is not None
            admin.serve()
            restart = admin.hot_restart
            offer, loop = offer_path(tmp_path / "s"), asyncio.get_running_loop()
            taken = await loop.run_in_executor(None, take_over, offer)
            status, found = await call(here, "POST", "cordon", pool="p", member="a")
            assert status == 409 and "ask again" in found["error"]
            taken.close()
            await here.until(lambda: restart.offer is not None and not restart.offer.is_under_way)
            assert (await call(here, "POST", "cordon", pool="p", member="a"))[0] == 200
            assert (await call(here, "POST", "uncordon", pool="p", member="a"))[0] == 200
            taken = await loop.run_in_executor(None, take_over, offer)
            connection = await loop.run_in_executor(None, taken.confirm_serving)
            assert restart.replaced.is_set()
            connection.sendall(b'["p","a",{"word":"cordon"}]\n["none","a",null]\nrubbish\n["p",')
            overlay = here.daemon.pools["p"].overlay
            await here.until(lambda: overlay.overrides.get("a") and here.heard.count("can't be read"))
            assert await served_by(here, 20) == {"b"}
            connection.sendall(b'"a",null]\n')
            await here.until(lambda: not overlay.overrides)
            connection.close()
            await here.until(lambda: restart.offer is not None and not restart.offer.has_successor)

    run(scenario)


def test_successor_inherits_outlier_state_of_members(tmp_path: Path) -> None:
    async def scenario() -> None:
        fleet = Fleet(4)
        await fleet.start()
        fleet.members[0].behaviour.status = 500
        port = reserve_port()
        path = tmp_path / "c.toml"
        path.write_text(CONFIG.format(address=f"127.0.0.1:{port}", folder=tmp_path) + fleet.tables())
        old = await start_daemon(path)
        clients = LoadClients(("127.0.0.1", port))
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
        # The successor has not sent any requests yet, so the snapshot that it offers is the state that it inherited.
        # The snapshot is checked, not the members in use, since ejections expire: after two failures an ejection lasts
        # a second, and an upgrade on a busy machine takes that long.
        taken = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
        endpoints = sorted(decode(taken.snapshot).pools[0].endpoints, key=lambda endpoint: endpoint.id)
        taken.close()
        is_outlier = [
            endpoint.error_rate > ERROR_RATE_LIMIT
            and endpoint.consecutive_failures >= EJECT_AFTER
            and endpoint.error_rate_age >= 0
            for endpoint in endpoints
        ]
        assert is_outlier == [True, False, False, False]
        os.kill(await loop.run_in_executor(None, pid_of, tmp_path), signal.SIGTERM)
        while (tmp_path / "s").exists():
            await asyncio.sleep(0.02)
        await fleet.stop()

    run(scenario)


def test_take_over_fails_when_nothing_is_offered(tmp_path: Path) -> None:
    with pytest.raises(HotRestartError, match="No such file"):
        take_over(tmp_path / "none")
    path = tmp_path / "f"
    path.write_text("x")
    remove_if_same_inode(path, 0)
    assert path.exists()  # its inode is another one
    config = tmp_path / "c.toml"
    config.write_text(
        CONFIG.format(address="127.0.0.1:0", folder=tmp_path)
        + '[[pool.member]]\nid="m"\naddress="127.0.0.1:9"\n'
    )
    result = subprocess.run(
        [sys.executable, "-m", "loadbalancer.cli", "serve", "-c", str(config), "--take-over"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (
        result.returncode == 1
        and "nothing was taken over" in result.stderr
        and "Traceback" not in result.stderr
    )


def test_take_over_requires_management_socket(tmp_path: Path, capsys: Any) -> None:
    config = tmp_path / "c.toml"
    text = (
        CONFIG.format(address="127.0.0.1:0", folder=tmp_path)
        + '[[pool.member]]\nid="m"\naddress="127.0.0.1:9"\n'
    )
    config.write_text(text.replace('[management]\nsocket = "s"\n', ""))
    assert main(["serve", "-c", str(config), "--take-over"]) == 2
    assert "[management] socket" in capsys.readouterr().err
