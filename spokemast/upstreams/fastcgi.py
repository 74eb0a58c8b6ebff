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
"""

from __future__ import annotations

import socket
from typing import Mapping, NamedTuple

from spokemast.fastcgi.cgi import BLOCK_MOST, CgiError, CgiHead, find_end, header_of, read_head, to_params
from spokemast.fastcgi.webserver import End, WebServerSide, encode_request
from spokemast.interface import Result
from spokemast.upstreams.base import SocketUpstream
from spokemast.upstreams.connections import Answer, Attempt, Backend, Backends
from spokemast.upstreams.dialect import Dialect
from spokemast.upstreams.report import read_report

#: Statuses whose answers have no body.
BODILESS = frozenset((204, 304))
#: Bytes of records that may come for one request beside its answer: STDERR, padding, records of no use.
BESIDE_MOST = 256 << 10


class Application(NamedTuple):
    """What the configuration says of a pool's applications."""

    params: Mapping[bytes, bytes]  # such as SCRIPT_FILENAME; they stand above what a request says
    keep: bool = True  # connections are kept


class FastCgiConnection(SocketUpstream):
    """One connection to an application."""

    def __init__(self, backend: Backend, pool: Backends, sock: socket.socket, dialect: Dialect,
                 not_passed: frozenset[bytes], application: Application) -> None:  # fmt: skip
        super().__init__(backend, pool, sock)
        self.dialect, self.not_passed, self.application = dialect, not_passed, application
        self.side = WebServerSide()
        self.held = 0  # bytes of STDOUT, charged to the budget
        self.received = 0
        self.unproven = (
            0  # bytes at the end of the request that may be missing when it has begun all the same
        )

    def start(self, attempt: Attempt) -> None:
        self.take(attempt)
        self.received = 0
        request = attempt.request
        body = bytes(request.body or b"")
        timeout_ms = max(1, round(attempt.timeout * 1000))
        head = request.head
        if self.dialect.deadline_header is not None:
            head += b"%b: %dm\r\n" % (self.dialect.deadline_header, timeout_ms)
        params = to_params(head, len(body), self.application.params, _peer(head), timeout_ms)
        data, begun = encode_request(self.side.begin(), params, body, self.application.keep)
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
        if end is not None:
            self._finish(end)
        elif len(self.side.stdout) > self.dialect.body_most + BLOCK_MOST:
            self._spoilt("too large")
        elif self.received > self.dialect.body_most + BLOCK_MOST + BESIDE_MOST:
            self._spoilt("without end")

    def _charge(self) -> None:
        more = len(self.side.stdout) - self.held
        self.held += more
        self.pool.budget.held += more

    def _spoilt(self, why: object) -> None:
        """Guards against whatever is no answer, before any of it has reached the client; as in HTTP."""
        self.pool.complain("spoilt answer", why)
        self.fail(Result.RESET)

    def _finish(self, end: End) -> None:
        if self.side.stderr:
            self.pool.complain(
                f"stderr of {self.attempt.server if self.attempt else ''}", bytes(self.side.stderr)
            )
        if end == End.NEVER_RAN:
            self._end(Result.FULL, None, None)
        elif end == End.SILENT:
            self._spoilt("the request ended with no answer")
        elif end == End.BROKEN:
            self._spoilt("no FastCGI")
        else:
            try:
                head, body = self._read()
            except CgiError as problem:
                self._spoilt(problem)
                return
            self._answered(head, body)

    def _read(self) -> tuple[CgiHead, bytes]:
        """The answer on STDOUT; CgiError where it is none, or not whole."""
        stdout = bytes(self.side.stdout)
        found = find_end(stdout)
        if found is None:
            raise CgiError("a header block without end")
        head, body = read_head(stdout[: found[0]]), stdout[found[1] :]
        attempt = self.attempt
        bodiless = head.status in BODILESS or (attempt is not None and attempt.request.bodiless)
        if bodiless:
            return head, b""
        if head.length is not None and head.length != len(body):
            raise CgiError(f"{len(body)} bytes where {head.length} are stated")
        if len(body) > self.dialect.body_most:
            raise CgiError("too large")
        return head, body

    def _answered(self, head: CgiHead, body: bytes) -> None:
        refusal = self.dialect.refusal_header
        result = self.dialect.result(head.status, head.headers.get(refusal) if refusal else None)
        if self.side.status and head.length is None and result != Result.FULL:
            result, answer = Result.ERROR, None
        else:
            lines = [line for line in head.lines if line.partition(b":")[0].lower() not in self.not_passed]
            answer = Answer(lines, body, head.status, head.reason, head.length)
        if result not in (Result.SERVED, Result.ERROR) or (self.dialect.platform and result == Result.ERROR):
            answer = None
        self._end(result, self._report(head), answer)

    def _report(self, head: CgiHead) -> Mapping[str, float] | None:
        name = self.dialect.report_header
        value = head.headers.get(name) if name is not None else None
        if not value:
            return None
        try:
            return read_report(value, self.dialect.report_fields)
        except ValueError as problem:
            self.pool.complain("malformed load report", problem)
            return None

    def _end(self, result: Result, report: Mapping[str, float] | None, answer: Answer | None) -> None:
        """The request has ended, and the connection may carry the next one."""
        attempt = self.attempt
        assert attempt is not None
        self.attempt = None
        attempt.connection = None
        if self.application.keep and not self.side.stray and not self.unsent and not self.closed:
            self.release()
            self.pool.park(self)
        else:
            self.drop()
        self.pool.owner.finish_attempt(attempt, result, report, answer)

    def release(self) -> None:
        self.pool.budget.give(self.held)
        self.held = 0
        self.side.stdout = bytearray()


def _peer(head: bytes) -> bytes:
    """The address of the client, as the front has stated it."""
    chain = header_of(head.split(b"\r\n")[1:], b"x-forwarded-for")
    return chain.rpartition(b",")[2].strip() if chain else b"127.0.0.1"


def application(params: Mapping[str, str], keep: bool) -> Application:
    return Application({name.encode(): value.encode() for name, value in params.items()}, keep)
