"""`micastand import apache FILE` and `import jk WORKERS`: converts foreign configuration files to ours."""

from __future__ import annotations

import argparse
import glob
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Mapping, Sequence

from loadbalancer.cli.errors import UsageError
from loadbalancer.importer.httpd import VERSION, HttpdEnvironment
from loadbalancer.importer.source import MAX_FILE_BYTES, SourceError


class Files:
    """Reads files for the importer."""

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


def _pairs(texts: Sequence[str], option: str, needs_value: bool = True) -> Mapping[str, str]:
    found = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not name or (needs_value and not (equals and value)):
            raise UsageError(f"{option} {text!r}: expected NAME=VALUE")
        found[name] = value
    return found


def run(options: argparse.Namespace) -> int:
    from loadbalancer.importer.imports import Options, import_apache, import_jk

    given = HttpdEnvironment()
    if options.kind == "apache":
        match = VERSION.match(options.httpd_version)
        if match is None:
            raise UsageError(f"--httpd-version {options.httpd_version!r}: expected a version, such as 2.4.62")
        given = HttpdEnvironment(
            set(options.module), (int(match[1]), int(match[2] or 0), int(match[3] or 0)), options.server_root
        )
    import_options = Options(
        options.allow,
        options.listen,
        _pairs(options.resolve, "--resolve"),
        _pairs(options.connector, "--connector"),
        given,
        _pairs(options.define, "--define", needs_value=False),
    )
    try:
        if options.kind == "apache":
            imported = import_apache(Files(), options.file, import_options)
        else:
            imported = import_jk(Files(), options.file, options.map, import_options)
    except SourceError as problem:
        sys.stderr.write(f"{problem}\n")
        return 1
    if options.json:
        sys.stderr.write(json.dumps(imported.report.json(imported.blocking), indent=1) + "\n")
    else:
        sys.stderr.write("\n".join(imported.report.text(imported.blocking)) + "\n")
    for name in imported.report.unused(options.allow):
        sys.stderr.write(f"--allow {name}: nothing of that name needed it\n")
    if imported.text is None:
        sys.stderr.write("nothing was written: --allow NAME leaves out what NAME is\n")
        return 1
    return _write_checked(imported.text, options.output)


def _write_checked(text: str, output: Path | None) -> int:
    """Check an imported configuration as `check` does, then write it: the result of an import can be served."""
    from loadbalancer.config.plan import load
    from loadbalancer.config.reader import ConfigError

    with tempfile.TemporaryDirectory(prefix="micastand-") as folder:
        candidate = Path(folder) / "imported.toml"
        candidate.write_text(text)
        try:
            load(candidate)
        except ConfigError as error:
            for problem in error.problems:
                sys.stderr.write(f"{problem.key}: {problem.text}\n")
            sys.stderr.write(
                "nothing was written: the files ask for what a configuration here can't express\n"
            )
            return 1
    if output is None:
        sys.stdout.write(text)
        return 0
    temporary = output.with_name(f".{output.name}.{os.getpid()}.part")
    try:
        temporary.write_text(text)
        temporary.replace(output)
    except OSError as problem:
        temporary.unlink(missing_ok=True)
        raise UsageError(f"{output} can't be written: {problem.strerror}") from None
    return 0
