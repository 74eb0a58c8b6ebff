"""The watch on discovery: its lists, its failures, and the events that the policy and the pools receive."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from typing import Any, Awaitable, Callable

import pytest
from peers import (
    OK,
    SETTINGS,
    RunningProxy,
    ScriptedBackend,
    ScriptedDiscovery,
    answering,
    lists,
    request,
    run_with_timeout,
    running_proxy,
    until_lists,
)

from loadbalancer.discovery import watch as discovery_module
from loadbalancer.discovery import watch_connection
from loadbalancer.policy.events import (
    EndpointEntry,
    EndpointState,
)

REQUESTED = {**SETTINGS, "registry-mode": "subscribe"}


def entry(name: str, **other: Any) -> dict[str, Any]:
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": "b",
        "kind": "std",
        "cell": 2,
        "state": "SERVING",
        "weight": 1.5,
        "started_ms": 12_000,
        **other,
    }


def test_list_is_converted_to_entries_of_the_policy() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, entry("s", odd=1), entry("t", zone="?", kind="?"), full=True)
            event = await until_lists(here, 2)
            assert event.complete and not event.stale and not event.failed
            known, unknown = event.entries
            assert known == EndpointEntry("s", 1, 2, 0, EndpointState.READY, 1.5, 12.0)
            assert (unknown.zone, unknown.kind) == (-1, -1)

    run_with_timeout(scene)


def test_initial_list_is_stale_and_the_watch_starts_at_its_version() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK))) as here:
            assert lists(here)[0].stale and lists(here)[0].entries[0].endpoint == "s"
            await here.discovery.until_watched()
            assert b"GET /v1/endpoints?watch=1&from=1 " in here.discovery.asked[0]

    run_with_timeout(scene)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_draining_or_deleted_backend_gets_no_new_requests(state: str) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with running_proxy(a, b) as here:
            client = await here.connect()
            while not (a.calls and b.calls):
                await client.ask(request())
            await here.discovery.until_watched()
            await here.discovery.line(2, a.entry(state=state))
            await until_lists(here, 2)
            backend = here.proxy.upstreams.endpoints["a"]
            assert not backend.idle
            before = len(a.calls)
            for _ in range(20):
                assert (await client.ask(request()))[0] == 200
            assert len(a.calls) == before
            here.proxy.upstreams.sweep(0.0)
            assert ("a" in here.proxy.upstreams.endpoints) == (state == "DRAINING")

    run_with_timeout(scene)


def test_backend_missing_from_a_full_list_is_removed() -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(OK)), ScriptedBackend("b", answering(OK))
        async with running_proxy(a, b) as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, b.entry(), full=True)
            await until_lists(here, 2)
            client = await here.connect()
            for _ in range(10):
                assert (await client.ask(request()))[0] == 200
            assert not a.calls and here.proxy.listed == {"b"}

    run_with_timeout(scene)


def test_an_id_with_another_address_or_start_gets_new_connections() -> None:
    async def scene() -> None:
        old, new = ScriptedBackend("s", answering(OK)), ScriptedBackend("s", answering(OK))
        async with running_proxy(old) as here:
            await new.start()
            client = await here.connect()
            await client.ask(request())
            await here.discovery.until_watched()
            await here.discovery.line(2, new.entry())
            await until_lists(here, 2)
            assert (await client.ask(request()))[0] == 200 and len(new.calls) == 1
            await here.discovery.line(3, new.entry(started_ms=5))
            await until_lists(here, 3)
            assert (await client.ask(request()))[0] == 200 and new.connections == 2
            await new.stop()

    run_with_timeout(scene)


async def close_watch(here: RunningProxy) -> None:
    here.discovery.writers[-1].close()


async def cut_in_mid_line(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"full":false,"servers":[{"id":')
    here.discovery.writers[-1].transport.abort()


async def send_malformed(here: RunningProxy) -> None:
    await here.discovery.raw(b"{nonsense}\n")


async def send_older_version(here: RunningProxy) -> None:
    await here.discovery.line(0)


FAILURES = {
    "end": (close_watch, True),
    "cut": (cut_in_mid_line, True),
    "malformed": (send_malformed, False),
    "old": (send_older_version, False),
}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("settings", [SETTINGS, REQUESTED], ids=["pushed", "requested"])
def test_broken_watch_is_reopened(failure: str, settings: dict[str, Any]) -> None:
    """If lists are requested, the policy is notified of the failure and requests a watch; if pushed, it is not."""
    fail_watch, same_version = FAILURES[failure]

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), settings=settings) as here:
            await here.discovery.until_watched()
            await fail_watch(here)
            await here.discovery.until_watched(2)
            assert (b"from=1" in here.discovery.asked[1]) == same_version
            assert [e.failed for e in lists(here)[1:]] == ([True] if settings is REQUESTED else [])
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_silent_watch_fails_and_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "IDLE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(watch_connection, "FIRST_BYTE_TIMEOUT_S", 0.05)

    async def scene() -> None:
        async with running_proxy(settings=REQUESTED) as here:
            await here.discovery.until_watched()
            event = await until_lists(here, 2)
            assert event.failed
            await here.discovery.until_watched(2)

    run_with_timeout(scene)


def test_suspension_of_the_process_does_not_fail_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process is suspended for longer than the idle timeout, while bytes wait in the kernel."""
    monkeypatch.setattr(watch_connection, "IDLE_TIMEOUT_S", 0.2)

    async def scene() -> None:
        async with running_proxy(settings=REQUESTED) as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, entry("s"))
            await until_lists(here, 2)
            loop = asyncio.get_running_loop()
            suspend(loop, here, 0.5)
            for version in range(3, 13):  # after the suspension
                await here.discovery.line(version, entry("s"))
                await until_lists(here, version)
            assert not any(e.failed for e in lists(here)) and len(here.discovery.asked) == 1

    def suspend(loop: asyncio.AbstractEventLoop, here: RunningProxy, for_s: float) -> None:
        """Act as after SIGSTOP and SIGCONT: bytes have arrived, and the idle timer has expired."""
        watch = here.proxy.source.current  # type: ignore[union-attr]
        assert watch is not None and watch._idle_timer is not None
        here.discovery.writers[-1].write(b"1\r\n\n\r\n")
        time.sleep(for_s)
        watch._idle_timer.cancel()
        watch._on_idle()  # independent of the order in which the loop handles timers and sockets
        time.sleep(for_s)

    run_with_timeout(scene)


def test_lists_are_parsed_with_any_indentation_and_chunks() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            for version, indent in ((2, None), (3, 2), (4, 0), (5, 4)):
                box = {
                    "version": version,
                    "full": True,
                    "servers": [entry("s"), entry("t", state="DRAINING")],
                }
                text = json.dumps(box, indent=indent).encode() + b"\n"
                for start in range(0, len(text), 37):
                    await here.discovery.raw(text[start : start + 37])
                event = await until_lists(here, version)
                assert [(e.endpoint, e.state) for e in event.entries] == [
                    ("s", EndpointState.READY),
                    ("t", EndpointState.DRAINING),
                ]
            assert len(here.discovery.asked) == 1

    run_with_timeout(scene)


async def start_another_before_the_end(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[\n{"id":"s"\n{"version":3,"servers":[]}\n')


async def send_heartbeat_before_the_end(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[\n\n')


async def send_slowly(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[')
    with suppress(ConnectionError):
        while len(here.discovery.writers) == 1:
            await here.discovery.raw(b" ")
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    "failure", [start_another_before_the_end, send_heartbeat_before_the_end, send_slowly]
)
def test_incomplete_list_is_requested_again(
    failure: Callable[[RunningProxy], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_connection, "IDLE_TIMEOUT_S", 0.2)

    async def scene() -> None:
        async with running_proxy(settings=REQUESTED) as here:
            await here.discovery.until_watched()
            await failure(here)
            await here.discovery.until_watched(2)

    run_with_timeout(scene)


def test_requests_are_served_when_discovery_fails() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with running_proxy(backend, settings=REQUESTED) as here:
            assert here.discovery.server is not None
            here.discovery.server.close()
            await here.discovery.server.wait_closed()
            assert (await until_lists(here, 2)).failed
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_invalid_entries_are_skipped_and_valid_ones_kept() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            bad = [
                entry("a", addr="nowhere"),
                entry("b", state="ODD"),
                entry("c", weight="x"),
                entry("", id=7),
                entry("d", zone=[1]),
                entry("e", addr="host:80"),
            ]
            await here.discovery.line(7, *bad, entry("good"))
            event = await until_lists(here, 2)
            assert [e.endpoint for e in event.entries] == ["good"]

    run_with_timeout(scene)


def test_list_of_5000_entries_is_applied_and_emptied() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, *[entry(f"s{n}") for n in range(5000)], full=True)
            event = await until_lists(here, 2)
            assert len(event.entries) == 5000
            await here.discovery.line(3, full=True)
            await until_lists(here, 3)
            here.proxy.upstreams.sweep(0.0)
            assert not here.proxy.upstreams.endpoints and not here.proxy.listed

    run_with_timeout(scene)


def test_empty_line_is_a_heartbeat_without_a_list() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            await here.discovery.raw(b"\n")
            await here.discovery.line(2, entry("s"))
            await until_lists(here, 2)
            await asyncio.sleep(0)
            assert len(lists(here)) == 2

    run_with_timeout(scene)


@pytest.mark.parametrize("failure", ["moved", "silent"])
def test_late_data_of_a_closed_watch_is_ignored(failure: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Both while the new watch is being opened and once it is open."""
    monkeypatch.setattr(discovery_module, "ADDRESS_CHANGE_SPREAD_S", 0.0)

    async def scene() -> None:
        async with running_proxy(settings=SETTINGS if failure == "silent" else REQUESTED) as here:
            source = here.proxy.source
            assert isinstance(source, discovery_module.DiscoveryClient)
            source.watch(True)
            await here.discovery.until_watched()
            await here.discovery.line(5, entry("s"), full=True)
            await here.proxy.until(lambda: here.proxy.listed == {"s"})
            old = source.current
            assert old is not None
            line = json.dumps({"version": 6, "full": True, "servers": [entry("late")]}).encode() + b"\n"
            late = b"%x\r\n%b\r\n" % (len(line), line)
            count = len(lists(here))
            if failure == "silent":
                old._fail("silent")
            else:
                other = ScriptedDiscovery()
                source.move(await other.start())
            old.data_received(late)  # read in the iteration of the loop in which the watch was closed
            assert source.version != 6
            await (here.discovery.until_watched(2) if failure == "silent" else other.until_watched())
            while source.current is None:
                await asyncio.sleep(0)
            old.data_received(late)
            now = [event for event in lists(here)[count:] if not event.failed]
            assert not now and source.version != 6 and "late" not in here.proxy.listed
            assert source.current is not None and source.current is not old

    run_with_timeout(scene)
