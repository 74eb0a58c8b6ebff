"""The file in which the processes of one proxy share the ids of requests that may have run."""

from __future__ import annotations

import mmap
import os
from pathlib import Path

IDS_FILE = "micastand-ids"


def map_shared_ids(folder: Path, size: int) -> memoryview:
    """Map the file into memory, and create it if no process has; OSError if that fails.

    What a process writes is seen by the others at once, and outlives it. `size` is in bytes.
    """
    descriptor = os.open(folder / IDS_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        if os.fstat(descriptor).st_size != size:
            os.ftruncate(descriptor, size)
        return memoryview(mmap.mmap(descriptor, size))
    finally:
        os.close(descriptor)
