"""The administrative API of a daemon: changes, their persistence, migrations, and traces of requests."""

from __future__ import annotations

import asyncio
import json
import stat
from pathlib import Path
from typing import Any

import pytest
from administered import MANAGED, STORE, call, daemon_configuration, run, served_by
from daemons import LISTENER, DaemonHarness, RecordingLogger, pool, requests_to, route, running_daemon

from loadbalancer.cli.__main__ import main
from loadbalancer.cli.output import lines
from loadbalancer.config.plan import load
from loadbalancer.daemon.daemon import Daemon
from standins.member import Member


@pytest.mark.parametrize("store", ["", STORE])
def test_changes_take_effect_at_once_and_are_reported_and_audited(tmp_path: Path, store: str) -> None:
    async def scenario() -> None:
        members = [Member(name) for name in "abc"]
        late = Member("late")
        await late.start()
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED, store)
        ) as harness:
            assert stat.S_IMODE((tmp_path / "s").stat().st_mode) == 0o600
            assert stat.S_IMODE((tmp_path / "r").stat().st_mode) == 0o660
            assert await served_by(harness) == {"a", "b", "c"}
            status, answer = await call(
                harness, "POST", "cordon", pool="p", members=["a", "b"], reason="deploy"
            )
            assert status == 200 and answer["kept"] == bool(store)
            assert [(row["member"], row["used"], row["mark"]["by"]) for row in answer["members"]] == [
                ("a", False, "ops"),
                ("b", False, "ops"),
            ]
            assert await served_by(harness) == {"c"}
            status, answer = await call(harness, "POST", "drain", pool="p", member="c")
            assert status == 409 and "without any member" in answer["error"]
            assert await served_by(harness) == {"c"}
            assert (await call(harness, "POST", "uncordon", pool="p", member="a"))[0] == 200
            assert (await call(harness, "POST", "uncordon", pool="p", member="a"))[0] == 200  # idempotent
            assert (await call(harness, "POST", "weight", pool="p", member="none", weight=2.0))[0] == 404
            assert (await call(harness, "POST", "drain", pool="q", member="a"))[0] == 404
            status, _ = await call(harness, "POST", "add", pool="p", member="late", address=late.address)
            assert status == 200 and "late" in await served_by(harness, 80)
            assert (await call(harness, "POST", "remove", pool="p", member="late"))[0] == 200
            assert "late" not in await served_by(harness)
            status, answer = await call(harness, "GET", "pools", "r")
            assert status == 200 and answer[0]["members"] == 3 and answer[0]["served"] >= 160
            assert (await call(harness, "POST", "cordon", "r", pool="p", member="a"))[0] == 403
            for what in ("status", "members", "requests", "marks", "verbs"):
                status, answer = await call(harness, "GET", what, "r")
                assert status == 200 and lines(answer)
            audit = [json.loads(line) for line in (tmp_path / "audit.log").read_text().splitlines()]
            assert (
                audit[0]["verb"] == "cordon"
                and audit[0]["reason"] == "deploy"
                and audit[0]["ended"] == "done"
            )
            assert any("refused" in line["ended"] for line in audit) and len(audit) >= 8
        assert not (tmp_path / "s").exists() and not (tmp_path / "r").exists()
        await late.stop()

    run(scenario)


def test_overrides_survive_a_reload_a_restart_and_the_removal_of_their_pool(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED, STORE)
        ) as harness:
            assert (await call(harness, "POST", "cordon", pool="p", member="a"))[0] == 200
            assert (await call(harness, "POST", "cordon", pool="p", member="later", until="1h"))[0] == 200
            # The changed rule makes the reload create the pool anew.
            await harness.reload(daemon_configuration(members, MANAGED, STORE).replace('"warm"', '"cold"'))
            assert harness.daemon.reloads == 1 and await served_by(harness) <= {"b", "503"}
            harness.daemon.close()
            restarted = harness.daemon = Daemon(RecordingLogger(), seed=5)
            restarted.apply(load(harness.path))
            assert await served_by(harness) <= {"b", "503"}
            _, answer = await call(harness, "GET", "marks")
            assert [(row["member"], row["there"]) for row in answer] == [("a", True), ("later", False)]
            renamed = daemon_configuration(members, MANAGED, STORE).replace('"p"', '"other"')
            await harness.reload(renamed)
            _, answer = await call(harness, "GET", "marks")
            # The overrides are still reported, and are not applied to the renamed pool.
            assert [row["there"] for row in answer] == [False, False]
            assert {"a", "b"} >= await served_by(harness) - {"503"}

    run(scenario)


def test_an_override_that_can_not_be_stored_is_undone(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED, STORE)
        ) as harness:
            assert harness.daemon.storage is not None
            harness.daemon.storage.store.engine.log.read_only = "fsync failed: test"
            _, answer = await call(harness, "POST", "cordon", pool="p", member="a")
            assert "nothing has changed" in answer["error"]
            assert await served_by(harness) == {"a", "b"}

    run(scenario)


def test_a_reload_that_changes_management_is_rejected_and_a_socket_in_use_fails_the_start(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        members = [Member("a")]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED)
        ) as harness:
            await harness.reload(daemon_configuration(members))
            assert harness.heard.count("new configuration not taken: management")
            other = Daemon(RecordingLogger(), seed=2)
            harness.write(daemon_configuration(members, MANAGED))
            with pytest.raises(OSError):
                other.apply(load(harness.path))
            other.close()
            # The first daemon's socket is still in use.
            assert (await call(harness, "GET", "status"))[0] == 200

    run(scenario)


def test_administrative_calls_succeed_beside_idle_connections_and_traffic(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED)
        ) as harness:
            idle = [await asyncio.open_unix_connection(str(tmp_path / "s")) for _ in range(30)]

            async def send_requests() -> None:
                for _ in range(50):
                    assert (await harness.ask(requests_to()))[0] == 200

            async def toggle_cordon() -> None:
                for number in range(100):
                    verb = "cordon" if number % 2 else "uncordon"
                    assert (await call(harness, "POST", verb, pool="p", member="a"))[0] == 200

            await asyncio.gather(send_requests(), toggle_cordon())
            for _, writer in idle:
                writer.close()

    run(scenario)


def test_command_line_verbs_exit_with_the_expected_status(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        members = [Member(name) for name in "ab"]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED)
        ) as harness:
            assert harness.daemon.admin is not None

            async def run_command(*words: str) -> int:
                loop = asyncio.get_running_loop()
                return await loop.run_in_executor(None, main, [*words, "--socket", str(tmp_path / "s")])

            assert await run_command("status") == 0 and "listeners" in capsys.readouterr().out
            assert await run_command("cordon", "p", "a", "--reason", "x", "--until", "30m") == 0
            assert "not kept: there is no [store]" in capsys.readouterr().out
            assert await run_command("members", "--json") == 0
            rows = json.loads(capsys.readouterr().out)
            assert [(row["member"], row["used"]) for row in rows] == [("a", False), ("b", True)]
            assert await run_command("cordon", "p", "b") == 1
            assert "without any member" in capsys.readouterr().err
            assert await run_command("cordon", "p", "b", "--last") == 0
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
                assert await run_command(*words) == 0, words
            await harness.settled()
        assert main(["status", "--socket", str(tmp_path / "gone")]) == 2
        assert main(["status"]) == 2

    run(scenario)


async def serving_members(harness: DaemonHarness) -> set[str]:
    """Return the members that answer, without the 503 answers that may occur for lack of processor time."""
    return await served_by(harness, 60) - {"503"}


POOL_RULES = ("[pool.rules]", 'new_members = "warm"')


def migration_configuration(members: list[Member], *more: str) -> str:
    keyed = '[[class]]\nname = "k"\naim = "1s"\ndeadline = "2s"\neffect = "keyed"\ndedup_window = "50ms"\n'
    write_route = route("r", "p", 'write_class = "k"')
    return "\n".join(
        (
            *more,
            keyed,
            LISTENER,
            write_route,
            pool("p", members[:1], *POOL_RULES),
            pool("q", members[1:], *POOL_RULES),
        )
    )


@pytest.mark.parametrize("store", ["", STORE])
def test_a_share_of_a_pool_migrates_and_returns(tmp_path: Path, store: str) -> None:
    async def scenario() -> None:
        members = [Member("home"), Member("away")]
        async with running_daemon(
            tmp_path, members, lambda: migration_configuration(members, MANAGED, store)
        ) as harness:
            assert await served_by(harness) == {"home"}
            status, answer = await call(
                harness, "POST", "move", pool="p", other="q", share=0.5, reason="new build"
            )
            assert status == 200 and answer["kept"] == bool(store) and answer["moves"][0]["other"] == "q"
            assert await serving_members(harness) == {"home", "away"}
            # The migration survives a reload.
            await harness.reload(migration_configuration(members, MANAGED, store) + "\n")
            assert await serving_members(harness) == {"home", "away"}
            for other, status in (("none", 404), ("p", 404)):
                assert (await call(harness, "POST", "move", pool="p", other=other, share=0.5))[0] == status
            assert (await call(harness, "POST", "move", pool="q", other="p", share=0.5))[0] == 409
            assert (await call(harness, "POST", "move", pool="p", other="q", share=2))[0] == 400
            without_target = migration_configuration(members, MANAGED, store).rpartition("[[pool]]")[0]
            await harness.reload(without_target)
            # Without the target pool all requests stay at the first pool.
            assert await serving_members(harness) == {"home"} and harness.heard.count("a move waits")
            await harness.reload(migration_configuration(members, MANAGED, store))
            assert await serving_members(harness) == {"home", "away"}
            before = members[1].counts.requests
            assert (await call(harness, "POST", "move", pool="p", other="q", share=0))[0] == 200
            assert await serving_members(harness) == {"home"} and members[1].counts.requests == before
            assert (await call(harness, "GET", "moves"))[1] == []
            assert (await call(harness, "POST", "move", pool="p", other="q", share=1, until="1h"))[0] == 200
        if store:
            daemon = Daemon(RecordingLogger(), seed=1)
            daemon.apply(load(tmp_path / "micastand.toml"))
            assert daemon.admin is not None and daemon.admin.state.migrations["p"].current is not None
            daemon.close()

    run(scenario)


def test_a_migration_ends_when_it_expires(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member("home"), Member("away")]
        async with running_daemon(
            tmp_path, members, lambda: migration_configuration(members, MANAGED)
        ) as harness:
            assert (await call(harness, "POST", "move", pool="p", other="q", share=1, until="1ms"))[0] == 200
            await harness.until(lambda: harness.heard.count("a move has ended"))
            assert await serving_members(harness) == {"home"}

    run(scenario)


def test_the_trace_explains_a_retry_and_keeps_the_latest_three_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        failing, healthy = Member("sick"), Member("well")
        failing.behaviour.status = 503
        traced = MANAGED + "why = 3\n"
        async with running_daemon(
            tmp_path, [failing, healthy], lambda: daemon_configuration([failing, healthy], traced)
        ) as harness:
            answer: list[Any] = []
            for number in range(40):
                name = f"r/{number}"
                assert (await harness.ask(requests_to("/", "GET", b"", f"X-Request-Id: {name}")))[0] in (
                    200,
                    503,
                )
                status, answer = await call(harness, "GET", f"why/r%2F{number}")
                assert status == 200 and answer[0]["what"] == "came" and answer[0]["pool"] == "p"
                if answer[1]["member"] == "sick":
                    break
            assert [step["what"] for step in answer[1:4]] == ["sent", "attempt 0 ended", "sent"]
            assert (
                answer[2]["result"] == "error" and answer[3]["member"] == "well" and answer[1]["usable"] == 2
            )
            for number in range(3):
                await harness.ask(requests_to("/", "GET", b"", f"X-Request-Id: later-{number}"))
            assert (await call(harness, "GET", f"why/{name}"))[0] == 404  # only the latest three are kept
            assert (await call(harness, "GET", "why/later-2"))[0] == 200
            trace = harness.daemon.pools["p"].proxy.trace
            assert trace is not None and len(trace) == 3

    run(scenario)


def test_request_tracing_is_off_unless_configured(tmp_path: Path) -> None:
    async def scenario() -> None:
        members = [Member("a")]
        async with running_daemon(
            tmp_path, members, lambda: daemon_configuration(members, MANAGED)
        ) as harness:
            assert harness.daemon.pools["p"].proxy.trace is None
            status, answer = await call(harness, "GET", "why/x")
            assert status == 409 and "why = 1000" in answer["error"]

    run(scenario)
