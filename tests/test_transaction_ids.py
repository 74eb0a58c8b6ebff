"""An id that comes again: after its client left, after an answer, and at another process of the same proxy."""

from __future__ import annotations

import http.client
import random
from pathlib import Path

import pytest
from peers import (
    OK,
    Call,
    ScriptedBackend,
    answering,
    request,
    run_with_timeout,
    running_proxy,
    silent,
)
from test_upgrade import Platform, platform

from loadbalancer.hot_restart.shared_ids import map_shared_ids
from loadbalancer.proxy.transaction_ids import (
    NO_TRANSACTION,
    RECENT_IDS_BYTES,
    RecentIds,
    TransactionIds,
    transaction_number,
)

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


def test_recent_ids_are_bounded_and_keep_the_latest() -> None:
    recent, numbers = RecentIds(bytearray(RECENT_IDS_BYTES)), list[int]()
    source = random.Random(1)
    for _ in range(20_000):
        numbers.append(source.getrandbits(64) | 1)
        recent.add(numbers[-1])
        assert numbers[-1] in recent
    assert all(number in recent for number in numbers[-200:])
    assert sum(number in recent for number in numbers) <= RECENT_IDS_BYTES // 8
    recent.discard(numbers[-1])
    assert numbers[-1] not in recent


def test_numbers_of_ids_are_spread_and_never_stand_for_none() -> None:
    numbers = {transaction_number(b"%016x" % number) for number in range(50_000)}
    assert len(numbers) == 50_000 and NO_TRANSACTION not in numbers
    assert transaction_number(b"") != NO_TRANSACTION


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
