"""Complete JSON values out of a stream that is cut anywhere. No I/O.

A value stands on one line, or is spread over lines by indentation. A string holds no line end (RFC 8259, section 7), so
each line is judged by itself: its brackets outside of strings are counted, and a value is complete where the count is
back at zero.
"""

from __future__ import annotations

import json
import re

import orjson

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
"""A string, also one with escaped quotes or backslashes."""
CONTINUED_ENDINGS = b"{[,:"
"""What a line may end with where the next one continues the value."""
CONTINUING_STARTS = b"}],:"
"""What a line may begin with where it continues the value of a line with any other ending."""


class JsonValues:
    """Collects complete values.

    Args:
        most: Bytes that a value may have; bounds what is held.
    """

    def __init__(self, most: int) -> None:
        self.max_bytes = most
        self._line = bytearray()  # the line that has not ended
        self._lines: list[bytes] = []  # of the value that is not complete
        self._held_bytes = 0  # of these lines
        self._depth = 0  # brackets open at their end

    @property
    def is_inside(self) -> bool:
        """Whether a value has begun and is not complete."""
        return bool(self._lines) or bool(self._line.strip())

    def feed(self, data: bytes) -> list[object]:
        """Take more bytes.

        Returns:
            The values that are complete by now.

        Raises:
            ValueError: What came is no value, or is too long.
        """
        values: list[object] = []
        *lines, rest = data.split(b"\n")
        for line in lines:
            complete_line = bytes(self._line) + line
            self._line.clear()
            values += self._end_line(complete_line)
        self._line += rest
        if self._held_bytes + len(self._line) > self.max_bytes:
            raise ValueError(f"a value of over {self.max_bytes} bytes")
        # A value may be complete though no line end has come behind it.
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
            if self._lines:  # an empty line is a heartbeat between values
                raise ValueError("a value without its end")
            return []
        if not self._lines:
            values = _decode_one(line)  # the usual form needs no brackets counted
            if values:
                return values
        elif self._lines[-1][-1] not in CONTINUED_ENDINGS and line[0] not in CONTINUING_STARTS:
            raise ValueError("another value inside of one")
        return self._add_line(line)

    def _add_line(self, line: bytes) -> list[object]:
        """Add a line to the value that is not complete; that value where the line completes it."""
        outside_strings = STRING.sub(b"", line)
        if b'"' in outside_strings:
            raise ValueError("a string without its end")
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
    """Brackets that a line without its strings leaves open; negative where it closes more."""
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    return opened - outside_strings.count(b"}") - outside_strings.count(b"]")


def _decode_one(text: bytes) -> list[object]:
    """The value, in a list; an empty list where the text is not one value."""
    try:
        return [orjson.loads(text)]
    except ValueError:
        return []


def _decode_several(text: str) -> list[object]:
    """Several values on one line."""
    values = []
    try:
        while text:
            value, end = json.JSONDecoder().raw_decode(text)
            values.append(value)
            text = text[end:].lstrip()
    except RecursionError:
        raise ValueError("nested too deep") from None
    return values
