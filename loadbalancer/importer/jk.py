"""The files of mod_jk: `workers.properties` and `uriworkermap.properties` into what they say, line by line.

Grammar (mod_jk's reference): `name=value` a line, `$(name)` for a value set before (or said by the caller), `#` before
a comment. `worker.list` and `balance_workers` add up over lines, other properties are those of their last line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Mapping

from loadbalancer.importer.source import Place, Reading, SourceError, logical_lines

REFERENCE = re.compile(r"\$\(([A-Za-z0-9_.\-]+)\)")
NAME = re.compile(r"[A-Za-z0-9_\-]+")
#: Properties whose lines add up.
LISTS = frozenset(("list", "balance_workers", "balanced_workers", "mount", "css", "user", "fail_on_status"))
#: References of properties within one another.
REFERENCES_MOST = 20


@dataclass(slots=True)
class Property:
    """One line. `worker` and `key` of `worker.NAME.KEY`; `worker.list` has no worker."""

    name: str
    worker: str
    key: str
    value: str
    place: Place


@dataclass(slots=True)
class Mount:
    """One rule of a map: a pattern, the worker, and whether it takes away."""

    pattern: str
    worker: str
    place: Place
    excluded: bool = False
    options: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Workers:
    """All that a file of workers says; `of` by worker, the last line of each property."""

    properties: list[Property]

    def of(self, worker: str) -> dict[str, Property]:
        return self.by_worker().get(worker, {})

    def by_worker(self) -> dict[str, dict[str, Property]]:
        found: dict[str, dict[str, Property]] = {}
        for one in self.properties:
            mine = found.setdefault(one.worker, {})
            before = mine.get(one.key)
            if before is not None and one.key in LISTS:
                one = Property(one.name, one.worker, one.key, f"{before.value},{one.value}", before.place)
            mine[one.key] = one
        return found


def names(value: str) -> list[str]:
    """A list as its properties have it: by commas or spaces."""
    return [name for name in re.split(r"[,\s]+", value) if name]


def parse_workers(reading: Reading, path: str, variables: Mapping[str, str]) -> Workers:
    """SourceError at the first line that can't be read."""
    known = dict(variables)
    found: list[Property] = []
    for number, line in logical_lines(reading.text(path), path):
        place = Place(path, number)
        reading.count(place)
        found.append(parse_property(line, place, known))
        known[found[-1].name] = found[-1].value
    return Workers(found)


def parse_property(line: str, place: Place, known: Mapping[str, str]) -> Property:
    """One line; SourceError where it is none."""
    name, equals, value = line.partition("=")
    name = name.strip()
    if not equals or not name or any(c.isspace() for c in name):
        raise SourceError(place, f"{line[:60]!r} is no property; name=value is wanted")
    return _property(name, _expand(value.strip(), known, place), place)


def _expand(value: str, known: Mapping[str, str], place: Place) -> str:
    for _ in range(REFERENCES_MOST):
        match = REFERENCE.search(value)
        if match is None:
            return value
        if match[1] not in known:
            raise SourceError(
                place, f"$({match[1]}) is not set before this line; say --define {match[1]}=VALUE"
            )
        value = value[: match.start()] + known[match[1]] + value[match.end() :]
        if len(value) > 4096:
            break
    raise SourceError(place, "references within references without end")


def _property(name: str, value: str, place: Place) -> Property:
    parts = name.split(".")
    if parts[0] != "worker":  # a variable, used by $(name)
        return Property(name, "", name, value, place)
    if len(parts) == 2:
        return Property(name, "", parts[1], value, place)
    worker, key = ".".join(parts[1:-1]), parts[-1]
    if not NAME.fullmatch(worker):
        raise SourceError(place, f"{worker!r} is no name of a worker: letters, digits, - and _ are wanted")
    return Property(name, worker, key, value, place)


def parse_map(reading: Reading, path: str) -> list[Mount]:
    """The rules of a uriworkermap; SourceError at the first line that is none."""
    found: list[Mount] = []
    for number, line in logical_lines(reading.text(path), path):
        place = Place(path, number)
        reading.count(place)
        pattern, equals, target = line.partition("=")
        if not equals:
            raise SourceError(place, f"{line[:60]!r} is no rule; /pattern=worker is wanted")
        found += mounts(pattern.strip(), target.strip(), place)
    return found


def mounts(pattern: str, target: str, place: Place) -> list[Mount]:
    """`/app|/*` is two rules, `/app` and `/app/*`; a leading `-` is a rule that is switched off, `!` an exclusion."""
    target, *extras = [part.strip() for part in target.split(";")]
    options = {}
    for extra in extras:
        name, equals, value = extra.partition("=")
        if not equals:
            raise SourceError(place, f"{extra[:40]!r} is no extension; name=value is wanted")
        options[name.strip()] = value.strip()
    if pattern.startswith("-"):
        options["-"] = "switched off"
        pattern = pattern[1:]
    excluded = pattern.startswith("!")
    pattern = pattern.removeprefix("!")
    if not pattern.startswith(("/", "*")) or not target:
        raise SourceError(
            place, f"{pattern[:40]!r}={target[:40]!r}: a pattern that starts with / and a worker are wanted"
        )
    first, bar, rest = pattern.partition("|")
    both = [first, first.rstrip("/") + rest] if bar else [pattern]
    return [Mount(one, target, place, excluded, options) for one in both]
