"""Reports errors in configuration files and in the use of the command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # the configuration modules are slow to import
    from loadbalancer.config.plan import Plan
    from loadbalancer.config.reader import ConfigError


class UsageError(ValueError):
    """Raised for wrong usage of the command; the message says what was expected."""


def load_or_report(path: Path) -> Plan | None:
    """Return the compiled file, or None after writing all its errors to standard error."""
    from loadbalancer.config.plan import load
    from loadbalancer.config.reader import ConfigError

    try:
        return load(path)
    except ConfigError as error:
        report(path, error)
        return None


def report(path: Path, error: ConfigError) -> None:
    """Write all errors of a file to standard error."""
    for problem in error.problems:
        sys.stderr.write(f"{problem}\n")
    count = len(error.problems)
    sys.stderr.write(f"{path}: {count} error{'s' * (count > 1)}; nothing was changed\n")
