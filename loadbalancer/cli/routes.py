"""`micastand routes FILE URL`: which route a request takes, where it leads, and why."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "routes",
        help="tell which route, pool, class and members a request gets, and why",
        description="Asks the routes of FILE, on each listener, for a request; sends nothing.",
    )
    verb.add_argument("file", type=Path, metavar="FILE")
    verb.add_argument("url", metavar="URL", help="http://host/path, or a path alone")
    verb.add_argument("-X", "--method", default="GET")
    verb.add_argument("-H", "--header", action="append", default=[], metavar="'NAME: VALUE'")
    verb.add_argument("-l", "--listener", help="ask this one alone")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    from loadbalancer.cli import route_lookup as routing

    return routing.run(options)
