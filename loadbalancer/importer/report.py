"""What became of each directive and parameter: a line each, for people and as JSON. Pure."""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass
from typing import Any, Iterable, Sequence

from loadbalancer.importer.source import Place


class Fate(enum.Enum):
    """What an import does with a directive or a parameter."""

    CARRIED = "carried over"
    DIFFERENT = "carried over with a stated difference"
    NONE = "no equivalent"


@dataclass(frozen=True, slots=True)
class Line:
    """One directive (`part` empty), or one parameter of it."""

    place: Place
    name: str
    part: str
    fate: Fate
    text: str

    @property
    def label(self) -> str:
        return f"{self.name} {self.part}" if self.part else self.name

    def names(self) -> set[str]:
        """By which of these `--allow` may name it."""
        part, _, _ = self.part.partition("=")
        return {name.lower() for name in (self.name, self.part, part, self.label) if name}

    def __str__(self) -> str:
        return f"{self.place}: {self.label}: {self.fate.value}" + (f": {self.text}" if self.text else "")


class Report:
    """The lines of one import, in the order in which things were met."""

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def add(self, place: Place, name: str, fate: Fate, text: str = "", part: str = "") -> None:
        self.lines.append(Line(place, name, part, fate, text))

    def without_equivalent(self, allowed: Iterable[str]) -> list[Line]:
        """What forbids that anything is written, unless `allowed` names it (in any case)."""
        known = {name.lower() for name in allowed}
        return [line for line in self.lines if line.fate == Fate.NONE and not line.names() & known]

    def unused(self, allowed: Iterable[str]) -> list[str]:
        """Names that were allowed and that no line without an equivalent bears: a word that was mistyped."""
        met = {name for line in self.lines if line.fate == Fate.NONE for name in line.names()}
        return [name for name in allowed if name.lower() not in met]

    def counts(self) -> Counter[Fate]:
        return Counter(line.fate for line in self.lines)

    def text(self, blocking: Sequence[Line]) -> list[str]:
        """For people: what blocks first, then what differs, then how much was carried over."""
        held = set(map(id, blocking))
        out = [f"BLOCKS  {line}" for line in blocking]
        for line in self.lines:
            if line.fate == Fate.NONE and id(line) not in held:
                out.append(f"ALLOWED {line}")
        out += [f"DIFFERS {line}" for line in self.lines if line.fate == Fate.DIFFERENT]
        counts = self.counts()
        out.append(", ".join(f"{counts[fate]} {fate.value}" for fate in Fate))
        return out

    def json(self, blocking: Sequence[Line]) -> dict[str, Any]:
        held = set(map(id, blocking))
        return {
            "version": 1,
            "counts": {fate.name.lower(): self.counts()[fate] for fate in Fate},
            "blocked": bool(blocking),
            "lines": [
                {
                    "file": line.place.file,
                    "line": line.place.line,
                    "via": line.place.via,
                    "name": line.name,
                    "part": line.part,
                    "fate": line.fate.name.lower(),
                    "text": line.text,
                    "blocks": id(line) in held,
                }
                for line in self.lines
            ],
        }
