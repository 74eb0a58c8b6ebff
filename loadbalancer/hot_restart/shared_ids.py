"""The file in which the processes of one proxy share the ids of requests that may have run."""

from __future__ import annotations

import mmap
import os
from pathlib import Path

IDS_FILE = "micastand-recent-ids"
EARLIER_IDS_FILE = "micastand-ids"
"""The file of earlier versions, whose layout is another one."""


def map_earlier_ids(folder: Path, size: int) -> memoryview | None:
    """Map the file of a process of an earlier version; None if there is none. OSError if that fails."""
    try:
        if os.stat(folder / EARLIER_IDS_FILE).st_size != size:
            return None
    except FileNotFoundError:
        return None
    return _map_file(folder / EARLIER_IDS_FILE, size)


def map_shared_ids(folder: Path, size: int) -> memoryview:
    """Map the file into memory, and create it if no process has; OSError if that fails.

    What a process writes is seen by the others at once, and outlives it. `size` is in bytes.
    """
    return _map_file(folder / IDS_FILE, size)


def _map_file(path: Path, size: int) -> memoryview:
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        if os.fstat(descriptor).st_size != size:
            os.ftruncate(descriptor, size)
        return memoryview(mmap.mmap(descriptor, size))
    finally:
        os.close(descriptor)
