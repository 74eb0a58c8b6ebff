"""The watch: what discovery says, how it fails, and what the module and the pools are told."""

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

ASKED = {**SETTINGS, "registry-mode": "subscribe"}


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


def test_an_entry_in_the_modules_form() -> None:
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


def test_the_list_from_before_is_stale_and_the_watch_begins_after_it() -> None:
    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK))) as here:
            assert lists(here)[0].stale and lists(here)[0].entries[0].endpoint == "s"
            await here.discovery.until_watched()
            assert b"GET /v1/endpoints?watch=1&from=1 " in here.discovery.asked[0]

    run_with_timeout(scene)


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_drain_ends_what_goes_to_a_backend(state: str) -> None:
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


def test_a_whole_list_that_shrinks() -> None:
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


async def end(here: RunningProxy) -> None:
    here.discovery.writers[-1].close()


async def cut_in_mid_line(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"full":false,"servers":[{"id":')
    here.discovery.writers[-1].transport.abort()


async def garbage(here: RunningProxy) -> None:
    await here.discovery.raw(b"{nonsense}\n")


async def go_back(here: RunningProxy) -> None:
    await here.discovery.line(0)


BREAKS = {
    "end": (end, True),
    "cut": (cut_in_mid_line, True),
    "garbage": (garbage, False),
    "old": (go_back, False),
}


@pytest.mark.parametrize("how", BREAKS)
@pytest.mark.parametrize("settings", [SETTINGS, ASKED], ids=["pushed", "asked"])
def test_a_watch_that_breaks_is_begun_again(how: str, settings: dict[str, Any]) -> None:
    """Where lists are asked for, the module is told and asks; where they are pushed it is not."""
    break_it, same_version = BREAKS[how]

    async def scene() -> None:
        async with running_proxy(ScriptedBackend("s", answering(OK)), settings=settings) as here:
            await here.discovery.until_watched()
            await break_it(here)
            await here.discovery.until_watched(2)
            assert (b"from=1" in here.discovery.asked[1]) == same_version
            assert [e.failed for e in lists(here)[1:]] == ([True] if settings is ASKED else [])
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_a_silent_watch_is_dead_and_heartbeats_keep_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_S", 0.05)
    monkeypatch.setattr(watch_connection, "FIRST_S", 0.05)

    async def scene() -> None:
        async with running_proxy(settings=ASKED) as here:
            await here.discovery.until_watched()
            event = await until_lists(here, 2)
            assert event.failed
            await here.discovery.until_watched(2)

    run_with_timeout(scene)


def test_a_silence_of_our_own_is_not_the_services(monkeypatch: pytest.MonkeyPatch) -> None:
    """The process stands still for longer than a silence; what came meanwhile waits in the kernel."""
    monkeypatch.setattr(watch_connection, "SILENT_S", 0.2)

    async def scene() -> None:
        async with running_proxy(settings=ASKED) as here:
            await here.discovery.until_watched()
            await here.discovery.line(2, entry("s"))
            await until_lists(here, 2)
            loop = asyncio.get_running_loop()
            stand_still(loop, here, 0.5)
            for version in range(3, 13):  # behind it
                await here.discovery.line(version, entry("s"))
                await until_lists(here, version)
            assert not any(e.failed for e in lists(here)) and len(here.discovery.asked) == 1

    def stand_still(loop: asyncio.AbstractEventLoop, here: RunningProxy, for_s: float) -> None:
        """As after SIGSTOP: the bytes are there, and so is the end of the silence."""
        asked = here.proxy.source.current  # type: ignore[union-attr]
        assert asked is not None and asked._silence is not None
        here.discovery.writers[-1].write(b"1\r\n\n\r\n")
        time.sleep(for_s)
        asked._silence.cancel()
        asked._on_silence()  # whatever the order in which a loop looks at timers and sockets
        time.sleep(for_s)

    run_with_timeout(scene)


def test_lists_come_indented_and_in_pieces() -> None:
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


async def next_before_the_end(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[\n{"id":"s"\n{"version":3,"servers":[]}\n')


async def rest_before_the_end(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[\n\n')


async def trickle(here: RunningProxy) -> None:
    await here.discovery.raw(b'{"version":2,"servers":[')
    with suppress(ConnectionError):
        while len(here.discovery.writers) == 1:
            await here.discovery.raw(b" ")
            await asyncio.sleep(0)


@pytest.mark.parametrize("how", [next_before_the_end, rest_before_the_end, trickle])
def test_a_list_that_does_not_come_to_its_end_is_asked_for_anew(
    how: Callable[[RunningProxy], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_S", 0.2)

    async def scene() -> None:
        async with running_proxy(settings=ASKED) as here:
            await here.discovery.until_watched()
            await how(here)
            await here.discovery.until_watched(2)

    run_with_timeout(scene)


def test_discovery_down_at_the_start() -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(OK))
        async with running_proxy(backend, settings=ASKED) as here:
            assert here.discovery.server is not None
            here.discovery.server.close()
            await here.discovery.server.wait_closed()
            assert (await until_lists(here, 2)).failed
            client = await here.connect()
            assert (await client.ask(request()))[0] == 200

    run_with_timeout(scene)


def test_bad_entries_are_skipped_and_good_ones_kept() -> None:
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


def test_thousands_of_entries() -> None:
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


def test_an_empty_line_says_nothing() -> None:
    async def scene() -> None:
        async with running_proxy() as here:
            await here.discovery.until_watched()
            await here.discovery.raw(b"\n")
            await here.discovery.line(2, entry("s"))
            await until_lists(here, 2)
            await asyncio.sleep(0)
            assert len(lists(here)) == 2

    run_with_timeout(scene)


@pytest.mark.parametrize("how", ["moved", "silent"])
def test_a_late_line_of_an_old_watch_says_nothing_beside_the_new_one(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In both orders: while the new watch opens, and once it stands."""
    monkeypatch.setattr(discovery_module, "ADDRESS_CHANGE_SPREAD_S", 0.0)

    async def scene() -> None:
        async with running_proxy(settings=SETTINGS if how == "silent" else ASKED) as here:
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
            if how == "silent":
                old._fail("silent")
            else:
                other = ScriptedDiscovery()
                source.move(await other.start())
            old.data_received(late)  # read in the turn in which it was given up
            assert source.version != 6
            await (here.discovery.until_watched(2) if how == "silent" else other.until_watched())
            while source.current is None:
                await asyncio.sleep(0)
            old.data_received(late)
            now = [event for event in lists(here)[count:] if not event.failed]
            assert not now and source.version != 6 and "late" not in here.proxy.listed
            assert source.current is not None and source.current is not old

    run_with_timeout(scene)
