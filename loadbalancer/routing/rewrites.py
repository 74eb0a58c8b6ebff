"""Paths and headers that a route rewrites on the way: prefix to prefix on the way in, and back on the way out.

Pure: no I/O and no clock. The path is rewritten in its one form (targets.py), after the route was chosen by the form
that the client sent. Answers name places of the member in Location, Content-Location and in cookies; what they name is
turned back into what clients can reach (the meaning of httpd's ProxyPassReverse and its cookie kin).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Sequence

#: Headers of an answer that name a place (RFC 9110, 10.2.2 and 8.7; URI is older, and httpd rewrites it too).
PLACES = frozenset((b"location", b"content-location", b"uri"))
COOKIE = b"set-cookie"


@dataclass(frozen=True, slots=True)
class HeaderRewrite:
    """What stands in a member's answer, and what clients get instead."""

    old: bytes
    new: bytes


def swap_prefix(path: str, prefix: str, to: str) -> str:
    """`path`, which lies at or under `prefix` by whole segments, at the same place under `to`.

    >>> swap_prefix("/shop/a", "/shop", "/v2/"), swap_prefix("/shop", "/shop", "/"), swap_prefix("/a", "/", "/b")
    ('/v2/a', '/', '/b/a')
    """
    rest = path[len(prefix.rstrip("/")) :]
    if not rest or rest == "/":
        return to if not rest or to.endswith("/") else to + rest
    return to.rstrip("/") + rest


@dataclass(frozen=True, slots=True)
class Rewrites:
    """What one route rewrites. `to`: the prefix that takes the place of the route's own; None leaves the path."""

    prefix: str = "/"
    to: str | None = None
    places: tuple[HeaderRewrite, ...] = ()
    cookie_paths: tuple[HeaderRewrite, ...] = ()
    cookie_domains: tuple[HeaderRewrite, ...] = ()

    def path(self, path: str) -> str:
        return path if self.to is None else swap_prefix(path, self.prefix, self.to)

    @property
    def changes_answers(self) -> bool:
        return bool(self.places or self.cookie_paths or self.cookie_domains)

    def answer(self, lines: Sequence[bytes], base: bytes) -> list[bytes]:
        """The header lines of an answer as the client gets them. `base`: scheme and authority by which the client
        reached us, such as `http://shop.test`, put before a path that takes the place of a whole address."""
        return [self._line(line, base) for line in lines]

    def _line(self, line: bytes, base: bytes) -> bytes:
        name, _, value = line.partition(b":")
        key = name.lower()
        if key in PLACES:
            return b"%b: %b\r\n" % (name, self._place(value.strip(), base))
        if key == COOKIE and (self.cookie_paths or self.cookie_domains):
            return b"%b: %b\r\n" % (name, self._cookie(value.strip()))
        return line

    def _place(self, value: bytes, base: bytes) -> bytes:
        """The first pair that fits, by whole segments: `http://b:8080/app` takes `.../app/x` and not `.../apple`."""
        for pair in self.places:
            if _starts(value, pair.old):
                rest = value[len(pair.old.rstrip(b"/")) :]
                new = pair.new.rstrip(b"/") + rest if rest[:1] in (b"/", b"?", b"#") else pair.new + rest
                absolute = b"://" in pair.old[:12] and new.startswith(b"/")
                return base + new if absolute else new
        return value

    def _cookie(self, value: bytes) -> bytes:
        """The first pair that fits Path, and the first that fits Domain; the rest stays to the letter."""
        parts = value.split(b";")
        for number, part in enumerate(parts[1:], 1):
            name, found, text = part.partition(b"=")
            key, text = name.strip().lower(), text.strip()
            if not found:
                continue
            if key == b"path":
                new = _first(self.cookie_paths, text, prefix=True)
            elif key == b"domain":
                new = _first(self.cookie_domains, text.lower(), prefix=False)
            else:
                continue
            if new is not None:
                parts[number] = name + b"=" + new
        return b";".join(parts)


def _starts(value: bytes, prefix: bytes) -> bool:
    bare = prefix.rstrip(b"/")
    if value == bare or value == prefix:
        return True
    return value.startswith(bare) and value[len(bare) : len(bare) + 1] in (b"/", b"?", b"#")


def _first(pairs: Sequence[HeaderRewrite], text: bytes, prefix: bool) -> bytes | None:
    for pair in pairs:
        if text == pair.old:
            return pair.new
        if prefix and _starts(text, pair.old):
            return pair.new.rstrip(b"/") + text[len(pair.old.rstrip(b"/")) :]
    return None
