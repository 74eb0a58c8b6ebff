"""Where text comes from, its lines, and the bounds that hold for any of it.

Both languages are read line by line with backslashes that continue a line. Every bound guards against a file that is
hostile or damaged: what passes it is an error that names file and line, in time and memory that the bound states.
"""

from __future__ import annotations

from typing import Iterator, NamedTuple, Protocol

#: Bytes of one file, and of all files that one import reads.
FILE_MOST = 32 << 20
ALL_MOST = 64 << 20
#: Characters of one line, continued ones joined. The longest in use are lists of aliases.
LINE_MOST = 64 << 10
#: Sections within sections, and files within files.
DEPTH_MOST = 64
INCLUDES_MOST = 16
#: Directives of one import, those that macros make among them.
DIRECTIVES_MOST = 400_000


class Opener(Protocol):
    """Reads files for the importer; the only way by which it reaches any."""

    def read(self, path: str) -> bytes:
        """The whole of a file, OSError where it can't be had. At most FILE_MOST + 1 bytes are wanted."""

    def match(self, pattern: str) -> list[str]:
        """The files that a pattern with wildcards names, in order; of a folder, all files in and below it."""


class Place(NamedTuple):
    """Where something stands. `via`: of what a macro made, where it was used."""

    file: str
    line: int
    via: str = ""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" + (f" (by {self.via})" if self.via else "")


class SourceError(ValueError):
    """A file that can't be read whole; says where and what would be right."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(f"{place}: {text}")
        self.place, self.text = place, text


class Reading:
    """One import's reading: what it has read so far, against the bounds."""

    def __init__(self, opener: Opener) -> None:
        self.opener = opener
        self.bytes = self.directives = 0

    def text(self, path: str, by: Place | None = None) -> str:
        """The text of a file; SourceError where it is none."""
        at = by or Place(path, 0)
        try:
            data = self.opener.read(path)
        except OSError as problem:
            raise SourceError(at, f"{path} can't be read: {problem.strerror or problem}") from None
        self.bytes += len(data)
        if len(data) > FILE_MOST or self.bytes > ALL_MOST:
            raise SourceError(
                Place(path, 0), f"more than {FILE_MOST >> 20} MiB in a file or {ALL_MOST >> 20} MiB in all"
            )
        if (nul := data.find(b"\0")) >= 0:
            raise SourceError(Place(path, data.count(b"\n", 0, nul) + 1), "a NUL byte; a text file is wanted")
        try:
            return data.decode("utf-8-sig")
        except UnicodeDecodeError as problem:
            line = data.count(b"\n", 0, problem.start) + 1
            raise SourceError(
                Place(path, line), f"byte {problem.start} is not UTF-8; convert the file"
            ) from None

    def count(self, place: Place) -> None:
        self.directives += 1
        if self.directives > DIRECTIVES_MOST:
            raise SourceError(place, f"more than {DIRECTIVES_MOST} directives in all")


def logical_lines(text: str, path: str) -> Iterator[tuple[int, str]]:
    """Number of the first line and the text of each logical line, continued ones joined, comments and blank lines left
    out. A backslash at a line's end continues it, also a comment, as httpd has it."""
    first, parts, size = 0, [], 0
    for number, raw in enumerate(text.split("\n"), 1):
        line = raw.rstrip("\r")
        size += len(line)
        if size > LINE_MOST:
            raise SourceError(Place(path, number), f"a line of more than {LINE_MOST} characters")
        first = first or number
        if line.endswith("\\"):
            parts.append(line[:-1])
            continue
        whole = ("".join(parts) + line).strip()
        if whole and not whole.startswith("#"):
            yield first, whole
        first, parts, size = 0, [], 0
    whole = "".join(parts).strip()
    if whole and not whole.startswith("#"):
        yield first, whole
