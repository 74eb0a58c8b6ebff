"""KNOWN-RED.txt: its entries are parsed, name existing tests, and excuse exactly those tests."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KNOWN_RED, KnownFailure, find_known_failure, read_known_failures

ROOT = Path(__file__).parent.parent


def collect(*tests: str) -> subprocess.CompletedProcess[str]:
    """Let pytest collect these test ids without running them."""
    return subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", *tests],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def test_each_entry_names_an_existing_test() -> None:
    entries = read_known_failures(KNOWN_RED.read_text(encoding="utf-8"))

    for entry in entries:
        assert collect(entry.test).returncode == 0, f"KNOWN-RED.txt names no test: {entry.test}"


def test_collecting_an_unknown_test_fails() -> None:
    assert collect("tests/test_known_red.py::test_each_entry_names_an_existing_test").returncode == 0
    assert collect("tests/test_known_red.py::test_that_does_not_exist").returncode != 0


def test_entries_are_parsed() -> None:
    text = "# a comment\n\ntests/a.py::test_b[1] | pytest, seed 3 | a reset | 44\n"

    assert read_known_failures(text) == [
        KnownFailure("tests/a.py::test_b[1]", "pytest, seed 3", "a reset", "44")
    ]


@pytest.mark.parametrize("line", ["tests/a.py::test_b", "a | b | c", "a | b | c | d | e", "a | b |  | d"])
def test_entry_without_all_fields_raises_value_error(line: str) -> None:
    with pytest.raises(ValueError, match="line 1"):
        read_known_failures(line)


def test_entry_excuses_only_its_own_test() -> None:
    entries = [KnownFailure("tests/a.py::test_b", "pytest", "a reset", "44")]

    assert find_known_failure(entries, "tests/a.py::test_b") == entries[0]
    assert find_known_failure(entries, "tests/a.py::test_b[1]") == entries[0]
    assert find_known_failure(entries, "tests/a.py::test_bc") is None
    assert find_known_failure(entries, "tests/c.py::test_b") is None
