"""`micastand upgrade`: replaces the running daemon by a new one without refusing connections."""

from __future__ import annotations

import argparse
import os
import select
import subprocess
import sys
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import load_or_report


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "upgrade",
        help="start a new daemon that takes over from the one that runs",
        description="Starts `serve -c FILE --take-over` of this build besides the daemon that runs with FILE. Once it "
        "serves on the same sockets, the old one drains and ends. Exit code 1, and the old one continues, if the new "
        "one does not start to serve.",
    )
    verb.add_argument("-c", "--config", type=Path, required=True, metavar="FILE")
    verb.add_argument("--program", nargs="+", metavar="WORD", help="the new build's command (this one's)")
    verb.add_argument("--timeout", type=float, default=60.0, metavar="SECONDS")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    if load_or_report(options.config) is None:
        return 1
    read_end, write_end = os.pipe()
    program = options.program or [sys.executable, "-m", "loadbalancer.cli"]
    command = [*program, "serve", "-c", str(options.config), "--take-over", "--notify", str(write_end)]
    try:
        child = subprocess.Popen(
            command,
            pass_fds=(write_end,),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
        )
    except OSError as problem:
        os.close(read_end)
        sys.stderr.write(f"micastand upgrade: {program[0]}: {problem.strerror}; the old daemon continues\n")
        return 1
    finally:
        os.close(write_end)
    try:
        ready, _, _ = select.select([read_end], [], [], options.timeout)
        if ready and os.read(read_end, 64) == b"serving\n":
            print(f"process {child.pid} serves; the old one drains and ends")
            return 0
    finally:
        os.close(read_end)
    child.kill()
    child.wait()
    sys.stderr.write("micastand upgrade: the new daemon did not start to serve; the old one continues\n")
    return 1
