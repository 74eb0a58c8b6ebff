"""Creates SSL contexts from checked certificates and trust roots. Only this file changes settings of the ssl module.

Keys are loaded from memory, so that the context uses the bytes that were checked even if the file has changed since.
"""

from __future__ import annotations

import os
import ssl
from contextlib import contextmanager
from typing import Any, Iterator, Sequence

from loadbalancer.tls.pairs import Pair

MINIMUM = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
ALPN = ["http/1.1"]


class TrustStore:
    """Holds trust roots and a list of revoked certificates, as the contents of PEM files."""

    __slots__ = ("roots", "revoked")

    def __init__(self, roots: Sequence[bytes] = (), revoked: bytes = b"") -> None:
        """Without `roots`, the system's trust roots are used."""
        self.roots, self.revoked = tuple(roots), revoked


@contextmanager
def as_file(data: bytes) -> Iterator[str]:
    """Yield the path of an in-memory file: OpenSSL reads keys and lists of revoked certificates only from files."""
    fd = os.memfd_create("pem", os.MFD_CLOEXEC)
    try:
        with os.fdopen(os.dup(fd), "wb") as file:
            file.write(data)
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


def _load_pair(context: ssl.SSLContext, pair: Pair) -> None:
    with as_file(pair.chain.rstrip() + b"\n" + pair.key) as path:
        context.load_cert_chain(path)


def _load_trust(context: ssl.SSLContext, trust: TrustStore) -> None:
    if not trust.roots:
        context.load_default_certs()
    for roots in trust.roots:
        with as_file(roots) as path:
            context.load_verify_locations(path)
    if trust.revoked:
        with as_file(trust.revoked) as path:
            context.load_verify_locations(path)
        context.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF


def server_context(pair: Pair, minimum: str, clients: str, trust: TrustStore | None) -> ssl.SSLContext:
    """Return the context of a listener's certificate.

    `clients`: whether clients present a certificate: none, optional or required. Raises ssl.SSLError if OpenSSL rejects
    a pair that has passed our checks.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = MINIMUM[minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION | ssl.OP_CIPHER_SERVER_PREFERENCE
    context.set_alpn_protocols(ALPN)
    _load_pair(context, pair)
    if clients != "none":
        assert trust is not None
        _load_trust(context, trust)
        context.verify_mode = ssl.CERT_REQUIRED if clients == "required" else ssl.CERT_OPTIONAL
    return context


class MemberContext(ssl.SSLContext):
    """Holds the context and the last TLS session of one member.

    The session is offered at the next handshake, which costs only a fraction if the member resumes it.
    """

    session: ssl.SSLSession | None = None

    def wrap_bio(self, *args: Any, **more: Any) -> ssl.SSLObject:
        if self.session is not None and not more.get("session"):
            more["session"] = self.session
        try:
            return super().wrap_bio(*args, **more)
        except ValueError:  # the session can no longer be used
            self.session = None
            more.pop("session", None)
            return super().wrap_bio(*args, **more)

    def save_session(self, ssl_object: Any) -> None:
        """Store the session of a connection that has been used, to offer it at the next handshake."""
        session = getattr(ssl_object, "session", None)
        if session is not None and session.has_ticket:
            self.session = session


def member_context(minimum: str, trust: TrustStore, pair: Pair | None) -> MemberContext:
    """Return a context for connections to one member, whose certificate must be for their `server_hostname`."""
    context = MemberContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = MINIMUM[minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(ALPN)
    _load_trust(context, trust)
    if pair is not None:
        _load_pair(context, pair)
    return context
