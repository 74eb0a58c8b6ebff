"""Certificates for tests: one authority for the whole run, and helpers that write and load pairs."""

from __future__ import annotations

import ssl
import tempfile
from functools import cache
from pathlib import Path

from loadbalancer.config.types import ListenerTlsTable, PairTable, PoolTlsTable
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.tls.demo import Authority, Issued, write_pair, write_private
from loadbalancer.tls.keeper import MemberKeys, ServerKeys

HOST = "shop.test"


@cache
def authority() -> Authority:
    return Authority()


@cache
def untrusted_authority() -> Authority:
    """Return an authority that no side trusts."""
    return Authority("somebody else")


@cache
def folder() -> Path:
    """Return a folder with the roots and a valid pair for HOST and all member names of the suite."""
    path = Path(tempfile.mkdtemp(prefix="certs-"))
    write_pair(path, "good", authority().issue(HOST, "127.0.0.1", "member.test"))
    write_private(path / "roots.pem", authority().pem)
    return path


def server_table() -> ListenerTlsTable:
    return ListenerTlsTable(
        certificate=[PairTable(chain="good.pem", key="good.key")],
        handshakes_per_s=1e6,
        handshakes_per_address=1000,
    )


def server_keys() -> ServerKeys:
    return ServerKeys(server_table(), folder(), [], RateLimitedLogger(), "main")


def member_keys() -> MemberKeys:
    return MemberKeys(
        PoolTlsTable(roots=["roots.pem"], name="member.test"), folder(), RateLimitedLogger(), "p"
    )


def server_side(issued: Issued | None = None, roots: bytes | None = None) -> ssl.SSLContext:
    """Return the context of a member or another server. With `roots`, clients must present a certificate too."""
    from loadbalancer.tls.contexts import as_file

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    issued = issued or authority().issue("member.test")
    with as_file(issued.chain + issued.key) as path:
        context.load_cert_chain(path)
    if roots is not None:
        context.load_verify_locations(cadata=roots.decode())
        context.verify_mode = ssl.CERT_REQUIRED
    return context


@cache
def member_side() -> ssl.SSLContext:
    return server_side()


@cache
def client_side() -> ssl.SSLContext:
    """Return a client's context that trusts the authority."""
    context = ssl.create_default_context(cadata=authority().pem.decode())
    return context
