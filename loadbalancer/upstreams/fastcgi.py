"""FastCGI connections to members (applications): one request at a time, whose end becomes an AttemptResult.

| what is received | result | why |
| --- | --- | --- |
| no connection, or it breaks before the empty PARAMS record was sent | NO_CONNECTION | see encode_request |
| OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, with nothing on STDOUT | FULL | refused before the application saw it |
| a complete answer | by its status, as in HTTP | |
| REQUEST_COMPLETE with nothing on STDOUT | RESET | it ran, and wrote no answer |
| an answer whose length differs from its Content-Length, or an invalid one | RESET | may have run |
| an application status other than 0, and no length stated | ERROR | the failure may have truncated the answer |
| the connection breaks after the params, with or without all of STDIN | RESET | may have run |

An answer too long to be buffered whole is streamed to the client as it arrives, if the dialect allows streams. If it
then turns out to be invalid, the stream is aborted.
"""

from __future__ import annotations

import socket
import time
from typing import Mapping, NamedTuple, Union

from loadbalancer.fastcgi.cgi import (
    MAX_HEADER_BLOCK_BYTES,
    CgiError,
    CgiHead,
    find_end,
    fixed_params,
    read_head,
    to_params,
)
from loadbalancer.fastcgi.records import encode_pairs
from loadbalancer.fastcgi.webserver import End, WebServerSide, encode_request
from loadbalancer.policy.events import AttemptResult
from loadbalancer.streaming.streams import Stream
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import Attempt, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.interfaces import UpstreamResponse
from loadbalancer.upstreams.partial_answers import PartialAnswer
from loadbalancer.upstreams.report import read_report

#: Statuses whose answers have no body.
BODILESS = frozenset((204, 304))
#: Bytes of records that may be received for one request beyond its answer: STDERR, padding, ignored records.
MAX_OVERHEAD_BYTES = 256 << 10


class Application(NamedTuple):
    """Settings of a pool's applications."""

    params: Mapping[bytes, bytes]  # such as SCRIPT_FILENAME; they take precedence over params of the request
    encoded: bytes  # the same, encoded once for all requests
    keep: bool = True  # keep connections open between requests
    multiplex: bool = False  # query whether an application accepts several requests on a connection


class FastCgiUpstreamConnection(SocketUpstream):
    """One FastCGI connection to an application, which carries one attempt at a time."""

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
        self.side = WebServerSide()
        self.charged_bytes = 0  # bytes of STDOUT, charged to the budget
        self.received_bytes = 0
        self.stream: Stream | None = None  # receives the body of a streamed answer
        self.head: CgiHead | None = None  # the head of the streamed answer
        self.head_at = 0.0  # monotonic, when the head of an incomplete answer was complete; 0: not yet
        self.body_offset = 0  # of a partial answer without a stated length, in what STDOUT holds
        # Bytes of the request after its params; unsent ones don't prove that it has not run.
        self.bytes_after_params = 0

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request as records."""
        self.assign(attempt)
        self.received_bytes = 0
        self.stream = self.head = None
        self.head_at = 0.0
        data, start_bytes = request_records(self.side.begin(), attempt, self.dialect, self.application)
        self.bytes_after_params = len(data) - start_bytes
        self.write(data)

    def is_unsent(self) -> bool:
        """Return whether the end of the params is provably still unsent.

        Over TLS, and on a transport that is closing, it is unknown how much of the request was sent.
        """
        transport = self.transport
        if self.secure or transport is None or transport.is_closing():
            return False
        return transport.get_write_buffer_size() > self.bytes_after_params

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Decode records, and stream, finish or reject the answer."""
        if self.attempt is None:
            self.drop()
            return
        self.received_bytes += len(data)
        self.record_received()
        end = self.side.feed(data)
        self._charge_stdout()
        if self.stream is not None:
            self._forward(self.stream, end)
        elif end is not None:
            self._handle_end(end)
        else:
            self._handle_partial_answer()

    def _handle_partial_answer(self) -> None:
        """Stream an incomplete answer that is known to be long, reject one past the limits, or wait for the rest."""
        buffered_most = self.dialect.body_most + MAX_HEADER_BLOCK_BYTES
        if self.dialect.stream_most and len(self.side.stdout) > buffered_most:
            self.head_at = self.head_at or time.monotonic()
            self._begin_stream()
        elif len(self.side.stdout) > buffered_most:
            self._reject(f"an answer of more than {buffered_most} bytes")
        elif self.received_bytes > buffered_most + MAX_OVERHEAD_BYTES:
            self._reject(f"{self.received_bytes} bytes of records without an end of the request")
        elif self.dialect.stream_most and not self.head_at and find_end(self.side.stdout):
            self.head_at = time.monotonic()
            self._examine_partial_answer()
        elif self.partial_answer is not None:
            self.partial_answer.record(len(self.side.stdout) - self.body_offset)

    # Streamed answers.

    def _examine_partial_answer(self) -> None:
        """Stream an answer whose complete head states a great length; limit the time that one without is held back."""
        try:
            partial = self._read_streamable_answer()
        except CgiError:
            return  # its end decides what it is
        if partial.head.length is None:
            self.body_offset = partial.body_offset
            progress = self.begin_partial_answer(self.dialect.body_most)
            progress.record(len(self.side.stdout) - self.body_offset)
        elif partial.head.length > self.dialect.body_most:
            self._stream(partial)

    def _begin_stream(self) -> None:
        """Stream an answer that is too long to be buffered, or reject it."""
        try:
            partial = self._read_streamable_answer()
        except CgiError as problem:
            self._reject(problem)
            return
        self._stream(partial)

    def find_partial_answer(self) -> PartialAnswer | None:
        """Return the progress of an answer without a stated length that may be streamed; see `Upstream`."""
        if self.attempt is None or self.closed or self.stream is not None:
            return None
        return self.partial_answer

    def pass_on_partial_answer(self) -> bool:
        """Stream an answer without a stated length; see `Upstream`."""
        if self.find_partial_answer() is None:
            return False
        self._begin_stream()
        return True

    def _read_streamable_answer(self) -> _PartialAnswer:
        """Return the head of the buffered answer, if the answer may be streamed.

        Raises:
            CgiError: The head is incomplete or malformed, or the answer is not SERVED, has no body, or is too long.
        """
        attempt, dialect = self.attempt, self.dialect
        assert attempt is not None
        found = find_end(self.side.stdout)
        if found is None:
            raise CgiError("a long answer that has no complete head")
        head = read_head(bytes(self.side.stdout[: found[0]]), self.not_passed)
        if attempt.request.bodiless or head.status in BODILESS:
            raise CgiError("a long answer whose status or request allows no body")
        refusal = dialect.refusal_header
        result = dialect.result(head.status, head.headers.get(refusal) if refusal else None)
        if result != AttemptResult.SERVED or (head.length or 0) > dialect.stream_most:
            raise CgiError(f"a body longer than {dialect.body_most} bytes that can't be streamed")
        return _PartialAnswer(head, found[1])

    def _stream(self, partial: _PartialAnswer) -> None:
        attempt, head = self.attempt, partial.head
        assert attempt is not None
        attempt.answered_at = self.head_at
        response_head = UpstreamResponse(head.lines, b"", head.status, head.reason, head.length)
        stream = self.pool.owner.begin_answer(attempt, response_head, self)
        if stream is None or self.closed:
            return
        self.stream, self.head = stream, head
        if head.length is None:
            self.begin_partial_answer(self.dialect.body_most).watch(stream)
        del self.side.stdout[: partial.body_offset]
        self._forward(stream, None)

    def _forward(self, stream: Stream, end: End | None) -> None:
        """Forward the bytes received so far; reject an answer that is longer or shorter than its head states."""
        assert self.head is not None
        data, length = self.side.exchange.read_stdout(), self.head.length
        self._charge_stdout()
        if stream.passed_bytes + len(data) > (self.dialect.stream_most if length is None else length):
            self._reject("a streamed body that is longer than stated or allowed")
            return
        stream.send(data)
        if end is None or self.closed:
            return
        is_complete = stream.passed_bytes == length if length is not None else not self.side.status
        if end != End.ANSWERED or not is_complete:
            self._reject("the streamed answer ended before it was complete")
            return
        self.set_reading_paused(False)
        self._finish_attempt(
            AttemptResult.SERVED, _read_load_report(self.pool, self.dialect, self.head), None
        )

    def _charge_stdout(self) -> None:
        added = len(self.side.stdout) - self.charged_bytes
        self.charged_bytes += added
        self.pool.budget.charge(added)

    def _reject(self, error: object) -> None:
        """Reject an invalid answer: close the connection and finish the attempt as a reset, as for HTTP."""
        self.pool.logger("spoilt answer", error)
        self.fail(AttemptResult.RESET)

    def _handle_end(self, end: End) -> None:
        attempt = self.attempt
        assert attempt is not None
        log_stderr(self.pool, attempt, self.side.stderr)
        if end == End.NEVER_RAN:
            self._finish_attempt(AttemptResult.FULL, None, None)
        elif end == End.SILENT:
            self._reject("the request ended without an answer")
        elif end == End.BROKEN:
            self._reject("the records violate the FastCGI protocol")
        else:
            response = bytes(self.side.stdout), self.side.status, attempt.request.bodiless
            try:
                result, report, answer = parse_response(self.pool, self.dialect, self.not_passed, *response)
            except CgiError as problem:
                self._reject(problem)
                return
            self._finish_attempt(result, report, answer)

    def _finish_attempt(
        self, result: AttemptResult, report: Mapping[str, float] | None, answer: UpstreamResponse | None
    ) -> None:
        """Finish the attempt, and keep the connection for the next one or close it."""
        attempt = self.attempt
        assert attempt is not None
        self.end_partial_answer()
        self.attempt = None
        attempt.detach()
        is_clean = not self.side.has_stray_records and not self.has_unsent_bytes()
        if self.application.keep and is_clean and not self.closed:
            self.release()
            self.pool.keep_idle(self)
        else:
            self.drop()
        self.pool.owner.finish_attempt(attempt, result, report, answer)

    def release(self) -> None:
        """Release the buffered part of the answer."""
        self.pool.budget.release(self.charged_bytes)
        self.charged_bytes = 0
        self.side.stdout.clear()


class _PartialAnswer(NamedTuple):
    """The head of an answer that is not complete, and the offset of its body in STDOUT."""

    head: CgiHead
    body_offset: int


def log_stderr(pool: UpstreamPools, attempt: Attempt, text: bytes | bytearray) -> None:
    """Log what an application has written to STDERR for one request."""
    if text:
        pool.logger(f"stderr of {attempt.endpoint}", bytes(text))


ParsedResponse = tuple[AttemptResult, Union[Mapping[str, float], None], Union[UpstreamResponse, None]]


def parse_response(
    pool: UpstreamPools,
    dialect: Dialect,
    not_passed: frozenset[bytes],
    stdout: bytes,
    status: int,
    bodiless: bool,
) -> ParsedResponse:
    """Return the result, the load report and the answer of a complete STDOUT.

    `status`: the application status of END_REQUEST. `bodiless`: the request was a HEAD request.

    Raises CgiError if STDOUT is not a valid, complete answer.
    """
    head, body = _split_stdout(stdout, not_passed, dialect.body_most, bodiless)
    refusal = dialect.refusal_header
    result = dialect.result(head.status, head.headers.get(refusal) if refusal else None)
    answer = None
    if status and head.length is None and result != AttemptResult.FULL:
        result = AttemptResult.ERROR
    elif result == AttemptResult.SERVED or (result == AttemptResult.ERROR and not dialect.platform):
        asks_for_retry = dialect.requests_retry(head.headers.get(dialect.repeat_header or b""))
        answer = UpstreamResponse(head.lines, body, head.status, head.reason, head.length, asks_for_retry)
    return result, _read_load_report(pool, dialect, head), answer


def _split_stdout(
    stdout: bytes, not_passed: frozenset[bytes], body_most: int, bodiless: bool
) -> tuple[CgiHead, bytes]:
    found = find_end(stdout)
    if found is None:
        raise CgiError("the header block does not end with an empty line")
    head, body = read_head(stdout[: found[0]], not_passed), stdout[found[1] :]
    if bodiless or head.status in BODILESS:
        return head, b""
    if head.length is not None and head.length != len(body):
        raise CgiError(f"the body has {len(body)} bytes, but Content-Length states {head.length}")
    if len(body) > body_most:
        raise CgiError(f"the body has {len(body)} bytes, more than {body_most}")
    return head, body


def _read_load_report(pool: UpstreamPools, dialect: Dialect, head: CgiHead) -> Mapping[str, float] | None:
    value = head.headers.get(dialect.report_header) if dialect.report_header is not None else None
    if not value:
        return None
    try:
        return read_report(value, dialect.report_fields)
    except ValueError as problem:
        pool.logger("malformed load report", problem)
        return None


def request_records(
    number: int, attempt: Attempt, dialect: Dialect, application: Application
) -> tuple[bytes, int]:
    """Return the records of an attempt's request, and how many of its bytes must be sent before it can have begun."""
    request, head = attempt.request, attempt.request.head
    timeout_ms = max(1, round(attempt.timeout * 1000))
    if dialect.deadline_header is not None:
        head += b"%b: %dm\r\n" % (dialect.deadline_header, timeout_ms)
    body = bytes(request.body or b"")
    params = to_params(head, len(body), application.params, _client_address(head), timeout_ms)
    return encode_request(number, params, body, application.keep, application.encoded)


def _client_address(head: bytes) -> bytes:
    """Return the client's address: the last entry of X-Forwarded-For, which the front end has set."""
    at = head.lower().find(b"\r\nx-forwarded-for:")
    chain = head[at + 18 :].partition(b"\r\n")[0] if at >= 0 else b""
    return chain.rpartition(b",")[2].strip() if chain else b"127.0.0.1"


def application(params: Mapping[str, str], keep: bool, multiplex: bool) -> Application:
    """Return the settings of applications, with the encoded form of their fixed params."""
    fixed = fixed_params({name.encode(): value.encode() for name, value in params.items()})
    return Application(fixed, encode_pairs(fixed.items()), keep, multiplex)
