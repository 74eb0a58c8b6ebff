"""Verbs that call the management interface of a running daemon: status, pools, members and others, and all changes."""

from __future__ import annotations

import argparse
import getpass
import json
import os
import socket
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

from loadbalancer.cli.errors import UsageError
from loadbalancer.cli.output import show, version_lines, watch

#: Environment variable with the default of --socket.
SOCKET_VARIABLE = "MICASTAND_SOCKET"
#: Environment variables with the defaults of --tcp and --token-file.
ADDRESS_VARIABLE, TOKEN_VARIABLE = "MICASTAND_ADDRESS", "MICASTAND_TOKEN_FILE"
#: Maximum time in seconds that a daemon waits for instances that have not confirmed a change.
MAX_WAIT_S = 80.0
#: Statuses from this one on mean that a call has failed.
HTTP_REDIRECT = 300
READS = {
    "status": "what runs, since when, with which configuration file",
    "pools": "each pool: members, open requests, counts",
    "members": "each member: its state in the source, operators' overrides, whether it is used",
    "requests": "open requests with their attempts, the oldest first",
    "marks": "operators' overrides, also those of members that are not listed",
    "keys": "certificates in use, the first to expire first, and files that were rejected",
    "moves": "pools of which a share of the traffic goes to another",
}
CHANGES = {
    "drain": "send members no new requests; sessions continue if the pool allows it",
    "cordon": "send members nothing at all",
    "uncordon": "end drain and cordon",
    "weight": "set a member's weight, in place of that of its source",
    "add": "add a member besides those of the source",
    "remove": "remove an added member; cordon one of the source",
    "move": "send a share of a pool's traffic to another pool; 0 ends it",
    "freeze": "ignore changes of a pool's source",
    "thaw": "follow a pool's source again",
    "reload": "reload the configuration",
    "log": "set the level of the log: debug, info, warning, error",
}


def add(verbs: Any) -> None:
    for verb, text in READS.items():
        add_read(verbs.add_parser(verb, help=text, description=text), verb, verb)
    text = "the decisions of a recent request, by its X-Request-Id"
    verb_parser = common(verbs.add_parser("why", help=text, description=text), "why")
    verb_parser.add_argument("request", metavar="REQUEST-ID")
    verb_parser.set_defaults(run=explain_request)
    for verb, text in CHANGES.items():
        verb_parser = common(verbs.add_parser(verb, help=text, description=text), verb)
        if verb == "log":
            verb_parser.add_argument("level", choices=("debug", "info", "warning", "error"))
        elif verb != "reload":
            verb_parser.add_argument("pool", metavar="POOL")
        if verb == "weight":
            verb_parser.add_argument("member", metavar="MEMBER")
            verb_parser.add_argument("weight", type=float, metavar="WEIGHT")
        elif verb == "add":
            verb_parser.add_argument("member", metavar="MEMBER")
            verb_parser.add_argument("address", metavar="ADDRESS")
        elif verb == "move":
            verb_parser.add_argument("other", metavar="OTHER-POOL")
            verb_parser.add_argument("share", type=float, metavar="SHARE", help="from 0 to 1")
        elif verb not in ("freeze", "thaw", "reload", "log"):
            verb_parser.add_argument("members", nargs="+", metavar="MEMBER")
        verb_parser.add_argument(
            "--by", default=os.environ.get("SUDO_USER"), help="your name for the audit (the user's name)"
        )
        verb_parser.add_argument("--reason", default="")
        verb_parser.add_argument("--until", metavar="DURATION", help="how long the change holds, such as 30m")
        verb_parser.add_argument(
            "--last", action="store_true", help="also if the pool is left without members"
        )
        if verb not in ("reload", "log"):
            add_fleet_options(verb_parser)
            verb_parser.add_argument(
                "--here", action="store_true", help="only at this instance, not in its fleet"
            )
        verb_parser.set_defaults(run=change, what=verb)


def add_fleet_options(verb_parser: argparse.ArgumentParser) -> None:
    """Add the options of a change to the replicated state of a fleet."""
    verb_parser.add_argument(
        "--if-version", type=int, metavar="N", help="only if this is the current version of the fleet's state"
    )
    verb_parser.add_argument(
        "--wait", metavar="DURATION", help="how long to wait for instances that have not confirmed it (4s)"
    )


def add_read(verb_parser: argparse.ArgumentParser, verb: str, what: str) -> None:
    """Add the options of a verb that shows the resource `what`, once or repeatedly."""
    common(verb_parser, verb)
    verb_parser.add_argument(
        "--watch", type=float, nargs="?", const=1.0, metavar="SECONDS", help="repeat at this interval"
    )
    verb_parser.add_argument(
        "--count", type=int, metavar="TIMES", help="with --watch: number of times (no limit)"
    )
    verb_parser.set_defaults(run=read, what=what)


def common(verb_parser: argparse.ArgumentParser, verb: str) -> argparse.ArgumentParser:
    """Add the options of all verbs that call a daemon, and return the parser."""
    verb_parser.add_argument(
        "--socket", default=os.environ.get(SOCKET_VARIABLE), metavar="PATH", help=f"or ${SOCKET_VARIABLE}"
    )
    verb_parser.add_argument(
        "--tcp",
        default=os.environ.get(ADDRESS_VARIABLE),
        metavar="HOST:PORT",
        help=f"by TCP; or ${ADDRESS_VARIABLE}",
    )
    verb_parser.add_argument(
        "--token-file",
        default=os.environ.get(TOKEN_VARIABLE),
        metavar="FILE",
        help=f"with --tcp; or ${TOKEN_VARIABLE}",
    )
    verb_parser.add_argument("--json", action="store_true", help="print JSON")
    verb_parser.add_argument("--timeout", type=float, default=5.0, metavar="SECONDS")
    verb_parser.set_defaults(verb=verb)
    return verb_parser


def call(options: argparse.Namespace, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
    """Call the daemon; return the status and the decoded answer. Raises UsageError if there is no usable answer."""
    address = options.tcp or options.socket
    if not address:
        raise UsageError(
            f"expected --socket PATH or ${SOCKET_VARIABLE}: where the daemon's [management] socket is"
        )
    head = f"{method} /v1/{path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: {len(body)}\r\n"
    if options.tcp:
        head += f"Authorization: Bearer {_token(options)}\r\n"
    try:
        with _connect(options) as sock:
            sock.sendall(head.encode() + b"\r\n" + body)
            data = b""
            while part := sock.recv(1 << 16):
                data += part
    except OSError as problem:
        raise UsageError(f"{address}: {problem.strerror or problem}") from None
    answer_head, _, answer = data.partition(b"\r\n\r\n")
    try:
        status = int(answer_head[9:12])
        if status in (401, 429):
            raise UsageError(f"{address}: {answer.decode('utf-8', 'replace').strip()}")
        return status, json.loads(answer)
    except UsageError:
        raise
    except ValueError:
        raise UsageError(f"{address}: the answer is not that of a micastand daemon") from None


def _connect(options: argparse.Namespace) -> socket.socket:
    if options.tcp:
        from loadbalancer.config.reader import read_address

        try:
            return socket.create_connection(read_address(options.tcp), options.timeout)
        except ValueError as problem:
            raise UsageError(f"--tcp {problem}") from None
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(options.timeout)
    try:
        sock.connect(options.socket)
    except OSError:
        sock.close()
        raise
    return sock


def _token(options: argparse.Namespace) -> str:
    if not options.token_file:
        raise UsageError(
            f"--tcp needs --token-file FILE or ${TOKEN_VARIABLE}: a file that holds only the token"
        )
    try:
        return Path(options.token_file).read_text().strip()
    except OSError as problem:
        raise UsageError(f"{options.token_file}: {problem.strerror}") from None


def read(options: argparse.Namespace) -> int:
    if options.watch is not None:
        watch(lambda: call(options, "GET", options.what)[1], options.watch, options.count)
        return 0
    status, answer = call(options, "GET", options.what)
    return _show(options, status, answer)


def explain_request(options: argparse.Namespace) -> int:
    status, answer = call(options, "GET", f"why/{quote(options.request, safe='')}")
    return _show(options, status, answer)


def change(options: argparse.Namespace) -> int:
    """Send a change; return 0 once it is done and kept, 1 if the daemon refuses it."""
    body: dict[str, Any] = {"by": options.by or getpass.getuser()}
    for key in (
        "pool",
        "member",
        "members",
        "weight",
        "address",
        "until",
        "level",
        "other",
        "share",
        "if_version",
        "wait",
        "name",
        "roster",
        "path",
        "group",
    ):
        if (value := getattr(options, key, None)) is not None:
            body[key] = value
    if options.reason:
        body["reason"] = options.reason
    for key in ("last", "here"):
        if getattr(options, key, False):
            body[key] = True
    if getattr(options, "wait", None):
        options.timeout += MAX_WAIT_S
    status, answer = call(options, "POST", options.what, json.dumps(body).encode())
    return _show(options, status, answer)


def _show(options: argparse.Namespace, status: int, answer: Any) -> int:
    """Print an answer, and on standard error why it falls short of the request, if it does; return the exit code."""
    reason = _shortfall(status, answer)
    if options.json:
        print(json.dumps(answer, indent=1))
    elif status < HTTP_REDIRECT and not _is_error(answer):
        show(answer)
    if reason:
        sys.stderr.write(f"micastand {options.verb}: {reason}\n")
    return 1 if reason else 0


def _is_error(answer: Any) -> bool:
    return isinstance(answer, dict) and "error" in answer


def _shortfall(status: int, answer: Any) -> str:
    """Return why a request was refused or is not yet done everywhere; empty if it was done."""
    if status >= HTTP_REDIRECT or _is_error(answer):
        return str(answer.get("error", answer) if isinstance(answer, dict) else answer)
    if isinstance(answer, dict) and answer.get("holds") is False:
        return " ".join(version_lines(answer)) or "not confirmed by all yet"
    return ""
