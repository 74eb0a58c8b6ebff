"""`micastand token` and `micastand completion`: creates tokens and prints shell completions."""

from __future__ import annotations

import argparse
import sys
from typing import Any, Callable

#: Number of random bytes in a token.
TOKEN_BYTES = 32
SHELLS = ("bash", "zsh", "tcsh")


def add(verbs: Any, parser: Callable[[], argparse.ArgumentParser]) -> None:
    """Add the verbs. `parser` returns the parser of the whole command, which `completion` describes."""
    text = "Writes a token for calls by TCP to standard error, and its line for the tokens file to standard output."
    token = verbs.add_parser("token", help="create a token for [management] address", description=text)
    token.add_argument("name", metavar="NAME", help="owner of the token, as the audit names it")
    token.add_argument("--role", choices=("reads", "changes"), default="reads")
    token.set_defaults(run=make_token)
    completion = verbs.add_parser(
        "completion",
        help="print a completion script for a shell",
        description='Prints a script for a shell: eval "$(micastand completion bash)".',
    )
    completion.add_argument("shell", choices=SHELLS)
    completion.set_defaults(run=lambda options: complete(options, parser()))


def make_token(options: argparse.Namespace) -> int:
    import secrets

    from loadbalancer.admin.tokens import format_line

    if not options.name.strip() or any(char.isspace() for char in options.name):
        sys.stderr.write(f"micastand token: NAME {options.name!r}: expected one word\n")
        return 2
    token = secrets.token_urlsafe(TOKEN_BYTES)
    sys.stderr.write(f"the token, which is not stored: {token}\n")
    print(format_line(token, options.role, options.name), end="")
    return 0


def complete(options: argparse.Namespace, parser: argparse.ArgumentParser) -> int:
    import shtab

    print(shtab.complete(parser, shell=options.shell))
    return 0
