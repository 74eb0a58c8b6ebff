"""Extracts complete JSON values from a stream that arrives in arbitrary chunks. No I/O.

A value is on one line, or spread over several lines by indentation. A string contains no line end (RFC 8259, section
7), so each line can be examined on its own: its brackets outside of strings are counted, and a value is complete when
the count is back at zero.
"""

from __future__ import annotations

import json
import re

import orjson

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
"""Matches a string, with or without escaped quotes and backslashes."""
CONTINUED_ENDINGS = b"{[,:"
"""Characters that end a line whose value continues on the next line."""
CONTINUING_STARTS = b"}],:"
"""Characters that begin a line which continues a value, whatever the previous line ended with."""


class JsonValues:
    """Collects the bytes of a stream until values are complete.

    Args:
        max_bytes: Maximum size of a value; bounds the memory.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._line = bytearray()  # the current line, without its line end so far
        self._lines: list[bytes] = []  # the lines of the incomplete value
        self._held_bytes = 0  # size of these lines
        self._depth = 0  # open brackets at their end

    @property
    def is_inside(self) -> bool:
        """Return whether a value has begun and is incomplete."""
        return bool(self._lines) or bool(self._line.strip())

    def feed(self, data: bytes) -> list[object]:
        """Parse more bytes.

        Returns:
            The values that these bytes complete.

        Raises:
            ValueError: The bytes are not a JSON value, or the value is too long.
        """
        values: list[object] = []
        *lines, rest = data.split(b"\n")
        for line in lines:
            complete_line = bytes(self._line) + line
            self._line.clear()
            values += self._end_line(complete_line)
        self._line += rest
        if self._held_bytes + len(self._line) > self.max_bytes:
            raise ValueError(f"expected a value of at most {self.max_bytes} bytes, found a longer one")
        # A value may be complete before its line end arrives.
        if rest.rstrip()[-1:] in (b"}", b"]") and self._completes_value(self._line):
            complete_line = bytes(self._line)
            self._line.clear()
            values += self._end_line(complete_line)
        return values

    def _completes_value(self, line: bytes | bytearray) -> bool:
        outside_strings = STRING.sub(b"", line)
        return b'"' not in outside_strings and self._depth + _count_open_brackets(outside_strings) == 0

    def _end_line(self, line: bytes) -> list[object]:
        line = line.strip()
        if not line:
            if self._lines:  # an empty line is a heartbeat, which is sent between values only
                raise ValueError("expected the rest of a value, found an empty line")
            return []
        if not self._lines:
            values = _decode_one(line)  # the usual case, a value on one line, needs no count of brackets
            if values:
                return values
        elif self._lines[-1][-1] not in CONTINUED_ENDINGS and line[0] not in CONTINUING_STARTS:
            raise ValueError("expected the rest of a value, found the start of another one")
        return self._add_line(line)

    def _add_line(self, line: bytes) -> list[object]:
        """Add a line to the incomplete value; return the value if this completes it."""
        outside_strings = STRING.sub(b"", line)
        if b'"' in outside_strings:
            raise ValueError("expected the end of a string, found a line end")
        self._depth += _count_open_brackets(outside_strings)
        self._lines.append(line)
        self._held_bytes += len(line) + 1
        if self._depth > 0:
            return []
        text = b"\n".join(self._lines)
        self._lines = []
        self._held_bytes = 0
        self._depth = 0
        return _decode_one(text) or _decode_several(text.decode())


def _count_open_brackets(outside_strings: bytes) -> int:
    """Return how many brackets a line, given without its strings, opens minus how many it closes."""
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    return opened - outside_strings.count(b"}") - outside_strings.count(b"]")


def _decode_one(text: bytes) -> list[object]:
    """Return the value in a list, or an empty list if the text is not exactly one value."""
    try:
        return [orjson.loads(text)]
    except ValueError:
        return []


def _decode_several(text: str) -> list[object]:
    """Return the values of a text that holds several of them."""
    values = []
    try:
        while text:
            value, end = json.JSONDecoder().raw_decode(text)
            values.append(value)
            text = text[end:].lstrip()
    except RecursionError:
        raise ValueError("a value is nested too deeply") from None
    return values
