"""Whole JSON values out of a stream that is cut anywhere: one a line, or each spread over lines by indentation.

Pure: bytes in, values out. A string holds no line end (RFC 8259, section 7), so each line is judged by itself: its
brackets outside of strings are counted, and a value is whole where the count is back at nothing.
"""

from __future__ import annotations

import json
import re

import orjson

#: A string; also one with a quote or backslash of its own.
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
#: What a line may end with, and the next one then begin with, inside of a value.
OPEN_END, CLOSING = b"{[,:", b"}],:"


class JsonValues:
    """Frames what comes. `most`: bytes that a value may have, which bounds what is held."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._line = bytearray()  # that has not ended
        self._lines: list[bytes] = []  # of the value that is not whole
        self._held = 0  # bytes of these
        self._depth = 0  # brackets open at their end

    @property
    def is_inside(self) -> bool:
        """Whether a value has begun and is not whole."""
        return bool(self._lines) or bool(self._line.strip())

    def feed(self, data: bytes) -> list[object]:
        """The values that are whole by now. ValueError where what came is none, or is too long."""
        values: list[object] = []
        *lines, rest = data.split(b"\n")
        for line in lines:
            whole = bytes(self._line) + line
            self._line.clear()
            values += self._end_line(whole)
        self._line += rest
        if self._held + len(self._line) > self.most:
            raise ValueError(f"a value of over {self.most} bytes")
        if rest.rstrip()[-1:] in (b"}", b"]") and self._ends_with(self._line):
            last = bytes(self._line)  # whole, though nothing has come behind it
            self._line.clear()
            values += self._end_line(last)
        return values

    def _ends_with(self, line: bytes | bytearray) -> bool:
        bare = STRING.sub(b"", line)
        return b'"' not in bare and self._depth + _opened(bare) == 0

    def _end_line(self, line: bytes) -> list[object]:
        line = line.strip()
        if not line:
            if self._lines:  # the service rests, and says so: what came before was cut off
                raise ValueError("a value without its end")
            return []
        if not self._lines and (values := _read_one(line)):  # the usual form needs no brackets counted
            return values
        if self._lines and self._lines[-1][-1] not in OPEN_END and line[0] not in CLOSING:
            raise ValueError("another value inside of one")
        bare = STRING.sub(b"", line)
        if b'"' in bare:
            raise ValueError("a string without its end")
        self._depth += _opened(bare)
        self._lines.append(line)
        self._held += len(line) + 1
        if self._depth > 0:
            return []
        value, self._lines, self._held, self._depth = b"\n".join(self._lines), [], 0, 0
        return _read(value)


def _opened(bare: bytes) -> int:
    """Brackets that a line without its strings leaves open; under 0 where it closes more."""
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def _read(text: bytes) -> list[object]:
    """One value, or several on one line."""
    return _read_one(text) or _read_several(text.decode())


def _read_one(text: bytes) -> list[object]:
    """Nothing where it is not one value."""
    try:
        return [orjson.loads(text)]
    except ValueError:
        return []


def _read_several(text: str) -> list[object]:
    values = []
    try:
        while text:
            value, end = json.JSONDecoder().raw_decode(text)
            values.append(value)
            text = text[end:].lstrip()
    except RecursionError:
        raise ValueError("nested too deep") from None
    return values
