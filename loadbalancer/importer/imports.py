"""Runs an import: reads the files and returns the configuration text, or the report lines that block it.

It does no I/O except through the opener passed by the caller.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import Mapping, Sequence

import tomli_w

from loadbalancer.importer.httpd import HttpdEnvironment, parse
from loadbalancer.importer.jk import (
    Mount,
    Property,
    WorkerProperties,
    parse_map,
    parse_property,
    parse_workers,
)
from loadbalancer.importer.jkmeaning import JkTranslator
from loadbalancer.importer.meaning import HttpdTranslator, Server
from loadbalancer.importer.report import Line, Outcome, Report
from loadbalancer.importer.setup import Setup
from loadbalancer.importer.source import Opener, Position, SourceError, SourceReader
from loadbalancer.importer.workers import HostAddresses

HEADER = (
    "# Imported by `micastand import {kind}`. docs/operating/importing.md tells what was carried over how.\n"
)


@dataclass(frozen=True, slots=True)
class Options:
    """Holds the facts that the files don't contain; the importer guesses none of them."""

    allow: Sequence[str] = ()  # directives and parameters without an equivalent that may be left out
    listen: Sequence[str] = ()  # listen addresses that replace those of the files
    resolve: Mapping[str, str] = field(default_factory=dict)  # IPv4 addresses by host name
    connectors: Mapping[str, str] = field(default_factory=dict)  # HTTP ports by AJP ports
    environment: HttpdEnvironment = field(default_factory=HttpdEnvironment)
    variables: Mapping[str, str] = field(default_factory=dict)  # values for Define and $(name)


@dataclass(frozen=True, slots=True)
class Imported:
    """Holds the result of an import; `text` is the configuration, or None if `blocking` has lines."""

    report: Report
    blocking: list[Line]
    text: str | None
    setup: Setup


def import_apache(opener: Opener, path: str, options: Options) -> Imported:
    """Import a configuration of httpd.

    Raises SourceError if a file can't be read or parsed; any other obstacle is in the report.
    """
    reader, report = SourceReader(opener), Report()
    tree, variables = parse(reader, path, options.environment, options.variables)
    hosts = HostAddresses({name.lower(): address for name, address in options.resolve.items()})
    translator = HttpdTranslator(report, hosts, options.listen)
    translator.translate(tree)
    workers, mounts = _read_jk_files(reader, translator, variables)
    mount_rules = None
    if workers is not None or mounts or any(s.mounts for s in (translator.main, *translator.servers)):
        jk_translator = JkTranslator(
            report, hosts, options.connectors, translator.setup, translator.unique_names
        )
        jk_translator.translate(workers or WorkerProperties([]))
        for server, server_mounts in mounts:
            server.rules += jk_translator.rules(server_mounts, already_reported=False)
        mount_rules = lambda mounts: jk_translator.rules(mounts, already_reported=True)  # noqa: E731
    return _finish(translator.finish(mount_rules), report, options, "apache")


def _read_jk_files(
    reader: SourceReader, translator: HttpdTranslator, variables: Mapping[str, str]
) -> tuple[WorkerProperties | None, list[tuple[Server, list[Mount]]]]:
    """Read the mod_jk files and properties that the httpd directives name; the workers are None if there are none."""
    workers: list[Property] = []
    mounts: list[tuple[Server, list[Mount]]] = []
    found = False
    for server, directive in translator.jk_directives:
        if directive.key == "jkworkersfile" and directive.args:
            workers += parse_workers(reader, directive.args[0], variables).properties
            found = True
        elif directive.key == "jkmountfile" and directive.args:
            mounts.append((server, parse_map(reader, directive.args[0])))
        elif directive.key == "jkworkerproperty" and directive.args:
            workers.append(parse_property(" ".join(directive.args), directive.position, variables))
            found = True
    return (WorkerProperties(workers) if found else None), mounts


def import_jk(opener: Opener, workers: str, maps: Sequence[str], options: Options) -> Imported:
    """Import a workers file of mod_jk and its maps; raise SourceError if a file can't be read or parsed."""
    reader, report = SourceReader(opener), Report()
    hosts = HostAddresses({name.lower(): address for name, address in options.resolve.items()})
    translator = HttpdTranslator(report, hosts, options.listen)
    jk_translator = JkTranslator(report, hosts, options.connectors, translator.setup, translator.unique_names)
    jk_translator.translate(parse_workers(reader, workers, options.variables))
    mounts = [mount for path in maps for mount in parse_map(reader, path)]
    mounts += _mount_properties(jk_translator)
    translator.main.rules += jk_translator.rules(mounts, already_reported=False)
    if not translator.main.rules:
        report.add(Position(workers, 0), "mount", Outcome.NONE, "no worker is mounted; use --map FILE")
    return _finish(translator.finish(), report, options, "jk")


def _mount_properties(jk_translator: JkTranslator) -> list[Mount]:
    """Return the mounts that are properties of workers, as in `worker.NAME.mount=/a/* /b`."""
    found = []
    for worker, properties in jk_translator.by_worker.items():
        prop = properties.get("mount")
        if worker and prop is not None:
            found += [
                Mount(pattern, worker, prop.position) for pattern in prop.value.replace(",", " ").split()
            ]
    return found


def _finish(setup: Setup, report: Report, options: Options, kind: str) -> Imported:
    blocking = report.find_blocking(options.allow)
    if blocking:
        return Imported(report, blocking, None, setup)
    return Imported(report, [], render(setup, kind), setup)


def render(setup: Setup, kind: str) -> str:
    """Return the configuration text, after checking that it parses back into the same tables."""
    tables = {key: value for key, value in setup.tables().items() if value}
    text = HEADER.format(kind=kind) + tomli_w.dumps(tables)
    if tomllib.loads(text) != tables:
        raise SourceError(
            Position("", 0),
            "the configuration text does not parse back into the tables that it was made from",
        )
    return text
