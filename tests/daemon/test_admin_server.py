"""Operators over sources: calls by the socket, overrides over restarts, migrations, decisions of requests."""

from __future__ import annotations

import asyncio
import json
import stat
from pathlib import Path
from typing import Any

import pytest
from administered import MANAGED, STORE, call, run, served_by, text
from daemons import LISTENER, DaemonHarness, RecordingLogger, pool, requests_to, route, running_daemon

from loadbalancer.cli.__main__ import main
from loadbalancer.cli.output import lines
from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from standins.member import Member


@pytest.mark.parametrize("store", ["", STORE])
def test_changes_take_effect_at_once_are_told_and_written_down(tmp_path: Path, store: str) -> None:
    async def scene() -> None:
        members = [Member(name) for name in "abc"]
        late = Member("late")
        await late.start()
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED, store)) as here:
            assert stat.S_IMODE((tmp_path / "s").stat().st_mode) == 0o600
            assert stat.S_IMODE((tmp_path / "r").stat().st_mode) == 0o660
            assert await served_by(here) == {"a", "b", "c"}
            status, found = await call(here, "POST", "cordon", pool="p", members=["a", "b"], reason="deploy")
            assert status == 200 and found["kept"] == bool(store)
            assert [(m["member"], m["used"], m["mark"]["by"]) for m in found["members"]] == [
                ("a", False, "ops"),
                ("b", False, "ops"),
            ]
            assert await served_by(here) == {"c"}
            status, found = await call(here, "POST", "drain", pool="p", member="c")
            assert status == 409 and "without any member" in found["error"]
            assert await served_by(here) == {"c"}
            assert (await call(here, "POST", "uncordon", pool="p", member="a"))[0] == 200
            assert (await call(here, "POST", "uncordon", pool="p", member="a"))[0] == 200  # twice is once
            assert (await call(here, "POST", "weight", pool="p", member="none", weight=2.0))[0] == 404
            assert (await call(here, "POST", "drain", pool="q", member="a"))[0] == 404
            status, _ = await call(here, "POST", "add", pool="p", member="late", address=late.address)
            assert status == 200 and "late" in await served_by(here, 80)
            assert (await call(here, "POST", "remove", pool="p", member="late"))[0] == 200
            assert "late" not in await served_by(here)
            status, found = await call(here, "GET", "pools", "r")
            assert status == 200 and found[0]["members"] == 3 and found[0]["served"] >= 160
            assert (await call(here, "POST", "cordon", "r", pool="p", member="a"))[0] == 403
            for what in ("status", "members", "requests", "marks", "verbs"):
                status, found = await call(here, "GET", what, "r")
                assert status == 200 and lines(found)
            audit = [json.loads(line) for line in (tmp_path / "audit.log").read_text().splitlines()]
            assert (
                audit[0]["verb"] == "cordon"
                and audit[0]["reason"] == "deploy"
                and audit[0]["ended"] == "done"
            )
            assert any("refused" in line["ended"] for line in audit) and len(audit) >= 8
        assert not (tmp_path / "s").exists() and not (tmp_path / "r").exists()
        await late.stop()

    run(scene)


def test_marks_outlast_a_restart_and_a_reload_and_a_pool_that_goes(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED, STORE)) as here:
            assert (await call(here, "POST", "cordon", pool="p", member="a"))[0] == 200
            assert (await call(here, "POST", "cordon", pool="p", member="later", until="1h"))[0] == 200
            await here.reload(text(members, MANAGED, STORE).replace('"warm"', '"cold"'))  # a pool made anew
            assert here.daemon.reloads == 1 and await served_by(here) <= {"b", "503"}
            here.daemon.close()
            again = here.daemon = Daemon(RecordingLogger(), seed=5)
            again.apply(load(here.path))
            assert await served_by(here) <= {"b", "503"}
            _, found = await call(here, "GET", "marks")
            assert [(m["member"], m["there"]) for m in found] == [("a", True), ("later", False)]
            renamed = text(members, MANAGED, STORE).replace('"p"', '"other"')
            await here.reload(renamed)
            _, found = await call(here, "GET", "marks")
            assert [m["there"] for m in found] == [False, False]  # told, and not moved to another name
            assert {"a", "b"} >= await served_by(here) - {"503"}

    run(scene)


def test_a_mark_that_can_not_be_kept_is_taken_back(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED, STORE)) as here:
            assert here.daemon.storage is not None
            here.daemon.storage.store.engine.log.read_only = "fsync failed: test"
            _, found = await call(here, "POST", "cordon", pool="p", member="a")
            assert "nothing has changed" in found["error"]
            assert await served_by(here) == {"a", "b"}

    run(scene)


def test_a_management_that_changes_by_a_reload_is_refused_and_a_socket_that_is_taken_stops_a_start(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        members = [Member("a")]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED)) as here:
            await here.reload(text(members))
            assert here.heard.count("new configuration not taken: management")
            other = Daemon(RecordingLogger(), seed=2)
            here.write(text(members, MANAGED))
            with pytest.raises(OSError):
                other.apply(load(here.path))
            other.close()
            assert (await call(here, "GET", "status"))[0] == 200  # the first one's is still there

    run(scene)


def test_callers_that_hang_and_calls_beside_load(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED)) as here:
            hanging = [await asyncio.open_unix_connection(str(tmp_path / "s")) for _ in range(30)]

            async def load_() -> None:
                for _ in range(50):
                    assert (await here.ask(requests_to()))[0] == 200

            async def calls() -> None:
                for number in range(100):
                    verb = "cordon" if number % 2 else "uncordon"
                    assert (await call(here, "POST", verb, pool="p", member="a"))[0] == 200

            await asyncio.gather(load_(), calls())
            for _, writer in hanging:
                writer.close()

    run(scene)


def test_the_verbs(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def scene() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED)) as here:
            assert here.daemon.admin is not None

            async def verb(*words: str) -> int:
                loop = asyncio.get_running_loop()
                return await loop.run_in_executor(None, main, [*words, "--socket", str(tmp_path / "s")])

            assert await verb("status") == 0 and "listeners" in capsys.readouterr().out
            assert await verb("cordon", "p", "a", "--reason", "x", "--until", "30m") == 0
            assert "not kept: there is no [store]" in capsys.readouterr().out
            assert await verb("members", "--json") == 0
            rows = json.loads(capsys.readouterr().out)
            assert [(row["member"], row["used"]) for row in rows] == [("a", False), ("b", True)]
            assert await verb("cordon", "p", "b") == 1
            assert "without any member" in capsys.readouterr().err
            assert await verb("cordon", "p", "b", "--last") == 0
            for words in (
                ("uncordon", "p", "a", "b"),
                ("weight", "p", "a", "3"),
                ("freeze", "p"),
                ("thaw", "p"),
                ("pools",),
                ("requests",),
                ("marks",),
                ("reload",),
            ):
                assert await verb(*words) == 0, words
            await here.settled()
        assert main(["status", "--socket", str(tmp_path / "gone")]) == 2
        assert main(["status"]) == 2

    run(scene)


async def moved_to(here: DaemonHarness) -> set[str]:
    """Who serves; on a busy machine one of two pools may have to wait for its share of the processor."""
    return await served_by(here, 60) - {"503"}


TWO = ("[pool.rules]", 'new_members = "warm"')


def canary(members: list[Member], *more: str) -> str:
    keyed = '[[class]]\nname = "k"\naim = "1s"\ndeadline = "2s"\neffect = "keyed"\ndedup_window = "50ms"\n'
    way = route("r", "p", 'write_class = "k"')
    return "\n".join(
        (*more, keyed, LISTENER, way, pool("p", members[:1], *TWO), pool("q", members[1:], *TWO))
    )


@pytest.mark.parametrize("store", ["", STORE])
def test_a_share_of_a_pool_moves_and_comes_back(tmp_path: Path, store: str) -> None:
    async def scene() -> None:
        members = [Member("home"), Member("away")]
        async with running_daemon(tmp_path, members, lambda: canary(members, MANAGED, store)) as here:
            assert await served_by(here) == {"home"}
            status, found = await call(
                here, "POST", "move", pool="p", other="q", share=0.5, reason="new build"
            )
            assert status == 200 and found["kept"] == bool(store) and found["moves"][0]["other"] == "q"
            assert await moved_to(here) == {"home", "away"}
            await here.reload(canary(members, MANAGED, store) + "\n")  # the move is not of the file
            assert await moved_to(here) == {"home", "away"}
            for other, status in (("none", 404), ("p", 404)):
                assert (await call(here, "POST", "move", pool="p", other=other, share=0.5))[0] == status
            assert (await call(here, "POST", "move", pool="q", other="p", share=0.5))[0] == 409
            assert (await call(here, "POST", "move", pool="p", other="q", share=2))[0] == 400
            one = canary(members, MANAGED, store).rpartition("[[pool]]")[0]
            await here.reload(one)  # where the other pool is gone all stays at home
            assert await moved_to(here) == {"home"} and here.heard.count("a move waits")
            await here.reload(canary(members, MANAGED, store))
            assert await moved_to(here) == {"home", "away"}
            before = members[1].counts.requests
            assert (await call(here, "POST", "move", pool="p", other="q", share=0))[0] == 200
            assert await moved_to(here) == {"home"} and members[1].counts.requests == before
            assert (await call(here, "GET", "moves"))[1] == []
            assert (await call(here, "POST", "move", pool="p", other="q", share=1, until="1h"))[0] == 200
        if store:
            daemon = Daemon(RecordingLogger(), seed=1)
            daemon.apply(load(tmp_path / "micastand.toml"))
            assert daemon.admin is not None and daemon.admin.state.migrations["p"].current is not None
            daemon.close()

    run(scene)


def test_a_move_ends_by_its_time(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member("home"), Member("away")]
        async with running_daemon(tmp_path, members, lambda: canary(members, MANAGED)) as here:
            assert (await call(here, "POST", "move", pool="p", other="q", share=1, until="1ms"))[0] == 200
            await here.until(lambda: here.heard.count("a move has ended"))
            assert await moved_to(here) == {"home"}

    run(scene)


def test_why_a_request_went_where_it_went(tmp_path: Path) -> None:
    async def scene() -> None:
        sick, well = Member("sick"), Member("well")
        sick.behaviour.status = 503
        two = MANAGED + "why = 3\n"
        async with running_daemon(tmp_path, [sick, well], lambda: text([sick, well], two)) as here:
            found: list[Any] = []
            for number in range(40):
                name = f"r/{number}"
                assert (await here.ask(requests_to("/", "GET", b"", f"X-Request-Id: {name}")))[0] in (
                    200,
                    503,
                )
                status, found = await call(here, "GET", f"why/r%2F{number}")
                assert status == 200 and found[0]["what"] == "came" and found[0]["pool"] == "p"
                if found[1]["member"] == "sick":
                    break
            assert [step["what"] for step in found[1:4]] == ["sent", "attempt 0 ended", "sent"]
            assert found[2]["result"] == "error" and found[3]["member"] == "well" and found[1]["usable"] == 2
            for number in range(3):
                await here.ask(requests_to("/", "GET", b"", f"X-Request-Id: later-{number}"))
            assert (await call(here, "GET", f"why/{name}"))[0] == 404  # three are kept
            assert (await call(here, "GET", "why/later-2"))[0] == 200
            trace = here.daemon.pools["p"].proxy.trace
            assert trace is not None and len(trace) == 3

    run(scene)


def test_why_is_off_unless_it_is_configured(tmp_path: Path) -> None:
    async def scene() -> None:
        members = [Member("a")]
        async with running_daemon(tmp_path, members, lambda: text(members, MANAGED)) as here:
            assert here.daemon.pools["p"].proxy.trace is None
            status, found = await call(here, "GET", "why/x")
            assert status == 409 and "why = 1000" in found["error"]

    run(scene)
