"""Encodes answers to clients in HTTP/1.1 (RFC 9112, 4). Independent of connections."""

from __future__ import annotations

from typing import Sequence

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 421: b"Misdirected Request",
    431: b"Request Header Fields Too Large", 501: b"Not Implemented", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
#: Answers that have no body, whatever their headers say (RFC 9110, 6.4.1).
BODILESS = frozenset((204, 304))
LAST = b"Connection: close\r\n"


def encode_answer(
    status: int,
    lines: Sequence[bytes],
    body: bytes,
    *,
    is_last: bool,
    is_bodiless: bool = False,
    stated_length: int | None = None,
    reason: bytes = b"",
) -> bytes:
    """Encode a complete answer.

    Args:
        status: The status code.
        lines: Header lines, each with its CRLF.
        body: The body.
        is_last: Whether the connection is closed after the answer.
        is_bodiless: Whether the request was HEAD.
        stated_length: Content-Length of an answer that has no body.
        reason: The reason phrase; empty for the usual one.
    """
    framing = _length(len(body))
    if is_bodiless or status in BODILESS:
        if stated_length is not None and status != 204:
            framing = _length(stated_length)
        elif status in BODILESS or not body:
            framing = b""
        body = b""
    return _encode_head(status, lines, framing, is_last, reason) + body


def encode_stream_head(
    status: int,
    lines: Sequence[bytes],
    length: int | None,
    *,
    is_last: bool,
    is_chunked: bool,
    reason: bytes = b"",
) -> bytes:
    """Encode the head of an answer whose body is streamed.

    Args:
        status: The status code.
        lines: Header lines, each with its CRLF.
        length: Length of the body; None if it is not known.
        is_last: Whether the connection is closed after the answer.
        is_chunked: Whether a body of unknown length is chunked.
        reason: The reason phrase; empty for the usual one.
    """
    framing = b"Transfer-Encoding: chunked\r\n" if is_chunked else b""
    if length is not None:
        framing = _length(length)
    return _encode_head(status, lines, framing, is_last, reason)


def encode_refusal(retry_after_s: float = 0.0) -> bytes:
    """Encode the 503 answer on a connection that is refused before a request was read.

    Args:
        retry_after_s: Seconds after which the client may retry; 0 for no Retry-After header.
    """
    lines = retry_after(retry_after_s) if retry_after_s else ()
    return _encode_head(503, lines, _length(0), True, b"")


def retry_after(seconds: float) -> tuple[bytes]:
    """Return the Retry-After header of a refusal (RFC 9110, 10.2.3): whole seconds, at least one."""
    return (b"Retry-After: %d\r\n" % max(1, round(seconds)),)


def _length(length: int) -> bytes:
    return b"Content-Length: %d\r\n" % length


def _encode_head(status: int, lines: Sequence[bytes], framing: bytes, is_last: bool, reason: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        reason or REASONS.get(status, b""),
        b"".join(lines),
        LAST if is_last else b"",
        framing,
    )
