"""FastCGI to an application that takes several requests on one connection (FCGI_MPXS_CONNS=1).

A trunk is the connection, a stream one attempt on it. The application is asked when the connection opens; until it has
said yes, and if it never does, a trunk carries one stream at a time.
"""

from __future__ import annotations

import socket
import time

from loadbalancer.fastcgi.cgi import BLOCK_MOST, CgiError
from loadbalancer.fastcgi.records import (
    HEADER,
    Decoder,
    ProtocolError,
    Record,
    Type,
    encode,
    encode_pairs,
    read_pairs,
)
from loadbalancer.fastcgi.webserver import IDS, End, Exchange
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.fastcgi import BESIDE_MOST, Application, judge, note_stderr, request_records

#: Streams at once on a trunk, with those that have been aborted and not ended: what one broken connection can cost.
STREAMS_MOST = 16
#: Values that an application may send, and more is none of its business.
VALUES_MOST = 16
#: Bytes of records that belong to no request at most: an answer that was given up may still be on its way.
USELESS_MOST = 4 << 20
ASK = encode(Type.GET_VALUES, 0, encode_pairs([(b"FCGI_MPXS_CONNS", b"")]))


class Stream(Upstream):
    """One attempt on a trunk."""

    def __init__(self, trunk: MultiplexedConnection, attempt: Attempt, number: int) -> None:
        self.trunk, self.attempt, self.exchange = trunk, attempt, Exchange(number)
        self.proof = 0  # bytes of the trunk that have left once the application can have begun
        self.held = 0  # bytes of STDOUT, charged to the budget
        self.received = 0  # bytes of records

    def is_unsent(self) -> bool:
        return self.trunk.left() < self.proof

    def charge(self) -> None:
        more = len(self.exchange.stdout) - self.held
        self.held += more
        self.trunk.pool.budget.held_bytes += more

    def release(self) -> None:
        self.trunk.pool.budget.release(self.held)
        self.held = 0
        self.attempt.detach()

    def drop(self) -> None:
        """Give this attempt up: the application hears so, and the others on the trunk go on."""
        self.trunk.give_up(self)


class MultiplexedConnection(SocketUpstream):
    """One connection to an application, with its streams."""

    def __init__(
        self,
        backend: UpstreamEndpoint,
        pool: UpstreamPools,
        sock: socket.socket,
        dialect: Dialect,
        not_passed: frozenset[bytes],
        application: Application,
    ) -> None:
        super().__init__(backend, pool, sock)
        self.dialect, self.not_passed, self.application = dialect, not_passed, application
        self.streams: dict[int, Stream] = {}
        self.aborted: set[int] = set()  # ids whose END_REQUEST is still to come
        self.several = False  # the application takes more than one
        self.spent = False  # carries nothing new
        self._decoder = Decoder()
        self._last = 0
        self._useless = 0  # bytes of records that belong to no stream, since all aborted ones had ended
        self._given = 0  # bytes written to it, left or not

    def has_room(self) -> bool:
        """Whether it takes one more attempt now."""
        if self.spent or self.closed or self.transport is None or self.identity != self.endpoint.identity:
            return False
        if not self.streams and not self.aborted:
            return True
        return self.several and len(self.streams) + len(self.aborted) < STREAMS_MOST

    # Sending.

    def start(self, attempt: Attempt) -> None:
        self._last = self._last % IDS + 1
        while self._last in self.streams or self._last in self.aborted:
            self._last = self._last % IDS + 1
        stream = self.streams[self._last] = Stream(self, attempt, self._last)
        attempt.written_at = time.monotonic()
        attempt.connection = stream
        data, begun = request_records(self._last, attempt, self.dialect, self.application)
        before = b"" if self._given else ASK
        stream.proof = self._given + len(before) + begun
        self._put(before + data)

    def _put(self, data: bytes) -> None:
        """What is in our buffers goes first; else straight to the kernel."""
        assert self.transport is not None
        if self.transport.get_write_buffer_size():
            self.transport.write(data)
        else:
            self.write(data)
        self._given += len(data)  # after it: where the write fails, nothing of it has left

    def left(self) -> int:
        """Bytes that have left for the application."""
        waiting = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return self._given - waiting

    # Receiving.

    def data_received(self, data: bytes) -> None:
        self.note_heard()
        try:
            for record in self._decoder.feed(data):
                self._record(record)
                if self.closed:
                    return
        except ProtocolError as problem:
            self.pool.logger("spoilt answer", problem)
            self.fail(AttemptResult.RESET)

    def _record(self, record: Record) -> None:
        stream = self.streams.get(record.request)
        if stream is None:
            self._waste(record)
        if record.request == 0:
            if record.type == Type.GET_VALUES_RESULT:
                values = dict(read_pairs(record.content, VALUES_MOST))
                self.several = values.get(b"FCGI_MPXS_CONNS") == b"1"
                if self.several and self not in self.endpoint.shared:
                    self.endpoint.shared.append(self)
            elif record.type != Type.UNKNOWN_TYPE:
                raise ProtocolError(f"a record of type {record.type} with request id 0")
            return
        if stream is not None:
            self._stream(stream, record)
        elif record.request in self.aborted:
            if record.type == Type.END_REQUEST:
                self.aborted.discard(record.request)
                self._useless = self._useless if self.aborted else 0
                self._rest()
        else:
            self.spent = True  # it speaks of a request that has ended
            self._rest()

    def _waste(self, record: Record) -> None:
        """Guards against an application that goes on with what was given up, or sends what nobody asked for. Harm:
        the other streams end with it."""
        self._useless += HEADER.size + len(record.content)
        if self._useless > USELESS_MOST:
            raise ProtocolError("too much that belongs to no request")

    def _stream(self, stream: Stream, record: Record) -> None:
        try:
            end = stream.exchange.take(record)
        except ProtocolError as problem:
            self.spent = True
            self.finish(stream, AttemptResult.RESET, f"no FastCGI: {problem}")
            return
        stream.charge()
        stream.received += HEADER.size + len(record.content)
        most = self.dialect.body_most + BLOCK_MOST
        if end is not None:
            self._ended(stream, end)
        elif len(stream.exchange.stdout) > most or stream.received > most + BESIDE_MOST:
            self.spent = True
            self.finish(stream, AttemptResult.RESET, "too large")

    def _ended(self, stream: Stream, end: End) -> None:
        exchange, attempt = stream.exchange, stream.attempt
        note_stderr(self.pool, attempt, exchange.stderr)
        if end == End.ANSWERED:
            said = bytes(exchange.stdout), exchange.status, attempt.request.bodiless
            try:
                result, report, answer = judge(self.pool, self.dialect, self.not_passed, *said)
            except CgiError as problem:
                self.finish(stream, AttemptResult.RESET, str(problem))
                return
            self._remove(stream)
            self.pool.owner.finish_attempt(attempt, result, report, answer)
        elif end == End.NEVER_RAN:
            self.several = False  # it has more than it takes
            self.finish(stream, AttemptResult.FULL)
        else:
            self.finish(stream, AttemptResult.RESET, "the request ended with no answer")

    def finish(self, stream: Stream, result: AttemptResult, why: str = "") -> None:
        if why:
            self.pool.logger("spoilt answer", why)
        self._remove(stream)
        self.pool.owner.finish_attempt(stream.attempt, result)

    # Ending.

    def give_up(self, stream: Stream) -> None:
        """Abort one request; on a trunk that carries one at a time the connection goes, as it does elsewhere."""
        if self.streams.get(stream.exchange.number) is not stream:
            return
        if self.several and not self.closed:
            self.aborted.add(stream.exchange.number)
            self._put(encode(Type.ABORT_REQUEST, stream.exchange.number))
            self._remove(stream)
        else:
            self.spent = True
            self._remove(stream)

    def _remove(self, stream: Stream) -> None:
        self.streams.pop(stream.exchange.number, None)
        stream.release()
        self._rest()

    def _rest(self) -> None:
        """Kept, or closed, once nothing is on it."""
        if self.streams or self.closed:
            return
        if self.spent or not self.application.keep:
            self.drop()
        elif not self.aborted and self not in self.endpoint.idle:
            self.pool.keep_idle(self)

    def fail(self, result: AttemptResult) -> None:
        """The connection is of no further use: each stream ends by what of its own request had left."""
        ends = [
            (s, AttemptResult.NO_CONNECTION if s.is_unsent() else AttemptResult.RESET)
            for s in self.streams.values()
        ]
        self.streams.clear()
        self.drop()
        for stream, end in ends:
            stream.release()
            self.pool.owner.finish_attempt(stream.attempt, end)

    def eof_received(self) -> None:
        self.fail(AttemptResult.RESET)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(AttemptResult.RESET)

    def release(self) -> None:
        """Streams give back what they hold, each by itself."""
