"""The daemon under load and failure: reloads, members files, sets, sessions, pools that hang."""

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
from daemons import LISTENER, Ground, ground, pool, requests_to, route
from peers import Call, ScriptedBackend, answering, play, request, silent
from ports import kept_port

from loadbalancer.discovery.static_list import MembersFile
from standins.member import Behaviour, Member

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


#: Members that appear at a reload are taken for warm, where a test is not of their first seconds.
WARM = 'rules = { new_members = "warm" }'


class Held:
    """A script that answers when the test says so."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def __call__(self, call: Call) -> None:
        await self.go.wait()
        await call.say(GOOD)


# Reloads.


def test_a_reload_that_removes_the_pool_of_an_open_unsafe_request(tmp_path: Path) -> None:
    """It is answered by the pool that took it, once, and the pool goes after that."""

    async def scene() -> None:
        held = Held()
        old, new = ScriptedBackend("old", held), ScriptedBackend("new", answering(GOOD))
        first = LISTENER + route("all", "a") + pool("a", [old])
        async with ground(
            tmp_path, [old, new], lambda: LISTENER + route("all", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await old.until_called()
            gone = here.daemon.pools["a"]
            await here.reload(LISTENER, route("all", "b"), pool("b", [new]))
            assert list(here.daemon.pools) == ["b"]
            assert (await here.ask(requests_to("/", "POST", b"y")))[0] == 200 and len(new.calls) == 1
            assert gone.proxy.open and not gone.proxy.closed
            held.go.set()
            assert (await client.read())[0] == 200 and len(old.calls) == 1
            assert not gone.proxy.open and gone.proxy.upstreams.open == 0  # no connection to it is kept
            assert (await client.ask(requests_to("/", "POST", b"z")))[0] == 200 and len(new.calls) == 2
            assert first

    play(scene)


def test_a_request_whose_head_came_before_the_reload_ends_under_the_old_routes(tmp_path: Path) -> None:
    async def scene() -> None:
        old, new = ScriptedBackend("old", answering(GOOD)), ScriptedBackend("new", answering(GOOD))
        async with ground(
            tmp_path, [old, new], lambda: LISTENER + route("all", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            whole = requests_to("/", "POST", b"body")
            await client.send(whole[:-2])
            (connection,) = here.daemon.listeners["main"].connections
            await here.until(lambda: connection.phase == 2)  # its head is whole
            await here.reload(LISTENER, route("all", "b"), pool("b", [new]))
            assert (await client.ask(whole[-2:]))[0] == 200
            assert len(old.calls) == 1 and not new.calls
            assert (await client.ask(whole))[0] == 200 and len(new.calls) == 1

    play(scene)


@pytest.mark.parametrize("bad", ["", "x = 1\n", "[[pool]]\n", None])
def test_a_bad_file_changes_nothing(bad: str | None, tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with ground(
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

    play(scene)


def test_an_address_that_cannot_be_had_changes_nothing(tmp_path: Path) -> None:
    """Also not the listeners before it in the file, nor the pools."""

    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            async with ground(
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

    play(scene)


def test_a_listener_that_moves_is_bound_before_the_old_one_goes(tmp_path: Path) -> None:
    async def scene() -> None:
        held = Held()
        backend = ScriptedBackend("s", held, answering(GOOD))
        with socket.create_server(("127.0.0.1", 0)) as sock:
            free = sock.getsockname()[1]

        def text(port: Any) -> str:
            return LISTENER.replace(":0", f":{port}") + route("all", "a") + pool("a", [backend])

        async with ground(tmp_path, [backend], lambda: text(0)) as here:
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
            held.go.set()
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            assert await idle.ended() == b""
            await here.until(lambda: not here.daemon.retirement.listeners)

    play(scene)


def test_a_listener_keeps_its_socket_when_its_name_changes(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        listener = LISTENER.replace(":0", f":{kept_port()}")

        def rest() -> str:
            return route("all", "a") + pool("a", [backend])

        async with ground(tmp_path, [backend], lambda: listener + rest()) as here:
            client = await here.connect()
            assert (await client.ask(requests_to()))[0] == 200
            await here.reload(listener.replace("main", "other"), rest())
            assert list(here.daemon.listeners) == ["other"] and here.daemon.reloads == 1
            assert (await client.ask(requests_to()))[0] == 200  # on the same connection

    play(scene)


def test_members_that_vanish_at_a_reload_drain(tmp_path: Path) -> None:
    async def scene() -> None:
        held = Held()
        gone, stays = ScriptedBackend("gone", held), ScriptedBackend("stays", answering(GOOD))

        def text(those: Any) -> str:
            return LISTENER + route("all", "a") + pool("a", those, WARM)

        async with ground(tmp_path, [gone, stays], lambda: text([gone])) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await gone.until_called()
            kept = here.daemon.pools["a"]
            await here.reload(text([stays]))
            assert here.daemon.pools["a"] is kept  # what it has learnt stays
            for _ in range(10):
                assert (await here.ask(requests_to()))[0] == 200
            assert len(gone.calls) == 1
            held.go.set()
            assert (await client.read())[0] == 200

    play(scene)


def test_members_that_appear_at_a_reload_are_not_pushed_over(tmp_path: Path) -> None:
    """Nobody says since when they run, so they count as cold, and what is too much for them is refused."""

    async def scene() -> None:
        old, new = Member("old"), Member("new")
        async with ground(
            tmp_path, [old, new], lambda: LISTENER + route("r", "a") + pool("a", [old])
        ) as here:
            client = await here.connect()
            for _ in range(100):
                assert (await client.ask(requests_to()))[0] == 200
            await here.reload(LISTENER, route("r", "a"), pool("a", [new]))
            statuses = [(await client.ask(requests_to()))[0] for _ in range(100)]
            assert set(statuses) == {200, 503} and new.counts.requests == statuses.count(200) < 40

    play(scene)


def test_a_reload_that_crosses_another_is_followed_by_one_more(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", answering(GOOD))
        async with ground(
            tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
        ) as here:
            here.daemon.reload()
            here.write(LISTENER, route("other", "a"), pool("a", [backend]))
            here.daemon.reload()
            here.daemon.reload()
            await here.until(lambda: here.daemon.reloads == 2)
            await here.settled()
            assert here.daemon.plan is not None and list(here.daemon.plan.routes) == ["other"]

    play(scene)


class Caller:
    """A client that asks on and on, and counts its answers."""

    def __init__(self, here: Ground, method: str) -> None:
        self.here, self.method = here, method
        self.answers: dict[int, int] = {}
        self.lost = 0
        self.stop = False

    async def run(self) -> None:
        client = None
        while not self.stop:
            if client is None:
                client = await self.here.connect()
            await client.send(requests_to("/", self.method, b"x" if self.method == "POST" else b""))
            try:
                status, head, _ = await client.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.lost += 1
                client = None
                continue
            self.answers[status] = self.answers.get(status, 0) + 1
            if b"Connection: close" in head:
                client = None


def test_500_reloads_under_load_lose_no_answer_and_leave_nothing(tmp_path: Path) -> None:
    """Members, pools, routes and listeners change in turn; every request has its one answer."""
    ports = [kept_port(), kept_port()]

    async def scene() -> None:
        members = [Member(f"m{n}") for n in range(4)]

        def text(n: int) -> str:
            extra = LISTENER.replace("main", "extra").replace(":0", f":{ports[n % 2]}") if n % 3 else ""
            name = f"p{n // 7 % 2}"  # another pool every seventh time
            those = members[n % 3 : n % 3 + 2]
            return LISTENER + extra + route(f"r{n}", name) + pool(name, those, WARM)

        async with ground(tmp_path, members, lambda: text(0)) as here:
            callers = [Caller(here, method) for method in ("GET", "POST") * 3]
            tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
            sizes = []
            for n in range(1, 501):
                await here.reload(text(n))
                if n in (100, 500):
                    gc.collect()
                    sizes.append(len(gc.get_objects()))
            for caller in callers:
                caller.stop = True
            await asyncio.gather(*tasks)
            assert here.daemon.reloads == 500
            assert sum(caller.lost for caller in callers) == 0
            assert {status for caller in callers for status in caller.answers} == {200}
            assert sum(sum(c.answers.values()) for c in callers) == sum(m.counts.requests for m in members)
            for client in here.clients:
                client.writer.close()
            for retired in here.daemon.retirement.pools:  # what holds them back is time alone
                assert retired.retired_at and not retired.pool.proxy.open
            here.daemon.retirement.pools = [replace(r, retired_at=0.0) for r in here.daemon.retirement.pools]
            await here.until(lambda: not here.daemon.retiring)
            await here.until(lambda: not here.daemon.listeners["main"].connections)
            for running in here.daemon.pools.values():
                assert running.proxy.budget.held_bytes == 0 and not running.proxy.open
            # Beside the 500 reloads' requests and connections, which are gone, nothing has grown.
            assert sizes[1] < sizes[0] * 1.5

    play(partial(asyncio.sleep, 0))  # the loop's library opens a pipe for signals, once for the whole process
    before = len(os.listdir("/proc/self/fd"))
    play(scene)
    gc.collect()
    assert len(os.listdir("/proc/self/fd")) <= before


# Files of members.


def members_text(*members: ScriptedBackend, count: int | None = None) -> str:
    text = f"members = {count}\n" if count is not None else ""
    return text + "".join(f'[[member]]\nid = "{m.name}"\naddress = "{m.address}"\n' for m in members)


def file_of(here: Ground, name: str = "a") -> MembersFile:
    source = here.daemon.pools[name].source
    assert isinstance(source, MembersFile)
    return source


async def looked(source: MembersFile) -> None:
    """Two looks, and what they lead to."""
    source.poll()
    source.poll()
    while source._reading is not None:
        await asyncio.sleep(0)


@pytest.mark.parametrize("how", ["in place", "renamed"])
def test_a_members_file_is_followed(how: str, tmp_path: Path) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"
        text = '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        def first() -> str:
            file.write_text(members_text(a))
            return LISTENER + route("all", "a") + text

        async with ground(tmp_path, [a, b], first) as here:
            assert (await here.ask(requests_to()))[0] == 200 and len(a.calls) == 1
            if how == "in place":
                file.write_text(members_text(b) + "# another size\n")
            else:
                (tmp_path / "new").write_text(members_text(b))
                (tmp_path / "new").replace(file)
            await looked(file_of(here))
            assert (await here.ask(requests_to()))[0] == 200 and len(b.calls) == 1
            assert here.heard.count("members file taken")

    play(scene)


def test_a_members_file_caught_half_written_changes_nothing(tmp_path: Path) -> None:
    """Cut at every byte: the list before stays until the whole one is there."""

    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"

        def first() -> str:
            file.write_text(members_text(a, b, count=2))
            return LISTENER + route("all", "a") + '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        async with ground(tmp_path, [a, b], first) as here:
            whole = members_text(b, a, count=2) + "# longer than before\n"
            source = file_of(here)
            for end in range(0, len(whole) - 25, 3):
                file.write_text(whole[:end])
                await looked(source)
                servers = here.daemon.pools["a"].proxy.balancer.ready
                assert {s.id for s in servers} == {"a", "b"}, end
            file.unlink()
            await looked(source)
            assert here.heard.count("members file is gone") == 1
            file.write_text(whole)
            await looked(source)
            assert here.heard.count("members file taken")

    play(scene)


def test_a_file_that_is_still_being_written_is_not_read(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        file = tmp_path / "members.toml"

        def first() -> str:
            file.write_text(members_text(a))
            return LISTENER + route("all", "a") + '[[pool]]\nname = "a"\nmembers_file = "members.toml"\n'

        async with ground(tmp_path, [a, b], first) as here:
            source = file_of(here)
            for size in range(5):  # it grows between any two looks
                file.write_text(members_text(b) + "#" * size)
                source.poll()
                assert source._reading is None
            source.poll()
            assert source._reading is not None

    play(scene)


# Sets and sessions.


def states(tmp_path: Path, members: list[ScriptedBackend], more: str = "", **each: dict[str, Any]) -> str:
    sticky = 'sticky = { cookie = "S", separator = "." }'
    return LISTENER + route("all", "a", sticky) + pool("a", members, more, **each)


def test_a_standby_set_serves_once_all_of_the_first_drain_and_is_not_pushed_over(tmp_path: Path) -> None:
    """It is cold, so it gets what it can take and the rest is refused at once: nothing is late, nothing lost."""

    async def scene() -> None:
        a, b = Member("a"), Member("b")
        both = [a, b]
        standby = {"state": "standby"}

        def text(state: Any) -> str:
            return LISTENER + route("all", "p") + pool("p", both, a={"state": state}, b=standby)

        async with ground(tmp_path, both, lambda: text("serving")) as here:
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

    play(scene)


@pytest.mark.parametrize("cookie", ["x.b", 'a=1; S="x.b"', "x.y.b"])
def test_a_session_goes_to_its_member(cookie: str, tmp_path: Path) -> None:
    async def scene() -> None:
        three = [ScriptedBackend(name, answering(GOOD)) for name in "abc"]
        async with ground(tmp_path, three, lambda: states(tmp_path, three)) as here:
            line = cookie if "S=" in cookie else f"S={cookie}"
            for _ in range(20):
                assert (await here.ask(requests_to("/", "GET", b"", f"Cookie: {line}")))[0] == 200
            assert [len(m.calls) for m in three] == [0, 20, 0]

    play(scene)


@pytest.mark.parametrize("value", ["x.stopped", "x.unknown", "x.", "x", "", ".", "x." + "a" * 4000, "x.\xff"])
def test_a_session_with_a_stopped_an_unknown_or_a_forged_member_is_served_by_another(
    value: str, tmp_path: Path
) -> None:
    async def scene() -> None:
        stopped = ScriptedBackend("stopped", answering(GOOD))
        two = [ScriptedBackend(f"m{n}", answering(GOOD)) for n in range(2)]

        def text() -> str:
            return states(tmp_path, [stopped, *two], stopped={"state": "stopped"})

        async with ground(tmp_path, [stopped, *two], text) as here:
            client = await here.connect()
            for _ in range(20):
                data = requests_to("/", "POST", b"x", f"Cookie: S={value}").decode().encode("latin-1")
                assert (await client.ask(data))[0] == 200
            assert not stopped.calls and all(m.calls for m in two)

    play(scene)


@pytest.mark.parametrize("keeps", [True, False])
def test_a_draining_member_keeps_its_sessions_where_its_pool_says_so(keeps: bool, tmp_path: Path) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        more = f"sticky_while_draining = {str(keeps).lower()}"

        def text() -> str:
            return states(tmp_path, [a, b], more, a={"state": "draining", "route": "r1"})

        async with ground(tmp_path, [a, b], text) as here:
            client = await here.connect()
            for _ in range(10):
                assert (await client.ask(requests_to("/", "GET", b"", "Cookie: S=x.r1")))[0] == 200
                assert (await client.ask(requests_to()))[0] == 200
            assert (len(a.calls), len(b.calls)) == ((10, 10) if keeps else (0, 20))

    play(scene)


def test_a_session_in_the_path(tmp_path: Path) -> None:
    async def scene() -> None:
        a, b = ScriptedBackend("a", answering(GOOD)), ScriptedBackend("b", answering(GOOD))
        sticky = 'sticky = { path_parameter = "jsessionid", separator = "." }'

        def text() -> str:
            return LISTENER + route("all", "p", sticky) + pool("p", [a, b])

        async with ground(tmp_path, [a, b], text) as here:
            for _ in range(10):
                assert (await here.ask(requests_to("/x;v=1;jsessionid=AB.b/y?z")))[0] == 200
            assert len(b.calls) == 10 and b.calls[0].head.startswith(b"GET /x;v=1;jsessionid=AB.b/y?z ")

    play(scene)


# Pools beside one another.


def test_a_pool_that_hangs_holds_its_share_and_the_other_serves_all(tmp_path: Path) -> None:
    """However many ask the one that hangs, each of the other's requests is taken and served."""

    async def scene() -> None:
        ill, well = Member("ill", Behaviour(hangs=True)), Member("well")

        def text() -> str:
            routes = route("i", "ill", 'deadline = "5s"', prefix="/ill") + route("w", "well")
            return (
                "[process]\ndescriptors = 128\n"
                + LISTENER
                + routes
                + pool("ill", [ill])
                + pool("well", [well])
            )

        async with ground(tmp_path, [ill, well], text) as here:
            listener = here.daemon.listeners["main"]
            bound = here.daemon.pools["ill"].proxy.max_open_requests
            assert bound < listener.most
            hanging = [await here.connect() for _ in range(listener.most - 1)]
            for client in hanging:
                await client.send(requests_to("/ill", "POST", b"x"))
            await here.until(lambda: len(here.daemon.pools["ill"].proxy.open) == bound)
            for _ in range(100):
                assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 200
            assert well.counts.requests == 100
            assert len(here.daemon.pools["ill"].proxy.open) == bound
            answered = [c for c in hanging if c.reader._buffer]  # type: ignore[attr-defined]
            for client in answered:
                assert (await client.read())[0] == 503  # turned away at once, before it ran
            assert ill.counts.requests <= bound

    play(scene)


def test_the_same_id_on_two_listeners_goes_to_one_request(tmp_path: Path) -> None:
    """In the platform's dialect ids are new with every request, whichever listener it comes by."""

    async def scene() -> None:
        held = Held()
        a, b = ScriptedBackend("a", held), ScriptedBackend("b", answering(GOOD))
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

        async with ground(tmp_path, [a, b], text) as here:
            data = request("safe")
            first, second = await here.connect(), await here.connect("two")
            await first.send(data)
            await a.until_called()
            assert (await second.ask(data))[0] == 409 and not b.calls
            held.go.set()
            assert (await first.read())[0] == 200
            third = await here.connect("two")
            assert (await third.ask(request("safe")))[0] == 200
            assert b"X-Txn" in b.calls[0].head and b.calls[0].head.count(b"X-Remaining") == 1

    play(scene)


def test_a_platform_pool_wants_the_platforms_headers(tmp_path: Path) -> None:
    async def scene() -> None:
        a = ScriptedBackend("a", answering(GOOD))
        classes = '[[class]]\nname = "safe"\naim = "1s"\ndeadline = "4s"\n'

        def text() -> str:
            return classes + LISTENER + route("a", "a") + pool("a", [a], 'dialect = "platform"')

        async with ground(tmp_path, [a], text) as here:
            assert (await here.ask(requests_to()))[0] == 404
            assert (await here.ask(request("safe")))[0] == 200 and len(a.calls) == 1

    play(scene)


def test_the_end_answers_what_is_held(tmp_path: Path) -> None:
    async def scene() -> None:
        held = Held()
        backend = ScriptedBackend("s", held)
        async with ground(
            tmp_path, [backend], lambda: LISTENER + route("all", "a") + pool("a", [backend])
        ) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await backend.until_called()
            end = asyncio.ensure_future(here.daemon.end())
            listener = here.daemon.listeners["main"]
            await here.until(lambda: listener._sock is None)
            held.go.set()
            status, head, _ = await client.read()
            assert status == 200 and b"Connection: close" in head
            client.writer.close()
            await end
            assert not here.daemon.listeners and not here.daemon.pools

    play(scene)


def test_what_never_answers_has_failed_at_the_end(tmp_path: Path) -> None:
    async def scene() -> None:
        backend = ScriptedBackend("s", silent)
        routes = route("all", "a", 'deadline = "100ms"')
        async with ground(tmp_path, [backend], lambda: LISTENER + routes + pool("a", [backend])) as here:
            client = await here.connect()
            await client.send(requests_to("/", "POST", b"x"))
            await backend.until_called()
            await here.daemon.end()
            assert (await client.read())[0] in (502, 504)

    play(scene)
