"""`micastand fleet ...`: shows the fleet as a daemon sees it, and changes its voters, restarts and roll-outs."""

from __future__ import annotations

import argparse
import os
from typing import Any

from loadbalancer.cli.control import add_fleet_options, add_read, change, common

READS = {
    "members": "each instance: its state, its incarnation, since when, who suspects it, when it was last heard",
    "status": "the membership view: settled or not, the digest, how many are alive, traffic on the wire",
    "restarted": "progress of a restart of the fleet, at the instance that was told to restart it",
    "rollout": "the latest roll-out: its stage, and what each instance runs",
    "versions": "each version of the fleet's state: who applied it when, who is behind and why, who is shut out",
}
CHANGES = {
    "enrol": "make an instance a voter on changes, with its present store",
    "expel": "make an instance a voter no longer",
    "restart": "restart all instances in place, group after group, each in full service before the next",
    "roll": "roll out a configuration: checked by all, applied in steps, rolled back if it serves worse",
    "halt": "stop a roll-out at its present stage",
    "back": "roll back a roll-out",
    "recover": "continue with only these voters, after a majority was lost permanently",
}


def add(verbs: Any) -> None:
    text = "the fleet, as one of its daemons sees it"
    verb = verbs.add_parser("fleet", help=text, description=text)
    parts = verb.add_subparsers(dest="part", metavar="WHAT", required=True)
    for name, description in READS.items():
        verb_parser = parts.add_parser(
            name, help=description, description=f"{description[:1].upper()}{description[1:]}."
        )
        add_read(verb_parser, "fleet", "fleet/restart" if name == "restarted" else f"fleet/{name}")
    for name, description in CHANGES.items():
        verb_parser = common(
            parts.add_parser(
                name, help=description, description=f"{description[:1].upper()}{description[1:]}."
            ),
            "fleet",
        )
        _add_change(verb_parser, name)


def _add_change(verb_parser: argparse.ArgumentParser, name: str) -> None:
    if name == "recover":
        verb_parser.add_argument("roster", nargs="+", metavar="INSTANCE")
        verb_parser.add_argument(
            "--last", action="store_true", help="confirm: instances that are not named may hold newer changes"
        )
    elif name == "roll":
        verb_parser.add_argument("path", type=os.path.abspath, metavar="FILE")
        verb_parser.add_argument(
            "--soak", dest="until", metavar="DURATION", help="how long each step serves before the next (10s)"
        )
    elif name == "restart":
        verb_parser.add_argument(
            "--group", type=int, default=1, metavar="N", help="number of instances at once (1)"
        )
    elif name not in ("halt", "back"):
        verb_parser.add_argument("name", metavar="INSTANCE")
        add_fleet_options(verb_parser)
    verb_parser.add_argument(
        "--by", default=os.environ.get("SUDO_USER"), help="your name for the audit (the user's name)"
    )
    verb_parser.add_argument("--reason", default="")
    verb_parser.set_defaults(run=change, what="fleet/rollout" if name == "roll" else f"fleet/{name}")
