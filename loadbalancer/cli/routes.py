"""`micastand routes FILE URL`: finds the route of a request and explains the choice."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "routes",
        help="show which route, pool, class and members a request gets, and why",
        description="Matches a request against the routes of FILE, on each listener; sends nothing.",
    )
    verb.add_argument("file", type=Path, metavar="FILE")
    verb.add_argument("url", metavar="URL", help="http://host/path, or only a path")
    verb.add_argument("-X", "--method", default="GET")
    verb.add_argument("-H", "--header", action="append", default=[], metavar="'NAME: VALUE'")
    verb.add_argument("-l", "--listener", help="only this listener")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    from loadbalancer.cli import route_lookup

    return route_lookup.run(options)
