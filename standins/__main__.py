"""Run stand-in members as a process: print their addresses as a line of JSON, and exit when standard input closes."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

import uvloop

from standins.fastcgi import FastCgiFleet, saying
from standins.member import Behaviour, Fleet


async def _run(options: argparse.Namespace) -> None:
    if options.fastcgi:
        await _run_fastcgi(options)
        return
    fleet = Fleet(options.members)
    body = b"x" * options.body if options.body is not None else None
    for member in fleet.members:
        member.behaviour = Behaviour(delay=options.delay, hangs=options.hang, body=body)
    await fleet.start()
    print(json.dumps({member.name: member.address for member in fleet.members}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(json.dumps({member.name: member.counts.requests for member in fleet.members}), flush=True)
    await fleet.stop()


async def _run_fastcgi(options: argparse.Namespace) -> None:
    fleet = FastCgiFleet(options.members)
    for member in fleet.members:
        if options.body is not None:
            member.scripts = [saying(200, b"x" * options.body)]
    await fleet.start()
    print(json.dumps({member.name: member.address for member in fleet.members}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await fleet.stop()


def main() -> None:
    parser = argparse.ArgumentParser(prog="standins", description=__doc__)
    parser.add_argument("--members", type=int, default=4)
    parser.add_argument("--delay", type=float, default=0.0, help="seconds before each answer")
    parser.add_argument("--fastcgi", action="store_true", help="speak FastCGI, not HTTP/1.1")
    parser.add_argument("--hang", action="store_true", help="accept requests and never answer")
    parser.add_argument(
        "--body", type=int, help="size of each answer's body in bytes, instead of the default JSON body"
    )
    uvloop.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
