"""The application's side of a connection (we are asked): records in, events out, records to send back. No I/O.

Theory of operation. Each request id has a state: none (inactive), PARAMS, STDIN, WHOLE (all has come, the answer is
owed) or LOST (given up by the web server).

| record | none, LOST | PARAMS | STDIN | WHOLE |
| --- | --- | --- | --- | --- |
| BEGIN_REQUEST | none: PARAMS; LOST: confused | confused | confused | confused |
| PARAMS, empty one | idle | gathered, STDIN | confused | confused |
| STDIN, empty one | idle | confused | Data, WHOLE | confused |
| ABORT_REQUEST | idle | LOST | LOST | LOST |
| others | idle | idle | idle | idle |

`confused`: what no rule of the specification allows ends the reading; nothing after it is read, and requests that are
whole still get their answers. `idle`: ignored, and counted.
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

#: Bytes of a request's params at most, and how many pairs: as much as HTTP allows for a head, and what a web server
#: adds of its own.
PARAMS_MOST = 32 << 10
PAIRS_MOST = 256
#: Records for ids that are not open, and other records that do nothing, before the peer is given up. The
#: specification has them ignored (section 3.3); a peer that sends nothing else keeps us busy for nothing.
IDLE_RECORDS_MOST = 1000


class State(Enum):
    PARAMS = auto()
    STDIN = auto()
    WHOLE = auto()
    LOST = auto()


class Begun(NamedTuple):
    """A request's params are whole; its body follows."""

    request: int
    params: dict[bytes, bytes]


class Data(NamedTuple):
    request: int
    data: bytes


class Ended(NamedTuple):
    """The request's body is whole."""

    request: int


class Aborted(NamedTuple):
    """The web server no longer wants an answer, and is owed an END_REQUEST (section 5.4)."""

    request: int


class Refused(NamedTuple):
    """A request that was ended here, with its protocol status; it was never begun."""

    request: int
    status: Status


Event = Union[Begun, Data, Ended, Aborted, Refused]


class _Open:
    __slots__ = ("state", "keep", "params")

    def __init__(self, keep: bool) -> None:
        self.state = State.PARAMS
        self.keep = keep
        self.params = bytearray()


class ApplicationSide:
    """One connection of a web server."""

    def __init__(self, requests_most: int) -> None:
        """`requests_most`: requests open at once; more are ended as OVERLOADED."""
        self.requests_most = requests_most
        self.open: dict[int, _Open] = {}
        self.output = bytearray()  # to send; the owner takes it
        self.confused = ""  # why nothing more is read
        self.closing = False  # a request without KEEP_CONN has ended: close once nothing is open
        self._decoder = Decoder()
        self._idle_records = 0
        self._events: list[Event] = []  # of the bytes being read

    def feed(self, data: bytes) -> list[Event]:
        """What these bytes mean. Never raises for what a peer sent: see `confused`."""
        self._events = []
        if not self.confused:
            try:
                for record in self._decoder.feed(data):
                    self._record(record)
            except ProtocolError as problem:
                self.confused = str(problem)
        return self._events

    def _record(self, record: Record) -> None:
        kind, request, _ = record
        if request == 0:
            self._manage(record)
            return
        if kind == Type.BEGIN_REQUEST:
            self._begin(record)
            return
        entry = self.open.get(request)
        if entry is None or entry.state is State.LOST:
            self._idle()
        elif kind == Type.PARAMS:
            self._params(record, entry)
        elif kind == Type.STDIN:
            self._stdin(record, entry)
        elif kind == Type.ABORT_REQUEST:
            entry.state = State.LOST
            self._events.append(Aborted(request))
        else:  # DATA is of filters, the others of applications; unknown ones are of no use here
            self._idle()

    def _idle(self) -> None:
        self._idle_records += 1
        if self._idle_records > IDLE_RECORDS_MOST:
            raise ProtocolError("too many records that belong to nothing")

    def _manage(self, record: Record) -> None:
        """Management records (section 4)."""
        self._idle()
        if record.type == Type.GET_VALUES:
            known = {
                b"FCGI_MAX_CONNS": b"1024",
                b"FCGI_MAX_REQS": b"%d" % self.requests_most,
                b"FCGI_MPXS_CONNS": b"1" if self.requests_most > 1 else b"0",
            }
            asked = {name for name, _ in read_pairs(record.content, PAIRS_MOST)}
            pairs = [(name, value) for name, value in known.items() if name in asked]
            self.output += encode(Type.GET_VALUES_RESULT, 0, encode_pairs(pairs))
        elif record.type > Type.UNKNOWN_TYPE or record.type == 0:
            self.output += encode(Type.UNKNOWN_TYPE, 0, bytes((record.type,)) + bytes(7))
        else:
            raise ProtocolError(f"a record of type {record.type} with request id 0")

    def _begin(self, record: Record) -> None:
        if record.request in self.open:
            raise ProtocolError(f"request {record.request} begun while it is open")
        role, keep = read_begin(record.content)
        status = Status.REQUEST_COMPLETE
        if role != Role.RESPONDER:
            status = Status.UNKNOWN_ROLE
        elif len(self.open) >= self.requests_most:
            status = Status.OVERLOADED
        if status == Status.REQUEST_COMPLETE:
            self.open[record.request] = _Open(keep)
            return
        self._idle()
        self.output += encode_end(record.request, status)
        self.closing = self.closing or not keep
        self._events.append(Refused(record.request, status))

    def _params(self, record: Record, entry: _Open) -> None:
        if entry.state is not State.PARAMS:
            raise ProtocolError("PARAMS after their end")
        entry.params += record.content
        if len(entry.params) > PARAMS_MOST:
            raise ProtocolError(f"params of more than {PARAMS_MOST} bytes")
        if not record.content:
            pairs = read_pairs(bytes(entry.params), PAIRS_MOST)
            entry.params.clear()
            entry.state = State.STDIN
            self._events.append(Begun(record.request, dict(pairs)))

    def _stdin(self, record: Record, entry: _Open) -> None:
        if entry.state is not State.STDIN:
            raise ProtocolError("STDIN before the params' end, or after its own")
        if record.content:
            self._events.append(Data(record.request, record.content))
        else:
            entry.state = State.WHOLE
            self._idle_records = 0
            self._events.append(Ended(record.request))

    def is_within_record(self) -> bool:
        """Whether the bytes that came last are part of a record that has not ended."""
        return self._decoder.held > 0

    # Answers.

    def end(self, request: int, status: int = Status.REQUEST_COMPLETE, application: int = 0) -> bytes:
        """The END_REQUEST of an open request; its id is free from here on. `application`: the exit status told."""
        entry = self.open.pop(request)
        self.closing = self.closing or not entry.keep
        return encode_end(request, status, application)
