"""Rewriting of paths in requests, and of URLs and cookies in answers, as a route configures it.

Pure: no I/O and no clock. The path is rewritten in its normal form (targets.py), after the route was chosen by the path
that the client sent. A member's answer refers to the member's own URLs in Location, Content-Location and cookies; these
are mapped back to URLs that clients can reach, as httpd does with ProxyPassReverse, ProxyPassReverseCookieDomain and
ProxyPassReverseCookiePath.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Sequence

#: Headers of an answer that hold a URL (RFC 9110, 10.2.2 and 8.7; URI is an older header that httpd rewrites too).
URL_HEADERS = frozenset((b"location", b"content-location", b"uri"))
COOKIE_HEADER = b"set-cookie"


@dataclass(frozen=True, slots=True)
class HeaderRewrite:
    """Maps a URL prefix, cookie path or cookie domain of a member's answer to the one that clients get."""

    old: bytes
    new: bytes


def swap_prefix(path: str, prefix: str, to: str) -> str:
    """Replace `prefix` of `path` by `to`; `path` must equal `prefix` or continue it with a whole segment.

    >>> swap_prefix("/shop/a", "/shop", "/v2/"), swap_prefix("/shop", "/shop", "/"), swap_prefix("/a", "/", "/b")
    ('/v2/a', '/', '/b/a')
    """
    rest = path[len(prefix.rstrip("/")) :]
    if not rest or rest == "/":
        return to if not rest or to.endswith("/") else to + rest
    return to.rstrip("/") + rest


@dataclass(frozen=True, slots=True)
class Rewrites:
    """Holds the rewrites of one route; `to` replaces its `prefix` in the path, None leaves the path as it is."""

    prefix: str = "/"
    to: str | None = None
    urls: tuple[HeaderRewrite, ...] = ()
    cookie_paths: tuple[HeaderRewrite, ...] = ()
    cookie_domains: tuple[HeaderRewrite, ...] = ()

    def rewrite_path(self, path: str) -> str:
        """Return the path that the member gets for a request path in its normal form."""
        return path if self.to is None else swap_prefix(path, self.prefix, self.to)

    @property
    def changes_answers(self) -> bool:
        """Whether header lines of answers may be rewritten."""
        return bool(self.urls or self.cookie_paths or self.cookie_domains)

    def rewrite_headers(self, lines: Sequence[bytes], base: bytes) -> list[bytes]:
        """Return the header lines of an answer as the client gets them.

        `base` is the scheme and authority of the client's request, such as `http://shop.test`. It is prepended where an
        absolute URL is replaced by a path.
        """
        return [self._rewrite_line(line, base) for line in lines]

    def _rewrite_line(self, line: bytes, base: bytes) -> bytes:
        name, _, value = line.partition(b":")
        key = name.lower()
        if key in URL_HEADERS:
            return b"%b: %b\r\n" % (name, self._rewrite_url(value.strip(), base))
        if key == COOKIE_HEADER and (self.cookie_paths or self.cookie_domains):
            return b"%b: %b\r\n" % (name, self._rewrite_cookie(value.strip()))
        return line

    def _rewrite_url(self, value: bytes, base: bytes) -> bytes:
        """Apply the first rewrite that matches whole segments.

        For example `http://b:8080/app` matches `.../app/x` and not `.../apple`.
        """
        for rewrite in self.urls:
            if _has_path_prefix(value, rewrite.old):
                rest = value[len(rewrite.old.rstrip(b"/")) :]
                new = (
                    rewrite.new.rstrip(b"/") + rest if rest[:1] in (b"/", b"?", b"#") else rewrite.new + rest
                )
                absolute = b"://" in rewrite.old[:12] and new.startswith(b"/")
                return base + new if absolute else new
        return value

    def _rewrite_cookie(self, value: bytes) -> bytes:
        """Apply the first rewrite that matches Path and the first that matches Domain; the rest stays byte for byte."""
        parts = value.split(b";")
        for number, part in enumerate(parts[1:], 1):
            name, separator, text = part.partition(b"=")
            key, text = name.strip().lower(), text.strip()
            if not separator:
                continue
            if key == b"path":
                new = _rewrite_first_match(self.cookie_paths, text, prefix=True)
            elif key == b"domain":
                new = _rewrite_first_match(self.cookie_domains, text.lower(), prefix=False)
            else:
                continue
            if new is not None:
                parts[number] = name + b"=" + new
        return b";".join(parts)


def _has_path_prefix(value: bytes, prefix: bytes) -> bool:
    bare = prefix.rstrip(b"/")
    if value == bare or value == prefix:
        return True
    return value.startswith(bare) and value[len(bare) : len(bare) + 1] in (b"/", b"?", b"#")


def _rewrite_first_match(rewrites: Sequence[HeaderRewrite], text: bytes, prefix: bool) -> bytes | None:
    for rewrite in rewrites:
        if text == rewrite.old:
            return rewrite.new
        if prefix and _has_path_prefix(text, rewrite.old):
            return rewrite.new.rstrip(b"/") + text[len(rewrite.old.rstrip(b"/")) :]
    return None
