"""HTTP/1.1 connections to members (RFC 9112): one attempt at a time, whose answer becomes an AttemptResult."""

from __future__ import annotations

import socket
import time
from typing import cast

import httptools

from loadbalancer.http_grammar import MessageError
from loadbalancer.input_turns import MAX_PARTS, SLICE_BYTES
from loadbalancer.policy.events import AttemptResult
from loadbalancer.response_parser import ResponseParser
from loadbalancer.streaming.streams import Stream
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams.connections import Attempt, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.http1_head import Http1ResponseHead
from loadbalancer.upstreams.interfaces import TunnelOwner
from loadbalancer.upstreams.partial_answers import PartialAnswer
from loadbalancer.upstreams.tunnel_end import UpstreamTunnelEnd

#: Bytes that may be received for one request beyond the body of its answer: head, interim answers, framing of chunks.
#: With the limit on the body it guards memory and CPU against an endless answer, whatever length that states.
MAX_OVERHEAD_BYTES = 64 << 10
#: Bytes that may be received for each byte of the body: the framing of chunks of one byte.
MAX_OVERHEAD_PER_BODY_BYTE = 8
#: Bytes that may be received before the head of the answer is complete.
MAX_HEAD_BYTES = 32 << 10
#: Body of a request up to which it is copied behind its head, to be sent in one call.
MAX_JOINED_BODY_BYTES = 16 << 10


class Http1UpstreamConnection(UpstreamTunnelEnd):
    """One HTTP/1.1 connection to a backend, which carries one attempt at a time."""

    takes_uploads = True  # request bodies can be streamed

    def __init__(
        self,
        backend: UpstreamEndpoint,
        pool: UpstreamPools,
        sock: socket.socket,
        dialect: Dialect,
        not_passed: frozenset[bytes],
    ) -> None:
        """Create a connection on `sock`. `not_passed`: the dialect's set, computed once for all connections."""
        super().__init__(backend, pool, sock)
        self.dialect, self.not_passed = dialect, not_passed
        self.buffered_bytes = 0  # bytes of the body, charged to the budget
        self.stream: Stream | None = None  # receives the body of a streamed answer
        self.upload: Upload | None = None  # the streamed request body, until it has ended
        self.parser: ResponseParser | None = ResponseParser(self)
        self.unparsed = b""  # input that waits for its turn
        self.is_queued = False  # for a turn
        self.is_consumer_full = False  # the client's buffer is full
        self.part_count = 0  # parts of the body that were parsed in this turn
        self._reset()

    def _reset(self) -> None:
        """Reset the state of the previous answer before the next request."""
        self._reset_head()
        self._release_body()
        self.is_complete = self.has_surplus = self.keep_alive = self.length_only = False
        # The parser is in the middle of an answer, and must be replaced before the next one.
        self.is_parser_stale = False
        self.received_bytes = 0  # parsed ones
        self.stream = None
        # Bytes of a streamed answer of known length that are still to be forwarded, without the parser.
        self.raw_body_bytes = 0

    def _reset_head(self) -> None:
        self.head = Http1ResponseHead(self.dialect, self.not_passed)

    def _release_body(self) -> None:
        self.pool.budget.release(self.buffered_bytes)
        self.buffered_bytes = 0
        self.body: list[bytes] = []

    # Sending.

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request, and attach its streamed body, if it has one."""
        self.assign(attempt)
        request = attempt.request
        if self.dialect.deadline_header is None:
            data = request.head + b"\r\n"
        else:
            timeout_ms = max(1, round(attempt.timeout * 1000))
            data = b"%b%b: %dm\r\n\r\n" % (request.head, self.dialect.deadline_header, timeout_ms)
        self.upload = request.upload
        if request.body and len(request.body) > MAX_JOINED_BODY_BYTES:
            self.write(data)
            if not self.closed:
                self.write_body(request.body)
        else:
            self.write(data + request.body if request.body else data)
        if self.upload is not None:
            self.upload.attach(self)

    # Streamed request bodies.

    def receive_data(self, data: bytes) -> None:
        """Write a part of the streamed request body."""
        assert self.upload is not None
        if self.upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.write(data)

    def receive_end(self) -> None:
        """Write the end of the streamed request body."""
        assert self.upload is not None
        last = b"0\r\n\r\n" if self.upload.length is None else b""
        self.upload = None
        if last:
            self.write(last)

    def abort_body(self) -> None:
        """Abort the request: its body will not be completed, which the member sees by the close of the connection."""
        self.fail(self.failure_result())

    def is_unsent(self) -> bool:
        """Return whether the last byte of the request is provably unsent."""
        return self.upload is not None or self.has_unsent_bytes()

    def has_arrived(self) -> bool:
        """Return whether the endpoint's machine has acknowledged the last byte of the request."""
        return (self.upload is None or self.closed) and super().has_arrived()

    def pause_writing(self) -> None:
        """Pause the source of what is written here: a tunnel or a streamed request body."""
        super().pause_writing()
        if self.upload is not None:
            self.upload.set_full(True)

    def resume_writing(self) -> None:
        """Resume the source of what is written here."""
        super().resume_writing()
        if self.upload is not None:
            self.upload.set_full(False)

    # Callbacks of the parser. They record what was parsed; _process_response acts on it after the parser has returned.

    def on_message_begin(self) -> None:
        """Record that bytes follow a complete answer."""
        if self.is_complete:
            self.has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header to forward, or one that frames or describes the answer."""
        self.head.field_count += 1
        if not self._ignores_field():
            self.head.add(name, value)

    def _ignores_field(self) -> bool:
        """Return whether a field is a trailer, of an unsolicited answer, or of an answer with too many of them."""
        if self.has_surplus or self.buffered_bytes or self.stream is not None:
            return True
        return self.head.has_too_many_fields()

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self.head.reason += reason

    def on_headers_complete(self) -> None:
        """Store the status; the answer to HEAD is complete."""
        if self.has_surplus or self.parser is None or self.is_complete:
            return
        self.head.status = self.parser.get_status_code()
        self.head.check(self.parser.get_http_version())
        attempt = self.attempt
        self.parser.end_head(self._has_chunked_body())
        if attempt is None or self.head.status < 200:
            return
        attempt.answered_at = time.monotonic()
        if attempt.request.bodiless:
            # The answer to HEAD ends here, whatever length it states (RFC 9112, 6.3); the parser can't know that.
            self.is_complete = True
            self.keep_alive = self.parser.should_keep_alive()
            self.length_only = self.is_parser_stale = True

    def _has_chunked_body(self) -> bool:
        """Return whether a chunked body follows the head that is complete; the answer to HEAD has none."""
        is_bodiless = self.attempt is not None and self.attempt.request.bodiless
        return bool(self.head.transfer_codings) and not is_bodiless and self.head.allows_body()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, charged to the budget."""
        self.part_count += 1
        if self.is_complete:
            self.has_surplus = True
        elif not self.has_surplus and (self.head.status == 200 or not self.dialect.platform):
            self.body.append(body)
            self.buffered_bytes += len(body)
            self.pool.budget.charge(len(body))

    def on_message_complete(self) -> None:
        """Record that the answer is complete, or skip an interim one."""
        if self.has_surplus or self.parser is None or self.length_only:
            return
        if self.head.status == 101:  # what follows is in another protocol, or unsolicited
            return
        if self.head.status < 200:  # an interim answer: the final one follows
            self._reset_head()
            return
        self.is_complete = True
        self.keep_alive = self.parser.should_keep_alive()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer, or pass bytes on without parsing them."""
        if (self.attempt is None or self.parser is None) and self.tunnel is None:
            self.endpoint.record_surplus()
            self.drop()
            return
        self.record_received()
        if self.tunnel is not None:
            self.tunnel.from_endpoint(data)
        elif self.unparsed:
            self.unparsed += data
        elif self.raw_body_bytes:
            self._forward_raw_body(data)
        else:
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        """Parse one share of the answer, and act on it; the rest waits for its turn."""
        assert self.parser is not None
        try:
            if len(data) <= SLICE_BYTES:
                self.parser.feed_data(data)
            else:
                self.unparsed = self._parse(data)
        except MessageError as problem:
            self._reject(problem)
            return
        except httptools.HttpParserUpgrade as offer:
            if self.head.status == 101:
                self._switch_protocol(data[offer.args[0] :])
                return
            self.has_surplus = True
        except httptools.HttpParserError as problem:
            if not self.is_complete:
                self._reject(repr(problem.__context__ or problem))
                return
            self.has_surplus = True
        self.received_bytes += len(data) - len(self.unparsed)
        if self.unparsed and self.is_complete:
            self.unparsed, self.has_surplus = b"", True
        if self.unparsed:
            super().set_reading_paused(True)
            self._queue_for_turn()
        self._process_response()

    def _parse(self, data: bytes) -> bytes:
        """Parse one share of the answer.

        Returns:
            The rest, if its turn comes later.

        Raises:
            httptools.HttpParserError: The bytes are not HTTP/1.1.
            httptools.HttpParserUpgrade: What follows is in another protocol; the argument is its offset.
            MessageError: A chunk is malformed.
        """
        assert self.parser is not None
        self.part_count, begin, size = 0, 0, SLICE_BYTES
        while begin < len(data):
            try:
                self.parser.feed_data(data[begin : begin + size])
            except httptools.HttpParserUpgrade as offer:
                raise httptools.HttpParserUpgrade(begin + offer.args[0]) from None
            begin += size
            if self.part_count > MAX_PARTS:
                return data[begin:]
            size *= 2
        return b""

    def _queue_for_turn(self) -> None:
        if not self.is_queued:
            self.is_queued = True
            self.pool.input_turns.add(self)

    def take_turn(self) -> None:
        """Parse one share of the input that waits; the pool calls this once the connection's turn has come."""
        self.is_queued = False
        if not self.unparsed or self.closed or self.is_consumer_full:
            return
        data, self.unparsed = self.unparsed, b""
        self.record_received()
        if self.raw_body_bytes:
            self._forward_raw_body(data)
        else:
            self._receive(data)
        if not self.unparsed and not self.is_consumer_full:
            super().set_reading_paused(False)

    def set_reading_paused(self, on: bool) -> None:
        """Pause or resume reading: the client's buffer is full, or has room again."""
        self.is_consumer_full = on
        if self.unparsed and not on:
            self._queue_for_turn()
        else:
            super().set_reading_paused(on)

    def _process_response(self) -> None:
        """Act on the bytes parsed so far: finish, stream or reject the answer, or wait for more."""
        dialect = self.dialect
        if self.stream is not None:
            self._forward(self.stream)
            return
        if self.head.has_too_many_fields():
            self._reject("too many header fields")
            return
        if self._lacks_framing() and not self._may_end_with_connection():
            # A truncated answer would look complete.
            self._reject("the answer has neither a length nor chunked framing")
            return
        if self.upload is not None and self.head.status >= 200 and self._is_no_refusal():
            self._reject("answered before the request body was complete")
        elif self.is_complete and self.buffered_bytes <= dialect.body_most:
            self._finish()
        elif self.received_bytes > (
            MAX_OVERHEAD_PER_BODY_BYTE * self.buffered_bytes + MAX_OVERHEAD_BYTES
            if self.head.status
            else MAX_HEAD_BYTES
        ):
            self._reject(f"{self.received_bytes} bytes received, with {self.buffered_bytes} of the body")
        elif self._is_to_be_streamed():
            self._begin_stream()
        elif self._has_unknown_end():
            self.begin_partial_answer(dialect.body_most).record(self.buffered_bytes)

    def _is_to_be_streamed(self) -> bool:
        """Return whether the incomplete answer is too long to be buffered, or memory too short to buffer it."""
        if self.length_only:
            return False
        if max(self.buffered_bytes, self.head.length or 0) > self.dialect.body_most:
            return True
        return self.pool.budget.account.is_tight and self._can_be_streamed()

    def _can_be_streamed(self) -> bool:
        """Return whether the answer, whose end has not come, was served and has a body."""
        return self.head.is_served() and not self.length_only and bool(self.dialect.stream_most)

    def _has_unknown_end(self) -> bool:
        """Return whether a part of a body has arrived that is not complete and whose length is not stated."""
        return self.head.status >= 200 and self.head.length is None and not self.is_complete

    def find_partial_answer(self) -> PartialAnswer | None:
        """Return the progress of an answer without a stated length that may be streamed; see `Upstream`."""
        if self.attempt is None or self.closed or self.stream is not None or self.upload is not None:
            return None
        return self.partial_answer if self._has_unknown_end() and self._can_be_streamed() else None

    def pass_on_partial_answer(self) -> bool:
        """Stream an answer without a stated length; see `Upstream`."""
        if self.find_partial_answer() is None:
            return False
        self._begin_stream()
        return True

    def _lacks_framing(self) -> bool:
        """Return whether the head is complete and states no end of the body that it announces."""
        has_body = self.head.status > 0 and self.head.allows_body() and not self.length_only
        return has_body and not self.head.is_self_delimited()

    def _is_no_refusal(self) -> bool:
        return self.head.result() != AttemptResult.FULL

    def _begin_stream(self) -> None:
        """Stream an answer that is too long to be buffered, if it is SERVED and within the limit for streams."""
        dialect, attempt = self.dialect, self.attempt
        assert attempt is not None
        if not self.head.is_served() or max(self.buffered_bytes, self.head.length or 0) > dialect.stream_most:
            self._reject(f"a body longer than {dialect.body_most} bytes that can't be streamed")
            return
        stream = self.pool.owner.begin_answer(attempt, self.head.build_response(b"", self.head.length), self)
        if stream is None or self.closed:
            return
        self.stream = stream
        if self._has_unknown_end():
            self.begin_partial_answer(dialect.body_most).watch(stream)
        self._forward(stream)

    def _forward(self, stream: Stream) -> None:
        """Forward the bytes of a streamed body received so far; abort it if the answer turns out to be invalid."""
        data = b"".join(self.body)
        self._release_body()
        if self.dialect.stream_most < stream.passed_bytes + len(data):
            self._reject(f"a streamed body of more than {self.dialect.stream_most} bytes")
            return
        stream.send(data)
        if self.is_complete and not self.closed:
            self._finish()
        elif self.head.length is not None and not self.head.transfer_codings:
            self.raw_body_bytes = self.head.length - stream.passed_bytes
        elif self.received_bytes > MAX_OVERHEAD_PER_BODY_BYTE * stream.passed_bytes + MAX_OVERHEAD_BYTES:
            self._reject(f"{self.received_bytes} bytes received, with {stream.passed_bytes} of the body")

    def _forward_raw_body(self, data: bytes) -> None:
        """Forward the rest of an answer of known length without the parser, which would copy it piece by piece.

        Bytes beyond that length are unsolicited and are dropped. The parser is replaced before the next answer.
        """
        stream = self.stream
        assert stream is not None and self.parser is not None
        if len(data) < self.raw_body_bytes:
            self.raw_body_bytes -= len(data)
            stream.send(data)
            return
        self.has_surplus = len(data) > self.raw_body_bytes
        stream.send(data[: self.raw_body_bytes] if self.has_surplus else data)
        self.raw_body_bytes, self.is_complete, self.keep_alive = 0, True, self.parser.should_keep_alive()
        self.is_parser_stale = True
        if not self.closed:
            self._finish()

    def _reject(self, error: object) -> None:
        """Reject an invalid answer: close the connection and finish the attempt as RESET, since it may have run.

        An answer that is not streamed yet is rejected before any of it reaches the client. Cost: a healthy backend
        whose answers exceed the limits fails.
        """
        self.pool.logger("spoilt answer", error)
        self.head.status = 0  # no part of the invalid answer is used
        self.fail(AttemptResult.RESET)

    def _finish(self) -> None:
        """Finish the attempt with its complete answer, and keep or close the connection."""
        attempt = self.attempt
        assert attempt is not None
        self.end_partial_answer()
        result = self.head.result()
        report = self.head.read_load_report(self.pool.logger)
        answer, streamed = None, self.stream is not None
        if streamed:
            self.set_reading_paused(False)
        elif result == AttemptResult.SERVED or (result == AttemptResult.ERROR and not self.dialect.platform):
            stated = self.head.length if self.length_only or not self.head.allows_body() else None
            answer = self.head.build_response(b"".join(self.body), stated)
        self.attempt = None
        attempt.detach()
        if self.has_surplus:
            self.endpoint.record_surplus()
        if self.keep_alive and not self.has_surplus and not self.is_unsent() and not self.closed:
            if self.is_parser_stale:
                self.parser = ResponseParser(self)
            self._reset()
            self.pool.keep_idle(self)
        else:
            self.drop()
        self.pool.owner.finish_attempt(attempt, result, report, answer)

    # Upgrade to another protocol.

    def _switch_protocol(self, rest: bytes) -> None:
        """Open a tunnel after a 101. One that was not requested, or names another protocol, is an invalid answer."""
        attempt = self.attempt
        assert attempt is not None
        requested = attempt.request.upgrade
        if (
            not requested
            or self.head.upgrade_protocol != requested
            or b"upgrade" not in self.head.connection_options()
        ):
            self._reject(
                f"101 with upgrade to {self.head.upgrade_protocol!r}; the request asked for {requested!r}"
            )
            return
        self.head.lines.append(b"Connection: Upgrade\r\nUpgrade: %b\r\n" % requested)
        answer = self.head.build_response(b"", None)
        self.attempt = None
        attempt.detach()
        owner = cast(TunnelOwner, self.pool.owner)
        self.tunnel = owner.begin_tunnel(attempt, answer, self)
        if self.tunnel is None:
            self.drop()
            self.pool.owner.finish_attempt(attempt, AttemptResult.CANCELLED)
            return
        if rest:
            self.tunnel.from_endpoint(rest)

    # Ending.

    def _may_end_with_connection(self) -> bool:
        """Return whether an answer without a length may be ended by the close of its connection.

        Guards against invalid answers that state no length and leave their connection open: each would be waited for
        until its timeout. A member that means to end the answer by closing says so (RFC 9112, 9.6), or speaks
        HTTP/1.0.
        """
        assert self.parser is not None
        closes = b"close" in self.head.connection_options()
        return self.dialect.close_delimited and (
            closes or self.parser.get_http_version() == "1.0" or not self.dialect.platform
        )

    def _ends_with_connection(self) -> bool:
        """Return whether the end of input completes the answer (RFC 9112, 6.3, rule 8)."""
        return (
            self.dialect.close_delimited
            and self.attempt is not None
            and self.head.status >= 200
            and not self.head.is_self_delimited()
            and not self.is_unsent()
            and (self.stream is not None or self.buffered_bytes <= self.dialect.body_most)
        )

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Complete an answer that ends with its connection, or fail; in a tunnel, end only this direction."""
        if self.tunnel is not None:
            self.tunnel.finish(True)
            return True  # the other direction is still open
        if self._ends_with_connection():
            self.is_complete = True
            self._finish()
            return None
        self.fail(self.failure_result())
        return None

    def release(self) -> None:
        """Release the body, the streamed request body and the parser."""
        self._release_body()
        if self.upload is not None:
            upload, self.upload = self.upload, None
            upload.detach(self)
        self.parser = None  # break the reference cycle, which would live until the garbage collector runs
