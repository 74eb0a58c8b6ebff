"""`micastand serve`: the daemon, over a file or over the embedded default."""

from __future__ import annotations

import argparse
import signal
from pathlib import Path
from typing import Any

DEFAULT_ADDRESS = "127.0.0.1:8080"
DEFAULT_MEMBERS = 6


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "serve",
        help="run the proxy",
        description="Runs the proxy in the foreground. Without a file: an embedded default on "
        f"{DEFAULT_ADDRESS} over {DEFAULT_MEMBERS} stand-in members that it starts itself. SIGHUP takes the file "
        "anew, all or nothing; SIGINT and SIGTERM end it once what it holds is answered, a second one at once.",
    )
    verb.add_argument("-c", "--config", type=Path, metavar="FILE")
    verb.add_argument(
        "-a", "--address", default=DEFAULT_ADDRESS, help="of the embedded default (%(default)s)"
    )
    verb.add_argument(
        "--demo",
        choices=("http", "fastcgi"),
        default="http",
        help="what the embedded default's members speak",
    )
    verb.add_argument("--take-over", action="store_true", help="serve on the sockets of the daemon that runs")
    verb.add_argument("--notify", type=int, metavar="FD", help="descriptor to write a line to once it serves")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    # Guards against a reload that is asked for while this loads: the signal would end it. It waits, and is heard once
    # the handlers are there (serving.py), after the file was read. Harm: none, no child is started before.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from loadbalancer.cli import serve_daemon as serving

    return serving.run(options)
