"""The files of Unix sockets, where two processes follow one another."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

import pytest
from administered import MANAGED, call, daemon_configuration, run
from daemons import Heard, ground

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
    offer = HotRestartOffer(path, state, Heard())
    offer.open()
    return offer


def listens(path: Path) -> bool:
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(str(path))
        except OSError:
            return False
    return True


# Guards against a predecessor that looks at the file, and removes its successor's, which came in between.
def test_whoever_was_replaced_leaves_the_file_to_its_successor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        path, replaced = tmp_path / "offer", asyncio.Event()
        old = offer_at(path, replaced)
        loop = asyncio.get_running_loop()
        taken = await loop.run_in_executor(None, take_over, path)
        connection = await loop.run_in_executor(None, taken.serving)
        await replaced.wait()
        successors: list[HotRestartOffer] = []
        stat = os.stat

        def stat_and_be_overtaken(name: Any, **more: Any) -> os.stat_result:
            found = stat(name, **more)
            if name == path:
                monkeypatch.undo()
                successors.append(offer_at(path, asyncio.Event()))
            return found

        monkeypatch.setattr(os, "stat", stat_and_be_overtaken)
        old.close()
        successor = successors[0] if successors else offer_at(path, asyncio.Event())
        assert listens(path)
        connection.close()
        successor.close()
        assert not path.exists()

    run(scene)


# Guards against a file that is removed once its socket is closed: another process may have replaced it by then.
def test_a_file_is_removed_while_its_socket_listens(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        path = tmp_path / "offer"
        offer = offer_at(path, asyncio.Event())
        listened: list[bool] = []
        unlink = os.unlink

        def observed(name: Any, **more: Any) -> None:
            listened.append(listens(path))
            unlink(name, **more)

        monkeypatch.setattr(os, "unlink", observed)
        monkeypatch.setattr(Path, "unlink", lambda self, missing_ok=False: observed(self))
        offer.close()
        assert listened == [True]

    run(scene)


# Guards against a new build that fails before it serves, and takes the serving one's sockets out of reach.
def test_a_successor_that_comes_to_nothing_removes_no_file_of_the_serving_daemon(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member("a")]

        def config() -> str:
            return daemon_configuration(members, MANAGED, LOCAL.format(folder=tmp_path))

        async with ground(tmp_path, members, config) as here:
            assert here.daemon.admin is not None
            here.daemon.admin.serve()
            loop = asyncio.get_running_loop()
            successor = Daemon(Heard(), seed=2)
            successor.inherited = await loop.run_in_executor(None, take_over, offer_path(tmp_path / "s"))
            successor.apply(load(here.path))
            successor.close()
            successor.inherited.close()

            assert (await call(here, "GET", "status"))[0] == 200
            assert (await call(here, "GET", "status", name="r"))[0] == 200
            assert listens(tmp_path / "local")
        assert sorted(file.name for file in tmp_path.iterdir()) == ["micastand.toml"]

    run(scene)
