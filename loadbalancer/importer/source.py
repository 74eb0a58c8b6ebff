"""Reads source files, splits them into logical lines and enforces the limits on their size and nesting.

In both configuration languages a backslash at the end of a line continues it. The limits guard against hostile and
damaged files: exceeding one is an error that names file and line, and the limits bound the time and memory spent.
"""

from __future__ import annotations

from typing import Iterator, NamedTuple, Protocol

#: Largest size of one file, and of all files of one import together.
MAX_FILE_BYTES = 32 << 20
MAX_TOTAL_BYTES = 64 << 20
#: Longest logical line, with its continuation lines joined. The longest lines in practice are lists of aliases.
MAX_LINE_CHARS = 64 << 10
#: Nesting limits: of sections, and of included files and macros.
MAX_SECTION_DEPTH = 64
MAX_INCLUDE_DEPTH = 16
#: Directives of one import, including those that macros expand to.
MAX_DIRECTIVES = 400_000


class Opener(Protocol):
    """Gives the importer access to files; the importer does no other I/O."""

    def read(self, path: str) -> bytes:
        """Return a file, of which MAX_FILE_BYTES + 1 bytes are enough; raise OSError if it can't be read."""

    def match(self, pattern: str) -> list[str]:
        """Return the files that match a wildcard pattern, sorted; for a directory, all files in and below it."""


class Position(NamedTuple):
    """Identifies a line of a source file. `via` names the macro use that produced the text, if any."""

    file: str
    line: int
    via: str = ""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" + (f" (by {self.via})" if self.via else "")


class SourceError(ValueError):
    """Raised when a file can't be read or parsed; the message names the position and what was expected."""

    def __init__(self, position: Position, text: str) -> None:
        super().__init__(f"{position}: {text}")
        self.position, self.text = position, text


class SourceReader:
    """Reads the files of one import and checks the totals read so far against the limits."""

    def __init__(self, opener: Opener) -> None:
        self.opener = opener
        self.bytes_read = self.directives = 0

    def read_text(self, path: str, included_at: Position | None = None) -> str:
        """Return the text of a file; raise SourceError if it can't be read, is too large or is not UTF-8 text.

        `included_at` is the position of the directive that includes the file, if any.
        """
        error_position = included_at or Position(path, 0)
        try:
            data = self.opener.read(path)
        except OSError as problem:
            raise SourceError(
                error_position, f"{path} can't be read: {problem.strerror or problem}"
            ) from None
        self.bytes_read += len(data)
        if len(data) > MAX_FILE_BYTES or self.bytes_read > MAX_TOTAL_BYTES:
            raise SourceError(
                Position(path, 0),
                f"more than {MAX_FILE_BYTES >> 20} MiB in one file or {MAX_TOTAL_BYTES >> 20} MiB in all files",
            )
        if (nul := data.find(b"\0")) >= 0:
            raise SourceError(
                Position(path, data.count(b"\n", 0, nul) + 1), "a NUL byte; expected a text file"
            )
        try:
            return data.decode("utf-8-sig")
        except UnicodeDecodeError as problem:
            line = data.count(b"\n", 0, problem.start) + 1
            raise SourceError(
                Position(path, line), f"byte {problem.start} is not UTF-8; convert the file"
            ) from None

    def count_directive(self, position: Position) -> None:
        self.directives += 1
        if self.directives > MAX_DIRECTIVES:
            raise SourceError(position, f"more than {MAX_DIRECTIVES} directives in all")


def logical_lines(text: str, path: str) -> Iterator[tuple[int, str]]:
    """Yield the number of the first line and the text of each logical line, without comments and blank lines.

    A backslash at the end of a line continues it, also in a comment, as in httpd."""
    first_number, parts, length = 0, [], 0
    for number, raw_line in enumerate(text.split("\n"), 1):
        line = raw_line.rstrip("\r")
        length += len(line)
        if length > MAX_LINE_CHARS:
            raise SourceError(Position(path, number), f"a line of more than {MAX_LINE_CHARS} characters")
        first_number = first_number or number
        if line.endswith("\\"):
            parts.append(line[:-1])
            continue
        logical_line = ("".join(parts) + line).strip()
        if logical_line and not logical_line.startswith("#"):
            yield first_number, logical_line
        first_number, parts, length = 0, [], 0
    logical_line = "".join(parts).strip()
    if logical_line and not logical_line.startswith("#"):
        yield first_number, logical_line
