"""Floods against a listener with rules: known clients get through, what was taken is answered once, nobody hangs."""

from __future__ import annotations

import asyncio
import errno
import json
import math
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any, AsyncIterator, cast

import pytest
from daemons import LISTENER, Ground, ground, pool, requests_to, route
from peers import TIMEOUT_S, Call, Client, ScriptedBackend, answering, read_message, run_with_timeout

from loadbalancer.admission.admission import FLOOR_KEPT, GARBAGE, SILENT
from loadbalancer.frontends.admission_gate import AdmissionGate
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from standins.fastcgi import WebServer

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KNOWN, FLOOD, NAT = "127.1.0.1", "127.2.0.1", "127.3.0.1"


class Held:
    """A script that answers when the test says so."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def __call__(self, call: Call) -> None:
        await self.go.wait()
        await call.say(GOOD)


def admission(**keys: Any) -> str:
    """The table of a listener that has just been opened."""
    return "[listener.admission]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())


async def connect(address: tuple[str, int], source: str) -> Client:
    return Client(*await asyncio.open_connection(*address, local_addr=(source, 0)))


async def ended(client: Client, data: bytes = b"") -> tuple[int, bytes]:
    """Status (0 for a close without an answer) and head of what a connection gets for these bytes, and its end."""
    try:
        if data:
            await client.send(data)
        head, _ = await asyncio.wait_for(read_message(client.reader), TIMEOUT_S)
        return int(head.split(b" ", 2)[1]), head
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        client.writer.close()


async def byte_by_byte(client: Client) -> None:
    """The beginning of a request, and no more of it."""
    for byte in requests_to()[:20]:
        if not client.writer.transport.is_closing():
            client.writer.write(bytes((byte,)))
        await asyncio.sleep(0)


async def once(address: tuple[str, int], source: str, data: bytes) -> tuple[int, bytes]:
    try:
        client = await connect(address, source)
    except ConnectionError:
        return 0, b""
    return await ended(client, data)


def behind(folder: Path, member: ScriptedBackend, rules: str) -> AbstractAsyncContextManager[Ground]:
    """A daemon with these lines ahead of one route to one member."""
    return ground(folder, [member], lambda: rules + route("all", "a") + pool("a", [member]))


def gate(here: Ground) -> AdmissionGate:
    found = here.daemon.listeners["main"].gate
    assert found is not None
    return found


def held_of(here: Ground, source: str) -> int:
    return gate(here).admission.addresses.find(source, 0.0).open


# In one process.


def test_an_address_gets_its_cap_the_rest_are_told_and_others_do_not_notice(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            silent = [await connect(address, FLOOD) for _ in range(8)]
            await here.until(lambda: held_of(here, FLOOD) == 8)
            for _ in range(50):
                status, head = await once(address, FLOOD, requests_to())
                assert status == 0 or (status == 503 and b"Retry-After: 1" in head)
            assert held_of(here, FLOOD) == 8 and not member.calls
            for _ in range(20):
                assert (await once(address, KNOWN, requests_to()))[0] == 200
            for client in silent:
                client.writer.close()
            await here.until(lambda: held_of(here, FLOOD) == 0)
            assert (await once(address, FLOOD, requests_to()))[0] == 200

    run_with_timeout(scene)


def test_honest_screens_behind_one_address_get_past_the_cap_of_a_flooder(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8, growth=64)
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            flood = [await connect(address, FLOOD) for _ in range(8)]
            screens: list[Client] = []

            async def screen() -> int:
                """Ask until served, then stay and come back."""
                tries = 0
                while True:
                    tries += 1
                    client = await connect(address, NAT)
                    try:
                        await client.send(requests_to())
                        if (await client.read())[0] == 200:
                            while (await client.ask(requests_to()))[0] != 200:
                                pass  # the member is new, and gets its requests by and by
                            screens.append(client)
                            return tries
                    except (ConnectionError, asyncio.IncompleteReadError):
                        pass
                    client.writer.close()

            tries = await asyncio.gather(*(screen() for _ in range(150)))
            assert len(screens) == 150 and max(tries) > 1
            assert held_of(here, NAT) == 150 and held_of(here, FLOOD) == 8
            assert (await once(address, FLOOD, requests_to()))[0] in (0, 503)
            for client in [*screens, *flood]:
                client.writer.close()

    run_with_timeout(scene)


def test_a_flood_of_silence_loses_its_cap(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.frontends.connection.REQUEST_S", 0.0)

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            entry = gate(here).admission.addresses.find(FLOOD, 0.0)
            while entry.marks > -50:
                client = await connect(address, FLOOD)
                await asyncio.wait_for(client.reader.read(), TIMEOUT_S)
                client.writer.close()
            assert entry.factor(entry.marked_at, 16.0) < 0.3

    run_with_timeout(scene)


def test_requests_open_at_once_of_one_address(tmp_path: Path) -> None:
    async def scene() -> None:
        held = Held()
        member = ScriptedBackend("s", held)
        rules = LISTENER + admission(requests_per_address=3)
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            busy = [await connect(address, FLOOD) for _ in range(3)]
            for client in busy:
                await client.send(requests_to("/", "POST", b"x"))
            await member.until_called(3)
            over = await connect(address, FLOOD)
            await over.send(requests_to("/", "POST", b"x"))
            status, head, _ = await over.read()
            assert status == 503 and b"Retry-After: 1" in head and b"Connection: close" not in head
            assert len(member.calls) == 3
            held.go.set()
            assert [(await client.read())[0] for client in busy] == [200] * 3
            assert (await over.ask(requests_to("/", "POST", b"x")))[0] == 200
            for client in [*busy, over]:
                client.writer.close()
            entry = gate(here).admission.addresses.find(FLOOD, 0.0)
            await here.until(lambda: not entry.held)

    run_with_timeout(scene)


def test_known_clients_find_slots_whatever_strangers_hold(tmp_path: Path) -> None:
    """Strangers fill all that they may, with an answer owed on each; what is kept of the reserve, and the slots past
    the limit, are there all the same, and what was lent comes back with the answers."""

    async def scene() -> None:
        go = asyncio.Event()

        async def script(call: Call) -> None:
            if b"/slow" in call.head:
                await go.wait()
            await call.say(GOOD)

        member = ScriptedBackend("s", script)
        rules = "[process]\ndescriptors = 128\n" + LISTENER + admission(known=["127.1.0.0/16"], reserve=0.5)

        async with behind(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            address, most = listener.address, listener.most
            listener.pressure.reuse.chance = 1.0  # no answer closes but where the slot is lent
            floor = math.ceil(most * 0.5)
            kept = math.ceil(floor * FLOOR_KEPT)
            strangers = []
            for number in range(most - kept):
                strangers.append(client := await connect(address, f"127.{number + 10}.0.1"))
                await client.send(requests_to("/slow"))
            await here.until(lambda: len(here.daemon.pools["a"].proxy.open) == most - kept)
            for _ in range(5):
                assert (await once(address, "127.2.0.1", requests_to()))[0] in (0, 503)
            known = [await connect(address, KNOWN) for _ in range(kept + listener.overflow_most)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            go.set()
            answers = [await client.read() for client in strangers]
            assert [status for status, _, _ in answers] == [200] * len(strangers)
            lent = sum(b"Connection: close" in head for _, head, _ in answers)
            assert lent >= floor - kept
            while len(known) < floor:
                known.append(await connect(address, KNOWN))
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            for client in [*strangers, *known]:
                client.writer.close()

    run_with_timeout(scene)


def test_strangers_never_push_out_known_clients(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = "[process]\ndescriptors = 128\n" + LISTENER + admission(known=["127.1.0.0/16"], reserve=0.5)
        async with behind(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            listener.pressure.reuse.chance = 1.0
            known = [await connect(listener.address, KNOWN) for _ in range(listener.most // 2)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            strangers = [await connect(listener.address, f"127.2.{n}.1") for n in range(3 * listener.most)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            for client in [*strangers, *known]:
                client.writer.close()

    run_with_timeout(scene)


def test_a_reload_in_a_flood_keeps_what_is_known_of_addresses(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)

        def text() -> str:
            return rules + route("all", "a") + pool("a", [member])

        async with ground(tmp_path, [member], text) as here:
            address = here.daemon.listeners["main"].address
            before = gate(here)
            flood = [await connect(address, FLOOD) for _ in range(8)]
            asking = [
                asyncio.ensure_future(once(address, f"127.{n}.0.1", requests_to())) for n in range(10, 50)
            ]
            await here.reload(text() + "\n")
            assert here.daemon.reloads == 1 and gate(here) is before
            assert [status for status, _ in await asyncio.gather(*asking)] == [200] * 40
            await here.reload(text().replace("= 8", "= 9"))
            assert gate(here) is not before
            for client in flood:
                client.writer.close()
            entry = before.admission.addresses.find(FLOOD, 0.0)
            await here.until(lambda: not entry.held)  # each gives back where it was let in

    run_with_timeout(scene)


# The PROXY protocol.


def line(source: str) -> bytes:
    return f"PROXY TCP4 {source} 127.0.0.1 40000 80\r\n".encode()


def test_behind_a_front_the_address_is_the_one_it_names(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n' + admission(connections_per_address=2)
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            data = line("203.0.113.9") + requests_to()
            flood = []
            for cut in (5, len(line("203.0.113.9"))):
                flood.append(client := await connect(address, "127.4.0.1"))
                await client.send(data[:cut])
                await asyncio.sleep(0)
                assert (await client.ask(data[cut:]))[0] == 200
            assert held_of(here, "203.0.113.9") == 2 and held_of(here, "127.4.0.1") == 0
            status, head = await once(address, "127.4.0.1", data)
            assert status == 503 and b"Retry-After" in head
            other = line("203.0.114.9") + requests_to()
            assert (await once(address, "127.4.0.1", other))[0] == 200
            seven = socket.inet_aton("203.0.115.9") + bytes(8)
            binary = b"\r\n\r\n\x00\r\nQUIT\n\x21\x11" + struct.pack("!H", 12) + seven
            assert (await once(address, "127.4.0.1", binary + requests_to()))[0] == 200
            for client in flood:
                client.writer.close()
            await here.until(lambda: held_of(here, "203.0.113.9") == 0)

    run_with_timeout(scene)


def test_a_front_must_write_the_header_and_nobody_else_may(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n'
        async with behind(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            assert (await once(address, "127.4.0.1", requests_to()))[0] == 0
            forged = line("203.0.113.9") + requests_to()
            assert (await once(address, "127.5.0.1", forged))[0] == 400
            assert (await once(address, "127.4.0.1", b"PROXY TCP4 " + b"1" * (10 << 20)))[0] == 0
            assert not member.calls
            assert (await once(address, "127.5.0.1", requests_to()))[0] == 200
            await here.until(lambda: not here.daemon.listeners["main"].connections)

    run_with_timeout(scene)


# FastCGI.


def test_a_fastcgi_client_over_its_cap_is_closed_and_hears_no_http(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = (
            LISTENER + 'protocol = "fastcgi"\n' + admission(connections_per_address=2, requests_per_address=1)
        )
        async with behind(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            first, second, third = [await WebServer.connect(listener.address) for _ in range(3)]
            await here.until(lambda: len(listener.connections) == 2)
            assert await asyncio.wait_for(third.reader.read(), TIMEOUT_S) == b""
            await first.send(first.request(1, "GET", "/"))
            assert (await first.read(1)).status == 200
            held = Held()
            member.scripts = [held]
            await first.send(first.request(2, "GET", "/"))
            await member.until_called(2)
            await second.send(second.request(1, "GET", "/"))
            assert (await second.read(1)).status == 503
            held.go.set()
            assert (await first.read(2)).status == 200
            for web in (first, second, third):
                web.writer.close()
            await here.until(lambda: not listener.connections)
            assert held_of(here, "127.0.0.1") == 0

    run_with_timeout(scene)


# Descriptors.


def test_spares_are_given_and_taken_back() -> None:
    spares = ReserveDescriptors(3)
    assert len(spares) == 3 and spares.take() and len(spares) == 2
    spares.refill()
    assert len(spares) == 3
    spares.close()
    assert len(spares) == 0 and not spares.take()


def test_spares_are_held_as_far_as_the_system_gives_them() -> None:
    given = iter([os.open(os.devnull, os.O_RDONLY)])

    def opening() -> int:
        for descriptor in given:
            return descriptor
        raise OSError(errno.EMFILE, "none")

    spares = ReserveDescriptors(3, opening)
    assert len(spares) == 1
    spares.refill()
    assert len(spares) == 1
    spares.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_without_a_descriptor_those_who_wait_are_told_and_the_next_is_served(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The system gives none but where a spare has just been closed."""

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        async with behind(tmp_path, member, LISTENER) as here:
            listener = here.daemon.listeners["main"]
            real = cast(socket.socket, listener._sock)

            class Short:
                """The listening socket of a system that has run out."""

                def accept(self) -> Any:
                    if len(here.daemon.spares) == here.daemon.spares.most:
                        raise OSError(number, os.strerror(number))
                    return real.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(real, name)

            address = listener.address
            listener._sock = cast(socket.socket, Short())
            answers = await asyncio.gather(*(once(address, KNOWN, requests_to()) for _ in range(30)))
            assert {status for status, _ in answers} <= {0, 503} and not member.calls
            assert any(b"Retry-After: 1" in head for _, head in answers)
            assert len(here.daemon.spares) == here.daemon.spares.most
            listener._sock = real
            assert (await once(address, KNOWN, requests_to()))[0] == 200

    run_with_timeout(scene)


def test_a_member_is_reached_on_a_spare_descriptor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        async with behind(tmp_path, member, LISTENER) as here:
            spares, real = here.daemon.spares, socket.socket

            def short(*arguments: Any, **options: Any) -> socket.socket:
                if len(spares) == spares.most:
                    raise OSError(errno.EMFILE, "none")
                return real(*arguments, **options)

            client = await here.connect()
            await here.until(lambda: here.daemon.listeners["main"].connections)
            monkeypatch.setattr("loadbalancer.upstreams.connections.socket.socket", short)
            await client.send(requests_to("/", "POST", b"x"))
            await member.until_called(1)
            monkeypatch.undo()
            assert (await client.read())[0] == 200 and len(member.calls) == 1

    run_with_timeout(scene)


# In a process of its own, whose limit can be lowered.


@asynccontextmanager
async def process(
    folder: Path, text: str, descriptors: int
) -> AsyncIterator[tuple[tuple[str, int], subprocess.Popen[bytes]]]:
    """`serve` under a limit of descriptors: the address of its one listener."""
    path = folder / "micastand.toml"
    path.write_text(text)

    def lower() -> None:
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[1])
        )

    child = subprocess.Popen(
        [sys.executable, "-m", "loadbalancer.cli", "serve", "-c", str(path)],
        cwd=Path(__file__).parent.parent,
        stdout=subprocess.PIPE,
        stderr=(folder / "log").open("wb"),
        preexec_fn=lower,
    )
    try:
        assert child.stdout is not None
        words = await asyncio.get_running_loop().run_in_executor(None, child.stdout.readline)
        host, _, port = words.split()[-1].decode().removeprefix("http://").rstrip("/").rpartition(":")
        yield (host, int(port)), child
    finally:
        child.kill()
        child.wait()
        assert child.stdout is not None
        child.stdout.close()


def test_the_limit_lowered_to_64_under_40_requests_in_flight(tmp_path: Path) -> None:
    async def scene() -> None:
        held = Held()
        member = ScriptedBackend("s", held)
        await member.start()
        text = LISTENER + route("all", "a") + pool("a", [member])
        async with process(tmp_path, text, 512) as (address, child):
            busy = [await connect(address, KNOWN) for _ in range(40)]
            for client in busy:
                await client.send(requests_to("/", "POST", b"x"))
            await member.until_called(40)
            hard = resource.prlimit(child.pid, resource.RLIMIT_NOFILE)[1]
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (64, hard))
            answers = await asyncio.gather(*(once(address, FLOOD, requests_to()) for _ in range(60)))
            assert {status for status, _ in answers} <= {
                0,
                503,
            }  # told, or closed: none hangs, none is served
            assert len(member.calls) == 40
            child.send_signal(signal.SIGHUP)  # a reload needs descriptors too
            held.go.set()
            for client in busy:
                assert (await client.read())[0] == 200
                client.writer.close()
            assert len(member.calls) == 40
            async with asyncio.timeout(TIMEOUT_S):
                while (await once(address, KNOWN, requests_to()))[0] != 200:
                    pass
                while b"new configuration taken" not in (tmp_path / "log").read_bytes():
                    await asyncio.sleep(0)
        await member.stop()

    run_with_timeout(scene)


def test_three_thousand_connections_of_one_address_and_known_clients_get_through(tmp_path: Path) -> None:
    """Silent, asking whether the proxy is ready, asking once and staying, sending a byte at a time; 512 descriptors."""

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        await member.start()
        text = "[process]\ndescriptors = 512\n" + LISTENER + 'ready_path = "/ready"\n'
        text += admission(connections_per_address=64, known=["127.1.0.0/16"], reserve=0.25)
        text += route("all", "a") + pool("a", [member])
        async with process(tmp_path, text, 512) as (address, _):
            told: list[int] = []
            wave = asyncio.Semaphore(400)

            async def flood(number: int) -> None:
                async with wave:
                    try:
                        client = await connect(address, FLOOD)
                    except ConnectionError:
                        told.append(0)
                        return
                    if number % 4 == 3:
                        await byte_by_byte(client)
                    data = (b"", requests_to("/ready"), requests_to(), b"")[number % 4]
                    told.append((await ended(client, data))[0])

            async def known() -> list[int]:
                answers = []
                while len(told) < 3000:
                    answers.append((await once(address, KNOWN, requests_to()))[0])
                return answers

            results = await asyncio.gather(known(), known(), *(flood(number) for number in range(3000)))
            answers = [*cast("list[int]", results[0]), *cast("list[int]", results[1])]
            served = answers.count(200)
            assert len(told) == 3000 and set(told) <= {0, 200, 408, 503}
            assert len(answers) >= 20 and served >= 0.99 * len(answers)
            asked = sum(number == 200 for number in told)
            assert len(member.calls) <= served + asked
        await member.stop()

    run_with_timeout(scene)


def test_what_clients_do_counts_for_their_address(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Garbage, half a request, and an answer that is not taken."""

    async def scene() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + bytes(900_000)
        member = ScriptedBackend("s", answering(large))
        rules = LISTENER + admission(connections_per_address=8)
        async with behind(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            address, table = listener.address, gate(here).admission.addresses
            assert (await once(address, "127.11.0.1", b"no request at all\r\n\r\n"))[0] == 400
            assert table.find("127.11.0.1", 0.0).marks == GARBAGE

            half = await connect(address, "127.12.0.1")
            await half.send(requests_to()[:-4])
            await here.until(lambda: any(c.phase == 1 for c in listener.connections))
            (connection,) = (c for c in listener.connections if c.phase == 1)
            connection.sweep(connection.since + 100.0)
            assert (await half.read())[0] == 408
            assert table.find("127.12.0.1", 0.0).marks == SILENT

            reader = await connect(address, "127.13.0.1")
            reader.writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
            )
            cast(asyncio.ReadTransport, reader.writer.transport).pause_reading()
            await reader.send(requests_to() * 8)
            await here.until(lambda: any(c.blocked_since for c in listener.connections))
            (stalled,) = (c for c in listener.connections if c.blocked_since)
            stalled.sweep(stalled.blocked_since + 100.0)
            assert table.find("127.13.0.1", 0.0).marks <= GARBAGE + 8
            await here.until(lambda: stalled not in listener.connections)
            for client in (half, reader):
                client.writer.close()

    run_with_timeout(scene)


def has_read(connection: Any, count: int) -> bool:
    """Whether so much of a PROXY header has come."""
    return len(connection.admitted.header._held) == count


def test_a_proxy_header_that_stalls_is_silence_and_holds_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n' + admission(connections_per_address=2)
        async with behind(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            for cut in range(1, len(line("203.0.113.9"))):
                client = await connect(listener.address, "127.4.0.1")
                await client.send(line("203.0.113.9")[:cut])
                await here.until(lambda: len(listener.connections) == 1)
                (connection,) = listener.connections
                await here.until(partial(has_read, connection, cut))
                connection.sweep(connection.since + 100.0)
                assert await client.ended() == b""
                client.writer.close()
                await here.until(lambda: not listener.connections)
            assert held_of(here, "203.0.113.9") == 0 and not member.calls

    run_with_timeout(scene)
