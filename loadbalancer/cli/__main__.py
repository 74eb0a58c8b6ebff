"""`micastand`: reads the command line and hands over to a verb's file."""

from __future__ import annotations

import argparse
import sys
from typing import Sequence

from loadbalancer.cli import check, control, fleet, plugin, routes, serve, store, tls, tools, upgrade
from loadbalancer.cli import import_verb as importing
from loadbalancer.cli.errors import UseError


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="micastand",
        description="A load-balancing proxy: listeners, routes and pools from one file.",
        epilog="micastand test runs the tests; micastand VERB --help tells more of a verb.",
    )
    verbs = top.add_subparsers(dest="verb", metavar="VERB", required=True)
    for verb in (serve, check, routes, importing, store, control, fleet, upgrade, tls, plugin):
        verb.add(verbs)
    tools.add(verbs, parser)
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """0 when all went well, 1 when what was asked for can't be had, 2 for a wrong use of the command."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except UseError as problem:
        sys.stderr.write(f"micastand {options.verb}: {problem}\n")
        return 2
    except BrokenPipeError:
        sys.stderr.close()  # whoever read the output has gone
        return 1
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
