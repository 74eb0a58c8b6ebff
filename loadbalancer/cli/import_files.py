"""`micastand import apache FILE` and `import jk WORKERS`: files of others into a configuration of our own."""

from __future__ import annotations

import argparse
import glob
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Mapping, Sequence

from loadbalancer.cli.errors import UseError
from loadbalancer.importer.httpd import VERSION, HttpdEnvironment
from loadbalancer.importer.source import MAX_FILE_BYTES, SourceError


class Files:
    """The importer's way to files."""

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)

    def match(self, pattern: str) -> list[str]:
        found = []
        for name in sorted(glob.glob(pattern)):
            if os.path.isdir(name):
                found += [str(path) for path in sorted(Path(name).rglob("*")) if path.is_file()]
            else:
                found.append(name)
        return found


def _pairs(texts: Sequence[str], option: str, needs: bool = True) -> Mapping[str, str]:
    found = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not name or (needs and not (equals and value)):
            raise UseError(f"{option} {text!r}: a name, = and a value are wanted")
        found[name] = value
    return found


def run(options: argparse.Namespace) -> int:
    from loadbalancer.importer.imports import Options, import_apache, import_jk

    given = HttpdEnvironment()
    if options.kind == "apache":
        match = VERSION.match(options.httpd_version)
        if match is None:
            raise UseError(f"--httpd-version {options.httpd_version!r} is no version")
        given = HttpdEnvironment(
            set(options.module), (int(match[1]), int(match[2] or 0), int(match[3] or 0)), options.server_root
        )
    asked = Options(
        options.allow,
        options.listen,
        _pairs(options.resolve, "--resolve"),
        _pairs(options.connector, "--connector"),
        given,
        _pairs(options.define, "--define", needs=False),
    )
    try:
        if options.kind == "apache":
            made = import_apache(Files(), options.file, asked)
        else:
            made = import_jk(Files(), options.file, options.map, asked)
    except SourceError as problem:
        sys.stderr.write(f"{problem}\n")
        return 1
    if options.json:
        sys.stderr.write(json.dumps(made.report.json(made.blocking), indent=1) + "\n")
    else:
        sys.stderr.write("\n".join(made.report.text(made.blocking)) + "\n")
    for name in made.report.unused(options.allow):
        sys.stderr.write(f"--allow {name}: nothing of that name needed it\n")
    if made.text is None:
        sys.stderr.write("nothing was written: --allow NAME leaves out what NAME is\n")
        return 1
    return _deliver(made.text, options.output)


def _deliver(text: str, output: Path | None) -> int:
    """Checked as `check` does before it is written: what an import makes can be served."""
    from loadbalancer.config.plan import load
    from loadbalancer.config.reader import ConfigError

    with tempfile.TemporaryDirectory(prefix="micastand-") as folder:
        tried = Path(folder) / "imported.toml"
        tried.write_text(text)
        try:
            load(tried)
        except ConfigError as error:
            for problem in error.problems:
                sys.stderr.write(f"{problem.key}: {problem.text}\n")
            sys.stderr.write("nothing was written: the files say what a configuration here can't be\n")
            return 1
    if output is None:
        sys.stdout.write(text)
        return 0
    part = output.with_name(f".{output.name}.{os.getpid()}.part")
    try:
        part.write_text(text)
        part.replace(output)
    except OSError as problem:
        part.unlink(missing_ok=True)
        raise UseError(f"{output} can't be written: {problem.strerror}") from None
    return 0
