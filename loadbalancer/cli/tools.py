"""`micastand token` and `micastand completion`: what operators set up once."""

from __future__ import annotations

import argparse
import sys
from typing import Any, Callable

#: Random bytes of a token.
TOKEN_BYTES = 32
SHELLS = ("bash", "zsh", "tcsh")


def add(verbs: Any, parser: Callable[[], argparse.ArgumentParser]) -> None:
    """`parser` makes the whole command, which completion is printed of."""
    text = "a token for calls by TCP: itself to standard error, its line for the file of tokens to standard output"
    token = verbs.add_parser("token", help="make a token for [management] address", description=text)
    token.add_argument("name", metavar="NAME", help="whose it is; stands in the audit")
    token.add_argument("--role", choices=("reads", "changes"), default="reads")
    token.set_defaults(run=make_token)
    completion = verbs.add_parser(
        "completion",
        help="print a shell's completion of this command",
        description='Prints a script for a shell: eval "$(micastand completion bash)".',
    )
    completion.add_argument("shell", choices=SHELLS)
    completion.set_defaults(run=lambda options: complete(options, parser()))


def make_token(options: argparse.Namespace) -> int:
    import secrets

    from loadbalancer.admin.tokens import format_line

    if not options.name.strip() or any(c.isspace() for c in options.name):
        sys.stderr.write("micastand token: NAME is one word\n")
        return 2
    token = secrets.token_urlsafe(TOKEN_BYTES)
    sys.stderr.write(f"the token, which is kept nowhere: {token}\n")
    print(format_line(token, options.role, options.name), end="")
    return 0


def complete(options: argparse.Namespace, parser: argparse.ArgumentParser) -> int:
    import shtab

    print(shtab.complete(parser, shell=options.shell))
    return 0
