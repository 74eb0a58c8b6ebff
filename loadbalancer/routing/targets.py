"""The target of a request: which host and path it asks for, in one form whatever way it was written.

Pure: no I/O and no clock. What is matched is what goes on to the member, so that no spelling of a path can be
routed as one thing and served as another.
"""

from __future__ import annotations

import re
from typing import NamedTuple

#: Characters of a path that have a meaning of their own nowhere (RFC 3986, 2.3): encoded or not is the same.
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
#: What a path may hold (RFC 3986, 3.3), and what of it was seen to be sent unencoded by screens in use.
PATH = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@%/|\[\]{}^\"<>`]*")
QUERY = re.compile(r"[\x21-\x7e\x80-\xff]*")
ENCODED = re.compile(r"%([0-9A-Fa-f]{2})?")
#: A registered name, an IPv4 address or an IPv6 literal, and a port (RFC 9110, 7.2).
AUTHORITY = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9\-._~]+)(?::(\d{0,5}))?")
ABSOLUTE = re.compile(r"(?i)https?://([^/?#]*)([^#]*)")
#: A path that is in its one form already, as nearly all are.
PLAIN = re.compile(r"(?:/[A-Za-z0-9_~\-][A-Za-z0-9_~.\-]*)+/?|/")
#: Segments of a path at most; guards the matching against paths made of slashes.
SEGMENTS_MOST = 64


class TargetError(ValueError):
    """A target that can't be read, or that could be read in two ways."""


class Target(NamedTuple):
    """`host` in lower case and without port, `authority` as it goes into Host, `path` in its one form."""

    host: str
    authority: str
    path: str
    query: str  # with its question mark, or empty

    @property
    def segments(self) -> list[str]:
        return split(self.path)


def split(path: str) -> list[str]:
    """Segments of a path: `/` has none, `/a/` has `a` and an empty one."""
    return path[1:].split("/") if path != "/" else []


def read_authority(text: str) -> tuple[str, str]:
    """Host in lower case without port, and the whole; TargetError where it is none."""
    match = AUTHORITY.fullmatch(text)
    if match is None or int(match[2] or 0) > 65535:
        raise TargetError("the host is no name or address with a port")
    return match[1].lower().rstrip("."), text


def _decode(match: re.Match[str]) -> str:
    if match[1] is None:
        raise TargetError("% without two hexadecimal digits")
    char = chr(int(match[1], 16))
    if char < " " or char == "\x7f":
        raise TargetError("an encoded control character")
    return char if char in UNRESERVED else f"%{match[1].upper()}"


def normal_path(path: str, keep_encoded_slashes: bool = False) -> str:
    """The one form of a path (RFC 3986, 6.2.2): unreserved characters decoded, other escapes in upper case,
    dot segments resolved, runs of slashes as one.

    TargetError for escapes that are broken or hide a control character, for a path that climbs over the root,
    and, unless they are to be kept, for encoded slashes and backslashes: a member may read them as separators,
    and then serve another path than the one that was matched."""
    if PLAIN.fullmatch(path) and path.count("/") <= SEGMENTS_MOST:
        return path
    if not path.startswith("/") or not PATH.fullmatch(path):
        raise TargetError("the path holds a character that it may not")
    if path.count("/") > SEGMENTS_MOST:
        raise TargetError(f"the path has more than {SEGMENTS_MOST} segments")
    path = ENCODED.sub(_decode, path)
    if not keep_encoded_slashes and ("%2F" in path or "%5C" in path):
        raise TargetError("an encoded slash or backslash")
    return _resolve(path)


def _resolve(path: str) -> str:
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
                out.append("")  # what ends with a slash, or with a dot segment, names a folder
        else:
            out.append(part)
    return "/" + "/".join(out)


def read_target(url: str, host: str | None, keep_encoded_slashes: bool = False) -> Target:
    """The target of a request from its request line and its Host (RFC 9112, 3.2).

    The host of an absolute form replaces Host, which then need not agree (3.2.2). TargetError, in words for the
    client, for anything else than the origin and the absolute form."""
    if not url.startswith("/"):
        match = ABSOLUTE.fullmatch(url)
        if match is None:
            raise TargetError("the target is neither a path nor an http address")
        host, url = match[1], match[2] if match[2].startswith("/") else "/" + match[2]
    if host is None:
        raise TargetError("no host")
    name, authority = read_authority(host)
    path, mark, query = url.partition("?")
    if not QUERY.fullmatch(query) or "#" in query:
        raise TargetError("the query holds a character that it may not")
    return Target(name, authority, normal_path(path, keep_encoded_slashes), mark + query)
