"""HTTP/1.1 to a member (RFC 9112): one attempt at a time on a connection, and what comes back as a Result."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Mapping, cast

import httptools

from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.streaming.streams import Stream
from loadbalancer.streaming.tunnels import Tunnel
from loadbalancer.streaming.uploads import Upload
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import Attempt, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.interfaces import TunnelOwner, UpstreamResponse
from loadbalancer.upstreams.report import read_report

#: What may come for one request beside the body of its answer: head, interim answers, framing of chunks. With the
#: body's own bound it guards the memory and the CPU against anything that keeps coming, whatever it says of itself.
BESIDE_MOST = 64 << 10
#: And for each byte of the body, where it comes in chunks of one byte.
PIECES = 8
#: And before its head has ended.
HEAD_MOST = 32 << 10
#: Bytes that wait for an end of a tunnel before the other is read no more.
TUNNEL_BUFFER = 64 << 10
#: Seconds that an end of a tunnel has to take what waits for it, once both have sent all.
SHUT_S = 5.0
#: Answers that have no body, whatever their headers say (RFC 9110, 6.4.1).
BODILESS = frozenset((204, 304))


class Http1UpstreamConnection(SocketUpstream):
    """One connection to a backend; it carries one attempt at a time."""

    takes_uploads = True  # bodies can be sent on as they come

    def __init__(
        self,
        backend: UpstreamEndpoint,
        pool: UpstreamPools,
        sock: socket.socket,
        dialect: Dialect,
        not_passed: frozenset[bytes],
    ) -> None:
        """`not_passed` is the dialect's, made once for all connections."""
        super().__init__(backend, pool, sock)
        self.dialect, self.not_passed = dialect, not_passed
        self.held = 0  # bytes of the body, charged to the budget
        self.stream: Stream | None = None  # takes the body as it comes
        self.tunnel: Tunnel | None = None  # once both sides have gone over to another protocol
        self.upload: Upload | None = None  # gives the request's, and has not come to its end
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._expect()

    def _expect(self) -> None:
        """Forget the answer before; the next one may come."""
        self._forget_head()
        self._release()
        self.complete = self.surplus = self.keep = self.length_only = False
        self.stale = False  # the parser waits for bytes that it will not get
        self.received = 0
        self.stream = None
        self.left = 0  # bytes of a streamed answer of known length that go on unread by the parser

    def _forget_head(self) -> None:
        self.status = 0
        self.lines: list[bytes] = []
        self.length: int | None = None
        self.framed = self.coded = False  # its end can be told from that of the connection; it is in chunks
        self.refusal: bytes | None = None
        self.again: bytes | None = None  # asks that the request goes again
        self.pressure = b""
        self.reason = b""
        self.hop = b""  # what the Connection header names
        self.upgraded = b""  # what the Upgrade header does

    def _release(self) -> None:
        self.pool.budget.release(self.held)
        self.held = 0
        self.body: list[bytes] = []

    # Sending.

    def start(self, attempt: Attempt) -> None:
        self.take(attempt)
        request = attempt.request
        if self.dialect.deadline_header is None:
            data = request.head + b"\r\n"
        else:
            left = max(1, round(attempt.timeout * 1000))
            data = b"%b%b: %dm\r\n\r\n" % (request.head, self.dialect.deadline_header, left)
        if request.body:
            data += request.body
        self.upload = request.upload
        self.write(data)
        if self.upload is not None:
            self.upload.attach(self)

    # A body that is sent on as it comes.

    def take_part(self, data: bytes) -> None:
        assert self.upload is not None
        if self.upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write_on(data)

    def take_end(self) -> None:
        assert self.upload is not None
        last = b"0\r\n\r\n" if self.upload.length is None else b""
        self.upload = None
        if last:
            self._write_on(last)

    def break_off(self) -> None:
        """There is no more: the member can tell, by the end of the connection."""
        self.fail(AttemptResult.NO_CONNECTION)

    def _write_on(self, data: bytes) -> None:
        """Behind what is still in our buffers."""
        if not self.unsent:
            self.write(data)
        elif self.transport is not None and not self.closed:
            self.transport.write(data)

    def is_unsent(self) -> bool:
        return self.unsent or self.upload is not None

    def pause_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.set_full(True, True)
            return
        self.unsent = True
        if self.upload is not None:
            self.upload.set_full(True)

    def resume_writing(self) -> None:
        if self.tunnel is not None:
            self.tunnel.set_full(True, False)
            return
        self.unsent = False
        if self.upload is not None:
            self.upload.set_full(False)

    # What the parser finds; it is acted on once the parser is done, outside its callbacks.

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.surplus or self.held or self.stream is not None:  # trailers, or what nobody asked for
            return
        value = value.strip(b" \t")  # the parser leaves what stands behind it (RFC 9112, 5.1)
        key = name.lower()
        if key not in self.not_passed:
            self.lines.append(b"%b: %b\r\n" % (name, value))
        elif key == self.dialect.report_header:
            self.pressure = value
        elif key == self.dialect.refusal_header:
            self.refusal = value
        elif key == self.dialect.repeat_header:
            self.again = value
        elif key == b"content-length":
            self.length = int(value)
            self.framed = True
        elif key == b"transfer-encoding":
            self.coded = True
            self.framed = value.lower().rpartition(b",")[2].strip() == b"chunked"
        elif key == b"connection":
            self.hop += b"," + value.lower()
        elif key == b"upgrade":
            self.upgraded = value.lower()

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_headers_complete(self) -> None:
        if self.surplus or self.parser is None or self.complete:
            return
        self.status = self.parser.get_status_code()
        attempt = self.attempt
        if attempt is None or self.status < 200:
            return
        attempt.answered_at = time.monotonic()
        if attempt.request.bodiless:
            # The answer to HEAD ends here, whatever length it states (RFC 9112, 6.3); the parser can't know.
            self.complete = True
            self.keep = self.parser.should_keep_alive()
            self.length_only = self.stale = True

    def on_body(self, body: bytes) -> None:
        if self.complete:
            self.surplus = True
        elif not self.surplus and (self.status == 200 or not self.dialect.platform):
            self.body.append(body)
            self.held += len(body)
            self.pool.budget.held_bytes += len(body)

    def on_message_complete(self) -> None:
        if self.surplus or self.parser is None or self.length_only:
            return
        if self.status == 101:  # what follows is in another protocol, or was not asked for
            return
        if self.status < 200:  # an interim answer: the real one follows
            self._forget_head()
            return
        self.complete = True
        self.keep = self.parser.should_keep_alive()

    # Receiving.

    def data_received(self, data: bytes) -> None:
        if (self.attempt is None or self.parser is None) and self.tunnel is None:
            self.drop()
            return
        self.received += len(data)
        self.note_heard()
        if self.tunnel is not None:
            self.tunnel.from_endpoint(data)
            return
        if self.left:
            self._pass_on(data)
            return
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if isinstance(problem, httptools.HttpParserUpgrade) and self.status == 101:
                self._go_over(data[problem.args[0] :] if problem.args else b"")
                return
            if not self.complete:
                self._spoilt(repr(problem.__context__ or problem))
                return
            self.surplus = True
        self._judge()

    def _judge(self) -> None:
        """What has come so far: an answer, too much of one, or not yet enough."""
        dialect = self.dialect
        if self.stream is not None:
            self._go_on(self.stream)
            return
        if self.status and not self.framed and self.status not in BODILESS and not self.length_only:
            if not self._may_end_with_connection():
                self._spoilt("no end of its own")  # whole and cut short look the same
                return
        if self.upload is not None and self.status >= 200 and self._is_no_refusal():
            self._spoilt("answered before the request was whole")
        elif self.complete and self.held <= dialect.body_most:
            self._finish()
        elif self.received > (PIECES * self.held + BESIDE_MOST if self.status else HEAD_MOST):
            self._spoilt("without end")
        elif max(self.held, self.length or 0) > dialect.body_most and not self.length_only:
            self._stream()

    def _is_no_refusal(self) -> bool:
        return self.dialect.result(self.status, self.refusal) != AttemptResult.FULL

    def _stream(self) -> None:
        """The answer is too long to be judged whole: it is passed on as it comes, if it is one for the client."""
        dialect, attempt = self.dialect, self.attempt
        assert attempt is not None
        served = self.status > 0 and dialect.result(self.status, self.refusal) == AttemptResult.SERVED
        if not served or max(self.held, self.length or 0) > dialect.stream_most:
            self._spoilt("too large")
            return
        stream = self.pool.owner.begin_answer(attempt, self._answer(b"", self.length), self)
        if stream is None or self.closed:
            return
        self.stream = stream
        self._go_on(stream)

    def _go_on(self, stream: Stream) -> None:
        """Pass on what has come. It breaks off where the answer turns out to be none."""
        data = b"".join(self.body)
        self._release()
        if self.dialect.stream_most < stream.passed_bytes + len(data):
            self._spoilt("too large")
            return
        stream.send(data)
        if self.complete and not self.closed:
            self._finish()
        elif self.length is not None and not self.coded:
            self.left = self.length - stream.passed_bytes
        elif self.received > PIECES * stream.passed_bytes + BESIDE_MOST:
            self._spoilt("without end")

    def _pass_on(self, data: bytes) -> None:
        """The rest of an answer of known length needs no parser, which would copy it piece by piece.

        What comes behind it was not asked for, as anywhere; the parser is of no further use."""
        stream = self.stream
        assert stream is not None and self.parser is not None
        if len(data) < self.left:
            self.left -= len(data)
            stream.send(data)
            return
        self.surplus = len(data) > self.left
        stream.send(data[: self.left] if self.surplus else data)
        self.left, self.complete, self.keep = 0, True, self.parser.should_keep_alive()
        self.stale = True
        if not self.closed:
            self._finish()

    def _spoilt(self, why: object) -> None:
        """Guards against whatever is no answer: it ends as a reset, since the request may have run, before
        any of it has reached the client, and the connection is of no further use. Harm: a good backend whose
        answers break the limits of the protocol fails."""
        self.pool.logger("spoilt answer", why)
        self.status = 0  # nothing that it said is to be believed
        self.fail(AttemptResult.RESET)

    def _finish(self) -> None:
        """The answer is whole."""
        attempt = self.attempt
        assert attempt is not None
        result = self.dialect.result(self.status, self.refusal)
        report = self._report()
        answer, streamed = None, self.stream is not None
        if streamed:
            self.hold(False)
        elif result == AttemptResult.SERVED or (result == AttemptResult.ERROR and not self.dialect.platform):
            stated = self.length if self.length_only or self.status in BODILESS else None
            answer = self._answer(b"".join(self.body), stated)
        self.attempt = None
        attempt.detach()
        if self.keep and not self.surplus and not self.is_unsent() and not self.closed:
            if self.stale:
                self.parser = httptools.HttpResponseParser(self)
            self._expect()
            self.pool.keep_idle(self)
        else:
            self.drop()
        self.pool.owner.finish_attempt(attempt, result, report, answer)

    def _answer(self, body: bytes, length: int | None) -> UpstreamResponse:
        lines = self.lines
        names = {name.strip() for name in self.hop.split(b",")} - {b"", b"close", b"keep-alive"}
        if names:  # headers of this connection alone (RFC 9110, 7.6.1)
            lines = [line for line in lines if line.partition(b":")[0].lower() not in names]
        again = self.again is not None and self.dialect.asks_again(self.again)
        return UpstreamResponse(lines, body, self.status, self.reason, length, again)

    def _report(self) -> Mapping[str, float] | None:
        if not self.pressure:
            return None
        try:
            return read_report(self.pressure, self.dialect.report_fields)
        except ValueError as problem:
            self.pool.logger("malformed load report", problem)
            return None

    # Another protocol.

    def _go_over(self, rest: bytes) -> None:
        """101 has come. Guards against one that nobody asked for, or for another protocol: then it is no answer."""
        attempt = self.attempt
        assert attempt is not None
        wanted = attempt.request.upgrade
        if not wanted or self.upgraded != wanted or b"upgrade" not in self.hop:
            self._spoilt(f"101 to {self.upgraded!r}, and {wanted!r} was asked for")
            return
        self.lines.append(b"Connection: Upgrade\r\nUpgrade: %b\r\n" % wanted)
        answer = self._answer(b"", None)
        self.attempt = None
        attempt.detach()
        owner = cast(TunnelOwner, self.pool.owner)
        self.tunnel = owner.begin_tunnel(attempt, answer, self)
        if self.tunnel is None:
            self.drop()
            self.pool.owner.finish_attempt(attempt, AttemptResult.CANCELLED)
            return
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=TUNNEL_BUFFER)
        if rest:
            self.tunnel.from_endpoint(rest)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def finish(self) -> None:
        if self.transport is not None and not self.closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def shut(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.close()
            asyncio.get_running_loop().call_later(SHUT_S, self.drop)

    def abort(self) -> None:
        self.drop()

    # Ending.

    def _may_end_with_connection(self) -> bool:
        """Whether an answer without a length of its own is one.

        Guards against spoilt answers that state none and leave their connection open: each would be waited for until
        its time is up. Who means to end it by closing says so (RFC 9112, 9.6), or speaks HTTP/1.0."""
        assert self.parser is not None
        closes = b"close" in [name.strip() for name in self.hop.split(b",")]
        return self.dialect.close_delimited and (
            closes or self.parser.get_http_version() == "1.0" or not self.dialect.platform
        )

    def _ends_with_connection(self) -> bool:
        """Whether the end of input is that of the answer (RFC 9112, 6.3, rule 8)."""
        return (
            self.dialect.close_delimited
            and self.attempt is not None
            and self.status >= 200
            and not self.framed
            and not self.is_unsent()
            and (self.stream is not None or self.held <= self.dialect.body_most)
        )

    def eof_received(self) -> bool | None:  # type: ignore[override]
        if self.tunnel is not None:
            self.tunnel.finish(True)
            return True  # the other direction is still open
        if self._ends_with_connection():
            self.complete = True
            self._finish()
            return None
        self.fail(self.broken())
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.tunnel is not None:
            self.tunnel.lost()

    def release(self) -> None:
        self._release()
        if self.upload is not None:
            upload, self.upload = self.upload, None
            self.unsent = True  # not all of it has left
            upload.detach(self)
        self.parser = None  # they hold one another, and would stay until the collector comes by
