"""`micastand tls check FILE|HOST:PORT` and `micastand tls demo FOLDER`: checks and creates certificates."""

from __future__ import annotations

import argparse
import socket
import ssl
import sys
import time
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import UsageError

#: Timeout of the connection to a server, in seconds.
CONNECT_S = 5.0


def add(verbs: Any) -> None:
    verb = verbs.add_parser("tls", help="check certificates and keys, or create some for a demo")
    kinds = verb.add_subparsers(dest="kind", metavar="KIND", required=True)
    text = (
        "Checks a chain (and, with --key, that the key belongs to it) as the daemon does before it uses it, or "
        "shows the certificate of a server. Exit code 1 if it could not be used."
    )
    check = kinds.add_parser("check", help="check a file, or the certificate of HOST:PORT", description=text)
    check.add_argument("what", metavar="FILE|HOST:PORT")
    check.add_argument("--key", type=Path, metavar="FILE")
    check.add_argument(
        "--name", action="append", default=[], help="name that it must cover, or server name to send"
    )
    check.add_argument("--roots", type=Path, metavar="FILE", help="with HOST:PORT: trust roots")
    check.set_defaults(run=run_check)
    text = "Creates a small authority and pairs for a server and a client. Its key is stored with them: for demos only."
    demo = kinds.add_parser("demo", help="create a small authority and pairs signed by it", description=text)
    demo.add_argument("folder", type=Path, metavar="FOLDER")
    demo.add_argument("--name", action="append", default=[], metavar="HOST", help="(localhost, 127.0.0.1)")
    demo.set_defaults(run=run_demo)


def run_check(options: argparse.Namespace) -> int:
    path = Path(options.what)
    if not path.exists() and ":" in options.what:
        return _check_server(options)
    return _check_files(path, options)


def _check_files(path: Path, options: argparse.Namespace) -> int:
    from loadbalancer.tls import files
    from loadbalancer.tls.pairs import PairError, describe_expiry, names_of, read_chain, read_pair

    now = time.time()
    try:
        chain = files.read(path)
        if options.key is not None:
            pair = read_pair(chain, files.read(options.key, True), now, options.name)
            names, ends = pair.names, pair.not_after
        else:
            first = read_chain(chain)[0]
            names, ends = names_of(first), first.not_valid_after_utc.timestamp()
    except PairError as error:
        for problem in error.problems:
            sys.stderr.write(f"{path}: {problem}\n" if str(path) not in problem else f"{problem}\n")
        return 1
    print(f"{path}: for {', '.join(names) or 'no name'}; {describe_expiry(ends, now)}")
    return 0 if ends > now else 1


def _check_server(options: argparse.Namespace) -> int:
    from cryptography import x509

    from loadbalancer.config.reader import read_address
    from loadbalancer.tls.pairs import describe_expiry, names_of

    try:
        address = read_address(options.what)
    except ValueError as problem:
        raise UsageError(f"{options.what!r} is not a file, and {problem}") from None
    context = ssl.create_default_context(cafile=str(options.roots) if options.roots is not None else None)
    context.check_hostname = bool(options.name)
    if options.roots is None:
        context.verify_mode = ssl.CERT_NONE
    try:
        with socket.create_connection(address, CONNECT_S) as sock:
            name = options.name[0] if options.name else None
            with context.wrap_socket(sock, server_hostname=name) as connection:
                der = connection.getpeercert(True)
                version, cipher = connection.version(), connection.cipher()
    except OSError as problem:
        sys.stderr.write(f"{options.what}: {problem}\n")
        return 1
    assert der is not None and cipher is not None
    found = x509.load_der_x509_certificate(der)
    ends = found.not_valid_after_utc.timestamp()
    checked = "signed by the roots" if options.roots is not None else "not checked (no --roots)"
    print(
        f"{options.what}: {version}, {cipher[0]}; for {', '.join(names_of(found)) or 'no name'}; "
        f"{describe_expiry(ends, time.time())}; {checked}"
    )
    return 0 if ends > time.time() else 1


def run_demo(options: argparse.Namespace) -> int:
    from loadbalancer.tls.demo import Authority, pem_of, write_pair, write_private

    try:
        options.folder.mkdir(parents=True, exist_ok=True)
        authority = Authority()
        write_private(options.folder / "roots.key", pem_of(authority.key))
        write_private(options.folder / "roots.pem", authority.pem)
        names = options.name or ["localhost", "127.0.0.1"]
        for stem, issued in (("server", authority.issue(*names)), ("client", authority.issue("client.demo"))):
            write_pair(options.folder, stem, issued)
    except OSError as problem:
        raise UsageError(f"{options.folder}: {problem.strerror}") from None
    print(
        f"{options.folder}: roots.pem, server.pem and server.key for {', '.join(names)}, client.pem and client.key"
    )
    return 0
