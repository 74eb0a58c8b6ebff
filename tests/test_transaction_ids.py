"""An id that comes again: after its client left, after an answer, and at another process of the same proxy."""

from __future__ import annotations

import asyncio
import http.client
import random
from pathlib import Path

import pytest
from peers import (
    OK,
    SETTINGS,
    TIMEOUT_S,
    Call,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)
from test_upgrade import Platform, platform

from loadbalancer.deployment import read_deployment
from loadbalancer.hot_restart.shared_ids import EARLIER_IDS_FILE, map_earlier_ids, map_shared_ids
from loadbalancer.proxy.recent_ids import EARLIER_IDS_BYTES, RECENT_IDS_BYTES, EarlierIds, RecentIds
from loadbalancer.proxy.transaction_ids import (
    NO_TRANSACTION,
    RESENT_WITHIN_S,
    TransactionIds,
    kept_s,
    transaction_number,
)
from standins.crowds import read_answer, request_head
from standins.platform_run import Limits, PlatformRun

#: Memory for 1,024 ids.
SMALL_TABLE_BYTES = 8 << 10
TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


async def resetting_after_request(call: Call) -> None:
    call.reset()


@pytest.mark.parametrize("cls", ["keyed", "unsafe"])
def test_id_of_a_client_that_left_does_not_run_again(cls: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", silent, answering(OK))
        async with running_proxy(backend) as here:
            client = await here.connect()
            data = request(cls)
            await client.send(data)
            await backend.until_called()
            client.writer.transport.abort()
            await here.proxy.until(lambda: not here.proxy.open)
            again = await here.connect()
            assert (await again.ask(data))[0] == 409
            assert len(backend.calls) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(("script", "status"), [(answering(OK), 200), (resetting_after_request, 502)])
def test_id_that_has_an_answer_does_not_run_again(script: object, status: int) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", script)  # type: ignore[arg-type]
        async with running_proxy(backend) as here:
            client = await here.connect()
            data = request("unsafe")
            assert (await client.ask(data))[0] == status
            again = await here.connect()
            assert (await again.ask(data))[0] == 409
            assert len(backend.calls) == 1

    run_with_timeout(scene)


def test_id_that_never_ran_and_id_that_is_safe_to_repeat_are_served_again() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("a", answering(TURNED_AWAY), answering(TURNED_AWAY), answering(OK))
        settings_with_one_attempt = 2
        async with running_proxy(backend) as here:
            client = await here.connect()
            data = request("unsafe")
            statuses: list[int] = []
            while 200 not in statuses and len(statuses) <= settings_with_one_attempt:
                statuses.append((await client.ask(data))[0])
            assert statuses[-1] == 200 and set(statuses[:-1]) <= {503}
            safe = request("safe")
            assert (await client.ask(safe))[0] == (await client.ask(safe))[0] == 200

    run_with_timeout(scene)


class Clock:
    """A clock that the test sets."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def random_numbers(count: int, seed: int = 1) -> list[int]:
    source = random.Random(seed)
    return [source.getrandbits(64) | 1 for _ in range(count)]


def test_earlier_ids_are_bounded_and_keep_the_latest() -> None:
    recent, numbers = EarlierIds(bytearray(EARLIER_IDS_BYTES)), random_numbers(20_000)
    for number in numbers:
        recent.add(number)
        assert number in recent
    assert all(number in recent for number in numbers[-200:])
    assert sum(number in recent for number in numbers) <= EARLIER_IDS_BYTES // 8
    recent.discard(numbers[-1])
    assert numbers[-1] not in recent


@pytest.mark.parametrize("begin", [0.0, 3.9, 65_530.5, 1e9])
def test_id_is_kept_for_its_time_however_many_others_come(begin: float) -> None:
    """Guards against an id that is forgotten by count, so that its request runs a second time."""
    clock = Clock(begin)
    recent, numbers = RecentIds(bytearray(SMALL_TABLE_BYTES), 10.0, clock), random_numbers(5_000)
    kept = [number for number in numbers if recent.add(number)]
    assert len(kept) > 0.8 * SMALL_TABLE_BYTES / 8
    clock.now = begin + 10.0
    refused = [number for number in random_numbers(5_000, 2) if not recent.add(number)]
    assert all(number in recent for number in kept)
    assert len(refused) > 0 and not any(number in recent for number in refused)


def test_place_of_an_id_that_is_past_its_time_is_used_again() -> None:
    """Guards against a table that refuses requests for ever once it was full."""
    clock = Clock()
    recent = RecentIds(bytearray(SMALL_TABLE_BYTES), 10.0, clock)
    kept = [number for number in random_numbers(5_000) if recent.add(number)]
    clock.now = 13.0
    assert all(recent.has_room(number) and recent.add(number) for number in random_numbers(500, 2))
    assert sum(number in recent for number in kept) >= len(kept) - 500


def test_50_000_other_ids_neither_displace_one_nor_are_refused() -> None:
    """Guards against requests that are refused, or run twice, at the rate of a busy process."""
    recent = RecentIds(bytearray(RECENT_IDS_BYTES), 60.0)
    numbers = [transaction_number(b"%016x" % number) for number in range(50_000)]
    assert all(recent.add(number) for number in numbers)
    assert all(number in recent for number in numbers)
    recent.discard(numbers[0])
    assert numbers[0] not in recent and numbers[1] in recent


def test_ids_are_kept_as_long_as_their_requests_may_come_again() -> None:
    classes = read_deployment(SETTINGS).settings.classes
    assert kept_s(classes) == max(each["give-up-s"] for each in SETTINGS["classes"]) + RESENT_WITHIN_S


def test_numbers_of_ids_are_spread_and_never_stand_for_none() -> None:
    numbers = {transaction_number(b"%016x" % number) for number in range(50_000)}
    assert len(numbers) == 50_000 and NO_TRANSACTION not in numbers
    assert transaction_number(b"") != NO_TRANSACTION


def test_request_whose_id_can_not_be_kept_is_refused_and_does_not_run() -> None:
    """Guards against a full table that forgets what has run."""

    async def scene() -> None:
        backend, messages = ScriptedBackend("a", answering(OK)), list[str]()
        async with running_proxy(backend) as here:
            here.proxy.logger = lambda kind, text="": messages.append(f"{kind}: {text}")  # type: ignore
            here.proxy.ids.share(memoryview(bytearray(SMALL_TABLE_BYTES)))
            for number in random_numbers(5_000):
                here.proxy.ids.opened(number, is_safe=False)
            client = await here.connect()
            refused = [(await client.ask(request("unsafe")))[0] for _ in range(20)].count(503)
            assert refused and here.proxy.ids.refused == refused == len(messages)
            assert len(backend.calls) == 20 - refused
            assert (await client.ask(request("safe")))[0] == 200

    run_with_timeout(scene)


def test_processes_see_the_ids_of_an_earlier_version_and_it_sees_theirs(tmp_path: Path) -> None:
    """Guards against an id that runs a second time at the other process of an upgrade to this version."""
    assert map_earlier_ids(tmp_path, EARLIER_IDS_BYTES) is None
    (tmp_path / EARLIER_IDS_FILE).write_bytes(bytes(EARLIER_IDS_BYTES))
    mapped = map_earlier_ids(tmp_path, EARLIER_IDS_BYTES)
    assert mapped is not None
    earlier, ids = EarlierIds(mapped), TransactionIds()
    ids.share(map_shared_ids(tmp_path, RECENT_IDS_BYTES), map_earlier_ids(tmp_path, EARLIER_IDS_BYTES))
    earlier.add(7)
    ids.opened(8, is_safe=False)
    assert ids.is_known(7) and 8 in earlier
    ids.ended(8, may_have_run=False)
    assert 8 not in earlier and not ids.is_known(8)


def test_processes_see_each_others_ids_at_once_and_after_their_end(tmp_path: Path) -> None:
    old, new = TransactionIds(), TransactionIds()
    for ids in (old, new):
        ids.share(map_shared_ids(tmp_path, RECENT_IDS_BYTES))
    old.opened(7, is_safe=False)
    old.opened(8, is_safe=True)
    assert new.is_known(7) and not new.is_known(8)
    old.ended(7, may_have_run=True)
    del old
    assert new.is_known(7)
    new.opened(9, is_safe=False)
    new.ended(9, may_have_run=False)
    assert not new.is_known(9)


def test_requests_without_an_id_are_never_known() -> None:
    ids = TransactionIds()
    ids.opened(NO_TRANSACTION, is_safe=False)
    assert not ids.is_known(NO_TRANSACTION)
    ids.ended(NO_TRANSACTION, may_have_run=False)
    assert not ids.is_known(NO_TRANSACTION) and not ids.open


def post(host: Platform, txn: str) -> int:
    connection = http.client.HTTPConnection(*host.address, timeout=10)
    connection.request("POST", "/api", headers={"X-Txn": txn, "X-Lane": "unsafe"})
    status = connection.getresponse().status
    connection.close()
    return status


def test_id_does_not_run_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    with platform(tmp_path) as host:
        host.start()
        assert post(host, "t1") == 200
        host.start()
        host.end_oldest()
        assert post(host, "t1") == 409
        assert post(host, "t2") == 200
        assert host.member.ids == [b"t1", b"t2"]


OTHER_CLIENTS = 16
REQUESTS_OF_EACH = 750


async def send_others(run: PlatformRun, client: int) -> None:
    """Send unsafe requests one after another on one connection."""
    reader, writer = await asyncio.open_connection(*run.address)
    for number in range(REQUESTS_OF_EACH):
        head = request_head("unsafe", "/api", "Content-Length: 0", txn=f"other-{client}-{number}")
        writer.write(head + b"\r\n")
        assert (await read_answer(reader))[0] in (200, 503)
    writer.close()


def test_id_of_a_client_that_left_does_not_run_again_behind_12_000_others() -> None:
    """Guards against an id that is forgotten once enough others have come, on a real process."""

    async def scene() -> None:
        async with PlatformRun(Limits(80, 384)) as run:
            data = request_head("unsafe", "/api?delay=0.3", "Content-Length: 0", txn="left") + b"\r\n"
            _, writer = await asyncio.open_connection(*run.address)
            writer.write(data)
            async with asyncio.timeout(TIMEOUT_S):
                while not any(member.effects["left"] for member in run.members):
                    await asyncio.sleep(0.01)
            writer.transport.abort()
            await asyncio.gather(*(send_others(run, client) for client in range(OTHER_CLIENTS)))
            reader, writer = await asyncio.open_connection(*run.address)
            writer.write(data)
            assert (await read_answer(reader))[0] == 409
            assert sum(member.effects["left"] for member in run.members) == 1
            writer.close()

    run_with_timeout(scene)
