"""Tests of the idempotency ledger: its decisions, the writer thread, and keys across restarts of a daemon."""

from __future__ import annotations

import asyncio
import socket
import threading
from pathlib import Path
from typing import Any, Callable

import pytest
from daemons import LISTENER, RecordingLogger, pool, requests_to, route, running_daemon
from peers import ScriptedBackend, silent

from loadbalancer.cli.__main__ import main
from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.daemon.daemon import Daemon
from loadbalancer.store.engine import Engine, Put, StoreBounds
from loadbalancer.store.errors import FullError, StoreError
from loadbalancer.store.files import DiskFiles
from loadbalancer.store.keeper import Store, StoreView
from loadbalancer.store.ledger import (
    DIGEST_BYTES,
    RETRY_MARGIN_S,
    Answered,
    Begun,
    Disposition,
    answered,
    decide,
    decode,
    digest,
    encode,
    scope,
)  # fmt: skip
from standins.disks import MemoryDisk
from standins.kills import KillTest
from standins.member import Member

DIGEST, OTHER_DIGEST = digest(b"POST", b"/a", b"x"), digest(b"POST", b"/a", b"y")
STORED_ANSWER = Answered(DIGEST, 100.0, 201, b"Created", [b"A: b\r\n"], b"body", b"d" * DIGEST_BYTES)


@pytest.mark.parametrize(
    "entry, request_digest, now, in_progress, all_drop, disposition, status",
    [
        (None, DIGEST, 100.0, False, True, Disposition.FIRST, 0),
        (Begun(DIGEST, 100.0, 3.0), OTHER_DIGEST, 101.0, False, True, Disposition.REFUSED, 422),
        (STORED_ANSWER, OTHER_DIGEST, 101.0, False, True, Disposition.REFUSED, 422),
        (STORED_ANSWER, DIGEST, 101.0, False, True, Disposition.REPLAY, 0),
        (Answered(DIGEST, 1.0, 200, b"", [], None, b"d"), DIGEST, 2.0, False, True, Disposition.REFUSED, 409),
        (Begun(DIGEST, 100.0, 3.0), DIGEST, 101.0, True, True, Disposition.REFUSED, 409),
        (Begun(DIGEST, 100.0, 3.0), DIGEST, 101.0, False, True, Disposition.RETRY, 0),
        (Begun(DIGEST, 100.0, 3.0), DIGEST, 101.0, False, False, Disposition.REFUSED, 409),
        (Begun(DIGEST, 100.0, 3.0), DIGEST, 103.0 - RETRY_MARGIN_S, False, True, Disposition.REFUSED, 409),
        # A clock that is before the time of the entry.
        (Begun(DIGEST, 100.0, 3.0), DIGEST, 99.0, False, True, Disposition.REFUSED, 409),
    ],
)
def test_the_decision_follows_from_the_entry_and_the_time(
    entry: Any,
    request_digest: bytes,
    now: float,
    in_progress: bool,
    all_drop: bool,
    disposition: Disposition,
    status: int,
) -> None:
    decision = decide(entry, request_digest, now, in_progress, all_drop)
    assert (decision.disposition, decision.status) == (disposition, status)
    if disposition == Disposition.RETRY:
        assert 0 < decision.time_remaining <= 3.0 - RETRY_MARGIN_S - (now - 100.0)


def test_entries_are_decoded_as_encoded_and_scopes_differ() -> None:
    for entry in (STORED_ANSWER, Begun(DIGEST, 1.0, 2.0)):
        assert decode(encode(entry)) == entry
    assert (
        len({scope("a", "bc", b"k"), scope("ab", "c", b"k"), scope("a", "b", b"ck"), scope("", "", b"k")})
        == 4
    )
    assert answered(DIGEST, 1.0, 200, b"", [b"x" * 8], b"y" * 8, 16).body == b"y" * 8
    long = answered(DIGEST, 1.0, 200, b"", [b"x" * 8], b"y" * 9, 16)
    assert long.body is None and long.lines == [] and len(long.body_digest) == DIGEST_BYTES


# The writer thread of the store.


def run(scene: Callable[[], Any]) -> Any:
    return asyncio.run(asyncio.wait_for(scene(), 60))


def test_jobs_see_the_writes_of_earlier_jobs_and_share_one_fsync() -> None:
    async def scene() -> None:
        disk = MemoryDisk()
        engine = Engine(disk, lambda: 1.0)
        engine.open()
        gate = threading.Event()
        store = Store(engine, RecordingLogger())

        def wait(view: StoreView) -> None:
            gate.wait()

        waiting = asyncio.ensure_future(store.call(wait))
        await asyncio.sleep(0)
        calls = disk.calls

        def add(view: StoreView) -> int:
            count = int(view.get(b"n") or 0) + 1
            view.put(b"n", b"%d" % count)
            return count

        jobs = [asyncio.ensure_future(store.call(add)) for _ in range(100)]
        await asyncio.sleep(0)
        gate.set()
        await waiting
        assert await asyncio.gather(*jobs) == list(range(1, 101))
        assert disk.calls - calls <= 8  # two writes and two syncs for at most two batches
        store.close()
        assert not disk.locked and disk.open_files == 0

    run(scene)


def test_a_job_that_exceeds_a_limit_or_fails_does_not_block_the_others() -> None:
    async def scene() -> None:
        heard = RecordingLogger()
        engine = Engine(MemoryDisk(), lambda: 1.0, StoreBounds(max_keys=2))
        engine.open()
        store = Store(engine, heard)
        await store.call(lambda view: view.put(b"a", b"1"))
        results = await asyncio.gather(
            store.call(lambda view: view.put(b"b", b"2")),
            store.call(lambda view: view.put(b"c", b"3")),
            store.call(lambda view: view.put(b"a", b"4")),
            store.call(lambda view: 1 // 0),
            return_exceptions=True,
        )
        assert sum(isinstance(result, FullError) for result in results) <= 1
        assert isinstance(results[3], StoreError)
        assert await store.call(lambda view: view.get(b"a")) in (b"4", b"1")
        store.close()
        with pytest.raises(FullError, match="closing"):
            await store.call(lambda view: None)

    run(scene)


# A daemon.

CLASS = """\
[[class]]
name = "book"
aim = "1s"
deadline = "3s"
effect = "keyed"
dedup_window = "2s"
remember = "1h"
"""
STORE = '[store]\nfolder = "state"\n'


def config_text(members: list[Any], *more: str, cls: str = CLASS) -> str:
    return "\n".join((STORE, cls, LISTENER, route("r", "p", 'class = "book"'), pool("p", members, *more)))


def keyed_request(key: str, body: bytes = b"one", path: str = "/book") -> bytes:
    return requests_to(path, "POST", body, f"Idempotency-Key: {key}")


def test_a_repeat_gets_the_stored_answer_before_and_after_a_restart_and_runs_once(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("m")
        answers = []
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            for _ in range(3):
                answers.append(await here.ask(keyed_request("k1")))
            assert (await here.ask(keyed_request("k1", b"two")))[0] == 422
            assert (await here.ask(keyed_request("k1", path="/other")))[0] == 422
            assert (await here.ask(keyed_request("k2")))[0] == 200
            # Without a key, nothing is stored.
            assert (await here.ask(requests_to("/book", "POST", b"one")))[0] == 200
            daemon = here.daemon
            assert daemon.storage is not None and daemon.storage.ledger.open == 0
            daemon.close()
            again = Daemon(RecordingLogger(), seed=2)
            again.apply(load(here.path))
            here.daemon = again
            answers.append(await here.ask(keyed_request("k1")))
            assert again.storage is not None and not again.storage.ledger.in_progress
            again.close()
            assert member.counts.by_key == {"k1": 1, "k2": 1}
        assert len({body for _, _, body in answers}) == 1 and {status for status, _, _ in answers} == {200}
        replayed = [b"Idempotent-Replayed: true" in head for _, head, _ in answers]
        assert replayed == [False, True, True, True]

    run(scene)


def test_an_unresolved_key_is_retried_inside_the_window_and_rejected_after_it(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            member.behaviour.resets = True
            # Members drop repeats, so neither status risks a second run.
            assert (await here.ask(keyed_request("k")))[0] in (502, 503)
            sent = member.counts.by_key["k"]
            # It may have run, so it gets one attempt as an unsafe request would.
            assert (await here.ask(keyed_request("k")))[0] in (502, 503)
            assert member.counts.by_key["k"] <= sent + 1
            member.behaviour.resets = False
            storage = here.daemon.storage
            assert storage is not None
            late_time = storage.store.engine.now() + 10.0
            storage.store.engine._clock = lambda: late_time  # the deduplication window has ended
            before = member.counts.by_key["k"]
            status, _, reason = await here.ask(keyed_request("k"))
            assert status == 409 and b"whether it ran is not known" in reason
            assert member.counts.by_key["k"] == before

    run(scene)


def test_the_key_of_a_request_that_did_not_run_is_removed_and_can_be_used_again(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(
            tmp_path, [member], lambda: config_text([member], 'refusal_header = "X-No"')
        ) as here:
            member.behaviour.status, member.behaviour.headers = 503, b"X-No: 1\r\n"
            assert (await here.ask(keyed_request("k")))[0] == 503
            member.behaviour.status, member.behaviour.headers = 200, b""
            storage = here.daemon.storage
            assert storage is not None
            await storage.store.call(lambda view: None)  # wait until the removal of the key is on disk
            status = 503
            while status == 503:  # the member is not selected for a moment
                status, _, _ = await here.ask(keyed_request("k"))
                await storage.store.call(lambda view: None)
            assert status == 200

    run(scene)


def test_an_error_of_a_member_is_stored_and_a_long_answer_is_replaced_by_its_digest(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            member.behaviour.status, member.behaviour.body = 422, b"no such pallet"
            first = await here.ask(keyed_request("k"))
            again = await here.ask(keyed_request("k"))
            assert first[0] == again[0] == 422 and first[2] == again[2] == b"no such pallet"
            member.behaviour.status, member.behaviour.body = 200, b"x" * 20_000
            assert len((await here.ask(keyed_request("long")))[2]) == 20_000
            status, _, reason = await here.ask(keyed_request("long"))
            assert status == 409 and b"answered with 200" in reason
            assert member.counts.by_key == {"k": 1, "long": 1}

    run(scene)


def test_of_two_concurrent_requests_with_one_key_one_runs(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("m", silent)
        async with running_daemon(tmp_path, [backend], lambda: config_text([backend])) as here:
            first = asyncio.ensure_future(here.ask(keyed_request("k")))
            call = await backend.until_called()
            status, _, reason = await here.ask(keyed_request("k"))
            assert status == 409 and b"in progress" in reason
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert (await first)[0] == 200
            assert (await here.ask(keyed_request("k")))[2] == b"ok"

    run(scene)


def test_a_read_only_store_rejects_new_keys_and_other_requests_are_served(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            assert (await here.ask(keyed_request("before")))[0] == 200
            storage = here.daemon.storage
            assert storage is not None
            storage.store.engine.log.read_only = "fsync failed: test"
            status, _, reason = await here.ask(keyed_request("k"))
            assert status == 503 and b"it has not run" in reason and "k" not in member.counts.by_key
            assert (await here.ask(requests_to("/book")))[0] == 200
            assert (await here.ask(keyed_request("before")))[0] == 200  # stored answers are still replayed
            assert here.heard.count("keyed work refused")

    run(scene)


def test_an_answer_is_sent_in_time_while_the_disk_stalls_and_is_stored_later(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("m", silent)
        short = CLASS.replace('"1s"', '"300ms"').replace('"3s"', '"400ms"')
        async with running_daemon(tmp_path, [backend], lambda: config_text([backend], cls=short)) as here:
            storage = here.daemon.storage
            assert storage is not None
            gate = threading.Event()
            first = asyncio.ensure_future(here.ask(keyed_request("k")))
            call = await backend.until_called()
            storage.store.submit(lambda view: gate.wait(), lambda result, problem: None)  # the disk stalls
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert (await first)[0] == 200
            assert here.heard.count("an answer went out before the disk had it")
            gate.set()
            await storage.store.call(lambda view: None)
            assert (await here.ask(keyed_request("k")))[2] == b"ok"

    run(scene)


def test_a_client_that_disconnects_during_a_disk_write_leaves_no_state(tmp_path: Path) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            storage = here.daemon.storage
            assert storage is not None
            gate = threading.Event()
            storage.store.submit(lambda view: gate.wait(), lambda result, problem: None)
            client = await here.connect()
            await client.send(keyed_request("k"))
            await here.until(lambda: storage.ledger.open == 1)
            client.writer.transport.abort()
            pool_ = here.daemon.pools["p"].proxy
            await here.until(lambda: not here.daemon.listeners["main"].is_busy())
            gate.set()
            await here.until(lambda: storage.ledger.open == 0)
            await storage.store.call(lambda view: None)
            assert not storage.ledger.in_progress and pool_.budget.held_bytes == 0
            assert (await here.ask(keyed_request("k")))[0] == 200 and member.counts.by_key == {"k": 1}

    run(scene)


@pytest.mark.parametrize(
    "edit, words",
    [
        (lambda config: config.replace(STORE, ""), "needs a [store]"),
        (
            lambda config: config.replace('effect = "keyed"\ndedup_window = "2s"', 'effect = "unsafe"'),
            "goes with effect",
        ),
        (
            lambda config: config.replace('name = "p"', 'name = "p"\nlimits = { answer_stream = "1MiB" }'),
            "judged whole",
        ),
    ],
)
def test_an_invalid_configuration_of_remembered_classes_is_an_error(
    tmp_path: Path, edit: Callable[[str], str], words: str
) -> None:
    member = Member("m")
    member.address = "127.0.0.1:9"
    path = tmp_path / "c.toml"
    path.write_text(edit(config_text([member])))
    with pytest.raises(ConfigError) as caught:
        load(path)
    assert words in str(caught.value)


def test_a_locked_store_fails_the_start_and_a_reload_keeps_the_open_store(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        member = Member("m")
        async with running_daemon(tmp_path, [member], lambda: config_text([member])) as here:
            second = Daemon(RecordingLogger(), seed=3)
            with pytest.raises(ConfigError, match="one writer at a time"):
                second.apply(load(here.path))
            second.close()
            await here.reload(config_text([member]).replace('"state"', '"other"'))
            assert here.heard.count("new configuration not taken: store")
            await here.reload(config_text([member], 'refusal_header = "X"'))
            assert here.daemon.reloads == 1 and (await here.ask(keyed_request("k")))[0] == 200

    run(scene)


def test_a_daemon_killed_at_random_under_load_runs_each_acknowledged_key_once(tmp_path: Path) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    tally = run(lambda: KillTest(tmp_path, port, seed=5).run(5))
    assert tally.kills == 5 and tally.acknowledged >= 5 and tally.repeated == len(tally.answers)
    assert tally.differ == []
    assert not [key for key in tally.doubled if key in tally.answers]


def test_the_store_commands_verify_compact_and_dump(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "s"
    engine = Engine(DiskFiles(folder), lambda: 1.0, StoreBounds(segment_bytes=400))
    engine.open()
    for number in range(40):
        engine.commit(
            [Put(scope("", "r", b"%d" % (number % 4)), encode(STORED_ANSWER)), Put(b"mark/p/m", b"drain")]
        )
    assert main(["store", "verify", str(folder)]) == 1  # another engine has it open
    assert "one writer at a time" in capsys.readouterr().err
    engine.close()
    assert main(["store", "compact", str(folder)]) == 0
    assert main(["store", "dump", str(folder)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert sum('"state": "answered"' in line and '"status": 201' in line for line in lines) == 4
    assert '{"key": "mark/p/m", "value": "drain"}' in lines
    names = sorted(path for path in folder.iterdir() if path.suffix in (".a", ".b"))
    for path in names[:2]:
        path.write_bytes(path.read_bytes()[:30] + b"\xff" + path.read_bytes()[31:])
    assert main(["store", "verify", str(folder)]) == 1
    assert "damaged in both copies" in capsys.readouterr().out
    assert main(["store", "verify", str(tmp_path / "none")]) == 2
