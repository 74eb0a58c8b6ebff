"""OpenSSL's contexts for pairs and roots that have been checked. The only file that touches the ssl module's settings.

Keys are handed over from memory: what was checked is what serves, whatever has become of the file meanwhile.
"""

from __future__ import annotations

import os
import ssl
from contextlib import contextmanager
from typing import Any, Iterator, Sequence

from loadbalancer.tls.pairs import Pair

MINIMUM = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
ALPN = ["http/1.1"]


class Trust:
    """Roots, and who is no longer trusted, as bytes of PEM files."""

    __slots__ = ("roots", "revoked")

    def __init__(self, roots: Sequence[bytes] = (), revoked: bytes = b"") -> None:
        """Without `roots`, those of the system."""
        self.roots, self.revoked = tuple(roots), revoked


@contextmanager
def as_file(data: bytes) -> Iterator[str]:
    """The path of a file in memory: OpenSSL reads keys and lists of revoked certificates from files alone."""
    fd = os.memfd_create("pem", os.MFD_CLOEXEC)
    try:
        with os.fdopen(os.dup(fd), "wb") as file:
            file.write(data)
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)


def _load(context: ssl.SSLContext, pair: Pair) -> None:
    with as_file(pair.chain.rstrip() + b"\n" + pair.key) as path:
        context.load_cert_chain(path)


def _trust(context: ssl.SSLContext, trust: Trust) -> None:
    if not trust.roots:
        context.load_default_certs()
    for roots in trust.roots:
        with as_file(roots) as path:
            context.load_verify_locations(path)
    if trust.revoked:
        with as_file(trust.revoked) as path:
            context.load_verify_locations(path)
        context.verify_flags |= ssl.VerifyFlags.VERIFY_CRL_CHECK_LEAF


def server_context(pair: Pair, minimum: str, clients: str, trust: Trust | None) -> ssl.SSLContext:
    """`clients`: none, optional or required. ssl.SSLError where OpenSSL does not take what has passed our checks."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = MINIMUM[minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION | ssl.OP_CIPHER_SERVER_PREFERENCE
    context.set_alpn_protocols(ALPN)
    _load(context, pair)
    if clients != "none":
        assert trust is not None
        _trust(context, trust)
        context.verify_mode = ssl.CERT_REQUIRED if clients == "required" else ssl.CERT_OPTIONAL
    return context


class MemberContext(ssl.SSLContext):
    """Of one member. Its last session is offered at the next handshake, which then costs a fraction."""

    session: ssl.SSLSession | None = None

    def wrap_bio(self, *args: Any, **more: Any) -> ssl.SSLObject:
        if self.session is not None and not more.get("session"):
            more["session"] = self.session
        try:
            return super().wrap_bio(*args, **more)
        except ValueError:  # a session that does not fit any more
            self.session = None
            more.pop("session", None)
            return super().wrap_bio(*args, **more)

    def note(self, ssl_object: Any) -> None:
        """A connection has been used: its session may be offered again."""
        session = getattr(ssl_object, "session", None)
        if session is not None and session.has_ticket:
            self.session = session


def member_context(minimum: str, trust: Trust, pair: Pair | None) -> MemberContext:
    """For connections to one member; the name is checked against what `server_hostname` says."""
    context = MemberContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = MINIMUM[minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(ALPN)
    _trust(context, trust)
    if pair is not None:
        _load(context, pair)
    return context
