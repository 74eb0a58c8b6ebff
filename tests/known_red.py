"""The list of tests that may fail for a known fault (KNOWN-RED.txt)."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One entry of the list."""

    test: str
    """The test's id, as pytest prints it."""
    command: str
    """The command, and the seed, that show the fault."""
    seen: str
    """The failure that was observed."""
    issue: str
    """The issue that is open for it."""


def read_known_failures(text: str) -> list[KnownFailure]:
    """Read the list.

    Args:
        text: The file's content; empty lines and lines that begin with ``#`` are ignored.

    Returns:
        The entries, in the file's order.

    Raises:
        ValueError: An entry does not have four fields; the message gives its line.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != len(KnownFailure._fields) or not all(fields):
            raise ValueError(
                f"KNOWN-RED.txt, line {number}: expected 'test | command and seed | seen | issue', got {line!r}"
            )
        entries.append(KnownFailure(*fields))
    return entries


def find_known_failure(entries: list[KnownFailure], node_id: str) -> KnownFailure | None:
    """Return the entry that names this test, or None; an entry without parameters covers all parameters of a test."""
    for entry in entries:
        if node_id == entry.test or node_id.startswith(f"{entry.test}["):
            return entry
    return None
