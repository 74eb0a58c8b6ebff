"""The application's side of a connection: turns received records into events and records to send back. No I/O.

Each request id has a state: none (inactive), PARAMS, STDIN, WHOLE (received completely, the answer is due) or ABORTED
(by the web server).

| record | none, ABORTED | PARAMS | STDIN | WHOLE |
| --- | --- | --- | --- | --- |
| BEGIN_REQUEST | none: PARAMS; ABORTED: error | error | error | error |
| PARAMS; an empty one | ignored | collected; STDIN | error | error |
| STDIN; an empty one | ignored | error | BodyData; WHOLE | error |
| ABORT_REQUEST | ignored | ABORTED | ABORTED | ABORTED |
| others | ignored | ignored | ignored | ignored |

`error`: a violation of the specification. Nothing after it is read, but requests that were received completely still
get their answers. `ignored`: the record has no effect, and is counted.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple, Union

from loadbalancer.fastcgi.records import (
    Decoder,
    ProtocolError,
    Record,
    Role,
    Status,
    Type,
    encode,
    encode_end,
    encode_pairs,
    read_begin,
    read_pairs,
)  # fmt: skip

#: Maximum of bytes and of pairs of a request's params: the limits for an HTTP head, plus what a web server adds.
MAX_PARAMS_BYTES = 32 << 10
MAX_PAIRS = 256
#: Maximum of records without effect, such as those for ids that are not open; above it reading from the peer stops. The
#: specification requires to ignore them (section 3.3), but a peer that sends nothing else would waste CPU time.
MAX_IGNORED_RECORDS = 1000


class State(Enum):
    PARAMS = auto()
    STDIN = auto()
    WHOLE = auto()
    ABORTED = auto()


class ParamsReceived(NamedTuple):
    """The params of a request are complete; its body follows."""

    request: int
    params: dict[bytes, bytes]


class BodyData(NamedTuple):
    """Bytes of a request's body."""

    request: int
    data: bytes


class BodyReceived(NamedTuple):
    """The body of a request is complete."""

    request: int


class Aborted(NamedTuple):
    """The web server aborted a request; it must still get an END_REQUEST (section 5.4)."""

    request: int


class Refused(NamedTuple):
    """A request that was refused, with its protocol status; it was never begun."""

    request: int
    status: Status


Event = Union[ParamsReceived, BodyData, BodyReceived, Aborted, Refused]


class _OpenRequest:
    __slots__ = ("state", "keep_connection", "params")

    def __init__(self, keep_connection: bool) -> None:
        self.state = State.PARAMS
        self.keep_connection = keep_connection
        self.params = bytearray()


class ApplicationSide:
    """The protocol state of one connection from a web server."""

    def __init__(self, max_requests: int) -> None:
        """Create the state of a new connection. `max_requests`: open requests; more are refused as OVERLOADED."""
        self.max_requests = max_requests
        self.open: dict[int, _OpenRequest] = {}
        self.output = bytearray()  # to send; the owner removes what it sends
        self.protocol_violation = ""  # the protocol violation after which nothing is read, if any
        self.closing = False  # a request without KEEP_CONN has ended: close when no request is open
        self._decoder = Decoder()
        self._ignored_records = 0
        self._events: list[Event] = []  # events of the current call of feed

    def feed(self, data: bytes) -> list[Event]:
        """Return the events of received bytes. Protocol violations don't raise, but set `protocol_violation`."""
        self._events = []
        if not self.protocol_violation:
            try:
                for record in self._decoder.feed(data):
                    self._handle_record(record)
            except ProtocolError as problem:
                self.protocol_violation = str(problem)
        return self._events

    def _handle_record(self, record: Record) -> None:
        kind, request, _ = record
        if request == 0:
            self._handle_management(record)
            return
        if kind == Type.BEGIN_REQUEST:
            self._handle_begin(record)
            return
        entry = self.open.get(request)
        if entry is None or entry.state is State.ABORTED:
            self._count_ignored()
        elif kind == Type.PARAMS:
            self._handle_params(record, entry)
        elif kind == Type.STDIN:
            self._handle_stdin(record, entry)
        elif kind == Type.ABORT_REQUEST:
            entry.state = State.ABORTED
            self._events.append(Aborted(request))
        else:  # DATA is for filters, the others are sent by applications, or unknown
            self._count_ignored()

    def _count_ignored(self) -> None:
        self._ignored_records += 1
        if self._ignored_records > MAX_IGNORED_RECORDS:
            raise ProtocolError(f"more than {MAX_IGNORED_RECORDS} records without effect")

    def _handle_management(self, record: Record) -> None:
        """Answer a management record (section 4)."""
        self._count_ignored()
        if record.type == Type.GET_VALUES:
            known = {
                b"FCGI_MAX_CONNS": b"1024",
                b"FCGI_MAX_REQS": b"%d" % self.max_requests,
                b"FCGI_MPXS_CONNS": b"1" if self.max_requests > 1 else b"0",
            }
            asked = {name for name, _ in read_pairs(record.content, MAX_PAIRS)}
            pairs = [(name, value) for name, value in known.items() if name in asked]
            self.output += encode(Type.GET_VALUES_RESULT, 0, encode_pairs(pairs))
        elif record.type > Type.UNKNOWN_TYPE or record.type == 0:
            self.output += encode(Type.UNKNOWN_TYPE, 0, bytes((record.type,)) + bytes(7))
        else:
            raise ProtocolError(f"record type {record.type} is not allowed with request id 0")

    def _handle_begin(self, record: Record) -> None:
        if record.request in self.open:
            raise ProtocolError(f"BEGIN_REQUEST for request {record.request}, which is open")
        role, keep_connection = read_begin(record.content)
        status = Status.REQUEST_COMPLETE
        if role != Role.RESPONDER:
            status = Status.UNKNOWN_ROLE
        elif len(self.open) >= self.max_requests:
            status = Status.OVERLOADED
        if status == Status.REQUEST_COMPLETE:
            self.open[record.request] = _OpenRequest(keep_connection)
            return
        self._count_ignored()
        self.output += encode_end(record.request, status)
        self.closing = self.closing or not keep_connection
        self._events.append(Refused(record.request, status))

    def _handle_params(self, record: Record, entry: _OpenRequest) -> None:
        if entry.state is not State.PARAMS:
            raise ProtocolError("PARAMS after the end of the params")
        entry.params += record.content
        if len(entry.params) > MAX_PARAMS_BYTES:
            raise ProtocolError(f"params of more than {MAX_PARAMS_BYTES} bytes")
        if not record.content:
            pairs = read_pairs(bytes(entry.params), MAX_PAIRS)
            entry.params.clear()
            entry.state = State.STDIN
            self._events.append(ParamsReceived(record.request, dict(pairs)))

    def _handle_stdin(self, record: Record, entry: _OpenRequest) -> None:
        if entry.state is not State.STDIN:
            raise ProtocolError("STDIN before the end of the params, or after its own end")
        if record.content:
            self._events.append(BodyData(record.request, record.content))
        else:
            entry.state = State.WHOLE
            self._ignored_records = 0
            self._events.append(BodyReceived(record.request))

    def is_within_record(self) -> bool:
        """Return whether the last received record is incomplete."""
        return self._decoder.held > 0

    def held_bytes(self) -> int:
        """Return how many bytes of records and params are buffered."""
        return self._decoder.held + sum(len(entry.params) for entry in self.open.values())

    # Answers.

    def end(self, request: int, status: int = Status.REQUEST_COMPLETE, application: int = 0) -> bytes:
        """Close an open request, whose id is then free, and return its END_REQUEST. `application`: the exit status."""
        entry = self.open.pop(request)
        self.closing = self.closing or not entry.keep_connection
        return encode_end(request, status, application)
