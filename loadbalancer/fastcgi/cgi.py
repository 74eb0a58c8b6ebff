"""Between HTTP and CGI/1.1 (RFC 3875): params of a request, headers of an answer. No I/O.

A request is held as HTTP/1.1 members get it (request line and headers), so that the core has one form for all.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Mapping, NamedTuple, Sequence

#: Header block of an answer at most, in bytes; guards against one without end.
BLOCK_MOST = 32 << 10
#: Names whose form is remembered: more than any application's, and a bound whatever peers send.
NAMES_MOST = 512
#: Bytes of a line of an answer that is remembered with its form, at most.
USUAL_MOST = 128
#: Headers of an answer that are for us, and that it may have once.
SINGLE = frozenset((b"status", b"content-length", b"transfer-encoding"))
#: Field names (RFC 9110, 5.1).
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
#: Two line ends in a row.
BLOCK_END = re.compile(rb"\r?\n\r?\n")
#: A line of a header block; each byte is tried once.
LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)")
#: What may stand in a field's value: no control characters but tabs.
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
STATUS = re.compile(rb"([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?")
#: Headers of a request that are no HTTP_ params (RFC 3875, 4.1.18), or must not be. `Proxy` would become HTTP_PROXY,
#: which libraries take for the proxy to use (CVE-2016-5385).
NOT_HTTP = frozenset((b"content-length", b"content-type", b"proxy", b"connection", b"transfer-encoding"))


class CgiError(ValueError):
    """What is no CGI request or answer."""


class CgiHead(NamedTuple):
    """The header block of an answer."""

    status: int
    reason: bytes
    lines: list[bytes]  # headers to pass on, each with its end
    headers: dict[bytes, bytes]  # by name in lower case; the last of several
    length: int | None  # as Content-Length states it


def find_end(data: bytes | bytearray) -> tuple[int, int] | None:
    """Where the header block ends and the body begins; None while it has not ended (RFC 3875, 6.2: either form of
    line end)."""
    match = BLOCK_END.search(data, 0, BLOCK_MOST + 4)
    return (match.start(), match.end()) if match is not None else None


def read_head(block: bytes, not_passed: frozenset[bytes] = frozenset()) -> CgiHead:
    """The header block, without the empty line (RFC 3875, 6.3); CgiError where it is none. `not_passed`: names of
    headers, in lower case, that are noted and not passed on.

    Status stands above Location; with a Location alone a client is redirected by 302."""
    lines: list[bytes] = []
    headers: dict[bytes, bytes] = {}
    for line in block.replace(b"\r\n", b"\n").split(b"\n"):
        key, value, plain = _usual_line(line) if len(line) <= USUAL_MOST else _line(line)
        if key in SINGLE and key in headers:
            raise CgiError(f"{key.decode()} twice")
        headers[key] = value
        if key not in SINGLE and key not in not_passed:
            lines.append(plain)
    if b"transfer-encoding" in headers:
        raise CgiError("a transfer coding")  # RFC 3875, 6.3.4: an application must not send one
    status = headers.get(b"status")
    if status is not None:
        code, reason = _status(status)
    else:
        code, reason = (302, b"Found") if b"location" in headers else (200, b"OK")
    return CgiHead(code, reason, lines, headers, _length(headers.get(b"content-length")))


def _line(line: bytes) -> tuple[bytes, bytes, bytes]:
    """Name in lower case, value, and the line as HTTP writes it."""
    match = LINE.fullmatch(line)
    if match is None:
        raise CgiError("a line of the header block is no header")
    name, value = match[1], match[2].strip(b" \t")
    return name.lower(), value, b"%b: %b\r\n" % (name, value)


#: An application says the same lines again and again.
_usual_line = lru_cache(NAMES_MOST)(_line)


@lru_cache(NAMES_MOST)
def _status(value: bytes) -> tuple[int, bytes]:
    match = STATUS.fullmatch(value)
    if match is None or int(match[1]) < 200:
        raise CgiError(f"the status {value[:40]!r}")
    return int(match[1]), match[2] or b""


def _length(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise CgiError("an unreadable Content-Length")
    return int(value)


# Requests.


def fixed_params(extra: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """Params that are the same in every request: ours, and `extra` from the configuration (SCRIPT_FILENAME and
    others), which stands above all."""
    ours = {
        b"GATEWAY_INTERFACE": b"CGI/1.1",
        b"SERVER_SOFTWARE": b"micastand",
        b"SERVER_PROTOCOL": b"HTTP/1.1",
    }
    return {**ours, **extra}


def to_params(
    head: bytes, length: int, fixed: Mapping[bytes, bytes], peer: bytes, timeout_ms: int
) -> list[tuple[bytes, bytes]]:
    """Params for an application from a request's line and headers, but for those that are `fixed`.

    `timeout_ms` becomes REQUEST_TIMEOUT_MS, how long the proxy will wait."""
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
    for item in rest:
        name, _, value = item.partition(b":")
        param = param_name(name)
        if param is None:
            continue
        value = value.strip()
        if param in params:
            value = params[param] + (b"; " if param == b"HTTP_COOKIE" else b", ") + value
        params[param] = value
    authority = params.get(b"HTTP_HOST", b"")
    host, _, port = authority.rpartition(b":")
    known = host and port.isdigit()
    params[b"SERVER_NAME"], params[b"SERVER_PORT"] = (host, port) if known else (authority, b"80")
    for name in fixed:
        params.pop(name, None)
    return list(params.items())


@lru_cache(NAMES_MOST)
def param_name(name: bytes) -> bytes | None:
    """The param that a header becomes; None for none. One whose name has an underscore is left out: `X_User` and
    `X-User` become the same param, and a client could pass the one off as the other."""
    key = name.lower()
    if key == b"content-type":
        return b"CONTENT_TYPE"
    if not key or key in NOT_HTTP or b"_" in key:
        return None
    return b"HTTP_" + name.upper().replace(b"-", b"_")


class Asked(NamedTuple):
    """A request as a FastCGI client describes it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names as HTTP writes them
    length: int | None  # of the body, as CONTENT_LENGTH states it


def from_params(params: Mapping[bytes, bytes]) -> Asked:
    """The request that params describe; CgiError where they describe none.

    Whatever stands in them was not seen by an HTTP parser, so methods, targets and values are judged here: a line
    break in a value would be a header of its own at the member."""
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
    return Asked(method, target, headers, _body_length(params.get(b"CONTENT_LENGTH", b"")))


@lru_cache(NAMES_MOST)
def header_name(name: bytes) -> bytes | None:
    """The header that a param was; None for one that was none, empty for one that can't have been."""
    if name == b"CONTENT_TYPE":
        return b"Content-Type"
    if not name.startswith(b"HTTP_") or len(name) == 5:
        return None
    header = b"-".join(part.capitalize() for part in name[5:].lower().split(b"_"))
    return header if TOKEN.fullmatch(header) else b""


def _body_length(value: bytes) -> int | None:
    if not value:
        return None
    if not value.isdigit() or len(value) > 12:
        raise CgiError("an unreadable CONTENT_LENGTH")
    return int(value)


def write_answer(status: int, reason: bytes, lines: Sequence[bytes], body: bytes) -> bytes:
    """An answer as an application writes it to STDOUT."""
    head = b"Status: %d %b\r\n%b" % (status, reason, b"".join(lines))
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
