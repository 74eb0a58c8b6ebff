"""Tests of Unix socket files when one process takes over from another."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

import pytest
from administered import MANAGED, call, daemon_configuration, run
from daemons import RecordingLogger, running_daemon

from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.daemon.hot_restart.offer import HotRestartOffer, OfferedState
from loadbalancer.daemon.hot_restart.protocol import offer_path
from loadbalancer.daemon.hot_restart.takeover import take_over
from standins.member import Member

LOCAL = '[[listener]]\nname = "local"\naddress = "unix:{folder}/local"\n'


def offer_at(path: Path, replaced: asyncio.Event) -> HotRestartOffer:
    state = OfferedState(
        sockets=list, snapshot=lambda: b"{}", store=None, on_replaced=replaced.set, on_line=lambda line: None
    )
    offer = HotRestartOffer(path, state, RecordingLogger())
    offer.open()
    return offer


def accepts_connections(path: Path) -> bool:
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(str(path))
        except OSError:
            return False
    return True


# Guards against a race: the predecessor checks that the file is its own, the successor replaces it, and the predecessor
# then removes the successor's file.
def test_replaced_process_keeps_file_of_successor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        path, replaced = tmp_path / "offer", asyncio.Event()
        old = offer_at(path, replaced)
        loop = asyncio.get_running_loop()
        taken = await loop.run_in_executor(None, take_over, path)
        connection = await loop.run_in_executor(None, taken.confirm_serving)
        await replaced.wait()
        successors: list[HotRestartOffer] = []
        stat = os.stat

        def stat_then_replace(name: Any, **more: Any) -> os.stat_result:
            status = stat(name, **more)
            if name == path:
                monkeypatch.undo()
                successors.append(offer_at(path, asyncio.Event()))
            return status

        monkeypatch.setattr(os, "stat", stat_then_replace)
        old.close()
        successor = successors[0] if successors else offer_at(path, asyncio.Event())
        assert accepts_connections(path)
        connection.close()
        successor.close()
        assert not path.exists()

    run(scenario)


# Guards against a file that is removed after its socket is closed, when another process may have replaced it.
def test_a_file_is_removed_while_its_socket_listens(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        path = tmp_path / "offer"
        offer = offer_at(path, asyncio.Event())
        listened: list[bool] = []
        unlink = os.unlink

        def check_and_unlink(name: Any, **more: Any) -> None:
            listened.append(accepts_connections(path))
            unlink(name, **more)

        monkeypatch.setattr(os, "unlink", check_and_unlink)
        monkeypatch.setattr(Path, "unlink", lambda self, missing_ok=False: check_and_unlink(self))
        offer.close()
        assert listened == [True]

    run(scenario)


# Guards against a new build that fails before it serves, and removes the socket files of the serving daemon.
def test_failed_successor_removes_no_file_of_serving_daemon(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member("a")]

        def config() -> str:
            return daemon_configuration(members, MANAGED, LOCAL.format(folder=tmp_path))

        async with running_daemon(tmp_path, members, config) as here:
            assert here.daemon.admin is not None
            here.daemon.admin.serve()
            loop = asyncio.get_running_loop()
            successor = Daemon(RecordingLogger(), seed=2)
            successor.inherited = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
            successor.apply(load(here.path))
            successor.close()
            successor.inherited.close()

            assert (await call(here, "GET", "status"))[0] == 200
            assert (await call(here, "GET", "status", name="r"))[0] == 200
            assert accepts_connections(tmp_path / "local")
        assert sorted(file.name for file in tmp_path.iterdir()) == ["micastand.toml"]

    run(scenario)
