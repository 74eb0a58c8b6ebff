"""Parsing of request targets: host and path in normal form.

Pure: no I/O and no clock. The path that routes are matched against is the path that is sent to the member, so that no
encoding of a path can be routed as one path and served as another.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from loadbalancer.http_grammar import is_browser_query, is_host, is_path

#: Unreserved characters (RFC 3986, 2.3): they mean the same percent-encoded and plain.
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PERCENT_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})?")
ABSOLUTE_FORM = re.compile(r"(?i)https?://([^/?#]*)([^#]*)")
#: Matches only paths that are already in normal form, as most are; a fast path of `normal_path`.
ALREADY_NORMAL_PATH = re.compile(r"(?:/[A-Za-z0-9_~\-][A-Za-z0-9_~.\-]*)+/?|/")
#: Limit on the slashes of a path; bounds the cost of matching paths that consist of slashes.
MAX_SEGMENTS = 64


class TargetError(ValueError):
    """Raised for a target that is malformed or ambiguous."""


class Target(NamedTuple):
    """A parsed target: `host` in lower case without port, `authority` as sent in Host, `path` in normal form."""

    host: str
    authority: str
    path: str
    query: str  # with its question mark, or empty

    @property
    def segments(self) -> list[str]:
        """The segments of the path; see `split`."""
        return split(self.path)


def split(path: str) -> list[str]:
    """Split a path into segments: `/` has none, `/a/` has `a` and an empty one."""
    return path[1:].split("/") if path != "/" else []


def read_authority(text: str) -> tuple[str, str]:
    """Return the host in lower case without port, and `text` itself; raise TargetError if it is no authority."""
    host, _, port = text.rpartition(":")
    if not host or port.endswith("]"):  # no port, or a colon inside an IPv6 address
        host = text
    if not host or not is_host(text.encode("latin-1", "replace")):
        raise TargetError("the host is no name or address with a port")
    return host.lower().rstrip("."), text


def _decode(match: re.Match[str]) -> str:
    if match[1] is None:
        raise TargetError("% without two hexadecimal digits")
    char = chr(int(match[1], 16))
    if char < " " or char == "\x7f":
        raise TargetError("an encoded control character")
    return char if char in UNRESERVED else f"%{match[1].upper()}"


def normal_path(path: str, keep_encoded_slashes: bool = False) -> str:
    """Normalize a path (RFC 3986, 6.2.2).

    Unreserved characters are decoded, other escapes are put in upper case, dot segments are resolved, and runs of
    slashes become one.

    Raises TargetError for a malformed escape, an encoded control character, and a path with more `..` than segments
    before it. Encoded slashes and backslashes raise it too unless `keep_encoded_slashes` is set: a member may decode
    them as separators, and then serve another path than the one that was matched.
    """
    if ALREADY_NORMAL_PATH.fullmatch(path) and path.count("/") <= MAX_SEGMENTS:
        return path
    if not path.startswith("/") or not is_path(path.encode("latin-1", "replace")):
        raise TargetError("the path holds a character that it may not")
    if path.count("/") > MAX_SEGMENTS:
        raise TargetError(f"the path has more than {MAX_SEGMENTS} segments")
    path = PERCENT_ESCAPE.sub(_decode, path)
    if not keep_encoded_slashes and ("%2F" in path or "%5C" in path):
        raise TargetError("an encoded slash or backslash")
    return _resolve_dot_segments(path)


def _resolve_dot_segments(path: str) -> str:
    out: list[str] = []
    parts = path[1:].split("/")
    for number, part in enumerate(parts):
        last = number == len(parts) - 1
        if part == "..":
            if not out:
                raise TargetError("the path climbs over the root")
            out.pop()
        if part in ("", ".", ".."):
            if last and out:
                out.append("")  # a trailing slash or dot segment denotes a directory
        else:
            out.append(part)
    return "/" + "/".join(out)


def read_target(url: str, host: str | None, keep_encoded_slashes: bool = False) -> Target:
    """Parse the target of a request from its request line and its Host header (RFC 9112, 3.2).

    The host of a target in absolute form overrides the Host header, which may differ (3.2.2). Raises TargetError, whose
    text is sent to the client, for a target in neither origin form nor absolute form.
    """
    if not url.startswith("/"):
        match = ABSOLUTE_FORM.fullmatch(url)
        if match is None:
            raise TargetError("the target is neither a path nor an http address")
        host, url = match[1], match[2] if match[2].startswith("/") else "/" + match[2]
    if host is None:
        raise TargetError("no host")
    name, authority = read_authority(host)
    path, question_mark, query = url.partition("?")
    if not is_browser_query(query.encode("latin-1", "replace")):
        raise TargetError("the query holds a character that it may not")
    return Target(name, authority, normal_path(path, keep_encoded_slashes), question_mark + query)
