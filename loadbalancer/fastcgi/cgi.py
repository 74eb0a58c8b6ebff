"""Converts between HTTP and CGI/1.1 (RFC 3875): params of requests and headers of answers. No I/O.

The proxy's core has one form of request for all protocols: the request line and headers that HTTP/1.1 members get.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Mapping, NamedTuple, Sequence

#: Maximum of bytes of an answer's header block; guards against an endless one.
MAX_HEADER_BLOCK_BYTES = 32 << 10
#: Size of the caches of converted names: more than any application has, and a limit whatever peers send.
NAME_CACHE_SIZE = 512
#: Maximum of bytes of a header line of an answer whose parsed form is cached.
MAX_CACHED_LINE_BYTES = 128
#: Headers of an answer that the proxy evaluates, and that may stand in it once.
SINGLETON_HEADERS = frozenset((b"status", b"content-length", b"transfer-encoding"))
#: Field names (RFC 9110, 5.1).
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
#: Two line ends in a row.
BLOCK_END = re.compile(rb"\r?\n\r?\n")
#: A line of a header block; matched without backtracking.
LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)")
#: Field values: no control characters except tabs.
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
STATUS = re.compile(rb"([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?")
#: Headers of a request that don't become HTTP_ params (RFC 3875, 4.1.18), or must not. `Proxy` would become HTTP_PROXY,
#: which libraries read as the proxy to use (CVE-2016-5385).
EXCLUDED_HEADERS = frozenset(
    (b"content-length", b"content-type", b"proxy", b"connection", b"transfer-encoding")
)


class CgiError(ValueError):
    """An invalid CGI request or answer."""


class CgiHead(NamedTuple):
    """The header block of an answer."""

    status: int
    reason: bytes
    lines: list[bytes]  # headers to forward, each with its line end
    headers: dict[bytes, bytes]  # by name in lower case; the last one of a repeated header
    length: int | None  # value of Content-Length, if any


def find_end(data: bytes | bytearray) -> tuple[int, int] | None:
    """Return the offsets of the end of the header block and of the body, or None if the block is incomplete.

    Lines may end in LF or CRLF (RFC 3875, 6.2)."""
    match = BLOCK_END.search(data, 0, MAX_HEADER_BLOCK_BYTES + 4)
    return (match.start(), match.end()) if match is not None else None


def read_head(block: bytes, not_passed: frozenset[bytes] = frozenset()) -> CgiHead:
    """Parse a header block, given without the empty line (RFC 3875, 6.3); raise CgiError if it is invalid.

    `not_passed`: names in lower case of headers that are in `headers`, but not in `lines`.

    Status takes precedence over Location; a Location without Status is a redirect with 302."""
    lines: list[bytes] = []
    headers: dict[bytes, bytes] = {}
    for line in block.replace(b"\r\n", b"\n").split(b"\n"):
        key, value, header_line = (
            _parse_line_cached(line) if len(line) <= MAX_CACHED_LINE_BYTES else _parse_line(line)
        )
        if key in SINGLETON_HEADERS and key in headers:
            raise CgiError(f"the answer has more than one {key.decode()} header")
        headers[key] = value
        if key not in SINGLETON_HEADERS and key not in not_passed:
            lines.append(header_line)
    if b"transfer-encoding" in headers:
        raise CgiError("the answer has a Transfer-Encoding header")  # forbidden by RFC 3875, 6.3.4
    status = headers.get(b"status")
    if status is not None:
        code, reason = _parse_status(status)
    else:
        code, reason = (302, b"Found") if b"location" in headers else (200, b"OK")
    return CgiHead(code, reason, lines, headers, _parse_length(headers.get(b"content-length")))


def _parse_line(line: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the name in lower case, the value, and the line in the form of HTTP."""
    match = LINE.fullmatch(line)
    if match is None:
        raise CgiError(f"invalid header line {line[:40]!r}")
    name, value = match[1], match[2].strip(b" \t")
    return name.lower(), value, b"%b: %b\r\n" % (name, value)


#: `_parse_line` with a cache, since applications send mostly the same header lines.
_parse_line_cached = lru_cache(NAME_CACHE_SIZE)(_parse_line)


@lru_cache(NAME_CACHE_SIZE)
def _parse_status(value: bytes) -> tuple[int, bytes]:
    match = STATUS.fullmatch(value)
    if match is None or int(match[1]) < 200:
        raise CgiError(f"invalid status {value[:40]!r}, expected 200 to 599")
    return int(match[1]), match[2] or b""


def _parse_length(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise CgiError(f"invalid Content-Length {value[:40]!r}")
    return int(value)


# Requests.


def fixed_params(extra: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """Return the params that are the same in every request.

    `extra`: params of the configuration (SCRIPT_FILENAME and others), which take precedence over all others."""
    own_params = {
        b"GATEWAY_INTERFACE": b"CGI/1.1",
        b"SERVER_SOFTWARE": b"micastand",
        b"SERVER_PROTOCOL": b"HTTP/1.1",
    }
    return {**own_params, **extra}


def to_params(
    head: bytes, length: int, fixed: Mapping[bytes, bytes], peer: bytes, timeout_ms: int
) -> list[tuple[bytes, bytes]]:
    """Return the params for a request's line and headers, without those in `fixed`.

    `length`: bytes of the body. `peer`: address of the client. `timeout_ms` becomes REQUEST_TIMEOUT_MS, how long the
    proxy waits for the answer."""
    line, *rest = head.split(b"\r\n")
    method, _, target_and_version = line.partition(b" ")
    target = target_and_version.rpartition(b" ")[0]
    path, _, query = target.partition(b"?")
    params = {
        b"REQUEST_METHOD": method,
        b"REQUEST_URI": target,
        b"QUERY_STRING": query,
        b"SCRIPT_NAME": path,
        b"DOCUMENT_URI": path,
        b"REMOTE_ADDR": peer,
        b"CONTENT_LENGTH": b"%d" % length if length else b"",
        b"REQUEST_TIMEOUT_MS": b"%d" % timeout_ms,
    }
    for header_line in rest:
        name, _, value = header_line.partition(b":")
        param = param_name(name)
        if param is None:
            continue
        value = value.strip()
        if param in params:
            value = params[param] + (b"; " if param == b"HTTP_COOKIE" else b", ") + value
        params[param] = value
    authority = params.get(b"HTTP_HOST", b"")
    host, _, port = authority.rpartition(b":")
    has_port = host and port.isdigit()
    params[b"SERVER_NAME"], params[b"SERVER_PORT"] = (host, port) if has_port else (authority, b"80")
    for name in fixed:
        params.pop(name, None)
    return list(params.items())


@lru_cache(NAME_CACHE_SIZE)
def param_name(name: bytes) -> bytes | None:
    """Return the param that a header becomes, or None if it is dropped.

    A header with an underscore in its name is dropped: `X_User` and `X-User` become the same param, and a client could
    forge the one with the other."""
    key = name.lower()
    if key == b"content-type":
        return b"CONTENT_TYPE"
    if not key or key in EXCLUDED_HEADERS or b"_" in key:
        return None
    return b"HTTP_" + name.upper().replace(b"-", b"_")


class CgiRequest(NamedTuple):
    """A request as described by the params of a FastCGI web server."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names as HTTP writes them
    length: int | None  # of the body, as stated by CONTENT_LENGTH


def from_params(params: Mapping[bytes, bytes]) -> CgiRequest:
    """Return the request that params describe; raise CgiError if they are invalid.

    No HTTP parser has checked the params, so methods, targets and values are validated here: a line break in a value
    would start another header at the member."""
    method = params.get(b"REQUEST_METHOD", b"")
    if not TOKEN.fullmatch(method):
        raise CgiError("REQUEST_METHOD is missing or no method")
    target = params.get(b"REQUEST_URI", b"")
    if not target:
        query = params.get(b"QUERY_STRING", b"")
        target = (
            params.get(b"SCRIPT_NAME", b"") + params.get(b"PATH_INFO", b"") + (b"?" + query if query else b"")
        )
    if not target or not VALUE.fullmatch(target) or b" " in target or b"\t" in target:
        raise CgiError("REQUEST_URI is missing or no target")
    headers = []
    for name, value in params.items():
        header = header_name(name)
        if header is None:
            continue
        if not header or not VALUE.fullmatch(value):
            raise CgiError(f"the param {name[:40]!r} is no header")
        headers.append((header, value))
    return CgiRequest(method, target, headers, _parse_body_length(params.get(b"CONTENT_LENGTH", b"")))


@lru_cache(NAME_CACHE_SIZE)
def header_name(name: bytes) -> bytes | None:
    """Return the header that a param stands for, None if it is not a header, or empty if the name is invalid."""
    if name == b"CONTENT_TYPE":
        return b"Content-Type"
    if not name.startswith(b"HTTP_") or len(name) == 5:
        return None
    header = b"-".join(part.capitalize() for part in name[5:].lower().split(b"_"))
    return header if TOKEN.fullmatch(header) else b""


def _parse_body_length(value: bytes) -> int | None:
    if not value:
        return None
    if not value.isdigit() or len(value) > 12:
        raise CgiError("an unreadable CONTENT_LENGTH")
    return int(value)


def write_answer(status: int, reason: bytes, lines: Sequence[bytes], body: bytes) -> bytes:
    """Return an answer in the form that an application writes to STDOUT."""
    head = b"Status: %d %b\r\n%b" % (status, reason, b"".join(lines))
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
