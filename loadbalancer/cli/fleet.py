"""`micastand fleet ...`: what a daemon holds of its fleet, who acted on which version, and who votes on changes."""

from __future__ import annotations

import argparse
import os
from typing import Any

from loadbalancer.cli.control import add_fleet_words, add_read, change, common

READS = {
    "members": "each instance: whether it lives, its life, since when, who suspects it, its last word",
    "status": "the view in figures: settled or not, the digest, how many live, what goes over the wire",
    "restarted": "how far a restart of the fleet has come, where it was said",
    "rollout": "the latest roll-out: its stage, and what each instance runs",
    "versions": "each version of the fleet's state: who took it up when, who is behind and why, who is shut out",
}
CHANGES = {
    "enrol": "an instance votes on changes from now on, by the store that it has",
    "expel": "an instance votes on changes no more",
    "restart": "restart all instances in place, group after group, each in full service before the next",
    "roll": "roll out a configuration: checked at all, taken up in steps, taken back if it serves worse",
    "halt": "leave a roll-out as it is",
    "back": "take a roll-out back",
    "recover": "go on with these voters alone, after a majority was lost for good",
}


def add(verbs: Any) -> None:
    text = "the fleet, as one of its daemons sees it"
    verb = verbs.add_parser("fleet", help=text, description=text)
    parts = verb.add_subparsers(dest="part", metavar="WHAT", required=True)
    for name, words in READS.items():
        one = parts.add_parser(name, help=words, description=f"{words[:1].upper()}{words[1:]}.")
        add_read(one, "fleet", "fleet/restart" if name == "restarted" else f"fleet/{name}")
    for name, words in CHANGES.items():
        one = common(
            parts.add_parser(name, help=words, description=f"{words[:1].upper()}{words[1:]}."), "fleet"
        )
        _add_change(one, name)


def _add_change(one: argparse.ArgumentParser, name: str) -> None:
    if name == "recover":
        one.add_argument("roster", nargs="+", metavar="INSTANCE")
        one.add_argument(
            "--last", action="store_true", help="it is meant: those that are not named may know more"
        )
    elif name == "roll":
        one.add_argument("path", type=os.path.abspath, metavar="FILE")
        one.add_argument("--soak", dest="until", metavar="DURATION", help="that each step serves (10s)")
    elif name == "restart":
        one.add_argument("--group", type=int, default=1, metavar="N", help="so many at once (1)")
    elif name not in ("halt", "back"):
        one.add_argument("name", metavar="INSTANCE")
        add_fleet_words(one)
    one.add_argument("--by", default=os.environ.get("SUDO_USER"), help="who you are (the user's name)")
    one.add_argument("--reason", default="")
    one.set_defaults(run=change, what="fleet/rollout" if name == "roll" else f"fleet/{name}")
