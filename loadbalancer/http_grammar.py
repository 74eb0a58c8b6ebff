"""The grammar of HTTP messages beyond what the parser library checks: versions, hosts, targets, framing, reasons.

Pure. Each function answers for one rule of a standard, so that both front ends and the readers of answers accept the
same messages. What the library (httptools) checks already, such as field names and values, is not repeated here.
"""

from __future__ import annotations

import ipaddress
import re
from functools import lru_cache

VERSIONS = frozenset(("1.0", "1.1"))
"""Versions of messages that are read (RFC 9112, 2.3)."""
CHUNKED = b"chunked"
"""The only transfer coding that is understood (RFC 9112, 7)."""
MAX_PORT = 65535
CACHED_HOSTS = 64
"""Hosts whose validity is remembered: most requests name one of a few."""

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_QUOTED_STRING = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
_PERCENT_ENCODED = rb"%[0-9A-Fa-f]{2}"
_PATH_CHARACTER = rb"[A-Za-z0-9\-._~!$&'()*+,;=:@/]"

#: A registered name as DNS has it, or an IPv4 address; or an IPv6 address in brackets; and a port.
_HOST = re.compile(rb"(?:[A-Za-z0-9\-._~]*|\[([0-9A-Fa-f:.]+)\])(?::([0-9]{0,5}))?")
#: Possessive, so that a long text that does not match is given up at once.
_PATH = re.compile(rb"(?:%b++|%b)*+" % (_PATH_CHARACTER, _PERCENT_ENCODED))
_QUERY = re.compile(rb"(?:%b++|\?|%b)*+" % (_PATH_CHARACTER, _PERCENT_ENCODED))
_BROWSER_QUERY = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?\[\]{}|\\^`]++|%b)*+" % _PERCENT_ENCODED)
_ORIGIN_FORM = re.compile(rb"/%b(?:\?%b)?" % (_PATH.pattern, _QUERY.pattern))
_REASON_PHRASE = re.compile(rb"[\t \x21-\x7e\x80-\xff]*")
_CHUNK_LINE = re.compile(
    rb"[0-9A-Fa-f]{1,16}(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?)*" % (_TOKEN, _TOKEN, _QUOTED_STRING)
)


class MessageError(ValueError):
    """A message violates a rule of HTTP; the text names it."""


@lru_cache(maxsize=CACHED_HOSTS)
def is_host(value: bytes) -> bool:
    """Return whether a Host field is valid: a host, and a port if there is a colon (RFC 9110, 7.2; RFC 3986, 3.2.2).

    Of the characters that RFC 3986 lets a registered name have, only those of DNS are taken, and `_` and `~`: a comma
    or a semicolon is a list of two fields that were put together.
    """
    match = _HOST.fullmatch(value)
    if match is None or int(match[2] or 0) > MAX_PORT:
        return False
    return match[1] is None or _is_ipv6(match[1])


def _is_ipv6(text: bytes) -> bool:
    try:
        ipaddress.IPv6Address(text.decode("ascii"))
    except ValueError:
        return False
    return True


def is_path(value: bytes) -> bool:
    """Return whether the characters of a path are valid (RFC 3986, 3.3)."""
    return _PATH.fullmatch(value) is not None


def is_browser_query(value: bytes) -> bool:
    """Return whether a query is valid, or has only such characters beside as browsers do not encode (URL Standard)."""
    return _BROWSER_QUERY.fullmatch(value) is not None


def is_origin_form(target: bytes) -> bool:
    """Return whether a request target is an absolute path, with or without a query (RFC 9112, 3.2.1)."""
    return _ORIGIN_FORM.fullmatch(target) is not None


def is_reason_phrase(value: bytes) -> bool:
    """Return whether a reason phrase is valid (RFC 9112, 4)."""
    return _REASON_PHRASE.fullmatch(value) is not None


def is_chunked_alone(codings: bytes) -> bool:
    """Return whether a Transfer-Encoding names the chunked coding, once, and no other one."""
    return codings.strip(b" \t").lower() == CHUNKED


def ends_chunked(codings: bytes) -> bool:
    """Return whether the last coding of a Transfer-Encoding is the chunked one, so that its end can be told."""
    return is_chunked_alone(codings.rpartition(b",")[2])


def check_chunk_line(line: bytes) -> None:
    """Check the size and the extensions of a chunk, without their line end (RFC 9112, 7.1.1).

    Raises:
        MessageError: They are malformed.
    """
    if _CHUNK_LINE.fullmatch(line) is None:
        raise MessageError("malformed size or extension of a chunk")
