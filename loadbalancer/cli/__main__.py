"""Entry point of `micastand`: parses the command line and runs the verb."""

from __future__ import annotations

import argparse
import sys
from typing import Sequence

from loadbalancer.cli import check, control, fleet, plugin, routes, serve, store, tls, tools, upgrade
from loadbalancer.cli import import_verb as importing
from loadbalancer.cli.errors import UsageError


def parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command."""
    top = argparse.ArgumentParser(
        prog="micastand",
        description="A load-balancing proxy: listeners, routes and pools from one file.",
        epilog="micastand test runs the tests; micastand VERB --help describes a verb.",
    )
    verbs = top.add_subparsers(dest="verb", metavar="VERB", required=True)
    for verb in (serve, check, routes, importing, store, control, fleet, upgrade, tls, plugin):
        verb.add(verbs)
    tools.add(verbs, parser)
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; return 0 on success, 1 on failure, 2 for wrong usage."""
    options = parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except UsageError as problem:
        sys.stderr.write(f"micastand {options.verb}: {problem}\n")
        return 2
    except BrokenPipeError:
        sys.stderr.close()  # the reader of the output has closed it
        return 1
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
