"""Ends a process that can't do its work, with the reason in a line."""

from __future__ import annotations

import sys
from typing import NoReturn

#: Exit status of a process whose configuration or input can't be used.
UNUSABLE_INPUT = 2


def stop(reason: str) -> NoReturn:
    """End the process with a line on standard error."""
    sys.stderr.write(f"micastand: {reason}\n")
    raise SystemExit(UNUSABLE_INPUT)
