"""The platform's dialect on the clients' side: ids, classes and deadlines by its headers (X-Txn and others).

No I/O but the clock. The headers' forms are those of the platform's protocol.
"""

from __future__ import annotations

import re
import time
from typing import Iterable

from loadbalancer.deployment import Deployment
from loadbalancer.frontends.dialect import (
    CONNECTION_HEADERS,
    Head,
    RejectError,
    Reply,
    RoutedRequest,
)
from loadbalancer.policy.settings import (
    Effect,
)
from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import MAX_HELD_BODY_BYTES, MAX_STREAMED_BODY_BYTES

REMAINING = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
UNITS = {b"m": 1e-3, b"u": 1e-6}
KEY = re.compile(rb"(?:^|;)\s*obj=([^;]*)")


def pass_on(head: Head, body: bytearray | None, framed: bool) -> bytes:
    """The request line and headers as they go on, without those that `Connection` names (RFC 9110, 7.6.1).

    `framed`: a length is stated, also one of 0."""
    lines, named, upload = head.lines, head.noted.get(b"connection", b"").lower(), head.upload
    if named not in (b"", b"keep-alive", b"close"):  # it names headers of this connection alone
        names = {name.strip() for name in named.split(b",")}
        lines = [line for line in lines if line.partition(b":")[0].lower() not in names]
    if upload is not None:
        stated = upload.length
        lines.append(
            b"Transfer-Encoding: chunked\r\n" if stated is None else b"Content-Length: %d\r\n" % stated
        )
    elif body or framed:
        lines.append(b"Content-Length: %d\r\n" % len(body or b""))
    return b"%b %b HTTP/1.1\r\n%b" % (head.method, head.url, b"".join(lines))


class PlatformReader:
    """One pool, and all that a request says of itself in the platform's headers."""

    #: Headers that are not passed on as they came: of this connection alone, or written anew.
    not_passed = CONNECTION_HEADERS | {b"x-remaining"}
    noted = frozenset(
        (
            b"connection",
            b"content-length",
            b"cookie",
            b"expect",
            b"host",
            b"idempotency-key",
            b"transfer-encoding",
            b"x-estimate",
            b"x-lane",
            b"x-org",
            b"x-remaining",
            b"x-resent",
            b"x-txn",
        )
    )
    single = noted - {b"cookie"}
    ignores_upgrade = False
    names_itself = False
    body_most = MAX_HELD_BODY_BYTES

    def __init__(self, proxy: Proxy, deployment: Deployment) -> None:
        self.proxy, self.deployment = proxy, deployment
        self.budget = proxy.budget
        self.upload_most = MAX_STREAMED_BODY_BYTES if proxy.takes_uploads else 0
        self.draining = False  # new clients are no longer wanted

    def proxies(self) -> Iterable[Proxy]:
        return (self.proxy,)

    def ready(self) -> bool:
        return not self.draining and bool(self.proxy.listed)

    def new_head(self, peer: str) -> Head:
        return Head(self, peer)

    def believes(self, peer: str) -> bool:
        return False

    def place(self, head: Head) -> PlatformReader:
        return self

    def read(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest | Reply:
        method, url, noted = head.method, head.url, head.noted
        if url == b"/ready" and method == b"GET":
            ready = self.ready()
            return Reply(200 if ready else 503, "ready" if ready else "not ready", head.close)
        if method not in (b"GET", b"POST"):
            raise RejectError(400, "the method is neither GET nor POST")
        if not url.startswith(b"/") or (b"host" not in noted and not head.old):
            raise RejectError(400, "no path or no host")
        return self.read_platform(head, body, client)

    def read_platform(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest:
        """The platform's headers, once the request line is known to be good."""
        noted, deployment = head.noted, self.deployment
        if not noted.get(b"x-txn"):
            raise RejectError(404, "no X-Txn")
        cls = deployment.classes.get(noted.get(b"x-lane", b"").decode("latin-1"))
        if cls is None:
            raise RejectError(400, "no or unknown X-Lane")
        effect, give_up = (
            deployment.settings.classes[cls].effect,
            deployment.settings.classes[cls].client_timeout,
        )
        if effect == Effect.KEYED and not noted.get(b"idempotency-key"):
            raise RejectError(400, "no Idempotency-Key")  # a repeat could not be told from another request
        if (head.method == b"GET") != (effect == Effect.SAFE):
            raise RejectError(400, "the method does not fit the class")
        tenant = deployment.tenants.get(noted.get(b"x-org", b"").decode("latin-1"), 0)
        left = _time_left(noted[b"x-remaining"], give_up) if b"x-remaining" in noted else give_up
        key = KEY.search(noted[b"cookie"]) if b"cookie" in noted else None
        estimate = noted.get(b"x-estimate", b"")
        sent = pass_on(head, body, head.method == b"POST")
        return RoutedRequest(
            self.proxy,
            OpenRequest(client, hash(noted[b"x-txn"]), sent, body),
            cls,
            time.monotonic() + left,
            tenant,
            key[1].decode("latin-1") if key else None,
            int(estimate) / 1e6 if estimate.isdigit() and len(estimate) <= 12 else None,
            noted.get(b"x-resent") == b"1",
            head.close,
            None,
            head.old,
        )


def _time_left(value: bytes, give_up: float) -> float:
    match = REMAINING.fullmatch(value.strip())
    if match is None:
        raise RejectError(400, "unreadable X-Remaining")
    return min(float(match[1]) * UNITS[match[2]], give_up)  # a wrong one may not hold a request for long
