"""The head of an answer over HTTP/1.1: what its fields say of framing, outcome and load, and what the client gets."""

from __future__ import annotations

from typing import Mapping

from loadbalancer.http_grammar import VERSIONS, MessageError, is_chunked_alone, is_reason_phrase
from loadbalancer.policy.events import AttemptResult
from loadbalancer.resource_limits import RateLimitedLogger
from loadbalancer.upstreams.dialect import Dialect
from loadbalancer.upstreams.interfaces import UpstreamResponse
from loadbalancer.upstreams.report import read_report

#: Header fields of an answer, with its trailers, at most.
MAX_FIELDS = 256
#: Statuses of answers that have no body, whatever their headers say (RFC 9110, 6.4.1).
BODILESS = frozenset((204, 304))
USUAL_REASON = b"OK"
#: Options of Connection that name no header field.
CONNECTION_OPTIONS = frozenset((b"", b"close", b"keep-alive"))


class Http1ResponseHead:
    """A head, while it arrives and afterwards."""

    __slots__ = (
        "_connection_options",
        "_dialect",
        "_load_report",
        "_not_passed",
        "_retry_value",
        "field_count",
        "length",
        "lines",
        "reason",
        "refusal",
        "status",
        "transfer_codings",
        "upgrade_protocol",
    )

    def __init__(self, dialect: Dialect, not_passed: frozenset[bytes]) -> None:
        """Create the head of an answer of which nothing has arrived.

        Args:
            dialect: How answers of the endpoint are interpreted.
            not_passed: The dialect's headers that are not forwarded.
        """
        self._dialect = dialect
        self._not_passed = not_passed
        self.status = 0  # 0 until the head is complete
        self.field_count = 0
        self.lines: list[bytes] = []  # to forward, each with its line end
        self.length: int | None = None  # of the body, if it is stated
        self.transfer_codings = b""  # values of the Transfer-Encoding headers
        self.refusal: bytes | None = None  # value of the refusal header
        self.reason = b""
        self.upgrade_protocol = b""  # value of the Upgrade header
        self._retry_value: bytes | None = None  # value of the header that requests a retry
        self._load_report = b""
        self._connection_options = b""  # options of the Connection headers

    def add(self, name: bytes, value: bytes) -> None:
        """Store a header to forward, or one that frames or describes the answer."""
        value = value.strip(b" \t")  # the parser keeps trailing whitespace (RFC 9112, 5.1)
        key = name.lower()
        dialect = self._dialect
        if key not in self._not_passed:
            self.lines.append(b"%b: %b\r\n" % (name, value))
        elif key == dialect.report_header:
            self._load_report = value
        elif key == dialect.refusal_header:
            self.refusal = value
        elif key == dialect.repeat_header:
            self._retry_value = value
        elif key == b"content-length":
            self.length = int(value)
        elif key == b"transfer-encoding":
            self.transfer_codings += b"," + value if self.transfer_codings else value
        elif key == b"connection":
            self._connection_options += b"," + value.lower()
        elif key == b"upgrade":
            self.upgrade_protocol = value.lower()

    def has_too_many_fields(self) -> bool:
        """Return whether more fields have arrived than an answer may have."""
        return self.field_count > MAX_FIELDS

    def check(self, version: str) -> None:
        """Check what the parser lets pass.

        Args:
            version: The version in the status line, such as "1.1".

        Raises:
            MessageError: The head violates HTTP.
        """
        if version not in VERSIONS:
            raise MessageError(f"HTTP/{version} in the status line")
        if self.reason != USUAL_REASON and not is_reason_phrase(self.reason):
            raise MessageError("a control character in the reason phrase")
        if self.transfer_codings and (version == "1.0" or not is_chunked_alone(self.transfer_codings)):
            raise MessageError(f"Transfer-Encoding {self.transfer_codings!r} in HTTP/{version}")

    def is_self_delimited(self) -> bool:
        """Return whether the answer has a length of its own or is chunked."""
        return self.length is not None or bool(self.transfer_codings)

    def allows_body(self) -> bool:
        """Return whether an answer of this status may have a body."""
        return self.status not in BODILESS

    def connection_options(self) -> set[bytes]:
        """Return the options of Connection, in lower case (RFC 9110, 7.6.1)."""
        return {name.strip() for name in self._connection_options.split(b",")}

    def result(self) -> AttemptResult:
        """Return the result of the attempt if the answer becomes complete."""
        return self._dialect.result(self.status, self.refusal)

    def is_served(self) -> bool:
        """Return whether the head is complete and says that the request was served."""
        return self.status > 0 and self.result() == AttemptResult.SERVED

    def build_response(self, body: bytes, length: int | None) -> UpstreamResponse:
        """Return the answer as the client gets it.

        Args:
            body: The body, if it is buffered.
            length: The Content-Length of an answer without a body, or with a streamed one.
        """
        lines = self.lines
        names = self.connection_options() - CONNECTION_OPTIONS if self._connection_options else None
        if names:  # headers that concern this connection alone
            lines = [line for line in lines if line.partition(b":")[0].lower() not in names]
        asks_for_retry = self._retry_value is not None and self._dialect.requests_retry(self._retry_value)
        return UpstreamResponse(lines, body, self.status, self.reason, length, asks_for_retry)

    def read_load_report(self, logger: RateLimitedLogger) -> Mapping[str, float] | None:
        """Return the load report of the endpoint; None if there is none, or a malformed one, which is logged."""
        if not self._load_report:
            return None
        try:
            return read_report(self._load_report, self._dialect.report_fields)
        except ValueError as problem:
            logger("malformed load report", problem)
            return None
