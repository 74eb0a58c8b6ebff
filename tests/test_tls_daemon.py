"""TLS over sockets: by name, by client's certificate, towards members good and bad, keys that change under load."""

from __future__ import annotations

import asyncio
import os
import socket
import ssl
from functools import partial
from pathlib import Path
from typing import Any, Awaitable, Callable

import certs
import pytest
from daemons import LISTENER, DaemonHarness, pool, requests_to, route, running_daemon
from peers import Call, Client, ScriptedBackend, answering, silent

from loadbalancer.cli.__main__ import main
from loadbalancer.config.plan import load
from loadbalancer.config.reader import ConfigError
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.tls.demo import write_pair, write_private
from standins.member import Member

Scene = Callable[[], Awaitable[None]]
OK = answering(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
WARM = 'rules = { new_members = "warm" }'
#: What follows a listener's own keys.
TLS = '[listener.tls]\ncertificate = [{ chain = "a.pem", key = "a.key" }]\nhandshakes_per_s = 100000\n'


def run(scene: Scene) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scene(), 60)

    import uvloop

    uvloop.run(bounded())


def files(folder: Path, *names: str) -> None:
    write_pair(folder, "a", certs.authority().issue(*(names or (certs.HOST,))))
    write_private(folder / "roots.pem", certs.authority().pem)


def text(members: list[Any], tls: str = TLS, *more: str, keys: tuple[str, ...] = ()) -> str:
    return "\n".join((LISTENER + tls, route("r", "p", *keys), pool("p", members, *more, WARM)))


async def connect(
    here: DaemonHarness, name: str = certs.HOST, context: ssl.SSLContext | None = None
) -> Client:
    address = here.daemon.listeners["main"].address
    found = await asyncio.open_connection(*address, ssl=context or certs.client_side(), server_hostname=name)
    here.clients.append(Client(*found))
    return here.clients[-1]


async def ask(here: DaemonHarness, data: bytes, **more: Any) -> tuple[int, bytes, bytes]:
    client = await connect(here, **more)
    await client.send(data)
    return await client.read()


def shown(client: Client) -> str:
    """The SHA-256 of the certificate that the server has shown."""
    import hashlib

    return hashlib.sha256(client.writer.get_extra_info("ssl_object").getpeercert(True)).hexdigest()


# Clients.


def test_names_choose_certificates_and_members_hear_https(tmp_path: Path) -> None:
    files(tmp_path, "a.test")
    write_pair(tmp_path, "b", certs.authority().issue("*.b.test"))
    both = TLS.replace("}]", '}, { chain = "b.pem", key = "b.key" }]')

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        async with running_daemon(tmp_path, [backend], lambda: text([backend], both)) as here:
            assert (await ask(here, requests_to(), name="a.test"))[0] == 200
            assert (await ask(here, requests_to(), name="x.b.test"))[0] == 200
            assert b"X-Forwarded-Proto: https\r\n" in backend.calls[0].head
            assert b";proto=https" in backend.calls[0].head
            with pytest.raises(ssl.SSLCertVerificationError, match="not valid for 'else.test'|mismatch"):
                await connect(here, "else.test")  # the default's is shown, and the client judges
            assert here.daemon.tls_keys is not None
            assert [row["names"] for row in here.daemon.tls_keys.summary()] == [["a.test"], ["*.b.test"]]

    run(scene)


def client_context(issued: Any) -> ssl.SSLContext:
    from loadbalancer.tls.contexts import as_file

    context = ssl.create_default_context(cadata=certs.authority().pem.decode())
    if issued is not None:
        with as_file(issued.chain + issued.key) as path:
            context.load_cert_chain(path)
    return context


TENANTS = '[[tenant]]\nname = "depots"\nquota_per_s = 100.0\n[[tenant]]\nname = "rest"\nquota_per_s = 1.0\n'


def test_clients_certificates_say_whose_a_request_is(tmp_path: Path) -> None:
    files(tmp_path)
    depot, revoked = certs.authority().issue("screen.depot.test"), certs.authority().issue("old.depot.test")
    write_private(tmp_path / "revoked.pem", certs.authority().revoked([revoked.serial]))
    mutual = TLS + (
        'clients = "required"\nclient_roots = ["roots.pem"]\nclient_revoked = "revoked.pem"\n'
        'tenants = { "screen.depot.test" = "depots" }\n'
    )

    async def scene() -> None:
        backend = ScriptedBackend("m", silent)
        whole = TENANTS + text([backend], mutual, keys=('tenant = "rest"',))
        async with running_daemon(
            tmp_path,
            [backend],
            lambda: (
                whole.replace('address = ""', f'address = "{backend.address}"') if backend.address else whole
            ),
        ) as here:
            here.write(TENANTS + text([backend], mutual, keys=('tenant = "rest"',)))
            await here.reload()
            seen: list[int] = []
            proxy = here.daemon.pools["p"].proxy
            take = proxy.submit

            def note(request: Any, cls: int, left: float, tenant: int, *more: Any) -> None:
                seen.append(tenant)
                take(request, cls, left, tenant, *more)

            proxy.submit = note  # type: ignore[method-assign, assignment]
            each: Any
            for each in (depot, certs.authority().issue("someone.test")):
                client = await connect(here, context=client_context(each))
                await client.send(requests_to())
            await backend.until_called(2)
            assert sorted(seen) == [0, 1]
            strange = certs.stranger().issue("screen.depot.test")
            for each in (None, revoked, strange):
                with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                    client = await connect(here, context=client_context(each))
                    await client.send(requests_to())  # TLS 1.3 tells the client no sooner
                    await client.read()
            assert len(backend.calls) == 2

    run(scene)


def hello() -> bytes:
    """The first bytes of a client."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    shaking = certs.client_side().wrap_bio(incoming, outgoing, server_hostname=certs.HOST)
    with pytest.raises(ssl.SSLWantReadError):
        shaking.do_handshake()
    return outgoing.read()


def test_plain_text_rubbish_and_a_hello_cut_at_every_byte_end_and_hold_nothing(tmp_path: Path) -> None:
    files(tmp_path)

    async def scene() -> None:
        backend, data = ScriptedBackend("m", OK), hello()
        async with running_daemon(tmp_path, [backend], lambda: text([backend])) as here:
            listener = here.daemon.listeners["main"]
            for first in (requests_to(), b"\x16\x03\x01\xff\xff", b"\0" * 70_000):
                client = await here.connect()
                await client.send(first)
                try:
                    assert b"200" not in await client.ended()
                except ConnectionError:
                    pass
            for place in range(len(data)):
                sock = socket.create_connection(listener.address)
                sock.sendall(data[:place])
                sock.close()
                await asyncio.sleep(0)
            assert (await ask(here, requests_to()))[0] == 200
            await here.until(lambda: listener.taken == len(listener.connections))
            assert listener.tls is not None
            await here.until(lambda: not listener.tls or not listener.tls.handshakes.under_way)
            assert len(backend.calls) == 1

    run(scene)


def test_handshakes_that_are_never_finished_do_not_keep_a_known_client_out(tmp_path: Path) -> None:
    files(tmp_path)
    few = TLS + 'handshakes_at_once = 4\nhandshakes_per_address = 3\nhandshake_time = "300ms"\n'
    known = '[listener.admission]\nknown = ["127.0.0.1/32"]\nreserve = 0.25\n'

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        async with running_daemon(tmp_path, [backend], lambda: text([backend], few + known)) as here:
            address = here.daemon.listeners["main"].address
            door = here.daemon.listeners["main"].tls
            assert door is not None
            hanging = []
            for number in range(60):  # strangers, of twenty addresses
                sock = socket.socket()
                sock.bind((f"127.0.1.{number % 20 + 1}", 0))
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, address)
                hanging.append(sock)
            await here.until(lambda: door.handshakes.under_way == 4)
            assert door.handshakes.under_way <= 4
            assert (await ask(here, requests_to()))[0] == 200
            await here.until(lambda: not door.handshakes.under_way and not door.handshakes.waiting)
            assert door.handshakes.begun + door.handshakes.dropped == 61
            for sock in hanging:
                sock.close()

    run(scene)


def test_a_reload_takes_tls_off_and_open_connections_go_on(tmp_path: Path) -> None:
    files(tmp_path)

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        from ports import reserve_port

        port = reserve_port()

        def both(tls: str) -> str:
            return text([backend], tls).replace(":0", f":{port}")

        async with running_daemon(tmp_path, [backend], lambda: both(TLS)) as here:
            secure = await connect(here)
            assert (await secure.ask(requests_to()))[0] == 200
            await here.reload(both(""))
            assert (await here.ask(requests_to()))[0] == 200
            assert (await secure.ask(requests_to()))[0] == 200
            await here.reload(both(TLS))
            assert (await ask(here, requests_to()))[0] == 200

    run(scene)


def test_keys_that_can_not_serve_are_told_and_a_reload_with_them_changes_nothing(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test", ends=-1.0))
    path = tmp_path / "c.toml"
    path.write_text(text([Member("m")]).replace('address = ""', 'address = "127.0.0.1:9"'))

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        with pytest.raises(ConfigError, match=r"listener\[main\].tls.*has expired"):
            async with running_daemon(tmp_path, [backend], lambda: text([backend])):
                pass
        files(tmp_path)
        async with running_daemon(tmp_path, [backend], lambda: text([backend])) as here:
            os.chmod(tmp_path / "a.key", 0o666)
            await here.reload(text([backend]) + "\n")
            assert here.daemon.reloads == 0 and here.heard.count("chmod 600")
            assert (await ask(here, requests_to()))[0] == 200

    run(scene)


def test_a_key_is_replaced_under_load_and_no_request_and_no_handshake_is_lost(tmp_path: Path) -> None:
    """Forty times here, each within two looks; benchmarks/tls.py has two hundred."""
    files(tmp_path)

    async def scene() -> None:
        member = Member("m")
        lost: list[str] = []
        served, stopped = 0, False

        async with running_daemon(tmp_path, [member], lambda: text([member])) as here:

            async def client(kept: int) -> None:
                nonlocal served
                while not stopped:
                    try:
                        connection = await connect(here)
                        for _ in range(kept):
                            status, _ = await connection.ask(requests_to())
                            assert status == 200
                            served += 1
                    except (OSError, asyncio.IncompleteReadError) as problem:
                        lost.append(repr(problem))
                    finally:
                        connection.writer.close()

            def has_served(count: int) -> bool:
                return served >= count

            tasks = [asyncio.ensure_future(client(kept)) for kept in (1, 1, 20, 20)]
            keys = here.daemon.tls_keys
            assert keys is not None
            seen = set()
            for _ in range(40):
                issued = certs.authority().issue(certs.HOST)
                write_private(tmp_path / "a.pem", issued.chain)
                keys.listeners["main"].look()
                write_private(tmp_path / "a.key", issued.key)
                for _ in range(2):
                    keys.listeners["main"].look()
                probe = await connect(here)
                assert shown(probe) == keys.listeners["main"].held()[0].fingerprint
                seen.add(shown(probe))
                before = served
                await here.until(partial(has_served, before + 4))
            stopped = True
            await asyncio.gather(*tasks)
            assert not lost and len(seen) == 40 and served > 160
            assert keys.listeners["main"].watched.changes == 40

    run(scene)


# Members.


class SecureMember(ScriptedBackend):
    """Shows a certificate, counts who comes to a request."""

    def __init__(self, name: str, script: Any, context: ssl.SSLContext) -> None:
        super().__init__(name, script)
        self.context = context

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=64 << 20, ssl=self.context
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())


def member(name: str, script: Any = OK, **more: Any) -> SecureMember:
    return SecureMember(
        name, script, certs.server_side(certs.authority().issue(more.pop("of", name), **more))
    )


POOL_TLS = 'tls = { roots = ["roots.pem"] }'


def over_tls(members: list[Any], *more: str) -> str:
    return text(members, "", *(more or (POOL_TLS,)))


@pytest.mark.parametrize("bad", ["expired", "not yet", "wrong name", "unknown issuer", "plain", "revoked"])
def test_a_member_whose_key_is_not_the_right_one_gets_no_request(tmp_path: Path, bad: str) -> None:
    files(tmp_path)

    async def scene() -> None:
        issued = certs.authority().issue("sick")
        write_private(
            tmp_path / "revoked.pem", certs.authority().revoked([issued.serial] if bad == "revoked" else [])
        )
        made: dict[str, Callable[[], Any]] = {
            "expired": lambda: member("sick", ends=-0.1),
            "not yet": lambda: member("sick", begins=1.0),
            "wrong name": lambda: member("sick", of="other"),
            "plain": lambda: ScriptedBackend("sick", OK),
            "unknown issuer": lambda: SecureMember(
                "sick", OK, certs.server_side(certs.stranger().issue("sick"))
            ),
            "revoked": lambda: SecureMember("sick", OK, certs.server_side(issued)),
        }
        sick = made[bad]()
        well = [member(name) for name in ("w1", "w2", "w3")]
        those = [sick, *well]
        tls = 'tls = { roots = ["roots.pem"], revoked = "revoked.pem" }'
        async with running_daemon(tmp_path, those, lambda: over_tls(those, tls)) as here:
            for _ in range(40):
                assert (await here.ask(requests_to("/", "POST", b"x")))[
                    0
                ] == 200  # it never ran: it may go on
            assert not sick.calls and sum(len(m.calls) for m in well) == 40
            assert here.daemon.pools["p"].proxy.avoided_count() == 1
            assert here.heard.count("of sick") or here.heard.count("with sick")

    run(scene)


def test_where_all_fail_for_one_reason_nobody_is_blamed_and_service_is_back_at_once(tmp_path: Path) -> None:
    files(tmp_path)
    write_private(tmp_path / "roots.pem", certs.stranger().pem)  # the wrong roots

    async def scene() -> None:
        those = [member(name) for name in "abcd"]
        async with running_daemon(tmp_path, those, lambda: over_tls(those)) as here:
            for _ in range(20):
                assert (await here.ask(requests_to()))[0] == 503
            assert here.heard.count("our trust roots or our clock")
            keys, proxy = here.daemon.tls_keys, here.daemon.pools["p"].proxy
            assert keys is not None and keys.pools["p"].verdicts.ours is not None
            write_private(tmp_path / "roots.pem", certs.stranger().pem + certs.authority().pem)
            for _ in range(2):
                keys.pools["p"].look()
            for _ in range(40):
                assert (await here.ask(requests_to()))[0] == 200
            await here.until(lambda: proxy.avoided_count() <= 1)
            assert here.heard.count("are accepted again")
            assert sum(bool(m.calls) for m in those) >= 3 and not sum(not m.calls for m in those) > 1

    run(scene)


def test_our_certificate_is_shown_and_sessions_are_resumed(tmp_path: Path) -> None:
    files(tmp_path)
    write_pair(tmp_path, "mine", certs.authority().issue("proxy.test"))

    async def scene() -> None:
        context = certs.server_side(certs.authority().issue("m"), certs.authority().pem)
        reused: list[bool] = []

        async def script(call: Call) -> None:
            shaken = call.writer.get_extra_info("ssl_object")
            reused.append(shaken.session_reused)
            assert ("DNS", "proxy.test") in shaken.getpeercert()["subjectAltName"]
            await call.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")

        backend = SecureMember("m", script, context)
        tls = 'tls = { roots = ["roots.pem"], certificate = { chain = "mine.pem", key = "mine.key" } }'
        async with running_daemon(
            tmp_path, [backend], lambda: over_tls([backend], tls, "limits = { attempts = 1 }")
        ) as here:
            for _ in range(3):
                assert (await here.ask(requests_to()))[0] == 200
        assert reused[0] is False

    run(scene)


def test_kept_connections_to_members_resume_their_sessions(tmp_path: Path) -> None:
    files(tmp_path)

    async def scene() -> None:
        reused: list[bool] = []

        async def script(call: Call) -> None:
            reused.append(call.writer.get_extra_info("ssl_object").session_reused)
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        backend = SecureMember("m", script, certs.server_side(certs.authority().issue("m")))
        async with running_daemon(tmp_path, [backend], lambda: over_tls([backend])) as here:
            for _ in range(3):
                assert (await here.ask(requests_to()))[0] == 200
                here.daemon.pools["p"].proxy.upstreams.close_idle("m")
        assert reused == [False, True, True]

    run(scene)


def cut(whole: bool, length: str) -> Any:
    """An answer of which the end is that of the connection, told by TLS or not."""

    async def script(call: Call) -> None:
        await call.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + length.encode() + b"\r\nhalf of")
        if whole:
            call.writer.close()
        else:
            call.writer.transport.abort()

    return script


@pytest.mark.parametrize(
    "whole, length, status", [(True, "", 200), (False, "", 502), (False, "Content-Length: 20\r\n", 502)]
)
def test_an_answer_that_is_cut_without_a_word_is_not_whole(
    tmp_path: Path, whole: bool, length: str, status: int
) -> None:
    files(tmp_path)

    async def scene() -> None:
        backend = member("m", cut(whole, length))
        more = (POOL_TLS, "close_delimited = true")
        async with running_daemon(tmp_path, [backend], lambda: over_tls([backend], *more)) as here:
            got, _, body = await here.ask(requests_to("/", "POST", b"x"))
            assert got == status and (body == b"half of") == whole and len(backend.calls) == 1

    run(scene)


def test_a_reset_in_the_middle_of_a_handshake_never_ran(tmp_path: Path) -> None:
    files(tmp_path)

    async def scene() -> None:
        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(50)
            writer.transport.abort()

        sick = ScriptedBackend("sick", OK)
        well = member("well")
        async with running_daemon(tmp_path, [well], lambda: over_tls([well])) as here:
            sick.server = await asyncio.start_server(reset, "127.0.0.1", 0)
            sick.address = "{}:{}".format(*sick.server.sockets[0].getsockname())
            await here.reload(over_tls([sick, well]))
            told: list[Any] = []
            proxy = here.daemon.pools["p"].proxy
            finish = proxy.finish_attempt

            def note(attempt: Any, result: AttemptResult, *more: Any) -> None:
                told.append((attempt.endpoint, result))
                finish(attempt, result, *more)

            proxy.finish_attempt = note  # type: ignore[method-assign, assignment]
            while ("sick", AttemptResult.NO_CONNECTION) not in told:
                assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 200
            assert {result for name, result in told if name == "sick"} == {AttemptResult.NO_CONNECTION}
            await sick.stop()

    run(scene)


# The command.


def test_the_verbs_check_and_demo(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = tmp_path / "demo"
    assert main(["tls", "demo", str(folder), "--name", "a.test"]) == 0
    assert (folder / "server.key").stat().st_mode & 0o777 == 0o600
    chain, key = str(folder / "server.pem"), str(folder / "server.key")
    assert main(["tls", "check", chain, "--key", key, "--name", "a.test"]) == 0
    assert "for a.test; ends in 90 days" in capsys.readouterr().out
    assert main(["tls", "check", chain, "--key", key, "--name", "b.test"]) == 1
    assert main(["tls", "check", chain, "--key", str(folder / "client.key")]) == 1
    err = capsys.readouterr().err
    assert "not for b.test" in err and "not the certificate's" in err and "PRIVATE" not in err
    assert main(["tls", "check", str(folder / "none.pem")]) == 1
    assert main(["tls", "check", "nowhere"]) == 1

    async def scene() -> None:
        backend = member("m")
        await backend.start()
        loop = asyncio.get_running_loop()
        roots = tmp_path / "roots.pem"
        write_private(roots, certs.authority().pem)
        for words, code in (
            ([], 0),
            (["--roots", str(roots), "--name", "m"], 0),
            (["--roots", str(folder / "roots.pem"), "--name", "m"], 1),
        ):
            assert (
                await loop.run_in_executor(None, main, ["tls", "check", backend.address, *words]) == code
            ), words
        await backend.stop()

    run(scene)
    assert "signed by the roots" in capsys.readouterr().out


@pytest.mark.parametrize(
    "lines, words",
    [("certificate = []", "at least one pair"), ('clients = "required"', "client_roots"),
     ('client_roots = ["roots.pem"]', "go with clients"), ('tenants = { "a" = "b" }', "goes with clients"),
     ('clients = "optional"\nclient_roots = ["roots.pem"]\ntenants = { "a" = "b" }', "no .*named 'b'")],
)  # fmt: skip
def test_tables_that_do_not_fit_are_refused(tmp_path: Path, lines: str, words: str) -> None:
    tls = TLS if not lines.startswith("certificate") else "[listener.tls]\n"
    path = tmp_path / "c.toml"
    path.write_text(text([], tls + lines + "\n") + '[[pool.member]]\nid = "m"\naddress = "127.0.0.1:9"\n')
    with pytest.raises(ConfigError, match=words):
        load(path)
