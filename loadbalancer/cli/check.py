"""`micastand check FILE`: whether a configuration can be used, and all that is wrong in it."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import load_or_tell


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "check",
        help="check a configuration and report every error in it",
        description="Reads FILE and what it names, opens nothing. Exit code 1 if anything is wrong.",
    )
    verb.add_argument("file", type=Path, metavar="FILE")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    plan = load_or_tell(options.file)
    if plan is None:
        return 1
    members = sum(len(pool.table.member) for pool in plan.pools.values())
    print(
        f"{options.file}: good: {len(plan.listeners)} listeners, {len(plan.routes)} routes, "
        f"{len(plan.pools)} pools, {members} members listed in it"
    )
    return 0
