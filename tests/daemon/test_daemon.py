"""Tests of the daemon under load and failure: reloads, members files, sets, sessions and hanging pools."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import Call, ScriptedBackend, answering, request, run_with_timeout, silent
from ports import reserve_port

from loadbalancer.discovery.static_list import MembersFile
from standins.member import Behaviour, Member

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

#: Makes members that a reload adds start warm, for tests that don't examine their slow start.
WARM = 'rules = { new_members = "warm" }'


class DelayedResponse:
    """A backend script that responds once `release` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()

    async def __call__(self, call: Call) -> None:
        await self.release.wait()
        await call.say(GOOD)


# Reloads.


def test_removed_pool_answers_open_unsafe_request_once_then_closes_its_connections(tmp_path: Path) -> None:
    """The pool that received the request answers it, once, and has no connections left after that."""

    async def scenario() -> None:
        delayed = DelayedResponse()
        old, new = ScriptedBackend("old", delayed), ScriptedBackend("new", answering(GOOD))
        first = LISTENER + route("all", "a") + pool("a", [old])
        async with running_daemon(
            tmp_path, [old, new], lambda: LISTENER + route("all", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await old.until_called()
            removed = here.daemon.pools["a"]
            await here.reload(LISTENER, route("all", "b"), pool("b", [new]))
            assert list(here.daemon.pools) == ["b"]
            assert (await here.ask(requests_to("/", "POST", b"y")))[0] == 200 and len(new.calls) == 1
            assert removed.proxy.open and not removed.proxy.closed
            delayed.release.set()
            assert (await client.read())[0] == 200 and len(old.calls) == 1
            assert not removed.proxy.open and removed.proxy.upstreams.open == 0  # no idle connection is kept
            assert (await client.ask(requests_to("/", "POST", b"z")))[0] == 200 and len(new.calls) == 2
            assert first

    run_with_timeout(scenario)


def test_request_whose_head_arrived_before_reload_uses_old_routes(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = ScriptedBackend("old", answering(GOOD)), ScriptedBackend("new", answering(GOOD))
        async with running_daemon(
            tmp_path, [old, new], lambda: LISTENER + route("all", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            whole = requests_to("/", "POST", b"body")
            await client.send(whole[:-2])
            (connection,) = here.daemon.listeners["main"].connections
            await here.until(lambda: connection.phase == 2)  # its head is complete
            await here.reload(LISTENER, route("all", "b"), pool("b", [new]))
            assert (await client.ask(whole[-2:]))[0] == 200
            assert len(old.calls) == 1 and not new.calls
            assert (await client.ask(whole))[0] == 200 and len(new.calls) == 1

    run_with_timeout(scenario)


@pytest.mark.parametrize("bad", ["", "x = 1\n", "[[pool]]\n", None])
def test_reload_of_invalid_or_missing_file_changes_nothing(bad: str | None, tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with running_daemon(
            tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
        ) as here:
            before = here.daemon.plan, dict(here.daemon.pools), dict(here.daemon.listeners)
            if bad is None:
                here.path.unlink()
                await here.reload()
            else:
                await here.reload(bad)
            assert before == (here.daemon.plan, here.daemon.pools, here.daemon.listeners)
            assert here.heard.count("not taken") and not here.heard.count("configuration taken")
            assert (await here.ask(requests_to()))[0] == 200

    run_with_timeout(scenario)


def test_reload_with_unavailable_address_changes_nothing(tmp_path: Path) -> None:
    """Neither the listeners before it in the file nor the pools change, and no descriptor leaks."""

    async def scenario() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            async with running_daemon(
                tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
            ) as here:
                before = dict(here.daemon.pools), dict(here.daemon.listeners)
                open_before = len(os.listdir("/proc/self/fd"))
                more = LISTENER.replace("main", "free") + LISTENER.replace("main", "two").replace(
                    ":0", f":{port}"
                )
                await here.reload(LISTENER, more, route("all", "b"), pool("b", [backend]))
                assert before == (here.daemon.pools, here.daemon.listeners)
                assert here.heard.count("can't listen")
                assert len(os.listdir("/proc/self/fd")) == open_before
                assert (await here.ask(requests_to()))[0] == 200

    run_with_timeout(scenario)


def test_listener_with_new_address_is_bound_and_old_one_drains(tmp_path: Path) -> None:
    async def scenario() -> None:
        delayed = DelayedResponse()
        backend = ScriptedBackend("s", delayed, answering(GOOD))
        with socket.create_server(("127.0.0.1", 0)) as sock:
            free = sock.getsockname()[1]

        def text(port: Any) -> str:
            return LISTENER.replace(":0", f":{port}") + route("all", "a") + pool("a", [backend])

        async with running_daemon(tmp_path, [backend], lambda: text(0)) as here:
            old = here.daemon.listeners["main"]
            address = old.address
            client, idle = await here.connect(), await here.connect()
            await client.send(requests_to())
            await idle.ask(requests_to("/", "TRACE"))
            await backend.until_called()
            await here.reload(text(free))
            assert here.daemon.listeners["main"].address[1] == free
            assert (await here.ask(requests_to()))[0] == 200
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*address)
            delayed.release.set()
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            assert await idle.ended() == b""
            await here.until(lambda: not here.daemon.retirement.listeners)

    run_with_timeout(scenario)


def test_renamed_listener_keeps_its_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        listener = LISTENER.replace(":0", f":{reserve_port()}")

        def rest() -> str:
            return route("all", "a") + pool("a", [backend])

        async with running_daemon(tmp_path, [backend], lambda: listener + rest()) as here:
            client = await here.connect()
            assert (await client.ask(requests_to()))[0] == 200
            await here.reload(listener.replace("main", "other"), rest())
            assert list(here.daemon.listeners) == ["other"] and here.daemon.reloads == 1
            assert (await client.ask(requests_to()))[0] == 200  # on the same connection

    run_with_timeout(scenario)


def test_members_removed_by_reload_drain(tmp_path: Path) -> None:
    async def scenario() -> None:
        delayed = DelayedResponse()
        gone, stays = ScriptedBackend("gone", delayed), ScriptedBackend("stays", answering(GOOD))

        def text(pool_members: Any) -> str:
            return LISTENER + route("all", "a") + pool("a", pool_members, WARM)

        async with running_daemon(tmp_path, [gone, stays], lambda: text([gone])) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await gone.until_called()
            kept = here.daemon.pools["a"]
            await here.reload(text([stays]))
            assert here.daemon.pools["a"] is kept  # so that its endpoint state is kept
            for _ in range(10):
                assert (await here.ask(requests_to()))[0] == 200
            assert len(gone.calls) == 1
            delayed.release.set()
            assert (await client.read())[0] == 200

    run_with_timeout(scenario)


def test_members_added_by_reload_start_cold_and_excess_requests_are_rejected(tmp_path: Path) -> None:
    """Their start time is unknown, so they are treated as cold, and requests above their capacity are rejected."""

    async def scenario() -> None:
        old, new = Member("old"), Member("new")
        async with running_daemon(
            tmp_path, [old, new], lambda: LISTENER + route("r", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            for _ in range(100):
                assert (await client.ask(requests_to()))[0] == 200
            await here.reload(LISTENER, route("r", "a"), pool("a", [new]))
            statuses = [(await client.ask(requests_to()))[0] for _ in range(100)]
            assert set(statuses) == {200, 503} and new.counts.requests == statuses.count(200) < 40

    run_with_timeout(scenario)


def test_reloads_requested_during_a_reload_run_once_after_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with running_daemon(
            tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
        ) as here:
            here.daemon.reload()
            here.write(LISTENER, route("other", "a"), pool("a", [backend]))
            here.daemon.reload()
            here.daemon.reload()
            await here.until(lambda: here.daemon.reloads == 2)
            await here.settled()
            assert here.daemon.plan is not None and list(here.daemon.plan.routes) == ["other"]

    run_with_timeout(scenario)


class LoadClient:
    """A client that sends requests until it is stopped, and counts the responses by status."""

    def __init__(self, here: DaemonHarness, method: str) -> None:
        self.here, self.method = here, method
        self.responses: dict[int, int] = {}
        self.lost = 0
        self.is_stopped = False

    async def run(self) -> None:
        client = None
        while not self.is_stopped:
            if client is None:
                client = await self.here.connect()
            await client.send(requests_to("/", self.method, b"x" if self.method == "POST" else b""))
            try:
                status, head, _ = await client.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.lost += 1
                client = None
                continue
            self.responses[status] = self.responses.get(status, 0) + 1
            if b"Connection: close" in head:
                client = None


def test_500_reloads_under_load_lose_no_response_and_leak_nothing(tmp_path: Path) -> None:
    """Members, pools, routes and listeners change in turn; every request gets exactly one response."""
    ports = [reserve_port(), reserve_port()]

    async def scenario() -> None:
        members = [Member(f"m{n}") for n in range(4)]

        def text(n: int) -> str:
            extra = LISTENER.replace("main", "extra").replace(":0", f":{ports[n % 2]}") if n % 3 else ""
            name = f"p{n // 7 % 2}"  # another pool every seventh time
            pool_members = members[n % 3 : n % 3 + 2]
            return LISTENER + extra + route(f"r{n}", name) + pool(name, pool_members, WARM)

        async with running_daemon(tmp_path, members, lambda: text(0)) as here:
            load = [LoadClient(here, method) for method in ("GET", "POST") * 3]
            tasks = [asyncio.ensure_future(client.run()) for client in load]
            sizes = []
            for n in range(1, 501):
                await here.reload(text(n))
                if n in (100, 500):
                    gc.collect()
                    sizes.append(len(gc.get_objects()))
            for load_client in load:
                load_client.is_stopped = True
            await asyncio.gather(*tasks)
            assert here.daemon.reloads == 500
            assert sum(client.lost for client in load) == 0
            assert {status for client in load for status in client.responses} == {200}
            assert sum(sum(c.responses.values()) for c in load) == sum(m.counts.requests for m in members)
            for client in here.clients:
                client.writer.close()
            for retired in here.daemon.retirement.pools:  # only their minimum time keeps them open
                assert retired.retired_at and not retired.pool.proxy.open
            here.daemon.retirement.pools = [replace(r, retired_at=0.0) for r in here.daemon.retirement.pools]
            await here.until(lambda: not here.daemon.retiring)
            await here.until(lambda: not here.daemon.listeners["main"].connections)
            for running in here.daemon.pools.values():
                assert running.proxy.budget.held_bytes == 0 and not running.proxy.open
            # The requests and connections of the 500 reloads are gone, and the number of objects has hardly grown.
            assert sizes[1] < sizes[0] * 1.5

    run_with_timeout(
        partial(asyncio.sleep, 0)
    )  # the event loop's library opens a pipe for signals once per process
    before = len(os.listdir("/proc/self/fd"))
    run_with_timeout(scenario)
    gc.collect()
    assert len(os.listdir("/proc/self/fd")) <= before


# Members files.


def members_text(*members: ScriptedBackend, count: int | None = None) -> str:
    text = f"members = {count}\n" if count is not None else ""
    return text + "".join(f'[[member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in members)


def members_file_source(here: DaemonHarness, name: str = "a") -> MembersFile:
    source = here.daemon.pools[name].source
    assert isinstance(source, MembersFile)
    return source


async def poll_twice(source: MembersFile) -> None:
    """Poll the file twice, which is needed to detect a change, and wait until the file has been read."""
    source.poll()
    source.poll()
    while source._reading is not None:
        await asyncio.sleep(0)


@pytest.mark.parametrize("how", ["in place", "renamed"])
def test_changed_members_file_is_reloaded(how: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"
        text = '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        def first() -> str:
            file.write_text(members_text(a))
            return LISTENER + route("all", "a") + text

        async with running_daemon(tmp_path, [a, b], first) as here:
            assert (await here.ask(requests_to()))[0] == 200 and len(a.calls) == 1
            if how == "in place":
                file.write_text(members_text(b) + "# another size\n")
            else:
                (tmp_path / "new").write_text(members_text(b))
                (tmp_path / "new").replace(file)
            await poll_twice(members_file_source(here))
            assert (await here.ask(requests_to()))[0] == 200 and len(b.calls) == 1
            assert here.heard.count("members file taken")

    run_with_timeout(scenario)


def test_truncated_or_missing_members_file_changes_nothing(tmp_path: Path) -> None:
    """While the file is truncated, at different lengths, or missing, the previous list stays in force."""

    async def scenario() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"

        def first() -> str:
            file.write_text(members_text(a, b, count=2))
            return LISTENER + route("all", "a") + '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        async with running_daemon(tmp_path, [a, b], first) as here:
            complete = members_text(b, a, count=2) + "# longer than before\n"
            source = members_file_source(here)
            for end in range(0, len(complete) - 25, 3):
                file.write_text(complete[:end])
                await poll_twice(source)
                servers = here.daemon.pools["a"].proxy.balancer.ready
                assert {s.id for s in servers} == {"a", "b"}, end
            file.unlink()
            await poll_twice(source)
            assert here.heard.count("members file is gone") == 1
            file.write_text(complete)
            await poll_twice(source)
            assert here.heard.count("members file taken")

    run_with_timeout(scenario)


def test_members_file_that_is_still_changing_is_not_read(tmp_path: Path) -> None:
    async def scenario() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"

        def first() -> str:
            file.write_text(members_text(a))
            return LISTENER + route("all", "a") + '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        async with running_daemon(tmp_path, [a, b], first) as here:
            source = members_file_source(here)
            for size in range(5):  # the file grows between any two polls
                file.write_text(members_text(b) + "#" * size)
                source.poll()
                assert source._reading is None
            source.poll()
            assert source._reading is not None

    run_with_timeout(scenario)


# Sets and sessions.


def sticky_config(
    tmp_path: Path, members: list[ScriptedBackend], more: str = "", **each: dict[str, Any]
) -> str:
    sticky = 'sticky = { cookie = "S", separator = "." }'
    return LISTENER + route("all", "a", sticky) + pool("a", members, more, **each)


def test_cold_standby_set_serves_within_its_capacity_while_first_set_drains(tmp_path: Path) -> None:
    """A cold standby member gets as many requests as it can handle; the others are rejected at once, none is lost."""

    async def scenario() -> None:
        a, b = Member("a"), Member("b")
        both = [a, b]
        standby = {"state": "standby"}

        def text(state: Any) -> str:
            return LISTENER + route("all", "p") + pool("p", both, a={"state": state}, b=standby)

        async with running_daemon(tmp_path, both, lambda: text("serving")) as here:
            client = await here.connect()
            for _ in range(200):
                assert (await client.ask(requests_to()))[0] == 200
            assert b.counts.requests == 0
            await here.reload(text("draining"))
            statuses = [(await client.ask(requests_to()))[0] for _ in range(200)]
            assert set(statuses) == {200, 503} and a.counts.requests == 200
            assert b.counts.requests == statuses.count(200) < 60
            await here.reload(text("serving"))
            assert (await client.ask(requests_to()))[0] == 200 and a.counts.requests == 201

    run_with_timeout(scenario)


@pytest.mark.parametrize("cookie", ["x.b", 'a=1; S="x.b"', "x.y.b"])
def test_session_is_routed_to_its_member(cookie: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        three = [ScriptedBackend(name, answering(GOOD)) for name in "abc"]
        async with running_daemon(tmp_path, three, lambda: sticky_config(tmp_path, three)) as here:
            line = cookie if "S=" in cookie else f"S={cookie}"
            for _ in range(20):
                assert (await here.ask(requests_to("/", "GET", b"", f"Cookie: {line}")))[0] == 200
            assert [len(m.calls) for m in three] == [0, 20, 0]

    run_with_timeout(scenario)


@pytest.mark.parametrize("value", ["x.stopped", "x.unknown", "x.", "x", "", ".", "x." + "a" * 4000, "x.\xff"])
def test_session_with_stopped_unknown_or_forged_member_is_served_by_another(
    value: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        stopped = ScriptedBackend("stopped", answering(GOOD))
        two = [ScriptedBackend(f"m{n}", answering(GOOD)) for n in range(2)]

        def text() -> str:
            return sticky_config(tmp_path, [stopped, *two], stopped={"state": "stopped"})

        async with running_daemon(tmp_path, [stopped, *two], text) as here:
            client = await here.connect()
            for _ in range(20):
                data = requests_to("/", "POST", b"x", f"Cookie: S={value}").decode().encode("latin-1")
                assert (await client.ask(data))[0] == 200
            assert not stopped.calls and all(m.calls for m in two)

    run_with_timeout(scenario)


@pytest.mark.parametrize("keeps", [True, False])
def test_draining_member_keeps_sessions_only_if_pool_is_configured_so(keeps: bool, tmp_path: Path) -> None:
    async def scenario() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        more = f"sticky_while_draining = {str(keeps).lower()}"

        def text() -> str:
            return sticky_config(tmp_path, [a, b], more, a={"state": "draining", "route": "r1"})

        async with running_daemon(tmp_path, [a, b], text) as here:
            client = await here.connect()
            for _ in range(10):
                assert (await client.ask(requests_to("/", "GET", b"", "Cookie: S=x.r1")))[0] == 200
                assert (await client.ask(requests_to()))[0] == 200
            assert (len(a.calls), len(b.calls)) == ((10, 10) if keeps else (0, 20))

    run_with_timeout(scenario)


def test_session_in_path_parameter_is_routed_to_its_member(tmp_path: Path) -> None:
    async def scenario() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        sticky = 'sticky = { path_parameter = "jsessionid", separator = "." }'

        def text() -> str:
            return LISTENER + route("all", "p", sticky) + pool("p", [a, b])

        async with running_daemon(tmp_path, [a, b], text) as here:
            for _ in range(10):
                assert (await here.ask(requests_to("/x;v=1;jsessionid=AB.b/y?z")))[0] == 200
            assert len(b.calls) == 10 and b.calls[0].head.startswith(b"GET /x;v=1;jsessionid=AB.b/y?z ")

    run_with_timeout(scenario)


# Several pools.


def test_hanging_pool_is_limited_to_its_share_and_other_pool_serves_all(tmp_path: Path) -> None:
    """Every request to the other pool is served, however many requests are sent to the hanging one."""

    async def scenario() -> None:
        hanging, healthy = Member("hanging", Behaviour(hangs=True)), Member("healthy")

        def text() -> str:
            routes = route("i", "hanging", 'deadline = "5s"', prefix="/hanging") + route("w", "healthy")
            return (
                "[process]\ndescriptors = 128\n"
                + LISTENER
                + routes
                + pool("hanging", [hanging])
                + pool("healthy", [healthy])
            )

        async with running_daemon(tmp_path, [hanging, healthy], text) as here:
            listener = here.daemon.listeners["main"]
            limit = here.daemon.pools["hanging"].proxy.max_open_requests
            assert limit < listener.most
            clients = [await here.connect() for _ in range(listener.most - 1)]
            for client in clients:
                await client.send(requests_to("/hanging", "POST", b"x"))
            await here.until(lambda: len(here.daemon.pools["hanging"].proxy.open) == limit)
            for _ in range(100):
                assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 200
            assert healthy.counts.requests == 100
            assert len(here.daemon.pools["hanging"].proxy.open) == limit
            answered = [c for c in clients if c.reader._buffer]  # type: ignore[attr-defined]
            for client in answered:
                assert (await client.read())[0] == 503  # rejected at once, before an attempt
            assert hanging.counts.requests <= limit

    run_with_timeout(scenario)


def test_id_of_open_request_is_rejected_on_another_listener(tmp_path: Path) -> None:
    """In the platform's dialect, request ids are unique across all listeners."""

    async def scenario() -> None:
        delayed = DelayedResponse()
        a, b = ScriptedBackend("a", delayed), ScriptedBackend("b", answering(GOOD))
        classes = '[[class]]\nname = "safe"\naim = "1s"\ndeadline = "4s"\n'
        two = LISTENER + 'routes = ["a"]\n' + LISTENER.replace("main", "two") + 'routes = ["b"]\n'

        def text() -> str:
            return (
                classes
                + two
                + route("a", "a", 'host = "app.svc"')
                + route("b", "b")
                + pool("a", [a], 'dialect = "platform"')
                + pool("b", [b], 'dialect = "platform"')
            )

        async with running_daemon(tmp_path, [a, b], text) as here:
            data = request("safe")
            first, second = await here.connect(), await here.connect("two")
            await first.send(data)
            await a.until_called()
            assert (await second.ask(data))[0] == 409 and not b.calls
            delayed.release.set()
            assert (await first.read())[0] == 200
            third = await here.connect("two")
            assert (await third.ask(request("safe")))[0] == 200
            assert b"X-Txn" in b.calls[0].head and b.calls[0].head.count(b"X-Remaining") == 1

    run_with_timeout(scenario)


def test_platform_pool_rejects_request_without_platform_headers(tmp_path: Path) -> None:
    async def scenario() -> None:
        a = ScriptedBackend("a", answering(GOOD))
        classes = '[[class]]\nname = "safe"\naim = "1s"\ndeadline = "4s"\n'

        def text() -> str:
            return classes + LISTENER + route("a", "a") + pool("a", [a], 'dialect = "platform"')

        async with running_daemon(tmp_path, [a], text) as here:
            assert (await here.ask(requests_to()))[0] == 404
            assert (await here.ask(request("safe")))[0] == 200 and len(a.calls) == 1

    run_with_timeout(scenario)


def test_shutdown_answers_open_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        delayed = DelayedResponse()
        backend = ScriptedBackend("s", delayed)
        async with running_daemon(
            tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
        ) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await backend.until_called()
            end = asyncio.ensure_future(here.daemon.end())
            listener = here.daemon.listeners["main"]
            await here.until(lambda: listener._sock is None)
            delayed.release.set()
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            client.writer.close()
            await end
            assert not here.daemon.listeners and not here.daemon.pools

    run_with_timeout(scenario)


def test_shutdown_fails_request_without_response(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ScriptedBackend("s", silent)
        routes = route("all", "a", 'deadline = "100ms"')
        async with running_daemon(
            tmp_path, [backend], lambda: LISTENER + routes + pool("a", [backend])
        ) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await backend.until_called()
            await here.daemon.end()
            assert (await client.read())[0] in (502, 504)

    run_with_timeout(scenario)
