"""FastCGI connections to applications that accept several requests at once on one connection (FCGI_MPXS_CONNS=1).

A stream is one attempt on a connection. The first request on a connection is preceded by a query (GET_VALUES) whether
the application supports multiplexing. Until it has answered with 1, a connection carries one stream at a time.
"""

from __future__ import annotations

import socket
import time

from loadbalancer.fastcgi.cgi import MAX_HEADER_BLOCK_BYTES, CgiError
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
from loadbalancer.fastcgi.webserver import REQUEST_ID_COUNT, End, Exchange
from loadbalancer.kernel_buffers import unacknowledged_bytes
from loadbalancer.policy.events import AttemptResult
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import Attempt, Upstream, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.fastcgi import (
    MAX_OVERHEAD_BYTES,
    Application,
    log_stderr,
    parse_response,
    request_records,
)

#: Streams at once on a connection, including aborted ones that have not ended: as many attempts fail if it breaks.
MAX_STREAMS = 16
#: Name-value pairs that an application may send in GET_VALUES_RESULT.
MAX_VALUES = 16
#: Maximum of bytes of records that belong to no stream: the answer to an aborted request may still arrive.
MAX_UNASSIGNED_BYTES = 4 << 20
CAPABILITY_QUERY = encode(Type.GET_VALUES, 0, encode_pairs([(b"FCGI_MPXS_CONNS", b"")]))


class MultiplexedStream(Upstream):
    """One attempt on a multiplexed connection."""

    def __init__(self, connection: MultiplexedConnection, attempt: Attempt, number: int) -> None:
        self.connection, self.attempt, self.exchange = connection, attempt, Exchange(number)
        # Bytes that the connection must have sent before the application can have begun.
        self.start_offset = 0
        self.end_offset = 0  # bytes that it must have received when it has all of the request
        self.charged_bytes = 0  # bytes of STDOUT that are charged to the budget
        self.received_bytes = 0  # bytes of records
        # Aborted on a connection that goes on: what is buffered of the request will still be sent.
        self.stays_buffered = False

    def is_unsent(self) -> bool:
        """Return whether the end of the params is provably unsent and will not be sent."""
        return not self.stays_buffered and self.connection.sent_bytes() < self.start_offset

    def has_arrived(self) -> bool:
        """Return whether the application's machine has acknowledged the last byte of the request."""
        return self.connection.acknowledged_bytes() >= self.end_offset

    def charge(self) -> None:
        """Charge what was received since the last call to the budget."""
        added = len(self.exchange.stdout) - self.charged_bytes
        self.charged_bytes += added
        self.connection.pool.budget.charge(added)

    def release(self) -> None:
        """Release the buffered part of the answer, and detach the attempt."""
        self.connection.pool.budget.release(self.charged_bytes)
        self.charged_bytes = 0
        self.attempt.detach()

    def drop(self) -> None:
        """Abort this attempt; the other streams on the connection continue."""
        self.connection.abort_stream(self)

    def take_back(self) -> None:
        """Abort this attempt; if some of its request has not arrived, the connection and its other streams end too."""
        if self.has_arrived():
            self.drop()
        else:
            self.connection.take_back_stream(self)


class MultiplexedConnection(SocketUpstream):
    """One connection to an application, and the streams on it."""

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
        self.streams: dict[int, MultiplexedStream] = {}
        self.aborted: set[int] = set()  # ids of aborted streams whose END_REQUEST has not arrived
        self.can_multiplex = False  # the application supports multiplexing
        self.is_draining = False  # accepts no new stream; closed when its last one ends
        self._decoder = Decoder()
        self._last_id = 0
        # Bytes of records that belong to no stream; reset when the last aborted one ends.
        self._unassigned_bytes = 0
        self._written_bytes = 0  # bytes written, sent or still buffered

    def has_room(self) -> bool:
        """Return whether the connection can carry one more stream now."""
        if (
            self.is_draining
            or self.closed
            or self.transport is None
            or self.identity != self.endpoint.identity
        ):
            return False
        if not self.streams and not self.aborted:
            return True
        return self.can_multiplex and len(self.streams) + len(self.aborted) < MAX_STREAMS

    # Sending.

    def start(self, attempt: Attempt) -> None:
        """Open a stream for the attempt, and write its request."""
        self._last_id = self._last_id % REQUEST_ID_COUNT + 1
        while self._last_id in self.streams or self._last_id in self.aborted:
            self._last_id = self._last_id % REQUEST_ID_COUNT + 1
        stream = self.streams[self._last_id] = MultiplexedStream(self, attempt, self._last_id)
        attempt.written_at = time.monotonic()
        attempt.connection = stream
        data, start_bytes = request_records(self._last_id, attempt, self.dialect, self.application)
        prefix = b"" if self._written_bytes else CAPABILITY_QUERY
        stream.start_offset = self._written_bytes + len(prefix) + start_bytes
        stream.end_offset = self._written_bytes + len(prefix) + len(data)
        self.write(prefix + data)

    def write(self, data: bytes) -> None:
        """Write bytes, and count them."""
        super().write(data)
        self._written_bytes += len(data)  # after the write: none of it counts as sent if that fails

    def sent_bytes(self) -> int:
        """Return the number of bytes that may have been sent to the application.

        Over TLS, and on a transport that is closing, that is all that was written: the size of the buffer does not tell
        how much of it was sent.
        """
        if self.secure or self.transport is None or self.transport.is_closing():
            return self._written_bytes
        return self._written_bytes - self.transport.get_write_buffer_size()

    def acknowledged_bytes(self) -> int:
        """Return the number of bytes that the application's machine has acknowledged; over TLS, all or none."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return self._written_bytes
        unacknowledged = unacknowledged_bytes(self.sock)
        if self.secure:
            return 0 if unacknowledged or self.transport.get_write_buffer_size() else self._written_bytes
        return self.sent_bytes() - unacknowledged

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Decode records, and pass them to their streams."""
        self.record_received()
        try:
            for record in self._decoder.feed(data):
                self._handle_record(record)
                if self.closed:
                    return
        except ProtocolError as problem:
            self.pool.logger("spoilt answer", problem)
            self.fail(AttemptResult.RESET)

    def _handle_record(self, record: Record) -> None:
        stream = self.streams.get(record.request)
        if stream is None:
            self._count_unassigned(record)
        if record.request == 0:
            if record.type == Type.GET_VALUES_RESULT:
                values = dict(read_pairs(record.content, MAX_VALUES))
                self.can_multiplex = values.get(b"FCGI_MPXS_CONNS") == b"1"
                if self.can_multiplex and self not in self.endpoint.shared:
                    self.endpoint.shared.append(self)
            elif record.type != Type.UNKNOWN_TYPE:
                raise ProtocolError(f"record type {record.type} is not allowed with request id 0")
            return
        if stream is not None:
            self._handle_stream_record(stream, record)
        elif record.request in self.aborted:
            if record.type == Type.END_REQUEST:
                self.aborted.discard(record.request)
                self._unassigned_bytes = self._unassigned_bytes if self.aborted else 0
                self._keep_or_close()
        else:
            self.is_draining = True  # a record of a request that has ended
            self._keep_or_close()

    def _count_unassigned(self, record: Record) -> None:
        """Count the bytes of a record that belongs to no stream; raise ProtocolError above the limit.

        Guards against an application that continues aborted requests without end, or sends unsolicited records. Cost:
        the other streams on the connection fail as well.
        """
        self._unassigned_bytes += HEADER.size + len(record.content)
        if self._unassigned_bytes > MAX_UNASSIGNED_BYTES:
            raise ProtocolError(
                f"more than {MAX_UNASSIGNED_BYTES} bytes of records that belong to no request"
            )

    def _handle_stream_record(self, stream: MultiplexedStream, record: Record) -> None:
        try:
            end = stream.exchange.handle_record(record)
        except ProtocolError as problem:
            self.is_draining = True
            self.finish_stream(stream, AttemptResult.RESET, f"protocol violation: {problem}")
            return
        stream.charge()
        stream.received_bytes += HEADER.size + len(record.content)
        limit = self.dialect.body_most + MAX_HEADER_BLOCK_BYTES
        if end is not None:
            self._handle_end(stream, end)
        elif len(stream.exchange.stdout) > limit or stream.received_bytes > limit + MAX_OVERHEAD_BYTES:
            self.is_draining = True
            self.finish_stream(
                stream,
                AttemptResult.RESET,
                f"more than {limit} bytes of STDOUT, or {limit + MAX_OVERHEAD_BYTES} of records",
            )

    def _handle_end(self, stream: MultiplexedStream, end: End) -> None:
        exchange, attempt = stream.exchange, stream.attempt
        log_stderr(self.pool, attempt, exchange.stderr)
        if end == End.ANSWERED:
            response = bytes(exchange.stdout), exchange.status, attempt.request.bodiless
            try:
                result, report, answer = parse_response(self.pool, self.dialect, self.not_passed, *response)
            except CgiError as problem:
                self.finish_stream(stream, AttemptResult.RESET, str(problem))
                return
            self._remove(stream)
            self.pool.owner.finish_attempt(attempt, result, report, answer)
        elif end == End.NEVER_RAN:
            self.can_multiplex = False  # it refused one of several streams
            self.finish_stream(stream, AttemptResult.FULL)
        else:
            self.finish_stream(stream, AttemptResult.RESET, "the request ended without an answer")

    def finish_stream(self, stream: MultiplexedStream, result: AttemptResult, error: str = "") -> None:
        """Finish a stream's attempt; `error` is logged if the answer is invalid."""
        if error:
            self.pool.logger("spoilt answer", error)
        self._remove(stream)
        self.pool.owner.finish_attempt(stream.attempt, result)

    # Ending.

    def abort_stream(self, stream: MultiplexedStream) -> None:
        """Abort one stream. Without multiplexing the connection is closed, as it is for other protocols."""
        if self.streams.get(stream.exchange.number) is not stream:
            return
        goes_on = self.can_multiplex and not self.closed
        stream.stays_buffered = goes_on or len(self.streams) > 1
        if goes_on:
            self.aborted.add(stream.exchange.number)
            self.write(encode(Type.ABORT_REQUEST, stream.exchange.number))
            self._remove(stream)
        else:
            self.is_draining = True
            self._remove(stream)

    def take_back_stream(self, stream: MultiplexedStream) -> None:
        """Abort one stream and reset the connection, since the rest of its request would arrive otherwise."""
        if self.streams.get(stream.exchange.number) is not stream:
            return
        del self.streams[stream.exchange.number]
        stream.release()
        self.fail(AttemptResult.RESET)

    def _remove(self, stream: MultiplexedStream) -> None:
        self.streams.pop(stream.exchange.number, None)
        stream.release()
        self._keep_or_close()

    def _keep_or_close(self) -> None:
        """Keep the connection idle, or close it, if no stream is left on it."""
        if self.streams or self.closed:
            return
        if self.is_draining or not self.application.keep:
            self.drop()
        elif not self.aborted and self not in self.endpoint.idle:
            self.pool.keep_idle(self)

    def fail(self, result: AttemptResult) -> None:  # noqa: ARG002
        """Close the connection; each stream's result depends on how much of its request was sent."""
        ends = [
            (s, AttemptResult.NO_CONNECTION if s.is_unsent() else AttemptResult.RESET)
            for s in self.streams.values()
        ]
        self.streams.clear()
        for stream, _ in ends:
            stream.release()
        self.drop()
        for stream, end in ends:
            self.pool.owner.finish_attempt(stream.attempt, end)

    def eof_received(self) -> None:
        """Finish all streams: the application has closed its side."""
        self.fail(AttemptResult.RESET)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Finish all streams."""
        self.fail(AttemptResult.RESET)

    def release(self) -> None:
        """Do nothing: each stream releases its own buffers."""
