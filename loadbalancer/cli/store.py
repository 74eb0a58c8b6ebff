"""`micastand store verify | dump | compact FOLDER`: maintains a store that no daemon has open."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

from loadbalancer.cli.errors import UsageError


def add(verbs: Any) -> None:
    verb = verbs.add_parser(
        "store",
        help="verify, dump or compact a store that no daemon has open",
        description="Opens the store of FOLDER as a daemon would: copies that differ are repaired first.",
    )
    kinds = verb.add_subparsers(dest="kind", metavar="WHAT", required=True)
    for kind, text in (
        ("verify", "read both copies of all entries; exit code 1 if acknowledged data is damaged or missing"),
        ("dump", "a line of JSON for each key that has not expired"),
        ("compact", "rewrite live entries until no space is left to reclaim"),
    ):
        verb_parser = kinds.add_parser(kind, help=text, description=text)
        verb_parser.add_argument("folder", type=Path, metavar="FOLDER")
    verb.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    from loadbalancer.store.engine import Engine
    from loadbalancer.store.errors import StoreError
    from loadbalancer.store.files import DiskFiles

    if not options.folder.is_dir():
        raise UsageError(f"{options.folder} is not a folder")
    engine = Engine(DiskFiles(options.folder), time.time)
    try:
        found = engine.open()
    except (StoreError, OSError) as problem:
        sys.stderr.write(f"{options.folder}: {problem}\n")
        return 1
    try:
        if options.kind == "dump":
            for key in sorted(engine.keys()):
                print(json.dumps(_dump_entry(key, engine.get(key) or b"")))
            return 0
        if options.kind == "compact":
            before = engine.log.size_bytes()
            while engine.compact(4096):
                pass
            print(f"{before} bytes before, {engine.log.size_bytes()} now, of each copy")
        print("\n".join(found.lines()))
        return 0 if found.is_intact else 1
    except StoreError as problem:
        sys.stderr.write(f"{options.folder}: {problem}\n")
        return 1
    finally:
        engine.close()


def _dump_entry(key: bytes, value: bytes) -> dict[str, Any]:
    """Return an entry for `dump`, without the bodies of answers, which are private to the clients."""
    from loadbalancer.store.ledger import KEY_PREFIX, Answered, decode

    if not key.startswith(KEY_PREFIX):
        return {"key": key.decode("utf-8", "replace"), "value": value.decode("utf-8", "replace")}
    try:
        entry = decode(value)
    except ValueError:
        return {"key": key.hex(), "state": "not readable"}
    fields: dict[str, Any] = {"key": key[len(KEY_PREFIX) :].hex()}
    if isinstance(entry, Answered):
        body_bytes = len(entry.body) if entry.body is not None else None
        return fields | {"state": "answered", "at": entry.at, "status": entry.status, "bytes": body_bytes}
    assert entry is not None
    return fields | {"state": "begun", "at": entry.at, "window": entry.window}
