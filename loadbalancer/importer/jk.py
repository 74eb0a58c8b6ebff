"""Parses the files of mod_jk, `workers.properties` and `uriworkermap.properties`, into properties and mounts.

Grammar (mod_jk's reference): a line is `name=value`, `$(name)` stands for a value set before or given by the caller,
`#` starts a comment. Lists such as `worker.list` and `balance_workers` accumulate over several lines; of any other
property the last line counts.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Mapping

from loadbalancer.importer.source import Position, SourceError, SourceReader, logical_lines

REFERENCE = re.compile(r"\$\(([A-Za-z0-9_.\-]+)\)")
WORKER_NAME = re.compile(r"[A-Za-z0-9_\-]+")
#: Properties whose values accumulate over several lines.
LIST_PROPERTIES = frozenset(
    ("list", "balance_workers", "balanced_workers", "mount", "css", "user", "fail_on_status")
)
#: Most references that are expanded in one value.
MAX_EXPANSIONS = 20


@dataclass(slots=True)
class Property:
    """Holds one line, where `worker` and `key` are NAME and KEY of `worker.NAME.KEY`; `worker.list` has no worker."""

    name: str
    worker: str
    key: str
    value: str
    position: Position


@dataclass(slots=True)
class Mount:
    """Holds one rule of a map, which mounts a pattern on a worker or, if `excluded`, removes it from the mounts."""

    pattern: str
    worker: str
    position: Position
    excluded: bool = False
    options: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class WorkerProperties:
    """Holds the properties of a workers file in their order."""

    properties: list[Property]

    def properties_of(self, worker: str) -> dict[str, Property]:
        return self.by_worker().get(worker, {})

    def by_worker(self) -> dict[str, dict[str, Property]]:
        """Return the properties by worker and key: the last line of each, and lists with the values of all lines."""
        found: dict[str, dict[str, Property]] = {}
        for prop in self.properties:
            properties = found.setdefault(prop.worker, {})
            earlier = properties.get(prop.key)
            if earlier is not None and prop.key in LIST_PROPERTIES:
                prop = Property(
                    prop.name, prop.worker, prop.key, f"{earlier.value},{prop.value}", earlier.position
                )
            properties[prop.key] = prop
        return found


def split_list(value: str) -> list[str]:
    """Split the value of a list property at commas and white space."""
    return [name for name in re.split(r"[,\s]+", value) if name]


def parse_workers(reader: SourceReader, path: str, variables: Mapping[str, str]) -> WorkerProperties:
    """Return the properties of a workers file; raise SourceError at the first line that can't be parsed."""
    values = dict(variables)
    found: list[Property] = []
    for number, line in logical_lines(reader.read_text(path), path):
        position = Position(path, number)
        reader.count_directive(position)
        found.append(parse_property(line, position, values))
        values[found[-1].name] = found[-1].value
    return WorkerProperties(found)


def parse_property(line: str, position: Position, variables: Mapping[str, str]) -> Property:
    """Return the property of one line; raise SourceError if the line isn't `name=value`."""
    name, equals, value = line.partition("=")
    name = name.strip()
    if not equals or not name or any(c.isspace() for c in name):
        raise SourceError(position, f"{line[:60]!r} is not a property; expected name=value")
    return _split_property_name(name, _expand(value.strip(), variables, position), position)


def _expand(value: str, variables: Mapping[str, str], position: Position) -> str:
    for _ in range(MAX_EXPANSIONS):
        match = REFERENCE.search(value)
        if match is None:
            return value
        if match[1] not in variables:
            raise SourceError(
                position, f"$({match[1]}) is not set before this line; use --define {match[1]}=VALUE"
            )
        value = value[: match.start()] + variables[match[1]] + value[match.end() :]
        if len(value) > 4096:
            break
    raise SourceError(position, "references nest too deeply or refer to one another")


def _split_property_name(name: str, value: str, position: Position) -> Property:
    parts = name.split(".")
    if parts[0] != "worker":  # a variable for $(name)
        return Property(name, "", name, value, position)
    if len(parts) == 2:
        return Property(name, "", parts[1], value, position)
    worker, key = ".".join(parts[1:-1]), parts[-1]
    if not WORKER_NAME.fullmatch(worker):
        raise SourceError(position, f"{worker!r} is not a worker name; expected letters, digits, - and _")
    return Property(name, worker, key, value, position)


def parse_map(reader: SourceReader, path: str) -> list[Mount]:
    """Return the rules of a uriworkermap file; raise SourceError at the first line that isn't one."""
    found: list[Mount] = []
    for number, line in logical_lines(reader.read_text(path), path):
        position = Position(path, number)
        reader.count_directive(position)
        pattern, equals, target = line.partition("=")
        if not equals:
            raise SourceError(position, f"{line[:60]!r} is not a rule; expected /pattern=worker")
        found += parse_mount(pattern.strip(), target.strip(), position)
    return found


def parse_mount(pattern: str, target: str, position: Position) -> list[Mount]:
    """Return the rules of one line of a map; raise SourceError if the line isn't valid.

    `/app|/*` makes two rules, `/app` and `/app/*`. A leading `-` switches the rule off, a leading `!` makes it an
    exclusion.
    """
    target, *extras = [part.strip() for part in target.split(";")]
    options = {}
    for extra in extras:
        name, equals, value = extra.partition("=")
        if not equals:
            raise SourceError(position, f"{extra[:40]!r} is not an extension; expected name=value")
        options[name.strip()] = value.strip()
    if pattern.startswith("-"):
        options["-"] = "switched off"
        pattern = pattern[1:]
    excluded = pattern.startswith("!")
    pattern = pattern.removeprefix("!")
    if not pattern.startswith(("/", "*")) or not target:
        raise SourceError(
            position,
            f"{pattern[:40]!r}={target[:40]!r}: expected a pattern that starts with / or * and a worker",
        )
    first, bar, rest = pattern.partition("|")
    patterns = [first, first.rstrip("/") + rest] if bar else [pattern]
    return [Mount(path, target, position, excluded, options) for path in patterns]
