"""FastCGI to a member (an application): one request at a time on a connection, and its end as a Result.

| what comes | result | why |
| --- | --- | --- |
| no connection, or it breaks before the empty PARAMS record has left | NO_CONNECTION | see encode_request |
| OVERLOADED, CANT_MPX_CONN or UNKNOWN_ROLE, with nothing on STDOUT | FULL | refused before the application saw it |
| a whole answer | by its status, as in HTTP | |
| REQUEST_COMPLETE with nothing on STDOUT | RESET | it ran, and said nothing |
| an answer whose length is not the one it states, or that is none | RESET | spoilt: may have run |
| an application status other than 0, and no length stated | ERROR | what there is may have been cut by the failure |
| the connection breaks after the params, STDIN whole or not | RESET | may have run |

An answer too long to be judged whole is passed on as it comes, from its head, where the dialect has room for that; what
then turns out spoilt breaks it off.
"""

from __future__ import annotations

import socket
import time
from typing import Mapping, NamedTuple, Union

from loadbalancer.fastcgi.cgi import (
    BLOCK_MOST,
    CgiError,
    CgiHead,
    find_end,
    fixed_params,
    read_head,
    to_params,
)
from loadbalancer.fastcgi.records import encode_pairs
from loadbalancer.fastcgi.webserver import End, WebServerSide, encode_request
from loadbalancer.policy.events import (
    AttemptResult,
)
from loadbalancer.streaming.streams import Stream
from loadbalancer.upstreams.base import SocketUpstream
from loadbalancer.upstreams.connections import Attempt, UpstreamEndpoint, UpstreamPools
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.interfaces import UpstreamResponse
from loadbalancer.upstreams.report import read_report

#: Statuses whose answers have no body.
BODILESS = frozenset((204, 304))
#: Bytes of records that may come for one request beside its answer: STDERR, padding, records of no use.
BESIDE_MOST = 256 << 10


class Application(NamedTuple):
    """What the configuration says of a pool's applications."""

    params: Mapping[bytes, bytes]  # such as SCRIPT_FILENAME; they stand above what a request says
    encoded: bytes  # the same, once for all requests
    keep: bool = True  # connections are kept
    multiplex: bool = False  # ask whether an application takes several requests on a connection


class FastCgiUpstreamConnection(SocketUpstream):
    """One connection to an application."""

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
        self.held = 0  # bytes of STDOUT, charged to the budget
        self.received = 0
        self.stream: Stream | None = None  # takes the body as it comes
        self.head: CgiHead | None = None  # of that answer
        self.unproven = (
            0  # bytes at the end of the request that may be missing when it has begun all the same
        )

    def start(self, attempt: Attempt) -> None:
        self.take(attempt)
        self.received = 0
        self.stream = self.head = None
        data, begun = request_records(self.side.begin(), attempt, self.dialect, self.application)
        self.unproven = len(data) - begun
        self.write(data)

    def is_unsent(self) -> bool:
        """Whether the end of the params is still here."""
        if not self.unsent or self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > self.unproven

    # Receiving.

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.drop()
            return
        self.received += len(data)
        self.note_heard()
        end = self.side.feed(data)
        self._charge()
        if self.stream is not None:
            self._go_on(self.stream, end)
        elif end is not None:
            self._finish(end)
        elif self.dialect.stream_most and len(self.side.stdout) > self.dialect.body_most + BLOCK_MOST:
            self._begin_stream()
        elif len(self.side.stdout) > self.dialect.body_most + BLOCK_MOST:
            self._spoilt("too large")
        elif self.received > self.dialect.body_most + BLOCK_MOST + BESIDE_MOST:
            self._spoilt("without end")

    # A long answer.

    def _begin_stream(self) -> None:
        """The answer is too long to be judged whole: it is passed on from its head, if it is one for the client."""
        attempt, dialect = self.attempt, self.dialect
        assert attempt is not None
        found = find_end(self.side.stdout)
        try:
            head = read_head(bytes(self.side.stdout[: found[0]]), self.not_passed) if found else None
        except CgiError as problem:
            self._spoilt(problem)
            return
        refusal = dialect.refusal_header
        if found is None or head is None or attempt.request.bodiless or head.status in BODILESS:
            self._spoilt("too large")
            return
        result = dialect.result(head.status, head.headers.get(refusal) if refusal else None)
        if result != AttemptResult.SERVED or (head.length or 0) > dialect.stream_most:
            self._spoilt("too large")
            return
        attempt.answered_at = time.monotonic()
        begun = UpstreamResponse(head.lines, b"", head.status, head.reason, head.length)
        stream = self.pool.owner.begin_answer(attempt, begun, self)
        if stream is None or self.closed:
            return
        self.stream, self.head = stream, head
        del self.side.stdout[: found[1]]
        self._go_on(stream, None)

    def _go_on(self, stream: Stream, end: End | None) -> None:
        """Pass on what has come; it breaks off where it is more than the head states, or ends before that."""
        assert self.head is not None
        data, length = self.side.exchange.draw(), self.head.length
        self._charge()
        if stream.passed_bytes + len(data) > (self.dialect.stream_most if length is None else length):
            self._spoilt("too large")
            return
        stream.send(data)
        if end is None or self.closed:
            return
        whole = stream.passed_bytes == length if length is not None else not self.side.status
        if end != End.ANSWERED or not whole:
            self._spoilt("it ended before its end")
            return
        self.hold(False)
        self._end(AttemptResult.SERVED, _report(self.pool, self.dialect, self.head), None)

    def _charge(self) -> None:
        more = len(self.side.stdout) - self.held
        self.held += more
        self.pool.budget.held_bytes += more

    def _spoilt(self, why: object) -> None:
        """Guards against whatever is no answer, before any of it has reached the client; as in HTTP."""
        self.pool.logger("spoilt answer", why)
        self.fail(AttemptResult.RESET)

    def _finish(self, end: End) -> None:
        attempt = self.attempt
        assert attempt is not None
        note_stderr(self.pool, attempt, self.side.stderr)
        if end == End.NEVER_RAN:
            self._end(AttemptResult.FULL, None, None)
        elif end == End.SILENT:
            self._spoilt("the request ended with no answer")
        elif end == End.BROKEN:
            self._spoilt("no FastCGI")
        else:
            said = bytes(self.side.stdout), self.side.status, attempt.request.bodiless
            try:
                result, report, answer = judge(self.pool, self.dialect, self.not_passed, *said)
            except CgiError as problem:
                self._spoilt(problem)
                return
            self._end(result, report, answer)

    def _end(
        self, result: AttemptResult, report: Mapping[str, float] | None, answer: UpstreamResponse | None
    ) -> None:
        """The request has ended, and the connection may carry the next one."""
        attempt = self.attempt
        assert attempt is not None
        self.attempt = None
        attempt.detach()
        if self.application.keep and not self.side.stray and not self.unsent and not self.closed:
            self.release()
            self.pool.keep_idle(self)
        else:
            self.drop()
        self.pool.owner.finish_attempt(attempt, result, report, answer)

    def release(self) -> None:
        self.pool.budget.release(self.held)
        self.held = 0
        self.side.stdout.clear()


def note_stderr(pool: UpstreamPools, attempt: Attempt, text: bytes | bytearray) -> None:
    if text:
        pool.logger(f"stderr of {attempt.endpoint}", bytes(text))


Verdict = tuple[AttemptResult, Union[Mapping[str, float], None], Union[UpstreamResponse, None]]


def judge(
    pool: UpstreamPools,
    dialect: Dialect,
    not_passed: frozenset[bytes],
    stdout: bytes,
    status: int,
    bodiless: bool,
) -> Verdict:
    """What a whole STDOUT means, with the load report on it; CgiError where it is no answer, or not whole.

    `status` is the application's own, of END_REQUEST; `bodiless`: the request was for a head alone."""
    head, body = _read(stdout, not_passed, dialect.body_most, bodiless)
    refusal = dialect.refusal_header
    result = dialect.result(head.status, head.headers.get(refusal) if refusal else None)
    answer = None
    if status and head.length is None and result != AttemptResult.FULL:
        result = AttemptResult.ERROR
    elif result == AttemptResult.SERVED or (result == AttemptResult.ERROR and not dialect.platform):
        again = dialect.asks_again(head.headers.get(dialect.repeat_header or b""))
        answer = UpstreamResponse(head.lines, body, head.status, head.reason, head.length, again)
    return result, _report(pool, dialect, head), answer


def _read(
    stdout: bytes, not_passed: frozenset[bytes], body_most: int, bodiless: bool
) -> tuple[CgiHead, bytes]:
    found = find_end(stdout)
    if found is None:
        raise CgiError("a header block without end")
    head, body = read_head(stdout[: found[0]], not_passed), stdout[found[1] :]
    if bodiless or head.status in BODILESS:
        return head, b""
    if head.length is not None and head.length != len(body):
        raise CgiError(f"{len(body)} bytes where {head.length} are stated")
    if len(body) > body_most:
        raise CgiError("too large")
    return head, body


def _report(pool: UpstreamPools, dialect: Dialect, head: CgiHead) -> Mapping[str, float] | None:
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
    """An attempt's request, and how many bytes of it must have left before it can have begun."""
    request, head = attempt.request, attempt.request.head
    timeout_ms = max(1, round(attempt.timeout * 1000))
    if dialect.deadline_header is not None:
        head += b"%b: %dm\r\n" % (dialect.deadline_header, timeout_ms)
    body = bytes(request.body or b"")
    params = to_params(head, len(body), application.params, _peer(head), timeout_ms)
    return encode_request(number, params, body, application.keep, application.encoded)


def _peer(head: bytes) -> bytes:
    """The address of the client, as the front has stated it."""
    at = head.lower().find(b"\r\nx-forwarded-for:")
    chain = head[at + 18 :].partition(b"\r\n")[0] if at >= 0 else b""
    return chain.rpartition(b",")[2].strip() if chain else b"127.0.0.1"


def application(params: Mapping[str, str], keep: bool, multiplex: bool) -> Application:
    fixed = fixed_params({name.encode(): value.encode() for name, value in params.items()})
    return Application(fixed, encode_pairs(fixed.items()), keep, multiplex)
