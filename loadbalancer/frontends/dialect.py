"""What a front asks of a dialect: how a request's head is read, and where the request goes.

Types and Protocols alone. A dialect is a `Reader`; it opens no socket and keeps nothing of a connection.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Iterable, NamedTuple, Protocol, Union

from loadbalancer.proxy.open_requests import Client, OpenRequest
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.resource_limits import BufferBudget
from loadbalancer.streaming.uploads import Upload

if TYPE_CHECKING:  # loaded where keys are remembered
    from loadbalancer.proxy.idempotent_requests import IdempotencyLedger, KeyTerms


#: Headers that speak of one connection alone, or of how a body is framed on it: they are not passed on as they came.
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


class RejectError(Exception):
    """A request that is answered by the front, and after which its connection is closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Destination(Protocol):
    """Where a request goes, as far as its head tells: whose budget is charged, and the largest body."""

    @property
    def budget(self) -> BufferBudget: ...
    @property
    def body_most(self) -> int: ...  # bytes
    @property
    def upload_most(self) -> int: ...  # and the largest that is sent on as it comes; 0: none is


class Head:
    """A request's head while it comes, and once it is whole."""

    __slots__ = (
        "reader",
        "url",
        "lines",
        "noted",
        "size",
        "method",
        "old",
        "close",
        "peer",
        "destination",
        "upload",
        "secure",
        "names",
    )

    def __init__(self, reader: Reader, peer: str) -> None:
        self.reader = reader
        self.url = b""
        self.lines: list[bytes] = []  # header lines to pass on, each with its end
        self.noted: dict[bytes, bytes] = {}  # those that the reader asked for, names in lower case
        self.size = 0  # bytes so far
        self.method = b""
        self.old = False  # HTTP/1.0
        self.close = False  # the client keeps its connection no further
        self.secure = False  # it came over TLS
        self.names: tuple[str, ...] = ()  # in the client's certificate
        self.peer = peer  # address of the other end of the connection
        self.destination: Destination | None = None
        self.upload: Upload | None = None  # its body, where that is sent on as it comes

    def add(self, name: bytes, value: bytes) -> None:
        """A header as it comes; RejectError for one that may not come twice."""
        reader, noted, key = self.reader, self.noted, name.lower()
        value = value.strip(b" \t")  # the parser leaves what stands behind it (RFC 9112, 5.1)
        if key in reader.noted:
            if key in noted:
                if key in reader.single:
                    raise RejectError(400, f"{key.decode()} twice")
                # One field on several lines is one list (RFC 9110, 5.3; RFC 6265, 5.4 for cookies).
                value = noted[key] + (b"; " if key == b"cookie" else b", ") + value
            noted[key] = value
        if key not in reader.not_passed:
            self.lines.append(b"%b: %b\r\n" % (name, value))


class IdempotencyTerms(NamedTuple):
    """A key that the ledger remembers, as the store has it, and what tells its request from another."""

    ledger: IdempotencyLedger
    key: bytes
    digest: bytes
    terms: KeyTerms


class RoutedRequest(NamedTuple):
    """A request that is whole and well formed."""

    proxy: Proxy
    request: OpenRequest
    cls: int
    deadline: float  # monotonic
    tenant: int
    key: str | None
    hint: float | None  # seconds of a standard core
    retry: bool
    close: bool
    member: str | None = None  # where it should go, by a sticky session
    old: bool = False  # it came in HTTP/1.0
    bound: bool = False  # its session may not move
    remembered: IdempotencyTerms | None = None  # its key is, by the ledger

    def begin(self) -> None:
        """Hand it to its pool, by way of the ledger where its key is remembered."""
        if self.remembered is not None:
            ledger, key, digest, terms = self.remembered
            ledger.handle(self.proxy, self.request, key, digest, terms, self.deadline, self._take)
        else:
            self._take(self.cls, max(0.0, self.deadline - time.monotonic()))

    def _take(self, cls: int, left: float) -> None:
        self.proxy.submit(
            self.request, cls, left, self.tenant, self.key, self.hint, self.retry, self.member, self.bound
        )


class Reply(NamedTuple):
    """What is answered without the module."""

    status: int
    why: str
    close: bool


class Reader(Protocol):
    """A dialect. Its methods raise RejectError where the request is no good."""

    noted: frozenset[bytes]  # headers it wants to see, in lower case
    single: frozenset[bytes]  # of those, the ones that may not come twice
    not_passed: frozenset[bytes]  # headers that do not go on as they came
    draining: bool  # set by the listener: new clients are no longer wanted
    names_itself: bool  # its own answers say so, in Proxy-Status
    ignores_upgrade: bool  # an upgrade asked for is not taken up, and the request served (RFC 9110, 7.8)

    def new_head(self, peer: str) -> Head:
        """For a request that begins to come; `peer` is the address of the connection's other end."""

    def believes(self, peer: str) -> bool:
        """Whether what this peer says of the way before it is believed."""

    def place(self, head: Head) -> Destination:
        """Called when the head is whole, before any of the body is kept."""

    def read(self, head: Head, body: bytearray | None, client: Client) -> Union[RoutedRequest, Reply]:
        """Called when the body is whole, or when it turns out to be one that is sent on as it comes."""

    def proxies(self) -> Iterable[Proxy]:
        """All pools that a request can reach."""
