"""`micastand check FILE`: checks a configuration and reports every error in it."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import load_or_report


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "check",
        help="check a configuration and report every error in it",
        description="Reads FILE and the files that it names; opens no socket. Exit code 1 if anything is wrong.",
    )
    verb.add_argument("file", type=Path, metavar="FILE")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    plan = load_or_report(options.file)
    if plan is None:
        return 1
    members = sum(len(pool.table.member) for pool in plan.pools.values())
    print(
        f"{options.file}: good: {len(plan.listeners)} listeners, {len(plan.routes)} routes, "
        f"{len(plan.pools)} pools, {members} members listed in the file"
    )
    return 0
