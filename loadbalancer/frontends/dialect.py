"""Interface between client connections and dialects, which interpret request heads and choose destinations.

A dialect is a `Reader`; it opens no socket and keeps no state of a connection.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Iterable, NamedTuple, Protocol, Union

from loadbalancer.memory_account import BufferBudget
from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.streaming.uploads import Upload

if TYPE_CHECKING:  # imported only where idempotency keys are remembered
    from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms


#: Hop-by-hop headers, and headers that frame the body: they are not forwarded unchanged.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


#: Memory that each header field takes beside its name and value: its object, and its place in a list.
FIELD_COST_BYTES = 64


class RejectError(Exception):
    """The proxy answers the request itself with an error status; with HTTP it then closes the connection."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status, self.message = status, message


class Destination(Protocol):
    """Where a request goes, chosen from its head: the buffer budget that it uses, and the size limits of its body."""

    @property
    def budget(self) -> BufferBudget:
        """Return the budget that buffered bytes are charged to."""

    @property
    def body_most(self) -> int:
        """Return the size in bytes of the largest body that is buffered."""

    @property
    def upload_most(self) -> int:
        """Return the size in bytes of the largest body that is streamed; 0 if none is."""


class Head:
    """The head of a request, while it arrives and afterwards."""

    __slots__ = (
        "reader",
        "url",
        "lines",
        "inspected",
        "size",
        "field_count",
        "method",
        "is_http10",
        "close",
        "may_switch_protocol",
        "peer",
        "destination",
        "upload",
        "secure",
        "certificate_names",
    )

    def __init__(self, reader: Reader, peer: str) -> None:
        self.reader = reader
        self.url = b""
        self.lines: list[bytes] = []  # header lines to forward, each with its CRLF
        self.inspected: dict[bytes, bytes] = {}  # headers that the reader inspects, by lower-case name
        self.size = 0  # bytes of the target and of the names and values received so far
        self.field_count = 0  # header fields received so far
        self.method = b""
        self.is_http10 = False
        self.close = False  # the connection is closed after the answer
        # It offers another protocol, nothing of it follows its head, and its connection can carry other protocols.
        self.may_switch_protocol = False
        self.secure = False  # received over TLS
        self.certificate_names: tuple[str, ...] = ()  # subject names in the client's certificate
        self.peer = peer  # address of the other end of the connection
        self.destination: Destination | None = None
        self.upload: Upload | None = None  # the body, if it is streamed

    def held_bytes(self) -> int:
        """Return how many bytes of memory the head takes."""
        return self.size + FIELD_COST_BYTES * self.field_count

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header of the request.

        Raises:
            RejectError: The header is repeated and may not be.
        """
        reader, inspected, key = self.reader, self.inspected, name.lower()
        value = value.strip(b" \t")  # the parser keeps trailing whitespace (RFC 9112, 5.1)
        if key in reader.inspected:
            if key in inspected:
                if key in reader.not_repeatable:
                    raise RejectError(400, f"{key.decode()} twice")
                # One field on several lines is one list (RFC 9110, 5.3; RFC 6265, 5.4 for cookies).
                value = inspected[key] + (b"; " if key == b"cookie" else b", ") + value
            inspected[key] = value
        if key not in reader.not_passed:
            self.lines.append(b"%b: %b\r\n" % (name, value))


class IdempotencyTerms(NamedTuple):
    """An idempotency key as it is stored, with the digest that tells its request from another one with the same key."""

    ledger: IdempotencyLedger
    key: bytes
    digest: bytes
    terms: KeyTerms


class RoutedRequest(NamedTuple):
    """A well-formed request with its destination; its body is complete or streamed."""

    proxy: Proxy
    request: OpenRequest
    cls: int
    deadline: float  # monotonic
    tenant: int
    key: str | None
    cost_hint: float | None  # estimated cost, in seconds of a standard core
    retry: bool
    close: bool
    member: str | None = None  # member of its sticky session
    is_http10: bool = False  # the client speaks HTTP/1.0
    session_pinned: bool = False  # its session may not move to another member
    idempotency: IdempotencyTerms | None = None  # set if the ledger remembers its idempotency key

    def submit(self) -> None:
        """Pass the request to its pool, through the ledger if its idempotency key is remembered."""
        if self.idempotency is not None:
            ledger, key, digest, terms = self.idempotency
            ledger.handle(self.proxy, self.request, key, digest, terms, self.deadline, self._submit_to_pool)
        else:
            self._submit_to_pool(self.cls, max(0.0, self.deadline - time.monotonic()))

    def _submit_to_pool(self, cls: int, remaining_s: float) -> None:
        self.proxy.submit(
            self.request,
            cls,
            remaining_s,
            self.tenant,
            self.key,
            self.cost_hint,
            self.retry,
            self.member,
            self.session_pinned,
        )


class Reply(NamedTuple):
    """An answer that the proxy gives itself, without a pool."""

    status: int
    message: str
    close: bool


class Reader(Protocol):
    """A dialect. Its methods raise RejectError for a request that is not acceptable."""

    inspected: frozenset[bytes]  # headers that it inspects, in lower case
    not_repeatable: frozenset[bytes]  # of those, the ones that may not be repeated
    not_passed: frozenset[bytes]  # headers that are not forwarded unchanged
    draining: bool  # set by the listener during shutdown: new clients are not wanted
    adds_proxy_status: bool  # answers made by the proxy carry Proxy-Status

    def new_head(self, peer: str) -> Head:
        """Return the empty head of a new request; `peer` is the peer address of the connection."""

    def trusts(self, peer: str) -> bool:
        """Return whether the forwarding headers of this peer are trusted."""

    def find_destination(self, head: Head) -> Destination:
        """Choose the destination; called when the head is complete, before any of the body is buffered."""

    def read(self, head: Head, body: bytearray | None, client: Client) -> Union[RoutedRequest, Reply]:
        """Interpret the request; called when the body is complete, or when it turns out that it must be streamed."""

    def proxies(self) -> Iterable[Proxy]:
        """Return all pools that a request can reach."""
