"""An import from its files to a configuration that has been checked, or to the names of what forbids it. Pure, over an
opener that is handed in."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import Mapping, Sequence

import tomli_w

from loadbalancer.importer.httpd import Given, parse
from loadbalancer.importer.jk import Mount, Property, Workers, parse_map, parse_property, parse_workers
from loadbalancer.importer.jkmeaning import JkMeaning
from loadbalancer.importer.meaning import Meaning, Server
from loadbalancer.importer.report import Fate, Line, Report
from loadbalancer.importer.setup import Setup
from loadbalancer.importer.source import Opener, Place, Reading, SourceError
from loadbalancer.importer.workers import Hosts

HEAD = (
    "# Imported by `micastand import {kind}`. docs/operating/importing.md tells what was carried over how.\n"
)


@dataclass(frozen=True, slots=True)
class Options:
    """What the caller says, since files do not and the importer guesses nothing."""

    allow: Sequence[str] = ()  # names of what has no equivalent and is left out
    listen: Sequence[str] = ()  # addresses
    resolve: Mapping[str, str] = field(default_factory=dict)  # IPv4 addresses by host
    connectors: Mapping[str, str] = field(default_factory=dict)  # HTTP ports by AJP ports
    given: Given = field(default_factory=Given)
    variables: Mapping[str, str] = field(default_factory=dict)  # values for Define and $(name)


@dataclass(frozen=True, slots=True)
class Imported:
    """`text` is the configuration, None where something forbids it."""

    report: Report
    blocking: list[Line]
    text: str | None
    setup: Setup


def import_apache(opener: Opener, path: str, options: Options) -> Imported:
    """SourceError for what can't be read; anything else is in the report."""
    reading, report = Reading(opener), Report()
    tree, variables = parse(reading, path, options.given, options.variables)
    hosts = Hosts({name.lower(): address for name, address in options.resolve.items()})
    meaning = Meaning(report, hosts, options.listen)
    meaning.read(tree)
    workers, mounts = _jk_files(reading, meaning, variables)
    mounted = None
    if workers is not None or mounts or any(s.mounts for s in (meaning.main, *meaning.servers)):
        jk = JkMeaning(report, hosts, options.connectors, meaning.setup, meaning.names)
        jk.read(workers or Workers([]))
        for server, more in mounts:
            server.rules += jk.rules(more, told=False)
        mounted = lambda those: jk.rules(those, told=True)  # noqa: E731
    return _finish(meaning.finish(mounted), report, options, "apache")


def _jk_files(
    reading: Reading, meaning: Meaning, variables: Mapping[str, str]
) -> tuple[Workers | None, list[tuple[Server, list[Mount]]]]:
    """The files of mod_jk that httpd's name."""
    workers: list[Property] = []
    mounts: list[tuple[Server, list[Mount]]] = []
    found = False
    for server, one in meaning.jk:
        if one.key == "jkworkersfile" and one.args:
            workers += parse_workers(reading, one.args[0], variables).properties
            found = True
        elif one.key == "jkmountfile" and one.args:
            mounts.append((server, parse_map(reading, one.args[0])))
        elif one.key == "jkworkerproperty" and one.args:
            workers.append(parse_property(" ".join(one.args), one.place, variables))
            found = True
    return (Workers(workers) if found else None), mounts


def import_jk(opener: Opener, workers: str, maps: Sequence[str], options: Options) -> Imported:
    """A file of workers and its maps; SourceError for what can't be read."""
    reading, report = Reading(opener), Report()
    hosts = Hosts({name.lower(): address for name, address in options.resolve.items()})
    meaning = Meaning(report, hosts, options.listen)
    jk = JkMeaning(report, hosts, options.connectors, meaning.setup, meaning.names)
    jk.read(parse_workers(reading, workers, options.variables))
    mounts = [mount for path in maps for mount in parse_map(reading, path)]
    mounts += _mount_properties(jk)
    meaning.main.rules += jk.rules(mounts, told=False)
    if not meaning.main.rules:
        report.add(Place(workers, 0), "mount", Fate.NONE, "nothing is mounted: say --map FILE")
    return _finish(meaning.finish(), report, options, "jk")


def _mount_properties(jk: JkMeaning) -> list[Mount]:
    """`worker.NAME.mount=/a/* /b`: mounts that stand with the worker."""
    found = []
    for worker, properties in jk.by_worker.items():
        one = properties.get("mount")
        if worker and one is not None:
            found += [Mount(pattern, worker, one.place) for pattern in one.value.replace(",", " ").split()]
    return found


def _finish(setup: Setup, report: Report, options: Options, kind: str) -> Imported:
    blocking = report.without_equivalent(options.allow)
    if blocking:
        return Imported(report, blocking, None, setup)
    return Imported(report, [], write(setup, kind), setup)


def write(setup: Setup, kind: str) -> str:
    """The configuration as it is written: whatever reads it gets the same tables."""
    tables = {key: value for key, value in setup.tables().items() if value}
    text = HEAD.format(kind=kind) + tomli_w.dumps(tables)
    if tomllib.loads(text) != tables:
        raise SourceError(Place("", 0), "what was written reads as something else")
    return text
