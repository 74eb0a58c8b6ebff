"""What verbs say of wrong files and wrong uses."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # a configuration takes its time to load
    from loadbalancer.config.plan import Plan
    from loadbalancer.config.reader import ConfigError


class UseError(ValueError):
    """The command was used wrongly; says what would be right."""


def load_or_tell(path: Path) -> Plan | None:
    """The file as a plan, or None once all that is wrong in it has been written to standard error."""
    from loadbalancer.config.plan import load
    from loadbalancer.config.reader import ConfigError

    try:
        return load(path)
    except ConfigError as error:
        tell(path, error)
        return None


def tell(path: Path, error: ConfigError) -> None:
    """All that is wrong, to standard error."""
    for problem in error.problems:
        sys.stderr.write(f"{problem}\n")
    count = len(error.problems)
    sys.stderr.write(f"{path}: {count} error{'s' * (count > 1)}; nothing was changed\n")
