"""Tests of TLS over sockets: server names, client certificates, certificates of members, and reloads under load."""

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
#: TLS table of the listener, written after the listener's own keys.
TLS = '[listener.tls]\ncertificate = [{ chain = "a.pem", key = "a.key" }]\nhandshakes_per_s = 100000\n'


def run(scene: Scene) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scene(), 60)

    import uvloop

    uvloop.run(bounded())


def write_files(folder: Path, *names: str) -> None:
    write_pair(folder, "a", certs.authority().issue(*(names or (certs.HOST,))))
    write_private(folder / "roots.pem", certs.authority().pem)


def configuration(members: list[Any], tls: str = TLS, *pool_keys: str, keys: tuple[str, ...] = ()) -> str:
    return "\n".join((LISTENER + tls, route("r", "p", *keys), pool("p", members, *pool_keys, WARM)))


async def connect(
    here: DaemonHarness, name: str = certs.HOST, context: ssl.SSLContext | None = None
) -> Client:
    address = here.daemon.listeners["main"].address
    streams = await asyncio.open_connection(
        *address, ssl=context or certs.client_side(), server_hostname=name
    )
    here.clients.append(Client(*streams))
    return here.clients[-1]


async def exchange(here: DaemonHarness, data: bytes, **options: Any) -> tuple[int, bytes, bytes]:
    client = await connect(here, **options)
    await client.send(data)
    return await client.read()


def fingerprint(client: Client) -> str:
    """Return the SHA-256 of the server's certificate."""
    import hashlib

    return hashlib.sha256(client.writer.get_extra_info("ssl_object").getpeercert(True)).hexdigest()


# Clients.


def test_the_server_name_selects_the_certificate_and_members_get_proto_https(tmp_path: Path) -> None:
    write_files(tmp_path, "a.test")
    write_pair(tmp_path, "b", certs.authority().issue("*.b.test"))
    both = TLS.replace("}]", '}, { chain = "b.pem", key = "b.key" }]')

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        async with running_daemon(tmp_path, [backend], lambda: configuration([backend], both)) as here:
            assert (await exchange(here, requests_to(), name="a.test"))[0] == 200
            assert (await exchange(here, requests_to(), name="x.b.test"))[0] == 200
            assert b"X-Forwarded-Proto: https\r\n" in backend.calls[0].head
            assert b";proto=https" in backend.calls[0].head
            with pytest.raises(ssl.SSLCertVerificationError, match="not valid for 'else.test'|mismatch"):
                await connect(here, "else.test")  # gets the default certificate, and the client refuses it
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


def test_the_client_certificate_determines_the_tenant(tmp_path: Path) -> None:
    write_files(tmp_path)
    depot, revoked = certs.authority().issue("screen.depot.test"), certs.authority().issue("old.depot.test")
    write_private(tmp_path / "revoked.pem", certs.authority().revoked([revoked.serial]))
    mutual = TLS + (
        'clients = "required"\nclient_roots = ["roots.pem"]\nclient_revoked = "revoked.pem"\n'
        'tenants = { "screen.depot.test" = "depots" }\n'
    )

    async def scene() -> None:
        backend = ScriptedBackend("m", silent)
        whole = TENANTS + configuration([backend], mutual, keys=('tenant = "rest"',))
        async with running_daemon(
            tmp_path,
            [backend],
            lambda: (
                whole.replace('address = ""', f'address = "{backend.address}"') if backend.address else whole
            ),
        ) as here:
            here.write(TENANTS + configuration([backend], mutual, keys=('tenant = "rest"',)))
            await here.reload()
            tenants: list[int] = []
            proxy = here.daemon.pools["p"].proxy
            submit = proxy.submit

            def record(request: Any, cls: int, left_s: float, tenant: int, *options: Any) -> None:
                tenants.append(tenant)
                submit(request, cls, left_s, tenant, *options)

            proxy.submit = record  # type: ignore[method-assign, assignment]
            issued: Any
            for issued in (depot, certs.authority().issue("someone.test")):
                client = await connect(here, context=client_context(issued))
                await client.send(requests_to())
            await backend.until_called(2)
            assert sorted(tenants) == [0, 1]
            untrusted = certs.untrusted_authority().issue("screen.depot.test")
            for issued in (None, revoked, untrusted):
                with pytest.raises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
                    client = await connect(here, context=client_context(issued))
                    await client.send(requests_to())  # with TLS 1.3 the client gets the alert only now
                    await client.read()
            assert len(backend.calls) == 2

    run(scene)


def client_hello() -> bytes:
    """Return the first bytes that a client sends."""
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    handshake = certs.client_side().wrap_bio(incoming, outgoing, server_hostname=certs.HOST)
    with pytest.raises(ssl.SSLWantReadError):
        handshake.do_handshake()
    return outgoing.read()


def test_plain_text_random_bytes_and_truncated_client_hellos_release_their_connections(
    tmp_path: Path,
) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        backend, data = ScriptedBackend("m", OK), client_hello()
        async with running_daemon(tmp_path, [backend], lambda: configuration([backend])) as here:
            listener = here.daemon.listeners["main"]
            for data_sent in (requests_to(), b"\x16\x03\x01\xff\xff", b"\0" * 70_000):
                client = await here.connect()
                await client.send(data_sent)
                try:
                    assert b"200" not in await client.ended()
                except ConnectionError:
                    pass
            for length in range(len(data)):
                sock = socket.create_connection(listener.address)
                sock.sendall(data[:length])
                sock.close()
                await asyncio.sleep(0)
            assert (await exchange(here, requests_to()))[0] == 200
            await here.until(lambda: listener.taken == len(listener.connections))
            assert listener.tls is not None
            await here.until(lambda: not listener.tls or not listener.tls.handshakes.under_way)
            assert len(backend.calls) == 1

    run(scene)


def test_unfinished_handshakes_do_not_lock_out_a_known_client(tmp_path: Path) -> None:
    write_files(tmp_path)
    few = TLS + 'handshakes_at_once = 4\nhandshakes_per_address = 3\nhandshake_time = "300ms"\n'
    known = '[listener.admission]\nknown = ["127.0.0.1/32"]\nreserve = 0.25\n'

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        async with running_daemon(tmp_path, [backend], lambda: configuration([backend], few + known)) as here:
            address = here.daemon.listeners["main"].address
            acceptor = here.daemon.listeners["main"].tls
            assert acceptor is not None
            unfinished = []
            for number in range(60):  # unknown clients with 20 addresses
                sock = socket.socket()
                sock.bind((f"127.0.1.{number % 20 + 1}", 0))
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, address)
                unfinished.append(sock)
            await here.until(lambda: acceptor.handshakes.under_way == 4)
            assert acceptor.handshakes.under_way <= 4
            assert (await exchange(here, requests_to()))[0] == 200
            await here.until(lambda: not acceptor.handshakes.under_way and not acceptor.handshakes.waiting)
            assert acceptor.handshakes.begun + acceptor.handshakes.dropped == 61
            for sock in unfinished:
                sock.close()

    run(scene)


def test_a_reload_removes_tls_and_open_connections_continue(tmp_path: Path) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        from ports import reserve_port

        port = reserve_port()

        def both(tls: str) -> str:
            return configuration([backend], tls).replace(":0", f":{port}")

        async with running_daemon(tmp_path, [backend], lambda: both(TLS)) as here:
            secure = await connect(here)
            assert (await secure.ask(requests_to()))[0] == 200
            await here.reload(both(""))
            assert (await here.ask(requests_to()))[0] == 200
            assert (await secure.ask(requests_to()))[0] == 200
            await here.reload(both(TLS))
            assert (await exchange(here, requests_to()))[0] == 200

    run(scene)


def test_unusable_certificates_are_reported_and_a_reload_with_them_changes_nothing(tmp_path: Path) -> None:
    write_pair(tmp_path, "a", certs.authority().issue("a.test", ends=-1.0))
    path = tmp_path / "c.toml"
    path.write_text(configuration([Member("m")]).replace('address = ""', 'address = "127.0.0.1:9"'))

    async def scene() -> None:
        backend = ScriptedBackend("m", OK)
        with pytest.raises(ConfigError, match=r"listener\[main\].tls.*has expired"):
            async with running_daemon(tmp_path, [backend], lambda: configuration([backend])):
                pass
        write_files(tmp_path)
        async with running_daemon(tmp_path, [backend], lambda: configuration([backend])) as here:
            os.chmod(tmp_path / "a.key", 0o666)
            await here.reload(configuration([backend]) + "\n")
            assert here.daemon.reloads == 0 and here.heard.count("chmod 600")
            assert (await exchange(here, requests_to()))[0] == 200

    run(scene)


def test_certificates_are_replaced_under_load_without_a_failed_request_or_handshake(tmp_path: Path) -> None:
    """Forty replacements, each loaded within two polls; benchmarks/tls.py makes two hundred."""
    write_files(tmp_path)

    async def scene() -> None:
        member = Member("m")
        failures: list[str] = []
        served, stopped = 0, False

        async with running_daemon(tmp_path, [member], lambda: configuration([member])) as here:

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
                        failures.append(repr(problem))
                    finally:
                        connection.writer.close()

            def has_served(count: int) -> bool:
                return served >= count

            tasks = [asyncio.ensure_future(client(kept)) for kept in (1, 1, 20, 20)]
            keys = here.daemon.tls_keys
            assert keys is not None
            fingerprints = set()
            for _ in range(40):
                issued = certs.authority().issue(certs.HOST)
                write_private(tmp_path / "a.pem", issued.chain)
                keys.listeners["main"].poll()
                write_private(tmp_path / "a.key", issued.key)
                for _ in range(2):
                    keys.listeners["main"].poll()
                probe = await connect(here)
                assert fingerprint(probe) == keys.listeners["main"].certificates()[0].fingerprint
                fingerprints.add(fingerprint(probe))
                served_before = served
                await here.until(partial(has_served, served_before + 4))
            stopped = True
            await asyncio.gather(*tasks)
            assert not failures and len(fingerprints) == 40 and served > 160
            assert keys.listeners["main"].watched.changes == 40

    run(scene)


# Members.


class SecureMember(ScriptedBackend):
    """Backend with a TLS certificate that records the requests it gets."""

    def __init__(self, name: str, script: Any, context: ssl.SSLContext) -> None:
        super().__init__(name, script)
        self.context = context

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=64 << 20, ssl=self.context
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())


def member(name: str, script: Any = OK, **options: Any) -> SecureMember:
    return SecureMember(
        name, script, certs.server_side(certs.authority().issue(options.pop("of", name), **options))
    )


POOL_TLS = 'tls = { roots = ["roots.pem"] }'


def with_member_tls(members: list[Any], *pool_keys: str) -> str:
    return configuration(members, "", *(pool_keys or (POOL_TLS,)))


@pytest.mark.parametrize("fault", ["expired", "not yet", "wrong name", "unknown issuer", "plain", "revoked"])
def test_a_member_with_an_invalid_certificate_gets_no_request(tmp_path: Path, fault: str) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        issued = certs.authority().issue("faulty")
        write_private(
            tmp_path / "revoked.pem", certs.authority().revoked([issued.serial] if fault == "revoked" else [])
        )
        factories: dict[str, Callable[[], Any]] = {
            "expired": lambda: member("faulty", ends=-0.1),
            "not yet": lambda: member("faulty", begins=1.0),
            "wrong name": lambda: member("faulty", of="other"),
            "plain": lambda: ScriptedBackend("faulty", OK),
            "unknown issuer": lambda: SecureMember(
                "faulty", OK, certs.server_side(certs.untrusted_authority().issue("faulty"))
            ),
            "revoked": lambda: SecureMember("faulty", OK, certs.server_side(issued)),
        }
        faulty = factories[fault]()
        healthy = [member(name) for name in ("w1", "w2", "w3")]
        members = [faulty, *healthy]
        tls = 'tls = { roots = ["roots.pem"], revoked = "revoked.pem" }'
        async with running_daemon(tmp_path, members, lambda: with_member_tls(members, tls)) as here:
            for _ in range(40):
                assert (await here.ask(requests_to("/", "POST", b"x")))[
                    0
                ] == 200  # the request did not run, so it may be retried
            assert not faulty.calls and sum(len(m.calls) for m in healthy) == 40
            assert here.daemon.pools["p"].proxy.avoided_count() == 1
            assert here.heard.count("of faulty") or here.heard.count("with faulty")

    run(scene)


def test_if_all_members_fail_for_one_reason_none_is_avoided_and_service_recovers_at_once(
    tmp_path: Path,
) -> None:
    write_files(tmp_path)
    write_private(tmp_path / "roots.pem", certs.untrusted_authority().pem)  # the wrong roots

    async def scene() -> None:
        members = [member(name) for name in "abcd"]
        async with running_daemon(tmp_path, members, lambda: with_member_tls(members)) as here:
            for _ in range(20):
                assert (await here.ask(requests_to()))[0] == 503
            assert here.heard.count("our trust roots or our clock")
            keys, proxy = here.daemon.tls_keys, here.daemon.pools["p"].proxy
            assert keys is not None and keys.pools["p"].results.common_failure is not None
            write_private(tmp_path / "roots.pem", certs.untrusted_authority().pem + certs.authority().pem)
            for _ in range(2):
                keys.pools["p"].poll()
            for _ in range(40):
                assert (await here.ask(requests_to()))[0] == 200
            await here.until(lambda: proxy.avoided_count() <= 1)
            assert here.heard.count("are accepted again")
            assert sum(bool(m.calls) for m in members) >= 3 and not sum(not m.calls for m in members) > 1

    run(scene)


def test_the_proxy_presents_its_certificate_to_members(tmp_path: Path) -> None:
    write_files(tmp_path)
    write_pair(tmp_path, "mine", certs.authority().issue("proxy.test"))

    async def scene() -> None:
        context = certs.server_side(certs.authority().issue("m"), certs.authority().pem)
        reused: list[bool] = []

        async def script(call: Call) -> None:
            ssl_object = call.writer.get_extra_info("ssl_object")
            reused.append(ssl_object.session_reused)
            assert ("DNS", "proxy.test") in ssl_object.getpeercert()["subjectAltName"]
            await call.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")

        backend = SecureMember("m", script, context)
        tls = 'tls = { roots = ["roots.pem"], certificate = { chain = "mine.pem", key = "mine.key" } }'
        async with running_daemon(
            tmp_path, [backend], lambda: with_member_tls([backend], tls, "limits = { attempts = 1 }")
        ) as here:
            for _ in range(3):
                assert (await here.ask(requests_to()))[0] == 200
        assert reused[0] is False

    run(scene)


def test_new_connections_to_members_resume_the_tls_session(tmp_path: Path) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        reused: list[bool] = []

        async def script(call: Call) -> None:
            reused.append(call.writer.get_extra_info("ssl_object").session_reused)
            await call.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        backend = SecureMember("m", script, certs.server_side(certs.authority().issue("m")))
        async with running_daemon(tmp_path, [backend], lambda: with_member_tls([backend])) as here:
            for _ in range(3):
                assert (await here.ask(requests_to()))[0] == 200
                here.daemon.pools["p"].proxy.upstreams.close_idle("m")
        assert reused == [False, True, True]

    run(scene)


def close_after_half(closes_tls: bool, length: str) -> Any:
    """Return a script whose answer ends with its connection, with a TLS close_notify or without one."""

    async def script(call: Call) -> None:
        await call.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + length.encode() + b"\r\nhalf of")
        if closes_tls:
            call.writer.close()
        else:
            call.writer.transport.abort()

    return script


@pytest.mark.parametrize(
    "closes_tls, length, status", [(True, "", 200), (False, "", 502), (False, "Content-Length: 20\r\n", 502)]
)
def test_an_answer_that_ends_without_close_notify_is_incomplete(
    tmp_path: Path, closes_tls: bool, length: str, status: int
) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        backend = member("m", close_after_half(closes_tls, length))
        pool_keys = (POOL_TLS, "close_delimited = true")
        async with running_daemon(
            tmp_path, [backend], lambda: with_member_tls([backend], *pool_keys)
        ) as here:
            answered, _, body = await here.ask(requests_to("/", "POST", b"x"))
            assert answered == status and (body == b"half of") == closes_tls and len(backend.calls) == 1

    run(scene)


def test_a_reset_during_a_handshake_counts_as_no_connection_and_the_request_is_retried(
    tmp_path: Path,
) -> None:
    write_files(tmp_path)

    async def scene() -> None:
        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(50)
            writer.transport.abort()

        faulty = ScriptedBackend("faulty", OK)
        healthy = member("healthy")
        async with running_daemon(tmp_path, [healthy], lambda: with_member_tls([healthy])) as here:
            faulty.server = await asyncio.start_server(reset, "127.0.0.1", 0)
            faulty.address = "{}:{}".format(*faulty.server.sockets[0].getsockname())
            await here.reload(with_member_tls([faulty, healthy]))
            results: list[Any] = []
            proxy = here.daemon.pools["p"].proxy
            finish = proxy.finish_attempt

            def record(attempt: Any, result: AttemptResult, *options: Any) -> None:
                results.append((attempt.endpoint, result))
                finish(attempt, result, *options)

            proxy.finish_attempt = record  # type: ignore[method-assign, assignment]
            while ("faulty", AttemptResult.NO_CONNECTION) not in results:
                assert (await here.ask(requests_to("/", "POST", b"x")))[0] == 200
            assert {result for name, result in results if name == "faulty"} == {AttemptResult.NO_CONNECTION}
            await faulty.stop()

    run(scene)


# The command.


def test_the_tls_verbs_check_and_create_certificates(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
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
        for options, code in (
            ([], 0),
            (["--roots", str(roots), "--name", "m"], 0),
            (["--roots", str(folder / "roots.pem"), "--name", "m"], 1),
        ):
            assert (
                await loop.run_in_executor(None, main, ["tls", "check", backend.address, *options]) == code
            ), options
        await backend.stop()

    run(scene)
    assert "signed by the roots" in capsys.readouterr().out


@pytest.mark.parametrize(
    "lines, message",
    [("certificate = []", "at least one pair"), ('clients = "required"', "client_roots"),
     ('client_roots = ["roots.pem"]', "go with clients"), ('tenants = { "a" = "b" }', "goes with clients"),
     ('clients = "optional"\nclient_roots = ["roots.pem"]\ntenants = { "a" = "b" }', "no .*named 'b'")],
)  # fmt: skip
def test_inconsistent_tls_tables_are_refused(tmp_path: Path, lines: str, message: str) -> None:
    tls = TLS if not lines.startswith("certificate") else "[listener.tls]\n"
    path = tmp_path / "c.toml"
    path.write_text(
        configuration([], tls + lines + "\n") + '[[pool.member]]\nid = "m"\naddress = "127.0.0.1:9"\n'
    )
    with pytest.raises(ConfigError, match=message):
        load(path)
