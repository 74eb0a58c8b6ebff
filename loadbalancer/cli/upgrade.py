"""`micastand upgrade`: a new daemon in place of the one that runs, without a closed door."""

from __future__ import annotations

import argparse
import os
import select
import subprocess
import sys
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import load_or_tell


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "upgrade",
        help="start a new daemon that takes over from the one that runs",
        description="Starts `serve -c FILE --take-over` of this build beside the daemon that runs under FILE. Once it "
        "serves on the same sockets, the old one answers what it holds and ends. Exit code 1, and the old one goes on, "
        "if the new one does not come to serve.",
    )
    verb.add_argument("-c", "--config", type=Path, required=True, metavar="FILE")
    verb.add_argument("--program", nargs="+", metavar="WORD", help="the new build's command (this one's)")
    verb.add_argument("--timeout", type=float, default=60.0, metavar="SECONDS")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    if load_or_tell(options.config) is None:
        return 1
    heard, says = os.pipe()
    program = options.program or [sys.executable, "-m", "loadbalancer.cli"]
    words = [*program, "serve", "-c", str(options.config), "--take-over", "--notify", str(says)]
    try:
        child = subprocess.Popen(
            words,
            pass_fds=(says,),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
        )
    except OSError as problem:
        os.close(heard)
        sys.stderr.write(f"micastand upgrade: {program[0]}: {problem.strerror}; the old daemon goes on\n")
        return 1
    finally:
        os.close(says)
    try:
        ready, _, _ = select.select([heard], [], [], options.timeout)
        if ready and os.read(heard, 64) == b"serving\n":
            print(f"process {child.pid} serves; the old one ends once it has answered what it holds")
            return 0
    finally:
        os.close(heard)
    child.kill()
    child.wait()
    sys.stderr.write("micastand upgrade: the new daemon did not come to serve; the old one goes on\n")
    return 1
