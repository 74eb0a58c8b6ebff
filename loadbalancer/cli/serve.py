"""`micastand serve`: runs the daemon with a configuration file or with the embedded default."""

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
        f"{DEFAULT_ADDRESS} over {DEFAULT_MEMBERS} stand-in members that it starts itself. SIGHUP reloads the "
        "file, all or nothing; SIGINT and SIGTERM drain and stop it, a second one stops it at once.",
    )
    verb.add_argument("-c", "--config", type=Path, metavar="FILE")
    verb.add_argument(
        "-a", "--address", default=DEFAULT_ADDRESS, help="address of the embedded default (%(default)s)"
    )
    verb.add_argument(
        "--demo",
        choices=("http", "fastcgi"),
        default="http",
        help="protocol of the embedded default's members",
    )
    verb.add_argument("--take-over", action="store_true", help="take over the sockets of the running daemon")
    verb.add_argument(
        "--notify", type=int, metavar="FD", help="descriptor that gets a line once the daemon serves"
    )
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    # Guards against a SIGHUP during the imports, which would end the process. The signal stays pending until the
    # handlers are installed (serve_daemon.py), after the file was read. This is harmless to child processes: none is
    # started before.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from loadbalancer.cli import serve_daemon

    return serve_daemon.run(options)
