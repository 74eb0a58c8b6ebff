"""Ends a process that can't start, with the reason in one line."""

from __future__ import annotations

import sys
from typing import NoReturn

#: Exit status of a process whose configuration or input is invalid.
UNUSABLE_INPUT = 2


def stop(reason: str) -> NoReturn:
    """End the process with one line on standard error."""
    sys.stderr.write(f"micastand: {reason}\n")
    raise SystemExit(UNUSABLE_INPUT)
