"""`micastand import apache FILE` and `import jk WORKERS`: converts foreign configuration files to ours."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

TEXT = """\
Reads files; opens no connection and resolves no name. Each directive and parameter is carried over,
carried over with a stated difference, or has no equivalent. If one without an equivalent is not named by --allow,
nothing is written and the exit code is 1. docs/operating/importing.md lists every directive."""


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "import", help="make a configuration of Apache balancer or mod_jk worker files", description=TEXT
    )
    kinds = verb.add_subparsers(dest="kind", metavar="KIND", required=True)
    apache = kinds.add_parser("apache", help="httpd.conf with mod_proxy_balancer or mod_jk", description=TEXT)
    apache.add_argument("file", metavar="FILE")
    apache.add_argument(
        "--module", action="append", default=[], metavar="NAME", help="name of a module that is built in"
    )
    apache.add_argument(
        "--httpd-version", default="2.4.62", metavar="X.Y.Z", help="for <IfVersion> (%(default)s)"
    )
    apache.add_argument(
        "--server-root", default="", metavar="FOLDER", help="base of the names of included files"
    )
    jk = kinds.add_parser("jk", help="workers.properties and uriworkermap.properties", description=TEXT)
    jk.add_argument("file", metavar="WORKERS")
    jk.add_argument("--map", action="append", default=[], metavar="FILE", help="uriworkermap file")
    for kind in (apache, jk):
        _common(kind)
    verb.set_defaults(run=run)


def _common(kind: argparse.ArgumentParser) -> None:
    kind.add_argument(
        "-o", "--output", type=Path, metavar="FILE", help="write to this file, not to standard output"
    )
    kind.add_argument(
        "--allow",
        action="append",
        default=[],
        metavar="NAME",
        help="leave out directives or parameters of this name",
    )
    kind.add_argument("--listen", action="append", default=[], metavar="ADDRESS:PORT")
    kind.add_argument(
        "--define", action="append", default=[], metavar="NAME[=VALUE]", help="as httpd -D, or Define"
    )
    kind.add_argument(
        "--resolve", action="append", default=[], metavar="HOST=ADDRESS", help="address of a name"
    )
    kind.add_argument(
        "--connector",
        action="append",
        default=[],
        metavar="AJPPORT=HTTPPORT",
        help="the HTTP port beside an AJP port",
    )
    kind.add_argument("--json", action="store_true", help="the report as JSON, on standard error")


def run(options: argparse.Namespace) -> int:
    from loadbalancer.cli import import_files

    return import_files.run(options)
