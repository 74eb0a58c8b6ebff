"""The platform's dialect for clients: ids, classes and deadlines are given in headers (X-Txn and others).

No I/O except reading the clock. The platform's protocol defines the formats of the headers.
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
from loadbalancer.http_grammar import is_host, is_origin_form
from loadbalancer.policy.settings import (
    Effect,
)
from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.proxy.transaction_ids import transaction_number
from loadbalancer.resource_limits import MAX_HELD_BODY_BYTES, MAX_STREAMED_BODY_BYTES

REMAINING = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
READY_PATH = b"/ready"
UNITS = {b"m": 1e-3, b"u": 1e-6}
OBJECT_KEY = re.compile(rb"(?:^|;)\s*obj=([^;]*)")


def encode_forwarded_head(head: Head, body: bytearray | None, states_length: bool) -> bytes:
    """Return the request line and headers to forward, without those that `Connection` names (RFC 9110, 7.6.1).

    Args:
        head: The head of the request.
        body: The body, if it is buffered.
        states_length: Whether to state a length even if it is 0.
    """
    lines, connection_header, upload = head.lines, head.inspected.get(b"connection", b"").lower(), head.upload
    if connection_header not in (b"", b"keep-alive", b"close"):  # it names hop-by-hop headers
        names = {name.strip() for name in connection_header.split(b",")}
        lines = [line for line in lines if line.partition(b":")[0].lower() not in names]
    if upload is not None:
        length = upload.length
        lines.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        )
    elif body or states_length:
        lines.append(b"Content-Length: %d\r\n" % len(body or b""))
    return b"%b %b HTTP/1.1\r\n%b" % (head.method, head.url, b"".join(lines))


class PlatformReader:
    """Reads the platform's headers of requests, which all go to one pool."""

    #: Headers that are not forwarded unchanged: hop-by-hop headers, and those that are rewritten.
    not_passed = CONNECTION_HEADERS | {b"x-remaining"}
    inspected = frozenset(
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
    not_repeatable = inspected - {b"cookie"}
    adds_proxy_status = False
    body_most = MAX_HELD_BODY_BYTES

    def __init__(self, proxy: Proxy, deployment: Deployment) -> None:
        self.proxy, self.deployment = proxy, deployment
        self.budget = proxy.budget
        self.upload_most = MAX_STREAMED_BODY_BYTES if proxy.takes_uploads else 0
        self.draining = False  # set during shutdown: new clients are not wanted

    def proxies(self) -> Iterable[Proxy]:
        """Return the one pool."""
        return (self.proxy,)

    def ready(self) -> bool:
        """Return whether new clients are wanted and an endpoint is listed."""
        return not self.draining and bool(self.proxy.listed)

    def new_head(self, peer: str) -> Head:
        """Return the empty head of a new request."""
        return Head(self, peer)

    def trusts(self, peer: str) -> bool:  # noqa: ARG002
        """Return False: the platform has no forwarding headers."""
        return False

    def find_destination(self, head: Head) -> PlatformReader:
        """Return this reader: all requests go to its pool.

        Raises:
            RejectError: The target or the host is invalid.
        """
        if head.url == READY_PATH:
            return self
        host = head.inspected.get(b"host")
        if host is None and not head.is_http10:
            raise RejectError(400, "no Host")
        if host is not None and not is_host(host):
            raise RejectError(400, "the host is no name or address with a port")
        if not is_origin_form(head.url):
            raise RejectError(400, "the target is no path with a query")
        return self

    def read(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest | Reply:
        """Interpret the request, or answer a call for readiness."""
        method, url = head.method, head.url
        if url == READY_PATH and method == b"GET":
            ready = self.ready()
            return Reply(200 if ready else 503, "ready" if ready else "not ready", head.close)
        if method not in (b"GET", b"POST"):
            raise RejectError(400, "the method is neither GET nor POST")
        return self.read_platform(head, body, client)

    def read_platform(self, head: Head, body: bytearray | None, client: Client) -> RoutedRequest:
        """Interpret the platform's headers, after the request line has been checked."""
        inspected, deployment = head.inspected, self.deployment
        if not inspected.get(b"x-txn"):
            raise RejectError(404, "no X-Txn")
        cls = deployment.classes.get(inspected.get(b"x-lane", b"").decode("latin-1"))
        if cls is None:
            raise RejectError(400, "no or unknown X-Lane")
        effect, client_timeout_s = (
            deployment.settings.classes[cls].effect,
            deployment.settings.classes[cls].client_timeout,
        )
        if effect == Effect.KEYED and not inspected.get(b"idempotency-key"):
            # Without a key a repeat cannot be told from another request.
            raise RejectError(400, "no Idempotency-Key")
        if (head.method == b"GET") != (effect == Effect.SAFE):
            raise RejectError(400, "the method does not fit the class")
        tenant = deployment.tenants.get(inspected.get(b"x-org", b"").decode("latin-1"), 0)
        remaining_s = (
            _parse_remaining(inspected[b"x-remaining"], client_timeout_s)
            if b"x-remaining" in inspected
            else client_timeout_s
        )
        key = OBJECT_KEY.search(inspected[b"cookie"]) if b"cookie" in inspected else None
        estimate = inspected.get(b"x-estimate", b"")
        forwarded_head = encode_forwarded_head(head, body, head.method == b"POST")
        # Only what must not run twice is known to other processes; the other number is cheaper.
        number = hash if effect == Effect.SAFE else transaction_number
        transaction = number(inspected[b"x-txn"])
        return RoutedRequest(
            self.proxy,
            OpenRequest(client, transaction, forwarded_head, body),
            cls,
            time.monotonic() + remaining_s,
            tenant,
            key[1].decode("latin-1") if key else None,
            int(estimate) / 1e6 if estimate.isdigit() and len(estimate) <= 12 else None,
            inspected.get(b"x-resent") == b"1",
            head.close,
            None,
            head.is_http10,
        )


def _parse_remaining(value: bytes, client_timeout_s: float) -> float:
    match = REMAINING.fullmatch(value.strip())
    if match is None:
        raise RejectError(400, "unreadable X-Remaining")
    # A wrong value must not hold a request for long.
    return min(float(match[1]) * UNITS[match[2]], client_timeout_s)
