"""`micastand fleet members | status`: what a daemon holds of its fleet."""

from __future__ import annotations

from typing import Any

from spokemast.cli.control import add_read

READS = {
    "members": "each instance: whether it lives, its life, since when, who suspects it, its last word",
    "status": "the view in figures: settled or not, the digest, how many live, what goes over the wire",
}


def add(verbs: Any) -> None:
    text = "the fleet, as one of its daemons sees it"
    verb = verbs.add_parser("fleet", help=text, description=text)
    parts = verb.add_subparsers(dest="part", metavar="WHAT", required=True)
    for name, words in READS.items():
        one = parts.add_parser(name, help=words, description=f"{words[:1].upper()}{words[1:]}.")
        add_read(one, "fleet", f"fleet/{name}")
