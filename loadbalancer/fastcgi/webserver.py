"""The web server's side of a connection (we ask an application): one request at a time. No I/O.

The outcome is read off a table: what has come of STDOUT when the request ends, and how it ends.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Iterable

from loadbalancer.fastcgi.records import (
    Decoder,
    ProtocolError,
    Record,
    Status,
    Type,
    encode,
    encode_opening,
    encode_pairs,
    encode_stream,
    read_end,
)  # fmt: skip

#: Of what an application writes to STDERR, so many bytes of each request are kept for the log.
STDERR_MOST = 2 << 10
#: Ids go round; one that has just ended is not used for the next request on a connection, so that a late record of
#: it can't pass for one of that.
IDS = 1 << 15


class End(Enum):
    """How a request ended, as the records tell it."""

    ANSWERED = auto()  # REQUEST_COMPLETE, and something on STDOUT
    SILENT = auto()  # REQUEST_COMPLETE, and nothing on STDOUT: it may have run
    NEVER_RAN = auto()  # OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, and nothing on STDOUT
    BROKEN = auto()  # what the protocol does not allow


def encode_request(
    request: int, params: Iterable[tuple[bytes, bytes]], body: bytes, keep: bool, fixed: bytes = b""
) -> tuple[bytes, int]:
    """A whole request, and how many bytes of it must have left before the application can have begun. `fixed`: params
    that have been encoded before.

    An application begins on its params: libfcgi hands a request over when their stream has ended, before STDIN. So
    what proves that it never ran is that the empty PARAMS record had not left, not that STDIN had not."""
    head = encode_opening(request, keep, fixed + encode_pairs(params))
    return head + encode_stream(Type.STDIN, request, body) + encode(Type.STDIN, request), len(head)


class Exchange:
    """One request and what has come of its answer."""

    __slots__ = ("number", "stdout", "stderr", "status", "end", "taken")

    def __init__(self, number: int) -> None:
        self.number = number
        self.stdout, self.stderr = bytearray(), bytearray()
        self.taken = False  # some of STDOUT has been taken away
        self.status = 0  # the application's own, of END_REQUEST
        self.end: End | None = None

    def draw(self) -> bytes:
        """What has come on STDOUT since the last call; it is held here no longer."""
        self.taken = self.taken or bool(self.stdout)
        data = bytes(self.stdout)
        self.stdout.clear()
        return data

    def take(self, record: Record) -> End | None:
        """How the request ended, if this record of it ends it; ProtocolError for one that may not come."""
        if record.type == Type.STDOUT:
            self.stdout += record.content
        elif record.type == Type.STDERR:
            self.stderr += record.content[: max(0, STDERR_MOST - len(self.stderr))]
        elif record.type == Type.END_REQUEST:
            self.status, status = read_end(record.content)
            self.end = self._ended(status)
        else:
            raise ProtocolError(f"a record of type {record.type} from an application")
        return self.end

    def _ended(self, status: int) -> End:
        if status == Status.REQUEST_COMPLETE:
            return End.ANSWERED if self.stdout or self.taken else End.SILENT
        if status in (Status.OVERLOADED, Status.CANT_MPX_CONN, Status.UNKNOWN_ROLE) and not (
            self.stdout or self.taken
        ):
            return End.NEVER_RAN
        return End.BROKEN


class WebServerSide:
    """What a connection to an application says, on which one request is out at a time."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self.exchange = Exchange(0)
        self.stray = False  # something came that belongs to no open request: the connection is not kept

    @property
    def stdout(self) -> bytearray:
        return self.exchange.stdout

    @property
    def stderr(self) -> bytearray:
        return self.exchange.stderr

    @property
    def status(self) -> int:
        return self.exchange.status

    def begin(self) -> int:
        """The id of the next request."""
        self.exchange = Exchange(self.exchange.number % IDS + 1)
        return self.exchange.number

    def feed(self, data: bytes) -> End | None:
        """How the request ended, if these bytes end it."""
        exchange = self.exchange
        try:
            for record in self._decoder.feed(data):
                self._record(record)
        except ProtocolError:
            self.stray = True
            if exchange.end is None:
                exchange.end = End.BROKEN
        if self._decoder.held and exchange.end is not None:
            self.stray = True
        return exchange.end

    def _record(self, record: Record) -> None:
        if record.request == 0:
            if record.type not in (Type.GET_VALUES_RESULT, Type.UNKNOWN_TYPE):
                raise ProtocolError(f"a record of type {record.type} with request id 0")
        elif record.request != self.exchange.number or self.exchange.end is not None:
            self.stray = True
        else:
            self.exchange.take(record)
