"""The web server's side of a connection to an application: one request at a time. No I/O.

How a request ended follows from its protocol status and from whether STDOUT has any bytes; see `End`.
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

#: Bytes of STDERR that are kept for the log, for each request.
MAX_STDERR_BYTES = 2 << 10
#: Number of request ids, which are used in rotation. The next request on a connection gets another id than the previous
#: one, so that a late record of that can't be taken for one of the new request.
REQUEST_ID_COUNT = 1 << 15


class End(Enum):
    """How a request ended, according to its records."""

    ANSWERED = auto()  # REQUEST_COMPLETE, and something on STDOUT
    SILENT = auto()  # REQUEST_COMPLETE, and nothing on STDOUT: it may have run
    NEVER_RAN = auto()  # OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, and nothing on STDOUT
    BROKEN = auto()  # a protocol violation


def encode_request(
    request: int, params: Iterable[tuple[bytes, bytes]], body: bytes, keep: bool, fixed: bytes = b""
) -> tuple[bytes, int]:
    """Return a request's records, and how many of their bytes must be sent before the application can have begun.

    `fixed`: params that are encoded already.

    An application may begin after the params: libfcgi returns a request when the PARAMS stream has ended, before STDIN.
    So only a request whose empty PARAMS record was not sent is proven not to have run, whatever was sent of STDIN."""
    head = encode_opening(request, keep, fixed + encode_pairs(params))
    return head + encode_stream(Type.STDIN, request, body) + encode(Type.STDIN, request), len(head)


class Exchange:
    """One request, and what has been received of its answer."""

    __slots__ = ("number", "stdout", "stderr", "status", "end", "stdout_was_read")

    def __init__(self, number: int) -> None:
        self.number = number
        self.stdout, self.stderr = bytearray(), bytearray()
        self.stdout_was_read = False  # some bytes of STDOUT were removed by `read_stdout`
        self.status = 0  # application status of END_REQUEST
        self.end: End | None = None

    def read_stdout(self) -> bytes:
        """Remove and return the bytes of STDOUT received since the last call."""
        self.stdout_was_read = self.stdout_was_read or bool(self.stdout)
        data = bytes(self.stdout)
        self.stdout.clear()
        return data

    def handle_record(self, record: Record) -> End | None:
        """Process a record of this request; return how the request ended, or None if it has not.

        Raises ProtocolError for a record that an application must not send."""
        if record.type == Type.STDOUT:
            self.stdout += record.content
        elif record.type == Type.STDERR:
            self.stderr += record.content[: max(0, MAX_STDERR_BYTES - len(self.stderr))]
        elif record.type == Type.END_REQUEST:
            self.status, status = read_end(record.content)
            self.end = self._classify_end(status)
        else:
            raise ProtocolError(f"record type {record.type} is not allowed from an application")
        return self.end

    def _classify_end(self, status: int) -> End:
        if status == Status.REQUEST_COMPLETE:
            return End.ANSWERED if self.stdout or self.stdout_was_read else End.SILENT
        if status in (Status.OVERLOADED, Status.CANT_MPX_CONN, Status.UNKNOWN_ROLE) and not (
            self.stdout or self.stdout_was_read
        ):
            return End.NEVER_RAN
        return End.BROKEN


class WebServerSide:
    """The protocol state of a connection to an application that has one request in flight at a time."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self.exchange = Exchange(0)
        # A record that belongs to no open request was received: the connection is not kept.
        self.has_stray_records = False

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
        """Begin the next request, and return its id."""
        self.exchange = Exchange(self.exchange.number % REQUEST_ID_COUNT + 1)
        return self.exchange.number

    def feed(self, data: bytes) -> End | None:
        """Process received bytes; return how the request ended, or None if it has not."""
        exchange = self.exchange
        try:
            for record in self._decoder.feed(data):
                self._handle_record(record)
        except ProtocolError:
            self.has_stray_records = True
            if exchange.end is None:
                exchange.end = End.BROKEN
        if self._decoder.held and exchange.end is not None:
            self.has_stray_records = True
        return exchange.end

    def _handle_record(self, record: Record) -> None:
        if record.request == 0:
            if record.type not in (Type.GET_VALUES_RESULT, Type.UNKNOWN_TYPE):
                raise ProtocolError(f"record type {record.type} is not allowed with request id 0")
        elif record.request != self.exchange.number or self.exchange.end is not None:
            self.has_stray_records = True
        else:
            self.exchange.handle_record(record)
