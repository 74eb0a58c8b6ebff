"""Reports how each directive and parameter was translated, one line each, as text and as JSON. No I/O."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass
from typing import Any, Iterable, Sequence

from loadbalancer.importer.source import Position


class Outcome(enum.Enum):
    """Tells how an import translates a directive or a parameter. The names and values are part of the report."""

    CARRIED = "carried over"
    DIFFERENT = "carried over with a stated difference"
    NONE = "no equivalent"


@dataclass(frozen=True, slots=True)
class Line:
    """Reports one directive (`part` is empty) or one parameter of it."""

    position: Position
    name: str
    part: str
    outcome: Outcome
    text: str

    @property
    def label(self) -> str:
        return f"{self.name} {self.part}" if self.part else self.name

    def names(self) -> set[str]:
        """Return the names by which `--allow` may refer to this line, in lower case."""
        part, _, _ = self.part.partition("=")
        return {name.lower() for name in (self.name, self.part, part, self.label) if name}

    def __str__(self) -> str:
        return f"{self.position}: {self.label}: {self.outcome.value}" + (
            f": {self.text}" if self.text else ""
        )


class Report:
    """Collects the report lines of one import in the order in which they were added."""

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def add(self, position: Position, name: str, outcome: Outcome, text: str = "", part: str = "") -> None:
        self.lines.append(Line(position, name, part, outcome, text))

    def find_blocking(self, allowed: Iterable[str]) -> list[Line]:
        """Return the lines without an equivalent that `allowed` does not name; any of them blocks the import.

        Upper and lower case are not distinguished."""
        allowed_names = {name.lower() for name in allowed}
        return [
            line for line in self.lines if line.outcome == Outcome.NONE and not line.names() & allowed_names
        ]

    def unused(self, allowed: Iterable[str]) -> list[str]:
        """Return the allowed names that match no line without an equivalent, for example because of a typo."""
        matched = {name for line in self.lines if line.outcome == Outcome.NONE for name in line.names()}
        return [name for name in allowed if name.lower() not in matched]

    def counts(self) -> Counter[Outcome]:
        return Counter(line.outcome for line in self.lines)

    def text(self, blocking: Sequence[Line]) -> list[str]:
        """Return the report as text lines: blocking, allowed and differing lines, then the counts by outcome."""
        blocking_ids = set(map(id, blocking))
        lines = [f"BLOCKS  {line}" for line in blocking]
        for line in self.lines:
            if line.outcome == Outcome.NONE and id(line) not in blocking_ids:
                lines.append(f"ALLOWED {line}")
        lines += [f"DIFFERS {line}" for line in self.lines if line.outcome == Outcome.DIFFERENT]
        counts = self.counts()
        lines.append(", ".join(f"{counts[outcome]} {outcome.value}" for outcome in Outcome))
        return lines

    def json(self, blocking: Sequence[Line]) -> dict[str, Any]:
        blocking_ids = set(map(id, blocking))
        return {
            "version": 1,
            "counts": {outcome.name.lower(): self.counts()[outcome] for outcome in Outcome},
            "blocked": bool(blocking),
            "lines": [
                {
                    "file": line.position.file,
                    "line": line.position.line,
                    "via": line.position.via,
                    "name": line.name,
                    "part": line.part,
                    "fate": line.outcome.name.lower(),
                    "text": line.text,
                    "blocks": id(line) in blocking_ids,
                }
                for line in self.lines
            ],
        }
