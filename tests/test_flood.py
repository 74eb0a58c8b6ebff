"""Floods against a listener with rules: known clients are served, each request is answered once, no client hangs."""

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
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import TIMEOUT_S, Call, Client, ScriptedBackend, answering, read_message, run_with_timeout

from loadbalancer.admission.admission import MALFORMED_SCORE, NO_REQUEST_SCORE, RESERVE_KEPT_SHARE
from loadbalancer.frontends.admission_gate import AdmissionGate
from loadbalancer.frontends.reserve_descriptors import ReserveDescriptors
from standins.fastcgi import WebServer

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KNOWN, FLOOD, NAT = "127.1.0.1", "127.2.0.1", "127.3.0.1"


class HeldAnswer:
    """A script that answers once the test sets its event."""

    def __init__(self) -> None:
        self.go = asyncio.Event()

    async def __call__(self, call: Call) -> None:
        await self.go.wait()
        await call.say(GOOD)


def admission(**keys: Any) -> str:
    """Return the [listener.admission] table with these keys."""
    return "[listener.admission]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())


async def connect(address: tuple[str, int], source: str) -> Client:
    return Client(*await asyncio.open_connection(*address, local_addr=(source, 0)))


async def exchange(client: Client, data: bytes = b"") -> tuple[int, bytes]:
    """Send the bytes and close; return the status (0 for a close without an answer) and the head of the answer."""
    try:
        if data:
            await client.send(data)
        head, _ = await asyncio.wait_for(read_message(client.reader), TIMEOUT_S)
        return int(head.split(b" ", 2)[1]), head
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        client.writer.close()


async def send_byte_by_byte(client: Client) -> None:
    """Send the first bytes of a request one by one."""
    for byte in requests_to()[:20]:
        if not client.writer.transport.is_closing():
            client.writer.write(bytes((byte,)))
        await asyncio.sleep(0)


async def connect_and_exchange(address: tuple[str, int], source: str, data: bytes) -> tuple[int, bytes]:
    try:
        client = await connect(address, source)
    except ConnectionError:
        return 0, b""
    return await exchange(client, data)


def daemon_with_rules(
    folder: Path, member: ScriptedBackend, rules: str
) -> AbstractAsyncContextManager[DaemonHarness]:
    """Run a daemon with these lines before one route to one member."""
    return running_daemon(folder, [member], lambda: rules + route("all", "a") + pool("a", [member]))


def gate(here: DaemonHarness) -> AdmissionGate:
    found = here.daemon.listeners["main"].gate
    assert found is not None
    return found


def open_connections(here: DaemonHarness, source: str) -> int:
    return gate(here).admission.addresses.get_or_add(source, 0.0).connections


# In one process.


def test_connections_above_the_cap_get_503_and_other_addresses_are_served(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            silent = [await connect(address, FLOOD) for _ in range(8)]
            await here.until(lambda: open_connections(here, FLOOD) == 8)
            for _ in range(50):
                status, head = await connect_and_exchange(address, FLOOD, requests_to())
                assert status == 0 or (status == 503 and b"Retry-After: 1" in head)
            assert open_connections(here, FLOOD) == 8 and not member.calls
            for _ in range(20):
                assert (await connect_and_exchange(address, KNOWN, requests_to()))[0] == 200
            for client in silent:
                client.writer.close()
            await here.until(lambda: open_connections(here, FLOOD) == 0)
            assert (await connect_and_exchange(address, FLOOD, requests_to()))[0] == 200

    run_with_timeout(scene)


def test_honest_clients_behind_one_address_exceed_the_initial_cap_and_a_flood_does_not(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8, growth=64)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            flood = [await connect(address, FLOOD) for _ in range(8)]
            screens: list[Client] = []

            async def screen() -> int:
                """Retry until served, then keep the connection and reuse it; return the number of tries."""
                tries = 0
                while True:
                    tries += 1
                    client = await connect(address, NAT)
                    try:
                        await client.send(requests_to())
                        if (await client.read())[0] == 200:
                            while (await client.ask(requests_to()))[0] != 200:
                                pass  # the member is in slow start and takes few requests
                            screens.append(client)
                            return tries
                    except (ConnectionError, asyncio.IncompleteReadError):
                        pass
                    client.writer.close()

            tries = await asyncio.gather(*(screen() for _ in range(150)))
            assert len(screens) == 150 and max(tries) > 1
            assert open_connections(here, NAT) == 150 and open_connections(here, FLOOD) == 8
            assert (await connect_and_exchange(address, FLOOD, requests_to()))[0] in (0, 503)
            for client in [*screens, *flood]:
                client.writer.close()

    run_with_timeout(scene)


def test_silent_connections_reduce_the_cap(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.frontends.connection.REQUEST_S", 0.0)

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            entry = gate(here).admission.addresses.get_or_add(FLOOD, 0.0)
            while entry.score > -50:
                client = await connect(address, FLOOD)
                await asyncio.wait_for(client.reader.read(), TIMEOUT_S)
                client.writer.close()
            assert entry.cap_factor(entry.scored_at, 16.0) < 0.3

    run_with_timeout(scene)


def test_open_requests_of_one_address_are_capped_with_503(tmp_path: Path) -> None:
    async def scene() -> None:
        held = HeldAnswer()
        member = ScriptedBackend("s", held)
        rules = LISTENER + admission(requests_per_address=3)
        async with daemon_with_rules(tmp_path, member, rules) as here:
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
            entry = gate(here).admission.addresses.get_or_add(FLOOD, 0.0)
            await here.until(lambda: not entry.in_use)

    run_with_timeout(scene)


def test_known_clients_find_slots_while_others_use_all_they_may(tmp_path: Path) -> None:
    """Other clients use all slots that they may, with a request open on each. The kept share of the reserve and the
    slots past the limit stay free, and the lent slots are free again once their requests are answered."""

    async def scene() -> None:
        go = asyncio.Event()

        async def script(call: Call) -> None:
            if b"/slow" in call.head:
                await go.wait()
            await call.say(GOOD)

        member = ScriptedBackend("s", script)
        rules = "[process]\ndescriptors = 128\n" + LISTENER + admission(known=["127.1.0.0/16"], reserve=0.5)

        async with daemon_with_rules(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            address, most = listener.address, listener.most
            listener.pressure.reuse.probability = 1.0  # answers close connections in lent slots only
            floor = math.ceil(most * 0.5)
            kept = math.ceil(floor * RESERVE_KEPT_SHARE)
            others = []
            for number in range(most - kept):
                others.append(client := await connect(address, f"127.{number + 10}.0.1"))
                await client.send(requests_to("/slow"))
            await here.until(lambda: len(here.daemon.pools["a"].proxy.open) == most - kept)
            for _ in range(5):
                assert (await connect_and_exchange(address, "127.2.0.1", requests_to()))[0] in (0, 503)
            known = [await connect(address, KNOWN) for _ in range(kept + listener.overflow_most)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            go.set()
            answers = [await client.read() for client in others]
            assert [status for status, _, _ in answers] == [200] * len(others)
            lent = sum(b"Connection: close" in head for _, head, _ in answers)
            assert lent >= floor - kept
            while len(known) < floor:
                known.append(await connect(address, KNOWN))
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            for client in [*others, *known]:
                client.writer.close()

    run_with_timeout(scene)


def test_known_clients_are_not_evicted_for_others(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = "[process]\ndescriptors = 128\n" + LISTENER + admission(known=["127.1.0.0/16"], reserve=0.5)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            listener.pressure.reuse.probability = 1.0
            known = [await connect(listener.address, KNOWN) for _ in range(listener.most // 2)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            others = [await connect(listener.address, f"127.2.{n}.1") for n in range(3 * listener.most)]
            for client in known:
                assert (await client.ask(requests_to()))[0] == 200
            for client in [*others, *known]:
                client.writer.close()

    run_with_timeout(scene)


def test_reload_during_a_flood_keeps_the_address_state(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + admission(connections_per_address=8)

        def text() -> str:
            return rules + route("all", "a") + pool("a", [member])

        async with running_daemon(tmp_path, [member], text) as here:
            address = here.daemon.listeners["main"].address
            before = gate(here)
            flood = [await connect(address, FLOOD) for _ in range(8)]
            asking = [
                asyncio.ensure_future(connect_and_exchange(address, f"127.{n}.0.1", requests_to()))
                for n in range(10, 50)
            ]
            await here.reload(text() + "\n")
            assert here.daemon.reloads == 1 and gate(here) is before
            assert [status for status, _ in await asyncio.gather(*asking)] == [200] * 40
            await here.reload(text().replace("= 8", "= 9"))
            assert gate(here) is not before
            for client in flood:
                client.writer.close()
            entry = before.admission.addresses.get_or_add(FLOOD, 0.0)
            # Each connection is counted off at the gate that admitted it.
            await here.until(lambda: not entry.in_use)

    run_with_timeout(scene)


# The PROXY protocol.


def proxy_line(source: str) -> bytes:
    return f"PROXY TCP4 {source} 127.0.0.1 40000 80\r\n".encode()


def test_address_behind_a_front_proxy_is_that_of_the_proxy_header(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n' + admission(connections_per_address=2)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            data = proxy_line("203.0.113.9") + requests_to()
            flood = []
            for cut in (5, len(proxy_line("203.0.113.9"))):
                flood.append(client := await connect(address, "127.4.0.1"))
                await client.send(data[:cut])
                await asyncio.sleep(0)
                assert (await client.ask(data[cut:]))[0] == 200
            assert open_connections(here, "203.0.113.9") == 2 and open_connections(here, "127.4.0.1") == 0
            status, head = await connect_and_exchange(address, "127.4.0.1", data)
            assert status == 503 and b"Retry-After" in head
            other = proxy_line("203.0.114.9") + requests_to()
            assert (await connect_and_exchange(address, "127.4.0.1", other))[0] == 200
            seven = socket.inet_aton("203.0.115.9") + bytes(8)
            binary = b"\r\n\r\n\x00\r\nQUIT\n\x21\x11" + struct.pack("!H", 12) + seven
            assert (await connect_and_exchange(address, "127.4.0.1", binary + requests_to()))[0] == 200
            for client in flood:
                client.writer.close()
            await here.until(lambda: open_connections(here, "203.0.113.9") == 0)

    run_with_timeout(scene)


def test_proxy_header_is_required_from_trusted_sources_and_rejected_from_others(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n'
        async with daemon_with_rules(tmp_path, member, rules) as here:
            address = here.daemon.listeners["main"].address
            assert (await connect_and_exchange(address, "127.4.0.1", requests_to()))[0] == 0
            forged = proxy_line("203.0.113.9") + requests_to()
            assert (await connect_and_exchange(address, "127.5.0.1", forged))[0] == 400
            assert (await connect_and_exchange(address, "127.4.0.1", b"PROXY TCP4 " + b"1" * (10 << 20)))[
                0
            ] == 0
            assert not member.calls
            assert (await connect_and_exchange(address, "127.5.0.1", requests_to()))[0] == 200
            await here.until(lambda: not here.daemon.listeners["main"].connections)

    run_with_timeout(scene)


# FastCGI.


def test_fastcgi_connection_above_the_cap_is_closed_without_http(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = (
            LISTENER + 'protocol = "fastcgi"\n' + admission(connections_per_address=2, requests_per_address=1)
        )
        async with daemon_with_rules(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            first, second, third = [await WebServer.connect(listener.address) for _ in range(3)]
            await here.until(lambda: len(listener.connections) == 2)
            assert await asyncio.wait_for(third.reader.read(), TIMEOUT_S) == b""
            await first.send(first.request(1, "GET", "/"))
            assert (await first.read(1)).status == 200
            held = HeldAnswer()
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
            assert open_connections(here, "127.0.0.1") == 0

    run_with_timeout(scene)


# Descriptors.


def test_reserve_descriptors_are_released_and_refilled() -> None:
    spares = ReserveDescriptors(3)
    assert len(spares) == 3 and spares.take() and len(spares) == 2
    spares.refill()
    assert len(spares) == 3
    spares.close()
    assert len(spares) == 0 and not spares.take()


def test_reserve_descriptors_are_limited_to_those_the_system_gives() -> None:
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
def test_without_descriptors_waiting_clients_get_503_and_later_ones_are_served(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Accept fails unless a reserve descriptor has just been closed."""

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        async with daemon_with_rules(tmp_path, member, LISTENER) as here:
            listener = here.daemon.listeners["main"]
            real = cast(socket.socket, listener._sock)

            class Short:
                """The listening socket of a system without free descriptors."""

                def accept(self) -> Any:
                    if len(here.daemon.spares) == here.daemon.spares.most:
                        raise OSError(number, os.strerror(number))
                    return real.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(real, name)

            address = listener.address
            listener._sock = cast(socket.socket, Short())
            answers = await asyncio.gather(
                *(connect_and_exchange(address, KNOWN, requests_to()) for _ in range(30))
            )
            assert {status for status, _ in answers} <= {0, 503} and not member.calls
            assert any(b"Retry-After: 1" in head for _, head in answers)
            assert len(here.daemon.spares) == here.daemon.spares.most
            listener._sock = real
            assert (await connect_and_exchange(address, KNOWN, requests_to()))[0] == 200

    run_with_timeout(scene)


def test_member_is_reached_with_a_reserve_descriptor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        async with daemon_with_rules(tmp_path, member, LISTENER) as here:
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


# In a separate process, whose limit can be lowered.


@asynccontextmanager
async def process(
    folder: Path, text: str, descriptors: int
) -> AsyncIterator[tuple[tuple[str, int], subprocess.Popen[bytes]]]:
    """Run `serve` under a limit of descriptors; yield the address of its listener and the process."""
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


def test_descriptor_limit_lowered_to_64_loses_none_of_40_requests_in_flight(tmp_path: Path) -> None:
    async def scene() -> None:
        held = HeldAnswer()
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
            answers = await asyncio.gather(
                *(connect_and_exchange(address, FLOOD, requests_to()) for _ in range(60))
            )
            assert {status for status, _ in answers} <= {
                0,
                503,
            }  # rejected or closed: none hangs, none is served
            assert len(member.calls) == 40
            child.send_signal(signal.SIGHUP)  # a reload needs descriptors too
            held.go.set()
            for client in busy:
                assert (await client.read())[0] == 200
                client.writer.close()
            assert len(member.calls) == 40
            async with asyncio.timeout(TIMEOUT_S):
                while (await connect_and_exchange(address, KNOWN, requests_to()))[0] != 200:
                    pass
                while b"new configuration taken" not in (tmp_path / "log").read_bytes():
                    await asyncio.sleep(0)
        await member.stop()

    run_with_timeout(scene)


def test_known_clients_are_served_during_3000_connections_of_one_address(tmp_path: Path) -> None:
    """They are silent, check readiness, send one request and stay, or send single bytes; with 512 descriptors."""

    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        await member.start()
        text = "[process]\ndescriptors = 512\n" + LISTENER + 'ready_path = "/ready"\n'
        text += admission(connections_per_address=64, known=["127.1.0.0/16"], reserve=0.25)
        text += route("all", "a") + pool("a", [member])
        async with process(tmp_path, text, 512) as (address, _):
            statuses: list[int] = []
            wave = asyncio.Semaphore(400)

            async def flood(number: int) -> None:
                async with wave:
                    try:
                        client = await connect(address, FLOOD)
                    except ConnectionError:
                        statuses.append(0)
                        return
                    if number % 4 == 3:
                        await send_byte_by_byte(client)
                    data = (b"", requests_to("/ready"), requests_to(), b"")[number % 4]
                    statuses.append((await exchange(client, data))[0])

            async def known() -> list[int]:
                answers = []
                while len(statuses) < 3000:
                    answers.append((await connect_and_exchange(address, KNOWN, requests_to()))[0])
                return answers

            results = await asyncio.gather(known(), known(), *(flood(number) for number in range(3000)))
            answers = [*cast("list[int]", results[0]), *cast("list[int]", results[1])]
            served = answers.count(200)
            assert len(statuses) == 3000 and set(statuses) <= {0, 200, 408, 503}
            assert len(answers) >= 20 and served >= 0.99 * len(answers)
            asked = sum(number == 200 for number in statuses)
            assert len(member.calls) <= served + asked
        await member.stop()

    run_with_timeout(scene)


def test_malformed_and_incomplete_requests_and_unread_answers_lower_the_score(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A malformed request, half a request, and an answer that the client does not read."""

    async def scene() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + bytes(900_000)
        member = ScriptedBackend("s", answering(large))
        rules = LISTENER + admission(connections_per_address=8)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            address, table = listener.address, gate(here).admission.addresses
            assert (await connect_and_exchange(address, "127.11.0.1", b"no request at all\r\n\r\n"))[0] == 400
            assert table.get_or_add("127.11.0.1", 0.0).score == MALFORMED_SCORE

            half = await connect(address, "127.12.0.1")
            await half.send(requests_to()[:-4])
            await here.until(lambda: any(c.phase == 1 for c in listener.connections))
            (connection,) = (c for c in listener.connections if c.phase == 1)
            connection.sweep(connection.since + 100.0)
            assert (await half.read())[0] == 408
            assert table.get_or_add("127.12.0.1", 0.0).score == NO_REQUEST_SCORE

            reader = await connect(address, "127.13.0.1")
            reader.writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
            )
            cast(asyncio.ReadTransport, reader.writer.transport).pause_reading()
            await reader.send(requests_to() * 8)
            await here.until(lambda: any(c.blocked_since for c in listener.connections))
            (stalled,) = (c for c in listener.connections if c.blocked_since)
            stalled.sweep(stalled.blocked_since + 100.0)
            assert table.get_or_add("127.13.0.1", 0.0).score <= MALFORMED_SCORE + 8
            await here.until(lambda: stalled not in listener.connections)
            for client in (half, reader):
                client.writer.close()

    run_with_timeout(scene)


def has_read(connection: Any, count: int) -> bool:
    """Return whether this many bytes of a PROXY header were received."""
    return len(connection.admitted.header._buffer) == count


def test_stalled_proxy_header_times_out_and_holds_no_slot(tmp_path: Path) -> None:
    async def scene() -> None:
        member = ScriptedBackend("s", answering(GOOD))
        rules = LISTENER + 'proxy_protocol_from = ["127.4.0.0/16"]\n' + admission(connections_per_address=2)
        async with daemon_with_rules(tmp_path, member, rules) as here:
            listener = here.daemon.listeners["main"]
            for cut in range(1, len(proxy_line("203.0.113.9"))):
                client = await connect(listener.address, "127.4.0.1")
                await client.send(proxy_line("203.0.113.9")[:cut])
                await here.until(lambda: len(listener.connections) == 1)
                (connection,) = listener.connections
                await here.until(partial(has_read, connection, cut))
                connection.sweep(connection.since + 100.0)
                assert await client.ended() == b""
                client.writer.close()
                await here.until(lambda: not listener.connections)
            assert open_connections(here, "203.0.113.9") == 0 and not member.calls

    run_with_timeout(scene)
